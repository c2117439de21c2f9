package firing

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/balsamlock/balsamlock/quotation"
)

// stallWatch cancels a stream that has been silent for too long. Silence alone doesn't
// prove that an engine has failed: it may have preempted the request and go on with it.
// A strict stream is therefore cancelled only once another engine has free capacity for
// it and the retry budget has paid for the move; otherwise cancelling would only end it.
type stallWatch struct {
	attempt *attempt
	stall   time.Duration
	cancel  context.CancelFunc
	// request is that of the placement of another attempt, for firstIndex tokens.
	request    quotation.Request
	firstIndex int
	// next is the index of the next expected token, lastToken the time of the last one in
	// nanoseconds since start.
	start     time.Time
	next      atomic.Int64
	lastToken atomic.Int64

	// mu guards timer and stopped.
	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

// stallCheckInterval is the interval between checks whether a silent stream can continue
// elsewhere.
const stallCheckInterval = 100 * time.Millisecond

func newStallWatch(a *attempt, stall time.Duration, cancel context.CancelFunc) *stallWatch {
	w := &stallWatch{
		attempt:    a,
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

// stop ends the watch. No check runs after it has returned.
func (w *stallWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// check cancels the stream if it can continue elsewhere, and is repeated otherwise.
func (w *stallWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	silence := time.Since(w.start) - time.Duration(w.lastToken.Load())
	switch {
	case w.stopped:
	case silence < w.stall:
		w.timer.Reset(w.stall - silence)
	case !w.attempt.g.req.Strict || silence >= maxStreamSilence || w.canMove():
		w.cancel()
	default:
		w.timer.Reset(stallCheckInterval)
	}
}

// canMove reports whether another engine has free capacity for the stream and the retry
// budget allows the move. If so, the move is taken from the budget.
func (w *stallWatch) canMove() bool {
	g := w.attempt.g
	req := w.request
	delivered := int(w.next.Load()) - w.firstIndex
	req.PromptTokens += delivered
	req.OutputTokens -= delivered
	if _, ok := g.runner.deps.Placer.Place(req, time.Now()).(quotation.Run); !ok {
		return false
	}
	return g.prepayRetry()
}
