package receipt

import (
	"github.com/balsamlock/balsamlock/common/invariant"
	"github.com/balsamlock/balsamlock/common/mutation"
)

// FrameResult is the result of Sequence.Check for a frame.
type FrameResult int

// The results of checking a frame. Only a FrameNext frame may be delivered.
const (
	// FrameNext is the next frame in order.
	FrameNext FrameResult = iota
	// FrameForeign belongs to another attempt.
	FrameForeign
	// FrameRepeated has been delivered already.
	FrameRepeated
	// FrameAhead follows a missing frame. The stream must be resumed from Next.
	FrameAhead
	// FrameAfterLast follows the last frame.
	FrameAfterLast
)

// frameResults is the number of FrameResult values.
const frameResults = int(FrameAfterLast) + 1

// Name returns the name of the result in metrics.
func (r FrameResult) Name() string {
	return [frameResults]string{"next", "foreign", "repeated", "ahead", "late"}[r]
}

// Sequence checks the frames of one answer at the last hop before the caller. It
// ensures that each token is delivered once, in order, and from the attempt that the
// answer is bound to. It isn't safe for concurrent use.
//
//	sequence := receipt.NewSequence(attempt, 0)
//	if sequence.Check(frame.Attempt, frame.Index, frame.Last) == receipt.FrameNext {
//		err = sink.Token(frame)
//	}
type Sequence struct {
	attempt string
	next    int
	ended   bool
	counts  [frameResults]int
}

// NewSequence returns a sequence that is bound to an attempt and expects the frame with
// index from first.
func NewSequence(attempt string, from int) *Sequence {
	return &Sequence{
		attempt: attempt,
		next:    from,
	}
}

// Bind continues the answer with another attempt. Frames of the earlier attempt are
// FrameForeign from then on.
func (s *Sequence) Bind(attempt string) { s.attempt = attempt }

// Next returns the index of the next expected frame.
func (s *Sequence) Next() int { return s.next }

// Complete reports whether the last frame was delivered.
func (s *Sequence) Complete() bool { return s.ended }

// Count returns the number of checked frames with the given result.
func (s *Sequence) Count(result FrameResult) int { return s.counts[result] }

// Check classifies a frame and counts the result. The frame must be delivered if and
// only if the result is FrameNext.
func (s *Sequence) Check(attempt string, index int, last bool) FrameResult {
	result := s.classify(attempt, index)
	if mutation.Off(mutation.FrameCheck) {
		result = FrameNext
	}
	s.counts[result]++
	if result != FrameNext {
		return result
	}
	expected := attempt == s.attempt && index == s.next && !s.ended
	invariant.Check(expected, invariant.ResponseIntegrity, "frame %d of attempt %s delivered as frame %d of attempt %s", index, attempt, s.next, s.attempt)
	s.next++
	s.ended = s.ended || last
	return FrameNext
}

func (s *Sequence) classify(attempt string, index int) FrameResult {
	switch {
	case attempt != s.attempt:
		return FrameForeign
	case index < s.next:
		return FrameRepeated
	case s.ended:
		return FrameAfterLast
	case index > s.next:
		return FrameAhead
	}
	return FrameNext
}
