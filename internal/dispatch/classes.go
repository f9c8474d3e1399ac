package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// initialShortPrefill is the prefill time up to which a prompt counts as short
	// before traffic has been observed: about what the target for the first token of
	// a short request (0.66 s) leaves when one such prompt is ahead.
	initialShortPrefill = 300 * time.Millisecond
	// minBoundaryFactor and maxBoundaryFactor limit the boundary to these multiples of
	// the initial one, so that an unusual mixture of traffic cannot make very long
	// prompts short or all prompts long.
	minBoundaryFactor, maxBoundaryFactor = 0.5, 2.0
	// trafficWindow and maxSamples limit the recent traffic that is considered, in time
	// and in requests.
	trafficWindow = 60 * time.Second
	maxSamples    = 2048
	// adaptInterval is the period at which the classes are adapted to the traffic.
	adaptInterval = time.Second
	// longBias is the factor on the proportional number of long engines. It leaves
	// more engines to short requests: their target is a tail latency, which rises
	// before their engines are full, while long prefills wait several seconds anyway.
	longBias = 0.9
	// longRounding is added before the number of long engines is rounded down. It is
	// below one half, because short requests also use long engines that hold no long
	// prefill, but long prefills never use the other engines.
	longRounding = 0.25
	// longHysteresis is how far the wanted number of long engines must be beyond the
	// rounding threshold, in engines, before the number changes; longDwell is how long
	// that must last. Both keep engines from changing their class on every fluctuation
	// of traffic.
	longHysteresis = 0.2
	longDwell      = 3 * time.Second
	// boundaryHysteresis is the relative change up to which the boundary is not updated.
	boundaryHysteresis = 0.2
	// maxShortAvoidance is the waiting time after which a short request may be granted
	// an engine that holds a long prefill, unless its target is longer.
	maxShortAvoidance = 2 * time.Second
)

// sample is the prompt length of one recent request.
type sample struct {
	at     time.Duration
	tokens uint64
}

// lengthClasses confines long prefills to some engines of a pool, so that short
// requests on the others don't wait behind them. The number of these engines and the
// prompt length that separates the classes follow the traffic.
type lengthClasses struct {
	samples     []sample
	boundary    uint64            // longest prompt of the short class, in tokens; zero before the first update
	longCount   int               // number of engines that take long prefills
	engines     map[*backend]bool // engines that take long prefills
	engineCount int               // number of engines in the separation at the last assignment
	updatedAt   time.Duration
	// differsSince is since when the wanted number of long engines has differed from
	// longCount.
	differsSince time.Duration
	initialized  bool
}

// observe adds a request to the recent traffic. Above maxSamples, the oldest quarter
// is dropped.
func (k *lengthClasses) observe(now time.Duration, tokens uint64) {
	if tokens == 0 {
		return
	}
	if len(k.samples) >= maxSamples {
		k.samples = slices.Delete(k.samples, 0, maxSamples/4)
	}
	k.samples = append(k.samples, sample{now, tokens})
}

// isLong reports whether a prompt of the given length belongs to the long class.
func (c *Core) isLong(p *pool, tokens uint64) bool {
	if p.classes.boundary == 0 {
		return tokens > uint64(initialShortPrefill.Seconds()*c.meanSpeed(p))
	}
	return tokens > p.classes.boundary
}

// meanSpeed returns the mean prefill speed of the usable backend servers of a pool, in
// tokens/s, or the configured or default one if there are none.
func (c *Core) meanSpeed(p *pool) float64 {
	sum, n := 0.0, 0
	for _, b := range p.sortedBackends {
		if ok, _ := c.usable(b); ok {
			sum += c.speedOf(b)
			n++
		}
	}
	if n == 0 {
		if hint := c.service(p).PrefillTokensPerSecond; hint > 0 {
			return hint
		}
		return defaultPrefillTokensPerSecond
	}
	return sum / float64(n)
}

// updateClasses assigns the long engines at each call, and adapts their number and the
// boundary once every adaptInterval.
func (c *Core) updateClasses(p *pool) {
	k := &p.classes
	enginesByMemory := c.enginesByMemory(p)
	c.assignLongEngines(p, enginesByMemory)
	if k.initialized && c.now < k.updatedAt+adaptInterval {
		return
	}
	k.updatedAt = c.now
	k.samples = slices.DeleteFunc(k.samples, func(s sample) bool { return s.at < c.now-trafficWindow })
	initialBoundary := initialShortPrefill.Seconds() * c.meanSpeed(p)
	if !k.initialized {
		k.initialized, k.boundary, k.longCount, k.differsSince = true, uint64(initialBoundary), 1, c.now
	}
	c.adapt(k, len(enginesByMemory), initialBoundary)
	c.assignLongEngines(p, enginesByMemory)
}

// enginesByMemory returns the usable engines, which take part in the separation, in
// order of decreasing memory: the first ones take long prefills, because the longest
// prompts need the most memory.
func (c *Core) enginesByMemory(p *pool) []*backend {
	var out []*backend
	for _, b := range p.sortedBackends {
		if ok, _ := c.usable(b); ok && !b.isPlain() {
			out = append(out, b)
		}
	}
	slices.SortStableFunc(out, func(x, y *backend) int { return cmp.Compare(y.last.MemoryTokens, x.last.MemoryTokens) })
	return out
}

// adapt updates the number of long engines and the boundary from the recent traffic.
func (c *Core) adapt(k *lengthClasses, engineCount int, initialBoundary float64) {
	maxLong := max(1, engineCount-1)
	k.longCount = min(max(1, k.longCount), maxLong)
	longShare := shareAbove(k.samples, uint64(initialBoundary))
	wanted := longBias * longShare * float64(engineCount)
	target := min(max(1, int(wanted+longRounding)), maxLong)
	lower := float64(k.longCount) - longRounding - longHysteresis
	if target == k.longCount || (wanted > lower && wanted < lower+1+2*longHysteresis) {
		k.differsSince = c.now
	} else if c.now-k.differsSince >= longDwell {
		k.longCount, k.differsSince = target, c.now
	}
	boundary := initialBoundary
	if longShare > 0 && engineCount > 1 {
		boundary = splitAt(k.samples, 1-float64(k.longCount)/float64(engineCount))
		boundary = min(max(boundary, initialBoundary*minBoundaryFactor), initialBoundary*maxBoundaryFactor)
	}
	if math.Abs(boundary-float64(k.boundary)) > boundaryHysteresis*float64(k.boundary) {
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

// splitAt returns the prompt length, in tokens, up to which prompts make up the given
// share of all tokens.
func splitAt(samples []sample, share float64) float64 {
	lengths := make([]uint64, len(samples))
	var all float64
	for i, s := range samples {
		lengths[i] = s.tokens
		all += float64(s.tokens)
	}
	slices.Sort(lengths)
	sum, length := 0.0, uint64(0)
	for _, l := range lengths {
		sum += float64(l)
		length = l
		if sum >= share*all {
			break
		}
	}
	return float64(length)
}

// assignLongEngines selects the first longCount engines for long prefills. At least one
// of several engines is left to short requests.
func (c *Core) assignLongEngines(p *pool, engines []*backend) {
	k := &p.classes
	k.engines, k.engineCount = map[*backend]bool{}, len(engines)
	for i, b := range engines {
		if len(engines) > 1 && i >= min(max(1, k.longCount), len(engines)-1) {
			break
		}
		k.engines[b] = true
	}
}

// computeHoldsLong computes holdsLong. The prefill work that the load report lists
// beyond the own requests counts as one long prefill if it exceeds the boundary.
func (c *Core) computeHoldsLong(b *backend) bool {
	for _, d := range b.pendingPrefill {
		if d.long {
			return true
		}
	}
	if c.foreignOpen(b) == 0 || b.last.Load.PrefillTokens == 0 {
		return false
	}
	own := 0.0
	for _, d := range b.pendingPrefill {
		own += d.memberOf(b).prefillTokens
	}
	drained := c.speedOf(b) * c.reportAge(b).Seconds()
	return float64(b.last.Load.PrefillTokens)-own-drained > float64(b.pool.classes.boundary)
}

// lengthAllows reports whether the length class of a request may use a backend server:
// long prefills only use long engines, and short requests avoid engines that hold a
// long prefill until they have waited for the longer of maxShortAvoidance and their
// target.
func (c *Core) lengthAllows(b *backend, d *dispatch) bool {
	k := &b.pool.classes
	if c.disabled.confinement || b.isPlain() || k.engineCount < 2 {
		return true
	}
	if d.long {
		return k.engines[b]
	}
	return !c.holdsLong(b) || c.now-d.arrivedAt > max(maxShortAvoidance, d.ttftTarget)
}
