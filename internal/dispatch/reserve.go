package dispatch

import (
	"fmt"
	"time"

	"bilberryhub/internal/refusal"
	"bilberryhub/internal/wirepb"
)

// noBackendRetry is the Retry-After of a pool without any backend server: about the
// time in which backend servers find a new dispatcher.
const noBackendRetry = 2 * time.Second

// Reserve takes a request for a backend server. The answer is a Grant or a
// Refuse among the actions, at once or later.
func (c *Core) Reserve(now time.Duration, r *wirepb.Reserve) {
	c.advance(now)
	if d := c.dispatches[r.DispatchId]; d != nil {
		c.again(d)
		return
	}
	if _, ended := c.ended[r.DispatchId]; ended {
		return // cancelled before it arrived, or a late repetition
	}
	p := c.pool(r.FailureDomain, r.Service)
	c.arrivals++
	d := &dispatch{
		id: r.DispatchId, req: r, pool: p, arrival: c.arrivals, arrived: c.now,
		end: c.now + time.Duration(r.DeadlineMs)*time.Millisecond,
	}
	if c.view != nil {
		if u, ok := c.view.Urgency(r.Urgency); ok {
			d.level, d.target = int(u.Priority), u.TTFTTarget
		}
	}
	if e := c.admit(p, d); e != nil {
		c.answerRefuse(d, e, "")
		return
	}
	if c.homeElsewhere(d) {
		return
	}
	p.class.observe(c.now, r.PromptTokens)
	c.dispatches[d.id] = d
	if c.policy.queues() {
		c.enqueue(p, d)
		return
	}
	members := c.policy.place(c, d, nil)
	if members == nil {
		delete(c.dispatches, d.id)
		c.answerRefuse(d, refusal.New(refusal.NoCapacity, "no backend server in service"), "")
		return
	}
	c.grant(d, members)
}

// again answers a repeated Reserve: the same grant with what is left of its permit.
func (c *Core) again(d *dispatch) {
	if d.state == stateGranted {
		c.answerGrant(d)
	}
}

// admit checks a new request against everything that can be told at once.
func (c *Core) admit(p *pool, d *dispatch) *refusal.Error {
	if c.view == nil {
		return refusal.New(refusal.NoConfig, "the dispatcher has no configuration").After(time.Second)
	}
	if c.releasing {
		return refusal.New(refusal.Draining, "the dispatcher is stopping").After(time.Second)
	}
	if ok, why := c.mayServe(p.key.domain); !ok {
		return refusal.New(refusal.NoConfig, why).After(time.Second)
	}
	if !c.off.exclusionCheck {
		if out, why := c.view.Excluded(p.key.domain, ""); out {
			return refusal.New(refusal.NoCapacity, "failure domain out of service: "+why).After(maxConfigAge)
		}
	}
	if left, quarantined := c.quarantined(d); quarantined {
		return refusal.New(refusal.RequestSuspected, "two backend servers crashed running this request").After(left)
	}
	d.suspect = c.suspected(d)
	if !c.policy.queues() {
		return nil
	}
	d.long = c.isLong(p, d.req.PromptTokens)
	if e := c.admitTime(p, d); e != nil {
		return e
	}
	return c.admitAccount(p, d)
}

// admitTime refuses a request that cannot finish in time or fits nowhere.
func (c *Core) admitTime(p *pool, d *dispatch) *refusal.Error {
	f, ok := c.forecast(p, d)
	if !ok {
		return refusal.New(refusal.NoCapacity, "no backend server in service").After(c.nextBackend(p))
	}
	if _, group := c.largestMemory(p, d.req.Model); group > 0 && d.tokens() > group {
		return refusal.New(refusal.PromptTooLarge, fmt.Sprintf("%d tokens exceed the %d of the largest group", d.tokens(), group))
	}
	left := d.end - c.now
	if f.service > left {
		return refusal.New(refusal.DeadlineUnreachable, fmt.Sprintf("needs %v on an idle backend server, %v left", f.service.Round(time.Millisecond), left))
	}
	if f.wait+f.service > left {
		return refusal.New(refusal.DeadlineUnreachable, fmt.Sprintf("expected wait %v and service %v, %v left", f.wait.Round(time.Millisecond), f.service.Round(time.Millisecond), left)).
			After(f.wait + f.service - left)
	}
	return nil
}

// nextBackend estimates when a pool without a usable backend server has one.
func (c *Core) nextBackend(p *pool) time.Duration {
	next := time.Duration(0)
	for _, b := range p.order {
		if c.now >= b.waitUntil || c.now >= b.lease || b.last.Leaving {
			continue
		}
		if left := b.waitUntil - c.now; next == 0 || left < next {
			next = left
		}
	}
	if next == 0 {
		return noBackendRetry
	}
	return next
}

// enqueue queues a request and serves the queue. When the queue is full, the
// account with the most queued work gives way, so that a burst of one account
// cannot shut out the others.
func (c *Core) enqueue(p *pool, d *dispatch) {
	p.ownedAt = c.now
	p.queue.push(d, c.now)
	c.drainQueue(p)
	if p.queue.size <= c.cfg.MaxQueue {
		return
	}
	victim := p.queue.last(p.queue.heaviest())
	c.refuse(victim, refusal.New(refusal.NoCapacity, "the queue is full").After(p.times.holdTime()))
}

// refuse takes a queued request out and answers it.
func (c *Core) refuse(d *dispatch, e *refusal.Error) {
	c.free(d, true)
	c.answerRefuse(d, e, "")
}

// refuseOverdue refuses queued requests whose deadline has passed or can no
// longer be met, and those that have become suspected.
func (c *Core) refuseOverdue(p *pool) {
	if p.queue.size == 0 {
		return
	}
	// Leases that lapse for a moment, as after a short pause, come back sooner.
	if c.owns(p) {
		p.ownedAt = c.now
	} else if c.now >= p.ownedAt+noBackendRetry {
		c.abandonQueue(p)
	}
	serve, why := c.mayServe(p.key.domain)
	speed := c.topSpeed(p)
	_, group := c.largestMemory(p, "")
	for _, d := range p.queue.all() {
		left, quarantined := c.quarantined(d)
		switch {
		case quarantined:
			c.refuse(d, refusal.New(refusal.RequestSuspected, "two backend servers crashed running this request").After(left))
		case c.now >= d.end:
			c.refuse(d, refusal.New(refusal.DeadlineExceeded, "the deadline passed in the queue"))
		case !serve:
			c.refuse(d, refusal.New(refusal.NoConfig, why).After(time.Second))
		case group > 0 && d.tokens() > group:
			c.refuse(d, refusal.New(refusal.NoCapacity, "too few engines are left for this prompt").After(noBackendRetry))
		case c.now+seconds(float64(d.req.PromptTokens)/speed)+p.times.decode(d) > d.end:
			// Only those that are late without a cached prefix need a closer look.
			if f, ok := c.forecast(p, d); ok && c.now+f.service > d.end {
				c.refuse(d, refusal.New(refusal.DeadlineUnreachable, "the deadline can no longer be met").After(f.wait))
			}
		}
	}
}

// topSpeed returns the highest prefill speed in a pool, in tokens/s.
func (c *Core) topSpeed(p *pool) float64 {
	top := 0.0
	for _, b := range p.order {
		if ok, _ := c.usable(b); ok {
			top = max(top, c.speedOf(b))
		}
	}
	if top == 0 {
		return defaultPrefillSpeed
	}
	return top
}

// refuseQueued refuses all queued requests, for a planned stop.
func (c *Core) refuseQueued() {
	for _, p := range c.poolOrder {
		for _, d := range p.queue.all() {
			c.refuse(d, refusal.New(refusal.Draining, "the dispatcher is stopping").After(time.Second))
		}
	}
}

func (c *Core) answerGrant(d *dispatch) {
	g := &wirepb.Grant{
		DispatchId: d.id,
		PermitMs:   uint32((d.grantedAt - d.arrived + PermitLifetime - permitMargin) / time.Millisecond),
		QueuedMs:   uint32((d.grantedAt - d.arrived) / time.Millisecond),
		Priority:   uint32(d.level) * 2,
		Suspected:  d.suspect,
	}
	if d.long {
		// Within an urgency the engine serves short prompts first.
		g.Priority++
	}
	for _, m := range d.members {
		g.Members = append(g.Members, &wirepb.GrantMember{
			Backend: m.backend.id, Address: m.backend.last.Address, Boot: m.boot,
			ReservedTokens: m.reserved, PartTokens: m.part,
		})
	}
	c.act(d, &wirepb.Envelope{Body: &wirepb.Envelope_Grant{Grant: g}})
}

func (c *Core) answerRefuse(d *dispatch, e *refusal.Error, redirect string) {
	c.act(d, &wirepb.Envelope{Body: &wirepb.Envelope_Refuse{Refuse: &wirepb.Refuse{
		DispatchId: d.id, Code: string(e.Code), Message: e.Message,
		RetryAfterMs: uint32(e.RetryAfter / time.Millisecond), Redirect: redirect,
	}}})
}

func (c *Core) act(d *dispatch, e *wirepb.Envelope) {
	c.actions = append(c.actions, Action{Entry: d.req.Entry, DispatchID: d.id, Envelope: e})
}
