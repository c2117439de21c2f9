package plan

import (
	"sync/atomic"
	"time"

	"github.com/balsamlock/balsamlock/common/uptime"
)

// Proof is the time as of which no newer table existed than the one that was loaded with it. The zero value
// proves nothing.
type Proof struct{ asOf uptime.Instant }

// AsOf returns the time of the proof, or the zero value if it proves nothing.
func (p Proof) AsOf() uptime.Instant { return p.asOf }

// Age returns the age of the proof, or false if it proves nothing.
func (p Proof) Age(now uptime.Instant) (time.Duration, bool) {
	return now.Sub(p.asOf), !p.asOf.IsZero()
}

// IsWithin reports whether the proof is at most limit old.
func (p Proof) IsWithin(limit time.Duration, now uptime.Instant) bool {
	age, ok := p.Age(now)
	return ok && age <= limit
}

// TableHolder holds the active routing table and its proof. The zero value holds none.
type TableHolder struct {
	current atomic.Pointer[Table]
	proof   atomic.Pointer[Proof]
}

// Current returns the active table, or nil if there is none.
func (h *TableHolder) Current() *Table { return h.current.Load() }

// CurrentWithProof returns the active table, or nil if there is none, and the proof that it is the newest.
// The age of the proof must be computed with a clock that is read afterwards.
func (h *TableHolder) CurrentWithProof() (*Table, Proof) {
	// A table that is stored after the proof was loaded is newer than the proof requires.
	var proof Proof
	if p := h.proof.Load(); p != nil {
		proof = *p
	}
	return h.current.Load(), proof
}

// Prove records that no newer table than the active one existed at the time asOf. A proof that is younger
// now stays.
func (h *TableHolder) Prove(asOf, now uptime.Instant) {
	next := &Proof{asOf: asOf}
	for {
		before := h.proof.Load()
		if before != nil && now.Sub(before.asOf) <= now.Sub(asOf) {
			return
		}
		if h.proof.CompareAndSwap(before, next) {
			return
		}
	}
}

// StoreIfNewer activates a table if its version is higher than that of the
// active one, so that the table never reverts. It reports whether it did.
func (h *TableHolder) StoreIfNewer(next *Table) bool {
	for {
		current := h.current.Load()
		if current != nil && current.version >= next.version {
			return false
		}
		if h.current.CompareAndSwap(current, next) {
			return true
		}
	}
}
