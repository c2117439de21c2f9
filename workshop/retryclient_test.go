package workshop

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsamlock/balsamlock/common/prooftest"
	"github.com/balsamlock/balsamlock/receipt"
)

// fakeService answers after a time, or fails.
type fakeService struct {
	mu     sync.Mutex
	calls  int
	effect int
	delay  func(n int) time.Duration
	fail   func(n int) error
}

func (s *fakeService) Call(ctx context.Context, req Request) (Answer, error) {
	s.mu.Lock()
	s.calls++
	n := s.calls
	s.mu.Unlock()
	var err error
	if s.fail != nil {
		err = s.fail(n)
	}
	var notStarted *NotStartedError
	if errors.As(err, &notStarted) {
		return Answer{}, err
	}
	if s.delay != nil {
		select {
		case <-time.After(s.delay(n)):
		case <-ctx.Done():
			return Answer{}, ctx.Err()
		}
	}
	s.mu.Lock()
	s.effect++
	s.mu.Unlock()
	return Answer{
		Status: 200,
		Body:   []byte(req.Path),
	}, err
}

func (s *fakeService) counts() (calls, effect int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls, s.effect
}

func steady(d time.Duration) func(int) time.Duration {
	return func(int) time.Duration { return d }
}

func always(err error) func(int) error { return func(int) error { return err } }

func callOf(caller string, services ...Service) Call {
	call := Call{
		Caller:  caller,
		Service: "lookup",
		Request: Request{
			Method:  "GET",
			Path:    "/panels/7",
			Attempt: "a",
		},
		Timeout: 2 * time.Second,
	}
	for n, service := range services {
		call.Servers = append(call.Servers, Server{
			Name:    fmt.Sprintf("server-%d", n),
			Service: service,
		})
	}
	return call
}

func repeat(c *RetryClient, call Call) receipt.Outcome {
	return c.CallRepeatable(context.Background(), receipt.NewAttempt("a"), call)
}

func once(c *RetryClient, call Call) receipt.Outcome {
	return c.CallOnce(context.Background(), receipt.NewAttempt("a").Send(), call)
}

func newTestCaller() *RetryClient {
	return NewRetryClient(RetryClientDeps{Config: DefaultRetryClientConfig()})
}

var errReset = errors.New("connection reset")

func TestLookupIsHedged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		slow := &fakeService{delay: func(n int) time.Duration {
			if n > 60 {
				return time.Second
			}
			return time.Duration(1+7*n%20) * time.Millisecond
		}}
		fast := &fakeService{delay: steady(10 * time.Millisecond)}
		caller := newTestCaller()
		for range 60 {
			repeat(caller, callOf("desk", slow, fast))
		}
		began := time.Now()
		_, ok := repeat(caller, callOf("desk", slow, fast)).(receipt.Answered)
		c.Assert(ok, qt.IsTrue)
		took := time.Since(began)
		c.Assert(took >= 15*time.Millisecond && took <= 50*time.Millisecond, qt.IsTrue, qt.Commentf("%v", took))
		hedges, _ := fast.counts()
		c.Assert(hedges <= 8, qt.IsTrue, qt.Commentf("%d hedges for 61 calls", hedges))
	})
}

func TestRetriesStayWithinBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		broken := &fakeService{fail: always(errReset)}
		caller := newTestCaller()
		const calls = 1000
		for range calls {
			outcome := repeat(caller, callOf("noisy", broken, broken, broken))
			_, ok := outcome.(receipt.Unknown)
			c.Assert(ok, qt.IsTrue)
		}
		tries, _ := broken.counts()
		retries := tries - calls
		c.Assert(retries <= calls/10+2, qt.IsTrue, qt.Commentf("%d retries", retries))
		c.Assert(retries >= calls/10-2, qt.IsTrue, qt.Commentf("%d retries", retries))
		good := &fakeService{}
		_, ok := repeat(caller, callOf("quiet", broken, good)).(receipt.Answered)
		c.Assert(ok, qt.IsTrue, qt.Commentf("another caller's budget was spent"))
	})
}

func TestOnceIsNeverRepeatedAfterItMayHaveRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		broken := &fakeService{fail: always(errReset)}
		good := &fakeService{}
		_, unknown := once(newTestCaller(), callOf("desk", broken, good)).(receipt.Unknown)
		c.Assert(unknown, qt.IsTrue)
		calls, _ := good.counts()
		c.Assert(calls, qt.Equals, 0)
		refusing := &fakeService{fail: always(&NotStartedError{Err: errReset})}
		_, answered := once(newTestCaller(), callOf("desk", refusing, good)).(receipt.Answered)
		c.Assert(answered, qt.IsTrue)
		_, notRun := once(newTestCaller(), callOf("desk", refusing)).(receipt.NotRun)
		c.Assert(notRun, qt.IsTrue)
	})
}

func TestDeadlineIsPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		stuck := &fakeService{delay: steady(time.Hour)}
		began := time.Now()
		outcome, ok := repeat(newTestCaller(), callOf("desk", stuck, stuck)).(receipt.Unknown)
		c.Assert(ok, qt.IsTrue)
		c.Assert(outcome.Reason().Code, qt.Equals, receipt.CodeDeadline)
		c.Assert(time.Since(began), qt.Equals, 2*time.Second)
	})
}

// TestProofCallsSayNotRunOnlyWhenNoneRan calls services that fail in random
// ways and compares each outcome with the effects.
func TestProofCallsSayNotRunOnlyWhenNoneRan(t *testing.T) {
	prooftest.Run(t, prooftest.Row{
		Promise:  "not run is true",
		Failures: "services that refuse, break after the effect, hang or answer late, with retries and hedges",
	}, 100, func(c *qt.C, seed uint64) {
		synctest.Test(c.TB.(*testing.T), func(t *testing.T) {
			c := qt.New(t)
			r := rand.New(rand.NewPCG(seed, 7))
			caller := newTestCaller()
			for range 20 {
				var services []Service
				var fakes []*fakeService
				for range 1 + r.IntN(3) {
					fake := &fakeService{
						delay: steady(time.Duration(r.IntN(3000)) * time.Millisecond),
						fail:  always([]error{nil, errReset, &NotStartedError{Err: errReset}}[r.IntN(3)]),
					}
					fakes = append(fakes, fake)
					services = append(services, fake)
				}
				repeatable := r.IntN(2) == 0
				var outcome receipt.Outcome
				if repeatable {
					outcome = repeat(caller, callOf("desk", services...))
				} else {
					outcome = once(caller, callOf("desk", services...))
				}
				checkEffects(c, outcome, fakes, repeatable)
			}
		})
	})
}

func checkEffects(c *qt.C, outcome receipt.Outcome, fakes []*fakeService, repeatable bool) {
	effects := 0
	for _, fake := range fakes {
		_, effect := fake.counts()
		effects += effect
	}
	switch outcome.(type) {
	case receipt.NotRun:
		c.Check(effects, qt.Equals, 0)
	case receipt.Answered:
		c.Check(effects >= 1, qt.IsTrue)
	}
	if !repeatable {
		c.Check(effects <= 1, qt.IsTrue, qt.Commentf("%d effects", effects))
	}
}
