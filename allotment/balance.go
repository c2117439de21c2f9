package allotment

import (
	"slices"
	"time"
)

// Answer is the decision on a request for an amount, a sealed interface: Granted, Refused
// or *Waiter.
type Answer interface{ isAnswer() }

// Granted means that the amount was taken from the balance.
type Granted struct{ Draw Draw }

// Refused means that the team has no amount left. RetryAfter is when there may be one.
type Refused struct{ RetryAfter time.Duration }

// Waiter is a request that waits for a grant.
type Waiter struct {
	cost float64
	// asked is set once the parent was asked for the cost.
	asked bool
	// answer is set before done is closed.
	answer Answer
	done   chan struct{}
}

func (Granted) isAnswer() {}
func (Refused) isAnswer() {}
func (*Waiter) isAnswer() {}

// Done returns a channel that is closed when the request need not wait any more.
func (w *Waiter) Done() <-chan struct{} { return w.done }

// Answer returns the decision, once Done is closed.
func (w *Waiter) Answer() Answer { return w.answer }

func (w *Waiter) settle(answer Answer) {
	w.answer = answer
	close(w.done)
}

// Balance is what a child holds for one team. It is not safe for concurrent use.
type Balance struct {
	tolerance Tolerance
	limit     Limit
	// reserve is the life that a lot must have left to be taken.
	reserve time.Duration
	// lots are ordered by their ends.
	lots    []Lot
	waiters []*Waiter
	demand  meter
	// own holds what is created without the parent, by the limit ownLimit.
	own      bucket
	ownAt    time.Time
	ownLimit Limit
	ownFull  float64
	// closedUntil is when the parent may have room again.
	closedUntil time.Time
	// prefetchAt is when the parent was last asked for expected demand.
	prefetchAt time.Time
	lapsed     float64
}

// NewBalance returns an empty balance. Reserve is the life that an amount must have left
// to be taken.
func NewBalance(tolerance Tolerance, reserve time.Duration) *Balance {
	return &Balance{
		tolerance: tolerance,
		reserve:   reserve,
	}
}

// SetLimit sets the team's limit. What was granted under a higher one lapses by itself.
func (b *Balance) SetLimit(limit Limit) { b.limit = limit }

// Acquire decides on a request that costs an amount.
func (b *Balance) Acquire(cost float64, source Source, now time.Time) Answer {
	b.demand.add(cost, now)
	b.update(source, now)
	if len(b.waiters) == 0 {
		if draw, ok := b.take(cost, now); ok {
			return Granted{Draw: draw}
		}
	}
	if now.Before(b.closedUntil) {
		return Refused{RetryAfter: b.closedUntil.Sub(now)}
	}
	w := &Waiter{
		cost: cost,
		done: make(chan struct{}),
	}
	b.waiters = append(b.waiters, w)
	return w
}

// Prefetch takes up to an amount for requests that a child expects. What requests wait for
// is not given away.
func (b *Balance) Prefetch(amount float64, source Source, now time.Time) Granted {
	b.update(source, now)
	amount = min(amount, prefetchReserve*sum(b.lots))
	if len(b.waiters) > 0 || amount <= 0 {
		return Granted{}
	}
	b.demand.add(amount, now)
	draw, _ := b.take(amount, now)
	return Granted{Draw: draw}
}

// Give adds lots, and serves the requests that wait in their order.
func (b *Balance) Give(lots []Lot, now time.Time) {
	b.add(lots, now)
	b.serve(b.waiters, now)
}

func (b *Balance) add(lots []Lot, now time.Time) {
	for _, lot := range lots {
		at, _ := slices.BinarySearchFunc(b.lots, lot, func(have, add Lot) int { return have.Until.Compare(add.Until) })
		b.lots = slices.Insert(b.lots, at, lot)
	}
	b.expire(now)
}

// Answer applies the parent's answer to the requests that it was asked for, which the
// granted lots are for. If it has no room until the time retry, the waiting of the others
// ends.
func (b *Balance) Answer(asked []*Waiter, lots []Lot, retry time.Duration, source Source, now time.Time) {
	b.add(lots, now)
	b.update(source, now)
	b.serve(asked, now)
	b.serve(b.waiters, now)
	if retry <= 0 {
		return
	}
	b.closedUntil = now.Add(retry)
	for _, w := range asked {
		b.Abandon(w, max(retry, b.ownWait(w.cost)))
	}
}

// Abandon ends the waiting of a request. It has no effect if the request was served.
func (b *Balance) Abandon(w *Waiter, retry time.Duration) {
	if at := slices.Index(b.waiters, w); at >= 0 {
		b.waiters = slices.Delete(b.waiters, at, at+1)
		w.settle(Refused{RetryAfter: max(retry, minRetry)})
	}
}

// Need returns what the parent should be asked for, and the requests that wait for it.
func (b *Balance) Need(team string, source Source, now time.Time) (Need, []*Waiter) {
	b.update(source, now)
	need := Need{
		Team:     team,
		Limit:    b.limit,
		Prefetch: b.prefetch(now),
	}
	var asked []*Waiter
	for _, w := range b.waiters {
		if !w.asked {
			w.asked = true
			asked = append(asked, w)
			need.Waiting = append(need.Waiting, w.cost)
		}
	}
	return need, asked
}

// Expected returns what the parent should be asked for if no request waits.
func (b *Balance) Expected(source Source, now time.Time) float64 {
	b.update(source, now)
	return b.prefetch(now)
}

// prefetch returns what is missing for the demand that is expected. An amount that is too
// small for a usual request would lapse unspent.
func (b *Balance) prefetch(now time.Time) float64 {
	expected, mean := b.demand.expected(prefetchTime, now)
	expected = min(expected, b.limit.Rate*prefetchTime.Seconds())
	missing := expected - sum(b.lots)
	if expected < mean || missing <= 0 || now.Before(b.closedUntil) || now.Sub(b.prefetchAt) < prefetchInterval {
		return 0
	}
	b.prefetchAt = now
	return missing
}

// HasNew reports whether requests wait that the parent wasn't asked for.
func (b *Balance) HasNew() bool {
	return slices.ContainsFunc(b.waiters, func(w *Waiter) bool { return !w.asked })
}

// Held returns what can be spent.
func (b *Balance) Held() float64 { return sum(b.lots) }

// TakeLapsed returns what has lapsed since the last call.
func (b *Balance) TakeLapsed() float64 {
	lapsed := b.lapsed
	b.lapsed = 0
	return lapsed
}

// serve serves those of the requests that wait and fit, in their order.
func (b *Balance) serve(waiters []*Waiter, now time.Time) {
	for _, w := range slices.Clone(waiters) {
		at := slices.Index(b.waiters, w)
		if at < 0 {
			continue
		}
		if draw, ok := b.take(w.cost, now); ok {
			b.waiters = slices.Delete(b.waiters, at, at+1)
			w.settle(Granted{Draw: draw})
		}
	}
}

// update drops what has lapsed, and creates what the source allows.
func (b *Balance) update(source Source, now time.Time) {
	b.expire(now)
	limit, full := Limit{}, 0.0
	switch s := source.(type) {
	case OwnPart:
		limit = Limit{Rate: s.Fraction * b.limit.Rate}
		full = s.Fraction * b.tolerance.capacity(b.limit)
	case SmallPart:
		limit = b.tolerance.smallPart(b.limit, s.Known)
		full = limit.Rate * GrantLife.Seconds()
	case FromParent, Nothing:
	}
	if limit.Rate <= 0 || b.ownLimit.Rate <= 0 {
		// A part that begins starts empty.
		b.own, b.ownAt = bucket{}, now
	}
	if elapsed := now.Sub(b.ownAt); elapsed > 0 {
		b.own.refill(limit.Rate*elapsed.Seconds(), full)
		b.ownAt = now
	}
	b.ownLimit, b.ownFull = limit, full
}

// ownWait returns the time until the own part covers a cost, or 0 if it never does.
func (b *Balance) ownWait(cost float64) time.Duration {
	if b.ownLimit.Rate <= 0 || cost > b.ownFull {
		return 0
	}
	return retryTime(cost-b.own.level, b.ownLimit.Rate)
}

func (b *Balance) expire(now time.Time) {
	n := 0
	now = now.Add(b.reserve)
	for n < len(b.lots) && !now.Before(b.lots[n].Until) {
		b.lapsed += b.lots[n].Amount
		n++
	}
	b.lots = slices.Delete(b.lots, 0, n)
}

// roundingError is the part of a cost by which sums of lots may be too low.
const roundingError = 1e-9

// take takes an amount, first of the lots that lapse first.
func (b *Balance) take(amount float64, now time.Time) (Draw, bool) {
	available := sum(b.lots) + b.own.level
	if available < amount*(1-roundingError) {
		return Draw{}, false
	}
	missing := min(amount, available)
	var draw Draw
	for missing > 0 && len(b.lots) > 0 {
		lot := b.lots[0]
		lot.Amount = min(lot.Amount, missing)
		draw.Lots = append(draw.Lots, lot)
		missing -= lot.Amount
		b.lots[0].Amount -= lot.Amount
		if b.lots[0].Amount <= 0 {
			b.lots = slices.Delete(b.lots, 0, 1)
		}
	}
	if missing > 0 {
		b.own.level -= missing
		draw.Lots = append(draw.Lots, Lot{
			Amount: missing,
			Until:  now.Add(GrantLife),
		})
	}
	return draw, true
}

var (
	_ Answer = Granted{}
	_ Answer = Refused{}
	_ Answer = (*Waiter)(nil)
)
