package configsync

import "sync"

// maxProbes bounds the unanswered probes of one subscription.
const maxProbes = 16

// Probes remembers when the probes of one subscription were sent. T is the
// type of the clock. It is safe for concurrent use.
type Probes[T any] struct {
	mu   sync.Mutex
	sent []probe[T]
}

type probe[T any] struct {
	id uint64
	at T
}

// Next returns the id of a probe that is sent after the given time.
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

// SentAt returns when the probe was sent, and false for one that is unknown.
// The last probe stays in the list, because later heartbeats echo it as well.
func (p *Probes[T]) SentAt(id uint64) (at T, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if id == 0 && len(p.sent) > 0 && p.sent[0].id == 1 {
		// A replica that does not echo probes has at least answered the first
		// one, by which the stream was opened.
		return p.sent[0].at, true
	}
	for _, s := range p.sent {
		if s.id == id {
			return s.at, true
		}
	}
	return at, false
}
