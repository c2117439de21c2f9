// Package recovery contains panics, so that an unexpected error in one request or one
// background loop does not end the process and all its other requests.
//
// # Usage
//
//	defer recovery.Contain("serve request", func(err error) { w.Abort() })
//
//	go func() { _ = recovery.Loop(ctx, "follow servers", follow) }()
package recovery

import (
	"context"
	"expvar"
	"fmt"
	"runtime/debug"
	"time"

	"github.com/phuslu/log"

	"github.com/balsamlock/balsamlock/common/event"
)

// restartDelay is the time after which Loop calls its function again.
const restartDelay = time.Second

var panics = expvar.NewInt("panics")

// PanicError is a contained panic.
type PanicError struct {
	// Step is the work that panicked.
	Step  string
	Value any
}

// Error returns the step and the value of the panic.
func (e *PanicError) Error() string { return fmt.Sprintf("%s: panic: %v", e.Step, e.Value) }

// Contain must be deferred. It recovers a panic, logs it with its stack, and passes it to
// handle as a *PanicError.
func Contain(step string, handle func(err error)) {
	value := recover()
	if value == nil {
		return
	}
	panics.Add(1)
	err := &PanicError{
		Step:  step,
		Value: value,
	}
	log.Error().Str(event.Key, string(event.Panic)).Err(err).Str("stack", string(debug.Stack())).Msg("panic contained")
	handle(err)
}

// Loop calls f until it returns without a panic or ctx is done. It returns the error of f.
func Loop(ctx context.Context, step string, f func(ctx context.Context) error) error {
	for {
		panicked, err := call(ctx, step, f)
		if !panicked {
			return err
		}
		timer := time.NewTimer(restartDelay)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil
		}
	}
}

func call(ctx context.Context, step string, f func(ctx context.Context) error) (panicked bool, err error) {
	defer Contain(step, func(error) { panicked = true })
	return false, f(ctx)
}
