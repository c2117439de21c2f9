// Package workshop implements clients of plain HTTP services, with retries and hedged
// requests within a retry budget, and defines the protocol of these services.
//
// # Usage
//
//	answer, err := service.Call(ctx, workshop.Request{Method: "GET", Path: "/panels/7"})
package workshop

import (
	"context"
	"errors"
	"fmt"
	"net/http"
)

// HeaderIdempotencyKey carries the caller's key of a non-idempotent call.
const HeaderIdempotencyKey = "Idempotency-Key"

// HeaderNotStarted is set by a service on an answer to a call that didn't start and
// never will.
const HeaderNotStarted = "X-Not-Started"

// Request is one call of a plain service.
type Request struct {
	Method string
	// Path starts with a slash and doesn't contain the service name. Query is the raw
	// query without the question mark.
	Path  string
	Query string
	// Header holds the request headers that are forwarded.
	Header http.Header
	Body   []byte
	// Attempt is the id of this try.
	Attempt string
	// Key is the caller's idempotency key, empty if the call is repeatable.
	Key string
}

// Answer is the complete answer of a service.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Service is a plain service on one backend server. Call returns an error if no
// complete answer arrived, and a *NotStartedError if the call didn't start and never
// will.
type Service interface {
	Call(ctx context.Context, req Request) (Answer, error)
}

// NotStartedError means that a call didn't start: the connection failed before anything
// was sent, or the service itself reported it.
type NotStartedError struct {
	Peer string
	// Refused is set if the server itself reported it.
	Refused bool
	Err     error
}

// Error returns a description of the failure with its peer.
func (e *NotStartedError) Error() string {
	return fmt.Sprintf("call: peer %s: not started: %v", e.Peer, e.Err)
}

// ErrNotAdmitted is the cause of a NotStartedError if the call was refused before it was
// sent to any server. It says nothing about the server.
var ErrNotAdmitted = errors.New("call not admitted")

// Unwrap returns the underlying error.
func (e *NotStartedError) Unwrap() error { return e.Err }
