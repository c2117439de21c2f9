package intake

import (
	"sync"
	"time"
)

const (
	// ageWindow is the time over which the usual deadline of a class is taken: a few
	// bursts, so that callers who return don't make up most of it.
	ageWindow = 20 * time.Second
	// ageSlack is how far deadlines that count as the usual one may lie apart: what
	// callers lose on the way.
	ageSlack = 100 * time.Millisecond
	// usualPart is the part of the requests that must name the usual deadline for
	// others to count as returned.
	usualPart = 0.5
)

// Ages tells how long callers have been asking. A caller that was refused and
// returns names what is left of its time, while first requests of a class name all
// of it, the same for each. It answers bursts in which callers who return, and
// whose objective has passed, compete with those who can still be served in time.
// It is safe for concurrent use.
type Ages struct {
	mu      sync.Mutex
	classes map[string]*deadlines
}

// NewAges returns an Ages that has seen no request.
func NewAges() *Ages { return &Ages{classes: map[string]*deadlines{}} }

// Of takes in a request of a class with the time that its caller will wait, 0 if it
// names none, and returns how long the caller has asked already.
func (a *Ages) Of(class string, left time.Duration, now time.Time) time.Duration {
	if left <= 0 {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	d := a.classes[class]
	if d == nil {
		d = &deadlines{since: now}
		a.classes[class] = d
	}
	return d.add(left, now)
}

// deadlines counts the deadlines of one class in two windows of time.
type deadlines struct {
	since    time.Time
	recent   deadlineCount
	previous deadlineCount
}

// deadlineCount is the longest deadline of a window, the requests that named it,
// and all of them.
type deadlineCount struct {
	longest time.Duration
	usual   int
	all     int
}

func (c *deadlineCount) add(left time.Duration) {
	c.all++
	switch {
	case left > c.longest+ageSlack:
		c.longest = left
		c.usual = 1
	case left > c.longest-ageSlack:
		c.longest = max(c.longest, left)
		c.usual++
	}
}

func (d *deadlines) add(left time.Duration, now time.Time) time.Duration {
	for now.Sub(d.since) >= ageWindow {
		d.previous = d.recent
		d.recent = deadlineCount{}
		d.since = d.since.Add(ageWindow)
		if now.Sub(d.since) >= ageWindow {
			d.since = now
		}
	}
	d.recent.add(left)
	longest := d.recent.longest
	usual, all := d.recent.usual, d.recent.all
	if d.previous.longest > longest-ageSlack {
		longest = max(longest, d.previous.longest)
		usual += d.previous.usual
		all += d.previous.all
	}
	age := longest - left
	if age < ageSlack || float64(usual) < usualPart*float64(all) {
		return 0
	}
	return age
}
