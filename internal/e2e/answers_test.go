package e2e

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"bilberryhub/internal/standin"
)

// Guards against answers that are truncated, crossed or doubled and reach the
// caller as whole answers, and against refusals that say "not run" after
// something was sent (promises 5 and 6).
func TestAnswerFaults(t *testing.T) {
	c := newCluster(t, layout{domains: 1, entriesPerDomain: 1, enginesPerDomain: 1, coldLimit: 8})
	engine := c.engine(0, 0)
	for _, tc := range []struct {
		name     string
		fault    func(*standin.Faults)
		complete bool
		code     string
		run      string
	}{
		{"none", func(*standin.Faults) {}, true, "", ""},
		{"answer under another id", func(f *standin.Faults) { f.WrongIDNext = 1 }, false, "answer_mismatch", "unknown"},
		{"answer to the request before", func(f *standin.Faults) { f.CrossIDNext = 1 }, false, "answer_mismatch", "unknown"},
		{"stream without its end", func(f *standin.Faults) { f.TruncateNext = 1 }, false, "answer_truncated", "unknown"},
		{"doubled event", func(f *standin.Faults) { f.DuplicateNext = 1 }, true, "", ""},
		{"silent in the middle", func(f *standin.Faults) { f.HangNext, f.HangAfterTokens = 1, 2 }, false, "backend_failed", "unknown"},
		{"connection dropped once", func(f *standin.Faults) { f.DropNext = 1 }, true, "", ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c.setFaults(engine, func(f *standin.Faults) { *f = standin.Faults{}; tc.fault(f) })
			got := c.ask(0, prompt{text: "fault " + tc.name, stream: true, output: 8})
			if got.complete() != tc.complete || got.code != tc.code || got.run != tc.run {
				t.Errorf("complete %v, code %q, run %q; want %v, %q, %q\n%s",
					got.complete(), got.code, got.run, tc.complete, tc.code, tc.run, got.body)
			}
			if strings.Contains(got.body, "wrong-") {
				t.Errorf("bytes of a foreign answer were forwarded:\n%s", got.body)
			}
			if n := strings.Count(got.body, "\nid: 0\n") + strings.Count(got.body, "id: 0\n"); tc.complete && n > 2 {
				t.Errorf("an event arrived twice:\n%s", got.body)
			}
		})
	}
	c.eventually("the engine holds no memory", func() bool { return engine.Stats().ReservedTokens == 0 })
}

// Guards against an answer without streaming that breaks off and reaches the
// caller as a whole one (promise 5).
func TestTruncatedWholeAnswer(t *testing.T) {
	c := newCluster(t, layout{domains: 1, entriesPerDomain: 1, enginesPerDomain: 1, coldLimit: 8})
	c.setFaults(c.engine(0, 0), func(f *standin.Faults) { f.TruncateNext = 1 })
	got := c.ask(0, prompt{text: "not streamed", output: 8})
	if got.status != http.StatusOK || !strings.Contains(got.body, "sum:") {
		t.Errorf("one answer broke off: status %d, code %q: %s", got.status, got.code, got.body)
	}
	c.setFaults(c.engine(0, 0), func(f *standin.Faults) { f.TruncateNext = -1 })
	got = c.ask(0, prompt{text: "not streamed", output: 8})
	if got.code != "backend_failed" || got.run != "unknown" {
		t.Errorf("status %d, code %q, run %q: %s", got.status, got.code, got.run, got.body)
	}
}

// Guards against a request that its engine runs on, uncounted, after an answer
// under another id: the slot of a cold engine was given away, and the mismatch
// counted as a good response (promises 2 and 3).
func TestMismatchIsNoCompletion(t *testing.T) {
	c := newCluster(t, layout{
		domains: 1, entriesPerDomain: 1, enginesPerDomain: 1, coldLimit: 1, timeScale: 1,
		model: func(m *standin.ModelSettings) { m.ColdRequests = 1_000_000 },
	})
	engine := c.engine(0, 0)
	c.setFaults(engine, func(f *standin.Faults) { f.WrongIDNext = 1 })
	// 500 tokens take 10 s, and the engine keeps a broken stream for 5 s.
	got := c.ask(0, prompt{text: "mismatch", stream: true, output: 500})
	if got.code != "answer_mismatch" {
		t.Fatalf("status %d, code %q: %s", got.status, got.code, got.body)
	}
	if got := c.ask(0, prompt{text: "next", stream: true}); !got.complete() {
		t.Errorf("the next request: status %d, code %q: %s", got.status, got.code, got.body)
	}
	stats := engine.Stats()
	if stats.MaxConcurrentCold > 1 {
		t.Errorf("a cold engine with a limit of one held %d requests", stats.MaxConcurrentCold)
	}
	if stats.Cancelled != 1 || stats.ReservedTokens != 0 {
		t.Errorf("the mismatched request was not cancelled: %d cancelled, %d tokens reserved", stats.Cancelled, stats.ReservedTokens)
	}
}

// Guards against engine memory that is lost when the caller leaves, when the
// deadline passes and when the engine is silent (promises 1 and 2).
func TestMemoryIsGivenBack(t *testing.T) {
	c := newCluster(t, layout{domains: 1, entriesPerDomain: 2, enginesPerDomain: 2, coldLimit: 8, timeScale: 1})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Go(func() {
			got := c.ask(i%2, prompt{text: fmt.Sprint("leaves ", i), stream: true, output: 500, ctx: ctx})
			if ctx.Err() == nil {
				t.Errorf("the stream ended early: status %d, code %q: %s", got.status, got.code, got.body)
			}
		})
	}
	c.eventually("streams are open", func() bool { return c.running() >= 4 })
	ended := c.cancelled()
	cancel()
	wg.Wait()
	c.eventually("the engines have cancelled the streams", func() bool { return c.cancelled()-ended >= 4 })
	c.eventually("memory is given back after the callers left", func() bool { return c.reserved() == 0 })

	for _, e := range c.engines() {
		c.setFaults(e, func(f *standin.Faults) { f.HangNext, f.HangAfterTokens = -1, 1 })
	}
	start := time.Now()
	got := c.ask(0, prompt{text: "silent", stream: true, output: 50, headers: map[string]string{"X-Deadline-Ms": "700"}})
	if got.code != "deadline_exceeded" || got.run != "unknown" {
		t.Errorf("code %q, run %q: %s", got.code, got.run, got.body)
	}
	if took := time.Since(start); took > 700*time.Millisecond+patience/2 {
		t.Errorf("a request with a deadline of 700 ms took %v", took)
	}
	c.eventually("memory is given back after the deadline", func() bool { return c.reserved() == 0 })
}

// cancelled counts the requests that engines gave up before their end.
func (c *cluster) cancelled() uint64 {
	sum := uint64(0)
	for _, e := range c.engines() {
		sum += e.Stats().Cancelled
	}
	return sum
}

// reserved returns the memory that all engines hold.
func (c *cluster) reserved() uint64 {
	sum := uint64(0)
	for _, e := range c.engines() {
		sum += e.Stats().ReservedTokens
	}
	return sum
}

func (c *cluster) running() int {
	sum := 0
	for _, e := range c.engines() {
		sum += e.Stats().Running
	}
	return sum
}

// Guards against bad input that is not refused with its stable code.
func TestBadInput(t *testing.T) {
	c := newCluster(t, layout{domains: 1, entriesPerDomain: 1, enginesPerDomain: 1, plain: true, coldLimit: 8})
	datadriven.RunTest(t, "testdata/bad_input", func(t *testing.T, d *datadriven.TestData) string {
		var method, path string
		d.ScanArgs(t, "method", &method)
		d.ScanArgs(t, "path", &path)
		headers := map[string]string{}
		for _, arg := range d.CmdArgs {
			if arg.Key != "method" && arg.Key != "path" && arg.Key != "repeat" {
				headers[arg.Key] = strings.Join(arg.Vals, ",")
			}
		}
		body := d.Input
		if d.HasArg("repeat") {
			var n int
			d.ScanArgs(t, "repeat", &n)
			body = strings.Repeat(body, n)
		}
		got := c.send(0, method, path, body, headers)
		if got.err != nil {
			return got.err.Error() + "\n"
		}
		if got.header.Get("X-Request-Id") == "" {
			return "no request id\n"
		}
		return fmt.Sprintf("%d %s run=%s\n", got.status, got.code, got.run)
	})
}

// Guards against a stop that cuts requests (promise 9).
func TestDrainCutsNoRequest(t *testing.T) {
	c := newCluster(t, layout{domains: 1, entriesPerDomain: 2, enginesPerDomain: 2, coldLimit: 8, timeScale: 0.4})
	const streams = 4
	answers := make(chan answer, streams)
	for i := range streams {
		go func() { answers <- c.ask(i%2, prompt{text: fmt.Sprint("drain ", i), stream: true, output: 300}) }()
	}
	c.eventually("streams are open", func() bool { return c.running() == streams })
	stopped := make(chan error, 1)
	go func() { stopped <- c.entries[0].Drain() }()
	for range streams {
		if got := <-answers; !got.complete() {
			t.Errorf("a stream was cut: status %d, code %q, error %v", got.status, got.code, got.err)
		}
	}
	if err := <-stopped; err != nil {
		t.Errorf("drain: %v", err)
	}
	if got := c.ask(0, prompt{}); got.status != http.StatusServiceUnavailable || got.code != "draining" || got.run != "no" {
		t.Errorf("a draining process answered %d %q run=%q", got.status, got.code, got.run)
	}
	c.entries[0].Close()
	c.entries[0] = nil
	c.eventually("the other process serves alone", func() bool { return c.ask(1, prompt{}).status == http.StatusOK })
}
