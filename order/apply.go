package order

import (
	"time"

	"github.com/phuslu/log"

	"github.com/balsamlock/balsamlock/common/invariant"
	"github.com/balsamlock/balsamlock/ledger"
	"github.com/balsamlock/balsamlock/order/orderpb"
)

// Restart drops all keys. If records were lost, claims of keys issued up to now may be
// among them, so that submissions with these keys are no longer run.
func (e *Executor) Restart(reason ledger.RestartReason, oldest ledger.Offset) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.window = newWindow()
	e.awaitingFirstEntry = oldest > 0 && reason != ledger.RestartRewound
	if oldest > 0 || reason != ledger.RestartFirst {
		e.markIncomplete(time.Now())
	}
	e.notifyAll()
}

// markIncomplete records that claims appended before the given time may be missing. A key
// can be claimed at most MaxFutureMS before its issue time, so that keys issued up to
// that much later are affected.
func (e *Executor) markIncomplete(at time.Time) {
	e.window.markIncomplete(at.Add(millis(e.deps.Config.MaxFutureMS)))
}

// Apply applies the entries of one log record. It locks the mutex for each entry, so that
// requests don't wait for a whole batch.
func (e *Executor) Apply(entries []ledger.Entry) {
	for _, logEntry := range entries {
		record, err := decode(logEntry.Item)
		if err != nil {
			log.Error().Str("step", "decode").Int64("offset", int64(logEntry.Offset)).Err(err).Msg("skipped invalid entry")
			continue
		}
		e.applyEntry(logEntry, record)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.evict(time.Now())
}

func (e *Executor) applyEntry(logEntry ledger.Entry, record *orderpb.Record) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.updateIncomplete(logEntry.At)
	e.applyRecord(logEntry, record)
}

// updateIncomplete moves the incompleteness bound back to the time of the first record
// that was read after a restart. All later records were read.
func (e *Executor) updateIncomplete(at time.Time) {
	if !e.awaitingFirstEntry {
		return
	}
	e.awaitingFirstEntry = false
	if bound := at.Add(millis(e.deps.Config.MaxFutureMS)); bound.Before(e.window.incompleteBefore) {
		e.window.incompleteBefore = bound
	}
}

func (e *Executor) applyRecord(logEntry ledger.Entry, record *orderpb.Record) {
	hash := keyHash(record.GetKey())
	issued := time.UnixMilli(record.GetIssued())
	id := record.GetClaim()
	switch body := record.GetBody().(type) {
	case *orderpb.Record_Claimed:
		lease := time.Duration(body.Claimed.GetLeaseMs()) * time.Millisecond
		e.window.applyClaim(hash, issued, keyEntry{
			claim:    id,
			digest:   body.Claimed.GetDigest(),
			leaseEnd: uint32(logEntry.At.Add(lease).Unix()),
		})
		e.releaseAbandoned(hash, issued, id)
	case *orderpb.Record_Done:
		e.applyOutcome(hash, issued, id, stateDone, logEntry.Offset)
	case *orderpb.Record_Unknown:
		e.applyOutcome(hash, issued, id, stateUnknown, logEntry.Offset)
	case *orderpb.Record_Released:
		e.window.applyOutcome(hash, issued, id, stateReleased, logEntry.Offset)
	}
	e.notify(hash)
}

// applyOutcome applies the outcome of work that was sent. It checks that the claim owns
// the key. The check is skipped if earlier claims may be missing.
func (e *Executor) applyOutcome(hash keyHash, issued time.Time, id uint64, to keyState, at ledger.Offset) {
	old := e.window.applyOutcome(hash, issued, id, to, at)
	allowed := old.state == stateNone || old.claim == id && old.state != stateReleased || !e.window.complete(issued)
	invariant.Check(allowed, invariant.AtMostOnce, "claim %x ended at offset %d, but claim %x owns the key", id, at, old.claim)
}

// releaseAbandoned releases the key if the claim, which was found in the log, was
// abandoned.
func (e *Executor) releaseAbandoned(hash keyHash, issued time.Time, id uint64) {
	if _, ok := e.abandoned[id]; !ok {
		return
	}
	delete(e.abandoned, id)
	c := claim{
		key:    hash,
		issued: issued,
		id:     id,
	}
	raw, err := c.encodeRelease()
	if err != nil {
		return
	}
	e.running.Go(func() { e.appendRecord(raw) })
}

func (e *Executor) evict(now time.Time) {
	if now.Sub(e.lastEviction) < bucketWidth {
		return
	}
	e.lastEviction = now
	retention := millis(e.deps.Config.DedupeWindowMS) + millis(e.deps.Config.MaxFutureMS) + bucketWidth
	e.window.evict(now.Add(-retention))
}

// watch returns a channel that is closed on the next change of the key.
func (e *Executor) watch(hash keyHash) <-chan struct{} {
	ch := e.watchers[hash]
	if ch == nil {
		ch = make(chan struct{})
		e.watchers[hash] = ch
	}
	return ch
}

func (e *Executor) notify(hash keyHash) {
	if ch, ok := e.watchers[hash]; ok {
		close(ch)
		delete(e.watchers, hash)
	}
}

func (e *Executor) notifyAll() {
	for hash := range e.watchers {
		e.notify(hash)
	}
}

var _ ledger.EntryHandler = (*Executor)(nil)
