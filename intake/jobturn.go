package intake

import (
	"context"
	"time"

	"github.com/balsamlock/balsamlock/receipt"
)

// JobTurn is one request in a backlog. It is used by one goroutine.
type JobTurn struct {
	backlog *Backlog
	job     Job
	arrived time.Time
	granted chan struct{}
	// isLate, placing and hurried are guarded by the backlog.
	isLate  bool
	placing bool
	hurried bool
	started bool
	// start is the virtual time of the turn.
	start float64
}

// BestEffort tells whether the request is late and leaves some room to others.
func (t *JobTurn) BestEffort() bool {
	t.backlog.mu.Lock()
	defer t.backlog.mu.Unlock()
	return t.isLate && !t.hurried
}

// useless tells whether a start is of no use any more.
func (t *JobTurn) useless(now time.Time) bool {
	return !t.hurried && !t.job.LatestStart.IsZero() && !now.Before(t.job.LatestStart)
}

// Expedite puts the request before all others, without a time limit: engines have
// worked for it already.
func (t *JobTurn) Expedite() {
	t.backlog.mu.Lock()
	defer t.backlog.mu.Unlock()
	t.hurried = true
}

// Wait gives up the turn because no room was found and waits for the next one,
// which comes after d at the earliest unless room is reported before.
func (t *JobTurn) Wait(ctx context.Context, d time.Duration) *receipt.Reason {
	b := t.backlog
	b.mu.Lock()
	b.endPlacingLocked(t)
	b.closeLocked(d)
	b.mu.Unlock()
	return t.queue(ctx)
}

// Placed ends the turn with a start; the next request may look for room.
func (t *JobTurn) Placed() {
	b := t.backlog
	b.mu.Lock()
	defer b.mu.Unlock()
	if !t.started {
		t.started = true
		b.starts.add(time.Now())
		if t.isLate {
			b.lateStarts.add(time.Now())
		}
		b.chargeLocked(t)
	}
	b.endPlacingLocked(t)
	b.grantLocked()
}

// Close takes the request out of the backlog. It may be called more than once.
func (t *JobTurn) Close() {
	b := t.backlog
	b.mu.Lock()
	defer b.mu.Unlock()
	b.removeLocked(t)
	b.endPlacingLocked(t)
	b.grantLocked()
}

// queue waits for a grant; when the request turns late, it changes its place or
// is refused.
func (t *JobTurn) queue(ctx context.Context) *receipt.Reason {
	b := t.backlog
	b.mu.Lock()
	reason := b.pushLocked(t, time.Now())
	b.mu.Unlock()
	for reason == nil {
		limit, stop := t.limit()
		select {
		case <-t.granted:
			stop()
			return nil
		case <-limit:
			reason = b.expire(t, time.Now())
		case <-ctx.Done():
			reason = ended(ctx)
		}
		stop()
	}
	t.Close()
	return reason
}

// limit returns a channel that receives when the request turns late or useless.
func (t *JobTurn) limit() (<-chan time.Time, func()) {
	t.backlog.mu.Lock()
	until := t.job.DueAt
	if t.isLate || !t.job.LatestStart.IsZero() && t.job.LatestStart.Before(until) {
		until = t.job.LatestStart
	}
	if t.hurried {
		until = time.Time{}
	}
	t.backlog.mu.Unlock()
	if until.IsZero() {
		return nil, func() {}
	}
	timer := time.NewTimer(time.Until(until))
	return timer.C, func() { timer.Stop() }
}
