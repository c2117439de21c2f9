package intake

import (
	"sync"
	"sync/atomic"
	"time"
)

// Quota enforces a daily limit for each caller. Days end at midnight UTC. Usage is
// kept in memory, so it restarts at zero with a new instance. It is safe for concurrent
// use.
type Quota struct {
	used sync.Map // caller to *atomic.Pointer[dailyUsage]
}

// dailyUsage is the usage of a caller on one day. Values are immutable.
type dailyUsage struct {
	// day is the number of days since the Unix epoch.
	day  int64
	used int64
}

const day = 24 * time.Hour

// Take takes n units from the caller's limit for the day and reports whether they
// were available. If not, it takes nothing. A limit of 0 means unlimited.
func (q *Quota) Take(caller string, n, limit int64, now time.Time) bool {
	if limit <= 0 {
		return true
	}
	v, ok := q.used.Load(caller)
	if !ok {
		v, _ = q.used.LoadOrStore(caller, new(atomic.Pointer[dailyUsage]))
	}
	current := v.(*atomic.Pointer[dailyUsage])
	today := now.Unix() / int64(day/time.Second)
	for {
		old := current.Load()
		next := dailyUsage{
			day:  today,
			used: n,
		}
		if old != nil && old.day == today {
			next.used += old.used
		}
		if next.used > limit {
			return false
		}
		if current.CompareAndSwap(old, &next) {
			return true
		}
	}
}
