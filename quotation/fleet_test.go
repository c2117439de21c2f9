package quotation

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsamlock/balsamlock/crew"
	"github.com/balsamlock/balsamlock/kiln"
)

func engineOf(used int, at time.Time) *Worker {
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
	}, DefaultConfig(), &tally{})
}

// An engine that was full once and has not been heard of since is looked at again.
func TestOldReportsExpire(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	w := engineOf(12, now)
	c.Assert(w.full(now, 0), qt.IsTrue)
	c.Assert(w.full(now.Add(reportLife+time.Millisecond), 0), qt.IsFalse)
	w.tally.slots.add(12, now)
	c.Assert(w.full(now.Add(time.Minute), 0), qt.IsTrue, qt.Commentf("the instance's own requests count on"))
}

func TestEnginesFitByMemory(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	w := engineOf(1, now)
	c.Assert(w.fits(10_000), qt.IsTrue)
	w.tally.memory.add(6_000, now)
	c.Assert(w.fits(5_000), qt.IsFalse)
	c.Assert(w.fill(now), qt.Equals, 0.6)
}

// Prefills that take longer than the own queue explains tell of others' queues.
func TestPrefillDelayIsLearntAndFades(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	var d delay
	d.observe(800*time.Millisecond, now)
	c.Assert(d.at(now), qt.Equals, 400*time.Millisecond)
	c.Assert(d.at(now.Add(delayFade)).Round(time.Millisecond), qt.Equals, 200*time.Millisecond)
	d.observe(-time.Second, now)
	c.Assert(d.at(now), qt.Equals, time.Duration(0))
}
