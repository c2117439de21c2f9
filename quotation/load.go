package quotation

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// maxChanges limits the changes in a counter's history.
const maxChanges = 64

// change is one step of a counter.
type change struct {
	at    time.Time
	delta int64
}

// counter is this instance's share of a load. It keeps a history of recent
// changes, so that this share can be subtracted from an engine's delayed report.
type counter struct {
	value   atomic.Int64
	mu      sync.Mutex
	history [maxChanges]change
	next    int
}

func (c *counter) add(delta int64, now time.Time) {
	c.value.Add(delta)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.history[c.next%maxChanges] = change{
		at:    now,
		delta: delta,
	}
	c.next++
}

// at returns the value at a time that the history still covers.
func (c *counter) at(when time.Time) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	value := c.value.Load()
	for i := range c.history {
		step := &c.history[i]
		if step.at.After(when) {
			value -= step.delta
		}
	}
	return value
}

// remoteUsage is the load that the other instances put on one engine.
type remoteUsage struct {
	slots  int64
	tokens int64
	bytes  int64
	at     time.Time
}

// engineLoad is the load that this instance puts on one engine.
type engineLoad struct {
	// slots counts decode slots, prefillTokens prompt tokens in prefill, and
	// linkBytes KV cache in transfer on the engine's link.
	slots         counter
	prefillTokens counter
	// reservedTokens is the memory reserved on the engine, in tokens.
	reservedTokens counter
	linkBytes      atomic.Int64
	// delay is by how much recent prefills took longer than expected.
	delay prefillDelay
	// remote is the last load that other instances sent; nil if none was received.
	remote atomic.Pointer[remoteUsage]
	// The engine isn't chosen for decode before fullUntil, nor for prefill or decode
	// before failedUntil. Both are Unix times in nanoseconds.
	fullUntil   atomic.Int64
	failedUntil atomic.Int64
}

// storeMax sets value to until unless it holds a later time.
func storeMax(value *atomic.Int64, until time.Time) {
	next := until.UnixNano()
	for {
		old := value.Load()
		if old >= next || value.CompareAndSwap(old, next) {
			return
		}
	}
}

const (
	// delayGain is the weight of the latest prefill in an engine's delay.
	delayGain = 0.5
	// delayHalfLife is the half-life of a delay without new observations. Queues of
	// other instances' prompts last about as long.
	delayHalfLife = 700 * time.Millisecond
)

// prefillDelay tracks by how much recent prefills on one engine took longer than
// this instance's own queue explains. The cause is either the queue of other
// instances' prompts, which this instance can't see, or a slow engine.
type prefillDelay struct {
	mu         sync.Mutex
	value      time.Duration
	observedAt time.Time
}

// at returns the expected delay at now.
func (d *prefillDelay) at(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.atLocked(now)
}

func (d *prefillDelay) atLocked(now time.Time) time.Duration {
	if d.value == 0 {
		return 0
	}
	return time.Duration(float64(d.value) * math.Exp2(-now.Sub(d.observedAt).Seconds()/delayHalfLife.Seconds()))
}

// observe records by how much a prefill took longer than expected.
func (d *prefillDelay) observe(extra time.Duration, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	previous := d.atLocked(now)
	d.value = max(0, previous+time.Duration(delayGain*float64(extra-previous)))
	d.observedAt = now
}
