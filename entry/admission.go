package entry

import (
	"context"
	"time"

	"github.com/balsamlock/balsamlock/counter"
	"github.com/balsamlock/balsamlock/intake"
	"github.com/balsamlock/balsamlock/receipt"
)

// admission enforces the callers' limits of the current routing document.
type admission struct{ limiter *intake.Limiter }

// Admit charges a request to its caller's limits. If a limit is exceeded, it returns
// no permit and the reason of the refusal.
func (a *admission) Admit(_ context.Context, req counter.AdmissionRequest) (counter.Permit, receipt.Reason) {
	limits := req.Caller.Limits()
	permit, refusal := a.limiter.Admit(intake.Demand{
		Caller: req.Caller.Name(),
		Limits: intake.Limits{
			RequestsPerSecond: limits.RequestsPerSecond,
			TokensPerSecond:   limits.TokensPerSecond,
			Concurrent:        limits.Concurrent,
		},
		Tokens: req.PromptTokens + req.OutputTokens,
	}, time.Now())
	if refusal != nil {
		return nil, *refusal
	}
	return permit, receipt.Reason{}
}

// draftLimit returns the maximum number of uncollected drafts of a caller. 0 means
// unlimited.
func (i *Instance) draftLimit(caller string) int {
	if index := i.index(); index != nil {
		if grant, ok := index.Caller(caller); ok {
			return grant.Limits().Drafts
		}
	}
	return 0
}

// queueWeight returns a caller's weight in the fair queue.
func (i *Instance) queueWeight(caller string) int {
	if index := i.index(); index != nil {
		if grant, ok := index.Caller(caller); ok {
			return max(grant.Caller().Weight, 1)
		}
	}
	return 1
}

// retryPercent returns a caller's retry budget as a percentage of its first attempts.
func (i *Instance) retryPercent(caller string) float64 {
	if index := i.index(); index != nil {
		if grant, ok := index.Caller(caller); ok && grant.Limits().RetryPercent > 0 {
			return grant.Limits().RetryPercent
		}
	}
	return defaultRetryPercent
}

// wakeQueue retries the placement of waiting requests when a request has released
// its capacity. It returns when ctx is done.
func (i *Instance) wakeQueue(ctx context.Context) error {
	for {
		select {
		case <-i.placer.Freed():
			i.queue.Wake()
		case <-ctx.Done():
			return nil
		}
	}
}

// defaultRetryPercent is the retry budget of callers for which the routing document
// sets none.
const defaultRetryPercent = 10

var (
	_ counter.Admission = (*admission)(nil)
	_ counter.Permit    = (*intake.Permit)(nil)
)
