package quotation

import (
	"sync"

	"github.com/balsamlock/balsamlock/kiln"
)

const (
	prefixShards = 64
	// maxHoldersPerBlock limits the engines that are recorded for one block.
	maxHoldersPerBlock = 8
)

// prefixIndex maps prefix blocks to the engines that probably cache them. It is only
// a hint, because cache events arrive late and some are lost.
type prefixIndex struct {
	shards [prefixShards]prefixShard
	limit  int
}

// prefixShard holds two generations of entries. When the young one is full, it
// replaces the old one, whose entries are evicted.
type prefixShard struct {
	mu    sync.RWMutex
	young map[uint64][]string
	old   map[uint64][]string
}

func newPrefixIndex(limit int) *prefixIndex {
	index := &prefixIndex{limit: max(1, limit/prefixShards/2)}
	for i := range index.shards {
		index.shards[i].young = map[uint64][]string{}
	}
	return index
}

func (p *prefixIndex) shard(block uint64) *prefixShard {
	return &p.shards[block%prefixShards]
}

// holders returns the addresses of the engines that cache a block. The result
// is immutable.
func (p *prefixIndex) holders(block uint64) []string {
	s := p.shard(block)
	s.mu.RLock()
	defer s.mu.RUnlock()
	if found := s.young[block]; found != nil {
		return found
	}
	return s.old[block]
}

func (p *prefixIndex) store(block uint64, address string) {
	s := p.shard(block)
	s.mu.Lock()
	defer s.mu.Unlock()
	found := s.young[block]
	if found == nil {
		found = s.old[block]
	}
	if len(s.young) >= p.limit {
		s.old = s.young
		s.young = map[uint64][]string{}
	}
	s.young[block] = withHolder(found, address)
}

func (p *prefixIndex) evict(block uint64, address string) {
	s := p.shard(block)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, generation := range []map[uint64][]string{s.young, s.old} {
		if found, ok := generation[block]; ok {
			generation[block] = withoutHolder(found, address)
		}
	}
}

func (p *prefixIndex) clear(address string) {
	for i := range p.shards {
		s := &p.shards[i]
		s.mu.Lock()
		for _, generation := range []map[uint64][]string{s.young, s.old} {
			for block, found := range generation {
				generation[block] = withoutHolder(found, address)
			}
		}
		s.mu.Unlock()
	}
}

func (p *prefixIndex) apply(address string, event kiln.CacheEvent) {
	switch event.Kind {
	case kiln.CacheStored:
		p.store(event.Block, address)
	case kiln.CacheEvicted:
		p.evict(event.Block, address)
	case kiln.CacheCleared:
		p.clear(address)
	}
}

// match returns the engines that cache the longest known prefix, and its length in
// blocks. It uses binary search, because an engine that caches a block caches all
// blocks before it.
func (p *prefixIndex) match(blocks []uint64) (holders []string, length int) {
	low, high := 0, len(blocks)
	for low < high {
		mid := (low + high + 1) / 2
		found := p.holders(blocks[mid-1])
		if len(found) == 0 {
			high = mid - 1
			continue
		}
		holders = found
		low = mid
	}
	return holders, low
}

func withHolder(holders []string, address string) []string {
	kept := make([]string, 0, len(holders)+1)
	kept = append(kept, address)
	for _, holder := range holders {
		if holder != address && len(kept) < maxHoldersPerBlock {
			kept = append(kept, holder)
		}
	}
	return kept
}

func withoutHolder(holders []string, address string) []string {
	kept := make([]string, 0, len(holders))
	for _, holder := range holders {
		if holder != address {
			kept = append(kept, holder)
		}
	}
	return kept
}
