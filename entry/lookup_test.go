package entry_test

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// lookupP99 sends n lookups through e1 and returns the 99th percentile of their
// latency.
func (s *system) lookupP99(c *qt.C, n int) time.Duration {
	latencies := make([]time.Duration, 0, n)
	for i := range n {
		begin := time.Now()
		resp := s.send(c.Context(), http.MethodGet, s.url("e1", fmt.Sprintf("/services/workshop-desk/panels/%d", i)), callerKey("vecht"), nil, "")
		c.Check(resp.status, qt.Equals, http.StatusOK)
		latencies = append(latencies, time.Since(begin))
		time.Sleep(10 * time.Millisecond)
	}
	slices.Sort(latencies)
	return latencies[len(latencies)*99/100]
}

// TestLookupLatencyUnderOverload checks that the latency of lookups less than doubles
// while 1.5 times as many generations are sent as there are decode slots. They come from
// the caller of the lookups and from another one.
func TestLookupLatencyUnderOverload(t *testing.T) {
	withSystem(t, twoInstanceSystem, func(c *qt.C, s *system) {
		const decodeSlots, loadFactor = 40, 1.5
		unloaded := s.lookupP99(c, 300)
		stop := make(chan struct{})
		var wg sync.WaitGroup
		for i := range int(decodeSlots * loadFactor) {
			caller := []string{"vecht", "dommel"}[i%2]
			entryName := s.entryNames()[i%len(s.entries)]
			wg.Go(func() {
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					default:
					}
					s.complete(c.Context(), entryName, callerKey(caller), fmt.Sprintf("Survey %d of %d", n, i), 100)
				}
			})
		}
		time.Sleep(2 * time.Second)
		loaded := s.lookupP99(c, 300)
		close(stop)
		wg.Wait()
		c.Logf("99th percentile: %s unloaded, %s loaded", unloaded, loaded)
		c.Check(loaded < 2*unloaded, qt.IsTrue, qt.Commentf("%s, unloaded %s", loaded, unloaded))
	})
}
