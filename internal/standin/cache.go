package standin

import (
	"container/list"

	"bilberryhub/internal/announce"
	"bilberryhub/internal/openai"
)

// block is one block of the prefix cache. A block with references is pinned; an
// idle one, without references, stays in the LRU list until its memory is needed.
// idle is its element of that list, or nil while it is pinned.
type block struct {
	hash uint64
	refs int
	idle *list.Element
}

// kvCache accounts for the KV memory of one engine, in tokens: private tokens of
// requests, pinned blocks, and idle blocks that can be evicted. It is not safe for
// concurrent use.
type kvCache struct {
	capacityTokens int
	privateTokens  int
	blocks         map[uint64]*block
	// idle is the LRU list of *block; the block to evict next is at its front.
	idle *list.List
	// events are those since the last takeEvents, and seq numbers them.
	events []announce.CacheEvent
	seq    uint64
}

// newKVCache returns an empty cache.
func newKVCache(capacityTokens int) *kvCache {
	return &kvCache{capacityTokens: capacityTokens, blocks: map[uint64]*block{}, idle: list.New()}
}

// maxCacheEvents limits the events kept until the next announcement. The oldest
// ones are dropped, which receivers see as a gap in the sequence numbers.
const maxCacheEvents = 4096

// recordEvent adds an event for the load report.
func (c *kvCache) recordEvent(hash uint64, evicted bool) {
	c.seq++
	c.events = append(c.events, announce.CacheEvent{Sequence: c.seq, Hash: hash, Evicted: evicted})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

// takeEvents returns the events since the last call.
func (c *kvCache) takeEvents() []announce.CacheEvent {
	e := c.events
	c.events = nil
	return e
}

// reserved returns the number of tokens that cannot be evicted.
func (c *kvCache) reserved() int {
	return c.privateTokens + (len(c.blocks)-c.idle.Len())*openai.BlockTokens
}

// match returns the number of leading blocks of hashes that are cached.
func (c *kvCache) match(hashes []uint64) int {
	for i, h := range hashes {
		if c.blocks[h] == nil {
			return i
		}
	}
	return len(hashes)
}

// pin adds a reference to each block; all of them must be cached.
func (c *kvCache) pin(hashes []uint64) {
	for _, h := range hashes {
		b := c.blocks[h]
		b.refs++
		if b.idle != nil {
			c.idle.Remove(b.idle)
			b.idle = nil
		}
	}
}

// unpin removes a reference from each block. Blocks that become idle enter the LRU
// list in reverse order, so that later blocks are evicted before earlier ones: a
// prefix is useless without its start.
func (c *kvCache) unpin(hashes []uint64) {
	for i := len(hashes) - 1; i >= 0; i-- {
		b := c.blocks[hashes[i]]
		if b.refs--; b.refs == 0 {
			b.idle = c.idle.PushBack(b)
		}
	}
}

// allocate reserves private tokens and evicts idle blocks if needed. It reports
// whether there was enough memory; otherwise nothing is changed.
func (c *kvCache) allocate(tokens int) bool {
	if c.reserved()+tokens > c.capacityTokens {
		return false
	}
	for c.privateTokens+len(c.blocks)*openai.BlockTokens+tokens > c.capacityTokens {
		b := c.idle.Remove(c.idle.Front()).(*block)
		delete(c.blocks, b.hash)
		c.recordEvent(b.hash, true)
	}
	c.privateTokens += tokens
	return true
}

// free releases private tokens.
func (c *kvCache) free(tokens int) { c.privateTokens -= tokens }

// store converts the private tokens that hold the given full blocks into pinned
// blocks, which other requests can share.
func (c *kvCache) store(hashes []uint64) {
	for _, h := range hashes {
		c.privateTokens -= openai.BlockTokens
		if b := c.blocks[h]; b != nil {
			// Another request has stored the same block in the meantime.
			c.pin([]uint64{h})
			continue
		}
		c.blocks[h] = &block{hash: h, refs: 1}
		c.recordEvent(h, false)
	}
}
