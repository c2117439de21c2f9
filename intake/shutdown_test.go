package intake

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestShutdownGateAcceptsRequestsThatEndInTime(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	gate := NewShutdownGate(8 * time.Second)
	c.Assert(gate.Accepts(time.Hour, now), qt.IsTrue)
	gate.Begin(now)
	gate.Begin(now.Add(time.Minute))
	c.Assert(gate.Begun(), qt.IsTrue)
	c.Assert(gate.Accepts(7*time.Second, now), qt.IsTrue)
	c.Assert(gate.Accepts(7*time.Second, now.Add(time.Second)), qt.IsFalse)
	c.Assert(gate.Accepts(time.Second, now.Add(6*time.Second)), qt.IsTrue)
	c.Assert(gate.Accepts(0, now.Add(8*time.Second)), qt.IsFalse)
	c.Assert(gate.Remaining(now.Add(7*time.Second)), qt.Equals, 600*time.Millisecond)
}
