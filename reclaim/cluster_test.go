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
	lease         = 3 * time.Second
	callTimeout   = 2 * time.Second
	testModel     = "draft-7b"
	engineCount   = 2
	instanceCount = 4
)

// cluster is a simulated data centre with engines and entry instances.
type cluster struct {
	c         *qt.C
	random    *rand.Rand
	engines   map[string]*standin.Engine
	addresses []string
	instances []*instance
	wg        sync.WaitGroup

	mu sync.Mutex
	// unusedSince maps finished attempts to the time at which their request ended. users
	// maps attempts to the instances that use them, and finished counts successful requests.
	unusedSince map[string]time.Time
	users       map[string]*instance
	finished    int
	// partitioned maps instances that are cut off from all other instances to the time at
	// which they were cut off.
	partitioned map[string]time.Time
}

// instance is an entry instance.
type instance struct {
	cluster   *cluster
	id, host  string
	ctx       context.Context
	cancel    context.CancelFunc
	tracker   *reclaim.Tracker
	canceller *reclaim.Canceller

	mu sync.Mutex
	// resumed is closed when the instance resumes. It is nil if the instance is not paused.
	resumed chan struct{}
	// downAt is when the instance was paused or crashed.
	downAt  time.Time
	crashed bool
	// cutOffAt maps engines to the time at which the instance was cut off from them.
	cutOffAt map[string]time.Time
	// faulty is set once a fault was injected into the instance.
	faulty bool
}

func newCluster(c *qt.C, seed uint64) *cluster {
	cl := &cluster{
		c:           c,
		random:      rand.New(rand.NewPCG(seed, seed)),
		engines:     map[string]*standin.Engine{},
		unusedSince: map[string]time.Time{},
		users:       map[string]*instance{},
		partitioned: map[string]time.Time{},
	}
	directory := standin.NewDirectory()
	for i := range engineCount {
		address := fmt.Sprintf("10.0.1.%d:80", i+1)
		cfg := standin.DefaultEngineConfig()
		cfg.Models = []string{testModel + "@1"}
		engine := standin.NewEngine(cfg, standin.EngineDeps{
			Address: address,
			Peers:   directory,
		})
		directory.Add(address, engine)
		cl.engines[address] = engine
		cl.addresses = append(cl.addresses, address)
	}
	for i := range instanceCount {
		cl.instances = append(cl.instances, cl.start(i))
	}
	return cl
}

func (cl *cluster) start(i int) *instance {
	ctx, cancel := context.WithCancel(context.Background())
	inst := &instance{
		cluster:  cl,
		id:       fmt.Sprintf("entry-%d", i),
		host:     fmt.Sprintf("10.0.0.%d", i+1),
		ctx:      ctx,
		cancel:   cancel,
		tracker:  reclaim.NewTracker(),
		cutOffAt: map[string]time.Time{},
	}
	cfg := reclaim.DefaultConfig()
	inst.canceller = reclaim.NewCanceller(cfg, reclaim.CancellerDeps{
		Engines: inst,
		Metrics: metrics.New(""),
	})
	keepAlive := reclaim.NewKeepAlive(cfg, reclaim.KeepAliveDeps{
		Instance: inst.id,
		Tracker:  inst.tracker,
		Engines:  inst,
		Metrics:  metrics.New(""),
	})
	sweeper := reclaim.NewSweeper(cfg, reclaim.SweeperDeps{
		Instance: inst.id,
		Members:  inst,
		Engines:  inst,
		Owners:   inst,
		Metrics:  metrics.New(""),
	})
	for _, run := range []func(context.Context) error{inst.canceller.Run, keepAlive.Run, sweeper.Run} {
		cl.wg.Go(func() { _ = run(ctx) })
	}
	return inst
}

func (cl *cluster) stop() {
	for _, inst := range cl.instances {
		inst.resume()
		inst.cancel()
	}
	for _, engine := range cl.engines {
		engine.Faults().Set()
	}
	cl.wg.Wait()
}

// pause blocks the calls of the instance, as if the process had received SIGSTOP.
func (inst *instance) pause() {
	inst.mu.Lock()
	defer inst.mu.Unlock()
	inst.faulty = true
	inst.downAt = time.Now()
	if inst.resumed == nil {
		inst.resumed = make(chan struct{})
	}
}

func (inst *instance) resume() {
	inst.mu.Lock()
	defer inst.mu.Unlock()
	if inst.resumed != nil {
		close(inst.resumed)
		inst.resumed = nil
		inst.downAt = time.Time{}
	}
}

func (inst *instance) crash() {
	inst.mu.Lock()
	defer inst.mu.Unlock()
	inst.faulty = true
	inst.crashed = true
	inst.downAt = time.Now()
	inst.cancel()
}

func (inst *instance) cutOff(engine string) {
	inst.mu.Lock()
	defer inst.mu.Unlock()
	inst.faulty = true
	inst.cutOffAt[engine] = time.Now()
	inst.cluster.engines[engine].Faults().Add(standin.Rule{
		Kind: standin.FaultCut,
		From: inst.host,
	})
}

func (inst *instance) reconnect(engine string) {
	inst.mu.Lock()
	defer inst.mu.Unlock()
	delete(inst.cutOffAt, engine)
	inst.cluster.engines[engine].Faults().Remove(func(r standin.Rule) bool { return r.From == inst.host })
}

// waitWhilePaused blocks while the instance is paused.
func (inst *instance) waitWhilePaused() {
	inst.mu.Lock()
	resumed := inst.resumed
	inst.mu.Unlock()
	if resumed == nil {
		return
	}
	select {
	case <-resumed:
	case <-inst.ctx.Done():
	}
}

// unavailableSince returns the time since which the instance can't use the engine. It
// returns false if it can.
func (inst *instance) unavailableSince(engine string) (time.Time, bool) {
	inst.mu.Lock()
	defer inst.mu.Unlock()
	if !inst.downAt.IsZero() {
		return inst.downAt, true
	}
	at, cut := inst.cutOffAt[engine]
	return at, cut
}

// LiveInstances implements reclaim.Members.
func (inst *instance) LiveInstances() (live []string) {
	inst.waitWhilePaused()
	for _, other := range inst.cluster.instances {
		if inst.State(other.id) == crew.StateLive {
			live = append(live, other.id)
		}
	}
	return live
}

// State implements reclaim.Members.
func (inst *instance) State(id string) crew.State {
	for _, other := range inst.cluster.instances {
		if other.id != id {
			continue
		}
		if since, unreachable := inst.unreachableSince(other); unreachable && time.Since(since) >= lease {
			return crew.StateGone
		}
		return crew.StateLive
	}
	return ""
}

// unreachableSince returns the time since which other can't be reached. It returns false if
// it can.
func (inst *instance) unreachableSince(other *instance) (time.Time, bool) {
	if other == inst {
		return time.Time{}, false
	}
	inst.cluster.mu.Lock()
	for _, id := range []string{inst.id, other.id} {
		if at, cut := inst.cluster.partitioned[id]; cut {
			inst.cluster.mu.Unlock()
			return at, true
		}
	}
	inst.cluster.mu.Unlock()
	return other.unavailableSince("")
}

// Addresses implements reclaim.Engines.
func (inst *instance) Addresses() []string { return inst.cluster.addresses }

// Engine implements reclaim.Engines.
func (inst *instance) Engine(address string) kiln.Engine {
	inst.waitWhilePaused()
	return inst.cluster.engines[address].From(inst.host)
}

// HeldAttempts implements reclaim.Owners.
func (inst *instance) HeldAttempts(ctx context.Context, id, engine string, attempts []string) ([]string, error) {
	for _, other := range inst.cluster.instances {
		if other.id != id {
			continue
		}
		if _, unreachable := inst.unreachableSince(other); unreachable {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return other.tracker.Held(engine, attempts), nil
	}
	return nil, errors.New("instance does not exist")
}

// request runs one generation. The caller may disconnect at any time by cancelling ctx.
func (inst *instance) request(ctx context.Context, attempt, prefill, decode string, tokens int) {
	if inst.ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(inst.ctx, cancel)()
	inst.cluster.setUser(attempt, inst)
	for _, address := range []string{prefill, decode} {
		inst.tracker.Hold(attempt, address)
	}
	err := inst.generate(ctx, attempt, prefill, decode, tokens)
	inst.waitWhilePaused()
	if inst.ctx.Err() != nil {
		return
	}
	for _, address := range []string{prefill, decode} {
		inst.tracker.Forget(attempt, address)
		if err != nil {
			inst.canceller.Cancel(address, attempt, kiln.Owner{Instance: inst.id})
		}
	}
	inst.cluster.finishAttempt(attempt, inst, err)
}

func (cl *cluster) setUser(attempt string, inst *instance) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.users[attempt] = inst
}

func (cl *cluster) finishAttempt(attempt string, inst *instance, err error) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.unusedSince[attempt] = time.Now()
	if err == nil {
		cl.finished++
		return
	}
	var engineErr *kiln.EngineError
	inst.mu.Lock()
	defer inst.mu.Unlock()
	if errors.As(err, &engineErr) && engineErr.Code == kiln.ErrGone && !inst.faulty {
		cl.c.Errorf("%s: attempt %s was cancelled while it was in use: %v", inst.id, attempt, err)
	}
}

func (inst *instance) generate(ctx context.Context, attempt, prefill, decode string, tokens int) error {
	owner := kiln.Owner{Instance: inst.id}
	reserveCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := inst.Engine(decode).Reserve(reserveCtx, kiln.ReserveRequest{
		Attempt: attempt,
		Owner:   owner,
		Model:   testModel,
		Tokens:  3000,
		HoldMS:  reclaim.ReservationTTL.Milliseconds(),
	}); err != nil {
		return err
	}
	prefillCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	result, err := inst.Engine(prefill).Prefill(prefillCtx, kiln.PrefillRequest{
		Attempt: attempt,
		Owner:   owner,
		Model:   testModel,
		Prompt:  kiln.Prompt{Tokens: 2500},
	})
	if err != nil {
		return err
	}
	importCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := inst.Engine(decode).Import(importCtx, kiln.ImportRequest{
		Attempt: attempt,
		Owner:   owner,
		Source:  result.Source,
		Handle:  result.Handle,
	}); err != nil {
		return err
	}
	return inst.readStream(ctx, decode, kiln.DecodeRequest{
		Attempt:   attempt,
		Owner:     owner,
		MaxTokens: tokens,
	})
}

// readStream reads a stream to its end. It stops if no frame arrives for callTimeout.
func (inst *instance) readStream(ctx context.Context, decode string, req kiln.DecodeRequest) error {
	openCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	stream, err := inst.Engine(decode).Decode(openCtx, req)
	if err != nil {
		return err
	}
	defer stream.Close()
	ctx, stopReading := context.WithCancel(ctx)
	defer stopReading()
	idleTimer := time.AfterFunc(callTimeout, stopReading)
	defer idleTimer.Stop()
	for {
		idleTimer.Stop()
		inst.waitWhilePaused()
		if _, unavailable := inst.unavailableSince(decode); unavailable {
			return context.DeadlineExceeded
		}
		idleTimer.Reset(callTimeout)
		_, err := stream.Next(ctx)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// checkNoHeldMemory fails if an engine holds memory that has been unused for FreeWithin or
// longer.
func (cl *cluster) checkNoHeldMemory() {
	for address, engine := range cl.engines {
		holdings, err := engine.Holdings(context.Background())
		if err != nil {
			continue
		}
		cl.mu.Lock()
		for _, holding := range holdings {
			since, unused := cl.unusedSince[holding.Attempt]
			if !unused {
				since, unused = cl.users[holding.Attempt].unavailableSince(address)
			}
			if unused && time.Since(since) >= reclaim.FreeWithin {
				cl.c.Errorf("%s: %s of %s is still held, unused for %v", address, holding.Kind, holding.Attempt, time.Since(since))
			}
		}
		cl.mu.Unlock()
	}
}
