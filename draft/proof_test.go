package draft

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsamlock/balsamlock/common/prooftest"
	"github.com/balsamlock/balsamlock/internal/faultlog"
	"github.com/balsamlock/balsamlock/ledger"
	"github.com/balsamlock/balsamlock/receipt"
)

const (
	proofDrafts   = 6
	proofDuration = 40 * time.Second
)

// faultConfig holds the failures of one run. Their times are chosen by the seed.
type faultConfig struct {
	log         faultlog.Faults
	failureRate float64
	// kill and pause are the probabilities of each failure at each probe point, for the
	// instances of the first data centre or of all of them.
	kill           float64
	pause          float64
	allDataCentres bool
	outages        int
	// killsDataCentre kills all instances of the first data centre once.
	killsDataCentre bool
	// retention is the retention of the log, or zero if it is unlimited.
	retention time.Duration
}

// proofRun is one randomized run.
type proofRun struct {
	c       *qt.C
	faults  faultConfig
	cluster *cluster

	mu sync.Mutex
	// prompts maps a draft's id to its prompt, and answeredKeys to the collection keys
	// that received its answer.
	prompts      map[string]string
	answeredKeys map[string]map[string]bool
	faultsEnded  bool
}

func (p *proofRun) injectFault(i *instance, _ probePoint) {
	p.mu.Lock()
	faultsEnded := p.faultsEnded
	p.mu.Unlock()
	if faultsEnded || (!p.faults.allDataCentres && i.index >= instanceCount/2) {
		return
	}
	switch r := p.cluster.randomFloat(); {
	case r < p.faults.kill:
		i.Kill()
		time.AfterFunc(time.Second, func() { p.startInstance(i.index) })
	case r < p.faults.kill+p.faults.pause:
		i.Pause()
		time.AfterFunc(p.cluster.randomBelow(time.Minute), i.Resume)
	}
}

func (p *proofRun) startInstance(index int) {
	p.cluster.startInstance(index).setFault(p.injectFault)
}

func (p *proofRun) simulateOutage() {
	time.Sleep(p.cluster.randomBelow(proofDuration))
	p.cluster.log.Update(func(f *faultlog.Faults) { f.Down = true })
	time.Sleep(p.cluster.randomBelow(30 * time.Second))
	p.cluster.log.Update(func(f *faultlog.Faults) { f.Down = false })
}

func (p *proofRun) killDataCentre() {
	time.Sleep(p.cluster.randomBelow(proofDuration))
	for index := range instanceCount / 2 {
		i := p.cluster.instance(index)
		i.Kill()
		time.AfterFunc(10*time.Second, func() { p.startInstance(index) })
	}
}

// trimLog drops records that are older than the retention until done is closed.
func (p *proofRun) trimLog(done <-chan struct{}) {
	ticker := time.NewTicker(5 * time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			p.cluster.log.Trim(ledger.StreamDrafts, time.Now().Add(-p.faults.retention))
		case <-done:
			return
		}
	}
}

// submit sends a draft to a random instance and collects it with two keys from random
// instances.
func (p *proofRun) submit(n int) {
	time.Sleep(p.cluster.randomBelow(proofDuration))
	prompt := fmt.Sprintf("survey %d", n)
	i := p.cluster.instance(int(p.cluster.randomBelow(instanceCount)))
	draft, _ := i.accept(prompt)
	if draft == "" || i.IsDead() {
		return
	}
	p.mu.Lock()
	p.prompts[draft] = prompt
	p.answeredKeys[draft] = map[string]bool{}
	p.mu.Unlock()
	var wg sync.WaitGroup
	for _, key := range []string{"k1", "k2"} {
		wg.Go(func() {
			for range 6 {
				time.Sleep(p.cluster.randomBelow(10 * time.Second))
				p.collect(draft, key, p.cluster.instance(int(p.cluster.randomBelow(instanceCount))))
			}
		})
	}
	wg.Wait()
}

func (p *proofRun) collect(draft, key string, i *instance) receipt.Code {
	outcome := i.collect("studio-a", draft, key)
	body := bodyOf(outcome)
	if body == "" || i.IsDead() {
		return codeOf(outcome)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.c.Check(body, qt.Equals, answerTo(p.prompts[draft]))
	p.answeredKeys[draft][key] = true
	return ""
}

func (p *proofRun) run() {
	for index := range instanceCount {
		p.cluster.instance(index).setFault(p.injectFault)
	}
	done := make(chan struct{})
	var wg, faults sync.WaitGroup
	for range p.faults.outages {
		faults.Go(p.simulateOutage)
	}
	if p.faults.killsDataCentre {
		faults.Go(p.killDataCentre)
	}
	if p.faults.retention > 0 {
		faults.Go(func() { p.trimLog(done) })
	}
	for n := range proofDrafts {
		wg.Go(func() { p.submit(n) })
	}
	wg.Wait()
	p.checkAfterFaults()
	close(done)
	faults.Wait()
	p.cluster.close()
}

// checkAfterFaults ends the faults and then checks that each accepted draft has been
// answered to exactly one key.
func (p *proofRun) checkAfterFaults() {
	p.mu.Lock()
	p.faultsEnded = true
	p.mu.Unlock()
	p.cluster.setFailureRate(0)
	p.cluster.log.Update(func(f *faultlog.Faults) { *f = faultlog.Faults{Latency: time.Millisecond} })
	time.Sleep(4 * time.Minute)
	for draft := range p.prompts {
		var codes []receipt.Code
		for index, key := range []string{"k1", "k2", "k3"} {
			codes = append(codes, p.collect(draft, key, p.cluster.instance(index)))
		}
		p.c.Check(p.answeredKeys[draft], qt.HasLen, 1, qt.Commentf("draft %s: %s: %v", draft, p.prompts[draft], codes))
	}
}

func runWithFaults(c *qt.C, seed uint64, f faultConfig) {
	synctest.Test(c.TB.(*testing.T), func(t *testing.T) {
		cfg := DefaultConfig()
		if f.retention > 0 {
			cfg.RetentionMS = int(f.retention.Milliseconds())
		}
		p := &proofRun{
			c:            qt.New(t),
			faults:       f,
			cluster:      newCluster(seed, f.log, cfg),
			prompts:      map[string]string{},
			answeredKeys: map[string]map[string]bool{},
		}
		p.cluster.failureRate = f.failureRate
		p.run()
	})
}

func TestProofDraftArrivesOnceWhenOwnersStop(t *testing.T) {
	prooftest.Run(t, prooftest.Row{
		Promise:  "answered once",
		Failures: "owners killed or paused past their lease between any two steps, runs that fail, collections with several keys at once",
	}, 15, func(c *qt.C, seed uint64) {
		runWithFaults(c, seed, faultConfig{
			log:            faultlog.Faults{Latency: 20 * time.Millisecond},
			failureRate:    0.3,
			kill:           0.05,
			pause:          0.08,
			allDataCentres: true,
		})
	})
}

func TestProofDraftArrivesOnceWhenLogFails(t *testing.T) {
	prooftest.Run(t, prooftest.Row{
		Promise:  "answered once",
		Failures: "append answers lost, appends late or refused, log slow, down, and its retention passing live drafts",
	}, 15, func(c *qt.C, seed uint64) {
		runWithFaults(c, seed, faultConfig{
			log: faultlog.Faults{
				Latency:      300 * time.Millisecond,
				LoseResponse: 0.1,
				Refuse:       0.05,
				LateAppend:   0.05,
			},
			outages:   1,
			retention: 3 * time.Minute,
		})
	})
}

func TestProofDraftArrivesOnceWhenAllFails(t *testing.T) {
	prooftest.Run(t, prooftest.Row{
		Promise:  "answered once",
		Failures: "a data centre lost, its owners killed and paused, log answers lost, late, slow, down, retention passing, twice and together",
	}, 15, func(c *qt.C, seed uint64) {
		runWithFaults(c, seed, faultConfig{
			log: faultlog.Faults{
				Latency:      200 * time.Millisecond,
				LoseResponse: 0.05,
				Refuse:       0.05,
				LateAppend:   0.05,
			},
			failureRate:     0.2,
			kill:            0.02,
			pause:           0.04,
			outages:         2,
			killsDataCentre: true,
			retention:       3 * time.Minute,
		})
	})
}
