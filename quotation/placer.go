package quotation

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/balsamlock/balsamlock/common/bucket"
	"github.com/balsamlock/balsamlock/crew"
	"github.com/balsamlock/balsamlock/kiln"
)

// Servers provides the backend servers with their latest load reports. The slice is
// immutable; it is replaced if any server changes.
type Servers interface{ Servers() []crew.Server }

// Deps holds the dependencies of a Placer.
type Deps struct {
	Servers Servers
	// Links limits the traffic between regions; nil applies
	// Config.CrossRegionBytesPerSecond to all links together.
	Links  Links
	Config Config
}

// Links limits the traffic between regions.
type Links interface {
	// Take takes bytes from the budget of the link from the request's data centre
	// to a region. It reports whether the budget was sufficient; if not, it takes
	// nothing.
	Take(req Request, region string, bytes int64, now time.Time) bool
}

// Placer places requests by the servers' load reports and this instance's own
// requests in flight. It is safe for concurrent use.
type Placer struct {
	servers           Servers
	links             Links
	cfg               Config
	snapshot          atomic.Pointer[Snapshot]
	loads             sync.Map // address to *engineLoad
	prefix            *prefixIndex
	decisions         atomic.Uint64
	crossRegionBucket bucket.Bucket
	// crossRegionBytes is the traffic between regions that was taken from the budget.
	crossRegionBytes atomic.Int64
	freed            chan struct{}
}

// NewPlacer returns a Placer. A zero Config means DefaultConfig.
func NewPlacer(deps Deps) *Placer {
	cfg := deps.Config
	if cfg == (Config{}) {
		cfg = DefaultConfig()
	}
	return &Placer{
		servers: deps.Servers,
		links:   deps.Links,
		cfg:     cfg,
		prefix:  newPrefixIndex(cfg.CacheBlocks),
		freed:   make(chan struct{}, 1),
	}
}

func (p *Placer) view(now time.Time) view {
	return view{
		snapshot:  p.Snapshot(now),
		prefix:    p.prefix,
		cfg:       p.cfg,
		now:       now,
		decisions: p.decisions.Load(),
	}
}

// MinReadyIn returns the minimum time until a decode engine has the request's KV
// cache, if nothing has to wait. It returns 0 if the request's region has no suitable
// prefill engine.
func (p *Placer) MinReadyIn(req Request, now time.Time) time.Duration {
	v := p.view(now)
	m := v.snapshot.models[req.Model]
	if m == nil {
		return 0
	}
	run, _ := v.choosePrefill(m.prefill[v.homeRegion(&req)], &req, nil)
	if run.Prefill == nil {
		return 0
	}
	return run.Compute + seconds(float64(run.KVBytes)/p.cfg.LinkBytesPerSecond)
}

// Place decides where a request should run. If it would run in another region and the
// traffic budget is exhausted, Place returns Wait.
func (p *Placer) Place(req Request, now time.Time) Decision {
	v := p.view(now)
	v.decisions = p.decisions.Add(1)
	decision := v.place(&req)
	run, ok := decision.(Run)
	if ok && run.CrossRegionBytes > 0 && !p.takeCrossRegionBytes(req, run, now) {
		return Wait{For: p.cfg.retry()}
	}
	return decision
}

func (p *Placer) takeCrossRegionBytes(req Request, run Run, now time.Time) bool {
	var ok bool
	if p.links != nil {
		ok = p.links.Take(req, run.Decode.Region, run.CrossRegionBytes, now)
	} else {
		_, ok = p.crossRegionBucket.Take(float64(run.CrossRegionBytes), p.cfg.CrossRegionBytesPerSecond, now)
	}
	if ok {
		p.crossRegionBytes.Add(run.CrossRegionBytes)
	}
	return ok
}

// CrossRegionBytes returns the total expected traffic between regions of the requests
// placed in other regions.
func (p *Placer) CrossRegionBytes() int64 { return p.crossRegionBytes.Load() }

// Snapshot returns the snapshot for decisions at now. It builds a new one if the
// current one is older than Config.SnapshotMS and the servers have changed.
func (p *Placer) Snapshot(now time.Time) *Snapshot {
	current := p.snapshot.Load()
	if current != nil && now.Sub(current.builtAt) < time.Duration(p.cfg.SnapshotMS)*time.Millisecond {
		return current
	}
	servers := p.servers.Servers()
	if current != nil && current.sameServers(servers) {
		return current
	}
	next := newSnapshot(servers, p.cfg, p.load, now)
	p.snapshot.Store(next)
	return next
}

func (s *Snapshot) sameServers(servers []crew.Server) bool {
	if len(servers) != s.serverCount {
		return false
	}
	return s.serverCount == 0 || s.firstServer == &servers[0]
}

func (p *Placer) load(address string) *engineLoad {
	if found, ok := p.loads.Load(address); ok {
		return found.(*engineLoad)
	}
	found, _ := p.loads.LoadOrStore(address, &engineLoad{})
	return found.(*engineLoad)
}

// ApplyCacheEvents updates the prefix index by an engine's cache events. The index is
// only a hint, because events arrive late and some are lost.
func (p *Placer) ApplyCacheEvents(address string, events []kiln.CacheEvent) {
	for _, event := range events {
		p.prefix.apply(address, event)
	}
}

// MarkFull excludes an engine that refused a request as full from the choice of decode
// engines, for Config.FullMS.
func (p *Placer) MarkFull(address string, now time.Time) {
	storeMax(&p.load(address).fullUntil, now.Add(time.Duration(p.cfg.FullMS)*time.Millisecond))
}

// MarkFailed excludes an engine that didn't respond from placement, for
// Config.FailedMS.
func (p *Placer) MarkFailed(address string, now time.Time) {
	storeMax(&p.load(address).failedUntil, now.Add(time.Duration(p.cfg.FailedMS)*time.Millisecond))
}

// Freed returns a channel that receives a value when a request of this instance has
// released its slot.
func (p *Placer) Freed() <-chan struct{} { return p.freed }

// Allocate adds the load of a run that is about to start to its engines.
func (p *Placer) Allocate(run Run, now time.Time) *Allocation {
	allocation := &Allocation{
		placer:    p,
		run:       run,
		startedAt: now,
		// Without the observed delay, which stands for the queues of other instances.
		expectedPrefill: run.Queue + run.Compute - run.Prefill.load.delay.at(now),
	}
	allocation.run.Decode.load.slots.add(1, now)
	allocation.run.Decode.load.reservedTokens.add(int64(run.MemoryTokens), now)
	allocation.run.Prefill.load.prefillTokens.add(int64(run.ComputedTokens), now)
	allocation.holdsSlot.Store(true)
	allocation.prefilling.Store(true)
	return allocation
}

// Allocation is the load that one run puts on its engines. Its methods may be
// called in any order and more than once, but by one goroutine only.
type Allocation struct {
	placer          *Placer
	run             Run
	startedAt       time.Time
	expectedPrefill time.Duration
	holdsSlot       atomic.Bool
	reserved        atomic.Bool
	prefilling      atomic.Bool
	transferring    atomic.Bool
}

// Reserved records that the decode engine has reserved the slot.
func (a *Allocation) Reserved() { a.reserved.Store(true) }

// Prefilled records the end of the prefill. blocks are the prefix blocks that the
// engine now has in its cache.
func (a *Allocation) Prefilled(blocks []uint64, now time.Time) {
	if a.prefilling.Load() {
		a.run.Prefill.load.delay.observe(now.Sub(a.startedAt)-a.expectedPrefill, now)
	}
	a.endPrefill(now)
	for _, block := range blocks {
		a.placer.prefix.store(block, a.run.Prefill.Address)
	}
}

func (a *Allocation) endPrefill(now time.Time) {
	if a.prefilling.CompareAndSwap(true, false) {
		a.run.Prefill.load.prefillTokens.add(-int64(a.run.ComputedTokens), now)
	}
}

// Move moves the load from the decode engine to another one.
func (a *Allocation) Move(decode *Worker, now time.Time) {
	if !a.holdsSlot.Load() {
		return
	}
	a.TransferEnded()
	a.transferring.Store(false)
	a.run.Decode.load.slots.add(-1, now)
	a.run.Decode.load.reservedTokens.add(-int64(a.run.MemoryTokens), now)
	decode.load.slots.add(1, now)
	decode.load.reservedTokens.add(int64(a.run.MemoryTokens), now)
	a.run.Decode = decode
}

// TransferStarted records that the transfer of the KV cache has started.
func (a *Allocation) TransferStarted() {
	if a.transferring.CompareAndSwap(false, true) {
		a.run.Prefill.load.linkBytes.Add(a.run.KVBytes)
		a.run.Decode.load.linkBytes.Add(a.run.KVBytes)
	}
}

// TransferEnded records that the transfer of the KV cache has ended.
func (a *Allocation) TransferEnded() {
	if a.transferring.CompareAndSwap(true, false) {
		a.run.Prefill.load.linkBytes.Add(-a.run.KVBytes)
		a.run.Decode.load.linkBytes.Add(-a.run.KVBytes)
	}
}

// Close removes the load that is still on the engines.
func (a *Allocation) Close(now time.Time) {
	a.endPrefill(now)
	a.TransferEnded()
	if !a.holdsSlot.CompareAndSwap(true, false) {
		return
	}
	a.run.Decode.load.slots.add(-1, now)
	a.run.Decode.load.reservedTokens.add(-int64(a.run.MemoryTokens), now)
	if a.reserved.Load() {
		a.run.Decode.load.fullUntil.Store(0)
	}
	select {
	case a.placer.freed <- struct{}{}:
	default:
	}
}
