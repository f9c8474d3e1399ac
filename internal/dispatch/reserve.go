package dispatch

import (
	"fmt"
	"time"

	"bilberryhub/internal/refusal"
	"bilberryhub/internal/wirepb"
)

// noBackendRetryAfter is the Retry-After of a pool without any backend server: about
// the time in which backend servers find a new dispatcher.
const noBackendRetryAfter = 2 * time.Second

// Reserve processes a request for a backend server. It is answered by one Grant or
// Refuse among the actions, at once or after queueing. A repeated Reserve is answered by
// the same Grant if the dispatch is granted and not started, and otherwise ignored.
func (c *Core) Reserve(now time.Duration, r *wirepb.Reserve) {
	c.advance(now)
	if d := c.dispatches[r.DispatchId]; d != nil {
		c.repeatGrant(d)
		return
	}
	if _, ended := c.ended[r.DispatchId]; ended {
		return // cancelled before it arrived, or a late duplicate
	}
	p := c.pool(r.FailureDomain, r.Service)
	c.lastArrivalSeq++
	d := &dispatch{
		id: r.DispatchId, req: r, pool: p, arrivalSeq: c.lastArrivalSeq, arrivedAt: c.now,
		deadline: c.now + time.Duration(r.DeadlineMs)*time.Millisecond,
	}
	if c.view != nil {
		if u, ok := c.view.Urgency(r.Urgency); ok {
			d.priority, d.ttftTarget = int(u.Priority), u.TTFTTarget
		}
	}
	if e := c.admit(p, d); e != nil {
		c.answerRefuse(d, e, "")
		return
	}
	if c.redirectSuspect(d) {
		return
	}
	p.classes.observe(c.now, r.PromptTokens)
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

// repeatGrant answers a repeated Reserve with the same Grant, if the dispatch is granted
// and not started.
func (c *Core) repeatGrant(d *dispatch) {
	if d.state == stateGranted {
		c.answerGrant(d)
	}
}

// admit makes the admission checks of a new request and returns the refusal, or nil if
// it may be granted or queued.
func (c *Core) admit(p *pool, d *dispatch) *refusal.Error {
	if c.view == nil {
		return refusal.New(refusal.NoConfig, "the dispatcher has no configuration").WithRetryAfter(time.Second)
	}
	if c.releasing {
		return refusal.New(refusal.Draining, "the dispatcher is stopping").WithRetryAfter(time.Second)
	}
	if ok, why := c.mayServe(p.key.domain); !ok {
		return refusal.New(refusal.NoConfig, why).WithRetryAfter(time.Second)
	}
	if !c.disabled.exclusionCheck {
		if out, why := c.view.Excluded(p.key.domain, ""); out {
			return refusal.New(refusal.NoCapacity, "failure domain out of service: "+why).WithRetryAfter(maxConfigAge)
		}
	}
	if left, quarantined := c.quarantined(d); quarantined {
		return quarantineRefusal(left)
	}
	d.suspect = c.isSuspected(d)
	if !c.policy.queues() {
		return nil
	}
	d.long = c.isLong(p, d.req.PromptTokens)
	if e := c.admitDeadline(p, d); e != nil {
		return e
	}
	return c.admitAccount(p, d)
}

// admitDeadline refuses a request that no backend server can run, that is too large for
// any group, or that is not expected to finish by its deadline.
func (c *Core) admitDeadline(p *pool, d *dispatch) *refusal.Error {
	f, ok := c.forecast(p, d)
	if !ok {
		return refusal.New(refusal.NoCapacity, "no backend server in service").WithRetryAfter(c.untilNextBackend(p))
	}
	if _, group := c.largestMemory(p, d.req.Model); group > 0 && d.tokens() > group {
		return refusal.New(refusal.PromptTooLarge, fmt.Sprintf("%d tokens exceed the %d of the largest group", d.tokens(), group))
	}
	left := d.deadline - c.now
	if f.service > left {
		return refusal.New(refusal.DeadlineUnreachable, fmt.Sprintf("needs %v on an idle backend server, %v left", f.service.Round(time.Millisecond), left))
	}
	if f.wait+f.service > left {
		return refusal.New(refusal.DeadlineUnreachable, fmt.Sprintf("expected wait %v and service %v, %v left", f.wait.Round(time.Millisecond), f.service.Round(time.Millisecond), left)).
			WithRetryAfter(f.wait + f.service - left)
	}
	return nil
}

// untilNextBackend estimates the time until a pool without a usable backend server has
// one: the rest of the shortest waiting period or pause, or noBackendRetryAfter.
func (c *Core) untilNextBackend(p *pool) time.Duration {
	next := time.Duration(0)
	for _, b := range p.sortedBackends {
		until := max(b.waitUntil, b.pausedUntil)
		if c.now >= until || c.now >= b.leaseEnd || b.last.Leaving || b.saidLeaving {
			continue
		}
		if left := until - c.now; next == 0 || left < next {
			next = left
		}
	}
	if next == 0 {
		return noBackendRetryAfter
	}
	return next
}

// allOut reports whether all backend servers of a pool leave or want a pause, and when the
// first pause ends; 0 if all leave.
func (c *Core) allOut(p *pool) (isOut bool, until time.Duration) {
	for _, b := range p.sortedBackends {
		switch {
		case c.now >= b.leaseEnd:
		case b.last.Leaving || b.saidLeaving:
			isOut = true
		case c.now >= b.pausedUntil:
			return false, 0
		default:
			isOut = true
			if until == 0 || b.pausedUntil < until {
				until = b.pausedUntil
			}
		}
	}
	return isOut, until
}

// enqueue queues a request and grants what can be placed. If the queue is over its
// limit, the last request of the account with the largest backlog is refused, so that a
// burst of one account cannot shut out the others.
func (c *Core) enqueue(p *pool, d *dispatch) {
	p.lastOwnedAt = c.now
	p.queue.push(d, c.now)
	c.drainQueue(p)
	if p.queue.size <= c.cfg.MaxQueue {
		return
	}
	victim := p.queue.lastInOrder(p.queue.largestBacklog())
	c.refuse(victim, refusal.New(refusal.NoCapacity, "the queue is full").WithRetryAfter(p.averages.expectedServiceTime()))
}

// refuse removes a queued request and emits a Refuse.
func (c *Core) refuse(d *dispatch, e *refusal.Error) {
	c.freeDispatch(d, true)
	c.answerRefuse(d, e, "")
}

// refuseOverdue refuses queued requests whose deadline has passed or can no longer be
// met, those that have been quarantined, those that have become too large for the
// remaining engines, and all of them if the pool may not be served or has no lease.
func (c *Core) refuseOverdue(p *pool) {
	if p.queue.size == 0 {
		return
	}
	// Leases that lapse only briefly, as after a short pause, are renewed before
	// noBackendRetryAfter has passed.
	if c.ownsPool(p) {
		p.lastOwnedAt = c.now
	} else if c.now >= p.lastOwnedAt+noBackendRetryAfter {
		c.abandonQueue(p)
	}
	serve, why := c.mayServe(p.key.domain)
	speed := c.maxPrefillSpeed(p)
	_, group := c.largestMemory(p, "")
	isOut, until := c.allOut(p)
	for _, d := range p.queue.allByArrival() {
		left, quarantined := c.quarantined(d)
		switch {
		case quarantined:
			c.refuse(d, quarantineRefusal(left))
		case c.now >= d.deadline:
			c.refuse(d, refusal.New(refusal.DeadlineExceeded, "the deadline passed in the queue"))
		case !serve:
			c.refuse(d, refusal.New(refusal.NoConfig, why).WithRetryAfter(time.Second))
		case isOut && (until == 0 || until >= d.deadline):
			c.refuse(d, refusal.New(refusal.NoCapacity, "all backend servers leave or want a pause").WithRetryAfter(c.untilNextBackend(p)))
		case group > 0 && d.tokens() > group:
			c.refuse(d, refusal.New(refusal.NoCapacity, "too few engines are left for this prompt").WithRetryAfter(noBackendRetryAfter))
		case c.now+seconds(float64(d.req.PromptTokens)/speed)+p.averages.decode(d) > d.deadline:
			// The forecast accounts for cached prefixes. It is computed only for
			// requests that would be late if nothing of their prompt were cached.
			if f, ok := c.forecast(p, d); ok && c.now+f.service > d.deadline {
				c.refuse(d, refusal.New(refusal.DeadlineUnreachable, "the deadline can no longer be met").WithRetryAfter(f.wait))
			}
		}
	}
}

// maxPrefillSpeed returns the highest prefill speed among the usable backend servers of
// a pool, in tokens/s, or the default if there are none.
func (c *Core) maxPrefillSpeed(p *pool) float64 {
	top := 0.0
	for _, b := range p.sortedBackends {
		if ok, _ := c.usable(b); ok {
			top = max(top, c.speedOf(b))
		}
	}
	if top == 0 {
		return defaultPrefillTokensPerSecond
	}
	return top
}

// refuseAllQueued refuses all queued requests, for a planned stop.
func (c *Core) refuseAllQueued() {
	for _, p := range c.sortedPools {
		for _, d := range p.queue.allByArrival() {
			c.refuse(d, refusal.New(refusal.Draining, "the dispatcher is stopping").WithRetryAfter(time.Second))
		}
	}
}

// answerGrant emits the Grant of a dispatch. The permit counts from the Reserve, so it
// includes the time in the queue.
func (c *Core) answerGrant(d *dispatch) {
	g := &wirepb.Grant{
		DispatchId: d.id,
		PermitMs:   uint32((d.grantedAt - d.arrivedAt + PermitLifetime - permitMargin) / time.Millisecond),
		QueuedMs:   uint32((d.grantedAt - d.arrivedAt) / time.Millisecond),
		Priority:   uint32(d.priority) * 2,
		Suspected:  d.suspect,
	}
	if d.long {
		// Within one urgency, the engine serves short prompts first.
		g.Priority++
	}
	for _, m := range d.members {
		g.Members = append(g.Members, &wirepb.GrantMember{
			Backend: m.backend.id, Address: m.backend.last.Address, Boot: m.boot,
			ReservedTokens: m.reserved, PartTokens: m.promptTokens, Announcement: m.backend.last.Sequence,
		})
	}
	c.emit(d, &wirepb.Envelope{Body: &wirepb.Envelope_Grant{Grant: g}})
}

// answerRefuse emits a Refuse. redirect names the dispatcher that runs the request
// instead, or is empty.
func (c *Core) answerRefuse(d *dispatch, e *refusal.Error, redirect string) {
	c.emit(d, &wirepb.Envelope{Body: &wirepb.Envelope_Refuse{Refuse: &wirepb.Refuse{
		DispatchId: d.id, Code: string(e.Code), Message: e.Message,
		RetryAfterMs: uint32(e.RetryAfter / time.Millisecond), Redirect: redirect,
	}}})
}

// emit adds a message to the entry process of a dispatch to the actions.
func (c *Core) emit(d *dispatch, e *wirepb.Envelope) {
	c.actions = append(c.actions, Action{Entry: d.req.Entry, DispatchID: d.id, Envelope: e})
}
