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

// step names a point between two steps of an owned order.
type step string

// The points at which an owner may be stopped.
const (
	stepClaim    step = "before the claim"
	stepReadBack step = "claim read back"
	stepSend     step = "before the send"
	stepAnswer   step = "after the answer"
	stepRecorded step = "end recorded"
)

// recordPause is the time between two tries to record the end of an order.
const recordPause = time.Second

var (
	errDispatchDeadline = errors.New("the dispatch deadline of the claim has passed")
	errStopped          = errors.New("the instance has stopped; the order may run")
)

func (b *Executor) newClaim(o submission) claim {
	cfg := b.deps.Config
	return claim{
		slot:   o.slot,
		issued: o.issued,
		id:     rand.Uint64() | 1,
		digest: o.req.Digest,
		lease:  millis(cfg.DispatchDeadlineMS) + o.req.Timeout + millis(cfg.LeaseMarginMS),
	}
}

// ownership is how an attempt to own a key went: lost, failed or concluded.
type ownership interface{ isOwnership() }

type (
	// lost means that another claim has the key.
	lost struct{}
	// failed means that the claim was not made.
	failed struct{ outcome receipt.Outcome }
	// concluded means that the claim won; its end has to be recorded.
	concluded struct{ outcome receipt.Outcome }
)

func (lost) isOwnership()      {}
func (failed) isOwnership()    {}
func (concluded) isOwnership() {}

// own runs the owner of a claim and waits for its end. The owner goes on when
// the caller leaves after the work was sent.
func (b *Executor) own(ctx context.Context, o submission, c claim) ownership {
	reply := make(chan ownership, 1)
	b.work.Go(func() { b.runOwner(ctx, o, c, reply) })
	select {
	case result := <-reply:
		return result
	case <-ctx.Done():
		return failed{outcome: mayHaveRun(o, reasonOf(receipt.CodeCancelled, errCancelled))}
	case <-b.lifetime.Done():
		return failed{outcome: mayHaveRun(o, reasonOf(receipt.CodeShuttingDown, errStopped))}
	}
}

func (b *Executor) runOwner(ctx context.Context, o submission, c claim, reply chan<- ownership) {
	result := b.tryOwn(ctx, o, c)
	end, won := result.(concluded)
	if !won {
		b.forget(c)
		reply <- result
		return
	}
	b.settle(c, end.outcome)
	reply <- result
	b.probe(stepAnswer)
	b.recordEnd(c, end.outcome)
	b.forget(c)
	b.probe(stepRecorded)
}

// tryOwn claims the key, and sends the work if the claim won. Nobody takes a
// claim over, so a pause at any point delays the work and never repeats it.
func (b *Executor) tryOwn(ctx context.Context, o submission, c claim) ownership {
	began := time.Now()
	b.probe(stepClaim)
	err := b.submitClaim(ctx, c)
	b.probe(stepReadBack)
	if err != nil {
		return failed{outcome: b.refuseClaim(o, c, err)}
	}
	if !b.owns(c) {
		return lost{}
	}
	if ctx.Err() != nil {
		return concluded{outcome: o.unsent.Refuse(reasonOf(receipt.CodeCancelled, ctx.Err()))}
	}
	b.probe(stepSend)
	if time.Since(began) > millis(b.deps.Config.DispatchDeadlineMS) {
		return concluded{outcome: o.unsent.Refuse(reasonOf(receipt.CodeDeadline, errDispatchDeadline))}
	}
	return concluded{outcome: b.send(ctx, o, c)}
}

// refuseClaim ends a submission whose claim failed. A claim that may still
// get into the log is given back once it is seen there.
func (b *Executor) refuseClaim(o submission, c claim, err error) receipt.Outcome {
	if !errors.Is(err, ledger.ErrNotAppended) {
		b.abandon(c)
	}
	log.Warn().Str("step", string(receipt.StepClaim)).Str("request", o.req.Attempt).Str("caller", o.req.Caller).
		Err(err).Msg("claim failed")
	reason := reasonOf(receipt.CodeLogUnavailable, err)
	reason.RetryAfter = retryAfter
	return o.unsent.Refuse(reason)
}

func (b *Executor) submitClaim(ctx context.Context, c claim) error {
	raw, err := c.encode()
	if err != nil {
		return fmt.Errorf("%w: %w", ledger.ErrNotAppended, err)
	}
	ctx, cancel := b.bounded(ctx, millis(b.deps.Config.DispatchDeadlineMS))
	defer cancel()
	_, err = b.batcher.Submit(ctx, raw)
	return err
}

// send dispatches the work in a context that outlives the caller.
func (b *Executor) send(ctx context.Context, o submission, c claim) receipt.Outcome {
	b.checkFirstSend(c)
	ctx, cancel := b.bounded(context.WithoutCancel(ctx), o.req.Timeout)
	defer cancel()
	return o.dispatch(ctx, o.unsent.Send())
}

// bounded returns a context that also ends with the book.
func (b *Executor) bounded(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	stop := context.AfterFunc(b.lifetime, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// owns tells whether the claim has the lowest offset of its key. After a gap
// an earlier claim may be missing, so that nobody owns the keys of that time.
func (b *Executor) owns(c claim) bool {
	if mutation.Off(mutation.ClaimReadBack) {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.window.get(c.slot, c.issued)
	return e.claim == c.id && e.state == stateClaimed && b.window.covers(c.issued)
}

// checkFirstSend asserts that no end of the key is known before the work is
// sent.
func (b *Executor) checkFirstSend(c claim) {
	b.mu.Lock()
	e := b.window.get(c.slot, c.issued)
	b.mu.Unlock()
	first := e.claim == c.id && e.state == stateClaimed
	invariant.Check(first, invariant.AtMostOnce, "send of claim %x while claim %x has the key", c.id, e.claim)
}

// settle makes the outcome known to the submissions of this instance that
// wait for it.
func (b *Executor) settle(c claim, outcome receipt.Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if own := b.locals[c.slot]; own != nil && own.claim.id == c.id {
		own.outcome = outcome
	}
	b.wake(c.slot)
}

// forget ends the local part of an order.
func (b *Executor) forget(c claim) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if own := b.locals[c.slot]; own != nil && own.claim.id == c.id {
		delete(b.locals, c.slot)
	}
	b.wake(c.slot)
}

// abandon marks a claim that was refused although it may be in the log.
func (b *Executor) abandon(c claim) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.abandoned) < b.deps.Config.MaxPending {
		b.abandoned[c.id] = struct{}{}
	}
}

// recordEnd records how an order ended. If that fails others call the outcome
// unknown once the lease has passed.
func (b *Executor) recordEnd(c claim, outcome receipt.Outcome) {
	raw, err := c.encodeEnd(outcome, b.deps.Config.MaxResultBytes)
	if err != nil {
		log.Error().Str("step", "record").Err(err).Msg("end of an order not recorded")
		return
	}
	b.record(raw)
}

// record offers a record to the log until it is in or the record timeout has
// passed.
func (b *Executor) record(raw []byte) {
	ctx, cancel := b.bounded(context.Background(), millis(b.deps.Config.RecordTimeoutMS))
	defer cancel()
	for {
		_, err := b.batcher.Submit(ctx, raw)
		if err == nil {
			return
		}
		if ctx.Err() != nil {
			log.Error().Str("step", "record").Err(err).Msg("end of an order not recorded")
			return
		}
		pauseFor(ctx, recordPause)
	}
}

func pauseFor(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
