package intake

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func newSharedConfig() SharedRetryBudgetConfig {
	return SharedRetryBudgetConfig{
		Ratio:    0.2,
		Slack:    50,
		WindowMS: 10_000,
		Reserve:  0.2,
	}
}

func TestSharedRetryBudgetFollowsRequestsAndShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := NewSharedRetryBudget(newSharedConfig())
		c.Assert(s.Take("desk", 1), qt.IsFalse, qt.Commentf("no requests and no share yet"))
		s.SetShare(0.25)
		taken := 0
		for s.Take("desk", 1) {
			taken++
		}
		c.Assert(taken, qt.Equals, 10, qt.Commentf("a quarter of the slack, less the reserve"))
		for range 100 {
			s.RecordFirstAttempt("desk")
		}
		for s.Take("desk", 1) {
			taken++
		}
		c.Assert(taken, qt.Equals, 26)
		c.Assert(s.Take("models", 1), qt.IsTrue, qt.Commentf("each service has its own budget"))
		time.Sleep(11 * time.Second)
		c.Assert(s.Take("desk", 1), qt.IsTrue)
	})
}

// In every window, the retries of all instances together stay within the limit,
// regardless of how requests and failures are distributed over the instances.
func TestSharedRetryBudgetLimitsAllInstances(t *testing.T) {
	cfg := newSharedConfig()
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(t *testing.T) {
			const instances = 4
			var all [instances]*SharedRetryBudget
			for i := range all {
				all[i] = NewSharedRetryBudget(cfg)
				all[i].SetShare(1.0 / instances)
			}
			type event struct {
				at    time.Duration
				retry bool
			}
			var events []event
			began := time.Now()
			for range rapid.IntRange(1, 400).Draw(rt, "steps") {
				time.Sleep(time.Duration(rapid.IntRange(0, 300).Draw(rt, "pause")) * time.Millisecond)
				i := rapid.IntRange(0, instances-1).Draw(rt, "instance")
				if rapid.Bool().Draw(rt, "fails") {
					if all[i].Take("desk", 1) {
						events = append(events, event{
							at:    time.Since(began),
							retry: true,
						})
					}
					continue
				}
				all[i].RecordFirstAttempt("desk")
				events = append(events, event{at: time.Since(began)})
			}
			window := time.Duration(cfg.WindowMS) * time.Millisecond
			for i := range events {
				retries, requests := 0, 0
				for _, e := range events[:i+1] {
					if e.at > events[i].at-window && e.retry {
						retries++
					}
					// Requests up to half a window before the window count too.
					if e.at > events[i].at-window-window/2 && !e.retry {
						requests++
					}
				}
				if limit := cfg.Ratio*float64(requests) + cfg.Slack; float64(retries) > limit {
					rt.Fatalf("%d retries after %d requests, limit %.1f", retries, requests, limit)
				}
			}
		})
	})
}

// A process that was paused may not use a share that has lapsed meanwhile, in the moment before it
// learns of that. Load: failures of a service while instances are paused and their share is dealt out to
// the others.
func TestSharedRetryBudgetShareLapses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		for _, pause := range []time.Duration{time.Second, 3 * time.Second, 10 * time.Second} {
			s := NewSharedRetryBudget(newSharedConfig())
			s.SetShareUntil(0.5, time.Now().Add(3*time.Second))
			time.Sleep(pause)
			want := 0.5
			if pause >= 3*time.Second {
				want = 0.25
			}
			c.Check(s.Share(), qt.Equals, want, qt.Commentf("after %v", pause))
			taken := 0
			for s.Take("desk", 1) {
				taken++
			}
			c.Check(float64(taken) <= 0.8*50*want, qt.IsTrue, qt.Commentf("%d retries after %v", taken, pause))
			s.SetShareUntil(0.5, time.Now().Add(3*time.Second))
			c.Check(s.Share(), qt.Equals, 0.5)
		}
	})
}
