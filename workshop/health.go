package workshop

import (
	"slices"
	"sync"
	"time"
)

// healthTracker tracks which servers recently failed or were too slow, that is, didn't
// answer before a hedge was due. Without it, calls would try a hanging server first until
// the retry budget is exhausted. It is safe for concurrent use.
type healthTracker struct {
	cfg     HealthConfig
	servers sync.Map // server name to *serverHealth
}

// HealthConfig determines when a server is suspect. Suspect servers are tried last.
type HealthConfig struct {
	// Failures is the number of consecutive tries that failed or were too slow after
	// which a server is suspect.
	Failures int `json:"failures"`
	// RetestMS is the interval at which one call tests a suspect server by using the
	// server's normal position, in milliseconds.
	RetestMS int `json:"retest_ms"`
}

// serverHealth is the health of one server.
type serverHealth struct {
	mu sync.Mutex
	// failures is the number of consecutive failures.
	failures int
	// retestAt is when the next call tests the server while it is suspect.
	retestAt time.Time
}

func (h *healthTracker) get(server string) *serverHealth {
	if found, ok := h.servers.Load(server); ok {
		return found.(*serverHealth)
	}
	found, _ := h.servers.LoadOrStore(server, &serverHealth{})
	return found.(*serverHealth)
}

// recordFailure records a try that failed or was too slow.
func (h *healthTracker) recordFailure(server string) {
	s := h.get(server)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures++
	s.retestAt = time.Now().Add(time.Duration(h.cfg.RetestMS) * time.Millisecond)
}

// recordAnswer records an answer, which ends a series of failures.
func (h *healthTracker) recordAnswer(server string) {
	s := h.get(server)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures = 0
}

// isSuspect reports whether the server should be tried after the others. Once retestAt
// has passed, it returns false for one call, which tests the server, and true for all
// others.
func (h *healthTracker) isSuspect(server string, now time.Time) bool {
	s := h.get(server)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failures < h.cfg.Failures {
		return false
	}
	if now.Before(s.retestAt) {
		return true
	}
	s.retestAt = now.Add(time.Duration(h.cfg.RetestMS) * time.Millisecond)
	return false
}

// suspectsLast returns the servers in the same order, but with suspect ones last.
func (h *healthTracker) suspectsLast(servers []Server) []Server {
	now := time.Now()
	var healthy, suspect []Server
	for _, server := range servers {
		if h.isSuspect(server.Name, now) {
			suspect = append(suspect, server)
		} else {
			healthy = append(healthy, server)
		}
	}
	return slices.Concat(healthy, suspect)
}
