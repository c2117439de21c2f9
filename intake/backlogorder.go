package intake

import (
	"math"
	"slices"
	"time"
)

const (
	// sharePeriod is the number of starts of which one goes to a less urgent rank.
	sharePeriod = 5
	// onTimeRateDecay is the time constant over which the fraction of a rank's requests
	// that started on time is measured. It spans two bursts of 4 to 6 s.
	onTimeRateDecay = 10 * time.Second
)

// backlogOrder decides which on-time request of a Backlog starts next:
//   - The most urgent rank goes first. Of each sharePeriod starts, one goes to the class of
//     a less urgent rank that has waited longest, unless requests of that rank start on time
//     more often than those of a more urgent one.
//   - Within a rank, the teams are served by fair queueing, and the classes of one team too.
//   - Within a class of a team, the cheapest request goes first.
//
// It isn't safe for concurrent use.
type backlogOrder struct {
	ranks map[int]*rankOrder
	// passed counts the starts since the last one of a less urgent rank, while one waited.
	passed int
	// isSharing is set while a request that was chosen for its less urgent rank is placed.
	isSharing bool
	// lastStarts holds the last start of each class.
	lastStarts map[rankedClass]time.Time
}

// rankedClass is a class of requests within a rank.
type rankedClass struct {
	rank  int
	class string
}

// rankOrder is the state of one rank.
type rankOrder struct {
	teams   *fairClock
	classes map[string]*fairClock
	onTime  onTimeRate
}

func newBacklogOrder() *backlogOrder {
	return &backlogOrder{
		ranks:      map[int]*rankOrder{},
		lastStarts: map[rankedClass]time.Time{},
	}
}

func (o *backlogOrder) rank(rank int) *rankOrder {
	r := o.ranks[rank]
	if r == nil {
		r = &rankOrder{
			teams:   newFairClock(),
			classes: map[string]*fairClock{},
		}
		o.ranks[rank] = r
	}
	return r
}

// classesOf returns the fair queueing between the classes of a team.
func (r *rankOrder) classesOf(team string) *fairClock {
	c := r.classes[team]
	if c == nil {
		c = newFairClock()
		r.classes[team] = c
	}
	return c
}

// pick returns the index of the request that starts next. The list is not empty, and
// sorted with the requests first that go before all others, then by cost.
func (o *backlogOrder) pick(list []*JobTurn, now time.Time) int {
	if list[0].goesFirst() {
		return 0
	}
	ranks := waitingRanks(list)
	if len(ranks) > 1 && o.passed >= sharePeriod-1 && !o.isSharing {
		if chosen, ok := o.longestWaiting(list, ranks, now); ok {
			at := o.fairest(list, func(t *JobTurn) bool { return t.rankedClass() == chosen })
			list[at].isShare = true
			o.isSharing = true
			return at
		}
	}
	at := o.fairest(list, func(t *JobTurn) bool { return t.job.Rank == ranks[0] })
	list[at].passesOthers = len(ranks) > 1
	return at
}

// waitingRanks returns the ranks of the requests, the most urgent first.
func waitingRanks(list []*JobTurn) []int {
	var ranks []int
	for _, t := range list {
		if at, found := slices.BinarySearch(ranks, t.job.Rank); !found {
			ranks = slices.Insert(ranks, at, t.job.Rank)
		}
	}
	return ranks
}

// longestWaiting returns the class that has waited longest since its last start, among
// those less urgent than the first of the ranks. It leaves out ranks whose requests start
// on time more often than those of a more urgent one.
func (o *backlogOrder) longestWaiting(list []*JobTurn, ranks []int, now time.Time) (rankedClass, bool) {
	oldest := map[rankedClass]time.Time{}
	for _, t := range list {
		key := t.rankedClass()
		if arrived, ok := oldest[key]; !ok || t.arrived.Before(arrived) {
			oldest[key] = t.arrived
		}
	}
	var chosen rankedClass
	var chosenSince time.Time
	found := false
	lowest := o.rank(ranks[0]).onTime.at(now)
	for _, rank := range ranks[1:] {
		rate := o.rank(rank).onTime.at(now)
		if rate > lowest {
			continue
		}
		lowest = rate
		for key, since := range oldest {
			if key.rank != rank {
				continue
			}
			if last := o.lastStarts[key]; last.After(since) {
				since = last
			}
			if !found || since.Before(chosenSince) || since.Equal(chosenSince) && key.rank == chosen.rank && key.class < chosen.class {
				chosen, chosenSince, found = key, since, true
			}
		}
	}
	return chosen, found
}

// fairest returns the index of the matching request whose team has the lowest virtual
// start time, and within the team whose class has. There must be one.
func (o *backlogOrder) fairest(list []*JobTurn, matches func(t *JobTurn) bool) int {
	best := -1
	for at, t := range list {
		if !matches(t) {
			continue
		}
		r := o.rank(t.job.Rank)
		t.teamStart = r.teams.start(t.job.Team)
		t.classStart = r.classesOf(t.job.Team).start(t.job.Class)
		if best < 0 || t.isFairerThan(list[best]) {
			best = at
		}
	}
	return best
}

func (t *JobTurn) isFairerThan(other *JobTurn) bool {
	if t.job.Team == other.job.Team {
		return t.classStart < other.classStart
	}
	return t.teamStart < other.teamStart
}

func (t *JobTurn) rankedClass() rankedClass {
	return rankedClass{
		rank:  t.job.Rank,
		class: t.job.Class,
	}
}

// started charges the start of an on-time request to its team and class.
func (o *backlogOrder) started(t *JobTurn, now time.Time) {
	switch {
	case t.isShare:
		o.passed = 0
	case t.passesOthers:
		o.passed++
	}
	r := o.rank(t.job.Rank)
	r.onTime.add(true, now)
	r.teams.charge(t.job.Team, t.teamStart, float64(t.job.Cost))
	r.classesOf(t.job.Team).charge(t.job.Class, t.classStart, float64(t.job.Cost))
	o.lastStarts[t.rankedClass()] = now
	// A team without charged work starts anew. Classes of requests without a team keep
	// their state, as there may be no other team that the time advances with.
	for team := range r.classes {
		if team != "" && !r.teams.isCharged(team) {
			delete(r.classes, team)
		}
	}
}

// missed records that a request of a rank did not start on time.
func (o *backlogOrder) missed(rank int, now time.Time) { o.rank(rank).onTime.add(false, now) }

// fairClock is the virtual time of start-time fair queueing between flows.
type fairClock struct {
	now float64
	// finish holds the virtual time at which the charged work of each flow ends.
	finish map[string]float64
}

func newFairClock() *fairClock { return &fairClock{finish: map[string]float64{}} }

// start returns the virtual start time of a flow's next request.
func (c *fairClock) start(flow string) float64 { return max(c.now, c.finish[flow]) }

// isCharged reports whether a flow has charged work after the current virtual time.
func (c *fairClock) isCharged(flow string) bool { return c.finish[flow] > c.now }

// charge adds the cost of a request, which had a virtual start time, to its flow.
func (c *fairClock) charge(flow string, start, cost float64) {
	c.now = max(c.now, start)
	c.finish[flow] = max(start, c.finish[flow]) + cost
	for other, finish := range c.finish {
		if finish <= c.now {
			delete(c.finish, other)
		}
	}
}

// onTimeRate is the fraction of recent requests that started on time, 1 without any.
type onTimeRate struct {
	onTime    float64
	all       float64
	updatedAt time.Time
}

func (r *onTimeRate) at(now time.Time) float64 {
	r.decay(now)
	// One assumed request on time keeps the first ones from deciding alone.
	return (r.onTime + 1) / (r.all + 1)
}

func (r *onTimeRate) add(onTime bool, now time.Time) {
	r.decay(now)
	r.all++
	if onTime {
		r.onTime++
	}
}

func (r *onTimeRate) decay(now time.Time) {
	factor := math.Exp(-now.Sub(r.updatedAt).Seconds() / onTimeRateDecay.Seconds())
	r.onTime *= factor
	r.all *= factor
	r.updatedAt = now
}
