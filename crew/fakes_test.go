package crew

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/balsamlock/balsamlock/kiln"
	"github.com/balsamlock/balsamlock/ledger"
	"github.com/balsamlock/balsamlock/plan"
)

// fakeServer is a backend server that reports its load.
type fakeServer struct {
	location
	mu     sync.Mutex
	report kiln.LoadReport
	down   bool
	// busy servers report different values each time.
	busy  bool
	polls int
}

func (s *fakeServer) set(change func(r *kiln.LoadReport)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.report)
}

func (s *fakeServer) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// change sets the load of a busy server to the next values, which vary as they do near
// peak load.
func (s *fakeServer) change() {
	if !s.busy {
		return
	}
	s.polls++
	if s.report.Role == kiln.RolePrefill {
		s.report.SlotsUsed = 0
		s.report.StepMS = 0
		s.report.QueuedTokens = 2000 + s.polls*977%30_000
		s.report.TokensPerSecond = float64(20_000 + s.polls*313%5000)
		return
	}
	s.report.SlotsUsed = 12 + s.polls*7%9
	s.report.PiecesUsed = 250 + s.polls*31%140
	s.report.StepMS = 18 + float64(s.polls*3%24)/4
}

type fakeReporter struct {
	node   *node
	server *fakeServer
}

func (p fakeReporter) Load(ctx context.Context) (kiln.LoadReport, error) {
	cl := p.node.cluster
	if err := cl.transmit(ctx, p.node.location, p.server.location, false); err != nil {
		return kiln.LoadReport{}, err
	}
	p.server.mu.Lock()
	p.server.change()
	r := p.server.report
	down := p.server.down
	p.server.mu.Unlock()
	if down {
		return kiln.LoadReport{}, errors.New("connection refused")
	}
	r.At = time.Now()
	cl.traffic.countPoll(p.node.location)
	return r, cl.transmit(ctx, p.server.location, p.node.location, false)
}

// addServer adds an engine to the routing document of the instances that are started
// afterwards.
func (cl *cluster) addServer(dataCentre, name string, role kiln.Role) *fakeServer {
	s := &fakeServer{
		location: location{
			host:       name,
			dataCentre: dataCentre,
			region:     cl.regions[dataCentre],
		},
		report: kiln.LoadReport{
			Incarnation: 1,
			Role:        role,
			Slots:       20,
			Pieces:      400,
			Models:      []string{"draft-7b@1"},
		},
	}
	cl.servers[name] = s
	pool := fmt.Sprintf("%s-%s", dataCentre, role)
	if !slices.ContainsFunc(cl.routing.Pools, func(p plan.Pool) bool { return p.Name == pool }) {
		cl.routing.Pools = append(cl.routing.Pools, plan.Pool{
			Name:       pool,
			Model:      "draft-7b",
			DataCentre: dataCentre,
			Role:       string(role),
		})
	}
	cl.routing.Servers = append(cl.routing.Servers, plan.Server{
		Name:       name,
		Address:    name + ":80",
		DataCentre: dataCentre,
		Kind:       plan.KindEngine,
		Pool:       pool,
		Slots:      20,
	})
	cl.list.set(ledger.ListedInstance{
		ID:          name + "#1",
		Kind:        "engine",
		Name:        name,
		Address:     name + ":80",
		DataCentre:  dataCentre,
		State:       ledger.InstanceLive,
		Incarnation: 1,
	})
	return s
}

// fakeList is the platform's list.
type fakeList struct {
	cluster *cluster
	mu      sync.Mutex
	states  map[string]ledger.ListedInstance
	down    bool
	reads   int
}

func (l *fakeList) set(entry ledger.ListedInstance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.states[entry.ID] = entry
}

func (l *fakeList) remove(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.states, id)
}

func (l *fakeList) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

type fakeListClient struct{ node *node }

func (l fakeListClient) List(ctx context.Context) ([]ledger.ListedInstance, error) {
	cl := l.node.cluster
	platform := location{
		host:       platformHost,
		dataCentre: platformHost,
		region:     l.node.region,
	}
	if err := cl.transmit(ctx, l.node.location, platform, false); err != nil {
		return nil, err
	}
	cl.list.mu.Lock()
	defer cl.list.mu.Unlock()
	if cl.list.down {
		return nil, errors.New("platform down")
	}
	cl.list.reads++
	entries := make([]ledger.ListedInstance, 0, len(cl.list.states))
	for _, entry := range cl.list.states {
		entries = append(entries, entry)
	}
	cl.traffic.countList(l.node.location, entries)
	return entries, nil
}
