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

// sweeperRanks is the number of instances that look after one engine.
const sweeperRanks = 3

// SweeperDeps is what a Sweeper uses.
type SweeperDeps struct {
	// Instance is the id of this instance.
	Instance string
	Members  Members
	Engines  Engines
	Owners   Owners
	Metrics  *metrics.Metrics
}

// engineState is what a sweeper remembers of one engine.
type engineState struct {
	busy    bool
	sweptAt time.Time
	askedAt time.Time
	// condemned maps attempts to the time of their first verdict of cancel.
	condemned map[string]time.Time
}

// Sweeper cancels the memory of owners that are gone on the engines of its data
// centre that it is responsible for.
type Sweeper struct {
	cfg  Config
	deps SweeperDeps

	mu      sync.Mutex
	engines map[string]*engineState
}

// NewSweeper returns a sweeper that is not running yet.
func NewSweeper(cfg Config, deps SweeperDeps) *Sweeper {
	return &Sweeper{
		cfg:     cfg,
		deps:    deps,
		engines: map[string]*engineState{},
	}
}

// Run sweeps until the context ends.
func (s *Sweeper) Run(ctx context.Context) error {
	pool := pond.NewPool(s.cfg.MaxCalls, pond.WithContext(ctx))
	ticker := time.NewTicker(s.cfg.sweep())
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.round(ctx, pool)
		case <-ctx.Done():
			return nil
		}
	}
}

// round starts the sweeps that are due. It does not wait for them, so that an
// engine that does not answer holds up no other.
func (s *Sweeper) round(ctx context.Context, pool pond.Pool) {
	addresses := s.deps.Engines.Addresses()
	sweepers := s.deps.Members.LiveInstances()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forget(addresses)
	now := time.Now()
	for _, address := range addresses {
		rank := rendezvous.Rank(address, sweepers, sweeperRanks, s.deps.Instance)
		if rank < 0 {
			continue
		}
		state := s.state(address)
		// Half a period of slack lets a tick that comes early count.
		period := s.cfg.sweep()*time.Duration(1+2*rank) - s.cfg.sweep()/2
		if state.busy || now.Sub(state.sweptAt) < period {
			continue
		}
		state.busy = true
		state.sweptAt = now
		pool.Submit(func() {
			defer s.swept(state)
			s.sweep(ctx, address, state)
		})
	}
}

func (s *Sweeper) state(address string) *engineState {
	state := s.engines[address]
	if state == nil {
		state = &engineState{condemned: map[string]time.Time{}}
		s.engines[address] = state
	}
	return state
}

func (s *Sweeper) forget(addresses []string) {
	for address, state := range s.engines {
		if !state.busy && !slices.Contains(addresses, address) {
			delete(s.engines, address)
		}
	}
}

func (s *Sweeper) swept(state *engineState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state.busy = false
}

// sweep looks at one engine. Only one sweep of an engine runs at a time.
func (s *Sweeper) sweep(ctx context.Context, address string, state *engineState) {
	engine := s.deps.Engines.Engine(address)
	if engine == nil {
		return
	}
	holdings, err := s.holdings(ctx, engine)
	if err != nil {
		s.deps.Metrics.Count("sweep", "failed")
		clear(state.condemned)
		return
	}
	s.deps.Metrics.Count("sweep", "done")
	answers := s.ask(ctx, address, state, holdings)
	still := map[string]time.Time{}
	for _, holding := range holdings {
		view := OwnerView{
			State:  s.deps.Members.State(holding.Owner.Instance),
			Answer: answers[holding.Attempt],
		}
		if verdict, ok := Decide(s.cfg, holding, view).(Cancel); ok {
			still[holding.Attempt] = s.condemn(ctx, address, state, engine, holding, verdict)
		}
	}
	state.condemned = still
}

func (s *Sweeper) holdings(ctx context.Context, engine kiln.Engine) ([]kiln.Holding, error) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.call())
	defer cancel()
	return engine.Holdings(ctx)
}

// condemn cancels a holding and returns when it was first to be cancelled.
func (s *Sweeper) condemn(ctx context.Context, address string, state *engineState, engine kiln.Engine, holding kiln.Holding, verdict Cancel) time.Time {
	now := time.Now()
	since, ok := state.condemned[holding.Attempt]
	if !ok {
		since = now
	}
	s.deps.Metrics.Count("sweep_cancel", string(verdict.Reason))
	log.Info().Str("step", "sweep").Str("peer", address).Str("attempt", holding.Attempt).
		Str("owner", holding.Owner.Instance).Str("reason", string(verdict.Reason)).Msg("memory reclaimed")
	if !mutation.Off(mutation.MemorySweep) {
		ctx, cancel := context.WithTimeout(ctx, s.cfg.call())
		defer cancel()
		if err := engine.Cancel(ctx, holding.Attempt, holding.Owner); err != nil {
			s.deps.Metrics.Count("sweep_cancel", "failed")
			return now
		}
	}
	invariant.Check(now.Sub(since) < FreeWithin, invariant.NoLeakedEngineMemory,
		"attempt %s of %s is still held on %s %v after its first cancel", holding.Attempt, holding.Owner.Instance, address, now.Sub(since))
	return since
}

// ask asks the owners about their attempts: all of them when that is due, else
// those without a sign of life.
func (s *Sweeper) ask(ctx context.Context, address string, state *engineState, holdings []kiln.Holding) map[string]Answer {
	now := time.Now()
	due := now.Sub(state.askedAt) >= s.cfg.ask()-s.cfg.sweep()/2
	if due {
		state.askedAt = now
	}
	attempts := map[string][]string{}
	for _, holding := range holdings {
		owner := holding.Owner.Instance
		known := s.deps.Members.State(owner)
		if mustAsk(s.cfg, holding, known) || (due && known != crew.StateGone) {
			attempts[owner] = append(attempts[owner], holding.Attempt)
		}
	}
	return s.askAll(ctx, address, attempts)
}

func (s *Sweeper) askAll(ctx context.Context, address string, attempts map[string][]string) map[string]Answer {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.call())
	defer cancel()
	answers := map[string]Answer{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for owner, list := range attempts {
		wg.Go(func() {
			known, err := s.deps.Owners.HeldAttempts(ctx, owner, address, list)
			mu.Lock()
			defer mu.Unlock()
			for _, attempt := range list {
				answers[attempt] = answerOf(attempt, known, err)
			}
		})
	}
	wg.Wait()
	return answers
}

func answerOf(attempt string, known []string, err error) Answer {
	switch {
	case err != nil:
		return Silent
	case slices.Contains(known, attempt):
		return Knows
	default:
		return Denies
	}
}
