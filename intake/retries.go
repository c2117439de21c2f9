package intake

import (
	"sync"
	"sync/atomic"
)

const (
	// retryUnit is the cost of one retry in the unit of the budget.
	retryUnit = 1000
	// firstRetries are there before the first request, maxRetries at most.
	firstRetries = 3
	maxRetries   = 20
	percent      = 100
)

// RetryBudget is the budget of retries of each caller, as a share of its first
// tries. One caller's failures spend no other's budget.
type RetryBudget struct {
	percent func(caller string) float64
	budgets sync.Map // caller to *atomic.Int64
}

// NewRetryBudget returns budgets; percentOf gives a caller's retries as a
// percentage of its first tries.
func NewRetryBudget(percentOf func(caller string) float64) *RetryBudget {
	return &RetryBudget{percent: percentOf}
}

// RecordFirstAttempt records a first try of a caller.
func (r *RetryBudget) RecordFirstAttempt(caller string) {
	b := r.budget(caller)
	gain := int64(r.percent(caller) * retryUnit / percent)
	for {
		old := b.Load()
		next := min(old+gain, maxRetries*retryUnit)
		if b.CompareAndSwap(old, next) {
			return
		}
	}
}

// Take spends a retry and tells whether the budget allows it.
func (r *RetryBudget) Take(caller string) bool {
	b := r.budget(caller)
	for {
		old := b.Load()
		if old < retryUnit {
			return false
		}
		if b.CompareAndSwap(old, old-retryUnit) {
			return true
		}
	}
}

func (r *RetryBudget) budget(caller string) *atomic.Int64 {
	if found, ok := r.budgets.Load(caller); ok {
		return found.(*atomic.Int64)
	}
	fresh := &atomic.Int64{}
	fresh.Store(firstRetries * retryUnit)
	found, _ := r.budgets.LoadOrStore(caller, fresh)
	return found.(*atomic.Int64)
}
