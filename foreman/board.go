package foreman

import (
	"slices"
	"sync"
	"time"

	"github.com/balsamlock/balsamlock/kiln"
	"github.com/balsamlock/balsamlock/ledger"
)

// maxRefused bounds the refused claims remembered for each server.
const maxRefused = 16

// Claim is a granted claim.
type Claim struct {
	ID     string
	Issuer string
	// Offset is the order's fencing number.
	Offset ledger.Offset
	Order  kiln.OrderRequest
	// Until is the log's time from which the order can no longer take effect.
	Until  time.Time
	Closed bool
}

// ServerState is what the log says about one server.
type ServerState struct {
	// Claim is the last one granted; its ID is empty when there is none.
	Claim Claim
	// Document is the highest document that a granted claim rests on.
	Document ledger.Offset
	// DrainUntil is the end of the last drain, by the log's time; DrainSeen is
	// when this instance read of it.
	DrainUntil time.Time
	DrainSeen  time.Time
	// Superseded is the end of the last change of role whose claim was replaced
	// while it was open; it may still take effect until then.
	Superseded time.Time
	// Refused are the ids of the last claims that were not granted.
	Refused []string
}

// Open tells whether the last claim may still take effect at a time of the log.
func (s ServerState) Open(now time.Time) bool {
	return s.Claim.ID != "" && !s.Claim.Closed && now.Before(s.Claim.Until)
}

// closed returns the state after the end of the claim. Once no change of role can
// take effect any more, the drain that it needed is over.
func (s ServerState) closed(at time.Time) ServerState {
	s.Claim.Closed = true
	if s.Claim.Order.Kind == kiln.OrderChangeRole && !s.Superseded.After(at) {
		s.DrainUntil = at
	}
	return s
}

// ClaimTable is the state of all claims, replayed from the log. It is a
// ledger.Handler and safe for concurrent use.
type ClaimTable struct {
	cfg Config

	mu      sync.RWMutex
	servers map[string]ServerState
	bucket  bucket
	// restartedAt is when records may have been missed, by the local clock.
	restartedAt time.Time
}

// NewClaimTable returns an empty board.
func NewClaimTable(cfg Config) *ClaimTable {
	return &ClaimTable{
		cfg:     cfg,
		servers: map[string]ServerState{},
		bucket:  newBucket(cfg),
	}
}

// Restart forgets everything.
func (b *ClaimTable) Restart(reason ledger.RestartReason, oldest ledger.Offset) {
	b.mu.Lock()
	defer b.mu.Unlock()
	clear(b.servers)
	b.bucket = newBucket(b.cfg)
	b.restartedAt = time.Time{}
	if reason != ledger.RestartFirst || oldest > 0 {
		b.restartedAt = time.Now()
	}
}

// Apply replays records. Those that can't be decoded are passed over, by all
// instances alike.
func (b *ClaimTable) Apply(records []ledger.Record) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(records) > 0 && time.Since(records[0].At) >= b.cfg.claimTime() {
		b.restartedAt = time.Time{}
	}
	for _, record := range records {
		r, err := DecodeRecord(record.Payload)
		if err != nil {
			continue
		}
		b.servers[r.Server] = b.replay(b.servers[r.Server], r, record)
	}
}

func (b *ClaimTable) replay(s ServerState, r Record, record ledger.Record) ServerState {
	switch r.Kind {
	case KindDrain:
		s.DrainSeen = time.Now()
		s.DrainUntil = record.At.Add(2*ms(b.cfg.DrainMS) + b.cfg.claimTime())
	case KindClose:
		if s.Claim.Offset == r.Claim && s.Claim.Issuer == r.Issuer {
			s = s.closed(record.At)
		}
	case KindClaim:
		if !b.grants(s, r, record.At) {
			s.Refused = append(slices.Clone(s.Refused), r.ID)
			s.Refused = s.Refused[max(0, len(s.Refused)-maxRefused):]
			return s
		}
		if s.Open(record.At) && s.Claim.Order.Kind == kiln.OrderChangeRole {
			s.Superseded = s.Claim.Until
		}
		s.Document = r.Document
		s.Claim = Claim{
			ID:     r.ID,
			Issuer: r.Issuer,
			Offset: record.Offset,
			Order:  *r.Order,
			Until:  record.At.Add(b.cfg.claimTime()),
		}
	}
	return s
}

// grants tells whether a claim is granted, and spends the bucket's token.
func (b *ClaimTable) grants(s ServerState, r Record, at time.Time) bool {
	if r.Document < s.Document {
		return false
	}
	if s.Open(at) && !r.Shared {
		return false
	}
	if isLoad(*r.Order) {
		return b.bucket.take(at)
	}
	return true
}

func isLoad(order kiln.OrderRequest) bool {
	return order.Kind == kiln.OrderLoadModel || order.Kind == kiln.OrderLoadAdapter
}

// Server returns what the log says about a server.
func (b *ClaimTable) Server(name string) ServerState {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.servers[name]
}

// LoadReady tells whether a load could be claimed at a time of the log.
func (b *ClaimTable) LoadReady(now time.Time) bool {
	b.mu.RLock()
	defer b.mu.RUnlock()
	bucket := b.bucket
	return bucket.take(now)
}

// Settled tells whether no claim that was missed can still take effect.
func (b *ClaimTable) Settled() bool {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return time.Since(b.restartedAt) >= b.cfg.claimTime()
}

// Draining tells whether a server gets no new work, because its role is about to
// change. The log's clock and the local one may differ by some seconds.
func (b *ClaimTable) Draining(server string) bool {
	return time.Now().Before(b.Server(server).DrainUntil)
}

// bucket is a token bucket by the log's time.
type bucket struct {
	perSecond, burst float64
	tokens           float64
	at               time.Time
}

func newBucket(cfg Config) bucket {
	const secondsPerMinute = 60
	return bucket{
		perSecond: cfg.LoadsPerMinute / secondsPerMinute,
		burst:     cfg.LoadBurst,
		tokens:    cfg.LoadBurst,
	}
}

func (k *bucket) take(at time.Time) bool {
	if !k.at.IsZero() && at.After(k.at) {
		k.tokens = min(k.burst, k.tokens+at.Sub(k.at).Seconds()*k.perSecond)
	}
	if k.at.IsZero() || at.After(k.at) {
		k.at = at
	}
	if k.tokens < 1 {
		return false
	}
	k.tokens--
	return true
}

var _ ledger.Handler = (*ClaimTable)(nil)
