package intake

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/balsamlock/balsamlock/receipt"
)

// Priorities is the number of priority levels. Higher priorities are served first.
const Priorities = 10

// Entry describes a request that waits to be placed on an engine.
type Entry struct {
	Caller string
	// Weight is the caller's weight in fair queueing, at least 1.
	Weight int
	// Priority ranges from 0 to Priorities-1.
	Priority int
	// Cost is the expected work in tokens.
	Cost int
	// Partition groups requests that compete for the same engines, for example by
	// model. Requests in different partitions don't wait for each other.
	Partition string
	// BestEffort marks a request that can wait. Best-effort requests may use only
	// part of the capacity, so they run out of it before other requests do and are
	// queued separately. Requests of callers above their fair share are queued as
	// best effort too.
	BestEffort bool
	// Restricted marks a request that may run on some of the engines only. It may
	// find no free capacity where other requests do, so it doesn't block its
	// partition.
	Restricted bool
	// ExpiresAt is the time from which the request can no longer meet its targets;
	// zero means never.
	ExpiresAt time.Time
}

// QueueConfig turns off mechanisms of the queue, for comparison runs.
type QueueConfig struct {
	// FIFO serves requests in order of arrival, without fairness between callers.
	FIFO bool `json:"unfair,omitempty"`
	// NoExpiry keeps requests queued that can no longer meet their targets.
	NoExpiry bool `json:"endless,omitempty"`
}

// Queue decides the order in which requests are placed: by priority, and within a
// priority by weighted fair queueing over the callers. Waiting requests are held by
// the entry instance and haven't been sent to an engine. It is safe for concurrent
// use.
type Queue struct {
	cfg        QueueConfig
	mu         sync.Mutex
	partitions map[partitionKey]*partition
	// usages holds the recent work of each partition's callers by partition name.
	usages map[string]*usage
}

// partitionKey identifies a partition. Best-effort requests have their own.
type partitionKey struct {
	name       string
	bestEffort bool
}

// NewQueue returns an empty queue.
func NewQueue(cfg QueueConfig) *Queue {
	return &Queue{
		cfg:        cfg,
		partitions: map[partitionKey]*partition{},
		usages:     map[string]*usage{},
	}
}

func (q *Queue) usage(partition string) *usage {
	q.mu.Lock()
	defer q.mu.Unlock()
	u := q.usages[partition]
	if u == nil {
		u = newUsage(time.Now())
		q.usages[partition] = u
	}
	return u
}

func (q *Queue) partition(key partitionKey) *partition {
	q.mu.Lock()
	defer q.mu.Unlock()
	p := q.partitions[key]
	if p == nil {
		p = newPartition(q.cfg)
		q.partitions[key] = p
	}
	return p
}

// Wake unblocks all partitions that are blocked for lack of free capacity.
func (q *Queue) Wake() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, p := range q.partitions {
		p.unblock()
	}
}

// Waiting returns the number of queued requests.
func (q *Queue) Waiting() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := 0
	for _, p := range q.partitions {
		n += p.waiting()
	}
	return n
}

// Enter queues the request and waits until it may be placed. A non-nil reason means
// that the request was refused.
func (q *Queue) Enter(ctx context.Context, entry Entry) (*Turn, *receipt.Reason) {
	u := q.usage(entry.Partition)
	if !q.cfg.FIFO && u.isOverShare(entry, time.Now()) {
		entry.BestEffort = true
	}
	t := &Turn{
		partition: q.partition(partitionKey{
			name:       entry.Partition,
			bestEffort: entry.BestEffort,
		}),
		usage: u,
		entry: entry,
	}
	t.partition.enqueue(t)
	if reason := t.await(ctx, 0); reason != nil {
		t.Close()
		return nil, reason
	}
	return t, nil
}

// Turn is a request in the queue. It must be used by one goroutine only.
type Turn struct {
	partition *partition
	usage     *usage
	entry     Entry
	granted   chan struct{}
	charged   bool
	// arrival orders the requests of one caller, virtualStart is the virtual start
	// time in fair queueing. Both, queued and started are guarded by partition.mu.
	arrival      uint64
	virtualStart float64
	queued       bool
	started      bool
}

// Wait gives up the turn because no free capacity was found and waits for another
// one. It blocks the partition until Wake is called or d has passed. A restricted
// request waits outside the queue instead. A non-nil reason means that the request
// was refused.
func (t *Turn) Wait(ctx context.Context, d time.Duration) *receipt.Reason {
	if t.entry.Restricted {
		t.partition.remove(t)
		return t.waitUnqueued(ctx, d)
	}
	t.partition.requeue(t)
	return t.await(ctx, d)
}

// waitUnqueued waits for d without being queued.
func (t *Turn) waitUnqueued(ctx context.Context, d time.Duration) *receipt.Reason {
	if t.isExpired(time.Now()) {
		return overloadedReason()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return contextReason(ctx)
	}
}

func (t *Turn) isExpired(now time.Time) bool {
	return !t.entry.ExpiresAt.IsZero() && !now.Before(t.entry.ExpiresAt) && !t.partition.cfg.NoExpiry
}

// await waits until the turn is granted. If d is positive, it unblocks the partition
// after d.
func (t *Turn) await(ctx context.Context, d time.Duration) *receipt.Reason {
	if d > 0 {
		unblockTimer := time.AfterFunc(d, t.partition.unblock)
		defer unblockTimer.Stop()
	}
	var expired <-chan time.Time
	if !t.entry.ExpiresAt.IsZero() && !t.partition.cfg.NoExpiry {
		timer := time.NewTimer(time.Until(t.entry.ExpiresAt))
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-t.granted:
		return nil
	case <-expired:
		return overloadedReason()
	case <-ctx.Done():
		return contextReason(ctx)
	}
}

// Expedite raises the request to the highest priority and removes its expiry,
// because engines have already done work for it. BestEffort returns false from then
// on. The position in the queue changes with the next Wait.
func (t *Turn) Expedite() {
	t.partition.remove(t)
	t.entry.Priority = Priorities - 1
	t.entry.ExpiresAt = time.Time{}
	t.entry.BestEffort = false
}

// Restrict has no effect: a partition of the queue doesn't tell engines apart.
func (t *Turn) Restrict(string) {}

// BestEffort reports whether the request must leave some capacity free for others.
func (t *Turn) BestEffort() bool { return t.entry.BestEffort }

// Placed records that the request was placed, charges its cost to the caller, and
// grants the next turn. Repeated calls charge the cost once.
func (t *Turn) Placed() {
	if !t.charged {
		t.charged = true
		t.usage.add(t.entry, time.Now())
	}
	t.partition.placed(t)
}

// Close removes the request from the queue. It may be called more than once.
func (t *Turn) Close() { t.partition.remove(t) }

func overloadedReason() *receipt.Reason {
	return &receipt.Reason{
		Code:       receipt.CodeOverloaded,
		Step:       receipt.StepAdmit,
		RetryAfter: time.Second,
	}
}

func contextReason(ctx context.Context) *receipt.Reason {
	code := receipt.CodeCancelled
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		code = receipt.CodeDeadline
	}
	return &receipt.Reason{
		Code: code,
		Step: receipt.StepAdmit,
		Err:  context.Cause(ctx),
	}
}
