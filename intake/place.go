package intake

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/phuslu/log"

	"github.com/balsamlock/balsamlock/receipt"
)

// Place is a call in a ServiceQueue, or its place at the servers after it was let out.
type Place struct {
	queue   *serviceQueue
	call    ServiceCall
	arrived time.Time
	// granted is closed when the call may go out or was refused. It is nil if the call did not
	// wait. Refusal is set before that if it was refused.
	granted chan struct{}
	refusal *receipt.Reason
	// The following fields are guarded by queue.mu.
	isLate   bool
	inFlight bool
	sentAt   time.Time
	// start is the virtual time in fair queueing between teams when the call went out.
	start float64
}

// await waits until the queued call may go out. A call that misses its objective moves
// behind those that don't; one that misses its deadline is refused.
func (p *Place) await(ctx context.Context) *receipt.Reason {
	s := p.queue
	timer := time.NewTimer(time.Until(p.nextCheck()))
	defer timer.Stop()
	for {
		select {
		case <-p.granted:
			return p.refusal
		case <-timer.C:
			if reason := p.recheck(time.Now()); reason != nil {
				return reason
			}
			timer.Reset(max(minRecheck, time.Until(p.nextCheck())))
		case <-ctx.Done():
			s.mu.Lock()
			defer s.mu.Unlock()
			if p.inFlight {
				s.endLocked(p, time.Now())
			}
			s.order.remove(p)
			return contextReason(ctx)
		}
	}
}

// minRecheck is the shortest time between two checks of a waiting call.
const minRecheck = time.Millisecond

// nextCheck returns when the waiting call will miss its objective or deadline as far as
// known.
func (p *Place) nextCheck() time.Time {
	s := p.queue
	s.mu.Lock()
	defer s.mu.Unlock()
	callTime := s.load.expectedCallTime(time.Now())
	check := p.call.Deadline.Add(-sendMargin * callTime)
	if late := p.call.DueAt.Add(-callTime); !p.isLate && !p.call.DueAt.IsZero() && late.Before(check) {
		return late
	}
	return check
}

// recheck queues the call anew if it misses its objective now, and returns a reason if it
// would go out too late for its deadline or too many late calls wait.
func (p *Place) recheck(now time.Time) *receipt.Reason {
	s := p.queue
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case p.inFlight:
		return nil
	case p.refusal != nil:
		return p.refusal
	case s.isExpiredLocked(p, now, now):
		s.order.remove(p)
		return s.refusalLocked(p, CauseExpired, s.load.expectedCallTime(now), now)
	case !p.isLate && s.isLateLocked(p, now):
		s.order.remove(p)
		p.isLate = true
		return s.pushLocked(p, now)
	}
	return nil
}

// CallResult is how a call that went out has ended.
type CallResult int

// The results of calls.
const (
	// CallAnswered means that the server answered.
	CallAnswered CallResult = iota
	// CallRefused means that the server refused the call, which has not run.
	CallRefused
	// CallFailed means that there was no answer. It says nothing about the load.
	CallFailed
)

// End gives up the place after the call has ended. Only the first call has an effect.
func (p *Place) End(result CallResult, took time.Duration) {
	s := p.queue
	s.mu.Lock()
	defer s.mu.Unlock()
	if !p.inFlight {
		return
	}
	now := time.Now()
	if result == CallAnswered {
		s.load.recordCall(took)
	}
	if result != CallFailed && s.load.isLimited(now) {
		occupancy, known := s.load.occupancy(now)
		s.limit = s.limit.WithEnd(CallEnd{
			At:        now,
			Refused:   result == CallRefused,
			Occupancy: occupancy,
			Unknown:   !known,
			InFlight:  len(s.inFlight),
			Slots:     s.load.slots(),
			CallTime:  s.load.meanCallTime(now),
			Jitter:    p.jitter(),
		})
	}
	s.endLocked(p, now)
}

// Withdraw gives up the place of a call that was not sent. It has no effect after End.
func (p *Place) Withdraw() { p.End(CallFailed, 0) }

func (s *serviceQueue) endLocked(p *Place, now time.Time) {
	p.inFlight = false
	at := slices.Index(s.inFlight, p)
	s.inFlight = slices.Delete(s.inFlight, at, at+1)
	s.grantLocked(now)
}

// ServiceCause is why a ServiceQueue refused a call.
type ServiceCause string

// The causes of refusals.
const (
	// CauseDeadline means that the call was expected to miss its deadline when it arrived.
	CauseDeadline ServiceCause = "deadline"
	// CauseLate means that the call misses its objective and too many such calls wait.
	CauseLate ServiceCause = "late"
	// CauseExpired means that the call waited until less than sendMargin times the expected
	// time of a call was left before its deadline.
	CauseExpired ServiceCause = "expired"
)

// ServiceOverloadError explains why a ServiceQueue refused a call. It holds the state of
// the queue at that moment.
type ServiceOverloadError struct {
	Cause ServiceCause
	Team  string
	// Waited is the time that the call had waited, Left the time until its deadline, and
	// Expected the time until its answer if it had been kept.
	Waited   time.Duration
	Left     time.Duration
	Expected time.Duration
	// Waiting is the number of waiting calls, Late the number of those that miss their
	// objective.
	Waiting  int
	Late     int
	InFlight int
	Limit    float64
}

// Error implements error.
func (e *ServiceOverloadError) Error() string {
	return fmt.Sprintf("no place at the servers (%s): answer expected after %v, %v left, %d calls waiting, %d of %.1f in flight",
		e.Cause, e.Expected.Round(time.Millisecond), e.Left.Round(time.Millisecond), e.Waiting, e.InFlight, e.Limit)
}

// MarshalObject adds the state of the queue to a log entry.
func (e *ServiceOverloadError) MarshalObject(entry *log.Entry) {
	entry.Str("cause", string(e.Cause)).Int64("waited_ms", e.Waited.Milliseconds()).Int64("expected_ms", e.Expected.Milliseconds()).
		Int("waiting", e.Waiting).Int("late", e.Late).Int("in_flight", e.InFlight).Float64("limit", e.Limit)
}

var (
	_ error               = (*ServiceOverloadError)(nil)
	_ log.ObjectMarshaler = (*ServiceOverloadError)(nil)
)
