package draft

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsamlock/balsamlock/draft/draftpb"
	"github.com/balsamlock/balsamlock/firing"
	"github.com/balsamlock/balsamlock/internal/faultlog"
	"github.com/balsamlock/balsamlock/kiln"
	"github.com/balsamlock/balsamlock/receipt"
)

// instanceCount is the number of instances. The first half is in one data centre, the
// second half in another.
const instanceCount = 4

func dataCentre(index int) string { return fmt.Sprintf("dc-%d", index/2) }

// instance is one entry instance on its own host.
type instance struct {
	*faultlog.Host
	manager *Manager
	index   int
	cancel  context.CancelFunc
	done    chan struct{}

	mu    sync.Mutex
	fault func(i *instance, point probePoint)
}

func (i *instance) probe(point probePoint) {
	i.mu.Lock()
	fault := i.fault
	i.mu.Unlock()
	if fault != nil {
		fault(i, point)
	}
	i.ExitIfDead()
}

func (i *instance) setFault(fault func(i *instance, point probePoint)) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.fault = fault
}

// Hold forwards a call of a peer to the instance. It fails if the host is dead and
// blocks while the host is paused.
func (i *instance) Hold(ctx context.Context, req *draftpb.HoldRequest) (*draftpb.HoldAnswer, error) {
	if !i.WaitWhilePaused() {
		return nil, errors.New("connection refused")
	}
	return i.manager.Hold(ctx, req)
}

// cluster is a set of instances that share one log.
type cluster struct {
	log *faultlog.Log
	cfg Config

	mu        sync.Mutex
	rand      *rand.Rand
	instances [instanceCount]*instance
	started   []*instance
	// runs counts the runs of each prompt. failureRate is the probability that a run
	// fails.
	runs        map[string]int
	failureRate float64
}

func newCluster(seed uint64, faults faultlog.Faults, cfg Config) *cluster {
	cl := &cluster{
		log:  faultlog.New(seed, faults),
		cfg:  cfg,
		rand: rand.New(rand.NewPCG(seed, 5)),
		runs: map[string]int{},
	}
	for index := range instanceCount {
		cl.startInstance(index)
	}
	time.Sleep(2 * time.Second)
	return cl
}

func (cl *cluster) startInstance(index int) *instance {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	i := &instance{
		Host:   faultlog.NewHost(cancel),
		index:  index,
		cancel: cancel,
		done:   make(chan struct{}),
	}
	i.manager = NewManager(Deps{
		Log:        i.Log(cl.log),
		Instance:   fmt.Sprintf("instance-%d", len(cl.started)),
		DataCentre: dataCentre(index),
		Runner: &clusterRunner{
			cluster: cl,
			host:    i.Host,
		},
		Peers: &clusterPeers{
			cluster: cl,
			self:    i,
		},
		Config: cl.cfg,
	})
	i.manager.probe = i.probe
	go func() {
		defer close(i.done)
		_ = i.manager.Run(ctx)
	}()
	cl.instances[index] = i
	cl.started = append(cl.started, i)
	return i
}

func (cl *cluster) instance(index int) *instance {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.instances[index]
}

func (cl *cluster) randomBelow(d time.Duration) time.Duration {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return time.Duration(cl.rand.Int64N(int64(d)))
}

func (cl *cluster) randomFloat() float64 {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.rand.Float64()
}

func (cl *cluster) setFailureRate(rate float64) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.failureRate = rate
}

func (cl *cluster) runsOf(text string) int {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.runs[text]
}

func (cl *cluster) close() {
	for _, i := range cl.started {
		i.Resume()
		i.cancel()
	}
	for _, i := range cl.started {
		<-i.done
	}
	time.Sleep(time.Minute)
}

type clusterPeers struct {
	cluster *cluster
	self    *instance
}

func (p *clusterPeers) List() []Peer {
	p.cluster.mu.Lock()
	defer p.cluster.mu.Unlock()
	var peers []Peer
	for _, i := range p.cluster.instances {
		if i == nil || i == p.self || i.IsDead() {
			continue
		}
		peers = append(peers, Peer{
			Instance:   i.manager.deps.Instance,
			DataCentre: dataCentre(i.index),
			Holder:     i,
		})
	}
	return peers
}

// clusterRunner returns an answer or a failure after a random delay.
type clusterRunner struct {
	cluster *cluster
	host    *faultlog.Host
}

func answerTo(prompt string) string { return "answer to " + prompt }

func (r *clusterRunner) Run(ctx context.Context, req firing.Request) (receipt.Outcome, string) {
	sent := receipt.NewAttempt(req.ID).Send()
	r.cluster.mu.Lock()
	r.cluster.runs[req.Prompt.Text]++
	r.cluster.mu.Unlock()
	if !sleep(ctx, r.cluster.randomBelow(2*time.Second)) {
		return sent.Unknown(receipt.Reason{Code: receipt.CodeCancelled}), ""
	}
	r.host.ExitIfDead()
	r.cluster.mu.Lock()
	failureRate := r.cluster.failureRate
	r.cluster.mu.Unlock()
	if r.cluster.randomFloat() < failureRate {
		return sent.Unknown(receipt.Reason{Code: receipt.CodeServerFailed}), ""
	}
	return receipt.Answered{Status: 200}, answerTo(req.Prompt.Text)
}

func (i *instance) accept(prompt string) (string, receipt.Outcome) {
	return i.manager.Accept(context.Background(), firing.Request{
		ID:     "request",
		Caller: "studio-a",
		Model:  "draft-7b",
		Prompt: kiln.NewPrompt(prompt),
	})
}

func (i *instance) collect(caller, draft, key string) receipt.Outcome {
	return i.manager.Collect(context.Background(), caller, draft, key)
}

func withCluster(t *testing.T, cfg Config, test func(c *qt.C, cl *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(1, faultlog.Faults{Latency: 4 * time.Millisecond}, cfg)
		defer cl.close()
		test(qt.New(t), cl)
	})
}

func codeOf(outcome receipt.Outcome) receipt.Code {
	switch outcome := outcome.(type) {
	case receipt.NotRun:
		return outcome.Reason().Code
	case receipt.Unknown:
		return outcome.Reason().Code
	}
	return ""
}

func bodyOf(outcome receipt.Outcome) string {
	answer, _ := outcome.(receipt.Answered)
	return string(answer.Body)
}
