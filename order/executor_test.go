package order

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsamlock/balsamlock/internal/faultlog"
	"github.com/balsamlock/balsamlock/ledger"
	"github.com/balsamlock/balsamlock/receipt"
)

type fixture struct {
	log     *faultlog.Log
	service *service
	a, b    *instance
	rand    *rand.Rand
}

// withTwoInstances runs a test with two instances on one log in a synctest bubble.
func withTwoInstances(t *testing.T, test func(c *qt.C, f *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		l := faultlog.New(1, faultlog.Faults{Latency: 4 * time.Millisecond})
		f := &fixture{
			log:     l,
			service: newService(1),
			a:       startInstance(l, "a", DefaultConfig()),
			b:       startInstance(l, "b", DefaultConfig()),
			rand:    rand.New(rand.NewPCG(1, 1)),
		}
		time.Sleep(time.Second)
		test(qt.New(t), f)
		for _, i := range []*instance{f.a, f.b} {
			i.Resume()
			i.cancel()
			<-i.stopped
		}
	})
}

func kindAndCode(outcome receipt.Outcome) (kind string, code receipt.Code) {
	switch outcome := outcome.(type) {
	case receipt.Answered:
		return "answered", ""
	case receipt.NotRun:
		return "not_run", outcome.Reason().Code
	case receipt.Unknown:
		return "unknown", outcome.Reason().Code
	}
	return "cut", ""
}

func TestRepeatGetsSameAnswer(t *testing.T) {
	withTwoInstances(t, func(c *qt.C, f *fixture) {
		key := newKey(f.rand, time.Now())
		first := f.a.order(c.Context(), f.service, key)
		c.Assert(first, qt.DeepEquals, receipt.Outcome(receipt.Answered{
			Status:      200,
			ContentType: "text/plain",
			Body:        []byte(key + "#1"),
		}))
		time.Sleep(time.Second)
		c.Assert(f.a.order(c.Context(), f.service, key), qt.DeepEquals, first)
		c.Assert(f.b.order(c.Context(), f.service, key), qt.DeepEquals, first)
		c.Assert(f.service.count(key), qt.Equals, 1)
		c.Assert(f.a.executor.Pending(), qt.Equals, 0)
	})
}

func TestConcurrentRepeatsRunOnce(t *testing.T) {
	withTwoInstances(t, func(c *qt.C, f *fixture) {
		key := newKey(f.rand, time.Now())
		outcomes := make(chan receipt.Outcome, 4)
		for n := range 4 {
			i := []*instance{f.a, f.b}[n%2]
			go func() { outcomes <- i.order(c.Context(), f.service, key) }()
		}
		for range 4 {
			kind, _ := kindAndCode(<-outcomes)
			c.Assert(kind, qt.Equals, "answered")
		}
		c.Assert(f.service.count(key), qt.Equals, 1)
	})
}

func TestInvalidKeysAreNotRun(t *testing.T) {
	withTwoInstances(t, func(c *qt.C, f *fixture) {
		for _, test := range []struct {
			name string
			key  string
			code receipt.Code
		}{
			{name: "missing", key: "", code: receipt.CodeKeyRequired},
			{name: "no UUID", key: "order-7", code: receipt.CodeInvalidRequest},
			{name: "version 4", key: "f47ac10b-58cc-4372-a567-0e02b2c3d479", code: receipt.CodeInvalidRequest},
			{name: "future", key: newKey(f.rand, time.Now().Add(time.Hour)), code: receipt.CodeInvalidRequest},
			{name: "old", key: newKey(f.rand, time.Now().Add(-time.Hour)), code: receipt.CodeKeyExpired},
		} {
			kind, code := kindAndCode(f.a.order(c.Context(), f.service, test.key))
			c.Assert(kind, qt.Equals, "not_run", qt.Commentf(test.name))
			c.Assert(code, qt.Equals, test.code, qt.Commentf(test.name))
			c.Assert(f.service.count(test.key), qt.Equals, 0)
		}
	})
}

func TestKeyConflict(t *testing.T) {
	withTwoInstances(t, func(c *qt.C, f *fixture) {
		key := newKey(f.rand, time.Now())
		f.a.order(c.Context(), f.service, key)
		time.Sleep(time.Second)
		outcome := f.b.executor.Do(c.Context(), Request{
			Attempt: "other",
			Caller:  "studio-a",
			Key:     key,
			Digest:  Digest([]byte("another body")),
			Timeout: time.Second,
		}, f.service.dispatch(f.b, key))
		kind, code := kindAndCode(outcome)
		c.Assert(kind, qt.Equals, "not_run")
		c.Assert(code, qt.Equals, receipt.CodeKeyConflict)
		c.Assert(f.service.count(key), qt.Equals, 1)
	})
}

func TestSameKeyOfAnotherCaller(t *testing.T) {
	withTwoInstances(t, func(c *qt.C, f *fixture) {
		key := newKey(f.rand, time.Now())
		f.a.order(c.Context(), f.service, key)
		outcome := f.b.executor.Do(c.Context(), Request{
			Attempt: "other",
			Caller:  "studio-b",
			Key:     key,
			Timeout: time.Second,
		}, f.service.dispatch(f.b, key))
		kind, _ := kindAndCode(outcome)
		c.Assert(kind, qt.Equals, "answered")
		c.Assert(f.service.count(key), qt.Equals, 2)
	})
}

func TestOrdersAreRefusedWhileLogIsUnavailable(t *testing.T) {
	withTwoInstances(t, func(c *qt.C, f *fixture) {
		f.log.Update(func(f *faultlog.Faults) { f.Down = true })
		time.Sleep(5 * time.Second)
		c.Assert(f.a.executor.Ready(), qt.IsFalse)
		key := newKey(f.rand, time.Now())
		kind, code := kindAndCode(f.a.order(c.Context(), f.service, key))
		c.Assert(kind, qt.Equals, "not_run")
		c.Assert(code, qt.Equals, receipt.CodeLogUnavailable)
		f.log.Update(func(f *faultlog.Faults) { f.Down = false })
		time.Sleep(5 * time.Second)
		kind, _ = kindAndCode(f.a.order(c.Context(), f.service, key))
		c.Assert(kind, qt.Equals, "answered")
	})
}

func TestPausedOwnerOutcomeIsUnknown(t *testing.T) {
	withTwoInstances(t, func(c *qt.C, f *fixture) {
		key := newKey(f.rand, time.Now())
		f.a.setOnStep(func(i *instance, at step) {
			if at == stepSend {
				i.Pause()
			}
		})
		first := make(chan receipt.Outcome, 1)
		go func() { first <- f.a.order(c.Context(), f.service, key) }()
		time.Sleep(time.Second)
		kind, code := kindAndCode(f.b.order(c.Context(), f.service, key))
		c.Assert(kind, qt.Equals, "unknown")
		c.Assert(code, qt.Equals, receipt.CodeOutcomeUnknown)
		f.a.Resume()
		kind, code = kindAndCode(<-first)
		c.Assert(kind, qt.Equals, "not_run")
		c.Assert(code, qt.Equals, receipt.CodeDeadline)
		time.Sleep(time.Second)
		kind, _ = kindAndCode(f.b.order(c.Context(), f.service, key))
		c.Assert(kind, qt.Equals, "answered")
		c.Assert(f.service.count(key), qt.Equals, 1)
	})
}

func TestOldKeyIsUnknownAfterGap(t *testing.T) {
	withTwoInstances(t, func(c *qt.C, f *fixture) {
		key := newKey(f.rand, time.Now())
		f.a.order(c.Context(), f.service, key)
		time.Sleep(time.Minute)
		f.log.Trim(ledger.StreamOrders, time.Now())
		third := startInstance(f.log, "c", DefaultConfig())
		time.Sleep(time.Second)
		kind, code := kindAndCode(third.order(c.Context(), f.service, key))
		c.Assert(kind, qt.Equals, "unknown")
		c.Assert(code, qt.Equals, receipt.CodeKeyExpired)
		c.Assert(f.service.count(key), qt.Equals, 1)
		time.Sleep(time.Minute)
		kind, _ = kindAndCode(third.order(c.Context(), f.service, newKey(f.rand, time.Now())))
		c.Assert(kind, qt.Equals, "answered")
		third.cancel()
		<-third.stopped
	})
}

func TestGapDuringClaimPreventsOwnership(t *testing.T) {
	withTwoInstances(t, func(c *qt.C, f *fixture) {
		key := newKey(f.rand, time.Now())
		f.b.setOnStep(func(i *instance, at step) {
			if at == stepClaim {
				i.Pause()
			}
		})
		second := make(chan receipt.Outcome, 1)
		go func() { second <- f.b.order(c.Context(), f.service, key) }()
		synctest.Wait()
		kind, _ := kindAndCode(f.a.order(c.Context(), f.service, key))
		c.Assert(kind, qt.Equals, "answered")
		time.Sleep(time.Second)
		f.log.Trim(ledger.StreamOrders, time.Now())
		f.b.Resume()
		kind, code := kindAndCode(<-second)
		c.Assert(kind, qt.Equals, "unknown")
		c.Assert(code, qt.Equals, receipt.CodeKeyExpired)
		c.Assert(f.service.count(key), qt.Equals, 1)
	})
}
