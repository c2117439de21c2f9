// Package order implements at-most-once execution of non-idempotent calls across all
// instances. Such a call is named an order. Callers identify it by an idempotency key.
//
// An instance appends a claim of the key to the platform's log and reads it back before
// it sends the work. The claim with the lowest offset owns the key. No other instance
// takes a claim over: if the owner is paused or dies, the outcome of the order is unknown
// and the work is not run again. Only the owner releases a key, after it has ruled out
// that it will send the work.
//
// # Usage
//
//	executor := order.NewExecutor(order.Deps{Log: platform, Instance: id, Config: cfg})
//	group.Add(func() error { return executor.Run(ctx) }, stop)
//	...
//	outcome := executor.Do(ctx, order.Request{
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

// Deps are the dependencies of an Executor.
type Deps struct {
	Log ledger.Log
	// Instance is the id of this instance. Each start has a new id.
	Instance string
	Config   Config
	// Metrics counts the outcomes. It may be nil.
	Metrics *metrics.Metrics
}

// Request is one submission of a non-idempotent call.
type Request struct {
	// Attempt is the id of the attempt, which is sent to the backend server.
	Attempt string
	Caller  string
	// Key is the value of the Idempotency-Key header.
	Key string
	// Service and Call name the work. The Executor doesn't use them.
	Service string
	Call    string
	// Digest is the hash of the request, as returned by the function Digest. It detects a
	// key that is reused for another request.
	Digest uint64
	// Timeout limits the duration of the dispatched call. If it is zero, CallTimeoutMS
	// applies.
	Timeout time.Duration
}

// Dispatch sends the work once and returns the outcome. The context isn't cancelled when
// the caller disconnects, so that the answer is recorded for a repeat of the order.
type Dispatch func(ctx context.Context, sent receipt.Sent) receipt.Outcome

// localOrder is an order that this instance has claimed or is about to claim.
type localOrder struct {
	claim claim
	// outcome is nil until the order has ended.
	outcome receipt.Outcome
}

// Executor runs orders at most once and stores the state of the keys in the dedupe
// window. It is safe for concurrent use.
type Executor struct {
	deps    Deps
	batcher *ledger.Batcher
	// stepHook is called between the steps of an order. Tests use it to inject faults.
	stepHook func(step step)
	// lifetime ends when Run returns.
	lifetime    context.Context
	endLifetime context.CancelFunc

	// running counts the orders and appends in progress.
	running inflight.Group

	mu          sync.Mutex
	window      *window
	localOrders map[keyHash]*localOrder
	watchers    map[keyHash]chan struct{}
	// abandoned holds the ids of claims that were reported as failed, but may still be
	// appended to the log.
	abandoned    map[uint64]struct{}
	lastEviction time.Time
	// awaitingFirstEntry is set after a restart that lost records, until the first entry
	// is read. The time of this entry limits which claims may be missing.
	awaitingFirstEntry bool
}

// NewExecutor returns an executor. It accepts orders while Run runs.
func NewExecutor(deps Deps) *Executor {
	lifetime, stop := context.WithCancel(context.Background())
	e := &Executor{
		deps:        deps,
		stepHook:    func(step) {},
		lifetime:    lifetime,
		endLifetime: stop,
		window:      newWindow(),
		localOrders: map[keyHash]*localOrder{},
		watchers:    map[keyHash]chan struct{}{},
		abandoned:   map[uint64]struct{}{},
	}
	e.batcher = ledger.NewBatcher(ledger.BatcherDeps{
		Log:     deps.Log,
		Stream:  ledger.StreamOrders,
		Writer:  deps.Instance,
		Handler: e,
		Config:  deps.Config.Ledger,
	})
	return e
}

// Run follows the orders stream and appends records until the context ends. Then it waits
// for the orders in progress.
func (e *Executor) Run(ctx context.Context) error {
	defer e.running.Wait(context.Background())
	defer e.endLifetime()
	return e.batcher.Run(ctx)
}

// Drain waits until all orders of this instance have ended and their outcomes are
// recorded, or until the context ends. It returns the number of remaining orders.
func (e *Executor) Drain(ctx context.Context) int {
	return e.running.Wait(ctx)
}

// Pending returns the number of orders of this instance that have not ended or whose
// outcomes are not recorded yet.
func (e *Executor) Pending() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.localOrders)
}

// Keys returns the number of keys in the dedupe window.
func (e *Executor) Keys() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.window.size()
}

// Ready reports whether orders are accepted: the whole stream was read, and its end was
// reached within the last MaxStaleMS.
func (e *Executor) Ready() bool {
	return e.batcher.State().Fresh(time.Now(), millis(e.deps.Config.MaxStaleMS))
}

// Do runs an order at most once. A submission with a key that was used before waits for
// the outcome of the first run and returns it, or returns receipt.Unknown if the outcome
// isn't known. The outcome receipt.NotRun refers to this submission only: another
// submission with the key may have run.
func (e *Executor) Do(ctx context.Context, req Request, dispatch Dispatch) receipt.Outcome {
	unsent := receipt.NewAttempt(req.Attempt)
	key, err := ParseKey(req.Key)
	if err != nil {
		code := receipt.CodeInvalidRequest
		if errors.Is(err, errKeyMissing) {
			code = receipt.CodeKeyRequired
		}
		return unsent.Refuse(newReason(code, err))
	}
	if req.Timeout <= 0 {
		req.Timeout = millis(e.deps.Config.CallTimeoutMS)
	}
	sub := submission{
		req:       req,
		key:       hashKey(req.Caller, key),
		issued:    key.Issued(),
		unsent:    unsent,
		dispatch:  dispatch,
		waitUntil: time.Now().Add(millis(e.deps.Config.InProgressWaitMS)),
	}
	outcome := e.resolve(ctx, sub)
	e.countOutcome(outcome)
	return outcome
}

func (e *Executor) countOutcome(outcome receipt.Outcome) {
	if e.deps.Metrics == nil {
		return
	}
	switch outcome := outcome.(type) {
	case receipt.Answered:
		e.deps.Metrics.Count("orders", "answered")
	case receipt.NotRun:
		e.deps.Metrics.Count("orders_not_run", string(outcome.Reason().Code))
	case receipt.Unknown:
		e.deps.Metrics.Count("orders_unknown", string(outcome.Reason().Code))
	case receipt.Cut:
		e.deps.Metrics.Count("orders_unknown", string(outcome.Reason.Code))
	}
}

func newReason(code receipt.Code, err error) receipt.Reason {
	return receipt.Reason{
		Code: code,
		Step: receipt.StepClaim,
		Err:  err,
	}
}
