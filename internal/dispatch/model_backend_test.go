package dispatch

import (
	"maps"
	"slices"
	"time"

	"bilberryhub/internal/announce"
	"bilberryhub/internal/wirepb"
)

// backendSim simulates a backend server. It records a failure if it gets more requests
// than it allows.
type backendSim struct {
	sim           *simulation
	id, domain    string
	boot, seq     uint64
	target        *entrySim // entry process for the next announcement
	previousOwner string
	released      bool // previousOwner has released its lease
	answered      bool // the last announcement was accepted
	running       map[string]*callSim
	reports       []announce.Load // all load reports of this boot, so that older ones can be sent
	completed     int             // responses since the backend server was last cold
	limit         int             // cold limit
	down          bool
	coldUntil     time.Duration // reports itself as cold until this time
}

// allowed returns the maximum number of requests that all dispatchers together may have
// open after the responses completed so far: the cold limit doubles after each full
// budget.
func (b *backendSim) allowed() int {
	if b.sim.now < b.coldUntil {
		b.completed = 0
	}
	limit, left := b.limit, b.completed
	for left >= limit {
		left -= limit
		limit *= 2
	}
	return limit
}

// arrive runs a request that was granted for the given boot. It refuses the request if
// it runs under another boot, and crashes after a delay if the request is poisonous.
func (b *backendSim) arrive(c *callSim, boot uint64) {
	sim := b.sim
	if b.down || boot != b.boot {
		sim.deliver(c.entry, time.Millisecond, func() { c.end(wirepb.Progress_STEP_REFUSED) })
		return
	}
	b.running[c.req.DispatchId] = c
	if len(b.running) > b.allowed() {
		sim.failf("%s boot %d holds %d requests, allowed %d after %d responses", b.id, b.boot, len(b.running), b.allowed(), b.completed)
	}
	if sim.poison[string(c.req.Fingerprint)] {
		sim.schedule(sim.randomDuration(200*time.Millisecond), func() {
			if b.boot == boot && b.running[c.req.DispatchId] == c {
				sim.poisoned++
				b.crash()
			}
		})
		return
	}
	first := 20*time.Millisecond + time.Duration(c.req.PromptTokens)*100*time.Microsecond
	sim.schedule(first, func() {
		if b.boot == boot && b.running[c.req.DispatchId] == c {
			sim.deliver(c.entry, time.Millisecond, func() { c.progress(wirepb.Progress_STEP_FIRST_TOKEN, 1) })
		}
	})
	length := sim.randomDuration(500 * time.Millisecond)
	if sim.rng.IntN(10) == 0 {
		length = sim.randomDuration(6 * time.Second)
	}
	sim.schedule(first+length, func() {
		if b.boot != boot || b.running[c.req.DispatchId] != c {
			return
		}
		delete(b.running, c.req.DispatchId)
		if c.entry.dead || c.entry.calls[c.req.DispatchId] != c {
			return
		}
		b.completed++
		sim.done++
		for _, class := range []string{c.req.Urgency, c.req.Account} {
			sim.served[class]++
			sim.longestGaps[class] = max(sim.longestGaps[class], sim.now-sim.servedAt[class])
			sim.servedAt[class] = sim.now
		}
		sim.deliver(c.entry, time.Millisecond, func() {
			sim.countOutcome(string(c.req.Fingerprint), "done")
			sim.broadcast(&wirepb.Suspect{Fingerprint: c.req.Fingerprint, Cleared: true})
			c.end(wirepb.Progress_STEP_DONE)
		})
	})
}

// broadcast sends a Suspect message to all entry processes.
func (sim *simulation) broadcast(m *wirepb.Suspect) {
	for _, e := range sim.entries {
		sim.deliver(e, sim.randomDuration(2*time.Millisecond), func() { e.core.Suspect(sim.now, m) })
	}
}

// crash restarts a backend server under a new boot number. The entry processes of its
// requests detect it after a delay, as by a health check.
func (b *backendSim) crash() {
	sim := b.sim
	old := b.running
	crashed := b.boot
	b.boot++
	b.seq, b.previousOwner, b.released, b.completed = 0, "", false, 0
	b.running, b.reports, b.down = map[string]*callSim{}, nil, true
	b.coldUntil = sim.now + sim.randomDuration(20*time.Second)
	sim.schedule(time.Second+sim.randomDuration(2*time.Second), func() { b.down = false })
	for _, id := range slices.Sorted(maps.Keys(old)) {
		c := old[id]
		sim.deliver(c.entry, 5*time.Millisecond+sim.randomDuration(20*time.Millisecond), func() {
			if c.entry.calls[id] != c {
				return
			}
			fp := c.req.Fingerprint
			sim.broadcast(&wirepb.Suspect{Fingerprint: fp, Backend: b.id, Boot: crashed, Sole: c.suspectAtStart})
			sim.countOutcome(string(fp), "crashed")
			c.end(wirepb.Progress_STEP_CRASHED)
		})
	}
}

// announce sends one announcement per interval. A call without an answer may have been
// accepted, so its receiver counts as the previous owner.
func (b *backendSim) announce() {
	sim := b.sim
	sim.schedule(announce.Interval, b.announce)
	if b.down {
		return
	}
	b.reports = append(b.reports, announce.Load{Open: slices.Sorted(maps.Keys(b.running)), Sequence: b.seq, Cold: sim.now < b.coldUntil})
	if b.target == nil || !b.answered {
		b.target = sim.entries[sim.rng.IntN(len(sim.entries))]
	}
	b.answered = false
	b.call(b.target, 0)
}

// call posts an announcement to an entry process and follows up to two redirects.
func (b *backendSim) call(to *entrySim, hops int) {
	sim := b.sim
	lag := min(len(b.reports)-1, sim.rng.IntN(2))
	load := b.reports[len(b.reports)-1-lag]
	load.AgeMS = uint64(lag) * uint64(announce.Interval.Milliseconds())
	b.seq++
	a := &announce.Announcement{
		ID: b.id, Boot: b.boot, Address: b.id, FailureDomain: b.domain, Service: "svc", Kind: announce.KindModel,
		Models: []string{"m"}, MemoryTokens: 100000, ColdLimitRequests: uint32(b.limit), Sequence: b.seq, Load: load,
	}
	if b.previousOwner != to.id {
		a.PreviousOwner, a.PreviousReleased = b.previousOwner, b.released
	}
	boot := b.boot
	before, beforeReleased := b.previousOwner, b.released
	b.previousOwner, b.released = to.id, false
	sent := sim.now
	delay := sim.randomDuration(20 * time.Millisecond)
	if sim.rng.IntN(20) == 0 {
		delay = sim.randomDuration(announce.MaxDelay)
	}
	sim.deliver(to, delay, func() {
		d := to.dispatcher(b.domain)
		var reply announce.Reply
		if d == to {
			to.received[b.id] = sim.now
			reply = to.core.Announce(sim.now, a)
		}
		sim.schedule(sim.randomDuration(10*time.Millisecond), func() {
			if sim.now > sent+announce.MaxDelay || b.boot != boot || b.down || b.seq != a.Sequence {
				return // the call has timed out at the backend server
			}
			if d != to {
				// A redirect proves that the receiver did not accept the announcement.
				b.previousOwner, b.released = before, beforeReleased
				if hops < 2 && d != nil {
					b.target = d
					b.call(d, hops+1)
				}
				return
			}
			b.answered = true
			if reply.Released {
				b.released, b.answered = true, false
			}
		})
	})
}
