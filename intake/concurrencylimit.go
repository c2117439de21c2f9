package intake

import "time"

const (
	// initialConcurrency is the limit before anything is known. It is the number of slots
	// of one server, and ten times what an instance needs on a calm day.
	initialConcurrency = 6
	// minConcurrency lets each instance find out whether there is room.
	minConcurrency = 1
	// minPlaces is the fraction of the time for which one call may be in flight at least.
	minPlaces = 0.2
	// freeOccupancy is the occupancy of the servers below which there are free slots.
	// targetOccupancy is the one above which calls wait at the instances: what waits at the
	// servers then covers the way between two calls and uneven choices of a server.
	freeOccupancy   = 1
	targetOccupancy = 1.4
	// concurrencyDecrease is the factor of the largest decrease.
	concurrencyDecrease = 0.7
)

// ConcurrencyLimit estimates how many calls an instance may have in flight at a service
// as its share of the slots: additive increase while the servers have free slots,
// multiplicative decrease while they don't. Values are immutable.
type ConcurrencyLimit struct {
	limit float64
	// nextDecrease is the time before which the effect of the last decrease isn't known.
	nextDecrease time.Time
}

// NewConcurrencyLimit returns the limit before anything is known.
func NewConcurrencyLimit() ConcurrencyLimit {
	return ConcurrencyLimit{limit: initialConcurrency}
}

// CallEnd is what an instance knows when one of its calls has ended.
type CallEnd struct {
	At time.Time
	// Refused is set if the server refused the call for lack of room.
	Refused bool
	// Occupancy is the number of calls at the servers for each slot. Unknown is set if
	// there is no recent report.
	Occupancy float64
	Unknown   bool
	// InFlight is the number of the instance's calls before the end.
	InFlight int
	// Slots is the number of slots of all servers.
	Slots int
	// CallTime is the usual duration of a call.
	CallTime time.Duration
	// Jitter, from 0 to 1, differs between the instances. It keeps them from changing
	// their limits in lockstep.
	Jitter float64
}

// WithEnd returns the limit after a call has ended.
func (l ConcurrencyLimit) WithEnd(end CallEnd) ConcurrencyLimit {
	switch {
	case !end.Unknown && end.Occupancy > targetOccupancy:
		return l.withDecrease(end, max(concurrencyDecrease, targetOccupancy/end.Occupancy))
	case end.Refused && (end.Unknown || end.Occupancy >= freeOccupancy):
		return l.withDecrease(end, concurrencyDecrease)
	case end.Refused || end.Unknown || end.Occupancy >= freeOccupancy:
		return l
	}
	// An unused limit says nothing about the room above it.
	if l.limit < initialConcurrency || float64(end.InFlight+1) >= l.limit {
		step := (0.75 + end.Jitter/2) / l.limit
		l.limit = min(l.limit+step, max(initialConcurrency, float64(end.Slots)))
	}
	return l
}

func (l ConcurrencyLimit) withDecrease(end CallEnd, factor float64) ConcurrencyLimit {
	if end.At.Before(l.nextDecrease) {
		return l
	}
	return ConcurrencyLimit{
		limit:        max(minConcurrency, l.limit*factor),
		nextDecrease: end.At.Add(time.Duration((0.75 + end.Jitter/2) * float64(end.CallTime))),
	}
}

// Places returns the number of calls that may be in flight while the servers have an
// occupancy, which is 0 if it is unknown. It is lower than the limit as soon as the reports
// say that calls wait at the servers. Below 1, it is the fraction of the time for which one
// call may be in flight.
func (l ConcurrencyLimit) Places(occupancy float64) float64 {
	limit := l.limit
	if occupancy > targetOccupancy {
		limit *= targetOccupancy / occupancy
	}
	return max(minPlaces, limit)
}
