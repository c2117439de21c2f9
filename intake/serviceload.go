package intake

import (
	"math"
	"time"
)

const (
	// serviceReportAge is the age up to which a report shows whether a service reports its
	// slow-down.
	serviceReportAge = 5 * time.Second
	// occupancyDecay is the time constant with which a report loses weight. An instance
	// gets 3 to 8 reports a second, of one of six servers each.
	occupancyDecay = 500 * time.Millisecond
	// excessDecay is the time constant with which calls that wait at the servers are assumed
	// to leave them. Instances that hold calls back get no newer report.
	excessDecay = 200 * time.Millisecond
	// occupancyAge is the age of the newest report above which the occupancy is unknown.
	occupancyAge = time.Second
	// usualCallTime is assumed until calls have ended. callTimeGain is the weight of the
	// newest call in the averages.
	usualCallTime = 60 * time.Millisecond
	callTimeGain  = 0.05
)

// ServerReport is the load that a server of a plain service reports.
type ServerReport struct {
	Server string
	At     time.Time
	// Calls is the number of running and waiting calls of all callers.
	Calls int
	Slots int
	// Slowdown is the time that work takes now relative to the usual one, or 0 if the
	// server doesn't report it.
	Slowdown float64
}

// serviceLoad is what an instance knows of the servers of a service. It isn't safe for
// concurrent use.
type serviceLoad struct {
	reports map[string]ServerReport
	newest  ServerReport
	// callTime and deviation are the averages of the duration of calls and of its distance
	// from the average, both divided by the factor by which the call took longer than usual.
	callTime  time.Duration
	deviation time.Duration
	// ended is the number of calls in the averages.
	ended int
}

func newServiceLoad() *serviceLoad {
	return &serviceLoad{
		reports:  map[string]ServerReport{},
		callTime: usualCallTime,
	}
}

func (l *serviceLoad) report(report ServerReport) {
	l.reports[report.Server] = report
	l.newest = report
	for name, other := range l.reports {
		if report.At.Sub(other.At) >= serviceReportAge {
			delete(l.reports, name)
		}
	}
}

// isLimited reports whether calls are limited: the newest report has a slow-down.
func (l *serviceLoad) isLimited(now time.Time) bool {
	return l.newest.Slowdown > 0 && now.Sub(l.newest.At) < serviceReportAge
}

// slots returns the number of slots of the servers with a report.
func (l *serviceLoad) slots() int {
	slots := 0
	for _, report := range l.reports {
		slots += report.Slots
	}
	return slots
}

// occupancy returns the number of calls at the servers for each slot, from the reports
// weighted by their age, and false if all are too old.
func (l *serviceLoad) occupancy(now time.Time) (float64, bool) {
	if l.newest.Slots == 0 || now.Sub(l.newest.At) > occupancyAge {
		return 0, false
	}
	var calls, slots float64
	for _, report := range l.reports {
		weight := report.weight(now)
		calls += weight * float64(report.Calls)
		slots += weight * float64(report.Slots)
	}
	occupancy := calls / slots
	if occupancy > 1 {
		occupancy = 1 + (occupancy-1)*math.Exp(-now.Sub(l.newest.At).Seconds()/excessDecay.Seconds())
	}
	return occupancy, true
}

func (r ServerReport) weight(now time.Time) float64 {
	return math.Exp(-now.Sub(r.At).Seconds() / occupancyDecay.Seconds())
}

// factor returns how many times longer than usual a call takes that is sent now: by the
// slow-down of the servers, and by the calls that wait there.
func (l *serviceLoad) factor(now time.Time) float64 {
	occupancy, ok := l.occupancy(now)
	if !ok {
		return 1
	}
	var slowdown, weights float64
	for _, report := range l.reports {
		if report.Slowdown > 0 {
			weight := report.weight(now)
			slowdown += weight * report.Slowdown
			weights += weight
		}
	}
	if weights > 0 {
		slowdown /= weights
	} else {
		slowdown = 1
	}
	return slowdown * max(1, occupancy)
}

// recordCall records the duration of a call that a server answered. Its report was recorded
// just before: it is of the time of the call, while the one before may be older than a
// change of the load.
func (l *serviceLoad) recordCall(took time.Duration) {
	if l.newest.Slots > 0 {
		factor := max(1, float64(l.newest.Calls)/float64(l.newest.Slots))
		if l.newest.Slowdown > 0 {
			factor *= l.newest.Slowdown
		}
		took = time.Duration(float64(took) / factor)
	}
	l.ended++
	// The first calls have equal weights.
	gain := max(callTimeGain, 1/float64(l.ended))
	difference := took - l.callTime
	l.callTime += time.Duration(gain * float64(difference))
	l.deviation += time.Duration(gain * float64(difference.Abs()-l.deviation))
}

// meanCallTime returns the mean time of a call that is sent now.
func (l *serviceLoad) meanCallTime(now time.Time) time.Duration {
	return time.Duration(l.factor(now) * float64(l.callTime))
}

// expectedCallTime returns the time within which most calls that are sent now are answered.
func (l *serviceLoad) expectedCallTime(now time.Time) time.Duration {
	return time.Duration(l.factor(now) * float64(l.callTime+l.deviation))
}
