package intake

import (
	"sync/atomic"
	"time"
)

// shutdownMargin is the time between the end of the last accepted request and the
// kill of the process. It allows responses to be sent and the process to end, also if it
// has to wait for processor time.
const shutdownMargin = 700 * time.Millisecond

// ShutdownGate decides which requests an instance accepts during its shutdown: only
// those that end before the process is killed, so that no response is cut off.
// Requests still arrive then, because the load balancer and keep-alive connections
// route to the instance for some time.
//
// While the load balancer still sends new connections, a request is accepted if it is
// expected to end in time: refused callers might come back to the same instance. Later
// ones arrive on keep-alive connections, and their callers reach another instance after
// a refusal. They are accepted only if they must have ended in time, since a server may
// be slower than expected. It is safe for concurrent use.
type ShutdownGate struct {
	grace    atomic.Int64
	rotation time.Duration
	begun    atomic.Pointer[shutdownTimes]
}

// shutdownTimes are the times of a shutdown that has begun.
type shutdownTimes struct {
	// outOfRotation is when the load balancer sends no new connections any more, end when all
	// requests must have ended.
	outOfRotation time.Time
	end           time.Time
}

// NewShutdownGate returns a ShutdownGate for a process that is killed when the grace
// period has passed since the start of its shutdown. rotation is how long the load
// balancer sends new connections after the start.
func NewShutdownGate(grace, rotation time.Duration) *ShutdownGate {
	g := &ShutdownGate{rotation: rotation}
	g.SetGrace(grace)
	return g
}

// SetGrace changes the grace period. A shutdown that has begun keeps its own.
func (g *ShutdownGate) SetGrace(grace time.Duration) { g.grace.Store(int64(grace)) }

// Begin records the start of the shutdown. Later calls have no effect.
func (g *ShutdownGate) Begin(now time.Time) {
	g.begun.CompareAndSwap(nil, &shutdownTimes{
		outOfRotation: now.Add(g.rotation),
		end:           now.Add(g.serving()),
	})
}

// Begun reports whether the shutdown has begun.
func (g *ShutdownGate) Begun() bool { return g.begun.Load() != nil }

// Accepts reports whether a request is accepted that is expected to take a time and ends
// at its deadline at the latest.
func (g *ShutdownGate) Accepts(expected time.Duration, deadline, now time.Time) bool {
	times := g.begun.Load()
	switch {
	case times == nil:
		return true
	case now.Before(times.outOfRotation):
		return now.Add(expected).Before(times.end)
	}
	return deadline.Before(times.end)
}

// Remaining returns the time until all requests must have ended, and zero or less
// afterwards. Before the shutdown it returns the grace period less shutdownMargin.
func (g *ShutdownGate) Remaining(now time.Time) time.Duration {
	times := g.begun.Load()
	if times == nil {
		return g.serving()
	}
	return times.end.Sub(now)
}

// End returns the time by which all requests must have ended, and false before the
// shutdown.
func (g *ShutdownGate) End() (time.Time, bool) {
	times := g.begun.Load()
	if times == nil {
		return time.Time{}, false
	}
	return times.end, true
}

// serving returns how long requests may go on after the start of a shutdown.
func (g *ShutdownGate) serving() time.Duration {
	return time.Duration(g.grace.Load()) - shutdownMargin
}
