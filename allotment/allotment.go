// Package allotment keeps the limits of teams over all instances. Amounts are created in
// one place and passed down, and an amount that was not created can't be spent.
//
// The issuer creates amounts by a token bucket for each team and grants them to the
// distributors, one in each data centre. A distributor grants what it holds to the
// instances, which spend it on requests. An amount lapses GrantLife after the request for
// it was sent, so what a killed, frozen or cut-off holder has is lost, and a repeated
// request for amounts is another grant.
//
// A child whose parent doesn't answer creates a part of its own, which the parent keeps
// back meanwhile. Issuer, Balance and Link decide as functions of state, request and time.
// Holder asks the parent, Distributor and Root answer, and Server connects both with twirp.
//
// # Usage
//
//	holder := allotment.NewHolder(ctx, allotment.Deps{Child: name, Parent: parent})
//	draw, err := holder.Acquire(ctx, team, limit, cost)
//	if err != nil {
//		return err // *LimitedError
//	}
//	if notRun {
//		holder.Return(team, draw)
//	}
package allotment

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/phuslu/log"
)

const (
	// GrantLife is how long a grant can be spent, since the request for it was sent.
	GrantLife = time.Second
	// silentAfter is the time without a request, or without an answer as the child reports
	// it, after which a parent keeps the part of a child back. ownPartAfter is the same for
	// the time since the last answer of which the parent knows that the child received it.
	// ownAfter is the time without an answer after which a child creates its part; the
	// difference covers requests that are on their way.
	silentAfter  = 3 * time.Second
	ownPartAfter = 4 * time.Second
	ownAfter     = 5 * time.Second
	// ownReserve is how much earlier a child stops creating its part than its parent
	// stops keeping it back.
	ownReserve = 5 * time.Second
	// instanceMemory and distributorMemory are how long the part of a silent child is
	// kept back. Regions may lose each other for an hour.
	instanceMemory    = time.Minute
	distributorMemory = time.Hour
	// unknownMembers is the number of instances that is assumed if fewer are known.
	// Instances without demand are unknown to the others, and may create small parts.
	unknownMembers = 128
	// prefetchTime is the time whose expected demand a child holds in advance.
	prefetchTime = 300 * time.Millisecond
	// capacitySlack is the fraction of the tolerance's slack that the bucket of a team
	// may hold beyond the burst. smallShare is the fraction of the tolerance that all
	// small parts together may use.
	capacitySlack = 0.25
	smallShare    = 0.5
)

// Limit is the rate limit of a team. A rate of 0 or less means none.
type Limit struct {
	// Rate is the amount per second.
	Rate float64
	// Burst is the amount that may be used at once beyond the rate.
	Burst float64
}

// Tolerance is how far a limit may be exceeded in a sliding window: up to
// (rate * Window + burst) * (1 + Excess) + Slack.
type Tolerance struct {
	Window time.Duration
	Excess float64
	Slack  float64
}

// Bound returns the amount that a team may use in a window.
func (t Tolerance) Bound(l Limit) float64 {
	return (l.Rate*t.Window.Seconds()+l.Burst)*(1+t.Excess) + t.Slack
}

// capacity returns the capacity of the issuer's bucket.
func (t Tolerance) capacity(l Limit) float64 { return l.Burst + capacitySlack*t.Slack }

// smallPart returns the limit of an instance that may not create its own part, if all
// instances are as many as known.
func (t Tolerance) smallPart(l Limit, known int) Limit {
	rate := smallShare * t.Excess * l.Rate
	if t.Window > 0 {
		rate += smallShare * t.Slack / t.Window.Seconds()
	}
	return Limit{Rate: rate / float64(max(known, unknownMembers))}
}

// Lot is an amount that can be spent until a time.
type Lot struct {
	Amount float64
	Until  time.Time
}

// Need is what a child asks for a team.
type Need struct {
	Team string
	// Limit is the team's limit as the child knows it.
	Limit Limit
	// Waiting are the costs of requests that wait. Each is granted whole or not at all.
	Waiting []float64
	// Prefetch is an amount for requests that are expected.
	Prefetch float64
}

// Request is what a child sends to its parent.
type Request struct {
	// Child is the name of an instance, or the data centre of a distributor: another
	// distributor of the data centre takes the place of the one before.
	Child       string
	Distributor bool
	// Members is the number of instances that the child stands for.
	Members int
	// Part is the fraction of the limits that the child may create without its parent,
	// Absent that which its own absent children may create.
	Part   float64
	Absent float64
	// AnswerAge is the age of the last answer that the child has received.
	AnswerAge time.Duration
	// Creates is set while the child creates its own part.
	Creates bool
	// Leaves is set in the last request of a child without demand. It creates its part no
	// more, so that the parent need not keep it back.
	Leaves bool
	Needs  []Need
}

// Grant is what a parent grants for a team.
type Grant struct {
	Team string
	Lots []Lot
	// Retry is the time until there may be room, if something wasn't granted.
	Retry time.Duration
}

// Sibling is a child of the issuer as its successor must know it.
type Sibling struct {
	Name    string
	Members int
	Part    float64
}

// Reply is the answer to a Request.
type Reply struct {
	// All is the number of instances that are known.
	All int
	// Part is the fraction of the limits that the child may create without its parent.
	// With 0, that of the reply before remains.
	Part     float64
	Grants   []Grant
	Siblings []Sibling
}

// Draw is what was taken from a balance for a request.
type Draw struct{ Lots []Lot }

// Amount returns the sum of the lots.
func (d Draw) Amount() float64 { return sum(d.Lots) }

// validAt reports whether no lot has lapsed.
func (d Draw) validAt(now time.Time) bool {
	return !slices.ContainsFunc(d.Lots, func(lot Lot) bool { return !now.Before(lot.Until) })
}

func sum(lots []Lot) float64 {
	total := 0.0
	for _, lot := range lots {
		total += lot.Amount
	}
	return total
}

// LimitedError refuses a request because its team has no amount left for it.
type LimitedError struct {
	Team string
	// RetryAfter is the time until there may be room.
	RetryAfter time.Duration
	// Held is what the instance held. AnswerAge is the age of the last answer of its
	// parent, or negative if there was none.
	Held      float64
	AnswerAge time.Duration
}

// MarshalObject adds the state of the instance to a log entry.
func (e *LimitedError) MarshalObject(entry *log.Entry) {
	entry.Float64("held", math.Round(e.Held)).Int64("answer_age_ms", e.answerAgeMS())
}

// answerAgeMS returns the age of the last answer in milliseconds, or -1 if there was none.
func (e *LimitedError) answerAgeMS() int64 {
	if e.AnswerAge < 0 {
		return -1
	}
	return e.AnswerAge.Milliseconds()
}

// Error returns the step, the team and the state of the instance.
func (e *LimitedError) Error() string {
	answer := "no answer of the distributor yet"
	if e.AnswerAge >= 0 {
		answer = fmt.Sprintf("last answer of the distributor %d ms ago", e.answerAgeMS())
	}
	return fmt.Sprintf("acquire: team %s: over the limit: %.0f held, %s", e.Team, e.Held, answer)
}

// retryOf returns the time after which a request that was refused may have room.
func retryOf(err error) time.Duration {
	var limited *LimitedError
	if errors.As(err, &limited) {
		return max(limited.RetryAfter, minRetry)
	}
	return minRetry
}
