package soak

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"bilberryhub/internal/config"
	"bilberryhub/internal/loadtool"
	"bilberryhub/internal/standin"
)

const (
	// exclusionBound is the time after which a target that was taken out of
	// service must receive no new work (promise 4).
	exclusionBound = 3 * time.Second
	// failoverTime is how long a pool may be without a dispatcher (2.5 s) plus the
	// time to detect the loss of the old one (1.5 s).
	failoverTime = 4 * time.Second
	// slack is added to the time limits of the design, to allow for a busy machine.
	slack = 4 * time.Second
)

// TestProcessFaults guards against failures that only show with real processes:
// after a process was paused by its host, killed without notice, or has lost its
// disk.
func TestProcessFaults(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name   string
		layout layout
		run    func(*testing.T, *cluster)
	}{
		{"paused over an out order", layout{enginesPerDomain: 2, timeScale: 0.1, coldLimit: 8}, pausedOverOrder},
		{"paused dispatcher", layout{
			enginesPerDomain: 2, timeScale: 0.1, coldLimit: 2,
			// The engines stay cold for the whole test, so that every request above
			// the limit is counted as an overload.
			model: map[string]any{"cold_requests": 1_000_000},
		}, pausedDispatcher},
		{"killed entry process", layout{enginesPerDomain: 2, timeScale: 0.5, coldLimit: 8}, killedEntry},
		{"lost disk and second loss", layout{enginesPerDomain: 1, timeScale: 0.1, coldLimit: 8}, lostDisk},
		{"two planned stops", layout{enginesPerDomain: 2, timeScale: 0.2, coldLimit: 8}, plannedStops},
		{"killed claimant", layout{enginesPerDomain: 1, timeScale: 0.1, coldLimit: 8, plainMS: 200}, killedClaimant},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, tc.layout)
			tc.run(t, c)
			c.checkInvariants()
		})
	}
}

// traffic is a set of callers that send requests through entry processes until
// they are stopped.
type traffic struct {
	output   int
	stop     chan struct{}
	stopOnce sync.Once
	wg       sync.WaitGroup
	sent     atomic.Uint64
	ok       atomic.Uint64
	failed   atomic.Uint64

	mu      sync.Mutex
	slowest time.Duration
	// ends counts the requests by outcome, code and run.
	ends map[string]int
}

// record records the result of a request.
func (tr *traffic) record(r *loadtool.Result) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.slowest = max(tr.slowest, r.Total)
	tr.ends[string(r.Outcome)+" "+r.Code+" "+r.Run]++
}

// summary returns the counts of the traffic, which must have ended.
func (tr *traffic) summary() string {
	return fmt.Sprintf("%d requests, slowest %v, ends %v", tr.sent.Load(), tr.slowest.Round(time.Millisecond), tr.ends)
}

// startTraffic starts callersEach callers on each of the entry processes. Each
// caller sends one short request after another, with output tokens in its response.
func (c *cluster) startTraffic(entries []*entryProcess, callersEach, output int) *traffic {
	tr := &traffic{stop: make(chan struct{}), ends: map[string]int{}, output: output}
	for _, e := range entries {
		for range callersEach {
			tr.wg.Go(func() { c.runCaller(tr, e) })
		}
	}
	return tr
}

// runCaller sends requests through one entry process until the traffic is stopped.
func (c *cluster) runCaller(tr *traffic, e *entryProcess) {
	for {
		select {
		case <-tr.stop:
			return
		default:
		}
		n := tr.sent.Add(1)
		r := c.sendPrompt(e, prompt{text: fmt.Sprintf("%s question %d", e.name, n), output: tr.output})
		tr.record(r)
		switch r.Outcome {
		case loadtool.OK:
			tr.ok.Add(1)
		case loadtool.Wrong:
			c.t.Errorf("a wrong answer through %s: %s", e.name, r.Error)
		default:
			tr.failed.Add(1)
			time.Sleep(pollInterval)
		}
	}
}

// stopAndWait stops the callers and waits for their last requests. It may be called
// more than once.
func (tr *traffic) stopAndWait() {
	tr.stopOnce.Do(func() { close(tr.stop) })
	tr.wg.Wait()
}

// entriesExcept returns all entry processes except the given ones.
func (c *cluster) entriesExcept(excluded ...*entryProcess) []*entryProcess {
	var out []*entryProcess
	for _, e := range c.entries {
		skip := false
		for _, b := range excluded {
			skip = skip || b == e
		}
		if !skip {
			out = append(out, e)
		}
	}
	return out
}

// pausedOverOrder guards against work for an excluded target from a process that
// was paused when the order was applied and has not received it (promise 4). Both
// a backend server of the pool of that process and a whole failure domain are
// excluded.
func pausedOverOrder(t *testing.T, c *cluster) {
	paused := c.waitDispatcher("d1")
	tr := c.startTraffic(c.entries, 4, 8)
	t.Cleanup(tr.stopAndWait)
	time.Sleep(500 * time.Millisecond)
	pause(paused.process)
	c.proposeOrder(config.TargetBackendServer, "engine-d1-1", true, 1)
	c.proposeOrder(config.TargetFailureDomain, "d2", true, 1)
	ordered := time.Now()
	time.Sleep(exclusionBound)
	excluded := []string{"engine-d1-1", "engine-d2-1", "engine-d2-2"}
	before := c.engineStats()
	c.eventf("the process is resumed, %v after the orders", time.Since(ordered).Round(time.Millisecond))
	resume(paused.process)
	c.within(failoverTime+slack, "the resumed process serves", func() bool { return c.sendPrompt(paused, prompt{}).Outcome == loadtool.OK })
	c.within(failoverTime+slack, "the engine in service gets requests", func() bool {
		return c.engineStats()["engine-d1-2"].Requests > before["engine-d1-2"].Requests+100
	})
	after := c.engineStats()
	for _, id := range excluded {
		checkExcluded(t, after[id], ordered)
	}
	tr.stopAndWait()
	oldGrants := uint64(0)
	for _, d := range after {
		oldGrants += d.OldGrants
	}
	t.Logf("paused over an out order: %s; %d requests refused by engines because of old grants", tr.summary(), oldGrants)
}

// checkExcluded fails the test if an engine got requests later than exclusionBound after
// the order that excluded it was accepted. It compares the times at which requests arrived,
// so it doesn't depend on when the counters are read.
func checkExcluded(t *testing.T, d standin.StatsDocument, ordered time.Time) {
	t.Helper()
	for _, r := range d.Recent {
		if after := r.At.Sub(ordered); after > exclusionBound {
			t.Errorf("%s got request %s %v after its exclusion, allowed are %v", d.ID, r.ID, after.Round(time.Millisecond), exclusionBound)
		}
	}
}

// pausedDispatcher guards against two dispatchers that both grant the budget of a
// cold engine (promise 3), and against a pool without service while its dispatcher
// is paused.
func pausedDispatcher(t *testing.T, c *cluster) {
	paused := c.waitDispatcher("d1")
	pausedTraffic := c.startTraffic([]*entryProcess{paused}, 6, 8)
	t.Cleanup(pausedTraffic.stopAndWait)
	tr := c.startTraffic(c.entriesExcept(paused), 6, 8)
	t.Cleanup(tr.stopAndWait)
	// Requests prefer the engine that is not meant for long ones while it has room. On a slow
	// machine the short ones never overlap, and the other engine would get none. 100 tokens
	// take 0.2 s at this time scale.
	overlapping := c.startTraffic(c.entriesExcept(paused), c.layout.coldLimit+1, 100)
	t.Cleanup(overlapping.stopAndWait)
	time.Sleep(500 * time.Millisecond)
	for range 2 {
		pause(paused.process)
		c.eventf("%s is paused", paused.name)
		before, served := c.engineStatsOf(c.standins[0]), tr.ok.Load()
		last := ""
		c.within(failoverTime+slack, "another process dispatches for d1", func() bool {
			now := c.engineStatsOf(c.standins[0])
			if progress := describeTakeover(before, now); progress != last {
				last = progress
				c.eventf("%s", progress)
			}
			return now["engine-d1-1"].Requests > before["engine-d1-1"].Requests+2 && now["engine-d1-2"].Requests > before["engine-d1-2"].Requests+2
		})
		if tr.ok.Load() == served {
			t.Error("no request was served during the pause")
		}
		resume(paused.process)
		c.eventf("%s is resumed", paused.name)
		time.Sleep(2 * time.Second)
	}
	for id, d := range c.engineStats() {
		if d.Overloads != 0 || d.MaxConcurrentCold > uint64(c.layout.coldLimit) {
			t.Errorf("%s: %d overloads, at most %d requests at once, limit %d", id, d.Overloads, d.MaxConcurrentCold, c.layout.coldLimit)
		}
	}
	tr.stopAndWait()
	overlapping.stopAndWait()
	pausedTraffic.stopAndWait()
	t.Logf("paused dispatcher: through others %s; through it %s", tr.summary(), pausedTraffic.summary())
}

// describeTakeover returns what the engines of d1 did between two readings of their counters.
func describeTakeover(before, now map[string]standin.StatsDocument) string {
	var b strings.Builder
	for _, id := range []string{"engine-d1-1", "engine-d1-2"} {
		fmt.Fprintf(&b, "%s: %d requests, %d announcements accepted, %d failed; ", id, now[id].Requests-before[id].Requests,
			now[id].Announced-before[id].Announced, now[id].AnnounceFailed-before[id].AnnounceFailed)
	}
	return b.String()
}

// killedEntry guards against memory that stays reserved after the process that
// relayed the streams was killed (promise 2), and against a pool without
// dispatcher.
func killedEntry(t *testing.T, c *cluster) {
	killed := c.waitDispatcher("d1")
	const streams = 6
	// 1,500 tokens take 15 s at this time scale, so memory that is free earlier was
	// released because the stream was cancelled, not because it was complete.
	var wg sync.WaitGroup
	for i := range streams {
		wg.Go(func() {
			if r := c.sendPrompt(killed, prompt{text: fmt.Sprint("open ", i), output: 1500}); r.Outcome == loadtool.OK {
				t.Error("a stream through the killed process completed")
			}
		})
	}
	c.within(conditionTimeout, "streams are open", func() bool { return c.runningRequests() == streams })
	if err := killed.kill(); err != nil {
		t.Fatal(err)
	}
	wg.Wait()
	start := time.Now()
	c.within(2*time.Second+slack, "engines release the memory", func() bool { return c.reservedTokens() == 0 })
	t.Logf("killed entry process: memory was free after %v", time.Since(start).Round(time.Millisecond))
	c.within(failoverTime+slack, "another process dispatches for d1", func() bool {
		e := c.dispatcher("d1")
		return e != nil && e != killed
	})
	before := c.engineStats()
	c.within(failoverTime+slack, "the pool serves again", func() bool {
		for _, e := range c.entriesExcept(killed) {
			c.sendPrompt(e, prompt{})
		}
		now := c.engineStats()
		return now["engine-d1-1"].Completed+now["engine-d1-2"].Completed > before["engine-d1-1"].Completed+before["engine-d1-2"].Completed
	})
	if err := killed.start(); err != nil {
		t.Fatal(err)
	}
	c.waitServing()
}

// lostDisk guards against the loss of accepted manifests and claims with a disk,
// when a second replica is lost right after the repair (promises 7 and 10).
func lostDisk(t *testing.T, c *cluster) {
	key := func(i int) string { return fmt.Sprintf("job-%d", i) }
	claimed := 0
	claim := func(n int) {
		for range n {
			claimed++
			c.within(conditionTimeout, "booking "+key(claimed), func() bool {
				return c.book(c.entries[claimed%len(c.entries)], key(claimed), key(claimed)).status == http.StatusOK
			})
		}
	}
	claim(10)
	c.applyManifest()
	lost, _ := c.leader()
	if lost == nil {
		t.Fatal("no leader")
	}
	lostIdentity, _ := c.voter(lost.name)
	if err := lost.kill(); err != nil {
		t.Fatal(err)
	}
	if err := os.RemoveAll(lost.dataDir); err != nil {
		t.Fatal(err)
	}
	// These are accepted by two replicas only, one of which is lost below.
	claim(10)
	c.applyManifest()
	if err := lost.start(); err != nil {
		t.Fatal(err)
	}
	c.within(conditionTimeout, "the repair is complete", func() bool { return c.hasRejoined(lost.name, lostIdentity) })
	second, _ := c.leader()
	if second == nil || second == lost {
		for _, p := range c.states {
			if p != lost {
				second = p
			}
		}
	}
	if err := second.kill(); err != nil {
		t.Fatal(err)
	}
	t.Logf("lost disk: %s lost its data, then %s was killed", lost.name, second.name)
	c.within(conditionTimeout, "two replicas elect a leader", func() bool { p, _ := c.leader(); return p != nil && p != second })
	_, d := c.leader()
	if d == nil || d.State.ManifestNumber != c.manifestNumber {
		t.Errorf("manifest in force after two losses: %+v, accepted was %d", d, c.manifestNumber)
	}
	for i := 1; i <= claimed; i++ {
		e := c.entries[(i+1)%len(c.entries)]
		var got booking
		c.within(conditionTimeout, "resend of "+key(i), func() bool { got = c.book(e, key(i), key(i)); return got.code != "no_quorum" })
		if got.status != http.StatusOK {
			t.Errorf("resend of %s: %+v, want the recorded response", key(i), got)
		}
	}
	claim(3)
	c.applyManifest()
	effectCounts := c.effectCounts()
	for i := 1; i <= claimed; i++ {
		if effectCounts[key(i)] != 1 {
			t.Errorf("%s had %d effects", key(i), effectCounts[key(i)])
		}
	}
	c.within(conditionTimeout, "entry processes hold the last manifest", func() bool { return c.allHaveManifest(c.manifestNumber) })
}

// allHaveManifest reports whether the manifest with this number is in force at all
// entry processes.
func (c *cluster) allHaveManifest(number uint64) bool {
	for _, e := range c.entries {
		if d, err := c.entryDump(e); err != nil || d.Config.ManifestNumber != number {
			return false
		}
	}
	return true
}

// plannedStops guards against streams that are interrupted by a planned stop, when
// the two entry processes of one failure domain stop at the same time (promise 9).
func plannedStops(t *testing.T, c *cluster) {
	stopped := c.entries[:entriesPerDomain]
	var wg sync.WaitGroup
	const streamsPerEntry = 3
	for _, e := range c.entries {
		for i := range streamsPerEntry {
			// 1,000 tokens take 4 s at this time scale.
			wg.Go(func() {
				began := time.Now()
				r := c.sendPrompt(e, prompt{text: fmt.Sprintf("%s open %d", e.name, i), output: 1000})
				c.eventf("%s stream %d: sent at %v, first token %v and end %v after that", e.name, i, c.sinceStart(began), r.TTFT, r.Total)
				if r.Outcome != loadtool.OK {
					t.Errorf("a stream through %s was interrupted: %s %s %s after %d tokens", e.name, r.Outcome, r.Code, r.Error, r.Tokens)
				}
			})
		}
	}
	c.within(conditionTimeout, "streams are open", func() bool { return c.runningRequests() == streamsPerEntry*len(c.entries) })
	c.eventf("%d streams are open", streamsPerEntry*len(c.entries))
	for _, e := range stopped {
		e.signal(syscall.SIGTERM)
	}
	c.eventf("SIGTERM is sent")
	time.Sleep(300 * time.Millisecond)
	for _, e := range stopped {
		wg.Go(func() {
			if r := c.sendPrompt(e, prompt{}); r.Outcome == loadtool.OK {
				t.Errorf("%s accepts requests while it drains", e.name)
			}
		})
	}
	wg.Wait()
	// A process that exits with streams open cuts them, which the callers have seen then:
	// a stream is OK only with its last event. Whether a process still runs at a time that
	// the test chooses is no evidence, because the test may be later than the streams.
	for _, e := range stopped {
		if !e.waitExit(slack) {
			t.Errorf("%s has not exited after its last request", e.name)
			continue
		}
		c.eventf("%s exited at %v", e.name, c.sinceStart(e.exitTime()))
		if open := c.openAtStop(e.process); open != streamsPerEntry {
			t.Errorf("%s had %d open requests at the beginning of its stop, want %d: the streams were not open then", e.name, open, streamsPerEntry)
		}
		if e.exitCode() != 0 {
			t.Errorf("%s exited with code %d", e.name, e.exitCode())
		}
	}
	c.within(conditionTimeout, "engines hold no memory", func() bool { return c.reservedTokens() == 0 })
}

// openAtStop returns the number of requests that an entry process had open when its last
// planned stop began, according to its log, or -1 if it has begun none.
func (c *cluster) openAtStop(p *process) int {
	c.t.Helper()
	data, err := os.ReadFile(p.logFile)
	if err != nil {
		c.t.Fatal(err)
	}
	open := -1
	for line := range strings.Lines(string(data)) {
		var doc struct {
			Message string `json:"msg"`
			Open    int    `json:"open_requests"`
		}
		if json.Unmarshal([]byte(line), &doc) == nil && doc.Message == "draining" {
			open = doc.Open
		}
	}
	return open
}

// killedClaimant guards against a second run of a call whose claimant was killed
// while the call ran, when the call is resent through other processes and domains
// (promise 7).
func killedClaimant(t *testing.T, c *cluster) {
	const (
		completed = 20 // calls that complete before the kill
		spacing   = 50 * time.Millisecond
	)
	killed := c.entries[0]
	key := func(i int) string { return fmt.Sprintf("job-%d", i) }
	var responses [][]booking
	var mu sync.Mutex
	var wg sync.WaitGroup
	book := func(i int) {
		list := []booking{c.book(killed, key(i), key(i))}
		for _, e := range c.entriesExcept(killed) {
			list = append(list, c.book(e, key(i), key(i)))
		}
		mu.Lock()
		defer mu.Unlock()
		responses[i] = list
	}
	start := func() {
		mu.Lock()
		defer mu.Unlock()
		i := len(responses)
		responses = append(responses, nil)
		wg.Go(func() { book(i) })
	}
	for range completed {
		start()
	}
	wg.Wait()
	// Further calls start until the process is killed, at intervals below the duration
	// of one call, so that some are open then, however late the kill comes.
	isKilled, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for ticker := time.NewTicker(spacing); ; {
			start()
			select {
			case <-isKilled:
				ticker.Stop()
				return
			case <-ticker.C:
			}
		}
	}()
	began := time.Now()
	c.within(conditionTimeout, "a call of the second half runs", func() bool { return len(c.effectCounts()) > completed })
	err := killed.kill()
	killedAfter := time.Since(began)
	close(isKilled)
	if err != nil {
		t.Fatal(err)
	}
	<-stopped
	wg.Wait()
	keys := len(responses)
	if err := killed.start(); err != nil {
		t.Fatal(err)
	}
	c.waitServing()
	effectCounts := c.effectCounts()
	interrupted := 0
	for i := range keys {
		responses[i] = append(responses[i], c.book(killed, key(i), key(i)))
		if responses[i][0].status == 0 {
			interrupted++
		}
	}
	for id, n := range c.effectCounts() {
		if n > 1 {
			t.Errorf("%s had %d effects", id, n)
		}
		effectCounts[id] = n
	}
	for i := range keys {
		if problem := contradiction(responses[i], effectCounts[key(i)]); problem != "" {
			t.Errorf("%s: %s: %+v", key(i), problem, responses[i])
		}
	}
	if interrupted == 0 || interrupted == keys {
		t.Errorf("%d of %d calls were interrupted by a kill %s after the first of %d started", interrupted, keys, killedAfter, keys-completed)
	}
	t.Logf("killed claimant: %d of %d calls interrupted by a kill %s after the first of %d started, %d had an effect",
		interrupted, keys, killedAfter, keys-completed, len(effectCounts))
}

// contradiction compares the responses that callers received for one key with the
// number of times that the call had its effect. It returns a description of the
// contradiction, or "" if there is none.
func contradiction(responses []booking, effects int) string {
	ran, mayHaveRun := false, false
	for _, r := range responses {
		ran = ran || r.status == http.StatusOK || r.run == "yes"
		mayHaveRun = mayHaveRun || r.run != "no"
	}
	switch {
	case effects > 1:
		return fmt.Sprintf("%d effects", effects)
	case ran && effects != 1:
		return "reported as run, but had no effect"
	case !mayHaveRun && effects != 0:
		return "had an effect, but every response reports that it was not run"
	}
	return ""
}
