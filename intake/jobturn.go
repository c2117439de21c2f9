package intake

import (
	"context"
	"time"

	"github.com/balsamlock/balsamlock/receipt"
)

// JobTurn is a request in a Backlog. It must be used by one goroutine only.
type JobTurn struct {
	backlog *Backlog
	job     Job
	arrived time.Time
	granted chan struct{}
	// The following fields are guarded by backlog.mu.
	isLate  bool
	placing bool
	// version is the version of the engines that the request needs, or empty if any will do.
	version   string
	expedited bool
	started   bool
	// teamStart and classStart are the virtual start times in fair queueing.
	teamStart  float64
	classStart float64
	// isShare is set while the request is placed because its rank is less urgent than
	// others that wait, passesOthers if less urgent ones waited when it was chosen.
	isShare      bool
	passesOthers bool
	// displaced is the refusal of a late request that made room for a more urgent one. It
	// is set before granted is closed.
	displaced *receipt.Reason
}

// BestEffort reports whether the request is late, and so must leave some capacity free
// for others.
func (t *JobTurn) BestEffort() bool {
	t.backlog.mu.Lock()
	defer t.backlog.mu.Unlock()
	return t.isLate && !t.expedited
}

// goesFirst reports whether the request goes before all others: engines have already done
// work for it, or its caller has a part of the response.
func (t *JobTurn) goesFirst() bool { return t.expedited || t.job.Begun }

// isExpired reports whether a start is no longer useful.
func (t *JobTurn) isExpired(now time.Time) bool {
	return !t.expedited && !t.job.LatestStart.IsZero() && !now.Before(t.job.LatestStart)
}

// isDue reports whether the request has waited in vain for a start on time.
func (t *JobTurn) isDue(now time.Time) bool {
	return !t.isLate && !t.goesFirst() && now.After(t.arrived) && (t.isExpired(now) || !t.job.DueAt.IsZero() && !now.Before(t.job.DueAt))
}

// Expedite puts the request ahead of all others and removes its time limits, because
// engines have already done work for it. BestEffort returns false from then on. The
// position in the backlog changes with the next Wait.
func (t *JobTurn) Expedite() {
	t.backlog.mu.Lock()
	defer t.backlog.mu.Unlock()
	t.expedited = true
}

// Restrict records that the request needs engines of one version of their software from now
// on.
func (t *JobTurn) Restrict(version string) {
	t.backlog.mu.Lock()
	defer t.backlog.mu.Unlock()
	t.version = version
}

// Wait gives up the turn because no free capacity was found and waits for another
// one. No turns are granted to requests that need the same version, or to any if the request
// needs none, until d has passed or Wake is called. A non-nil reason means that the request
// was refused.
func (t *JobTurn) Wait(ctx context.Context, d time.Duration) *receipt.Reason {
	b := t.backlog
	b.mu.Lock()
	b.endPlacingLocked(t)
	b.blockLocked(t.version, d)
	b.mu.Unlock()
	return t.await(ctx)
}

// Placed records that the request was started, charges its cost, and grants the next
// turn. Repeated calls count one start.
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

// Close removes the request from the backlog. It may be called more than once.
func (t *JobTurn) Close() {
	b := t.backlog
	b.mu.Lock()
	defer b.mu.Unlock()
	b.removeLocked(t)
	b.endPlacingLocked(t)
	b.grantLocked()
}

// await queues the request and waits until its turn is granted. When the request
// becomes late, it moves to the late queue or is refused.
func (t *JobTurn) await(ctx context.Context) *receipt.Reason {
	b := t.backlog
	b.mu.Lock()
	reason := b.pushLocked(t, time.Now())
	b.mu.Unlock()
	for reason == nil {
		limit, changed, stop := t.nextLimit()
		select {
		case <-t.granted:
			stop()
			return t.displaced
		case <-limit:
			reason = b.expire(t, time.Now())
		case <-changed:
		case <-ctx.Done():
			reason = contextReason(ctx)
		}
		stop()
	}
	t.Close()
	return reason
}

// nextLimit returns a channel that receives when the request becomes late, expires or
// could no longer end in time, one that is closed when this limit changes, and a function
// that stops the timer. A channel is nil if there is no limit or no further change.
func (t *JobTurn) nextLimit() (limit <-chan time.Time, changed <-chan struct{}, stop func()) {
	b := t.backlog
	b.mu.Lock()
	until := t.job.DueAt
	if t.isLate || until.IsZero() || !t.job.LatestStart.IsZero() && t.job.LatestStart.Before(until) {
		until = t.job.LatestStart
	}
	last := b.endAt.Add(-t.job.RunTime)
	switch {
	case t.expedited:
		until = time.Time{}
	case b.endAt.IsZero():
		changed = b.limitsChanged
	case until.IsZero() || last.Before(until):
		until = last
	}
	b.mu.Unlock()
	if until.IsZero() {
		return nil, changed, func() {}
	}
	timer := time.NewTimer(time.Until(until))
	return timer.C, changed, func() { timer.Stop() }
}
