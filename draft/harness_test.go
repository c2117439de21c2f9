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

// places is the number of instances: the first half is in one data centre, the
// second half in another.
const places = 4

func dataCentre(place int) string { return fmt.Sprintf("dc-%d", place/2) }

// instance is one entry instance on a host of its own.
type instance struct {
	*faultlog.Host
	desk   *Manager
	place  int
	cancel context.CancelFunc
	ended  chan struct{}

	mu    sync.Mutex
	fault func(i *instance, at step)
}

func (i *instance) step(at step) {
	i.mu.Lock()
	fault := i.fault
	i.mu.Unlock()
	if fault != nil {
		fault(i, at)
	}
	i.MustLive()
}

func (i *instance) setFault(fault func(i *instance, at step)) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.fault = fault
}

// Hold passes a call to the instance, as its peers see it.
func (i *instance) Hold(ctx context.Context, req *draftpb.HoldRequest) (*draftpb.HoldAnswer, error) {
	if !i.Gate() {
		return nil, errors.New("connection refused")
	}
	return i.desk.Hold(ctx, req)
}

// office is a set of instances over one log.
type office struct {
	log *faultlog.Log
	cfg Config

	mu        sync.Mutex
	rand      *rand.Rand
	instances [places]*instance
	all       []*instance
	// runs counts the runs of each draft, fail is the chance that one fails.
	runs map[string]int
	fail float64
}

func newOffice(seed uint64, faults faultlog.Faults, cfg Config) *office {
	o := &office{
		log:  faultlog.New(seed, faults),
		cfg:  cfg,
		rand: rand.New(rand.NewPCG(seed, 5)),
		runs: map[string]int{},
	}
	for place := range places {
		o.start(place)
	}
	time.Sleep(2 * time.Second)
	return o
}

func (o *office) start(place int) *instance {
	o.mu.Lock()
	defer o.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	i := &instance{
		Host:   faultlog.NewHost(cancel),
		place:  place,
		cancel: cancel,
		ended:  make(chan struct{}),
	}
	i.desk = NewManager(Deps{
		Log:        i.Log(o.log),
		Instance:   fmt.Sprintf("instance-%d", len(o.all)),
		DataCentre: dataCentre(place),
		Runner: &officeRunner{
			office: o,
			host:   i.Host,
		},
		Peers: &officePeers{
			office: o,
			self:   i,
		},
		Config: o.cfg,
	})
	i.desk.probe = i.step
	go func() {
		defer close(i.ended)
		_ = i.desk.Run(ctx)
	}()
	o.instances[place] = i
	o.all = append(o.all, i)
	return i
}

func (o *office) at(place int) *instance {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.instances[place]
}

func (o *office) within(d time.Duration) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return time.Duration(o.rand.Int64N(int64(d)))
}

func (o *office) drawn() float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.rand.Float64()
}

func (o *office) setFail(chance float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.fail = chance
}

func (o *office) runsOf(text string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.runs[text]
}

func (o *office) close() {
	for _, i := range o.all {
		i.Resume()
		i.cancel()
	}
	for _, i := range o.all {
		<-i.ended
	}
	time.Sleep(time.Minute)
}

type officePeers struct {
	office *office
	self   *instance
}

func (p *officePeers) List() []Peer {
	p.office.mu.Lock()
	defer p.office.mu.Unlock()
	var peers []Peer
	for _, i := range p.office.instances {
		if i == nil || i == p.self || i.IsDead() {
			continue
		}
		peers = append(peers, Peer{
			Instance:   i.desk.deps.Instance,
			DataCentre: dataCentre(i.place),
			Holder:     i,
		})
	}
	return peers
}

// officeRunner answers a prompt after a while, or fails.
type officeRunner struct {
	office *office
	host   *faultlog.Host
}

func answerTo(prompt string) string { return "answer to " + prompt }

func (r *officeRunner) Run(ctx context.Context, req firing.Request) (receipt.Outcome, string) {
	sent := receipt.NewAttempt(req.ID).Send()
	r.office.mu.Lock()
	r.office.runs[req.Prompt.Text]++
	r.office.mu.Unlock()
	if !pause(ctx, r.office.within(2*time.Second)) {
		return sent.Unknown(receipt.Reason{Code: receipt.CodeCancelled}), ""
	}
	r.host.MustLive()
	r.office.mu.Lock()
	fail := r.office.fail
	r.office.mu.Unlock()
	if r.office.drawn() < fail {
		return sent.Unknown(receipt.Reason{Code: receipt.CodeServerFailed}), ""
	}
	return receipt.Answered{Status: 200}, answerTo(req.Prompt.Text)
}

func (i *instance) accept(prompt string) (string, receipt.Outcome) {
	return i.desk.Accept(context.Background(), firing.Request{
		ID:     "request",
		Caller: "studio-a",
		Model:  "draft-7b",
		Prompt: kiln.NewPrompt(prompt),
	})
}

func (i *instance) collect(caller, draft, key string) receipt.Outcome {
	return i.desk.Collect(context.Background(), caller, draft, key)
}

func withOffice(t *testing.T, cfg Config, test func(c *qt.C, o *office)) {
	synctest.Test(t, func(t *testing.T) {
		o := newOffice(1, faultlog.Faults{Latency: 4 * time.Millisecond}, cfg)
		defer o.close()
		test(qt.New(t), o)
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
