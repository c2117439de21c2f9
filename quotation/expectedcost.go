package quotation

import (
	"math"
	"slices"
	"time"
)

const (
	// minWork is the shortest time of a call that is learned from.
	minWork = 100 * time.Microsecond
	// slowdownTTL is how long a reported slow-down is valid, and slowdownDecay the time in which the difference
	// between its logarithm and the server's average falls to 1/e after that. meanSlowdownTTL is that of the
	// average itself. With a decay to the usual speed, instances that see few reports would choose the servers that
	// they know least of.
	slowdownTTL     = 500 * time.Millisecond
	slowdownDecay   = 500 * time.Millisecond
	meanSlowdownTTL = 30 * time.Second
	// slowdownGain is the weight of the latest report in the average.
	slowdownGain = 0.1
	// othersDecay is the time in which the difference between the reported number of other instances' calls and
	// its average falls to 1/e: a few times as long as a call takes. othersTTL is that of the average itself, so
	// that a server that was full is tried again.
	othersDecay = 200 * time.Millisecond
	othersTTL   = 3 * time.Second
	// othersGain is the weight of the latest report in the average number of others' calls.
	othersGain = 0.2
	// fourFigureTTL is how long a server counts as one that reports slow-downs after its last report of one.
	fourFigureTTL = 5 * time.Second
	// placesTTL is how long a report says whether a server's places are taken, and refusalTTL how long a refusal does.
	placesTTL  = time.Second
	refusalTTL = 300 * time.Millisecond
	// trustGain is the weight of the latest call in the weight of a server's reported number of calls.
	trustGain = 0.1
)

// ServiceReport is a server's report of its load.
type ServiceReport struct {
	Running int
	Waiting int
	Slots   int
	// Slowdown is the factor by which work takes longer than usual on the server, or 0 if not reported.
	Slowdown float64
	At       time.Time
}

func (r ServiceReport) calls() int { return r.Running + r.Waiting }

// serverCost is what is known about one server that reports its slow-down. Its methods neither lock nor read the
// clock.
type serverCost struct {
	incarnation uint64
	fit         speedFit
	// report is the newest report, slowdown the newest reported slow-down. slowdownAt is zero if there is none.
	report     ServiceReport
	slowdown   float64
	slowdownAt time.Time
	// meanLog is the average logarithm of the reported slow-downs.
	meanLog float64
	// others is the number of other instances' calls in the newest report, meanOthers their average.
	others     float64
	meanOthers float64
	// refusedAt is the time of the last refusal of a call.
	refusedAt time.Time
	// loadTrust is the weight of the reported number of calls, from 0 to 1.
	loadTrust float64
	// errorRate is the moving average of failures in excess of what is usual for the routes.
	errorRate float64
	calls     []*ServiceCall
}

func newServerCost(incarnation uint64) *serverCost {
	return &serverCost{
		incarnation: incarnation,
		slowdown:    1,
		loadTrust:   1,
	}
}

// restarted returns the state of a new incarnation, which is assumed to report slow-downs if the previous one did.
func (s *serverCost) restarted(incarnation uint64) *serverCost {
	next := newServerCost(incarnation)
	next.slowdownAt = s.slowdownAt
	return next
}

// reportsSlowdown reports whether the server's newest reports have a slow-down.
func (s *serverCost) reportsSlowdown() bool { return !s.slowdownAt.IsZero() }

// recordReport records a report that arrived with the response to a call.
func (s *serverCost) recordReport(report ServiceReport, sent time.Time) {
	if report.At.Before(s.report.At) {
		return
	}
	if report.Slowdown > 0 {
		s.slowdown = report.Slowdown
		s.meanLog += slowdownGain * (math.Log(report.Slowdown) - s.meanLog)
		s.slowdownAt = report.At
	} else if report.At.Sub(s.slowdownAt) >= fourFigureTTL {
		s.slowdownAt = time.Time{}
	}
	own := 0
	for _, call := range s.calls {
		if !call.startedAt.After(sent) {
			own++
		}
	}
	s.others = float64(max(0, report.calls()-own))
	s.meanOthers += othersGain * (s.others - s.meanOthers)
	s.report = report
}

// slowdownAtTime returns the expected slow-down at a time: the reported one, later the server's average, and in the
// end the usual one.
func (s *serverCost) slowdownAtTime(now time.Time) float64 {
	age := now.Sub(s.slowdownAt)
	mean := s.meanLog * math.Exp(-float64(max(0, age))/float64(meanSlowdownTTL))
	deviation := math.Log(s.slowdown) - s.meanLog
	return math.Exp(mean + deviation*math.Exp(-float64(max(0, age-slowdownTTL))/float64(slowdownDecay)))
}

// othersAtTime returns the expected number of other instances' calls.
func (s *serverCost) othersAtTime(now time.Time) float64 {
	age := float64(max(0, now.Sub(s.report.At)))
	mean := s.meanOthers * math.Exp(-age/float64(othersTTL))
	return s.loadTrust * max(0, mean+(s.others-s.meanOthers)*math.Exp(-age/float64(othersDecay)))
}

// remaining returns the expected time until the calls at the server have ended, if they ran one after another.
func (s *serverCost) remaining(factor float64, work time.Duration, now time.Time) time.Duration {
	var sum float64
	for _, call := range s.calls {
		sum += float64(remainingTime(time.Duration(factor*float64(call.work)), now.Sub(call.startedAt)))
	}
	others := s.othersAtTime(now)
	waiting := min(others, s.loadTrust*float64(s.report.Waiting))
	// Calls that run have half of their work left on average, those that wait all of it.
	sum += factor * float64(work) * (others + waiting) / 2
	return time.Duration(sum)
}

// queueTime returns how long a call that is sent now is expected to wait for a place: the time until as many of the
// calls at the server have ended as are over its slots.
func (s *serverCost) queueTime(factor float64, work time.Duration, slots int, now time.Time) time.Duration {
	calls := float64(len(s.calls)) + s.othersAtTime(now)
	over := calls + 1 - float64(max(1, slots))
	if over <= 0 {
		return 0
	}
	remaining := float64(s.remaining(factor, work, now))
	return time.Duration(remaining / float64(max(1, slots)) * over / calls)
}

// remainingTime returns the expected time that a call of some age still needs. A call that takes longer than
// expected is likely one of those that take several times as long.
func remainingTime(expected, age time.Duration) time.Duration {
	return max(expected-age, min(age/4, expected))
}

// estimate returns the expected time until the response to a call, without the round trip.
func (s *serverCost) estimate(work time.Duration, slots int, now time.Time) time.Duration {
	factor := s.fit.factor(s.slowdownAtTime(now))
	wait := s.remaining(factor, work, now) / time.Duration(max(1, s.slots(slots)))
	penalty := 1 + errorPenalty*max(0, s.errorRate-errorRateThreshold)
	return time.Duration((factor*float64(work) + float64(wait)) * penalty)
}

// slots returns the number of slots by the newest report, or else the registered number.
func (s *serverCost) slots(registered int) int {
	if s.report.Slots > 0 {
		return s.report.Slots
	}
	return registered
}

// placesTaken reports whether the server's places are taken by its newest report, the calls in flight and refusals.
// It returns known as false if there is none of the last second.
func (s *serverCost) placesTaken(now time.Time) (taken, known bool) {
	if now.Sub(s.refusedAt) < refusalTTL {
		return true, true
	}
	return s.reportedTaken(now)
}

// reportedTaken is placesTaken without the refusals.
func (s *serverCost) reportedTaken(now time.Time) (taken, known bool) {
	if now.Sub(s.report.At) >= placesTTL || s.report.Slots == 0 {
		return false, false
	}
	return s.others*s.loadTrust+float64(len(s.calls)) >= float64(s.report.Slots), true
}

// recordEnd records the end of a call and returns the work that it was, or 0 if that can't be told. usual is the
// share of the route's calls that end with status 500 at all servers.
func (s *serverCost) recordEnd(call *ServiceCall, result CallResult, usual float64, now time.Time) time.Duration {
	took := now.Sub(call.startedAt)
	switch result.(type) {
	case CallAnswered:
		s.recordError(call, -usual)
	case CallErred:
		s.recordError(call, 1-usual)
	case CallFailed:
		s.recordError(call, 1)
		return 0
	case CallRefused:
		if taken, known := s.reportedTaken(now); known && !taken {
			// A server that reports free places but refuses calls fails.
			s.recordError(call, 1)
		}
		s.refusedAt = now
		return 0
	case CallAbandoned:
		expected := call.roundTrip + call.wait + time.Duration(s.fit.factor(s.slowdownAtTime(now))*float64(call.work))
		if took > expected {
			// The call would have taken longer still.
			s.learn(call, took, now)
		}
		return 0
	}
	if !s.reportsSlowdown() {
		return 0
	}
	return s.learn(call, took, now)
}

func (s *serverCost) recordError(call *ServiceCall, failure float64) {
	call.blame = errorGain * failure
	s.errorRate += errorGain * (failure - s.errorRate)
}

// learn records the time of a call that was answered, and returns the work that it was, or 0 if the call was
// expected to wait for long.
func (s *serverCost) learn(call *ServiceCall, took time.Duration, now time.Time) time.Duration {
	took = max(took-call.roundTrip, minWork)
	slowdown := s.slowdownAtTime(now)
	// The wait is known roughly, so that a call that waited long says little about the server's speed, and one that
	// ended early nothing at all: its wait may not have taken place.
	wait := min(call.wait, took*2/3)
	served := float64(took - wait)
	weight := served / float64(took)
	waited := call.wait > took/4
	s.learnTrust(call, took, slowdown)
	if !waited || served > s.fit.factor(slowdown)*float64(call.work) {
		s.fit = s.fit.With(served/float64(call.work), slowdown, weight*weight)
	}
	if waited {
		return 0
	}
	return time.Duration(served / s.fit.factor(slowdown))
}

// learnTrust compares the wait that the reported number of calls announced with the observed time.
func (s *serverCost) learnTrust(call *ServiceCall, took time.Duration, slowdown float64) {
	run := s.fit.factor(slowdown) * float64(call.work)
	if float64(call.wait) < run/2 {
		s.loadTrust += trustGain / 4 * (1 - s.loadTrust)
		return
	}
	fits := min(max(2*(float64(took)-run)/float64(call.wait), 0), 1)
	s.loadTrust += trustGain * (fits - s.loadTrust)
}

func (s *serverCost) remove(call *ServiceCall) {
	s.calls = slices.DeleteFunc(s.calls, func(other *ServiceCall) bool { return other == call })
}
