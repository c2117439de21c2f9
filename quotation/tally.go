package quotation

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// historyLength bounds the changes that a counter remembers.
const historyLength = 64

// change is one step of a counter.
type change struct {
	at    time.Time
	delta int64
}

// counter is this instance's own part of a load. It remembers recent changes,
// so that a report that arrives late can be brought up to date.
type counter struct {
	value   atomic.Int64
	mu      sync.Mutex
	history [historyLength]change
	next    int
}

func (c *counter) add(delta int64, now time.Time) {
	c.value.Add(delta)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.history[c.next%historyLength] = change{
		at:    now,
		delta: delta,
	}
	c.next++
}

// at returns the value at a time in the recent past.
func (c *counter) at(when time.Time) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	value := c.value.Load()
	for _, step := range c.history {
		if step.at.After(when) {
			value -= step.delta
		}
	}
	return value
}

// told is the load that the other instances put on one engine.
type told struct {
	slots  int64
	tokens int64
	bytes  int64
	at     time.Time
}

// tally is what this instance has in progress on one engine.
type tally struct {
	// slots counts decode slots, tokens prompt tokens in prefill, and bytes
	// KV cache on the engine's link.
	slots  counter
	tokens counter
	// memory counts tokens set aside on the engine.
	memory counter
	bytes  atomic.Int64
	// delay is how much longer prefills took lately than expected.
	delay delay
	// others is what other instances have told of their load, nil before.
	others atomic.Pointer[told]
	// fullUntil and failedUntil are Unix times in nanoseconds before which the
	// engine gets no new request.
	fullUntil   atomic.Int64
	failedUntil atomic.Int64
}

// raise sets a time unless a later one is set.
func raise(value *atomic.Int64, until time.Time) {
	next := until.UnixNano()
	for {
		old := value.Load()
		if old >= next || value.CompareAndSwap(old, next) {
			return
		}
	}
}

const (
	// delayGain weighs the newest prefill in the delay of an engine.
	delayGain = 0.5
	// delayFade is the time in which a delay that isn't seen again fades by half;
	// queues of other instances' prompts last about as long.
	delayFade = 700 * time.Millisecond
)

// delay is how much longer prefills on one engine took lately than this
// instance's own queue explains: by the queues of other instances, which it
// can't see, or because the engine is slow.
type delay struct {
	mu    sync.Mutex
	value time.Duration
	seen  time.Time
}

// at returns the delay to expect at a time.
func (d *delay) at(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.atLocked(now)
}

func (d *delay) atLocked(now time.Time) time.Duration {
	if d.value == 0 {
		return 0
	}
	return time.Duration(float64(d.value) * math.Exp2(-now.Sub(d.seen).Seconds()/delayFade.Seconds()))
}

// observe takes in by how much a prefill took longer than expected.
func (d *delay) observe(extra time.Duration, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	before := d.atLocked(now)
	d.value = max(0, before+time.Duration(delayGain*float64(extra-before)))
	d.seen = now
}
