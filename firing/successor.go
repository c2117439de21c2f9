package firing

import (
	"context"
	"errors"
	"time"

	"github.com/balsamlock/balsamlock/common/recovery"
	"github.com/balsamlock/balsamlock/kiln"
	"github.com/balsamlock/balsamlock/quotation"
)

// maxAcceptTime is how long the run before is kept while an engine doesn't answer a decode that
// continues it. The engine may have begun by then, and two runs of a request must not overlap for long.
const maxAcceptTime = 300 * time.Millisecond

var errNoRetry = errors.New("retry budget exhausted")

// successor is the next attempt of a stream, which is prepared and started while the current one still
// runs. Only adopt and release change the generation.
type successor struct {
	g          *generation
	id         string
	plan       quotation.Run
	allocation *quotation.Allocation
	// next and text are the index of the first token and the text before it.
	next int
	text string
	// ctx is the context of the attempt's stream.
	ctx    context.Context
	cancel context.CancelFunc

	// peer is the address of the engine that was called last.
	peer string
	// held lists the addresses of the engines that may hold memory for the attempt.
	held []string
	// prefilledAt is when the prefill was sent, or zero. kv is its result.
	prefilledAt time.Time
	kv          kiln.PrefillResult
	// decode receives the result of the decode. It is nil until the decode is sent.
	decode chan decodeResult
}

// decodeResult is the result of a decode call.
type decodeResult struct {
	stream kiln.Stream
	err    error
}

// newSuccessor returns a successor that goes on at the token next, after text. It must be adopted or
// released.
func newSuccessor(ctx context.Context, g *generation, run quotation.Run, next int, text string) *successor {
	ctx, cancel := context.WithCancel(ctx)
	return &successor{
		g:          g,
		id:         g.newAttemptID(),
		plan:       run,
		allocation: g.runner.deps.Placer.Allocate(run, time.Now()),
		next:       next,
		text:       text,
		ctx:        ctx,
		cancel:     cancel,
	}
}

func (s *successor) engine(address string) kiln.Engine {
	s.peer = address
	return s.g.runner.deps.Engines.Engine(address)
}

// start reserves a slot, prefills the prompt, transfers the KV cache and sends the decode. It returns
// nil once the engine has accepted the decode, or hasn't answered it within maxAcceptTime. A reservation
// ends with reserveCtx, so that one that is granted can be given back.
func (s *successor) start(reserveCtx context.Context) error {
	if err := s.reserve(reserveCtx); err != nil {
		return err
	}
	for _, step := range []func() error{s.pay, s.prefill, s.transfer, s.sendDecode} {
		err := s.ctx.Err()
		if err == nil {
			err = step()
		}
		if err != nil {
			return err
		}
	}
	timer := time.NewTimer(maxAcceptTime)
	defer timer.Stop()
	select {
	case result := <-s.decode:
		s.decode <- result
		return result.err
	case <-timer.C:
		return nil
	}
}

func (s *successor) reserve(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, milliseconds(s.g.runner.cfg.ReserveMS))
	defer cancel()
	address := s.plan.Decode.Address
	s.held = append(s.held, address)
	err := s.engine(address).Reserve(ctx, s.g.reserveRequest(s.id, s.plan, s.g.req.HeadroomTokens))
	if err == nil {
		s.allocation.Reserved()
	}
	return err
}

// pay takes the attempt from the retry budget. A reservation doesn't count against it.
func (s *successor) pay() error {
	if !s.g.takeRetry() {
		return errNoRetry
	}
	return nil
}

func (s *successor) prefill() error {
	expected := s.plan.Queue + s.plan.Compute
	ctx, cancel := context.WithTimeout(s.ctx, 2*expected+milliseconds(s.g.runner.cfg.PrefillMS))
	defer cancel()
	address := s.plan.Prefill.Address
	if address != s.plan.Decode.Address {
		s.held = append(s.held, address)
	}
	s.prefilledAt = time.Now()
	kv, err := s.engine(address).Prefill(ctx, kiln.PrefillRequest{
		Attempt:      s.id,
		Owner:        s.g.owner,
		Model:        s.g.req.Model,
		Prompt:       s.g.req.Prompt,
		Priority:     s.g.req.Priority,
		Generated:    s.next,
		Continuation: s.text,
		Version:      s.plan.Prefill.Version,
	})
	if err != nil {
		return err
	}
	s.allocation.Prefilled(s.g.req.Prompt.Blocks, time.Now())
	s.kv = kv
	return nil
}

func (s *successor) transfer() error {
	ctx, cancel := context.WithTimeout(s.ctx, 2*s.plan.Transfer+milliseconds(s.g.runner.cfg.TransferMS))
	defer cancel()
	s.allocation.TransferStarted()
	defer s.allocation.TransferEnded()
	address := s.plan.Decode.Address
	return s.engine(address).Import(ctx, kiln.ImportRequest{
		Attempt: s.id,
		Owner:   s.g.owner,
		Source:  s.kv.Source,
		Handle:  s.kv.Handle,
	})
}

// sendDecode sends the decode, whose result arrives in s.decode.
func (s *successor) sendDecode() error {
	engine := s.engine(s.plan.Decode.Address)
	req := s.g.decodeRequest(s.id, s.next, s.plan.Decode.Version)
	results := make(chan decodeResult, 1)
	s.decode = results
	go func() {
		var result decodeResult
		defer func() { results <- result }()
		defer recovery.Contain("start decode", func(err error) { result.err = err })
		result.stream, result.err = engine.Decode(s.ctx, req)
	}()
	return nil
}

// mayHaveBegun reports whether the engine may have begun to decode although start returned err.
func (s *successor) mayHaveBegun(err error) bool {
	return s.decode != nil && mayHaveReached(err)
}

// adopt passes the memory and the computed tokens to the attempt that continues the stream.
func (s *successor) adopt(a *attempt) {
	a.id = s.id
	a.allocation = s.allocation
	a.started = s
	a.held = s.held
	a.computed = s.kv.Computed
	s.recordPrefill()
}

// recordPrefill records what the prefill did to the generation.
func (s *successor) recordPrefill() {
	if s.prefilledAt.IsZero() {
		return
	}
	s.g.lastPrefillAt = s.prefilledAt
	s.g.prefilled += s.kv.Computed
	s.g.hasPrefilled = s.g.hasPrefilled || s.kv.Source != ""
}

// release gives up the attempt. It does nothing if there is no successor.
func (s *successor) release() {
	if s == nil {
		return
	}
	s.cancel()
	s.recordPrefill()
	s.g.wasted += s.kv.Computed
	if s.decode != nil {
		result := <-s.decode
		if result.stream != nil {
			_ = result.stream.Close()
		}
		s.g.recordRun(result.err)
	}
	s.allocation.Close(time.Now())
	for _, address := range s.held {
		s.g.runner.deps.Canceller.Cancel(address, s.id, s.g.owner)
	}
}
