package reclaim

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/alitto/pond/v2"

	"github.com/balsamlock/balsamlock/common/metrics"
	"github.com/balsamlock/balsamlock/kiln"
)

const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = time.Second
	// maxCallsPerEngine limits the cancel calls in flight to one engine, so that an engine
	// that doesn't respond doesn't delay the others.
	maxCallsPerEngine = 4
)

// CancellerDeps holds the dependencies of a Canceller.
type CancellerDeps struct {
	Engines Engines
	Metrics *metrics.Metrics
}

type pendingCancel struct {
	attempt  string
	owner    kiln.Owner
	deadline time.Time
}

// engineQueue holds the cancels for one engine.
type engineQueue struct {
	cancels   []pendingCancel
	inFlight  int
	backoff   time.Duration
	notBefore time.Time
}

// Canceller sends cancels to engines and retries those without a response. It drops a
// cancel if the queue is full or FreeWithin has passed; the memory is then left to the
// sweepers. It is safe for concurrent use.
type Canceller struct {
	cfg  Config
	deps CancellerDeps
	wake chan struct{}

	mu      sync.Mutex
	queues  map[string]*engineQueue
	pending int
}

// NewCanceller returns a Canceller. Call Run to start it.
func NewCanceller(cfg Config, deps CancellerDeps) *Canceller {
	return &Canceller{
		cfg:    cfg,
		deps:   deps,
		wake:   make(chan struct{}, 1),
		queues: map[string]*engineQueue{},
	}
}

// Cancel adds a cancel to the queue. It doesn't block.
func (c *Canceller) Cancel(engine, attempt string, owner kiln.Owner) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending >= c.cfg.MaxCancels {
		c.deps.Metrics.Count("cancel", "queue_full")
		return
	}
	q := c.queues[engine]
	if q == nil {
		q = &engineQueue{}
		c.queues[engine] = q
	}
	q.cancels = append(q.cancels, pendingCancel{
		attempt:  attempt,
		owner:    owner,
		deadline: time.Now().Add(FreeWithin),
	})
	c.pending++
	c.notify()
}

// Pending returns the number of cancels that are queued or in flight.
func (c *Canceller) Pending() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending
}

func (c *Canceller) notify() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Run sends cancels until ctx is done.
func (c *Canceller) Run(ctx context.Context) error {
	pool := pond.NewPool(c.cfg.MaxCalls, pond.WithContext(ctx))
	timer := time.NewTimer(maxBackoff)
	defer timer.Stop()
	for {
		timer.Reset(c.dispatch(ctx, pool))
		select {
		case <-c.wake:
		case <-timer.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// dispatch starts the cancels that are due and returns the time until the next dispatch.
func (c *Canceller) dispatch(ctx context.Context, pool pond.Pool) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	wait := maxBackoff
	for address, q := range c.queues {
		if len(q.cancels) == 0 && q.inFlight == 0 {
			delete(c.queues, address)
			continue
		}
		if q.notBefore.After(now) {
			wait = min(wait, q.notBefore.Sub(now))
			continue
		}
		for len(q.cancels) > 0 && q.inFlight < maxCallsPerEngine {
			item := q.cancels[0]
			q.cancels = q.cancels[1:]
			q.inFlight++
			pool.Submit(func() { c.send(ctx, address, q, item) })
		}
	}
	return wait
}

func (c *Canceller) send(ctx context.Context, address string, q *engineQueue, item pendingCancel) {
	conclusive := c.call(ctx, address, item)
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.notify()
	q.inFlight--
	if conclusive {
		c.pending--
		q.backoff = 0
		c.deps.Metrics.Count("cancel", "done")
		return
	}
	if time.Now().After(item.deadline) {
		c.pending--
		c.deps.Metrics.Count("cancel", "given_up")
		return
	}
	q.cancels = append(q.cancels, item)
	q.backoff = min(max(2*q.backoff, minBackoff), maxBackoff)
	q.notBefore = time.Now().Add(q.backoff)
	c.deps.Metrics.Count("cancel", "retried")
}

// call sends a cancel and reports whether the engine responded conclusively: either the
// memory is free, or it now belongs to another owner.
func (c *Canceller) call(ctx context.Context, address string, item pendingCancel) bool {
	engine := c.deps.Engines.Engine(address)
	if engine == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, c.cfg.callTimeout())
	defer cancel()
	err := engine.Cancel(ctx, item.attempt, item.owner)
	return err == nil || isPermanentRefusal(err)
}

// isPermanentRefusal reports whether the engine refused a cancel so that retries are useless.
func isPermanentRefusal(err error) bool {
	var engineErr *kiln.EngineError
	return errors.As(err, &engineErr) && engineErr.Code != kiln.ErrUnavailable && engineErr.Code != kiln.ErrBusy
}
