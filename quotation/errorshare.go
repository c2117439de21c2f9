package quotation

import "sync"

// errorShareGain is the weight of the latest call in the share of a route's calls that end with status 500.
const errorShareGain = 0.01

// errorShares holds the share of each route's calls that are answered with status 500, over all servers. It is
// safe for concurrent use.
type errorShares struct {
	mu     sync.Mutex
	shares map[string]float64
}

// observe records the end of a call and returns the route's share before it.
func (e *errorShares) observe(route string, result CallResult) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.shares == nil || len(e.shares) >= maxWorkKeys {
		e.shares = map[string]float64{}
	}
	before := e.shares[route]
	switch result.(type) {
	case CallAnswered:
		e.shares[route] = before * (1 - errorShareGain)
	case CallErred:
		e.shares[route] = before + errorShareGain*(1-before)
	case CallRefused, CallFailed, CallAbandoned:
	}
	return before
}
