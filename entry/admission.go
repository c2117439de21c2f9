package entry

import (
	"context"
	"time"

	"github.com/balsamlock/balsamlock/counter"
	"github.com/balsamlock/balsamlock/intake"
	"github.com/balsamlock/balsamlock/receipt"
)

// admission applies the limits of the routing document in force.
type admission struct{ limiter *intake.Limiter }

// Admit takes the request's part of its caller's limits.
func (a *admission) Admit(_ context.Context, ticket counter.AdmissionRequest) (counter.Permit, receipt.Reason) {
	limits := ticket.Caller.Limits()
	permit, refusal := a.limiter.Admit(intake.Demand{
		Caller: ticket.Caller.Name(),
		Limits: intake.Limits{
			RequestsPerSecond: limits.RequestsPerSecond,
			TokensPerSecond:   limits.TokensPerSecond,
			Concurrent:        limits.Concurrent,
		},
		Tokens: ticket.PromptTokens + ticket.OutputTokens,
	}, time.Now())
	if refusal != nil {
		return nil, *refusal
	}
	return permit, receipt.Reason{}
}

// draftLimit gives how many uncollected drafts a caller may have, 0 for any
// number.
func (i *Instance) draftLimit(caller string) int {
	if index := i.index(); index != nil {
		if grant, ok := index.Caller(caller); ok {
			return grant.Limits().Drafts
		}
	}
	return 0
}

// weight gives a caller's share of the fair queue.
func (i *Instance) weight(caller string) int {
	if index := i.index(); index != nil {
		if grant, ok := index.Caller(caller); ok {
			return max(grant.Caller().Weight, 1)
		}
	}
	return 1
}

// retryPercent gives a caller's retry budget as a percentage of first tries.
func (i *Instance) retryPercent(caller string) float64 {
	if index := i.index(); index != nil {
		if grant, ok := index.Caller(caller); ok && grant.Limits().RetryPercent > 0 {
			return grant.Limits().RetryPercent
		}
	}
	return defaultRetryPercent
}

// wakeQueue lets waiting requests try again when room may have been freed.
func (i *Instance) wakeQueue(ctx context.Context) error {
	for {
		select {
		case <-i.book.Freed():
			i.queue.Wake()
		case <-ctx.Done():
			return nil
		}
	}
}

// defaultRetryPercent is the retry budget of callers without one of their own.
const defaultRetryPercent = 10

var (
	_ counter.Admission = (*admission)(nil)
	_ counter.Permit    = (*intake.Permit)(nil)
)
