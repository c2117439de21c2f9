package reclaim

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/phuslu/log"

	"github.com/balsamlock/balsamlock/common/invariant"
	"github.com/balsamlock/balsamlock/common/metrics"
	"github.com/balsamlock/balsamlock/common/mutation"
	"github.com/balsamlock/balsamlock/common/rendezvous"
	"github.com/balsamlock/balsamlock/crew"
	"github.com/balsamlock/balsamlock/kiln"
)

// sweepersPerEngine is the number of instances that sweep the same engine.
const sweepersPerEngine = 3

// SweeperDeps holds the dependencies of a Sweeper.
type SweeperDeps struct {
	// Instance is the ID of this instance.
	Instance string
	Members  Members
	Engines  Engines
	Owners   Owners
	Metrics  *metrics.Metrics
}

// sweepState is a sweeper's state for one engine.
type sweepState struct {
	busy      bool
	sweptAt   time.Time
	queriedAt time.Time
	// cancelledSince maps attempts that are still held to the time of their first cancel.
	cancelledSince map[string]time.Time
}

// Sweeper cancels orphaned holdings on those engines of its data centre that this instance
// is responsible for.
type Sweeper struct {
	cfg  Config
	deps SweeperDeps

	mu      sync.Mutex
	engines map[string]*sweepState
}

// NewSweeper returns a Sweeper. Call Run to start it.
func NewSweeper(cfg Config, deps SweeperDeps) *Sweeper {
	return &Sweeper{
		cfg:     cfg,
		deps:    deps,
		engines: map[string]*sweepState{},
	}
}

// Run sweeps the engines periodically until ctx is done.
func (s *Sweeper) Run(ctx context.Context) error {
	pool := pond.NewPool(s.cfg.MaxCalls, pond.WithContext(ctx))
	ticker := time.NewTicker(s.cfg.sweepPeriod())
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.startSweeps(ctx, pool)
		case <-ctx.Done():
			return nil
		}
	}
}

// startSweeps starts the sweeps that are due. It doesn't wait for them, so that an engine
// that doesn't respond doesn't delay the others.
func (s *Sweeper) startSweeps(ctx context.Context, pool pond.Pool) {
	addresses := s.deps.Engines.Addresses()
	sweepers := s.deps.Members.LiveInstances()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prune(addresses)
	now := time.Now()
	for _, address := range addresses {
		rank := rendezvous.Rank(address, sweepers, sweepersPerEngine, s.deps.Instance)
		if rank < 0 {
			continue
		}
		state := s.stateOf(address)
		// Half a period is subtracted so that an early tick isn't skipped.
		period := s.cfg.sweepPeriod()*time.Duration(1+2*rank) - s.cfg.sweepPeriod()/2
		if state.busy || now.Sub(state.sweptAt) < period {
			continue
		}
		state.busy = true
		state.sweptAt = now
		pool.Submit(func() {
			defer s.finish(state)
			s.sweep(ctx, address, state)
		})
	}
}

func (s *Sweeper) stateOf(address string) *sweepState {
	state := s.engines[address]
	if state == nil {
		state = &sweepState{cancelledSince: map[string]time.Time{}}
		s.engines[address] = state
	}
	return state
}

// prune removes the state of engines that no longer exist. The caller must hold s.mu.
func (s *Sweeper) prune(addresses []string) {
	for address, state := range s.engines {
		if !state.busy && !slices.Contains(addresses, address) {
			delete(s.engines, address)
		}
	}
}

func (s *Sweeper) finish(state *sweepState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state.busy = false
}

// sweep cancels the orphaned holdings on one engine. At most one sweep of an engine runs at
// a time.
func (s *Sweeper) sweep(ctx context.Context, address string, state *sweepState) {
	engine := s.deps.Engines.Engine(address)
	if engine == nil {
		return
	}
	holdings, err := s.holdings(ctx, engine)
	if err != nil {
		s.deps.Metrics.Count("sweep", "failed")
		clear(state.cancelledSince)
		return
	}
	s.deps.Metrics.Count("sweep", "done")
	replies := s.queryOwners(ctx, address, state, holdings)
	stillHeld := map[string]time.Time{}
	for _, holding := range holdings {
		view := OwnerView{
			State: s.deps.Members.State(holding.Owner.Instance),
			Reply: replies[holding.Attempt],
		}
		if decision, ok := Decide(s.cfg, holding, view).(Cancel); ok {
			stillHeld[holding.Attempt] = s.cancelHolding(ctx, address, state, engine, holding, decision)
		}
	}
	state.cancelledSince = stillHeld
}

func (s *Sweeper) holdings(ctx context.Context, engine kiln.Engine) ([]kiln.Holding, error) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.callTimeout())
	defer cancel()
	return engine.Holdings(ctx)
}

// cancelHolding cancels a holding and returns the time of its first cancel. If the call
// fails, it returns the current time.
func (s *Sweeper) cancelHolding(ctx context.Context, address string, state *sweepState, engine kiln.Engine, holding kiln.Holding, decision Cancel) time.Time {
	now := time.Now()
	firstCancelAt, ok := state.cancelledSince[holding.Attempt]
	if !ok {
		firstCancelAt = now
	}
	s.deps.Metrics.Count("sweep_cancel", string(decision.Reason))
	log.Info().Str("step", "sweep").Str("peer", address).Str("attempt", holding.Attempt).
		Str("owner", holding.Owner.Instance).Str("reason", string(decision.Reason)).Msg("memory reclaimed")
	if !mutation.Off(mutation.MemorySweep) {
		ctx, cancel := context.WithTimeout(ctx, s.cfg.callTimeout())
		defer cancel()
		if err := engine.Cancel(ctx, holding.Attempt, holding.Owner); err != nil {
			s.deps.Metrics.Count("sweep_cancel", "failed")
			return now
		}
	}
	invariant.Check(now.Sub(firstCancelAt) < FreeWithin, invariant.NoLeakedEngineMemory,
		"attempt %s of %s is still held on %s %v after its first cancel", holding.Attempt, holding.Owner.Instance, address, now.Sub(firstCancelAt))
	return firstCancelAt
}

// queryOwners asks owners whether they use their attempts' memory. If the periodic query is
// due, it covers all holdings of owners that aren't gone, otherwise only the idle ones.
func (s *Sweeper) queryOwners(ctx context.Context, address string, state *sweepState, holdings []kiln.Holding) map[string]OwnerReply {
	now := time.Now()
	due := now.Sub(state.queriedAt) >= s.cfg.ownerQueryPeriod()-s.cfg.sweepPeriod()/2
	if due {
		state.queriedAt = now
	}
	attempts := map[string][]string{}
	for _, holding := range holdings {
		owner := holding.Owner.Instance
		ownerState := s.deps.Members.State(owner)
		if mustQuery(s.cfg, holding, ownerState) || (due && ownerState != crew.StateGone) {
			attempts[owner] = append(attempts[owner], holding.Attempt)
		}
	}
	return s.queryAll(ctx, address, attempts)
}

func (s *Sweeper) queryAll(ctx context.Context, address string, attempts map[string][]string) map[string]OwnerReply {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.callTimeout())
	defer cancel()
	replies := map[string]OwnerReply{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for owner, list := range attempts {
		wg.Go(func() {
			inUse, err := s.deps.Owners.HeldAttempts(ctx, owner, address, list)
			mu.Lock()
			defer mu.Unlock()
			for _, attempt := range list {
				replies[attempt] = replyFor(attempt, inUse, err)
			}
		})
	}
	wg.Wait()
	return replies
}

func replyFor(attempt string, inUse []string, err error) OwnerReply {
	switch {
	case err != nil:
		return NoReply
	case slices.Contains(inUse, attempt):
		return InUse
	default:
		return NotInUse
	}
}
