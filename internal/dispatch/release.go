package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"bilberryhub/internal/notice"
	"bilberryhub/internal/suspicion"
	"bilberryhub/internal/wirepb"
)

// missedListLimit is the number of consecutive lists of open requests without a
// started dispatch after which it is freed. One list may have been sent before the
// entry process received the grant.
const missedListLimit = 2

// openByArrival returns the dispatches on a backend server in order of arrival.
func openByArrival(b *backend) []*dispatch {
	return slices.SortedFunc(maps.Values(b.open), func(x, y *dispatch) int { return cmp.Compare(x.arrivalSeq, y.arrivalSeq) })
}

// dispatchesByArrival returns all dispatches, queued or granted, in order of arrival.
func (c *Core) dispatchesByArrival() []*dispatch {
	return slices.SortedFunc(maps.Values(c.dispatches), func(x, y *dispatch) int { return cmp.Compare(x.arrivalSeq, y.arrivalSeq) })
}

// reserveMembers reserves a slot and memory on all members of a placement.
func (c *Core) reserveMembers(d *dispatch, members []member) {
	d.members = members
	for i, m := range members {
		b := m.backend
		b.reserved += m.reserved
		b.open[d.id] = d
		b.foreignStale = true
		// The members of a group prefill one after the other. Before its turn, a
		// member has memory reserved but no prefill work, so it can serve short
		// requests.
		if d.state < statePrefilled && i == 0 {
			b.pendingPrefill = append(b.pendingPrefill, d)
		}
		b.touch()
	}
	c.addRunning(d)
}

// freeDispatch removes a dispatch and frees everything that it reserves. finished is set
// if it is certain that the backend servers no longer run the request.
func (c *Core) freeDispatch(d *dispatch, finished bool) {
	if d.state == stateQueued {
		d.pool.queue.remove(d)
	} else {
		d.pool.queue.account(d.req.Account).running--
		c.removeRunning(d)
	}
	for _, m := range d.members {
		b := m.backend
		if b.open[d.id] != d {
			continue
		}
		b.reserved -= m.reserved
		delete(b.open, d.id)
		b.removePending(d)
		b.foreignStale = true
		if !finished && m.boot == b.boot {
			b.maybeRunning[d.id] = c.now
		}
		b.touch()
	}
	delete(c.dispatches, d.id)
	e := endedDispatch{endedAt: c.now, finished: finished}
	if d.state >= stateStarted && (d.entryLost || !finished) {
		e.interrupted = d
	}
	c.ended[d.id] = e
}

// removePending removes a dispatch from pendingPrefill.
func (b *backend) removePending(d *dispatch) {
	b.pendingPrefill = slices.DeleteFunc(b.pendingPrefill, func(x *dispatch) bool { return x == d })
}

// expireDispatches frees grants whose permit has expired and started dispatches past
// their deadline. A started dispatch is kept one tick past the deadline, for the report
// of its end. Queued requests are left to refuseOverdue.
func (c *Core) expireDispatches() {
	if c.disabled.expiry {
		return
	}
	for _, d := range c.dispatchesByArrival() {
		switch {
		case d.state == stateQueued:
		case d.state == stateGranted && c.now >= d.grantedAt+PermitLifetime:
			c.freeDispatch(d, false)
			c.ended[d.id] = endedDispatch{endedAt: c.now, expired: d}
		case d.state != stateGranted && c.now > d.deadline && d.pastDeadline:
			c.freeDispatch(d, false)
		case c.now > d.deadline:
			d.pastDeadline = true
		}
	}
}

// expireEnded removes records of ended dispatches that are older than endedRetention.
func (c *Core) expireEnded() {
	for id, e := range c.ended {
		if c.now > e.endedAt+endedRetention {
			delete(c.ended, id)
		}
	}
}

// Cancel cancels a request. A queued or unstarted one is freed. A started one ends by
// Progress, because the backend server may still run it. A Cancel that arrives before
// its Reserve makes the core ignore the Reserve.
func (c *Core) Cancel(now time.Duration, m *wirepb.CancelReserve) {
	c.advance(now)
	d := c.dispatches[m.DispatchId]
	switch {
	case d == nil:
		// The Reserve may still be in flight.
		if _, ok := c.ended[m.DispatchId]; !ok {
			c.ended[m.DispatchId] = endedDispatch{endedAt: c.now, finished: true}
		}
	case d.state <= stateGranted:
		c.freeDispatch(d, true)
		c.drainQueue(d.pool)
	}
}

// Progress processes a report of an entry process on one step of a granted dispatch.
// Reports on unknown or queued dispatches are ignored, except for a late report of a
// start.
func (c *Core) Progress(now time.Duration, m *wirepb.Progress) {
	c.advance(now)
	c.recordNotices(m)
	d := c.dispatches[m.DispatchId]
	if d == nil {
		if m.Step == wirepb.Progress_STEP_STARTED || m.Step == wirepb.Progress_STEP_FIRST_TOKEN {
			d = c.restoreExpired(m.DispatchId)
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
		c.recordFirstToken(d, time.Duration(m.ElapsedMs)*time.Millisecond)
	case wirepb.Progress_STEP_DONE:
		c.recordCompletion(d, m)
	case wirepb.Progress_STEP_CRASHED:
		c.recordCrash(d, m)
	case wirepb.Progress_STEP_NOT_SENT, wirepb.Progress_STEP_REFUSED:
		c.freeDispatch(d, true)
	case wirepb.Progress_STEP_BROKEN, wirepb.Progress_STEP_CANCELLED:
		// The backend server may continue to run it until it notices; its load report
		// will show the end.
		c.freeDispatch(d, false)
	default:
		return
	}
	c.drainQueue(d.pool)
}

// recordNotices records what a backend server has said of itself in a response: that it
// leaves, or that it wants no requests for some time. A pause is never shortened. The
// dispatch may have ended before, as the report may be late.
func (c *Core) recordNotices(m *wirepb.Progress) {
	pause := min(time.Duration(m.PauseMs)*time.Millisecond, notice.MaxPause)
	if pause <= 0 && !m.Leaving {
		return
	}
	p := c.pools[poolKey{m.FailureDomain, m.Service}]
	if p == nil {
		return
	}
	b := p.backends[m.Backend]
	if b == nil || b.boot != m.Boot {
		return
	}
	if pause > 0 {
		b.pausedUntil = max(b.pausedUntil, c.now+pause)
	}
	b.saidLeaving = b.saidLeaving || m.Leaving
	b.touch()
}

// restoreExpired restores a dispatch whose start was reported after its permit had
// expired and its reservation had been freed: the request runs, so its memory and slot
// are in use. It returns nil if there is no such dispatch or a member has restarted.
func (c *Core) restoreExpired(id string) *dispatch {
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
		delete(m.backend.maybeRunning, id)
	}
	c.dispatches[id] = d
	d.pool.queue.account(d.req.Account).running++
	c.reserveMembers(d, d.members)
	c.markStarted(d)
	return d
}

// startMember moves the prefill work of a group to the member with the given id, which
// begins its part.
func (c *Core) startMember(d *dispatch, id string) {
	if len(d.members) < 2 || d.state != stateStarted {
		return
	}
	for i := range d.members {
		m := &d.members[i]
		m.backend.removePending(d)
		if m.backend.id == id && m.boot == m.backend.boot {
			m.startedAt = c.now
			m.backend.pendingPrefill = append(m.backend.pendingPrefill, d)
		}
		m.backend.touch()
	}
}

// markStarted records that the request of a grant has been sent.
func (c *Core) markStarted(d *dispatch) {
	if d.state == stateGranted {
		d.state, d.startedAt = stateStarted, c.now
	}
}

// recordCrash processes the report of a crash and frees the dispatch. The crash is
// evidence against the request at once: the broadcast of the same crash may arrive only
// after another copy of the request would have been granted.
func (c *Core) recordCrash(d *dispatch, m *wirepb.Progress) {
	c.suspects.RecordCrash(c.now, string(d.req.Fingerprint), suspicion.Crash{Backend: m.Backend, Boot: m.Boot}, d.suspectAtGrant)
	if d.state < statePrefilled {
		c.recordEvidence(m.Backend, m.Boot, features(d.req.Fingerprint, d.req.PrefixHashes))
	}
	for _, mb := range d.members {
		if mb.backend.id == m.Backend && mb.backend.boot == m.Boot {
			mb.backend.down, mb.backend.downAt = true, c.now
			mb.backend.touch()
			c.assignLongEngines(d.pool, c.enginesByMemory(d.pool))
		}
	}
	c.freeDispatch(d, false) // other members of a group may still run it
}

// EntryLost handles the loss of an entry process, in all incarnations up to the given
// one. Its queued requests are dropped. Its grants end when their permit expires, when
// a load report no longer lists them, or at their deadline.
func (c *Core) EntryLost(now time.Duration, entry string, incarnation uint64) {
	c.advance(now)
	for _, d := range c.dispatchesByArrival() {
		if d.req.Entry != entry || d.req.EntryIncarnation > incarnation {
			continue
		}
		if d.state == stateQueued {
			c.freeDispatch(d, true)
			continue
		}
		d.entryLost = true
	}
	for _, p := range c.sortedPools {
		for _, b := range p.sortedBackends {
			c.reconcile(b)
		}
		c.drainQueue(p)
	}
}

// OpenRequests reconciles the dispatches of one entry process with the list of its open
// requests. A started dispatch that is missing from two consecutive lists has ended,
// and its Progress was lost.
func (c *Core) OpenRequests(now time.Duration, m *wirepb.OpenRequests) {
	c.advance(now)
	listed := make(map[string]bool, len(m.DispatchIds))
	for _, id := range m.DispatchIds {
		listed[id] = true
		c.restoreExpired(id)
	}
	for _, d := range c.dispatchesByArrival() {
		switch {
		case d.req.Entry != m.Entry || d.req.EntryIncarnation > m.Incarnation || d.state == stateQueued:
		case d.req.EntryIncarnation < m.Incarnation:
			d.entryLost = true
		case listed[d.id]:
			// Also if the entry process was reported as lost by mistake.
			d.missedLists, d.entryLost = 0, false
		case d.state >= stateStarted:
			d.missedLists++
			if d.missedLists >= missedListLimit {
				c.freeDispatch(d, false)
			}
		}
	}
	for _, p := range c.sortedPools {
		c.drainQueue(p)
	}
}

// Suspect processes the broadcast of a crash or of a completed run of a fingerprint.
func (c *Core) Suspect(now time.Duration, m *wirepb.Suspect) {
	c.advance(now)
	fp := string(m.Fingerprint)
	if m.Cleared {
		c.suspects.RecordCompletion(c.now, fp)
		return
	}
	c.suspects.RecordCrash(c.now, fp, suspicion.Crash{Backend: m.Backend, Boot: m.Boot}, m.Sole)
	if len(m.PrefixHashes) > 0 {
		c.recordEvidence(m.Backend, m.Boot, features(m.Fingerprint, m.PrefixHashes))
	}
	for _, p := range c.sortedPools {
		for _, b := range p.sortedBackends {
			if b.id == m.Backend && b.boot == m.Boot {
				b.down, b.downAt = true, c.now
				b.touch()
			}
		}
		c.drainQueue(p)
	}
}
