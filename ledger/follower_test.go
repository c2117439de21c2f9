package ledger

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// memoryLog is an in-memory log with fault injection.
type memoryLog struct {
	mu      sync.Mutex
	oldest  Offset
	records []Record
	down    bool
	// loseAnswer makes appends take effect but return an error.
	loseAnswer bool
	appends    int
	// timePerRecord delays reads, as a slow link does.
	timePerRecord time.Duration
}

func (l *memoryLog) Append(_ context.Context, _ Stream, payload []byte) (Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, ErrUnavailable
	}
	l.appends++
	offset := l.oldest + Offset(len(l.records))
	l.records = append(l.records, Record{
		Offset:  offset,
		At:      time.Now(),
		Payload: payload,
	})
	if l.loseAnswer {
		return 0, errors.New("connection reset")
	}
	return offset, nil
}

func (l *memoryLog) Read(ctx context.Context, stream Stream, from Offset, limit int) (Page, error) {
	page, err := l.page(stream, from, limit)
	timer := time.NewTimer(time.Duration(len(page.Records)) * l.timePerRecord)
	defer timer.Stop()
	select {
	case <-timer.C:
		return page, err
	case <-ctx.Done():
		return Page{}, ctx.Err()
	}
}

func (l *memoryLog) page(_ Stream, from Offset, limit int) (Page, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return Page{}, ErrUnavailable
	}
	page := Page{
		Oldest: l.oldest,
		End:    l.oldest + Offset(len(l.records)),
	}
	for _, record := range l.records {
		page.End = max(page.End, record.Offset+1)
		if record.Offset >= from && len(page.Records) < limit {
			page.Records = append(page.Records, record)
		}
	}
	return page, nil
}

// update calls change with the mutex locked.
func (l *memoryLog) update(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
}

type recorder struct {
	mu       sync.Mutex
	restarts []RestartReason
	payloads []string
}

func (r *recorder) Restart(reason RestartReason, _ Offset) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.restarts = append(r.restarts, reason)
	r.payloads = nil
}

func (r *recorder) Apply(records []Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, record := range records {
		r.payloads = append(r.payloads, string(record.Payload))
	}
}

func (r *recorder) read() ([]RestartReason, []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.restarts, r.payloads
}

func withFollower(t *testing.T, test func(c *qt.C, l *memoryLog, f *Follower, r *recorder)) {
	synctest.Test(t, func(t *testing.T) {
		l := &memoryLog{}
		r := &recorder{}
		cfg := DefaultFollowerConfig()
		cfg.ReadLimit = 2
		f := NewFollower(FollowerDeps{
			Log:     l,
			Stream:  StreamOrders,
			Handler: r,
			Config:  cfg,
		})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		for _, payload := range []string{"a", "b", "c"} {
			_, _ = l.Append(ctx, StreamOrders, []byte(payload))
		}
		go func() { _ = f.Run(ctx) }()
		synctest.Wait()
		test(qt.New(t), l, f, r)
	})
}

func TestFollowerReadsInOrder(t *testing.T) {
	withFollower(t, func(c *qt.C, l *memoryLog, f *Follower, r *recorder) {
		_, payloads := r.read()
		c.Assert(payloads, qt.DeepEquals, []string{"a", "b", "c"})
		c.Assert(f.State().CaughtUp, qt.IsTrue)
		offset, _ := l.Append(c.Context(), StreamOrders, []byte("d"))
		before := time.Now()
		f.PollNow()
		c.Assert(f.Wait(c.Context(), offset), qt.IsNil)
		c.Assert(time.Since(before), qt.Equals, time.Duration(0))
		_, payloads = r.read()
		c.Assert(payloads, qt.DeepEquals, []string{"a", "b", "c", "d"})
	})
}

func TestFollowerRestartsAfterGap(t *testing.T) {
	withFollower(t, func(c *qt.C, l *memoryLog, f *Follower, r *recorder) {
		l.update(func() {
			l.oldest = 7
			l.records = nil
		})
		_, _ = l.Append(c.Context(), StreamOrders, []byte("h"))
		f.PollNow()
		synctest.Wait()
		restarts, payloads := r.read()
		c.Assert(restarts, qt.DeepEquals, []RestartReason{RestartFirst, RestartGap})
		c.Assert(payloads, qt.DeepEquals, []string{"h"})
		c.Assert(f.State().CaughtUp, qt.IsTrue)
		c.Assert(f.State().Oldest, qt.Equals, Offset(7))
	})
}

func TestFollowerRestartsAfterRewind(t *testing.T) {
	withFollower(t, func(c *qt.C, l *memoryLog, f *Follower, r *recorder) {
		l.update(func() { l.records = l.records[:1] })
		f.PollNow()
		synctest.Wait()
		restarts, payloads := r.read()
		c.Assert(restarts, qt.DeepEquals, []RestartReason{RestartFirst, RestartRewound})
		c.Assert(payloads, qt.DeepEquals, []string{"a"})
	})
}

func TestFollowerBacksOffWhileDown(t *testing.T) {
	withFollower(t, func(c *qt.C, l *memoryLog, f *Follower, _ *recorder) {
		l.update(func() { l.down = true })
		time.Sleep(time.Minute)
		c.Assert(errors.Is(f.State().Err, ErrUnavailable), qt.IsTrue)
		c.Assert(f.State().Fresh(time.Now(), 30*time.Second), qt.IsFalse)
		l.update(func() { l.down = false })
		time.Sleep(3 * time.Second)
		c.Assert(f.State().Fresh(time.Now(), time.Second), qt.IsTrue)
	})
}

func TestFollowerSkipsHole(t *testing.T) {
	withFollower(t, func(c *qt.C, l *memoryLog, f *Follower, r *recorder) {
		l.update(func() {
			for _, offset := range []Offset{3, 4, 6, 7} {
				l.records = append(l.records, Record{
					Offset:  offset,
					Payload: []byte{byte('0' + offset)},
				})
			}
		})
		time.Sleep(20 * time.Second)
		restarts, payloads := r.read()
		c.Assert(restarts, qt.DeepEquals, []RestartReason{RestartFirst, RestartGap})
		c.Assert(payloads, qt.DeepEquals, []string{"6", "7"})
		c.Assert(f.State().Err, qt.IsNil)
	})
}

// A page that takes longer than the timeout of a read must not be read again and again.
func TestFollowerRestartsPageOnSlowLink(t *testing.T) {
	const records, limit = 300, 256
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l := &memoryLog{timePerRecord: 20 * time.Millisecond}
		for range records {
			_, err := l.Append(t.Context(), "s", []byte("record"))
			c.Assert(err, qt.IsNil)
		}
		cfg := DefaultFollowerConfig()
		cfg.ReadLimit = limit
		handler := &recorder{}
		f := NewFollower(FollowerDeps{
			Log:     l,
			Stream:  "s",
			Handler: handler,
			Config:  cfg,
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = f.Run(ctx)
		}()
		time.Sleep(30 * time.Second)
		c.Check(f.State().Next, qt.Equals, Offset(records))
		cancel()
		<-done
	})
}
