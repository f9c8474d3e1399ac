package dispatch

import (
	"cmp"
	"slices"
)

// measureMemory computes largestMemory.
func (c *Core) measureMemory(p *pool, model string) (single, group uint64) {
	var sizes []uint64
	for _, b := range p.order {
		if ok, _ := c.usable(b); ok && !b.plain() && b.serves(model) {
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

// needsGroup tells whether no single engine of the pool has the memory for a request.
func (c *Core) needsGroup(p *pool, d *dispatch) bool {
	single, _ := c.largestMemory(p, d.req.Model)
	return single > 0 && d.tokens() > single
}

// groupCandidates returns the engines for a group: the long engines first, then
// those with the most free memory, so that few short requests are displaced.
func (c *Core) groupCandidates(d *dispatch, allowed func(*backend) bool) []*backend {
	var out []*backend
	for _, b := range d.pool.order {
		if !b.plain() && allowed(b) {
			out = append(out, b)
		}
	}
	long := d.pool.class.engines
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

// placeGroup reserves a prompt on several engines, all of them or none: two
// large prompts that each held half of what they need would block each other.
func (c *Core) placeGroup(d *dispatch, held map[*backend]*dispatch) []member {
	need := d.tokens()
	var engines []*backend
	var free uint64
	for _, b := range c.groupCandidates(d, func(b *backend) bool { return c.candidate(b, d) }) {
		if by := held[b]; by != nil && by != d {
			continue
		}
		if m := c.freeMemory(b); m > 0 && free < need && len(engines) < c.cfg.MaxGroup {
			engines = append(engines, b)
			free += m
		}
	}
	if len(engines) == 0 || (free < need && !c.off.allOr) {
		return nil
	}
	return c.split(d, engines, free)
}

// split divides a request over engines in proportion to their free memory. The
// output stays with the last members.
func (c *Core) split(d *dispatch, engines []*backend, free uint64) []member {
	members := make([]member, 0, len(engines))
	need, prompt := d.tokens(), d.req.PromptTokens
	for i, b := range engines {
		m := c.freeMemory(b)
		// Rounded up, so that the rest fits into the remaining engines.
		reserved := min(need, m, uint64(float64(d.tokens())*(float64(m)/float64(free)))+1)
		if i == len(engines)-1 {
			reserved = min(need, m)
		}
		part := min(prompt, reserved)
		need -= reserved
		prompt -= part
		members = append(members, member{backend: b, boot: b.boot, reserved: reserved, part: part, prefill: float64(part)})
	}
	return members
}

// holdsEnough tells whether the held engines could take a request when empty.
func (c *Core) holdsEnough(d *dispatch) bool {
	var sum uint64
	for _, b := range d.holdTargets {
		sum += b.last.MemoryTokens
	}
	return len(d.holdTargets) > 0 && sum >= d.tokens()
}

// chooseHold chooses the engines that are kept free for a request: those with the
// most free memory, as they will have room soonest.
func (c *Core) chooseHold(d *dispatch, held map[*backend]*dispatch) []*backend {
	group := c.needsGroup(d.pool, d)
	all := c.groupCandidates(d, func(b *backend) bool {
		ok, _ := c.usable(b)
		return ok && held[b] == nil && b.serves(d.req.Model) && !excludes(d, b) && (group || c.lengthAllows(b, d))
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
