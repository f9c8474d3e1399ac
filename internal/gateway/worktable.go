package gateway

import (
	"math"
	"sync"
	"time"

	"bilberryhub/internal/bootclock"
	"bilberryhub/internal/enginemodel"
)

// job is one request at one backend server, or the part of one that this
// backend server prefills.
type job struct {
	backend uint64
	// domain is the failure domain of the backend server. It is set for work of this
	// gateway only.
	domain string
	sent   time.Duration
	work   enginemodel.Work
}

// workTable holds the work at all backend servers: that of this gateway, and
// what the other gateways have shared. A backend server is chosen and the work
// added under one lock, so that two requests never choose on the same state.
type workTable struct {
	mu sync.Mutex
	// local is the running work of this gateway.
	local map[*job]struct{}
	// others holds the latest load share of each other gateway, by gateway id.
	others map[string]*share
	// summaries holds the latest summary of each other failure domain.
	summaries map[string]*summary
	// usedDomains holds what each failure domain was told of the work of this gateway
	// there.
	usedDomains map[string]*domainUse
	// added is signaled when local work was added or a load share is due at once, progressed when some of it
	// had its first event or ended. The other gateways may receive progress a
	// little later.
	added, progressed chan struct{}
	// received is signaled when a load share with work was received or local work was
	// added, if signalsReceived is set.
	received        chan struct{}
	signalsReceived bool
	// endedWork holds ended work by backend server, for as long as it is
	// needed to estimate how far other work has come.
	endedWork map[uint64][]enginemodel.Work
	// coldSends holds the times of requests to cold backend servers.
	coldSends map[uint64][]time.Duration
}

// share is the load share that another gateway last sent: its running work.
type share struct {
	incarnation, sequence uint64
	at                    time.Duration
	// lifetime is how long the load share is used without a newer one.
	lifetime time.Duration
	jobs     []job
	// unreachable is set while the sender's failure domain is unreachable.
	unreachable bool
}

const (
	// minShareLifetime is the shortest time for which a load share is used without a
	// newer one, and shareLifetimeIntervals the same time in intervals of its sender:
	// two datagrams in a row may be lost.
	minShareLifetime       = 4 * minShareInterval
	shareLifetimeIntervals = 2.5
	// unreachableShareLifetime is how long the load share of an unreachable
	// gateway is used, about the time of a response: engines on this side of
	// the partition don't notice it and continue that gateway's requests.
	unreachableShareLifetime = 5 * time.Second
)

// expired reports whether the load share is too old to be used.
func (s *share) expired(now time.Duration) bool {
	if s.unreachable {
		return now-s.at > unreachableShareLifetime
	}
	return now-s.at > max(minShareLifetime, s.lifetime)
}

// shareLifetime returns how long a load share is used without a newer one, if its
// sender sends one at least at each interval.
func shareLifetime(interval time.Duration) time.Duration {
	return max(minShareLifetime, time.Duration(shareLifetimeIntervals*float64(interval)))
}

func newWorkTable() *workTable {
	return &workTable{
		local: map[*job]struct{}{}, others: map[string]*share{},
		added: make(chan struct{}, 1), progressed: make(chan struct{}, 1), received: make(chan struct{}, 1),
		coldSends: map[uint64][]time.Duration{}, endedWork: map[uint64][]enginemodel.Work{},
		summaries: map[string]*summary{}, usedDomains: map[string]*domainUse{},
	}
}

// add adds work of this gateway. The caller holds the lock.
func (b *workTable) add(j *job) {
	b.local[j] = struct{}{}
	b.useDomain(j.domain, bootclock.Now()).hasNewWork = true
	signal(b.added)
	if b.signalsReceived {
		signal(b.received)
	}
}

// signalReceived sets whether load shares with work signal received.
func (b *workTable) signalReceived(on bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.signalsReceived = on
}

// remove ends work of this gateway.
func (b *workTable) remove(jobs ...*job) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := bootclock.Now()
	for _, j := range jobs {
		b.end(j, now)
	}
	signal(b.progressed)
}

// end moves work of this gateway that has ended from local to endedWork. Work
// that has ended before is ignored. The caller holds the lock.
func (b *workTable) end(j *job, now time.Duration) {
	if _, ok := b.local[j]; ok {
		delete(b.local, j)
		b.useDomain(j.domain, now).hasProgress = true
		b.keepEnded(*j, now)
	}
}

// endedLifetime is how long ended work is kept: about the time that the longest
// prefill takes.
const endedLifetime = 12 * time.Second

// keepEnded stores work that has ended. The caller holds the lock.
func (b *workTable) keepEnded(j job, now time.Duration) {
	if j.work.PartTokens <= 0 {
		return
	}
	w := j.work
	if !w.Decoding {
		w.DoneMs = ms(now)
	}
	w.Ended = true
	list := b.endedWork[j.backend]
	first := 0
	for first < len(list) && list[first].DoneMs < ms(now-endedLifetime) {
		first++
	}
	b.endedWork[j.backend] = append(list[first:], w)
}

// markDecoding records the first event of a request, and the end of its helpers'
// work.
func (b *workTable) markDecoding(j *job, helpers []*job, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	j.work.Decoding, j.work.DoneMs = true, ms(now)
	b.useDomain(j.domain, now).hasProgress = true
	for _, h := range helpers {
		b.end(h, now)
	}
	signal(b.progressed)
}

// signal wakes the receiver of a channel with a buffer of one.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// works returns the work at each backend server, and drops expired load shares. The caller
// holds the lock.
func (b *workTable) works(now time.Duration) map[uint64][]enginemodel.Work {
	out, expired := b.peekWorks(now)
	for _, id := range expired {
		delete(b.others, id)
	}
	return out
}

// peekWorks returns the work at each backend server, and the gateways whose load shares
// have expired. It changes nothing. The caller holds the lock.
func (b *workTable) peekWorks(now time.Duration) (out map[uint64][]enginemodel.Work, expired []string) {
	out = map[uint64][]enginemodel.Work{}
	for j := range b.local {
		out[j.backend] = append(out[j.backend], j.work)
	}
	for id, s := range b.others {
		if s.expired(now) {
			expired = append(expired, id)
			continue
		}
		for i := range s.jobs {
			out[s.jobs[i].backend] = append(out[s.jobs[i].backend], s.jobs[i].work)
		}
	}
	for backend, list := range out {
		out[backend] = b.withEnded(backend, list)
	}
	return out, expired
}

// withEnded appends the ended work that was prefilled while some of the list
// was queued.
func (b *workTable) withEnded(backend uint64, list []enginemodel.Work) []enginemodel.Work {
	oldest := math.Inf(1)
	for i := range list {
		if !list[i].Decoding {
			oldest = min(oldest, list[i].SentMs)
		}
	}
	for _, w := range b.endedWork[backend] {
		if w.DoneMs > oldest {
			list = append(list, w)
		}
	}
	return list
}

// markUnreachable marks the load shares of gateways that are unreachable.
func (b *workTable) markUnreachable(gateways []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, id := range gateways {
		if s := b.others[id]; s != nil {
			s.unreachable = true
		}
	}
}

// replaceShare stores a newer load share and keeps the work that has ended
// since the previous one.
func (b *workTable) replaceShare(id string, latest *share, now time.Duration) {
	type part struct {
		request, backend uint64
	}
	if old := b.others[id]; old != nil {
		open := make(map[part]bool, len(latest.jobs))
		for i := range latest.jobs {
			open[part{latest.jobs[i].work.Request, latest.jobs[i].backend}] = true
		}
		for i := range old.jobs {
			if j := &old.jobs[i]; !open[part{j.work.Request, j.backend}] {
				b.keepEnded(*j, now)
			}
		}
	}
	b.others[id] = latest
	if b.signalsReceived && len(latest.jobs) > 0 {
		signal(b.received)
	}
}

// coldWindow is the time window of the request limit of cold backend servers.
const coldWindow = time.Second

// hasColdCapacity reports whether another request may be sent to a cold backend
// server, given the limit of requests in each coldWindow. The caller holds the lock.
func (b *workTable) hasColdCapacity(backend uint64, limit int, now time.Duration) bool {
	return len(recentColdSends(b.coldSends[backend], now)) < limit
}

// recordColdSend records a request to a cold backend server, and drops those that count no
// more. The caller holds the lock.
func (b *workTable) recordColdSend(backend uint64, now time.Duration) {
	b.coldSends[backend] = append(recentColdSends(b.coldSends[backend], now), now)
}

// recentColdSends returns the times within the last coldWindow. The list is sorted.
func recentColdSends(list []time.Duration, now time.Duration) []time.Duration {
	for len(list) > 0 && now-list[0] > coldWindow {
		list = list[1:]
	}
	return list
}

// ms returns a duration in milliseconds, with fraction.
func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
