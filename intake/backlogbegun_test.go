package intake

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsamlock/balsamlock/receipt"
)

// begunJob returns the rest of a response that must start within a time.
func begunJob(cost int, latestStart time.Duration) Job {
	return Job{
		Cost:        cost,
		LatestStart: time.Now().Add(latestStart),
		Begun:       true,
	}
}

// Load: instances that start again get the callers of broken streams and new ones at the same moment. Guards against
// streams that end although there is room for them, because new ones come first.
func TestBacklogServesBegunResponsesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		cfg := DefaultBacklogConfig()
		cfg.MaxPlacing = 1
		b := NewBacklog(cfg)
		const startTime, begun, others = 50 * time.Millisecond, 20, 60
		var wg sync.WaitGroup
		var mu sync.Mutex
		served := map[bool]int{}
		enter := func(job Job) {
			wg.Go(func() {
				turn, reason := b.Enter(c.Context(), job)
				if reason != nil {
					return
				}
				c.Check(turn.BestEffort(), qt.IsFalse)
				time.Sleep(startTime)
				turn.Placed()
				turn.Close()
				mu.Lock()
				served[job.Begun]++
				mu.Unlock()
			})
		}
		for n := range others {
			enter(newJob(1, 800*time.Millisecond, 0))
			if n < begun {
				enter(begunJob(100, 2*time.Second))
			}
		}
		wg.Wait()
		c.Check(served[true], qt.Equals, begun)
		c.Check(served[false] <= 1, qt.IsTrue, qt.Commentf("%v: only one came before the begun ones", served))
	})
}

// Guards against the rest of a response that waits although it can't end in time any more, and against one that
// counts as late.
func TestBacklogRefusesBegunResponseAtItsLatestStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		cfg := DefaultBacklogConfig()
		cfg.MaxPlacing = 1
		b := NewBacklog(cfg)
		busy, reason := b.Enter(c.Context(), newJob(1, time.Minute, 0))
		c.Assert(reason == nil, qt.IsTrue)
		defer busy.Close()
		for _, latest := range []time.Duration{0, 1500 * time.Millisecond} {
			start := time.Now()
			_, reason = b.Enter(c.Context(), begunJob(1, latest))
			c.Assert(reason != nil, qt.IsTrue)
			c.Check(reason.Code, qt.Equals, receipt.CodeOverloaded)
			c.Check(time.Since(start), qt.Equals, latest)
		}
	})
}
