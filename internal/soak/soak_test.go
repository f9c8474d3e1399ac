package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"bilberryhub/internal/config"
	"bilberryhub/internal/loadtool"
)

const (
	// defaultDuration keeps the run of the test target short.
	defaultDuration = 20 * time.Second
	// watchInterval is below the restart time of an engine, so that an overload
	// is seen before the boot number changes.
	watchInterval = 150 * time.Millisecond
	// mostEntriesDown leaves entry processes for callers and for failure domains
	// whose own are down.
	mostEntriesDown = 3
	// longestPause is above every lease and permit, and below requestLimit.
	longestPause = 6 * time.Second
	// drainLimit is the drain limit of the settings and some time to exit.
	drainLimit = 35 * time.Second

	streamCallers  = 12
	bookingCallers = 4
	operators      = 2
)

// soakRun is one run of random traffic and random faults.
type soakRun struct {
	*setup
	seed  uint64
	begin time.Time
	stop  chan struct{}

	mu       sync.Mutex
	schedule []string
	ends     map[string]int
	bookings map[string][]booking
	// newest is the highest manifest number that was accepted.
	newest   uint64
	accepted map[uint64]int
	// manifests holds the highest manifest number seen on each run of a process.
	manifests map[string]uint64
	// coldFaults lists the boots of engines that a fault has turned cold.
	coldFaults map[string]bool
	overloads  map[string]uint64
	caused     int
	busy       map[string]bool
	faults     sync.WaitGroup
}

func environment(t *testing.T) (seed uint64, duration time.Duration) {
	t.Helper()
	seed, duration = 1, defaultDuration
	if v := os.Getenv("SEED"); v != "" {
		n, err := strconv.ParseUint(v, 10, 64)
		if err != nil {
			t.Fatalf("SEED: %v", err)
		}
		seed = n
	}
	if v := os.Getenv("MINUTES"); v != "" {
		n, err := strconv.ParseFloat(v, 64)
		if err != nil {
			t.Fatalf("MINUTES: %v", err)
		}
		duration = time.Duration(n * float64(time.Minute))
	}
	return seed, duration
}

// Guards the promises under combinations of faults that nobody has thought of.
// SEED selects the schedule and MINUTES the duration; the times of the machine
// still differ between two runs of one seed.
func TestSoak(t *testing.T) {
	t.Parallel()
	seed, duration := environment(t)
	k := &soakRun{
		setup: newSetup(t, layout{
			enginesPerDomain: 2, timeScale: 0.1, coldLimit: 2, plainMS: 20,
			model: map[string]any{"cold_requests": 6},
		}),
		seed: seed, begin: time.Now(), stop: make(chan struct{}),
		ends: map[string]int{}, bookings: map[string][]booking{}, accepted: map[uint64]int{},
		manifests: map[string]uint64{}, coldFaults: map[string]bool{}, overloads: map[string]uint64{}, busy: map[string]bool{},
	}
	k.newest = k.number
	t.Cleanup(k.report)
	var traffic, watcher sync.WaitGroup
	k.startTraffic(&traffic)
	watched := make(chan struct{})
	watcher.Go(func() { repeat(watched, k.watchOverloads) })
	// Looks at paused processes take up to a second each, which must not delay
	// the look at the engines beyond their restart.
	watcher.Go(func() { repeat(watched, func() { k.watchManifests(); k.checkInvariants() }) })
	k.disturb(duration)
	k.faults.Wait()
	k.heal()
	close(k.stop)
	traffic.Wait()
	k.settle()
	close(watched)
	watcher.Wait()
	k.verify()
}

func (k *soakRun) rng(stream int) *rand.Rand { return rand.New(rand.NewPCG(k.seed, uint64(stream))) }

// sleep returns false when the traffic is to stop.
func (k *soakRun) sleep(d time.Duration) bool {
	select {
	case <-k.stop:
		return false
	case <-time.After(d):
		return true
	}
}

func between(rng *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rng.Int64N(int64(high-low)))
}

func (k *soakRun) startTraffic(wg *sync.WaitGroup) {
	stream := 1
	add := func(n int, run func(rng *rand.Rand, id int)) {
		for i := range n {
			rng := k.rng(stream)
			stream++
			wg.Go(func() { run(rng, i) })
		}
	}
	add(streamCallers, k.streams)
	add(bookingCallers, k.books)
	add(operators, k.operator)
	add(1, k.excluder)
}

// streams sends model requests of random lengths through random entry processes.
func (k *soakRun) streams(rng *rand.Rand, id int) {
	for n := 0; k.sleep(between(rng, time.Millisecond, 60*time.Millisecond)); n++ {
		p := prompt{text: fmt.Sprintf("caller %d request %d ", id, n), output: 4 + rng.IntN(40), whole: rng.IntN(5) == 0}
		switch rng.IntN(10) {
		case 0:
			p.output = 300 + rng.IntN(1000)
		case 1:
			p.text += strings.Repeat("site history ", rng.IntN(20_000))
		case 2:
			p.leave = between(rng, 5*time.Millisecond, 300*time.Millisecond)
		}
		r := k.ask(k.entries[rng.IntN(len(k.entries))], p)
		if r.Outcome == loadtool.Wrong {
			k.t.Errorf("at %v: wrong answer: %s %s (request %s, streamed %v)", k.at(), r.Code, r.Error, r.Request, !p.whole)
		}
		k.count("stream", string(r.Outcome), r.Code, r.Run)
	}
}

func (k *soakRun) count(words ...string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ends[strings.TrimSpace(strings.Join(words, " "))]++
}

// books sends calls that must run at most once, most of them several times.
func (k *soakRun) books(rng *rand.Rand, id int) {
	for n := 0; k.sleep(between(rng, time.Millisecond, 60*time.Millisecond)); n++ {
		key := fmt.Sprintf("job-%d-%d", id, n)
		// One in three is sent once, so that a refusal stands alone.
		attempts := 1 + rng.IntN(3)*rng.IntN(3)
		for range attempts {
			got := k.book(k.entries[rng.IntN(len(k.entries))], key, key)
			k.mu.Lock()
			k.bookings[key] = append(k.bookings[key], got)
			k.mu.Unlock()
			k.count("booking", strconv.Itoa(got.status), got.code, got.run)
		}
	}
}

// operator proposes manifests in a race with the others, which use the same
// numbers with different contents.
func (k *soakRun) operator(rng *rand.Rand, id int) {
	for n := 0; k.sleep(between(rng, 300*time.Millisecond, 900*time.Millisecond)); n++ {
		k.mu.Lock()
		before := k.newest
		k.mu.Unlock()
		number := before + 1
		cmd := applyCommand(number, k.manifest(number, id+1), fmt.Sprintf("operator-%d-%d", id, n))
		r := k.offer(k.states[rng.IntN(len(k.states))], cmd)
		if r == nil {
			k.count("manifest outcome unknown")
			continue
		}
		k.count("manifest", r.GetCode())
		k.mu.Lock()
		if r.GetNumberInForce() != 0 && r.GetNumberInForce() < before {
			k.t.Errorf("manifest %d is in force after %d was accepted", r.GetNumberInForce(), before)
		}
		if r.GetCode() == "" {
			if other := k.accepted[number]; other != 0 && other != id+1 {
				k.t.Errorf("manifest %d was accepted with two contents", number)
			}
			k.accepted[number] = id + 1
			k.newest = max(k.newest, number)
		} else {
			k.newest = max(k.newest, r.GetNumberInForce())
		}
		k.mu.Unlock()
	}
}

// excluder takes targets out of service and in again, and checks that they get
// no work in between.
func (k *soakRun) excluder(rng *rand.Rand, _ int) {
	numbers := map[string]uint64{}
	for k.sleep(between(rng, 500*time.Millisecond, 2*time.Second)) {
		p := k.standins[rng.IntN(len(k.standins))]
		kind, target, engines := config.TargetFailureDomain, p.domain, p.engines
		if rng.IntN(2) == 0 {
			target = p.engines[rng.IntN(len(p.engines))]
			kind, engines = config.TargetBackendServer, []string{target}
		}
		numbers[target]++
		if !k.tryOrder(kind, target, true, numbers[target]) {
			continue
		}
		time.Sleep(exclusionTarget)
		before := k.stats()
		k.sleep(between(rng, 500*time.Millisecond, 3*time.Second))
		after := k.stats()
		for _, id := range engines {
			if got := after[id].Requests - before[id].Requests; got != 0 {
				k.t.Errorf("at %v: %s got %d requests later than %v after %s was taken out", k.at(), id, got, exclusionTarget, target)
			}
		}
		for {
			numbers[target]++
			if k.tryOrder(kind, target, false, numbers[target]) {
				break
			}
		}
	}
}

// tryOrder returns false when no state process has accepted the order in time.
func (k *soakRun) tryOrder(kind, target string, out bool, number uint64) bool {
	cmd := orderCommand(kind, target, out, number, fmt.Sprintf("order-%s-%d", target, number))
	accepted := holds(5*time.Second, func() bool {
		for _, p := range k.states {
			if r := k.offer(p, cmd); r != nil && r.GetCode() == "" {
				return true
			}
		}
		return false
	})
	k.count("order", strconv.FormatBool(accepted))
	if accepted {
		k.note("order %d: %s out=%v", number, target, out)
	}
	return accepted
}

func (k *soakRun) at() time.Duration { return time.Since(k.begin).Round(time.Millisecond) }

func (k *soakRun) note(format string, args ...any) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.schedule = append(k.schedule, fmt.Sprintf("%v %s", k.at(), fmt.Sprintf(format, args...)))
}

// repeat checks what must hold at all times until done is closed.
func repeat(done <-chan struct{}, check func()) {
	for {
		select {
		case <-done:
			return
		case <-time.After(watchInterval):
			check()
		}
	}
}

// watchOverloads fails the test on an overload of a cold engine. The fault itself
// causes one when the engine turns cold without a new boot: the dispatcher can
// learn of it only from slow first tokens or a later load report. Nothing else
// excuses an overload.
func (k *soakRun) watchOverloads() {
	for id, d := range k.stats() {
		k.mu.Lock()
		old := k.overloads[id]
		k.overloads[id] = d.Overloads
		excused := k.coldFaults[bootKey(id, d.Boot)]
		if d.Overloads > old && excused {
			k.caused++
		}
		k.mu.Unlock()
		if d.Overloads > old && !excused {
			k.t.Errorf("at %v: %s boot %d was overloaded while cold", k.at(), id, d.Boot)
		}
	}
}

func bootKey(id string, boot uint64) string { return fmt.Sprintf("%s/%d", id, boot) }

// watchManifests fails the test when the manifest number of a process decreases.
func (k *soakRun) watchManifests() {
	for _, e := range k.entries {
		k.watchManifest(e.process, func() (uint64, error) {
			d, err := k.entryDump(e)
			return d.Config.ManifestNumber, err
		})
	}
	for _, p := range k.states {
		k.watchManifest(p.process, func() (uint64, error) {
			d, err := k.stateDump(p)
			return d.State.ManifestNumber, err
		})
	}
}

func (k *soakRun) watchManifest(p *process, look func() (uint64, error)) {
	run := p.run()
	number, err := look()
	// A dump of an earlier or later run says nothing about this one.
	if err != nil || p.run() != run {
		return
	}
	key := fmt.Sprintf("%s run %d", p.name, run)
	k.mu.Lock()
	defer k.mu.Unlock()
	if number < k.manifests[key] {
		k.t.Errorf("at %v: manifest number on %s went from %d to %d", k.at(), key, k.manifests[key], number)
	}
	k.manifests[key] = max(k.manifests[key], number)
}

// heal takes all faults back.
func (k *soakRun) heal() {
	for _, p := range k.standins {
		for _, id := range append([]string{p.plain}, p.engines...) {
			k.setFaults(p, id, map[string]any{
				"hang_next": 0, "truncate_next": 0, "wrong_id_next": 0, "cross_id_next": 0, "duplicate_next": 0,
				"drop_next": 0, "drop_after_run_next": 0, "silent": false, "refuse": false,
			})
		}
	}
	k.note("faults are healed")
}

// settle waits until nothing is left of the traffic and everything serves.
func (k *soakRun) settle() {
	k.t.Helper()
	k.within(deadline+slack, "engines hold no memory", func() bool { return k.reserved() == 0 })
	k.within(deadline+slack, "entry processes hold no requests and no reservations", k.idle)
	k.waitServing()
	k.within(patience, "the last manifest is in force everywhere", func() bool {
		_, d := k.leader()
		return d != nil && d.State.ManifestNumber >= k.newest && k.allHold(d.State.ManifestNumber)
	})
}

// idle tells whether no entry process has a request or a dispatch.
func (k *soakRun) idle() bool {
	for _, e := range k.entries {
		d, err := k.entryDump(e)
		if err != nil || len(d.Requests) > 0 {
			return false
		}
		for _, pool := range d.Pools.Pools {
			if len(pool.Dispatches) > 0 {
				return false
			}
		}
	}
	return true
}

// verify compares what callers were told with what has happened.
func (k *soakRun) verify() {
	effects := k.effects()
	ran := 0
	for key, answers := range k.bookings {
		if problem := contradiction(answers, effects[key]); problem != "" {
			k.t.Errorf("%s: %s: %+v", key, problem, answers)
		}
		if effects[key] > 0 {
			ran++
		}
	}
	for id, n := range effects {
		if _, sent := k.bookings[id]; !sent || n > 1 {
			k.t.Errorf("%s had %d effects", id, n)
		}
	}
	k.checkInvariants()
	if k.ends["stream ok"] == 0 || k.ends["booking "+strconv.Itoa(http.StatusOK)] == 0 {
		k.t.Error("no request was served")
	}
	k.t.Logf("%d keys, %d with an effect; %d overloads of engines that a fault turned cold", len(k.bookings), ran, k.caused)
}

// report prints the seed, the schedule and the verdict.
func (k *soakRun) report() {
	verdict := "passed"
	if k.t.Failed() {
		verdict = "FAILED"
	}
	var ends []string
	for what, n := range k.ends {
		ends = append(ends, fmt.Sprintf("  %-60s %d", what, n))
	}
	slices.Sort(ends)
	k.t.Logf("schedule:\n  %s\nends:\n%s\nseed %d, %v: %s", strings.Join(k.schedule, "\n  "), strings.Join(ends, "\n"), k.seed, k.at(), verdict)
}
