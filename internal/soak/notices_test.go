package soak

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"bilberryhub/internal/announce"
	"bilberryhub/internal/loadtool"
)

const (
	// drainTime is the time after which a backend server that has said in a response that
	// it leaves must get no requests.
	drainTime = time.Second
	// watchTime is how long it is watched then.
	watchTime = 2 * time.Second
	// pauseSeconds is the pause that backend servers want.
	pauseSeconds = 4
)

// TestNotices guards against requests to backend servers that have said in responses that
// they leave or want a pause, while their announcements say nothing of that, beside kills
// of state processes, cuts and restarts, with idle and with busy engines.
func TestNotices(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		layout  layout
		callers int
	}{
		"calm": {layout{enginesPerDomain: 2, timeScale: 0.1, coldLimit: 8}, 1},
		"full": {layout{enginesPerDomain: 2, timeScale: 0.5, coldLimit: 2, model: map[string]any{"max_batch": 2}}, 6},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, tc.layout)
			tr := c.startTraffic(c.entries, tc.callers, 8)
			t.Cleanup(tr.stopAndWait)
			leaving, other := c.busiestEngine("d1")
			c.leavingBesideKills(tr, leaving)
			c.pauseBesideCut(tr, other)
			c.leavingBesideRestarts(tr, leaving)
			tr.stopAndWait()
			c.allOut()
			c.checkInvariants()
			t.Logf("%s", tr.summary())
		})
	}
}

// engineProcess returns the process of an engine, by its id.
func (c *cluster) engineProcess(id string) *standinProcess {
	for _, p := range c.standins {
		for _, engine := range p.engineIDs {
			if engine == id {
				return p
			}
		}
	}
	c.t.Fatalf("no engine %s", id)
	return nil
}

// busiestEngine returns the engine of a failure domain that has got most requests of late,
// and the other one: with idle engines, one may get all.
func (c *cluster) busiestEngine(domain string) (busiest, other string) {
	c.t.Helper()
	busiest, other = "engine-"+domain+"-1", "engine-"+domain+"-2"
	before := c.engineStats()
	got := func(id string) uint64 { return c.engineStats()[id].Requests - before[id].Requests }
	c.within(conditionTimeout, "an engine of "+domain+" gets requests", func() bool { return got(busiest)+got(other) >= 10 })
	if got(other) > got(busiest) {
		return other, busiest
	}
	return busiest, other
}

// expectNone fails the test if an engine gets requests within watchTime from drainTime
// after it last said that it leaves, or if nothing else is served meanwhile.
func (c *cluster) expectNone(tr *traffic, id, when string) {
	c.t.Helper()
	time.Sleep(drainTime)
	before, served := c.engineStats()[id].Requests, tr.ok.Load()
	time.Sleep(watchTime)
	if got := c.engineStats()[id].Requests - before; got != 0 {
		c.t.Errorf("%s got %d requests later than %v after it said that it leaves, %s", id, got, drainTime, when)
	}
	if tr.ok.Load() == served {
		c.t.Errorf("no request was served %s", when)
	}
}

// sayLeaving makes an engine say that it leaves, and waits until it has.
func (c *cluster) sayLeaving(id string) {
	c.t.Helper()
	said := c.engineStats()[id].SaidLeaving
	c.setFaults(c.engineProcess(id), id, map[string]any{"say_leaving": "1"})
	c.within(conditionTimeout, id+" says that it leaves", func() bool { return c.engineStats()[id].SaidLeaving > said })
}

// leavingBesideKills kills the leader of the state processes while an engine says that it
// leaves, and leaves it down; then it kills and restarts an entry process that doesn't
// dispatch to the engine.
func (c *cluster) leavingBesideKills(tr *traffic, id string) {
	c.t.Helper()
	c.waitDispatcher("d1")
	var leader *stateProcess
	c.within(conditionTimeout, "a leader", func() bool { leader, _ = c.leader(); return leader != nil })
	if err := leader.kill(); err != nil {
		c.t.Fatal(err)
	}
	c.sayLeaving(id)
	c.expectNone(tr, id, "without a leader of the state processes")
	if err := leader.start(); err != nil {
		c.t.Fatal(err)
	}
	dispatcher := c.waitDispatcher("d1")
	for _, e := range c.entries {
		if e == dispatcher || e.domain == "d1" {
			continue
		}
		if err := killFor(e.process, 500*time.Millisecond, nil); err != nil {
			c.t.Fatal(err)
		}
		break
	}
	c.expectNone(tr, id, "after the restart of an entry process")
}

// pauseBesideCut cuts off the announcements of an engine for a moment while it wants a
// pause, and expects requests again after the pause.
func (c *cluster) pauseBesideCut(tr *traffic, id string) {
	c.t.Helper()
	p, before, served := c.engineProcess(id), c.engineStats()[id], tr.ok.Load()
	c.setFaults(p, id, map[string]any{"pause_next": 1, "retry_after": strconv.Itoa(pauseSeconds)})
	c.within(conditionTimeout, id+" wants a pause", func() bool { return c.engineStats()[id].Pauses > before.Pauses })
	begin := time.Now()
	c.setFaults(p, id, map[string]any{"silent": true})
	time.Sleep(announce.Lease / 2)
	c.setFaults(p, id, map[string]any{"silent": false})
	time.Sleep(time.Until(begin.Add(pauseSeconds * time.Second)))
	if got := c.engineStats()[id].InPause - before.InPause; got > 2 {
		c.t.Errorf("%s got %d requests in its pause, expected two at the most", id, got)
	}
	if tr.ok.Load() == served {
		c.t.Error("no request was served in the pause of an engine")
	}
	paused := c.engineStats()[id].Requests
	c.within(conditionTimeout, id+" gets requests after its pause", func() bool { return c.engineStats()[id].Requests > paused })
}

// leavingBesideRestarts kills and restarts the dispatcher of an engine that says that it
// leaves, which learns of it anew, and then restarts the engine, whose next boot is clean.
func (c *cluster) leavingBesideRestarts(tr *traffic, id string) {
	c.t.Helper()
	dispatcher := c.waitDispatcher("d1")
	if err := killFor(dispatcher.process, 500*time.Millisecond, nil); err != nil {
		c.t.Fatal(err)
	}
	time.Sleep(failoverTime)
	c.waitDispatcher("d1")
	c.expectNone(tr, id, "after the restart of its dispatcher")
	c.setFaults(c.engineProcess(id), id, map[string]any{"say_leaving": "", "crash": true})
	before := c.engineStats()[id].Requests
	c.within(conditionTimeout, "the next boot of "+id+" gets requests", func() bool { return c.engineStats()[id].Requests > before })
}

// allOut lets all engines want a pause, and expects that requests are then refused at once,
// as not run, with the time until the first pause ends, and served again later.
func (c *cluster) allOut() {
	c.t.Helper()
	for _, p := range c.standins {
		for _, id := range p.engineIDs {
			c.setFaults(p, id, map[string]any{"pause_next": -1, "retry_after": "20"})
		}
	}
	begin, asked := time.Now(), c.engineStats()
	c.within(conditionTimeout, "all engines have asked for a pause", func() bool {
		for i, e := range c.entries {
			c.sendPrompt(e, prompt{text: fmt.Sprint("pause ", i), output: 2})
		}
		for id, d := range c.engineStats() {
			if d.Pauses == asked[id].Pauses {
				return false
			}
		}
		return true
	})
	for _, p := range c.standins {
		for _, id := range p.engineIDs {
			c.setFaults(p, id, map[string]any{"pause_next": 0})
		}
	}
	before := c.engineStats()
	for _, e := range c.entries {
		start := time.Now()
		status, retryAfter, run := c.complete(e)
		left := 20 - time.Since(begin).Seconds()
		if took := time.Since(start); status != http.StatusServiceUnavailable || run != "no" || took > slack {
			c.t.Errorf("%s answers %d, run %s, after %v, expected a refusal as not run at once", e.name, status, run, took)
		}
		// Whole seconds, rounded up. The first pause began after begin.
		if seconds, err := strconv.Atoi(retryAfter); err != nil || float64(seconds) < left || seconds > 20 {
			c.t.Errorf("%s answers Retry-After %q with %.1f s left at least", e.name, retryAfter, left)
		}
	}
	after := c.engineStats()
	for id := range after {
		if got := after[id].InPause - before[id].InPause; got > 2 {
			c.t.Errorf("%s got %d requests in its pause", id, got)
		}
	}
	c.within(20*time.Second+slack, "requests are served after the pauses", func() bool {
		return c.sendPrompt(c.entries[0], prompt{}).Outcome == loadtool.OK
	})
}

// complete sends a request that doesn't stream, and returns the status of the response, its
// Retry-After, and whether the request was run according to its error.
func (c *cluster) complete(e *entryProcess) (status int, retryAfter, run string) {
	c.t.Helper()
	body := fmt.Sprintf(`{"model": %q, "max_tokens": 2, "messages": [{"role": "user", "content": "x"}]}`, modelName)
	req, err := http.NewRequest(http.MethodPost, "http://"+e.listen+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		c.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+callerKey)
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		c.t.Errorf("request to %s: %v", e.name, err)
		return 0, "", ""
	}
	defer resp.Body.Close()
	var doc struct{ Error struct{ Run string } }
	_ = json.NewDecoder(resp.Body).Decode(&doc)
	return resp.StatusCode, resp.Header.Get("Retry-After"), doc.Error.Run
}
