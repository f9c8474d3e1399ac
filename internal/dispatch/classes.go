package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// shortPrefill is the prefill time up to which a prompt counts as short
	// before traffic has been seen: about what the target for the first token of
	// a short request (0.66 s) leaves when one such prompt is ahead.
	shortPrefill = 300 * time.Millisecond
	// The boundary adapts within these factors of the initial one, so that an
	// unusual mixture cannot declare very long prompts short or all prompts long.
	boundaryLow, boundaryHigh = 0.5, 2.0
	// trafficWindow and maxSamples bound the recent traffic that is considered.
	trafficWindow = 60 * time.Second
	maxSamples    = 2048
	// classesEvery is the period of the adaptation.
	classesEvery = time.Second
	// longBias leaves more than the proportional number of engines to short
	// requests: their target is a tail, which rises before their engines are full,
	// while long prefills wait several seconds anyway.
	longBias = 0.9
	// longRounding rounds the number of long engines. It is below one half, because
	// short requests also use long engines without a long prefill, but not the reverse.
	longRounding = 0.25
	// longMargin is how far the wanted number of long engines must be beyond the
	// rounding, in engines, before it changes; classDwell is how long that must
	// last. Both keep engines from changing sides on every fluctuation of traffic.
	longMargin = 0.2
	classDwell = 3 * time.Second
	// boundaryMargin is the relative change of the boundary below which it stays.
	boundaryMargin = 0.2
	// shortPatience is the wait after which a short request may go to an engine
	// that holds a long prefill.
	shortPatience = 2 * time.Second
)

// sample is one request of recent traffic.
type sample struct {
	at     time.Duration
	tokens uint64
}

// classes separates long prefills from short requests.
type classes struct {
	samples  []sample
	boundary uint64
	long     int               // number of engines that take long prefills
	engines  map[*backend]bool // those that take long prefills
	count    int               // number of engines at the last tick
	updated  time.Duration
	// differs is since when the wanted number of engines differs from long.
	differs time.Duration
	ready   bool
}

func (k *classes) observe(now time.Duration, tokens uint64) {
	if tokens == 0 {
		return
	}
	if len(k.samples) >= maxSamples {
		k.samples = slices.Delete(k.samples, 0, maxSamples/4)
	}
	k.samples = append(k.samples, sample{now, tokens})
}

// isLong tells whether a prompt belongs to the long class.
func (c *Core) isLong(p *pool, tokens uint64) bool {
	if p.class.boundary == 0 {
		return tokens > uint64(shortPrefill.Seconds()*c.meanSpeed(p))
	}
	return tokens > p.class.boundary
}

func (c *Core) meanSpeed(p *pool) float64 {
	sum, n := 0.0, 0
	for _, b := range p.order {
		if ok, _ := c.usable(b); ok {
			sum += c.speedOf(b)
			n++
		}
	}
	if n == 0 {
		if hint := c.service(p).PrefillTokensPerSecond; hint > 0 {
			return hint
		}
		return defaultPrefillSpeed
	}
	return sum / float64(n)
}

// updateClasses adapts the number of long engines and the boundary.
func (c *Core) updateClasses(p *pool) {
	k := &p.class
	engines := c.engines(p)
	c.assignLong(p, engines)
	if k.ready && c.now < k.updated+classesEvery {
		return
	}
	k.updated = c.now
	k.samples = slices.DeleteFunc(k.samples, func(s sample) bool { return s.at < c.now-trafficWindow })
	base := shortPrefill.Seconds() * c.meanSpeed(p)
	if !k.ready {
		k.ready, k.boundary, k.long, k.differs = true, uint64(base), 1, c.now
	}
	c.adapt(k, len(engines), base)
	c.assignLong(p, engines)
}

// engines returns the backend servers that take part in the separation, those
// with much memory first, because the longest prompts need it.
func (c *Core) engines(p *pool) []*backend {
	var out []*backend
	for _, b := range p.order {
		if ok, _ := c.usable(b); ok && !b.plain() {
			out = append(out, b)
		}
	}
	slices.SortStableFunc(out, func(x, y *backend) int { return cmp.Compare(y.last.MemoryTokens, x.last.MemoryTokens) })
	return out
}

func (c *Core) adapt(k *classes, engines int, base float64) {
	most := max(1, engines-1)
	k.long = min(max(1, k.long), most)
	share := shareAbove(k.samples, uint64(base))
	wanted := longBias * share * float64(engines)
	target := min(max(1, int(wanted+longRounding)), most)
	low := float64(k.long) - longRounding - longMargin
	if target == k.long || (wanted > low && wanted < low+1+2*longMargin) {
		k.differs = c.now
	} else if c.now-k.differs >= classDwell {
		k.long, k.differs = target, c.now
	}
	boundary := base
	if share > 0 && engines > 1 {
		boundary = splitAt(k.samples, 1-float64(k.long)/float64(engines))
		boundary = min(max(boundary, base*boundaryLow), base*boundaryHigh)
	}
	if math.Abs(boundary-float64(k.boundary)) > boundaryMargin*float64(k.boundary) {
		k.boundary = uint64(boundary)
	}
}

// shareAbove returns the share of tokens in prompts longer than the boundary.
func shareAbove(samples []sample, boundary uint64) float64 {
	var above, all float64
	for _, s := range samples {
		all += float64(s.tokens)
		if s.tokens > boundary {
			above += float64(s.tokens)
		}
	}
	if all == 0 {
		return 0
	}
	return above / all
}

// splitAt returns the length up to which prompts make up the given share of tokens.
func splitAt(samples []sample, share float64) float64 {
	lengths := make([]uint64, len(samples))
	var all float64
	for i, s := range samples {
		lengths[i] = s.tokens
		all += float64(s.tokens)
	}
	slices.Sort(lengths)
	sum, at := 0.0, uint64(0)
	for _, l := range lengths {
		sum += float64(l)
		at = l
		if sum >= share*all {
			break
		}
	}
	return float64(at)
}

func (c *Core) assignLong(p *pool, engines []*backend) {
	k := &p.class
	k.engines, k.count = map[*backend]bool{}, len(engines)
	for i, b := range engines {
		if len(engines) > 1 && i >= min(max(1, k.long), len(engines)-1) {
			break
		}
		k.engines[b] = true
	}
}

// findLong computes holdsLong.
func (c *Core) findLong(b *backend) bool {
	for _, d := range b.pending {
		if d.long {
			return true
		}
	}
	if c.foreignOpen(b) == 0 || b.last.Load.PrefillTokens == 0 {
		return false
	}
	own := 0.0
	for _, d := range b.pending {
		own += d.memberOf(b).prefill
	}
	drained := c.speedOf(b) * c.reportAge(b).Seconds()
	return float64(b.last.Load.PrefillTokens)-own-drained > float64(b.pool.class.boundary)
}

// lengthAllows tells whether the length class of a request may use a backend server.
func (c *Core) lengthAllows(b *backend, d *dispatch) bool {
	k := &b.pool.class
	if c.off.confinement || b.plain() || k.count < 2 {
		return true
	}
	if d.long {
		return k.engines[b]
	}
	return !c.holdsLong(b) || c.now-d.arrived > max(shortPatience, d.target)
}
