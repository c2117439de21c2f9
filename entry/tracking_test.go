package entry

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"github.com/balsamlock/balsamlock/kiln"
	"github.com/balsamlock/balsamlock/reclaim"
	"github.com/balsamlock/balsamlock/standin"
)

const testAddress = "10.0.1.1:80"

// newTrackedEngine returns a trackedEngine for a stand-in engine that does prefill and
// decode.
func newTrackedEngine() (*trackedEngine, *standin.Engine) {
	directory := standin.NewDirectory()
	cfg := standin.DefaultEngineConfig()
	cfg.Models = []string{"draft-7b@1"}
	engine := standin.NewEngine(cfg, standin.EngineDeps{
		Address: testAddress,
		Peers:   directory,
	})
	directory.Add(testAddress, engine)
	return &trackedEngine{
		Engine:    engine,
		address:   testAddress,
		tracker:   reclaim.NewTracker(),
		onLeaving: func(string) {},
	}, engine
}

var testOwner = kiln.Owner{Instance: "entry-a"}

func (e *trackedEngine) reserveAttempt(ctx context.Context, c *qt.C) {
	c.Assert(e.Reserve(ctx, kiln.ReserveRequest{
		Attempt: "a1",
		Owner:   testOwner,
		Model:   "draft-7b",
		Tokens:  100,
		HoldMS:  5000,
	}), qt.IsNil)
}

func (e *trackedEngine) prefillAttempt(ctx context.Context, model string) (kiln.PrefillResult, error) {
	return e.Prefill(ctx, kiln.PrefillRequest{
		Attempt: "a1",
		Owner:   testOwner,
		Model:   model,
		Prompt:  kiln.NewPrompt("panel 7"),
	})
}

func (e *trackedEngine) isHeld() bool {
	return len(e.tracker.Held(testAddress, []string{"a1"})) == 1
}

// TestPrefillAndDecodeOnOneEngineStayTracked runs prefill and decode on the same
// engine. The end of the export must not end the hold of the reservation.
func TestPrefillAndDecodeOnOneEngineStayTracked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx := c.Context()
		e, _ := newTrackedEngine()
		e.reserveAttempt(ctx, c)
		result, err := e.prefillAttempt(ctx, "draft-7b")
		c.Assert(err, qt.IsNil)
		c.Assert(e.Import(ctx, kiln.ImportRequest{
			Attempt: "a1",
			Owner:   testOwner,
			Source:  result.Source,
			Handle:  result.Handle,
		}), qt.IsNil)
		c.Assert(e.isHeld(), qt.IsTrue)
		stream, err := e.Decode(ctx, kiln.DecodeRequest{
			Attempt:   "a1",
			Owner:     testOwner,
			MaxTokens: 3,
		})
		c.Assert(err, qt.IsNil)
		c.Assert(e.isHeld(), qt.IsTrue)
		for err == nil {
			_, err = stream.Next(ctx)
		}
		c.Assert(errors.Is(err, io.EOF), qt.IsTrue)
		c.Assert(e.isHeld(), qt.IsFalse)
		c.Assert(e.tracker.Engines(), qt.HasLen, 0)
	})
}

func TestRefusedPrefillKeepsReservationTracked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e, _ := newTrackedEngine()
		e.reserveAttempt(c.Context(), c)
		_, err := e.prefillAttempt(c.Context(), "other")
		c.Assert(err, qt.IsNotNil)
		c.Assert(e.isHeld(), qt.IsTrue)
	})
}

// TestAdoptedStreamIsTracked resumes a stream on an instance that has not reserved it.
func TestAdoptedStreamIsTracked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx := c.Context()
		previous, engine := newTrackedEngine()
		previous.reserveAttempt(ctx, c)
		result, err := previous.prefillAttempt(ctx, "draft-7b")
		c.Assert(err, qt.IsNil)
		c.Assert(previous.Import(ctx, kiln.ImportRequest{
			Attempt: "a1",
			Owner:   testOwner,
			Source:  result.Source,
			Handle:  result.Handle,
		}), qt.IsNil)
		adopter := &trackedEngine{
			Engine:    engine,
			address:   testAddress,
			tracker:   reclaim.NewTracker(),
			onLeaving: func(string) {},
		}
		stream, err := adopter.Decode(ctx, kiln.DecodeRequest{
			Attempt: "a1",
			Owner: kiln.Owner{
				Instance: "entry-b",
				Epoch:    1,
			},
			MaxTokens: 100,
		})
		c.Assert(err, qt.IsNil)
		defer stream.Close()
		c.Assert(adopter.isHeld(), qt.IsTrue)
	})
}
