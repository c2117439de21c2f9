package crew

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/balsamlock/balsamlock/kiln"
)

const (
	// pollTimeout bounds one poll of a backend server.
	pollTimeout = 300 * time.Millisecond
	// standInWaves is how many waves a report may be late before the next
	// instance in rank polls too.
	standInWaves = 3
)

// startPolls asks the servers that are this instance's to poll and returns a
// channel that is closed when all have answered.
func (m *Membership) startPolls(v *View, now time.Time) <-chan struct{} {
	done := make(chan struct{})
	var running sync.WaitGroup
	for _, server := range v.servers {
		if !m.mustPoll(v, server, now) {
			continue
		}
		running.Add(1)
		started := m.tasks.Load().submit(func(ctx context.Context) {
			defer running.Done()
			m.poll(ctx, server)
		})
		if !started {
			running.Done()
		}
	}
	go func() {
		defer close(done)
		running.Wait()
	}()
	return done
}

// mustPoll tells whether this instance polls a server in this wave: the first
// in rank does always, the next ones when reports are missing.
func (m *Membership) mustPoll(v *View, server *Server, now time.Time) bool {
	rank := slices.Index(v.index.pollers[server.Name], v.self.ID)
	if rank < 0 {
		return false
	}
	late := time.Duration(rank*standInWaves) * m.cfg.wavePeriod()
	return rank == 0 || now.Sub(server.Load.At) > late
}

func (m *Membership) poll(ctx context.Context, server *Server) {
	reporter := m.deps.Reporter(server)
	if reporter == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	load, err := reporter.Load(ctx)
	if err != nil {
		m.deps.Metrics.Count("crew_poll_failed", server.Name)
		m.pollFailed(server.Name)
		return
	}
	m.polled(server.Name, load)
	source, ok := reporter.(EventSource)
	if ok && m.deps.OnCacheEvents != nil && server.Service == "" {
		m.pollEvents(ctx, server.Name, source)
	}
}

// polled takes in a report. The wave brings its load into the view; other
// changes are committed at once.
func (m *Membership) polled(server string, load kiln.LoadReport) {
	now := time.Now()
	m.mu.Lock()
	m.outbox.addLoad(serverLoad{
		key:  Key(server),
		load: load,
	})
	r := m.view.Load().serverRecords[server]
	events := verdictOf(server, m.tracker(server).answered(now, load.Incarnation), now)
	isSame := load.Incarnation == r.incarnation || load.Incarnation == 0
	if isSame && r.isLeaving() == load.Leaving && r.traits.same(traitsOf(load)) {
		m.commitLocked(true, events)
		m.mu.Unlock()
		return
	}
	v := m.commitLocked(true, append(events, Reported{
		At:     now,
		Server: server,
		Load:   load,
	}))
	m.mu.Unlock()
	if !r.isLeaving() && v.serverRecords[server].isLeaving() {
		m.pushNews()
	}
}

func (m *Membership) pollFailed(server string) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.commitLocked(true, verdictOf(server, m.tracker(server).failed(now), now))
}

// tracker returns the tracker of a server, set to what all know of it.
func (m *Membership) tracker(server string) *tracker {
	t := m.trackers[server]
	if t == nil {
		t = &tracker{}
		m.trackers[server] = t
	}
	t.isDown = m.view.Load().serverRecords[server].life.isDown()
	return t
}

func verdictOf(server string, f finding, now time.Time) []Event {
	if f == findingNone {
		return nil
	}
	return []Event{
		Verdict{
			At:     now,
			Server: server,
			Up:     f == findingUp,
		},
	}
}

// pollEvents passes on the cache events that are new to this instance.
func (m *Membership) pollEvents(ctx context.Context, server string, source EventSource) {
	m.mu.Lock()
	after := m.events[server]
	m.mu.Unlock()
	events, err := source.Events(ctx, after)
	if err != nil || len(events) == 0 {
		return
	}
	m.mu.Lock()
	m.events[server] = events[len(events)-1].Sequence
	m.mu.Unlock()
	m.deps.OnCacheEvents(server, events)
}
