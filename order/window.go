package order

import (
	"time"

	"github.com/balsamlock/balsamlock/ledger"
)

// keyState is the state of an idempotency key.
type keyState uint8

// The states of a key, as read from the log. A claimed key whose lease has expired is
// reported as unknown.
const (
	stateNone keyState = iota
	stateClaimed
	stateDone
	stateUnknown
	stateReleased
)

// keyEntry is the state of one key. It is kept small, because the window holds one for
// each key.
type keyEntry struct {
	claim  uint64
	digest uint64
	// outcomeOffset is the offset of the record with the outcome.
	outcomeOffset int64
	// leaseEnd is when the owner's lease expires, in Unix seconds.
	leaseEnd uint32
	state    keyState
}

// bucketWidth is the range of issue times that share a bucket.
const bucketWidth = time.Minute

// window stores the keys of the dedupe window in buckets by issue time, so that old keys
// are evicted one bucket at a time. It isn't safe for concurrent use.
type window struct {
	buckets map[int64]map[keyHash]keyEntry
	// incompleteBefore is the issue time before which keys may have been evicted or never
	// read. It is zero if no keys are missing.
	incompleteBefore time.Time
}

func newWindow() *window {
	return &window{buckets: map[int64]map[keyHash]keyEntry{}}
}

func bucketIndex(issued time.Time) int64 {
	return issued.UnixMilli() / bucketWidth.Milliseconds()
}

// get returns the entry of a key. Its state is stateNone if the key isn't found.
func (w *window) get(hash keyHash, issued time.Time) keyEntry {
	return w.buckets[bucketIndex(issued)][hash]
}

func (w *window) put(hash keyHash, issued time.Time, entry keyEntry) {
	bucket := w.buckets[bucketIndex(issued)]
	if bucket == nil {
		bucket = map[keyHash]keyEntry{}
		w.buckets[bucketIndex(issued)] = bucket
	}
	bucket[hash] = entry
}

// evict drops the buckets that only hold keys issued before the given time.
func (w *window) evict(before time.Time) {
	limit := bucketIndex(before)
	for bucket, keys := range w.buckets {
		if bucket >= limit {
			continue
		}
		if len(keys) > 0 {
			w.markIncomplete(time.UnixMilli((bucket + 1) * bucketWidth.Milliseconds()))
		}
		delete(w.buckets, bucket)
	}
}

// markIncomplete records that keys issued before the given time may be missing.
func (w *window) markIncomplete(before time.Time) {
	if before.After(w.incompleteBefore) {
		w.incompleteBefore = before
	}
}

// complete reports whether all claims of keys with the given issue time are known.
func (w *window) complete(issued time.Time) bool {
	return w.incompleteBefore.IsZero() || !issued.Before(w.incompleteBefore)
}

// size returns the number of keys.
func (w *window) size() int {
	n := 0
	for _, bucket := range w.buckets {
		n += len(bucket)
	}
	return n
}

// applyClaim applies a claim. The claim owns the key if the key is free.
func (w *window) applyClaim(hash keyHash, issued time.Time, entry keyEntry) {
	old := w.get(hash, issued)
	free := old.state == stateNone || (old.state == stateReleased && old.claim != entry.claim)
	if !free {
		return
	}
	entry.state = stateClaimed
	w.put(hash, issued, entry)
}

// applyOutcome applies the outcome of a claim and returns the previous entry. Only the
// claim that owns the key can end, and only once. The exception is an answer that arrives
// after the outcome was recorded as unknown.
func (w *window) applyOutcome(hash keyHash, issued time.Time, claim uint64, to keyState, at ledger.Offset) keyEntry {
	old := w.get(hash, issued)
	if old.claim != claim {
		return old
	}
	next := old
	next.state = to
	next.outcomeOffset = int64(at)
	if old.state == stateClaimed || (old.state == stateUnknown && to == stateDone) {
		w.put(hash, issued, next)
	}
	return old
}
