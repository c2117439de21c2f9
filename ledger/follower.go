package ledger

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/balsamlock/balsamlock/common/settings"
)

// RestartReason tells why a follower started over.
type RestartReason string

// The reasons for starting over.
const (
	// RestartFirst is the first read of a follower.
	RestartFirst RestartReason = "first_read"
	// RestartGap means that records were dropped before they were read.
	RestartGap RestartReason = "gap"
	// RestartRewound means that the stream ends before what was read of it.
	RestartRewound RestartReason = "rewound"
)

// maxHoleReads is how often a page with a missing offset is read again before
// the records before the hole are given up.
const maxHoleReads = 3

// errHole means that a page skips an offset.
var errHole = errors.New("page skips an offset")

// ErrRestarted is returned by Wait when the follower started over meanwhile.
var ErrRestarted = errors.New("follower started over")

// Handler takes a stream's records. Its methods are called by one goroutine.
type Handler interface {
	// Restart drops what was built from earlier records; the next record is
	// the one at oldest.
	Restart(reason RestartReason, oldest Offset)
	// Apply takes records in the order of their offsets, without gaps.
	Apply(records []Record)
}

// FollowerConfig bounds the reads of a follower. Times are in milliseconds.
type FollowerConfig struct {
	// PollMS is the mean time between two reads of a stream without news.
	PollMS int `json:"poll_ms"`
	// MaxBackOffMS bounds the time between two reads while the log fails.
	MaxBackOffMS int `json:"max_back_off_ms"`
	// ReadTimeoutMS bounds one read.
	ReadTimeoutMS int `json:"read_timeout_ms"`
	// ReadLimit bounds the records of one read.
	ReadLimit int `json:"read_limit"`
}

// DefaultFollowerConfig returns the defaults.
func DefaultFollowerConfig() FollowerConfig {
	return FollowerConfig{
		PollMS:        200,
		MaxBackOffMS:  2000,
		ReadTimeoutMS: 2000,
		ReadLimit:     256,
	}
}

// Check reports wrong values.
func (cfg FollowerConfig) Check(p *settings.Problems) {
	p.Positive("poll_ms", cfg.PollMS)
	p.Positive("read_timeout_ms", cfg.ReadTimeoutMS)
	p.Positive("read_limit", cfg.ReadLimit)
	p.Add(cfg.MaxBackOffMS >= cfg.PollMS, "max_back_off_ms", cfg.MaxBackOffMS, "a time not below poll_ms")
}

// FollowerDeps are the dependencies of a Follower.
type FollowerDeps struct {
	Log     Log
	Stream  Stream
	Handler Handler
	Config  FollowerConfig
}

// FollowerState is what a follower has read. It is immutable.
type FollowerState struct {
	// CaughtUp is set once a read has reached the end of the stream, until the
	// follower starts over.
	CaughtUp bool
	// At is when the last read that reached the end was sent: every record
	// appended before it has been applied. Compare it with the time to learn
	// how stale the follower is.
	At time.Time
	// Next is the offset of the next record wanted.
	Next Offset
	// Oldest is the first offset that was applied since the last start.
	Oldest Offset
	// LogOldest is the first offset that the log kept at the last read.
	LogOldest Offset
	// Restarts counts the starts over, the first read excluded.
	Restarts int
	// Err is the error of the last read, nil if it succeeded.
	Err error
}

// Fresh tells whether the follower was caught up at most age before now.
func (s FollowerState) Fresh(now time.Time, age time.Duration) bool {
	return s.CaughtUp && now.Sub(s.At) <= age
}

// Follower reads a stream from its oldest record on and hands each record to a
// handler, in one goroutine. A stream whose offsets show that records were
// missed is read again from its start.
type Follower struct {
	deps    FollowerDeps
	poke    chan struct{}
	started bool
	// holes counts the reads in a row that skipped an offset.
	holes int

	mu      sync.Mutex
	state   FollowerState
	changed chan struct{}
}

// NewFollower returns a follower that reads once Run is called.
func NewFollower(deps FollowerDeps) *Follower {
	return &Follower{
		deps:    deps,
		poke:    make(chan struct{}, 1),
		changed: make(chan struct{}),
	}
}

// State returns what has been read.
func (f *Follower) State() FollowerState {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state
}

// PollNow asks for a read without waiting for the next poll.
func (f *Follower) PollNow() {
	select {
	case f.poke <- struct{}{}:
	default:
	}
}

// Wait returns once the record at offset has been applied. It fails with
// ErrRestarted when the follower started over, or when the context ends.
func (f *Follower) Wait(ctx context.Context, offset Offset) error {
	restarts := f.State().Restarts
	for {
		state, changed := f.watch()
		if state.Restarts != restarts {
			return fmt.Errorf("wait for offset %d of %s: %w", offset, f.deps.Stream, ErrRestarted)
		}
		if state.Next > offset {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return fmt.Errorf("wait for offset %d of %s: %w", offset, f.deps.Stream, ctx.Err())
		}
	}
}

// Refresh returns once every record that was appended before the call has been
// applied.
func (f *Follower) Refresh(ctx context.Context) error {
	since := time.Now()
	f.PollNow()
	for {
		state, changed := f.watch()
		if state.CaughtUp && !state.At.Before(since) {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return fmt.Errorf("refresh %s: %w", f.deps.Stream, ctx.Err())
		}
	}
}

// WaitCaughtUp returns once the follower has read up to the end of the stream.
func (f *Follower) WaitCaughtUp(ctx context.Context) error {
	for {
		state, changed := f.watch()
		if state.CaughtUp {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return fmt.Errorf("wait for the end of %s: %w", f.deps.Stream, ctx.Err())
		}
	}
}

func (f *Follower) watch() (FollowerState, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state, f.changed
}

func (f *Follower) update(change func(s *FollowerState)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.state)
	close(f.changed)
	f.changed = make(chan struct{})
}

// Run reads the stream until the context ends. It returns the context's error.
func (f *Follower) Run(ctx context.Context) error {
	delay := f.poll()
	for {
		more, err := f.readOnce(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			f.failed(err)
			delay = min(2*delay, time.Duration(f.deps.Config.MaxBackOffMS)*time.Millisecond)
		} else {
			delay = f.poll()
		}
		if more {
			continue
		}
		f.pause(ctx, jitter(delay), err == nil)
	}
}

// failed records a read's error and logs the first one in a row.
func (f *Follower) failed(err error) {
	if f.State().Err == nil {
		log.Warn().Str("step", "follow").Str("stream", string(f.deps.Stream)).Err(err).Msg("read failed")
	}
	f.update(func(s *FollowerState) { s.Err = err })
}

func (f *Follower) poll() time.Duration {
	return time.Duration(f.deps.Config.PollMS) * time.Millisecond
}

// pause waits for the next read. While the log fails a poke doesn't shorten
// the back-off.
func (f *Follower) pause(ctx context.Context, delay time.Duration, pokeable bool) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	poke := f.poke
	if !pokeable {
		poke = nil
	}
	select {
	case <-timer.C:
	case <-poke:
	case <-ctx.Done():
	}
}

// jitter spreads a delay over 75% to 125% of itself.
func jitter(delay time.Duration) time.Duration {
	return delay*3/4 + rand.N(delay/2+1)
}

// readOnce reads one page. More tells that the stream has further records.
func (f *Follower) readOnce(ctx context.Context) (more bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(f.deps.Config.ReadTimeoutMS)*time.Millisecond)
	defer cancel()
	next := f.State().Next
	sent := time.Now()
	page, err := f.deps.Log.Read(ctx, f.deps.Stream, next, f.deps.Config.ReadLimit)
	if err != nil {
		return false, fmt.Errorf("read %s from offset %d: %w", f.deps.Stream, next, err)
	}
	if reason, restart := f.mustRestart(page, next); restart {
		f.restart(reason, page.Oldest)
		if page.Oldest != next {
			return true, nil
		}
	}
	if hole, found := findHole(page, f.State().Next); found {
		return f.skipHole(hole)
	}
	f.holes = 0
	f.apply(page, next, sent)
	return page.End > f.State().Next, nil
}

func (f *Follower) mustRestart(page Page, next Offset) (RestartReason, bool) {
	switch {
	case !f.started:
		return RestartFirst, true
	case page.End < next:
		return RestartRewound, true
	case page.Oldest > next:
		return RestartGap, true
	}
	return "", false
}

// findHole returns the first offset after a hole in the page.
func findHole(page Page, next Offset) (Offset, bool) {
	for i, record := range page.Records {
		if record.Offset != next+Offset(i) {
			return record.Offset, true
		}
	}
	return 0, false
}

// skipHole starts over behind a hole that several reads have shown.
func (f *Follower) skipHole(after Offset) (more bool, err error) {
	f.holes++
	if f.holes < maxHoleReads {
		return false, fmt.Errorf("read %s before offset %d: %w", f.deps.Stream, after, errHole)
	}
	f.holes = 0
	f.restart(RestartGap, after)
	return true, nil
}

func (f *Follower) restart(reason RestartReason, oldest Offset) {
	first := !f.started
	f.started = true
	log.Info().Str("step", "follow").Str("stream", string(f.deps.Stream)).Str("reason", string(reason)).
		Int64("oldest", int64(oldest)).Msg("reading the stream from its start")
	f.deps.Handler.Restart(reason, oldest)
	f.update(func(s *FollowerState) {
		s.CaughtUp = false
		s.Next = oldest
		s.Oldest = oldest
		if !first {
			s.Restarts++
		}
	})
}

func (f *Follower) apply(page Page, next Offset, sent time.Time) {
	if len(page.Records) > 0 {
		f.deps.Handler.Apply(page.Records)
		next = page.Records[len(page.Records)-1].Offset + 1
	}
	f.update(func(s *FollowerState) {
		s.Next = next
		s.LogOldest = page.Oldest
		s.Err = nil
		if next >= page.End {
			s.CaughtUp = true
			s.At = sent
		}
	})
}
