package ledger

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

type entryRecorder struct {
	mu    sync.Mutex
	items []string
}

func (r *entryRecorder) Restart(RestartReason, Offset) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.items = nil
}

func (r *entryRecorder) Apply(entries []Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, entry := range entries {
		r.items = append(r.items, string(entry.Item))
	}
}

func (r *entryRecorder) read() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.items...)
}

func withBatcher(t *testing.T, test func(c *qt.C, l *memoryLog, b *Batcher, r *entryRecorder)) {
	synctest.Test(t, func(t *testing.T) {
		l := &memoryLog{}
		r := &entryRecorder{}
		b := NewBatcher(BatcherDeps{
			Log:     l,
			Stream:  StreamOrders,
			Writer:  "entry-1",
			Handler: r,
			Config:  DefaultBatcherConfig(),
		})
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_ = b.Run(ctx)
		}()
		synctest.Wait()
		test(qt.New(t), l, b, r)
		cancel()
		<-ended
	})
}

func TestBatcherBatchesItems(t *testing.T) {
	withBatcher(t, func(c *qt.C, l *memoryLog, b *Batcher, r *entryRecorder) {
		var wg sync.WaitGroup
		for n := range 1000 {
			wg.Go(func() {
				_, err := b.Submit(c.Context(), fmt.Appendf(nil, "item-%d", n))
				c.Check(err, qt.IsNil)
			})
		}
		wg.Wait()
		c.Assert(r.read(), qt.HasLen, 1000)
		l.update(func() { c.Assert(l.appends <= 10, qt.IsTrue, qt.Commentf("%d appends", l.appends)) })
	})
}

func TestBatcherReadsBackAfterLostAnswer(t *testing.T) {
	withBatcher(t, func(c *qt.C, l *memoryLog, b *Batcher, r *entryRecorder) {
		l.update(func() { l.loseAnswer = true })
		_, err := b.Submit(c.Context(), []byte("a"))
		c.Assert(err, qt.IsNil)
		c.Assert(r.read(), qt.DeepEquals, []string{"a"})
		l.update(func() { c.Assert(l.appends, qt.Equals, 1) })
	})
}

func TestBatcherReturnsErrNotAppended(t *testing.T) {
	withBatcher(t, func(c *qt.C, l *memoryLog, b *Batcher, r *entryRecorder) {
		l.update(func() { l.down = true })
		_, err := b.Submit(c.Context(), []byte("a"))
		c.Assert(errors.Is(err, ErrNotAppended), qt.IsTrue)
		c.Assert(r.read(), qt.HasLen, 0)
	})
}

func TestBatcherReturnsErrUncertain(t *testing.T) {
	withBatcher(t, func(c *qt.C, _ *memoryLog, b *Batcher, _ *entryRecorder) {
		ctx, cancel := context.WithCancel(c.Context())
		cancel()
		_, err := b.Submit(ctx, []byte("a"))
		if err != nil {
			c.Assert(errors.Is(err, ErrUncertain), qt.IsTrue)
		}
	})
}

func TestRateLimiterSharesRate(t *testing.T) {
	c := qt.New(t)
	l := newRateLimiter(90)
	now := time.Now()
	for _, writer := range []string{"a", "b", "c"} {
		l.observeWriter(writer, now)
	}
	l.updateRate(now)
	c.Assert(float64(l.limiter.Limit()), qt.Equals, 30.0)
	l.slowDown()
	l.updateRate(now)
	c.Assert(float64(l.limiter.Limit()), qt.Equals, 15.0)
	l.speedUp()
	l.updateRate(now.Add(2 * activeWriterTTL))
	c.Assert(float64(l.limiter.Limit()), qt.Equals, 90*0.5*speedUpFactor)
}
