package gateway

import (
	"sync"
	"time"

	"bilberryhub/internal/enginemodel"
)

// job is one request at one backend server, or one part of it.
type job struct {
	backend uint64
	sent    time.Duration
	work    enginemodel.Work
}

// book holds the work at all backend servers: that of this gateway, and what
// the others have shared. Choosing and entering happen under one lock, so that
// two requests never choose on the same state.
type book struct {
	mu  sync.Mutex
	own map[*job]struct{}
	// others holds the latest share of each gateway.
	others map[string]*share
	// changed is signalled when the own work has changed.
	changed chan struct{}
	// sends holds the times of requests to cold backend servers.
	sends map[uint64][]time.Duration
}

type share struct {
	incarnation, sequence uint64
	at                    time.Duration
	jobs                  []job
}

// shareLifetime is how long a share counts without a newer one: four intervals.
const shareLifetime = 4 * shareInterval

func newBook() *book {
	return &book{
		own: map[*job]struct{}{}, others: map[string]*share{}, changed: make(chan struct{}, 1),
		sends: map[uint64][]time.Duration{},
	}
}

// enter adds work of this gateway. The caller holds the lock.
func (b *book) enter(j *job) {
	b.own[j] = struct{}{}
	b.signal()
}

// remove ends work of this gateway.
func (b *book) remove(jobs ...*job) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, j := range jobs {
		delete(b.own, j)
	}
	b.signal()
}

// writing notes the first event of a request, and the end of its helpers' work.
func (b *book) writing(j *job, helpers []*job, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	j.work.Writing, j.work.WritingSinceMs = true, ms(now)
	for _, h := range helpers {
		delete(b.own, h)
	}
	b.signal()
}

func (b *book) signal() {
	select {
	case b.changed <- struct{}{}:
	default:
	}
}

// works returns the work at each backend server. The caller holds the lock.
func (b *book) works(now time.Duration) map[uint64][]enginemodel.Work {
	out := map[uint64][]enginemodel.Work{}
	for j := range b.own {
		out[j.backend] = append(out[j.backend], j.work)
	}
	for id, s := range b.others {
		if now-s.at > shareLifetime {
			delete(b.others, id)
			continue
		}
		for i := range s.jobs {
			out[s.jobs[i].backend] = append(out[s.jobs[i].backend], s.jobs[i].work)
		}
	}
	return out
}

// coldWindow is the window of the limit of cold backend servers.
const coldWindow = time.Second

// coldRoom reports whether another request may go to a cold backend server,
// within the given number for each window.
func (b *book) coldRoom(backend uint64, limit int, now time.Duration) bool {
	list := b.sends[backend]
	for len(list) > 0 && now-list[0] > coldWindow {
		list = list[1:]
	}
	b.sends[backend] = list
	return len(list) < limit
}

// ms returns a time as fractional milliseconds.
func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
