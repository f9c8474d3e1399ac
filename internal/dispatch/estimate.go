package dispatch

import (
	"math"
	"time"
)

const (
	// smoothing is the weight of a new sample in a moving average.
	smoothing = 0.2
	// remainingFloor is the least share of a prompt that counts as not yet
	// prefilled until its first token arrives, however long ago it was granted.
	remainingFloor = 0.1
	// firstTokenBase is the time to a first token beyond the prefill itself, until
	// it has been measured.
	firstTokenBase = 50 * time.Millisecond
	// initialHold is assumed for the time from grant to end until one is measured.
	initialHold = 2 * time.Second
	// freshReport is the age up to which a load report costs no penalty.
	freshReport = time.Second
	// stalePenalty is the added cost per second of age of a load report.
	stalePenalty = 0.1
)

// times holds moving averages over the requests of a pool.
type times struct {
	hold     time.Duration // from the grant to the end
	output   float64       // output tokens of a response
	perToken time.Duration // between two output tokens
}

func (t *times) holdTime() time.Duration {
	if t.hold == 0 {
		return initialHold
	}
	return t.hold
}

func average(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + smoothing*(sample-old)
}

// observe takes a complete response.
func (t *times) observe(hold, ttft time.Duration, output uint64) {
	t.hold = time.Duration(average(float64(t.hold), float64(hold)))
	t.output = average(t.output, float64(output))
	if output > 1 && ttft > 0 && hold > ttft {
		t.perToken = time.Duration(average(float64(t.perToken), float64(hold-ttft)/float64(output-1)))
	}
}

// decode estimates the time from the first to the last token of a request.
func (t *times) decode(d *dispatch) time.Duration {
	return time.Duration(min(t.output, float64(d.req.MaxOutputTokens)) * float64(t.perToken))
}

func (d *dispatch) memberOf(b *backend) *member {
	for i := range d.members {
		if d.members[i].backend == b {
			return &d.members[i]
		}
	}
	return nil
}

// estimateWork computes workAhead: the prefill tokens outstanding. It
// replays the grants since the load report on top of it, and compares with the
// replay of all own grants without a first token: a report alone lags, and all
// dispatchers that trust it choose the same target.
func (c *Core) estimateWork(b *backend) float64 {
	speed := c.speedOf(b)
	foreign := c.foreignOpen(b) > 0
	var total, own, since float64
	ownAt, sinceAt := c.now, c.now
	if b.reported != nil {
		since, sinceAt = float64(b.last.Load.PrefillTokens), b.reportAt
	}
	for i, d := range b.pending {
		m := d.memberOf(b)
		tokens, from := m.prefill, max(d.grantedAt, m.from)
		total += tokens
		if i > 0 {
			own = max(0, own-speed*(from-ownAt).Seconds())
		}
		own, ownAt = own+tokens, from
		if !b.reported[d.id] || from > b.reportAt {
			at := max(sinceAt, from)
			since = max(0, since-speed*(at-sinceAt).Seconds()) + tokens
			sinceAt = at
		}
	}
	own = max(remainingFloor*total, own-speed*(c.now-ownAt).Seconds())
	since = max(0, since-speed*(c.now-sinceAt).Seconds())
	if c.off.ownWork {
		return float64(b.last.Load.PrefillTokens)
	}
	if !foreign {
		// All of the reported work is own, and what has a first token is done.
		since = min(since, total)
	}
	return max(own, since)
}

// reportAge returns how old the load report of a backend server is.
func (c *Core) reportAge(b *backend) time.Duration { return c.now - b.reportAt }

// prefillOf returns the tokens of a prompt that a backend server must prefill.
func (b *backend) prefillOf(d *dispatch) float64 {
	return float64(d.req.PromptTokens) * (1 - b.cache.cached(d.req.PrefixHashes))
}

// forecast is what the core expects for a request that is not yet granted.
type forecast struct {
	wait    time.Duration // until the grant
	service time.Duration // from the grant to the end
}

// forecast estimates the wait and the service time of a request over the backend
// servers that could take it. ok is false when there is none.
func (c *Core) forecast(p *pool, d *dispatch) (f forecast, ok bool) {
	var speed float64
	slots, free := 0, 0
	backlog, prefill := time.Duration(math.MaxInt64), time.Duration(math.MaxInt64)
	memoryFree := false
	for _, b := range p.order {
		if use, _ := c.usable(b); !use || !b.serves(d.req.Model) || !c.lengthAllows(b, d) {
			continue
		}
		ok = true
		speed += c.speedOf(b)
		limit := c.slotLimit(b)
		slots += limit
		free += max(0, limit-c.outstanding(b))
		memoryFree = memoryFree || b.plain() || c.freeMemory(b) >= d.tokens()
		ahead := c.workAhead(b)
		backlog = min(backlog, seconds(max(0, ahead/c.speedOf(b)-maxBacklog.Seconds())))
		prefill = min(prefill, c.baseOf(b)+seconds(b.prefillOf(d)/c.speedOf(b)))
	}
	if !ok {
		return f, false
	}
	tokens, count := c.aheadOf(p, d)
	f.wait = backlog + seconds(tokens/speed)
	if slots > 0 && count >= free {
		perSlot := p.times.holdTime() / time.Duration(slots)
		f.wait = max(f.wait, time.Duration(count-free+1)*perSlot)
	}
	if !memoryFree && !c.needsGroup(p, d) {
		f.wait = max(f.wait, p.times.holdTime()/2)
	}
	f.service = prefill + p.times.decode(d)
	return f, true
}
