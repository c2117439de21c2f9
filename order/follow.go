package order

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/balsamlock/balsamlock/ledger"
	"github.com/balsamlock/balsamlock/receipt"
)

// retryAfter is the time after which a repeat of an order may learn more.
const retryAfter = time.Second

var (
	errFuture    = errors.New("the key's issue time lies ahead of the clock")
	errExpired   = errors.New("the key is older than the dedupe window")
	errUncovered = errors.New("the key is older than what the log has kept; it may have run before")
	errConflict  = errors.New("the key was used with another request")
	errStale     = errors.New("the orders stream was not read recently")
	errNotRead   = errors.New("the orders stream has not been read to its end")
	errPending   = errors.New("too many orders in progress")
	errLease     = errors.New("the owner's lease has passed without an answer")
	errRunning   = errors.New("the order is in progress")
	errTooLarge  = errors.New("the order was done; its answer was too large to be remembered")
	errCancelled = errors.New("the caller is gone; the order may run")
)

// submission is one call of Do.
type submission struct {
	req      Request
	slot     slot
	issued   time.Time
	unsent   receipt.Unsent
	dispatch Dispatch
	// until is when a repeat stops waiting for the first run.
	until time.Time
}

// decision is what to do next with a submission: refuse, unknown, ended,
// remembered, await or proceed.
type decision interface{ isDecision() }

type (
	// refuse ends it as not run, unknown as one that may have run.
	refuse  struct{ reason receipt.Reason }
	unknown struct{ reason receipt.Reason }
	// ended gives the outcome of this instance's own run.
	ended struct{ outcome receipt.Outcome }
	// remembered names the record that holds the answer.
	remembered struct{ entry entry }
	// await waits for news of the key, at most until a time.
	await struct {
		changed <-chan struct{}
		until   time.Time
	}
	// proceed makes this submission try to own the key.
	proceed struct{ claim claim }
)

func (refuse) isDecision()     {}
func (unknown) isDecision()    {}
func (ended) isDecision()      {}
func (remembered) isDecision() {}
func (await) isDecision()      {}
func (proceed) isDecision()    {}

// follow decides until the submission has an outcome.
func (b *Executor) follow(ctx context.Context, o submission) receipt.Outcome {
	for {
		switch d := b.decide(ctx, o).(type) {
		case refuse:
			return o.unsent.Refuse(d.reason)
		case unknown:
			return mayHaveRun(o, d.reason)
		case ended:
			return d.outcome
		case remembered:
			return b.recall(ctx, o, d.entry)
		case proceed:
			switch result := b.own(ctx, o, d.claim).(type) {
			case failed:
				return result.outcome
			case concluded:
				return result.outcome
			case lost:
			}
		case await:
			pause(ctx, d)
		}
	}
}

// mayHaveRun tells that the work may run or have run, under this submission's
// owner or an earlier one. The owner alone spends the submission's permit.
func mayHaveRun(o submission, reason receipt.Reason) receipt.Outcome {
	return receipt.NewAttempt(o.req.Attempt).Send().Unknown(reason)
}

func pause(ctx context.Context, d await) {
	timer := time.NewTimer(time.Until(d.until))
	defer timer.Stop()
	select {
	case <-d.changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// decide looks a submission up. For proceed it registers the claim.
func (b *Executor) decide(ctx context.Context, o submission) decision {
	now := time.Now()
	state := b.batcher.State()
	b.mu.Lock()
	defer b.mu.Unlock()
	if own := b.locals[o.slot]; own != nil {
		return b.decideLocal(ctx, o, own, now)
	}
	e := b.window.get(o.slot, o.issued)
	if e.state != stateNone && e.state != stateReleased {
		return b.decideKnown(ctx, o, e, now)
	}
	if reason, ok := b.decideAge(o, now); ok {
		return reason
	}
	if reason, ok := b.decideReady(state, now); ok {
		return reason
	}
	if ctx.Err() != nil {
		return refuse{reason: reasonOf(receipt.CodeCancelled, ctx.Err())}
	}
	c := b.newClaim(o)
	b.locals[o.slot] = &local{claim: c}
	return proceed{claim: c}
}

func (b *Executor) decideLocal(ctx context.Context, o submission, own *local, now time.Time) decision {
	switch {
	case own.claim.digest != o.req.Digest:
		return refuse{reason: reasonOf(receipt.CodeKeyConflict, errConflict)}
	case own.outcome != nil:
		return ended{outcome: own.outcome}
	}
	return b.decideWait(ctx, o, now, o.until)
}

func (b *Executor) decideKnown(ctx context.Context, o submission, e entry, now time.Time) decision {
	if e.digest != o.req.Digest {
		return refuse{reason: reasonOf(receipt.CodeKeyConflict, errConflict)}
	}
	switch e.state {
	case stateDone:
		return remembered{entry: e}
	case stateUnknown:
		return unknown{reason: reasonOf(receipt.CodeOutcomeUnknown, nil)}
	}
	if !b.window.covers(o.issued) {
		return unknown{reason: reasonOf(receipt.CodeKeyExpired, errUncovered)}
	}
	expires := time.Unix(int64(e.expires), 0)
	if !now.Before(expires) {
		return unknown{reason: reasonOf(receipt.CodeOutcomeUnknown, errLease)}
	}
	return b.decideWait(ctx, o, now, expires)
}

func (b *Executor) decideWait(ctx context.Context, o submission, now, until time.Time) decision {
	if ctx.Err() != nil {
		return unknown{reason: reasonOf(receipt.CodeCancelled, errCancelled)}
	}
	if !now.Before(o.until) {
		reason := reasonOf(receipt.CodeInProgress, errRunning)
		reason.RetryAfter = retryAfter
		return unknown{reason: reason}
	}
	if o.until.Before(until) {
		until = o.until
	}
	return await{
		changed: b.watch(o.slot),
		until:   until,
	}
}

// decideAge refuses keys outside of the dedupe window.
func (b *Executor) decideAge(o submission, now time.Time) (decision, bool) {
	cfg := b.deps.Config
	switch {
	case o.issued.After(now.Add(millis(cfg.MaxFutureMS))):
		return refuse{reason: reasonOf(receipt.CodeInvalidRequest, errFuture)}, true
	case !b.window.covers(o.issued):
		return unknown{reason: reasonOf(receipt.CodeKeyExpired, errUncovered)}, true
	case o.issued.Before(now.Add(-millis(cfg.DedupeWindowMS))):
		return refuse{reason: reasonOf(receipt.CodeKeyExpired, errExpired)}, true
	}
	return nil, false
}

// decideReady refuses orders while the stream can't be followed.
func (b *Executor) decideReady(state ledger.FollowerState, now time.Time) (decision, bool) {
	reason := receipt.Reason{}
	switch {
	case !state.CaughtUp:
		reason = reasonOf(receipt.CodeNotReady, errNotRead)
	case !state.Fresh(now, millis(b.deps.Config.MaxStaleMS)):
		reason = reasonOf(receipt.CodeLogUnavailable, errStale)
	case len(b.locals) >= b.deps.Config.MaxPending:
		reason = reasonOf(receipt.CodeOverloaded, errPending)
	default:
		return nil, false
	}
	reason.RetryAfter = retryAfter
	return refuse{reason: reason}, true
}

// recall reads the remembered answer of an order from the log.
func (b *Executor) recall(ctx context.Context, o submission, e entry) receipt.Outcome {
	answer, err := b.readAnswer(ctx, o.slot, e)
	if err == nil {
		return answer
	}
	code := receipt.CodeLogUnavailable
	if errors.Is(err, errTooLarge) {
		code = receipt.CodeAnswerLost
	}
	reason := reasonOf(code, err)
	reason.RetryAfter = retryAfter
	return mayHaveRun(o, reason)
}

func (b *Executor) readAnswer(ctx context.Context, s slot, e entry) (receipt.Answered, error) {
	entries, err := b.batcher.ReadEntries(ctx, ledger.Offset(e.result))
	if err != nil {
		return receipt.Answered{}, fmt.Errorf("recall: %w", err)
	}
	for _, found := range entries {
		record, err := decode(found.Item)
		if err != nil || slot(record.GetKey()) != s || record.GetClaim() != e.claim || record.GetDone() == nil {
			continue
		}
		answer, ok := answerOf(record.GetDone())
		if !ok {
			return receipt.Answered{}, errTooLarge
		}
		return answer, nil
	}
	return receipt.Answered{}, fmt.Errorf("recall: no answer at offset %d", e.result)
}
