package intake

import (
	"sync"
	"time"
)

const (
	// overShareFactor is the multiple of its fair share of the recent work above
	// which a caller counts as over its share.
	overShareFactor = 3
	// usageWindow is the length of one window. Work counts as recent for one to two
	// windows.
	usageWindow = 5 * time.Second
	// minRecentCosts is the recent work, as a multiple of the request's own cost,
	// below which no caller counts as over its share.
	minRecentCosts = 8
)

// usage tracks the recent work of the callers in one partition.
type usage struct {
	mu          sync.Mutex
	recent      period
	previous    period
	recentStart time.Time
}

// period holds the work that was started within one window.
type period struct {
	callers map[string]callerWork
	cost    int
	weight  int
}

type callerWork struct {
	cost   int
	weight int
}

func newPeriod() period { return period{callers: map[string]callerWork{}} }

func newUsage(now time.Time) *usage {
	return &usage{
		recent:      newPeriod(),
		previous:    newPeriod(),
		recentStart: now,
	}
}

// isOverShare reports whether the recent work of the entry's caller is well above
// its weighted share among the callers with recent work.
func (u *usage) isOverShare(entry Entry, now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.advanceLocked(now)
	total := u.recent.cost + u.previous.cost
	if total < minRecentCosts*entry.Cost {
		return false
	}
	own := u.recent.callers[entry.Caller].cost + u.previous.callers[entry.Caller].cost
	weights := max(u.recent.weight, u.previous.weight, 1)
	share := float64(max(1, entry.Weight)) / float64(weights)
	return float64(own) > overShareFactor*share*float64(total)
}

// advanceLocked starts a new window if the current one has ended.
func (u *usage) advanceLocked(now time.Time) {
	elapsed := now.Sub(u.recentStart)
	if elapsed < usageWindow {
		return
	}
	u.previous = u.recent
	if elapsed >= 2*usageWindow {
		u.previous = newPeriod()
	}
	u.recent = newPeriod()
	u.recentStart = now
}

// add records a request that was started.
func (u *usage) add(entry Entry, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.advanceLocked(now)
	own, known := u.recent.callers[entry.Caller]
	if !known {
		own.weight = max(1, entry.Weight)
		u.recent.weight += own.weight
	}
	own.cost += entry.Cost
	u.recent.cost += entry.Cost
	u.recent.callers[entry.Caller] = own
}
