package quotation

import (
	"time"

	"github.com/balsamlock/balsamlock/crew"
)

// ReportsSlowdowns reports whether any of the servers reports its slow-down.
func (r *ServiceRanker) ReportsSlowdowns(servers []*crew.Server) bool {
	for _, server := range servers {
		l := r.load(server.Name)
		l.mu.Lock()
		cost := l.costOf(server.Incarnation)
		reports := cost != nil && cost.reportsSlowdown()
		l.mu.Unlock()
		if reports {
			return true
		}
	}
	return false
}

// Busy reports whether the places of all servers are taken that have told something of it in the last second. A
// server that doesn't report its slow-down counts as one with free places.
func (r *ServiceRanker) Busy(servers []*crew.Server, now time.Time) bool {
	busy := false
	for _, server := range servers {
		l := r.load(server.Name)
		l.mu.Lock()
		var reports, taken, known bool
		if cost := l.costOf(server.Incarnation); cost != nil {
			reports = cost.reportsSlowdown()
			taken, known = cost.placesTaken(now)
		}
		l.mu.Unlock()
		if !reports || known && !taken {
			return false
		}
		busy = busy || taken
	}
	return busy
}

// ServerEstimate is what is known about a server that reports its slow-down.
type ServerEstimate struct {
	// EstimateMS is the expected time of a call of average work, without the round trip.
	EstimateMS float64 `json:"estimate_ms"`
	// Speed is the server's own factor on time, Slowdown the expected present one.
	Speed    float64 `json:"speed"`
	Slowdown float64 `json:"slowdown"`
	// ReportWeight and LoadWeight are the weights of the reported slow-down and number of calls, from 0 to 1.
	ReportWeight float64 `json:"report_weight"`
	LoadWeight   float64 `json:"load_weight"`
}

// Estimates returns the estimates of those of the servers that report their slow-downs, by name.
func (r *ServiceRanker) Estimates(servers []crew.Server, now time.Time) map[string]ServerEstimate {
	estimates := map[string]ServerEstimate{}
	for _, server := range servers {
		found, ok := r.servers.Load(server.Name)
		if !ok {
			continue
		}
		l := found.(*serviceLoad)
		expected, ok := l.expectedCost(&server, defaultWork, now)
		if !ok {
			continue
		}
		l.mu.Lock()
		estimates[server.Name] = ServerEstimate{
			EstimateMS:   float64(expected) / float64(time.Millisecond),
			Speed:        l.cost.fit.speed(),
			Slowdown:     l.cost.slowdownAtTime(now),
			ReportWeight: l.cost.fit.reportWeight(),
			LoadWeight:   l.cost.loadTrust,
		}
		l.mu.Unlock()
	}
	return estimates
}
