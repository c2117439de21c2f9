package crew

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/balsamlock/balsamlock/common/metrics"
	"github.com/balsamlock/balsamlock/crew/crewpb"
	"github.com/balsamlock/balsamlock/kiln"
	"github.com/balsamlock/balsamlock/ledger"
)

const (
	// updateTTL is how long a change is included in messages to peers.
	updateTTL = 3 * time.Second
	// maxUpdates bounds the changes in one message. A sync transfers the rest.
	maxUpdates = 128
	// maxWorkers bounds the concurrent polls and exchanges.
	maxWorkers = 32
)

// Reporter returns the load of one backend server. It is implemented by kiln.Engine.
type Reporter interface {
	Load(ctx context.Context) (kiln.LoadReport, error)
}

// EventSource is a Reporter that also provides cache events. It is implemented by
// kiln.Engine.
type EventSource interface {
	Events(ctx context.Context, after uint64) ([]kiln.CacheEvent, error)
}

// Deps are the dependencies of a Membership. Those marked optional may be nil.
type Deps struct {
	Self Self
	// List reads the platform's instance list, optional.
	List ledger.Instances
	// Reporter returns the client of a backend server, or nil if the server reports no
	// load. It is called for each poll.
	Reporter func(server *Server) Reporter
	// Dial returns a client for a peer's IP:port that authenticates with the peer key.
	// It must not block.
	Dial func(address string) crewpb.Crew
	// DocumentVersion returns the version of the active routing document, optional.
	DocumentVersion func() uint64
	// OnPeerVersion is called with the document version that is active on a peer,
	// optional. It must not block.
	OnPeerVersion func(address string, version uint64)
	// OnCacheEvents is called with the cache events of the engines that this instance
	// polls, optional. It must not block.
	OnCacheEvents func(server string, events []kiln.CacheEvent)
	// Holds returns those of the given attempts that this instance holds on the engine
	// with the given IP:port, optional.
	Holds func(engine string, attempts []string) []string
	// Metrics counts failures and syncs, optional.
	Metrics *metrics.Metrics
	// Seed makes the random choice of peers reproducible. If it is 0, a random seed is
	// used.
	Seed uint64
}

// Membership maintains the View. It merges the platform's list, the servers' own
// reports and the messages of peers. It is safe for concurrent use.
type Membership struct {
	cfg  Config
	deps Deps
	view atomic.Pointer[View]

	mu                 sync.Mutex
	rand               *rand.Rand
	updates            map[string]time.Time
	outbox             outbox
	healthTrackers     map[string]*healthTracker
	lastEventSequences map[string]uint64
	waves              map[uint64]*wave
	latestResult       *result
	listAt             time.Time
	readingList        bool
	// listFailed is set while the list cannot be read, so that the failure is logged
	// only once.
	listFailed       bool
	lastWaveAt       time.Time
	graceEnd         time.Time
	digestMismatches int
	lastSync         time.Time
	// syncWindow and syncCount limit the rate of syncs that are answered.
	syncWindow time.Time
	syncCount  int
	ready      chan struct{}
	isReady    bool

	servers atomic.Pointer[serversByValue]
	tasks   atomic.Pointer[tasks]
}

// New returns a Membership whose view holds only the instance itself. Run keeps the
// view current.
func New(cfg Config, deps Deps) *Membership {
	seed := deps.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	if deps.Metrics == nil {
		deps.Metrics = metrics.New("")
	}
	m := &Membership{
		cfg:                cfg,
		deps:               deps,
		rand:               rand.New(rand.NewPCG(seed, 0)),
		updates:            map[string]time.Time{},
		outbox:             newOutbox(),
		healthTrackers:     map[string]*healthTracker{},
		lastEventSequences: map[string]uint64{},
		waves:              map[uint64]*wave{},
		ready:              make(chan struct{}),
	}
	m.view.Store(NewView(deps.Self, time.Now()))
	m.addUpdates([]string{deps.Self.ID})
	return m
}

// View returns the current snapshot.
func (m *Membership) View() *View { return m.view.Load() }

// Servers returns the backend servers of the current view by value. The slice is
// immutable and stays the same until a server or its load changes.
func (m *Membership) Servers() []Server {
	from := m.view.Load().servers
	cached := m.servers.Load()
	if cached != nil && slices.Equal(cached.from, from) {
		return cached.values
	}
	next := &serversByValue{
		from:   from,
		values: make([]Server, 0, len(from)),
	}
	for _, server := range from {
		next.values = append(next.values, *server)
	}
	m.servers.Store(next)
	return next.values
}

// serversByValue caches the servers of a view by value.
type serversByValue struct {
	from   []*Server
	values []Server
}

// MayPlace calls View.MayPlace on the current view.
func (m *Membership) MayPlace(server string) bool { return m.View().MayPlace(server) }

// Ready returns a channel that is closed when the members have been read from the
// platform's list or from a peer, or when neither has answered for the duration of an
// instance lease.
func (m *Membership) Ready() <-chan struct{} { return m.ready }

// UseRouting replaces the backend servers of the view by those of a routing document.
func (m *Membership) UseRouting(routing Routing) {
	m.commit(RoutingAccepted{
		Routing: routing,
	})
}

// ReportLeaving records that an incarnation of a backend server takes no new work, for
// example because it refused a request. Incarnation 0 stands for the newest known one.
// ReportLeaving does not block.
func (m *Membership) ReportLeaving(server string, incarnation uint64) {
	m.commit(ServerLeaving{
		At:          time.Now(),
		Server:      server,
		Incarnation: incarnation,
	})
}

// commit applies events, replaces the view and queues the changed members for peers.
func (m *Membership) commit(events ...Event) *View {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.commitLocked(true, events)
}

// commitLocked is like commit, but queues the changed members only if disseminate is
// set. The caller must hold m.mu.
func (m *Membership) commitLocked(disseminate bool, events []Event) *View {
	next, changed := applyAll(m.view.Load(), events)
	m.view.Store(next)
	if disseminate {
		m.addUpdates(changed)
	}
	return next
}

func (m *Membership) addUpdates(names []string) {
	expires := time.Now().Add(updateTTL)
	for _, name := range names {
		m.updates[name] = expires
	}
}

// Run joins the other instances and keeps the view current until ctx is cancelled.
func (m *Membership) Run(ctx context.Context) error {
	return m.withTasks(ctx, func(ctx context.Context) error {
		m.join(ctx)
		m.advanceClock(time.Now())
		return m.loop(ctx)
	})
}

func (m *Membership) withTasks(ctx context.Context, run func(ctx context.Context) error) error {
	ctx, cancel := context.WithCancel(ctx)
	t := newTasks(ctx, maxWorkers)
	m.tasks.Store(t)
	defer t.stop()
	defer cancel()
	return run(ctx)
}

// loop takes part in one wave after the other.
func (m *Membership) loop(ctx context.Context) error {
	for {
		number, wait := m.nextWave(time.Now())
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
			if m.detectFreeze(time.Now()) {
				m.join(ctx)
			}
			m.runWave(ctx, number)
		case <-ctx.Done():
			timer.Stop()
			return nil
		}
	}
}

func (m *Membership) advanceClock(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastWaveAt = now
	m.commitLocked(true, []Event{
		ClockAdvanced{
			Now: now,
		},
	})
}

// detectFreeze reports whether this process has missed so many waves that peers may no
// longer send the changes it has not received. It must then join again before its view
// counts as current. detectFreeze also starts a grace period in which instance leases
// do not expire.
func (m *Membership) detectFreeze(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.lastWaveAt) <= frozenWaves*m.cfg.wavePeriod() {
		return false
	}
	m.graceEnd = now.Add(2 * instanceLease)
	return true
}

// nextWave returns the number of the next wave and the time until it starts. Waves are
// aligned to the clock.
func (m *Membership) nextWave(now time.Time) (number uint64, wait time.Duration) {
	period := m.cfg.wavePeriod()
	number = uint64(now.UnixNano()/int64(period)) + 1
	return number, time.Unix(0, int64(number)*int64(period)).Sub(now)
}

// newMessage returns a message with the fields that all messages have in common. The
// caller must hold m.mu.
func (m *Membership) newMessage(v *View, now time.Time) *crewpb.Gossip {
	g := &crewpb.Gossip{
		Sender:   Key(v.self.ID),
		Digest:   v.Digest(),
		AtMs:     uint64(now.UnixMilli()),
		ListAtMs: unixMillis(m.listAt),
	}
	if m.deps.DocumentVersion != nil {
		g.DocumentVersion = m.deps.DocumentVersion()
	}
	m.appendUpdates(g, v, now)
	return g
}

func unixMillis(t time.Time) uint64 {
	if t.IsZero() {
		return 0
	}
	return uint64(t.UnixMilli())
}

func (m *Membership) appendUpdates(g *crewpb.Gossip, v *View, now time.Time) {
	names := make([]string, 0, len(m.updates))
	for name, expires := range m.updates {
		if now.After(expires) {
			delete(m.updates, name)
			continue
		}
		names = append(names, name)
	}
	m.rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	slices.SortStableFunc(names, func(a, b string) int {
		return cmp.Compare(updateRank(v, a), updateRank(v, b))
	})
	names = names[:min(len(names), maxUpdates)]
	for _, name := range names {
		if r, ok := v.instanceRecords[name]; ok {
			g.Instances = append(g.Instances, r.toProto())
		}
		if r, ok := v.serverRecords[name]; ok {
			g.Servers = append(g.Servers, r.toProto())
		}
	}
}

// updateRank orders leaving servers before all other updates, because a message may not
// have space for all of them.
func updateRank(v *View, name string) int {
	if v.serverRecords[name].isLeaving() {
		return 0
	}
	return 1
}

// receive merges the records of a peer's message and returns the peer, or nil if it is
// unknown. It ignores the loads, which are distributed by the next wave.
func (m *Membership) receive(g *crewpb.Gossip) *Instance {
	now := time.Now()
	m.mu.Lock()
	v := m.view.Load()
	if len(g.GetInstances()) > 0 || len(g.GetServers()) > 0 {
		v = m.commitLocked(true, []Event{recordsFromProto(g, now)})
	}
	m.updateListAt(g.GetListAtMs())
	m.mu.Unlock()
	peer := v.index.instancesByKey[g.GetSender()]
	if peer != nil && m.deps.OnPeerVersion != nil {
		m.deps.OnPeerVersion(peer.Address, g.GetDocumentVersion())
	}
	return peer
}

func (m *Membership) updateListAt(ms uint64) {
	at := time.UnixMilli(int64(ms))
	if at.After(m.listAt) && !at.After(time.Now().Add(m.cfg.listPeriod())) {
		m.listAt = at
	}
}
