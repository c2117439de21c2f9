package firing

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/balsamlock/balsamlock/common/metrics"
	"github.com/balsamlock/balsamlock/kiln"
	"github.com/balsamlock/balsamlock/receipt"
)

var (
	errGap   = errors.New("a frame is missing")
	errEnded = errors.New("the stream ended without its last frame")
)

// sinkError means that the caller is gone.
type sinkError struct{ err error }

func (e *sinkError) Error() string { return fmt.Sprintf("deliver: %v", e.err) }

func (e *sinkError) Unwrap() error { return e.err }

// relay decodes and passes the tokens on; a broken stream is resumed on the
// same engine from the token after the last one delivered.
func (a *attempt) relay(ctx context.Context) (verdict, receipt.Reason) {
	address := a.plan.Decode.Address
	for resumes := 0; ; resumes++ {
		before := a.g.next
		err := a.stream(ctx, address)
		var lost *sinkError
		switch {
		case err == nil:
			return verdictDone, receipt.Reason{}
		case errors.As(err, &lost):
			return verdictStop, receipt.Reason{
				Code: receipt.CodeCancelled,
				Step: receipt.StepDeliver,
				Err:  err,
			}
		case ctx.Err() != nil, isRefusal(err):
			return a.failDecode(ctx, address, err)
		}
		if a.g.next > before {
			resumes = 0
		}
		if resumes >= a.g.runner.cfg.Resumes {
			return a.failDecode(ctx, address, err)
		}
		a.g.runner.deps.Metrics.Count("streams", "resumed")
	}
}

// failDecode judges the error of a decode. The prefill is lost with the
// engine's memory, so a refusal counts as a failure too.
func (a *attempt) failDecode(ctx context.Context, address string, err error) (verdict, receipt.Reason) {
	a.g.noteRun(err)
	result, reason := a.fail(ctx, receipt.StepDecode, address, err)
	if result == verdictAgain {
		result = verdictRetry
	}
	if result == verdictRetry && !a.g.mayRunAgain() {
		result = verdictStop
	}
	return result, reason
}

// noteRun records that an engine may have run a strict request.
func (g *generation) noteRun(err error) {
	if !g.req.Strict || isRefusal(err) || isNotSent(err) {
		return
	}
	g.lost = true
	g.runs++
	var answer *kiln.ResponseError
	if errors.As(err, &answer) {
		g.answer = answer
	}
}

// mayRunAgain tells whether another engine may run a request.
func (g *generation) mayRunAgain() bool {
	if !g.req.Strict || g.runs == 0 {
		return true
	}
	return g.req.Resumable && g.runs < g.req.Runs
}

// isNotSent tells whether nothing of a call went out.
func isNotSent(err error) bool {
	var notSent *kiln.NotSentError
	return errors.As(err, &notSent)
}

// stream relays one connection until the last frame, nil, or an error. A timer
// breaks it when no token comes.
func (a *attempt) stream(ctx context.Context, address string) error {
	stall := a.g.stall()
	watched, stop := context.WithCancel(ctx)
	defer stop()
	watchdog := time.AfterFunc(stall, stop)
	defer watchdog.Stop()
	stream, err := a.engine(address).Decode(watched, kiln.DecodeRequest{
		Attempt:   a.id,
		Owner:     a.g.owner,
		Model:     a.g.req.Model,
		MaxTokens: a.g.req.MaxTokens,
		From:      a.g.next,
		Priority:  a.g.req.Priority,
		Sampling:  a.g.req.Sampling,
	})
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	for {
		last, err := a.frame(watched, stream)
		if err != nil || last {
			return err
		}
		watchdog.Reset(stall)
	}
}

// stall returns the time without a token after which a stream counts as broken.
// The silence of an engine is no reason to end a stream that can't go on
// elsewhere.
func (g *generation) stall() time.Duration {
	if g.req.Strict && (!g.req.Resumable || g.runs+1 >= g.req.Runs) {
		return silentStream
	}
	return milliseconds(g.runner.cfg.StallMS)
}

// silentStream bounds the silence of a stream that can't go on elsewhere; callers
// leave long before.
const silentStream = time.Minute

// frame waits for the next frame of this attempt and delivers it.
func (a *attempt) frame(ctx context.Context, stream kiln.Stream) (last bool, err error) {
	for {
		frame, err := stream.Next(ctx)
		if errors.Is(err, io.EOF) {
			return false, errEnded
		}
		if err != nil {
			return false, err
		}
		fits, err := a.check(frame)
		if err != nil {
			return false, err
		}
		if !fits {
			continue
		}
		if frame.Last {
			a.g.finish = frame.Finish
		}
		return frame.Last, a.deliver(frame)
	}
}

// check tells whether a frame is the next one of this attempt. Foreign and
// repeated frames are dropped; a missing one breaks the stream.
func (a *attempt) check(frame kiln.Frame) (bool, error) {
	result := a.g.sequence.Check(frame.Attempt, frame.Index, frame.Last)
	if result == receipt.FrameNext {
		return true, nil
	}
	a.g.runner.deps.Metrics.Count("frames_dropped", result.Name())
	if result == receipt.FrameAhead {
		return false, fmt.Errorf("want frame %d, got %d: %w", a.g.next, frame.Index, errGap)
	}
	return false, nil
}

func (a *attempt) deliver(frame kiln.Frame) error {
	if err := a.g.sink.Token(frame); err != nil {
		return &sinkError{err: err}
	}
	a.computed = 0
	a.g.observe(time.Now())
	a.g.next++
	a.g.delivered.WriteString(frame.Text)
	return nil
}

// observe records the time of a token.
func (g *generation) observe(now time.Time) {
	if g.lastToken.IsZero() {
		g.firstToken = now.Sub(g.started)
	} else {
		g.runner.deps.Metrics.Observe(metrics.TimePerToken, g.req.Caller, g.req.Class, now.Sub(g.lastToken))
	}
	g.lastToken = now
}
