package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"bilberryhub/internal/loadtool"
	"bilberryhub/internal/standin"

	"go.uber.org/goleak"
	"go.uber.org/zap"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// forwarder is a reverse proxy in place of an entry process: it forwards to engines
// round robin and returns its address.
func forwarder(t *testing.T, engines ...string) string {
	var next atomic.Uint64
	transport := &http.Transport{}
	proxy := &httputil.ReverseProxy{Transport: transport, FlushInterval: -1, Rewrite: func(r *httputil.ProxyRequest) {
		n := next.Add(1)
		r.SetURL(&url.URL{Scheme: "http", Host: engines[n%uint64(len(engines))]})
		r.Out.Header.Set("X-Request-Id", fmt.Sprint("r", n))
	}}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Otherwise the server closes the body of the request when the response begins. A
		// transport that still waits for the end of the body then breaks the exchange off.
		if err := http.NewResponseController(w).EnableFullDuplex(); err != nil {
			t.Error(err)
		}
		proxy.ServeHTTP(w, r)
	}))
	t.Cleanup(func() { s.Close(); transport.CloseIdleConnections() })
	return strings.TrimPrefix(s.URL, "http://")
}

// startEngines starts a stand-in process with n engines, and returns their
// addresses and the address of the admin interface.
func startEngines(t *testing.T, n int) (addresses []string, admin string) {
	var list []string
	for i := range n {
		list = append(list, fmt.Sprintf(`{"id": "e%d", "kind": "model", "listen": "127.0.0.1:0",
			"failure_domain": "d", "service": "s", "models": ["m"]}`, i))
	}
	s, err := standin.ParseSettings([]byte(fmt.Sprintf(`{"time_scale": 0.01,
		"model": {"memory_tokens": 1100000}, "instances": [%s]}`, strings.Join(list, ","))))
	if err != nil {
		t.Fatal(err)
	}
	p := standin.NewProcess(s, zap.NewNop())
	if err := p.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Stop)
	for i := range n {
		addresses = append(addresses, p.Instance(fmt.Sprintf("e%d", i)).Address())
	}
	return addresses, p.AdminAddress()
}

// Guards against incompatibility between the parts of the experiment: the reports of
// the load tool, the counters and faults of stand-ins, and the comparison.
func TestExperimentEndToEnd(t *testing.T) {
	t.Cleanup(http.DefaultClient.CloseIdleConnections)
	engines, admin := startEngines(t, 3)
	entry := forwarder(t, engines...)
	dir := t.TempDir()
	for i, run := range []string{RunNoLong, RunMain, RunDomain} {
		// The domain run crashes one engine.
		actions := "[]"
		if run == RunDomain {
			actions = fmt.Sprintf(`[{"name": "leave", "at_seconds": 20, "urls": ["http://%s/admin/instances/e0/faults"], "body": {"crash": true}}]`, admin)
		}
		doc := fmt.Sprintf(`{"mode": "workload", "entries": [%q], "model": "m", "time_scale": 0.01, "json": %q, "keep_results": true,
			"stats": ["http://%s/admin/stats"], "actions": %s,
			"workload": {"duration_seconds": 60, "requests_per_second": 1, "salt": %d, "no_long": %v, "deadline_seconds": 100000, "burst_requests": 3}}`,
			entry, filepath.Join(dir, "fake-"+run+".json"), admin, actions, i, run == RunNoLong)
		s, err := loadtool.ParseSettings([]byte(doc))
		if err != nil {
			t.Fatal(err)
		}
		var out bytes.Buffer
		// ErrSentLate is ignored: it occurs on a busy machine, and the test does
		// not check times.
		if _, err := loadtool.New(s).Run(context.Background(), &out); err != nil && !errors.Is(err, loadtool.ErrSentLate) {
			t.Fatalf("%v\n%s", err, out.String())
		}
	}
	s := &Settings{Mode: ModeCompare, CompareSettings: CompareSettings{
		Dir: dir, Policies: []string{"fake"}, LeaveSeconds: 20, ReturnSeconds: 40,
	}}
	var out bytes.Buffer
	if err := Run(s, &out); err != nil {
		t.Fatal(err)
	}
	doc, err := os.ReadFile(filepath.Join(dir, "compare.json"))
	if err != nil {
		t.Fatal(err)
	}
	var c Comparison
	if err := json.Unmarshal(doc, &c); err != nil {
		t.Fatal(err)
	}
	p := c.Policies[0]
	if p.EnginesLost != 1 || p.Outcomes["ok"] != p.Requests || p.SlowdownP95 == 0 || len(p.Timeline) < 5 {
		t.Fatalf("comparison: %s\n%s", doc, out.String())
	}
}

// result returns a successful result.
func result(account, prompt int, start, ttft time.Duration, burst bool) *loadtool.Result {
	return &loadtool.Result{Account: account, Prompt: prompt, Start: start, TTFT: ttft, Burst: burst, Outcome: loadtool.OK}
}

// Guards against a fairness index or burst ratio that does not distinguish fair from
// unfair policies.
func TestFairness(t *testing.T) {
	const s = time.Second
	equal := []*loadtool.Result{result(0, 1000, 0, s, false), result(1, 1000, 0, s, false)}
	if f := fairnessIndex(equal); f < 0.999 {
		t.Errorf("equal accounts: %v", f)
	}
	unequal := []*loadtool.Result{result(0, 1000, 0, s, false), result(1, 1000, 0, 99*s, false)}
	// (1+99)²/(2·(1+99²)) = 0.510
	if f := fairnessIndex(unequal); f < 0.5 || f > 0.52 {
		t.Errorf("unequal accounts: %v", f)
	}
	burst := []*loadtool.Result{
		result(1, 1000, 0, s, false), result(0, 1000, 20*s, s, true),
		result(1, 1000, 21*s, 3*s, false), result(0, 1000, 21*s, 50*s, false), result(1, 1000, 60*s, s, false),
	}
	if r := burstRatio(burst); r < 2.9 || r > 3.1 {
		t.Errorf("burst ratio %v, want 3", r)
	}
}
