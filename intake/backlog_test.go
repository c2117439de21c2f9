package intake

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsamlock/balsamlock/receipt"
)

// jobOf returns a job that is on time for d from now on and of use up to latest.
func jobOf(cost int, d, latest time.Duration) Job {
	now := time.Now()
	job := Job{
		Cost:  cost,
		DueAt: now.Add(d),
	}
	if latest > 0 {
		job.LatestStart = now.Add(latest)
	}
	return job
}

func TestBacklogServesCheapestFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		b := NewBacklog(BacklogConfig{
			Placing:     1,
			LateSeconds: 4,
			ReturnMS:    1000,
		})
		first, reason := b.Enter(t.Context(), jobOf(10, time.Second, 0))
		c.Assert(reason == nil, qt.IsTrue)

		var mu sync.Mutex
		var order []int
		for _, cost := range []int{30, 5, 20} {
			go func() {
				turn, reason := b.Enter(t.Context(), jobOf(cost, time.Second, 0))
				c.Check(reason == nil, qt.IsTrue)
				mu.Lock()
				order = append(order, cost)
				mu.Unlock()
				turn.Placed()
				turn.Close()
			}()
		}
		synctest.Wait()
		first.Placed()
		synctest.Wait()
		c.Assert(order, qt.DeepEquals, []int{5, 20, 30})
	})
}

func TestBacklogRefusesAtOnceWithoutLateService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		b := NewBacklog(DefaultBacklogConfig())
		began := time.Now()
		turn, reason := b.Enter(t.Context(), jobOf(10, 300*time.Millisecond, 0))
		c.Assert(reason == nil, qt.IsTrue)
		for reason == nil {
			reason = turn.Wait(t.Context(), 10*time.Millisecond)
		}
		c.Assert(reason.Code, qt.Equals, receipt.CodeOverloaded)
		c.Assert(reason.RetryAfter, qt.Equals, 4*time.Second)
		c.Assert(time.Since(began) <= 310*time.Millisecond, qt.IsTrue)
	})
}

// A request that has become late waits behind those that are not, leaves room to
// them, and is given up when a start is of no more use.
func TestBacklogLateService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		b := NewBacklog(BacklogConfig{
			Placing:     1,
			LateSeconds: 4,
			ReturnMS:    1000,
		})
		late, reason := b.Enter(t.Context(), jobOf(1, 100*time.Millisecond, time.Second))
		c.Assert(reason == nil, qt.IsTrue)
		c.Assert(late.BestEffort(), qt.IsFalse)
		for !late.BestEffort() {
			c.Assert(late.Wait(t.Context(), 10*time.Millisecond) == nil, qt.IsTrue)
		}
		timely, reason := b.Enter(contextOf(t, 20*time.Millisecond), jobOf(100, time.Second, 0))
		c.Assert(reason != nil, qt.IsTrue, qt.Commentf("the late one still looks for room"))
		c.Assert(timely, qt.IsNil)

		result := make(chan *receipt.Reason, 1)
		go func() { result <- late.Wait(t.Context(), 10*time.Millisecond) }()
		synctest.Wait()
		timely, reason = b.Enter(t.Context(), jobOf(100, time.Second, 0))
		c.Assert(reason == nil, qt.IsTrue, qt.Commentf("a dearer request on time goes first"))
		synctest.Wait()
		c.Assert(result, qt.HasLen, 0)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		c.Assert((<-result).Code, qt.Equals, receipt.CodeOverloaded)
		timely.Close()
		all, _ := b.Waiting()
		c.Assert(all, qt.Equals, 0)
	})
}

// A burst of three times what can be started: what waits late stays bounded, and
// the rest hears of it as soon as it is known.
func TestBacklogBoundsLateRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		b := NewBacklog(BacklogConfig{
			Placing:     1,
			LateSeconds: 2,
			ReturnMS:    1000,
		})
		const each = 50 * time.Millisecond
		var mu sync.Mutex
		served, refused := 0, 0
		room := make(chan struct{}, 1)
		go func() {
			for range 200 {
				time.Sleep(each)
				select {
				case room <- struct{}{}:
				default:
				}
				b.Wake()
			}
		}()
		for range 300 {
			time.Sleep(each / 3)
			go func() {
				ok := b.startsBy(t.Context(), room, jobOf(10, 400*time.Millisecond, 3*time.Second))
				mu.Lock()
				defer mu.Unlock()
				if ok {
					served++
				} else {
					refused++
				}
			}()
			_, late := b.Waiting()
			c.Assert(late <= 45, qt.IsTrue, qt.Commentf("%d wait late, at 20 starts a second", late))
		}
		time.Sleep(10 * time.Second)
		synctest.Wait()
		c.Assert(served+refused, qt.Equals, 300)
		c.Assert(served >= 100, qt.IsTrue, qt.Commentf("served %d", served))
	})
}

// startsBy looks for room until there is some or the request is refused.
func (b *Backlog) startsBy(ctx context.Context, room <-chan struct{}, job Job) bool {
	turn, reason := b.Enter(ctx, job)
	for reason == nil {
		select {
		case <-room:
			turn.Placed()
			turn.Close()
			return true
		default:
			reason = turn.Wait(ctx, 10*time.Millisecond)
		}
	}
	return false
}

func contextOf(t *testing.T, d time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), d)
	t.Cleanup(cancel)
	return ctx
}

func TestBacklogHurriedGoesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		b := NewBacklog(BacklogConfig{
			Placing:     1,
			LateSeconds: 4,
			ReturnMS:    1000,
		})
		broken, reason := b.Enter(t.Context(), jobOf(100, 100*time.Millisecond, 0))
		c.Assert(reason == nil, qt.IsTrue)
		broken.Placed()
		time.Sleep(time.Second)
		// Its engine has died: it looks for another one though it is late by far.
		broken.Expedite()
		c.Assert(broken.Wait(t.Context(), 10*time.Millisecond) == nil, qt.IsTrue)
		c.Assert(broken.BestEffort(), qt.IsFalse)
		broken.Close()
	})
}

// One class of requests is pressed to three times its load, while room for 20
// starts a second was enough for both: the other one's share in time stays.
func TestBacklogKeepsClassesApart(t *testing.T) {
	for _, test := range []struct {
		name  string
		press int
	}{
		{
			name:  "usual",
			press: 1,
		},
		{
			name:  "pressed",
			press: 3,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				b := NewBacklog(BacklogConfig{
					Placing:     2,
					LateSeconds: 4,
					LateMS:      2800,
					ReturnMS:    4000,
				})
				const tick = 50 * time.Millisecond
				room := make(chan struct{}, 2)
				var mu sync.Mutex
				asked, inTime := map[string]int{}, map[string]int{}
				ask := func(class string, cost int) {
					asked[class]++
					job := jobOf(cost, 700*time.Millisecond, 2800*time.Millisecond)
					job.Class = class
					began := time.Now()
					go func() {
						if b.startsBy(t.Context(), room, job) && time.Since(began) <= 700*time.Millisecond {
							mu.Lock()
							inTime[class]++
							mu.Unlock()
						}
					}()
				}
				for at := range 400 {
					time.Sleep(tick)
					select {
					case room <- struct{}{}:
					default:
					}
					b.Wake()
					if at%3 == 0 {
						// The pressed class is the cheaper one: cost alone would let it
						// go first each time. The other one asks for a third of the
						// starts, below its half of the work.
						for range test.press {
							ask("drafts", 5)
						}
					}
					if at%3 == 1 {
						ask("quotes", 6)
					}
				}
				time.Sleep(10 * time.Second)
				synctest.Wait()
				share := float64(inTime["quotes"]) / float64(asked["quotes"])
				c.Assert(share >= 0.95, qt.IsTrue, qt.Commentf("%d of %d quotes in time", inTime["quotes"], asked["quotes"]))
			})
		})
	}
}

// Load: a burst after which callers who were refused come back with little time
// left. One whose run would likely not end by its deadline is refused at once, though
// it could begin in time; others begin in its place.
func TestBacklogRefusesWhatWouldNotEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		b := NewBacklog(DefaultBacklogConfig())
		now := time.Now()
		latest := b.LatestStart(now, now.Add(5*time.Second), 6*time.Second)
		turn, reason := b.Enter(c.Context(), Job{
			Cost:        1,
			DueAt:       now.Add(500 * time.Millisecond),
			LatestStart: latest,
		})
		c.Assert(turn, qt.IsNil)
		c.Check(reason.Code, qt.Equals, receipt.CodeOverloaded)
		c.Check(time.Since(now), qt.Equals, time.Duration(0))
		all, _ := b.Waiting()
		c.Check(all, qt.Equals, 0)

		// One that may still begin waits up to that time, not longer.
		busy := make([]*JobTurn, 0, 2)
		for range 2 {
			turn, reason := b.Enter(c.Context(), Job{Cost: 1})
			c.Assert(reason == nil, qt.IsTrue)
			busy = append(busy, turn)
		}
		_, reason = b.Enter(c.Context(), Job{
			Cost:        1,
			DueAt:       now.Add(500 * time.Millisecond),
			LatestStart: b.LatestStart(now, now.Add(5*time.Second), 4800*time.Millisecond),
		})
		c.Check(reason.Code, qt.Equals, receipt.CodeOverloaded)
		c.Check(time.Since(now), qt.Equals, 200*time.Millisecond)
		for _, turn := range busy {
			turn.Close()
		}
	})
}

// Load: requests that are on time take every start for a while, as in a long burst.
// Late ones would wait in vain: one waits to see whether there is room, the others
// are refused at once, with a time to come back. Once late ones are started, as many
// wait as can be.
func TestBacklogKeepsNoLateRequestsInVain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		cfg := DefaultBacklogConfig()
		cfg.Placing = 1
		b := NewBacklog(cfg)
		busy, reason := b.Enter(c.Context(), jobOf(1, time.Minute, 0))
		c.Assert(reason == nil, qt.IsTrue)

		var wg sync.WaitGroup
		var mu sync.Mutex
		refused, started := 0, 0
		late := func(n int) {
			for range n {
				wg.Go(func() {
					turn, reason := b.Enter(c.Context(), jobOf(1, 0, 2800*time.Millisecond))
					mu.Lock()
					defer mu.Unlock()
					if reason != nil {
						c.Check(reason.RetryAfter, qt.Equals, 4*time.Second)
						refused++
						return
					}
					started++
					turn.Placed()
					turn.Close()
				})
			}
			synctest.Wait()
		}
		late(5)
		mu.Lock()
		c.Check(refused, qt.Equals, 4)
		mu.Unlock()

		busy.Placed()
		busy.Close()
		synctest.Wait()
		mu.Lock()
		c.Check(started, qt.Equals, 1)
		refused = 0
		mu.Unlock()

		// Late starts set in: 2.5 a second let 10 wait.
		late(4)
		busy, reason = b.Enter(c.Context(), jobOf(1, time.Minute, 0))
		c.Assert(reason == nil, qt.IsTrue)
		late(12)
		mu.Lock()
		c.Check(refused, qt.Equals, 2)
		mu.Unlock()
		busy.Close()
		wg.Wait()
	})
}
