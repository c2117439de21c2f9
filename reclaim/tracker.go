package reclaim

import (
	"sync"
	"sync/atomic"
)

type heldKey struct{ attempt, engine string }

// Tracker knows what this instance holds on which engine. It is safe for
// concurrent use, and its calls do not wait for each other.
type Tracker struct {
	held    sync.Map // heldKey to int, the number of things held
	engines sync.Map // address to *atomic.Int64
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker { return &Tracker{} }

// Hold records that an attempt may hold memory on an engine. It must be called
// before the first call to the engine for the attempt, once for each thing that
// is held there.
func (t *Tracker) Hold(attempt, engine string) {
	key := heldKey{
		attempt: attempt,
		engine:  engine,
	}
	for {
		n, loaded := t.held.LoadOrStore(key, 1)
		if !loaded {
			t.count(engine).Add(1)
			return
		}
		if t.held.CompareAndSwap(key, n, n.(int)+1) {
			return
		}
	}
}

// Release records that one thing is held no longer. The last one ends the
// attempt on the engine.
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
			t.count(engine).Add(-1)
			return
		}
	}
}

// Forget records that the attempt is over on the engine: finished, or left to
// the Canceller.
func (t *Tracker) Forget(attempt, engine string) {
	key := heldKey{
		attempt: attempt,
		engine:  engine,
	}
	if _, loaded := t.held.LoadAndDelete(key); loaded {
		t.count(engine).Add(-1)
	}
}

func (t *Tracker) count(engine string) *atomic.Int64 {
	v, ok := t.engines.Load(engine)
	if !ok {
		v, _ = t.engines.LoadOrStore(engine, new(atomic.Int64))
	}
	return v.(*atomic.Int64)
}

// Held returns those of the attempts that are held on the engine.
func (t *Tracker) Held(engine string, attempts []string) []string {
	known := make([]string, 0, len(attempts))
	for _, attempt := range attempts {
		_, ok := t.held.Load(heldKey{
			attempt: attempt,
			engine:  engine,
		})
		if ok {
			known = append(known, attempt)
		}
	}
	return known
}

// Engines returns the addresses of the engines in use.
func (t *Tracker) Engines() []string {
	var engines []string
	t.engines.Range(func(address, count any) bool {
		if count.(*atomic.Int64).Load() > 0 {
			engines = append(engines, address.(string))
		}
		return true
	})
	return engines
}
