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
	// assumedCall is the time of a call at a server that has answered none yet.
	assumedCall = 60 * time.Millisecond
	// sameRegionTrip and otherRegionTrip are the round trips between data centres
	// of one region and to another region, at 1.4 and 12 ms one way.
	sameRegionTrip  = 2800 * time.Microsecond
	otherRegionTrip = 24 * time.Millisecond
	// reportFor is how long a server's own report of its load is believed; calls
	// take about a tenth of it.
	reportFor = 600 * time.Millisecond
	// latencyGain and errorGain weigh the newest call in the moving averages of a
	// server's latency and failures.
	latencyGain = 0.1
	errorGain   = 0.1
	// errorsAllowed is the share of failed calls from which on a server gets less,
	// errorWeight how much longer a call counts whose server fails all.
	errorsAllowed = 0.25
	errorWeight   = 12
	// jitter keeps instances with the same view apart, as a part of the score.
	jitter = 0.15
)

// ServiceRanker ranks the servers of plain services by when a call would be
// answered: by the calls in progress, the servers' own reports, the latency and
// the failures seen, and the distance. It answers the load of bursts that fill
// the nearest server, and of servers that are slow or fail while they look
// healthy. It is safe for concurrent use.
type ServiceRanker struct {
	servers sync.Map // name to *serviceLoad
}

// serviceLoad is what is known of one server of a plain service.
type serviceLoad struct {
	own atomic.Int64

	mu       sync.Mutex
	latency  time.Duration
	failures float64
	reported int64
	at       time.Time
}

// NewServiceRanker returns an empty book.
func NewServiceRanker() *ServiceRanker { return &ServiceRanker{} }

func (b *ServiceRanker) load(name string) *serviceLoad {
	if found, ok := b.servers.Load(name); ok {
		return found.(*serviceLoad)
	}
	found, _ := b.servers.LoadOrStore(name, &serviceLoad{latency: assumedCall})
	return found.(*serviceLoad)
}

// Begin records a call in progress.
func (b *ServiceRanker) Begin(name string) { b.load(name).own.Add(1) }

// End records the end of a call. Failed calls tell nothing about latency.
func (b *ServiceRanker) End(name string, took time.Duration, failed bool) {
	l := b.load(name)
	l.own.Add(-1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures *= 1 - errorGain
	if failed {
		l.failures += errorGain
		return
	}
	l.latency += time.Duration(latencyGain * float64(took-l.latency))
}

// Report records a server's own account of the calls that it runs and that wait.
func (b *ServiceRanker) Report(name string, calls int, now time.Time) {
	l := b.load(name)
	l.mu.Lock()
	defer l.mu.Unlock()
	// The report counts the call that it came with, which has ended.
	l.reported = int64(max(0, calls-1))
	l.at = now
}

// Rank returns servers ordered by the expected time of an answer to a call from
// a data centre; id makes equal choices of several instances differ.
func (b *ServiceRanker) Rank(servers []crew.Server, dataCentre, region, id string, now time.Time) []crew.Server {
	type candidate struct {
		server crew.Server
		score  float64
	}
	seed := xxhash.Sum64String(id)
	list := make([]candidate, 0, len(servers))
	for i, server := range servers {
		score := float64(b.load(server.Name).expected(server.Slots, now))
		score += float64(trip(server, dataCentre, region))
		if now.Before(server.ColdUntil) {
			score *= 2
		}
		list = append(list, candidate{
			server: server,
			score:  score * (1 + jitter*spread(seed, i)),
		})
	}
	slices.SortFunc(list, func(a, b candidate) int { return cmp.Compare(a.score, b.score) })
	ranked := make([]crew.Server, 0, len(list))
	for _, c := range list {
		ranked = append(ranked, c.server)
	}
	return ranked
}

func trip(server crew.Server, dataCentre, region string) time.Duration {
	switch {
	case server.DataCentre == dataCentre:
		return 0
	case server.Region == region:
		return sameRegionTrip
	default:
		return otherRegionTrip
	}
}

// expected returns the time until a call would be answered, without the way.
func (l *serviceLoad) expected(slots int, now time.Time) time.Duration {
	calls := l.own.Load()
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.at) < reportFor {
		calls = max(calls, l.reported)
	}
	waiting := max(0, float64(calls+1)-float64(slots)) / float64(max(1, slots))
	// A server that is half full answers a little later than an idle one.
	busy := float64(calls) / float64(max(1, slots)) / 4
	penalty := 1 + errorWeight*max(0, l.failures-errorsAllowed)
	return time.Duration(float64(l.latency) * (1 + waiting + min(busy, 1)) * penalty)
}
