package notice

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// world plays gateways that send requests to backend servers, some of which leave or want
// a pause. A response reaches its gateway after delay; what a gateway learned reaches the
// others after shareDelay, or never.
type world struct {
	gateways []Table
	// leaves is when each backend server begins to say that it leaves, and busy when it
	// wants pauses.
	leaves []time.Duration
	busy   []bool
	// passedOn is when a gateway first passed on that a backend server leaves, and
	// pauses the pauses that it was told, by gateway and backend server.
	passedOn map[[2]int]time.Duration
	pauses   map[[2]int][]pause
	rng      *rand.Rand
}

type pause struct {
	from, to time.Duration
	requests int
}

const (
	drain      = 2 * time.Second
	pauseSlack = 500 * time.Millisecond
	delay      = 30 * time.Millisecond
)

// Guards against requests to a backend server that has told a gateway that it leaves, or
// that it wants none for some time, with any number of gateways and backend servers.
func TestNoticesAreObeyed(t *testing.T) {
	for _, gateways := range []int{1, 30, 300} {
		for _, servers := range []int{1, 7, 50} {
			t.Run(fmt.Sprintf("%d gateways, %d servers", gateways, servers), func(t *testing.T) {
				for seed := range uint64(3) {
					newWorld(gateways, servers, seed).play(t)
				}
			})
		}
	}
}

func newWorld(gateways, servers int, seed uint64) *world {
	w := &world{
		gateways: make([]Table, gateways), passedOn: map[[2]int]time.Duration{}, pauses: map[[2]int][]pause{},
		rng: rand.New(rand.NewPCG(seed, uint64(gateways*1000+servers))),
	}
	for range servers {
		w.leaves = append(w.leaves, time.Duration(w.rng.Int64N(int64(20*time.Second))))
		w.busy = append(w.busy, w.rng.IntN(3) == 0)
	}
	return w
}

type response struct {
	at              time.Duration
	gateway, server int
	leaving         bool
	pause           time.Duration
}

// play sends requests for 15 s, one in 5 ms.
func (w *world) play(t *testing.T) {
	var open []response
	for now := time.Duration(0); now < 15*time.Second; now += 5 * time.Millisecond {
		var left []response
		for _, r := range open {
			if r.at > now {
				left = append(left, r)
				continue
			}
			w.receive(r, now)
		}
		open = left
		g, s := w.rng.IntN(len(w.gateways)), w.rng.IntN(len(w.leaves))
		if state, _ := w.gateways[g].State(uint64(s), now); state == Paused || state == Leaving {
			continue
		}
		w.check(t, g, s, now)
		r := response{at: now + delay, gateway: g, server: s, leaving: now >= w.leaves[s]}
		if w.busy[s] && w.rng.IntN(2) == 0 {
			r.pause = time.Duration(w.rng.Int64N(int64(3 * time.Second)))
		}
		open = append(open, r)
	}
}

// receive passes a response on.
func (w *world) receive(r response, now time.Duration) {
	key := [2]int{r.gateway, r.server}
	if r.leaving {
		if _, ok := w.passedOn[key]; !ok {
			w.passedOn[key] = now
		}
		w.gateways[r.gateway].RecordLeaving(uint64(r.server))
		// Half of the other gateways hear of it.
		for i := range w.gateways {
			if w.rng.IntN(2) == 0 {
				w.gateways[i].RecordLeaving(uint64(r.server))
			}
		}
	}
	if r.pause > 0 {
		w.pauses[key] = append(w.pauses[key], pause{from: now + pauseSlack, to: now + r.pause})
		w.gateways[r.gateway].RecordPause(uint64(r.server), r.pause, now, w.rng.Float64())
	}
}

// check fails the test if a request of gateway g must not reach server s at now.
func (w *world) check(t *testing.T, g, s int, now time.Duration) {
	t.Helper()
	key := [2]int{g, s}
	if at, ok := w.passedOn[key]; ok && now > at+drain {
		t.Fatalf("gateway %d sends to server %d %v after it has passed on that it leaves", g, s, now-at)
	}
	for i := range w.pauses[key] {
		p := &w.pauses[key][i]
		if now >= p.from && now < p.to {
			if p.requests++; p.requests > 2 {
				t.Fatalf("gateway %d sends %d requests to server %d within a pause", g, p.requests, s)
			}
		}
	}
}

// Guards against notices that outlive their reason, are lifted too soon, or take a
// backend server out for good.
func TestEndOfNotices(t *testing.T) {
	var table Table
	state := func(backend uint64, now time.Duration) State {
		s, _ := table.State(backend, now)
		return s
	}
	table.RecordPause(1, 10*time.Second, 0, 0)
	if table.RecordPause(1, time.Second, time.Second, 0) || state(1, 9*time.Second) != Paused {
		t.Error("a later, shorter pause shortens an earlier one")
	}
	if s := state(1, 10*time.Second); s != Spared {
		t.Errorf("after its pause, the backend server is %v", s)
	}
	if s := state(1, 10*time.Second+returnTime); s != Open {
		t.Errorf("some time after its pause, the backend server is %v", s)
	}
	table.RecordPause(2, 100*time.Hour, 0, 0)
	if s := state(2, MaxPause); s == Paused {
		t.Error("a pause of many hours is not bounded")
	}
	if table.RecordPause(3, 0, 0, 0.9) || table.RecordPause(3, -time.Second, 0, 0.9) {
		t.Error("a pause without a length is recorded")
	}
	table.RecordLeaving(4)
	if table.RecordLeaving(4) || state(4, 1000*time.Hour) != Leaving {
		t.Error("leaving ends by itself")
	}
	// The next lifetime has another key.
	if s := state(5, 0); s != Open {
		t.Errorf("an unknown backend server is %v", s)
	}
	// Pauses that are over are dropped, and the notices of an unknown backend server only
	// after some time, as an old list may bring it back.
	table.RecordLeaving(6)
	table.Retain(map[uint64]bool{1: true, 4: true}, time.Minute)
	if len(table.entries) != 3 || state(4, 0) != Leaving || state(2, time.Minute) != Paused {
		t.Errorf("%d entries are kept, expected those that leave and the pause of 5 minutes", len(table.entries))
	}
	table.Retain(map[uint64]bool{4: true, 6: true}, retention)
	table.Retain(map[uint64]bool{4: true}, time.Minute+retention)
	if state(6, 0) != Leaving {
		t.Error("a notice is dropped although the backend server was known again meanwhile")
	}
	table.Retain(map[uint64]bool{4: true}, time.Minute+2*retention)
	if len(table.entries) != 1 || state(4, 0) != Leaving {
		t.Errorf("%d entries are kept, expected the one that leaves", len(table.entries))
	}
	for i := range uint64(2 * maxEntries) {
		table.RecordLeaving(i)
	}
	if len(table.entries) > maxEntries {
		t.Errorf("%d entries", len(table.entries))
	}
	// Strangers make room for backend servers that are known.
	table.Retain(map[uint64]bool{4: true}, time.Minute)
	if len(table.entries) != 1 || !table.RecordLeaving(3*maxEntries) {
		t.Errorf("%d entries are kept in a full table", len(table.entries))
	}
}
