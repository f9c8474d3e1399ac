package dispatch

import (
	"time"

	"bilberryhub/internal/refusal"
)

// Suspected tells whether a fingerprint is under suspicion. An entry process asks
// before it starts a request: a crash of a request that was under suspicion then is
// attributed to it alone (Suspect.sole).
func (c *Core) Suspected(fingerprint []byte) bool { return c.suspects.Suspect(string(fingerprint)) }

func (c *Core) suspected(d *dispatch) bool {
	return !c.off.suspicion && len(d.req.Fingerprint) > 0 && c.suspects.Suspect(string(d.req.Fingerprint))
}

func (c *Core) quarantined(d *dispatch) (time.Duration, bool) {
	if c.off.suspicion {
		return 0, false
	}
	return c.suspects.Quarantined(c.now, string(d.req.Fingerprint))
}

// track notes where a fingerprint runs.
func (c *Core) track(d *dispatch) {
	if fp := string(d.req.Fingerprint); fp != "" {
		c.running[fp] = append(c.running[fp], d)
	}
}

func (c *Core) untrack(d *dispatch) {
	fp := string(d.req.Fingerprint)
	list := c.running[fp]
	for i, x := range list {
		if x == d {
			list = append(list[:i:i], list[i+1:]...)
			break
		}
	}
	if len(list) == 0 {
		delete(c.running, fp)
		return
	}
	c.running[fp] = list
}

// unproven returns the backend server to which copies of a request are confined:
// until one run of a fingerprint has completed, copies of it go to the backend
// server that already runs one. Otherwise copies sent at the same time would
// crash many backend servers before the first crash is known.
func (c *Core) unproven(d *dispatch) *backend {
	fp := string(d.req.Fingerprint)
	if c.off.proving || fp == "" || c.suspects.Proven(fp) {
		return nil
	}
	for _, x := range c.running[fp] {
		if x.pool == d.pool && len(x.members) > 0 {
			return x.members[0].backend
		}
	}
	return nil
}

// suspicionAllows tells whether a request may run on a backend server. A suspect
// runs alone among suspects, and one at a time per fingerprint, so that a crash
// can be attributed to it.
func (c *Core) suspicionAllows(b *backend, d *dispatch) bool {
	if only := c.unproven(d); only != nil && only != b {
		return false
	}
	if !c.suspected(d) {
		return true
	}
	fp := string(d.req.Fingerprint)
	if len(c.running[fp]) > 0 || !c.suspects.Settled(c.now, fp) {
		return false
	}
	for _, x := range b.open {
		if c.suspected(x) {
			return false
		}
	}
	return true
}

// homeElsewhere refuses a suspected request that another dispatcher must run, and
// names that dispatcher.
func (c *Core) homeElsewhere(d *dispatch) bool {
	if c.homes == nil || !c.suspected(d) {
		return false
	}
	domain, dispatcher, ok := c.homes.SuspectHome(d.req.Service, d.req.Fingerprint)
	if !ok || domain == d.req.FailureDomain {
		return false
	}
	if c.dispatches[d.id] != nil {
		c.free(d, true)
	}
	c.answerRefuse(d, refusal.New(refusal.NoCapacity, "suspected requests of this fingerprint run in failure domain "+domain), dispatcher)
	return true
}
