// Package bucket implements a lock-free token bucket. The rate is passed with each
// call, so that a change of a limit takes effect immediately.
//
// # Usage
//
//	var b bucket.Bucket
//	wait, ok := b.Take(1, limit, time.Now())
package bucket

import (
	"sync/atomic"
	"time"
)

// Burst is the capacity of a bucket, as the time that it takes to refill.
const Burst = time.Second

// Bucket is a token bucket. The zero value is full. It is safe for concurrent use.
type Bucket struct {
	// fullAt is the time at which the bucket is full again, in Unix nanoseconds.
	fullAt atomic.Int64
}

// Take takes n units from a bucket that refills at perSecond units per second. If too
// few units are available, it takes nothing and returns the time until there are
// enough. More units than the capacity can be taken from a full bucket; the following
// calls then wait until the debt is refilled. A rate of 0 or less allows nothing.
func (b *Bucket) Take(n, perSecond float64, now time.Time) (wait time.Duration, ok bool) {
	if perSecond <= 0 {
		return Burst, false
	}
	cost := int64(n / perSecond * float64(time.Second))
	maxDebt := max(int64(Burst)-cost, 0)
	for {
		old := b.fullAt.Load()
		debt := max(old-now.UnixNano(), 0)
		if debt > maxDebt {
			return time.Duration(debt - maxDebt), false
		}
		if b.fullAt.CompareAndSwap(old, now.UnixNano()+debt+cost) {
			return 0, true
		}
	}
}

// Return puts back n unused units that were taken at the given rate.
func (b *Bucket) Return(n, perSecond float64) {
	if perSecond > 0 {
		b.fullAt.Add(-int64(n / perSecond * float64(time.Second)))
	}
}
