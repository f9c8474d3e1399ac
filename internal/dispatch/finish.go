package dispatch

import (
	"time"

	"bilberryhub/internal/wirepb"
)

// withinFactor is how far beyond its estimate a first token may come and still
// count as within the target, for prompts whose prefill alone exceeds the target.
const withinFactor = 2

// maxSample bounds the time of one sample for the speed, as a multiple of the
// estimate.
const maxSample = 4

// firstToken takes the measured time to the first token.
func (c *Core) firstToken(d *dispatch, took time.Duration) {
	if d.state != stateStarted {
		return
	}
	took = c.sinceGrant(d, took)
	d.state, d.ttft = statePrefilled, took
	for _, m := range d.members {
		defer m.backend.touch()
		m.backend.dropPending(d)
		m.backend.cache.guess(d.req.PrefixHashes)
	}
	if len(d.members) > 1 {
		return // the members of a group cannot be told apart
	}
	b := d.members[0].backend
	if b.boot != d.members[0].boot {
		return
	}
	b.budget.FirstToken(took, d.estimate)
	c.measureSpeed(b, d, took)
}

// sinceGrant bounds a reported duration by the time since the grant, so that time
// spent in the queue is never taken for slowness of the backend server.
func (c *Core) sinceGrant(d *dispatch, elapsed time.Duration) time.Duration {
	return min(elapsed, c.now-d.grantedAt)
}

// done takes a complete response.
func (c *Core) done(d *dispatch, m *wirepb.Progress) {
	took := c.sinceGrant(d, time.Duration(m.ElapsedMs)*time.Millisecond)
	if d.ttft == 0 {
		d.ttft = took
	}
	within := d.ttft <= max(d.target, withinFactor*d.estimate)
	for _, mb := range d.members {
		if mb.backend.boot == mb.boot {
			mb.backend.budget.Answered(within)
		}
	}
	d.pool.times.observe(took, d.ttft, m.OutputTokens)
	if fp := string(d.req.Fingerprint); fp != "" {
		c.suspects.Completed(c.now, fp)
	}
	c.free(d, true)
}
