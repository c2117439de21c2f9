package intake

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/balsamlock/balsamlock/receipt"
)

// servedMemory is how long a part counts as harmless after a server has served a request with it. A part
// that becomes harmful is quarantined this much later.
const servedMemory = 30 * time.Second

// Quarantine holds the evidence on prompts that crash servers, and the parts that were served lately.
// Checks take no lock. It is safe for concurrent use.
type Quarantine struct {
	// mu serializes changes of evidence.
	mu       sync.Mutex
	evidence atomic.Pointer[CrashEvidence]
	// served maps parts to the time at which a request with them was last served, as *atomic.Int64 in
	// Unix nanoseconds.
	served sync.Map
	// blocked maps the keys of sets to the time at which they last blocked a request, as a time.Time.
	blocked sync.Map
}

// SetKey returns a key for a set of sorted parts.
func SetKey(parts []string) string { return strings.Join(parts, " ") }

// NewQuarantine returns a Quarantine without evidence.
func NewQuarantine() *Quarantine {
	q := &Quarantine{}
	q.evidence.Store(&CrashEvidence{})
	return q
}

// quarantinedError names the quarantined parts of a prompt.
type quarantinedError struct{ parts []string }

func (e *quarantinedError) Error() string {
	return fmt.Sprintf("prompts with the parts %s crash servers", strings.Join(e.parts, " "))
}

// Check returns the reason for refusing a prompt with these parts, or nil if it may be sent.
func (q *Quarantine) Check(parts []string) *receipt.Reason {
	if len(parts) == 0 {
		return nil
	}
	now := time.Now()
	set, blocked := q.evidence.Load().Blocking(parts, now)
	if !blocked {
		return nil
	}
	q.blocked.Store(SetKey(set.Parts), now)
	return &receipt.Reason{
		Code:       receipt.CodeQuarantined,
		Step:       receipt.StepAdmit,
		RetryAfter: set.Until.Sub(now),
		Err:        &quarantinedError{parts: set.Parts},
	}
}

// Served records that a server has served a request with these parts past its start. It returns the
// parts that occur in the evidence, which other instances should learn of.
func (q *Quarantine) Served(parts []string) []string {
	now := time.Now().UnixNano()
	var mentioned []string
	evidence := q.evidence.Load()
	for _, part := range parts {
		at, ok := q.served.Load(part)
		if !ok {
			at, _ = q.served.LoadOrStore(part, &atomic.Int64{})
		}
		at.(*atomic.Int64).Store(now)
		if evidence.Mentions(part) {
			mentioned = append(mentioned, part)
		}
	}
	if len(mentioned) > 0 {
		q.update(func(e CrashEvidence) CrashEvidence { return e.WithServed(mentioned) })
	}
	return mentioned
}

// servedLately reports whether this instance has seen a request with the part served.
func (q *Quarantine) servedLately(part string) bool {
	at, ok := q.served.Load(part)
	return ok && time.Since(time.Unix(0, at.(*atomic.Int64).Load())) < servedMemory
}

// SplitServed separates the parts which this instance has seen served from the others.
func (q *Quarantine) SplitServed(parts []string) (served, others []string) {
	for _, part := range parts {
		if q.servedLately(part) {
			served = append(served, part)
		} else {
			others = append(others, part)
		}
	}
	return served, others
}

// AddCrash adds a crash that this or another instance has seen.
func (q *Quarantine) AddCrash(c Crash) {
	q.update(func(e CrashEvidence) CrashEvidence { return e.WithCrash(c) })
}

// AddServed adds parts which another instance has seen served.
func (q *Quarantine) AddServed(parts []string) {
	q.update(func(e CrashEvidence) CrashEvidence { return e.WithServed(parts) })
}

// AddQuarantine adds a set that another instance has quarantined.
func (q *Quarantine) AddQuarantine(parts []string) {
	q.update(func(e CrashEvidence) CrashEvidence { return e.WithQuarantine(parts, time.Now()) })
}

// Mentions reports whether a part occurs in the evidence.
func (q *Quarantine) Mentions(part string) bool { return q.evidence.Load().Mentions(part) }

// Sets returns the quarantined sets.
func (q *Quarantine) Sets() []QuarantinedSet { return q.evidence.Load().Sets() }

// BlockedSince reports whether a set has blocked a request since t.
func (q *Quarantine) BlockedSince(parts []string, t time.Time) bool {
	at, ok := q.blocked.Load(SetKey(parts))
	return ok && at.(time.Time).After(t)
}

// Forget drops the parts that were served too long ago to count.
func (q *Quarantine) Forget() {
	q.served.Range(func(part, _ any) bool {
		if !q.servedLately(part.(string)) {
			q.served.Delete(part)
		}
		return true
	})
}

func (q *Quarantine) update(change func(e CrashEvidence) CrashEvidence) {
	q.mu.Lock()
	defer q.mu.Unlock()
	next := change(*q.evidence.Load())
	q.evidence.Store(&next)
}
