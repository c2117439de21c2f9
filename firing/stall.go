package firing

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
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
// A strict stream is therefore cancelled only once another engine has reserved a slot for
// it and the retry budget has paid for the move; otherwise cancelling would only end it.
type stallWatch struct {
	attempt *attempt
	// ctx is the context of the stream.
	ctx    context.Context
	stall  time.Duration
	cancel context.CancelFunc
	// request is that of the placement of another attempt, for firstIndex tokens.
	request    quotation.Request
	firstIndex int
	// next is the index of the next expected token, lastToken the time of the last one in
	// nanoseconds since start.
	start     time.Time
	next      atomic.Int64
	lastToken atomic.Int64

	// mu guards the fields below.
	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
	// logged is the verdict of the last log line.
	logged string
}

// stallCheckInterval is the interval between checks whether a silent stream can continue
// elsewhere.
const stallCheckInterval = 100 * time.Millisecond

func newStallWatch(ctx context.Context, a *attempt, stall time.Duration, cancel context.CancelFunc) *stallWatch {
	w := &stallWatch{
		attempt:    a,
		ctx:        ctx,
		stall:      stall,
		cancel:     cancel,
		request:    a.g.quotationRequest(),
		firstIndex: a.g.next,
		start:      time.Now(),
	}
	w.request.Excluded = append(append([]string{}, w.request.Excluded...), a.plan.Decode.Address)
	w.request.BestEffort = false
	w.next.Store(int64(a.g.next))
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(stall, w.check)
	return w
}

// progress records that a token arrived.
func (w *stallWatch) progress(next int) {
	w.next.Store(int64(next))
	w.lastToken.Store(int64(time.Since(w.start)))
}

// stop ends the watch. A check that still runs has no effect after it has returned.
func (w *stallWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// silence returns the time since the last token.
func (w *stallWatch) silence() time.Duration {
	return time.Since(w.start) - time.Duration(w.lastToken.Load())
}

// check cancels the stream if it can continue elsewhere, and is repeated otherwise. It runs in the
// goroutine of a timer, outside of those in which the panics of requests are contained.
func (w *stallWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	defer recovery.Contain("check silent stream", func(error) { w.timer.Reset(stallCheckInterval) })
	silence := w.silence()
	switch {
	case w.stopped:
	case silence < w.stall:
		w.timer.Reset(w.stall - silence)
	case !w.attempt.g.req.Strict || silence >= maxStreamSilence:
		w.log(silence, "ended")
		w.cancel()
	default:
		w.moveLocked()
	}
}

// moveLocked cancels the stream once another engine has reserved a slot for it. The mutex
// is released during the reservation.
func (w *stallWatch) moveLocked() {
	g := w.attempt.g
	run, obstacle := w.placeElsewhere()
	var next *successor
	if obstacle == "" {
		next = newSuccessor(g, run)
		if err := w.reserveUnlocked(next); err != nil {
			next = nil
			obstacle = "kept_refused"
			w.recordRefusal(run.Decode.Address, err)
		}
	}
	silence := w.silence()
	switch {
	case w.stopped:
		next.release()
	case silence < w.stall:
		next.release()
		w.timer.Reset(w.stall - silence)
	case next != nil:
		w.log(silence, "moved")
		g.successor = next
		w.cancel()
	default:
		w.log(silence, obstacle)
		w.timer.Reset(stallCheckInterval)
	}
}

// reserveUnlocked makes the reservation of a successor without the mutex.
func (w *stallWatch) reserveUnlocked(next *successor) error {
	w.mu.Unlock()
	defer w.mu.Lock()
	return next.reserve(w.ctx)
}

// recordRefusal records that an engine reserved no slot, as for any other attempt.
func (w *stallWatch) recordRefusal(address string, err error) {
	placer, now := w.attempt.g.runner.deps.Placer, time.Now()
	switch {
	case w.ctx.Err() != nil, errors.Is(err, memory.ErrExhausted):
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
		Str("decode", w.attempt.plan.Decode.Name).Int64("events", w.next.Load()).Int64("silent_ms", silence.Milliseconds()).
		Str("verdict", verdict).Msg("no tokens from the engine")
}

// placeElsewhere returns the engines on which the stream may continue, or why it can't. If
// it can, the move has been taken from the retry budget.
func (w *stallWatch) placeElsewhere() (run quotation.Run, obstacle string) {
	g := w.attempt.g
	req := w.request
	delivered := int(w.next.Load()) - w.firstIndex
	req.PromptTokens += delivered
	req.OutputTokens -= delivered
	run, ok := g.runner.deps.Placer.Place(req, time.Now()).(quotation.Run)
	switch {
	case !ok:
		return run, "kept_no_capacity"
	case !g.prepayRetry():
		return run, "kept_no_retry"
	}
	return run, ""
}
