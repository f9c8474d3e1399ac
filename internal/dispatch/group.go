package dispatch

import (
	"cmp"
	"slices"
)

// computeLargestMemory computes largestMemory.
func (c *Core) computeLargestMemory(p *pool, model string) (single, group uint64) {
	var sizes []uint64
	for _, b := range p.sortedBackends {
		if ok, _ := c.usable(b); ok && !b.isPlain() && b.serves(model) {
			sizes = append(sizes, b.last.MemoryTokens)
		}
	}
	slices.SortFunc(sizes, func(x, y uint64) int { return cmp.Compare(y, x) })
	for i, s := range sizes {
		if i < c.cfg.MaxGroup {
			group += s
		}
	}
	if len(sizes) > 0 {
		single = sizes[0]
	}
	return single, group
}

// needsGroup reports whether no single engine of the pool has the memory for a request.
func (c *Core) needsGroup(p *pool, d *dispatch) bool {
	single, _ := c.largestMemory(p, d.req.Model)
	return single > 0 && d.tokens() > single
}

// groupCandidates returns the allowed engines in the order in which a group takes
// them: long engines first, then by decreasing free memory, so that few short requests
// are displaced.
func (c *Core) groupCandidates(d *dispatch, allowed func(*backend) bool) []*backend {
	var out []*backend
	for _, b := range d.pool.sortedBackends {
		if !b.isPlain() && allowed(b) {
			out = append(out, b)
		}
	}
	long := d.pool.classes.engines
	slices.SortStableFunc(out, func(x, y *backend) int {
		if long[x] != long[y] {
			if long[x] {
				return -1
			}
			return 1
		}
		return cmp.Compare(c.freeMemory(y), c.freeMemory(x))
	})
	return out
}

// placeGroup chooses several engines for a request, with all the memory it needs or
// none: two large requests that each held half of what they need would deadlock.
func (c *Core) placeGroup(d *dispatch, heldBy map[*backend]*dispatch) []member {
	need := d.tokens()
	var engines []*backend
	var free uint64
	for _, b := range c.groupCandidates(d, func(b *backend) bool { return c.isCandidate(b, d) }) {
		if holder := heldBy[b]; holder != nil && holder != d {
			continue
		}
		if m := c.freeMemory(b); m > 0 && free < need && len(engines) < c.cfg.MaxGroup {
			engines = append(engines, b)
			free += m
		}
	}
	if len(engines) == 0 || (free < need && !c.disabled.atomicGroups) {
		return nil
	}
	return c.splitGroup(d, engines, free)
}

// splitGroup divides a request over engines in proportion to their free memory, whose
// sum is free. The memory for the output is reserved on the last members.
func (c *Core) splitGroup(d *dispatch, engines []*backend, free uint64) []member {
	members := make([]member, 0, len(engines))
	memoryLeft, promptLeft := d.tokens(), d.req.PromptTokens
	for i, b := range engines {
		m := c.freeMemory(b)
		// Rounded up, so that the remainder fits into the remaining engines.
		reserved := min(memoryLeft, m, uint64(float64(d.tokens())*(float64(m)/float64(free)))+1)
		if i == len(engines)-1 {
			reserved = min(memoryLeft, m)
		}
		promptTokens := min(promptLeft, reserved)
		memoryLeft -= reserved
		promptLeft -= promptTokens
		members = append(members, member{backend: b, boot: b.boot, reserved: reserved, promptTokens: promptTokens, prefillTokens: float64(promptTokens)})
	}
	return members
}

// holdsEnough reports whether the engines held for a request have enough memory for it
// when they are empty.
func (c *Core) holdsEnough(d *dispatch) bool {
	var sum uint64
	for _, b := range d.holdTargets {
		sum += b.last.MemoryTokens
	}
	return len(d.holdTargets) > 0 && sum >= d.tokens()
}

// chooseHold returns the engines to keep free for a request: long ones first, then
// those with the most free memory, as they will have room soonest. It returns nil if
// they don't have enough memory in total.
func (c *Core) chooseHold(d *dispatch, heldBy map[*backend]*dispatch) []*backend {
	group := c.needsGroup(d.pool, d)
	all := c.groupCandidates(d, func(b *backend) bool {
		ok, _ := c.usable(b)
		return ok && heldBy[b] == nil && b.serves(d.req.Model) && !isExcluded(d, b) && (group || c.lengthAllows(b, d))
	})
	var out []*backend
	var sum uint64
	for _, b := range all {
		switch {
		case group && len(out) < c.cfg.MaxGroup && sum < d.tokens():
			out = append(out, b)
			sum += b.last.MemoryTokens
		case !group && len(out) == 0 && b.last.MemoryTokens >= d.tokens() && c.freeMemory(b) < d.tokens():
			out = append(out, b)
			sum += b.last.MemoryTokens
		}
	}
	if sum < d.tokens() {
		return nil
	}
	return out
}
