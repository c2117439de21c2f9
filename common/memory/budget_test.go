package memory

import (
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestShareIsLimitedByWhatOtherSharesHold(t *testing.T) {
	c := qt.New(t)
	all := NewBudget(100)
	bodies, requests := all.Share(80), all.Share(80)
	c.Check(bodies.Take(81), qt.IsFalse)
	c.Check(bodies.Take(80), qt.IsTrue)
	c.Check(requests.Take(21), qt.IsFalse)
	c.Check(requests.Take(20), qt.IsTrue)
	c.Check(all.Used(), qt.Equals, int64(100))
	bodies.Return(80)
	requests.Return(20)
	c.Check(all.Used()+bodies.Used()+requests.Used(), qt.Equals, int64(0))
}

func TestConcurrentTakesStayWithinTheLimit(t *testing.T) {
	c := qt.New(t)
	const limit, size = 1000, 7
	share := NewBudget(limit).Share(limit)
	var wg sync.WaitGroup
	var mu sync.Mutex
	taken := 0
	for range 8 {
		wg.Go(func() {
			for range 1000 {
				if share.Take(size) {
					mu.Lock()
					taken++
					c.Check(taken*size <= limit, qt.IsTrue)
					mu.Unlock()
				}
			}
		})
	}
	wg.Wait()
	c.Check(share.Used(), qt.Equals, int64(taken*size))
	c.Check(taken > 0, qt.IsTrue)
}
