package allotment

import "time"

// takeoverDelay is the time after which a new issuer begins to create amounts, unless the
// one before is known to have stopped. That one acts on for up to 8 s after it was last
// told that it has the role, if neither the store nor its successor reaches it.
const takeoverDelay = 8 * time.Second

// prefetchReserve is the fraction of a bucket's capacity that is left for requests that
// wait. It is used up when a team is over its limit, and amounts that no request waits for
// would then lapse in parts that are too small to be spent.
const prefetchReserve = 0.5

// Limits returns the limit of a team, or false if the table has none.
type Limits func(team string) (Limit, bool)

// Issuer creates the amounts of all teams. It is not safe for concurrent use.
type Issuer struct {
	tolerance Tolerance
	limits    Limits
	// startsAt is the time from which amounts are created, and countedAt that up to which
	// created was counted: the time in seconds, less what was kept back of it.
	startsAt  time.Time
	countedAt time.Time
	created   float64
	buckets   map[string]*issuerBucket
	children  children
}

// issuerBucket is the bucket of a team. It starts empty.
type issuerBucket struct {
	bucket
	// created is Issuer.created at the last refill.
	created float64
}

// NewIssuer returns an issuer that takes over at a time. Siblings are the children of the
// issuer before, whose parts are kept back until their next request.
func NewIssuer(tolerance Tolerance, limits Limits, siblings []Sibling, now time.Time) *Issuer {
	i := &Issuer{
		tolerance: tolerance,
		limits:    limits,
		startsAt:  now.Add(takeoverDelay),
		countedAt: now.Add(takeoverDelay),
		buckets:   map[string]*issuerBucket{},
		children:  newChildren(distributorMemory),
	}
	for _, sibling := range siblings {
		i.children.byName[sibling.Name] = &child{
			seenAt:  now,
			members: sibling.Members,
			part:    sibling.Part,
			creates: true,
		}
	}
	return i
}

// Start lets the issuer create amounts from a time on, because the one before has stopped. It goes on with
// the levels of the buckets of that one, by team.
func (i *Issuer) Start(levels map[string]float64, now time.Time) {
	if !now.Before(i.startsAt) {
		return
	}
	i.startsAt, i.countedAt = now, now
	for team, level := range levels {
		if limit, ok := i.limits(team); ok {
			i.buckets[team] = &issuerBucket{bucket: bucket{level: min(level, i.tolerance.capacity(limit))}}
		}
	}
}

// Levels returns the levels of the buckets by team.
func (i *Issuer) Levels() map[string]float64 {
	levels := make(map[string]float64, len(i.buckets))
	for team, b := range i.buckets {
		levels[team] = b.level
	}
	return levels
}

// Ask answers a distributor.
func (i *Issuer) Ask(r Request, now time.Time) Reply {
	// Until now, the part of a child that comes back was kept back.
	if elapsed := now.Sub(i.countedAt); elapsed > 0 {
		i.created += i.Fraction(now) * elapsed.Seconds()
		i.countedAt = now
	}
	i.children.record(r, now)
	if r.Leaves {
		return Reply{}
	}
	fraction := i.Fraction(now)
	reply := Reply{
		All:      i.children.members(),
		Siblings: i.children.siblings(),
	}
	// Before, not all children may have sent a request, and the parts would be too large.
	if now.Sub(i.startsAt) > silentAfter {
		reply.Part = i.children.assignPart(r.Child, float64(max(r.Members, 1))/float64(reply.All), 1)
	}
	for _, need := range r.Needs {
		reply.Grants = append(reply.Grants, i.grant(need, fraction, now))
	}
	return reply
}

// Fraction returns the fraction of the limits that is not kept back for absent children.
func (i *Issuer) Fraction(now time.Time) float64 { return max(1-i.children.withheld(now), 0) }

// grant creates amounts for a need while the bucket is above zero. The last request may
// take it below zero: otherwise one that costs more than the capacity would be refused for
// ever.
func (i *Issuer) grant(need Need, fraction float64, now time.Time) Grant {
	grant := Grant{Team: need.Team}
	limit, ok := i.limits(need.Team)
	if !ok {
		// The child has a newer table.
		limit = need.Limit
	}
	rate, capacity := fraction*limit.Rate, fraction*i.tolerance.capacity(limit)
	b := i.buckets[need.Team]
	if b == nil {
		b = &issuerBucket{}
		i.buckets[need.Team] = b
	}
	b.refill(limit.Rate*(i.created-b.created), capacity)
	b.created = i.created
	create := func(amount float64) {
		b.level -= amount
		grant.Lots = append(grant.Lots, Lot{
			Amount: amount,
			Until:  now.Add(GrantLife),
		})
	}
	for _, cost := range need.Waiting {
		if b.level <= 0 {
			grant.Retry = max(retryTime(-b.level, rate), i.startsAt.Sub(now))
			return grant
		}
		create(cost)
	}
	if amount := min(need.Prefetch, b.level-prefetchReserve*capacity); amount > 0 {
		create(amount)
	}
	return grant
}

const (
	minRetry = 10 * time.Millisecond
	maxRetry = time.Second
)

// retryTime returns the time until an amount is created at a rate, within sensible bounds.
func retryTime(amount, rate float64) time.Duration {
	if rate <= 0 {
		return maxRetry
	}
	return time.Duration(min(max(amount/rate, minRetry.Seconds()), maxRetry.Seconds()) * float64(time.Second))
}
