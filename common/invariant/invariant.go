// Package invariant implements runtime assertions of the guarantees of the system.
//
// A violation is counted in expvar and logged, and the process continues. Tests install
// a handler that makes the test fail.
//
// # Usage
//
//	invariant.Check(frame.Owner == attempt, invariant.ResponseIntegrity, "frame of %s on %s", frame.Owner, attempt)
package invariant

import (
	"expvar"
	"fmt"
	"sync"

	"github.com/phuslu/log"
)

// Name identifies an invariant in metrics and logs.
type Name string

// The guarantees of the system.
const (
	// NoLeakedEngineMemory means that engine memory of attempts without an owner is
	// freed within a time limit after its first cancel.
	NoLeakedEngineMemory Name = "no_held_memory"
	// DeliveredOnce means that a draft is delivered to at most one collection.
	DeliveredOnce Name = "answered_once"
	// ResponseIntegrity means that a response consists of the frames of its own attempt,
	// in order and without gaps.
	ResponseIntegrity Name = "own_whole_answer"
	// NotRunNeverSent means that an attempt that is reported as not run was not sent.
	NotRunNeverSent Name = "not_run_is_true"
	// AtMostOnce means that an order is only run for the claim that owns its key.
	AtMostOnce Name = "at_most_once"
	// NoWorkToLeavingServer means that no work is sent to a server that is known to be
	// leaving.
	NoWorkToLeavingServer Name = "no_work_to_leaving"
	// GracefulShutdown means that a shutdown doesn't cut off requests in progress before
	// its timeout.
	GracefulShutdown Name = "graceful_shutdown"
	// MonotonicVersions means that an instance never replaces its routing document by an
	// older one.
	MonotonicVersions Name = "never_reverts"
)

var (
	violations = expvar.NewMap("invariants_broken")

	handlerMu sync.RWMutex
	handler   func(name Name, message string)
)

// Check reports a violation of the invariant if ok is false. The format and args describe
// the violation.
func Check(ok bool, name Name, format string, args ...any) {
	if ok {
		return
	}
	message := fmt.Sprintf(format, args...)
	violations.Add(string(name), 1)
	log.Error().Str("invariant", string(name)).Msg(message)
	handlerMu.RLock()
	defer handlerMu.RUnlock()
	if handler != nil {
		handler(name, message)
	}
}

// SetHandler installs a function that is called on every violation and returns a function
// that restores the previous handler. If h is nil, no handler is called.
func SetHandler(h func(name Name, message string)) (restore func()) {
	handlerMu.Lock()
	defer handlerMu.Unlock()
	previous := handler
	handler = h
	return func() {
		handlerMu.Lock()
		defer handlerMu.Unlock()
		handler = previous
	}
}

// Violations returns the number of violations of the invariant in this process.
func Violations(name Name) int64 {
	v, ok := violations.Get(string(name)).(*expvar.Int)
	if !ok {
		return 0
	}
	return v.Value()
}
