package gateway

import (
	"math"
	"sync"
	"time"

	"bilberryhub/internal/fleet"
	"bilberryhub/internal/wirepb"
)

const (
	// failureHalfLife is the time in which the weight of an outcome halves.
	failureHalfLife = 4 * time.Second
	// avoidFirst is how long a backend server is left alone after it could not be
	// reached; it doubles with each further time up to avoidMost.
	avoidFirst = 700 * time.Millisecond
	avoidMost  = 3 * time.Second
	// priorServed are virtual successes that keep a few failures from weighing too
	// much, and toleratedFailures the share of failures that says nothing: callers
	// leave, and plain services answer some requests with errors.
	priorServed       = 5
	toleratedFailures = 0.15
	// minSlowSamples is the number of first events before an engine counts as slow.
	minSlowSamples = 3
	// minSlowness is the least factor that counts: predictions under load are off by
	// as much.
	minSlowness = 1.5
	// maxSlowness bounds the factor learnt from one first event.
	maxSlowness = 20
)

// outcome is how an exchange with a backend server ended.
type outcome int

const (
	outcomeServed outcome = iota
	// outcomeFailed is an answer that is no success though the backend server was
	// reached: an error, a broken or a foreign answer.
	outcomeFailed
	// outcomeUnreachable is a failed connection or silence.
	outcomeUnreachable
	// outcomeDead is a refused connection.
	outcomeDead
	// outcomeBusy is a refusal without run.
	outcomeBusy
)

// patient is what this gateway has seen of one backend server.
type patient struct {
	served, failed float64
	at             time.Duration
	avoidUntil     time.Duration
	avoidFor       time.Duration
	// failedAt is when it was last not reached.
	failedAt time.Duration
	// slowness is the mean ratio of seen to predicted time to the first event.
	slowness float64
	samples  int
	slowAt   time.Duration
	// deadAt is when a connection was refused: nothing listens there any more.
	deadAt time.Duration
	// heardAvoidUntil is what other gateways have found out.
	heardAvoidUntil time.Duration
	// signAt is when anything was last received from it.
	signAt time.Duration
}

// health judges backend servers by the outcomes of requests. Status checks are
// not asked for: they take a slot, and a good one proves little.
type health struct {
	mu   sync.Mutex
	rows map[uint64]*patient
}

func newHealth() *health { return &health{rows: map[uint64]*patient{}} }

func (h *health) row(backend uint64) *patient {
	p := h.rows[backend]
	if p == nil {
		p = &patient{slowness: 1}
		h.rows[backend] = p
	}
	return p
}

// note records an outcome.
func (h *health) note(backend uint64, o outcome, now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.row(backend)
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
			p.avoidFor = min(max(avoidFirst, 2*p.avoidFor), avoidMost)
			p.avoidUntil = now + p.avoidFor
		}
	}
}

func (p *patient) decay(now time.Duration) {
	if p.at > 0 {
		f := math.Exp2(-float64(now-p.at) / float64(failureHalfLife))
		p.served *= f
		p.failed *= f
	}
	p.at = now
}

// sign notes that something was received from a backend server.
func (h *health) sign(backend uint64, now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.row(backend).signAt = now
}

// lastSign returns when something was last received from a backend server.
func (h *health) lastSign(backend uint64) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.row(backend).signAt
}

// noteFirstEvent records the time to a first event against its prediction.
func (h *health) noteFirstEvent(backend uint64, predictedMs, seenMs float64, now time.Duration) {
	if predictedMs <= 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.row(backend)
	ratio := min(max(seenMs/predictedMs, 0.5), maxSlowness)
	if now-p.slowAt > 2*failureHalfLife {
		p.samples, p.slowness = 0, 1
	}
	p.samples++
	weight := max(0.25, 1/float64(p.samples+1))
	p.slowness += weight * (ratio - p.slowness)
	p.slowAt = now
}

// judgement is what a choice takes into account.
type judgement struct {
	// dead is set where nothing listened after the last announcement.
	dead bool
	// avoid is set where it should be used only when there is nothing else.
	avoid bool
	// failureShare is the share of the requests that are expected to fail.
	failureShare float64
	slowness     float64
}

// judge returns the judgement of a backend server. One that was not reached and
// has announced itself since gets another chance.
func (h *health) judge(b *fleet.BackendServer, key uint64, now, silence time.Duration) judgement {
	h.mu.Lock()
	defer h.mu.Unlock()
	j := judgement{slowness: 1, avoid: now-b.SeenAt > silence}
	p := h.rows[key]
	if p == nil {
		return j
	}
	p.decay(now)
	j.dead = p.deadAt > 0 && b.SeenAt <= p.deadAt
	if now < max(p.avoidUntil, p.heardAvoidUntil) {
		j.avoid = true
	}
	j.failureShare = max(0, p.failed/(p.failed+p.served+priorServed)-toleratedFailures)
	if s := p.ownSlowness(now); s > 1 {
		j.slowness = s
	}
	return j
}

// ownSlowness returns the factor learnt here, or 1.
func (p *patient) ownSlowness(now time.Duration) float64 {
	if p.samples < minSlowSamples || now-p.slowAt > 2*failureHalfLife {
		return 1
	}
	if p.slowness < minSlowness {
		return 1
	}
	return p.slowness
}

// verdicts returns what the other gateways should know.
func (h *health) verdicts(now time.Duration) []*wirepb.Verdict {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []*wirepb.Verdict
	for backend, p := range h.rows {
		if left := (p.avoidUntil - now).Milliseconds(); left > 0 {
			out = append(out, &wirepb.Verdict{Backend: backend, AvoidMs: uint32(left)})
		}
	}
	return out
}

// hear takes the verdicts of another gateway over. They count for as long as a
// share does, so that a wrong one ends with its sender.
func (h *health) hear(list []*wirepb.Verdict, now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, v := range list {
		p := h.row(v.GetBackend())
		avoid := min(milliseconds(int64(v.GetAvoidMs())), shareLifetime)
		p.heardAvoidUntil = max(p.heardAvoidUntil, now+avoid)
	}
}

// keep drops the rows of backend servers that are not listed.
func (h *health) keep(keys map[uint64]bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for k := range h.rows {
		if !keys[k] {
			delete(h.rows, k)
		}
	}
}
