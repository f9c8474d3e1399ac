package loadtool

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"bilberryhub/internal/openai"
	"bilberryhub/internal/standin"

	"go.uber.org/goleak"
	"go.uber.org/zap"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startEngine starts a simulated engine that runs at a hundred times real speed.
func startEngine(t *testing.T) *standin.Instance {
	t.Helper()
	s, err := standin.ParseSettings([]byte(`{"instances": [{"id": "e", "kind": "model", "listen": "127.0.0.1:0",
		"failure_domain": "d", "service": "s", "models": ["m"], "model": {"max_batch": 512}}]}`))
	if err != nil {
		t.Fatal(err)
	}
	engine := standin.NewInstance(s.Instances[0], 0.01, 1, zap.NewNop())
	if err := engine.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(engine.Stop)
	return engine
}

// Guards against incorrect or late responses that the load tool counts as successful.
func TestOutcomes(t *testing.T) {
	engine := startEngine(t)
	c := NewClient(NewBalancer([]string{engine.Address()}, 1))
	defer c.Close()
	for _, test := range []struct {
		name   string
		faults standin.Faults
		call   Call
		want   string
	}{
		{"complete", standin.Faults{}, Call{}, "ok"},
		{"complete, not streamed", standin.Faults{}, Call{Stream: false}, "ok"},
		{"truncated", standin.Faults{TruncateNext: 1}, Call{Stream: true}, "failed: stream_broken, run unknown"},
		{"repeated event", standin.Faults{DuplicateNext: 1}, Call{Stream: true}, "wrong: checksum"},
		{"answer of another request", standin.Faults{CrossIDNext: 1}, Call{Stream: true}, "wrong: checksum"},
		{"dropped connection", standin.Faults{DropNext: 1}, Call{Stream: true}, "failed: no answer, run unknown"},
		{"too large", standin.Faults{}, Call{MaxTokens: 1 << 30}, "failed: prompt_too_large, run unknown"},
		{"late", standin.Faults{}, Call{Stream: true, Deadline: 1}, "late"},
	} {
		t.Run(test.name, func(t *testing.T) {
			if _, err := engine.SetFaults(func(f *standin.Faults) error { *f = test.faults; return nil }); err != nil {
				t.Fatal(err)
			}
			call := test.call
			call.Model, call.Prompt, call.Chat = "m", "question "+test.name, true
			if call.MaxTokens == 0 {
				call.MaxTokens = 4
			}
			r := c.Do(context.Background(), &call)
			got := string(r.Outcome)
			if r.Outcome != OK {
				got = r.Cause()
			}
			if got != test.want {
				t.Fatalf("got %q (%s), want %q", got, r.Error, test.want)
			}
		})
	}
}

// Guards against error responses and error events whose code and run do not reach the
// result.
func TestRefusals(t *testing.T) {
	doc := `{"error":{"code":"no_capacity","message":"m","run":"no"}}`
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var body openai.Request
		_ = json.NewDecoder(r.Body).Decode(&body)
		if body.Stream {
			fmt.Fprint(w, "event: error\ndata: {\"error\":{\"code\":\"answer_truncated\",\"run\":\"unknown\"}}\n\n")
			return
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		fmt.Fprint(w, doc)
	}))
	defer s.Close()
	c := NewClient(NewBalancer([]string{strings.TrimPrefix(s.URL, "http://")}, 1))
	defer c.Close()
	for stream, want := range map[bool]string{
		false: "refused: no_capacity, run no", true: "failed: answer_truncated, run unknown",
	} {
		if got := c.Do(context.Background(), &Call{Stream: stream}).Cause(); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
}

// Guards against requests that fail although another entry process is reachable.
func TestBalancerSkipsUnreachableEntries(t *testing.T) {
	closed := httptest.NewServer(nil)
	unreachable := strings.TrimPrefix(closed.URL, "http://")
	closed.Close()
	c := NewClient(NewBalancer([]string{unreachable, startEngine(t).Address()}, 1))
	defer c.Close()
	for i := range 6 {
		call := &Call{Model: "m", Prompt: fmt.Sprint(i), MaxTokens: 2, Stream: true}
		if r := c.Do(context.Background(), call); r.Outcome != OK {
			t.Fatalf("request %d: %s: %s", i, r.Outcome, r.Error)
		}
	}
}

// runTool runs the tool with the settings in doc, in which ENTRY stands for address,
// and returns the report and the printed table.
func runTool(t *testing.T, address, doc string) (*Report, string) {
	t.Helper()
	s, err := ParseSettings([]byte(strings.ReplaceAll(doc, "ENTRY", address)))
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	rep, err := New(s).Run(context.Background(), &out)
	// ErrSentLate is ignored: it occurs on a busy machine, and the tests do not
	// check times.
	if err != nil && !errors.Is(err, ErrSentLate) {
		t.Fatalf("%v\n%s", err, out.String())
	}
	return rep, out.String()
}

// Guards against modes that lose requests or don't write their files.
func TestModes(t *testing.T) {
	t.Cleanup(http.DefaultClient.CloseIdleConnections)
	engine := startEngine(t)
	file := filepath.Join(t.TempDir(), "report")
	rep, table := runTool(t, engine.Address(), fmt.Sprintf(`{"mode": "once", "entries": ["ENTRY"], "model": "m",
		"requests": 20, "concurrency": 4, "json": %q, "plot": %q}`, file+".json", file+".png"))
	if rep.Outcomes["ok"] != 20 || !strings.Contains(table, "ok 20") {
		t.Errorf("once: %s", table)
	}
	for _, suffix := range []string{".json", ".png"} {
		if info, err := os.Stat(file + suffix); err != nil || info.Size() == 0 {
			t.Errorf("file %s: %v", suffix, err)
		}
	}
	rep, table = runTool(t, engine.Address(), `{"mode": "workload", "entries": ["ENTRY"], "model": "m", "time_scale": 0.01,
		"workload": {"duration_seconds": 20, "requests_per_second": 1, "no_long": true, "deadline_seconds": 100000},
		"actions": [{"name": "look", "at_seconds": 1, "method": "GET", "urls": ["http://ENTRY/health"]}]}`)
	if rep.Requests == 0 || rep.Outcomes["ok"] != rep.Requests || len(rep.Events) != 1 {
		t.Errorf("workload: %v\n%s", rep.Events, table)
	}
	rep, table = runTool(t, engine.Address(), `{"mode": "path", "entries": ["ENTRY"], "model": "m",
		"path": {"direct": ["ENTRY"], "open_streams": [1, 8], "probes": 5, "warmup_requests": 1, "metrics": ["http://ENTRY/metrics"]}}`)
	if len(rep.Path) != 2 || rep.Path[1].FailedProbes != 0 || rep.Path[1].TokensPerSecond == 0 {
		t.Errorf("path: %s", table)
	}
}

// Guards against percentiles that are less precise than Recorder documents.
func TestRecorder(t *testing.T) {
	r := NewRecorder()
	for i := 1; i <= 1000; i++ {
		r.Add(time.Duration(i) * time.Millisecond)
	}
	got := r.Times()
	if got.P50 < 499 || got.P50 > 501 || got.P99 < 989 || got.P99 > 991 || got.Count != 1000 {
		t.Fatalf("%+v", got)
	}
}

// Guards against invalid settings that are accepted.
func TestSettings(t *testing.T) {
	for _, doc := range []string{
		`{"mode": "once", "model": "m"}`,
		`{"mode": "other", "model": "m", "entries": ["a"]}`,
		`{"mode": "path", "model": "m", "entries": ["a"]}`,
		`{"mode": "once", "model": "m", "entries": ["a"], "requets": 3}`,
	} {
		if _, err := ParseSettings([]byte(doc)); err == nil {
			t.Errorf("accepted: %s", doc)
		}
	}
}
