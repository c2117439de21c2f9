// Package receipt defines the typed outcomes of a caller's request: answers, refusals
// and cut streams, and the dispatch attempts that produce them.
//
// # Usage
//
// Every dispatch to a backend server starts with an Unsent attempt. Only an Unsent
// attempt can be refused as not run. After Send, the outcome is an answer, a decline
// by the backend server, or unknown:
//
//	unsent := receipt.NewAttempt(id)
//	if full {
//		return unsent.Refuse(receipt.Reason{Code: receipt.CodeOverloaded, Step: receipt.StepPlace})
//	}
//	sent := unsent.Send()
//	answer, err := client.Call(ctx, req)
//	if err != nil {
//		return sent.Unknown(receipt.Reason{Code: receipt.CodeAnswerLost, Step: receipt.StepCall, Err: err})
//	}
package receipt

import (
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/balsamlock/balsamlock/common/invariant"
	"github.com/balsamlock/balsamlock/common/mutation"
)

// Step names the stage of the request path that produced an outcome.
type Step string

// The stages of the request path, in order.
const (
	StepIdentify Step = "identify"
	StepMatch    Step = "match"
	StepAdmit    Step = "admit"
	StepClaim    Step = "claim"
	StepPlace    Step = "place"
	StepReserve  Step = "reserve"
	StepPrefill  Step = "prefill"
	StepTransfer Step = "transfer"
	StepDecode   Step = "decode"
	StepCall     Step = "call"
	StepDeliver  Step = "deliver"
)

// Code is the machine-readable reason of a refusal. Codes are part of the public API;
// see docs/API.md.
type Code string

// The codes of the public API.
const (
	CodeUnauthorized   Code = "unauthorized"
	CodeForbidden      Code = "forbidden"
	CodeNotFound       Code = "not_found"
	CodeInvalidRequest Code = "invalid_request"
	CodeTooLarge       Code = "too_large"
	CodeLimited        Code = "limited"
	CodeOverloaded     Code = "overloaded"
	CodeNoServer       Code = "no_server"
	CodeUnknownVersion Code = "unknown_version"
	CodeQuarantined    Code = "quarantined"
	CodeNoMemory       Code = "no_memory"
	CodeShuttingDown   Code = "shutting_down"
	CodeNotReady       Code = "not_ready"
	CodeStaleKeys      Code = "stale_keys"
	CodeLogUnavailable Code = "log_unavailable"
	CodeKeyRequired    Code = "key_required"
	CodeKeyExpired     Code = "key_expired"
	CodeKeyConflict    Code = "key_conflict"
	CodeInProgress     Code = "in_progress"
	CodeAnswerLost     Code = "answer_lost"
	CodeOutcomeUnknown Code = "outcome_unknown"
	CodeDeadline       Code = "deadline_exceeded"
	CodeCancelled      Code = "cancelled"
	CodeServerFailed   Code = "server_failed"
	CodeStreamCut      Code = "stream_cut"
	CodeInternal       Code = "internal"
)

// Reason explains an outcome other than an answer.
type Reason struct {
	// Code is the machine-readable reason.
	Code Code
	// Step is the stage that produced the outcome.
	Step Step
	// Peer is the address or name of the remote side, empty if there was none.
	Peer string
	// RetryAfter is the time after which a retry may succeed. Zero means unspecified.
	RetryAfter time.Duration
	// Err is the underlying error, or nil.
	Err error
}

// Error implements error. The text includes the step and the peer.
func (r Reason) Error() string {
	text := fmt.Sprintf("%s: %s", r.Step, r.Code)
	if r.Peer != "" {
		text = fmt.Sprintf("%s: peer %s", text, r.Peer)
	}
	if r.Err != nil {
		text = fmt.Sprintf("%s: %v", text, r.Err)
	}
	return text
}

// MarshalObject adds the reason to a log entry, with the fields of the underlying
// error if that implements log.ObjectMarshaler.
func (r Reason) MarshalObject(e *log.Entry) {
	e.Str("step", string(r.Step)).Str("code", string(r.Code))
	if r.Peer != "" {
		e.Str("peer", r.Peer)
	}
	if r.RetryAfter > 0 {
		e.Int64("retry_after_ms", r.RetryAfter.Milliseconds())
	}
	if r.Err == nil {
		return
	}
	e.Str("error", r.Err.Error())
	var fields log.ObjectMarshaler
	if errors.As(r.Err, &fields) {
		e.EmbedObject(fields)
	}
}

// Unwrap returns the underlying error.
func (r Reason) Unwrap() error { return r.Err }

// ErrRefused is the value that Send panics with, wrapped, if a copy of the permit was
// refused.
var ErrRefused = errors.New("permit was refused as not run")

// Outcome is the outcome of an attempt: Answered, NotRun, Unknown or Cut. No other
// package can implement it.
type Outcome interface{ isOutcome() }

// Answered means that the complete answer of the backend server was received.
type Answered struct {
	// Status is the HTTP status code of the answer.
	Status int
	// ContentType is the media type of Body.
	ContentType string
	// Header holds the headers of an answer that is passed on unchanged, else nil.
	Header map[string][]string
	// Body is the complete answer.
	Body []byte
}

// NotRun means that the work hasn't started and never will. The zero value is invalid.
// Only Unsent.Refuse and Sent.Declined return valid values.
type NotRun struct{ reason Reason }

// Reason returns why the work was not run.
func (n NotRun) Reason() Reason { return n.reason }

// Unknown means that the work may have run.
type Unknown struct{ reason Reason }

// Reason returns why the outcome is unknown.
func (u Unknown) Reason() Reason { return u.reason }

// Cut means that a stream ended after Delivered tokens, before its last one.
type Cut struct {
	// Delivered is the number of tokens that the caller received.
	Delivered int
	// Reason explains why the stream was cut.
	Reason Reason
}

func (Answered) isOutcome() {}
func (NotRun) isOutcome()   {}
func (Unknown) isOutcome()  {}
func (Cut) isOutcome()      {}

var (
	_ Outcome = Answered{}
	_ Outcome = NotRun{}
	_ Outcome = Unknown{}
	_ Outcome = Cut{}
)

// permitState is the state of an attempt's permit to be sent.
type permitState int32

// The states of a permit. A permit leaves permitOpen once and then never changes.
const (
	permitOpen permitState = iota
	permitSent
	permitRefused
)

type attempt struct {
	id    string
	state atomic.Int32
}

// transition moves an open permit to the given state and returns its state afterwards.
func (a *attempt) transition(to permitState) permitState {
	if a.state.CompareAndSwap(int32(permitOpen), int32(to)) {
		return to
	}
	return permitState(a.state.Load())
}

// Unsent is an attempt of which nothing has been sent, with the permit to send it.
type Unsent struct{ attempt *attempt }

// Sent is an attempt whose request may have reached a backend server.
type Sent struct{ attempt *attempt }

// NewAttempt returns an unsent attempt. The id appears in logs and is sent to the
// backend server.
func NewAttempt(id string) Unsent {
	return Unsent{attempt: &attempt{id: id}}
}

// ID returns the id of the attempt.
func (u Unsent) ID() string { return u.attempt.id }

// ID returns the id of the attempt.
func (s Sent) ID() string { return s.attempt.id }

// Send uses up the permit. It must be called before the first byte is sent. It panics
// if a copy of the permit was refused, because the caller was told that the work will
// not run.
func (u Unsent) Send() Sent {
	sent := u.attempt.transition(permitSent) == permitSent
	if !sent && !mutation.Off(mutation.SendPermit) {
		invariant.Check(false, invariant.NotRunNeverSent, "attempt %s sent after it was refused as not run", u.attempt.id)
		panic(fmt.Errorf("attempt %s: %w", u.attempt.id, ErrRefused))
	}
	return Sent(u)
}

// Refuse ends the attempt without running it. If a copy of the permit was already
// sent, the outcome is Unknown and the invariant NotRunNeverSent is reported as broken.
func (u Unsent) Refuse(reason Reason) Outcome {
	refused := u.attempt.transition(permitRefused) == permitRefused
	invariant.Check(refused, invariant.NotRunNeverSent, "attempt %s refused as not run after it was sent: %v", u.attempt.id, reason)
	if !refused && !mutation.Off(mutation.SendPermit) {
		return Unknown{reason: reason}
	}
	return NotRun{reason: reason}
}

// Declined ends the attempt after the backend server reported that it hasn't started
// the work.
func (s Sent) Declined(reason Reason) NotRun { return NotRun{reason: reason} }

// Unknown ends the attempt without a conclusive answer.
func (s Sent) Unknown(reason Reason) Unknown { return Unknown{reason: reason} }
