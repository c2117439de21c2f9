package kiln

import (
	"fmt"
	"net/http"
)

// ErrorCode is an engine's reason for a refusal.
type ErrorCode string

// The refusals of an engine. All of them mean that the call had no effect.
const (
	ErrFull        ErrorCode = "full"
	ErrLeaving     ErrorCode = "leaving"
	ErrWrongRole   ErrorCode = "wrong_role"
	ErrNoModel     ErrorCode = "no_model"
	ErrGone        ErrorCode = "gone"
	ErrFenced      ErrorCode = "fenced"
	ErrBusy        ErrorCode = "busy"
	ErrBadRequest  ErrorCode = "bad_request"
	ErrUnavailable ErrorCode = "unavailable"
	// ErrNoExport means that an import's source no longer keeps the export; the
	// reservation is still held.
	ErrNoExport ErrorCode = "no_export"
)

// EngineError is an engine's own refusal of a call.
type EngineError struct {
	// Peer is the engine's address.
	Peer string
	// Call is the call that was refused, such as "reserve".
	Call string
	Code ErrorCode
	// Message explains the refusal to a person.
	Message string
}

// Error describes the refusal with its call and peer.
func (e *EngineError) Error() string {
	return fmt.Sprintf("%s: peer %s: %s: %s", e.Call, e.Peer, e.Code, e.Message)
}

// NotSentError means that a call could not be sent, so that it has no effect.
type NotSentError struct {
	// Peer is the engine's address.
	Peer string
	// Call is the call that failed.
	Call string
	Err  error
}

// Error describes the failure with its call and peer.
func (e *NotSentError) Error() string {
	return fmt.Sprintf("%s: peer %s: not sent: %v", e.Call, e.Peer, e.Err)
}

// Unwrap returns the underlying error.
func (e *NotSentError) Unwrap() error { return e.Err }

// ResponseError is an engine's final answer to a decode that isn't a stream: the
// engine took the request and failed it.
type ResponseError struct {
	// Peer is the engine's address.
	Peer   string
	Status int
	Header http.Header
	Body   []byte
}

// Error describes the answer with its peer.
func (e *ResponseError) Error() string {
	return fmt.Sprintf("decode: peer %s: answered with status %d", e.Peer, e.Status)
}
