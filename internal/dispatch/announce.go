package dispatch

import (
	"time"

	"bilberryhub/internal/announce"
	"bilberryhub/internal/coldstart"
)

// takeoverWait is the waiting period of a new owner. The previous owner may hold its
// lease from an announcement that was in flight for the maximum delay, and may have
// granted at the last moment of the lease.
const takeoverWait = announce.GrantLifetime

// backendRetention is how long a backend server is kept in its pool after its lease has
// lapsed.
const backendRetention = time.Minute

// Announce processes an announcement of a backend server, which must have passed
// Announcement.Check, and renews the lease. The caller must have decided that this
// process is the dispatcher of the pool: Announce makes it the owner of the backend
// server.
func (c *Core) Announce(now time.Duration, a *announce.Announcement) announce.Reply {
	c.advance(now)
	p := c.pool(a.FailureDomain, a.Service)
	b := p.backends[a.ID]
	if b == nil {
		// Also while releasing: before this process may release a lease that another
		// owner may still hold, it must wait like any new owner.
		b = p.add(a.ID)
	} else if a.Boot < b.boot || (a.Boot == b.boot && a.Sequence <= b.last.Sequence) {
		// An announcement that arrives out of order must not extend the lease.
		return c.reply(max(0, b.leaseEnd-c.now), false)
	}
	c.updateOwnership(b, a)
	if c.releasing && c.canReleaseLease(b) {
		b.leaseEnd = 0
		b.touch()
		return c.reply(0, true)
	}
	b.leaseEnd = max(b.leaseEnd, c.earliestArrival()+announce.Lease)
	c.updateReport(b, a)
	b.touch()
	c.assignLongEngines(p, c.enginesByMemory(p))
	c.reconcile(b)
	c.drainQueue(p)
	return c.reply(max(0, b.leaseEnd-c.now), false)
}

// reply returns the reply to an announcement. lease is the remaining time of the lease.
func (c *Core) reply(lease time.Duration, released bool) announce.Reply {
	return announce.Reply{
		Owner:      c.cfg.Entry,
		LeaseMS:    lease.Milliseconds(),
		IntervalMS: announce.Interval.Milliseconds(),
		Released:   released,
	}
}

// updateOwnership stores the announcement, handles a new boot, and starts the waiting
// period and resets the cold budget if another process was the previous owner.
func (c *Core) updateOwnership(b *backend, a *announce.Announcement) {
	s := c.service(b.pool)
	isNew := b.last == nil
	b.last = a
	if a.Boot != b.boot || c.earliestArrival() >= b.downAt+announce.MaxDelay {
		b.down = false
	}
	full := b.maxConcurrent(s)
	if isNew {
		b.boot = a.Boot
		b.budget = coldstart.New(a.Boot, s.ColdLimit, a.ColdLimitRequests, full)
	}
	if a.Boot != b.boot {
		c.handleNewBoot(b, a.Boot)
	}
	b.budget.SetLimits(s.ColdLimit, a.ColdLimitRequests, full)
	switch {
	case c.disabled.waitingPeriod:
	case a.PreviousOwner == "" && isNew && a.Sequence > 1:
		// The previous owner may have been an earlier incarnation of this process. It
		// granted nothing after this one started, but its permits may still be valid.
		b.waitUntil = max(b.waitUntil, c.startedAt+PermitLifetime)
		b.completeReportFrom = b.waitUntil
	case a.PreviousOwner == "" || a.PreviousOwner == c.cfg.Entry:
		// This process is the first owner of this boot, or has been its owner before
		// without interruption.
	case a.PreviousReleased:
		// The previous owner releases a lease only when all its grants have started.
		b.completeReportFrom = max(b.completeReportFrom, c.now)
	default:
		b.waitUntil = max(b.waitUntil, c.now+takeoverWait)
		b.completeReportFrom = b.waitUntil
	}
	if a.PreviousOwner == "" || a.PreviousOwner == c.cfg.Entry {
		return
	}
	if !isNew {
		// The budget from an earlier time as owner may be out of date.
		b.budget = coldstart.New(a.Boot, s.ColdLimit, a.ColdLimitRequests, full)
	}
	if !a.Load.Cold {
		// Under the previous owner, the backend server has run its open requests while
		// warm, so it can take as many.
		b.budget.RaiseTo(len(a.Load.Open))
	}
}

// handleNewBoot drops the state of the previous boot. Unstarted grants are kept: their
// permits may still be used, and a backend server that does not implement
// announce.BootHeader runs the requests although it has restarted.
func (c *Core) handleNewBoot(b *backend, boot uint64) {
	for _, d := range openByArrival(b) {
		if d.state != stateGranted {
			c.freeDispatch(d, false) // other members of a group may still run it
		}
	}
	b.boot = boot
	b.budget.SetBoot(boot)
	b.cache = prefixCache{}
	b.ttftFit, b.prefillSpeed, b.overhead = ttftRegression{}, 0, 0
	b.reportAt, b.reportEarliest, b.reportedOpen, b.foreignStale = 0, 0, nil, true
	b.pausedUntil, b.saidLeaving = 0, false
	clear(b.maybeRunning)
	// A waiting period continues, for the same reason: permits of the previous owner
	// may still be used.
}

// canReleaseLease reports whether the lease of a backend server can be released: no
// unstarted grant may be left, of this owner or an earlier one, that the next owner
// would not see.
func (c *Core) canReleaseLease(b *backend) bool {
	if c.now < b.waitUntil {
		return false
	}
	for _, d := range b.open {
		if d.state == stateGranted {
			return false
		}
	}
	return true
}

// updateReport stores the load report of an announcement unless an earlier announcement
// carried a newer one. Cache events are applied in any case.
func (c *Core) updateReport(b *backend, a *announce.Announcement) {
	at := c.now - time.Duration(a.Load.AgeMS)*time.Millisecond
	b.cache.apply(a.Load.CacheEvents, c.disabled.gapCheck)
	if b.reportedOpen != nil && at < b.reportAt {
		return
	}
	b.reportAt = at
	b.reportEarliest = c.earliestArrival() - announce.MaxDelay - time.Duration(a.Load.AgeMS)*time.Millisecond
	b.foreignStale = true
	b.reportedOpen = make(map[string]bool, len(a.Load.Open))
	for _, id := range a.Load.Open {
		b.reportedOpen[id] = true
	}
	for id, at := range b.maybeRunning {
		if at < b.reportEarliest {
			delete(b.maybeRunning, id)
		}
	}
	b.budget.RecordReport(a.Load.Cold)
	if a.Load.PrefillTokensPerSecond > 0 {
		b.reportedSpeed = a.Load.PrefillTokensPerSecond
	}
}

// reconcile frees the started dispatches on a backend server whose entry process was
// lost, once all their members have sent a load report that is newer than the start and
// does not list them.
func (c *Core) reconcile(b *backend) {
	for _, d := range openByArrival(b) {
		if !d.entryLost || d.state < stateStarted {
			continue
		}
		listed := false
		for _, m := range d.members {
			r := m.backend
			listed = listed || r.reportedOpen == nil || r.reportEarliest <= d.startedAt || r.reportedOpen[d.id]
		}
		if !listed {
			c.freeDispatch(d, true)
		}
	}
}

// checkUsable computes usable. The reason is part of the state dump.
func (c *Core) checkUsable(b *backend) (bool, string) {
	switch {
	case b.last.Leaving:
		return false, "leaving"
	case b.saidLeaving:
		return false, "said that it leaves"
	case b.down:
		return false, "crash reported"
	case !c.disabled.leaseCheck && c.now >= b.leaseEnd:
		return false, "lease lapsed"
	case c.now < b.waitUntil:
		return false, "waiting period after a change of owner"
	case c.now < b.pausedUntil:
		return false, "wants a pause"
	}
	if c.view != nil && !c.disabled.exclusionCheck {
		if out, why := c.view.Excluded(b.pool.key.domain, b.id); out {
			return false, why
		}
	}
	return true, ""
}

// expireBackends removes backend servers without open dispatches whose lease lapsed
// longer than backendRetention ago.
func (c *Core) expireBackends() {
	for _, p := range c.sortedPools {
		for i := len(p.sortedBackends) - 1; i >= 0; i-- {
			b := p.sortedBackends[i]
			if len(b.open) == 0 && c.now > b.leaseEnd+backendRetention {
				p.remove(b)
			}
		}
	}
}

// HasBackend reports whether a backend server with an id announces itself here under an
// address.
func (c *Core) HasBackend(id, address string) bool {
	for _, p := range c.pools {
		if b := p.backends[id]; b != nil && b.last != nil && b.last.Address == address {
			return true
		}
	}
	return false
}
