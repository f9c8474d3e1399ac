package dispatch

import "bilberryhub/internal/invariant"

// checkGrant checks the invariants of each member of a new grant: its memory and its
// limit of concurrent requests are not exceeded.
func (c *Core) checkGrant(d *dispatch, m member) {
	b := m.backend
	invariant.Report(b.isPlain() || b.reserved <= b.last.MemoryTokens, "memory_reserved",
		"%s holds %d of %d tokens after dispatch %s", b.id, b.reserved, b.last.MemoryTokens, d.id)
	limit := c.slotLimit(b)
	invariant.Report(c.outstanding(b) <= limit, "cold_limit",
		"%s holds %d requests, budget %d, after dispatch %s", b.id, c.outstanding(b), limit, d.id)
}

// checkInvariants checks that the tables agree with each other: the counters of queues
// and backend servers match the dispatches.
func (c *Core) checkInvariants() {
	sums := map[*backend]uint64{}
	counts := map[*backend]int{}
	for _, d := range c.dispatches {
		if d.state == stateQueued {
			invariant.Report(len(d.members) == 0, "queued_holds", "queued dispatch %s holds %d members", d.id, len(d.members))
			continue
		}
		for _, m := range d.members {
			sums[m.backend] += m.reserved
			counts[m.backend]++
		}
	}
	for _, p := range c.sortedPools {
		queued := 0
		for _, f := range p.queue.flows {
			queued += len(f.items)
		}
		invariant.Report(queued == p.queue.size, "queue_size", "%s/%s queues %d requests, counted %d", p.key.domain, p.key.service, queued, p.queue.size)
		for _, b := range p.sortedBackends {
			invariant.Report(b.reserved == sums[b], "reservations", "%s reserves %d tokens, its dispatches hold %d", b.id, b.reserved, sums[b])
			invariant.Report(len(b.open) == counts[b], "open_dispatches", "%s has %d open dispatches, counted %d", b.id, len(b.open), counts[b])
		}
	}
}
