package order

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/balsamlock/balsamlock/ledger"
	"github.com/balsamlock/balsamlock/receipt"
)

// retryAfter is the delay after which callers are asked to repeat an order.
const retryAfter = time.Second

var (
	errKeyInFuture    = errors.New("the key's issue time lies ahead of the clock")
	errKeyExpired     = errors.New("the key is older than the dedupe window")
	errIncomplete     = errors.New("the key is older than what the log has kept; it may have run before")
	errKeyConflict    = errors.New("the key was used with another request")
	errStale          = errors.New("the last successful read of the orders stream is too old")
	errNotCaughtUp    = errors.New("the orders stream has not been read to its end")
	errTooManyPending = errors.New("too many orders in progress")
	errLeaseExpired   = errors.New("the owner's lease has expired without an outcome")
	errInProgress     = errors.New("the order is in progress")
	errTooLarge       = errors.New("the order was run, but its response was too large to be stored")
	errCancelled      = errors.New("the caller is gone; the order may run")
)

// submission is one call of Do.
type submission struct {
	req      Request
	key      keyHash
	issued   time.Time
	unsent   receipt.Unsent
	dispatch Dispatch
	// waitUntil is when a repeat stops waiting for the outcome of the first run.
	waitUntil time.Time
}

// decision is the next step of a submission: refuse, unknown, localOutcome,
// storedOutcome, wait or claimKey.
type decision interface{ isDecision() }

type (
	// refuse ends the submission with receipt.NotRun.
	refuse struct{ reason receipt.Reason }
	// unknown ends the submission with receipt.Unknown.
	unknown struct{ reason receipt.Reason }
	// localOutcome ends the submission with the outcome of a run on this instance.
	localOutcome struct{ outcome receipt.Outcome }
	// storedOutcome ends the submission with the answer stored in the log.
	storedOutcome struct{ entry keyEntry }
	// wait waits for a change of the key, at most until the given time.
	wait struct {
		changed <-chan struct{}
		until   time.Time
	}
	// claimKey claims the key for this submission.
	claimKey struct{ claim claim }
)

func (refuse) isDecision()        {}
func (unknown) isDecision()       {}
func (localOutcome) isDecision()  {}
func (storedOutcome) isDecision() {}
func (wait) isDecision()          {}
func (claimKey) isDecision()      {}

// resolve repeats the decision until the submission has an outcome.
func (e *Executor) resolve(ctx context.Context, sub submission) receipt.Outcome {
	for {
		switch d := e.decide(ctx, sub).(type) {
		case refuse:
			return sub.unsent.Refuse(d.reason)
		case unknown:
			return unknownOutcome(sub, d.reason)
		case localOutcome:
			return d.outcome
		case storedOutcome:
			return e.readStoredOutcome(ctx, sub, d.entry)
		case claimKey:
			switch result := e.claimAndDispatch(ctx, sub, d.claim).(type) {
			case claimFailed:
				return result.outcome
			case claimWon:
				return result.outcome
			case claimLost:
			}
		case wait:
			waitForChange(ctx, d)
		}
	}
}

// unknownOutcome returns receipt.Unknown for work that may be run by the owner started
// for this submission or by an earlier owner. It uses a new attempt, because only the
// owner may send the attempt of the submission.
func unknownOutcome(sub submission, reason receipt.Reason) receipt.Outcome {
	return receipt.NewAttempt(sub.req.Attempt).Send().Unknown(reason)
}

func waitForChange(ctx context.Context, d wait) {
	timer := time.NewTimer(time.Until(d.until))
	defer timer.Stop()
	select {
	case <-d.changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// decide returns the next step of a submission. Before it returns claimKey, it adds the
// claim to localOrders.
func (e *Executor) decide(ctx context.Context, sub submission) decision {
	now := time.Now()
	state := e.batcher.State()
	e.mu.Lock()
	defer e.mu.Unlock()
	if local := e.localOrders[sub.key]; local != nil {
		return e.decideByLocal(ctx, sub, local, now)
	}
	entry := e.window.get(sub.key, sub.issued)
	if entry.state != stateNone && entry.state != stateReleased {
		return e.decideByEntry(ctx, sub, entry, now)
	}
	if d, ok := e.checkKeyAge(sub, now); ok {
		return d
	}
	if d, ok := e.checkReady(state, now); ok {
		return d
	}
	if ctx.Err() != nil {
		return refuse{reason: newReason(receipt.CodeCancelled, ctx.Err())}
	}
	c := e.newClaim(sub)
	e.localOrders[sub.key] = &localOrder{claim: c}
	return claimKey{claim: c}
}

func (e *Executor) decideByLocal(ctx context.Context, sub submission, local *localOrder, now time.Time) decision {
	switch {
	case local.claim.digest != sub.req.Digest:
		return refuse{reason: newReason(receipt.CodeKeyConflict, errKeyConflict)}
	case local.outcome != nil:
		return localOutcome{outcome: local.outcome}
	}
	return e.decideWait(ctx, sub, now, sub.waitUntil)
}

func (e *Executor) decideByEntry(ctx context.Context, sub submission, entry keyEntry, now time.Time) decision {
	if entry.digest != sub.req.Digest {
		return refuse{reason: newReason(receipt.CodeKeyConflict, errKeyConflict)}
	}
	switch entry.state {
	case stateDone:
		return storedOutcome{entry: entry}
	case stateUnknown:
		return unknown{reason: newReason(receipt.CodeOutcomeUnknown, nil)}
	}
	if !e.window.complete(sub.issued) {
		return unknown{reason: newReason(receipt.CodeKeyExpired, errIncomplete)}
	}
	expires := time.Unix(int64(entry.leaseEnd), 0)
	if !now.Before(expires) {
		return unknown{reason: newReason(receipt.CodeOutcomeUnknown, errLeaseExpired)}
	}
	return e.decideWait(ctx, sub, now, expires)
}

func (e *Executor) decideWait(ctx context.Context, sub submission, now, until time.Time) decision {
	if ctx.Err() != nil {
		return unknown{reason: newReason(receipt.CodeCancelled, errCancelled)}
	}
	if !now.Before(sub.waitUntil) {
		reason := newReason(receipt.CodeInProgress, errInProgress)
		reason.RetryAfter = retryAfter
		return unknown{reason: reason}
	}
	if sub.waitUntil.Before(until) {
		until = sub.waitUntil
	}
	return wait{
		changed: e.watch(sub.key),
		until:   until,
	}
}

// checkKeyAge returns a decision and true if the issue time of the key is outside the
// dedupe window or if claims from that time may be missing.
func (e *Executor) checkKeyAge(sub submission, now time.Time) (decision, bool) {
	cfg := e.deps.Config
	switch {
	case sub.issued.After(now.Add(millis(cfg.MaxFutureMS))):
		return refuse{reason: newReason(receipt.CodeInvalidRequest, errKeyInFuture)}, true
	case !e.window.complete(sub.issued):
		return unknown{reason: newReason(receipt.CodeKeyExpired, errIncomplete)}, true
	case sub.issued.Before(now.Add(-millis(cfg.DedupeWindowMS))):
		return refuse{reason: newReason(receipt.CodeKeyExpired, errKeyExpired)}, true
	}
	return nil, false
}

// checkReady returns a decision and true if the stream isn't read up to date or if too
// many orders are pending.
func (e *Executor) checkReady(state ledger.FollowerState, now time.Time) (decision, bool) {
	reason := receipt.Reason{}
	switch {
	case !state.CaughtUp:
		reason = newReason(receipt.CodeNotReady, errNotCaughtUp)
	case !state.Fresh(now, millis(e.deps.Config.MaxStaleMS)):
		reason = newReason(receipt.CodeLogUnavailable, errStale)
	case len(e.localOrders) >= e.deps.Config.MaxPending:
		reason = newReason(receipt.CodeOverloaded, errTooManyPending)
	default:
		return nil, false
	}
	reason.RetryAfter = retryAfter
	return refuse{reason: reason}, true
}

// readStoredOutcome returns the answer stored in the log, or receipt.Unknown if it can't
// be read.
func (e *Executor) readStoredOutcome(ctx context.Context, sub submission, entry keyEntry) receipt.Outcome {
	answer, err := e.readStoredAnswer(ctx, sub.key, entry)
	if err == nil {
		return answer
	}
	code := receipt.CodeLogUnavailable
	if errors.Is(err, errTooLarge) {
		code = receipt.CodeAnswerLost
	}
	reason := newReason(code, err)
	reason.RetryAfter = retryAfter
	return unknownOutcome(sub, reason)
}

func (e *Executor) readStoredAnswer(ctx context.Context, hash keyHash, entry keyEntry) (receipt.Answered, error) {
	entries, err := e.batcher.ReadEntries(ctx, ledger.Offset(entry.outcomeOffset))
	if err != nil {
		return receipt.Answered{}, fmt.Errorf("read stored answer: %w", err)
	}
	for _, logEntry := range entries {
		record, err := decode(logEntry.Item)
		if err != nil || keyHash(record.GetKey()) != hash || record.GetClaim() != entry.claim || record.GetDone() == nil {
			continue
		}
		answer, ok := answerFrom(record.GetDone())
		if !ok {
			return receipt.Answered{}, errTooLarge
		}
		return answer, nil
	}
	return receipt.Answered{}, fmt.Errorf("read stored answer: record at offset %d has no answer for the key", entry.outcomeOffset)
}
