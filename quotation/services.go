package quotation

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/balsamlock/balsamlock/crew"
)

const (
	// defaultLatency is assumed for servers that have completed no call yet.
	defaultLatency = 60 * time.Millisecond
	// sameRegionRTT is the round-trip time between data centres of one region, and
	// otherRegionRTT the one to another region, at 1.4 ms and 12 ms one way.
	sameRegionRTT  = 2800 * time.Microsecond
	otherRegionRTT = 24 * time.Millisecond
	// serviceReportTTL is how long a server's load report is valid. Calls take about
	// a tenth of it.
	serviceReportTTL = 600 * time.Millisecond
	// latencyGain and errorGain are the weights of the latest call in the moving
	// averages of a server's latency and error rate.
	latencyGain = 0.1
	errorGain   = 0.1
	// errorRateThreshold is the error rate above which a server's expected latency is
	// increased. errorPenalty scales the increase by the part of the rate above it.
	errorRateThreshold = 0.25
	errorPenalty       = 12
	// scoreJitter is the range of the random part, as a fraction of the score. It
	// keeps instances with the same view from choosing the same server.
	scoreJitter = 0.15
)

// ServiceRanker ranks the servers of plain services by the expected latency of a
// call. It is computed from the calls in flight, the servers' load reports, the
// observed latency and error rate, and the distance. This handles bursts that fill
// the nearest server, and servers that are slow or fail although they look healthy.
//
// Servers whose newest reports have a slow-down are ranked by a learned estimate of
// the time until the response instead; see docs/design/expected-cost.md.
// ServiceRanker is safe for concurrent use.
type ServiceRanker struct {
	servers sync.Map // name to *serviceLoad
	work    expectedWork
	errors  errorShares
}

// serviceLoad is the observed and reported load of one server of a plain service.
type serviceLoad struct {
	inFlight atomic.Int64

	mu            sync.Mutex
	latency       time.Duration
	errorRate     float64
	reportedCalls int64
	reportedAt    time.Time
	// cost is the state of the newest incarnation, or nil before its first call.
	cost *serverCost
}

// costOf returns the state of an incarnation of the server, or nil if a newer one is known.
// The mutex must be held.
func (l *serviceLoad) costOf(incarnation uint64) *serverCost {
	switch {
	case l.cost == nil:
		l.cost = newServerCost(incarnation)
	case l.cost.incarnation < incarnation:
		l.cost = l.cost.restarted(incarnation)
	case l.cost.incarnation > incarnation:
		return nil
	}
	return l.cost
}

// NewServiceRanker returns a ServiceRanker without observations.
func NewServiceRanker() *ServiceRanker { return &ServiceRanker{} }

func (r *ServiceRanker) load(name string) *serviceLoad {
	if found, ok := r.servers.Load(name); ok {
		return found.(*serviceLoad)
	}
	found, _ := r.servers.LoadOrStore(name, &serviceLoad{latency: defaultLatency})
	return found.(*serviceLoad)
}

// Begin records the start of a call.
func (r *ServiceRanker) Begin(name string) { r.load(name).inFlight.Add(1) }

// Withdraw records that a call was not sent after all.
func (r *ServiceRanker) Withdraw(name string) { r.load(name).inFlight.Add(-1) }

// End records the end of a call. The duration of a failed call is ignored, because it
// says nothing about the server's latency.
func (r *ServiceRanker) End(name string, took time.Duration, failed bool) {
	l := r.load(name)
	l.inFlight.Add(-1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.errorRate *= 1 - errorGain
	if failed {
		l.errorRate += errorGain
		return
	}
	l.latency += time.Duration(latencyGain * float64(took-l.latency))
}

// Report records the number of running and queued calls that a server reported.
func (r *ServiceRanker) Report(name string, calls int, now time.Time) {
	l := r.load(name)
	l.mu.Lock()
	defer l.mu.Unlock()
	// The report includes the call whose response carried it, which has ended.
	l.reportedCalls = int64(max(0, calls-1))
	l.reportedAt = now
}

// Rank returns the servers ordered by the expected latency of a call from a data
// centre, without anything known about the call.
func (r *ServiceRanker) Rank(servers []*crew.Server, dataCentre, region, id string, now time.Time) []*crew.Server {
	return r.RankCall(servers, dataCentre, region, id, CallSpec{}, now)
}

// RankCall returns the servers ordered by the expected latency of a call from a data
// centre. id seeds the jitter, so that instances with the same view choose
// differently.
func (r *ServiceRanker) RankCall(
	servers []*crew.Server, dataCentre, region, id string, spec CallSpec, now time.Time,
) []*crew.Server {
	type candidate struct {
		server *crew.Server
		score  float64
	}
	seed := xxhash.Sum64String(id)
	work := r.work.of(spec)
	candidates := make([]candidate, 0, len(servers))
	for i, server := range servers {
		l := r.load(server.Name)
		latency, ok := l.expectedCost(server, work, now)
		if !ok {
			latency = l.expectedLatency(server.Slots, now)
		}
		score := float64(latency)
		score += float64(roundTripTime(server, dataCentre, region))
		if now.Before(server.ColdUntil) {
			score *= 2
		}
		candidates = append(candidates, candidate{
			server: server,
			score:  score * (1 + scoreJitter*randomFraction(seed, i)),
		})
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.score, b.score) })
	ranked := make([]*crew.Server, 0, len(candidates))
	for _, c := range candidates {
		ranked = append(ranked, c.server)
	}
	return ranked
}

// Admitting returns the servers that take calls at now: all but those that have asked for
// none until later. The others take their load.
func Admitting(servers []*crew.Server, now time.Time) []*crew.Server {
	admitting := make([]*crew.Server, 0, len(servers))
	for _, server := range servers {
		if !now.Before(server.PausedUntil) {
			admitting = append(admitting, server)
		}
	}
	return admitting
}

// FirstAdmission returns when the first of the servers takes calls, or the zero time if
// there are none.
func FirstAdmission(servers []*crew.Server) time.Time {
	var first time.Time
	for n, server := range servers {
		if n == 0 || server.PausedUntil.Before(first) {
			first = server.PausedUntil
		}
	}
	return first
}

func roundTripTime(server *crew.Server, dataCentre, region string) time.Duration {
	switch {
	case server.DataCentre == dataCentre:
		return 0
	case server.Region == region:
		return sameRegionRTT
	default:
		return otherRegionRTT
	}
}

// expectedCost returns the learned estimate of the time until a response, without the
// round trip, and false if the server doesn't report its slow-down.
func (l *serviceLoad) expectedCost(server *crew.Server, work time.Duration, now time.Time) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	cost := l.costOf(server.Incarnation)
	if cost == nil || !cost.reportsSlowdown() {
		return 0, false
	}
	return cost.estimate(work, server.Slots, now), true
}

// expectedLatency returns the expected time until a response, without the round trip.
func (l *serviceLoad) expectedLatency(slots int, now time.Time) time.Duration {
	calls := l.inFlight.Load()
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.reportedAt) < serviceReportTTL {
		calls = max(calls, l.reportedCalls)
	}
	queued := max(0, float64(calls+1)-float64(slots)) / float64(max(1, slots))
	// A partly used server responds a little later than an idle one.
	loadFactor := float64(calls) / float64(max(1, slots)) / 4
	penalty := 1 + errorPenalty*max(0, l.errorRate-errorRateThreshold)
	return time.Duration(float64(l.latency) * (1 + queued + min(loadFactor, 1)) * penalty)
}
