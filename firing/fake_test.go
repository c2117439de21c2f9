package firing_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/balsamlock/balsamlock/crew"
	"github.com/balsamlock/balsamlock/firing"
	"github.com/balsamlock/balsamlock/kiln"
)

const (
	stepDuration = 10 * time.Millisecond
	preemptedAt  = 5
)

var errBroken = errors.New("connection reset")

// fakeEngine is an engine that injects random faults into its streams.
type fakeEngine struct {
	kiln.Engine
	address string
	slots   int
	// faultRate is the probability of a fault per frame. reserveErr and prefillErr
	// are returned by each reserve and prefill call while set.
	faultRate  float64
	reserveErr error
	prefillErr error
	// reserveDelay is how long a successful reserve call takes.
	reserveDelay time.Duration
	// cancelDelay is how long a cancel takes to arrive.
	cancelDelay time.Duration
	// decodeDelay is how long a decode call takes.
	decodeDelay time.Duration
	// decodeErr is returned by each decode call, streamErr by each read of a stream,
	// while set.
	decodeErr error
	// firstTokenDelay is the delay before the first token of each stream.
	firstTokenDelay time.Duration
	// preemptedFor is how long each stream is silent before the token preemptedAt.
	preemptedFor time.Duration
	streamErr    error
	importDelay  time.Duration

	mu     sync.Mutex
	random *rand.Rand
	// held maps an attempt to "reserved" or, once its KV cache is on the engine, to
	// the text of its prompt.
	held map[string]string
	// lastAttempt is the attempt of the last decode. Injected frames of another
	// attempt carry its id.
	lastAttempt string
	calls       map[string]int
}

func newFakeEngine(address string, seed uint64) *fakeEngine {
	return &fakeEngine{
		address: address,
		slots:   20,
		random:  rand.New(rand.NewPCG(seed, 1)),
		held:    map[string]string{},
		calls:   map[string]int{},
	}
}

func (e *fakeEngine) refuse(call string, code kiln.ErrorCode) error {
	return &kiln.EngineError{
		Peer: e.address,
		Call: call,
		Code: code,
	}
}

func (e *fakeEngine) Reserve(ctx context.Context, req kiln.ReserveRequest) error {
	e.mu.Lock()
	delay := e.reserveDelay
	e.mu.Unlock()
	if err := sleep(ctx, delay); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls["reserve"]++
	if e.reserveErr != nil {
		return e.reserveErr
	}
	if len(e.held) >= e.slots {
		return e.refuse("reserve", kiln.ErrFull)
	}
	e.held[req.Attempt] = "reserved"
	return nil
}

func (e *fakeEngine) Prefill(ctx context.Context, req kiln.PrefillRequest) (kiln.PrefillResult, error) {
	e.mu.Lock()
	e.calls["prefill"]++
	err := e.prefillErr
	if err == nil {
		e.held[req.Attempt] = req.Prompt.Text
	}
	e.mu.Unlock()
	if err != nil {
		return kiln.PrefillResult{}, err
	}
	if err := sleep(ctx, stepDuration); err != nil {
		return kiln.PrefillResult{}, err
	}
	return kiln.PrefillResult{
		Source:   e.address,
		Handle:   req.Prompt.Text,
		Computed: req.Prompt.Tokens + req.Generated,
		KeptMS:   900,
	}, nil
}

func (e *fakeEngine) Import(ctx context.Context, req kiln.ImportRequest) error {
	e.mu.Lock()
	e.calls["import"]++
	delay := e.importDelay
	e.mu.Unlock()
	if err := sleep(ctx, delay); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.held[req.Attempt] == "" {
		return e.refuse("import", kiln.ErrGone)
	}
	e.held[req.Attempt] = req.Handle
	return nil
}

func (e *fakeEngine) Decode(ctx context.Context, req kiln.DecodeRequest) (kiln.Stream, error) {
	e.mu.Lock()
	delay := e.decodeDelay
	e.mu.Unlock()
	if err := sleep(ctx, delay); err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls["decode"]++
	if e.decodeErr != nil {
		return nil, e.decodeErr
	}
	text := e.held[req.Attempt]
	if text == "" || text == "reserved" {
		return nil, e.refuse("decode", kiln.ErrGone)
	}
	stream := &fakeStream{
		engine:  e,
		attempt: req.Attempt,
		text:    text,
		next:    req.From,
		end:     req.MaxTokens,
		foreign: e.lastAttempt,
	}
	if e.lastAttempt == req.Attempt {
		stream.foreign = "attempt of another request"
	}
	e.lastAttempt = req.Attempt
	return stream, nil
}

func (e *fakeEngine) Cancel(ctx context.Context, attempt string, _ kiln.Owner) error {
	if err := sleep(ctx, e.cancelDelay); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls["cancel"]++
	delete(e.held, attempt)
	return nil
}

func (e *fakeEngine) heldCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.held)
}

func (e *fakeEngine) count(call string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.calls[call]
}

type fakeStream struct {
	engine  *fakeEngine
	attempt string
	text    string
	next    int
	end     int
	foreign string
	broken  bool
}

func tokenText(prompt string, index int) string { return fmt.Sprintf("%s/%d ", prompt, index) }

// Next returns the next frame or, at random, a fault.
func (s *fakeStream) Next(ctx context.Context) (kiln.Frame, error) {
	if s.broken {
		return kiln.Frame{}, errBroken
	}
	if s.next >= s.end {
		return kiln.Frame{}, io.EOF
	}
	delay := stepDuration
	if s.engine.firstTokenDelay > 0 && s.next == 0 {
		delay = s.engine.firstTokenDelay
	}
	if s.next == preemptedAt {
		s.engine.mu.Lock()
		delay += s.engine.preemptedFor
		s.engine.mu.Unlock()
	}
	if err := sleep(ctx, delay); err != nil {
		return kiln.Frame{}, err
	}
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	if s.engine.streamErr != nil {
		return kiln.Frame{}, s.engine.streamErr
	}
	if s.engine.random.Float64() < s.engine.faultRate {
		return s.fault()
	}
	return s.frame(), nil
}

func (s *fakeStream) frame() kiln.Frame {
	frame := s.at(s.next)
	s.next++
	if frame.Last {
		delete(s.engine.held, s.attempt)
	}
	return frame
}

func (s *fakeStream) at(index int) kiln.Frame {
	frame := kiln.Frame{
		Attempt: s.attempt,
		Index:   index,
		Text:    tokenText(s.text, index),
	}
	if index == s.end-1 {
		frame.Last = true
		frame.Finish = "length"
	}
	return frame
}

// fault returns a faulty frame or an error that the runner must handle.
func (s *fakeStream) fault() (kiln.Frame, error) {
	switch s.engine.random.IntN(7) {
	case 0: // the connection breaks
		s.broken = true
		return kiln.Frame{}, errBroken
	case 1: // the previous frame is repeated
		return s.at(max(0, s.next-1)), nil
	case 2: // frames are reordered: the one after the next arrives first
		return s.at(min(s.next+1, s.end-1)), nil
	case 3: // a reused slot sends a frame of another attempt
		frame := s.at(s.next)
		frame.Attempt = s.foreign
		frame.Text = "foreign"
		return frame, nil
	case 4: // the engine restarts and loses its memory
		clear(s.engine.held)
		s.broken = true
		return kiln.Frame{}, errBroken
	case 5: // the stream ends without a last frame
		s.end = s.next
		return kiln.Frame{}, io.EOF
	default: // an earlier frame arrives late
		return s.at(s.engine.random.IntN(s.next + 1)), nil
	}
}

func (s *fakeStream) Close() error { return nil }

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// fakeCluster is a fixed set of engines.
type fakeCluster struct {
	engines map[string]*fakeEngine
	servers []crew.Server
}

func newFakeCluster(seed uint64, prefills, decodes int) *fakeCluster {
	f := &fakeCluster{engines: map[string]*fakeEngine{}}
	for i := range prefills + decodes {
		role := kiln.RolePrefill
		if i >= prefills {
			role = kiln.RoleDecode
		}
		f.add(fmt.Sprintf("10.0.0.%d:80", i+1), role, seed+uint64(i))
	}
	return f
}

func (f *fakeCluster) add(address string, role kiln.Role, seed uint64) {
	f.engines[address] = newFakeEngine(address, seed)
	f.servers = append(f.servers, crew.Server{
		Name:       address,
		Address:    address,
		DataCentre: "randstad-a",
		Region:     "randstad",
		Model:      "draft-7b",
		Role:       role,
		Slots:      20,
		State:      crew.StateLive,
	})
}

func (f *fakeCluster) Engine(address string) kiln.Engine { return f.engines[address] }

func (f *fakeCluster) Servers() []crew.Server { return f.servers }

func (f *fakeCluster) heldCount() int {
	n := 0
	for _, engine := range f.engines {
		n += engine.heldCount()
	}
	return n
}

func (f *fakeCluster) count(call string) int {
	n := 0
	for _, engine := range f.engines {
		n += engine.count(call)
	}
	return n
}

// collector is a sink that keeps all frames. If limit is set, it fails after that many.
type collector struct {
	frames []kiln.Frame
	limit  int
	// onFrame is called with the number of frames so far. It may be nil.
	onFrame func(n int)
}

func (s *collector) Token(frame kiln.Frame) error {
	if s.limit > 0 && len(s.frames) >= s.limit {
		return errors.New("caller disconnected")
	}
	s.frames = append(s.frames, frame)
	if s.onFrame != nil {
		s.onFrame(len(s.frames))
	}
	return nil
}

var (
	_ firing.Engines = (*fakeCluster)(nil)
	_ firing.Sink    = (*collector)(nil)
)
