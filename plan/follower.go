package plan

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"github.com/phuslu/log"

	"github.com/balsamlock/balsamlock/common/invariant"
	"github.com/balsamlock/balsamlock/common/mutation"
	"github.com/balsamlock/balsamlock/ledger"
)

// Current is the active document of an instance. It is immutable.
type Current struct {
	Accepted Accepted
	Document Document
	Index    *Index
	// Since is when the instance activated the document, by its own clock.
	Since time.Time
}

// Peers requests the newest accepted document from other instances.
type Peers interface {
	// Newest returns the snapshot of the peer at an address. It returns false
	// if the peer has nothing newer than have.
	Newest(ctx context.Context, address string, have Version) (Snapshot, bool, error)
}

// Deps holds the dependencies of a Follower.
type Deps struct {
	Log ledger.Log
	// Peers is nil for programs without peers, such as the console.
	Peers Peers
	// AppendSnapshots makes the follower append snapshots when they are due.
	AppendSnapshots bool
	Config          Config
	// OnChange, if set, is called with each activated document, one call at a
	// time. It must not block and must not call State.
	OnChange func(current *Current)
}

// Follower tracks the newest accepted document. It reads the documents stream
// and gets newer documents from peers while the platform is unavailable.
type Follower struct {
	deps           Deps
	reader         *ledger.Follower
	current        atomic.Pointer[Current]
	advertisements chan advertisement

	mu      sync.Mutex
	state   State
	changed chan struct{}
}

// NewFollower returns a follower that starts when Run is called.
func NewFollower(deps Deps) *Follower {
	f := &Follower{
		deps:           deps,
		advertisements: make(chan advertisement, 1),
		state:          NewState(),
		changed:        make(chan struct{}),
	}
	f.reader = ledger.NewFollower(ledger.FollowerDeps{
		Log: &tailLog{
			Log:       deps.Log,
			readLimit: deps.Config.Log.ReadLimit,
		},
		Stream:  ledger.StreamDocuments,
		Handler: (*streamHandler)(f),
		Config:  deps.Config.Log,
	})
	return f
}

// Current returns the active document, or nil if there is none.
func (f *Follower) Current() *Current { return f.current.Load() }

// Version returns the active version, which heartbeats advertise to peers.
func (f *Follower) Version() Version {
	if current := f.Current(); current != nil {
		return current.Accepted.Version
	}
	return NoVersion
}

// State returns the replicated state.
func (f *Follower) State() State {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state
}

// Stream returns the read position in the documents stream.
func (f *Follower) Stream() ledger.FollowerState { return f.reader.State() }

// Run runs the follower until the context is done and returns the context's
// error.
func (f *Follower) Run(ctx context.Context) error {
	var g run.Group
	for _, actor := range []func(context.Context) error{f.reader.Run, f.handleAdvertisements, f.maintainSnapshots} {
		ctx, cancel := context.WithCancel(ctx)
		g.Add(func() error { return actor(ctx) }, func(error) { cancel() })
	}
	return g.Run()
}

// Wait blocks until the version or a newer one is active. It returns an error if
// the context is done before.
func (f *Follower) Wait(ctx context.Context, version Version) error {
	for {
		changed := f.changes()
		if f.Version() >= version {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return fmt.Errorf("wait for document version %d: %w", version, ctx.Err())
		}
	}
}

func (f *Follower) changes() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Sync blocks until every record appended before the call has been read. It
// returns an error if the end of the stream can't be read or the context is done
// before.
func (f *Follower) Sync(ctx context.Context) error {
	for {
		page, err := f.deps.Log.Read(ctx, ledger.StreamDocuments, f.reader.State().Next, 1)
		if err != nil {
			return fmt.Errorf("read end of %s: %w", ledger.StreamDocuments, err)
		}
		f.reader.PollNow()
		err = f.reader.Wait(ctx, page.End-1)
		if !errors.Is(err, ledger.ErrRestarted) {
			return err
		}
	}
}

// update applies a change to the state and activates the newest document if it
// changed.
func (f *Follower) update(change func(s State) (State, ApplyResult)) ApplyResult {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.state.Newest()
	state, result := change(f.state)
	f.state = state
	after := state.Newest()
	if after == before {
		return result
	}
	f.activate(after, state.snapshot.Document)
	close(f.changed)
	f.changed = make(chan struct{})
	return result
}

func (f *Follower) activate(accepted Accepted, document Document) {
	previous := f.Version()
	isNewer := accepted.Version > previous
	invariant.Check(isNewer, invariant.MonotonicVersions, "version %d after version %d", accepted.Version, previous)
	if !isNewer && !mutation.Off(mutation.OffsetOrder) {
		return
	}
	current := &Current{
		Accepted: accepted,
		Document: document,
		Index:    newIndex(document, accepted.Digest),
		Since:    time.Now(),
	}
	f.current.Store(current)
	log.Info().Str("step", "accept").Int64("version", int64(accepted.Version)).
		Str("digest", accepted.Digest).Msg("routing document activated")
	if f.deps.OnChange != nil {
		f.deps.OnChange(current)
	}
}

// streamHandler implements ledger.Handler for a Follower.
type streamHandler Follower

var _ ledger.Handler = (*streamHandler)(nil)

// Restart handles the first read and gaps in the stream. The active document
// stays active.
func (h *streamHandler) Restart(_ ledger.RestartReason, oldest ledger.Offset) {
	f := (*Follower)(h)
	f.update(func(s State) (State, ApplyResult) { return s.WithStart(oldest), NoChange{} })
}

// Apply applies records of the stream.
func (h *streamHandler) Apply(records []ledger.Record) {
	f := (*Follower)(h)
	for _, record := range records {
		result := f.update(func(s State) (State, ApplyResult) { return ApplyRecord(s, record) })
		logSkipped(record.Offset, result)
	}
}

func logSkipped(offset ledger.Offset, result ApplyResult) {
	skipped, ok := result.(Skipped)
	if !ok {
		return
	}
	log.Warn().Str("step", "accept").Int64("offset", int64(offset)).Str("record", skipped.RecordID).
		Str("reason", string(skipped.Reason)).Int("findings", len(skipped.Findings)).Err(skipped.Err).
		Msg("record skipped")
}

// jitter returns a random duration from 0 to d.
func jitter(d time.Duration) time.Duration { return rand.N(d + 1) }

// sleep waits for d and reports whether the context is still active.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
