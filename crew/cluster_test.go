package crew

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/balsamlock/balsamlock/crew/crewpb"
	"github.com/balsamlock/balsamlock/ledger"
	"github.com/balsamlock/balsamlock/plan"
)

const (
	platformHost          = "platform"
	sameDataCentreLatency = 500 * time.Microsecond
	sameRegionLatency     = 1500 * time.Microsecond
	crossRegionLatency    = 12 * time.Millisecond
	unreachableDelay      = time.Second
)

var errUnreachable = errors.New("no route to host")

// location is the place of a host in the network.
type location struct {
	host       string
	dataCentre string
	region     string
}

// cluster simulates instances, servers and the platform in virtual time. They are
// connected by links that can fail.
type cluster struct {
	c   *qt.C
	ctx context.Context
	wg  sync.WaitGroup
	mu  sync.Mutex
	// rand makes the test's choices. losses decides which messages are lost, so that
	// the choices do not depend on the number of messages.
	rand   *rand.Rand
	losses *rand.Rand
	cfg    Config
	// lossPercent is the percentage of messages between instances that are lost.
	lossPercent int
	// partitions holds pairs of regions, data centres or hosts that cannot reach each
	// other.
	partitions map[[2]string]bool
	// blockedDials holds ordered pairs of data centres of which the first cannot call
	// the second.
	blockedDials map[[2]string]bool
	nodes        map[string]*node
	startOrder   []*node
	servers      map[string]*fakeServer
	routing      Routing
	regions      map[string]string
	list         *fakeList
	traffic      *traffic
	startCount   int
}

// node is one running instance.
type node struct {
	location
	cluster *cluster
	self    Self
	m       *Membership
	cancel  context.CancelFunc
	frozen  atomic.Bool
	killed  atomic.Bool
}

func newCluster(ctx context.Context, c *qt.C, seed uint64, regions map[string]string) *cluster {
	cl := &cluster{
		c:            c,
		ctx:          ctx,
		rand:         rand.New(rand.NewPCG(seed, 1)),
		losses:       rand.New(rand.NewPCG(seed, 2)),
		cfg:          DefaultConfig(),
		partitions:   map[[2]string]bool{},
		blockedDials: map[[2]string]bool{},
		nodes:        map[string]*node{},
		servers:      map[string]*fakeServer{},
		regions:      regions,
		traffic:      &traffic{start: time.Now()},
	}
	cl.list = &fakeList{
		cluster: cl,
		states:  map[string]ledger.ListedInstance{},
	}
	byRegion := map[string][]string{}
	for dataCentre, region := range regions {
		byRegion[region] = append(byRegion[region], dataCentre)
	}
	for region, names := range byRegion {
		slices.Sort(names)
		cl.routing.Regions = append(cl.routing.Regions, plan.Region{
			Name:        region,
			DataCentres: names,
		})
	}
	return cl
}

func unorderedPair(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

func (cl *cluster) partition(a, b string) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.partitions[unorderedPair(a, b)] = true
}

func (cl *cluster) heal(a, b string) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	delete(cl.partitions, unorderedPair(a, b))
}

// transmit delays a message by the latency between two locations. It returns
// errUnreachable after unreachableDelay if the locations are partitioned, or if lossy is
// set and the message is lost.
func (cl *cluster) transmit(ctx context.Context, from, to location, lossy bool) error {
	cl.mu.Lock()
	partitioned := cl.partitions[unorderedPair(from.dataCentre, to.dataCentre)] || cl.partitions[unorderedPair(from.host, to.host)] ||
		cl.partitions[unorderedPair(from.region, to.region)] || cl.partitions[unorderedPair(from.host, to.dataCentre)] || cl.partitions[unorderedPair(from.dataCentre, to.host)]
	lost := lossy && cl.losses.IntN(100) < cl.lossPercent
	cl.mu.Unlock()
	if partitioned || lost {
		if !sleep(ctx, unreachableDelay) {
			return ctx.Err()
		}
		return errUnreachable
	}
	if !sleep(ctx, latency(from, to)) {
		return ctx.Err()
	}
	return nil
}

// canDial reports whether one location can open connections to another.
func (cl *cluster) canDial(from, to location) bool {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return !cl.blockedDials[[2]string{from.dataCentre, to.dataCentre}]
}

func latency(from, to location) time.Duration {
	switch {
	case from.dataCentre == to.dataCentre:
		return sameDataCentreLatency
	case from.region == to.region:
		return sameRegionLatency
	default:
		return crossRegionLatency
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// startNode starts an instance at an address. It replaces an earlier instance there.
func (cl *cluster) startNode(dataCentre, host string) *node {
	cl.startCount++
	n := &node{
		location: location{
			host:       host,
			dataCentre: dataCentre,
			region:     cl.regions[dataCentre],
		},
		cluster: cl,
		self: Self{
			ID:         fmt.Sprintf("%s#%d", host, cl.startCount),
			Address:    host + ":80",
			DataCentre: dataCentre,
			Region:     cl.regions[dataCentre],
		},
	}
	n.m = New(cl.cfg, Deps{
		Self:     n.self,
		List:     fakeListClient{node: n},
		Reporter: n.reporter,
		Dial:     func(address string) crewpb.Crew { return &peerClient{from: n, to: address} },
		Holds: func(_ string, attempts []string) []string {
			return attempts[:min(1, len(attempts))]
		},
		Seed: cl.rand.Uint64(),
	})
	n.m.UseRouting(cl.routing)
	ctx, cancel := context.WithCancel(cl.ctx)
	n.cancel = cancel
	cl.mu.Lock()
	cl.nodes[n.self.Address] = n
	cl.startOrder = append(cl.startOrder, n)
	cl.mu.Unlock()
	cl.list.set(ledger.ListedInstance{
		ID:         n.self.ID,
		Kind:       "entry",
		Address:    n.self.Address,
		DataCentre: dataCentre,
		State:      ledger.InstanceLive,
	})
	cl.goRun(func() error { return n.m.Run(ctx) })
	return n
}

func (cl *cluster) goRun(run func() error) {
	cl.wg.Add(1)
	go func() {
		defer cl.wg.Done()
		_ = run()
	}()
}

// freeze stops an instance as SIGSTOP does: it keeps its state, and calls to it time
// out.
func (cl *cluster) freeze(n *node) {
	n.frozen.Store(true)
	n.cancel()
}

// resume continues a frozen instance with the state it had.
func (cl *cluster) resume(n *node) {
	ctx, cancel := context.WithCancel(cl.ctx)
	n.cancel = cancel
	n.frozen.Store(false)
	cl.goRun(func() error {
		return n.m.withTasks(ctx, n.m.loop)
	})
}

// kill ends an instance without announcing it. The platform's list still contains the
// instance until the test removes it.
func (cl *cluster) kill(n *node) {
	n.killed.Store(true)
	n.cancel()
}

// stopAll ends all instances.
func (cl *cluster) stopAll(cancel context.CancelFunc) {
	cancel()
	cl.wg.Wait()
}

func (n *node) reporter(server *Server) Reporter {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	fake := n.cluster.servers[server.Name]
	if fake == nil {
		return nil
	}
	return fakeReporter{
		node:   n,
		server: fake,
	}
}

// peerClient calls a peer over the simulated links.
type peerClient struct {
	from *node
	to   string
}

func (l *peerClient) target() *node {
	l.from.cluster.mu.Lock()
	defer l.from.cluster.mu.Unlock()
	return l.from.cluster.nodes[l.to]
}

func (l *peerClient) call(ctx context.Context, req proto.Message, handle func(n *node, raw []byte) (proto.Message, error), into proto.Message) error {
	target := l.target()
	if l.from.killed.Load() || l.from.frozen.Load() {
		return errUnreachable
	}
	raw, err := proto.Marshal(req)
	if err != nil {
		return err
	}
	cl := l.from.cluster
	if target == nil || target.killed.Load() {
		return errors.New("connection refused")
	}
	if !cl.canDial(l.from.location, target.location) {
		return errUnreachable
	}
	cl.traffic.count(l.from.location, target.location, len(raw), false)
	if err := cl.transmit(ctx, l.from.location, target.location, true); err != nil {
		return err
	}
	if target.frozen.Load() {
		<-ctx.Done()
		return ctx.Err()
	}
	reply, err := handle(target, raw)
	if err != nil {
		return err
	}
	raw, err = proto.Marshal(reply)
	if err != nil {
		return err
	}
	cl.traffic.count(target.location, l.from.location, len(raw), true)
	if err := cl.transmit(ctx, target.location, l.from.location, true); err != nil {
		return err
	}
	return proto.Unmarshal(raw, into)
}

func (l *peerClient) Heartbeat(ctx context.Context, req *crewpb.Gossip) (*crewpb.Gossip, error) {
	reply := &crewpb.Gossip{}
	err := l.call(ctx, req, func(n *node, raw []byte) (proto.Message, error) {
		got := &crewpb.Gossip{}
		if err := proto.Unmarshal(raw, got); err != nil {
			return nil, err
		}
		return n.m.Heartbeat(ctx, got)
	}, reply)
	return reply, err
}

func (l *peerClient) Sync(ctx context.Context, req *crewpb.SyncRequest) (*crewpb.SyncReply, error) {
	reply := &crewpb.SyncReply{}
	err := l.call(ctx, req, func(n *node, raw []byte) (proto.Message, error) {
		got := &crewpb.SyncRequest{}
		if err := proto.Unmarshal(raw, got); err != nil {
			return nil, err
		}
		return n.m.Sync(ctx, got)
	}, reply)
	return reply, err
}

func (l *peerClient) Holds(ctx context.Context, req *crewpb.HoldsRequest) (*crewpb.HoldsReply, error) {
	reply := &crewpb.HoldsReply{}
	err := l.call(ctx, req, func(n *node, raw []byte) (proto.Message, error) {
		got := &crewpb.HoldsRequest{}
		if err := proto.Unmarshal(raw, got); err != nil {
			return nil, err
		}
		return n.m.Holds(ctx, got)
	}, reply)
	return reply, err
}

var _ crewpb.Crew = (*peerClient)(nil)

// live returns the nodes that were not killed.
func (cl *cluster) live() []*node {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	var nodes []*node
	for _, n := range cl.startOrder {
		if !n.killed.Load() {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// eventually waits until all live nodes meet a condition and returns how long that
// took. It fails the test after the limit.
func (cl *cluster) eventually(limit time.Duration, what string, ok func(n *node) bool) time.Duration {
	cl.c.Helper()
	const step = 20 * time.Millisecond
	start := time.Now()
	for {
		failing := slices.IndexFunc(cl.live(), func(n *node) bool { return !ok(n) })
		if failing < 0 {
			return time.Since(start)
		}
		if time.Since(start) > limit {
			cl.c.Fatalf("%s: node %s does not meet the condition after %s", what, cl.live()[failing].self.ID, limit)
		}
		time.Sleep(step)
	}
}
