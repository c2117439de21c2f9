package workshop

import (
	"context"
	"time"

	"github.com/balsamlock/balsamlock/receipt"
)

// race is one repeatable call with its tries.
type race struct {
	caller  *RetryClient
	call    Call
	account *account
	results chan result
	// tries counts the tries sent, open those without an end.
	tries int
	open  int
	// maybeRan is set once a try may have started.
	maybeRan bool
}

// run sends the first try, hedges and retries, and returns the first good
// answer or the last failure.
func (r *race) run(ctx context.Context, sent receipt.Sent) receipt.Outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.launch(ctx)
	hedge := time.NewTimer(r.caller.hedgeAfter(r.account))
	defer hedge.Stop()
	for {
		select {
		case <-hedge.C:
			r.caller.health.failed(r.call.Servers[r.tries-1].Name)
			r.again(ctx, "hedge")
		case last := <-r.results:
			r.open--
			if !last.isFailure(r.call) {
				return last.answered()
			}
			r.maybeRan = r.maybeRan || !last.notStarted()
			if ctx.Err() == nil && r.again(ctx, "retry") {
				continue
			}
			if r.open == 0 {
				return r.failed(sent, last)
			}
		}
	}
}

// again sends another try if servers, tries and budget are left.
func (r *race) again(ctx context.Context, kind string) bool {
	if r.tries >= r.caller.maxTries(r.call) || r.tries >= len(r.call.Servers) {
		return false
	}
	if !r.caller.spend(r.account, r.call.Request.Attempt, r.call.Service, kind) {
		return false
	}
	r.launch(ctx)
	return true
}

func (r *race) launch(ctx context.Context) {
	n := r.tries
	r.tries++
	r.open++
	go func() {
		r.results <- r.caller.try(ctx, r.account, r.call, r.call.Servers[n], n)
	}()
}

// failed is the outcome when no try succeeded.
func (r *race) failed(sent receipt.Sent, last result) receipt.Outcome {
	switch {
	case last.err == nil:
		return last.answered()
	case r.maybeRan:
		return sent.Unknown(last.reason())
	}
	return sent.Declined(last.reason())
}
