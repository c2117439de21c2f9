// Package intake decides whether and when a request may run: limits of each
// caller, retry budgets and the weighted fair queue. It does no I/O.
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
// Limits are given with each request, so that a change of the routing document
// takes effect at once.
package intake

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/balsamlock/balsamlock/common/bucket"
	"github.com/balsamlock/balsamlock/receipt"
)

// concurrentRetry is the time after which a caller at its limit of concurrent
// requests may try again.
const concurrentRetry = 100 * time.Millisecond

// Limits bound a caller over all entry instances together; zero means
// unlimited.
type Limits struct {
	RequestsPerSecond float64
	// TokensPerSecond bounds prompt and output tokens together.
	TokensPerSecond float64
	Concurrent      int
}

// Demand is a request that asks to be admitted.
type Demand struct {
	Caller string
	Limits Limits
	// Tokens is the cost: prompt and output tokens.
	Tokens int
}

// ShareSource tells which part of a caller's limits is this instance's.
type ShareSource interface {
	// RecordDemand records the demand of a caller, admitted or not.
	RecordDemand(caller string, tokens int, now time.Time)
	// Share returns this instance's part of the caller's limits, above 0 and
	// at most 1.
	Share(caller string, now time.Time) float64
}

// account is what one caller has in use at this instance.
type account struct {
	concurrent atomic.Int64
	requests   bucket.Bucket
	tokens     bucket.Bucket
}

// Limiter applies the limits of the callers. It is safe for concurrent use, and
// the requests of one caller never wait for those of another.
type Limiter struct {
	sharing  ShareSource
	accounts sync.Map // caller to *account
}

// NewLimiter returns a limiter; with nil sharing the limits are this instance's
// alone.
func NewLimiter(sharing ShareSource) *Limiter { return &Limiter{sharing: sharing} }

// Permit is an admitted request's part of its caller's limits.
type Permit struct {
	account *account
	done    atomic.Bool
}

// Done gives the permit back. It may be called more than once.
func (p *Permit) Done() {
	if p.done.CompareAndSwap(false, true) {
		p.account.concurrent.Add(-1)
	}
}

// Admit takes a request's part of its caller's limits. A non-nil reason
// refuses it; nothing is taken then.
func (l *Limiter) Admit(demand Demand, now time.Time) (*Permit, *receipt.Reason) {
	a := l.account(demand.Caller)
	share := l.share(demand, now)
	if !a.enter(demand.Limits.Concurrent, share) {
		return nil, limited(concurrentRetry)
	}
	wait, ok := a.spend(demand, share, now)
	if !ok {
		a.concurrent.Add(-1)
		return nil, limited(wait)
	}
	return &Permit{account: a}, nil
}

func limited(wait time.Duration) *receipt.Reason {
	return &receipt.Reason{
		Code:       receipt.CodeLimited,
		Step:       receipt.StepAdmit,
		RetryAfter: wait,
	}
}

func (l *Limiter) share(demand Demand, now time.Time) float64 {
	if l.sharing == nil || demand.Limits == (Limits{}) {
		return 1
	}
	l.sharing.RecordDemand(demand.Caller, demand.Tokens, now)
	return l.sharing.Share(demand.Caller, now)
}

func (l *Limiter) account(caller string) *account {
	if found, ok := l.accounts.Load(caller); ok {
		return found.(*account)
	}
	found, _ := l.accounts.LoadOrStore(caller, &account{})
	return found.(*account)
}

// enter takes a place among the concurrent requests. The first place is always
// there, since a share of a small limit may be less than one.
func (a *account) enter(limit int, share float64) bool {
	used := a.concurrent.Add(1)
	if limit == 0 || used == 1 || float64(used) <= float64(limit)*share {
		return true
	}
	a.concurrent.Add(-1)
	return false
}

// spend takes from both buckets or from none.
func (a *account) spend(demand Demand, share float64, now time.Time) (time.Duration, bool) {
	requests := demand.Limits.RequestsPerSecond * share
	tokens := demand.Limits.TokensPerSecond * share
	if requests > 0 {
		if wait, ok := a.requests.Take(1, requests, now); !ok {
			return wait, false
		}
	}
	if tokens > 0 {
		if wait, ok := a.tokens.Take(float64(demand.Tokens), tokens, now); !ok {
			a.requests.Return(1, requests)
			return wait, false
		}
	}
	return 0, true
}
