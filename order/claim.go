package order

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/phuslu/log"

	"github.com/balsamlock/balsamlock/common/invariant"
	"github.com/balsamlock/balsamlock/common/mutation"
	"github.com/balsamlock/balsamlock/ledger"
	"github.com/balsamlock/balsamlock/receipt"
)

// step is a point in the execution of an order at which the step hook is called.
type step string

// The steps of an order.
const (
	stepClaim    step = "before claim"
	stepReadBack step = "after read back"
	stepSend     step = "before send"
	stepAnswer   step = "after answer"
	stepRecorded step = "after record"
)

// recordRetryDelay is the delay between attempts to append an outcome to the log.
const recordRetryDelay = time.Second

var (
	errDispatchDeadline = errors.New("dispatch deadline of the claim exceeded")
	errStopped          = errors.New("the instance is stopped; the order may be run")
)

func (e *Executor) newClaim(sub submission) claim {
	cfg := e.deps.Config
	return claim{
		key:    sub.key,
		issued: sub.issued,
		id:     rand.Uint64() | 1,
		digest: sub.req.Digest,
		lease:  millis(cfg.DispatchDeadlineMS) + sub.req.Timeout + millis(cfg.LeaseMarginMS),
	}
}

// claimResult is the result of a claim: claimLost, claimFailed or claimWon.
type claimResult interface{ isClaimResult() }

type (
	// claimLost means that another claim owns the key.
	claimLost struct{}
	// claimFailed means that the claim could not be appended or read back, or that the
	// submission ended before its result was known.
	claimFailed struct{ outcome receipt.Outcome }
	// claimWon means that the claim owns the key. Its outcome must be recorded.
	claimWon struct{ outcome receipt.Outcome }
)

func (claimLost) isClaimResult()   {}
func (claimFailed) isClaimResult() {}
func (claimWon) isClaimResult()    {}

// claimAndDispatch runs the claim in a goroutine and waits for its result. The goroutine
// continues if the context ends, because the work may have been sent.
func (e *Executor) claimAndDispatch(ctx context.Context, sub submission, c claim) claimResult {
	reply := make(chan claimResult, 1)
	e.running.Go(func() { e.runClaim(ctx, sub, c, reply) })
	select {
	case result := <-reply:
		return result
	case <-ctx.Done():
		return claimFailed{outcome: unknownOutcome(sub, newReason(receipt.CodeCancelled, errCancelled))}
	case <-e.lifetime.Done():
		return claimFailed{outcome: unknownOutcome(sub, newReason(receipt.CodeShuttingDown, errStopped))}
	}
}

func (e *Executor) runClaim(ctx context.Context, sub submission, c claim, reply chan<- claimResult) {
	result := e.tryClaim(ctx, sub, c)
	end, won := result.(claimWon)
	if !won {
		e.removeLocal(c)
		reply <- result
		return
	}
	e.publishOutcome(c, end.outcome)
	reply <- result
	e.stepHook(stepAnswer)
	e.recordOutcome(c, end.outcome)
	e.removeLocal(c)
	e.stepHook(stepRecorded)
}

// tryClaim claims the key and sends the work if the claim owns it. No other instance
// takes a claim over, so that a pause at any point delays the work, but never repeats it.
func (e *Executor) tryClaim(ctx context.Context, sub submission, c claim) claimResult {
	start := time.Now()
	e.stepHook(stepClaim)
	err := e.submitClaim(ctx, c)
	e.stepHook(stepReadBack)
	if err != nil {
		return claimFailed{outcome: e.claimFailure(sub, c, err)}
	}
	if !e.ownsKey(c) {
		return claimLost{}
	}
	if ctx.Err() != nil {
		return claimWon{outcome: sub.unsent.Refuse(newReason(receipt.CodeCancelled, ctx.Err()))}
	}
	e.stepHook(stepSend)
	if time.Since(start) > millis(e.deps.Config.DispatchDeadlineMS) {
		return claimWon{outcome: sub.unsent.Refuse(newReason(receipt.CodeDeadline, errDispatchDeadline))}
	}
	return claimWon{outcome: e.send(ctx, sub, c)}
}

// claimFailure returns the outcome of a submission whose claim failed. A claim that may
// still be appended to the log is marked as abandoned. It is released when it is read
// from the log.
func (e *Executor) claimFailure(sub submission, c claim, err error) receipt.Outcome {
	if !errors.Is(err, ledger.ErrNotAppended) {
		e.markAbandoned(c)
	}
	log.Warn().Str("step", string(receipt.StepClaim)).Str("request", sub.req.Attempt).Str("caller", sub.req.Caller).
		Err(err).Msg("claim failed")
	reason := newReason(receipt.CodeLogUnavailable, err)
	reason.RetryAfter = retryAfter
	return sub.unsent.Refuse(reason)
}

func (e *Executor) submitClaim(ctx context.Context, c claim) error {
	raw, err := c.encode()
	if err != nil {
		return fmt.Errorf("%w: %w", ledger.ErrNotAppended, err)
	}
	ctx, cancel := e.withLifetime(ctx, millis(e.deps.Config.DispatchDeadlineMS))
	defer cancel()
	_, err = e.batcher.Submit(ctx, raw)
	return err
}

// send dispatches the work. The context isn't cancelled when the caller disconnects.
func (e *Executor) send(ctx context.Context, sub submission, c claim) receipt.Outcome {
	e.checkNotEnded(c)
	ctx, cancel := e.withLifetime(context.WithoutCancel(ctx), sub.req.Timeout)
	defer cancel()
	return sub.dispatch(ctx, sub.unsent.Send())
}

// withLifetime returns a context with a timeout that also ends when Run returns.
func (e *Executor) withLifetime(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	stop := context.AfterFunc(e.lifetime, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// ownsKey reports whether the claim owns the key: the log has no earlier claim of the key
// that was not released. It returns false if earlier claims may be missing because
// records were lost.
func (e *Executor) ownsKey(c claim) bool {
	if mutation.Off(mutation.ClaimReadBack) {
		return true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	entry := e.window.get(c.key, c.issued)
	return entry.claim == c.id && entry.state == stateClaimed && e.window.complete(c.issued)
}

// checkNotEnded checks the invariant that the claim owns the key and has no outcome
// before the work is sent.
func (e *Executor) checkNotEnded(c claim) {
	e.mu.Lock()
	entry := e.window.get(c.key, c.issued)
	e.mu.Unlock()
	first := entry.claim == c.id && entry.state == stateClaimed
	invariant.Check(first, invariant.AtMostOnce, "work of claim %x sent, but claim %x owns the key", c.id, entry.claim)
}

// publishOutcome passes the outcome to the waiting submissions of this instance.
func (e *Executor) publishOutcome(c claim, outcome receipt.Outcome) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if local := e.localOrders[c.key]; local != nil && local.claim.id == c.id {
		local.outcome = outcome
	}
	e.notify(c.key)
}

// removeLocal removes the order from localOrders.
func (e *Executor) removeLocal(c claim) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if local := e.localOrders[c.key]; local != nil && local.claim.id == c.id {
		delete(e.localOrders, c.key)
	}
	e.notify(c.key)
}

// markAbandoned marks a claim that was reported as failed, but may be in the log.
func (e *Executor) markAbandoned(c claim) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.abandoned) < e.deps.Config.MaxPending {
		e.abandoned[c.id] = struct{}{}
	}
}

// recordOutcome appends the outcome of an order to the log. If this fails, other
// instances report the outcome as unknown after the lease has expired.
func (e *Executor) recordOutcome(c claim, outcome receipt.Outcome) {
	raw, err := c.encodeOutcome(outcome, e.deps.Config.MaxResultBytes)
	if err != nil {
		log.Error().Str("step", "record").Err(err).Msg("could not encode the outcome of an order")
		return
	}
	e.appendRecord(raw)
}

// appendRecord retries to append a record to the log until it succeeds or the record
// timeout expires.
func (e *Executor) appendRecord(raw []byte) {
	ctx, cancel := e.withLifetime(context.Background(), millis(e.deps.Config.RecordTimeoutMS))
	defer cancel()
	for {
		_, err := e.batcher.Submit(ctx, raw)
		if err == nil {
			return
		}
		if ctx.Err() != nil {
			log.Error().Str("step", "record").Err(err).Msg("could not append an order record")
			return
		}
		sleep(ctx, recordRetryDelay)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
