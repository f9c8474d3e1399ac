package dispatch

import (
	"slices"
	"time"

	"bilberryhub/internal/announce"
	"bilberryhub/internal/refusal"
)

// Owns reports whether this process holds the lease of a backend server.
func (c *Core) Owns(now time.Duration, domain, service, id string) bool {
	c.advance(now)
	p := c.pools[poolKey{domain, service}]
	if p == nil {
		return false
	}
	b := p.backends[id]
	return b != nil && c.now < b.leaseEnd
}

// Owned returns the number of backend servers whose lease this process holds.
func (c *Core) Owned(now time.Duration) int {
	c.advance(now)
	n := 0
	for _, p := range c.sortedPools {
		for _, b := range p.sortedBackends {
			if c.now < b.leaseEnd {
				n++
			}
		}
	}
	return n
}

// HandOver processes an announcement of a backend server that this process owns
// and that another one should dispatch. The lease is released once no unstarted grant
// is left, which the next owner would not see; until then it is renewed.
func (c *Core) HandOver(now time.Duration, a *announce.Announcement) announce.Reply {
	reply := c.Announce(now, a)
	p := c.pools[poolKey{a.FailureDomain, a.Service}]
	if b := p.backends[a.ID]; b != nil && !reply.Released && c.canReleaseLease(b) {
		b.leaseEnd = 0
		if !c.ownsPool(p) {
			c.abandonQueue(p)
		}
		return c.reply(0, true)
	}
	return reply
}

// ownsPool reports whether this process holds the lease of any backend server of a
// pool.
func (c *Core) ownsPool(p *pool) bool {
	return slices.ContainsFunc(p.sortedBackends, func(b *backend) bool { return c.now < b.leaseEnd })
}

// abandonQueue refuses the queued requests of a pool that has moved to another
// dispatcher, so that they can be sent there. Here they would wait until their
// deadline.
func (c *Core) abandonQueue(p *pool) {
	if c.disabled.abandon {
		return
	}
	for _, d := range p.queue.allByArrival() {
		c.refuse(d, refusal.New(refusal.NoCapacity, "the backend servers have left this dispatcher").WithRetryAfter(noBackendRetryAfter))
	}
}
