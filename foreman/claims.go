package foreman

import (
	"slices"
	"sync"
	"time"

	"github.com/balsamlock/balsamlock/kiln"
	"github.com/balsamlock/balsamlock/ledger"
)

// maxRefusedIDs limits the refused claims that are remembered for each server.
const maxRefusedIDs = 16

// Claim is the exclusive or shared right of an issuer to send one order to a server.
type Claim struct {
	ID     string
	Issuer string
	// Offset is the offset of the claim in the log and the order's fencing token.
	Offset ledger.Offset
	Order  kiln.OrderRequest
	// ExpiresAt is the log time from which the order can no longer take effect.
	ExpiresAt time.Time
	Closed    bool
}

// ServerState is the state of one server, replayed from the log.
type ServerState struct {
	// Claim is the last claim that was granted. Its ID is empty if there is none.
	Claim Claim
	// Document is the highest offset of a document that a granted claim is based on.
	Document ledger.Offset
	// DrainUntil is the end of the last drain, in log time. DrainSeenAt is the local time
	// at which this instance read the drain record.
	DrainUntil  time.Time
	DrainSeenAt time.Time
	// SupersededUntil is the expiry of the last claim for a change of role that was
	// replaced while it was open. Its order may take effect until then.
	SupersededUntil time.Time
	// RefusedIDs holds the IDs of the most recent claims that were not granted.
	RefusedIDs []string
}

// Open reports whether the order of the last claim may still take effect at log time now.
func (s ServerState) Open(now time.Time) bool {
	return s.Claim.ID != "" && !s.Claim.Closed && now.Before(s.Claim.ExpiresAt)
}

// withClaimClosed returns the state after the claim was closed. The drain for a change of
// role ends as soon as no such order can take effect anymore.
func (s ServerState) withClaimClosed(at time.Time) ServerState {
	s.Claim.Closed = true
	if s.Claim.Order.Kind == kiln.OrderChangeRole && !s.SupersededUntil.After(at) {
		s.DrainUntil = at
	}
	return s
}

// ClaimTable holds the claims of all servers, replayed from the log. It implements
// ledger.Handler and is safe for concurrent use.
type ClaimTable struct {
	cfg Config

	mu      sync.RWMutex
	servers map[string]ServerState
	loads   tokenBucket
	// restartedAt is the local time of the last restart that may have missed records. It
	// is zero if no record was missed or all missed claims have expired.
	restartedAt time.Time
}

// NewClaimTable returns an empty table.
func NewClaimTable(cfg Config) *ClaimTable {
	return &ClaimTable{
		cfg:     cfg,
		servers: map[string]ServerState{},
		loads:   newTokenBucket(cfg),
	}
}

// Restart discards the replayed state.
func (t *ClaimTable) Restart(reason ledger.RestartReason, oldest ledger.Offset) {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.servers)
	t.loads = newTokenBucket(t.cfg)
	t.restartedAt = time.Time{}
	if reason != ledger.RestartFirst || oldest > 0 {
		t.restartedAt = time.Now()
	}
}

// Apply replays records. It skips those that can't be decoded; all instances skip the
// same ones.
func (t *ClaimTable) Apply(records []ledger.Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(records) > 0 && time.Since(records[0].At) >= t.cfg.claimDuration() {
		t.restartedAt = time.Time{}
	}
	for _, record := range records {
		r, err := DecodeRecord(record.Payload)
		if err != nil {
			continue
		}
		t.servers[r.Server] = t.replay(t.servers[r.Server], r, record)
	}
}

func (t *ClaimTable) replay(s ServerState, r Record, record ledger.Record) ServerState {
	switch r.Kind {
	case KindDrain:
		s.DrainSeenAt = time.Now()
		s.DrainUntil = record.At.Add(2*milliseconds(t.cfg.DrainTimeoutMS) + t.cfg.claimDuration())
	case KindClose:
		if s.Claim.Offset == r.Claim && s.Claim.Issuer == r.Issuer {
			s = s.withClaimClosed(record.At)
		}
	case KindClaim:
		if !t.tryGrant(s, r, record.At) {
			s.RefusedIDs = append(slices.Clone(s.RefusedIDs), r.ID)
			s.RefusedIDs = s.RefusedIDs[max(0, len(s.RefusedIDs)-maxRefusedIDs):]
			return s
		}
		if s.Open(record.At) && s.Claim.Order.Kind == kiln.OrderChangeRole {
			s.SupersededUntil = s.Claim.ExpiresAt
		}
		s.Document = r.Document
		s.Claim = Claim{
			ID:        r.ID,
			Issuer:    r.Issuer,
			Offset:    record.Offset,
			Order:     *r.Order,
			ExpiresAt: record.At.Add(t.cfg.claimDuration()),
		}
	}
	return s
}

// tryGrant reports whether a claim is granted. If it is for a load, tryGrant takes a token
// from the bucket.
func (t *ClaimTable) tryGrant(s ServerState, r Record, at time.Time) bool {
	if r.Document < s.Document {
		return false
	}
	if s.Open(at) && !r.Shared {
		return false
	}
	if isLoad(*r.Order) {
		return t.loads.take(at)
	}
	return true
}

func isLoad(order kiln.OrderRequest) bool {
	return order.Kind == kiln.OrderLoadModel || order.Kind == kiln.OrderLoadAdapter
}

// Server returns the replayed state of a server.
func (t *ClaimTable) Server(name string) ServerState {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.servers[name]
}

// LoadAllowed reports whether the rate limit admits a claim for a load at log time now.
func (t *ClaimTable) LoadAllowed(now time.Time) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	bucket := t.loads
	return bucket.take(now)
}

// Settled reports whether all claims that a restart may have missed have expired.
func (t *ClaimTable) Settled() bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return time.Since(t.restartedAt) >= t.cfg.claimDuration()
}

// Draining reports whether a server must get no new work, because its role is about to
// change. It compares log time with the local clock, which may differ by some seconds.
func (t *ClaimTable) Draining(server string) bool {
	return time.Now().Before(t.Server(server).DrainUntil)
}

// tokenBucket is a token bucket that is refilled by log time.
type tokenBucket struct {
	perSecond, burst float64
	tokens           float64
	updatedAt        time.Time
}

func newTokenBucket(cfg Config) tokenBucket {
	const secondsPerMinute = 60
	return tokenBucket{
		perSecond: cfg.LoadsPerMinute / secondsPerMinute,
		burst:     cfg.LoadBurst,
		tokens:    cfg.LoadBurst,
	}
}

func (b *tokenBucket) take(at time.Time) bool {
	if !b.updatedAt.IsZero() && at.After(b.updatedAt) {
		b.tokens = min(b.burst, b.tokens+at.Sub(b.updatedAt).Seconds()*b.perSecond)
	}
	if b.updatedAt.IsZero() || at.After(b.updatedAt) {
		b.updatedAt = at
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

var _ ledger.Handler = (*ClaimTable)(nil)
