package gateway

import (
	"maps"
	"math"
	"sync"
	"time"

	"bilberryhub/internal/fleet"
	"bilberryhub/internal/wirepb"
)

const (
	// failureHalfLife is the time in which the weight of an outcome halves.
	failureHalfLife = 4 * time.Second
	// initialAvoidTime is how long a backend server is avoided after it
	// couldn't be reached. The time doubles with each further failure, up to
	// maxAvoidTime.
	initialAvoidTime = 700 * time.Millisecond
	maxAvoidTime     = 3 * time.Second
	// priorServed is a number of virtual successes that keep a few failures
	// from weighing too much. toleratedFailureShare is the share of failures that
	// is ignored: callers disconnect, and plain services respond to some requests
	// with errors.
	priorServed           = 5
	toleratedFailureShare = 0.15
	// minSlowSamples is the number of first events before an engine counts as
	// slow.
	minSlowSamples = 3
	// minSlowness is the smallest factor that is used: predictions under load
	// are off by as much.
	minSlowness = 1.5
	// maxSlowness limits the factor derived from one first event.
	maxSlowness = 20
	// minSharedFailures is the weight of failures from which on they are shared, and
	// minPeerWeight the weight of shared outcomes below which they are forgotten.
	minSharedFailures = 0.3
	minPeerWeight     = 0.05
)

// outcome is how an exchange with a backend server ended.
type outcome int

const (
	outcomeServed outcome = iota
	// outcomeFailed is an exchange without success although the backend server
	// was reached: an error, a response that broke or belongs to another
	// request, or no response in time while it has sent something else.
	outcomeFailed
	// outcomeUnreachable is a failed connection, no response in time, a request
	// that was refused as misdirected, or a helper that the backend server
	// reports as failed.
	outcomeUnreachable
	// outcomeDead is a refused connection.
	outcomeDead
	// outcomeBusy is a refusal of a request that hasn't run.
	outcomeBusy
)

// backendHealth holds the observations of this gateway about one backend
// server.
type backendHealth struct {
	served, failed float64
	decayedAt      time.Duration
	avoidUntil     time.Duration
	avoidFor       time.Duration
	// failedAt is when it was last unreachable.
	failedAt time.Duration
	// slowness is the mean ratio of the observed to the predicted time to the
	// first event.
	slowness   float64
	samples    int
	slownessAt time.Duration
	// deadAt is when a connection was refused: no process listens there any
	// more.
	deadAt time.Duration
	// peers holds the recent outcomes of other gateways, by gateway id.
	peers map[string]peerOutcomes
	// peerAvoidUntil is until when other gateways report the backend server as
	// to be avoided.
	peerAvoidUntil time.Duration
	// lastReceivedAt is when anything was last received from it.
	lastReceivedAt time.Duration
}

// peerOutcomes are the recent outcomes of another gateway at one backend server, as of
// the time at.
type peerOutcomes struct {
	served, failed float64
	at             time.Duration
}

// outcomes returns the recent outcomes of this gateway and the others. With hundreds of
// gateways, each of them has too few of its own to judge a backend server by, and one
// that fails requests quickly looks idle to all.
func (p *backendHealth) outcomes(now time.Duration) (served, failed float64) {
	p.decay(now)
	served, failed = p.served, p.failed
	for id, o := range p.peers {
		weight := math.Exp2(-float64(now-o.at) / float64(failureHalfLife))
		if weight < minPeerWeight {
			delete(p.peers, id)
			continue
		}
		served += weight * o.served
		failed += weight * o.failed
	}
	return served, failed
}

// health tracks the health of backend servers from the outcomes of requests.
// There are no active health checks: they take a slot, and a success proves
// little.
type health struct {
	mu       sync.Mutex
	backends map[uint64]*backendHealth
}

func newHealth() *health { return &health{backends: map[uint64]*backendHealth{}} }

// entry returns the observations about a backend server, which are empty for a
// new one. The caller holds the mutex.
func (h *health) entry(backend uint64) *backendHealth {
	p := h.backends[backend]
	if p == nil {
		p = &backendHealth{slowness: 1}
		h.backends[backend] = p
	}
	return p
}

// record records an outcome.
func (h *health) record(backend uint64, o outcome, now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.entry(backend)
	p.decay(now)
	switch o {
	case outcomeServed:
		p.served++
		p.avoidUntil, p.avoidFor = 0, 0
	case outcomeFailed:
		p.failed++
	case outcomeBusy:
		p.failed += 0.5
	case outcomeUnreachable, outcomeDead:
		p.failed++
		if o == outcomeDead {
			p.deadAt = now
		}
		p.failedAt = now
		if now >= p.avoidUntil {
			p.avoidFor = min(max(initialAvoidTime, 2*p.avoidFor), maxAvoidTime)
			p.avoidUntil = now + p.avoidFor
		}
	}
}

// forgive drops the failures of backend servers that were last unreachable at since or
// later: the path to them was at fault.
func (h *health) forgive(since time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, p := range h.backends {
		if p.failedAt >= since {
			p.failed, p.avoidUntil, p.avoidFor, p.deadAt = 0, 0, 0, 0
		}
	}
}

// decay reduces the weight of past outcomes by the time since the last call.
func (p *backendHealth) decay(now time.Duration) {
	if p.decayedAt > 0 {
		f := math.Exp2(-float64(now-p.decayedAt) / float64(failureHalfLife))
		p.served *= f
		p.failed *= f
	}
	p.decayedAt = now
}

// recordReceived records that something was received from a backend server at a time,
// by this gateway or by another one.
func (h *health) recordReceived(backend uint64, at time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.entry(backend)
	p.lastReceivedAt = max(p.lastReceivedAt, at)
}

// lastReceived returns when something was last received from a backend server.
func (h *health) lastReceived(backend uint64) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.entry(backend).lastReceivedAt
}

// recordFirstEvent records the observed time to a first event against its
// prediction, both in ms.
func (h *health) recordFirstEvent(backend uint64, predictedMs, observedMs float64, now time.Duration) {
	if predictedMs <= 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.entry(backend)
	ratio := min(max(observedMs/predictedMs, 0.5), maxSlowness)
	if now-p.slownessAt > 2*failureHalfLife {
		p.samples, p.slowness = 0, 1
	}
	p.samples++
	weight := max(0.25, 1/float64(p.samples+1))
	p.slowness += weight * (ratio - p.slowness)
	p.slownessAt = now
}

// backendCondition is the health of a backend server as a choice takes it into
// account.
type backendCondition struct {
	// dead is set if a connection was refused after the last announcement.
	dead bool
	// avoid is set if the backend server should be used only if there is no
	// other one.
	avoid bool
	// failureShare is the share of the requests that are expected to fail.
	failureShare float64
	slowness     float64
}

// condition returns the condition of a backend server. silence is the time
// since the last announcement after which it is avoided. One that refused a
// connection is used again once it has announced itself since.
func (h *health) condition(b *fleet.BackendServer, key uint64, now, silence time.Duration) backendCondition {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.backends[key].condition(b, now, silence)
}

// peekCondition returns the same as condition without the decay of past outcomes, which
// changes the table.
func (h *health) peekCondition(b *fleet.BackendServer, key uint64, now, silence time.Duration) backendCondition {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.backends[key]
	if p != nil {
		observed := *p
		observed.peers = maps.Clone(p.peers)
		p = &observed
	}
	return p.condition(b, now, silence)
}

// condition returns the condition that follows from the observations, which may be nil.
func (p *backendHealth) condition(b *fleet.BackendServer, now, silence time.Duration) backendCondition {
	c := backendCondition{slowness: 1, avoid: now-b.SeenAt > silence}
	if p == nil {
		return c
	}
	c.dead = p.deadAt > 0 && b.SeenAt <= p.deadAt
	if now < max(p.avoidUntil, p.peerAvoidUntil) {
		c.avoid = true
	}
	served, failed := p.outcomes(now)
	c.failureShare = max(0, failed/(failed+served+priorServed)-toleratedFailureShare)
	if s := p.ownSlowness(now); s > 1 {
		c.slowness = s
	}
	return c
}

// ownSlowness returns the factor observed by this gateway, or 1.
func (p *backendHealth) ownSlowness(now time.Duration) float64 {
	if p.samples < minSlowSamples || now-p.slownessAt > 2*failureHalfLife {
		return 1
	}
	if p.slowness < minSlowness {
		return 1
	}
	return p.slowness
}

// verdicts returns the backend servers that the other gateways should avoid too, or at
// which requests of this gateway have failed.
func (h *health) verdicts(now time.Duration) []*wirepb.Verdict {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []*wirepb.Verdict
	for backend, p := range h.backends {
		p.decay(now)
		left := max(0, (p.avoidUntil - now).Milliseconds())
		if left == 0 && p.failed < minSharedFailures {
			continue
		}
		out = append(out, &wirepb.Verdict{
			Backend: backend, AvoidMs: uint32(left),
			ServedHundredths: uint32(100 * p.served), FailedHundredths: uint32(100 * p.failed),
		})
	}
	return out
}

// mergeVerdicts stores the verdicts of another gateway. They apply for
// minShareLifetime at most, so that a wrong one ends with its sender.
func (h *health) mergeVerdicts(from string, list []*wirepb.Verdict, now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, v := range list {
		p := h.entry(v.GetBackend())
		avoid := min(milliseconds(int64(v.GetAvoidMs())), minShareLifetime)
		p.peerAvoidUntil = max(p.peerAvoidUntil, now+avoid)
		if v.GetFailedHundredths() == 0 {
			continue
		}
		if p.peers == nil {
			p.peers = map[string]peerOutcomes{}
		}
		p.peers[from] = peerOutcomes{
			served: float64(v.GetServedHundredths()) / 100, failed: float64(v.GetFailedHundredths()) / 100, at: now,
		}
	}
}

// retainOnly drops the entries of backend servers that are not in keys.
func (h *health) retainOnly(keys map[uint64]bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for k := range h.backends {
		if !keys[k] {
			delete(h.backends, k)
		}
	}
}
