package intake

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/balsamlock/balsamlock/common/settings"
)

// sharedSlot is the resolution of the sliding window of SharedRetries.
const sharedSlot = 500 * time.Millisecond

// SharedRetryBudgetConfig bounds the retries that all instances together send to one
// service.
type SharedRetryBudgetConfig struct {
	// Ratio is the number of retries for each request, Slack the number that are
	// allowed on top in each window, over all instances.
	Ratio float64 `json:"ratio"`
	Slack float64 `json:"slack"`
	// WindowMS is the length of the sliding window, in milliseconds.
	WindowMS int `json:"window_ms"`
	// Reserve is the part of the budget that is left unspent, since instances see
	// requests end in other windows than they began in.
	Reserve float64 `json:"reserve"`
}

// Check records the values that are not allowed.
func (c SharedRetryBudgetConfig) Check(p *settings.Problems) {
	p.Add(c.Ratio >= 0, "ratio", c.Ratio, "a number of at least 0")
	p.Add(c.Slack >= 0, "slack", c.Slack, "a number of at least 0")
	p.Positive("window_ms", c.WindowMS)
	p.Add(c.Reserve >= 0 && c.Reserve < 1, "reserve", c.Reserve, "a number from 0 and less than 1")
}

// SharedRetryBudget is the part of one instance in a budget of retries that all
// instances share. Each instance may retry a ratio of its own requests, and has
// its share of the slack. It answers the load of a backend service that fails or
// is full, where retries of every instance would add up to a storm.
type SharedRetryBudget struct {
	cfg SharedRetryBudgetConfig
	// share is the instance's part of the slack, as the bits of a float64.
	share    atomic.Uint64
	services sync.Map // service to *retryWindow
}

// NewSharedRetryBudget returns a budget without a share of the slack.
func NewSharedRetryBudget(cfg SharedRetryBudgetConfig) *SharedRetryBudget {
	return &SharedRetryBudget{cfg: cfg}
}

// SetShare sets the instance's part of the slack, from 0 to 1.
func (s *SharedRetryBudget) SetShare(share float64) {
	s.share.Store(math.Float64bits(min(max(share, 0), 1)))
}

// Share returns the instance's part of the slack.
func (s *SharedRetryBudget) Share() float64 { return math.Float64frombits(s.share.Load()) }

// RecordFirstAttempt records a request for a service.
func (s *SharedRetryBudget) RecordFirstAttempt(service string) {
	w := s.window(service)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.turnLocked(time.Now())
	w.slots[w.at].requests++
}

// Take spends a retry and tells whether the budget allows it.
func (s *SharedRetryBudget) Take(service string) bool {
	w := s.window(service)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.turnLocked(time.Now())
	var requests, retries float64
	for i, slot := range w.slots {
		retries += slot.retries
		// The oldest slot lies outside of the window for the most part.
		if i != (w.at+1)%len(w.slots) {
			requests += slot.requests
		}
	}
	allowed := (1 - s.cfg.Reserve) * (s.cfg.Ratio*requests + s.cfg.Slack*s.Share())
	if retries+1 > allowed {
		return false
	}
	w.slots[w.at].retries++
	return true
}

func (s *SharedRetryBudget) window(service string) *retryWindow {
	if found, ok := s.services.Load(service); ok {
		return found.(*retryWindow)
	}
	slots := s.cfg.WindowMS/int(sharedSlot.Milliseconds()) + 1
	found, _ := s.services.LoadOrStore(service, &retryWindow{
		slots: make([]retrySlot, slots),
		since: time.Now(),
	})
	return found.(*retryWindow)
}

type retrySlot struct {
	requests float64
	retries  float64
}

// retryWindow counts one service's requests and retries in slots of time.
type retryWindow struct {
	mu    sync.Mutex
	slots []retrySlot
	at    int
	since time.Time
}

func (w *retryWindow) turnLocked(now time.Time) {
	steps := int(now.Sub(w.since) / sharedSlot)
	w.since = w.since.Add(time.Duration(steps) * sharedSlot)
	for range min(steps, len(w.slots)) {
		w.at = (w.at + 1) % len(w.slots)
		w.slots[w.at] = retrySlot{}
	}
}
