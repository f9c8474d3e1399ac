package standin

import (
	"container/list"

	"bilberryhub/internal/announce"
	"bilberryhub/internal/openai"
)

// block is one block of the prefix cache. A block with references is pinned;
// one without is kept in the LRU list until its memory is needed.
type block struct {
	hash uint64
	refs int
	idle *list.Element
}

// cache is the KV memory of one engine in tokens: private tokens of requests,
// pinned blocks, and idle blocks that can be evicted.
type cache struct {
	capacity int
	private  int
	blocks   map[uint64]*block
	// idle has the block to evict next at its front.
	idle   *list.List
	events []announce.CacheEvent
	seq    uint64
}

func newCache(capacity int) *cache {
	return &cache{capacity: capacity, blocks: map[uint64]*block{}, idle: list.New()}
}

// maxEvents bounds the events kept between two reports. Receivers see the
// events dropped beyond it as a gap.
const maxEvents = 4096

func (c *cache) event(hash uint64, evicted bool) {
	c.seq++
	c.events = append(c.events, announce.CacheEvent{Sequence: c.seq, Hash: hash, Evicted: evicted})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}

// takeEvents returns the events since the last call.
func (c *cache) takeEvents() []announce.CacheEvent {
	e := c.events
	c.events = nil
	return e
}

// reserved returns the tokens that cannot be evicted.
func (c *cache) reserved() int {
	return c.private + (len(c.blocks)-c.idle.Len())*openai.BlockTokens
}

// match returns how many leading blocks of hashes are cached.
func (c *cache) match(hashes []uint64) int {
	for i, h := range hashes {
		if c.blocks[h] == nil {
			return i
		}
	}
	return len(hashes)
}

// pin adds a reference to each of the cached blocks.
func (c *cache) pin(hashes []uint64) {
	for _, h := range hashes {
		b := c.blocks[h]
		b.refs++
		if b.idle != nil {
			c.idle.Remove(b.idle)
			b.idle = nil
		}
	}
}

// unpin drops a reference from each block. Later blocks are evicted before
// earlier ones, because a prefix is useless without its start.
func (c *cache) unpin(hashes []uint64) {
	for i := len(hashes) - 1; i >= 0; i-- {
		b := c.blocks[hashes[i]]
		if b.refs--; b.refs == 0 {
			b.idle = c.idle.PushBack(b)
		}
	}
}

// allocate reserves private tokens, evicting idle blocks if needed. It reports
// whether there was room.
func (c *cache) allocate(tokens int) bool {
	if c.reserved()+tokens > c.capacity {
		return false
	}
	for c.private+len(c.blocks)*openai.BlockTokens+tokens > c.capacity {
		b := c.idle.Remove(c.idle.Front()).(*block)
		delete(c.blocks, b.hash)
		c.event(b.hash, true)
	}
	c.private += tokens
	return true
}

func (c *cache) free(tokens int) { c.private -= tokens }

// store turns private tokens that hold the given full blocks into pinned
// blocks.
func (c *cache) store(hashes []uint64) {
	for _, h := range hashes {
		c.private -= openai.BlockTokens
		if b := c.blocks[h]; b != nil {
			// Another request has computed the same block meanwhile.
			c.pin([]uint64{h})
			continue
		}
		c.blocks[h] = &block{hash: h, refs: 1}
		c.event(h, false)
	}
}
