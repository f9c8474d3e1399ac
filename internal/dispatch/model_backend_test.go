package dispatch

import (
	"maps"
	"slices"
	"time"

	"bilberryhub/internal/announce"
	"bilberryhub/internal/wirepb"
)

// backendSim is a backend server, which checks what arrives.
type backendSim struct {
	w          *world
	id, domain string
	boot, seq  uint64
	target     *entrySim
	previous   string
	released   bool
	answered   bool
	running    map[string]*callSim
	reports    []announce.Load // older reports, to make them lag
	completed  int
	limit      int
	down       bool
	coldUntil  time.Duration // says that it is cold until then
}

// allowed is the most requests that any mix of dispatchers may have open after
// the responses completed so far: the cold limit doubles after each full budget.
func (b *backendSim) allowed() int {
	if b.w.now < b.coldUntil {
		b.completed = 0
	}
	limit, left := b.limit, b.completed
	for left >= limit {
		left -= limit
		limit *= 2
	}
	return limit
}

func (b *backendSim) arrive(c *callSim, boot uint64) {
	w := b.w
	if b.down || boot != b.boot {
		w.deliver(c.entry, time.Millisecond, func() { c.end(wirepb.Progress_STEP_REFUSED) })
		return
	}
	b.running[c.req.DispatchId] = c
	if len(b.running) > b.allowed() {
		w.fault("%s boot %d holds %d requests, allowed %d after %d responses", b.id, b.boot, len(b.running), b.allowed(), b.completed)
	}
	if w.poison[string(c.req.Fingerprint)] {
		w.after(w.upTo(200*time.Millisecond), func() {
			if b.boot == boot && b.running[c.req.DispatchId] == c {
				w.poisoned++
				b.crash()
			}
		})
		return
	}
	first := 20*time.Millisecond + time.Duration(c.req.PromptTokens)*100*time.Microsecond
	w.after(first, func() {
		if b.boot == boot && b.running[c.req.DispatchId] == c {
			w.deliver(c.entry, time.Millisecond, func() { c.progress(wirepb.Progress_STEP_FIRST_TOKEN, 1) })
		}
	})
	length := w.upTo(500 * time.Millisecond)
	if w.rng.IntN(10) == 0 {
		length = w.upTo(6 * time.Second)
	}
	w.after(first+length, func() {
		if b.boot != boot || b.running[c.req.DispatchId] != c {
			return
		}
		delete(b.running, c.req.DispatchId)
		if c.entry.dead || c.entry.calls[c.req.DispatchId] != c {
			return
		}
		b.completed++
		w.done++
		for _, class := range []string{c.req.Urgency, c.req.Account} {
			w.served[class]++
			w.gaps[class] = max(w.gaps[class], w.now-w.servedAt[class])
			w.servedAt[class] = w.now
		}
		w.deliver(c.entry, time.Millisecond, func() {
			w.addFP(string(c.req.Fingerprint), "done")
			w.broadcast(&wirepb.Suspect{Fingerprint: c.req.Fingerprint, Cleared: true})
			c.end(wirepb.Progress_STEP_DONE)
		})
	})
}

func (w *world) broadcast(m *wirepb.Suspect) {
	for _, e := range w.entries {
		w.deliver(e, w.upTo(2*time.Millisecond), func() { e.core.Suspect(w.now, m) })
	}
}

// crash restarts a backend server. The entry processes find out by a health check.
func (b *backendSim) crash() {
	w := b.w
	old := b.running
	crashed := b.boot
	b.boot++
	b.seq, b.previous, b.released, b.completed = 0, "", false, 0
	b.running, b.reports, b.down = map[string]*callSim{}, nil, true
	b.coldUntil = w.now + w.upTo(20*time.Second)
	w.after(time.Second+w.upTo(2*time.Second), func() { b.down = false })
	for _, id := range slices.Sorted(maps.Keys(old)) {
		c := old[id]
		w.deliver(c.entry, 5*time.Millisecond+w.upTo(20*time.Millisecond), func() {
			if c.entry.calls[id] != c {
				return
			}
			fp := c.req.Fingerprint
			w.broadcast(&wirepb.Suspect{Fingerprint: fp, Backend: b.id, Boot: crashed, Sole: c.sole})
			w.addFP(string(fp), "crashed")
			c.end(wirepb.Progress_STEP_CRASHED)
		})
	}
}

// announce sends one announcement. An unanswered call may have been accepted, so
// its receiver counts as the previous owner.
func (b *backendSim) announce() {
	w := b.w
	w.after(announce.Interval, b.announce)
	if b.down {
		return
	}
	b.reports = append(b.reports, announce.Load{Open: slices.Sorted(maps.Keys(b.running)), Sequence: b.seq, Cold: w.now < b.coldUntil})
	if b.target == nil || !b.answered {
		b.target = w.entries[w.rng.IntN(len(w.entries))]
	}
	b.answered = false
	b.call(b.target, 0)
}

func (b *backendSim) call(to *entrySim, hops int) {
	w := b.w
	lag := min(len(b.reports)-1, w.rng.IntN(2))
	load := b.reports[len(b.reports)-1-lag]
	load.AgeMS = uint64(lag) * uint64(announce.Interval.Milliseconds())
	b.seq++
	a := &announce.Announcement{
		ID: b.id, Boot: b.boot, Address: b.id, FailureDomain: b.domain, Service: "svc", Kind: announce.KindModel,
		Models: []string{"m"}, MemoryTokens: 100000, ColdLimitRequests: uint32(b.limit), Sequence: b.seq, Load: load,
	}
	if b.previous != to.id {
		a.PreviousOwner, a.PreviousReleased = b.previous, b.released
	}
	boot := b.boot
	before, beforeReleased := b.previous, b.released
	b.previous, b.released = to.id, false
	sent := w.now
	delay := w.upTo(20 * time.Millisecond)
	if w.rng.IntN(20) == 0 {
		delay = w.upTo(announce.MaxDelay)
	}
	w.deliver(to, delay, func() {
		d := to.dispatcher(b.domain)
		var reply announce.Reply
		if d == to {
			to.received[b.id] = w.now
			reply = to.core.Announce(w.now, a)
		}
		w.after(w.upTo(10*time.Millisecond), func() {
			if w.now > sent+announce.MaxDelay || b.boot != boot || b.down || b.seq != a.Sequence {
				return // the backend server has given up on the call
			}
			if d != to {
				// A redirect proves that the receiver did not accept.
				b.previous, b.released = before, beforeReleased
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
