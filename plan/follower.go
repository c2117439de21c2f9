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

// Current is the document in force at an instance. It never changes.
type Current struct {
	Accepted Accepted
	Document Document
	Index    *Index
	// Since is when the instance took it, by the instance's clock.
	Since time.Time
}

// Peers asks other instances for the newest accepted document.
type Peers interface {
	// Newest returns the claim of the peer at an address. It returns false when
	// the peer holds nothing newer than have.
	Newest(ctx context.Context, address string, have Version) (Snapshot, bool, error)
}

// Deps are the dependencies of a Follower.
type Deps struct {
	Log ledger.Log
	// Peers is nil for a program that has none, such as the console.
	Peers Peers
	// AppendSnapshots is set for instances that append snapshots.
	AppendSnapshots bool
	Config          Config
	// OnChange is called with each document taken, one at a time; nil for none.
	// It must not wait and must not call State.
	OnChange func(current *Current)
}

// Follower keeps the newest accepted document: it reads the documents stream
// and, while the platform is away, takes newer documents from peers.
type Follower struct {
	deps    Deps
	reader  *ledger.Follower
	current atomic.Pointer[Current]
	adverts chan advert

	mu      sync.Mutex
	state   State
	changed chan struct{}
}

// NewFollower returns a follower that works once Run is called.
func NewFollower(deps Deps) *Follower {
	f := &Follower{
		deps:    deps,
		adverts: make(chan advert, 1),
		state:   NewState(),
		changed: make(chan struct{}),
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

// Current returns the document in force, nil for none.
func (f *Follower) Current() *Current { return f.current.Load() }

// Version returns the version in force, for heartbeats.
func (f *Follower) Version() Version {
	if current := f.Current(); current != nil {
		return current.Accepted.Version
	}
	return NoVersion
}

// State returns what has been read and learned.
func (f *Follower) State() State {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state
}

// Stream returns how far the stream has been read.
func (f *Follower) Stream() ledger.FollowerState { return f.reader.State() }

// Run works until the context ends and returns the context's error.
func (f *Follower) Run(ctx context.Context) error {
	var g run.Group
	for _, actor := range []func(context.Context) error{f.reader.Run, f.askPeers, f.keep} {
		ctx, cancel := context.WithCancel(ctx)
		g.Add(func() error { return actor(ctx) }, func(error) { cancel() })
	}
	return g.Run()
}

// Wait returns once a version or a newer one is in force.
func (f *Follower) Wait(ctx context.Context, version Version) error {
	for {
		changed := f.watch()
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

func (f *Follower) watch() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Sync returns once everything appended before the call has been read.
func (f *Follower) Sync(ctx context.Context) error {
	for {
		page, err := f.deps.Log.Read(ctx, ledger.StreamDocuments, f.reader.State().Next, 1)
		if err != nil {
			return fmt.Errorf("read end of %s: %w", ledger.StreamDocuments, err)
		}
		f.reader.Poke()
		err = f.reader.Wait(ctx, page.End-1)
		if !errors.Is(err, ledger.ErrRestarted) {
			return err
		}
	}
}

// update applies a change of the state and puts a newer document in force.
func (f *Follower) update(change func(s State) (State, Verdict)) Verdict {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.state.Newest()
	state, verdict := change(f.state)
	f.state = state
	after := state.Newest()
	if after == before {
		return verdict
	}
	f.put(after, state.claim.Document)
	close(f.changed)
	f.changed = make(chan struct{})
	return verdict
}

func (f *Follower) put(accepted Accepted, document Document) {
	had := f.Version()
	ordered := accepted.Version > had
	invariant.Check(ordered, invariant.NeverReverts, "version %d after version %d", accepted.Version, had)
	if !ordered && !mutation.Off(mutation.OffsetOrder) {
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
		Str("digest", accepted.Digest).Msg("routing document in force")
	if f.deps.OnChange != nil {
		f.deps.OnChange(current)
	}
}

// streamHandler takes the records of the stream for a Follower.
type streamHandler Follower

var _ ledger.Handler = (*streamHandler)(nil)

// Restart notes a gap or the first read. What is known stays in force.
func (h *streamHandler) Restart(_ ledger.RestartReason, oldest ledger.Offset) {
	f := (*Follower)(h)
	f.update(func(s State) (State, Verdict) { return s.WithStart(oldest), Known{} })
}

// Apply judges records.
func (h *streamHandler) Apply(records []ledger.Record) {
	f := (*Follower)(h)
	for _, record := range records {
		verdict := f.update(func(s State) (State, Verdict) { return Accept(s, record) })
		logVerdict(record.Offset, verdict)
	}
}

func logVerdict(offset ledger.Offset, verdict Verdict) {
	passed, ok := verdict.(PassedOver)
	if !ok {
		return
	}
	log.Warn().Str("step", "accept").Int64("offset", int64(offset)).Str("record", passed.RecordID).
		Str("reason", string(passed.Reason)).Int("findings", len(passed.Findings)).Err(passed.Err).
		Msg("record passed over")
}

// spread returns a random time up to d.
func spread(d time.Duration) time.Duration { return rand.N(d + 1) }

// sleep waits and tells whether the context is still alive.
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
