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
	withOffice(t, DefaultConfig(), func(c *qt.C, o *office) {
		draft, _ := o.at(0).accept("a survey")
		c.Assert(draft, qt.Not(qt.Equals), "")
		c.Assert(codeOf(o.at(3).collect("studio-a", draft, "k1")), qt.Equals, receipt.CodeInProgress)
		time.Sleep(5 * time.Second)
		state, ok := o.at(2).desk.State("studio-a", draft)
		c.Assert(ok, qt.IsTrue)
		c.Assert(state, qt.Equals, StateReady)
		c.Assert(bodyOf(o.at(1).collect("studio-a", draft, "k1")), qt.Equals, answerTo("a survey"))
		c.Assert(bodyOf(o.at(3).collect("studio-a", draft, "k1")), qt.Equals, answerTo("a survey"))
		c.Assert(codeOf(o.at(3).collect("studio-a", draft, "k2")), qt.Equals, receipt.CodeKeyConflict)
		time.Sleep(time.Second)
		state, _ = o.at(2).desk.State("studio-a", draft)
		c.Assert(state, qt.Equals, StateCollected)
		c.Assert(o.runsOf("a survey"), qt.Equals, 1)
	})
}

func TestForeignDraftIsNotFound(t *testing.T) {
	withOffice(t, DefaultConfig(), func(c *qt.C, o *office) {
		draft, _ := o.at(0).accept("a survey")
		time.Sleep(5 * time.Second)
		for _, text := range []string{draft, newID().String(), "x", ""} {
			outcome := o.at(1).collect("studio-b", text, "k1")
			_, notRun := outcome.(receipt.NotRun)
			c.Assert(notRun, qt.IsTrue)
			c.Assert(codeOf(outcome), qt.Equals, receipt.CodeNotFound)
			_, ok := o.at(1).desk.State("studio-b", text)
			c.Assert(ok, qt.IsFalse)
		}
		state, _ := o.at(1).desk.State("studio-a", draft)
		c.Assert(state, qt.Equals, StateReady)
	})
}

func TestLargePayloadsGoInParts(t *testing.T) {
	cfg := DefaultConfig()
	cfg.MaxPartBytes = 1000
	withOffice(t, cfg, func(c *qt.C, o *office) {
		prompt := strings.Repeat("glass ", 5000)
		draft, _ := o.at(0).accept(prompt)
		time.Sleep(10 * time.Second)
		c.Assert(bodyOf(o.at(1).collect("studio-a", draft, "k1")), qt.Equals, answerTo(prompt))
		cfg := o.at(0).desk.deps.Config
		_, outcome := o.at(0).accept(strings.Repeat("x", cfg.MaxRequestBytes))
		c.Assert(codeOf(outcome), qt.Equals, receipt.CodeTooLarge)
	})
}

func TestPausedOwnerIsFenced(t *testing.T) {
	withOffice(t, DefaultConfig(), func(c *qt.C, o *office) {
		owner := o.at(0)
		owner.setFault(func(i *instance, at step) {
			if at == stepResult {
				i.Pause()
			}
		})
		draft, _ := owner.accept("a survey")
		time.Sleep(time.Minute)
		c.Assert(bodyOf(o.at(1).collect("studio-a", draft, "k1")), qt.Equals, answerTo("a survey"))
		c.Assert(o.runsOf("a survey"), qt.Equals, 2)
		owner.Resume()
		time.Sleep(time.Minute)
		c.Assert(bodyOf(owner.collect("studio-a", draft, "k1")), qt.Equals, answerTo("a survey"))
		c.Assert(codeOf(owner.collect("studio-a", draft, "k2")), qt.Equals, receipt.CodeKeyConflict)
		c.Assert(o.runsOf("a survey"), qt.Equals, 2)
	})
}

func TestLeavingOwnerHandsOver(t *testing.T) {
	withOffice(t, DefaultConfig(), func(c *qt.C, o *office) {
		o.setFail(1)
		draft, _ := o.at(0).accept("a survey")
		time.Sleep(5 * time.Second)
		ctx, cancel := context.WithTimeout(c.Context(), 5*time.Second)
		defer cancel()
		c.Assert(o.at(0).desk.Drain(ctx), qt.Equals, 0)
		_, outcome := o.at(0).accept("another")
		c.Assert(codeOf(outcome), qt.Equals, receipt.CodeShuttingDown)
		o.at(0).Kill()
		o.setFail(0)
		time.Sleep(5 * time.Second)
		c.Assert(bodyOf(o.at(1).collect("studio-a", draft, "k1")), qt.Equals, answerTo("a survey"))
	})
}

func TestDraftIsHeldWhileLogIsAway(t *testing.T) {
	withOffice(t, DefaultConfig(), func(c *qt.C, o *office) {
		o.log.Update(func(f *faultlog.Faults) { f.Down = true })
		time.Sleep(10 * time.Second)
		draft, _ := o.at(0).accept("a survey")
		c.Assert(draft, qt.Not(qt.Equals), "")
		o.at(0).Kill()
		o.at(1).Kill()
		time.Sleep(time.Minute)
		o.log.Update(func(f *faultlog.Faults) { f.Down = false })
		time.Sleep(time.Minute)
		c.Assert(bodyOf(o.at(2).collect("studio-a", draft, "k1")), qt.Equals, answerTo("a survey"))
	})
}

func TestDraftIsRefusedWithoutLogAndPeer(t *testing.T) {
	withOffice(t, DefaultConfig(), func(c *qt.C, o *office) {
		o.log.Update(func(f *faultlog.Faults) { f.Down = true })
		for place := 1; place < places; place++ {
			o.at(place).Kill()
		}
		time.Sleep(10 * time.Second)
		draft, outcome := o.at(0).accept("a survey")
		c.Assert(draft, qt.Equals, "")
		_, notRun := outcome.(receipt.NotRun)
		c.Assert(notRun, qt.IsTrue)
		c.Assert(codeOf(outcome), qt.Equals, receipt.CodeLogUnavailable)
		o.log.Update(func(f *faultlog.Faults) { f.Down = false })
		time.Sleep(time.Minute)
		c.Assert(o.runsOf("a survey"), qt.Equals, 0)
	})
}

func TestDraftOutlivesRetention(t *testing.T) {
	cfg := DefaultConfig()
	cfg.RetentionMS = 60 * 1000
	withOffice(t, cfg, func(c *qt.C, o *office) {
		prompt := strings.Repeat("glass ", 1000)
		open, _ := o.at(0).accept(prompt)
		taken, _ := o.at(0).accept("taken")
		time.Sleep(5 * time.Second)
		c.Assert(bodyOf(o.at(1).collect("studio-a", taken, "k1")), qt.Equals, answerTo("taken"))
		for range 30 {
			time.Sleep(10 * time.Second)
			o.log.Trim(ledger.StreamDrafts, time.Now().Add(-time.Minute))
		}
		fresh := o.start(3)
		time.Sleep(5 * time.Second)
		c.Assert(bodyOf(fresh.collect("studio-a", open, "k1")), qt.Equals, answerTo(prompt))
		c.Assert(codeOf(fresh.collect("studio-a", taken, "k2")), qt.Equals, receipt.CodeKeyConflict)
	})
}

func TestRunningDraftOutlivesLossOfLog(t *testing.T) {
	withOffice(t, DefaultConfig(), func(c *qt.C, o *office) {
		o.setFail(1)
		prompt := strings.Repeat("glass ", 1000)
		draft, _ := o.at(0).accept(prompt)
		time.Sleep(10 * time.Second)
		o.log.Trim(ledger.StreamDrafts, time.Now())
		time.Sleep(10 * time.Second)
		o.at(1).Kill()
		o.start(1)
		time.Sleep(10 * time.Second)
		o.setFail(0)
		time.Sleep(30 * time.Second)
		c.Assert(bodyOf(o.at(1).collect("studio-a", draft, "k1")), qt.Equals, answerTo(prompt))
	})
}

func TestOpenDraftsAreLimited(t *testing.T) {
	withOffice(t, DefaultConfig(), func(c *qt.C, o *office) {
		o.at(0).desk.deps.Limit = func(string) int { return 2 }
		first, _ := o.at(0).accept("first")
		_, _ = o.at(1).accept("second")
		time.Sleep(5 * time.Second)
		_, outcome := o.at(0).accept("third")
		_, notRun := outcome.(receipt.NotRun)
		c.Assert(notRun, qt.IsTrue)
		c.Assert(codeOf(outcome), qt.Equals, receipt.CodeLimited)
		o.at(2).collect("studio-a", first, "k1")
		time.Sleep(time.Second)
		c.Assert(o.at(0).desk.CountUncollected("studio-a"), qt.Equals, 1)
		third, _ := o.at(0).accept("third")
		c.Assert(third, qt.Not(qt.Equals), "")
		o.log.Trim(ledger.StreamDrafts, time.Now())
		time.Sleep(10 * time.Second)
		c.Assert(o.start(3).desk, qt.IsNotNil)
		time.Sleep(10 * time.Second)
		c.Assert(o.at(3).desk.CountUncollected("studio-a"), qt.Equals, 2)
	})
}

func TestHeldDraftsAreBounded(t *testing.T) {
	cfg := DefaultConfig()
	cfg.MaxMemoryBytes = 10000
	withOffice(t, cfg, func(c *qt.C, o *office) {
		o.log.Update(func(f *faultlog.Faults) { f.Down = true })
		time.Sleep(10 * time.Second)
		accepted := 0
		for range 20 {
			draft, outcome := o.at(0).accept(strings.Repeat("x", 2000))
			if draft != "" {
				accepted++
				continue
			}
			c.Assert(codeOf(outcome), qt.Not(qt.Equals), receipt.Code(""))
		}
		c.Assert(accepted >= 1 && accepted <= 10, qt.IsTrue, qt.Commentf("%d accepted", accepted))
		o.log.Update(func(f *faultlog.Faults) { f.Down = false })
		time.Sleep(time.Minute)
		draft, _ := o.at(0).accept("after the outage")
		time.Sleep(10 * time.Second)
		c.Assert(bodyOf(o.at(1).collect("studio-a", draft, "k1")), qt.Equals, answerTo("after the outage"))
	})
}

// TestDraftsShareAppends checks that drafts fit under the log's cap, and
// prints the figures of docs/design/drafts.md.
func TestDraftsShareAppends(t *testing.T) {
	withOffice(t, DefaultConfig(), func(c *qt.C, o *office) {
		before := o.log.Appends()
		time.Sleep(10 * time.Second)
		c.Logf("idle, %d instances: %.1f appends/s", places, float64(o.log.Appends()-before)/10)
		before, began := o.log.Appends(), time.Now()
		const drafts = 1000
		var wg sync.WaitGroup
		var slowest atomic.Int64
		for n := range drafts {
			wg.Go(func() {
				asked := time.Now()
				draft, _ := o.at(n % places).accept(strings.Repeat("glass ", 1000))
				slowest.Store(max(slowest.Load(), int64(time.Since(asked))))
				time.Sleep(20 * time.Second)
				c.Check(bodyOf(o.at(n%places).collect("studio-a", draft, "k1")), qt.Not(qt.Equals), "")
			})
			time.Sleep(10 * time.Millisecond)
		}
		wg.Wait()
		perSecond := float64(o.log.Appends()-before) / time.Since(began).Seconds()
		c.Logf("100 drafts/s of 6 KB for 10 s: %.1f appends/s over %v, slowest acceptance %v",
			perSecond, time.Since(began), time.Duration(slowest.Load()))
		c.Check(perSecond < 150, qt.IsTrue)
	})
}
