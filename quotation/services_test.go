package quotation

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsamlock/balsamlock/crew"
)

// testServers returns one server in each of three data centres, two of them in one region.
func testServers() []*crew.Server {
	servers := make([]*crew.Server, 0, 3)
	for _, location := range [][2]string{{"near", "here"}, {"next", "here"}, {"far", "there"}} {
		servers = append(servers, &crew.Server{
			Name:       location[0],
			DataCentre: location[0],
			Region:     location[1],
			Slots:      6,
		})
	}
	return servers
}

// countFirstRanks returns for how many of 200 calls each server is ranked first.
func countFirstRanks(r *ServiceRanker) map[string]int {
	counts := map[string]int{}
	for i := range 200 {
		first := r.Rank(testServers(), "near", "here", string(rune('a'+i)), time.Now())[0]
		counts[first.Name]++
	}
	return counts
}

func TestServiceRankerPrefersNearest(t *testing.T) {
	c := qt.New(t)
	r := NewServiceRanker()
	c.Assert(countFirstRanks(r)["near"] > 100, qt.IsTrue)
	c.Assert(countFirstRanks(r)["far"] < 40, qt.IsTrue)
}

// In a burst, calls go to the next server before they queue at the nearest one.
func TestServiceRankerSpillsOver(t *testing.T) {
	c := qt.New(t)
	r := NewServiceRanker()
	for range 12 {
		r.Begin("near")
	}
	c.Assert(countFirstRanks(r)["near"], qt.Equals, 0)
}

func TestServiceRankerUsesReports(t *testing.T) {
	c := qt.New(t)
	r := NewServiceRanker()
	r.Report("near", 20, time.Now())
	c.Assert(countFirstRanks(r)["near"], qt.Equals, 0)
	r.Report("near", 20, time.Now().Add(-time.Second))
	c.Assert(countFirstRanks(r)["near"] > 100, qt.IsTrue, qt.Commentf("an expired report is ignored"))
}

func TestServiceRankerAvoidsSlowAndFailingServers(t *testing.T) {
	c := qt.New(t)
	for _, failed := range []bool{false, true} {
		r := NewServiceRanker()
		for range 20 {
			r.Begin("near")
			r.End("near", 300*time.Millisecond, failed)
		}
		c.Assert(countFirstRanks(r)["near"] < 10, qt.IsTrue, qt.Commentf("failed: %v", failed))
		for range 60 {
			r.Begin("near")
			r.End("near", 40*time.Millisecond, false)
		}
		c.Assert(countFirstRanks(r)["near"] > 100, qt.IsTrue, qt.Commentf("the server has recovered"))
	}
}

func TestAdmittingServers(t *testing.T) {
	c := qt.New(t)
	at := time.Now()
	servers := []*crew.Server{
		{
			Name:        "a",
			PausedUntil: at.Add(3 * time.Second),
		},
		{
			Name:        "b",
			PausedUntil: at.Add(2 * time.Second),
		},
	}
	c.Assert(Admitting(servers, at), qt.HasLen, 0)
	c.Assert(FirstAdmission(servers), qt.Equals, at.Add(2*time.Second))
	admitting := Admitting(servers, at.Add(2*time.Second))
	c.Assert(admitting, qt.HasLen, 1)
	c.Assert(admitting[0].Name, qt.Equals, "b")
	c.Assert(FirstAdmission(nil).IsZero(), qt.IsTrue)
}
