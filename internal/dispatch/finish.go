package dispatch

import (
	"time"

	"bilberryhub/internal/wirepb"
)

// onTimeFactor is the multiple of the estimated time to the first token up to which a
// response counts as within the target, for prompts whose prefill alone exceeds the
// target.
const onTimeFactor = 2

// maxSampleFactor limits the time of one sample of the prefill speed, as a multiple of
// the estimated time.
const maxSampleFactor = 4

// recordFirstToken processes the report of a first token, took after the grant. It
// updates the cold budget, the prefill speed and the prefix cache of the backend
// server.
func (c *Core) recordFirstToken(d *dispatch, took time.Duration) {
	if d.state != stateStarted {
		return
	}
	took = c.sinceGrant(d, took)
	d.state, d.ttft = statePrefilled, took
	c.evidence.RecordServed(c.now, features(d.req.Fingerprint, d.req.PrefixHashes))
	for _, m := range d.members {
		defer m.backend.touch()
		m.backend.removePending(d)
		m.backend.cache.addUncertain(d.req.PrefixHashes)
	}
	if len(d.members) > 1 {
		return // the time cannot be attributed to one member of a group
	}
	b := d.members[0].backend
	if b.boot != d.members[0].boot {
		return
	}
	b.budget.RecordFirstToken(took, d.ttftEstimate)
	c.measureSpeed(b, d, took)
}

// sinceGrant limits a reported duration to the time since the grant, so that time
// spent in the queue is never attributed to the backend server.
func (c *Core) sinceGrant(d *dispatch, elapsed time.Duration) time.Duration {
	return min(elapsed, c.now-d.grantedAt)
}

// recordCompletion processes the report of a complete response and frees its dispatch.
func (c *Core) recordCompletion(d *dispatch, m *wirepb.Progress) {
	took := c.sinceGrant(d, time.Duration(m.ElapsedMs)*time.Millisecond)
	if d.ttft == 0 {
		d.ttft = took
	}
	onTime := d.ttft <= max(d.ttftTarget, onTimeFactor*d.ttftEstimate)
	for _, mb := range d.members {
		if mb.backend.boot == mb.boot {
			mb.backend.budget.RecordResponse(onTime)
		}
	}
	d.pool.averages.observe(took, d.ttft, m.OutputTokens)
	if fp := string(d.req.Fingerprint); fp != "" {
		c.suspects.RecordCompletion(c.now, fp)
	}
	c.evidence.RecordServed(c.now, features(d.req.Fingerprint, d.req.PrefixHashes))
	c.freeDispatch(d, true)
}
