package dispatch

import (
	"slices"
	"time"

	"bilberryhub/internal/announce"
	"bilberryhub/internal/refusal"
)

// Owns tells whether this process holds the lease of a backend server.
func (c *Core) Owns(now time.Duration, domain, service, id string) bool {
	c.advance(now)
	p := c.pools[poolKey{domain, service}]
	if p == nil {
		return false
	}
	b := p.backends[id]
	return b != nil && c.now < b.lease
}

// Owned counts the backend servers whose lease this process holds.
func (c *Core) Owned(now time.Duration) int {
	c.advance(now)
	n := 0
	for _, p := range c.poolOrder {
		for _, b := range p.order {
			if c.now < b.lease {
				n++
			}
		}
	}
	return n
}

// HandOver answers an announcement of a backend server that this process owns
// and that another one should dispatch. The lease is given up as soon as
// nobody may start work that the next owner does not see.
func (c *Core) HandOver(now time.Duration, a *announce.Announcement) announce.Reply {
	reply := c.Announce(now, a)
	p := c.pools[poolKey{a.FailureDomain, a.Service}]
	if b := p.backends[a.ID]; b != nil && !reply.Released && c.released(b) {
		b.lease = 0
		if !c.owns(p) {
			c.abandonQueue(p)
		}
		return c.reply(0, true)
	}
	return reply
}

// owns tells whether this process holds the lease of a backend server of a pool.
func (c *Core) owns(p *pool) bool {
	return slices.ContainsFunc(p.order, func(b *backend) bool { return c.now < b.lease })
}

// abandonQueue refuses the queued requests of a pool that has another dispatcher,
// so that they can be sent there. Here they would wait until their deadline.
func (c *Core) abandonQueue(p *pool) {
	if c.off.abandon {
		return
	}
	for _, d := range p.queue.all() {
		c.refuse(d, refusal.New(refusal.NoCapacity, "the backend servers have left this dispatcher").After(noBackendRetry))
	}
}
