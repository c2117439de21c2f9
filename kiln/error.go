package kiln

import (
	"errors"
	"fmt"
	"net/http"
)

// ErrorCode states why an engine refused a call.
type ErrorCode string

// The error codes of an engine. With each of them, the call had no effect.
const (
	// ErrFull means that no slot or memory is free.
	ErrFull      ErrorCode = "full"
	ErrLeaving   ErrorCode = "leaving"
	ErrWrongRole ErrorCode = "wrong_role"
	ErrNoModel   ErrorCode = "no_model"
	// ErrGone means that the engine no longer holds anything for the attempt.
	ErrGone ErrorCode = "gone"
	// ErrFenced means that the holding has a higher epoch or another owner of the same
	// epoch, or that the engine has seen an order with a higher fencing token.
	ErrFenced ErrorCode = "fenced"
	// ErrBusy means that the prefill queue is full or an import is in progress.
	ErrBusy        ErrorCode = "busy"
	ErrBadRequest  ErrorCode = "bad_request"
	ErrUnavailable ErrorCode = "unavailable"
	// ErrNoExport means that the source of an import no longer has the export. The
	// reservation is kept.
	ErrNoExport ErrorCode = "no_export"
)

// EngineError is returned when an engine refused a call.
type EngineError struct {
	// Peer is the engine's address.
	Peer string
	// Call is the name of the refused call, such as "reserve".
	Call string
	Code ErrorCode
	// Message is a human-readable explanation.
	Message string
}

// Error returns the call, the peer, the code and the message.
func (e *EngineError) Error() string {
	return fmt.Sprintf("%s: peer %s: %s: %s", e.Call, e.Peer, e.Code, e.Message)
}

// ErrNotAdmitted is the cause of a NotSentError if the engine is alive but has said that it
// wants no calls now.
var ErrNotAdmitted = errors.New("engine wants no calls now")

// NotSentError is returned when a call could not be sent, so that it had no effect.
type NotSentError struct {
	// Peer is the engine's address.
	Peer string
	// Call is the name of the failed call.
	Call string
	Err  error
}

// Error returns the call, the peer and the underlying error.
func (e *NotSentError) Error() string {
	return fmt.Sprintf("%s: peer %s: not sent: %v", e.Call, e.Peer, e.Err)
}

// Unwrap returns the underlying error.
func (e *NotSentError) Unwrap() error { return e.Err }

// ResponseError is returned when an engine accepted a decode request and then failed it
// with a response that isn't a stream.
type ResponseError struct {
	// Peer is the engine's address.
	Peer   string
	Status int
	Header http.Header
	Body   []byte
}

// Error returns the peer and the status.
func (e *ResponseError) Error() string {
	return fmt.Sprintf("decode: peer %s: answered with status %d", e.Peer, e.Status)
}
