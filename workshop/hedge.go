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
	// tries is the number of tries sent, inFlight the number of those still running.
	tries    int
	inFlight int
	// mayHaveRun is set when a failed try may have started on its server.
	mayHaveRun bool
}

// run sends the first try, hedges and retries. It returns the first answer that isn't a
// failure, or else the last failure.
func (r *hedgedCall) run(ctx context.Context, sent receipt.Sent) receipt.Outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.startTry(ctx)
	hedge := time.NewTimer(r.client.hedgeDelay(r.state))
	defer hedge.Stop()
	for {
		select {
		case <-hedge.C:
			r.client.health.recordFailure(r.call.Servers[r.tries-1].Name)
			r.sendAnother(ctx, "hedge")
		case last := <-r.results:
			r.inFlight--
			if !last.isFailure(r.call) {
				return last.outcome()
			}
			r.mayHaveRun = r.mayHaveRun || !last.isNotStarted()
			if ctx.Err() == nil && r.sendAnother(ctx, "retry") {
				continue
			}
			if r.inFlight == 0 {
				return r.failureOutcome(sent, last)
			}
		}
	}
}

// sendAnother sends another try if servers, tries and the retry budget allow it. It
// reports whether it did. kind is "retry" or "hedge".
func (r *hedgedCall) sendAnother(ctx context.Context, kind string) bool {
	if r.tries >= r.client.maxTries(r.call) || r.tries >= len(r.call.Servers) {
		return false
	}
	if !r.client.takeRetry(r.state, r.call.Request.Attempt, r.call.Service, kind) {
		return false
	}
	r.startTry(ctx)
	return true
}

func (r *hedgedCall) startTry(ctx context.Context) {
	n := r.tries
	r.tries++
	r.inFlight++
	go func() {
		r.results <- r.client.sendTry(ctx, r.state, r.call, r.call.Servers[n], n)
	}()
}

// failureOutcome returns the outcome of a call without a successful try.
func (r *hedgedCall) failureOutcome(sent receipt.Sent, last tryResult) receipt.Outcome {
	switch {
	case last.err == nil:
		return last.outcome()
	case r.mayHaveRun:
		return sent.Unknown(last.reason())
	}
	return sent.Declined(last.reason())
}
