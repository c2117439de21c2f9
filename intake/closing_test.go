package intake

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestClosingAcceptsWhatEndsInTime(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	closing := NewShutdownGate(8 * time.Second)
	c.Assert(closing.Accepts(time.Hour, now), qt.IsTrue)
	closing.Begin(now)
	closing.Begin(now.Add(time.Minute))
	c.Assert(closing.Begun(), qt.IsTrue)
	c.Assert(closing.Accepts(7*time.Second, now), qt.IsTrue)
	c.Assert(closing.Accepts(7*time.Second, now.Add(time.Second)), qt.IsFalse)
	c.Assert(closing.Accepts(time.Second, now.Add(6*time.Second)), qt.IsTrue)
	c.Assert(closing.Accepts(0, now.Add(8*time.Second)), qt.IsFalse)
	c.Assert(closing.Remaining(now.Add(7*time.Second)), qt.Equals, 600*time.Millisecond)
}
