package soak

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"bilberryhub/internal/config"
	"bilberryhub/internal/loadtool"
)

const (
	// exclusionTarget is promise 4.
	exclusionTarget = 3 * time.Second
	// failover is how long a pool may be without a dispatcher (2.5 s), together
	// with the time to notice the loss of the old one (1.5 s).
	failover = 4 * time.Second
	// slack is added to times of the design, for a busy machine.
	slack = 4 * time.Second
)

// Guards against faults that only real processes show: a process that is paused
// by its host, killed without notice, or has lost its disk.
func TestProcessFaults(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name   string
		layout layout
		run    func(*testing.T, *setup)
	}{
		{"paused over an out order", layout{enginesPerDomain: 2, timeScale: 0.1, coldLimit: 8}, pausedOverOrder},
		{"paused dispatcher", layout{
			enginesPerDomain: 2, timeScale: 0.1, coldLimit: 2,
			// The engines stay cold, so that each request above the limit shows.
			model: map[string]any{"cold_requests": 1_000_000},
		}, pausedDispatcher},
		{"killed entry process", layout{enginesPerDomain: 2, timeScale: 0.5, coldLimit: 8}, killedEntry},
		{"lost disk and second loss", layout{enginesPerDomain: 1, timeScale: 0.1, coldLimit: 8}, lostDisk},
		{"two planned stops", layout{enginesPerDomain: 2, timeScale: 0.2, coldLimit: 8}, plannedStops},
		{"killed claimant", layout{enginesPerDomain: 1, timeScale: 0.1, coldLimit: 8, plainMS: 200}, killedClaimant},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			s := newSetup(t, tc.layout)
			tc.run(t, s)
			s.checkInvariants()
		})
	}
}

// traffic sends requests through entry processes until it is stopped.
type traffic struct {
	stop chan struct{}
	once sync.Once
	wg   sync.WaitGroup
	sent atomic.Uint64
	ok   atomic.Uint64
	bad  atomic.Uint64

	mu      sync.Mutex
	slowest time.Duration
	codes   map[string]int
}

// note records how a request ended.
func (tr *traffic) note(r *loadtool.Result) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.slowest = max(tr.slowest, r.Total)
	tr.codes[string(r.Outcome)+" "+r.Code+" "+r.Run]++
}

// summary describes the traffic, which has ended.
func (tr *traffic) summary() string {
	return fmt.Sprintf("%d requests, slowest %v, ends %v", tr.sent.Load(), tr.slowest.Round(time.Millisecond), tr.codes)
}

// load starts callers that send one short request after another.
func (s *setup) load(entries []*entryProcess, callersEach int) *traffic {
	tr := &traffic{stop: make(chan struct{}), codes: map[string]int{}}
	for _, e := range entries {
		for range callersEach {
			tr.wg.Go(func() { s.caller(tr, e) })
		}
	}
	return tr
}

func (s *setup) caller(tr *traffic, e *entryProcess) {
	for {
		select {
		case <-tr.stop:
			return
		default:
		}
		n := tr.sent.Add(1)
		r := s.ask(e, prompt{text: fmt.Sprintf("%s question %d", e.name, n), output: 8})
		tr.note(r)
		switch r.Outcome {
		case loadtool.OK:
			tr.ok.Add(1)
		case loadtool.Wrong:
			s.t.Errorf("a wrong answer through %s: %s", e.name, r.Error)
		default:
			tr.bad.Add(1)
			time.Sleep(pollInterval)
		}
	}
}

// end stops the callers and waits for their last requests. It may be called again.
func (tr *traffic) end() {
	tr.once.Do(func() { close(tr.stop) })
	tr.wg.Wait()
}

// others returns all entry processes but the given ones.
func (s *setup) others(but ...*entryProcess) []*entryProcess {
	var out []*entryProcess
	for _, e := range s.entries {
		left := false
		for _, b := range but {
			left = left || b == e
		}
		if !left {
			out = append(out, e)
		}
	}
	return out
}

// Guards against work for an excluded target from a process that has not heard
// of the order because it was paused (promise 4). Both a backend server of its
// own pool and a whole failure domain are excluded.
func pausedOverOrder(t *testing.T, s *setup) {
	paused := s.mustDispatcher("d1")
	tr := s.load(s.entries, 4)
	t.Cleanup(tr.end)
	time.Sleep(500 * time.Millisecond)
	pause(paused.process)
	s.order(config.TargetBackendServer, "engine-d1-1", true, 1)
	s.order(config.TargetFailureDomain, "d2", true, 1)
	time.Sleep(exclusionTarget)
	excluded := []string{"engine-d1-1", "engine-d2-1", "engine-d2-2"}
	before := s.stats()
	resume(paused.process)
	s.within(failover+slack, "the resumed process serves", func() bool { return s.ask(paused, prompt{}).Outcome == loadtool.OK })
	s.within(failover+slack, "the engine in service gets requests", func() bool {
		return s.stats()["engine-d1-2"].Requests > before["engine-d1-2"].Requests+100
	})
	after := s.stats()
	for _, id := range excluded {
		if got := after[id].Requests - before[id].Requests; got != 0 {
			t.Errorf("%s got %d requests later than %v after its exclusion", id, got, exclusionTarget)
		}
	}
	tr.end()
	t.Logf("paused over an out order: %s", tr.summary())
}

// Guards against two dispatchers that both grant the budget of a cold engine
// (promise 3), and against a pool that nobody serves while its dispatcher is
// paused.
func pausedDispatcher(t *testing.T, s *setup) {
	paused := s.mustDispatcher("d1")
	through := s.load([]*entryProcess{paused}, 6)
	t.Cleanup(through.end)
	tr := s.load(s.others(paused), 6)
	t.Cleanup(tr.end)
	time.Sleep(500 * time.Millisecond)
	for range 2 {
		pause(paused.process)
		before, served := s.stats(), tr.ok.Load()
		s.within(failover+slack, "another process dispatches for d1", func() bool {
			now := s.stats()
			return now["engine-d1-1"].Requests > before["engine-d1-1"].Requests+2 && now["engine-d1-2"].Requests > before["engine-d1-2"].Requests+2
		})
		if tr.ok.Load() == served {
			t.Error("no request was served during the pause")
		}
		resume(paused.process)
		time.Sleep(2 * time.Second)
	}
	for id, d := range s.stats() {
		if d.Overloads != 0 || d.MaxConcurrentCold > uint64(s.layout.coldLimit) {
			t.Errorf("%s: %d overloads, at most %d requests at once, limit %d", id, d.Overloads, d.MaxConcurrentCold, s.layout.coldLimit)
		}
	}
	tr.end()
	through.end()
	t.Logf("paused dispatcher: through others %s; through it %s", tr.summary(), through.summary())
}

// Guards against memory that stays reserved when the process that held the
// streams is gone (promise 2), and against a pool without dispatcher.
func killedEntry(t *testing.T, s *setup) {
	killed := s.mustDispatcher("d1")
	const streams = 6
	// 1,500 tokens take 15 s at this time scale, so that memory that is free
	// earlier was given back and not used up.
	var wg sync.WaitGroup
	for i := range streams {
		wg.Go(func() {
			if r := s.ask(killed, prompt{text: fmt.Sprint("open ", i), output: 1500}); r.Outcome == loadtool.OK {
				t.Error("a stream of a killed process ended as a whole")
			}
		})
	}
	s.within(patience, "streams are open", func() bool { return s.running() == streams })
	if err := killed.kill(); err != nil {
		t.Fatal(err)
	}
	wg.Wait()
	start := time.Now()
	s.within(2*time.Second+slack, "engines give the memory back", func() bool { return s.reserved() == 0 })
	t.Logf("killed entry process: memory was free after %v", time.Since(start).Round(time.Millisecond))
	s.within(failover+slack, "another process dispatches for d1", func() bool {
		e := s.dispatcher("d1")
		return e != nil && e != killed
	})
	before := s.stats()
	s.within(failover+slack, "the pool serves again", func() bool {
		for _, e := range s.others(killed) {
			s.ask(e, prompt{})
		}
		now := s.stats()
		return now["engine-d1-1"].Completed+now["engine-d1-2"].Completed > before["engine-d1-1"].Completed+before["engine-d1-2"].Completed
	})
	if err := killed.start(); err != nil {
		t.Fatal(err)
	}
	s.waitServing()
}

// Guards against accepted manifests and claims that are lost with a disk, when a
// second replica is lost right after the repair (promises 7 and 10).
func lostDisk(t *testing.T, s *setup) {
	key := func(i int) string { return fmt.Sprintf("job-%d", i) }
	claimed := 0
	claim := func(n int) {
		for range n {
			claimed++
			s.within(patience, "booking "+key(claimed), func() bool {
				return s.book(s.entries[claimed%len(s.entries)], key(claimed), key(claimed)).status == http.StatusOK
			})
		}
	}
	claim(10)
	s.applyManifest()
	lost, _ := s.leader()
	if lost == nil {
		t.Fatal("no leader")
	}
	identity, _ := s.voter(lost.name)
	if err := lost.kill(); err != nil {
		t.Fatal(err)
	}
	if err := os.RemoveAll(lost.data); err != nil {
		t.Fatal(err)
	}
	// Accepted by two replicas, one of which is lost below.
	claim(10)
	s.applyManifest()
	if err := lost.start(); err != nil {
		t.Fatal(err)
	}
	s.within(patience, "the repair is complete", func() bool { return s.rejoined(lost.name, identity) })
	second, _ := s.leader()
	if second == nil || second == lost {
		for _, p := range s.states {
			if p != lost {
				second = p
			}
		}
	}
	if err := second.kill(); err != nil {
		t.Fatal(err)
	}
	t.Logf("lost disk: %s lost its data, then %s was killed", lost.name, second.name)
	s.within(patience, "two replicas elect a leader", func() bool { p, _ := s.leader(); return p != nil && p != second })
	_, d := s.leader()
	if d == nil || d.State.ManifestNumber != s.number {
		t.Errorf("manifest in force after two losses: %+v, accepted was %d", d, s.number)
	}
	for i := 1; i <= claimed; i++ {
		e := s.entries[(i+1)%len(s.entries)]
		var got booking
		s.within(patience, "resend of "+key(i), func() bool { got = s.book(e, key(i), key(i)); return got.code != "no_quorum" })
		if got.status != http.StatusOK {
			t.Errorf("resend of %s: %+v, want the recorded answer", key(i), got)
		}
	}
	claim(3)
	s.applyManifest()
	effects := s.effects()
	for i := 1; i <= claimed; i++ {
		if effects[key(i)] != 1 {
			t.Errorf("%s had %d effects", key(i), effects[key(i)])
		}
	}
	s.within(patience, "entry processes hold the last manifest", func() bool { return s.allHold(s.number) })
}

// allHold tells whether the manifest is in force at all entry processes.
func (s *setup) allHold(number uint64) bool {
	for _, e := range s.entries {
		if d, err := s.entryDump(e); err != nil || d.Config.ManifestNumber != number {
			return false
		}
	}
	return true
}

// Guards against streams that are cut by a planned stop, when the two entry
// processes of one failure domain stop at once (promise 9).
func plannedStops(t *testing.T, s *setup) {
	stopped := s.entries[:entriesPerDomain]
	var wg sync.WaitGroup
	const each = 3
	for _, e := range s.entries {
		for i := range each {
			// 1,000 tokens take 4 s at this time scale.
			wg.Go(func() {
				r := s.ask(e, prompt{text: fmt.Sprintf("%s open %d", e.name, i), output: 1000})
				if r.Outcome != loadtool.OK {
					t.Errorf("a stream through %s was cut: %s %s %s after %d tokens", e.name, r.Outcome, r.Code, r.Error, r.Tokens)
				}
			})
		}
	}
	s.within(patience, "streams are open", func() bool { return s.running() == each*len(s.entries) })
	for _, e := range stopped {
		e.signal(syscall.SIGTERM)
	}
	time.Sleep(300 * time.Millisecond)
	for _, e := range stopped {
		if e.wait(0) {
			t.Errorf("%s has exited with streams open", e.name)
			continue
		}
		if r := s.ask(e, prompt{}); r.Outcome == loadtool.OK {
			t.Errorf("%s accepts requests while it drains", e.name)
		}
	}
	wg.Wait()
	for _, e := range stopped {
		if !e.wait(slack) {
			t.Errorf("%s has not exited after its last request", e.name)
		} else if e.exitCode() != 0 {
			t.Errorf("%s exited with code %d", e.name, e.exitCode())
		}
	}
	s.within(patience, "engines hold no memory", func() bool { return s.reserved() == 0 })
}

// Guards against a second run of a call whose claimant was killed in the middle,
// when it is sent again through other processes and domains (promise 7).
func killedClaimant(t *testing.T, s *setup) {
	const keys = 40
	killed := s.entries[0]
	key := func(i int) string { return fmt.Sprintf("job-%d", i) }
	answers := make([][]booking, keys)
	var wg sync.WaitGroup
	book := func(i int) {
		answers[i] = append(answers[i], s.book(killed, key(i), key(i)))
		for _, e := range s.others(killed) {
			answers[i] = append(answers[i], s.book(e, key(i), key(i)))
		}
	}
	// One half is answered before the kill. It interrupts the other half, whose
	// calls start over several times the time that one takes, so that some are
	// open whenever the kill comes.
	for i := range keys / 2 {
		wg.Go(func() { book(i) })
	}
	wg.Wait()
	for i := keys / 2; i < keys; i++ {
		wg.Go(func() {
			time.Sleep(time.Duration(i-keys/2) * 50 * time.Millisecond)
			book(i)
		})
	}
	s.within(patience, "a call of the second half runs", func() bool { return len(s.effects()) > keys/2 })
	if err := killed.kill(); err != nil {
		t.Fatal(err)
	}
	wg.Wait()
	if err := killed.start(); err != nil {
		t.Fatal(err)
	}
	s.waitServing()
	effects := s.effects()
	interrupted := 0
	for i := range keys {
		answers[i] = append(answers[i], s.book(killed, key(i), key(i)))
		if answers[i][0].status == 0 {
			interrupted++
		}
	}
	for id, n := range s.effects() {
		if n > 1 {
			t.Errorf("%s had %d effects", id, n)
		}
		effects[id] = n
	}
	for i := range keys {
		if problem := contradiction(answers[i], effects[key(i)]); problem != "" {
			t.Errorf("%s: %s: %+v", key(i), problem, answers[i])
		}
	}
	if interrupted == 0 || interrupted == keys {
		t.Errorf("%d of %d calls were interrupted; the kill came too late or too early", interrupted, keys)
	}
	t.Logf("killed claimant: %d of %d calls interrupted, %d had an effect", interrupted, keys, len(effects))
}

// contradiction compares what callers were told with the number of effects.
func contradiction(answers []booking, effects int) string {
	ran, maybe := false, false
	for _, a := range answers {
		ran = ran || a.status == http.StatusOK || a.run == "yes"
		maybe = maybe || a.run != "no"
	}
	switch {
	case effects > 1:
		return fmt.Sprintf("%d effects", effects)
	case ran && effects != 1:
		return "answered and had no effect"
	case !maybe && effects != 0:
		return "had an effect, and every answer says that it was not run"
	}
	return ""
}
