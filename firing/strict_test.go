package firing_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsamlock/balsamlock/firing"
	"github.com/balsamlock/balsamlock/intake"
	"github.com/balsamlock/balsamlock/kiln"
	"github.com/balsamlock/balsamlock/quotation"
	"github.com/balsamlock/balsamlock/receipt"
)

// strictConfig returns settings without reconnections to the same engine and with a long
// wait for another engine that continues a stream.
func strictConfig() firing.Config {
	cfg := firing.DefaultConfig()
	cfg.Resumes = 0
	cfg.WaitMS = 50
	cfg.ResumeWaitMS = 2500
	cfg.StallMS = 3000
	return cfg
}

func strictRequest(id string, resumable bool) firing.Request {
	req := newRequest(id)
	req.Strict = true
	req.Resumable = resumable
	req.MaxRuns = 2
	return req
}

func inStrictBubble(t *testing.T, queue bool, f func(c *qt.C, engines *fakeCluster, runner *firing.Runner)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		engines := newFakeCluster(1, 2, 2)
		deps := firing.Deps{
			Engines:  engines,
			Placer:   quotation.NewPlacer(quotation.Deps{Servers: engines}),
			Instance: "entry-1",
			Config:   strictConfig(),
		}
		if queue {
			deps.Queue = firing.NewBacklogQueue(intake.NewBacklog(intake.DefaultBacklogConfig()))
		}
		runner := firing.NewRunner(deps)
		f(qt.New(t), engines, runner)
		runner.Close()
	})
}

func (f *fakeCluster) decodes() int {
	n := 0
	for _, engine := range f.engines {
		n += engine.count("decode")
	}
	return n
}

// A decode that may have started is neither repeated nor reported as not run.
func TestStrictDecodeIsNotRepeated(t *testing.T) {
	inStrictBubble(t, false, func(c *qt.C, engines *fakeCluster, runner *firing.Runner) {
		for _, engine := range engines.engines {
			engine.faultRate = 1
			engine.streamErr = errBroken
		}
		result := runner.Run(c.Context(), strictRequest("r1", false), &collector{})
		_, unknown := result.Outcome.(receipt.Unknown)
		c.Assert(unknown, qt.IsTrue, qt.Commentf("%#v", result.Outcome))
		c.Assert(engines.decodes(), qt.Equals, 1)
	})
}

// A resumable request runs on at most MaxRuns engines.
func TestStrictResumableRunsAtMostMaxRuns(t *testing.T) {
	inStrictBubble(t, false, func(c *qt.C, engines *fakeCluster, runner *firing.Runner) {
		for _, engine := range engines.engines {
			engine.streamErr = errBroken
		}
		result := runner.Run(c.Context(), strictRequest("r1", true), &collector{})
		_, unknown := result.Outcome.(receipt.Unknown)
		c.Assert(unknown, qt.IsTrue, qt.Commentf("%#v", result.Outcome))
		c.Assert(engines.decodes(), qt.Equals, 2)
	})
}

// If a request may not run again, the failure response of its engine is the answer.
func TestStrictReturnsEngineFailure(t *testing.T) {
	inStrictBubble(t, false, func(c *qt.C, engines *fakeCluster, runner *firing.Runner) {
		for _, engine := range engines.engines {
			engine.decodeErr = &kiln.ResponseError{
				Peer:   engine.address,
				Status: http.StatusInternalServerError,
				Body:   []byte("failed"),
			}
		}
		result := runner.Run(c.Context(), strictRequest("r1", false), &collector{})
		answered, ok := result.Outcome.(receipt.Answered)
		c.Assert(ok, qt.IsTrue, qt.Commentf("%#v", result.Outcome))
		c.Assert(answered.Status, qt.Equals, http.StatusInternalServerError)
		c.Assert(string(answered.Body), qt.Equals, "failed")
	})
}

// A prefill without a response doesn't count as running a strict request.
func TestStrictPrefillDoesNotRun(t *testing.T) {
	inStrictBubble(t, false, func(c *qt.C, engines *fakeCluster, runner *firing.Runner) {
		for _, engine := range engines.engines {
			engine.prefillErr = errBroken
		}
		result := runner.Run(c.Context(), strictRequest("r1", false), &collector{})
		_, notRun := result.Outcome.(receipt.NotRun)
		c.Assert(notRun, qt.IsTrue, qt.Commentf("%#v", result.Outcome))
		c.Assert(engines.decodes(), qt.Equals, 0)
	})
}

// A stream that is interrupted while all other engines are full continues once one of
// them has free capacity. It isn't cut off after the short WaitMS of a new request.
func TestInterruptedStreamWaitsForCapacity(t *testing.T) {
	for _, queue := range []bool{false, true} {
		inStrictBubble(t, queue, func(c *qt.C, engines *fakeCluster, runner *firing.Runner) {
			var interrupted bool
			sink := &collector{}
			sink.onFrame = func(n int) {
				if n != 5 || interrupted {
					return
				}
				interrupted = true
				for _, engine := range engines.engines {
					engine.mu.Lock()
					engine.reserveErr = &kiln.EngineError{Code: kiln.ErrFull}
					engine.streamErr = errBroken
					engine.mu.Unlock()
				}
				time.AfterFunc(time.Second, func() {
					for _, engine := range engines.engines {
						engine.mu.Lock()
						engine.reserveErr = nil
						engine.streamErr = nil
						engine.mu.Unlock()
					}
				})
			}
			ctx, stop := context.WithTimeout(c.Context(), 10*time.Second)
			defer stop()
			result := runner.Run(ctx, strictRequest("r1", true), sink)
			c.Assert(result.Outcome, qt.DeepEquals, receipt.Outcome(receipt.Answered{Status: 200}))
			c.Assert(sink.frames, qt.HasLen, 30)
		})
	}
}

// A stream that can't continue on another engine isn't broken when its engine sends no
// token for longer than StallMS, for example because it preempted the request.
func TestSilentEngineKeepsStreamThatCannotMove(t *testing.T) {
	for _, resumable := range []bool{false, true} {
		inStrictBubble(t, false, func(c *qt.C, engines *fakeCluster, runner *firing.Runner) {
			for _, engine := range engines.engines {
				engine.firstTokenDelay = 5 * time.Second
			}
			result := runner.Run(c.Context(), strictRequest("r1", resumable), &collector{})
			wantDecodes := 1
			if resumable {
				wantDecodes = 2
			}
			c.Assert(result.Outcome, qt.DeepEquals, receipt.Outcome(receipt.Answered{Status: 200}))
			c.Assert(engines.decodes(), qt.Equals, wantDecodes)
		})
	}
}

// exhaustedBudget and a single decode engine: a stream that the engine has preempted can't
// continue elsewhere. Guards against cutting it, although its engine goes on with it.
func TestSilentStreamIsNotCutWithoutAnotherRun(t *testing.T) {
	for name, decodeEngines := range map[string]int{
		"no retry left":   2,
		"no other engine": 1,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				engines := newFakeCluster(1, 2, decodeEngines)
				deps := firing.Deps{
					Engines:  engines,
					Placer:   quotation.NewPlacer(quotation.Deps{Servers: engines}),
					Instance: "entry-1",
					Config:   strictConfig(),
				}
				if decodeEngines > 1 {
					deps.Retries = exhaustedBudget{}
				}
				runner := firing.NewRunner(deps)
				defer runner.Close()
				for _, engine := range engines.engines {
					engine.preemptedFor = 3500 * time.Millisecond
				}
				sink := &collector{}
				result := runner.Run(c.Context(), strictRequest("r1", true), sink)
				c.Assert(result.Outcome, qt.DeepEquals, receipt.Outcome(receipt.Answered{Status: 200}))
				c.Assert(sink.frames, qt.HasLen, 30)
				c.Assert(engines.decodes(), qt.Equals, 1)
			})
		})
	}
}

// staleStatePlacer is a Placer whose engine state is stale until freshAt, as after the
// process was suspended.
type staleStatePlacer struct {
	*quotation.Placer
	freshAt time.Time
}

func (p staleStatePlacer) Place(req quotation.Request, now time.Time) quotation.Decision {
	if now.Before(p.freshAt) {
		return quotation.Wait{
			For:   20 * time.Millisecond,
			Stale: true,
		}
	}
	return p.Placer.Place(req, now)
}

// A request that arrives while the engine state is stale isn't refused, although it
// misses its target.
func TestRunWaitsForFreshEngineState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		engines := newFakeCluster(1, 2, 2)
		runner := firing.NewRunner(firing.Deps{
			Engines: engines,
			Placer: staleStatePlacer{
				Placer:  quotation.NewPlacer(quotation.Deps{Servers: engines}),
				freshAt: time.Now().Add(2 * time.Second),
			},
			Queue:    firing.NewFairQueue(intake.NewQueue(intake.QueueConfig{}), func(string) int { return 1 }),
			Instance: "entry-1",
		})
		defer runner.Close()
		result := runner.Run(c.Context(), newRequest("r1"), &collector{})
		c.Assert(result.Outcome, qt.DeepEquals, receipt.Outcome(receipt.Answered{Status: 200}))
	})
}

// exhaustedBudget is a firing.RetryBudget that permits no retries.
type exhaustedBudget struct{}

func (exhaustedBudget) RecordFirstAttempt(string) {}
func (exhaustedBudget) Allows(string, int) bool   { return false }
func (exhaustedBudget) Take(string, int) bool     { return false }

// Engines that just failed are still listed, as when a rack loses power under load, and
// the many failures have exhausted the retry budget. A reservation without a response has
// started no work, so the request tries another engine without taking a retry from the
// budget.
func TestUnreachableEnginesSpendNoRetryBudget(t *testing.T) {
	for name, err := range map[string]error{
		"refused connections": &kiln.NotSentError{
			Call: "reserve",
			Err:  errBroken,
		},
		"no responses": context.DeadlineExceeded,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				engines := newFakeCluster(1, 2, 6)
				for _, server := range engines.servers[2:7] {
					engines.engines[server.Address].reserveErr = err
				}
				runner := firing.NewRunner(firing.Deps{
					Engines:  engines,
					Placer:   quotation.NewPlacer(quotation.Deps{Servers: engines}),
					Queue:    firing.NewBacklogQueue(intake.NewBacklog(intake.DefaultBacklogConfig())),
					Retries:  exhaustedBudget{},
					Instance: "entry-1",
					Config:   strictConfig(),
				})
				defer runner.Close()
				served := 0
				for n := range 40 {
					result := runner.Run(c.Context(), strictRequest(fmt.Sprintf("r%d", n), false), &collector{})
					if _, ok := result.Outcome.(receipt.Answered); ok {
						served++
					}
				}
				c.Check(served, qt.Equals, 40, qt.Commentf("requests served of 40"))
			})
		})
	}
}

// If no engine responds, a request is refused as not run once LatestStart has passed.
func TestRunRefusesWhenAllEnginesAreUnreachable(t *testing.T) {
	inStrictBubble(t, true, func(c *qt.C, engines *fakeCluster, runner *firing.Runner) {
		for _, engine := range engines.engines {
			engine.reserveErr = errBroken
		}
		start := time.Now()
		req := strictRequest("r1", false)
		req.LatestStart = start.Add(2 * time.Second)
		result := runner.Run(c.Context(), req, &collector{})
		_, notRun := result.Outcome.(receipt.NotRun)
		c.Check(notRun, qt.IsTrue, qt.Commentf("%#v", result.Outcome))
		took := time.Since(start)
		c.Check(took <= 2500*time.Millisecond, qt.IsTrue, qt.Commentf("took %v", took))
	})
}

// A repeated attempt calls a prefill and a decode engine, and each of the calls counts against the budget.
func TestRetriesExceedBudgetOfCalls(t *testing.T) {
	const requests, allowed = 20, 10
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		engines := newFakeCluster(1, 2, 6)
		for _, engine := range engines.engines {
			engine.streamErr = errBroken
		}
		budget := intake.NewSharedRetryBudget(intake.SharedRetryBudgetConfig{
			Slack:    allowed,
			WindowMS: 600_000,
		})
		budget.SetShare(1)
		runner := firing.NewRunner(firing.Deps{
			Engines:  engines,
			Placer:   quotation.NewPlacer(quotation.Deps{Servers: engines}),
			Retries:  budget,
			Instance: "entry-1",
			Config:   strictConfig(),
		})
		defer runner.Close()
		for n := range requests {
			runner.Run(c.Context(), strictRequest(fmt.Sprintf("r%d", n), true), &collector{})
			// Engines that failed are used again after a while.
			time.Sleep(20 * time.Second)
		}
		calls := 0
		for _, engine := range engines.engines {
			calls += engine.count("prefill") + engine.count("decode")
		}
		c.Assert(calls-2*requests <= allowed, qt.IsTrue, qt.Commentf("%d calls beyond the first ones", calls-2*requests))
		c.Assert(calls-2*requests > 0, qt.IsTrue)
	})
}

// Guards against an export that is never released because its decode was refused.
func TestExportIsReleasedWhenDecodeIsRefused(t *testing.T) {
	inStrictBubble(t, false, func(c *qt.C, engines *fakeCluster, runner *firing.Runner) {
		for _, engine := range engines.engines {
			engine.decodeErr = engine.refuse("decode", kiln.ErrFull)
		}
		ctx, stop := context.WithTimeout(c.Context(), 5*time.Second)
		defer stop()
		result := runner.Run(ctx, strictRequest("r1", true), &collector{})
		_, notRun := result.Outcome.(receipt.NotRun)
		c.Check(notRun, qt.IsTrue)
		time.Sleep(time.Second)
		for _, engine := range engines.engines {
			c.Check(engine.count("cancel") >= engine.count("prefill"), qt.IsTrue,
				qt.Commentf("%s: %d prefills, %d cancels", engine.address, engine.count("prefill"), engine.count("cancel")))
		}
	})
}
