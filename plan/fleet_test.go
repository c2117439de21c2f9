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

// fleet is a set of instances that send heartbeats with their versions to each
// other.
type fleet struct {
	c   *qt.C
	log *fakeLog
	cfg plan.Config
	// heartbeatInterval is the time between two heartbeats.
	heartbeatInterval time.Duration
	// noHeartbeats disables the heartbeats, so that instances do not learn
	// versions from each other.
	noHeartbeats bool

	mu      sync.Mutex
	members map[string]*member
	started int
	// partitioned holds the pairs of regions that cannot reach each other.
	partitioned map[[2]string]bool
	// activeDigests maps the versions that any instance has activated to their
	// digests.
	activeDigests map[plan.Version]string
}

type member struct {
	name     string
	region   string
	follower *plan.Follower
	stop     context.CancelFunc
	done     chan struct{}
	mu       sync.Mutex
	// activatedAt maps each version to its activation time.
	activatedAt map[plan.Version]time.Time
}

func testConfig() plan.Config {
	cfg := plan.DefaultConfig()
	cfg.SnapshotAgeS = 600
	cfg.SnapshotSpreadS = 60
	return cfg
}

func newFleet(c *qt.C, log *fakeLog, n int) *fleet {
	f := &fleet{
		c:                 c,
		log:               log,
		cfg:               testConfig(),
		members:           map[string]*member{},
		activeDigests:     map[plan.Version]string{},
		heartbeatInterval: time.Second,
	}
	for range n {
		f.start()
	}
	return f
}

// newSlowFleet returns a fleet with long poll and heartbeat intervals, for
// tests that run for hours of virtual time.
func newSlowFleet(c *qt.C, log *fakeLog, n int) *fleet {
	f := newFleet(c, log, 0)
	f.cfg.Log.PollMS = 6000
	f.cfg.Log.MaxBackOffMS = 6000
	f.heartbeatInterval = 5 * time.Second
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
		name:        fmt.Sprintf("instance-%d", f.started),
		region:      region,
		done:        make(chan struct{}),
		activatedAt: map[plan.Version]time.Time{},
	}
	f.mu.Unlock()
	m.follower = plan.NewFollower(plan.Deps{
		Log:             log,
		Peers:           memberPeers{fleet: f, member: m},
		AppendSnapshots: true,
		Config:          f.cfg,
		OnChange:        func(current *plan.Current) { f.recordActivation(m, current) },
	})
	ctx, cancel := context.WithCancel(context.Background())
	m.stop = cancel
	f.mu.Lock()
	f.members[m.name] = m
	f.mu.Unlock()
	go func() {
		defer close(m.done)
		if !f.noHeartbeats {
			go f.sendHeartbeats(ctx, m)
		}
		_ = m.follower.Run(ctx)
	}()
	return m
}

// recordActivation records that a member activated a document and checks that a
// version is the same document on all members.
func (f *fleet) recordActivation(m *member, current *plan.Current) {
	m.mu.Lock()
	m.activatedAt[current.Accepted.Version] = time.Now()
	m.mu.Unlock()
	f.mu.Lock()
	defer f.mu.Unlock()
	digest, ok := f.activeDigests[current.Accepted.Version]
	f.c.Check(!ok || digest == current.Accepted.Digest, qt.IsTrue, qt.Commentf("version %d", current.Accepted.Version))
	f.activeDigests[current.Accepted.Version] = current.Accepted.Digest
}

func (f *fleet) sendHeartbeats(ctx context.Context, m *member) {
	for {
		select {
		case <-time.After(f.heartbeatInterval):
		case <-ctx.Done():
			return
		}
		for _, other := range f.list() {
			if f.canReach(m, other) {
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

func (f *fleet) stopMember(m *member) {
	f.mu.Lock()
	delete(f.members, m.name)
	f.mu.Unlock()
	m.stop()
	<-m.done
}

func (f *fleet) stop() {
	for _, m := range f.list() {
		f.stopMember(m)
	}
}

// setPartition partitions two regions, or reconnects them.
func (f *fleet) setPartition(a, b string, partitioned bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.partitioned == nil {
		f.partitioned = map[[2]string]bool{}
	}
	f.partitioned[[2]string{a, b}] = partitioned
	f.partitioned[[2]string{b, a}] = partitioned
}

func (f *fleet) canReach(a, b *member) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.partitioned[[2]string{a.region, b.region}]
}

// memberPeers implements plan.Peers for one member. Addresses are the names of
// members.
type memberPeers struct {
	fleet  *fleet
	member *member
}

// Newest returns the snapshot of the member with the given name.
func (p memberPeers) Newest(_ context.Context, address string, have plan.Version) (plan.Snapshot, bool, error) {
	p.fleet.mu.Lock()
	m := p.fleet.members[address]
	p.fleet.mu.Unlock()
	if m == nil || !p.fleet.canReach(p.member, m) {
		return plan.Snapshot{}, false, errors.New("peer is unreachable")
	}
	snapshot := m.follower.State().Snapshot()
	return snapshot, snapshot.Newest().Version > have, nil
}

var _ plan.Peers = memberPeers{}

// waitForVersion waits until a version is active on every member.
func (f *fleet) waitForVersion(version plan.Version) {
	f.c.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
	defer cancel()
	for _, m := range f.list() {
		f.c.Assert(m.follower.Wait(ctx, version), qt.IsNil, qt.Commentf("%s", m.name))
	}
}

// checkAgainstLog checks that the newest accepted document of the log is active
// on every member, and that every version that was ever active was accepted.
func (f *fleet) checkAgainstLog() {
	f.c.Helper()
	accepted := f.log.acceptedDocuments()
	f.c.Assert(accepted, qt.Not(qt.HasLen), 0)
	last := accepted[len(accepted)-1]
	f.waitForVersion(last.Version)
	for _, m := range f.list() {
		f.c.Assert(m.follower.Current().Accepted, qt.Equals, last, qt.Commentf("%s", m.name))
	}
	digests := map[plan.Version]string{}
	for _, a := range accepted {
		digests[a.Version] = a.Digest
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for version, digest := range f.activeDigests {
		f.c.Assert(digests[version], qt.Equals, digest, qt.Commentf("version %d was active", version))
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

// publish publishes a document on the follower's current base and waits for the
// outcome.
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

// testingT returns the testing.T of c, which synctest needs.
func testingT(c *qt.C) *testing.T { return c.TB.(*testing.T) }
