package dispatch

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"bilberryhub/internal/announce"
	"bilberryhub/internal/wirepb"
)

// noticeWorld plays a dispatcher with backend servers, some of which say in responses that
// they leave or want a pause, while their announcements go on as before.
type noticeWorld struct {
	t    *testing.T
	core *Core
	rng  *rand.Rand
	now  time.Duration
	// outUntil is until when each backend server may get no grant, sent in the reports.
	outUntil []time.Duration
	leaves   []bool
	// open holds when the responses of granted dispatches arrive, and waiting the
	// deadlines of those without a reply.
	open    map[string]openGrant
	waiting map[string]time.Duration
	// refusedAllOut counts refusals while all backend servers were out, grants the grants.
	refusedAllOut, grants int
}

type openGrant struct {
	due    time.Duration
	server int
	boot   uint64
}

// Guards against grants at backend servers that have said that they leave or want a pause,
// and, while that is so for all, against requests that are held or refused without the
// time until the first pause ends, or refused after a grant.
func TestNoticesOfAllBackendServers(t *testing.T) {
	for _, servers := range []int{1, 2, 7, 50} {
		t.Run(fmt.Sprintf("%d servers", servers), func(t *testing.T) {
			refused := 0
			for seed := range uint64(4) {
				w := newNoticeWorld(t, servers, seed)
				w.play()
				refused += w.refusedAllOut
				if w.grants == 0 {
					t.Error("nothing was granted")
				}
			}
			if refused == 0 {
				t.Error("the servers were never out together, so that the test shows nothing")
			}
		})
	}
}

func newNoticeWorld(t *testing.T, servers int, seed uint64) *noticeWorld {
	w := &noticeWorld{
		t: t, core: New(Config{Entry: "e0", Incarnation: 1, FailureDomain: "x", MaxQueue: 1000}),
		rng: rand.New(rand.NewPCG(seed, uint64(servers))), now: time.Second,
		outUntil: make([]time.Duration, servers), leaves: make([]bool, servers),
		open: map[string]openGrant{}, waiting: map[string]time.Duration{},
	}
	w.core.SetView(newTestView())
	return w
}

// play sends requests for 20 s. In two of each five seconds, nearly all responses want a
// pause; from 15 s on, all say that their backend server leaves.
func (w *noticeWorld) play() {
	const step = 5 * time.Millisecond
	for n := 0; w.now < 21*time.Second; w.now += step {
		if (w.now-time.Second)%announce.Interval == 0 {
			w.announceAll()
		}
		if w.now%(50*time.Millisecond) == 0 {
			w.core.SetConfigAge(0)
			w.core.Tick(w.now)
		}
		w.takeActions()
		w.respond()
		for range w.rng.IntN(2 + len(w.leaves)/10) {
			w.reserve(fmt.Sprintf("r%d", n))
			n++
		}
		w.checkWaiting()
	}
}

func (w *noticeWorld) announceAll() {
	for i := range w.leaves {
		a := announce.Announcement{
			ID: fmt.Sprintf("b%d", i), Boot: 1, Address: fmt.Sprintf("b%d", i), FailureDomain: "x", Service: "svc", Kind: announce.KindModel,
			Models: []string{"m"}, MemoryTokens: 100_000, MaxConcurrent: 8, Sequence: uint64(w.now / time.Millisecond),
		}
		for _, id := range slices.Sorted(maps.Keys(w.open)) {
			if w.open[id].server == i {
				a.Load.Open = append(a.Load.Open, id)
			}
		}
		w.core.Announce(w.now, &a)
	}
}

// allOut reports whether all backend servers leave or pause, and when the first pause
// ends; 0 if all leave.
func (w *noticeWorld) allOut() (isOut bool, first time.Duration) {
	for i, until := range w.outUntil {
		switch {
		case w.leaves[i]:
		case w.now >= until:
			return false, 0
		case first == 0 || until < first:
			first = until
		}
	}
	return true, first
}

func (w *noticeWorld) reserve(id string) {
	deadline := 500*time.Millisecond + time.Duration(w.rng.Int64N(int64(4*time.Second)))
	w.waiting[id] = w.now + deadline
	isOut, first := w.allOut()
	w.core.Reserve(w.now, &wirepb.Reserve{
		DispatchId: id, Account: "a", Service: "svc", FailureDomain: "x", Model: "m", Urgency: "normal",
		DeadlineMs: uint32(deadline / time.Millisecond), PromptTokens: 10, MaxOutputTokens: 10, Entry: "p0", EntryIncarnation: 1,
	})
	refusals := w.takeActions()
	if !isOut {
		return
	}
	want := noBackendRetryAfter
	if first > 0 {
		want = first - w.now
	}
	got, isRefused := refusals[id]
	if w.refusedAllOut++; !isRefused || got != want {
		w.t.Fatalf("at %v: request refused: %v, after %v, expected at once with %v", w.now, isRefused, got, want)
	}
}

// takeActions checks the replies of the dispatcher and returns the retry times of
// refusals.
func (w *noticeWorld) takeActions() map[string]time.Duration {
	refusals := map[string]time.Duration{}
	for _, a := range w.core.TakeActions() {
		if r := a.Envelope.GetRefuse(); r != nil {
			if _, isWaiting := w.waiting[r.DispatchId]; !isWaiting {
				w.t.Fatalf("%s is refused after its reply", r.DispatchId)
			}
			delete(w.waiting, r.DispatchId)
			refusals[r.DispatchId] = time.Duration(r.RetryAfterMs) * time.Millisecond
			continue
		}
		grant := a.Envelope.GetGrant()
		if grant == nil {
			continue
		}
		w.grants++
		var server int
		if _, err := fmt.Sscanf(grant.Members[0].Backend, "b%d", &server); err != nil {
			w.t.Fatal(err)
		}
		if w.leaves[server] || w.now < w.outUntil[server] {
			w.t.Fatalf("at %v: %s is granted at b%d, which leaves: %v, or is paused until %v", w.now, grant.DispatchId, server, w.leaves[server], w.outUntil[server])
		}
		delete(w.waiting, grant.DispatchId)
		w.open[grant.DispatchId] = openGrant{w.now + time.Duration(w.rng.Int64N(int64(50*time.Millisecond))), server, grant.Members[0].Boot}
		w.progress(grant.DispatchId, wirepb.Progress_STEP_STARTED, 0, false)
	}
	return refusals
}

func (w *noticeWorld) progress(id string, step wirepb.Progress_Step, pause time.Duration, leaving bool) {
	o := w.open[id]
	w.core.Progress(w.now, &wirepb.Progress{
		DispatchId: id, Service: "svc", FailureDomain: "x", Step: step, ElapsedMs: 10, OutputTokens: 10,
		Backend: fmt.Sprintf("b%d", o.server), Boot: o.boot, PauseMs: uint32(pause / time.Millisecond), Leaving: leaving,
	})
}

// respond reports the responses that are due.
func (w *noticeWorld) respond() {
	for _, id := range slices.Sorted(maps.Keys(w.open)) {
		o := w.open[id]
		if o.due > w.now {
			continue
		}
		var pause time.Duration
		leaving := w.now > 15*time.Second
		if w.now%(5*time.Second) < 2*time.Second && w.rng.IntN(10) > 0 {
			pause = time.Duration(100+w.rng.IntN(3000)) * time.Millisecond
		}
		if leaving || pause > 0 {
			w.progress(id, wirepb.Progress_STEP_UNSPECIFIED, pause, leaving)
			w.leaves[o.server] = w.leaves[o.server] || leaving
			w.outUntil[o.server] = max(w.outUntil[o.server], w.now+pause)
		}
		step := wirepb.Progress_STEP_DONE
		if pause > 0 {
			step = wirepb.Progress_STEP_REFUSED
		}
		w.progress(id, step, 0, false)
		delete(w.open, id)
		w.takeActions()
	}
}

// checkWaiting checks that no request waits in vain.
func (w *noticeWorld) checkWaiting() {
	const tick = 100 * time.Millisecond
	isOut, first := w.allOut()
	for id, deadline := range w.waiting {
		if w.now > deadline+tick {
			w.t.Fatalf("at %v: %s waits beyond its deadline", w.now, id)
		}
		if isOut && first == 0 && w.now > 18*time.Second {
			w.t.Fatalf("at %v: %s waits although all backend servers leave", w.now, id)
		}
	}
}
