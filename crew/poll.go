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
	// backupPollWaves is the number of waves without a report, per rank, after which an
	// instance of a lower rank polls too.
	backupPollWaves = 3
)

// startPolls polls the servers assigned to this instance and returns a channel that is
// closed when all polls are done.
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

// mustPoll reports whether this instance polls a server in this wave. The first-ranked
// instance always does, the others only if reports are missing.
func (m *Membership) mustPoll(v *View, server *Server, now time.Time) bool {
	rank := slices.Index(v.index.pollers[server.Name], v.self.ID)
	if rank < 0 {
		return false
	}
	maxAge := time.Duration(rank*backupPollWaves) * m.cfg.wavePeriod()
	return rank == 0 || now.Sub(server.Load.At) > maxAge
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
		m.recordPollFailure(server.Name)
		return
	}
	m.recordReport(server.Name, load)
	source, ok := reporter.(EventSource)
	if ok && m.deps.OnCacheEvents != nil && server.Service == "" {
		m.pollEvents(ctx, server.Name, source)
	}
}

// recordReport records a load report. The load itself enters the view with the next
// wave; other changes are committed immediately.
func (m *Membership) recordReport(server string, load kiln.LoadReport) {
	now := time.Now()
	m.mu.Lock()
	m.outbox.addLoad(serverLoad{
		key:  Key(server),
		load: load,
	})
	r := m.view.Load().serverRecords[server]
	events := healthEvents(server, m.healthTracker(server).recordSuccess(now, load.Incarnation), now)
	isSame := load.Incarnation == r.incarnation || load.Incarnation == 0
	if isSame && r.isLeaving() == load.Leaving && r.traits.sameProperties(traitsOf(load)) {
		m.commitLocked(true, events)
		m.mu.Unlock()
		return
	}
	v := m.commitLocked(true, append(events, LoadReported{
		At:     now,
		Server: server,
		Load:   load,
	}))
	m.mu.Unlock()
	if !r.isLeaving() && v.serverRecords[server].isLeaving() {
		m.pushUpdates()
	}
}

func (m *Membership) recordPollFailure(server string) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.commitLocked(true, healthEvents(server, m.healthTracker(server).recordFailure(now), now))
}

// healthTracker returns the tracker of a server, updated with the state in the view,
// because other instances may have polled the server before. The caller must hold m.mu.
func (m *Membership) healthTracker(server string) *healthTracker {
	t := m.healthTrackers[server]
	if t == nil {
		t = &healthTracker{}
		m.healthTrackers[server] = t
	}
	t.isDown = m.view.Load().serverRecords[server].liveness.isDown()
	return t
}

func healthEvents(server string, change healthChange, now time.Time) []Event {
	if change == healthUnchanged {
		return nil
	}
	return []Event{
		HealthChanged{
			At:     now,
			Server: server,
			Up:     change == healthUp,
		},
	}
}

// pollEvents reads the cache events since the last poll and passes them on.
func (m *Membership) pollEvents(ctx context.Context, server string, source EventSource) {
	m.mu.Lock()
	after := m.lastEventSequences[server]
	m.mu.Unlock()
	events, err := source.Events(ctx, after)
	if err != nil || len(events) == 0 {
		return
	}
	m.mu.Lock()
	m.lastEventSequences[server] = events[len(events)-1].Sequence
	m.mu.Unlock()
	m.deps.OnCacheEvents(server, events)
}
