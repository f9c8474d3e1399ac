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
	// defaultDuration applies if MINUTES is not set. It keeps an ordinary test run
	// short.
	defaultDuration = 20 * time.Second
	// checkInterval is shorter than the restart time of an engine, so that an
	// overload is seen before the boot number changes.
	checkInterval = 150 * time.Millisecond
	// maxFaultyEntries is the number of entry processes that may have a fault at
	// the same time. It leaves entry processes for the callers and for failure
	// domains whose own entry processes are down.
	maxFaultyEntries = 3
	// maxPause is longer than every lease and permit, and shorter than
	// requestTimeout.
	maxPause = 6 * time.Second
	// drainTimeout is the drain limit of the settings (drain_seconds) plus some time
	// to exit.
	drainTimeout = 35 * time.Second

	streamCallers  = 12
	bookingCallers = 4
	operators      = 2
)

// soakRun is one run of random traffic and random faults.
type soakRun struct {
	*cluster
	seed      uint64
	startTime time.Time
	// stopTraffic is closed to stop the callers and operators.
	stopTraffic chan struct{}

	mu sync.Mutex
	// schedule lists the faults and orders with their times.
	schedule []string
	// ends counts the requests, proposals and orders by kind and result.
	ends map[string]int
	// bookings holds the responses for each idempotency key.
	bookings map[string][]booking
	// newestManifest is the highest manifest number that was accepted.
	newestManifest uint64
	// acceptedVariants holds the variant that was accepted for each manifest
	// number.
	acceptedVariants map[uint64]int
	// highestManifests holds the highest manifest number seen on each run of a
	// process.
	highestManifests map[string]uint64
	// coldByFault holds the boots of engines that a fault has made cold.
	coldByFault map[string]bool
	// overloads holds the last overload count of each engine.
	overloads map[string]uint64
	// expectedOverloads counts the overloads of boots in coldByFault.
	expectedOverloads int
	// activeTargets holds the targets that have a fault.
	activeTargets map[string]bool
	// activeFaults waits for the faults in progress.
	activeFaults sync.WaitGroup
}

// settingsFromEnv reads the seed from SEED and the duration from MINUTES.
func settingsFromEnv(t *testing.T) (seed uint64, duration time.Duration) {
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

// TestSoak checks the promises under random combinations of faults, to find failures
// that no directed test covers. SEED selects the schedule and MINUTES the duration;
// the timing of the machine still differs between two runs with the same seed.
func TestSoak(t *testing.T) {
	t.Parallel()
	seed, duration := settingsFromEnv(t)
	s := &soakRun{
		cluster: newCluster(t, layout{
			enginesPerDomain: 2, timeScale: 0.1, coldLimit: 2, plainMS: 20,
			model: map[string]any{"cold_requests": 6},
		}),
		seed: seed, startTime: time.Now(), stopTraffic: make(chan struct{}),
		ends: map[string]int{}, bookings: map[string][]booking{}, acceptedVariants: map[uint64]int{},
		highestManifests: map[string]uint64{}, coldByFault: map[string]bool{}, overloads: map[string]uint64{}, activeTargets: map[string]bool{},
	}
	s.newestManifest = s.manifestNumber
	t.Cleanup(s.report)
	var traffic, checkers sync.WaitGroup
	s.startCallers(&traffic)
	checksDone := make(chan struct{})
	checkers.Go(func() { repeat(checksDone, s.checkOverloads) })
	// Reading from a paused process takes up to a second, so these checks run in a
	// goroutine of their own. They would otherwise delay reading the engines beyond
	// their restart.
	checkers.Go(func() { repeat(checksDone, func() { s.checkManifests(); s.checkInvariants() }) })
	s.injectFaults(duration)
	s.activeFaults.Wait()
	s.clearFaults()
	close(s.stopTraffic)
	traffic.Wait()
	s.settle()
	close(checksDone)
	checkers.Wait()
	s.verify()
}

// rng returns the random number generator of a stream, derived from the seed.
func (s *soakRun) rng(rngStream int) *rand.Rand {
	return rand.New(rand.NewPCG(s.seed, uint64(rngStream)))
}

// sleep waits for d and returns true, or returns false as soon as stopTraffic is
// closed.
func (s *soakRun) sleep(d time.Duration) bool {
	select {
	case <-s.stopTraffic:
		return false
	case <-time.After(d):
		return true
	}
}

// randomDuration returns a duration of at least low and below high.
func randomDuration(rng *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rng.Int64N(int64(high-low)))
}

// startCallers starts the callers and operators. Each has its own random stream.
func (s *soakRun) startCallers(wg *sync.WaitGroup) {
	rngStream := 1
	add := func(n int, run func(rng *rand.Rand, id int)) {
		for i := range n {
			rng := s.rng(rngStream)
			rngStream++
			wg.Go(func() { run(rng, i) })
		}
	}
	add(streamCallers, s.runStreamCaller)
	add(bookingCallers, s.runBookingCaller)
	add(operators, s.runOperator)
	add(1, s.runExcluder)
}

// runStreamCaller sends model requests of random lengths through random entry
// processes.
func (s *soakRun) runStreamCaller(rng *rand.Rand, id int) {
	for n := 0; s.sleep(randomDuration(rng, time.Millisecond, 60*time.Millisecond)); n++ {
		p := prompt{text: fmt.Sprintf("caller %d request %d ", id, n), output: 4 + rng.IntN(40), unstreamed: rng.IntN(5) == 0}
		switch rng.IntN(10) {
		case 0:
			p.output = 300 + rng.IntN(1000)
		case 1:
			p.text += strings.Repeat("site history ", rng.IntN(20_000))
		case 2:
			p.disconnect = randomDuration(rng, 5*time.Millisecond, 300*time.Millisecond)
		}
		r := s.sendPrompt(s.entries[rng.IntN(len(s.entries))], p)
		if r.Outcome == loadtool.Wrong {
			s.t.Errorf("at %v: wrong answer: %s %s (request %s, streamed %v)", s.elapsed(), r.Code, r.Error, r.Request, !p.unstreamed)
		}
		s.countEnd("stream", string(r.Outcome), r.Code, r.Run)
	}
}

// countEnd counts one request, proposal or order in ends. The key is the words,
// which are its kind and result, joined by spaces.
func (s *soakRun) countEnd(words ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ends[strings.TrimSpace(strings.Join(words, " "))]++
}

// runBookingCaller sends calls that must run at most once, many of them several
// times.
func (s *soakRun) runBookingCaller(rng *rand.Rand, id int) {
	for n := 0; s.sleep(randomDuration(rng, time.Millisecond, 60*time.Millisecond)); n++ {
		key := fmt.Sprintf("job-%d-%d", id, n)
		// Five in nine calls are sent only once, so that a refusal is the only
		// response for their key.
		attempts := 1 + rng.IntN(3)*rng.IntN(3)
		for range attempts {
			got := s.book(s.entries[rng.IntN(len(s.entries))], key, key)
			s.mu.Lock()
			s.bookings[key] = append(s.bookings[key], got)
			s.mu.Unlock()
			s.countEnd("booking", strconv.Itoa(got.status), got.code, got.run)
		}
	}
}

// runOperator proposes manifests and races with the other operators, which use the
// same numbers with different contents.
func (s *soakRun) runOperator(rng *rand.Rand, id int) {
	for n := 0; s.sleep(randomDuration(rng, 300*time.Millisecond, 900*time.Millisecond)); n++ {
		s.mu.Lock()
		before := s.newestManifest
		s.mu.Unlock()
		number := before + 1
		cmd := applyCommand(number, s.manifest(number, id+1), fmt.Sprintf("operator-%d-%d", id, n))
		r := s.proposeOnce(s.states[rng.IntN(len(s.states))], cmd)
		if r == nil {
			s.countEnd("manifest outcome unknown")
			continue
		}
		s.countEnd("manifest", r.GetCode())
		s.mu.Lock()
		if r.GetNumberInForce() != 0 && r.GetNumberInForce() < before {
			s.t.Errorf("manifest %d is in force after %d was accepted", r.GetNumberInForce(), before)
		}
		if r.GetCode() == "" {
			if other := s.acceptedVariants[number]; other != 0 && other != id+1 {
				s.t.Errorf("manifest %d was accepted with two contents", number)
			}
			s.acceptedVariants[number] = id + 1
			s.newestManifest = max(s.newestManifest, number)
		} else {
			s.newestManifest = max(s.newestManifest, r.GetNumberInForce())
		}
		s.mu.Unlock()
	}
}

// runExcluder takes targets out of service and puts them back, and checks that they
// get no work in between.
func (s *soakRun) runExcluder(rng *rand.Rand, _ int) {
	orderNumbers := map[string]uint64{}
	for s.sleep(randomDuration(rng, 500*time.Millisecond, 2*time.Second)) {
		p := s.standins[rng.IntN(len(s.standins))]
		kind, target, engineIDs := config.TargetFailureDomain, p.domain, p.engineIDs
		if rng.IntN(2) == 0 {
			target = p.engineIDs[rng.IntN(len(p.engineIDs))]
			kind, engineIDs = config.TargetBackendServer, []string{target}
		}
		orderNumbers[target]++
		if !s.tryOrder(kind, target, true, orderNumbers[target]) {
			continue
		}
		ordered := time.Now()
		time.Sleep(exclusionBound)
		s.sleep(randomDuration(rng, 500*time.Millisecond, 3*time.Second))
		after := s.engineStats()
		for _, id := range engineIDs {
			checkExcluded(s.t, after[id], ordered)
		}
		for {
			orderNumbers[target]++
			if s.tryOrder(kind, target, false, orderNumbers[target]) {
				break
			}
		}
	}
}

// tryOrder proposes an order and reports whether a state process accepted it in time.
func (s *soakRun) tryOrder(kind, target string, out bool, number uint64) bool {
	cmd := orderCommand(kind, target, out, number, fmt.Sprintf("order-%s-%d", target, number))
	accepted := waitUntil(5*time.Second, func() bool {
		for _, p := range s.states {
			if r := s.proposeOnce(p, cmd); r != nil && r.GetCode() == "" {
				return true
			}
		}
		return false
	})
	s.countEnd("order", strconv.FormatBool(accepted))
	if accepted {
		s.logEvent("order %d: %s out=%v", number, target, out)
	}
	return accepted
}

// elapsed returns the time since the start of the run.
func (s *soakRun) elapsed() time.Duration { return time.Since(s.startTime).Round(time.Millisecond) }

// logEvent appends an event with its time to the schedule.
func (s *soakRun) logEvent(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.schedule = append(s.schedule, fmt.Sprintf("%v %s", s.elapsed(), fmt.Sprintf(format, args...)))
}

// repeat calls check every checkInterval until done is closed.
func repeat(done <-chan struct{}, check func()) {
	for {
		select {
		case <-done:
			return
		case <-time.After(checkInterval):
			check()
		}
	}
}

// checkOverloads fails the test on an overload of a cold engine. The only exception
// is an engine that a fault made cold without a new boot: the dispatcher can detect
// that only from slow first tokens or a later load report, so the fault itself
// causes an overload.
func (s *soakRun) checkOverloads() {
	for id, d := range s.engineStats() {
		s.mu.Lock()
		old := s.overloads[id]
		s.overloads[id] = d.Overloads
		expected := s.coldByFault[bootKey(id, d.Boot)]
		if d.Overloads > old && expected {
			s.expectedOverloads++
		}
		s.mu.Unlock()
		if d.Overloads > old && !expected {
			s.t.Errorf("at %v: %s boot %d was overloaded while cold", s.elapsed(), id, d.Boot)
		}
	}
}

// bootKey returns the key of one boot of an engine in coldByFault.
func bootKey(id string, boot uint64) string { return fmt.Sprintf("%s/%d", id, boot) }

// checkManifests fails the test when the manifest number of a process decreases
// within one run of the process.
func (s *soakRun) checkManifests() {
	for _, e := range s.entries {
		s.checkManifest(e.process, func() (uint64, error) {
			d, err := s.entryDump(e)
			return d.Config.ManifestNumber, err
		})
	}
	for _, p := range s.states {
		s.checkManifest(p.process, func() (uint64, error) {
			d, err := s.stateDump(p)
			return d.State.ManifestNumber, err
		})
	}
}

// checkManifest compares the manifest number that read returns with the highest one
// seen on the same run of the process.
func (s *soakRun) checkManifest(p *process, read func() (uint64, error)) {
	runNumber := p.runNumber()
	number, err := read()
	// A dump of an earlier or later run of the process is no evidence for this one.
	if err != nil || p.runNumber() != runNumber {
		return
	}
	key := fmt.Sprintf("%s run %d", p.name, runNumber)
	s.mu.Lock()
	defer s.mu.Unlock()
	if number < s.highestManifests[key] {
		s.t.Errorf("at %v: manifest number on %s went from %d to %d", s.elapsed(), key, s.highestManifests[key], number)
	}
	s.highestManifests[key] = max(s.highestManifests[key], number)
}

// clearFaults ends all faults of the simulated backend servers.
func (s *soakRun) clearFaults() {
	for _, p := range s.standins {
		for _, id := range append([]string{p.plainID}, p.engineIDs...) {
			s.setFaults(p, id, map[string]any{
				"hang_next": 0, "truncate_next": 0, "wrong_id_next": 0, "cross_id_next": 0, "duplicate_next": 0,
				"drop_next": 0, "drop_after_run_next": 0, "silent": false, "refuse": false,
			})
		}
	}
	s.logEvent("faults are cleared")
}

// settle waits until no requests and no reservations are left and every entry
// process serves with the last manifest.
func (s *soakRun) settle() {
	s.t.Helper()
	s.within(deadline+slack, "engines hold no memory", func() bool { return s.reservedTokens() == 0 })
	s.within(deadline+slack, "entry processes hold no requests and no reservations", s.isIdle)
	s.waitServing()
	s.within(conditionTimeout, "the last manifest is in force everywhere", func() bool {
		_, d := s.leader()
		return d != nil && d.State.ManifestNumber >= s.newestManifest && s.allHaveManifest(d.State.ManifestNumber)
	})
}

// isIdle reports whether no entry process has a request or a dispatch.
func (s *soakRun) isIdle() bool {
	for _, e := range s.entries {
		d, err := s.entryDump(e)
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

// verify compares the responses that callers received with the effects that the
// calls had.
func (s *soakRun) verify() {
	effectCounts := s.effectCounts()
	ran := 0
	for key, responses := range s.bookings {
		if problem := contradiction(responses, effectCounts[key]); problem != "" {
			s.t.Errorf("%s: %s: %+v", key, problem, responses)
		}
		if effectCounts[key] > 0 {
			ran++
		}
	}
	for id, n := range effectCounts {
		if _, sent := s.bookings[id]; !sent || n > 1 {
			s.t.Errorf("%s had %d effects", id, n)
		}
	}
	s.checkInvariants()
	if s.ends["stream ok"] == 0 || s.ends["booking "+strconv.Itoa(http.StatusOK)] == 0 {
		s.t.Error("no request was served")
	}
	s.t.Logf("%d keys, %d with an effect; %d overloads of engines that a fault made cold", len(s.bookings), ran, s.expectedOverloads)
}

// report prints the schedule, the counts of results, the seed and the verdict.
func (s *soakRun) report() {
	verdict := "passed"
	if s.t.Failed() {
		verdict = "FAILED"
	}
	var ends []string
	for what, n := range s.ends {
		ends = append(ends, fmt.Sprintf("  %-60s %d", what, n))
	}
	slices.Sort(ends)
	s.t.Logf("schedule:\n  %s\nends:\n%s\nseed %d, %v: %s", strings.Join(s.schedule, "\n  "), strings.Join(ends, "\n"), s.seed, s.elapsed(), verdict)
}
