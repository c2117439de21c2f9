package entry

import (
	"sync"
	"time"

	"github.com/balsamlock/balsamlock/common/bucket"
	"github.com/balsamlock/balsamlock/intake"
	"github.com/balsamlock/balsamlock/plan"
	"github.com/balsamlock/balsamlock/quotation"
)

const (
	bitsPerByte      = 8
	bitsPerMegabit   = 1_000_000
	bytesPerMegabyte = 1_000_000
)

// linkLimiter limits the paid traffic between regions by the current routing document.
// It limits the rate of each link and the daily volume of each caller. Both limits are
// divided among the live instances.
type linkLimiter struct {
	index     func() *plan.Index
	shares    *evenShares
	ownRegion string
	buckets   sync.Map // region to *bucket.Bucket
	quota     intake.Quota
}

// Take takes bytes from the budget of the link to a region and from the caller's daily
// volume. It reports whether both allow the traffic. If the document has no link to the
// region, no traffic is allowed.
func (l *linkLimiter) Take(req quotation.Request, region string, bytes int64, now time.Time) bool {
	index := l.index()
	if index == nil {
		return false
	}
	mbitPerSecond, ok := index.LinkMbit(l.ownRegion, region)
	grant, known := index.Caller(req.Caller)
	if !ok || !known {
		return false
	}
	share := l.shares.Share(req.Caller, now)
	rate := mbitPerSecond * bitsPerMegabit / bitsPerByte * share
	b := l.bucket(region)
	if _, ok := b.Take(float64(bytes), rate, now); !ok {
		return false
	}
	dailyBytes := int64(grant.Limits().CrossRegionMBPerDay * bytesPerMegabyte * share)
	if l.quota.Take(req.Caller, bytes, dailyBytes, now) {
		return true
	}
	b.Return(float64(bytes), rate)
	return false
}

func (l *linkLimiter) bucket(region string) *bucket.Bucket {
	if b, ok := l.buckets.Load(region); ok {
		return b.(*bucket.Bucket)
	}
	b, _ := l.buckets.LoadOrStore(region, new(bucket.Bucket))
	return b.(*bucket.Bucket)
}

var _ quotation.Links = (*linkLimiter)(nil)
