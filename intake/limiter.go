// Package intake implements admission control: rate and concurrency limits by
// caller, daily quotas, retry budgets, the queues in which requests wait to be placed,
// and the admission of requests during a shutdown. It does no I/O.
//
// # Usage
//
//	limiter := intake.NewLimiter(shares)
//	permit, refusal := limiter.Admit(intake.Demand{Caller: name, Limits: limits, Tokens: n}, time.Now())
//	if refusal != nil {
//		return refusal
//	}
//	defer permit.Done()
//
// Limits are passed with each request, so that a change of the routing document
// takes effect immediately.
package intake

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/balsamlock/balsamlock/common/bucket"
	"github.com/balsamlock/balsamlock/receipt"
)

// concurrencyRetryAfter is the retry hint for a caller that has reached its limit of
// concurrent requests.
const concurrencyRetryAfter = 100 * time.Millisecond

// Limits are the limits of a caller across all entry instances. Zero means
// unlimited.
type Limits struct {
	RequestsPerSecond float64
	// TokensPerSecond limits the sum of prompt and output tokens.
	TokensPerSecond float64
	Concurrent      int
}

// Demand describes a request to be admitted.
type Demand struct {
	Caller string
	Limits Limits
	// Tokens is the sum of prompt and output tokens.
	Tokens int
}

// ShareSource provides the fraction of each caller's limits that this instance may
// use.
type ShareSource interface {
	// RecordDemand records a request of a caller, whether or not it is admitted.
	RecordDemand(caller string, tokens int, now time.Time)
	// Share returns this instance's fraction of the caller's limits, greater than 0
	// and at most 1.
	Share(caller string, now time.Time) float64
}

// callerState holds one caller's usage of its limits on this instance.
type callerState struct {
	concurrent atomic.Int64
	requests   bucket.Bucket
	tokens     bucket.Bucket
}

// Limiter enforces the limits of the callers. It is safe for concurrent use.
// Requests of one caller don't contend with those of another.
type Limiter struct {
	shares  ShareSource
	callers sync.Map // caller to *callerState
}

// NewLimiter returns a limiter. If shares is nil, this instance may use the whole of
// each limit.
func NewLimiter(shares ShareSource) *Limiter { return &Limiter{shares: shares} }

// Permit is held by an admitted request while it runs. It counts towards the caller's
// limit of concurrent requests.
type Permit struct {
	caller *callerState
	done   atomic.Bool
}

// Done releases the permit. It may be called more than once.
func (p *Permit) Done() {
	if p.done.CompareAndSwap(false, true) {
		p.caller.concurrent.Add(-1)
	}
}

// Admit admits a request if it is within its caller's limits. A non-nil reason means
// that the request was refused and doesn't count towards the limits.
func (l *Limiter) Admit(demand Demand, now time.Time) (*Permit, *receipt.Reason) {
	c := l.caller(demand.Caller)
	share := l.share(demand, now)
	if !c.acquireSlot(demand.Limits.Concurrent, share) {
		return nil, limitedReason(concurrencyRetryAfter)
	}
	wait, ok := c.takeFromBuckets(demand, share, now)
	if !ok {
		c.concurrent.Add(-1)
		return nil, limitedReason(wait)
	}
	return &Permit{caller: c}, nil
}

func limitedReason(retryAfter time.Duration) *receipt.Reason {
	return &receipt.Reason{
		Code:       receipt.CodeLimited,
		Step:       receipt.StepAdmit,
		RetryAfter: retryAfter,
	}
}

func (l *Limiter) share(demand Demand, now time.Time) float64 {
	if l.shares == nil || demand.Limits == (Limits{}) {
		return 1
	}
	l.shares.RecordDemand(demand.Caller, demand.Tokens, now)
	return l.shares.Share(demand.Caller, now)
}

func (l *Limiter) caller(name string) *callerState {
	if found, ok := l.callers.Load(name); ok {
		return found.(*callerState)
	}
	found, _ := l.callers.LoadOrStore(name, &callerState{})
	return found.(*callerState)
}

// acquireSlot counts a concurrent request and reports whether it is within the limit.
// One request is always allowed, because this instance's share of a small limit may be
// less than one.
func (c *callerState) acquireSlot(limit int, share float64) bool {
	used := c.concurrent.Add(1)
	if limit == 0 || used == 1 || float64(used) <= float64(limit)*share {
		return true
	}
	c.concurrent.Add(-1)
	return false
}

// takeFromBuckets takes from both buckets or from neither. If a bucket lacks units, it
// returns the time until they are available.
func (c *callerState) takeFromBuckets(demand Demand, share float64, now time.Time) (time.Duration, bool) {
	requests := demand.Limits.RequestsPerSecond * share
	tokens := demand.Limits.TokensPerSecond * share
	if requests > 0 {
		if wait, ok := c.requests.Take(1, requests, now); !ok {
			return wait, false
		}
	}
	if tokens > 0 {
		if wait, ok := c.tokens.Take(float64(demand.Tokens), tokens, now); !ok {
			c.requests.Return(1, requests)
			return wait, false
		}
	}
	return 0, true
}
