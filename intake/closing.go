package intake

import (
	"sync/atomic"
	"time"
)

// endMargin is kept between the end of what was accepted and the kill of the
// process, for answers to go out.
const endMargin = 400 * time.Millisecond

// ShutdownGate decides what an instance that is shutting down still accepts: only what
// ends before the process does, so that nothing is cut. It answers the requests
// that come while the balancer and kept connections still lead here. It is safe
// for concurrent use.
type ShutdownGate struct {
	grace time.Duration
	began atomic.Pointer[time.Time]
}

// NewShutdownGate returns a Closing for a process that is killed grace after its
// shutdown has begun.
func NewShutdownGate(grace time.Duration) *ShutdownGate { return &ShutdownGate{grace: grace} }

// Begin records that the shutdown has begun; only the first call counts.
func (c *ShutdownGate) Begin(now time.Time) { c.began.CompareAndSwap(nil, &now) }

// Begun tells whether the shutdown has begun.
func (c *ShutdownGate) Begun() bool { return c.began.Load() != nil }

// Accepts tells whether a request that takes up to needs is accepted.
func (c *ShutdownGate) Accepts(needs time.Duration, now time.Time) bool {
	began := c.began.Load()
	return began == nil || now.Add(needs).Before(c.end(*began))
}

// Remaining returns the time until everything must have ended; zero or less afterwards.
// Before the shutdown it is the whole grace.
func (c *ShutdownGate) Remaining(now time.Time) time.Duration {
	began := c.began.Load()
	if began == nil {
		return c.grace - endMargin
	}
	return c.end(*began).Sub(now)
}

func (c *ShutdownGate) end(began time.Time) time.Time { return began.Add(c.grace - endMargin) }
