package intake

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/balsamlock/balsamlock/common/settings"
	"github.com/balsamlock/balsamlock/receipt"
)

// BacklogConfig holds the settings of a Backlog.
type BacklogConfig struct {
	// Placing is the number of requests that may look for an engine at one time.
	Placing int `json:"placing"`
	// LateSeconds bounds the late requests that wait, by the time in which they
	// would be started at the recent rate of late starts; one may always wait.
	LateSeconds float64 `json:"late_seconds"`
	// LateMS is how long a request that misses its objective may wait for a start,
	// in milliseconds; 0 refuses it.
	LateMS int `json:"late_ms"`
	// ReturnMS is what callers are told to wait who are refused because too many
	// wait, in milliseconds.
	ReturnMS int `json:"return_ms"`
}

// DefaultBacklogConfig returns the settings in use when none are given.
func DefaultBacklogConfig() BacklogConfig {
	return BacklogConfig{
		Placing:     2,
		LateSeconds: 4,
		// Callers give up after 3.6 s, and a start takes some of it.
		LateMS: 2800,
		// Bursts last 4 to 5 s.
		ReturnMS: 4000,
	}
}

// Check records the values that are not allowed.
func (c BacklogConfig) Check(p *settings.Problems) {
	p.Positive("placing", c.Placing)
	p.Add(c.LateSeconds >= 0, "late_seconds", c.LateSeconds, "a number of at least 0")
	p.Add(c.LateMS >= 0, "late_ms", c.LateMS, "a whole number of at least 0")
	p.Positive("return_ms", c.ReturnMS)
}

// Job is a request that waits in a Backlog.
type Job struct {
	// Class is the kind of request. Classes that wait share the starts evenly by
	// cost, so that the load of one takes no more than its part from the others.
	Class string
	// Cost is the expected work in tokens.
	Cost int
	// DueAt is the time up to which a start still meets the request's objective,
	// Latest the time up to which a start is of use at all. With a zero Latest the
	// request is refused once it would be late.
	DueAt       time.Time
	LatestStart time.Time
}

// Backlog lets requests for engines wait for a start. It answers bursts that ask
// for more than the engines' memory holds: among the requests that can still
// meet their objective the cheapest of each class goes first, so that as many
// callers as possible are served in time, and the classes by fair queueing; those that no longer can wait in order of arrival
// for room that the others leave, and are refused at once when there are more of
// them than have been started lately in a useful time.
type Backlog struct {
	cfg BacklogConfig

	mu      sync.Mutex
	onTime  []*JobTurn
	late    []*JobTurn
	placing int
	// closedUntil is the time up to which no room is expected.
	closedUntil time.Time
	reopen      *time.Timer
	starts      startRate
	// lateStarts are those of late requests.
	lateStarts startRate
	// now is the virtual time of fair queueing, finish the one at which the work of
	// each class so far ends.
	now    float64
	finish map[string]float64
}

// NewBacklog returns an empty backlog.
func NewBacklog(cfg BacklogConfig) *Backlog {
	b := &Backlog{
		cfg:    cfg,
		finish: map[string]float64{},
	}
	b.starts.since = time.Now()
	b.lateStarts.since = b.starts.since
	return b
}

// LatestStart returns the time up to which a request may start late: its run of the
// given length must end by its deadline. Zero means never.
func (b *Backlog) LatestStart(arrived, deadline time.Time, run time.Duration) time.Time {
	if b.cfg.LateMS == 0 {
		return time.Time{}
	}
	latest := arrived.Add(time.Duration(b.cfg.LateMS) * time.Millisecond)
	if end := deadline.Add(-run); end.Before(latest) {
		return end
	}
	return latest
}

// Waiting returns the number of requests that wait, and how many of them are
// late.
func (b *Backlog) Waiting() (all, late int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.onTime) + len(b.late), len(b.late)
}

// Wake lets the next request look for room at once.
func (b *Backlog) Wake() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closedUntil = time.Time{}
	b.grantLocked()
}

// Enter waits for the job's turn. A non-nil reason refuses it.
func (b *Backlog) Enter(ctx context.Context, job Job) (*JobTurn, *receipt.Reason) {
	t := &JobTurn{
		backlog: b,
		job:     job,
		arrived: time.Now(),
	}
	if reason := t.queue(ctx); reason != nil {
		return nil, reason
	}
	return t, nil
}

// pushLocked puts a request in its place.
func (b *Backlog) pushLocked(t *JobTurn, now time.Time) *receipt.Reason {
	t.granted = make(chan struct{})
	if t.useless(now) {
		return b.overloadedLocked(t, now)
	}
	if !t.isLate && !t.job.DueAt.IsZero() && !now.Before(t.job.DueAt) && !t.hurried {
		if reason := b.turnLateLocked(t, now); reason != nil {
			return reason
		}
	}
	if t.isLate && !t.hurried {
		b.late = insert(b.late, t, func(a, c *JobTurn) bool { return a.arrived.Before(c.arrived) })
	} else {
		b.onTime = insert(b.onTime, t, cheaper)
	}
	b.grantLocked()
	return nil
}

// cheaper orders requests that can still be on time.
func cheaper(a, c *JobTurn) bool {
	if a.hurried != c.hurried {
		return a.hurried
	}
	return a.job.Cost < c.job.Cost
}

func insert(list []*JobTurn, t *JobTurn, before func(a, c *JobTurn) bool) []*JobTurn {
	at := len(list)
	for at > 0 && before(t, list[at-1]) {
		at--
	}
	return slices.Insert(list, at, t)
}

// turnLateLocked marks a request as late unless there are too many already.
func (b *Backlog) turnLateLocked(t *JobTurn, now time.Time) *receipt.Reason {
	if t.job.LatestStart.IsZero() || !now.Before(t.job.LatestStart) {
		return b.overloadedLocked(t, now)
	}
	if float64(len(b.late)) >= max(1, b.cfg.LateSeconds*b.lateStarts.perSecond(now)) {
		return b.overloadedLocked(t, now)
	}
	t.isLate = true
	return nil
}

// overloadedLocked refuses a request, with what decided it.
func (b *Backlog) overloadedLocked(t *JobTurn, now time.Time) *receipt.Reason {
	return &receipt.Reason{
		Code:       receipt.CodeOverloaded,
		Step:       receipt.StepAdmit,
		RetryAfter: time.Duration(b.cfg.ReturnMS) * time.Millisecond,
		Err: &CrowdError{
			Waited:          now.Sub(t.arrived),
			Waiting:         len(b.onTime),
			Late:            len(b.late),
			StartsPerSecond: b.starts.perSecond(now),
		},
	}
}

// expire moves a request that has turned late, or refuses it.
func (b *Backlog) expire(t *JobTurn, now time.Time) *receipt.Reason {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.removeLocked(t) {
		// The turn was granted at the same moment.
		return nil
	}
	if t.isLate {
		return b.overloadedLocked(t, now)
	}
	return b.pushLocked(t, now)
}

func (b *Backlog) removeLocked(t *JobTurn) bool {
	for _, list := range []*[]*JobTurn{&b.onTime, &b.late} {
		if at := slices.Index(*list, t); at >= 0 {
			*list = slices.Delete(*list, at, at+1)
			return true
		}
	}
	return false
}

func (b *Backlog) endPlacingLocked(t *JobTurn) {
	if t.placing {
		t.placing = false
		b.placing--
	}
}

// closeLocked lets nobody look for room before d has passed.
func (b *Backlog) closeLocked(d time.Duration) {
	b.closedUntil = time.Now().Add(d)
	if b.reopen != nil {
		b.reopen.Stop()
	}
	b.reopen = time.AfterFunc(d, b.Wake)
}

// grantLocked gives turns to the next requests.
func (b *Backlog) grantLocked() {
	if time.Now().Before(b.closedUntil) {
		return
	}
	for b.placing < b.cfg.Placing {
		var t *JobTurn
		switch {
		case len(b.onTime) > 0:
			t = b.takeFairLocked()
		case len(b.late) > 0:
			t = b.late[0]
			b.late = slices.Delete(b.late, 0, 1)
		default:
			return
		}
		t.placing = true
		b.placing++
		close(t.granted)
	}
}

// takeFairLocked takes the cheapest request of the class whose turn it is.
func (b *Backlog) takeFairLocked() *JobTurn {
	best := 0
	seen := map[string]bool{}
	for at, t := range b.onTime {
		if t.hurried {
			best = at
			break
		}
		if seen[t.job.Class] {
			continue
		}
		seen[t.job.Class] = true
		t.start = max(b.now, b.finish[t.job.Class])
		if t.start < b.onTime[best].start {
			best = at
		}
	}
	t := b.onTime[best]
	b.onTime = slices.Delete(b.onTime, best, best+1)
	return t
}

// chargeLocked adds the cost of a start to its class.
func (b *Backlog) chargeLocked(t *JobTurn) {
	if t.isLate || t.hurried {
		return
	}
	b.now = max(b.now, t.start)
	b.finish[t.job.Class] = max(t.start, b.finish[t.job.Class]) + float64(t.job.Cost)
	for class, finish := range b.finish {
		if finish <= b.now {
			delete(b.finish, class)
		}
	}
}
