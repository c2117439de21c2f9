package intake

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/balsamlock/balsamlock/common/settings"
)

// retrySlotLength is the resolution of the sliding window of SharedRetryBudget.
const retrySlotLength = 500 * time.Millisecond

// SharedRetryBudgetConfig limits the retries that all instances together send to one
// service.
type SharedRetryBudgetConfig struct {
	// Ratio is the number of retries allowed per request. Slack is the number of
	// additional retries allowed in each window across all instances.
	Ratio float64 `json:"ratio"`
	Slack float64 `json:"slack"`
	// WindowMS is the length of the sliding window, in milliseconds.
	WindowMS int `json:"window_ms"`
	// Reserve is the fraction of the budget that is never used. It keeps the total
	// below the limit although requests may end in a later window than they began in.
	Reserve float64 `json:"reserve"`
}

// Check reports invalid values to p.
func (c SharedRetryBudgetConfig) Check(p *settings.Problems) {
	p.Add(c.Ratio >= 0, "ratio", c.Ratio, "a number of at least 0")
	p.Add(c.Slack >= 0, "slack", c.Slack, "a number of at least 0")
	p.Positive("window_ms", c.WindowMS)
	p.Add(c.Reserve >= 0 && c.Reserve < 1, "reserve", c.Reserve, "a number from 0 and less than 1")
}

// SharedRetryBudget is this instance's part of a retry budget that all instances
// share. Each instance may retry a ratio of its own requests and use its share of the
// slack. The budget prevents a retry storm when a backend service fails or is
// overloaded and all instances retry. It is safe for concurrent use.
type SharedRetryBudget struct {
	cfg      SharedRetryBudgetConfig
	share    atomic.Pointer[retryShare]
	services sync.Map // service to *retryWindow
}

// retryShare is this instance's fraction of the slack.
type retryShare struct {
	fraction float64
	// until is when the share lapses, or zero if it doesn't.
	until time.Time
}

// lapsedFactor is the fraction of its share that an instance keeps after it has lapsed. The
// rest may have been assigned to other instances.
const lapsedFactor = 0.5

// at returns the fraction at now. A process that was suspended finds its share lapsed, though
// the monotonic clock may not have counted that time.
func (s retryShare) at(now time.Time) float64 {
	if s.until.IsZero() || now.Before(s.until) && now.Round(0).Before(s.until.Round(0)) {
		return s.fraction
	}
	return lapsedFactor * s.fraction
}

// NewSharedRetryBudget returns a budget with a share of 0; see SetShare.
func NewSharedRetryBudget(cfg SharedRetryBudgetConfig) *SharedRetryBudget {
	s := &SharedRetryBudget{cfg: cfg}
	s.SetShare(0)
	return s
}

// SetShare sets this instance's fraction of the slack. Values outside 0 to 1 are
// clamped.
func (s *SharedRetryBudget) SetShare(share float64) { s.SetShareUntil(share, time.Time{}) }

// SetShareUntil is like SetShare for a share that lapses unless it is set again: half of it
// remains then.
func (s *SharedRetryBudget) SetShareUntil(share float64, until time.Time) {
	s.share.Store(&retryShare{
		fraction: min(max(share, 0), 1),
		until:    until,
	})
}

// Share returns this instance's fraction of the slack now.
func (s *SharedRetryBudget) Share() float64 { return s.share.Load().at(time.Now()) }

// RecordFirstAttempt records the first attempt of a request and adds to the budget of
// its service.
func (s *SharedRetryBudget) RecordFirstAttempt(service string) {
	w := s.window(service)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advanceLocked(time.Now())
	w.slots[w.current].requests++
}

// Take reports whether the budget of the service allows a number of repeated calls, and
// takes them from the budget if so.
func (s *SharedRetryBudget) Take(service string, calls int) bool {
	w := s.window(service)
	w.mu.Lock()
	defer w.mu.Unlock()
	if !s.allowsLocked(w, calls) {
		return false
	}
	w.slots[w.current].retries += float64(calls)
	return true
}

// Allows reports whether the budget of the service allows a number of repeated calls.
func (s *SharedRetryBudget) Allows(service string, calls int) bool {
	w := s.window(service)
	w.mu.Lock()
	defer w.mu.Unlock()
	return s.allowsLocked(w, calls)
}

func (s *SharedRetryBudget) allowsLocked(w *retryWindow, calls int) bool {
	w.advanceLocked(time.Now())
	var requests, retries float64
	for i, slot := range w.slots {
		retries += slot.retries
		// The oldest slot lies mostly outside the window, so its requests don't add to
		// the budget.
		if i != (w.current+1)%len(w.slots) {
			requests += slot.requests
		}
	}
	allowed := (1 - s.cfg.Reserve) * (s.cfg.Ratio*requests + s.cfg.Slack*s.Share())
	return retries+float64(calls) <= allowed
}

func (s *SharedRetryBudget) window(service string) *retryWindow {
	if found, ok := s.services.Load(service); ok {
		return found.(*retryWindow)
	}
	slots := s.cfg.WindowMS/int(retrySlotLength.Milliseconds()) + 1
	found, _ := s.services.LoadOrStore(service, &retryWindow{
		slots:        make([]retrySlot, slots),
		currentStart: time.Now(),
	})
	return found.(*retryWindow)
}

type retrySlot struct {
	requests float64
	retries  float64
}

// retryWindow counts the requests and retries of one service over a sliding window,
// in a ring of time slots.
type retryWindow struct {
	mu           sync.Mutex
	slots        []retrySlot
	current      int
	currentStart time.Time
}

// advanceLocked moves to the slot of the given time and clears the slots in between.
func (w *retryWindow) advanceLocked(now time.Time) {
	steps := int(now.Sub(w.currentStart) / retrySlotLength)
	w.currentStart = w.currentStart.Add(time.Duration(steps) * retrySlotLength)
	for range min(steps, len(w.slots)) {
		w.current = (w.current + 1) % len(w.slots)
		w.slots[w.current] = retrySlot{}
	}
}
