package standin

import (
	"context"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/balsamlock/balsamlock/kiln"
)

// stallPollInterval is how often a stalled step loop checks whether the fault was
// cleared.
const stallPollInterval = 20 * time.Millisecond

// stream is a connection that reads the tokens of an allocation.
type stream struct {
	engine     *Engine
	alloc      *allocation
	nextIndex  int
	sentFrames int
	notify     chan struct{}
	closeOnce  sync.Once
	closed     chan struct{}
	err        error
	faultRules []Rule
	pending    []kiln.Frame
}

// Decode starts or resumes the generation of an attempt.
func (e *Engine) Decode(ctx context.Context, req kiln.DecodeRequest) (kiln.Stream, error) {
	const call = "decode"
	if err := e.applyFaultsBefore(ctx, call); err != nil {
		return nil, err
	}
	s, err := e.decode(call, req)
	if err != nil {
		return nil, err
	}
	for _, kind := range []FaultKind{FaultBreakStream, FaultRepeatFrame, FaultSkipFrame, FaultForeignFrame} {
		if rule, ok := e.faults.take(ctx, kind, call); ok {
			s.faultRules = append(s.faultRules, rule)
		}
	}
	if err := e.faults.applyAfter(ctx, call); err != nil {
		_ = s.Close()
		return nil, err
	}
	return s, nil
}

func (e *Engine) decode(call string, req kiln.DecodeRequest) (*stream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expireLocked()
	if f, ok := e.finished[req.Attempt]; ok {
		if isFenced(f.owner, req.Owner) {
			return nil, e.refusal(call, kiln.ErrFenced, "held by another owner")
		}
		return e.attachStreamLocked(f.alloc, req), nil
	}
	a := e.allocations[req.Attempt]
	if a == nil {
		return nil, e.refusal(call, kiln.ErrGone, "nothing is held for the attempt")
	}
	if isFenced(a.owner, req.Owner) {
		return nil, e.refusal(call, kiln.ErrFenced, "held by another owner")
	}
	if !a.ready || req.MaxTokens < 1 || req.From < 0 {
		return nil, e.refusal(call, kiln.ErrBadRequest, "no KV cache, or no tokens wanted")
	}
	a.owner = req.Owner
	a.renewedAt = time.Now()
	if a.kind != kindStream {
		e.startStreamLocked(a, req)
	}
	return e.attachStreamLocked(a, req), nil
}

func (e *Engine) startStreamLocked(a *allocation, req kiln.DecodeRequest) {
	a.kind = kindStream
	a.totalTokens = answerLength(a.prompt, req.MaxTokens)
	a.finishReason = "length"
	if a.totalTokens < req.MaxTokens || stopLength(a.prompt) == a.totalTokens {
		a.finishReason = "stop"
	}
	a.generated.Store(int64(req.From))
	if req.From >= a.totalTokens {
		e.finishLocked(a)
		return
	}
	e.active = append(e.active, a)
	e.scheduleStepLocked()
}

func (e *Engine) attachStreamLocked(a *allocation, req kiln.DecodeRequest) *stream {
	if a.stream != nil {
		a.stream.closeWithError(ErrConnectionLost)
	}
	a.stream = &stream{
		engine:    e,
		alloc:     a,
		nextIndex: req.From,
		notify:    make(chan struct{}, 1),
		closed:    make(chan struct{}),
	}
	return a.stream
}

// scheduleStepLocked schedules the next step if there are active streams and no
// step is scheduled.
func (e *Engine) scheduleStepLocked() {
	if e.stepScheduled || len(e.active) == 0 {
		return
	}
	e.stepScheduled = true
	time.AfterFunc(e.stepDurationLocked(), e.step)
}

func (e *Engine) stepDurationLocked() time.Duration {
	us := e.cfg.StepBaseUS + e.cfg.StepPerStreamUS*int64(len(e.active))
	if e.runningPrefill != nil {
		us += e.cfg.StepPrefillUS
	}
	return time.Duration(us) * time.Microsecond
}

// step generates one token for each active stream.
func (e *Engine) step() {
	if held, _ := e.faults.isHeld(context.Background(), "step"); held {
		time.AfterFunc(stallPollInterval, e.step)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stepScheduled = false
	e.counters.Steps++
	e.counters.Generated += int64(len(e.active))
	e.active = slices.DeleteFunc(e.active, e.advanceLocked)
	e.scheduleStepLocked()
}

// advanceLocked generates one token and reports whether it was the last one.
func (e *Engine) advanceLocked(a *allocation) bool {
	done := a.generated.Add(1) >= int64(a.totalTokens)
	if done {
		e.finishLocked(a)
	}
	a.stream.wake()
	return done
}

// finishLocked frees the memory of a finished stream. The stream can be resumed
// for at least ResumeKeptMS.
func (e *Engine) finishLocked(a *allocation) {
	delete(e.allocations, a.attempt)
	e.piecesUsed -= a.pieces
	now := time.Now()
	for attempt, f := range e.finished {
		if now.Sub(f.finishedAt) > time.Duration(e.cfg.ResumeKeptMS)*time.Millisecond {
			delete(e.finished, attempt)
		}
	}
	e.finished[a.attempt] = finishedStream{
		owner:      a.owner,
		alloc:      a,
		finishedAt: now,
	}
}

func (s *stream) wake() {
	if s == nil {
		return
	}
	select {
	case s.notify <- struct{}{}:
	default:
	}
}

func (s *stream) closeWithError(err error) {
	s.closeOnce.Do(func() {
		s.err = err
		close(s.closed)
	})
}

// Close closes the connection. The engine continues to generate.
func (s *stream) Close() error {
	s.closeWithError(ErrConnectionLost)
	return nil
}

// Next returns the next frame, waiting until it has been generated. It returns
// io.EOF after the last one.
func (s *stream) Next(ctx context.Context) (kiln.Frame, error) {
	if len(s.pending) > 0 {
		frame := s.pending[0]
		s.pending = s.pending[1:]
		return frame, nil
	}
	if s.alloc.totalTokens > 0 && s.nextIndex >= s.alloc.totalTokens {
		return kiln.Frame{}, io.EOF
	}
	if err := s.waitForToken(ctx); err != nil {
		return kiln.Frame{}, err
	}
	frame := s.nextFrame()
	s.nextIndex++
	s.sentFrames++
	return s.applyFaults(frame)
}

// waitForToken returns once the next token has been generated.
func (s *stream) waitForToken(ctx context.Context) error {
	for {
		select {
		case <-s.closed:
			return s.err
		default:
		}
		if int64(s.nextIndex) < s.alloc.generated.Load() {
			return nil
		}
		select {
		case <-s.notify:
		case <-s.closed:
		case <-s.alloc.freed:
			return s.alloc.err
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (s *stream) nextFrame() kiln.Frame {
	frame := kiln.Frame{
		Attempt: s.alloc.attempt,
		Index:   s.nextIndex,
		Text:    tokenText(s.alloc.seed, s.nextIndex),
	}
	if s.nextIndex == s.alloc.totalTokens-1 {
		frame.Last = true
		frame.Finish = s.alloc.finishReason
	}
	return frame
}

// applyFaults applies the first due fault rule of the stream to a frame.
func (s *stream) applyFaults(frame kiln.Frame) (kiln.Frame, error) {
	for i, rule := range s.faultRules {
		if s.sentFrames <= rule.Tokens {
			continue
		}
		s.faultRules = slices.Delete(s.faultRules, i, i+1)
		switch rule.Kind {
		case FaultBreakStream:
			s.closeWithError(ErrConnectionLost)
			return kiln.Frame{}, ErrConnectionLost
		case FaultRepeatFrame:
			s.pending = append(s.pending, frame)
		case FaultSkipFrame:
			if !frame.Last {
				frame.Index++
				frame.Text = tokenText(s.alloc.seed, frame.Index)
			}
		case FaultForeignFrame:
			s.pending = append(s.pending, frame)
			frame.Attempt = "foreign-" + frame.Attempt
			frame.Text = " foreign"
		}
		return frame, nil
	}
	return frame, nil
}

var _ kiln.Stream = (*stream)(nil)
