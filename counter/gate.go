package counter

import (
	"context"
	"sync/atomic"

	"github.com/balsamlock/balsamlock/common/invariant"
	"github.com/balsamlock/balsamlock/common/mutation"
)

// RequestTracker counts the requests in progress and lets a shutdown wait for them.
type RequestTracker struct {
	closing atomic.Bool
	active  atomic.Int64
	idle    chan struct{}
}

// NewRequestTracker returns an open gate.
func NewRequestTracker() *RequestTracker {
	return &RequestTracker{idle: make(chan struct{}, 1)}
}

// Begin counts a request in, unless the gate is closing. Every Begin that
// returns true needs one Leave.
func (g *RequestTracker) Begin() bool {
	g.active.Add(1)
	if g.closing.Load() {
		g.End()
		return false
	}
	return true
}

// End counts a request out.
func (g *RequestTracker) End() {
	if g.active.Add(-1) == 0 && g.closing.Load() {
		g.signalIdle()
	}
}

func (g *RequestTracker) signalIdle() {
	select {
	case g.idle <- struct{}{}:
	default:
	}
}

// Draining tells whether new requests are refused.
func (g *RequestTracker) Draining() bool { return g.closing.Load() }

// Active returns the number of requests in progress.
func (g *RequestTracker) Active() int64 { return g.active.Load() }

// Drain refuses new requests and waits until none is in progress or ctx ends.
// It returns the number of requests left.
func (g *RequestTracker) Drain(ctx context.Context) int64 {
	g.closing.Store(true)
	if !mutation.Off(mutation.DrainWait) {
		g.waitIdle(ctx)
	}
	left := g.active.Load()
	invariant.Check(left == 0 || ctx.Err() != nil, invariant.GracefulShutdown, "%d requests cut off by shutdown", left)
	return left
}

func (g *RequestTracker) waitIdle(ctx context.Context) {
	for g.active.Load() > 0 {
		select {
		case <-g.idle:
		case <-ctx.Done():
			return
		}
	}
}
