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

// RestartReason is the reason why a follower discarded its state and restarted.
type RestartReason string

// The reasons for a restart.
const (
	// RestartFirst is the first read of a follower.
	RestartFirst RestartReason = "first_read"
	// RestartGap means that the log dropped records before they were read.
	RestartGap RestartReason = "gap"
	// RestartRewound means that the end of the stream is before the last offset that was
	// read.
	RestartRewound RestartReason = "rewound"
)

// maxHoleReads is the number of consecutive reads with a missing offset after which the
// follower gives up the records up to that offset and restarts after it.
const maxHoleReads = 3

// errHole means that an offset is missing in a page.
var errHole = errors.New("offset missing in page")

// ErrRestarted is returned by Wait if the follower restarted in the meantime.
var ErrRestarted = errors.New("follower restarted")

// Handler processes the records of a stream. Its methods are called from one goroutine.
type Handler interface {
	// Restart drops all state that was built from earlier records. The next record is the
	// one at offset oldest.
	Restart(reason RestartReason, oldest Offset)
	// Apply processes records in offset order without gaps.
	Apply(records []Record)
}

// FollowerConfig configures a Follower. Times are in milliseconds.
type FollowerConfig struct {
	// PollMS is the mean poll interval when the stream has no new records.
	PollMS int `json:"poll_ms"`
	// MaxBackOffMS is the maximum delay between reads while reads fail.
	MaxBackOffMS int `json:"max_back_off_ms"`
	// ReadTimeoutMS is the timeout of one read.
	ReadTimeoutMS int `json:"read_timeout_ms"`
	// ReadLimit is the maximum number of records per read.
	ReadLimit int `json:"read_limit"`
}

// DefaultFollowerConfig returns the default configuration.
func DefaultFollowerConfig() FollowerConfig {
	return FollowerConfig{
		PollMS:        200,
		MaxBackOffMS:  2000,
		ReadTimeoutMS: 2000,
		ReadLimit:     256,
	}
}

// Check reports invalid values to p.
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

// FollowerState is a snapshot of the state of a Follower.
type FollowerState struct {
	// CaughtUp is set when a read reaches the end of the stream. A restart resets it.
	CaughtUp bool
	// At is the start time of the last read that reached the end of the stream. All
	// records appended before this time have been applied.
	At time.Time
	// Next is the offset of the next record to read.
	Next Offset
	// Oldest is the offset at which the follower last started or restarted.
	Oldest Offset
	// LogOldest is the oldest offset of the log at the last read.
	LogOldest Offset
	// Restarts is the number of restarts. The first read isn't counted.
	Restarts int
	// Err is the error of the last read. It is nil if the read succeeded.
	Err error
}

// Fresh reports whether the follower is caught up and its state is at most age old at the
// time now.
func (s FollowerState) Fresh(now time.Time, age time.Duration) bool {
	return s.CaughtUp && now.Sub(s.At) <= age
}

// Follower reads a stream from its oldest record and passes all records to a handler in
// one goroutine. If the offsets show that records were missed, it restarts from the
// oldest record.
type Follower struct {
	deps    FollowerDeps
	wakeup  chan struct{}
	started bool
	// limit is the number of records per read. It is halved when a read takes too long.
	limit int
	// holeReads is the number of consecutive reads with a missing offset.
	holeReads int

	mu    sync.Mutex
	state FollowerState
	// changed is closed and replaced on each change of the state.
	changed chan struct{}
}

// NewFollower returns a follower. It reads while Run runs.
func NewFollower(deps FollowerDeps) *Follower {
	return &Follower{
		deps:    deps,
		wakeup:  make(chan struct{}, 1),
		changed: make(chan struct{}),
		limit:   deps.Config.ReadLimit,
	}
}

// State returns the current state.
func (f *Follower) State() FollowerState {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state
}

// PollNow triggers a read without waiting for the poll interval.
func (f *Follower) PollNow() {
	select {
	case f.wakeup <- struct{}{}:
	default:
	}
}

// Wait returns after the record at offset was applied. It returns ErrRestarted if the
// follower restarts, or the context's error if the context ends.
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

// Refresh returns after all records that were appended before the call have been applied.
// It returns the context's error if the context ends first.
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

// WaitCaughtUp returns after the follower has reached the end of the stream. It returns
// the context's error if the context ends first.
func (f *Follower) WaitCaughtUp(ctx context.Context) error {
	for {
		state, changed := f.watch()
		if state.CaughtUp {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return fmt.Errorf("wait until caught up with %s: %w", f.deps.Stream, ctx.Err())
		}
	}
}

// watch returns the current state and a channel that is closed on its next change.
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
	delay := f.pollInterval()
	for {
		more, err := f.readOnce(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			f.recordFailure(err)
			delay = min(2*delay, time.Duration(f.deps.Config.MaxBackOffMS)*time.Millisecond)
		} else {
			delay = f.pollInterval()
		}
		if more {
			continue
		}
		f.waitForNextRead(ctx, jitter(delay), err == nil)
	}
}

// recordFailure stores the error of a read. It logs only the first of consecutive errors.
func (f *Follower) recordFailure(err error) {
	if f.State().Err == nil {
		log.Warn().Str("step", "follow").Str("stream", string(f.deps.Stream)).Err(err).Msg("read failed")
	}
	f.update(func(s *FollowerState) { s.Err = err })
}

func (f *Follower) pollInterval() time.Duration {
	return time.Duration(f.deps.Config.PollMS) * time.Millisecond
}

// waitForNextRead waits until the delay expires or PollNow is called. PollNow is ignored
// after a failed read, so that it doesn't shorten the backoff.
func (f *Follower) waitForNextRead(ctx context.Context, delay time.Duration, wakeable bool) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	wakeup := f.wakeup
	if !wakeable {
		wakeup = nil
	}
	select {
	case <-timer.C:
	case <-wakeup:
	case <-ctx.Done():
	}
}

// jitter returns a random duration between 75% and 125% of delay.
func jitter(delay time.Duration) time.Duration {
	return delay*3/4 + rand.N(delay/2+1)
}

// readOnce reads one page. more reports whether the stream has further records.
func (f *Follower) readOnce(ctx context.Context) (more bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(f.deps.Config.ReadTimeoutMS)*time.Millisecond)
	defer cancel()
	next := f.State().Next
	sent := time.Now()
	page, err := f.deps.Log.Read(ctx, f.deps.Stream, next, f.limit)
	f.adaptLimit(ctx)
	if err != nil {
		return false, fmt.Errorf("read %s from offset %d: %w", f.deps.Stream, next, err)
	}
	if reason, restart := f.needsRestart(page, next); restart {
		f.restart(reason, page.Oldest)
		if page.Oldest != next {
			return true, nil
		}
	}
	if hole, found := findHole(page, f.State().Next); found {
		return f.skipHole(hole)
	}
	f.holeReads = 0
	f.apply(page, next, sent)
	return page.End > f.State().Next, nil
}

// adaptLimit halves the limit of a read whose context has expired, and raises it again otherwise.
func (f *Follower) adaptLimit(ctx context.Context) {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		f.limit = max(1, f.limit/2)
		return
	}
	f.limit = min(f.deps.Config.ReadLimit, f.limit+max(1, f.limit/2))
}

func (f *Follower) needsRestart(page Page, next Offset) (RestartReason, bool) {
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

// findHole returns the first offset after a missing one. It returns false if no offset is
// missing.
func findHole(page Page, next Offset) (Offset, bool) {
	for i, record := range page.Records {
		if record.Offset != next+Offset(i) {
			return record.Offset, true
		}
	}
	return 0, false
}

// skipHole returns an error until maxHoleReads consecutive reads have a missing offset.
// Then it restarts the follower after the missing offset.
func (f *Follower) skipHole(after Offset) (more bool, err error) {
	f.holeReads++
	if f.holeReads < maxHoleReads {
		return false, fmt.Errorf("read %s before offset %d: %w", f.deps.Stream, after, errHole)
	}
	f.holeReads = 0
	f.restart(RestartGap, after)
	return true, nil
}

func (f *Follower) restart(reason RestartReason, oldest Offset) {
	first := !f.started
	f.started = true
	log.Info().Str("step", "follow").Str("stream", string(f.deps.Stream)).Str("reason", string(reason)).
		Int64("oldest", int64(oldest)).Msg("restarting the stream reader")
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
