// Package invariant asserts the promises of the system while it runs. A broken
// invariant is counted in expvar, logged, and fatal where a test installed a
// handler.
//
// # Usage
//
//	invariant.Check(frame.Owner == attempt, invariant.OwnAnswer, "frame of %s on %s", frame.Owner, attempt)
package invariant

import (
	"expvar"
	"fmt"
	"sync"

	"github.com/phuslu/log"
)

// Name identifies an invariant in metrics and logs.
type Name string

// The promises of the system.
const (
	NoLeakedEngineMemory  Name = "no_held_memory"
	DeliveredOnce         Name = "answered_once"
	ResponseIntegrity     Name = "own_whole_answer"
	NotRunNeverSent       Name = "not_run_is_true"
	AtMostOnce            Name = "at_most_once"
	NoWorkToLeavingServer Name = "no_work_to_leaving"
	GracefulShutdown      Name = "graceful_shutdown"
	MonotonicVersions     Name = "never_reverts"
)

var (
	broken = expvar.NewMap("invariants_broken")

	handlerMu sync.RWMutex
	handler   func(name Name, message string)
)

// Check reports a broken invariant when ok is false.
func Check(ok bool, name Name, format string, args ...any) {
	if ok {
		return
	}
	message := fmt.Sprintf(format, args...)
	broken.Add(string(name), 1)
	log.Error().Str("invariant", string(name)).Msg(message)
	handlerMu.RLock()
	defer handlerMu.RUnlock()
	if handler != nil {
		handler(name, message)
	}
}

// SetHandler installs a function that is called on every broken invariant, nil
// for none, and returns a function that restores the previous one.
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

// Broken returns how often the invariant was found broken in this process.
func Broken(name Name) int64 {
	v, ok := broken.Get(string(name)).(*expvar.Int)
	if !ok {
		return 0
	}
	return v.Value()
}
