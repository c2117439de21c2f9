package order

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"

	"github.com/balsamlock/balsamlock/common/prooftest"
	"github.com/balsamlock/balsamlock/internal/faultlog"
	"github.com/balsamlock/balsamlock/ledger"
	"github.com/balsamlock/balsamlock/receipt"
)

const (
	proofInstances = 3
	proofKeys      = 8
	proofDuration  = 30 * time.Second
)

// proofFaults are the faults that are injected in one run.
type proofFaults struct {
	log        faultlog.Faults
	loseAnswer float64
	decline    float64
	// killProbability and pauseProbability apply to each step of an order.
	killProbability  float64
	pauseProbability float64
	// outages is the number of log outages. trims is the number of times that the log
	// drops records of keys in use.
	outages int
	trims   int
}

// proofRun is a randomized run of orders on several instances.
type proofRun struct {
	c         *qt.C
	rand      *rand.Rand
	faults    proofFaults
	log       *faultlog.Log
	service   *service
	startTime time.Time

	mu        sync.Mutex
	instances []*instance
	started   int
	keys      []string
	history   []porcupine.Operation
	all       []*instance
}

// drawFault returns a random number for one step, and the probabilities of a kill and a
// pause.
func (p *proofRun) drawFault() (draw, kill, pause float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rand.Float64(), p.faults.killProbability, p.faults.pauseProbability
}

func (p *proofRun) randomBelow(d time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(p.rand.Int64N(int64(d)))
}

// startInstance starts a new instance at the given index of instances.
func (p *proofRun) startInstance(index int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.started++
	i := startInstance(p.log, fmt.Sprintf("instance-%d", p.started), DefaultConfig())
	i.setOnStep(func(i *instance, _ step) { p.injectFault(index, i) })
	p.instances[index] = i
	p.all = append(p.all, i)
}

func (p *proofRun) at(index int) *instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.instances[index]
}

// injectFault may kill or pause the instance between two steps of an order.
func (p *proofRun) injectFault(index int, i *instance) {
	switch draw, kill, pause := p.drawFault(); {
	case draw < kill:
		i.Kill()
		time.AfterFunc(time.Second, func() { p.startInstance(index) })
	case draw < kill+pause:
		i.Pause()
		time.AfterFunc(p.randomBelow(time.Minute), i.Resume)
	}
}

func (p *proofRun) simulateOutage() {
	time.Sleep(p.randomBelow(proofDuration))
	p.log.Update(func(f *faultlog.Faults) { f.Down = true })
	time.Sleep(p.randomBelow(20 * time.Second))
	p.log.Update(func(f *faultlog.Faults) { f.Down = false })
}

func (p *proofRun) trimLog() {
	time.Sleep(p.randomBelow(proofDuration))
	p.log.Trim(ledger.StreamOrders, time.Now().Add(-p.randomBelow(5*time.Second)))
}

// proofInput is an operation of the history: a submission of an order, or a read of the
// number of runs.
type proofInput struct {
	key  string
	read bool
}

type proofOutput struct {
	kind string
	runs int
}

// submit submits an order to the instance and adds the caller's view of it to the
// history.
func (p *proofRun) submit(key string, i *instance) proofOutput {
	call := time.Since(p.startTime)
	outcome := i.order(context.Background(), p.service, key)
	out := proofOutput{}
	out.kind, _ = kindAndCode(outcome)
	if i.IsDead() {
		out.kind = "unknown"
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	answer, ok := outcome.(receipt.Answered)
	if ok {
		p.c.Check(string(answer.Body), qt.Equals, key+"#1")
	}
	p.history = append(p.history, porcupine.Operation{
		ClientId: len(p.history),
		Input:    proofInput{key: key},
		Call:     int64(call),
		Output:   out,
		Return:   int64(time.Since(p.startTime)),
	})
	return out
}

// runCaller submits an order one or several times, each time to a random instance.
func (p *proofRun) runCaller(key string) {
	for range 1 + int(p.randomBelow(3)) {
		index := int(p.randomBelow(proofInstances))
		p.submit(key, p.at(index))
		time.Sleep(p.randomBelow(3 * time.Second))
	}
}

func (p *proofRun) run() {
	p.startTime = time.Now()
	p.instances = make([]*instance, proofInstances)
	for index := range proofInstances {
		p.startInstance(index)
	}
	time.Sleep(time.Second)
	var wg sync.WaitGroup
	for range p.faults.outages {
		wg.Go(p.simulateOutage)
	}
	for range p.faults.trims {
		wg.Go(p.trimLog)
	}
	for range proofKeys {
		wg.Go(func() {
			time.Sleep(p.randomBelow(proofDuration))
			p.mu.Lock()
			key := newKey(p.rand, time.Now())
			p.keys = append(p.keys, key)
			p.mu.Unlock()
			var callers sync.WaitGroup
			for range 1 + int(p.randomBelow(2)) {
				callers.Go(func() { p.runCaller(key) })
			}
			callers.Wait()
		})
	}
	wg.Wait()
	p.verify()
}

// verify ends the faults, submits each order once more, reads how often it was run, and
// checks the history against the model.
func (p *proofRun) verify() {
	p.mu.Lock()
	p.faults.killProbability = 0
	p.faults.pauseProbability = 0
	p.mu.Unlock()
	p.log.Update(func(f *faultlog.Faults) { *f = faultlog.Faults{Latency: time.Millisecond} })
	time.Sleep(2 * time.Minute)
	for _, key := range p.keys {
		out := p.submit(key, p.at(0))
		n := p.service.count(key)
		p.c.Check(n <= 1, qt.IsTrue, qt.Commentf("order %s ran %d times", key, n))
		if n > 0 {
			p.c.Check(out.kind, qt.Not(qt.Equals), "not_run", qt.Commentf("order %s", key))
		}
		now := int64(time.Since(p.startTime))
		p.history = append(p.history, porcupine.Operation{
			ClientId: len(p.history),
			Input: proofInput{
				key:  key,
				read: true,
			},
			Call:   now,
			Output: proofOutput{runs: n},
			Return: now + 1,
		})
		time.Sleep(time.Millisecond)
	}
	p.c.Check(porcupine.CheckOperations(orderModel(), p.history), qt.IsTrue)
	for _, i := range p.all {
		i.Resume()
		i.cancel()
	}
	for _, i := range p.all {
		<-i.stopped
	}
	time.Sleep(time.Minute)
}

// orderModel is the sequential model of one key. The order runs at most once. An answer
// means that it was run, receipt.NotRun that this submission didn't run it, and
// receipt.Unknown that it may have been run.
func orderModel() porcupine.Model {
	return (&porcupine.NondeterministicModel{
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			byKey := map[string][]porcupine.Operation{}
			for _, operation := range history {
				key := operation.Input.(proofInput).key
				byKey[key] = append(byKey[key], operation)
			}
			var parts [][]porcupine.Operation
			for _, part := range byKey {
				parts = append(parts, part)
			}
			return parts
		},
		Init: func() []any { return []any{0} },
		Step: func(state, input, output any) []any {
			ran, in, out := state.(int), input.(proofInput), output.(proofOutput)
			switch {
			case in.read && out.runs == ran, out.kind == "not_run":
				return []any{ran}
			case in.read:
				return nil
			case out.kind == "answered":
				return []any{1}
			}
			return []any{ran, 1}
		},
	}).ToModel()
}

func runProof(c *qt.C, seed uint64, f proofFaults) {
	t := c.TB.(*testing.T)
	synctest.Test(t, func(t *testing.T) {
		p := &proofRun{
			c:       qt.New(t),
			rand:    rand.New(rand.NewPCG(seed, 3)),
			faults:  f,
			log:     faultlog.New(seed, f.log),
			service: newService(seed),
		}
		p.service.loseAnswer = f.loseAnswer
		p.service.decline = f.decline
		p.run()
	})
}

func TestProofOrderRunsOnceWhenOwnersStop(t *testing.T) {
	prooftest.Run(t, prooftest.Row{
		Promise:  "at most once",
		Failures: "owner killed or paused past its lease between any two steps, repeats over other instances, answer lost after the effect",
	}, 40, func(c *qt.C, seed uint64) {
		runProof(c, seed, proofFaults{
			log:              faultlog.Faults{Latency: 20 * time.Millisecond},
			loseAnswer:       0.2,
			decline:          0.1,
			killProbability:  0.08,
			pauseProbability: 0.1,
		})
	})
}

func TestProofOrderRunsOnceWhenLogFails(t *testing.T) {
	prooftest.Run(t, prooftest.Row{
		Promise:  "at most once",
		Failures: "append answers lost, appends late or refused, log slow, down, and its retention passing live keys",
	}, 40, func(c *qt.C, seed uint64) {
		runProof(c, seed, proofFaults{
			log: faultlog.Faults{
				Latency:      time.Second,
				LoseResponse: 0.2,
				Refuse:       0.1,
				LateAppend:   0.1,
			},
			loseAnswer: 0.1,
			outages:    1,
			trims:      1,
		})
	})
}

func TestProofOrderRunsOnceWhenAllFails(t *testing.T) {
	prooftest.Run(t, prooftest.Row{
		Promise:  "at most once",
		Failures: "all of the above together and twice: owners killed and paused, log answers lost, late, slow, down, with a gap",
	}, 40, func(c *qt.C, seed uint64) {
		runProof(c, seed, proofFaults{
			log: faultlog.Faults{
				Latency:      300 * time.Millisecond,
				LoseResponse: 0.1,
				Refuse:       0.05,
				LateAppend:   0.05,
			},
			loseAnswer:       0.1,
			decline:          0.1,
			killProbability:  0.05,
			pauseProbability: 0.08,
			outages:          2,
			trims:            2,
		})
	})
}
