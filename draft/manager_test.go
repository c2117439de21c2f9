package draft

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsamlock/balsamlock/internal/faultlog"
	"github.com/balsamlock/balsamlock/ledger"
	"github.com/balsamlock/balsamlock/receipt"
)

func TestDraftIsCollectedOnce(t *testing.T) {
	withCluster(t, DefaultConfig(), func(c *qt.C, cl *cluster) {
		draft, _ := cl.instance(0).accept("a survey")
		c.Assert(draft, qt.Not(qt.Equals), "")
		c.Assert(codeOf(cl.instance(3).collect("studio-a", draft, "k1")), qt.Equals, receipt.CodeInProgress)
		time.Sleep(5 * time.Second)
		state, ok := cl.instance(2).manager.State("studio-a", draft)
		c.Assert(ok, qt.IsTrue)
		c.Assert(state, qt.Equals, StateReady)
		c.Assert(bodyOf(cl.instance(1).collect("studio-a", draft, "k1")), qt.Equals, answerTo("a survey"))
		c.Assert(bodyOf(cl.instance(3).collect("studio-a", draft, "k1")), qt.Equals, answerTo("a survey"))
		c.Assert(codeOf(cl.instance(3).collect("studio-a", draft, "k2")), qt.Equals, receipt.CodeKeyConflict)
		time.Sleep(time.Second)
		state, _ = cl.instance(2).manager.State("studio-a", draft)
		c.Assert(state, qt.Equals, StateCollected)
		c.Assert(cl.runsOf("a survey"), qt.Equals, 1)
	})
}

func TestDraftOfAnotherCallerIsNotFound(t *testing.T) {
	withCluster(t, DefaultConfig(), func(c *qt.C, cl *cluster) {
		draft, _ := cl.instance(0).accept("a survey")
		time.Sleep(5 * time.Second)
		for _, text := range []string{draft, newID().String(), "x", ""} {
			outcome := cl.instance(1).collect("studio-b", text, "k1")
			_, notRun := outcome.(receipt.NotRun)
			c.Assert(notRun, qt.IsTrue)
			c.Assert(codeOf(outcome), qt.Equals, receipt.CodeNotFound)
			_, ok := cl.instance(1).manager.State("studio-b", text)
			c.Assert(ok, qt.IsFalse)
		}
		state, _ := cl.instance(1).manager.State("studio-a", draft)
		c.Assert(state, qt.Equals, StateReady)
	})
}

func TestLargePayloadsAreSplit(t *testing.T) {
	cfg := DefaultConfig()
	cfg.MaxPartBytes = 1000
	withCluster(t, cfg, func(c *qt.C, cl *cluster) {
		prompt := strings.Repeat("glass ", 5000)
		draft, _ := cl.instance(0).accept(prompt)
		time.Sleep(10 * time.Second)
		c.Assert(bodyOf(cl.instance(1).collect("studio-a", draft, "k1")), qt.Equals, answerTo(prompt))
		cfg := cl.instance(0).manager.deps.Config
		_, outcome := cl.instance(0).accept(strings.Repeat("x", cfg.MaxRequestBytes))
		c.Assert(codeOf(outcome), qt.Equals, receipt.CodeTooLarge)
	})
}

func TestPausedOwnerIsFenced(t *testing.T) {
	withCluster(t, DefaultConfig(), func(c *qt.C, cl *cluster) {
		owner := cl.instance(0)
		owner.setFault(func(i *instance, point probePoint) {
			if point == beforeResult {
				i.Pause()
			}
		})
		draft, _ := owner.accept("a survey")
		time.Sleep(time.Minute)
		c.Assert(bodyOf(cl.instance(1).collect("studio-a", draft, "k1")), qt.Equals, answerTo("a survey"))
		c.Assert(cl.runsOf("a survey"), qt.Equals, 2)
		owner.Resume()
		time.Sleep(time.Minute)
		c.Assert(bodyOf(owner.collect("studio-a", draft, "k1")), qt.Equals, answerTo("a survey"))
		c.Assert(codeOf(owner.collect("studio-a", draft, "k2")), qt.Equals, receipt.CodeKeyConflict)
		c.Assert(cl.runsOf("a survey"), qt.Equals, 2)
	})
}

func TestDrainHandsOverDrafts(t *testing.T) {
	withCluster(t, DefaultConfig(), func(c *qt.C, cl *cluster) {
		cl.setFailureRate(1)
		draft, _ := cl.instance(0).accept("a survey")
		time.Sleep(5 * time.Second)
		ctx, cancel := context.WithTimeout(c.Context(), 5*time.Second)
		defer cancel()
		c.Assert(cl.instance(0).manager.Drain(ctx), qt.Equals, 0)
		_, outcome := cl.instance(0).accept("another")
		c.Assert(codeOf(outcome), qt.Equals, receipt.CodeShuttingDown)
		cl.instance(0).Kill()
		cl.setFailureRate(0)
		time.Sleep(5 * time.Second)
		c.Assert(bodyOf(cl.instance(1).collect("studio-a", draft, "k1")), qt.Equals, answerTo("a survey"))
	})
}

func TestDraftIsHeldWhileLogIsUnavailable(t *testing.T) {
	withCluster(t, DefaultConfig(), func(c *qt.C, cl *cluster) {
		cl.log.Update(func(f *faultlog.Faults) { f.Down = true })
		time.Sleep(10 * time.Second)
		draft, _ := cl.instance(0).accept("a survey")
		c.Assert(draft, qt.Not(qt.Equals), "")
		cl.instance(0).Kill()
		cl.instance(1).Kill()
		time.Sleep(time.Minute)
		cl.log.Update(func(f *faultlog.Faults) { f.Down = false })
		time.Sleep(time.Minute)
		c.Assert(bodyOf(cl.instance(2).collect("studio-a", draft, "k1")), qt.Equals, answerTo("a survey"))
	})
}

func TestDraftIsRefusedWithoutLogAndPeer(t *testing.T) {
	withCluster(t, DefaultConfig(), func(c *qt.C, cl *cluster) {
		cl.log.Update(func(f *faultlog.Faults) { f.Down = true })
		for index := 1; index < instanceCount; index++ {
			cl.instance(index).Kill()
		}
		time.Sleep(10 * time.Second)
		draft, outcome := cl.instance(0).accept("a survey")
		c.Assert(draft, qt.Equals, "")
		_, notRun := outcome.(receipt.NotRun)
		c.Assert(notRun, qt.IsTrue)
		c.Assert(codeOf(outcome), qt.Equals, receipt.CodeLogUnavailable)
		cl.log.Update(func(f *faultlog.Faults) { f.Down = false })
		time.Sleep(time.Minute)
		c.Assert(cl.runsOf("a survey"), qt.Equals, 0)
	})
}

func TestDraftOutlivesRetention(t *testing.T) {
	cfg := DefaultConfig()
	cfg.RetentionMS = 60 * 1000
	withCluster(t, cfg, func(c *qt.C, cl *cluster) {
		prompt := strings.Repeat("glass ", 1000)
		open, _ := cl.instance(0).accept(prompt)
		collected, _ := cl.instance(0).accept("taken")
		time.Sleep(5 * time.Second)
		c.Assert(bodyOf(cl.instance(1).collect("studio-a", collected, "k1")), qt.Equals, answerTo("taken"))
		for range 30 {
			time.Sleep(10 * time.Second)
			cl.log.Trim(ledger.StreamDrafts, time.Now().Add(-time.Minute))
		}
		fresh := cl.startInstance(3)
		time.Sleep(5 * time.Second)
		c.Assert(bodyOf(fresh.collect("studio-a", open, "k1")), qt.Equals, answerTo(prompt))
		c.Assert(codeOf(fresh.collect("studio-a", collected, "k2")), qt.Equals, receipt.CodeKeyConflict)
	})
}

func TestRunningDraftSurvivesLogTrim(t *testing.T) {
	withCluster(t, DefaultConfig(), func(c *qt.C, cl *cluster) {
		cl.setFailureRate(1)
		prompt := strings.Repeat("glass ", 1000)
		draft, _ := cl.instance(0).accept(prompt)
		time.Sleep(10 * time.Second)
		cl.log.Trim(ledger.StreamDrafts, time.Now())
		time.Sleep(10 * time.Second)
		cl.instance(1).Kill()
		cl.startInstance(1)
		time.Sleep(10 * time.Second)
		cl.setFailureRate(0)
		time.Sleep(30 * time.Second)
		c.Assert(bodyOf(cl.instance(1).collect("studio-a", draft, "k1")), qt.Equals, answerTo(prompt))
	})
}

func TestOpenDraftsAreLimited(t *testing.T) {
	withCluster(t, DefaultConfig(), func(c *qt.C, cl *cluster) {
		cl.instance(0).manager.deps.Limit = func(string) int { return 2 }
		first, _ := cl.instance(0).accept("first")
		_, _ = cl.instance(1).accept("second")
		time.Sleep(5 * time.Second)
		_, outcome := cl.instance(0).accept("third")
		_, notRun := outcome.(receipt.NotRun)
		c.Assert(notRun, qt.IsTrue)
		c.Assert(codeOf(outcome), qt.Equals, receipt.CodeLimited)
		cl.instance(2).collect("studio-a", first, "k1")
		time.Sleep(time.Second)
		c.Assert(cl.instance(0).manager.CountUncollected("studio-a"), qt.Equals, 1)
		third, _ := cl.instance(0).accept("third")
		c.Assert(third, qt.Not(qt.Equals), "")
		cl.log.Trim(ledger.StreamDrafts, time.Now())
		time.Sleep(10 * time.Second)
		c.Assert(cl.startInstance(3).manager, qt.IsNotNil)
		time.Sleep(10 * time.Second)
		c.Assert(cl.instance(3).manager.CountUncollected("studio-a"), qt.Equals, 2)
	})
}

func TestHeldDraftsAreBounded(t *testing.T) {
	cfg := DefaultConfig()
	cfg.MaxMemoryBytes = 10000
	withCluster(t, cfg, func(c *qt.C, cl *cluster) {
		cl.log.Update(func(f *faultlog.Faults) { f.Down = true })
		time.Sleep(10 * time.Second)
		accepted := 0
		for range 20 {
			draft, outcome := cl.instance(0).accept(strings.Repeat("x", 2000))
			if draft != "" {
				accepted++
				continue
			}
			c.Assert(codeOf(outcome), qt.Not(qt.Equals), receipt.Code(""))
		}
		c.Assert(accepted >= 1 && accepted <= 10, qt.IsTrue, qt.Commentf("%d accepted", accepted))
		cl.log.Update(func(f *faultlog.Faults) { f.Down = false })
		time.Sleep(time.Minute)
		draft, _ := cl.instance(0).accept("after the outage")
		time.Sleep(10 * time.Second)
		c.Assert(bodyOf(cl.instance(1).collect("studio-a", draft, "k1")), qt.Equals, answerTo("after the outage"))
	})
}

// TestDraftsShareAppends checks that the appends of concurrent drafts are batched, so
// that their rate stays below the limit of the log. It prints the figures of
// docs/design/drafts.md.
func TestDraftsShareAppends(t *testing.T) {
	withCluster(t, DefaultConfig(), func(c *qt.C, cl *cluster) {
		before := cl.log.Appends()
		time.Sleep(10 * time.Second)
		c.Logf("idle, %d instances: %.1f appends/s", instanceCount, float64(cl.log.Appends()-before)/10)
		before, began := cl.log.Appends(), time.Now()
		const drafts = 1000
		var wg sync.WaitGroup
		var slowest atomic.Int64
		for n := range drafts {
			wg.Go(func() {
				start := time.Now()
				draft, _ := cl.instance(n % instanceCount).accept(strings.Repeat("glass ", 1000))
				slowest.Store(max(slowest.Load(), int64(time.Since(start))))
				time.Sleep(20 * time.Second)
				c.Check(bodyOf(cl.instance(n%instanceCount).collect("studio-a", draft, "k1")), qt.Not(qt.Equals), "")
			})
			time.Sleep(10 * time.Millisecond)
		}
		wg.Wait()
		perSecond := float64(cl.log.Appends()-before) / time.Since(began).Seconds()
		c.Logf("100 drafts/s of 6 KB for 10 s: %.1f appends/s over %v, slowest acceptance %v",
			perSecond, time.Since(began), time.Duration(slowest.Load()))
		c.Check(perSecond < 150, qt.IsTrue)
	})
}
