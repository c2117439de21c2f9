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
		// waiting is the number of begun ones that haven't started, early that of others that started before them.
		waiting, early := begun, 0
		enter := func(job Job) {
			wg.Go(func() {
				turn, reason := b.Enter(c.Context(), job)
				if reason != nil {
					return
				}
				c.Check(turn.BestEffort(), qt.IsFalse)
				mu.Lock()
				if job.Begun {
					waiting--
				} else if waiting > 0 {
					early++
				}
				mu.Unlock()
				time.Sleep(startTime)
				turn.Placed()
				turn.Close()
			})
		}
		for n := range others {
			enter(newJob(1, 800*time.Millisecond, 0))
			if n < begun {
				enter(begunJob(100, 2*time.Second))
			}
		}
		wg.Wait()
		c.Check(waiting, qt.Equals, 0)
		c.Check(early <= cfg.MaxPlacing, qt.IsTrue, qt.Commentf("%d started before the begun ones", early))
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
		for range begunPlacingFactor {
			busy, reason := b.Enter(c.Context(), begunJob(1, time.Minute))
			c.Assert(reason == nil, qt.IsTrue)
			defer busy.Close()
		}
		for _, latest := range []time.Duration{0, 1500 * time.Millisecond} {
			start := time.Now()
			_, reason := b.Enter(c.Context(), begunJob(1, latest))
			c.Assert(reason != nil, qt.IsTrue)
			c.Check(reason.Code, qt.Equals, receipt.CodeOverloaded)
			c.Check(reason.RetryAfter, qt.Equals, begunRetryAfter, qt.Commentf("another instance may have room"))
			c.Check(time.Since(start), qt.Equals, latest)
		}
	})
}

// Load: many broken streams at an instance, of which some must wait for servers of their version. Guards against those
// that keep the others waiting.
func TestBacklogPlacesMoreBegunResponsesAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		cfg := DefaultBacklogConfig()
		b := NewBacklog(cfg)
		limit := begunPlacingFactor * cfg.MaxPlacing
		var wg sync.WaitGroup
		var mu sync.Mutex
		placing := 0
		release := make(chan struct{})
		enter := func(job Job) {
			wg.Go(func() {
				turn, reason := b.Enter(c.Context(), job)
				if reason != nil {
					return
				}
				mu.Lock()
				placing++
				mu.Unlock()
				<-release
				turn.Close()
			})
		}
		for range 2 * limit {
			enter(newJob(1, time.Minute, 0))
		}
		synctest.Wait()
		mu.Lock()
		c.Check(placing, qt.Equals, cfg.MaxPlacing)
		mu.Unlock()
		for range 2 * limit {
			enter(begunJob(1, time.Minute))
		}
		synctest.Wait()
		mu.Lock()
		c.Check(placing, qt.Equals, limit)
		mu.Unlock()
		close(release)
		wg.Wait()
	})
}

// Load: streams are taken up whose version has no free capacity, while other versions have. Guards against requests of
// other versions that get no turn because these streams wait.
func TestBacklogVersionWithoutCapacityBlocksNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		b := NewBacklog(DefaultBacklogConfig())
		var wg sync.WaitGroup
		defer wg.Wait()
		for range 20 {
			job := begunJob(1, time.Second)
			job.Version = "full"
			wg.Go(func() {
				turn, reason := b.Enter(c.Context(), job)
				for reason == nil {
					reason = turn.Wait(c.Context(), 10*time.Millisecond)
				}
			})
		}
		// This one needs the version since its first token.
		turn, reason := b.Enter(c.Context(), newJob(1, time.Second, 0))
		c.Assert(reason == nil, qt.IsTrue)
		turn.Restrict("full")
		wg.Go(func() {
			for reason == nil {
				reason = turn.Wait(c.Context(), 10*time.Millisecond)
			}
		})
		synctest.Wait()
		start := time.Now()
		other := begunJob(100, time.Second)
		other.Version = "free"
		for _, job := range []Job{other, newJob(100, time.Second, 0)} {
			turn, reason := b.Enter(c.Context(), job)
			c.Assert(reason == nil, qt.IsTrue)
			c.Check(time.Since(start) < 100*time.Millisecond, qt.IsTrue, qt.Commentf("waited %v", time.Since(start)))
			turn.Placed()
			turn.Close()
		}
	})
}
