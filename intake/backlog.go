package intake

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/balsamlock/balsamlock/common/settings"
	"github.com/balsamlock/balsamlock/receipt"
)

// BacklogConfig configures a Backlog.
type BacklogConfig struct {
	// MaxPlacing is the maximum number of requests that are being placed concurrently.
	MaxPlacing int `json:"placing"`
	// MaxLateQueueSeconds limits the number of waiting late requests to those that can
	// be started within this time at the recent rate of late starts. One late request
	// may always wait.
	MaxLateQueueSeconds float64 `json:"late_seconds"`
	// MaxLateWaitMS is the time after its arrival, in milliseconds, until which a
	// request that misses its objective may wait for a start. With 0 such requests are
	// refused.
	MaxLateWaitMS int `json:"late_ms"`
	// RetryAfterMS is the retry hint of refused requests, in milliseconds.
	RetryAfterMS int `json:"return_ms"`
}

// DefaultBacklogConfig returns the default settings.
func DefaultBacklogConfig() BacklogConfig {
	return BacklogConfig{
		MaxPlacing:          2,
		MaxLateQueueSeconds: 4,
		// Callers time out after 3.6 s, and the start takes part of that time.
		MaxLateWaitMS: 2800,
		// Bursts last 4 to 5 s.
		RetryAfterMS: 4000,
	}
}

// Check reports invalid values to p.
func (c BacklogConfig) Check(p *settings.Problems) {
	p.Positive("placing", c.MaxPlacing)
	p.Add(c.MaxLateQueueSeconds >= 0, "late_seconds", c.MaxLateQueueSeconds, "a number of at least 0")
	p.Add(c.MaxLateWaitMS >= 0, "late_ms", c.MaxLateWaitMS, "a whole number of at least 0")
	p.Positive("return_ms", c.RetryAfterMS)
}

// Job describes a request that waits in a Backlog.
type Job struct {
	// Class is the class of the request. Waiting classes receive equal shares of the
	// starts, measured by cost, so that a burst of one doesn't starve the others.
	Class string
	// Rank is the urgency of the request, 0 the most urgent. Team is the team that sent it,
	// or empty. Waiting teams of a rank receive equal shares of its starts, like classes.
	Rank int
	Team string
	// Cost is the expected work in tokens.
	Cost int
	// DueAt is the time until which a start still meets the request's objective; zero
	// means any time. LatestStart is the time until which a start is useful at all. If
	// LatestStart is zero, the request is refused when it becomes late.
	DueAt       time.Time
	LatestStart time.Time
	// RunTime is the time from a start to the end of the response in nearly all cases.
	RunTime time.Duration
	// Begun is set for the rest of a response of which the caller has a part already. Such
	// requests go before all others, and only LatestStart limits their wait.
	Begun bool
	// Version is the version of the engines' software that the request needs, or empty if any
	// will do.
	Version string
}

// Backlog queues requests until they can be placed on an engine. It handles bursts
// that exceed the memory of the engines. Requests that can still meet their objective
// come first, in the order of backlogOrder, which lets as many requests as possible meet
// their objective. The rest of a response that has begun goes before them. Late requests use
// the remaining capacity in order of rank and
// arrival. They are refused immediately if more of them wait than could be started in time at the recent rate of
// late starts. A Backlog is safe for concurrent use.
type Backlog struct {
	cfg BacklogConfig

	mu      sync.Mutex
	onTime  []*JobTurn
	late    []*JobTurn
	placing int
	// endAt is the time by which all requests must have ended, or zero. limitsChanged is
	// closed when it is set.
	endAt         time.Time
	limitsChanged chan struct{}
	// blocks maps versions of engines to the time until which no free capacity is expected
	// there. The key "" stands for all engines.
	blocks map[string]block
	starts startRate
	// lateStarts counts the starts of late requests.
	lateStarts startRate
	order      *backlogOrder
}

// block ends at a time, at which its timer grants the next turns.
type block struct {
	until time.Time
	timer *time.Timer
}

// NewBacklog returns an empty backlog.
func NewBacklog(cfg BacklogConfig) *Backlog {
	b := &Backlog{
		cfg:           cfg,
		limitsChanged: make(chan struct{}),
		blocks:        map[string]block{},
		order:         newBacklogOrder(),
	}
	b.starts.windowStart = time.Now()
	b.lateStarts.windowStart = b.starts.windowStart
	return b
}

// LatestStart returns the time until which a late request may start. A run of the
// given duration must then end by the deadline. The zero time means that late starts
// are turned off.
func (b *Backlog) LatestStart(arrived, deadline time.Time, run time.Duration) time.Time {
	if b.cfg.MaxLateWaitMS == 0 {
		return time.Time{}
	}
	latest := arrived.Add(time.Duration(b.cfg.MaxLateWaitMS) * time.Millisecond)
	if end := deadline.Add(-run); end.Before(latest) {
		return end
	}
	return latest
}

// EndBy refuses the requests, waiting or new, whose runs could not end by a time. It is
// called when the instance stops: a run that begins later would be cut off. Later calls
// have no effect.
func (b *Backlog) EndBy(end time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.endAt.IsZero() {
		return
	}
	b.endAt = end
	close(b.limitsChanged)
}

// missesEndLocked reports whether a run that begins now could not end in time. Expedited
// requests may begin at any time: what they continue would be cut off at once otherwise.
func (b *Backlog) missesEndLocked(t *JobTurn, now time.Time) bool {
	return !t.expedited && !b.endAt.IsZero() && !now.Before(b.endAt.Add(-t.job.RunTime))
}

// Waiting returns the number of waiting requests and how many of them are late.
func (b *Backlog) Waiting() (all, late int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.onTime) + len(b.late), len(b.late)
}

// Wake unblocks the backlog and grants the next turns immediately. It is called when
// capacity may have been freed.
func (b *Backlog) Wake() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for version := range b.blocks {
		b.unblockLocked(version)
	}
	b.grantLocked()
}

// Enter queues the request and waits until it may be placed. A non-nil reason means
// that the request was refused.
func (b *Backlog) Enter(ctx context.Context, job Job) (*JobTurn, *receipt.Reason) {
	t := &JobTurn{
		backlog: b,
		job:     job,
		version: job.Version,
		arrived: time.Now(),
	}
	if reason := t.await(ctx); reason != nil {
		return nil, reason
	}
	return t, nil
}

// pushLocked queues a request as on time or late. A non-nil reason means that the
// request was refused.
func (b *Backlog) pushLocked(t *JobTurn, now time.Time) *receipt.Reason {
	t.granted = make(chan struct{})
	if t.isDue(now) {
		b.order.missed(t.job.Rank, now)
	}
	if b.missesEndLocked(t, now) {
		return b.stoppingReasonLocked(t, now)
	}
	if t.isExpired(now) {
		return b.overloadedReasonLocked(t, now)
	}
	if !t.isLate && !t.job.DueAt.IsZero() && !now.Before(t.job.DueAt) && !t.expedited {
		if reason := b.markLateLocked(t, now); reason != nil {
			return reason
		}
	}
	if t.isLate && !t.expedited {
		b.late = insert(b.late, t, moreUrgentFirst)
	} else {
		b.onTime = insert(b.onTime, t, cheaperFirst)
	}
	b.grantLocked()
	return nil
}

// cheaperFirst orders on-time requests: expedited and begun ones first, then by cost.
func cheaperFirst(a, b *JobTurn) bool {
	if a.goesFirst() != b.goesFirst() {
		return a.goesFirst()
	}
	return a.job.Cost < b.job.Cost
}

// moreUrgentFirst orders late requests: by rank, then by arrival.
func moreUrgentFirst(a, b *JobTurn) bool {
	if a.job.Rank != b.job.Rank {
		return a.job.Rank < b.job.Rank
	}
	return a.arrived.Before(b.arrived)
}

// insert inserts t into the sorted list, after elements that compare equal.
func insert(list []*JobTurn, t *JobTurn, before func(a, b *JobTurn) bool) []*JobTurn {
	at := len(list)
	for at > 0 && before(t, list[at-1]) {
		at--
	}
	return slices.Insert(list, at, t)
}

// markLateLocked marks a request as late. It returns a reason if the request can no
// longer start or too many late requests wait that aren't less urgent.
func (b *Backlog) markLateLocked(t *JobTurn, now time.Time) *receipt.Reason {
	if t.job.LatestStart.IsZero() || !now.Before(t.job.LatestStart) {
		return b.overloadedReasonLocked(t, now)
	}
	if float64(len(b.late)) >= max(1, b.cfg.MaxLateQueueSeconds*b.lateStarts.perSecond(now)) && !b.displaceLocked(t, now) {
		return b.overloadedReasonLocked(t, now)
	}
	t.isLate = true
	return nil
}

// displaceLocked refuses the last waiting late request if it is less urgent than t, and
// reports whether it is.
func (b *Backlog) displaceLocked(t *JobTurn, now time.Time) bool {
	if len(b.late) == 0 {
		return false
	}
	last := b.late[len(b.late)-1]
	if last.job.Rank <= t.job.Rank {
		return false
	}
	b.late = slices.Delete(b.late, len(b.late)-1, len(b.late))
	last.displaced = b.overloadedReasonLocked(last, now)
	close(last.granted)
	return true
}

// begunRetryAfter is short because the caller waits for the rest of its response, and another
// instance may have room for it.
const begunRetryAfter = 100 * time.Millisecond

// overloadedReasonLocked returns a refusal that holds the state of the backlog.
func (b *Backlog) overloadedReasonLocked(t *JobTurn, now time.Time) *receipt.Reason {
	retryAfter := time.Duration(b.cfg.RetryAfterMS) * time.Millisecond
	if t.job.Begun {
		retryAfter = begunRetryAfter
	}
	return &receipt.Reason{
		Code:       receipt.CodeOverloaded,
		Step:       receipt.StepAdmit,
		RetryAfter: retryAfter,
		Err:        b.overloadErrorLocked(t, now),
	}
}

// stoppingReasonLocked returns the refusal of a request whose run could not end before the
// instance does. Another instance may still start it in time.
func (b *Backlog) stoppingReasonLocked(t *JobTurn, now time.Time) *receipt.Reason {
	return &receipt.Reason{
		Code: receipt.CodeShuttingDown,
		Step: receipt.StepAdmit,
		Err:  b.overloadErrorLocked(t, now),
	}
}

func (b *Backlog) overloadErrorLocked(t *JobTurn, now time.Time) *OverloadError {
	return &OverloadError{
		Waited:          now.Sub(t.arrived),
		Waiting:         len(b.onTime),
		Late:            len(b.late),
		StartsPerSecond: b.starts.perSecond(now),
	}
}

// expire handles a request that has reached its limit: an on-time request moves to the
// late queue or is refused, a late one is refused. So is any request that could no longer
// end in time.
func (b *Backlog) expire(t *JobTurn, now time.Time) *receipt.Reason {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.removeLocked(t) {
		// The turn was granted concurrently.
		return nil
	}
	if t.isLate && !b.missesEndLocked(t, now) {
		return b.overloadedReasonLocked(t, now)
	}
	return b.pushLocked(t, now)
}

func (b *Backlog) removeLocked(t *JobTurn) bool {
	for _, list := range []*[]*JobTurn{&b.onTime, &b.late} {
		if at := slices.Index(*list, t); at >= 0 {
			*list = slices.Delete(*list, at, at+1)
			return true
		}
	}
	return false
}

func (b *Backlog) endPlacingLocked(t *JobTurn) {
	if t.placing {
		t.placing = false
		b.placing--
		if t.isShare {
			t.isShare = false
			b.order.isSharing = false
		}
	}
}

// blockLocked grants no turns to requests that need a version, or to any if it is empty, until
// d has passed or Wake is called.
func (b *Backlog) blockLocked(version string, d time.Duration) {
	b.unblockLocked(version)
	b.blocks[version] = block{
		until: time.Now().Add(d),
		timer: time.AfterFunc(d, b.grant),
	}
}

func (b *Backlog) unblockLocked(version string) {
	if last, ok := b.blocks[version]; ok {
		last.timer.Stop()
		delete(b.blocks, version)
	}
}

func (b *Backlog) isBlockedLocked(version string, now time.Time) bool {
	return now.Before(b.blocks[version].until)
}

func (b *Backlog) grant() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.grantLocked()
}

// grantLocked grants turns until MaxPlacing requests are being placed. Late requests
// get a turn only if no others can. Requests that wait for a version without free capacity
// don't keep the others waiting.
func (b *Backlog) grantLocked() {
	now := time.Now()
	maps.DeleteFunc(b.blocks, func(_ string, end block) bool { return !now.Before(end.until) })
	if b.isBlockedLocked("", now) {
		return
	}
	for {
		onTime, late := b.unblockedLocked(b.onTime, now), b.unblockedLocked(b.late, now)
		if b.placing >= b.maxPlacing(onTime) {
			return
		}
		var t *JobTurn
		switch {
		case len(onTime) > 0:
			t = onTime[b.order.pick(onTime, now)]
		case len(late) > 0:
			t = late[0]
		default:
			return
		}
		b.removeLocked(t)
		t.placing = true
		b.placing++
		close(t.granted)
	}
}

// unblockedLocked returns the requests of a list that may find free capacity.
func (b *Backlog) unblockedLocked(list []*JobTurn, now time.Time) []*JobTurn {
	if len(b.blocks) == 0 {
		return list
	}
	return slices.DeleteFunc(slices.Clone(list), func(t *JobTurn) bool { return b.isBlockedLocked(t.version, now) })
}

// begunPlacingFactor is the factor by which more requests are placed at the same time while the
// rest of a response waits, so that one without room doesn't keep the others waiting.
const begunPlacingFactor = 3

// maxPlacing returns how many requests are placed at the same time, of those on time that may
// find free capacity.
func (b *Backlog) maxPlacing(onTime []*JobTurn) int {
	if len(onTime) > 0 && onTime[0].job.Begun {
		return begunPlacingFactor * b.cfg.MaxPlacing
	}
	return b.cfg.MaxPlacing
}

// chargeLocked charges the cost of a start to its team and class. Late requests and those
// that go first aren't charged.
func (b *Backlog) chargeLocked(t *JobTurn) {
	if !t.isLate && !t.goesFirst() {
		b.order.started(t, time.Now())
	}
}
