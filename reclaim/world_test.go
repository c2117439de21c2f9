package reclaim_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsamlock/balsamlock/common/metrics"
	"github.com/balsamlock/balsamlock/crew"
	"github.com/balsamlock/balsamlock/kiln"
	"github.com/balsamlock/balsamlock/reclaim"
	"github.com/balsamlock/balsamlock/standin"
)

const (
	lease        = 3 * time.Second
	callTimeout  = 2 * time.Second
	testModel    = "draft-7b"
	enginesCount = 2
	entriesCount = 4
)

// world is a data centre of engines and entry instances.
type world struct {
	c       *qt.C
	random  *rand.Rand
	engines map[string]*standin.Engine
	names   []string
	entries []*entry
	wg      sync.WaitGroup

	mu sync.Mutex
	// lost maps attempts to the time from which nobody uses them.
	lost     map[string]time.Time
	users    map[string]*entry
	finished int
	// peersCut holds the instances cut off from the other instances.
	peersCut map[string]time.Time
}

// entry is an entry instance.
type entry struct {
	world     *world
	id, host  string
	ctx       context.Context
	kill      context.CancelFunc
	tracker   *reclaim.Tracker
	canceller *reclaim.Canceller

	mu       sync.Mutex
	resumed  chan struct{}
	downAt   time.Time
	dead     bool
	cutAt    map[string]time.Time
	affected bool
}

func newWorld(c *qt.C, seed uint64) *world {
	w := &world{
		c:        c,
		random:   rand.New(rand.NewPCG(seed, seed)),
		engines:  map[string]*standin.Engine{},
		lost:     map[string]time.Time{},
		users:    map[string]*entry{},
		peersCut: map[string]time.Time{},
	}
	directory := standin.NewDirectory()
	for i := range enginesCount {
		address := fmt.Sprintf("10.0.1.%d:80", i+1)
		cfg := standin.DefaultEngineConfig()
		cfg.Models = []string{testModel + "@1"}
		engine := standin.NewEngine(cfg, standin.EngineDeps{
			Address: address,
			Peers:   directory,
		})
		directory.Add(address, engine)
		w.engines[address] = engine
		w.names = append(w.names, address)
	}
	for i := range entriesCount {
		w.entries = append(w.entries, w.start(i))
	}
	return w
}

func (w *world) start(i int) *entry {
	ctx, kill := context.WithCancel(context.Background())
	e := &entry{
		world:   w,
		id:      fmt.Sprintf("entry-%d", i),
		host:    fmt.Sprintf("10.0.0.%d", i+1),
		ctx:     ctx,
		kill:    kill,
		tracker: reclaim.NewTracker(),
		cutAt:   map[string]time.Time{},
	}
	cfg := reclaim.DefaultConfig()
	e.canceller = reclaim.NewCanceller(cfg, reclaim.CancellerDeps{
		Engines: e,
		Metrics: metrics.New(""),
	})
	keepAlive := reclaim.NewKeepAlive(cfg, reclaim.KeepAliveDeps{
		Instance: e.id,
		Tracker:  e.tracker,
		Engines:  e,
		Metrics:  metrics.New(""),
	})
	sweeper := reclaim.NewSweeper(cfg, reclaim.SweeperDeps{
		Instance: e.id,
		Members:  e,
		Engines:  e,
		Owners:   e,
		Metrics:  metrics.New(""),
	})
	for _, run := range []func(context.Context) error{e.canceller.Run, keepAlive.Run, sweeper.Run} {
		w.wg.Go(func() { _ = run(ctx) })
	}
	return e
}

func (w *world) stop() {
	for _, e := range w.entries {
		e.resume()
		e.kill()
	}
	for _, engine := range w.engines {
		engine.Faults().Set()
	}
	w.wg.Wait()
}

// pause stops the entry as SIGSTOP does; resume lets it go on.
func (e *entry) pause() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.affected = true
	e.downAt = time.Now()
	if e.resumed == nil {
		e.resumed = make(chan struct{})
	}
}

func (e *entry) resume() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.resumed != nil {
		close(e.resumed)
		e.resumed = nil
		e.downAt = time.Time{}
	}
}

func (e *entry) die() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.affected = true
	e.dead = true
	e.downAt = time.Now()
	e.kill()
}

func (e *entry) cut(engine string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.affected = true
	e.cutAt[engine] = time.Now()
	e.world.engines[engine].Faults().Add(standin.Rule{
		Kind: standin.FaultCut,
		From: e.host,
	})
}

func (e *entry) heal(engine string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.cutAt, engine)
	e.world.engines[engine].Faults().Remove(func(r standin.Rule) bool { return r.From == e.host })
}

// gate waits while the entry is paused.
func (e *entry) gate() {
	e.mu.Lock()
	resumed := e.resumed
	e.mu.Unlock()
	if resumed == nil {
		return
	}
	select {
	case <-resumed:
	case <-e.ctx.Done():
	}
}

// unableSince tells since when the entry can't use the engine.
func (e *entry) unableSince(engine string) (time.Time, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.downAt.IsZero() {
		return e.downAt, true
	}
	at, cut := e.cutAt[engine]
	return at, cut
}

// Sweepers and State make the entry its own reclaim.Members.
func (e *entry) Sweepers() (live []string) {
	e.gate()
	for _, other := range e.world.entries {
		if e.State(other.id) == crew.StateLive {
			live = append(live, other.id)
		}
	}
	return live
}

func (e *entry) State(id string) crew.State {
	for _, other := range e.world.entries {
		if other.id != id {
			continue
		}
		if since, unheard := e.unheardSince(other); unheard && time.Since(since) >= lease {
			return crew.StateGone
		}
		return crew.StateLive
	}
	return ""
}

func (e *entry) unheardSince(other *entry) (time.Time, bool) {
	if other == e {
		return time.Time{}, false
	}
	e.world.mu.Lock()
	for _, id := range []string{e.id, other.id} {
		if at, cut := e.world.peersCut[id]; cut {
			e.world.mu.Unlock()
			return at, true
		}
	}
	e.world.mu.Unlock()
	return other.unableSince("")
}

// Addresses and Engine make the entry its own reclaim.Engines.
func (e *entry) Addresses() []string { return e.world.names }

func (e *entry) Engine(address string) kiln.Engine {
	e.gate()
	return e.world.engines[address].From(e.host)
}

// Knows makes the entry its own reclaim.Owners.
func (e *entry) Knows(ctx context.Context, instance, engine string, attempts []string) ([]string, error) {
	for _, other := range e.world.entries {
		if other.id != instance {
			continue
		}
		if _, unheard := e.unheardSince(other); unheard {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return other.tracker.Held(engine, attempts), nil
	}
	return nil, errors.New("no such instance")
}

// request runs one generation, which the caller may leave at any time.
func (e *entry) request(ctx context.Context, attempt, prefill, decode string, tokens int) {
	if e.ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(e.ctx, cancel)()
	e.world.use(attempt, e)
	for _, address := range []string{prefill, decode} {
		e.tracker.Hold(attempt, address)
	}
	err := e.generate(ctx, attempt, prefill, decode, tokens)
	e.gate()
	if e.ctx.Err() != nil {
		return
	}
	for _, address := range []string{prefill, decode} {
		e.tracker.Forget(attempt, address)
		if err != nil {
			e.canceller.Cancel(address, attempt, kiln.Owner{Instance: e.id})
		}
	}
	e.world.end(attempt, e, err)
}

func (w *world) use(attempt string, e *entry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.users[attempt] = e
}

func (w *world) end(attempt string, e *entry, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lost[attempt] = time.Now()
	if err == nil {
		w.finished++
		return
	}
	var refusal *kiln.EngineError
	e.mu.Lock()
	defer e.mu.Unlock()
	if errors.As(err, &refusal) && refusal.Code == kiln.ErrGone && !e.affected {
		w.c.Errorf("%s: attempt %s was cancelled while it was in use: %v", e.id, attempt, err)
	}
}

func (e *entry) generate(ctx context.Context, attempt, prefill, decode string, tokens int) error {
	owner := kiln.Owner{Instance: e.id}
	reserve, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := e.Engine(decode).Reserve(reserve, kiln.ReserveRequest{
		Attempt: attempt,
		Owner:   owner,
		Model:   testModel,
		Tokens:  3000,
		HoldMS:  reclaim.HoldTime.Milliseconds(),
	}); err != nil {
		return err
	}
	compute, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	result, err := e.Engine(prefill).Prefill(compute, kiln.PrefillRequest{
		Attempt: attempt,
		Owner:   owner,
		Model:   testModel,
		Prompt:  kiln.Prompt{Tokens: 2500},
	})
	if err != nil {
		return err
	}
	move, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := e.Engine(decode).Import(move, kiln.ImportRequest{
		Attempt: attempt,
		Owner:   owner,
		Source:  result.Source,
		Handle:  result.Handle,
	}); err != nil {
		return err
	}
	return e.read(ctx, decode, kiln.DecodeRequest{
		Attempt:   attempt,
		Owner:     owner,
		MaxTokens: tokens,
	})
}

// read reads a whole stream; without a frame for callTimeout it gives up.
func (e *entry) read(ctx context.Context, decode string, req kiln.DecodeRequest) error {
	open, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	stream, err := e.Engine(decode).Decode(open, req)
	if err != nil {
		return err
	}
	defer stream.Close()
	ctx, giveUp := context.WithCancel(ctx)
	defer giveUp()
	watch := time.AfterFunc(callTimeout, giveUp)
	defer watch.Stop()
	for {
		watch.Stop()
		e.gate()
		if _, cut := e.unableSince(decode); cut {
			return context.DeadlineExceeded
		}
		watch.Reset(callTimeout)
		_, err := stream.Next(ctx)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// check fails for memory that nobody has used for longer than is promised.
func (w *world) check() {
	for address, engine := range w.engines {
		holdings, err := engine.Holdings(context.Background())
		if err != nil {
			continue
		}
		w.mu.Lock()
		for _, holding := range holdings {
			since, unused := w.lost[holding.Attempt]
			if !unused {
				since, unused = w.users[holding.Attempt].unableSince(address)
			}
			if unused && time.Since(since) >= reclaim.FreeWithin {
				w.c.Errorf("%s: %s of %s is held %v after its loss", address, holding.Kind, holding.Attempt, time.Since(since))
			}
		}
		w.mu.Unlock()
	}
}
