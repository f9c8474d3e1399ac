package gateway

import (
	"math"
	"sync"
	"time"

	"bilberryhub/internal/bootclock"
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
	// entered is signalled when own work was entered, and eased when some of it has
	// moved on or ended, which the other gateways may learn a little later.
	entered, eased chan struct{}
	// past holds ended work by backend server, for as long as it explains how far
	// other work has come.
	past map[uint64][]enginemodel.Work
	// sends holds the times of requests to cold backend servers.
	sends map[uint64][]time.Duration
}

type share struct {
	incarnation, sequence uint64
	at                    time.Duration
	jobs                  []job
	// cut is set while the sender's failure domain is cut off.
	cut bool
}

const (
	// shareLifetime is how long a share counts without a newer one: four intervals.
	shareLifetime = 4 * shareInterval
	// cutShareLifetime is how long the share of a gateway counts that is cut off:
	// its requests go on at the engines on this side, which do not notice, for about
	// the time of an answer.
	cutShareLifetime = 5 * time.Second
)

func (s *share) expired(now time.Duration) bool {
	if s.cut {
		return now-s.at > cutShareLifetime
	}
	return now-s.at > shareLifetime
}

func newBook() *book {
	return &book{
		own: map[*job]struct{}{}, others: map[string]*share{},
		entered: make(chan struct{}, 1), eased: make(chan struct{}, 1),
		sends: map[uint64][]time.Duration{}, past: map[uint64][]enginemodel.Work{},
	}
}

// enter adds work of this gateway. The caller holds the lock.
func (b *book) enter(j *job) {
	b.own[j] = struct{}{}
	signal(b.entered)
}

// remove ends work of this gateway.
func (b *book) remove(jobs ...*job) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := bootclock.Now()
	for _, j := range jobs {
		b.end(j, now)
	}
	signal(b.eased)
}

func (b *book) end(j *job, now time.Duration) {
	if _, ok := b.own[j]; ok {
		delete(b.own, j)
		b.remember(*j, now)
	}
}

// pastLifetime is how long ended work is kept: about the time that the longest
// read takes.
const pastLifetime = 12 * time.Second

// remember keeps work that has ended. The caller holds the lock.
func (b *book) remember(j job, now time.Duration) {
	if j.work.PartTokens <= 0 {
		return
	}
	w := j.work
	if !w.Writing {
		w.DoneMs = ms(now)
	}
	w.Ended = true
	list := b.past[j.backend]
	first := 0
	for first < len(list) && list[first].DoneMs < ms(now-pastLifetime) {
		first++
	}
	b.past[j.backend] = append(list[first:], w)
}

// writing notes the first event of a request, and the end of its helpers' work.
func (b *book) writing(j *job, helpers []*job, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	j.work.Writing, j.work.DoneMs = true, ms(now)
	for _, h := range helpers {
		b.end(h, now)
	}
	signal(b.eased)
}

// signal wakes the receiver of a channel with room for one token.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
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
		if s.expired(now) {
			delete(b.others, id)
			continue
		}
		for i := range s.jobs {
			out[s.jobs[i].backend] = append(out[s.jobs[i].backend], s.jobs[i].work)
		}
	}
	for backend, list := range out {
		out[backend] = b.withPast(backend, list)
	}
	return out
}

// withPast adds the ended work that was read while some of the list waited.
func (b *book) withPast(backend uint64, list []enginemodel.Work) []enginemodel.Work {
	oldest := math.Inf(1)
	for i := range list {
		if !list[i].Writing {
			oldest = min(oldest, list[i].SentMs)
		}
	}
	for _, w := range b.past[backend] {
		if w.DoneMs > oldest {
			list = append(list, w)
		}
	}
	return list
}

// cutOff marks the shares of gateways that cannot be heard.
func (b *book) cutOff(gateways []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, id := range gateways {
		if s := b.others[id]; s != nil {
			s.cut = true
		}
	}
}

// replaceShare takes a newer share over and remembers what has ended since the
// former one.
func (b *book) replaceShare(id string, row *share, now time.Duration) {
	type part struct {
		request, backend uint64
	}
	if old := b.others[id]; old != nil {
		open := make(map[part]bool, len(row.jobs))
		for i := range row.jobs {
			open[part{row.jobs[i].work.Request, row.jobs[i].backend}] = true
		}
		for i := range old.jobs {
			if j := &old.jobs[i]; !open[part{j.work.Request, j.backend}] {
				b.remember(*j, now)
			}
		}
	}
	b.others[id] = row
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
