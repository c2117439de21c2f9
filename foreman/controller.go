package foreman

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/alitto/pond/v2"

	"github.com/balsamlock/balsamlock/common/metrics"
	"github.com/balsamlock/balsamlock/common/rendezvous"
	"github.com/balsamlock/balsamlock/kiln"
	"github.com/balsamlock/balsamlock/ledger"
)

// maxIssuers is the number of instances that may give orders to the same server.
const maxIssuers = 2

// Target is an engine and its desired state.
type Target struct {
	// Name is the server's name in the routing document.
	Name string
	// ChecksFencing reports whether the engine refuses orders with old fencing tokens.
	ChecksFencing bool
	Desired       DesiredState
	Engine        kiln.Engine
	// Reported is the engine's last load report. If its At is zero, the engine's state is
	// unknown.
	Reported kiln.LoadReport
}

// Targets provides the engines of this data centre.
type Targets interface {
	// Targets returns the live engines, the offset of the document that defines their
	// desired states, and whether that document was recently confirmed as the newest.
	Targets() (targets []Target, document ledger.Offset, fresh bool)
}

// Follower reads the control stream and applies it to the claim table.
type Follower interface {
	State() ledger.FollowerState
	PollNow()
}

// Members provides the instances of this data centre.
type Members interface {
	// LiveInstances returns the IDs of the live instances of this data centre, including
	// this one.
	LiveInstances() []string
}

// Deps holds the dependencies of a Controller.
type Deps struct {
	// Instance is the ID of this instance.
	Instance string
	Claims   *ClaimTable
	Follower Follower
	Log      ledger.Log
	Targets  Targets
	Members  Members
	Metrics  *metrics.Metrics
}

// Controller reconciles the engines of its data centre with their desired states.
type Controller struct {
	cfg  Config
	deps Deps

	mu sync.Mutex
	// active holds the servers with a running task. outOfSyncSince maps servers to the
	// time at which a difference was first seen.
	active         map[string]bool
	outOfSyncSince map[string]time.Time
}

// NewController returns a Controller. Call Run to start it.
func NewController(cfg Config, deps Deps) *Controller {
	return &Controller{
		cfg:            cfg,
		deps:           deps,
		active:         map[string]bool{},
		outOfSyncSince: map[string]time.Time{},
	}
}

// Run reconciles the engines periodically until ctx is done.
func (c *Controller) Run(ctx context.Context) error {
	pool := pond.NewPool(c.cfg.MaxTasks, pond.WithContext(ctx))
	timer := time.NewTimer(c.jitteredPeriod())
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			c.startTasks(ctx, pool)
			timer.Reset(c.jitteredPeriod())
		case <-ctx.Done():
			return nil
		}
	}
}

// jitteredPeriod returns the period with jitter, so that instances don't act in lockstep.
func (c *Controller) jitteredPeriod() time.Duration {
	period := milliseconds(c.cfg.PeriodMS)
	return period/2 + rand.N(period)
}

// startTasks starts a task for each server that this instance should act on.
func (c *Controller) startTasks(ctx context.Context, pool pond.Pool) {
	targets, _, _ := c.deps.Targets.Targets()
	issuers := c.deps.Members.LiveInstances()
	for _, target := range targets {
		if !c.shouldAct(target, issuers) || !c.tryStart(target.Name) {
			continue
		}
		pool.Submit(func() {
			defer c.finish(target.Name)
			newTask(c, target.Name).run(ctx)
		})
	}
}

// shouldAct reports whether the server is out of sync and this instance should act on it.
// The instance of rank 0 acts immediately, and that of rank 1 after FallbackDelayMS.
func (c *Controller) shouldAct(target Target, issuers []string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !target.outOfSync() {
		delete(c.outOfSyncSince, target.Name)
		return false
	}
	since, ok := c.outOfSyncSince[target.Name]
	if !ok {
		since = time.Now()
		c.outOfSyncSince[target.Name] = since
	}
	rank := rendezvous.Rank(target.Name, issuers, maxIssuers, c.deps.Instance)
	return rank >= 0 && time.Since(since) >= time.Duration(rank)*milliseconds(c.cfg.FallbackDelayMS)
}

// outOfSync reports whether the last report differs from the desired state. An unknown
// state counts as different.
func (t Target) outOfSync() bool {
	if t.Reported.At.IsZero() {
		return true
	}
	_, ok := NextOrder(t.Desired, kiln.EngineState{
		Role:   t.Reported.Role,
		Models: t.Reported.Models,
	})
	return ok
}

// tryStart marks the server as active. It returns false if a task is already running.
func (c *Controller) tryStart(server string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.active[server] {
		return false
	}
	c.active[server] = true
	return true
}

func (c *Controller) finish(server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.active, server)
}

// findTarget returns the current target of the server. ok is false if there is none.
func (c *Controller) findTarget(name string) (target Target, document ledger.Offset, fresh, ok bool) {
	targets, document, fresh := c.deps.Targets.Targets()
	for _, t := range targets {
		if t.Name == name {
			return t, document, fresh, true
		}
	}
	return Target{}, 0, false, false
}
