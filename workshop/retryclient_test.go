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

// fakeService is a Service with configurable delays and errors. It counts its calls
// and those that had an effect.
type fakeService struct {
	mu      sync.Mutex
	calls   int
	effects int
	// delay and fail return the delay and the error of the nth call, counted from 1.
	// They may be nil.
	delay func(n int) time.Duration
	fail  func(n int) error
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
	s.effects++
	s.mu.Unlock()
	return Answer{
		Status: 200,
		Body:   []byte(req.Path),
	}, err
}

func (s *fakeService) counts() (calls, effects int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls, s.effects
}

func fixedDelay(d time.Duration) func(int) time.Duration {
	return func(int) time.Duration { return d }
}

func fixedError(err error) func(int) error { return func(int) error { return err } }

func newCall(caller string, services ...Service) Call {
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

func callRepeatable(c *RetryClient, call Call) receipt.Outcome {
	return c.CallRepeatable(context.Background(), receipt.NewAttempt("a"), call)
}

func callOnce(c *RetryClient, call Call) receipt.Outcome {
	return c.CallOnce(context.Background(), receipt.NewAttempt("a").Send(), call)
}

func newTestClient() *RetryClient {
	return NewRetryClient(RetryClientDeps{Config: DefaultRetryClientConfig()})
}

var errReset = errors.New("connection reset")

func TestSlowCallIsHedged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		slow := &fakeService{delay: func(n int) time.Duration {
			if n > 60 {
				return time.Second
			}
			return time.Duration(1+7*n%20) * time.Millisecond
		}}
		fast := &fakeService{delay: fixedDelay(10 * time.Millisecond)}
		client := newTestClient()
		for range 60 {
			callRepeatable(client, newCall("desk", slow, fast))
		}
		start := time.Now()
		_, ok := callRepeatable(client, newCall("desk", slow, fast)).(receipt.Answered)
		c.Assert(ok, qt.IsTrue)
		took := time.Since(start)
		c.Assert(took >= 15*time.Millisecond && took <= 50*time.Millisecond, qt.IsTrue, qt.Commentf("%v", took))
		hedges, _ := fast.counts()
		c.Assert(hedges <= 8, qt.IsTrue, qt.Commentf("%d hedges for 61 calls", hedges))
	})
}

func TestRetriesStayWithinBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		broken := &fakeService{fail: fixedError(errReset)}
		client := newTestClient()
		const calls = 1000
		for range calls {
			outcome := callRepeatable(client, newCall("noisy", broken, broken, broken))
			_, ok := outcome.(receipt.Unknown)
			c.Assert(ok, qt.IsTrue)
		}
		tries, _ := broken.counts()
		retries := tries - calls
		c.Assert(retries <= calls/10+2, qt.IsTrue, qt.Commentf("%d retries", retries))
		c.Assert(retries >= calls/10-2, qt.IsTrue, qt.Commentf("%d retries", retries))
		good := &fakeService{}
		_, ok := callRepeatable(client, newCall("quiet", broken, good)).(receipt.Answered)
		c.Assert(ok, qt.IsTrue, qt.Commentf("the retry budget of another caller was used up"))
	})
}

func TestCallOnceStopsAfterCallMayHaveStarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		broken := &fakeService{fail: fixedError(errReset)}
		good := &fakeService{}
		_, unknown := callOnce(newTestClient(), newCall("desk", broken, good)).(receipt.Unknown)
		c.Assert(unknown, qt.IsTrue)
		calls, _ := good.counts()
		c.Assert(calls, qt.Equals, 0)
		refusing := &fakeService{fail: fixedError(&NotStartedError{Err: errReset})}
		_, answered := callOnce(newTestClient(), newCall("desk", refusing, good)).(receipt.Answered)
		c.Assert(answered, qt.IsTrue)
		_, notRun := callOnce(newTestClient(), newCall("desk", refusing)).(receipt.NotRun)
		c.Assert(notRun, qt.IsTrue)
	})
}

func TestTimeoutBoundsWholeCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		stuck := &fakeService{delay: fixedDelay(time.Hour)}
		start := time.Now()
		outcome, ok := callRepeatable(newTestClient(), newCall("desk", stuck, stuck)).(receipt.Unknown)
		c.Assert(ok, qt.IsTrue)
		c.Assert(outcome.Reason().Code, qt.Equals, receipt.CodeDeadline)
		c.Assert(time.Since(start), qt.Equals, 2*time.Second)
	})
}

// TestProofCallsSayNotRunOnlyWhenNoneRan calls services with random faults and compares
// each outcome with the effects of the calls.
func TestProofCallsSayNotRunOnlyWhenNoneRan(t *testing.T) {
	prooftest.Run(t, prooftest.Row{
		Promise:  "not run is true",
		Failures: "services that refuse, break after the effect, hang or answer late, with retries and hedges",
	}, 100, func(c *qt.C, seed uint64) {
		synctest.Test(c.TB.(*testing.T), func(t *testing.T) {
			c := qt.New(t)
			r := rand.New(rand.NewPCG(seed, 7))
			client := newTestClient()
			for range 20 {
				var services []Service
				var fakes []*fakeService
				for range 1 + r.IntN(3) {
					fake := &fakeService{
						delay: fixedDelay(time.Duration(r.IntN(3000)) * time.Millisecond),
						fail:  fixedError([]error{nil, errReset, &NotStartedError{Err: errReset}}[r.IntN(3)]),
					}
					fakes = append(fakes, fake)
					services = append(services, fake)
				}
				repeatable := r.IntN(2) == 0
				var outcome receipt.Outcome
				if repeatable {
					outcome = callRepeatable(client, newCall("desk", services...))
				} else {
					outcome = callOnce(client, newCall("desk", services...))
				}
				checkEffects(c, outcome, fakes, repeatable)
			}
		})
	})
}

func checkEffects(c *qt.C, outcome receipt.Outcome, fakes []*fakeService, repeatable bool) {
	effects := 0
	for _, fake := range fakes {
		_, n := fake.counts()
		effects += n
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

// Load: a first try that fails while the second server has just asked for a pause. The retry goes to the
// third one, and the skipped server costs nothing of the retry budget.
func TestServersThatTakeNoCallsAreSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		client := newTestClient()
		refuse := func() bool { return false }
		notStarted := fixedError(&NotStartedError{Err: errReset})
		paused := &fakeService{}
		call := newCall("desk", &fakeService{fail: notStarted}, paused, &fakeService{})
		call.Servers[1].Admits = refuse
		_, ok := callOnce(client, call).(receipt.Answered)
		c.Assert(ok, qt.IsTrue)
		call = newCall("desk", &fakeService{fail: fixedError(errReset)}, paused, &fakeService{})
		call.Servers[1].Admits = refuse
		_, ok = callRepeatable(client, call).(receipt.Answered)
		c.Assert(ok, qt.IsTrue)
		calls, _ := paused.counts()
		c.Assert(calls, qt.Equals, 0)

		for n := range call.Servers {
			call.Servers[n].Admits = refuse
		}
		_, ok = callRepeatable(client, call).(receipt.NotRun)
		c.Assert(ok, qt.IsTrue)
		_, ok = callOnce(client, call).(receipt.NotRun)
		c.Assert(ok, qt.IsTrue)
	})
}

// A try that panics is one that may have run, and ends no other call.
func TestPanicInTryIsContained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		client := newTestClient()
		panics := &fakeService{fail: func(int) error { panic("unexpected") }}
		_, ok := callRepeatable(client, newCall("desk", panics, &fakeService{})).(receipt.Answered)
		c.Assert(ok, qt.IsTrue)
		_, ok = callOnce(client, newCall("desk", panics, &fakeService{})).(receipt.Unknown)
		c.Assert(ok, qt.IsTrue)
	})
}
