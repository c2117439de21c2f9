package reclaim_test

import (
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/balsamlock/balsamlock/reclaim"
)

func TestTrackerCountsConcurrentHolds(t *testing.T) {
	c := qt.New(t)
	tracker := reclaim.NewTracker()
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 1000 {
				tracker.Hold("a", "e")
				tracker.Hold("a", "e")
				tracker.Release("a", "e")
				tracker.Release("a", "e")
			}
		})
	}
	wg.Wait()
	c.Assert(tracker.Engines(), qt.HasLen, 0)
	c.Assert(tracker.Held("e", []string{"a"}), qt.HasLen, 0)
	tracker.Hold("a", "e")
	tracker.Hold("a", "e")
	tracker.Release("a", "e")
	c.Assert(tracker.Held("e", []string{"a", "b"}), qt.DeepEquals, []string{"a"})
	c.Assert(tracker.Engines(), qt.DeepEquals, []string{"e"})
	tracker.Forget("a", "e")
	tracker.Release("a", "e")
	c.Assert(tracker.Engines(), qt.HasLen, 0)
}
