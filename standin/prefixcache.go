package standin

import (
	"container/list"
	"time"

	"github.com/balsamlock/balsamlock/kiln"
)

// maxEvents is the maximum number of events kept. Half of them are dropped when it
// is reached.
const maxEvents = 65536

// delayedEvent is a cache event that can be read from visibleAt on.
type delayedEvent struct {
	event     kiln.CacheEvent
	visibleAt time.Time
}

// prefixCache is an LRU cache of prefix blocks with a log of its changes. It is not
// safe for concurrent use.
type prefixCache struct {
	capacity int
	recency  *list.List
	blocks   map[uint64]*list.Element
	sequence uint64
	events   []delayedEvent
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{
		capacity: capacity,
		recency:  list.New(),
		blocks:   map[uint64]*list.Element{},
	}
}

// match returns the number of leading blocks that are cached and marks them as
// recently used.
func (c *prefixCache) match(blocks []uint64) int {
	for i, block := range blocks {
		element, ok := c.blocks[block]
		if !ok {
			return i
		}
		c.recency.MoveToFront(element)
	}
	return len(blocks)
}

// store adds the blocks and calls publish for each change. The first blocks become
// the most recently used ones, so that a prefix is evicted from its end.
func (c *prefixCache) store(blocks []uint64, publish func(kiln.CacheEventKind, uint64)) {
	for i := len(blocks) - 1; i >= 0; i-- {
		block := blocks[i]
		if element, ok := c.blocks[block]; ok {
			c.recency.MoveToFront(element)
			continue
		}
		c.blocks[block] = c.recency.PushFront(block)
		publish(kiln.CacheStored, block)
	}
	for c.recency.Len() > c.capacity {
		oldest := c.recency.Remove(c.recency.Back()).(uint64)
		delete(c.blocks, oldest)
		publish(kiln.CacheEvicted, oldest)
	}
}

// clear removes all blocks without publishing events.
func (c *prefixCache) clear() {
	c.recency.Init()
	clear(c.blocks)
}

// publish appends an event that can be read from the given time on. A lost event
// only uses up a sequence number.
func (c *prefixCache) publish(kind kiln.CacheEventKind, block uint64, visibleAt time.Time, lost bool) {
	c.sequence++
	if lost {
		return
	}
	if len(c.events) >= maxEvents {
		c.events = c.events[len(c.events)/2:]
	}
	c.events = append(c.events, delayedEvent{
		event: kiln.CacheEvent{
			Sequence: c.sequence,
			Kind:     kind,
			Block:    block,
		},
		visibleAt: visibleAt,
	})
}

// eventsAfter returns at most limit events that are visible at now and follow a
// sequence number. A delayed event holds back the events after it.
func (c *prefixCache) eventsAfter(sequence uint64, now time.Time, limit int) []kiln.CacheEvent {
	var events []kiln.CacheEvent
	for _, e := range c.events {
		if e.event.Sequence <= sequence {
			continue
		}
		if e.visibleAt.After(now) || len(events) == limit {
			break
		}
		events = append(events, e.event)
	}
	return events
}
