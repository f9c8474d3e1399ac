package dispatch

// memo caches values of a backend server that are needed many times within one event.
// It is valid within one call of an exported method of Core and until the backend
// server changes. Without it, each request of a long queue would compute them anew for
// all engines.
type memo struct {
	eventSeq  uint64
	usable    bool
	reason    string  // why the backend server is not usable
	work      float64 // workAhead
	free      uint64  // freeMemory
	slots     int     // slotLimit
	openCount int     // outstanding
	holdsLong bool
}

// memorySizes holds the memory of the largest engine and of the largest group for one
// model, in tokens.
type memorySizes struct{ single, group uint64 }

// touch invalidates the memo of a backend server and the memory sizes of its pool. It
// must be called after each change that they depend on.
func (b *backend) touch() {
	b.memo.eventSeq = 0
	b.pool.memorySizesSeq = 0
}

// memoOf returns the memo of a backend server, and computes it if it is not valid.
func (c *Core) memoOf(b *backend) *memo {
	m := &b.memo
	if m.eventSeq == c.eventSeq {
		return m
	}
	m.eventSeq = c.eventSeq
	m.usable, m.reason = c.checkUsable(b)
	m.openCount = len(b.open) + c.foreignOpen(b)
	m.slots = c.computeSlotLimit(b)
	m.work, m.free, m.holdsLong = 0, 0, false
	if !b.isPlain() {
		m.work = c.computeWorkAhead(b)
		m.free = c.computeFreeMemory(b)
		m.holdsLong = c.computeHoldsLong(b)
	}
	return m
}

// usable reports whether a backend server may be granted now and, if not, the reason.
func (c *Core) usable(b *backend) (bool, string) {
	if b.last == nil {
		return false, "never announced"
	}
	m := c.memoOf(b)
	return m.usable, m.reason
}

// outstanding returns the number of requests that a backend server may hold: the open
// dispatches and the foreign requests.
func (c *Core) outstanding(b *backend) int { return c.memoOf(b).openCount }

// slotLimit returns the limit of concurrent requests on a backend server, which is its
// cold budget while it is cold.
func (c *Core) slotLimit(b *backend) int { return c.memoOf(b).slots }

// workAhead returns the outstanding prefill work on a backend server, in tokens.
func (c *Core) workAhead(b *backend) float64 { return c.memoOf(b).work }

// freeMemory returns the memory of a backend server that can still be reserved, in
// tokens.
func (c *Core) freeMemory(b *backend) uint64 { return c.memoOf(b).free }

// holdsLong reports whether a long prefill is outstanding on a backend server.
func (c *Core) holdsLong(b *backend) bool { return c.memoOf(b).holdsLong }

// largestMemory returns the memory of the largest usable engine for a model and
// the memory of the largest group, in tokens.
func (c *Core) largestMemory(p *pool, model string) (single, group uint64) {
	if p.memorySizesSeq != c.eventSeq {
		p.memorySizesSeq, p.memorySizes = c.eventSeq, map[string]memorySizes{}
	}
	s, known := p.memorySizes[model]
	if !known {
		s.single, s.group = c.computeLargestMemory(p, model)
		p.memorySizes[model] = s
	}
	return s.single, s.group
}
