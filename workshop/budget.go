package workshop

import (
	"slices"
	"sync"
	"time"
)

const (
	// latencySamples is the number of recent latencies that quantiles are computed
	// from. minLatencySamples is the minimum number they require.
	latencySamples    = 64
	minLatencySamples = 16
	// hedgeQuantile is the latency quantile after which a hedge is sent.
	hedgeQuantile = 0.95
)

// retryState holds the retry budget, a token bucket, and the recent latencies of one
// caller at one service. Each caller has its own, so that the failures of one caller
// don't use up the budget of another.
type retryState struct {
	mu     sync.Mutex
	tokens float64
	// refilledAt is when tokens were last added for elapsed time.
	refilledAt time.Time
	samples    [latencySamples]time.Duration
	next       int
	count      int
}

// recordFirstAttempt adds the share of a retry that each first attempt earns.
func (s *retryState) recordFirstAttempt(now time.Time, share float64, cfg BudgetConfig) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refill(now, cfg)
	s.tokens = min(s.tokens+share, cfg.MaxTokens)
}

// take reports whether there is a token for a retry or a hedge, and takes it if so.
func (s *retryState) take(now time.Time, cfg BudgetConfig) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refill(now, cfg)
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

// refill adds the tokens earned since the last refill.
func (s *retryState) refill(now time.Time, cfg BudgetConfig) {
	if s.refilledAt.IsZero() {
		s.refilledAt = now
		s.tokens = min(cfg.StartTokens, cfg.MaxTokens)
		return
	}
	elapsed := now.Sub(s.refilledAt).Seconds()
	s.refilledAt = now
	s.tokens = min(s.tokens+elapsed*cfg.MinPerSecond, cfg.MaxTokens)
}

// recordLatency records the latency of an answer.
func (s *retryState) recordLatency(latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.samples[s.next] = latency
	s.next = (s.next + 1) % latencySamples
	s.count = min(s.count+1, latencySamples)
}

// latencyQuantile returns the quantile q of the recent latencies, and false if there
// are fewer than minLatencySamples.
func (s *retryState) latencyQuantile(q float64) (time.Duration, bool) {
	s.mu.Lock()
	recent := slices.Clone(s.samples[:s.count])
	s.mu.Unlock()
	if len(recent) < minLatencySamples {
		return 0, false
	}
	slices.Sort(recent)
	return recent[int(q*float64(len(recent)-1))], true
}

// stateKey identifies a retryState.
type stateKey struct {
	caller  string
	service string
}

// retryStates holds the state of all callers by stateKey.
type retryStates struct{ byKey sync.Map }

func (s *retryStates) get(caller, service string) *retryState {
	key := stateKey{
		caller:  caller,
		service: service,
	}
	found, ok := s.byKey.Load(key)
	if !ok {
		found, _ = s.byKey.LoadOrStore(key, &retryState{})
	}
	return found.(*retryState)
}
