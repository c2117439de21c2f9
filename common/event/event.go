// Package event is the vocabulary of log lines: what they report, and the names
// of the fields by which lines of several instances are put together again.
//
// Lines have one of three levels. Debug lines report what went well and are left
// out first when there are too many; info lines report what an instance believes
// of its surroundings; warnings and errors report what failed.
//
// # Usage
//
//	log.Warn().Str(event.Key, string(event.CallFailed)).Str(event.ID, id).Msg("call failed")
package event

// Name tells what a line reports.
type Name string

// The life of the process.
const (
	Start   Name = "start"
	Stop    Name = "stop"
	Stopped Name = "stopped"
	Reload  Name = "reload"
	// Exit is the last line of a process.
	Exit Name = "exit"
	// LinesDropped tells how many lines were not written.
	LinesDropped Name = "log_left_out"
	// ClockJumped tells that the process stood still, or that the time of day was
	// set.
	ClockJumped Name = "clock_jumped"
	// AcceptFailed tells that a connection couldn't be taken, as for want of
	// descriptors.
	AcceptFailed Name = "accept_failed"
)

// What the process believes.
const (
	Configuration        Name = "configuration"
	ConfigurationRefused Name = "configuration_refused"
	Server               Name = "server"
	ServerGone           Name = "server_gone"
	ServerLapsed         Name = "server_lapsed"
	ServerRefused        Name = "server_refused"
	DependencyLost       Name = "dependency_lost"
	DependencyRegained   Name = "dependency_regained"
	HistoryGone          Name = "history_gone"
	RetryShare           Name = "retry_share"
)

// Decisions about a request.
const (
	// Placed tells on which engines an attempt of a generation runs, and why.
	Placed Name = "placed"
	// Attempt tells how an attempt of a generation ended.
	Attempt Name = "attempt"
	// Call tells to which server a call is sent, CallFailed that it failed there.
	Call       Name = "call"
	CallFailed Name = "call_failed"
	// RetryRefused tells that the budget of retries was spent.
	RetryRefused Name = "retry_refused"
	// Request tells how a request ended.
	Request Name = "request"
)

// The names of fields.
const (
	Key      = "event"
	ID       = "id"
	Instance = "instance"
)

// Outcome tells how a request ended.
type Outcome string

// The outcomes of requests.
const (
	Answered Outcome = "answered"
	NotRun   Outcome = "not_run"
	Unknown  Outcome = "unknown"
	Cut      Outcome = "cut"
	// Rejected requests are malformed, or larger or slower than allowed.
	Rejected Outcome = "rejected"
	NoRoute  Outcome = "no_route"
)
