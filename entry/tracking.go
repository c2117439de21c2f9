package entry

import (
	"context"
	"errors"

	"github.com/balsamlock/balsamlock/firing"
	"github.com/balsamlock/balsamlock/kiln"
	"github.com/balsamlock/balsamlock/reclaim"
)

// trackedEngine is an engine client that records the attempts which this instance holds
// on the engine. Held attempts are renewed by keep-alives, and peers can ask which
// attempts are held.
type trackedEngine struct {
	kiln.Engine
	address string
	tracker *reclaim.Tracker
	// onLeaving is called if the engine refuses work because it is leaving.
	onLeaving func(address string)
}

// Reserve reserves a slot and memory. The attempt counts as held from before the call,
// and still does after an error, unless the engine itself refused the call.
func (e *trackedEngine) Reserve(ctx context.Context, req kiln.ReserveRequest) error {
	e.tracker.Hold(req.Attempt, e.address)
	err := e.Engine.Reserve(ctx, req)
	e.releaseIfRefused(req.Attempt, err)
	return err
}

// Prefill runs a prefill. The attempt is held until its KV cache has been imported or the
// attempt is passed to the canceller.
func (e *trackedEngine) Prefill(ctx context.Context, req kiln.PrefillRequest) (kiln.PrefillResult, error) {
	e.tracker.Hold(req.Attempt, e.address)
	result, err := e.Engine.Prefill(ctx, req)
	e.releaseIfRefused(req.Attempt, err)
	return result, err
}

// releaseIfRefused releases the hold of a call if the engine itself refused it.
func (e *trackedEngine) releaseIfRefused(attempt string, err error) {
	var refusal *kiln.EngineError
	if !errors.As(err, &refusal) {
		return
	}
	e.tracker.Release(attempt, e.address)
	if refusal.Code == kiln.ErrLeaving {
		e.onLeaving(e.address)
	}
}

// Import imports the KV cache of an attempt and then releases the hold on its source.
func (e *trackedEngine) Import(ctx context.Context, req kiln.ImportRequest) error {
	err := e.Engine.Import(ctx, req)
	if err == nil {
		e.tracker.Release(req.Attempt, req.Source)
	}
	return err
}

// Decode starts or resumes the stream of an attempt. It also holds an attempt that
// another instance reserved. The hold ends with the last frame.
func (e *trackedEngine) Decode(ctx context.Context, req kiln.DecodeRequest) (kiln.Stream, error) {
	adopted := len(e.tracker.Held(e.address, []string{req.Attempt})) == 0
	if adopted {
		e.tracker.Hold(req.Attempt, e.address)
	}
	stream, err := e.Engine.Decode(ctx, req)
	if err != nil && adopted {
		e.releaseIfRefused(req.Attempt, err)
	}
	if err != nil {
		return nil, err
	}
	return &trackedStream{
		Stream: stream,
		onLast: func() { e.tracker.Forget(req.Attempt, e.address) },
	}, nil
}

// trackedStream calls onLast when it has returned the last frame.
type trackedStream struct {
	kiln.Stream
	onLast func()
}

// Next returns the next frame.
func (s *trackedStream) Next(ctx context.Context) (kiln.Frame, error) {
	frame, err := s.Stream.Next(ctx)
	if err == nil && frame.Last {
		s.onLast()
	}
	return frame, err
}

// trackingCanceller ends the hold of an attempt when it is added to the cancel queue.
type trackingCanceller struct {
	queue   *reclaim.Canceller
	tracker *reclaim.Tracker
}

// Cancel frees what an attempt holds on an engine. It returns immediately; the cancel is
// sent in the background.
func (c *trackingCanceller) Cancel(address, attempt string, owner kiln.Owner) {
	c.queue.Cancel(address, attempt, owner)
	c.tracker.Forget(attempt, address)
}

var (
	_ kiln.Engine      = (*trackedEngine)(nil)
	_ firing.Canceller = (*trackingCanceller)(nil)
)
