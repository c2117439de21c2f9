package bulletin

import (
	"sync"
	"time"

	"github.com/balsamlock/balsamlock/common/uptime"
)

// Watch holds the newest reports of this instance's reader. It is safe for concurrent use.
type Watch struct {
	cfg Config

	mu      sync.Mutex
	reports map[Log]Report
	arrived chan struct{}
}

// NewWatch returns a watch without reports.
func NewWatch(cfg Config) *Watch {
	return &Watch{
		cfg:     cfg,
		arrived: make(chan struct{}),
	}
}

// Decide decides whether a follower at a position, which last read the log at readAt, must
// read it.
func (w *Watch) Decide(log Log, at Position, readAt, now uptime.Instant) Decision {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cfg.Decide(w.reports[log], at, readAt, now)
}

// Arrived returns a channel that is closed when the next reports arrive.
func (w *Watch) Arrived() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.arrived
}

// Update replaces the reports. None means that this instance must read the logs itself.
func (w *Watch) Update(reports map[Log]Report) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reports = reports
	close(w.arrived)
	w.arrived = make(chan struct{})
}

// Oldest returns the age of the oldest report, or false if there are none.
func (w *Watch) Oldest(now uptime.Instant) (time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var oldest time.Duration
	for _, report := range w.reports {
		oldest = max(oldest, report.Age(now))
	}
	return oldest, len(w.reports) > 0
}
