package gateway

import (
	"math"
	"sync"
	"time"

	"bilberryhub/internal/fleet"
)

const (
	// failureHalfLife is the time in which the weight of an outcome halves.
	failureHalfLife = 4 * time.Second
	// avoidFirst is how long a backend server is left alone after it could not be
	// reached; it doubles with each further time up to avoidMost.
	avoidFirst = 700 * time.Millisecond
	avoidMost  = 8 * time.Second
	// minSlowSamples is the number of first events before an engine counts as slow.
	minSlowSamples = 3
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
	case outcomeUnreachable:
		p.failed++
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
	j := judgement{slowness: 1}
	if now-b.SeenAt > silence {
		j.avoid = true
	}
	p := h.rows[key]
	if p == nil {
		return j
	}
	p.decay(now)
	if now < p.avoidUntil {
		j.avoid = true
	}
	// Two virtual successes keep one failure from weighing too much.
	j.failureShare = p.failed / (p.failed + p.served + 2)
	if p.samples >= minSlowSamples && now-p.slowAt < 2*failureHalfLife {
		j.slowness = max(1, p.slowness)
	}
	return j
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
