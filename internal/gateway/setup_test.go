package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"bilberryhub/internal/bootclock"
	"bilberryhub/internal/config"
	"bilberryhub/internal/configsync"
	"bilberryhub/internal/fleet"
	"bilberryhub/internal/manifest"
	"bilberryhub/internal/wirepb"
)

// testDialect is a minimal dialect with header names of its own.
type testDialect struct{}

func (testDialect) DecodeCaller(r *http.Request) (CallerRequest, error) {
	c := CallerRequest{ID: r.Header.Get("X-Id"), Key: r.Header.Get("X-Key"), LastEvent: r.Header.Get("Last-Event-Id")}
	n, err := strconv.Atoi(r.Header.Get("X-Wait-Ms"))
	c.WaitFor = milliseconds(int64(n))
	c.PromptTokens, _ = strconv.ParseInt(r.Header.Get("X-Prompt"), 10, 64)
	if parts := r.Header.Get("X-Parts"); parts != "" {
		c.PromptParts = strings.Split(parts, ",")
	}
	return c, err
}

func (testDialect) EncodeDispatch(_ *http.Request, c CallerRequest, d Dispatch) http.Header {
	h := http.Header{
		"X-Id": {c.ID}, "X-Server": {d.BackendServer}, "X-Account": {d.Account},
		"X-Allowed-Ms": {strconv.FormatInt(d.WaitFor.Milliseconds(), 10)},
	}
	if d.LastEvent != "" {
		h.Set("Last-Event-Id", d.LastEvent)
	}
	h["X-Part"] = c.PromptParts
	for _, helper := range d.Helpers {
		h.Add("X-Helper", helper.Address+"/"+helper.ReservationID)
	}
	return h
}

func (testDialect) IsResponseTo(h http.Header, id string) bool { return h.Get("X-Id") == id }

func (testDialect) DecodeResponse(_ int, h http.Header) ResponseInfo {
	limit, err := strconv.ParseFloat(h.Get("X-Limit"), 64)
	pause, _ := strconv.Atoi(h.Get("X-Pause"))
	return ResponseInfo{
		NotRun: h.Get("X-Not-Run") != "", RequestLimit: limit, HasRequestLimit: err == nil,
		Leaving: h.Get("X-Leaving") != "", Pause: time.Duration(pause) * time.Second,
	}
}

func (testDialect) ResponseHeader(h http.Header) http.Header { return h.Clone() }
func (testDialect) EncodeRefusal(http.Header, string)        {}
func (testDialect) ReservationHeader(string) http.Header     { return http.Header{} }
func (testDialect) ReleaseCall(id string) (string, []byte)   { return "/release/" + id, nil }
func (testDialect) ReserveCall(id string, _ int64, _ time.Duration) (string, []byte) {
	return "/reserve/" + id, nil
}
func (testDialect) ReadyPath() string { return "/ready" }

// testConfig is a configuration that tests can change.
type testConfig struct {
	mu      sync.Mutex
	version *config.Version
	age     time.Duration
}

func (c *testConfig) Current() *config.Version {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version
}

func (c *testConfig) Age(time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.age
}

func (c *testConfig) Run(context.Context)       {}
func (c *testConfig) Status() configsync.Status { return configsync.Status{} }

func (c *testConfig) set(version *config.Version, age time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version, c.age = version, age
}

const testKey = "key-1"

var testSpec = &manifest.Engine{
	Slots: 4, CapacityTokens: 100_000, StepMs: 1, PrefillTokensPerSecond: 1_000_000, ChunkTokens: 2048, Stride: 10,
}

// testVersion returns a configuration with one route of each kind. out lists
// the failure domains that are out of service.
func testVersion(t testing.TB, index uint64, out ...string) *config.Version {
	t.Helper()
	route := func(name string, repeat manifest.Repeat, service string) manifest.Route {
		return manifest.Route{
			Name: name, Host: "h.example", PathPrefix: "/" + name + "/", Repeat: repeat, TimeoutMs: 5000, ObjectiveMs: 300,
			GapObjectiveMs: 250, MaxAttempts: 2, Resumable: name == "stream", Targets: []manifest.Target{{Service: service, Weight: 1}},
		}
	}
	doc, err := json.Marshal(map[string]any{"number": 1, "routing": manifest.Routing{
		Routes: []manifest.Route{
			route("safe", manifest.RepeatSafe, "plain"), route("once", manifest.RepeatOnce, "plain"),
			route("stream", manifest.RepeatStream, "model"), route("rigid", manifest.RepeatStream, "model"),
		},
		Services: []manifest.RoutedService{{Name: "plain"}, {Name: "model", Engine: testSpec}},
		Accounts: []manifest.RoutingAccount{{Name: "account-1", KeySHA256: []string{manifest.KeyDigest(testKey)}}},
	}})
	if err != nil {
		t.Fatal(err)
	}
	s := &wirepb.ConfigSnapshot{Index: index, ManifestNumber: 1, Manifest: doc}
	for _, d := range out {
		s.Orders = append(s.Orders, &wirepb.Order{Kind: config.TargetFailureDomain, Target: d, Out: true, Number: index})
	}
	s.Digest = config.Digest(s)
	v, err := config.FromSnapshot(s)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// setup is a gateway with backend servers in the test process.
type setup struct {
	t      *testing.T
	g      *Gateway
	config *testConfig
	front  *httptest.Server
	// transport is that of callers. Each setup has its own: httptest.Server.Close closes the idle
	// connections of http.DefaultTransport, which requests of other tests may be about to use.
	transport *http.Transport
}

func newSetup(t *testing.T) *setup {
	t.Helper()
	s := Settings{
		ID: "gateway-1", FailureDomain: "a", RevokeMs: 5000, GraceSeconds: 8, RetryRatio: 1, RetrySlack: 100,
		RetryWindowSeconds: 10, AnnounceMs: 1000,
	}
	g := New(s, testDialect{}, zap.NewNop())
	// Most of these gateways have no socket for load shares.
	send := g.sendDatagram
	g.sendDatagram = func(data []byte, to netip.AddrPort) error {
		if g.udp == nil {
			return nil
		}
		return send(data, to)
	}
	c := &testConfig{version: testVersion(t, 1)}
	g.sync = c
	// Requests to a process that has just started would wait for the
	// configuration that some tests leave out.
	g.started = bootclock.Now() - time.Minute
	front := httptest.NewUnstartedServer(g)
	front.Config.ConnContext = withConn
	front.Start()
	t.Cleanup(func() {
		front.Close()
		g.cancel()
	})
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	return &setup{t: t, g: g, config: c, front: front, transport: transport}
}

// add starts a backend server with a handler and announces it.
func (s *setup) add(id, service, domain string, h http.HandlerFunc) *fleet.BackendServer {
	s.t.Helper()
	server := httptest.NewServer(h)
	s.t.Cleanup(server.Close)
	return s.announce(id, service, domain, strings.TrimPrefix(server.URL, "http://"))
}

func (s *setup) announce(id, service, domain, address string) *fleet.BackendServer {
	s.g.members.mu.Lock()
	defer s.g.members.mu.Unlock()
	s.g.members.sorted = nil
	s.g.members.table.Merge(fleet.BackendServer{
		ID: id, Service: service, Address: address, FailureDomain: domain, Slots: 4, BornMs: 1, Sequence: 1, SeenAt: bootclock.Now(),
	})
	return s.g.members.table.Get(id)
}

// call sends a request; headers are pairs of name and value.
func (s *setup) call(path string, headers ...string) (*http.Response, string, error) {
	s.t.Helper()
	r, err := http.NewRequest(http.MethodPost, s.front.URL+path, strings.NewReader("body"))
	if err != nil {
		s.t.Fatal(err)
	}
	r.Host = "h.example"
	r.Header.Set("X-Id", fmt.Sprintf("id-%p", r))
	r.Header.Set("X-Key", testKey)
	r.Header.Set("X-Wait-Ms", "3000")
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	resp, err := s.transport.RoundTrip(r)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

// status sends a request and checks the status of its response.
func (s *setup) status(want int, path string, headers ...string) string {
	s.t.Helper()
	resp, body, err := s.call(path, headers...)
	if err != nil {
		s.t.Fatalf("%s: %v", path, err)
	}
	if resp.StatusCode != want {
		s.t.Fatalf("%s: status %d with %q, expected %d", path, resp.StatusCode, body, want)
	}
	return body
}

func echo(w http.ResponseWriter, r *http.Request) { w.Header().Set("X-Id", r.Header.Get("X-Id")) }

// drop closes the connection without a response.
func drop(w http.ResponseWriter, _ *http.Request) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = c.Close()
	}
}
