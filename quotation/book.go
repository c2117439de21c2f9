package quotation

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/balsamlock/balsamlock/common/bucket"
	"github.com/balsamlock/balsamlock/crew"
	"github.com/balsamlock/balsamlock/kiln"
)

// Servers gives the backend servers with their newest loads. The slice is
// immutable; a change of any server gives a new slice.
type Servers interface{ Servers() []crew.Server }

// Deps are the parts that a Book works with.
type Deps struct {
	Servers Servers
	// Links decides about traffic between regions; nil for the one rate of the
	// settings.
	Links  Links
	Config Config
}

// Links bounds the traffic between regions.
type Links interface {
	// Take spends bytes of the link from the request's data centre to a region
	// and tells whether they were there; otherwise nothing is spent.
	Take(req Request, region string, bytes int64, now time.Time) bool
}

// Placer places requests by the servers' reports and this instance's own
// requests in progress. It is safe for concurrent use.
type Placer struct {
	servers Servers
	links   Links
	cfg     Config
	fleet   atomic.Pointer[Fleet]
	tallies sync.Map // address to *tally
	prefix  *prefixIndex
	turn    atomic.Uint64
	abroad  bucket.Bucket
	// crossRegion counts the bytes booked on the links between regions.
	crossRegion atomic.Int64
	freed       chan struct{}
}

// NewPlacer returns a Book. A zero Config means DefaultConfig.
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

func (b *Placer) view(now time.Time) view {
	return view{
		fleet:  b.Fleet(now),
		prefix: b.prefix,
		cfg:    b.cfg,
		now:    now,
		turn:   b.turn.Load(),
	}
}

// MinReadyIn returns the least time until the KV cache of a request could be at
// a decode engine, if nothing had to wait.
func (b *Placer) MinReadyIn(req Request, now time.Time) time.Duration {
	v := b.view(now)
	l := v.fleet.lanes[req.Model]
	if l == nil {
		return 0
	}
	run, _ := v.choosePrefill(l.prefill[v.home(&req)], &req, nil)
	if run.Prefill == nil {
		return 0
	}
	return run.Compute + seconds(float64(run.KVBytes)/b.cfg.LinkBytesPerSecond)
}

// Place decides where a request should run.
func (b *Placer) Place(req Request, now time.Time) Decision {
	v := b.view(now)
	v.turn = b.turn.Add(1)
	decision := v.place(&req)
	run, ok := decision.(Run)
	if ok && run.CrossRegionBytes > 0 && !b.mayGoAbroad(req, run, now) {
		return Wait{For: b.cfg.retry()}
	}
	return decision
}

func (b *Placer) mayGoAbroad(req Request, run Run, now time.Time) bool {
	var ok bool
	if b.links != nil {
		ok = b.links.Take(req, run.Decode.Region, run.CrossRegionBytes, now)
	} else {
		_, ok = b.abroad.Take(float64(run.CrossRegionBytes), b.cfg.CrossRegionBytesPerSecond, now)
	}
	if ok {
		b.crossRegion.Add(run.CrossRegionBytes)
	}
	return ok
}

// CrossRegionBytes returns the traffic booked on the links between regions so
// far.
func (b *Placer) CrossRegionBytes() int64 { return b.crossRegion.Load() }

// Fleet returns the snapshot that decisions at a time are based on.
func (b *Placer) Fleet(now time.Time) *Fleet {
	fleet := b.fleet.Load()
	if fleet != nil && now.Sub(fleet.built) < time.Duration(b.cfg.SnapshotMS)*time.Millisecond {
		return fleet
	}
	servers := b.servers.Servers()
	if fleet != nil && fleet.sameServers(servers) {
		return fleet
	}
	next := newFleet(servers, b.cfg, b.tally, now)
	b.fleet.Store(next)
	return next
}

func (f *Fleet) sameServers(servers []crew.Server) bool {
	if len(servers) != f.count {
		return false
	}
	return f.count == 0 || f.first == &servers[0]
}

func (b *Placer) tally(address string) *tally {
	if found, ok := b.tallies.Load(address); ok {
		return found.(*tally)
	}
	found, _ := b.tallies.LoadOrStore(address, &tally{})
	return found.(*tally)
}

// ApplyCacheEvents takes in cache events of an engine. They are hints.
func (b *Placer) ApplyCacheEvents(address string, events []kiln.CacheEvent) {
	for _, event := range events {
		b.prefix.apply(address, event)
	}
}

// MarkFull keeps requests from an engine that refused as full for a short time.
func (b *Placer) MarkFull(address string, now time.Time) {
	raise(&b.tally(address).fullUntil, now.Add(time.Duration(b.cfg.FullMS)*time.Millisecond))
}

// MarkFailed keeps requests from an engine that gave no answer for a time.
func (b *Placer) MarkFailed(address string, now time.Time) {
	raise(&b.tally(address).failedUntil, now.Add(time.Duration(b.cfg.FailedMS)*time.Millisecond))
}

// Freed signals that a slot of this instance became free.
func (b *Placer) Freed() <-chan struct{} { return b.freed }

// Allocate records that a run is about to start.
func (b *Placer) Allocate(run Run, now time.Time) *Allocation {
	booking := &Allocation{
		book:  b,
		run:   run,
		began: now,
		// What of the queue is due to others is known from the delay only.
		expected: run.Queue + run.Compute - run.Prefill.tally.delay.at(now),
	}
	booking.run.Decode.tally.slots.add(1, now)
	booking.run.Decode.tally.memory.add(int64(run.MemoryTokens), now)
	booking.run.Prefill.tally.tokens.add(int64(run.ComputedTokens), now)
	booking.slot.Store(true)
	booking.prefill.Store(true)
	return booking
}

// Allocation is the load that one run puts on its engines. Its methods may be
// called in any order and more than once, by one goroutine.
type Allocation struct {
	book     *Placer
	run      Run
	began    time.Time
	expected time.Duration
	slot     atomic.Bool
	reserved atomic.Bool
	prefill  atomic.Bool
	transfer atomic.Bool
}

// Reserved records that the engine has given the slot.
func (k *Allocation) Reserved() { k.reserved.Store(true) }

// Prefilled records the end of the prefill; blocks are the prefix blocks that
// the engine caches now.
func (k *Allocation) Prefilled(blocks []uint64, now time.Time) {
	if k.prefill.Load() {
		k.run.Prefill.tally.delay.observe(now.Sub(k.began)-k.expected, now)
	}
	k.endPrefill(now)
	for _, block := range blocks {
		k.book.prefix.store(block, k.run.Prefill.Address)
	}
}

func (k *Allocation) endPrefill(now time.Time) {
	if k.prefill.CompareAndSwap(true, false) {
		k.run.Prefill.tally.tokens.add(-int64(k.run.ComputedTokens), now)
	}
}

// Move takes the slot to another decode engine.
func (k *Allocation) Move(decode *Worker, now time.Time) {
	if !k.slot.Load() {
		return
	}
	k.TransferEnded()
	k.transfer.Store(false)
	k.run.Decode.tally.slots.add(-1, now)
	k.run.Decode.tally.memory.add(-int64(k.run.MemoryTokens), now)
	decode.tally.slots.add(1, now)
	decode.tally.memory.add(int64(k.run.MemoryTokens), now)
	k.run.Decode = decode
}

// TransferStarted records that the KV cache is on the link.
func (k *Allocation) TransferStarted() {
	if k.transfer.CompareAndSwap(false, true) {
		k.run.Prefill.tally.bytes.Add(k.run.KVBytes)
		k.run.Decode.tally.bytes.Add(k.run.KVBytes)
	}
}

// TransferEnded records that the KV cache is off the link.
func (k *Allocation) TransferEnded() {
	if k.transfer.CompareAndSwap(true, false) {
		k.run.Prefill.tally.bytes.Add(-k.run.KVBytes)
		k.run.Decode.tally.bytes.Add(-k.run.KVBytes)
	}
}

// Close ends the booking.
func (k *Allocation) Close(now time.Time) {
	k.endPrefill(now)
	k.TransferEnded()
	if !k.slot.CompareAndSwap(true, false) {
		return
	}
	k.run.Decode.tally.slots.add(-1, now)
	k.run.Decode.tally.memory.add(-int64(k.run.MemoryTokens), now)
	if k.reserved.Load() {
		k.run.Decode.tally.fullUntil.Store(0)
	}
	select {
	case k.book.freed <- struct{}{}:
	default:
	}
}
