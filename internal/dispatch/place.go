package dispatch

import (
	"math"
	"slices"
	"time"

	"bilberryhub/internal/invariant"
)

const (
	// maxBacklog is the prefill work, as time, up to which an engine gets more.
	// It bridges the round trip to the dispatcher; anything beyond is better kept
	// in the queue, where a more urgent request can still pass it.
	maxBacklog = 200 * time.Millisecond
	// openCost is the added cost per open request, which spreads equal choices.
	openCost = 2 * time.Millisecond
	// shortMemoryShare is the part of an engine's memory that a request may need
	// to count as short beside a held one.
	shortMemoryShare = 32
	// holdAfter is the wait after which memory is kept free for a request that
	// fits nowhere, so that smaller ones cannot starve it.
	holdAfter = time.Second
	// maxScan bounds how far a flow is searched behind requests that wait for a
	// particular backend server.
	maxScan = 8
)

// foreignOpen counts the requests on a backend server that this dispatcher did
// not grant or has given up on, while the backend server may still run them.
func (c *Core) foreignOpen(b *backend) int {
	if c.off.foreignOpen {
		return 0
	}
	if !b.foreignStale {
		return b.foreign
	}
	n := len(b.linger)
	for id := range b.reported {
		if b.open[id] != nil || c.ended[id].finished {
			continue
		}
		if _, counted := b.linger[id]; !counted {
			n++
		}
	}
	b.foreign, b.foreignStale = n, false
	return n
}

// limitSlots computes slotLimit.
func (c *Core) limitSlots(b *backend) int {
	full := b.maxConcurrent(c.service(b.pool))
	if c.off.coldBudget || !b.budget.Cold() {
		return full
	}
	if b.provenFrom > 0 && b.reportSure < b.provenFrom {
		// The report does not yet show all that an earlier owner started.
		return 0
	}
	return min(full, b.budget.Limit())
}

// foreignMemory estimates the memory of requests that are not reserved here.
func (c *Core) foreignMemory(b *backend) uint64 {
	n := c.foreignOpen(b)
	if n == 0 {
		return 0
	}
	used := b.last.Load.MemoryUsedTokens
	own, listed := uint64(0), 0
	for id, d := range b.open {
		if b.reported[id] {
			own += d.memberOf(b).reserved
			listed++
		}
	}
	// Own requests use less than they reserve until their last token, so the
	// difference alone would leave too little for the others.
	share := uint64(float64(used) * float64(n) / float64(n+listed))
	return max(share, used-min(used, own))
}

// countFree computes freeMemory.
func (c *Core) countFree(b *backend) uint64 {
	taken := b.reserved + c.foreignMemory(b)
	return b.last.MemoryTokens - min(taken, b.last.MemoryTokens)
}

// candidate tells whether a request may be granted a backend server now, apart
// from memory.
func (c *Core) candidate(b *backend, d *dispatch) bool {
	return c.hasRoom(b) && b.serves(d.req.Model) && !c.avoids(d, b) && c.suspicionAllows(b, d)
}

// hasRoom tells whether a backend server may be granted now and takes any request.
func (c *Core) hasRoom(b *backend) bool {
	if ok, _ := c.usable(b); !ok || c.outstanding(b) >= c.slotLimit(b) {
		return false
	}
	return b.plain() || c.workAhead(b) <= maxBacklog.Seconds()*c.speedOf(b)
}

// avoids tells whether another backend server should be tried after a failed
// attempt on b. Without another one, the same one is tried again: a connection
// that broke once says little about it.
func (c *Core) avoids(d *dispatch, b *backend) bool {
	if !excludes(d, b) {
		return false
	}
	for _, other := range d.pool.order {
		if ok, _ := c.usable(other); ok && other.serves(d.req.Model) && !excludes(d, other) {
			return true
		}
	}
	return false
}

func excludes(d *dispatch, b *backend) bool {
	for _, id := range d.req.Exclude {
		if id == b.id {
			return true
		}
	}
	return false
}

// fitsBeside tells whether a short request may use an engine that is held for a
// large one. An engine that waits for its memory to drain would otherwise stand
// idle for all others, for as long as its longest request takes. The engines held
// must still have room for the large request beside all short ones, so that
// these cannot starve it.
func (c *Core) fitsBeside(large *dispatch, b *backend, d *dispatch) bool {
	if d.long || b.plain() || d.tokens() > b.last.MemoryTokens/shortMemoryShare {
		return false
	}
	need := large.tokens() + d.tokens()
	var memory uint64
	for _, t := range large.holdTargets {
		memory += t.last.MemoryTokens
		for _, x := range t.open {
			if !x.long {
				need += x.memberOf(t).reserved
			}
		}
	}
	return memory >= need
}

// bilberry is the full policy.
type bilberry struct{}

func (bilberry) queues() bool { return true }

func (bilberry) place(c *Core, d *dispatch, held map[*backend]*dispatch) []member {
	if c.needsGroup(d.pool, d) {
		return c.placeGroup(d, held)
	}
	var best *backend
	least := math.Inf(1)
	for _, b := range d.pool.order {
		if by := held[b]; by != nil && by != d && !c.fitsBeside(by, b, d) {
			continue
		}
		if !c.candidate(b, d) || !c.lengthAllows(b, d) {
			continue
		}
		if !b.plain() && c.freeMemory(b) < d.tokens() {
			continue
		}
		if cost := c.costOf(b, d); cost < least {
			best, least = b, cost
		}
	}
	if best == nil {
		return nil
	}
	m := member{backend: best, boot: best.boot, part: d.req.PromptTokens}
	if !best.plain() {
		m.reserved, m.prefill = d.tokens(), best.prefillOf(d)
	}
	return []member{m}
}

// costOf returns the cost of granting a backend server, in seconds.
func (c *Core) costOf(b *backend, d *dispatch) float64 {
	cost := openCost.Seconds() * float64(c.outstanding(b))
	if age := c.reportAge(b); age > freshReport {
		cost += stalePenalty * (age - freshReport).Seconds()
	}
	base, speed := c.timesFor(b)
	cost += base.Seconds()
	if b.plain() {
		return cost
	}
	return cost + (c.workAhead(b)+b.prefillOf(d))/speed
}

// drainQueue grants queued requests in order as long as they can be placed.
func (c *Core) drainQueue(p *pool) {
	if p.queue.size == 0 || c.view == nil {
		return
	}
	if ok, _ := c.mayServe(p.key.domain); !ok {
		return
	}
	for c.drainOnce(p) {
	}
}

// shape tells requests apart that need different room on the same backend servers.
type shape struct {
	long    bool
	patient bool // has not waited for shortPatience
	model   string
}

// drainOnce grants the first queued request that can be placed.
func (c *Core) drainOnce(p *pool) bool {
	if !slices.ContainsFunc(p.order, c.hasRoom) {
		return false
	}
	held := map[*backend]*dispatch{}
	failed := map[shape]uint64{}
	for _, f := range c.ordered(&p.queue) {
		if done := c.drainFlow(p, f, held, failed); done {
			return true
		}
	}
	return false
}

// drainFlow grants the first request of a flow, or one behind it if the first waits
// for a particular backend server only.
func (c *Core) drainFlow(p *pool, f *flow, held map[*backend]*dispatch, failed map[shape]uint64) bool {
	for _, d := range f.items[:min(len(f.items), maxScan)] {
		s := shape{d.long, c.now-d.arrived <= max(shortPatience, d.target), d.req.Model}
		free := !c.restricted(d)
		if least, tried := failed[s]; tried && free && d.tokens() >= least {
			return false // a smaller request of this kind has found no room
		}
		if c.homeElsewhere(d) {
			return true // refused, and thereby removed
		}
		if members := c.policy.place(c, d, held); members != nil {
			p.queue.serve(d, c.now)
			c.grant(d, members)
			return true
		}
		if free {
			if failed[s] == 0 || d.tokens() < failed[s] {
				failed[s] = d.tokens()
			}
			c.holdFor(d, held)
			return false
		}
	}
	return false
}

// restricted tells whether a request may use only some of the backend servers that
// others of its kind may use.
func (c *Core) restricted(d *dispatch) bool {
	return len(d.req.Exclude) > 0 || c.suspected(d) || c.unproven(d) != nil
}

// holdFor keeps backend servers free for a request that waits long for memory.
func (c *Core) holdFor(d *dispatch, held map[*backend]*dispatch) {
	if c.off.hold || c.now-d.arrived < holdAfter || c.fitsSomewhere(d) {
		return
	}
	keep := d.holdTargets[:0]
	for _, b := range d.holdTargets {
		if ok, _ := c.usable(b); ok && c.lengthAllows(b, d) {
			keep = append(keep, b)
		}
	}
	d.holdTargets = keep
	if !c.holdsEnough(d) {
		d.holdTargets = c.chooseHold(d, held)
	}
	for _, b := range d.holdTargets {
		if held[b] == nil {
			held[b] = d
		}
	}
}

// fitsSomewhere tells whether some engine has the memory for a request, so that it
// waits for something else.
func (c *Core) fitsSomewhere(d *dispatch) bool {
	for _, b := range d.pool.order {
		if ok, _ := c.usable(b); ok && (b.plain() || c.freeMemory(b) >= d.tokens()) && c.lengthAllows(b, d) && b.serves(d.req.Model) {
			return true
		}
	}
	return false
}

// grant reserves the members and answers the entry process.
func (c *Core) grant(d *dispatch, members []member) {
	d.state, d.grantedAt, d.sole = stateGranted, c.now, c.suspected(d)
	first := members[0].backend
	d.workAhead = c.workAhead(first) + members[0].prefill
	d.estimate = c.estimateFirst(members)
	c.hold(d, members)
	d.pool.queue.account(d.req.Account).running++
	for _, m := range members {
		ok, why := c.checkUsable(m.backend)
		invariant.Report(ok, "grant_usable", "dispatch %s granted %s: %s", d.id, m.backend.id, why)
		if c.policy.queues() {
			c.checkGrant(d, m)
		}
	}
	c.answerGrant(d)
}

// estimateFirst estimates the time to the first token of a grant. The members of
// a group prefill their parts one after the other.
func (c *Core) estimateFirst(members []member) time.Duration {
	t := c.baseOf(members[0].backend)
	for _, m := range members {
		t += seconds((c.workAhead(m.backend) + m.prefill) / c.speedOf(m.backend))
	}
	return t
}
