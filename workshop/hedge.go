package workshop

import (
	"context"
	"time"

	"github.com/balsamlock/balsamlock/receipt"
)

// hedgedCall is a repeatable call with its retries and hedges.
type hedgedCall struct {
	client  *RetryClient
	call    Call
	state   *retryState
	results chan tryResult
	// untried are the servers that the call may still be sent to, the best one first. last
	// is the name of the server that it was sent to last.
	untried []Server
	last    string
	// tries is the number of tries sent, inFlight the number of those still running.
	tries    int
	inFlight int
	// mayHaveRun is set when a failed try may have started on its server.
	mayHaveRun bool
	// ownAnswer is the first answer with status 500, which is passed on if no repeat succeeds. It is nil for services
	// whose load is unknown. repeatedOn is the server that the repeat after such an answer was sent to.
	ownAnswer  *tryResult
	repeatedOn string
	// deferred is set once a hedge was put off because the service was busy.
	deferred bool
}

// busyHedgeDelay is the time after which a hedge that was put off is considered again: about half of a call.
const busyHedgeDelay = 20 * time.Millisecond

// run sends the first try, hedges and retries. It returns the first answer that isn't a
// failure, or else the last failure.
func (h *hedgedCall) run(ctx context.Context, sent receipt.Sent, first Server) receipt.Outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h.startTry(ctx, first)
	hedge := time.NewTimer(h.client.hedgeDelay(h.state))
	defer hedge.Stop()
	for {
		select {
		case <-hedge.C:
			if h.defersHedge() {
				hedge.Reset(busyHedgeDelay)
				continue
			}
			if h.call.Busy == nil {
				h.client.health.recordFailure(h.last)
			}
			h.sendAnother(ctx, "hedge")
		case last := <-h.results:
			h.inFlight--
			h.learnRepeat(last)
			if !last.isFailure(h.call) {
				return last.outcome()
			}
			h.mayHaveRun = h.mayHaveRun || !last.isNotStarted()
			if h.call.Busy != nil && h.ownAnswer == nil && last.isServerError() {
				h.ownAnswer = &last
			}
			if ctx.Err() == nil && !isOwnRefusal(last.err) && !h.refusesRepeat(last) && h.sendAnother(ctx, "retry") {
				if last.isServerError() {
					h.repeatedOn = h.last
				}
				continue
			}
			if h.inFlight == 0 {
				return h.failureOutcome(sent, last)
			}
		}
	}
}

// defersHedge reports whether a hedge is put off because it would only add to the load of busy servers.
func (h *hedgedCall) defersHedge() bool {
	if !h.call.isBusy() {
		return false
	}
	if !h.deferred {
		h.client.count("hedge_deferred")
	}
	h.deferred = true
	return true
}

// sendAnother sends another try if servers, tries and the retry budget allow it. It
// reports whether it did. kind is "retry" or "hedge".
func (h *hedgedCall) sendAnother(ctx context.Context, kind string) bool {
	if h.tries >= h.client.maxTries(h.call) || !h.call.admitsRepeat(kind == "hedge") {
		return false
	}
	server, ok := h.nextServer()
	if !ok {
		return false
	}
	if !h.client.takeRetry(h.state, h.call.Request.Attempt, h.call.Service, kind) {
		return false
	}
	h.startTry(ctx, server)
	return true
}

// nextServer removes and returns the best untried server that takes calls now.
func (h *hedgedCall) nextServer() (Server, bool) {
	for len(h.untried) > 0 {
		server := h.untried[0]
		h.untried = h.untried[1:]
		if server.admits() {
			return server, true
		}
	}
	return Server{}, false
}

func (h *hedgedCall) startTry(ctx context.Context, server Server) {
	n := h.tries
	h.tries++
	h.inFlight++
	h.last = server.Name
	go func() {
		h.results <- h.client.sendTry(ctx, h.state, h.call, server, n)
	}()
}

// failureOutcome returns the outcome of a call without a successful try.
func (h *hedgedCall) failureOutcome(sent receipt.Sent, last tryResult) receipt.Outcome {
	switch {
	case h.ownAnswer != nil:
		return h.ownAnswer.outcome()
	case last.err == nil:
		return last.outcome()
	case h.mayHaveRun:
		return sent.Unknown(last.reason())
	}
	return sent.Declined(last.reason())
}
