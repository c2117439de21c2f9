package entry

import (
	"context"
	"errors"

	"github.com/balsamlock/balsamlock/firing"
	"github.com/balsamlock/balsamlock/kiln"
	"github.com/balsamlock/balsamlock/reclaim"
)

// tracked records what this instance holds on an engine, so that it is renewed
// while it is held and peers can ask for it.
type tracked struct {
	kiln.Engine
	address string
	tracker *reclaim.Tracker
	// leaving is told that the engine refuses work because it is leaving.
	leaving func(address string)
}

// Reserve holds a slot and memory.
func (e *tracked) Reserve(ctx context.Context, req kiln.ReserveRequest) error {
	e.tracker.Hold(req.Attempt, e.address)
	err := e.Engine.Reserve(ctx, req)
	e.releaseRefused(req.Attempt, err)
	return err
}

// Prefill holds an export until it has been imported or left to the canceller.
func (e *tracked) Prefill(ctx context.Context, req kiln.PrefillRequest) (kiln.PrefillResult, error) {
	e.tracker.Hold(req.Attempt, e.address)
	result, err := e.Engine.Prefill(ctx, req)
	e.releaseRefused(req.Attempt, err)
	return result, err
}

// releaseRefused gives up the hold of a call that the engine itself refused.
func (e *tracked) releaseRefused(attempt string, err error) {
	var refusal *kiln.EngineError
	if !errors.As(err, &refusal) {
		return
	}
	e.tracker.Release(attempt, e.address)
	if refusal.Code == kiln.ErrLeaving {
		e.leaving(e.address)
	}
}

// Import ends the hold on the source once the KV cache has arrived.
func (e *tracked) Import(ctx context.Context, req kiln.ImportRequest) error {
	err := e.Engine.Import(ctx, req)
	if err == nil {
		e.tracker.Release(req.Attempt, req.Source)
	}
	return err
}

// Decode holds a stream that another instance reserved, and ends the hold with
// the last frame.
func (e *tracked) Decode(ctx context.Context, req kiln.DecodeRequest) (kiln.Stream, error) {
	adopted := len(e.tracker.Held(e.address, []string{req.Attempt})) == 0
	if adopted {
		e.tracker.Hold(req.Attempt, e.address)
	}
	stream, err := e.Engine.Decode(ctx, req)
	if err != nil && adopted {
		e.releaseRefused(req.Attempt, err)
	}
	if err != nil {
		return nil, err
	}
	return &trackedStream{
		Stream: stream,
		over:   func() { e.tracker.Forget(req.Attempt, e.address) },
	}, nil
}

type trackedStream struct {
	kiln.Stream
	over func()
}

// Next waits for the next frame.
func (s *trackedStream) Next(ctx context.Context) (kiln.Frame, error) {
	frame, err := s.Stream.Next(ctx)
	if err == nil && frame.Last {
		s.over()
	}
	return frame, err
}

// canceller ends the hold when an attempt is left to the cancel queue.
type canceller struct {
	queue   *reclaim.Canceller
	tracker *reclaim.Tracker
}

// Cancel frees what an attempt holds on an engine, off the request path.
func (c *canceller) Cancel(address, attempt string, owner kiln.Owner) {
	c.queue.Cancel(address, attempt, owner)
	c.tracker.Forget(attempt, address)
}

var (
	_ kiln.Engine      = (*tracked)(nil)
	_ firing.Canceller = (*canceller)(nil)
)
