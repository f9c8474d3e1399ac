package configsync

import "sync"

// maxProbes limits the number of probes that are kept for one subscription.
const maxProbes = 16

// Probes records when the latest probes of one subscription were sent, so that an
// answer can be counted from the time of its probe. T is the type of a point in
// time. It is safe for concurrent use.
type Probes[T any] struct {
	mu   sync.Mutex
	sent []probe[T]
}

type probe[T any] struct {
	id     uint64
	sentAt T
}

// Next records a probe that is sent no earlier than the given time and returns its
// id.
func (p *Probes[T]) Next(at T) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	id := uint64(1)
	if n := len(p.sent); n > 0 {
		id = p.sent[n-1].id + 1
	}
	p.sent = append(p.sent, probe[T]{id, at})
	if len(p.sent) > maxProbes {
		p.sent = p.sent[1:]
	}
	return id
}

// SentAt returns when the probe was sent, and false for an unknown id. Answered
// probes stay recorded, because later heartbeats echo the last one again.
func (p *Probes[T]) SentAt(id uint64) (sentAt T, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if id == 0 && len(p.sent) > 0 && p.sent[0].id == 1 {
		// A replica that does not echo probe ids has answered at least the first
		// probe, which opened the stream.
		return p.sent[0].sentAt, true
	}
	for _, s := range p.sent {
		if s.id == id {
			return s.sentAt, true
		}
	}
	return sentAt, false
}
