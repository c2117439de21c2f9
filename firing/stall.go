package firing

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/balsamlock/balsamlock/common/event"
	"github.com/balsamlock/balsamlock/common/memory"
	"github.com/balsamlock/balsamlock/common/recovery"
	"github.com/balsamlock/balsamlock/kiln"
	"github.com/balsamlock/balsamlock/quotation"
)

// stallWatch cancels a stream that has been silent for too long. Silence alone doesn't
// prove that an engine has failed: it may have preempted the request and go on with it.
// A strict stream is therefore cancelled only once another engine has accepted it. If a
// token arrives before, the stream stays where it is.
type stallWatch struct {
	attempt *attempt
	// ctx is the context of the request, streamCtx that of the stream, which cancel cancels.
	ctx       context.Context
	streamCtx context.Context
	cancel    context.CancelFunc
	stall     time.Duration
	// request is that of the placement of another attempt, for firstIndex tokens.
	request    quotation.Request
	firstIndex int
	// checks waits for a check that runs.
	checks sync.WaitGroup

	// mu guards the fields below.
	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
	// moved is set once another attempt continues the stream. No token of this one may be
	// delivered then.
	moved bool
	// abort cancels the move that is being made. It is nil if there is none.
	abort context.CancelFunc
	// delivering is set while a token is passed to the caller.
	delivering bool
	// next is the index of the next expected token, text the text before it, lastToken the time
	// of the last one.
	next      int
	text      string
	lastToken time.Time
	// logged is the verdict of the last log line.
	logged string
}

const (
	// stallCheckInterval is the interval between checks whether a silent stream can continue
	// elsewhere.
	stallCheckInterval = 100 * time.Millisecond
	// failedMoveInterval is the same after a move that cost calls and failed.
	failedMoveInterval = 500 * time.Millisecond
)

func newStallWatch(ctx, streamCtx context.Context, cancel context.CancelFunc, a *attempt) *stallWatch {
	w := &stallWatch{
		attempt:    a,
		ctx:        ctx,
		streamCtx:  streamCtx,
		cancel:     cancel,
		stall:      a.g.stallTimeout(),
		request:    a.g.quotationRequest(),
		firstIndex: a.g.next,
		next:       a.g.next,
		text:       a.g.deliveredText.String(),
		lastToken:  time.Now(),
	}
	w.request.Excluded = append(append([]string{}, w.request.Excluded...), a.plan.Decode.Address)
	w.request.BestEffort = false
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(w.stall, w.check)
	return w
}

// admit reports whether a token that arrived may be delivered. It ends a move that is being made. After
// it, progress or dropped must be called.
func (w *stallWatch) admit() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.moved {
		return false
	}
	w.delivering = true
	w.abortLocked()
	return true
}

// dropped records that the admitted token was not the next one.
func (w *stallWatch) dropped() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.delivering = false
}

// progress records that the admitted token was delivered.
func (w *stallWatch) progress(next int, text string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.delivering = false
	w.next = next
	w.text = text
	w.lastToken = time.Now()
}

// stop ends the watch, the stream and a move that is being made. No check runs after it has returned.
func (w *stallWatch) stop() {
	w.mu.Lock()
	w.stopped = true
	w.timer.Stop()
	w.abortLocked()
	w.cancel()
	w.mu.Unlock()
	w.checks.Wait()
}

func (w *stallWatch) abortLocked() {
	if w.abort != nil {
		w.abort()
	}
}

// check cancels the stream if it can continue elsewhere, and is repeated otherwise. It runs in the
// goroutine of a timer, outside of those in which the panics of requests are contained.
func (w *stallWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	w.checks.Add(1)
	defer w.checks.Done()
	defer recovery.Contain("check silent stream", func(error) { w.timer.Reset(stallCheckInterval) })
	silence := time.Since(w.lastToken)
	switch {
	case silence < w.stall:
		w.timer.Reset(w.stall - silence)
	case !w.attempt.g.req.Strict || silence >= maxStreamSilence:
		w.log(silence, "ended")
		w.cancel()
	case w.delivering:
		w.timer.Reset(stallCheckInterval)
	default:
		w.moveLocked()
	}
}

// moveLocked cancels the stream once another engine has accepted it.
func (w *stallWatch) moveLocked() {
	wait := stallCheckInterval
	run, obstacle := w.placeElsewhere()
	if obstacle == "" {
		obstacle, wait = w.moveToLocked(run)
	}
	silence := time.Since(w.lastToken)
	switch {
	case w.stopped:
	case w.moved:
		w.log(silence, "moved")
		w.cancel()
	case silence < w.stall:
		w.timer.Reset(w.stall - silence)
	default:
		w.log(silence, obstacle)
		w.timer.Reset(wait)
	}
}

// moveToLocked starts another attempt. If it is accepted before a token of this one arrives, it is the
// generation's successor, also if its engine may have begun to decode without an answer: it can't be undone, and
// two runs of a request must not overlap. Otherwise the obstacle and the time until another check are returned.
// The mutex is released during the calls.
func (w *stallWatch) moveToLocked(run quotation.Run) (obstacle string, wait time.Duration) {
	g := w.attempt.g
	next := newSuccessor(w.ctx, g, run, w.next, w.text)
	w.abort = next.cancel
	err := w.startUnlocked(next)
	w.abort = nil
	if next.ctx.Err() == nil && (err == nil || next.mayHaveBegun(err)) {
		w.moved = true
		g.successor = next
		g.retryPaid = true
		return "", 0
	}
	isOverBudget := errors.Is(err, errNoRetry)
	if next.ctx.Err() == nil && !isOverBudget {
		w.recordRefusal(next.peer, err)
	}
	next.release()
	switch {
	case isOverBudget:
		return "kept_no_retry", stallCheckInterval
	case next.prefilledAt.IsZero():
		return "kept_refused", stallCheckInterval
	}
	return "kept_refused", failedMoveInterval
}

func (w *stallWatch) startUnlocked(next *successor) error {
	w.mu.Unlock()
	defer w.mu.Lock()
	return next.start(w.streamCtx)
}

// recordRefusal records that an engine didn't accept the stream, as for any other attempt.
func (w *stallWatch) recordRefusal(address string, err error) {
	placer, now := w.attempt.g.runner.deps.Placer, time.Now()
	switch {
	case errors.Is(err, memory.ErrExhausted):
	case hasCode(err, kiln.ErrFull), hasCode(err, kiln.ErrBusy):
		placer.MarkFull(address, now)
	case isRefusal(err), errors.Is(err, kiln.ErrNotAdmitted):
		w.request.Excluded = append(w.request.Excluded, address)
	default:
		placer.MarkFailed(address, now)
		w.request.Excluded = append(w.request.Excluded, address)
	}
}

// log logs what is done with the silent stream, unless the last line for it says the same.
func (w *stallWatch) log(silence time.Duration, verdict string) {
	if w.logged == verdict {
		return
	}
	w.logged = verdict
	g := w.attempt.g
	log.Warn().Str(event.Key, string(event.StreamSilent)).Str(event.ID, g.req.ID).Int("try", g.tries).
		Str("decode", w.attempt.plan.Decode.Name).Int("events", w.next).Int64("silent_ms", silence.Milliseconds()).
		Str("verdict", verdict).Msg("no tokens from the engine")
}

// placeElsewhere returns the engines on which the stream may continue, or why it can't.
func (w *stallWatch) placeElsewhere() (run quotation.Run, obstacle string) {
	g := w.attempt.g
	req := w.request
	delivered := w.next - w.firstIndex
	if w.next > 0 {
		req.Version = w.attempt.plan.Decode.Version
	}
	req.PromptTokens += delivered
	req.OutputTokens -= delivered
	run, ok := g.runner.deps.Placer.Place(req, time.Now()).(quotation.Run)
	switch {
	case !ok:
		return run, "kept_no_capacity"
	case g.runs+1 >= g.req.MaxRuns, g.checkPrompt() != nil:
		return run, "kept_no_run"
	case g.tries >= g.runner.cfg.Tries, !g.allowsRetry():
		return run, "kept_no_retry"
	}
	return run, ""
}
