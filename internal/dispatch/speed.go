package dispatch

import "time"

const (
	// sampleDecay is the factor on the weight of earlier samples with each new one. It
	// gives an effective window of about 50 samples.
	sampleDecay = 0.98
	// priorSamples is the weight, in samples, of the prior: the nominal speed and
	// defaultTTFTOverhead, with a spread of priorSpreadTokens. Prompts of one length
	// cannot distinguish an overhead from a low speed; then the nominal speed prevails
	// and the rest of the time counts as overhead.
	priorSamples      = 3
	priorSpreadTokens = 2000.0
)

// ttftRegression models the time to a first token as a fixed overhead plus the prefill
// work divided by the prefill speed, by least squares over recent samples. If the
// overhead were attributed to the speed, the dispatcher would hold back work that fits.
// The fields are the weighted sums of the samples: their number, the work x in tokens,
// the time y in seconds, and the products x*x and x*y.
type ttftRegression struct {
	n, x, y, xx, xy float64
}

// add adds a sample: the prefill work, in tokens, and the time to the first token.
func (s *ttftRegression) add(work float64, took time.Duration) {
	t := took.Seconds()
	s.n = sampleDecay*s.n + 1
	s.x = sampleDecay*s.x + work
	s.y = sampleDecay*s.y + t
	s.xx = sampleDecay*s.xx + work*work
	s.xy = sampleDecay*s.xy + work*t
}

// fit returns the speed, in tokens/s, and the overhead. nominal is the speed that is
// assumed without samples, in tokens/s.
func (s *ttftRegression) fit(nominal float64) (speed float64, overhead time.Duration) {
	if s.n == 0 {
		return nominal, defaultTTFTOverhead
	}
	mx, my := s.x/s.n, s.y/s.n
	spread := s.xx - s.n*mx*mx
	slope := (s.xy - s.n*mx*my + priorSamples*priorSpreadTokens*priorSpreadTokens/nominal) / (spread + priorSamples*priorSpreadTokens*priorSpreadTokens)
	// Samples that are disturbed by other work may give any slope, even a negative one.
	slope = min(max(slope, 0.05/nominal), 20/nominal)
	fixed := (s.n*max(0, my-slope*mx) + priorSamples*defaultTTFTOverhead.Seconds()) / (s.n + priorSamples)
	return 1 / slope, seconds(fixed)
}

// nominalSpeed returns the prefill speed that is assumed without a measurement, in
// tokens/s: from the load report, the configuration or the default.
func (c *Core) nominalSpeed(b *backend) float64 {
	if b.reportedSpeed > 0 {
		return b.reportedSpeed
	}
	if hint := c.service(b.pool).PrefillTokensPerSecond; hint > 0 {
		return hint
	}
	return defaultPrefillTokensPerSecond
}

// speedOf returns the measured prefill speed of a backend server, or the nominal one, in
// tokens/s.
func (c *Core) speedOf(b *backend) float64 {
	if b.prefillSpeed > 0 {
		return b.prefillSpeed
	}
	return c.nominalSpeed(b)
}

// overheadOf returns the measured time to a first token of a backend server beyond the
// prefill, or the default.
func (c *Core) overheadOf(b *backend) time.Duration {
	if b.prefillSpeed > 0 {
		return b.overhead
	}
	return defaultTTFTOverhead
}

// measureSpeed updates the prefill speed and the overhead of a backend server with the
// time to the first token of a dispatch. The time of a slow one is limited by
// maxSampleFactor, so that wrong estimates are corrected and a single outlier has
// little effect.
func (c *Core) measureSpeed(b *backend, d *dispatch, took time.Duration) {
	b.ttftFit.add(d.workAhead, min(took, maxSampleFactor*d.ttftEstimate))
	b.prefillSpeed, b.overhead = b.ttftFit.fit(c.nominalSpeed(b))
	b.measuredAt = c.now
}

// estimateLifetime is how long the measured times of an idle engine are used for
// placement. An engine that was measured while it was temporarily slow would otherwise
// never be chosen again, and so never be measured again.
const estimateLifetime = 5 * time.Second

// choiceTimes returns the overhead and the prefill speed, in tokens/s, that placement
// uses for an engine. An idle one without recent samples gets the lowest overhead in its
// pool and at least its nominal speed.
func (c *Core) choiceTimes(b *backend) (overhead time.Duration, prefillSpeed float64) {
	overhead, prefillSpeed = c.overheadOf(b), c.speedOf(b)
	if b.prefillSpeed == 0 || c.now-b.measuredAt < estimateLifetime || c.outstanding(b) > 0 {
		return overhead, prefillSpeed
	}
	for _, other := range b.pool.sortedBackends {
		if ok, _ := c.usable(other); ok {
			overhead = min(overhead, c.overheadOf(other))
		}
	}
	return overhead, max(prefillSpeed, c.nominalSpeed(b))
}
