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
	// newsFor is how long a change is passed on to every peer met.
	newsFor = 3 * time.Second
	// maxNews bounds the changes in one message; a sync brings the rest.
	maxNews = 128
	// workers bounds the polls and exchanges at one time.
	workers = 32
)

// Reporter is asked for the load of one backend server; kiln.Engine is one.
type Reporter interface {
	Load(ctx context.Context) (kiln.LoadReport, error)
}

// EventSource is a Reporter with cache events; kiln.Engine is one.
type EventSource interface {
	Events(ctx context.Context, after uint64) ([]kiln.CacheEvent, error)
}

// Deps are what a Membership works with. Those marked optional may be nil.
type Deps struct {
	Self Self
	// List is the platform's instance list, optional.
	List ledger.Instances
	// Reporter returns the client of a backend server, nil when the server
	// reports nothing. It is called for each poll.
	Reporter func(server *Server) Reporter
	// Dial returns the client of a peer's IP:port, which proves itself by the
	// peer key. It must not block.
	Dial func(address string) crewpb.Crew
	// DocumentVersion returns the version of the routing document in force,
	// optional.
	DocumentVersion func() uint64
	// OnPeerVersion is told the version that a peer has in force, optional. It
	// must not block.
	OnPeerVersion func(address string, version uint64)
	// OnCacheEvents is told the cache events of the engines that this instance
	// polls, optional. It must not block.
	OnCacheEvents func(server string, events []kiln.CacheEvent)
	// Holds returns those of the attempts that this instance holds on an engine
	// by IP:port, optional.
	Holds func(engine string, attempts []string) []string
	// Metrics counts messages, failures and changes, optional.
	Metrics *metrics.Metrics
	// Seed makes choices of peers repeatable; 0 draws one.
	Seed uint64
}

// Membership keeps the view current: it merges the platform's list, the
// servers' own reports and what peers tell. It is safe for concurrent use.
type Membership struct {
	cfg  Config
	deps Deps
	view atomic.Pointer[View]

	mu       sync.Mutex
	rand     *rand.Rand
	news     map[string]time.Time
	outbox   outbox
	trackers map[string]*tracker
	events   map[string]uint64
	waves    map[uint64]*wave
	last     *result
	listAt   time.Time
	listing  bool
	// listFailed is set while the list can't be read, so that this is logged once.
	listFailed bool
	lastTick   time.Time
	graceEnd   time.Time
	differs    int
	synced     time.Time
	// syncWindow and syncCount bound the syncs answered.
	syncWindow time.Time
	syncCount  int
	ready      chan struct{}
	isReady    bool

	servers atomic.Pointer[serverValues]
	tasks   atomic.Pointer[tasks]
}

// New returns a Membership whose view holds the instance itself; Run keeps it
// current.
func New(cfg Config, deps Deps) *Membership {
	seed := deps.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	if deps.Metrics == nil {
		deps.Metrics = metrics.New("")
	}
	m := &Membership{
		cfg:      cfg,
		deps:     deps,
		rand:     rand.New(rand.NewPCG(seed, 0)),
		news:     map[string]time.Time{},
		outbox:   newOutbox(),
		trackers: map[string]*tracker{},
		events:   map[string]uint64{},
		waves:    map[uint64]*wave{},
		ready:    make(chan struct{}),
	}
	m.view.Store(NewView(deps.Self, time.Now()))
	m.addNews([]string{deps.Self.ID})
	return m
}

// View returns the present snapshot.
func (m *Membership) View() *View { return m.view.Load() }

// Servers returns the backend servers of the present view by value. The slice is
// immutable and stays the same until a server or its load changes.
func (m *Membership) Servers() []Server {
	from := m.view.Load().servers
	cached := m.servers.Load()
	if cached != nil && slices.Equal(cached.from, from) {
		return cached.values
	}
	next := &serverValues{
		from:   from,
		values: make([]Server, 0, len(from)),
	}
	for _, server := range from {
		next.values = append(next.values, *server)
	}
	m.servers.Store(next)
	return next.values
}

// serverValues are the servers of a view by value.
type serverValues struct {
	from   []*Server
	values []Server
}

// MayPlace is View.MayPlace on the present view.
func (m *Membership) MayPlace(server string) bool { return m.View().MayPlace(server) }

// Ready is closed once the members were learned from the platform's list or
// from a peer, or once neither answered for the time of a lease.
func (m *Membership) Ready() <-chan struct{} { return m.ready }

// UseRouting puts the backend servers of a routing document into the view.
func (m *Membership) UseRouting(routing Routing) {
	m.commit(RoutingAccepted{
		Routing: routing,
	})
}

// ReportLeaving tells that an incarnation of a backend server takes no new
// work, such as after its refusal of a request; 0 stands for the one known. It
// doesn't block.
func (m *Membership) ReportLeaving(server string, incarnation uint64) {
	m.commit(SaidLeaving{
		At:          time.Now(),
		Server:      server,
		Incarnation: incarnation,
	})
}

// commit applies events, swaps the view and keeps what changed as news.
func (m *Membership) commit(events ...Event) *View {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.commitLocked(true, events)
}

func (m *Membership) commitLocked(isNews bool, events []Event) *View {
	next, changed := applyAll(m.view.Load(), events)
	m.view.Store(next)
	if isNews {
		m.addNews(changed)
	}
	return next
}

func (m *Membership) addNews(names []string) {
	expires := time.Now().Add(newsFor)
	for _, name := range names {
		m.news[name] = expires
	}
}

// Run joins the others and keeps the view current until ctx ends.
func (m *Membership) Run(ctx context.Context) error {
	return m.withTasks(ctx, func(ctx context.Context) error {
		m.join(ctx)
		m.tick(time.Now())
		return m.loop(ctx)
	})
}

func (m *Membership) withTasks(ctx context.Context, run func(ctx context.Context) error) error {
	ctx, cancel := context.WithCancel(ctx)
	t := newTasks(ctx, workers)
	m.tasks.Store(t)
	defer t.stop()
	defer cancel()
	return run(ctx)
}

// loop takes part in the waves, one after the other.
func (m *Membership) loop(ctx context.Context) error {
	for {
		number, wait := m.nextWave(time.Now())
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
			if m.wasFrozen(time.Now()) {
				m.join(ctx)
			}
			m.runWave(ctx, number)
		case <-ctx.Done():
			timer.Stop()
			return nil
		}
	}
}

func (m *Membership) tick(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastTick = now
	m.commitLocked(true, []Event{
		Ticked{
			Now: now,
		},
	})
}

// wasFrozen tells whether this process missed so many waves that the others no
// longer pass on what it hasn't heard; it must join again before its view counts
// as current.
func (m *Membership) wasFrozen(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.lastTick) <= frozenWaves*m.cfg.wavePeriod() {
		return false
	}
	m.graceEnd = now.Add(2 * instanceLease)
	return true
}

// nextWave returns the wave that starts next; waves are aligned to the clock.
func (m *Membership) nextWave(now time.Time) (number uint64, wait time.Duration) {
	period := m.cfg.wavePeriod()
	number = uint64(now.UnixNano()/int64(period)) + 1
	return number, time.Unix(0, int64(number)*int64(period)).Sub(now)
}

// compose starts a message with what every message carries.
func (m *Membership) compose(v *View, now time.Time) *crewpb.Gossip {
	g := &crewpb.Gossip{
		Sender:   Key(v.self.ID),
		Digest:   v.Digest(),
		AtMs:     uint64(now.UnixMilli()),
		ListAtMs: milliseconds(m.listAt),
	}
	if m.deps.DocumentVersion != nil {
		g.DocumentVersion = m.deps.DocumentVersion()
	}
	m.composeNews(g, v, now)
	return g
}

func milliseconds(t time.Time) uint64 {
	if t.IsZero() {
		return 0
	}
	return uint64(t.UnixMilli())
}

func (m *Membership) composeNews(g *crewpb.Gossip, v *View, now time.Time) {
	names := make([]string, 0, len(m.news))
	for name, expires := range m.news {
		if now.After(expires) {
			delete(m.news, name)
			continue
		}
		names = append(names, name)
	}
	m.rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	slices.SortStableFunc(names, func(a, b string) int {
		return cmp.Compare(newsRank(v, a), newsRank(v, b))
	})
	names = names[:min(len(names), maxNews)]
	for _, name := range names {
		if r, ok := v.instanceRecords[name]; ok {
			g.Instances = append(g.Instances, r.wire())
		}
		if r, ok := v.serverRecords[name]; ok {
			g.Servers = append(g.Servers, r.wire())
		}
	}
}

// newsRank puts servers that are leaving before other news.
func newsRank(v *View, name string) int {
	if v.serverRecords[name].isLeaving() {
		return 0
	}
	return 1
}

// receive merges what a peer sent, but for the loads, which go with the next
// wave, and returns the peer, nil when it is unknown.
func (m *Membership) receive(g *crewpb.Gossip) *Instance {
	now := time.Now()
	m.mu.Lock()
	v := m.view.Load()
	if len(g.GetInstances()) > 0 || len(g.GetServers()) > 0 {
		v = m.commitLocked(true, []Event{heardOf(g, now)})
	}
	m.heardListAt(g.GetListAtMs())
	m.mu.Unlock()
	peer := v.index.instanceKey[g.GetSender()]
	if peer != nil && m.deps.OnPeerVersion != nil {
		m.deps.OnPeerVersion(peer.Address, g.GetDocumentVersion())
	}
	return peer
}

func (m *Membership) heardListAt(ms uint64) {
	at := time.UnixMilli(int64(ms))
	if at.After(m.listAt) && !at.After(time.Now().Add(m.cfg.listPeriod())) {
		m.listAt = at
	}
}
