package intake

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/balsamlock/balsamlock/receipt"
)

// Priorities is the number of priorities; a higher one goes first.
const Priorities = 10

// Entry is a request that waits for an engine.
type Entry struct {
	Caller string
	// Weight is the caller's share, at least 1.
	Weight int
	// Priority is between 0 and Priorities-1.
	Priority int
	// Cost is the work in tokens.
	Cost int
	// Partition separates requests that don't compete for engines, such as models.
	Partition string
	// BestEffort requests can wait; they have a lane of their own, since they find
	// no room while others still do. Those of callers over their share join them.
	BestEffort bool
	// Restricted requests may find no room where others do; they don't hold up
	// the lane.
	Restricted bool
	// ExpiresAt is the time at which the request can no longer meet its targets;
	// zero for never.
	ExpiresAt time.Time
}

// QueueConfig switches the mechanisms of the queue, for comparison.
type QueueConfig struct {
	// FIFO serves all callers in the order of arrival.
	FIFO bool `json:"unfair,omitempty"`
	// Endless waits also for what can no longer meet its targets.
	Endless bool `json:"endless,omitempty"`
}

// Queue lets requests take turns at being placed: by priority, and inside a
// priority by weighted fair queueing of the callers. Waiting requests are kept
// by the entry instance and have reached no engine.
type Queue struct {
	cfg   QueueConfig
	mu    sync.Mutex
	lanes map[laneName]*lane
	// usages are the callers' recent work by lane.
	usages map[string]*usage
}

// laneName tells the lanes for patient requests from the others.
type laneName struct {
	name    string
	patient bool
}

// NewQueue returns an empty queue.
func NewQueue(cfg QueueConfig) *Queue {
	return &Queue{
		cfg:    cfg,
		lanes:  map[laneName]*lane{},
		usages: map[string]*usage{},
	}
}

func (q *Queue) usage(name string) *usage {
	q.mu.Lock()
	defer q.mu.Unlock()
	u := q.usages[name]
	if u == nil {
		u = newUsage(time.Now())
		q.usages[name] = u
	}
	return u
}

func (q *Queue) lane(name laneName) *lane {
	q.mu.Lock()
	defer q.mu.Unlock()
	l := q.lanes[name]
	if l == nil {
		l = newLane(q.cfg)
		q.lanes[name] = l
	}
	return l
}

// Wake lets the lanes that found no room try again.
func (q *Queue) Wake() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, l := range q.lanes {
		l.open()
	}
}

// Waiting returns the number of requests that wait.
func (q *Queue) Waiting() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := 0
	for _, l := range q.lanes {
		n += l.waiting()
	}
	return n
}

// Enter waits for the entry's turn. A non-nil reason refuses it.
func (q *Queue) Enter(ctx context.Context, entry Entry) (*Turn, *receipt.Reason) {
	u := q.usage(entry.Partition)
	if !q.cfg.FIFO && u.isOver(entry, time.Now()) {
		entry.BestEffort = true
	}
	t := &Turn{
		lane: q.lane(laneName{
			name:    entry.Partition,
			patient: entry.BestEffort,
		}),
		usage: u,
		entry: entry,
	}
	t.lane.enqueue(t)
	if reason := t.await(ctx, 0); reason != nil {
		t.Close()
		return nil, reason
	}
	return t, nil
}

// Turn is one request in the queue. It is used by one goroutine.
type Turn struct {
	lane    *lane
	usage   *usage
	entry   Entry
	granted chan struct{}
	counted bool
	// arrival orders a caller's requests, start is the virtual time of the
	// turn; these and the flags are guarded by the lane.
	arrival uint64
	start   float64
	queued  bool
	started bool
}

// Wait gives up the turn because no room was found and waits for the next one,
// until room is reported or d has passed.
func (t *Turn) Wait(ctx context.Context, d time.Duration) *receipt.Reason {
	if t.entry.Restricted {
		t.lane.leave(t)
		return t.sleep(ctx, d)
	}
	t.lane.requeue(t)
	return t.await(ctx, d)
}

// sleep waits beside the lane.
func (t *Turn) sleep(ctx context.Context, d time.Duration) *receipt.Reason {
	if t.isLate(time.Now()) {
		return late()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ended(ctx)
	}
}

func (t *Turn) isLate(now time.Time) bool {
	return !t.entry.ExpiresAt.IsZero() && !now.Before(t.entry.ExpiresAt) && !t.lane.cfg.Endless
}

// await waits until the turn is granted. The lane opens again after d.
func (t *Turn) await(ctx context.Context, d time.Duration) *receipt.Reason {
	if d > 0 {
		reopen := time.AfterFunc(d, t.lane.open)
		defer reopen.Stop()
	}
	var expired <-chan time.Time
	if !t.entry.ExpiresAt.IsZero() && !t.lane.cfg.Endless {
		timer := time.NewTimer(time.Until(t.entry.ExpiresAt))
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-t.granted:
		return nil
	case <-expired:
		return late()
	case <-ctx.Done():
		return ended(ctx)
	}
}

// Expedite puts the request before all others and lifts its time limit: engines
// have worked for it already.
func (t *Turn) Expedite() {
	t.lane.leave(t)
	t.entry.Priority = Priorities - 1
	t.entry.ExpiresAt = time.Time{}
	t.entry.BestEffort = false
}

// BestEffort tells whether the request has to leave some slots to others.
func (t *Turn) BestEffort() bool { return t.entry.BestEffort }

// Placed lets the next request take its turn and charges this one's cost.
func (t *Turn) Placed() {
	if !t.counted {
		t.counted = true
		t.usage.add(t.entry, time.Now())
	}
	t.lane.placed(t)
}

// Close takes the request out of the queue. It may be called more than once.
func (t *Turn) Close() { t.lane.leave(t) }

func late() *receipt.Reason {
	return &receipt.Reason{
		Code:       receipt.CodeOverloaded,
		Step:       receipt.StepAdmit,
		RetryAfter: time.Second,
	}
}

func ended(ctx context.Context) *receipt.Reason {
	code := receipt.CodeCancelled
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		code = receipt.CodeDeadline
	}
	return &receipt.Reason{
		Code: code,
		Step: receipt.StepAdmit,
		Err:  ctx.Err(),
	}
}
