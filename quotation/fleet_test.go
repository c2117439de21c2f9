package quotation

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsamlock/balsamlock/crew"
	"github.com/balsamlock/balsamlock/kiln"
)

// newDecodeWorker returns a decode engine whose load report from the time at states that
// used of its 12 slots are in use.
func newDecodeWorker(used int, at time.Time) *Worker {
	return newWorker(&crew.Server{
		Name:  "d",
		Role:  kiln.RoleDecode,
		Slots: 12,
		Load: kiln.LoadReport{
			At:        at,
			Slots:     12,
			SlotsUsed: used,
			KVTokens:  10_000,
		},
	}, DefaultConfig(), &engineLoad{})
}

// If old reports didn't expire, an engine whose last report said that it was full would
// never be chosen again.
func TestReportsExpire(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	w := newDecodeWorker(12, now)
	c.Assert(w.full(now, 0), qt.IsTrue)
	c.Assert(w.full(now.Add(engineReportTTL+time.Millisecond), 0), qt.IsFalse)
	w.load.slots.add(12, now)
	c.Assert(w.full(now.Add(time.Minute), 0), qt.IsTrue, qt.Commentf("this instance's own requests don't expire"))
}

func TestMemoryLimitsCapacity(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	w := newDecodeWorker(1, now)
	c.Assert(w.hasMemoryFor(10_000), qt.IsTrue)
	w.load.reservedTokens.add(6_000, now)
	c.Assert(w.hasMemoryFor(5_000), qt.IsFalse)
	c.Assert(w.utilization(now), qt.Equals, 0.6)
}

// Prefills that take longer than this instance's own queue explains indicate queues of
// other instances.
func TestPrefillDelayRisesAndDecays(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	var d prefillDelay
	d.observe(800*time.Millisecond, now)
	c.Assert(d.at(now), qt.Equals, 400*time.Millisecond)
	c.Assert(d.at(now.Add(delayHalfLife)).Round(time.Millisecond), qt.Equals, 200*time.Millisecond)
	d.observe(-time.Second, now)
	c.Assert(d.at(now), qt.Equals, time.Duration(0))
}
