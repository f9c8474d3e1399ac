package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"bilberryhub/internal/suspicion"
	"bilberryhub/internal/wirepb"
)

// missingLists is how many lists of open requests in a row must leave out a
// dispatch before it is freed. One list may have crossed with the grant.
const missingLists = 2

// sortedOpen returns the dispatches on a backend server in order of arrival.
func sortedOpen(b *backend) []*dispatch {
	return slices.SortedFunc(maps.Values(b.open), func(x, y *dispatch) int { return cmp.Compare(x.arrival, y.arrival) })
}

// sorted returns all dispatches in order of arrival.
func (c *Core) sorted() []*dispatch {
	return slices.SortedFunc(maps.Values(c.dispatches), func(x, y *dispatch) int { return cmp.Compare(x.arrival, y.arrival) })
}

// hold reserves what a placement needs, on all members at once.
func (c *Core) hold(d *dispatch, members []member) {
	d.members = members
	for i, m := range members {
		b := m.backend
		b.reserved += m.reserved
		b.open[d.id] = d
		b.foreignStale = true
		// The members of a group prefill one after the other. Until its turn a
		// member has memory reserved and no work, so it can serve short requests.
		if d.state < statePrefilled && i == 0 {
			b.pending = append(b.pending, d)
		}
		b.touch()
	}
	c.track(d)
}

// free returns everything that a dispatch holds. finished tells that the backend
// servers have nothing of it left.
func (c *Core) free(d *dispatch, finished bool) {
	if d.state == stateQueued {
		d.pool.queue.remove(d)
	} else {
		d.pool.queue.account(d.req.Account).running--
		c.untrack(d)
	}
	for _, m := range d.members {
		b := m.backend
		if b.open[d.id] != d {
			continue
		}
		b.reserved -= m.reserved
		delete(b.open, d.id)
		b.dropPending(d)
		b.foreignStale = true
		if !finished && m.boot == b.boot {
			b.linger[d.id] = c.now
		}
		b.touch()
	}
	delete(c.dispatches, d.id)
	e := endedDispatch{at: c.now, finished: finished}
	if d.state >= stateStarted && (d.lost || !finished) {
		e.interrupted = d
	}
	c.ended[d.id] = e
}

func (b *backend) dropPending(d *dispatch) {
	b.pending = slices.DeleteFunc(b.pending, func(x *dispatch) bool { return x == d })
}

// expireDispatches frees grants whose permit ran out and dispatches past their
// deadline. A granted dispatch is kept one tick past the deadline, for the report
// of its end.
func (c *Core) expireDispatches() {
	if c.off.expiry {
		return
	}
	for _, d := range c.sorted() {
		switch {
		case d.state == stateQueued:
		case d.state == stateGranted && c.now >= d.grantedAt+PermitLifetime:
			c.free(d, false)
			c.ended[d.id] = endedDispatch{at: c.now, expired: d}
		case d.state != stateGranted && c.now > d.end && d.overdue:
			c.free(d, false)
		case c.now > d.end:
			d.overdue = true
		}
	}
}

func (c *Core) expireEnded() {
	for id, e := range c.ended {
		if c.now > e.at+endedMemory {
			delete(c.ended, id)
		}
	}
}

// Cancel withdraws a request. A queued or unstarted one is freed; a started one
// ends by Progress, because the backend server may still run it.
func (c *Core) Cancel(now time.Duration, m *wirepb.CancelReserve) {
	c.advance(now)
	d := c.dispatches[m.DispatchId]
	switch {
	case d == nil:
		// The Reserve may still be on its way.
		if _, ok := c.ended[m.DispatchId]; !ok {
			c.ended[m.DispatchId] = endedDispatch{at: c.now, finished: true}
		}
	case d.state <= stateGranted:
		c.free(d, true)
		c.drainQueue(d.pool)
	}
}

// Progress takes one step of a granted dispatch.
func (c *Core) Progress(now time.Duration, m *wirepb.Progress) {
	c.advance(now)
	d := c.dispatches[m.DispatchId]
	if d == nil {
		if m.Step == wirepb.Progress_STEP_STARTED || m.Step == wirepb.Progress_STEP_FIRST_TOKEN {
			d = c.readopt(m.DispatchId)
		}
		if d == nil {
			return
		}
	}
	if d.state == stateQueued {
		return
	}
	switch m.Step {
	case wirepb.Progress_STEP_STARTED:
		c.markStarted(d)
		c.startMember(d, m.Backend)
	case wirepb.Progress_STEP_FIRST_TOKEN:
		c.markStarted(d)
		c.firstToken(d, time.Duration(m.ElapsedMs)*time.Millisecond)
	case wirepb.Progress_STEP_DONE:
		c.done(d, m)
	case wirepb.Progress_STEP_CRASHED:
		c.crashed(d, m)
	case wirepb.Progress_STEP_NOT_SENT, wirepb.Progress_STEP_REFUSED:
		c.free(d, true)
	case wirepb.Progress_STEP_BROKEN, wirepb.Progress_STEP_CANCELLED:
		// The backend server may run it on until it notices; its report tells.
		c.free(d, false)
	default:
		return
	}
	c.drainQueue(d.pool)
}

// readopt holds a dispatch again whose start was reported after its permit had
// been freed: the request runs, whatever the reservation said.
func (c *Core) readopt(id string) *dispatch {
	d := c.ended[id].expired
	if d == nil {
		return nil
	}
	for _, m := range d.members {
		if m.backend.boot != m.boot || d.pool.backends[m.backend.id] != m.backend {
			return nil
		}
	}
	delete(c.ended, id)
	for _, m := range d.members {
		delete(m.backend.linger, id)
	}
	c.dispatches[id] = d
	d.pool.queue.account(d.req.Account).running++
	c.hold(d, d.members)
	c.markStarted(d)
	return d
}

// startMember moves the prefill work of a group to the member that begins.
func (c *Core) startMember(d *dispatch, id string) {
	if len(d.members) < 2 || d.state != stateStarted {
		return
	}
	for i := range d.members {
		m := &d.members[i]
		m.backend.dropPending(d)
		if m.backend.id == id && m.boot == m.backend.boot {
			m.from = c.now
			m.backend.pending = append(m.backend.pending, d)
		}
		m.backend.touch()
	}
}

func (c *Core) markStarted(d *dispatch) {
	if d.state == stateGranted {
		d.state, d.startedAt = stateStarted, c.now
	}
}

// crashed takes the report of a crash. It counts at once: the broadcast of the same
// crash may arrive after a next copy of the request would have been granted.
func (c *Core) crashed(d *dispatch, m *wirepb.Progress) {
	c.suspects.Crashed(c.now, string(d.req.Fingerprint), suspicion.Crash{Backend: m.Backend, Boot: m.Boot}, d.sole)
	for _, mb := range d.members {
		if mb.backend.id == m.Backend && mb.backend.boot == m.Boot {
			mb.backend.down, mb.backend.downAt = true, c.now
			mb.backend.touch()
			c.assignLong(d.pool, c.engines(d.pool))
		}
	}
	c.free(d, false) // other members of a group may still run it
}

// EntryLost tells that an entry process is gone, with all incarnations up to the
// given one. Its queued requests are dropped; its grants end by permit expiry, by
// a report that no longer lists them, or at the deadline.
func (c *Core) EntryLost(now time.Duration, entry string, incarnation uint64) {
	c.advance(now)
	for _, d := range c.sorted() {
		if d.req.Entry != entry || d.req.EntryIncarnation > incarnation {
			continue
		}
		if d.state == stateQueued {
			c.free(d, true)
			continue
		}
		d.lost = true
	}
	for _, p := range c.poolOrder {
		for _, b := range p.order {
			c.reconcile(b)
		}
		c.drainQueue(p)
	}
}

// OpenRequests reconciles the dispatches of one entry process with what it holds.
// A started dispatch that two lists in a row leave out has ended and its Progress
// was lost.
func (c *Core) OpenRequests(now time.Duration, m *wirepb.OpenRequests) {
	c.advance(now)
	held := make(map[string]bool, len(m.DispatchIds))
	for _, id := range m.DispatchIds {
		held[id] = true
		c.readopt(id)
	}
	for _, d := range c.sorted() {
		switch {
		case d.req.Entry != m.Entry || d.req.EntryIncarnation > m.Incarnation || d.state == stateQueued:
		case d.req.EntryIncarnation < m.Incarnation:
			d.lost = true
		case held[d.id]:
			// Also after a wrong report that the entry process was lost.
			d.missing, d.lost = 0, false
		case d.state >= stateStarted:
			d.missing++
			if d.missing >= missingLists {
				c.free(d, false)
			}
		}
	}
	for _, p := range c.poolOrder {
		c.drainQueue(p)
	}
}

// Suspect takes the broadcast of a crash or of a completed run.
func (c *Core) Suspect(now time.Duration, m *wirepb.Suspect) {
	c.advance(now)
	fp := string(m.Fingerprint)
	if m.Cleared {
		c.suspects.Completed(c.now, fp)
		return
	}
	c.suspects.Crashed(c.now, fp, suspicion.Crash{Backend: m.Backend, Boot: m.Boot}, m.Sole)
	for _, p := range c.poolOrder {
		for _, b := range p.order {
			if b.id == m.Backend && b.boot == m.Boot {
				b.down, b.downAt = true, c.now
				b.touch()
			}
		}
		c.drainQueue(p)
	}
}
