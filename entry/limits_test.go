package entry_test

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsamlock/balsamlock/common/bucket"
	"github.com/balsamlock/balsamlock/plan"
)

// loadDuration is how long callers send requests at the limit.
const loadDuration = 8 * time.Second

// countServed sends requests through all instances from 20 concurrent clients for
// loadDuration. It returns the number of requests that were served.
func countServed(c *qt.C, s *system, send func(entryName string) int) int64 {
	var served atomic.Int64
	var wg sync.WaitGroup
	end := time.Now().Add(loadDuration)
	for i := range 20 {
		entryName := s.entryNames()[i%len(s.entries)]
		wg.Go(func() {
			for time.Now().Before(end) {
				if send(entryName) == http.StatusOK {
					served.Add(1)
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	return served.Load()
}

func (s *system) setLimits(caller string, limits plan.Limits) {
	for i := range s.document.Callers {
		if s.document.Callers[i].Name == caller {
			s.document.Callers[i].Limits = limits
		}
	}
	s.publish()
	digest := s.document.Base
	s.await(5*time.Second, "the new limits on all instances", func() bool {
		for _, name := range s.entryNames() {
			if s.status(name).Document.Digest != digest {
				return false
			}
		}
		return true
	})
}

func (s *system) lookupFunc(c *qt.C, caller string) func(entryName string) int {
	return func(entryName string) int {
		return s.send(c.Context(), http.MethodGet, s.url(entryName, "/services/workshop-desk/panels/7"), callerKey(caller), nil, "").status
	}
}

func TestRequestRateAcrossInstances(t *testing.T) {
	withSystem(t, twoInstanceSystem, func(c *qt.C, s *system) {
		const rate = 20
		s.setLimits("vecht", plan.Limits{RequestsPerSecond: rate})
		served := countServed(c, s, s.lookupFunc(c, "vecht"))
		expected := rate * loadDuration.Seconds()
		maxServed := rate * (loadDuration + bucket.Burst).Seconds()
		c.Check(float64(served) <= maxServed, qt.IsTrue, qt.Commentf("%d served", served))
		c.Check(float64(served) >= 0.9*expected, qt.IsTrue, qt.Commentf("%d served", served))
		otherServed := countServed(c, s, s.lookupFunc(c, "dommel"))
		c.Check(float64(otherServed) > 2*maxServed, qt.IsTrue)
	})
}

func TestTokenRateAcrossInstances(t *testing.T) {
	withSystem(t, twoInstanceSystem, func(c *qt.C, s *system) {
		const rate, tokens = 100, 10
		s.setLimits("vecht", plan.Limits{TokensPerSecond: rate})
		served := countServed(c, s, func(entryName string) int {
			_, resp := s.complete(c.Context(), entryName, callerKey("vecht"), "Survey", tokens)
			return resp.status
		})
		c.Check(served > 0, qt.IsTrue)
		c.Check(float64(served)*tokens <= rate*(loadDuration+bucket.Burst).Seconds(), qt.IsTrue)
	})
}

func TestConcurrencyAcrossInstances(t *testing.T) {
	withSystem(t, twoInstanceSystem, func(c *qt.C, s *system) {
		const limit = 4
		s.setLimits("vecht", plan.Limits{Concurrent: limit})
		var complete atomic.Int64
		var wg sync.WaitGroup
		for i := range 20 {
			entryName := s.entryNames()[i%len(s.entries)]
			wg.Go(func() {
				text, _ := s.complete(c.Context(), entryName, callerKey("vecht"), "Survey", 50)
				if text == expectedText("Survey", 50) {
					complete.Add(1)
				}
			})
		}
		time.Sleep(200 * time.Millisecond)
		c.Check(s.countAttempts(), qt.Equals, limit)
		wg.Wait()
		c.Check(complete.Load(), qt.Equals, int64(limit))
	})
}

// countAttempts returns the number of attempts that hold memory on any engine.
func (s *system) countAttempts() int {
	attempts := map[string]bool{}
	for _, engine := range s.engines {
		holdings, err := engine.Holdings(context.Background())
		s.c.Assert(err, qt.IsNil)
		for _, holding := range holdings {
			attempts[holding.Attempt] = true
		}
	}
	return len(attempts)
}
