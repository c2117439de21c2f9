package order

import (
	"time"

	"github.com/phuslu/log"

	"github.com/balsamlock/balsamlock/common/invariant"
	"github.com/balsamlock/balsamlock/ledger"
	"github.com/balsamlock/balsamlock/order/orderpb"
)

// Restart drops the window. Keys whose claims may have been among records that
// can't be read any more are refused from now on.
func (b *Executor) Restart(reason ledger.RestartReason, oldest ledger.Offset) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window = newWindow()
	b.unread = oldest > 0 && reason != ledger.RestartRewound
	if oldest > 0 || reason != ledger.RestartFirst {
		b.loseBefore(time.Now())
	}
	b.wakeAll()
}

// loseBefore notes that claims appended before a time may be missing. A claim
// is made at the earliest when its key lies no further ahead than allowed.
func (b *Executor) loseBefore(at time.Time) {
	b.window.lose(at.Add(millis(b.deps.Config.MaxFutureMS)))
}

// Apply takes the entries of one record. The lock is held for one entry at a
// time, so that no request waits for a whole batch.
func (b *Executor) Apply(entries []ledger.Entry) {
	for _, found := range entries {
		record, err := decode(found.Item)
		if err != nil {
			log.Error().Str("step", "decode").Int64("offset", int64(found.Offset)).Err(err).Msg("entry ignored")
			continue
		}
		b.applyEntry(found, record)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.evict(time.Now())
}

func (b *Executor) applyEntry(found ledger.Entry, record *orderpb.Record) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.readFrom(found.At)
	b.applyRecord(found, record)
}

// readFrom lowers the bound of what is missing to the time of the first record
// that was read after a start over.
func (b *Executor) readFrom(at time.Time) {
	if !b.unread {
		return
	}
	b.unread = false
	if lost := at.Add(millis(b.deps.Config.MaxFutureMS)); lost.Before(b.window.lost) {
		b.window.lost = lost
	}
}

func (b *Executor) applyRecord(found ledger.Entry, record *orderpb.Record) {
	s := slot(record.GetKey())
	issued := time.UnixMilli(record.GetIssued())
	id := record.GetClaim()
	switch body := record.GetBody().(type) {
	case *orderpb.Record_Claimed:
		lease := time.Duration(body.Claimed.GetLeaseMs()) * time.Millisecond
		b.window.claimed(s, issued, entry{
			claim:   id,
			digest:  body.Claimed.GetDigest(),
			expires: uint32(found.At.Add(lease).Unix()),
		})
		b.giveBack(s, issued, id)
	case *orderpb.Record_Done:
		b.applyEnd(s, issued, id, stateDone, found.Offset)
	case *orderpb.Record_Unknown:
		b.applyEnd(s, issued, id, stateUnknown, found.Offset)
	case *orderpb.Record_Released:
		b.window.ended(s, issued, id, stateReleased, found.Offset)
	}
	b.wake(s)
}

// applyEnd applies the end of work that was sent. Only the claim that has the
// key may have sent it, which can't be judged where earlier claims are missing.
func (b *Executor) applyEnd(s slot, issued time.Time, id uint64, to state, at ledger.Offset) {
	old := b.window.ended(s, issued, id, to, at)
	own := old.state == stateNone || old.claim == id && old.state != stateReleased || !b.window.covers(issued)
	invariant.Check(own, invariant.AtMostOnce, "claim %x ended at offset %d while claim %x has the key", id, at, old.claim)
}

// giveBack releases an abandoned claim that got into the log late.
func (b *Executor) giveBack(s slot, issued time.Time, id uint64) {
	if _, ok := b.abandoned[id]; !ok {
		return
	}
	delete(b.abandoned, id)
	c := claim{
		slot:   s,
		issued: issued,
		id:     id,
	}
	raw, err := c.encodeRelease()
	if err != nil {
		return
	}
	b.work.Go(func() { b.record(raw) })
}

func (b *Executor) evict(now time.Time) {
	if now.Sub(b.evicted) < bucketSpan {
		return
	}
	b.evicted = now
	kept := millis(b.deps.Config.DedupeWindowMS) + millis(b.deps.Config.MaxFutureMS) + bucketSpan
	b.window.evict(now.Add(-kept))
}

// watch returns a channel that is closed on the next news of a key.
func (b *Executor) watch(s slot) <-chan struct{} {
	ch := b.watchers[s]
	if ch == nil {
		ch = make(chan struct{})
		b.watchers[s] = ch
	}
	return ch
}

func (b *Executor) wake(s slot) {
	if ch, ok := b.watchers[s]; ok {
		close(ch)
		delete(b.watchers, s)
	}
}

func (b *Executor) wakeAll() {
	for s := range b.watchers {
		b.wake(s)
	}
}

var _ ledger.EntryHandler = (*Executor)(nil)
