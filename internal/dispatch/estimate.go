package dispatch

import (
	"math"
	"time"
)

const (
	// smoothingFactor is the weight of a new sample in an exponential moving average.
	smoothingFactor = 0.2
	// minRemainingShare is the minimum share of a prompt that counts as not yet
	// prefilled until its first token arrives, however long ago it was granted.
	minRemainingShare = 0.1
	// defaultTTFTOverhead is the assumed time to a first token beyond the prefill
	// itself, until it has been measured.
	defaultTTFTOverhead = 50 * time.Millisecond
	// initialServiceTime is the assumed time from the grant to the end of a request,
	// until one has been measured.
	initialServiceTime = 2 * time.Second
	// freshReportAge is the age of a load report up to which it adds no cost.
	freshReportAge = time.Second
	// stalePenaltyPerSecond is the cost, in seconds, added per second of age of a load
	// report beyond freshReportAge.
	stalePenaltyPerSecond = 0.1
)

// averages holds moving averages over the complete responses of a pool; zero before
// the first one.
type averages struct {
	serviceTime  time.Duration // from the grant to the end
	outputTokens float64       // tokens of a response
	perToken     time.Duration // between two tokens of a response
}

// expectedServiceTime returns the average time from the grant to the end of a request,
// or initialServiceTime if none has been measured.
func (t *averages) expectedServiceTime() time.Duration {
	if t.serviceTime == 0 {
		return initialServiceTime
	}
	return t.serviceTime
}

// movingAverage returns the exponential moving average after a new sample. Zero stands
// for no samples.
func movingAverage(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + smoothingFactor*(sample-old)
}

// observe adds a complete response to the averages.
func (t *averages) observe(serviceTime, ttft time.Duration, outputTokens uint64) {
	t.serviceTime = time.Duration(movingAverage(float64(t.serviceTime), float64(serviceTime)))
	t.outputTokens = movingAverage(t.outputTokens, float64(outputTokens))
	if outputTokens > 1 && ttft > 0 && serviceTime > ttft {
		t.perToken = time.Duration(movingAverage(float64(t.perToken), float64(serviceTime-ttft)/float64(outputTokens-1)))
	}
}

// decode estimates the time from the first to the last token of a request.
func (t *averages) decode(d *dispatch) time.Duration {
	return time.Duration(min(t.outputTokens, float64(d.req.MaxOutputTokens)) * float64(t.perToken))
}

// memberOf returns the member of the dispatch on a backend server, or nil.
func (d *dispatch) memberOf(b *backend) *member {
	for i := range d.members {
		if d.members[i].backend == b {
			return &d.members[i]
		}
	}
	return nil
}

// computeWorkAhead computes workAhead, the outstanding prefill work in tokens. It is
// the larger of two estimates: the load report plus the grants since then, and all own
// grants without a first token, each reduced by the work done meanwhile. A load report
// alone lags, and all dispatchers that relied on it would choose the same target.
func (c *Core) computeWorkAhead(b *backend) float64 {
	speed := c.speedOf(b)
	foreign := c.foreignOpen(b) > 0
	var total, ownWork, reportWork float64
	ownWorkAt, reportWorkAt := c.now, c.now
	if b.reportedOpen != nil {
		reportWork, reportWorkAt = float64(b.last.Load.PrefillTokens), b.reportAt
	}
	for i, d := range b.pendingPrefill {
		m := d.memberOf(b)
		tokens, startedAt := m.prefillTokens, max(d.grantedAt, m.startedAt)
		total += tokens
		if i > 0 {
			ownWork = max(0, ownWork-speed*(startedAt-ownWorkAt).Seconds())
		}
		ownWork, ownWorkAt = ownWork+tokens, startedAt
		if !b.reportedOpen[d.id] || startedAt > b.reportAt {
			at := max(reportWorkAt, startedAt)
			reportWork = max(0, reportWork-speed*(at-reportWorkAt).Seconds()) + tokens
			reportWorkAt = at
		}
	}
	ownWork = max(minRemainingShare*total, ownWork-speed*(c.now-ownWorkAt).Seconds())
	reportWork = max(0, reportWork-speed*(c.now-reportWorkAt).Seconds())
	if c.disabled.ownGrants {
		return float64(b.last.Load.PrefillTokens)
	}
	if !foreign {
		// All reported work belongs to own requests, and requests with a first token
		// have no work left.
		reportWork = min(reportWork, total)
	}
	return max(ownWork, reportWork)
}

// reportAge returns the estimated age of the load report of a backend server.
func (c *Core) reportAge(b *backend) time.Duration { return c.now - b.reportAt }

// prefillOf returns the expected number of tokens of a prompt that a backend server
// must prefill because they are not cached.
func (b *backend) prefillOf(d *dispatch) float64 {
	return float64(d.req.PromptTokens) * (1 - b.cache.cachedShare(d.req.PrefixHashes))
}

// forecast is the expected course of a request that is not yet granted.
type forecast struct {
	wait    time.Duration // until the grant
	service time.Duration // from the grant to the end
}

// forecast estimates the waiting time and the service time of a request from the
// backend servers that could run it. ok is false if there are none.
func (c *Core) forecast(p *pool, d *dispatch) (f forecast, ok bool) {
	var speed float64
	slots, free := 0, 0
	backlog, prefill := time.Duration(math.MaxInt64), time.Duration(math.MaxInt64)
	memoryFree := false
	for _, b := range p.sortedBackends {
		if use, _ := c.usable(b); !use || !b.serves(d.req.Model) || !c.lengthAllows(b, d) {
			continue
		}
		ok = true
		speed += c.speedOf(b)
		limit := c.slotLimit(b)
		slots += limit
		free += max(0, limit-c.outstanding(b))
		memoryFree = memoryFree || b.isPlain() || c.freeMemory(b) >= d.tokens()
		ahead := c.workAhead(b)
		backlog = min(backlog, seconds(max(0, ahead/c.speedOf(b)-maxPrefillBacklog.Seconds())))
		prefill = min(prefill, c.overheadOf(b)+seconds(b.prefillOf(d)/c.speedOf(b)))
	}
	if !ok {
		return f, false
	}
	tokens, count := c.queuedAhead(p, d)
	f.wait = backlog + seconds(tokens/speed)
	if slots > 0 && count >= free {
		perSlot := p.averages.expectedServiceTime() / time.Duration(slots)
		f.wait = max(f.wait, time.Duration(count-free+1)*perSlot)
	}
	if !memoryFree && !c.needsGroup(p, d) {
		f.wait = max(f.wait, p.averages.expectedServiceTime()/2)
	}
	f.service = prefill + p.averages.decode(d)
	return f, true
}
