package plan_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsamlock/balsamlock/ledger"
	"github.com/balsamlock/balsamlock/plan"
)

// fleet is a set of instances that tell each other their versions every second.
type fleet struct {
	c   *qt.C
	log *fakeLog
	cfg plan.Config
	// pause is the time between two heartbeats.
	pause time.Duration
	// quiet stops the instances from telling their versions.
	quiet bool

	mu      sync.Mutex
	members map[string]*member
	started int
	// apart holds pairs of regions that cannot reach each other.
	apart map[[2]string]bool
	// seen holds the versions that any instance took, with its digest.
	seen map[plan.Version]string
}

type member struct {
	name     string
	region   string
	follower *plan.Follower
	stop     context.CancelFunc
	done     chan struct{}
	// took holds when each version came into force.
	mu   sync.Mutex
	took map[plan.Version]time.Time
}

func testConfig() plan.Config {
	cfg := plan.DefaultConfig()
	cfg.SnapshotAgeS = 600
	cfg.SnapshotSpreadS = 60
	return cfg
}

func newFleet(c *qt.C, log *fakeLog, n int) *fleet {
	f := &fleet{
		c:       c,
		log:     log,
		cfg:     testConfig(),
		members: map[string]*member{},
		seen:    map[plan.Version]string{},
		pause:   time.Second,
	}
	for range n {
		f.start()
	}
	return f
}

// newSlowFleet returns instances that poll and talk seldom, for hours of virtual
// time.
func newSlowFleet(c *qt.C, log *fakeLog, n int) *fleet {
	f := newFleet(c, log, 0)
	f.cfg.Log.PollMS = 6000
	f.cfg.Log.MaxBackOffMS = 6000
	f.pause = 5 * time.Second
	for range n {
		f.start()
	}
	return f
}

func (f *fleet) start() *member { return f.startIn("", f.log) }

func (f *fleet) startIn(region string, log ledger.Log) *member {
	f.mu.Lock()
	f.started++
	m := &member{
		name:   fmt.Sprintf("instance-%d", f.started),
		region: region,
		done:   make(chan struct{}),
		took:   map[plan.Version]time.Time{},
	}
	f.mu.Unlock()
	m.follower = plan.NewFollower(plan.Deps{
		Log:             log,
		Peers:           peersOf{fleet: f, member: m},
		AppendSnapshots: true,
		Config:          f.cfg,
		OnChange:        func(current *plan.Current) { f.note(m, current) },
	})
	ctx, cancel := context.WithCancel(context.Background())
	m.stop = cancel
	f.mu.Lock()
	f.members[m.name] = m
	f.mu.Unlock()
	go func() {
		defer close(m.done)
		if !f.quiet {
			go f.gossip(ctx, m)
		}
		_ = m.follower.Run(ctx)
	}()
	return m
}

// note checks that one version stands for one document everywhere.
func (f *fleet) note(m *member, current *plan.Current) {
	m.mu.Lock()
	m.took[current.Accepted.Version] = time.Now()
	m.mu.Unlock()
	f.mu.Lock()
	defer f.mu.Unlock()
	digest, ok := f.seen[current.Accepted.Version]
	f.c.Check(!ok || digest == current.Accepted.Digest, qt.IsTrue, qt.Commentf("version %d", current.Accepted.Version))
	f.seen[current.Accepted.Version] = current.Accepted.Digest
}

func (f *fleet) gossip(ctx context.Context, m *member) {
	for {
		select {
		case <-time.After(f.pause):
		case <-ctx.Done():
			return
		}
		for _, other := range f.list() {
			if f.reaches(m, other) {
				other.follower.Advertised(m.name, m.follower.Version())
			}
		}
	}
}

func (f *fleet) list() []*member {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []*member
	for _, m := range f.members {
		list = append(list, m)
	}
	return list
}

func (f *fleet) kill(m *member) {
	f.mu.Lock()
	delete(f.members, m.name)
	f.mu.Unlock()
	m.stop()
	<-m.done
}

func (f *fleet) stop() {
	for _, m := range f.list() {
		f.kill(m)
	}
}

// cut separates two regions, or joins them.
func (f *fleet) cut(a, b string, apart bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.apart == nil {
		f.apart = map[[2]string]bool{}
	}
	f.apart[[2]string{a, b}] = apart
	f.apart[[2]string{b, a}] = apart
}

func (f *fleet) reaches(a, b *member) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.apart[[2]string{a.region, b.region}]
}

// peersOf is how one member reaches the others.
type peersOf struct {
	fleet  *fleet
	member *member
}

// Newest asks an instance by its name.
func (p peersOf) Newest(_ context.Context, address string, have plan.Version) (plan.Snapshot, bool, error) {
	p.fleet.mu.Lock()
	m := p.fleet.members[address]
	p.fleet.mu.Unlock()
	if m == nil || !p.fleet.reaches(p.member, m) {
		return plan.Snapshot{}, false, errors.New("peer out of reach")
	}
	snapshot := m.follower.State().Snapshot()
	return snapshot, snapshot.Newest().Version > have, nil
}

var _ plan.Peers = peersOf{}

// settle waits until every instance has a version in force.
func (f *fleet) settle(version plan.Version) {
	f.c.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
	defer cancel()
	for _, m := range f.list() {
		f.c.Assert(m.follower.Wait(ctx, version), qt.IsNil, qt.Commentf("%s", m.name))
	}
}

// checkAgainstOracle checks that every instance holds the last document of the
// oracle and that every version ever in force is one of the oracle's.
func (f *fleet) checkAgainstOracle() {
	f.c.Helper()
	accepted := f.log.oracle()
	f.c.Assert(accepted, qt.Not(qt.HasLen), 0)
	last := accepted[len(accepted)-1]
	f.settle(last.Version)
	for _, m := range f.list() {
		f.c.Assert(m.follower.Current().Accepted, qt.Equals, last, qt.Commentf("%s", m.name))
	}
	digests := map[plan.Version]string{}
	for _, a := range accepted {
		digests[a.Version] = a.Digest
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for version, digest := range f.seen {
		f.c.Assert(digests[version], qt.Equals, digest, qt.Commentf("version %d was in force", version))
	}
}

// document returns a small document whose content depends on weight.
func document(weight int) plan.Document {
	return plan.Document{
		FormatVersion: plan.FormatVersion,
		Services: []plan.Service{{
			Name: "workshop-desk",
			Calls: []plan.Call{{
				Name:       "lookup",
				Method:     "GET",
				PathPrefix: "/panels",
				Repeatable: true,
				DeadlineMS: 1000,
			}},
		}},
		Callers: []plan.Caller{{
			Name:      "counter",
			KeySHA256: []string{fmt.Sprintf("%064x", 1)},
			Priority:  5,
			Weight:    weight%1000 + 1,
			Services:  []string{plan.All},
		}},
	}
}

// publish publishes a document on the follower's base until it is decided.
func publish(f *plan.Follower, log ledger.Log, document plan.Document, within time.Duration) plan.Outcome {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	return plan.NewPublisher(log, f).Publish(ctx, document.WithBase(f.State().Newest().Digest))
}

func mustPublish(c *qt.C, f *plan.Follower, log ledger.Log, weight int) plan.Accepted {
	c.Helper()
	outcome := publish(f, log, document(weight), time.Minute)
	published, ok := outcome.(plan.Published)
	c.Assert(ok, qt.IsTrue, qt.Commentf("%#v", outcome))
	return published.Accepted
}

// testingT returns the test behind c, for synctest.
func testingT(c *qt.C) *testing.T { return c.TB.(*testing.T) }
