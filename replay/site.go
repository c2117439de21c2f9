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
	// pollEvery is the time between two readings of the engines' loads.
	pollEvery = 200 * time.Millisecond
	// firstKillPart is the part of the time between two deaths until the first.
	firstKillPart = 6
	// memoryPieces is the memory of an engine, in pieces.
	memoryPieces = 1000
)

// site is the simulated platform: engines and entry instances.
type site struct {
	profile Profile
	policy  Policy
	faults  Faults
	engines map[string]*standin.Engine
	servers []crew.Server
	entries []*entry
	byPlace map[string][]*entry
	random  *rand.Rand
	started time.Time
}

// entry is one entry instance with the router's own parts.
type entry struct {
	site    *site
	place   Place
	servers atomic.Pointer[[]crew.Server]
	book    *quotation.Placer
	queue   *intake.Queue
	runner  *firing.Runner
	hub     *steward.Hub
	name    string
	// number ranks the region's entries: the steward is 0.
	number int
	seen   map[string]uint64
}

// Servers returns the snapshot of the engines.
func (e *entry) Servers() []crew.Server { return *e.servers.Load() }

func newSite(profile Profile, policy Policy, faults Faults, seed uint64) *site {
	s := &site{
		profile: profile,
		policy:  policy,
		faults:  faults,
		engines: map[string]*standin.Engine{},
		byPlace: map[string][]*entry{},
		started: time.Now(),
		random:  rand.New(rand.NewPCG(seed, seed+1)),
	}
	directory := standin.NewDirectory()
	for i, place := range profile.Places {
		for n := range place.Prefill + place.Decode {
			role := kiln.RolePrefill
			if n >= place.Prefill {
				role = kiln.RoleDecode
			}
			s.addEngine(fmt.Sprintf("10.%d.0.%d:80", i+1, n+1), place, role, directory)
		}
	}
	for _, place := range profile.Places {
		for n := range place.Entries {
			s.addEntry(fmt.Sprintf("%s-entry-%d", place.DataCentre, n+1), place, seed)
		}
	}
	s.rank()
	return s
}

// rank numbers the entries of each region in the order in which they would be
// stewards.
func (s *site) rank() {
	ranked := slices.Clone(s.entries)
	slices.SortFunc(ranked, func(a, b *entry) int {
		return cmp.Compare(steward.Weight(b.name), steward.Weight(a.name))
	})
	next := map[string]int{}
	for _, e := range ranked {
		e.number = next[e.place.Region]
		next[e.place.Region]++
	}
}

func (s *site) addEngine(address string, place Place, role kiln.Role, directory *standin.Directory) {
	engine := standin.NewEngine(s.engineConfig(role), standin.EngineDeps{
		Address: address,
		Peers:   directory,
	})
	directory.Add(address, engine)
	s.engines[address] = engine
	s.servers = append(s.servers, crew.Server{
		Name:       address,
		Address:    address,
		DataCentre: place.DataCentre,
		Region:     place.Region,
		Model:      s.profile.Model,
		Role:       role,
		Slots:      s.profile.Engine.Slots,
		State:      crew.StateLive,
	})
}

func (s *site) engineConfig(role kiln.Role) standin.EngineConfig {
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
	cfg.ExportKeptMS = p.ExportKept.Milliseconds()
	cfg.LoadLagMS = p.LoadLag.Milliseconds()
	cfg.EventDelayMS = p.EventDelay.Milliseconds()
	cfg.EventLossPercent = s.faults.EventLossPercent
	if s.faults.LoadLag > 0 {
		cfg.LoadLagMS = s.faults.LoadLag.Milliseconds()
	}
	return cfg
}

func (s *site) latency(from Place, to crew.Server) time.Duration {
	switch {
	case from.DataCentre == to.DataCentre:
		return s.profile.LatencyLocal
	case from.Region == to.Region:
		return s.profile.LatencyRegion
	default:
		return s.profile.LatencyAbroad
	}
}

func (s *site) addEntry(name string, place Place, seed uint64) {
	e := &entry{
		site:  s,
		place: place,
		name:  name,
		hub:   steward.NewHub(),
		queue: intake.NewQueue(s.policy.Queue),
		seen:  map[string]uint64{},
	}
	servers := s.servers
	e.servers.Store(&servers)
	e.book = quotation.NewPlacer(quotation.Deps{
		Servers: e,
		Config:  s.quotationConfig(),
	})
	deps := firing.Deps{
		Engines:  s.network(place, seed+uint64(len(s.entries))),
		Placer:   e.book,
		Instance: name,
		Config:   firing.DefaultConfig(),
	}
	deps.Config.Policy = s.policy.Firing
	if !s.policy.NoQueue {
		deps.Queue = firing.NewFairQueue(e.queue, func(string) int { return 1 })
	}
	e.runner = firing.NewRunner(deps)
	s.entries = append(s.entries, e)
	s.byPlace[place.DataCentre] = append(s.byPlace[place.DataCentre], e)
}

func (s *site) quotationConfig() quotation.Config {
	cfg := quotation.DefaultConfig()
	cfg.TokensPerSecond = s.profile.Engine.PrefillTokensPerSecond
	cfg.KVBytesPerToken = s.profile.Engine.KVBytesPerToken
	cfg.LinkBytesPerSecond = s.profile.Engine.LinkBytesPerSecond
	entries := 0
	for _, place := range s.profile.Places {
		entries += place.Entries
	}
	cfg.CrossRegionBytesPerSecond = s.profile.LinkMbit * 1e6 / 8 / float64(entries)
	cfg.Policy = s.policy.Quotation
	return cfg
}

func (s *site) network(place Place, seed uint64) *network {
	n := &network{
		engines: map[string]kiln.Engine{},
		latency: map[string]time.Duration{},
		faults:  s.faults,
		random:  rand.New(rand.NewPCG(seed, 7)),
	}
	for _, server := range s.servers {
		n.engines[server.Address] = s.engines[server.Address]
		n.latency[server.Address] = s.latency(place, server)
	}
	return n
}

// start runs the pollers and the faults until the context ends.
func (s *site) start(ctx context.Context, running *sync.WaitGroup) {
	for i, e := range s.entries {
		offset := pollEvery * time.Duration(i) / time.Duration(len(s.entries))
		running.Go(func() { e.poll(ctx, offset) })
		running.Go(func() { e.wake(ctx) })
		if !s.policy.NoExchange {
			running.Go(func() { _ = e.steward().Run(ctx) })
		}
	}
	if s.faults.KillEvery > 0 {
		running.Go(func() { s.kill(ctx) })
	}
}

// poll keeps the entry's snapshot of the loads and its prefix hints.
func (e *entry) poll(ctx context.Context, offset time.Duration) {
	if pause(ctx, offset) != nil {
		return
	}
	for {
		servers := make([]crew.Server, len(e.site.servers))
		copy(servers, e.site.servers)
		for i := range servers {
			e.read(ctx, &servers[i])
		}
		e.servers.Store(&servers)
		e.queue.Wake()
		if pause(ctx, pollEvery) != nil {
			return
		}
	}
}

func (e *entry) read(ctx context.Context, server *crew.Server) {
	engine := e.site.engines[server.Address]
	if load, err := engine.Load(ctx); err == nil {
		server.Load = load
	}
	if server.Role == kiln.RoleDecode {
		return
	}
	events, err := engine.Events(ctx, e.seen[server.Address])
	if err != nil || len(events) == 0 {
		return
	}
	e.seen[server.Address] = events[len(events)-1].Sequence
	e.book.ApplyCacheEvents(server.Address, events)
}

// wake lets waiting requests try again when a slot was freed.
func (e *entry) wake(ctx context.Context) {
	for {
		select {
		case <-e.book.Freed():
			e.queue.Wake()
		case <-ctx.Done():
			return
		}
	}
}

// kill lets a decode engine die and start again from time to time, the first
// time early in the run.
func (s *site) kill(ctx context.Context) {
	for wait := s.faults.KillEvery / firstKillPart; pause(ctx, wait) == nil; wait = s.faults.KillEvery {
		var victims []*standin.Engine
		for _, server := range s.servers {
			if server.Role == kiln.RoleDecode {
				victims = append(victims, s.engines[server.Address])
			}
		}
		victims[s.random.IntN(len(victims))].Crash()
	}
}

func (s *site) close() {
	for _, e := range s.entries {
		e.runner.Close()
	}
}

// entryFor returns the entry instance that the balancer sends an event to.
func (s *site) entryFor(e Event, n int) *entry {
	entries := s.byPlace[e.DataCentre]
	if len(entries) == 0 {
		entries = s.entries
	}
	return entries[n%len(entries)]
}
