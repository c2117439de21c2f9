package replay

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/balsamlock/balsamlock/crew"
	"github.com/balsamlock/balsamlock/firing"
	"github.com/balsamlock/balsamlock/intake"
	"github.com/balsamlock/balsamlock/kiln"
	"github.com/balsamlock/balsamlock/quotation"
	"github.com/balsamlock/balsamlock/standin"
	"github.com/balsamlock/balsamlock/steward"
)

const (
	// pollInterval is the time between two polls of an engine's load.
	pollInterval = 200 * time.Millisecond
	// firstKillDivisor sets the time of the first kill, KillInterval divided by it,
	// so that runs shorter than the interval include a kill.
	firstKillDivisor = 6
	// memoryPieces is the memory of an engine, in units of
	// standin.EngineConfig.Pieces.
	memoryPieces = 1000
)

// simulation is a simulated platform of engines and entry instances.
type simulation struct {
	profile      Profile
	policy       Policy
	faults       Faults
	engines      map[string]*standin.Engine
	servers      []crew.Server
	entries      []*entry
	byDataCentre map[string][]*entry
	random       *rand.Rand
	started      time.Time
}

// entry is one entry instance, which runs the router's own components.
type entry struct {
	sim     *simulation
	site    Site
	servers atomic.Pointer[[]crew.Server]
	placer  *quotation.Placer
	queue   *intake.Queue
	runner  *firing.Runner
	hub     *steward.Hub
	name    string
	// rank is the position of the instance in its region's steward election. The
	// instance with rank 0 is the steward.
	rank         int
	lastSequence map[string]uint64
}

// Servers returns the latest snapshot of the engines.
func (e *entry) Servers() []crew.Server { return *e.servers.Load() }

func newSimulation(profile Profile, policy Policy, faults Faults, seed uint64) *simulation {
	s := &simulation{
		profile:      profile,
		policy:       policy,
		faults:       faults,
		engines:      map[string]*standin.Engine{},
		byDataCentre: map[string][]*entry{},
		started:      time.Now(),
		random:       rand.New(rand.NewPCG(seed, seed+1)),
	}
	directory := standin.NewDirectory()
	for i, site := range profile.Sites {
		for n := range site.Prefill + site.Decode {
			role := kiln.RolePrefill
			if n >= site.Prefill {
				role = kiln.RoleDecode
			}
			s.addEngine(fmt.Sprintf("10.%d.0.%d:80", i+1, n+1), site, role, directory)
		}
	}
	for _, site := range profile.Sites {
		for n := range site.Entries {
			s.addEntry(fmt.Sprintf("%s-entry-%d", site.DataCentre, n+1), site, seed)
		}
	}
	s.rankEntries()
	return s
}

// rankEntries ranks the entry instances of each region by their weight in the
// steward election.
func (s *simulation) rankEntries() {
	ranked := slices.Clone(s.entries)
	slices.SortFunc(ranked, func(a, b *entry) int {
		return cmp.Compare(steward.Weight(b.name), steward.Weight(a.name))
	})
	next := map[string]int{}
	for _, e := range ranked {
		e.rank = next[e.site.Region]
		next[e.site.Region]++
	}
}

func (s *simulation) addEngine(address string, site Site, role kiln.Role, directory *standin.Directory) {
	engine := standin.NewEngine(s.engineConfig(role), standin.EngineDeps{
		Address: address,
		Peers:   directory,
	})
	directory.Add(address, engine)
	s.engines[address] = engine
	s.servers = append(s.servers, crew.Server{
		Name:       address,
		Address:    address,
		DataCentre: site.DataCentre,
		Region:     site.Region,
		Model:      s.profile.Model,
		Role:       role,
		Slots:      s.profile.Engine.Slots,
		State:      crew.StateLive,
	})
}

func (s *simulation) engineConfig(role kiln.Role) standin.EngineConfig {
	p := s.profile.Engine
	cfg := standin.DefaultEngineConfig()
	cfg.Role = role
	cfg.Models = []string{s.profile.Model + "@1"}
	cfg.Slots = p.Slots
	cfg.Pieces = memoryPieces
	cfg.StepBaseUS = p.StepEmpty.Microseconds()
	cfg.StepPerStreamUS = (p.StepFull - p.StepEmpty).Microseconds() / int64(p.Slots)
	cfg.PrefillTokensPerSecond = p.PrefillTokensPerSecond
	cfg.PrefillBaseUS = p.PrefillBase.Microseconds()
	cfg.CacheBlocks = p.CacheBlocks
	cfg.KVBytesPerToken = p.KVBytesPerToken
	cfg.ImportBytesPerSecond = p.LinkBytesPerSecond
	cfg.ExportKeptMS = p.ExportTTL.Milliseconds()
	cfg.LoadLagMS = p.LoadLag.Milliseconds()
	cfg.EventDelayMS = p.EventDelay.Milliseconds()
	cfg.EventLossPercent = s.faults.EventLossPercent
	if s.faults.LoadLag > 0 {
		cfg.LoadLagMS = s.faults.LoadLag.Milliseconds()
	}
	return cfg
}

func (s *simulation) latency(from Site, to crew.Server) time.Duration {
	switch {
	case from.DataCentre == to.DataCentre:
		return s.profile.LatencyLocal
	case from.Region == to.Region:
		return s.profile.LatencyRegion
	default:
		return s.profile.LatencyCrossRegion
	}
}

func (s *simulation) addEntry(name string, site Site, seed uint64) {
	e := &entry{
		sim:          s,
		site:         site,
		name:         name,
		hub:          steward.NewHub(),
		queue:        intake.NewQueue(s.policy.Queue),
		lastSequence: map[string]uint64{},
	}
	servers := s.servers
	e.servers.Store(&servers)
	e.placer = quotation.NewPlacer(quotation.Deps{
		Servers: e,
		Config:  s.quotationConfig(),
	})
	deps := firing.Deps{
		Engines:  s.network(site, seed+uint64(len(s.entries))),
		Placer:   e.placer,
		Instance: name,
		Config:   firing.DefaultConfig(),
	}
	deps.Config.Policy = s.policy.Firing
	if !s.policy.NoQueue {
		deps.Queue = firing.NewFairQueue(e.queue, func(string) int { return 1 })
	}
	e.runner = firing.NewRunner(deps)
	s.entries = append(s.entries, e)
	s.byDataCentre[site.DataCentre] = append(s.byDataCentre[site.DataCentre], e)
}

func (s *simulation) quotationConfig() quotation.Config {
	cfg := quotation.DefaultConfig()
	cfg.TokensPerSecond = s.profile.Engine.PrefillTokensPerSecond
	cfg.KVBytesPerToken = s.profile.Engine.KVBytesPerToken
	cfg.LinkBytesPerSecond = s.profile.Engine.LinkBytesPerSecond
	entries := 0
	for _, site := range s.profile.Sites {
		entries += site.Entries
	}
	cfg.CrossRegionBytesPerSecond = s.profile.LinkMbit * 1e6 / 8 / float64(entries)
	cfg.Policy = s.policy.Quotation
	return cfg
}

func (s *simulation) network(site Site, seed uint64) *network {
	n := &network{
		engines: map[string]kiln.Engine{},
		latency: map[string]time.Duration{},
		faults:  s.faults,
		random:  rand.New(rand.NewPCG(seed, 7)),
	}
	for _, server := range s.servers {
		n.engines[server.Address] = s.engines[server.Address]
		n.latency[server.Address] = s.latency(site, server)
	}
	return n
}

// start starts the polling loops, the load exchange and the fault injection.
// They run until the context is cancelled.
func (s *simulation) start(ctx context.Context, background *sync.WaitGroup) {
	for i, e := range s.entries {
		offset := pollInterval * time.Duration(i) / time.Duration(len(s.entries))
		background.Go(func() { e.poll(ctx, offset) })
		background.Go(func() { e.wakeOnFreedSlots(ctx) })
		if !s.policy.NoExchange {
			background.Go(func() { _ = e.steward().Run(ctx) })
		}
	}
	if s.faults.KillInterval > 0 {
		background.Go(func() { s.killEngines(ctx) })
	}
}

// poll updates the instance's snapshot of engine loads and its prefix hints
// every pollInterval. The offset spreads the polls of different instances over
// the interval.
func (e *entry) poll(ctx context.Context, offset time.Duration) {
	if sleep(ctx, offset) != nil {
		return
	}
	for {
		servers := make([]crew.Server, len(e.sim.servers))
		copy(servers, e.sim.servers)
		for i := range servers {
			e.refresh(ctx, &servers[i])
		}
		e.servers.Store(&servers)
		e.queue.Wake()
		if sleep(ctx, pollInterval) != nil {
			return
		}
	}
}

// refresh reads the engine's load and, of a prefill engine, its new cache events.
func (e *entry) refresh(ctx context.Context, server *crew.Server) {
	engine := e.sim.engines[server.Address]
	if load, err := engine.Load(ctx); err == nil {
		server.Load = load
	}
	if server.Role == kiln.RoleDecode {
		return
	}
	events, err := engine.Events(ctx, e.lastSequence[server.Address])
	if err != nil || len(events) == 0 {
		return
	}
	e.lastSequence[server.Address] = events[len(events)-1].Sequence
	e.placer.ApplyCacheEvents(server.Address, events)
}

// wakeOnFreedSlots wakes the waiting requests whenever a slot is freed.
func (e *entry) wakeOnFreedSlots(ctx context.Context) {
	for {
		select {
		case <-e.placer.Freed():
			e.queue.Wake()
		case <-ctx.Done():
			return
		}
	}
}

// killEngines kills and restarts a random decode engine every KillInterval. The
// first kill comes early in the run.
func (s *simulation) killEngines(ctx context.Context) {
	for wait := s.faults.KillInterval / firstKillDivisor; sleep(ctx, wait) == nil; wait = s.faults.KillInterval {
		var decodeEngines []*standin.Engine
		for _, server := range s.servers {
			if server.Role == kiln.RoleDecode {
				decodeEngines = append(decodeEngines, s.engines[server.Address])
			}
		}
		decodeEngines[s.random.IntN(len(decodeEngines))].Crash()
	}
}

func (s *simulation) close() {
	for _, e := range s.entries {
		e.runner.Close()
	}
}

// entryFor returns the entry instance to which the load balancer sends event
// number n.
func (s *simulation) entryFor(e Event, n int) *entry {
	entries := s.byDataCentre[e.DataCentre]
	if len(entries) == 0 {
		entries = s.entries
	}
	return entries[n%len(entries)]
}
