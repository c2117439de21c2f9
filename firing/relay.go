package firing

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/balsamlock/balsamlock/common/memory"
	"github.com/balsamlock/balsamlock/common/metrics"
	"github.com/balsamlock/balsamlock/kiln"
	"github.com/balsamlock/balsamlock/receipt"
)

var (
	errMissingFrame = errors.New("missing frame")
	errNoLastFrame  = errors.New("stream ended without a last frame")
	errMoved        = errors.New("stream continues on another engine")
)

// sinkError is an error of the sink. It means that the caller disconnected.
type sinkError struct{ err error }

func (e *sinkError) Error() string { return fmt.Sprintf("deliver: %v", e.err) }

func (e *sinkError) Unwrap() error { return e.err }

// relay decodes the request and passes its tokens to the sink. It resumes a broken
// stream on the same engine, from the token after the last one delivered.
func (a *attempt) relay(ctx context.Context) (attemptResult, receipt.Reason) {
	address := a.plan.Decode.Address
	for resumes := 0; ; resumes++ {
		firstIndex := a.g.next
		err := a.streamOnce(ctx, address)
		var sinkErr *sinkError
		switch {
		case err == nil:
			return resultDone, receipt.Reason{}
		case errors.As(err, &sinkErr):
			return resultStop, receipt.Reason{
				Code: receipt.CodeCancelled,
				Step: receipt.StepDeliver,
				Err:  err,
			}
		case ctx.Err() != nil, isRefusal(err), a.g.successor != nil:
			return a.handleDecodeError(ctx, address, err)
		}
		if a.g.next > firstIndex {
			resumes = 0
		}
		if resumes >= a.g.runner.cfg.Resumes {
			return a.handleDecodeError(ctx, address, err)
		}
		a.g.runner.deps.Metrics.Count("streams", "resumed")
	}
}

// handleDecodeError maps the error of a decode to a result and a reason. The KV cache
// is lost with the engine's memory, so a refusal counts as a failure, too. A decode that was
// not sent for lack of memory doesn't.
func (a *attempt) handleDecodeError(ctx context.Context, address string, err error) (attemptResult, receipt.Reason) {
	a.g.recordRun(err)
	a.g.lastRunEnd = time.Now()
	a.reportBreak(ctx, err)
	result, reason := a.handleError(ctx, receipt.StepDecode, address, err)
	if result == resultPlaceAgain && !errors.Is(err, memory.ErrExhausted) {
		result = resultRetry
	}
	if result == resultRetry && !a.g.mayRunAgain() {
		result = resultStop
	}
	return result, reason
}

// reportBreak reports a decode whose connection broke before its first token.
func (a *attempt) reportBreak(ctx context.Context, err error) {
	var answer *kiln.ResponseError
	guard := a.g.runner.deps.Guard
	if guard == nil || ctx.Err() != nil || a.g.next > a.firstIndex || isRefusal(err) || isNotSent(err) || errors.As(err, &answer) {
		return
	}
	guard.Broke(a.g.req, a.plan.Decode)
}

// recordRun records that an engine may have run a strict request, unless the error
// rules it out.
func (g *generation) recordRun(err error) {
	if !g.req.Strict || !mayHaveReached(err) {
		return
	}
	g.mayHaveRun = true
	g.runs++
	var answer *kiln.ResponseError
	if errors.As(err, &answer) {
		g.engineAnswer = answer
	}
}

// mayHaveReached reports whether a call that failed may have reached the engine and had an effect.
func mayHaveReached(err error) bool { return !isRefusal(err) && !isNotSent(err) }

// mayRunAgain reports whether another engine may run the request.
func (g *generation) mayRunAgain() bool {
	if !g.req.Strict || g.runs == 0 {
		return true
	}
	return g.req.Resumable && g.runs < g.req.MaxRuns
}

// isNotSent reports whether the call failed before anything was sent.
func isNotSent(err error) bool {
	var notSent *kiln.NotSentError
	return errors.As(err, &notSent)
}

// streamOnce relays the frames of one connection. It returns nil after the last frame.
// If no token arrives within stallTimeout, it cancels the connection, but not before the
// stream can continue elsewhere.
func (a *attempt) streamOnce(ctx context.Context, address string) error {
	streamCtx, cancel := a.streamContext(ctx)
	defer cancel()
	watch := newStallWatch(ctx, streamCtx, cancel, a)
	defer watch.stop()
	stream, err := a.openStream(streamCtx, address)
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	for {
		last, err := a.relayNextFrame(streamCtx, stream, watch)
		if err != nil || last {
			return err
		}
	}
}

// streamContext returns the context of the next stream.
func (a *attempt) streamContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if a.started != nil {
		return a.started.ctx, a.started.cancel
	}
	return context.WithCancel(ctx)
}

// openStream returns the stream of a decode, which may have been sent already.
func (a *attempt) openStream(ctx context.Context, address string) (kiln.Stream, error) {
	if a.started != nil {
		result := <-a.started.decode
		a.started = nil
		return result.stream, result.err
	}
	return a.engine(address).Decode(ctx, a.g.decodeRequest(a.id, a.g.next, a.plan.Decode.Version))
}

// stallTimeout returns the time without a token after which a stream is treated as
// broken. A stream that can't continue on another engine gets maxStreamSilence, since
// breaking it earlier would only end it.
func (g *generation) stallTimeout() time.Duration {
	if g.req.Strict && (!g.req.Resumable || g.runs+1 >= g.req.MaxRuns) {
		return maxStreamSilence
	}
	return milliseconds(g.runner.cfg.StallMS)
}

// maxStreamSilence is the time without a token after which a stream that can't continue
// on another engine is ended. Callers disconnect long before that.
const maxStreamSilence = time.Minute

// relayNextFrame waits for the next frame of this attempt and delivers it. It reports
// whether that was the last frame.
func (a *attempt) relayNextFrame(ctx context.Context, stream kiln.Stream, watch *stallWatch) (last bool, err error) {
	for {
		frame, err := stream.Next(ctx)
		if errors.Is(err, io.EOF) {
			return false, errNoLastFrame
		}
		if err != nil {
			return false, err
		}
		if !watch.admit() {
			return false, errMoved
		}
		isNext, err := a.isNextFrame(frame)
		if err != nil {
			return false, err
		}
		if !isNext {
			watch.dropped()
			continue
		}
		if frame.Last {
			a.g.finishReason = frame.Finish
		}
		err = a.deliver(frame)
		watch.progress(a.g.next, a.g.deliveredText.String())
		return frame.Last, err
	}
}

// isNextFrame reports whether a frame is the next one of this attempt. Frames of other
// attempts and repeated frames are dropped. A gap is an error, which breaks the stream.
func (a *attempt) isNextFrame(frame kiln.Frame) (bool, error) {
	result := a.g.sequence.Check(frame.Attempt, frame.Index, frame.Last)
	if result == receipt.FrameNext {
		return true, nil
	}
	a.g.runner.deps.Metrics.Count("frames_dropped", result.Name())
	if result == receipt.FrameAhead {
		return false, fmt.Errorf("want frame %d, got %d: %w", a.g.next, frame.Index, errMissingFrame)
	}
	return false, nil
}

func (a *attempt) deliver(frame kiln.Frame) error {
	a.g.version = a.plan.Decode.Version
	if a.g.next == a.g.req.Delivered && a.g.req.Started != nil {
		a.g.req.Started(a.g.version)
	}
	if err := a.g.sink.Token(frame); err != nil {
		return &sinkError{err: err}
	}
	a.computed = 0
	a.g.recordToken(time.Now())
	a.g.next++
	if a.g.next-a.firstIndex == startedTokens && a.g.runner.deps.Guard != nil {
		a.g.runner.deps.Guard.Started(a.g.req.Prompt)
	}
	if !a.g.req.Strict {
		// Streams of strict requests may be long, and their engines go on without the text.
		a.g.deliveredText.WriteString(frame.Text)
	}
	return nil
}

// recordToken records the arrival time of a token.
func (g *generation) recordToken(now time.Time) {
	if g.lastTokenAt.IsZero() {
		g.firstToken = now.Sub(g.startedAt)
	} else {
		g.runner.deps.Metrics.Observe(metrics.TimePerToken, g.req.Caller, g.req.Class, now.Sub(g.lastTokenAt))
	}
	g.lastTokenAt = now
}
