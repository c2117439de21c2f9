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

// issuerRanks is the number of instances that may act on one server.
const issuerRanks = 2

// Target is one engine and what is wanted of it.
type Target struct {
	// Name is the server's name in the routing document.
	Name          string
	ChecksFencing bool
	Desired       DesiredState
	Engine        kiln.Engine
	// Reported is the engine's last load report; a zero At means unknown.
	Reported kiln.LoadReport
}

// Targets are the engines of this data centre.
type Targets interface {
	// Targets returns the live engines, the offset of the document that they
	// rest on and whether that document was confirmed as the newest lately.
	Targets() (targets []Target, document ledger.Offset, fresh bool)
}

// Follower is the reader of the control stream that feeds the board.
type Follower interface {
	State() ledger.FollowerState
	Poke()
}

// Members tells which instances there are.
type Members interface {
	// Issuers returns the ids of the live instances of this data centre, this
	// one included.
	Issuers() []string
}

// Deps is what a Controller uses.
type Deps struct {
	// Instance is the id of this instance.
	Instance string
	Claims   *ClaimTable
	Follower Follower
	Log      ledger.Log
	Targets  Targets
	Members  Members
	Metrics  *metrics.Metrics
}

// Controller brings the engines of its data centre to what is wanted.
type Controller struct {
	cfg  Config
	deps Deps

	mu sync.Mutex
	// busy holds the servers with a running task, differs when a difference
	// was first seen.
	busy    map[string]bool
	differs map[string]time.Time
}

// NewController returns a controller that is not running yet.
func NewController(cfg Config, deps Deps) *Controller {
	return &Controller{
		cfg:     cfg,
		deps:    deps,
		busy:    map[string]bool{},
		differs: map[string]time.Time{},
	}
}

// Run compares and acts until the context ends.
func (c *Controller) Run(ctx context.Context) error {
	pool := pond.NewPool(c.cfg.MaxTasks, pond.WithContext(ctx))
	timer := time.NewTimer(c.pause())
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			c.round(ctx, pool)
			timer.Reset(c.pause())
		case <-ctx.Done():
			return nil
		}
	}
}

// pause returns the period, spread so that instances do not act in step.
func (c *Controller) pause() time.Duration {
	period := ms(c.cfg.PeriodMS)
	return period/2 + rand.N(period)
}

// round starts a task for each server that differs and is this instance's.
func (c *Controller) round(ctx context.Context, pool pond.Pool) {
	targets, _, _ := c.deps.Targets.Targets()
	issuers := c.deps.Members.Issuers()
	for _, target := range targets {
		if !c.mine(target, issuers) || !c.start(target.Name) {
			continue
		}
		pool.Submit(func() {
			defer c.end(target.Name)
			newTask(c, target.Name).run(ctx)
		})
	}
}

// mine tells whether the server differs by its report and is this instance's to
// act on: at once for the first in line, after FallbackMS for the next.
func (c *Controller) mine(target Target, issuers []string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !target.differs() {
		delete(c.differs, target.Name)
		return false
	}
	since, ok := c.differs[target.Name]
	if !ok {
		since = time.Now()
		c.differs[target.Name] = since
	}
	rank := rendezvous.Rank(target.Name, issuers, issuerRanks, c.deps.Instance)
	return rank >= 0 && time.Since(since) >= time.Duration(rank)*ms(c.cfg.FallbackMS)
}

// differs compares the report; an unknown state counts as different.
func (t Target) differs() bool {
	if t.Reported.At.IsZero() {
		return true
	}
	_, ok := NextOrder(t.Desired, kiln.EngineState{
		Role:   t.Reported.Role,
		Models: t.Reported.Models,
	})
	return ok
}

func (c *Controller) start(server string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy[server] {
		return false
	}
	c.busy[server] = true
	return true
}

func (c *Controller) end(server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.busy, server)
}

// target returns the server's newest line.
func (c *Controller) target(name string) (target Target, document ledger.Offset, fresh, ok bool) {
	targets, document, fresh := c.deps.Targets.Targets()
	for _, t := range targets {
		if t.Name == name {
			return t, document, fresh, true
		}
	}
	return Target{}, 0, false, false
}
