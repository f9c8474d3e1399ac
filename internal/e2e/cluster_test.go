// Package e2e tests whole set-ups in one process: state replicas, entry
// processes and stand-in backend servers talk over loopback, and callers use
// HTTP. Faults are injected at the stand-ins, the diallers and the processes.
package e2e

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"bilberryhub/internal/announce"
	"bilberryhub/internal/entry"
	"bilberryhub/internal/invariant"
	"bilberryhub/internal/standin"
	"bilberryhub/internal/stateserver"
	"bilberryhub/internal/wire"
	"bilberryhub/internal/wirepb"
)

const (
	testKey   = "key-1"
	testModel = "model-1"
	// patience bounds every wait for a condition; far above the time that any
	// of them takes on a slow machine.
	patience = 20 * time.Second
)

type layout struct {
	domains          int
	entriesPerDomain int
	enginesPerDomain int
	plain            bool
	// timeScale of the engines; zero selects 0.1.
	timeScale float64
	coldLimit int
	model     func(*standin.ModelSettings)
	entry     func(*entry.Settings)
}

type cluster struct {
	t        *testing.T
	layout   layout
	net      *network
	states   []*stateserver.Server
	stateSet []stateserver.Settings
	entries  []*entry.Server
	entrySet []*entry.Settings
	standins []*standin.Process
	number   uint64
	http     *http.Client
}

func domainName(i int) string { return fmt.Sprintf("d%d", i+1) }

func freePorts(t *testing.T, n int) []string {
	t.Helper()
	var out []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		out = append(out, l.Addr().String())
	}
	return out
}

// newCluster starts a set-up and waits until it serves.
func newCluster(t *testing.T, l layout) *cluster {
	t.Helper()
	t.Cleanup(invariant.SetHandler(func(name, detail string) { t.Errorf("invariant %s violated: %s", name, detail) }))
	c := &cluster{t: t, layout: l, net: newNetwork(), http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	t.Cleanup(c.stop)
	c.startStates()
	c.startEntries()
	c.startStandins()
	c.applyManifest()
	c.waitServing()
	return c
}

func (c *cluster) startStates() {
	ports := freePorts(c.t, 2*c.layout.domains)
	var replicas []stateserver.ReplicaConfig
	for i := range c.layout.domains {
		replicas = append(replicas, stateserver.ReplicaConfig{
			Name: fmt.Sprintf("state-%d", i+1), Address: ports[i], FailureDomain: domainName(i),
		})
		c.net.place(ports[i], domainName(i))
	}
	for i, r := range replicas {
		set := stateserver.Settings{
			ID: r.Name, FailureDomain: r.FailureDomain, Listen: r.Address, AdminListen: ports[c.layout.domains+i],
			DataDir: c.t.TempDir(), Replicas: replicas, SnapshotEntries: 1000,
		}
		c.stateSet = append(c.stateSet, set)
		c.states = append(c.states, nil)
		c.startState(i)
	}
}

func (c *cluster) startState(i int) {
	c.t.Helper()
	s, err := stateserver.Start(c.stateSet[i], stateserver.Options{Dial: c.net.dialer(domainName(i))}, zap.NewNop())
	if err != nil {
		c.t.Fatal(err)
	}
	c.states[i] = s
}

func (c *cluster) startEntries() {
	n := c.layout.domains * c.layout.entriesPerDomain
	ports := freePorts(c.t, 3*n)
	var states []string
	for _, s := range c.stateSet {
		states = append(states, s.Listen)
	}
	for i := range n {
		domain := domainName(i / c.layout.entriesPerDomain)
		set := &entry.Settings{
			ID: fmt.Sprintf("entry-%d", i+1), FailureDomain: domain,
			Listen: ports[3*i], AnnounceListen: ports[3*i+1], WireListen: ports[3*i+2],
			States: states, DispatchPolicy: "bilberry", Seed: uint64(i + 1), LogLevel: "error",
			DrainSeconds: 20, StallSeconds: 1, AcceptPromptTokensHeader: true,
		}
		for j := range n {
			set.Entries = append(set.Entries, ports[3*j+2])
		}
		if c.layout.entry != nil {
			c.layout.entry(set)
		}
		c.net.place(set.WireListen, domain)
		c.entrySet = append(c.entrySet, set)
		c.entries = append(c.entries, nil)
		c.startEntry(i)
	}
}

func (c *cluster) startEntry(i int) {
	c.t.Helper()
	domain := c.entrySet[i].FailureDomain
	s, err := entry.New(c.entrySet[i], entry.Options{Dial: c.net.dialer(domain), BackendDial: c.net.dialer(domain)}, zap.NewNop())
	if err != nil {
		c.t.Fatal(err)
	}
	if err := s.Start(); err != nil {
		c.t.Fatal(err)
	}
	c.entries[i] = s
}

func (c *cluster) startStandins() {
	for d := range c.layout.domains {
		set := &standin.Settings{TimeScale: 0.1, Seed: uint64(d + 1)}
		if c.layout.timeScale > 0 {
			set.TimeScale = c.layout.timeScale
		}
		var announceTo []string
		for i := range c.layout.entriesPerDomain {
			announceTo = append(announceTo, c.entrySet[d*c.layout.entriesPerDomain+i].AnnounceListen)
		}
		model := standin.DefaultModel()
		model.AllowPromptTokensHeader = true
		if c.layout.model != nil {
			c.layout.model(&model)
		}
		for i := range c.layout.enginesPerDomain {
			set.Instances = append(set.Instances, standin.InstanceSettings{
				ID: fmt.Sprintf("engine-%s-%d", domainName(d), i+1), Kind: announce.KindModel, Listen: freePorts(c.t, 1)[0],
				FailureDomain: domainName(d), Service: "assistant", Models: []string{testModel},
				Entries: announceTo, Model: &model, ColdLimitRequests: uint32(c.layout.coldLimit),
			})
		}
		if c.layout.plain {
			set.Instances = append(set.Instances, standin.InstanceSettings{
				ID: "booking-" + domainName(d), Kind: announce.KindPlain, Listen: freePorts(c.t, 1)[0],
				FailureDomain: domainName(d), Service: "bookings", PathPrefix: "/bookings", Entries: announceTo, PlainMS: 2, Model: &model,
			})
		}
		for _, in := range set.Instances {
			c.net.place(in.Listen, domainName(d))
		}
		p := standin.NewProcess(set, zap.NewNop())
		if err := p.Start(""); err != nil {
			c.t.Fatal(err)
		}
		c.standins = append(c.standins, p)
	}
}

func (c *cluster) stop() {
	for _, p := range c.standins {
		p.Stop()
	}
	for _, e := range c.entries {
		if e != nil {
			e.Close()
		}
	}
	for _, s := range c.states {
		if s != nil {
			_ = s.Close()
		}
	}
}

func (c *cluster) manifest() []byte {
	sum := sha256.Sum256([]byte(testKey))
	grant := func(service string) map[string]any {
		return map[string]any{"service": service, "urgencies": []string{"normal", "urgent"}, "rate_per_second": 10000, "concurrent": 10000}
	}
	var domains []any
	for i := range c.layout.domains {
		domains = append(domains, map[string]any{"name": domainName(i), "region": "r1"})
	}
	cold := max(c.layout.coldLimit, 1)
	doc := map[string]any{
		"number": c.number, "failure_domains": domains,
		"urgencies": []any{
			map[string]any{"name": "urgent", "priority": 0, "ttft_target_ms": 500},
			map[string]any{"name": "normal", "priority": 1, "ttft_target_ms": 2000},
		},
		"services": []any{
			map[string]any{
				"name": "assistant", "kind": "model", "models": []string{testModel}, "cold_limit_requests": cold,
				"deadline_ms": 20000, "max_body_bytes": 1 << 20, "prefill_tokens_per_second": 200000, "max_output_tokens": 512,
			},
			map[string]any{
				"name": "bookings", "kind": "plain", "path_prefix": "/bookings", "cold_limit_requests": 4,
				"deadline_ms": 10000, "max_body_bytes": 4096,
			},
		},
		"accounts": []any{map[string]any{
			"name": "fitters", "key_sha256": []string{hex.EncodeToString(sum[:])}, "weight": 1,
			"grants": []any{grant("assistant"), grant("bookings")},
		}},
	}
	data, err := json.Marshal(doc)
	if err != nil {
		c.t.Fatal(err)
	}
	return data
}

func (c *cluster) applyManifest() {
	c.t.Helper()
	c.number++
	content := c.manifest()
	c.propose(&wirepb.Command{
		Id:   fmt.Sprintf("manifest-%d", c.number),
		Body: &wirepb.Command_ApplyManifest{ApplyManifest: &wirepb.ApplyManifest{Number: c.number, Content: content}},
	})
}

// propose repeats the proposal, which its id makes safe, until it is accepted.
func (c *cluster) propose(cmd *wirepb.Command) *wirepb.Result {
	c.t.Helper()
	var result *wirepb.Result
	c.eventually("proposal "+cmd.GetId()+" is accepted", func() bool {
		for _, set := range c.stateSet {
			client := wire.NewClient(set.Listen, wire.Options{Self: wire.Identity{Kind: wire.KindCtl, ID: "test"}})
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			env, err := client.Call(ctx, &wirepb.Envelope{Body: &wirepb.Envelope_Propose{Propose: &wirepb.Propose{Command: cmd}}})
			cancel()
			_ = client.Close()
			if err == nil && env.GetProposeReply().GetResult() != nil {
				result = env.GetProposeReply().GetResult()
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

func (c *cluster) order(kind, target string, out bool, number uint64) {
	c.t.Helper()
	c.propose(&wirepb.Command{
		Id:   fmt.Sprintf("order-%s-%s-%d", kind, target, number),
		Body: &wirepb.Command_Order{Order: &wirepb.Order{Kind: kind, Target: target, Out: out, Number: number}},
	})
}

// eventually polls until cond holds.
func (c *cluster) eventually(what string, cond func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(patience)
	for !cond() {
		if time.Now().After(deadline) {
			for i := range c.entries {
				c.t.Logf("state dump of entry %d:\n%s", i, c.dump(i))
			}
			c.t.Fatalf("not within %v: %s", patience, what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// waitServing waits until each entry process gets answers from each service.
func (c *cluster) waitServing() {
	c.t.Helper()
	for i := range c.entries {
		if c.layout.enginesPerDomain > 0 {
			c.eventually(fmt.Sprintf("entry %d serves models", i), func() bool { return c.ask(i, prompt{}).status == http.StatusOK })
		}
		if c.layout.plain {
			c.eventually(fmt.Sprintf("entry %d serves bookings", i), func() bool {
				return c.send(i, http.MethodGet, "/bookings/x", "", nil).status == http.StatusOK
			})
		}
	}
}

type prompt struct {
	text    string
	tokens  int
	output  int
	stream  bool
	headers map[string]string
	ctx     context.Context
}

type answer struct {
	status int
	header http.Header
	body   string
	code   string
	run    string
	err    error
}

func (c *cluster) ask(i int, p prompt) answer {
	c.t.Helper()
	if p.text == "" {
		p.text = "how wide is the cowl"
	}
	if p.output == 0 {
		p.output = 4
	}
	body, err := json.Marshal(map[string]any{
		"model": testModel, "stream": p.stream, "max_tokens": p.output,
		"messages": []any{map[string]any{"role": "user", "content": p.text}},
	})
	if err != nil {
		c.t.Fatal(err)
	}
	h := map[string]string{}
	for k, v := range p.headers {
		h[k] = v
	}
	if p.tokens > 0 {
		h["X-Prompt-Tokens"] = fmt.Sprint(p.tokens)
	}
	ctx := p.ctx
	if ctx == nil {
		ctx = context.Background()
	}
	return c.sendCtx(ctx, i, http.MethodPost, "/v1/chat/completions", string(body), h)
}

func (c *cluster) send(i int, method, path, body string, headers map[string]string) answer {
	c.t.Helper()
	return c.sendCtx(context.Background(), i, method, path, body, headers)
}

func (c *cluster) sendCtx(ctx context.Context, i int, method, path, body string, headers map[string]string) answer {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.entrySet[i].Listen+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return answer{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	for k, v := range headers {
		req.Header.Set(k, v)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	a := answer{status: resp.StatusCode, header: resp.Header, body: string(data), err: err}
	a.readError()
	return a
}

// readError finds the error document in the body or in an error event.
func (a *answer) readError() {
	text := a.body
	if at := strings.Index(text, "event: error\ndata: "); at >= 0 {
		text = text[at+len("event: error\ndata: "):]
	} else if a.status < 300 {
		return
	}
	var doc struct {
		Error struct{ Code, Run string } `json:"error"`
	}
	if json.NewDecoder(strings.NewReader(text)).Decode(&doc) == nil {
		a.code, a.run = doc.Error.Code, doc.Error.Run
	}
}

func (a answer) complete() bool {
	return a.err == nil && a.status == http.StatusOK && a.code == "" && strings.Contains(a.body, "data: [DONE]")
}

func (c *cluster) engine(d, i int) *standin.Instance {
	return c.standins[d].Instance(fmt.Sprintf("engine-%s-%d", domainName(d), i+1))
}

func (c *cluster) booking(d int) *standin.Instance {
	return c.standins[d].Instance("booking-" + domainName(d))
}

// engines returns all engines.
func (c *cluster) engines() []*standin.Instance {
	var out []*standin.Instance
	for d := range c.layout.domains {
		for i := range c.layout.enginesPerDomain {
			out = append(out, c.engine(d, i))
		}
	}
	return out
}

func (c *cluster) setFaults(in *standin.Instance, change func(*standin.Faults)) {
	c.t.Helper()
	if _, err := in.SetFaults(func(f *standin.Faults) error { change(f); return nil }); err != nil {
		c.t.Fatal(err)
	}
}

// network places addresses in failure domains and cuts domains off.
type network struct {
	mu     sync.Mutex
	domain map[string]string
	cut    map[string]bool
	conns  map[*cutConn]bool
}

func newNetwork() *network {
	return &network{domain: map[string]string{}, cut: map[string]bool{}, conns: map[*cutConn]bool{}}
}

func (n *network) place(address, domain string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.domain[address] = domain
}

// isolate cuts a failure domain off from all others, or heals the cut.
func (n *network) isolate(domain string, cut bool) {
	n.mu.Lock()
	n.cut[domain] = cut
	var broken []*cutConn
	for conn := range n.conns {
		if !n.reachable(conn.from, conn.to) {
			broken = append(broken, conn)
		}
	}
	n.mu.Unlock()
	for _, conn := range broken {
		_ = conn.Close()
	}
}

func (n *network) reachable(from, to string) bool {
	return from == to || (!n.cut[from] && !n.cut[to])
}

type cutConn struct {
	net.Conn
	net      *network
	from, to string
}

func (c *cutConn) Close() error {
	c.net.mu.Lock()
	delete(c.net.conns, c)
	c.net.mu.Unlock()
	return c.Conn.Close()
}

// dialer returns a dialler for processes of a failure domain. Across a cut it
// gets no answer.
func (n *network) dialer(from string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		n.mu.Lock()
		to := n.domain[address]
		ok := n.reachable(from, to)
		n.mu.Unlock()
		if !ok {
			ctx, cancel := context.WithTimeout(ctx, time.Second)
			defer cancel()
			<-ctx.Done()
			return nil, ctx.Err()
		}
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		c := &cutConn{Conn: conn, net: n, from: from, to: to}
		n.mu.Lock()
		n.conns[c] = true
		n.mu.Unlock()
		return c, nil
	}
}

// dump returns the state dump of an entry process.
func (c *cluster) dump(i int) string {
	client := wire.NewClient(c.entrySet[i].WireListen, wire.Options{Self: wire.Identity{Kind: wire.KindCtl, ID: "test"}})
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	env, err := client.Call(ctx, &wirepb.Envelope{Body: &wirepb.Envelope_Dump{Dump: &wirepb.Dump{}}})
	if err != nil {
		return err.Error()
	}
	return string(env.GetDumpReply().GetDocument())
}

// poolDump is what the tests read of a pool in a state dump.
type poolDump struct {
	Backends []struct {
		LeaseMS  int64  `json:"lease_left_ms"`
		Reserved uint64 `json:"reserved_tokens"`
	} `json:"backends"`
}

// pools returns the pools that an entry process dispatches.
func (c *cluster) pools(i int) []poolDump {
	var doc struct {
		Pools struct {
			Pools []poolDump `json:"pools"`
		} `json:"pools"`
	}
	if err := json.Unmarshal([]byte(c.dump(i)), &doc); err != nil {
		return nil
	}
	return doc.Pools.Pools
}

// dispatcher returns the entry process that owns the first engine.
func (c *cluster) dispatcher() int {
	c.t.Helper()
	found := -1
	c.eventually("one entry process dispatches", func() bool {
		for i, e := range c.entries {
			if e == nil {
				continue
			}
			for _, p := range c.pools(i) {
				if len(p.Backends) > 0 && p.Backends[0].LeaseMS > 0 {
					found = i
					return true
				}
			}
		}
		return false
	})
	return found
}
