package reclaim_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsamlock/balsamlock/common/prooftest"
	"github.com/balsamlock/balsamlock/kiln"
	"github.com/balsamlock/balsamlock/standin"
)

const (
	loadDuration  = 15 * time.Second
	settleTime    = 20 * time.Second
	requestCount  = 60
	checkInterval = 500 * time.Millisecond
	seeds         = 15
)

// faultInjector injects a fault into a cluster. It may block.
type faultInjector func(cl *cluster)

func killOwner(cl *cluster) {
	cl.sleepRandom(10 * time.Second)
	cl.randomInstance().crash()
}

func pauseOwner(cl *cluster) {
	cl.sleepRandom(8 * time.Second)
	inst := cl.randomInstance()
	inst.pause()
	cl.sleepRandom(15 * time.Second)
	inst.resume()
}

func cutOffOwnerFromEngine(cl *cluster) {
	cl.sleepRandom(8 * time.Second)
	inst, engine := cl.randomInstance(), cl.addresses[cl.intN(len(cl.addresses))]
	inst.cutOff(engine)
	cl.sleepRandom(15 * time.Second)
	inst.reconnect(engine)
}

func cutOffOwnerFromPeers(cl *cluster) {
	cl.sleepRandom(8 * time.Second)
	inst := cl.randomInstance()
	cl.mu.Lock()
	cl.partitioned[inst.id] = time.Now()
	cl.mu.Unlock()
	cl.sleepRandom(15 * time.Second)
	cl.mu.Lock()
	delete(cl.partitioned, inst.id)
	cl.mu.Unlock()
}

func loseCancels(cl *cluster) {
	for _, engine := range cl.engines {
		for _, kind := range []standin.FaultKind{standin.FaultOutage, standin.FaultDropAnswer} {
			engine.Faults().Add(standin.Rule{
				Kind:  kind,
				Call:  "cancel",
				Count: 1 + cl.intN(20),
			})
		}
	}
}

func stallTransfers(cl *cluster) {
	cl.sleepRandom(8 * time.Second)
	engine := cl.engines[cl.addresses[cl.intN(len(cl.addresses))]]
	engine.Faults().Add(standin.Rule{
		Kind: standin.FaultStall,
		Call: "transfer",
	})
	cl.sleepRandom(6 * time.Second)
	engine.Faults().Remove(func(r standin.Rule) bool { return r.Call == "transfer" })
}

func (cl *cluster) intN(n int) int {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.random.IntN(n)
}

func (cl *cluster) sleepRandom(limit time.Duration) {
	time.Sleep(time.Duration(cl.intN(int(limit/time.Millisecond))) * time.Millisecond)
}

func (cl *cluster) randomInstance() *instance { return cl.instances[cl.intN(len(cl.instances))] }

// sendRequests sends requests to random instances. Some of the callers disconnect early.
func (cl *cluster) sendRequests() {
	for i := range requestCount {
		cl.sleepRandom(2 * loadDuration / requestCount)
		inst := cl.randomInstance()
		prefill, decode := cl.addresses[cl.intN(len(cl.addresses))], cl.addresses[cl.intN(len(cl.addresses))]
		tokens := 10 + cl.intN(1500)
		ctx, disconnect := context.WithCancel(context.Background())
		if cl.intN(3) == 0 {
			time.AfterFunc(time.Duration(cl.intN(4000))*time.Millisecond, disconnect)
		}
		cl.wg.Go(func() {
			defer disconnect()
			inst.request(ctx, fmt.Sprintf("a%d", i), prefill, decode, tokens)
		})
	}
}

func (cl *cluster) run(faults []faultInjector) {
	defer cl.stop()
	cl.wg.Go(cl.sendRequests)
	for _, inject := range faults {
		cl.wg.Go(func() { inject(cl) })
	}
	for end := time.Now().Add(loadDuration + settleTime); time.Now().Before(end); {
		time.Sleep(checkInterval)
		cl.checkNoHeldMemory()
	}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.c.Check(cl.finished > 0, qt.IsTrue)
}

func runProof(t *testing.T, name string, choose func(cl *cluster) []faultInjector) {
	prooftest.Run(t, prooftest.Row{
		Promise:  "no engine memory held",
		Failures: name,
	}, seeds, func(c *qt.C, seed uint64) {
		synctest.Test(c.TB.(*testing.T), func(t *testing.T) {
			cl := newCluster(qt.New(t), seed)
			cl.run(choose(cl))
		})
	})
}

func TestProofMemoryCallerGone(t *testing.T) {
	runProof(t, "callers leave", func(*cluster) []faultInjector { return nil })
}

func TestProofMemoryOwnerKilled(t *testing.T) {
	runProof(t, "callers leave, owner killed", func(*cluster) []faultInjector { return []faultInjector{killOwner} })
}

func TestProofMemoryOwnerPaused(t *testing.T) {
	runProof(t, "callers leave, owner paused and waking late", func(*cluster) []faultInjector { return []faultInjector{pauseOwner} })
}

func TestProofMemoryOwnerCutOff(t *testing.T) {
	runProof(t, "owner cut off from an engine or from its peers", func(cl *cluster) []faultInjector {
		return []faultInjector{[]faultInjector{cutOffOwnerFromEngine, cutOffOwnerFromPeers}[cl.intN(2)]}
	})
}

func TestProofMemoryCancelLost(t *testing.T) {
	runProof(t, "callers leave, cancels and their answers lost", func(*cluster) []faultInjector { return []faultInjector{loseCancels} })
}

func TestProofMemoryImportHalfDone(t *testing.T) {
	runProof(t, "transfers stall, owner killed", func(*cluster) []faultInjector { return []faultInjector{stallTransfers, killOwner} })
}

func TestProofMemoryFailuresTogether(t *testing.T) {
	all := []faultInjector{killOwner, pauseOwner, cutOffOwnerFromEngine, cutOffOwnerFromPeers, loseCancels, stallTransfers}
	runProof(t, "two of all of them, also twice the same", func(cl *cluster) []faultInjector {
		return []faultInjector{all[cl.intN(len(all))], all[cl.intN(len(all))]}
	})
}

func TestProofMemoryAdopted(t *testing.T) {
	prooftest.Run(t, prooftest.Row{
		Promise:  "no engine memory held",
		Failures: "paused owner of an adopted stream wakes late and cancels",
	}, seeds, func(c *qt.C, seed uint64) {
		synctest.Test(c.TB.(*testing.T), func(t *testing.T) { runAdoption(qt.New(t), seed) })
	})
}

// runAdoption pauses the owner of a stream and lets a second instance adopt the stream. The
// first instance then resumes and cancels the attempt, which must not end the stream.
func runAdoption(c *qt.C, seed uint64) {
	cl := newCluster(c, seed)
	defer cl.stop()
	old, adopter, engine := cl.instances[0], cl.instances[1], cl.addresses[0]
	cl.wg.Go(func() { old.request(context.Background(), "draft", engine, engine, 1500) })
	time.Sleep(2 * time.Second)
	old.pause()
	time.Sleep(lease)
	adopter.tracker.Hold("draft", engine)
	cl.setUser("draft", adopter)
	cl.wg.Go(func() {
		cl.sleepRandom(12 * time.Second)
		old.resume()
		old.canceller.Cancel(engine, "draft", kiln.Owner{Instance: old.id})
	})
	err := adopter.readStream(context.Background(), engine, kiln.DecodeRequest{
		Attempt: "draft",
		Owner: kiln.Owner{
			Instance: adopter.id,
			Epoch:    1,
		},
		MaxTokens: 1500,
		From:      40,
	})
	c.Assert(err, qt.IsNil)
	time.Sleep(time.Second)
	holdings, err := cl.engines[engine].Holdings(c.Context())
	c.Assert(err, qt.IsNil)
	c.Assert(holdings, qt.HasLen, 0)
}
