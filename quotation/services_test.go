package quotation

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsamlock/balsamlock/crew"
)

func desks() []crew.Server {
	list := make([]crew.Server, 0, 3)
	for _, place := range [][2]string{{"near", "here"}, {"next", "here"}, {"far", "there"}} {
		list = append(list, crew.Server{
			Name:       place[0],
			DataCentre: place[0],
			Region:     place[1],
			Slots:      6,
		})
	}
	return list
}

// share returns how many of 200 calls each server is ranked first for.
func share(b *ServiceRanker) map[string]int {
	counts := map[string]int{}
	for i := range 200 {
		first := b.Rank(desks(), "near", "here", string(rune('a'+i)), time.Now())[0]
		counts[first.Name]++
	}
	return counts
}

func TestServiceBookPrefersTheNearest(t *testing.T) {
	c := qt.New(t)
	b := NewServiceRanker()
	c.Assert(share(b)["near"] > 100, qt.IsTrue)
	c.Assert(share(b)["far"] < 40, qt.IsTrue)
}

// A burst fills the nearest server: calls go on to the next one before it queues.
func TestServiceBookSpillsOver(t *testing.T) {
	c := qt.New(t)
	b := NewServiceRanker()
	for range 12 {
		b.Begin("near")
	}
	c.Assert(share(b)["near"], qt.Equals, 0)
}

func TestServiceBookBelievesReports(t *testing.T) {
	c := qt.New(t)
	b := NewServiceRanker()
	b.Report("near", 20, time.Now())
	c.Assert(share(b)["near"], qt.Equals, 0)
	b.Report("near", 20, time.Now().Add(-time.Second))
	c.Assert(share(b)["near"] > 100, qt.IsTrue, qt.Commentf("an old report counts no more"))
}

func TestServiceBookLeavesSlowAndFailingServers(t *testing.T) {
	c := qt.New(t)
	for _, failed := range []bool{false, true} {
		b := NewServiceRanker()
		for range 20 {
			b.Begin("near")
			b.End("near", 300*time.Millisecond, failed)
		}
		c.Assert(share(b)["near"] < 10, qt.IsTrue, qt.Commentf("failed: %v", failed))
		for range 60 {
			b.Begin("near")
			b.End("near", 40*time.Millisecond, false)
		}
		c.Assert(share(b)["near"] > 100, qt.IsTrue, qt.Commentf("it has recovered"))
	}
}
