package firing_test

import (
	"runtime"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/balsamlock/balsamlock/firing"
	"github.com/balsamlock/balsamlock/kiln"
	"github.com/balsamlock/balsamlock/receipt"
)

// heapSink drops its tokens and measures the heap after each of them.
type heapSink struct{ sizes []int64 }

func (s *heapSink) Token(kiln.Frame) error {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	s.sizes = append(s.sizes, int64(stats.HeapAlloc))
	return nil
}

// Guards against memory that grows with the length of a stream.
func TestStreamDoesNotKeepItsTokens(t *testing.T) {
	inStrictBubble(t, false, func(c *qt.C, _ *fakeCluster, runner *firing.Runner) {
		const tokenBytes = 256 << 10
		req := strictRequest("r1", true)
		req.Prompt.Text = strings.Repeat("x", tokenBytes)
		sink := &heapSink{}
		result := runner.Run(c.Context(), req, sink)
		c.Assert(result.Outcome, qt.DeepEquals, receipt.Outcome(receipt.Answered{Status: 200}))
		growth := sink.sizes[len(sink.sizes)-1] - sink.sizes[0]
		c.Check(growth < 2*tokenBytes, qt.IsTrue, qt.Commentf("the heap has grown by %d bytes in %d tokens", growth, len(sink.sizes)))
	})
}
