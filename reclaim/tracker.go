package reclaim

import (
	"sync"
	"sync/atomic"
)

type heldKey struct{ attempt, engine string }

// Tracker records what this instance holds on each engine. It is safe for concurrent use,
// and its calls don't block each other.
type Tracker struct {
	held    sync.Map // heldKey to int, the number of holds
	engines sync.Map // address to *atomic.Int64, the number of attempts
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker { return &Tracker{} }

// Hold records that an attempt may hold memory on an engine. It must be called once for
// each item to be held, before the call to the engine.
func (t *Tracker) Hold(attempt, engine string) {
	key := heldKey{
		attempt: attempt,
		engine:  engine,
	}
	for {
		n, loaded := t.held.LoadOrStore(key, 1)
		if !loaded {
			t.attemptCounter(engine).Add(1)
			return
		}
		if t.held.CompareAndSwap(key, n, n.(int)+1) {
			return
		}
	}
}

// Release records that one item is no longer held. The attempt is removed with its last
// item.
func (t *Tracker) Release(attempt, engine string) {
	key := heldKey{
		attempt: attempt,
		engine:  engine,
	}
	for {
		n, ok := t.held.Load(key)
		if !ok {
			return
		}
		if n.(int) > 1 {
			if t.held.CompareAndSwap(key, n, n.(int)-1) {
				return
			}
			continue
		}
		if t.held.CompareAndDelete(key, n) {
			t.attemptCounter(engine).Add(-1)
			return
		}
	}
}

// Forget removes an attempt on an engine, because it has finished or was handed over to the
// Canceller.
func (t *Tracker) Forget(attempt, engine string) {
	key := heldKey{
		attempt: attempt,
		engine:  engine,
	}
	if _, loaded := t.held.LoadAndDelete(key); loaded {
		t.attemptCounter(engine).Add(-1)
	}
}

func (t *Tracker) attemptCounter(engine string) *atomic.Int64 {
	v, ok := t.engines.Load(engine)
	if !ok {
		v, _ = t.engines.LoadOrStore(engine, new(atomic.Int64))
	}
	return v.(*atomic.Int64)
}

// Held returns the subset of attempts that are held on the engine.
func (t *Tracker) Held(engine string, attempts []string) []string {
	held := make([]string, 0, len(attempts))
	for _, attempt := range attempts {
		_, ok := t.held.Load(heldKey{
			attempt: attempt,
			engine:  engine,
		})
		if ok {
			held = append(held, attempt)
		}
	}
	return held
}

// Engines returns the addresses of the engines in use.
func (t *Tracker) Engines() []string {
	var engines []string
	t.engines.Range(func(address, counter any) bool {
		if counter.(*atomic.Int64).Load() > 0 {
			engines = append(engines, address.(string))
		}
		return true
	})
	return engines
}
