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

// strictConfig never connects to the same engine again, and waits long for one
// that goes on with a stream.
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
	req.Runs = 2
	return req
}

func inStrictBubble(t *testing.T, queue bool, f func(c *qt.C, engines *fakeCrew, runner *firing.Runner)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		engines := newFakeCrew(1, 2, 2)
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

func (f *fakeCrew) decodes() int {
	n := 0
	for _, engine := range f.engines {
		n += engine.count("decode")
	}
	return n
}

// A decode that may have started is neither repeated nor called not run.
func TestStrictDecodeIsNotRepeated(t *testing.T) {
	inStrictBubble(t, false, func(c *qt.C, engines *fakeCrew, runner *firing.Runner) {
		for _, engine := range engines.engines {
			engine.chaos = 1
			engine.streamErr = errBroken
		}
		result := runner.Run(c.Context(), strictRequest("r1", false), &collector{})
		_, unknown := result.Outcome.(receipt.Unknown)
		c.Assert(unknown, qt.IsTrue, qt.Commentf("%#v", result.Outcome))
		c.Assert(engines.decodes(), qt.Equals, 1)
	})
}

// A resumable request runs on as many engines as its route allows.
func TestStrictResumableIsBounded(t *testing.T) {
	inStrictBubble(t, false, func(c *qt.C, engines *fakeCrew, runner *firing.Runner) {
		for _, engine := range engines.engines {
			engine.streamErr = errBroken
		}
		result := runner.Run(c.Context(), strictRequest("r1", true), &collector{})
		_, unknown := result.Outcome.(receipt.Unknown)
		c.Assert(unknown, qt.IsTrue, qt.Commentf("%#v", result.Outcome))
		c.Assert(engines.decodes(), qt.Equals, 2)
	})
}

// An engine's own failure is the answer of a request that may not run again.
func TestStrictPassesFailuresOn(t *testing.T) {
	inStrictBubble(t, false, func(c *qt.C, engines *fakeCrew, runner *firing.Runner) {
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

// A prefill whose answer is lost has not run a strict request.
func TestStrictPrefillDoesNotRun(t *testing.T) {
	inStrictBubble(t, false, func(c *qt.C, engines *fakeCrew, runner *firing.Runner) {
		for _, engine := range engines.engines {
			engine.prefillErr = errBroken
		}
		result := runner.Run(c.Context(), strictRequest("r1", false), &collector{})
		_, notRun := result.Outcome.(receipt.NotRun)
		c.Assert(notRun, qt.IsTrue, qt.Commentf("%#v", result.Outcome))
		c.Assert(engines.decodes(), qt.Equals, 0)
	})
}

// A stream that breaks off while all other engines are full goes on once one of
// them has room; it isn't cut after the short wait of a new request.
func TestBegunStreamWaitsForRoom(t *testing.T) {
	for _, queue := range []bool{false, true} {
		inStrictBubble(t, queue, func(c *qt.C, engines *fakeCrew, runner *firing.Runner) {
			var once bool
			sink := &collector{}
			sink.after = func(n int) {
				if n != 5 || once {
					return
				}
				once = true
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

// An engine that is silent for long, as one that preempts, keeps a stream that
// can't go on elsewhere.
func TestSilenceEndsNoStreamThatCantGoOn(t *testing.T) {
	for _, resumable := range []bool{false, true} {
		inStrictBubble(t, false, func(c *qt.C, engines *fakeCrew, runner *firing.Runner) {
			for _, engine := range engines.engines {
				engine.silence = 5 * time.Second
			}
			result := runner.Run(c.Context(), strictRequest("r1", resumable), &collector{})
			want := 1
			if resumable {
				want = 2
			}
			c.Assert(result.Outcome, qt.DeepEquals, receipt.Outcome(receipt.Answered{Status: 200}))
			c.Assert(engines.decodes(), qt.Equals, want)
		})
	}
}

// newsPlacer knows its engines again after some time, as after a freeze.
type newsPlacer struct {
	*quotation.Placer
	known time.Time
}

func (p newsPlacer) Place(req quotation.Request, now time.Time) quotation.Decision {
	if now.Before(p.known) {
		return quotation.Wait{
			For:   20 * time.Millisecond,
			Stale: true,
		}
	}
	return p.Placer.Place(req, now)
}

// A request that comes while the instance has no fresh news isn't refused for
// that, though it misses its target.
func TestRunWaitsForNews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		engines := newFakeCrew(1, 2, 2)
		runner := firing.NewRunner(firing.Deps{
			Engines: engines,
			Placer: newsPlacer{
				Placer: quotation.NewPlacer(quotation.Deps{Servers: engines}),
				known:  time.Now().Add(2 * time.Second),
			},
			Queue:    firing.NewFairQueue(intake.NewQueue(intake.QueueConfig{}), func(string) int { return 1 }),
			Instance: "entry-1",
		})
		defer runner.Close()
		result := runner.Run(c.Context(), newRequest("r1"), &collector{})
		c.Assert(result.Outcome, qt.DeepEquals, receipt.Outcome(receipt.Answered{Status: 200}))
	})
}

// noRetries is a budget that is spent.
type noRetries struct{}

func (noRetries) First(string)     {}
func (noRetries) Take(string) bool { return false }

// Load: engines have just died and are still listed, as when a rack loses power
// under load. Nothing was sent to one that doesn't answer a reservation: the
// request looks for another engine at no charge to the budget of retries, which
// the many failures have spent.
func TestDeadEnginesCostNoRetry(t *testing.T) {
	for name, err := range map[string]error{
		"refused connections": &kiln.NotSentError{
			Call: "reserve",
			Err:  errBroken,
		},
		"no answers": context.DeadlineExceeded,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				engines := newFakeCrew(1, 2, 6)
				for _, server := range engines.servers[2:7] {
					engines.engines[server.Address].reserveErr = err
				}
				runner := firing.NewRunner(firing.Deps{
					Engines:  engines,
					Placer:   quotation.NewPlacer(quotation.Deps{Servers: engines}),
					Queue:    firing.NewBacklogQueue(intake.NewBacklog(intake.DefaultBacklogConfig())),
					Retries:  noRetries{},
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
				c.Check(served, qt.Equals, 40, qt.Commentf("served of 40"))
			})
		})
	}
}

// With no engine that answers, a request is refused as not run once a start would be
// of no use.
func TestAllEnginesDeadRefuses(t *testing.T) {
	inStrictBubble(t, true, func(c *qt.C, engines *fakeCrew, runner *firing.Runner) {
		for _, engine := range engines.engines {
			engine.reserveErr = errBroken
		}
		began := time.Now()
		req := strictRequest("r1", false)
		req.Latest = began.Add(2 * time.Second)
		result := runner.Run(c.Context(), req, &collector{})
		_, notRun := result.Outcome.(receipt.NotRun)
		c.Check(notRun, qt.IsTrue, qt.Commentf("%#v", result.Outcome))
		took := time.Since(began)
		c.Check(took <= 2500*time.Millisecond, qt.IsTrue, qt.Commentf("took %v", took))
	})
}
