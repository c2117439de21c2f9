package receipt

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/balsamlock/balsamlock/common/prooftest"
)

type testFrame struct {
	attempt string
	index   int
	text    string
	last    bool
}

// newFrames returns the frames of an attempt that generates n tokens.
func newFrames(attempt string, n int) []testFrame {
	list := make([]testFrame, 0, n)
	for index := range n {
		list = append(list, testFrame{
			attempt: attempt,
			index:   index,
			text:    fmt.Sprintf("%s.%d", attempt, index),
			last:    index == n-1,
		})
	}
	return list
}

// TestProofSequenceDeliversOwnWholeAnswer passes the frames of several attempts to a
// sequence in random order, with duplicates, losses and a change of attempt.
func TestProofSequenceDeliversOwnWholeAnswer(t *testing.T) {
	prooftest.Run(t, prooftest.Row{
		Promise:  "own whole answer",
		Failures: "frames late, repeated, reordered, missing and of other attempts; an attempt replaced in the middle",
	}, 20, func(c *qt.C, _ uint64) {
		rapid.Check(c.TB.(*testing.T), func(t *rapid.T) {
			n := rapid.IntRange(1, 12).Draw(t, "tokens")
			var pool []testFrame
			for _, attempt := range []string{"old", "new", "foreign"} {
				pool = append(pool, newFrames(attempt, n)...)
			}
			s := NewSequence("old", 0)
			bindAt := rapid.IntRange(0, 2*len(pool)).Draw(t, "bind")
			bound := "old"
			var delivered []testFrame
			for step := range 4 * len(pool) {
				if step == bindAt {
					bound = "new"
					s.Bind(bound)
				}
				frame := rapid.SampledFrom(pool).Draw(t, "frame")
				if s.Check(frame.attempt, frame.index, frame.last) == FrameNext {
					if frame.attempt != bound {
						t.Fatalf("delivered a frame of %s", frame.attempt)
					}
					delivered = append(delivered, frame)
				}
			}
			checkDelivered(t, s, delivered, n)
		})
	})
}

// checkDelivered fails the test unless the frames were delivered in order and the
// sequence is complete exactly if all n were delivered.
func checkDelivered(t *rapid.T, s *Sequence, delivered []testFrame, n int) {
	for index, frame := range delivered {
		if frame.index != index {
			t.Fatalf("frame %d delivered as token %d", frame.index, index)
		}
	}
	if s.Complete() != (len(delivered) == n) {
		t.Fatalf("complete is %v after %d of %d tokens", s.Complete(), len(delivered), n)
	}
}

func TestSequenceCountsResults(t *testing.T) {
	c := qt.New(t)
	s := NewSequence("a", 3)
	c.Assert(s.Check("a", 3, false), qt.Equals, FrameNext)
	c.Assert(s.Check("a", 3, false), qt.Equals, FrameRepeated)
	c.Assert(s.Check("b", 4, false), qt.Equals, FrameForeign)
	c.Assert(s.Check("a", 5, false), qt.Equals, FrameAhead)
	c.Assert(s.Check("a", 4, true), qt.Equals, FrameNext)
	c.Assert(s.Check("a", 5, false), qt.Equals, FrameAfterLast)
	c.Assert(s.Complete(), qt.IsTrue)
	c.Assert(s.Next(), qt.Equals, 5)
	for _, result := range []FrameResult{FrameRepeated, FrameForeign, FrameAhead, FrameAfterLast} {
		c.Assert(s.Count(result), qt.Equals, 1, qt.Commentf(result.Name()))
	}
}
