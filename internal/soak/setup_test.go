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
	"testing"
	"time"

	"bilberryhub/internal/loadtool"
	"bilberryhub/internal/wire"
	"bilberryhub/internal/wirepb"
)

const (
	domains          = 3
	entriesPerDomain = 2
	callerKey        = "key-1"
	modelName        = "model-1"
	// deadline of every service in the manifest.
	deadline = 20 * time.Second
	// patience bounds every wait for a condition that has no bound of its own.
	patience = 20 * time.Second
	// pollInterval is the pause between two looks at a condition.
	pollInterval = 20 * time.Millisecond
	// adminTimeout bounds one look at a process, which may be paused.
	adminTimeout = time.Second
)

// layout is what differs between set-ups.
type layout struct {
	enginesPerDomain int
	timeScale        float64
	plainMS          float64
	coldLimit        int
	model            map[string]any
}

type setup struct {
	t        *testing.T
	layout   layout
	dir      string
	states   []*stateProcess
	entries  []*entryProcess
	standins []*standinProcess
	http     *http.Client
	number   uint64
}

type stateProcess struct {
	*process
	address, admin, data string
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
	engines       []string
	plain         string
}

func domainName(i int) string { return fmt.Sprintf("d%d", i+1) }

// folder returns the folder of settings, data and logs. SOAK_DIR names one that is
// kept after the test.
func folder(t *testing.T) string {
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

// newSetup starts a set-up and waits until every entry process serves.
func newSetup(t *testing.T, l layout) *setup {
	t.Helper()
	s := &setup{t: t, layout: l, dir: folder(t), http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	t.Cleanup(s.stop)
	s.addStates()
	s.addEntries()
	s.addStandins()
	for _, p := range s.processes() {
		if err := p.start(); err != nil {
			t.Fatal(err)
		}
	}
	s.applyManifest()
	s.waitServing()
	return s
}

func (s *setup) processes() []*process {
	var out []*process
	for _, p := range s.states {
		out = append(out, p.process)
	}
	for _, p := range s.entries {
		out = append(out, p.process)
	}
	for _, p := range s.standins {
		out = append(out, p.process)
	}
	return out
}

// stop ends every process by its id and checks the logs, because a process that
// was killed cannot be asked for its metrics any more.
func (s *setup) stop() {
	for _, p := range s.processes() {
		if p.cmd == nil {
			continue
		}
		if p.died() {
			s.t.Errorf("%s has exited by itself with code %d", p.name, p.exitCode())
		}
		if err := p.kill(); err != nil {
			s.t.Error(err)
		}
		s.checkLog(p)
	}
}

var badLog = regexp.MustCompile(`invariant violated|panic:|fatal error:|DATA RACE`)

func (s *setup) checkLog(p *process) {
	data, err := os.ReadFile(p.log)
	if err != nil {
		s.t.Error(err)
		return
	}
	for line := range strings.Lines(string(data)) {
		if badLog.MatchString(line) {
			s.t.Errorf("log of %s: %s", p.name, strings.TrimSpace(line))
		}
	}
	if s.t.Failed() {
		lines := strings.Split(strings.TrimSpace(string(data)), "\n")
		s.t.Logf("end of the log of %s:\n%s", p.name, strings.Join(lines[max(0, len(lines)-8):], "\n"))
	}
}

// newProcess writes the settings of a process.
func (s *setup) newProcess(name, binary string, settings map[string]any) *process {
	s.t.Helper()
	data, err := json.Marshal(settings)
	if err != nil {
		s.t.Fatal(err)
	}
	p := &process{name: name, binary: binary, config: filepath.Join(s.dir, name+".json"), log: filepath.Join(s.dir, name+".log")}
	if err := os.WriteFile(p.config, data, 0o644); err != nil {
		s.t.Fatal(err)
	}
	return p
}

func (s *setup) addStates() {
	var replicas []any
	for i := range domains {
		p := &stateProcess{address: freePort(s.t), admin: freePort(s.t), data: filepath.Join(s.dir, "data-"+domainName(i))}
		s.states = append(s.states, p)
		replicas = append(replicas, map[string]any{"name": "state-" + domainName(i), "address": p.address, "failure_domain": domainName(i)})
	}
	for i, p := range s.states {
		name := "state-" + domainName(i)
		p.process = s.newProcess(name, "bilberry-state", map[string]any{
			"id": name, "failure_domain": domainName(i), "listen": p.address, "admin_listen": p.admin,
			"data_dir": p.data, "replicas": replicas, "snapshot_entries": 500, "log_level": "info",
		})
	}
}

func (s *setup) addEntries() {
	var states, wires []string
	for _, p := range s.states {
		states = append(states, p.address)
	}
	for i := range domains * entriesPerDomain {
		p := &entryProcess{
			domain: domainName(i / entriesPerDomain),
			listen: freePort(s.t), announce: freePort(s.t), wireAddress: freePort(s.t), admin: freePort(s.t),
		}
		p.client = loadtool.NewClient(loadtool.NewBalancer([]string{p.listen}, 1))
		s.t.Cleanup(p.client.Close)
		s.entries = append(s.entries, p)
		wires = append(wires, p.wireAddress)
	}
	for i, p := range s.entries {
		name := fmt.Sprintf("entry-%s-%d", p.domain, i%entriesPerDomain+1)
		p.process = s.newProcess(name, "bilberry-entry", map[string]any{
			"id": name, "failure_domain": p.domain, "listen": p.listen, "announce_listen": p.announce,
			"wire_listen": p.wireAddress, "admin_listen": p.admin, "entries": wires, "states": states,
			"seed": i + 1, "drain_seconds": 30, "stall_seconds": 3, "accept_prompt_tokens_header": true, "log_level": "info",
		})
	}
}

// rebootTime is below the time in which an owner of the boot before may still
// grant, so that the runs exercise grants for an earlier boot.
const rebootTime = time.Second

func (s *setup) addStandins() {
	model := map[string]any{
		"allow_prompt_tokens_header": true, "report_delay_ms": 300, "report_drop": 0.1, "event_drop": 0.05,
		"resume_seconds": 2, "restart_seconds": rebootTime.Seconds() / s.layout.timeScale,
	}
	for k, v := range s.layout.model {
		model[k] = v
	}
	for d := range domains {
		p := &standinProcess{domain: domainName(d), admin: freePort(s.t), plain: "booking-" + domainName(d)}
		var announceTo []string
		for _, e := range s.entries[d*entriesPerDomain : (d+1)*entriesPerDomain] {
			announceTo = append(announceTo, e.announce)
		}
		var instances []any
		for i := range s.layout.enginesPerDomain {
			id := fmt.Sprintf("engine-%s-%d", p.domain, i+1)
			p.engines = append(p.engines, id)
			instances = append(instances, map[string]any{
				"id": id, "kind": "model", "listen": freePort(s.t), "failure_domain": p.domain, "service": "assistant",
				"models": []string{modelName}, "cold_limit_requests": s.layout.coldLimit,
			})
		}
		instances = append(instances, map[string]any{
			"id": p.plain, "kind": "plain", "listen": freePort(s.t), "failure_domain": p.domain, "service": "bookings",
			"path_prefix": "/bookings", "plain_ms": s.layout.plainMS / s.layout.timeScale,
		})
		p.process = s.newProcess("standin-"+p.domain, "bilberry-standin", map[string]any{
			"time_scale": s.layout.timeScale, "seed": d + 1, "log_level": "info", "admin": p.admin,
			"entries": announceTo, "model": model, "instances": instances,
		})
		s.standins = append(s.standins, p)
	}
}

// manifest returns a manifest; mark makes contents of equal numbers differ.
func (s *setup) manifest(number uint64, mark int) []byte {
	sum := sha256.Sum256([]byte(callerKey))
	grant := func(service string) map[string]any {
		return map[string]any{"service": service, "urgencies": []string{"normal", "urgent"}, "rate_per_second": 10000, "concurrent": 10000 + mark}
	}
	var list []any
	for i := range domains {
		list = append(list, map[string]any{"name": domainName(i), "region": "r1"})
	}
	data, err := json.Marshal(map[string]any{
		"number": number, "failure_domains": list,
		"urgencies": []any{
			map[string]any{"name": "urgent", "priority": 0, "ttft_target_ms": 1000},
			map[string]any{"name": "normal", "priority": 1, "ttft_target_ms": 4000},
		},
		"services": []any{
			map[string]any{
				"name": "assistant", "kind": "model", "models": []string{modelName}, "cold_limit_requests": s.layout.coldLimit,
				"deadline_ms": deadline.Milliseconds(), "max_body_bytes": 1 << 20,
				"prefill_tokens_per_second": 20000 / s.layout.timeScale, "max_output_tokens": 4096,
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

func (s *setup) applyManifest() {
	s.t.Helper()
	s.number++
	s.propose(applyCommand(s.number, s.manifest(s.number, 0), fmt.Sprintf("manifest-%d", s.number)))
}

// offer sends a proposal once to one state process; it returns nil when the
// outcome is not known.
func (s *setup) offer(p *stateProcess, cmd *wirepb.Command) *wirepb.Result {
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

// propose repeats a proposal, which its id makes safe, until it is accepted.
func (s *setup) propose(cmd *wirepb.Command) *wirepb.Result {
	s.t.Helper()
	var result *wirepb.Result
	s.within(patience, "proposal "+cmd.GetId()+" is answered", func() bool {
		for _, p := range s.states {
			if result = s.offer(p, cmd); result != nil {
				return true
			}
		}
		return false
	})
	if result.GetCode() != "" {
		s.t.Fatalf("proposal %s: %s: %s", cmd.GetId(), result.GetCode(), result.GetMessage())
	}
	return result
}

func orderCommand(kind, target string, out bool, number uint64, id string) *wirepb.Command {
	return &wirepb.Command{Id: id, Body: &wirepb.Command_Order{Order: &wirepb.Order{Kind: kind, Target: target, Out: out, Number: number}}}
}

func (s *setup) order(kind, target string, out bool, number uint64) {
	s.t.Helper()
	s.propose(orderCommand(kind, target, out, number, fmt.Sprintf("order-%s-%s-%d", kind, target, number)))
}

// holds polls until cond is true or the time is over.
func holds(limit time.Duration, cond func() bool) bool {
	for end := time.Now().Add(limit); !cond(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}

// within fails the test when cond does not become true in time.
func (s *setup) within(limit time.Duration, what string, cond func() bool) {
	s.t.Helper()
	if holds(limit, cond) {
		return
	}
	s.t.Logf("state dumps:\n%s", s.dumps())
	s.t.Fatalf("not within %v: %s", limit, what)
}

func (s *setup) waitServing() {
	s.t.Helper()
	for _, e := range s.entries {
		s.within(patience, e.name+" serves both services", func() bool {
			return s.ask(e, prompt{}).Outcome == loadtool.OK && s.book(e, "", "").status == http.StatusOK
		})
	}
}

// prompt describes one model request.
type prompt struct {
	text   string
	output int
	whole  bool
	// leave is when the caller gives up; zero means never.
	leave time.Duration
}

// requestLimit is how long any request may take as the caller sees it: its
// deadline, the longest pause of a process, and time to notice both.
const requestLimit = deadline + 15*time.Second

func (s *setup) ask(e *entryProcess, p prompt) *loadtool.Result {
	ctx, cancel := context.WithTimeout(context.Background(), requestLimit)
	defer cancel()
	if p.text == "" {
		p.text = "how wide is the cowl"
	}
	if p.output == 0 {
		p.output = 4
	}
	call := ctx
	if p.leave > 0 {
		var leave context.CancelFunc
		call, leave = context.WithTimeout(ctx, p.leave)
		defer leave()
	}
	r := e.client.Do(call, &loadtool.Call{Key: callerKey, Model: modelName, Prompt: p.text, MaxTokens: p.output, Chat: true, Stream: !p.whole})
	if ctx.Err() != nil {
		s.t.Errorf("a request to %s has not ended within %v", e.name, requestLimit)
	}
	return r
}

// booking is the answer of the plain service; run is "unknown" when none came.
type booking struct {
	status    int
	code, run string
}

// book calls the plain service; without a key it only reads.
func (s *setup) book(e *entryProcess, key, effect string) booking {
	ctx, cancel := context.WithTimeout(context.Background(), requestLimit)
	defer cancel()
	method, body := http.MethodGet, ""
	if key != "" {
		method, body = http.MethodPost, fmt.Sprintf(`{"effect_id": %q}`, effect)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+e.listen+"/bookings/confirm", strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+callerKey)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := s.http.Do(req)
	if ctx.Err() != nil {
		s.t.Errorf("a booking at %s has not ended within %v", e.name, requestLimit)
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
