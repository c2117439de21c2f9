// Package event defines the event names of structured log lines, and the fields by
// which the lines of several instances are correlated.
//
// The level of a line depends on what it reports. Debug lines report successes and are
// dropped first if there are too many lines, then warnings, which report failures. Info
// lines report the view that an instance has of its environment. Errors report requests
// that may have been executed but got no complete response, and failures of the program.
//
// # Usage
//
//	log.Warn().Str(event.Key, string(event.CallFailed)).Str(event.ID, id).Msg("call failed")
package event

// Name is the name of an event, the value of the field Key.
type Name string

// Events of the process's lifecycle.
const (
	Start   Name = "start"
	Stop    Name = "stop"
	Stopped Name = "stopped"
	Reload  Name = "reload"
	// Exit is the last line of a process.
	Exit Name = "exit"
	// LinesDropped reports how many log lines were dropped.
	LinesDropped Name = "log_left_out"
	// ClockJumped reports that the process was suspended or the system clock was
	// changed.
	ClockJumped Name = "clock_jumped"
	// AcceptFailed reports that a connection couldn't be accepted, for example because
	// the process has no file descriptors left.
	AcceptFailed Name = "accept_failed"
	// ListenFailed reports that an address can't be listened on, for example because
	// another process has it.
	ListenFailed Name = "listen_failed"
	// Panic reports an unexpected error that was contained to one request or background
	// loop.
	Panic Name = "panic"
	// Resources reports that the memory peak of the process has grown.
	Resources Name = "resources"
	// Library reports a message that a library has logged by itself.
	Library Name = "library"
)

// Events that report the instance's view of its environment.
const (
	Configuration        Name = "configuration"
	ConfigurationRefused Name = "configuration_refused"
	// ConfigurationCopied reports that this instance appended a copy of the configuration
	// for the other instances.
	ConfigurationCopied Name = "configuration_copied"
	// Server reports a registered server or a change of its state.
	Server Name = "server"
	// ServerGone reports that a server was removed.
	ServerGone Name = "server_gone"
	// ServerPaused reports that a server wants no requests for a time.
	ServerPaused Name = "server_paused"
	// ServerLapsed reports that the registration of a server expired while the store was
	// unavailable.
	ServerLapsed Name = "server_lapsed"
	// ServerRefused reports that a server was removed because its registration can't be
	// decoded.
	ServerRefused Name = "server_refused"
	// RecordRefused reports a record of the store that can't be decoded.
	RecordRefused      Name = "record_refused"
	DependencyLost     Name = "dependency_lost"
	DependencyRegained Name = "dependency_regained"
	// HistoryGone reports that the records at the read offset were compacted, so that
	// the topic is read again from the newest records.
	HistoryGone Name = "history_gone"
	// StoreRestored reports that the store was restored from a copy, so that offsets may be
	// assigned again.
	StoreRestored Name = "store_restored"
	// RetryShare reports this instance's share of the retry budget.
	RetryShare Name = "retry_share"
	// TableProof reports whether the configuration is known to be the newest one, which
	// requests with keys need.
	TableProof Name = "table_proof"
	// Reader reports which instance reads the platform's logs for this one, empty if it
	// reads them itself.
	Reader Name = "reader"
	// Issuer reports whether this instance creates the amounts of the teams' limits.
	Issuer Name = "issuer"
)

// Events that concern prompts which crash servers.
const (
	// ServerCrashed reports that a server ended when it started a request.
	ServerCrashed Name = "server_crashed"
	// Quarantined reports that prompts with some parts are refused.
	Quarantined Name = "quarantined"
	// QuarantineEnded reports that a set of parts is no longer refused, or replaced by a smaller one.
	QuarantineEnded Name = "quarantine_ended"
)

// Events of a request.
const (
	// Placed reports the engines chosen for an attempt of a generation, and why.
	Placed Name = "placed"
	// Attempt reports how an attempt of a generation ended.
	Attempt Name = "attempt"
	// StreamSilent reports what is done with a stream whose engine sends no tokens.
	StreamSilent Name = "stream_silent"
	// Call reports the server that a call is sent to.
	Call Name = "call"
	// CallFailed reports that a call failed at a server.
	CallFailed Name = "call_failed"
	// RetryRefused reports that the retry budget is used up.
	RetryRefused Name = "retry_refused"
	// Request reports how a request ended.
	Request Name = "request"
	// Undelivered reports that the caller may not have received the whole response.
	Undelivered Name = "undelivered"
)

// The names of log fields.
const (
	// Key is the field that holds the event name.
	Key      = "event"
	ID       = "id"
	Instance = "instance"
)

// Outcome is the outcome of a request.
type Outcome string

// The outcomes of requests.
const (
	// Answered means that the caller got a complete response.
	Answered Outcome = "answered"
	// NotRun means that the request wasn't run and will not be run.
	NotRun Outcome = "not_run"
	// Unknown means that the request may have been run.
	Unknown Outcome = "unknown"
	// Cut means that a stream ended before it was complete.
	Cut Outcome = "cut"
	// Rejected means that the request was malformed, or larger or slower than allowed.
	Rejected Outcome = "rejected"
	// NoRoute means that no route of the configuration matches the request.
	NoRoute Outcome = "no_route"
	// Unauthorized means that the request has no valid key.
	Unauthorized Outcome = "unauthorized"
)
