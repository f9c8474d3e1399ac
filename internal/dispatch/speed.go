package dispatch

import "time"

const (
	// speedMemory is the weight that the past keeps with each new sample, which
	// makes about 50 samples count.
	speedMemory = 0.98
	// The stated speed and firstTokenBase count as this many samples, with a spread
	// of priorSpread tokens. Prompts of one length cannot tell a fixed time from a
	// low speed; then the stated speed stands and the rest is fixed time.
	priorSamples = 3
	priorSpread  = 2000.0
)

// speedometer fits the time to a first token as a fixed time plus the prefill
// work divided by the speed, by least squares over recent samples. A fixed time
// taken for slowness would make the dispatcher hold back work that fits.
type speedometer struct {
	n, x, y, xx, xy float64
}

// add takes the prefill work of a sample, in tokens, and its time.
func (s *speedometer) add(work float64, took time.Duration) {
	t := took.Seconds()
	s.n = speedMemory*s.n + 1
	s.x = speedMemory*s.x + work
	s.y = speedMemory*s.y + t
	s.xx = speedMemory*s.xx + work*work
	s.xy = speedMemory*s.xy + work*t
}

// fit returns the speed, in tokens/s, and the fixed time, given the stated speed.
func (s *speedometer) fit(stated float64) (speed float64, base time.Duration) {
	if s.n == 0 {
		return stated, firstTokenBase
	}
	mx, my := s.x/s.n, s.y/s.n
	spread := s.xx - s.n*mx*mx
	slope := (s.xy - s.n*mx*my + priorSamples*priorSpread*priorSpread/stated) / (spread + priorSamples*priorSpread*priorSpread)
	// Samples disturbed by other work may suggest any slope, even a negative one.
	slope = min(max(slope, 0.05/stated), 20/stated)
	fixed := (s.n*max(0, my-slope*mx) + priorSamples*firstTokenBase.Seconds()) / (s.n + priorSamples)
	return 1 / slope, seconds(fixed)
}

// statedSpeed returns the prefill speed known without measurement, in tokens/s.
func (c *Core) statedSpeed(b *backend) float64 {
	if b.stated > 0 {
		return b.stated
	}
	if hint := c.service(b.pool).PrefillTokensPerSecond; hint > 0 {
		return hint
	}
	return defaultPrefillSpeed
}

// speedOf returns the prefill speed of a backend server, in tokens/s.
func (c *Core) speedOf(b *backend) float64 {
	if b.speed > 0 {
		return b.speed
	}
	return c.statedSpeed(b)
}

// baseOf returns the time to a first token of a backend server beyond the prefill.
func (c *Core) baseOf(b *backend) time.Duration {
	if b.speed > 0 {
		return b.base
	}
	return firstTokenBase
}

// measureSpeed takes the time to the first token of a dispatch. A slow one counts
// up to the limit of slowness, so that wrong estimates are corrected and one
// outlier does little.
func (c *Core) measureSpeed(b *backend, d *dispatch, took time.Duration) {
	b.meter.add(d.workAhead, min(took, maxSample*d.estimate))
	b.speed, b.base = b.meter.fit(c.statedSpeed(b))
	b.measuredAt = c.now
}

// estimateLifetime is how long the measured times of an idle engine count in the
// choice. An engine that was measured in a bad moment would otherwise never be
// chosen again, and so never be measured again.
const estimateLifetime = 5 * time.Second

// timesFor returns the fixed time and the speed by which an engine is chosen. An
// idle one without recent samples counts as good as the best one of its pool.
func (c *Core) timesFor(b *backend) (base time.Duration, speed float64) {
	base, speed = c.baseOf(b), c.speedOf(b)
	if b.speed == 0 || c.now-b.measuredAt < estimateLifetime || c.outstanding(b) > 0 {
		return base, speed
	}
	for _, other := range b.pool.order {
		if ok, _ := c.usable(other); ok {
			base = min(base, c.baseOf(other))
		}
	}
	return base, max(speed, c.statedSpeed(b))
}
