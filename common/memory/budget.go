// Package memory implements budgets for the memory that a process holds for others, such
// as connections and requests.
//
// The charges are estimates of what an item occupies at most. A process whose budgets are
// below the limit of its memory refuses work instead of being killed.
//
// # Usage
//
//	all := memory.NewBudget(64 << 20)
//	bodies := all.Share(16 << 20)
//	if !bodies.Take(n) {
//		refuse()
//	}
//	defer bodies.Return(n)
package memory

import (
	"errors"
	"sync/atomic"
)

// ErrExhausted is the cause of an error if something was not begun because a budget has
// nothing left for it.
var ErrExhausted = errors.New("no memory left in the budget")

// Budget is a number of bytes of which parts are taken and returned. It is safe for
// concurrent use.
type Budget struct {
	limit  int64
	parent *Budget
	used   atomic.Int64
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Share returns a budget of at most limit bytes that are taken from b as well. The sum of
// the shares may be larger than b.
func (b *Budget) Share(limit int64) *Budget {
	return &Budget{
		limit:  limit,
		parent: b,
	}
}

// Take takes n bytes. If they exceed the budget, or that of which it is a share, it takes
// nothing and returns false.
func (b *Budget) Take(n int64) bool {
	if b.used.Add(n) > b.limit {
		b.used.Add(-n)
		return false
	}
	if b.parent != nil && !b.parent.Take(n) {
		b.used.Add(-n)
		return false
	}
	return true
}

// Return returns n bytes that were taken before.
func (b *Budget) Return(n int64) {
	b.used.Add(-n)
	if b.parent != nil {
		b.parent.Return(n)
	}
}

// Used returns the number of bytes that are taken.
func (b *Budget) Used() int64 { return b.used.Load() }

// Limit returns the size of the budget in bytes.
func (b *Budget) Limit() int64 { return b.limit }
