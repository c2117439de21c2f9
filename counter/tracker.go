package counter

import (
	"context"
	"sync/atomic"

	"github.com/balsamlock/balsamlock/common/invariant"
	"github.com/balsamlock/balsamlock/common/mutation"
)

// RequestTracker counts the requests in progress, so that a shutdown can wait for
// them.
type RequestTracker struct {
	draining atomic.Bool
	active   atomic.Int64
	idle     chan struct{}
}

// NewRequestTracker returns a tracker that accepts requests.
func NewRequestTracker() *RequestTracker {
	return &RequestTracker{idle: make(chan struct{}, 1)}
}

// Begin registers a request and reports whether it may run. It returns false while
// draining. The caller must call End once for each Begin that returned true.
func (t *RequestTracker) Begin() bool {
	t.active.Add(1)
	if t.draining.Load() {
		t.End()
		return false
	}
	return true
}

// End marks a request as finished.
func (t *RequestTracker) End() {
	if t.active.Add(-1) == 0 && t.draining.Load() {
		t.signalIdle()
	}
}

func (t *RequestTracker) signalIdle() {
	select {
	case t.idle <- struct{}{}:
	default:
	}
}

// Draining reports whether new requests are refused.
func (t *RequestTracker) Draining() bool { return t.draining.Load() }

// Active returns the number of requests in progress.
func (t *RequestTracker) Active() int64 { return t.active.Load() }

// Drain refuses new requests and waits until none is in progress or ctx is done.
// It returns the number of requests still in progress.
func (t *RequestTracker) Drain(ctx context.Context) int64 {
	t.draining.Store(true)
	if !mutation.Off(mutation.DrainWait) {
		t.waitIdle(ctx)
	}
	remaining := t.active.Load()
	invariant.Check(remaining == 0 || ctx.Err() != nil, invariant.GracefulShutdown, "%d requests cut off by shutdown", remaining)
	return remaining
}

func (t *RequestTracker) waitIdle(ctx context.Context) {
	for t.active.Load() > 0 {
		select {
		case <-t.idle:
		case <-ctx.Done():
			return
		}
	}
}
