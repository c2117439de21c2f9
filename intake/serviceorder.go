package intake

import (
	"slices"
	"time"
)

// serviceOrder holds the waiting calls of one service and decides which one goes out next:
// calls on time before late ones, first tries before retries, then by rank and the earlier
// objective or deadline. Of each sharePeriod calls that go out, one is of a less urgent
// rank. A team that is ahead of its fair part of a rank by more than one call goes behind
// the others. It isn't safe for concurrent use.
type serviceOrder struct {
	onTime []*Place
	late   []*Place
	// passed counts the calls since the last one of a less urgent rank, while one waited.
	passed int
	fair   map[int]*fairClock
}

func newServiceOrder() *serviceOrder { return &serviceOrder{fair: map[int]*fairClock{}} }

func (o *serviceOrder) waiting() int { return len(o.onTime) + len(o.late) }

// teams returns the number of waiting calls of each team.
func (o *serviceOrder) teams() map[string]int {
	teams := map[string]int{}
	for _, p := range slices.Concat(o.onTime, o.late) {
		if p.call.Team != "" {
			teams[p.call.Team]++
		}
	}
	return teams
}

// limit returns the time by which the call should end: the objective or the deadline of a
// late one.
func (p *Place) limit() time.Time {
	if p.isLate || p.call.DueAt.IsZero() {
		return p.call.Deadline
	}
	return p.call.DueAt
}

// goesBefore orders calls of different teams by try, rank and limit.
func (p *Place) goesBefore(other *Place) bool {
	if p.call.Try != other.call.Try {
		return p.call.Try < other.call.Try
	}
	if p.call.Rank != other.call.Rank {
		return p.call.Rank < other.call.Rank
	}
	return p.limit().Before(other.limit())
}

func (o *serviceOrder) push(p *Place) {
	list := &o.onTime
	if p.isLate {
		list = &o.late
	}
	at := len(*list)
	for at > 0 && p.goesBefore((*list)[at-1]) {
		at--
	}
	*list = slices.Insert(*list, at, p)
}

func (o *serviceOrder) remove(p *Place) {
	for _, list := range []*[]*Place{&o.onTime, &o.late} {
		if at := slices.Index(*list, p); at >= 0 {
			*list = slices.Delete(*list, at, at+1)
		}
	}
}

// ahead returns the number of waiting calls that go out before p.
func (o *serviceOrder) ahead(p *Place) int {
	count := func(list []*Place) int {
		n := 0
		for _, other := range list {
			if !p.goesBefore(other) {
				n++
			}
		}
		return n
	}
	if p.isLate {
		return len(o.onTime) + count(o.late)
	}
	return count(o.onTime)
}

// pop removes and returns the call that goes out next, or nil. Calls that have become late
// are passed over: their own check queues them anew. Late calls are considered if late is
// set.
func (o *serviceOrder) pop(late bool, isLate func(p *Place) bool) *Place {
	timely := slices.DeleteFunc(slices.Clone(o.onTime), isLate)
	p := o.next(timely)
	if p == nil && late {
		p = o.next(o.late)
	}
	if p == nil {
		return nil
	}
	o.remove(p)
	o.clock(p.call.Rank).charge(p.call.Team, p.start, 1)
	return p
}

func (o *serviceOrder) clock(rank int) *fairClock {
	c := o.fair[rank]
	if c == nil {
		c = newFairClock()
		o.fair[rank] = c
	}
	return c
}

// next returns the call of a sorted list that goes out next, or nil if it is empty.
func (o *serviceOrder) next(list []*Place) *Place {
	if len(list) == 0 {
		return nil
	}
	first := list[0]
	isOther := func(p *Place) bool { return p.call.Try == first.call.Try && p.call.Rank != first.call.Rank }
	if other := slices.IndexFunc(list, isOther); other >= 0 {
		if o.passed >= sharePeriod-1 {
			o.passed = 0
			// The less urgent rank whose call has waited longest.
			for _, p := range list {
				if isOther(p) && p.arrived.Before(list[other].arrived) {
					other = slices.Index(list, p)
				}
			}
			return o.fairest(list, list[other])
		}
		o.passed++
	}
	return o.fairest(list, first)
}

// fairest returns the first call of the sorted list with the try and rank of like whose
// team is within one call of its fair part.
func (o *serviceOrder) fairest(list []*Place, like *Place) *Place {
	clock := o.clock(like.call.Rank)
	isLike := func(p *Place) bool { return p.call.Try == like.call.Try && p.call.Rank == like.call.Rank }
	lowest := clock.start(like.call.Team)
	for _, p := range list {
		if isLike(p) {
			lowest = min(lowest, clock.start(p.call.Team))
		}
	}
	chosen := like
	for _, p := range list {
		if isLike(p) && clock.start(p.call.Team) <= lowest+1 {
			chosen = p
			break
		}
	}
	// The virtual time advances with the teams that are behind, not with those ahead.
	chosen.start = lowest
	return chosen
}
