package intake_test

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsamlock/balsamlock/intake"
)

func TestQuotaRestartsEachDay(t *testing.T) {
	c := qt.New(t)
	var q intake.Quota
	evening := time.Date(2026, 3, 12, 23, 59, 59, 0, time.UTC)
	c.Check(q.Take("studio", 60, 100, evening), qt.IsTrue)
	c.Check(q.Take("studio", 60, 100, evening), qt.IsFalse)
	c.Check(q.Take("studio", 40, 100, evening), qt.IsTrue)
	c.Check(q.Take("rival", 100, 100, evening), qt.IsTrue)
	c.Check(q.Take("studio", 1, 100, evening), qt.IsFalse)
	c.Check(q.Take("studio", 1000, 0, evening), qt.IsTrue)
	c.Check(q.Take("studio", 100, 100, evening.Add(time.Second)), qt.IsTrue)
}

func TestQuotaIsExactUnderConcurrency(t *testing.T) {
	c := qt.New(t)
	var q intake.Quota
	var taken atomic.Int64
	var wg sync.WaitGroup
	for range 50 {
		wg.Go(func() {
			for range 100 {
				if q.Take("studio", 1, 1234, time.Unix(0, 0)) {
					taken.Add(1)
				}
			}
		})
	}
	wg.Wait()
	c.Check(taken.Load(), qt.Equals, int64(1234))
}
