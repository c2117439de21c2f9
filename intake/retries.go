package intake

import (
	"sync"
	"sync/atomic"
)

const (
	// retryCost is the cost of one retry. Budgets are integers in thousandths of a
	// retry, so that a first attempt can add a fraction of one.
	retryCost = 1000
	// initialRetries is the budget of a new caller, maxRetries the limit of a budget.
	initialRetries = 3
	maxRetries     = 20
	percentScale   = 100
)

// RetryBudget limits the retries of each caller to a percentage of its first attempts.
// Each caller has its own budget, so the failures of one don't use up that of another.
// It is safe for concurrent use.
type RetryBudget struct {
	percentOf func(caller string) float64
	budgets   sync.Map // caller to *atomic.Int64
}

// NewRetryBudget returns a RetryBudget. percentOf returns the retries allowed for a
// caller as a percentage of its first attempts.
func NewRetryBudget(percentOf func(caller string) float64) *RetryBudget {
	return &RetryBudget{percentOf: percentOf}
}

// RecordFirstAttempt records the first attempt of a request and adds to the budget of
// its caller.
func (r *RetryBudget) RecordFirstAttempt(caller string) {
	b := r.budget(caller)
	gain := int64(r.percentOf(caller) * retryCost / percentScale)
	for {
		old := b.Load()
		next := min(old+gain, maxRetries*retryCost)
		if b.CompareAndSwap(old, next) {
			return
		}
	}
}

// Allows reports whether the budget of the caller allows a number of repeated calls.
func (r *RetryBudget) Allows(caller string, calls int) bool {
	return r.budget(caller).Load() >= int64(calls)*retryCost
}

// Take reports whether the budget of the caller allows a number of repeated calls, and
// takes them from the budget if so.
func (r *RetryBudget) Take(caller string, calls int) bool {
	b := r.budget(caller)
	cost := int64(calls) * retryCost
	for {
		old := b.Load()
		if old < cost {
			return false
		}
		if b.CompareAndSwap(old, old-cost) {
			return true
		}
	}
}

func (r *RetryBudget) budget(caller string) *atomic.Int64 {
	if found, ok := r.budgets.Load(caller); ok {
		return found.(*atomic.Int64)
	}
	initial := &atomic.Int64{}
	initial.Store(initialRetries * retryCost)
	found, _ := r.budgets.LoadOrStore(caller, initial)
	return found.(*atomic.Int64)
}
