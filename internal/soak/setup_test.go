package soak

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"bilberryhub/internal/freeport"
	"bilberryhub/internal/loadtool"
	"bilberryhub/internal/wire"
	"bilberryhub/internal/wirepb"
)

const (
	domainCount      = 3
	entriesPerDomain = 2
	callerKey        = "key-1"
	modelName        = "model-1"
	// deadline is the deadline of every service in the manifest.
	deadline = 20 * time.Second
	// conditionTimeout bounds every wait for a condition that has no limit of its
	// own.
	conditionTimeout = 20 * time.Second
	// eventLateness is the time before an event over which its line tells the lateness of
	// the test.
	eventLateness = 2 * time.Second
	// pollInterval is the time between two checks of a condition.
	pollInterval = 20 * time.Millisecond
	// adminTimeout bounds one admin request to a process, which may be paused.
	adminTimeout = time.Second
	// standinTimeout bounds one admin request to a simulated backend server, which is never
	// paused. It only bounds the wait of the test: on a busy machine the test itself may
	// take a second to send a request.
	standinTimeout = 10 * time.Second
)

// layout holds the settings in which the clusters of the tests differ.
type layout struct {
	enginesPerDomain int
	// timeScale scales the simulated times of the backend servers.
	timeScale float64
	// plainMS is the time that a call of the plain service takes, in ms after
	// scaling.
	plainMS float64
	// coldLimit limits the concurrent requests on a cold engine.
	coldLimit int
	// model overrides settings of the simulated engines.
	model map[string]any
}

// cluster is a running cluster of real processes.
type cluster struct {
	t        *testing.T
	layout   layout
	dir      string
	states   []*stateProcess
	entries  []*entryProcess
	standins []*standinProcess
	http     *http.Client
	// standinHTTP keeps its connections to the simulated backend servers, which never
	// restart: on a busy machine a connection may take over a second to open.
	standinHTTP    *http.Client
	manifestNumber uint64
	startTime      time.Time

	eventsMu sync.Mutex
	// events is the timeline of the test, which is printed if it fails.
	events []string
}

// sinceStart returns a time as the time since the start of the cluster.
func (c *cluster) sinceStart(at time.Time) time.Duration {
	return at.Sub(c.startTime).Round(time.Millisecond)
}

// eventf appends an event to the timeline of the test, with the largest delay of the test
// itself in the last seconds.
func (c *cluster) eventf(format string, args ...any) {
	c.eventsMu.Lock()
	defer c.eventsMu.Unlock()
	now := time.Now()
	c.events = append(c.events, fmt.Sprintf("%v (test late by up to %v): %s",
		c.sinceStart(now), lateness.since(now.Add(-eventLateness)).Round(time.Millisecond), fmt.Sprintf(format, args...)))
}

type stateProcess struct {
	*process
	address, admin, dataDir string
}

type entryProcess struct {
	*process
	domain                               string
	listen, announce, wireAddress, admin string
	client                               *loadtool.Client
}

type standinProcess struct {
	*process
	domain, admin string
	engineIDs     []string
	plainID       string
}

// domainName returns the name of failure domain i.
func domainName(i int) string { return fmt.Sprintf("d%d", i+1) }

// newDir returns a new directory for settings, data and logs. If SOAK_DIR is set, it
// is created there and kept after the test.
func newDir(t *testing.T) string {
	t.Helper()
	parent := os.Getenv("SOAK_DIR")
	if parent == "" {
		return t.TempDir()
	}
	dir, err := os.MkdirTemp(parent, "soak-")
	if err != nil {
		t.Fatal(err)
	}
	return dir
}

// newCluster starts a cluster and waits until every entry process serves.
func newCluster(t *testing.T, l layout) *cluster {
	t.Helper()
	c := &cluster{
		t: t, layout: l, dir: newDir(t), startTime: time.Now(), http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		standinHTTP: &http.Client{Transport: &http.Transport{}},
	}
	t.Cleanup(c.stop)
	c.addStates()
	c.addEntries()
	c.addStandins()
	for _, p := range c.processes() {
		if err := p.start(); err != nil {
			t.Fatal(err)
		}
	}
	c.applyManifest()
	c.waitServing()
	return c
}

// processes returns the processes in the order in which they are started.
func (c *cluster) processes() []*process {
	var out []*process
	for _, p := range c.states {
		out = append(out, p.process)
	}
	for _, p := range c.entries {
		out = append(out, p.process)
	}
	for _, p := range c.standins {
		out = append(out, p.process)
	}
	return out
}

// stop kills every process by its process id and checks the logs, because the
// metrics of a process that was killed cannot be read any more.
func (c *cluster) stop() {
	if c.t.Failed() {
		c.eventsMu.Lock()
		defer c.eventsMu.Unlock()
		c.t.Logf("timeline:\n  %s", strings.Join(c.events, "\n  "))
	}
	for _, p := range c.processes() {
		if p.cmd == nil {
			continue
		}
		if p.exitedUnexpectedly() {
			c.t.Errorf("%s has exited by itself with code %d", p.name, p.exitCode())
		}
		if err := p.kill(); err != nil {
			c.t.Error(err)
		}
		c.checkLog(p)
	}
}

// failurePattern matches log lines that must not occur in any test.
var failurePattern = regexp.MustCompile(`invariant violated|panic:|fatal error:|DATA RACE`)

// tracePattern matches log lines that tell what a process did about a fault: it was paused
// or late, lost another process or drained. They are printed if the test has failed.
var tracePattern = regexp.MustCompile(`process was paused|written late|entry process lost|draining|no request is open|SIGTERM`)

// checkLog fails the test when the log of a process matches failurePattern. If the
// test has failed, it prints the end of the log.
func (c *cluster) checkLog(p *process) {
	data, err := os.ReadFile(p.logFile)
	if err != nil {
		c.t.Error(err)
		return
	}
	for line := range strings.Lines(string(data)) {
		if failurePattern.MatchString(line) {
			c.t.Errorf("log of %s: %s", p.name, strings.TrimSpace(line))
		}
	}
	if c.t.Failed() {
		lines := strings.Split(strings.TrimSpace(string(data)), "\n")
		c.t.Logf("end of the log of %s:\n%s", p.name, strings.Join(lines[max(0, len(lines)-8):], "\n"))
		for _, line := range lines[:max(0, len(lines)-8)] {
			if tracePattern.MatchString(line) {
				c.t.Logf("log of %s: %s", p.name, line)
			}
		}
	}
}

// newProcess writes the settings file of a process and returns the process, which is
// not started yet.
func (c *cluster) newProcess(name, binary string, settings map[string]any) *process {
	c.t.Helper()
	data, err := json.Marshal(settings)
	if err != nil {
		c.t.Fatal(err)
	}
	p := &process{name: name, binary: binary, configFile: filepath.Join(c.dir, name+".json"), logFile: filepath.Join(c.dir, name+".log")}
	if err := os.WriteFile(p.configFile, data, 0o644); err != nil {
		c.t.Fatal(err)
	}
	return p
}

// addStates adds one state process in each failure domain.
func (c *cluster) addStates() {
	var replicas []any
	for i := range domainCount {
		p := &stateProcess{address: freeport.Address("127.0.0.1"), admin: freeport.Address("127.0.0.1"), dataDir: filepath.Join(c.dir, "data-"+domainName(i))}
		c.states = append(c.states, p)
		replicas = append(replicas, map[string]any{"name": "state-" + domainName(i), "address": p.address, "failure_domain": domainName(i)})
	}
	for i, p := range c.states {
		name := "state-" + domainName(i)
		p.process = c.newProcess(name, "bilberry-state", map[string]any{
			"id": name, "failure_domain": domainName(i), "listen": p.address, "admin_listen": p.admin,
			"data_dir": p.dataDir, "replicas": replicas, "snapshot_entries": 500, "log_level": "info",
		})
	}
}

// addEntries adds entriesPerDomain entry processes in each failure domain.
func (c *cluster) addEntries() {
	var states, wireAddresses []string
	for _, p := range c.states {
		states = append(states, p.address)
	}
	for i := range domainCount * entriesPerDomain {
		p := &entryProcess{
			domain: domainName(i / entriesPerDomain),
			listen: freeport.Address("127.0.0.1"), announce: freeport.Address("127.0.0.1"), wireAddress: freeport.Address("127.0.0.1"), admin: freeport.Address("127.0.0.1"),
		}
		p.client = loadtool.NewClient(loadtool.NewBalancer([]string{p.listen}, 1))
		c.t.Cleanup(p.client.Close)
		c.entries = append(c.entries, p)
		wireAddresses = append(wireAddresses, p.wireAddress)
	}
	for i, p := range c.entries {
		name := fmt.Sprintf("entry-%s-%d", p.domain, i%entriesPerDomain+1)
		p.process = c.newProcess(name, "bilberry-entry", map[string]any{
			"id": name, "failure_domain": p.domain, "listen": p.listen, "announce_listen": p.announce,
			"wire_listen": p.wireAddress, "admin_listen": p.admin, "entries": wireAddresses, "states": states,
			"seed": i + 1, "drain_seconds": 30, "stall_seconds": 3, "accept_prompt_tokens_header": true, "log_level": "info",
		})
	}
}

// restartTime is the time that a crashed engine takes to restart. It is shorter than
// the time in which an owner of the previous boot may still grant, so that the tests
// exercise grants for an earlier boot.
const restartTime = time.Second

// addStandins adds one process with simulated backend servers in each failure
// domain.
func (c *cluster) addStandins() {
	model := map[string]any{
		"allow_prompt_tokens_header": true, "report_delay_ms": 300, "report_drop": 0.1, "event_drop": 0.05,
		"resume_seconds": 2, "restart_seconds": restartTime.Seconds() / c.layout.timeScale,
	}
	for k, v := range c.layout.model {
		model[k] = v
	}
	for d := range domainCount {
		p := &standinProcess{domain: domainName(d), admin: freeport.Address("127.0.0.1"), plainID: "booking-" + domainName(d)}
		var announceTo []string
		for _, e := range c.entries[d*entriesPerDomain : (d+1)*entriesPerDomain] {
			announceTo = append(announceTo, e.announce)
		}
		var instances []any
		for i := range c.layout.enginesPerDomain {
			id := fmt.Sprintf("engine-%s-%d", p.domain, i+1)
			p.engineIDs = append(p.engineIDs, id)
			instances = append(instances, map[string]any{
				"id": id, "kind": "model", "listen": freeport.Address("127.0.0.1"), "failure_domain": p.domain, "service": "assistant",
				"models": []string{modelName}, "cold_limit_requests": c.layout.coldLimit,
			})
		}
		instances = append(instances, map[string]any{
			"id": p.plainID, "kind": "plain", "listen": freeport.Address("127.0.0.1"), "failure_domain": p.domain, "service": "bookings",
			"path_prefix": "/bookings", "plain_ms": c.layout.plainMS / c.layout.timeScale,
		})
		p.process = c.newProcess("standin-"+p.domain, "bilberry-standin", map[string]any{
			"time_scale": c.layout.timeScale, "seed": d + 1, "log_level": "info", "admin": p.admin,
			"entries": announceTo, "model": model, "instances": instances,
		})
		c.standins = append(c.standins, p)
	}
}

// manifest returns a manifest. Manifests of the same number differ in content if
// variant differs.
func (c *cluster) manifest(number uint64, variant int) []byte {
	sum := sha256.Sum256([]byte(callerKey))
	grant := func(service string) map[string]any {
		return map[string]any{"service": service, "urgencies": []string{"normal", "urgent"}, "rate_per_second": 10000, "concurrent": 10000 + variant}
	}
	var failureDomains []any
	for i := range domainCount {
		failureDomains = append(failureDomains, map[string]any{"name": domainName(i), "region": "r1"})
	}
	data, err := json.Marshal(map[string]any{
		"number": number, "failure_domains": failureDomains,
		"urgencies": []any{
			map[string]any{"name": "urgent", "priority": 0, "ttft_target_ms": 1000},
			map[string]any{"name": "normal", "priority": 1, "ttft_target_ms": 4000},
		},
		"services": []any{
			map[string]any{
				"name": "assistant", "kind": "model", "models": []string{modelName}, "cold_limit_requests": c.layout.coldLimit,
				"deadline_ms": deadline.Milliseconds(), "max_body_bytes": 1 << 20,
				"prefill_tokens_per_second": 20000 / c.layout.timeScale, "max_output_tokens": 4096,
			},
			map[string]any{
				"name": "bookings", "kind": "plain", "path_prefix": "/bookings", "cold_limit_requests": 8,
				"deadline_ms": deadline.Milliseconds(), "max_body_bytes": 4096,
			},
		},
		"accounts": []any{map[string]any{
			"name": "fitters", "key_sha256": []string{hex.EncodeToString(sum[:])}, "weight": 1,
			"grants": []any{grant("assistant"), grant("bookings")},
		}},
	})
	if err != nil {
		panic(err)
	}
	return data
}

func applyCommand(number uint64, content []byte, id string) *wirepb.Command {
	return &wirepb.Command{Id: id, Body: &wirepb.Command_ApplyManifest{ApplyManifest: &wirepb.ApplyManifest{Number: number, Content: content}}}
}

// applyManifest proposes a manifest with the next number and waits until it is
// accepted.
func (c *cluster) applyManifest() {
	c.t.Helper()
	c.manifestNumber++
	c.propose(applyCommand(c.manifestNumber, c.manifest(c.manifestNumber, 0), fmt.Sprintf("manifest-%d", c.manifestNumber)))
}

// proposeOnce sends a proposal once to one state process. It returns nil when the
// outcome is unknown.
func (c *cluster) proposeOnce(p *stateProcess, cmd *wirepb.Command) *wirepb.Result {
	client := wire.NewClient(p.address, wire.Options{Self: wire.Identity{Kind: wire.KindCtl, ID: "soak"}})
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	env, err := client.Call(ctx, &wirepb.Envelope{Body: &wirepb.Envelope_Propose{Propose: &wirepb.Propose{Command: cmd}}})
	if err != nil {
		return nil
	}
	return env.GetProposeReply().GetResult()
}

// propose repeats a proposal until a state process has answered it, and fails the
// test if it is refused. The command id makes the proposal idempotent.
func (c *cluster) propose(cmd *wirepb.Command) *wirepb.Result {
	c.t.Helper()
	var result *wirepb.Result
	c.within(conditionTimeout, "proposal "+cmd.GetId()+" is answered", func() bool {
		for _, p := range c.states {
			if result = c.proposeOnce(p, cmd); result != nil {
				return true
			}
		}
		return false
	})
	if result.GetCode() != "" {
		c.t.Fatalf("proposal %s: %s: %s", cmd.GetId(), result.GetCode(), result.GetMessage())
	}
	return result
}

func orderCommand(kind, target string, out bool, number uint64, id string) *wirepb.Command {
	return &wirepb.Command{Id: id, Body: &wirepb.Command_Order{Order: &wirepb.Order{Kind: kind, Target: target, Out: out, Number: number}}}
}

// proposeOrder proposes an order that takes a target out of service or puts it back
// into service.
func (c *cluster) proposeOrder(kind, target string, out bool, number uint64) {
	c.t.Helper()
	c.propose(orderCommand(kind, target, out, number, fmt.Sprintf("order-%s-%s-%d", kind, target, number)))
}

// waitUntil polls until cond is true, and reports whether that was within the limit. It is
// not if a check that began after the limit says so: one that began before may have taken
// long on a busy machine, and tells of the time at which it began.
func waitUntil(limit time.Duration, cond func() bool) bool {
	for end := time.Now().Add(limit); ; time.Sleep(pollInterval) {
		isLast := time.Now().After(end)
		if cond() {
			return true
		}
		if isLast {
			return false
		}
	}
}

// within polls until cond is true, and fails the test after the limit.
func (c *cluster) within(limit time.Duration, what string, cond func() bool) {
	c.t.Helper()
	if waitUntil(limit, cond) {
		return
	}
	c.t.Logf("state dumps:\n%s", c.entryDumps())
	c.t.Fatalf("not within %v: %s", limit, what)
}

// waitServing waits until every entry process serves both services.
func (c *cluster) waitServing() {
	c.t.Helper()
	for _, e := range c.entries {
		c.within(conditionTimeout, e.name+" serves both services", func() bool {
			return c.sendPrompt(e, prompt{}).Outcome == loadtool.OK && c.book(e, "", "").status == http.StatusOK
		})
	}
}

// prompt describes one model request.
type prompt struct {
	text string
	// output is the number of tokens to generate; zero selects 4.
	output int
	// unstreamed requests a response without streaming.
	unstreamed bool
	// disconnect is the time after which the caller closes the connection; zero
	// means never.
	disconnect time.Duration
}

// requestTimeout bounds the duration of any request as the caller sees it: its
// deadline, the longest pause of a process, and the time to detect both.
const requestTimeout = deadline + 15*time.Second

// sendPrompt sends a request to the model service through an entry process. It fails
// the test if the request takes longer than requestTimeout.
func (c *cluster) sendPrompt(e *entryProcess, p prompt) *loadtool.Result {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	if p.text == "" {
		p.text = "how wide is the cowl"
	}
	if p.output == 0 {
		p.output = 4
	}
	callCtx := ctx
	if p.disconnect > 0 {
		var disconnect context.CancelFunc
		callCtx, disconnect = context.WithTimeout(ctx, p.disconnect)
		defer disconnect()
	}
	r := e.client.Do(callCtx, &loadtool.Call{Key: callerKey, Model: modelName, Prompt: p.text, MaxTokens: p.output, Chat: true, Stream: !p.unstreamed})
	if ctx.Err() != nil {
		c.t.Errorf("a request to %s has not ended within %v", e.name, requestTimeout)
	}
	return r
}

// booking is the response of the plain service. Without a complete response, status
// is 0 and run is "unknown".
type booking struct {
	status    int
	code, run string
}

// book calls the plain service through an entry process. Without an idempotency key
// the call only reads. It fails the test if the call takes longer than
// requestTimeout.
func (c *cluster) book(e *entryProcess, key, effect string) booking {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	method, body := http.MethodGet, ""
	if key != "" {
		method, body = http.MethodPost, fmt.Sprintf(`{"effect_id": %q}`, effect)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+e.listen+"/bookings/confirm", strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	// Without GetBody, the HTTP client cannot resend the request by itself.
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+callerKey)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := c.http.Do(req)
	if ctx.Err() != nil {
		c.t.Errorf("a booking at %s has not ended within %v", e.name, requestTimeout)
	}
	if err != nil {
		return booking{run: "unknown"}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return booking{run: "unknown"}
	}
	b := booking{status: resp.StatusCode}
	if resp.StatusCode == http.StatusOK {
		return b
	}
	var doc struct {
		Error struct{ Code, Run string } `json:"error"`
	}
	if json.Unmarshal(data, &doc) != nil {
		return booking{run: "unknown"}
	}
	b.code, b.run = doc.Error.Code, doc.Error.Run
	return b
}
