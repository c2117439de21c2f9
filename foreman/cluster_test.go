package foreman_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/phuslu/log"

	"github.com/balsamlock/balsamlock/common/metrics"
	"github.com/balsamlock/balsamlock/foreman"
	"github.com/balsamlock/balsamlock/kiln"
	"github.com/balsamlock/balsamlock/ledger"
	"github.com/balsamlock/balsamlock/standin"
)

func TestMain(m *testing.M) {
	log.DefaultLogger.SetLevel(log.ErrorLevel)
	os.Exit(m.Run())
}

const (
	controllerCount = 3
	engineCount     = 3
	lease           = 3 * time.Second
	maxStaleness    = 2 * time.Second
)

var errDown = errors.New("node is down")

// document holds the desired states of all engines, as a routing document defines them.
type document struct {
	offset  ledger.Offset
	at      time.Time
	desired []foreman.DesiredState
}

// cluster is a simulated data centre with engines and the controllers that give them orders.
type cluster struct {
	c             *qt.C
	checksFencing bool
	platform      *standin.Platform
	engines       []*standin.Engine
	nodes         []*node
	wg            sync.WaitGroup
	done          chan struct{}

	mu        sync.Mutex
	random    *rand.Rand
	documents []document
	// interruptions is the number of orders whose sender is still to be interrupted.
	// interruptBeforeOrder delays these orders between the issuer's last check and the
	// engine. crashOnInterrupt crashes the senders instead of pausing them.
	interruptions        int
	interruptBeforeOrder bool
	crashOnInterrupt     bool
}

// node is an instance with a controller.
type node struct {
	cluster *cluster
	id      string
	// documentDelay is the time after which the node sees a new document.
	documentDelay time.Duration
	ctx           context.Context
	cancel        context.CancelFunc
	claims        *foreman.ClaimTable
	follower      *ledger.Follower

	mu sync.Mutex
	// resumed is closed when the node resumes. It is nil if the node is not paused.
	resumed chan struct{}
	// downAt is when the node was paused or crashed.
	downAt   time.Time
	isolated bool
}

// testConfig sets a rate limit that the claims for loads reach often.
func testConfig() foreman.Config {
	cfg := foreman.DefaultConfig()
	cfg.LoadsPerMinute = 12
	cfg.LoadBurst = 3
	return cfg
}

func newCluster(c *qt.C, seed uint64, checksFencing bool) *cluster {
	cfg := standin.DefaultPlatformConfig()
	cfg.WeightBytesPerSecond = 1e9
	cfg.WeightBytes = 2e9
	cl := &cluster{
		c:             c,
		checksFencing: checksFencing,
		platform:      standin.NewPlatform(cfg),
		done:          make(chan struct{}),
		random:        rand.New(rand.NewPCG(seed, seed)),
	}
	for i := range engineCount {
		cl.engines = append(cl.engines, standin.NewEngine(cl.engineConfig(), standin.EngineDeps{
			Address: engineName(i),
			Peers:   standin.NewDirectory(),
			Weights: cl.platform,
		}))
	}
	cl.publish()
	for i := range controllerCount {
		cl.nodes = append(cl.nodes, cl.start(i))
	}
	return cl
}

func (cl *cluster) engineConfig() standin.EngineConfig {
	cfg := standin.DefaultEngineConfig()
	cfg.ChecksFencing = cl.checksFencing
	cfg.Models = []string{"draft@1"}
	return cfg
}

func engineName(i int) string { return fmt.Sprintf("10.0.1.%d:80", i+1) }

// publish adds a document with random versions and roles.
func (cl *cluster) publish() {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	roles := []kiln.Role{kiln.RolePrefill, kiln.RoleDecode, kiln.RoleBoth}
	d := document{
		offset: ledger.Offset(len(cl.documents)),
		at:     time.Now(),
	}
	for range engineCount {
		d.desired = append(d.desired, foreman.DesiredState{
			Role: roles[cl.random.IntN(len(roles))],
			Artifacts: []foreman.Artifact{
				{
					Name:    "draft",
					Version: fmt.Sprint(1 + cl.random.IntN(3)),
				},
				{
					Name:    fmt.Sprintf("adapter-%d", cl.random.IntN(2)),
					Version: "1",
					Adapter: true,
				},
			},
		})
	}
	cl.documents = append(cl.documents, d)
}

func (cl *cluster) latestDocument() document {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.documents[len(cl.documents)-1]
}

func (cl *cluster) intN(n int) int {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.random.IntN(n)
}

func (cl *cluster) sleepRandom(limit time.Duration) {
	time.Sleep(time.Duration(cl.intN(int(limit/time.Millisecond))) * time.Millisecond)
}

func (cl *cluster) start(i int) *node {
	ctx, cancel := context.WithCancel(context.Background())
	cfg := testConfig()
	n := &node{
		cluster:       cl,
		id:            fmt.Sprintf("node-%d", i),
		documentDelay: time.Duration(cl.intN(4000)) * time.Millisecond,
		ctx:           ctx,
		cancel:        cancel,
		claims:        foreman.NewClaimTable(cfg),
	}
	n.follower = ledger.NewFollower(ledger.FollowerDeps{
		Log:     n,
		Stream:  ledger.StreamControl,
		Handler: n.claims,
		Config:  ledger.DefaultFollowerConfig(),
	})
	controller := foreman.NewController(cfg, foreman.Deps{
		Instance: n.id,
		Claims:   n.claims,
		Follower: n.follower,
		Log:      n,
		Targets:  n,
		Members:  n,
		Metrics:  metrics.New(""),
	})
	cl.wg.Go(func() { _ = n.follower.Run(ctx) })
	cl.wg.Go(func() { _ = controller.Run(ctx) })
	cl.wg.Go(n.reserveSlots)
	return n
}

func (cl *cluster) stop() {
	close(cl.done)
	cl.platform.Faults().Set()
	for _, engine := range cl.engines {
		engine.Faults().Set()
	}
	for _, n := range cl.nodes {
		n.resume()
		n.cancel()
	}
	cl.wg.Wait()
}

func (n *node) pause() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.resumed == nil {
		n.resumed = make(chan struct{})
		n.downAt = time.Now()
	}
}

func (n *node) resume() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.resumed != nil {
		close(n.resumed)
		n.resumed = nil
		n.downAt = time.Time{}
	}
}

func (n *node) crash() {
	n.cancel()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.downAt = time.Now()
}

// waitWhilePaused blocks while the node is paused. It returns errDown if the node has
// crashed or was stopped.
func (n *node) waitWhilePaused() error {
	n.mu.Lock()
	resumed := n.resumed
	n.mu.Unlock()
	if resumed != nil {
		select {
		case <-resumed:
		case <-n.ctx.Done():
		}
	}
	if n.ctx.Err() != nil {
		return errDown
	}
	return nil
}

func (n *node) leaseExpired() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.downAt.IsZero() && time.Since(n.downAt) >= lease
}

// isIsolated reports whether the node sees no other live instance.
func (n *node) isIsolated() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isolated
}

func (n *node) setIsolated(isolated bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated = isolated
}

// LiveInstances implements foreman.Members.
func (n *node) LiveInstances() (live []string) {
	for _, other := range n.cluster.nodes {
		if other == n || (!other.leaseExpired() && !n.isIsolated()) {
			live = append(live, other.id)
		}
	}
	return live
}

// Targets implements foreman.Targets. New documents appear after documentDelay.
func (n *node) Targets() ([]foreman.Target, ledger.Offset, bool) {
	if n.waitWhilePaused() != nil {
		return nil, 0, false
	}
	cl := n.cluster
	cl.mu.Lock()
	i := len(cl.documents) - 1
	for i > 0 && time.Since(cl.documents[i].at) < n.documentDelay {
		i--
	}
	d := cl.documents[i]
	cl.mu.Unlock()
	targets := make([]foreman.Target, 0, len(cl.engines))
	for i, engine := range cl.engines {
		report, err := engine.Load(context.Background())
		if err != nil {
			continue
		}
		targets = append(targets, foreman.Target{
			Name:          engineName(i),
			ChecksFencing: cl.checksFencing,
			Desired:       d.desired[i],
			Engine: nodeEngine{
				Engine: engine,
				node:   n,
			},
			Reported: report,
		})
	}
	return targets, d.offset, true
}

// Append implements ledger.Log.
func (n *node) Append(ctx context.Context, stream ledger.Stream, payload []byte) (ledger.Offset, error) {
	if err := n.waitWhilePaused(); err != nil {
		return 0, err
	}
	return n.cluster.platform.Append(context.WithoutCancel(ctx), stream, payload)
}

// Read implements ledger.Log.
func (n *node) Read(ctx context.Context, stream ledger.Stream, from ledger.Offset, limit int) (ledger.Page, error) {
	if err := n.waitWhilePaused(); err != nil {
		return ledger.Page{}, err
	}
	page, err := n.cluster.platform.Read(ctx, stream, from, limit)
	return page, errors.Join(err, n.waitWhilePaused())
}

// reserveSlots keeps the engines busy with reservations that expire. It skips engines that
// drain, and reserves nothing without a fresh view of the log, because it can't tell then.
func (n *node) reserveSlots() {
	for i := 0; n.ctx.Err() == nil; i++ {
		time.Sleep(300 * time.Millisecond)
		if n.waitWhilePaused() != nil {
			return
		}
		at := n.cluster.intN(engineCount)
		fresh := n.follower.State().Fresh(time.Now(), maxStaleness)
		if !fresh || n.claims.Draining(engineName(at)) {
			continue
		}
		_ = n.cluster.engines[at].Reserve(n.ctx, kiln.ReserveRequest{
			Attempt: fmt.Sprintf("%s-%d", n.id, i),
			Owner:   kiln.Owner{Instance: n.id},
			Model:   "draft",
			Tokens:  1000,
			HoldMS:  2000,
		})
	}
}

// nodeEngine is the client of an engine on a node. Its calls block while the node is paused.
type nodeEngine struct {
	*standin.Engine
	node *node
}

func (e nodeEngine) State(ctx context.Context) (kiln.EngineState, error) {
	if err := e.node.waitWhilePaused(); err != nil {
		return kiln.EngineState{}, err
	}
	state, err := e.Engine.State(ctx)
	return state, errors.Join(err, e.node.waitWhilePaused())
}

// Order calls the engine even if the node crashes meanwhile.
func (e nodeEngine) Order(ctx context.Context, req kiln.OrderRequest) (kiln.EngineState, error) {
	held := e.node.cluster.interrupt(e.node)
	if held && e.node.waitWhilePaused() != nil {
		return kiln.EngineState{}, errDown
	}
	state, err := e.Engine.Order(context.WithoutCancel(ctx), req)
	return state, errors.Join(err, e.node.waitWhilePaused())
}

// interrupt pauses or crashes the node before some of its orders. It reports whether the
// order must wait until the node resumes; otherwise the order reaches the engine.
func (cl *cluster) interrupt(n *node) (held bool) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if cl.interruptions == 0 || cl.random.IntN(3) > 0 || n.isPaused() {
		return false
	}
	cl.interruptions--
	if cl.crashOnInterrupt {
		n.crash()
		return false
	}
	n.pause()
	d := time.Duration(1+cl.random.IntN(120)) * time.Second
	time.AfterFunc(d, n.resume)
	return cl.interruptBeforeOrder
}

func (n *node) isPaused() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.resumed != nil
}
