package dispatch

import (
	"time"

	"bilberryhub/internal/wirepb"
)

// withinFactor is how far beyond its estimate a first token may come and still
// count as within the target, for prompts whose prefill alone exceeds the target.
const withinFactor = 2

// speedStep bounds the change of the measured speed by one sample, because the
// estimate of the work ahead may be wrong.
const speedStep = 2

// firstToken takes the measured time to the first token.
func (c *Core) firstToken(d *dispatch, took time.Duration) {
	if d.state != stateStarted {
		return
	}
	d.state, d.ttft = statePrefilled, took
	for _, m := range d.members {
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
	if slow := b.budget.FirstToken(took, d.estimate); !slow {
		c.measureSpeed(b, d, took)
	}
}

func (c *Core) measureSpeed(b *backend, d *dispatch, took time.Duration) {
	if took <= firstTokenBase || d.members[0].prefill < minSpeedSample {
		return
	}
	old := c.speedOf(b)
	sample := d.workAhead / (took - firstTokenBase).Seconds()
	b.speed = average(old, min(max(sample, old/speedStep), old*speedStep))
	b.measured = true
}

// done takes a complete response.
func (c *Core) done(d *dispatch, m *wirepb.Progress) {
	took := time.Duration(m.ElapsedMs) * time.Millisecond
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
