package intake

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/balsamlock/balsamlock/receipt"
)

// Try is the kind of a try of a call. Lower ones go first.
type Try int

// The kinds of tries.
const (
	FirstTry Try = iota
	Retry
	// Hedge is a try while another one is in flight.
	Hedge
)

// ServiceCall describes a try of a call to a plain service.
type ServiceCall struct {
	Service string
	ID      string
	Try     Try
	// Rank is the urgency, 0 the most urgent. Team is the team that sent it, or empty.
	Rank int
	Team string
	// DueAt is the time until which an answer meets the objective, zero means any time.
	// Deadline is the time until which it is useful at all, and must be set.
	DueAt    time.Time
	Deadline time.Time
}

// ServiceQueue holds calls to plain services back while the servers' slots are taken. It
// limits the calls in flight at each service to this instance's estimated share, see
// ConcurrencyLimit. Calls that wait go out in the order of serviceOrder. A call that is
// expected to miss its deadline is refused immediately. Services whose servers don't
// report their slow-down are not limited. A ServiceQueue is safe for concurrent use.
type ServiceQueue struct {
	services sync.Map // name to *serviceQueue
}

// NewServiceQueue returns a queue without observations.
func NewServiceQueue() *ServiceQueue { return &ServiceQueue{} }

func (q *ServiceQueue) service(name string) *serviceQueue {
	if found, ok := q.services.Load(name); ok {
		return found.(*serviceQueue)
	}
	found, _ := q.services.LoadOrStore(name, &serviceQueue{
		limit: NewConcurrencyLimit(),
		load:  newServiceLoad(),
		order: newServiceOrder(),
	})
	return found.(*serviceQueue)
}

// Report records the load that a server of a service has reported.
func (q *ServiceQueue) Report(service string, report ServerReport) {
	s := q.service(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.load.report(report)
	s.grantLocked(report.At)
}

// Admits reports whether a repeated try would be let out in time, without queueing it. A
// hedge is let out only if it needn't wait.
func (q *ServiceQueue) Admits(call ServiceCall) bool {
	s := q.service(call.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.order.waiting() == 0 && s.hasPlaceLocked(now) {
		return true
	}
	p := &Place{call: call}
	wait := s.waitLocked(s.order.ahead(p), now)
	return call.Try != Hedge && !s.isExpiredLocked(p, now.Add(wait), now)
}

// ServiceQueueState is the state of the queue of one service.
type ServiceQueueState struct {
	Waiting  int `json:"waiting"`
	Late     int `json:"late"`
	InFlight int `json:"in_flight"`
	// Limit is 0 if the calls are not limited, and below 1 if they are sent with pauses.
	Limit float64 `json:"limit"`
	// Occupancy is the number of calls at the servers for each slot, 0 if unknown.
	Occupancy float64 `json:"occupancy"`
	// Teams holds the number of waiting calls of each team.
	Teams map[string]int `json:"teams,omitempty"`
}

// States returns the state of each service.
func (q *ServiceQueue) States() map[string]ServiceQueueState {
	now := time.Now()
	states := map[string]ServiceQueueState{}
	for name, s := range q.services.Range {
		states[name.(string)] = s.(*serviceQueue).state(now)
	}
	return states
}

// Enter waits until the call may be sent. A non-nil reason means that it was refused.
func (q *ServiceQueue) Enter(ctx context.Context, call ServiceCall) (*Place, *receipt.Reason) {
	now := time.Now()
	s := q.service(call.Service)
	p := &Place{
		queue:   s,
		call:    call,
		arrived: now,
	}
	s.mu.Lock()
	reason := s.enterLocked(p, now)
	s.mu.Unlock()
	if reason == nil && p.granted != nil {
		reason = p.await(ctx)
	}
	if reason != nil {
		return nil, reason
	}
	return p, nil
}

// serviceQueue is the queue of one service.
type serviceQueue struct {
	mu    sync.Mutex
	limit ConcurrencyLimit
	load  *serviceLoad
	order *serviceOrder
	// inFlight are the calls that were sent and have not ended.
	inFlight   []*Place
	lateStarts startRate
	// nextStart is the time before which no call goes out while the limit is below 1. Wake
	// looks for a place while calls wait.
	nextStart time.Time
	wake      *time.Timer
}

func (s *serviceQueue) state(now time.Time) ServiceQueueState {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := ServiceQueueState{
		Waiting:  s.order.waiting(),
		Late:     len(s.order.late),
		InFlight: len(s.inFlight),
		Teams:    s.order.teams(),
	}
	state.Occupancy, _ = s.load.occupancy(now)
	if s.load.isLimited(now) {
		state.Limit = s.placesLocked(now)
	}
	return state
}

// unlimited is the number of places while the servers don't report their slow-down.
const unlimited = 1 << 30

// placesLocked returns the number of calls that may be in flight.
func (s *serviceQueue) placesLocked(now time.Time) float64 {
	if !s.load.isLimited(now) {
		return unlimited
	}
	occupancy, _ := s.load.occupancy(now)
	return s.limit.Places(occupancy)
}

// stuckFactor is the multiple of the expected time after which a call in flight doesn't
// count any more. Otherwise a server that hangs would hold the places of an instance with a
// low limit until the deadlines of its calls.
const stuckFactor = 4

// takenLocked returns the number of taken places, and how many of them are of late calls.
func (s *serviceQueue) takenLocked(now time.Time) (all, late int) {
	oldest := now.Add(-stuckFactor * s.load.expectedCallTime(now))
	for _, p := range s.inFlight {
		if p.sentAt.Before(oldest) {
			continue
		}
		all++
		if p.isLate {
			late++
		}
	}
	return all, late
}

// hasPlaceLocked reports whether a call may go out now.
func (s *serviceQueue) hasPlaceLocked(now time.Time) bool {
	places := s.placesLocked(now)
	if places == unlimited {
		return true
	}
	taken, _ := s.takenLocked(now)
	if places < 1 {
		return taken == 0 && !now.Before(s.nextStart)
	}
	return taken < int(places)
}

// enterLocked lets a call go out if there is a place, and queues it otherwise.
func (s *serviceQueue) enterLocked(p *Place, now time.Time) *receipt.Reason {
	if !s.load.isLimited(now) {
		s.startLocked(p, now)
		return nil
	}
	p.isLate = s.isLateLocked(p, now)
	if s.order.waiting() > 0 || !s.hasPlaceLocked(now) || p.isLate && !s.hasLatePlaceLocked(now) {
		return s.pushLocked(p, now)
	}
	if callTime := s.load.expectedCallTime(now); now.Add(callTime).After(p.call.Deadline) {
		return s.refusalLocked(p, CauseDeadline, callTime, now)
	}
	s.startLocked(p, now)
	return nil
}

// lateOccupancy is the occupancy of the servers up to which calls go out that miss their
// objective. The slots above are left to calls that can be on time, also those of others.
const lateOccupancy = 1.0

// hasLatePlaceLocked reports whether one more place may be used for a call that misses its
// objective. Such calls get at most half of the places.
func (s *serviceQueue) hasLatePlaceLocked(now time.Time) bool {
	occupancy, _ := s.load.occupancy(now)
	_, late := s.takenLocked(now)
	return occupancy <= lateOccupancy && float64(late) < max(1, s.placesLocked(now)/2)
}

func (s *serviceQueue) startLocked(p *Place, now time.Time) {
	p.inFlight = true
	p.sentAt = now
	s.inFlight = append(s.inFlight, p)
	if places := s.placesLocked(now); places < 1 {
		// The jitter keeps instances from sending at the same times.
		s.nextStart = now.Add(time.Duration((0.75 + p.jitter()/2) * float64(s.load.meanCallTime(now)) / places))
	}
	if p.isLate {
		s.lateStarts.add(now)
	}
}

// isLateLocked reports whether a call that is sent now misses its objective.
func (s *serviceQueue) isLateLocked(p *Place, now time.Time) bool {
	return !p.call.DueAt.IsZero() && now.Add(s.load.expectedCallTime(now)).After(p.call.DueAt)
}

// waitLocked returns the expected wait of a call behind a number of others.
func (s *serviceQueue) waitLocked(ahead int, now time.Time) time.Duration {
	perCall := float64(s.load.meanCallTime(now)) / s.placesLocked(now)
	return time.Duration(float64(ahead+1) * perCall)
}

// sendMargin is the multiple of the expected time that a call that has waited must have left
// when it goes out. With less, some calls were answered after their caller had left.
const sendMargin = 2

// isExpiredLocked reports whether a waiting call would go out too late at a time.
func (s *serviceQueue) isExpiredLocked(p *Place, sentAt, now time.Time) bool {
	return sentAt.Add(sendMargin * s.load.expectedCallTime(now)).After(p.call.Deadline)
}

// pushLocked queues a call, or refuses it if it is expected to miss its deadline.
func (s *serviceQueue) pushLocked(p *Place, now time.Time) *receipt.Reason {
	callTime := s.load.expectedCallTime(now)
	wait := s.waitLocked(s.order.ahead(p), now)
	if !p.isLate {
		p.isLate = !p.call.DueAt.IsZero() && now.Add(wait+callTime).After(p.call.DueAt)
		if p.isLate {
			wait = s.waitLocked(s.order.ahead(p), now)
		}
	}
	if s.isExpiredLocked(p, now.Add(wait), now) {
		cause := CauseDeadline
		if p.granted != nil {
			// It has waited, and has become late behind others that miss their objective.
			cause = CauseLate
		}
		return s.refusalLocked(p, cause, wait+callTime, now)
	}
	if p.isLate && float64(len(s.order.late)) >= s.lateBoundLocked(p, now) {
		return s.refusalLocked(p, CauseLate, wait+callTime, now)
	}
	if p.granted == nil {
		p.granted = make(chan struct{})
	}
	s.order.push(p)
	s.grantLocked(now)
	return nil
}

// lateBoundLocked returns the number of calls that miss their objective up to which one more
// may wait: those that can go out in what is left of its time. The recent rate of such calls
// alone is no bound, as it is 0 until the first of them has gone out.
func (s *serviceQueue) lateBoundLocked(p *Place, now time.Time) float64 {
	left := p.call.Deadline.Sub(now) - sendMargin*s.load.expectedCallTime(now)
	// Such calls get half of the places, see hasLatePlaceLocked.
	perSecond := s.placesLocked(now) / 2 / s.load.meanCallTime(now).Seconds()
	return max(1, left.Seconds()*max(s.lateStarts.perSecond(now), perSecond))
}

// expireLocked refuses the waiting calls that would go out too late now. Their own checks
// come too late for it if calls take longer since.
func (s *serviceQueue) expireLocked(now time.Time) {
	for _, p := range slices.Concat(s.order.onTime, s.order.late) {
		if s.isExpiredLocked(p, now, now) {
			s.order.remove(p)
			p.refusal = s.refusalLocked(p, CauseExpired, s.load.expectedCallTime(now), now)
			close(p.granted)
		}
	}
}

// grantLocked lets waiting calls go out while there are places.
func (s *serviceQueue) grantLocked(now time.Time) {
	if s.order.waiting() > 0 && s.hasPlaceLocked(now) {
		s.expireLocked(now)
	}
	for s.order.waiting() > 0 && s.hasPlaceLocked(now) {
		p := s.order.pop(s.hasLatePlaceLocked(now), func(p *Place) bool { return s.isLateLocked(p, now) })
		if p == nil {
			break
		}
		s.startLocked(p, now)
		close(p.granted)
	}
	if s.order.waiting() > 0 {
		s.wakeLocked(now)
	}
}

// wakeLocked looks for a place again after the pause between calls, or when the reports have
// lost some weight or a call in flight may not count any more.
func (s *serviceQueue) wakeLocked(now time.Time) {
	pause := max(s.nextStart.Sub(now), s.load.meanCallTime(now)/2)
	if s.wake != nil {
		s.wake.Reset(pause)
		return
	}
	s.wake = time.AfterFunc(pause, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.grantLocked(time.Now())
	})
}

// minReturn is the shortest time after which a refused call should return, and maxReturn
// the longest one, as bursts last 4 to 6 s.
const (
	minReturn = 100 * time.Millisecond
	maxReturn = 4 * time.Second
)

// refusalLocked returns the refusal of a call that would take a time. The call should
// return when the queue is expected to have room. A part that depends on its id spreads
// the returns.
func (s *serviceQueue) refusalLocked(p *Place, cause ServiceCause, expected time.Duration, now time.Time) *receipt.Reason {
	room := s.waitLocked(s.order.waiting(), now)
	if s.load.isLimited(now) {
		room += s.load.expectedCallTime(now)
	}
	room = min(max(room, minReturn), maxReturn)
	return &receipt.Reason{
		Code:       receipt.CodeOverloaded,
		Step:       receipt.StepAdmit,
		RetryAfter: room + time.Duration(p.jitter()/2*float64(room)),
		Err: &ServiceOverloadError{
			Cause:    cause,
			Team:     p.call.Team,
			Waited:   now.Sub(p.arrived),
			Left:     p.call.Deadline.Sub(now),
			Expected: expected,
			Waiting:  s.order.waiting(),
			Late:     len(s.order.late),
			InFlight: len(s.inFlight),
			Limit:    s.placesLocked(now),
		},
	}
}

// jitter returns a number from 0 to 1 that depends on the id of the call.
func (p *Place) jitter() float64 {
	const bits = 53
	return float64(xxhash.Sum64String(p.call.ID)>>(64-bits)) / (1 << bits)
}
