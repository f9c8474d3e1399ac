package dispatch

import (
	"math"
	"slices"
	"time"

	"bilberryhub/internal/invariant"
)

const (
	// maxPrefillBacklog is the prefill time of the work on an engine up to which it is
	// granted more. It covers the round trip to the dispatcher; anything beyond is
	// better kept in the queue, where a more urgent request can still overtake it.
	maxPrefillBacklog = 200 * time.Millisecond
	// openRequestCost is the cost added per open request. It spreads requests over
	// backend servers of otherwise equal cost.
	openRequestCost = 2 * time.Millisecond
	// shortMemoryDivisor limits the requests that may use an engine held for a large
	// one: they need at most the engine's memory divided by it.
	shortMemoryDivisor = 32
	// holdDelay is the waiting time after which engines are kept free for a request
	// that no engine has the free memory for, so that smaller ones cannot starve it.
	holdDelay = time.Second
	// maxFlowScan limits how many requests of a flow are tried, if the first ones wait
	// for a particular backend server.
	maxFlowScan = 8
)

// foreignOpen returns the number of requests that a backend server may run and for
// which this dispatcher holds no reservation: they were granted by another dispatcher,
// or were freed here before their end was certain.
func (c *Core) foreignOpen(b *backend) int {
	if c.disabled.foreignOpen {
		return 0
	}
	if !b.foreignStale {
		return b.foreign
	}
	n := len(b.maybeRunning)
	for id := range b.reportedOpen {
		if b.open[id] != nil || c.ended[id].finished {
			continue
		}
		if _, counted := b.maybeRunning[id]; !counted {
			n++
		}
	}
	b.foreign, b.foreignStale = n, false
	return n
}

// computeSlotLimit computes slotLimit.
func (c *Core) computeSlotLimit(b *backend) int {
	full := b.maxConcurrent(c.service(b.pool))
	if c.disabled.coldBudget || !b.budget.Cold() {
		return full
	}
	if b.completeReportFrom > 0 && b.reportEarliest < b.completeReportFrom {
		// The load report does not yet list all requests that an earlier owner started.
		return 0
	}
	return min(full, b.budget.Limit())
}

// foreignMemory estimates the memory of the requests counted by foreignOpen, in tokens.
func (c *Core) foreignMemory(b *backend) uint64 {
	n := c.foreignOpen(b)
	if n == 0 {
		return 0
	}
	used := b.last.Load.MemoryUsedTokens
	own, listed := uint64(0), 0
	for id, d := range b.open {
		if b.reportedOpen[id] {
			own += d.memberOf(b).reserved
			listed++
		}
	}
	// Own requests use less than they reserve until their last token, so the
	// difference alone would underestimate the memory of the foreign ones.
	share := uint64(float64(used) * float64(n) / float64(n+listed))
	return max(share, used-min(used, own))
}

// computeFreeMemory computes freeMemory.
func (c *Core) computeFreeMemory(b *backend) uint64 {
	taken := b.reserved + c.foreignMemory(b)
	return b.last.MemoryTokens - min(taken, b.last.MemoryTokens)
}

// isCandidate reports whether a request may be granted a backend server now, without
// regard to memory and length class.
func (c *Core) isCandidate(b *backend, d *dispatch) bool {
	return c.hasRoom(b) && b.serves(d.req.Model) && !c.shouldAvoid(d, b) && c.suspicionAllows(b, d)
}

// hasRoom reports whether a backend server is usable and has a free slot and, if it is
// an engine, at most maxPrefillBacklog of prefill work.
func (c *Core) hasRoom(b *backend) bool {
	if ok, _ := c.usable(b); !ok || c.outstanding(b) >= c.slotLimit(b) {
		return false
	}
	return b.isPlain() || c.workAhead(b) <= maxPrefillBacklog.Seconds()*c.speedOf(b)
}

// shouldAvoid reports whether another backend server should be used because an attempt
// on b has failed. If there is no other one, b is used again: a single broken
// connection is little evidence against it.
func (c *Core) shouldAvoid(d *dispatch, b *backend) bool {
	if !isExcluded(d, b) {
		return false
	}
	for _, other := range d.pool.sortedBackends {
		if ok, _ := c.usable(other); ok && other.serves(d.req.Model) && !isExcluded(d, other) {
			return true
		}
	}
	return false
}

// isExcluded reports whether the request excludes a backend server.
func isExcluded(d *dispatch, b *backend) bool {
	for _, id := range d.req.Exclude {
		if id == b.id {
			return true
		}
	}
	return false
}

// canBackfill reports whether a short request may use an engine that is held for a
// large one. An engine that waits for memory to be freed would otherwise grant nothing
// else for as long as its longest request runs. The held engines must still have
// enough memory for the large request in addition to all short ones, so that these
// cannot starve it.
func (c *Core) canBackfill(large *dispatch, b *backend, d *dispatch) bool {
	if d.long || b.isPlain() || d.tokens() > b.last.MemoryTokens/shortMemoryDivisor {
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

// bilberry is the default policy, with queueing, length classes, groups and cold
// budgets.
type bilberry struct{}

func (bilberry) queues() bool { return true }

// place returns a group if no single engine has the memory for the request, otherwise
// the backend server with the lowest cost among those that have room for it.
func (bilberry) place(c *Core, d *dispatch, heldBy map[*backend]*dispatch) []member {
	if c.needsGroup(d.pool, d) {
		return c.placeGroup(d, heldBy)
	}
	var best *backend
	lowest := math.Inf(1)
	for _, b := range d.pool.sortedBackends {
		if holder := heldBy[b]; holder != nil && holder != d && !c.canBackfill(holder, b, d) {
			continue
		}
		if !c.isCandidate(b, d) || !c.lengthAllows(b, d) {
			continue
		}
		if !b.isPlain() && c.freeMemory(b) < d.tokens() {
			continue
		}
		if cost := c.costOf(b, d); cost < lowest {
			best, lowest = b, cost
		}
	}
	if best == nil {
		return nil
	}
	m := member{backend: best, boot: best.boot, promptTokens: d.req.PromptTokens}
	if !best.isPlain() {
		m.reserved, m.prefillTokens = d.tokens(), best.prefillOf(d)
	}
	return []member{m}
}

// costOf returns the cost of granting a backend server, in seconds: mainly the
// estimated time to the first token. The backend server with the lowest cost is
// chosen.
func (c *Core) costOf(b *backend, d *dispatch) float64 {
	cost := openRequestCost.Seconds() * float64(c.outstanding(b))
	if age := c.reportAge(b); age > freshReportAge {
		cost += stalePenaltyPerSecond * (age - freshReportAge).Seconds()
	}
	overhead, speed := c.choiceTimes(b)
	cost += overhead.Seconds()
	if b.isPlain() {
		return cost
	}
	return cost + (c.workAhead(b)+b.prefillOf(d))/speed
}

// drainQueue grants queued requests in order of service until none can be placed.
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

// placementClass groups requests that may use the same backend servers. Within one
// class, a request fits nowhere if a smaller one fits nowhere.
type placementClass struct {
	long       bool
	avoidsLong bool // still avoids engines with a long prefill; see lengthAllows
	model      string
}

// drainOnce grants the first queued request that can be placed, and reports whether
// the queue has changed.
func (c *Core) drainOnce(p *pool) bool {
	if !slices.ContainsFunc(p.sortedBackends, c.hasRoom) {
		return false
	}
	heldBy := map[*backend]*dispatch{}
	failed := map[placementClass]uint64{}
	for _, f := range c.ordered(&p.queue) {
		if done := c.drainFlow(p, f, heldBy, failed); done {
			return true
		}
	}
	return false
}

// drainFlow grants the first request of a flow, or one behind it if the ones before
// it wait only for a particular backend server. It reports whether a request has left
// the queue. heldBy maps engines to the request that they are kept free for, failed a
// class to the tokens of the smallest request that found no room.
func (c *Core) drainFlow(p *pool, f *flow, heldBy map[*backend]*dispatch, failed map[placementClass]uint64) bool {
	for _, d := range f.items[:min(len(f.items), maxFlowScan)] {
		s := placementClass{d.long, c.now-d.arrivedAt <= max(maxShortAvoidance, d.ttftTarget), d.req.Model}
		unrestricted := !c.isRestricted(d)
		if smallest, tried := failed[s]; tried && unrestricted && d.tokens() >= smallest {
			return false // a smaller request of this class has found no room
		}
		if c.redirectSuspect(d) {
			return true // refused and removed from the queue
		}
		if members := c.policy.place(c, d, heldBy); members != nil {
			p.queue.serve(d, c.now)
			c.grant(d, members)
			return true
		}
		if unrestricted {
			if failed[s] == 0 || d.tokens() < failed[s] {
				failed[s] = d.tokens()
			}
			c.holdFor(d, heldBy)
			return false
		}
	}
	return false
}

// isRestricted reports whether a request may use only some of the backend servers that
// others of its placementClass may use.
func (c *Core) isRestricted(d *dispatch) bool {
	return len(d.req.Exclude) > 0 || c.isSuspected(d) || c.confinedTo(d) != nil
}

// holdFor keeps engines free for a request that has waited holdDelay for memory, by
// adding them to heldBy. Engines chosen before are kept as long as they are usable.
func (c *Core) holdFor(d *dispatch, heldBy map[*backend]*dispatch) {
	if c.disabled.hold || c.now-d.arrivedAt < holdDelay || c.fitsSomewhere(d) {
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
		d.holdTargets = c.chooseHold(d, heldBy)
	}
	for _, b := range d.holdTargets {
		if heldBy[b] == nil {
			heldBy[b] = d
		}
	}
}

// fitsSomewhere reports whether a usable backend server has the free memory for a
// request, so that it waits for something else.
func (c *Core) fitsSomewhere(d *dispatch) bool {
	for _, b := range d.pool.sortedBackends {
		if ok, _ := c.usable(b); ok && (b.isPlain() || c.freeMemory(b) >= d.tokens()) && c.lengthAllows(b, d) && b.serves(d.req.Model) {
			return true
		}
	}
	return false
}

// grant reserves the members of a dispatch and emits the Grant.
func (c *Core) grant(d *dispatch, members []member) {
	d.state, d.grantedAt, d.suspectAtGrant = stateGranted, c.now, c.isSuspected(d)
	first := members[0].backend
	d.workAhead = c.workAhead(first) + members[0].prefillTokens
	d.ttftEstimate = c.estimateTTFT(members)
	c.reserveMembers(d, members)
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

// estimateTTFT estimates the time from a grant to the first token. The members of
// a group prefill their parts one after the other.
func (c *Core) estimateTTFT(members []member) time.Duration {
	t := c.overheadOf(members[0].backend)
	for _, m := range members {
		t += seconds((c.workAhead(m.backend) + m.prefillTokens) / c.speedOf(m.backend))
	}
	return t
}
