// Package draft implements asynchronous long requests: an accepted request, called a
// draft, runs in the background and its answer is collected later. A draft is completed
// even if its owner, an engine, a data centre or the platform fails, and its answer is
// delivered to one collection only.
//
// Drafts, their results and their deliveries are records in the platform's log. An
// instance owns the drafts that it accepts and renews a lease for them. When the lease
// expires, a peer adopts the drafts with a higher epoch and runs them again, or resumes
// the engine's stream. The order of the log is authoritative: the result of a replaced
// owner is ignored, and the first delivery record determines who gets the answer. A
// collection is identified by a key that the caller chooses, so that it can be repeated
// if the response was lost.
//
// While the log is unavailable, a draft is accepted only if a peer also holds it in
// memory, in another data centre if there is one. Both instances append it to the log
// once the log is available.
//
// # Usage
//
//	manager := draft.NewManager(draft.Deps{Log: platform, Instance: id, Runner: runner, Peers: peers, Config: cfg})
//	group.Add(func() error { return manager.Run(ctx) }, stop)
//	mux.Handle(draftpb.HolderPathPrefix, draftpb.NewHolderServer(manager))
//	...
//	id, outcome := manager.Accept(ctx, req)
//	outcome = manager.Collect(ctx, caller, id, collectKey)
package draft

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/oklog/run"

	"github.com/balsamlock/balsamlock/common/inflight"
	"github.com/balsamlock/balsamlock/common/metrics"
	"github.com/balsamlock/balsamlock/draft/draftpb"
	"github.com/balsamlock/balsamlock/firing"
	"github.com/balsamlock/balsamlock/ledger"
	"github.com/balsamlock/balsamlock/receipt"
)

// Runner runs the request of a draft. The id and epoch of the request are those of the
// draft. A run with a higher epoch may resume the work of an earlier one.
type Runner interface {
	Run(ctx context.Context, req firing.Request) (outcome receipt.Outcome, text string)
}

// Peer is another instance that can hold a draft.
type Peer struct {
	Instance   string
	DataCentre string
	Holder     draftpb.Holder
}

// Peers lists the live peers.
type Peers interface{ List() []Peer }

// State is the state of a draft as its caller sees it.
type State string

// The states of a draft.
const (
	StatePending   State = "pending"
	StateReady     State = "ready"
	StateCollected State = "collected"
)

// Deps are the dependencies of a Manager.
type Deps struct {
	Log ledger.Log
	// Instance is this instance's id, unique for each start.
	Instance   string
	DataCentre string
	Runner     Runner
	Peers      Peers
	// Limit returns the maximum number of uncollected drafts of a caller, or 0 if it is
	// unlimited. It may be nil.
	Limit  func(caller string) int
	Config Config
	// Metrics counts adoptions and ignored results. It may be nil.
	Metrics *metrics.Metrics
}

// heldDraft is a draft in the memory of this instance that may not be in the log yet.
type heldDraft struct {
	accepted *draftpb.Accepted
	// acceptedHere is set if this instance accepted the draft from its caller.
	acceptedHere bool
	// appending is set while the draft is being appended.
	appending bool
}

// activeRun is a run of a draft by this instance.
type activeRun struct {
	epoch  uint64
	cancel context.CancelFunc
}

// loadedDraft is an unfinished draft that this instance owns. It is kept in memory in
// case the log loses it.
type loadedDraft struct {
	accepted *draftpb.Accepted
	payload  []byte
}

// Manager accepts, runs and delivers drafts. It is safe for concurrent use.
type Manager struct {
	deps     Deps
	batcher  *ledger.Batcher
	probe    func(step probePoint)
	lifetime context.Context
	stop     context.CancelFunc
	work     inflight.Group
	wake     chan struct{}

	mu      sync.Mutex
	table   *table
	held    map[id]*heldDraft
	running map[id]*activeRun
	// loaded holds the drafts that this instance owns and whose requests it has loaded.
	loaded map[id]loadedDraft
	// retryAt is when a draft whose run failed runs again.
	retryAt map[id]time.Time
	// appending holds the drafts for which this instance is appending an adoption or a
	// snapshot.
	appending map[id]bool
	leaving   bool
	// freshSince is when this instance became up to date with the log. It is zero while
	// it isn't.
	freshSince time.Time
	// logOldest is the lowest offset that the log retains.
	logOldest ledger.Offset
	renewedAt time.Time
	renewing  bool
}

// NewManager returns a Manager. It works only while Run is running.
func NewManager(deps Deps) *Manager {
	lifetime, stop := context.WithCancel(context.Background())
	m := &Manager{
		deps:      deps,
		probe:     func(probePoint) {},
		lifetime:  lifetime,
		stop:      stop,
		wake:      make(chan struct{}, 1),
		table:     newTable(),
		held:      map[id]*heldDraft{},
		running:   map[id]*activeRun{},
		loaded:    map[id]loadedDraft{},
		retryAt:   map[id]time.Time{},
		appending: map[id]bool{},
	}
	m.batcher = ledger.NewBatcher(ledger.BatcherDeps{
		Log:     deps.Log,
		Stream:  ledger.StreamDrafts,
		Writer:  deps.Instance,
		Handler: m,
		Config:  deps.Config.Ledger,
	})
	return m
}

// Run reads the drafts stream, runs the drafts of this instance and adopts those of
// instances with expired leases. It returns when the context ends.
func (m *Manager) Run(ctx context.Context) error {
	defer m.work.Wait(context.Background())
	defer m.stop()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group run.Group
	stop := func(error) { cancel() }
	group.Add(func() error { return m.batcher.Run(ctx) }, stop)
	group.Add(func() error { return m.runControlLoop(ctx) }, stop)
	return group.Run()
}

// Ready reports whether this instance is up to date with the drafts stream.
func (m *Manager) Ready() bool {
	return m.batcher.State().Fresh(time.Now(), millis(m.deps.Config.MaxStaleMS))
}

// Drain gives up the lease, so that peers adopt the drafts of this instance. It returns
// the number of drafts that are neither adopted nor finished when the context ends.
func (m *Manager) Drain(ctx context.Context) int {
	m.mu.Lock()
	m.leaving = true
	m.mu.Unlock()
	raw, err := encodeRecord(id{}, &draftpb.Record{Body: &draftpb.Record_Lease{Lease: &draftpb.Lease{
		Instance: m.deps.Instance,
		Leaving:  true,
	}}})
	if err == nil {
		m.appendWithRetry(ctx, raw)
	}
	ticker := time.NewTicker(controlInterval)
	defer ticker.Stop()
	for {
		remaining := m.countOwned()
		if remaining == 0 {
			return 0
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return remaining
		}
	}
}

// countOwned returns the number of unfinished drafts that this instance owns or holds.
func (m *Manager) countOwned() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := len(m.held)
	for draftID, d := range m.table.drafts {
		if _, isHeld := m.held[draftID]; !isHeld && d.owner == m.deps.Instance && d.result == nil {
			n++
		}
	}
	return n
}

func (m *Manager) count(kind, detail string) {
	if m.deps.Metrics != nil {
		m.deps.Metrics.Count(kind, detail)
	}
}

// withTimeout returns a context that also ends when Run returns.
func (m *Manager) withTimeout(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	stop := context.AfterFunc(m.lifetime, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

var (
	errUnknownDraft   = errors.New("no such draft of this caller")
	errCollected      = errors.New("the draft was collected with another key")
	errPending        = errors.New("the draft is not ready")
	errLimit          = errors.New("the caller has as many uncollected drafts as it may")
	errTooLarge       = errors.New("the request is too large for a draft")
	errLeaving        = errors.New("this instance is shutting down")
	errLogUnavailable = errors.New("the log is unavailable")
	errNoHolder       = errors.New("the log is unavailable and no peer holds the draft")
	errMayBeInLog     = errors.New("the draft may be in the log; its id was not returned")
)

func newReason(code receipt.Code, step receipt.Step, err error) receipt.Reason {
	return receipt.Reason{
		Code:       code,
		Step:       step,
		RetryAfter: retryAfter,
		Err:        err,
	}
}
