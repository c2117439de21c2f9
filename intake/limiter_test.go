package intake_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsamlock/balsamlock/intake"
	"github.com/balsamlock/balsamlock/receipt"
)

func TestLimiterLimitsConcurrentRequests(t *testing.T) {
	c := qt.New(t)
	limiter := intake.NewLimiter(nil)
	demand := intake.Demand{
		Caller: "studio-a",
		Limits: intake.Limits{Concurrent: 2},
	}
	first, reason := limiter.Admit(demand, time.Now())
	c.Assert(reason == nil, qt.IsTrue)
	_, reason = limiter.Admit(demand, time.Now())
	c.Assert(reason == nil, qt.IsTrue)
	_, reason = limiter.Admit(demand, time.Now())
	c.Assert(reason.Code, qt.Equals, receipt.CodeLimited)
	first.Done()
	first.Done()
	_, reason = limiter.Admit(demand, time.Now())
	c.Assert(reason == nil, qt.IsTrue)
	_, reason = limiter.Admit(demand, time.Now())
	c.Assert(reason != nil, qt.IsTrue)
}

// countAdmitted returns the number of requests of one caller that are admitted in ten
// seconds, with requests sent to the limiters in turn. limits returns the limits at a
// time since the start.
func countAdmitted(limiters []*intake.Limiter, limits func(at time.Duration) intake.Limits, perSecond, tokens int) int {
	n := 0
	started := time.Now()
	for i := 0; time.Since(started) < 10*time.Second; i++ {
		demand := intake.Demand{
			Caller: "studio-a",
			Limits: limits(time.Since(started)),
			Tokens: tokens,
		}
		permit, reason := limiters[i%len(limiters)].Admit(demand, time.Now())
		if reason == nil {
			permit.Done()
			n++
		}
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	return n
}

func TestLimiterLimitsRates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		requests := countAdmitted([]*intake.Limiter{intake.NewLimiter(nil)}, func(time.Duration) intake.Limits {
			return intake.Limits{RequestsPerSecond: 10}
		}, 100, 1)
		c.Assert(requests >= 100 && requests <= 111, qt.IsTrue, qt.Commentf("%d", requests))
		tokens := countAdmitted([]*intake.Limiter{intake.NewLimiter(nil)}, func(time.Duration) intake.Limits {
			return intake.Limits{TokensPerSecond: 1000}
		}, 100, 50)
		c.Assert(tokens >= 200 && tokens <= 221, qt.IsTrue, qt.Commentf("%d", tokens))
	})
}

func TestLimiterAppliesNewLimitsImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		n := countAdmitted([]*intake.Limiter{intake.NewLimiter(nil)}, func(at time.Duration) intake.Limits {
			if at < 5*time.Second {
				return intake.Limits{RequestsPerSecond: 10}
			}
			return intake.Limits{RequestsPerSecond: 50}
		}, 100, 1)
		c.Assert(n >= 295 && n <= 361, qt.IsTrue, qt.Commentf("%d", n))
	})
}

func TestRetryBudgetIsAPercentageOfFirstAttempts(t *testing.T) {
	c := qt.New(t)
	budget := intake.NewRetryBudget(func(string) float64 { return 10 })
	taken := 0
	for range 100 {
		budget.RecordFirstAttempt("studio-a")
		for budget.Take("studio-a", 1) {
			taken++
		}
	}
	c.Assert(taken >= 12 && taken <= 13, qt.IsTrue, qt.Commentf("%d", taken))
	c.Assert(budget.Take("studio-b", 1), qt.IsTrue)
}

func BenchmarkLimiter(b *testing.B) {
	for _, callers := range []int{10, 400, 4000} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			limiter := intake.NewLimiter(nil)
			names := make([]string, callers)
			for i := range names {
				names[i] = fmt.Sprint("caller-", i)
			}
			limits := intake.Limits{
				RequestsPerSecond: 1e9,
				TokensPerSecond:   1e12,
				Concurrent:        100,
			}
			now := time.Now()
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				i++
				permit, _ := limiter.Admit(intake.Demand{
					Caller: names[i%callers],
					Limits: limits,
					Tokens: 100,
				}, now)
				permit.Done()
			}
		})
	}
}
