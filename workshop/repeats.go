package workshop

import "sync"

const (
	// repeatWindow is the number of recent repeats of a route that effectively count. repeatPrior is the weight of
	// the assumption that half of them succeed, in repeats.
	repeatWindow = 400
	repeatPrior  = 8
	// minRepeatShare is the share of repeats that must succeed for one to be sent while the service is busy.
	minRepeatShare = 1.0 / 3
	// maxRepeatRoutes limits the number of routes. Routes that no longer exist are forgotten when it is reached.
	maxRepeatRoutes = 1024
)

// repeatResults are the results of recent repeats of calls that were answered with status 500.
type repeatResults struct {
	succeeded float64
	all       float64
}

// With returns the results after another repeat.
func (r repeatResults) With(succeeded bool) repeatResults {
	const keep = 1 - 1.0/repeatWindow
	next := repeatResults{
		succeeded: r.succeeded * keep,
		all:       r.all*keep + 1,
	}
	if succeeded {
		next.succeeded++
	}
	return next
}

// share returns the expected share of repeats that succeed.
func (r repeatResults) share() float64 {
	return (r.succeeded + repeatPrior/2) / (r.all + repeatPrior)
}

// repeatStats holds the results of repeats by route. It is safe for concurrent use.
type repeatStats struct {
	mu     sync.Mutex
	routes map[string]repeatResults
}

func (s *repeatStats) observe(route string, succeeded bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.routes == nil || len(s.routes) >= maxRepeatRoutes {
		s.routes = map[string]repeatResults{}
	}
	s.routes[route] = s.routes[route].With(succeeded)
}

// isWorthwhile reports whether enough repeats succeed for one to be sent while the service is busy.
func (s *repeatStats) isWorthwhile(route string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.routes[route].share() >= minRepeatShare
}

// isBusy reports whether the servers say that their places are taken.
func (c Call) isBusy() bool { return c.Busy != nil && c.Busy() }

// learnRepeat records the result of a repeat of a call that was answered with status 500.
func (h *hedgedCall) learnRepeat(result tryResult) {
	if result.server != h.repeatedOn {
		return
	}
	if succeeded := !result.isFailure(h.call); succeeded || result.isServerError() {
		h.client.repeats.observe(h.call.Route, succeeded)
	}
}

// refusesRepeat reports whether a failed try is not to be repeated: another server is likely to give the same
// answer, and places are taken, or the repeat of an answered call was refused. It applies only to services whose
// load is known.
func (h *hedgedCall) refusesRepeat(failed tryResult) bool {
	if h.ownAnswer == nil {
		return false
	}
	refused := failed.isRefused() || failed.isServerError() && !h.client.repeats.isWorthwhile(h.call.Route) && h.call.isBusy()
	if refused {
		h.client.count("repeat_refused")
	}
	return refused
}
