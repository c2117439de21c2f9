// Package draft takes long requests whose answers are collected later. An
// accepted draft arrives although its owner, an engine, a data centre or the
// platform goes away, and is collected once.
//
// A draft, its result and its collection are records of the platform's log. An
// instance owns the drafts that it accepts and renews its lease; when the
// lease lapses a peer adopts them with a higher epoch and runs them again, or
// goes on with the engine's stream. The log's order decides: the result of an
// owner that was replaced is ignored, and the first delivery record has the
// answer. A collection is named by a key of the caller's choice, so that it can
// be repeated when the answer was lost on the way.
//
// While the log is away a draft is accepted only once a peer, in another data
// centre if there is one, holds it in memory too; both offer it to the log.
//
// # Usage
//
//	desk := draft.NewDesk(draft.Deps{Log: platform, Instance: id, Runner: runner, Peers: peers, Config: cfg})
//	group.Add(func() error { return desk.Run(ctx) }, stop)
//	mux.Handle(draftpb.HolderPathPrefix, draftpb.NewHolderServer(desk))
//	...
//	id, outcome := desk.Accept(ctx, req)
//	outcome = desk.Collect(ctx, caller, id, collectKey)
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

// Runner runs the work of a draft. Its id and epoch are those of the request;
// a higher epoch may resume what a lower one has begun.
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

// State tells how far a draft is.
type State string

// The states of a draft towards its caller.
const (
	StatePending   State = "pending"
	StateReady     State = "ready"
	StateCollected State = "collected"
)

// Deps are the dependencies of a Desk.
type Deps struct {
	Log ledger.Log
	// Instance is this instance's id, unique for each start.
	Instance   string
	DataCentre string
	Runner     Runner
	Peers      Peers
	// Limit returns how many uncollected drafts a caller may have, 0 for any
	// number; may be nil.
	Limit  func(caller string) int
	Config Config
	// Metrics counts results; may be nil.
	Metrics *metrics.Metrics
}

// held is a draft in this instance's memory that may not be in the log yet.
type held struct {
	accepted *draftpb.Accepted
	// own is set when this instance accepted the draft.
	own bool
	// offered is set while an append is under way.
	offered bool
}

// running is a run of a draft by this instance.
type running struct {
	epoch  uint64
	cancel context.CancelFunc
}

// work is an unfinished draft of this instance, kept in memory in case that
// the log loses it.
type work struct {
	accepted *draftpb.Accepted
	payload  []byte
}

// Manager keeps the drafts. It is safe for concurrent use.
type Manager struct {
	deps     Deps
	batcher  *ledger.Batcher
	probe    func(step step)
	lifetime context.Context
	stop     context.CancelFunc
	work     inflight.Group
	wake     chan struct{}

	mu      sync.Mutex
	table   *table
	held    map[id]*held
	running map[id]*running
	// owning holds the drafts that this instance has loaded to run them.
	owning map[id]work
	// retry is when a draft whose run failed is run again.
	retry map[id]time.Time
	// changing holds the drafts of which this instance appends a record.
	changing map[id]bool
	leaving  bool
	// freshSince is when the log could be followed again, zero while it can't.
	freshSince time.Time
	// logOldest is the first offset that the log keeps.
	logOldest ledger.Offset
	renewed   time.Time
	renewing  bool
}

// NewManager returns a desk that works while Run runs.
func NewManager(deps Deps) *Manager {
	lifetime, stop := context.WithCancel(context.Background())
	d := &Manager{
		deps:     deps,
		probe:    func(step) {},
		lifetime: lifetime,
		stop:     stop,
		wake:     make(chan struct{}, 1),
		table:    newTable(),
		held:     map[id]*held{},
		running:  map[id]*running{},
		owning:   map[id]work{},
		retry:    map[id]time.Time{},
		changing: map[id]bool{},
	}
	d.batcher = ledger.NewBatcher(ledger.BatcherDeps{
		Log:     deps.Log,
		Stream:  ledger.StreamDrafts,
		Writer:  deps.Instance,
		Handler: d,
		Config:  deps.Config.Ledger,
	})
	return d
}

// Run follows the drafts stream, runs this instance's drafts and adopts those
// of lapsed ones until the context ends.
func (d *Manager) Run(ctx context.Context) error {
	defer d.work.Wait(context.Background())
	defer d.stop()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group run.Group
	stop := func(error) { cancel() }
	group.Add(func() error { return d.batcher.Run(ctx) }, stop)
	group.Add(func() error { return d.control(ctx) }, stop)
	return group.Run()
}

// Ready tells whether the drafts stream can be followed.
func (d *Manager) Ready() bool {
	return d.batcher.State().Fresh(time.Now(), millis(d.deps.Config.MaxStaleMS))
}

// Drain hands this instance's drafts over to its peers. It returns the number
// that nobody has adopted or finished when the context ends.
func (d *Manager) Drain(ctx context.Context) int {
	d.mu.Lock()
	d.leaving = true
	d.mu.Unlock()
	raw, err := encode(id{}, &draftpb.Record{Body: &draftpb.Record_Lease{Lease: &draftpb.Lease{
		Instance: d.deps.Instance,
		Leaving:  true,
	}}})
	if err == nil {
		d.record(ctx, raw)
	}
	ticker := time.NewTicker(controlPeriod)
	defer ticker.Stop()
	for {
		left := d.owned()
		if left == 0 {
			return 0
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return left
		}
	}
}

// owned returns the number of unfinished drafts that rest with this instance.
func (d *Manager) owned() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := len(d.held)
	for key, found := range d.table.drafts {
		if _, also := d.held[key]; !also && found.owner == d.deps.Instance && found.result == nil {
			n++
		}
	}
	return n
}

func (d *Manager) count(kind, detail string) {
	if d.deps.Metrics != nil {
		d.deps.Metrics.Count(kind, detail)
	}
}

// bounded returns a context that also ends with the desk.
func (d *Manager) bounded(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	stop := context.AfterFunc(d.lifetime, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

var (
	errUnknownDraft = errors.New("no such draft of this caller")
	errCollected    = errors.New("the draft was collected with another key")
	errPending      = errors.New("the draft is not ready")
	errLimit        = errors.New("the caller has as many uncollected drafts as it may")
	errTooLarge     = errors.New("the request is too large for a draft")
	errLeaving      = errors.New("this instance is leaving")
	errLogAway      = errors.New("the log is away")
	errNoHolder     = errors.New("the log is away and no peer holds the draft")
	errMayArrive    = errors.New("the draft may be in the log; its id was not given out")
)

func reasonOf(code receipt.Code, step receipt.Step, err error) receipt.Reason {
	return receipt.Reason{
		Code:       code,
		Step:       step,
		RetryAfter: retryAfter,
		Err:        err,
	}
}
