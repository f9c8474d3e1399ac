package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"bilberryhub/internal/standin"
)

// fetchJSON decodes the JSON document at a path of an admin address into the value
// that into points to.
func (c *cluster) fetchJSON(address, path string, into any) error {
	data, err := c.fetch(address, path)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, into)
}

// fetch returns the body at a path of an admin address. A status other than 200 is
// an error.
func (c *cluster) fetch(address, path string) ([]byte, error) {
	return fetch(c.http, address, path, adminTimeout)
}

// fetchFromStandin decodes the JSON document at a path of a simulated backend server into
// the value that into points to.
func (c *cluster) fetchFromStandin(p *standinProcess, path string, timeout time.Duration, into any) error {
	data, err := fetch(c.standinHTTP, p.admin, path, timeout)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, into)
}

// fetch is cluster.fetch with a client and a timeout.
func fetch(client *http.Client, address, path string, timeout time.Duration) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var steps callSteps
	req, err := http.NewRequestWithContext(steps.trace(ctx), http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return nil, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("%w (%s)", err, &steps)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s%s: status %d", address, path, resp.StatusCode)
	}
	return io.ReadAll(resp.Body)
}

// callSteps records when the steps of a call ended, so that the error of a call without a
// response tells what it waited for, and whether this process ran meanwhile.
type callSteps struct {
	began              time.Time
	connected, written atomic.Int64 // ns after began, or 0
}

// trace returns a context whose calls are recorded.
func (s *callSteps) trace(ctx context.Context) context.Context {
	s.began = time.Now()
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:      func(httptrace.GotConnInfo) { s.connected.Store(int64(time.Since(s.began))) },
		WroteRequest: func(httptrace.WroteRequestInfo) { s.written.Store(int64(time.Since(s.began))) },
	})
}

func (s *callSteps) String() string {
	return fmt.Sprintf("connected after %v, request written after %v, ended after %v; the test itself ran up to %v late since",
		time.Duration(s.connected.Load()), time.Duration(s.written.Load()), time.Since(s.began), lateness.since(s.began))
}

// lateness measures how late this process runs, which tells a process that doesn't respond
// from a machine that is busy.
var lateness = startLatenessMeter()

// latenessInterval is the interval of measurements, and latenessHistory their number.
const (
	latenessInterval = 10 * time.Millisecond
	latenessHistory  = 500
)

// latenessMeter holds the last measurements.
type latenessMeter struct {
	mu   sync.Mutex
	late [latenessHistory]struct {
		at time.Time
		by time.Duration
	}
}

// startLatenessMeter returns a meter that measures as long as the process runs.
func startLatenessMeter() *latenessMeter {
	m := &latenessMeter{}
	go func() {
		for i := 0; ; i = (i + 1) % latenessHistory {
			due := time.Now().Add(latenessInterval)
			time.Sleep(latenessInterval)
			now := time.Now()
			m.mu.Lock()
			m.late[i].at, m.late[i].by = now, now.Sub(due)
			m.mu.Unlock()
		}
	}()
	return m
}

// since returns the largest delay that was measured since a time.
func (m *latenessMeter) since(t time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	largest := time.Duration(0)
	for _, l := range m.late {
		if l.at.After(t) {
			largest = max(largest, l.by)
		}
	}
	return largest
}

// engineStats returns the counters of all engines by id. The simulated backend
// servers are never paused, so a failure to read the counters fails the test.
func (c *cluster) engineStats() map[string]standin.StatsDocument {
	return c.engineStatsOf(c.standins...)
}

// engineStatsOf is engineStats for the engines of some processes.
func (c *cluster) engineStatsOf(standins ...*standinProcess) map[string]standin.StatsDocument {
	out := map[string]standin.StatsDocument{}
	for _, p := range standins {
		var docs []standin.StatsDocument
		if err := c.fetchFromStandin(p, "/admin/stats", standinTimeout, &docs); err != nil {
			c.t.Errorf("stats of %s: %v", p.name, err)
			continue
		}
		for _, d := range docs {
			if strings.HasPrefix(d.ID, "engine-") {
				out[d.ID] = d
			}
		}
	}
	return out
}

// effectCounts returns how often each effect was run, by effect id, summed over all
// plain services.
func (c *cluster) effectCounts() map[string]int {
	out := map[string]int{}
	for _, p := range c.standins {
		var runs map[string]int
		if err := c.fetchFromStandin(p, "/admin/instances/"+p.plainID+"/effects", standinTimeout, &runs); err != nil {
			c.t.Errorf("effects of %s: %v", p.name, err)
		}
		for id, n := range runs {
			out[id] += n
		}
	}
	return out
}

// setFaults changes the given fault settings of a simulated backend server.
func (c *cluster) setFaults(p *standinProcess, id string, faults map[string]any) {
	data, err := json.Marshal(faults)
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), standinTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.admin+"/admin/instances/"+id+"/faults", bytes.NewReader(data))
	if err != nil {
		panic(err)
	}
	resp, err := c.standinHTTP.Do(req)
	if err != nil {
		c.t.Errorf("faults of %s: %v", id, err)
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		c.t.Errorf("faults of %s: status %d", id, resp.StatusCode)
	}
}

// entryDump holds the fields of the state dump of an entry process that the tests
// read.
type entryDump struct {
	Incarnation uint64 `json:"incarnation"`
	Config      struct {
		Index          uint64 `json:"index"`
		ManifestNumber uint64 `json:"manifest_number"`
	} `json:"config"`
	Requests []json.RawMessage `json:"requests"`
	Pools    struct {
		Pools []struct {
			FailureDomain string `json:"failure_domain"`
			Service       string `json:"service"`
			Backends      []struct {
				ID       string `json:"id"`
				LeaseMS  int64  `json:"lease_left_ms"`
				Reserved uint64 `json:"reserved_tokens"`
				Open     int    `json:"open"`
			} `json:"backends"`
			Dispatches []json.RawMessage `json:"dispatches"`
		} `json:"pools"`
	} `json:"pools"`
}

// stateDump holds the fields of the state dump of a state process that the tests
// read.
type stateDump struct {
	ID   string `json:"id"`
	Raft struct {
		LeaseValid       bool     `json:"lease_valid"`
		Voters           []string `json:"voters"`
		Learners         []string `json:"learners"`
		RepairIncomplete bool     `json:"repair_incomplete"`
	} `json:"raft"`
	State struct {
		AppliedIndex   uint64 `json:"applied_index"`
		ManifestNumber uint64 `json:"manifest_number"`
	} `json:"state"`
}

func (c *cluster) entryDump(e *entryProcess) (*entryDump, error) {
	d := &entryDump{}
	return d, c.fetchJSON(e.admin, "/dump", d)
}

func (c *cluster) stateDump(p *stateProcess) (*stateDump, error) {
	d := &stateDump{}
	return d, c.fetchJSON(p.admin, "/dump", d)
}

// dumpTimeout bounds the request for a state dump after a failure. It is long, so that a
// process that is stuck differs from one that is late.
const dumpTimeout = 5 * time.Second

// entryDumps returns the state dumps of all entry processes as text, for the log of
// a failed test.
func (c *cluster) entryDumps() string {
	dumps := make([]string, len(c.entries))
	var wg sync.WaitGroup
	for i, e := range c.entries {
		wg.Go(func() {
			began := time.Now()
			data, err := fetch(c.http, e.admin, "/dump", dumpTimeout)
			dumps[i] = fmt.Sprintf("%s after %v: %s %v\n", e.name, time.Since(began).Round(time.Millisecond), data, err)
		})
	}
	wg.Wait()
	return strings.Join(dumps, "")
}

// dispatcher returns the entry process that holds the leases of the engines of a
// failure domain, or nil.
func (c *cluster) dispatcher(domain string) *entryProcess {
	for _, e := range c.entries {
		d, err := c.entryDump(e)
		if err != nil {
			continue
		}
		for _, pool := range d.Pools.Pools {
			if pool.FailureDomain != domain || pool.Service != "assistant" || len(pool.Backends) == 0 {
				continue
			}
			held := true
			for _, b := range pool.Backends {
				held = held && b.LeaseMS > 0
			}
			if held {
				return e
			}
		}
	}
	return nil
}

// waitDispatcher waits until the failure domain has a dispatcher, and returns it.
func (c *cluster) waitDispatcher(domain string) *entryProcess {
	c.t.Helper()
	var e *entryProcess
	c.within(conditionTimeout, "a dispatcher of "+domain, func() bool { e = c.dispatcher(domain); return e != nil })
	return e
}

// leader returns the state process that is the leader with a valid lease, and its
// state dump. Both are nil if there is none.
func (c *cluster) leader() (*stateProcess, *stateDump) {
	for _, p := range c.states {
		if d, err := c.stateDump(p); err == nil && d.Raft.LeaseValid {
			return p, d
		}
	}
	return nil, nil
}

// voter returns the identity under which a state process is a voter, or "", and
// reports whether the replica set has all voters, no learners and no repair in
// progress.
func (c *cluster) voter(name string) (identity string, complete bool) {
	_, d := c.leader()
	if d == nil {
		return "", false
	}
	for _, id := range d.Raft.Voters {
		if strings.HasPrefix(id, name+"/") {
			identity = id
		}
	}
	return identity, len(d.Raft.Voters) == domainCount && len(d.Raft.Learners) == 0 && !d.Raft.RepairIncomplete
}

// hasRejoined reports whether a state process that has lost its disk is a voter
// under a new identity and the repair is complete. lostIdentity is the identity
// before the loss.
func (c *cluster) hasRejoined(name, lostIdentity string) bool {
	identity, complete := c.voter(name)
	return complete && identity != "" && identity != lostIdentity
}

// violationPattern matches a metric that counts at least one violated invariant.
var violationPattern = regexp.MustCompile(`(?m)^bilberry_invariant_violations_total\S* ([1-9]\S*)$`)

// checkInvariants fails the test when a process has counted a violated invariant.
// It skips a process that does not respond; its log is checked at the end.
func (c *cluster) checkInvariants() {
	check := func(name, admin string) {
		data, err := c.fetch(admin, "/metrics")
		if err != nil {
			return
		}
		if m := violationPattern.Find(data); m != nil {
			c.t.Errorf("%s: %s", name, m)
		}
	}
	for _, p := range c.states {
		check(p.name, p.admin)
	}
	for _, p := range c.entries {
		check(p.name, p.admin)
	}
}

// reservedTokens returns the KV memory that all engines together hold, in tokens.
func (c *cluster) reservedTokens() uint64 {
	sum := uint64(0)
	for _, d := range c.engineStats() {
		sum += d.ReservedTokens
	}
	return sum
}

// runningRequests returns the number of running requests, summed over all engines.
func (c *cluster) runningRequests() int {
	sum := 0
	for _, d := range c.engineStats() {
		sum += d.Running
	}
	return sum
}

func pause(p *process)  { p.signal(syscall.SIGSTOP) }
func resume(p *process) { p.signal(syscall.SIGCONT) }
