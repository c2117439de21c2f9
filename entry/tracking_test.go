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

const trackedAddress = "10.0.1.1:80"

// trackedEngine returns an engine of both roles that is tracked.
func trackedEngine() (*tracked, *standin.Engine) {
	directory := standin.NewDirectory()
	cfg := standin.DefaultEngineConfig()
	cfg.Models = []string{"draft-7b@1"}
	engine := standin.NewEngine(cfg, standin.EngineDeps{
		Address: trackedAddress,
		Peers:   directory,
	})
	directory.Add(trackedAddress, engine)
	return &tracked{
		Engine:  engine,
		address: trackedAddress,
		tracker: reclaim.NewTracker(),
		leaving: func(string) {},
	}, engine
}

var trackedOwner = kiln.Owner{Instance: "entry-a"}

func (e *tracked) reserveOne(ctx context.Context, c *qt.C) {
	c.Assert(e.Reserve(ctx, kiln.ReserveRequest{
		Attempt: "a1",
		Owner:   trackedOwner,
		Model:   "draft-7b",
		Tokens:  100,
		HoldMS:  5000,
	}), qt.IsNil)
}

func (e *tracked) prefillOne(ctx context.Context, model string) (kiln.PrefillResult, error) {
	return e.Prefill(ctx, kiln.PrefillRequest{
		Attempt: "a1",
		Owner:   trackedOwner,
		Model:   model,
		Prompt:  kiln.NewPrompt("panel 7"),
	})
}

func (e *tracked) knows() bool { return len(e.tracker.Held(trackedAddress, []string{"a1"})) == 1 }

// TestOneEngineForBothStaysTracked runs prefill and decode on one engine: the end
// of the export does not end the hold of the reservation.
func TestOneEngineForBothStaysTracked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx := c.Context()
		e, _ := trackedEngine()
		e.reserveOne(ctx, c)
		result, err := e.prefillOne(ctx, "draft-7b")
		c.Assert(err, qt.IsNil)
		c.Assert(e.Import(ctx, kiln.ImportRequest{
			Attempt: "a1",
			Owner:   trackedOwner,
			Source:  result.Source,
			Handle:  result.Handle,
		}), qt.IsNil)
		c.Assert(e.knows(), qt.IsTrue)
		stream, err := e.Decode(ctx, kiln.DecodeRequest{
			Attempt:   "a1",
			Owner:     trackedOwner,
			MaxTokens: 3,
		})
		c.Assert(err, qt.IsNil)
		c.Assert(e.knows(), qt.IsTrue)
		for err == nil {
			_, err = stream.Next(ctx)
		}
		c.Assert(errors.Is(err, io.EOF), qt.IsTrue)
		c.Assert(e.knows(), qt.IsFalse)
		c.Assert(e.tracker.Engines(), qt.HasLen, 0)
	})
}

func TestRefusedPrefillKeepsTheReservationTracked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e, _ := trackedEngine()
		e.reserveOne(c.Context(), c)
		_, err := e.prefillOne(c.Context(), "other")
		c.Assert(err, qt.IsNotNil)
		c.Assert(e.knows(), qt.IsTrue)
	})
}

// TestAdoptedStreamIsTracked resumes a stream that another instance reserved.
func TestAdoptedStreamIsTracked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx := c.Context()
		old, engine := trackedEngine()
		old.reserveOne(ctx, c)
		result, err := old.prefillOne(ctx, "draft-7b")
		c.Assert(err, qt.IsNil)
		c.Assert(old.Import(ctx, kiln.ImportRequest{
			Attempt: "a1",
			Owner:   trackedOwner,
			Source:  result.Source,
			Handle:  result.Handle,
		}), qt.IsNil)
		heir := &tracked{
			Engine:  engine,
			address: trackedAddress,
			tracker: reclaim.NewTracker(),
			leaving: func(string) {},
		}
		stream, err := heir.Decode(ctx, kiln.DecodeRequest{
			Attempt: "a1",
			Owner: kiln.Owner{
				Instance: "entry-b",
				Epoch:    1,
			},
			MaxTokens: 100,
		})
		c.Assert(err, qt.IsNil)
		defer stream.Close()
		c.Assert(heir.knows(), qt.IsTrue)
	})
}
