package dispatch

// memo keeps values of a backend server that one event needs many times. It is
// valid within one call of a method of Core and until the backend server changes:
// without it, each request of a long queue computes them anew for all engines.
type memo struct {
	event     uint64
	usable    bool
	why       string
	work      float64
	free      uint64
	slots     int // limit of requests at once
	used      int
	holdsLong bool
}

// sizes keeps the memory of the largest engine and group by model.
type sizes struct{ single, group uint64 }

// touch makes the memo of a backend server invalid.
func (b *backend) touch() {
	b.memo.event = 0
	b.pool.sizesEvent = 0
}

// memoOf returns the values of a backend server at this event.
func (c *Core) memoOf(b *backend) *memo {
	m := &b.memo
	if m.event == c.event {
		return m
	}
	m.event = c.event
	m.usable, m.why = c.checkUsable(b)
	m.used = len(b.open) + c.foreignOpen(b)
	m.slots = c.limitSlots(b)
	m.work, m.free, m.holdsLong = 0, 0, false
	if !b.plain() {
		m.work = c.estimateWork(b)
		m.free = c.countFree(b)
		m.holdsLong = c.findLong(b)
	}
	return m
}

// usable tells whether a backend server may be granted now, and why not.
func (c *Core) usable(b *backend) (bool, string) {
	if b.last == nil {
		return false, "never announced"
	}
	m := c.memoOf(b)
	return m.usable, m.why
}

// outstanding counts all requests that a backend server may hold.
func (c *Core) outstanding(b *backend) int { return c.memoOf(b).used }

// slotLimit returns how many requests a backend server may hold at once.
func (c *Core) slotLimit(b *backend) int { return c.memoOf(b).slots }

// workAhead returns the prefill tokens outstanding on a backend server.
func (c *Core) workAhead(b *backend) float64 { return c.memoOf(b).work }

// freeMemory returns the memory that can be reserved, in tokens.
func (c *Core) freeMemory(b *backend) uint64 { return c.memoOf(b).free }

// holdsLong tells whether a long prefill is outstanding on a backend server.
func (c *Core) holdsLong(b *backend) bool { return c.memoOf(b).holdsLong }

// largestMemory returns the memory of the largest live engine for a model and
// the memory of the largest group, in tokens.
func (c *Core) largestMemory(p *pool, model string) (single, group uint64) {
	if p.sizesEvent != c.event {
		p.sizesEvent, p.sizes = c.event, map[string]sizes{}
	}
	s, known := p.sizes[model]
	if !known {
		s.single, s.group = c.measureMemory(p, model)
		p.sizes[model] = s
	}
	return s.single, s.group
}
