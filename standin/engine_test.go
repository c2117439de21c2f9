package standin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsamlock/balsamlock/common/memnet"
	"github.com/balsamlock/balsamlock/kiln"
)

const (
	prefillAddress = "10.0.1.1:80"
	decodeAddress  = "10.0.1.2:80"
	testModel      = "draft-7b"
)

var testOwner = kiln.Owner{Instance: "entry-a"}

// enginePair holds a prefill engine, a decode engine and clients of both.
type enginePair struct {
	prefill, decode             *Engine
	prefillClient, decodeClient kiln.Engine
}

func newEnginePair(directory *Directory) enginePair {
	newEngine := func(address string, role kiln.Role) *Engine {
		cfg := DefaultEngineConfig()
		cfg.Role = role
		cfg.Models = []string{testModel + "@1"}
		engine := NewEngine(cfg, EngineDeps{
			Address: address,
			Peers:   directory,
		})
		directory.Add(address, engine)
		return engine
	}
	p := enginePair{
		prefill: newEngine(prefillAddress, kiln.RolePrefill),
		decode:  newEngine(decodeAddress, kiln.RoleDecode),
	}
	p.prefillClient, p.decodeClient = p.prefill, p.decode
	return p
}

// serveHTTP serves the engines on an in-memory network and returns the pair with
// HTTP clients, and a function that stops the servers.
func (p enginePair) serveHTTP(c *qt.C) (enginePair, func()) {
	network := memnet.New()
	transport := &http.Transport{DialContext: network.Dialer("10.0.0.1")}
	var servers []*http.Server
	serve := func(engine *Engine) kiln.Engine {
		listener, err := network.Listen(engine.Address())
		c.Assert(err, qt.IsNil)
		server := &http.Server{Handler: engine.Handler()}
		servers = append(servers, server)
		go func() { _ = server.Serve(listener) }()
		return kiln.NewClient(kiln.ClientDeps{
			Address: engine.Address(),
			HTTP:    &http.Client{Transport: transport},
		})
	}
	p.prefillClient = serve(p.prefill)
	p.decodeClient = serve(p.decode)
	return p, func() {
		transport.CloseIdleConnections()
		for _, server := range servers {
			_ = server.Close()
		}
	}
}

func (p enginePair) reserveAndImport(ctx context.Context, c *qt.C, attempt, text string) {
	c.Assert(p.decodeClient.Reserve(ctx, kiln.ReserveRequest{
		Attempt: attempt,
		Owner:   testOwner,
		Model:   testModel,
		Tokens:  2100,
		HoldMS:  1000,
	}), qt.IsNil)
	result, err := p.prefillClient.Prefill(ctx, kiln.PrefillRequest{
		Attempt: attempt,
		Owner:   testOwner,
		Model:   testModel,
		Prompt:  kiln.NewPrompt(text),
	})
	c.Assert(err, qt.IsNil)
	c.Assert(p.decodeClient.Import(ctx, kiln.ImportRequest{
		Attempt: attempt,
		Owner:   testOwner,
		Source:  result.Source,
		Handle:  result.Handle,
	}), qt.IsNil)
}

func (p enginePair) decodeStream(ctx context.Context, c *qt.C, attempt string, from, tokens int) kiln.Stream {
	s, err := p.decodeClient.Decode(ctx, kiln.DecodeRequest{
		Attempt:   attempt,
		Owner:     testOwner,
		Model:     testModel,
		MaxTokens: tokens,
		From:      from,
	})
	c.Assert(err, qt.IsNil)
	return s
}

func readAll(ctx context.Context, s kiln.Stream) (texts []string, err error) {
	defer s.Close()
	for {
		frame, err := s.Next(ctx)
		if errors.Is(err, io.EOF) {
			return texts, nil
		}
		if err != nil {
			return texts, err
		}
		texts = append(texts, frame.Text)
	}
}

// runDirectAndHTTP runs a test in virtual time, once with direct calls to the
// engines and once over HTTP.
func runDirectAndHTTP(t *testing.T, run func(c *qt.C, p enginePair)) {
	t.Run("direct", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) { run(qt.New(t), newEnginePair(NewDirectory())) })
	})
	t.Run("http", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			p, stop := newEnginePair(NewDirectory()).serveHTTP(c)
			defer stop()
			run(c, p)
		})
	})
}

func TestDecodeReturnsWholeOutput(t *testing.T) {
	runDirectAndHTTP(t, func(c *qt.C, p enginePair) {
		ctx := c.Context()
		p.reserveAndImport(ctx, c, "a1", "survey of the north window")
		texts, err := readAll(ctx, p.decodeStream(ctx, c, "a1", 0, 12))
		c.Assert(err, qt.IsNil)
		c.Assert(texts, qt.DeepEquals, Answer(testModel, "survey of the north window", 12))
		c.Assert(p.decode.holdings(), qt.HasLen, 0)
	})
}

func TestDecodeResumesBrokenStream(t *testing.T) {
	runDirectAndHTTP(t, func(c *qt.C, p enginePair) {
		ctx := c.Context()
		p.reserveAndImport(ctx, c, "a1", "panel 7")
		p.decode.Faults().Set(Rule{
			Kind:   FaultBreakStream,
			Count:  1,
			Tokens: 4,
		})
		first, err := readAll(ctx, p.decodeStream(ctx, c, "a1", 0, 12))
		c.Assert(err, qt.IsNotNil)
		c.Assert(first, qt.HasLen, 4)
		rest, err := readAll(ctx, p.decodeStream(ctx, c, "a1", len(first), 12))
		c.Assert(err, qt.IsNil)
		c.Assert(append(first, rest...), qt.DeepEquals, Answer(testModel, "panel 7", 12))
	})
}

func TestCancelFreesMemoryAndEndsStream(t *testing.T) {
	runDirectAndHTTP(t, func(c *qt.C, p enginePair) {
		ctx := c.Context()
		p.reserveAndImport(ctx, c, "a1", "panel 8")
		s := p.decodeStream(ctx, c, "a1", 0, 1000)
		_, err := s.Next(ctx)
		c.Assert(err, qt.IsNil)
		c.Assert(p.decode.holdings(), qt.HasLen, 1)
		err = p.decodeClient.Cancel(ctx, "a1", kiln.Owner{Instance: "entry-b"})
		var refusal *kiln.EngineError
		c.Assert(errors.As(err, &refusal), qt.IsTrue)
		c.Assert(refusal.Code, qt.Equals, kiln.ErrFenced)
		c.Assert(p.decodeClient.Cancel(ctx, "a1", testOwner), qt.IsNil)
		c.Assert(p.decode.holdings(), qt.HasLen, 0)
		_, err = readAll(ctx, s)
		c.Assert(err, qt.IsNotNil)
	})
}

func TestReservationExpires(t *testing.T) {
	runDirectAndHTTP(t, func(c *qt.C, p enginePair) {
		ctx := c.Context()
		c.Assert(p.decodeClient.Reserve(ctx, kiln.ReserveRequest{
			Attempt: "a1",
			Owner:   testOwner,
			Model:   testModel,
			Tokens:  4001,
			HoldMS:  1000,
		}), qt.IsNil)
		time.Sleep(900 * time.Millisecond)
		c.Assert(p.decodeClient.KeepAlive(ctx, testOwner.Instance), qt.IsNil)
		time.Sleep(900 * time.Millisecond)
		holdings, err := p.decodeClient.Holdings(ctx)
		c.Assert(err, qt.IsNil)
		c.Assert(holdings, qt.HasLen, 1)
		c.Assert(holdings[0].Pieces, qt.Equals, 3)
		time.Sleep(101 * time.Millisecond)
		holdings, err = p.decodeClient.Holdings(ctx)
		c.Assert(err, qt.IsNil)
		c.Assert(holdings, qt.HasLen, 0)
	})
}

func TestDroppedAnswerKeepsReservation(t *testing.T) {
	runDirectAndHTTP(t, func(c *qt.C, p enginePair) {
		p.decode.Faults().Set(Rule{
			Kind:  FaultDropAnswer,
			Call:  "reserve",
			Count: 1,
		})
		err := p.decodeClient.Reserve(c.Context(), kiln.ReserveRequest{
			Attempt: "a1",
			Owner:   testOwner,
			Model:   testModel,
			Tokens:  1,
			HoldMS:  1000,
		})
		c.Assert(err, qt.IsNotNil)
		var refusal *kiln.EngineError
		c.Assert(errors.As(err, &refusal), qt.IsFalse)
		var notSent *kiln.NotSentError
		c.Assert(errors.As(err, &notSent), qt.IsFalse)
		c.Assert(p.decode.holdings(), qt.HasLen, 1)
	})
}

// Reservations that have expired are no requests that a change of role drops.
func TestRoleChangeCountsNoExpiredReservations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		cfg := DefaultEngineConfig()
		cfg.Role = kiln.RoleDecode
		cfg.Models = []string{testModel + "@1"}
		engine := NewEngine(cfg, EngineDeps{
			Address: decodeAddress,
			Peers:   NewDirectory(),
		})
		for n := range 4 {
			c.Assert(engine.Reserve(c.Context(), kiln.ReserveRequest{
				Attempt: fmt.Sprint("r", n),
				Owner:   testOwner,
				Model:   testModel,
				Tokens:  1000,
				HoldMS:  2000,
			}), qt.IsNil)
		}
		time.Sleep(3 * time.Second)
		_, err := engine.Order(c.Context(), kiln.OrderRequest{
			Kind:  kiln.OrderChangeRole,
			Role:  kiln.RolePrefill,
			Fence: 1,
		})
		c.Assert(err, qt.IsNil)
		c.Assert(engine.Applied()[0].DroppedRequests, qt.Equals, 0)
	})
}
