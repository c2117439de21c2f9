package firing_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsamlock/balsamlock/common/prooftest"
	"github.com/balsamlock/balsamlock/firing"
	"github.com/balsamlock/balsamlock/kiln"
	"github.com/balsamlock/balsamlock/quotation"
	"github.com/balsamlock/balsamlock/receipt"
)

func newRunner(f *fakeCluster) *firing.Runner {
	return firing.NewRunner(firing.Deps{
		Engines:  f,
		Placer:   quotation.NewPlacer(quotation.Deps{Servers: f}),
		Instance: "entry-1",
	})
}

func newRequest(id string) firing.Request {
	return firing.Request{
		ID:         id,
		Caller:     "studio-a",
		Class:      "completion",
		Model:      "draft-7b",
		Prompt:     kiln.NewPrompt("prompt of " + id),
		MaxTokens:  30,
		FirstToken: 460 * time.Millisecond,
		PerToken:   27 * time.Millisecond,
		DataCentre: "randstad-a",
	}
}

// inBubble runs a test in a synctest bubble, with a runner and fake engines.
func inBubble(t *testing.T, f func(c *qt.C, engines *fakeCluster, runner *firing.Runner)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		engines := newFakeCluster(1, 2, 2)
		runner := newRunner(engines)
		f(qt.New(t), engines, runner)
		runner.Close()
	})
}

func TestRunDeliversAllTokens(t *testing.T) {
	inBubble(t, func(c *qt.C, engines *fakeCluster, runner *firing.Runner) {
		sink := &collector{}
		result := runner.Run(c.Context(), newRequest("r1"), sink)
		c.Assert(result.Outcome, qt.DeepEquals, receipt.Outcome(receipt.Answered{Status: 200}))
		c.Assert(sink.frames, qt.HasLen, 30)
		c.Assert(result.Finish, qt.Equals, "length")
		c.Assert(result.FirstToken, qt.Equals, 2*stepDuration)
		c.Assert(result.Wasted, qt.Equals, 0)
	})
}

func TestRunCancelsWhenSinkFails(t *testing.T) {
	inBubble(t, func(c *qt.C, engines *fakeCluster, runner *firing.Runner) {
		result := runner.Run(c.Context(), newRequest("r1"), &collector{limit: 3})
		cut, ok := result.Outcome.(receipt.Cut)
		c.Assert(ok, qt.IsTrue)
		c.Assert(cut.Delivered, qt.Equals, 3)
		synctest.Wait()
		c.Assert(engines.count("cancel") > 0, qt.IsTrue)
	})
}

func TestRunCancelsPrefillWhenContextEnds(t *testing.T) {
	inBubble(t, func(c *qt.C, engines *fakeCluster, runner *firing.Runner) {
		ctx, stop := context.WithTimeout(c.Context(), stepDuration/2)
		defer stop()
		result := runner.Run(ctx, newRequest("r1"), &collector{})
		_, unknown := result.Outcome.(receipt.Unknown)
		c.Assert(unknown, qt.IsTrue, qt.Commentf("%#v", result.Outcome))
		runner.Close()
		c.Assert(engines.heldCount(), qt.Equals, 0)
	})
}

func TestRunRefusesAsNotRunWhenFull(t *testing.T) {
	inBubble(t, func(c *qt.C, engines *fakeCluster, runner *firing.Runner) {
		for _, engine := range engines.engines {
			engine.slots = 0
		}
		result := runner.Run(c.Context(), newRequest("r1"), &collector{})
		refused, ok := result.Outcome.(receipt.NotRun)
		c.Assert(ok, qt.IsTrue)
		c.Assert(refused.Reason().Code, qt.Equals, receipt.CodeOverloaded)
		c.Assert(engines.count("prefill"), qt.Equals, 0)
	})
}

func TestRunRetriesAnotherEngine(t *testing.T) {
	inBubble(t, func(c *qt.C, engines *fakeCluster, runner *firing.Runner) {
		engines.engines["10.0.0.1:80"].prefillErr = errors.New("no answer")
		engines.engines["10.0.0.3:80"].reserveErr = errors.New("no answer")
		for i := range 10 {
			sink := &collector{}
			result := runner.Run(c.Context(), newRequest(fmt.Sprint("r", i)), sink)
			_, answered := result.Outcome.(receipt.Answered)
			c.Assert(answered, qt.IsTrue, qt.Commentf("%#v", result.Outcome))
		}
	})
}

func TestProofOwnWholeAnswer(t *testing.T) {
	prooftest.Run(t, prooftest.Row{
		Promise:  "own whole answer",
		Failures: "streams broken, ended early, engines restarted; frames late, repeated, reordered, foreign",
	}, 300, func(c *qt.C, seed uint64) {
		synctest.Test(c.TB.(*testing.T), func(t *testing.T) {
			c := qt.New(t)
			engines := newFakeCluster(seed, 2, 3)
			for _, engine := range engines.engines {
				engine.faultRate = 0.05
			}
			runner := newRunner(engines)
			var running sync.WaitGroup
			for i := range 8 {
				running.Go(func() { runAndCheck(c, runner, fmt.Sprintf("r%d", i)) })
			}
			running.Wait()
			runner.Close()
		})
	})
}

// runAndCheck runs one request and checks that the delivered tokens are its own, in
// order and without gaps, and that they match the outcome.
func runAndCheck(c *qt.C, runner *firing.Runner, id string) {
	req := newRequest(id)
	sink := &collector{}
	result := runner.Run(c.Context(), req, sink)
	for i, frame := range sink.frames {
		c.Check(frame.Index, qt.Equals, i)
		c.Check(frame.Text, qt.Equals, tokenText(req.Prompt.Text, i))
	}
	switch outcome := result.Outcome.(type) {
	case receipt.Answered:
		c.Check(len(sink.frames), qt.Equals, req.MaxTokens)
	case receipt.Cut:
		c.Check(outcome.Delivered, qt.Equals, len(sink.frames))
		c.Check(len(sink.frames) < req.MaxTokens, qt.IsTrue)
	case receipt.NotRun, receipt.Unknown:
		c.Check(sink.frames, qt.HasLen, 0)
	}
}

// An engine with both roles holds the decode slot and the export of an attempt. The
// release of the export after the transfer must not drop the later cancel.
func TestRunCancelsOnEngineWithBothRoles(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		engines := newFakeCluster(1, 0, 0)
		engines.add("10.0.0.1:80", kiln.RoleBoth, 1)
		runner := newRunner(engines)
		defer runner.Close()
		result := runner.Run(c.Context(), newRequest("r1"), &collector{limit: 3})
		_, cut := result.Outcome.(receipt.Cut)
		c.Assert(cut, qt.IsTrue, qt.Commentf("%#v", result.Outcome))
		time.Sleep(time.Second)
		c.Assert(engines.heldCount(), qt.Equals, 0)
	})
}

// A refused prefill must not drop the cancel if the same engine holds the reservation.
func TestRunCancelsAfterRefusedPrefill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		engines := newFakeCluster(1, 0, 0)
		engines.add("10.0.0.1:80", kiln.RoleBoth, 1)
		engine := engines.engines["10.0.0.1:80"]
		engine.prefillErr = engine.refuse("prefill", kiln.ErrBusy)
		runner := newRunner(engines)
		defer runner.Close()
		ctx, stop := context.WithTimeout(c.Context(), time.Second)
		defer stop()
		runner.Run(ctx, newRequest("r1"), &collector{})
		time.Sleep(time.Second)
		c.Assert(engines.count("reserve") > 0, qt.IsTrue)
		c.Assert(engines.heldCount(), qt.Equals, 0)
	})
}
