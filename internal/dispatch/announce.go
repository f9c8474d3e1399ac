package dispatch

import (
	"time"

	"bilberryhub/internal/announce"
	"bilberryhub/internal/coldstart"
)

// takeoverWait is how long a new owner waits: the old owner may hold its lease
// from an announcement that was on its way for the longest delay, and may have
// granted at the last moment of the lease.
const takeoverWait = announce.Lease + announce.MaxDelay + PermitLifetime

// forgetBackend is how long a backend server without a lease stays in the table.
const forgetBackend = time.Minute

// Announce takes an announcement that has passed announcement.Check. It accepts
// the role of owner; the caller has decided that this process is the dispatcher.
func (c *Core) Announce(now time.Duration, a *announce.Announcement) announce.Reply {
	c.advance(now)
	p := c.pool(a.FailureDomain, a.Service)
	b := p.backends[a.ID]
	if b == nil {
		// Also while releasing: to pass on a lease that another owner may still hold,
		// this process must wait for it like any new owner.
		b = p.add(a.ID)
	} else if a.Boot < b.boot || (a.Boot == b.boot && a.Sequence <= b.last.Sequence) {
		// An announcement that was overtaken must not prolong the lease.
		return c.reply(max(0, b.lease-c.now), false)
	}
	c.takeOwnership(b, a)
	if c.releasing && c.released(b) {
		b.lease = 0
		b.touch()
		return c.reply(0, true)
	}
	b.lease = max(b.lease, c.arrival()+announce.Lease)
	c.takeReport(b, a)
	b.touch()
	c.assignLong(p, c.engines(p))
	c.reconcile(b)
	c.drainQueue(p)
	return c.reply(max(0, b.lease-c.now), false)
}

func (c *Core) reply(lease time.Duration, released bool) announce.Reply {
	return announce.Reply{
		Owner:      c.cfg.Entry,
		LeaseMS:    lease.Milliseconds(),
		IntervalMS: announce.Interval.Milliseconds(),
		Released:   released,
	}
}

// takeOwnership sets the waiting period of a new owner and handles a new boot.
func (c *Core) takeOwnership(b *backend, a *announce.Announcement) {
	s := c.service(b.pool)
	fresh := b.last == nil
	b.last = a
	if a.Boot != b.boot || c.arrival() >= b.downAt+announce.MaxDelay {
		b.down = false
	}
	full := b.maxConcurrent(s)
	if fresh {
		b.boot = a.Boot
		b.budget = coldstart.New(a.Boot, s.ColdLimit, a.ColdLimitRequests, full)
	}
	if a.Boot != b.boot {
		c.newBoot(b, a.Boot)
	}
	b.budget.SetLimits(s.ColdLimit, a.ColdLimitRequests, full)
	switch {
	case c.off.waitingPeriod:
	case a.PreviousOwner == "" && fresh && a.Sequence > 1:
		// The last owner may have been an earlier incarnation of this process. It
		// granted nothing after this one started, but its permits may still be valid.
		b.waitUntil = max(b.waitUntil, c.startedAt+PermitLifetime)
		b.provenFrom = b.waitUntil
	case a.PreviousOwner == "" || a.PreviousOwner == c.cfg.Entry:
		// First owner of this boot, or this process owned it all along.
	case a.PreviousReleased:
		// The old owner releases only when all its grants have started.
		b.provenFrom = max(b.provenFrom, c.now)
	default:
		b.waitUntil = max(b.waitUntil, c.now+takeoverWait)
		b.provenFrom = b.waitUntil
	}
	if a.PreviousOwner == "" || a.PreviousOwner == c.cfg.Entry {
		return
	}
	if !fresh {
		// What this process knew from an earlier time as owner may have changed.
		b.budget = coldstart.New(a.Boot, s.ColdLimit, a.ColdLimitRequests, full)
	}
	if !a.Load.Cold {
		// The old owner had shown that the backend server bears its open requests.
		b.budget.Assume(len(a.Load.Open))
	}
}

// newBoot forgets everything about the previous boot. Unstarted grants stay: their
// permits do not name the boot to the backend server and may still be used.
func (c *Core) newBoot(b *backend, boot uint64) {
	for _, d := range sortedOpen(b) {
		if d.state != stateGranted {
			c.free(d, false) // other members of a group may still run it
		}
	}
	b.boot = boot
	b.budget.Boot(boot)
	b.cache = prefixCache{}
	b.meter, b.speed, b.base = speedometer{}, 0, 0
	b.reportAt, b.reportSure, b.reported, b.foreignStale = 0, 0, nil, true
	clear(b.linger)
	// A waiting period goes on: permits of the previous owner do not name the boot.
}

// released tells whether the lease of a backend server can be given up: nobody may
// be about to start work that the next owner does not see.
func (c *Core) released(b *backend) bool {
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

// takeReport stores a load report unless an earlier announcement carried a newer one.
func (c *Core) takeReport(b *backend, a *announce.Announcement) {
	at := c.now - time.Duration(a.Load.AgeMS)*time.Millisecond
	b.cache.apply(a.Load.CacheEvents, c.off.gapCheck)
	if b.reported != nil && at < b.reportAt {
		return
	}
	b.reportAt = at
	b.reportSure = c.arrival() - announce.MaxDelay - time.Duration(a.Load.AgeMS)*time.Millisecond
	b.foreignStale = true
	b.reported = make(map[string]bool, len(a.Load.Open))
	for _, id := range a.Load.Open {
		b.reported[id] = true
	}
	for id, at := range b.linger {
		if at < b.reportSure {
			delete(b.linger, id)
		}
	}
	b.budget.Reported(a.Load.Cold)
	if a.Load.PrefillTokensPerSecond > 0 {
		b.stated = a.Load.PrefillTokensPerSecond
	}
}

// reconcile frees dispatches of lost entry processes that a report newer than
// their start no longer lists.
func (c *Core) reconcile(b *backend) {
	for _, d := range sortedOpen(b) {
		if !d.lost || d.state < stateStarted {
			continue
		}
		listed := false
		for _, m := range d.members {
			r := m.backend
			listed = listed || r.reported == nil || r.reportSure <= d.startedAt || r.reported[d.id]
		}
		if !listed {
			c.free(d, true)
		}
	}
}

// checkUsable computes usable.
func (c *Core) checkUsable(b *backend) (bool, string) {
	switch {
	case b.last.Leaving:
		return false, "leaving"
	case b.down:
		return false, "crash reported"
	case !c.off.leaseCheck && c.now >= b.lease:
		return false, "lease lapsed"
	case c.now < b.waitUntil:
		return false, "waiting period after a change of owner"
	}
	if c.view != nil && !c.off.exclusionCheck {
		if out, why := c.view.Excluded(b.pool.key.domain, b.id); out {
			return false, why
		}
	}
	return true, ""
}

// expireBackends removes backend servers that have been silent for long.
func (c *Core) expireBackends() {
	for _, p := range c.poolOrder {
		for i := len(p.order) - 1; i >= 0; i-- {
			b := p.order[i]
			if len(b.open) == 0 && c.now > b.lease+forgetBackend {
				p.remove(b)
			}
		}
	}
}
