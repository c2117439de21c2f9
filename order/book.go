// Package order runs non-idempotent calls at most once over all instances.
//
// A claim of the order's key is appended to the platform's log and read back
// before the work is sent. The lowest offset wins, and a claim is never taken
// over: the order of an owner that is paused or dead ends as unknown, never as
// a second run. Only the owner itself gives a key back, once it can no longer
// send the work.
//
// # Usage
//
//	book := order.NewBook(order.Deps{Log: platform, Instance: id, Config: cfg})
//	group.Add(func() error { return book.Run(ctx) }, stop)
//	...
//	outcome := book.Do(ctx, order.Request{
//		Attempt: id,
//		Caller:  caller.Name,
//		Key:     r.Header.Get(workshop.HeaderIdempotencyKey),
//		Digest:  order.Digest([]byte(method), []byte(path), body),
//		Timeout: deadline,
//	}, func(ctx context.Context, sent receipt.Sent) receipt.Outcome { ... })
package order

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/balsamlock/balsamlock/common/inflight"
	"github.com/balsamlock/balsamlock/common/metrics"
	"github.com/balsamlock/balsamlock/ledger"
	"github.com/balsamlock/balsamlock/receipt"
)

// Deps are the dependencies of a Book.
type Deps struct {
	Log ledger.Log
	// Instance is this instance's id, unique for each start.
	Instance string
	Config   Config
	// Metrics counts results; may be nil.
	Metrics *metrics.Metrics
}

// Request is one non-idempotent call.
type Request struct {
	// Attempt is the id of the try, sent to the backend server.
	Attempt string
	Caller  string
	// Key is the text of the Idempotency-Key header.
	Key string
	// Service and Call name the work in logs.
	Service string
	Call    string
	// Digest identifies the request; see Digest.
	Digest uint64
	// Timeout bounds the dispatched call; zero means the configured timeout.
	Timeout time.Duration
}

// Dispatch sends the work once and returns its outcome. The context outlives
// the caller's, so that an answer is remembered when the caller is gone.
type Dispatch func(ctx context.Context, sent receipt.Sent) receipt.Outcome

// local is an order that this instance owns or tries to own.
type local struct {
	claim claim
	// outcome is set once the order has ended, until its end is recorded.
	outcome receipt.Outcome
}

// Executor keeps the orders of the dedupe window. It is safe for concurrent use.
type Executor struct {
	deps    Deps
	batcher *ledger.Batcher
	// probe is called between the steps of an order.
	probe    func(step step)
	lifetime context.Context
	stop     context.CancelFunc

	// work counts the orders and records in progress.
	work inflight.Group

	mu        sync.Mutex
	window    *window
	locals    map[slot]*local
	watchers  map[slot]chan struct{}
	abandoned map[uint64]struct{}
	evicted   time.Time
	// unread is set until the first entry after a start over that missed
	// records.
	unread bool
}

// NewExecutor returns a book that works while Run runs.
func NewExecutor(deps Deps) *Executor {
	lifetime, stop := context.WithCancel(context.Background())
	b := &Executor{
		deps:      deps,
		probe:     func(step) {},
		lifetime:  lifetime,
		stop:      stop,
		window:    newWindow(),
		locals:    map[slot]*local{},
		watchers:  map[slot]chan struct{}{},
		abandoned: map[uint64]struct{}{},
	}
	b.batcher = ledger.NewBatcher(ledger.BatcherDeps{
		Log:     deps.Log,
		Stream:  ledger.StreamOrders,
		Writer:  deps.Instance,
		Handler: b,
		Config:  deps.Config.Ledger,
	})
	return b
}

// Run follows the orders stream and appends records until the context ends.
func (b *Executor) Run(ctx context.Context) error {
	defer b.work.Wait(context.Background())
	defer b.stop()
	return b.batcher.Run(ctx)
}

// Drain waits until every order of this instance has ended and is recorded, or
// the context ends. It returns the number that is left.
func (b *Executor) Drain(ctx context.Context) int {
	return b.work.Wait(ctx)
}

// Pending returns the number of this instance's orders that have not ended or
// are not recorded.
func (b *Executor) Pending() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.locals)
}

// Keys returns the number of keys that are remembered.
func (b *Executor) Keys() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.window.size()
}

// Ready tells whether orders are accepted: the whole stream was read and the
// last read up to its end is recent.
func (b *Executor) Ready() bool {
	return b.batcher.State().Fresh(time.Now(), millis(b.deps.Config.MaxStaleMS))
}

// Do runs an order at most once. A repeat of its key gets the first run's
// answer, waits for it, or is told that the outcome is unknown. A refusal as
// not run speaks of this submission.
func (b *Executor) Do(ctx context.Context, req Request, dispatch Dispatch) receipt.Outcome {
	unsent := receipt.NewAttempt(req.Attempt)
	key, err := ParseKey(req.Key)
	if err != nil {
		code := receipt.CodeInvalidRequest
		if errors.Is(err, errKeyMissing) {
			code = receipt.CodeKeyRequired
		}
		return unsent.Refuse(reasonOf(code, err))
	}
	if req.Timeout <= 0 {
		req.Timeout = millis(b.deps.Config.CallTimeoutMS)
	}
	o := submission{
		req:      req,
		slot:     slotOf(req.Caller, key),
		issued:   key.Issued(),
		unsent:   unsent,
		dispatch: dispatch,
		until:    time.Now().Add(millis(b.deps.Config.InProgressWaitMS)),
	}
	outcome := b.follow(ctx, o)
	b.count(outcome)
	return outcome
}

func (b *Executor) count(outcome receipt.Outcome) {
	if b.deps.Metrics == nil {
		return
	}
	switch outcome := outcome.(type) {
	case receipt.Answered:
		b.deps.Metrics.Count("orders", "answered")
	case receipt.NotRun:
		b.deps.Metrics.Count("orders_not_run", string(outcome.Reason().Code))
	case receipt.Unknown:
		b.deps.Metrics.Count("orders_unknown", string(outcome.Reason().Code))
	case receipt.Cut:
		b.deps.Metrics.Count("orders_unknown", string(outcome.Reason.Code))
	}
}

func reasonOf(code receipt.Code, err error) receipt.Reason {
	return receipt.Reason{
		Code: code,
		Step: receipt.StepClaim,
		Err:  err,
	}
}
