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

	"bilberryhub/internal/entry"
	"bilberryhub/internal/standin"
)

// TestResponseFaults guards against truncated, swapped or duplicated responses of
// an engine that reach the caller as complete ones, and against refusals that
// report "not run" after the request was sent to the engine (promises 5 and 6).
func TestResponseFaults(t *testing.T) {
	c := newCluster(t, layout{domains: 1, entriesPerDomain: 1, enginesPerDomain: 1, coldLimit: 8})
	engine := c.engine(0, 0)
	for _, tc := range []struct {
		name       string
		fault      func(*standin.Faults)
		isComplete bool
		code       string
		run        string
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
			got := c.sendPrompt(0, prompt{text: "fault " + tc.name, stream: true, output: 8})
			if got.isComplete() != tc.isComplete || got.code != tc.code || got.run != tc.run {
				t.Errorf("complete %v, code %q, run %q; want %v, %q, %q\n%s",
					got.isComplete(), got.code, got.run, tc.isComplete, tc.code, tc.run, got.body)
			}
			if strings.Contains(got.body, "wrong-") {
				t.Errorf("part of the response to another request was forwarded:\n%s", got.body)
			}
			if n := strings.Count(got.body, "\nid: 0\n") + strings.Count(got.body, "id: 0\n"); tc.isComplete && n > 2 {
				t.Errorf("an event arrived twice:\n%s", got.body)
			}
		})
	}
	c.eventually("the engine holds no memory", func() bool { return engine.Stats().ReservedTokens == 0 })
}

// TestTruncatedNonStreamingResponse guards against a truncated non-streaming
// response that reaches the caller as a complete one (promise 5).
func TestTruncatedNonStreamingResponse(t *testing.T) {
	c := newCluster(t, layout{domains: 1, entriesPerDomain: 1, enginesPerDomain: 1, coldLimit: 8})
	c.setFaults(c.engine(0, 0), func(f *standin.Faults) { f.TruncateNext = 1 })
	got := c.sendPrompt(0, prompt{text: "not streamed", output: 8})
	if got.status != http.StatusOK || !strings.Contains(got.body, "sum:") {
		t.Errorf("after one truncated response: status %d, code %q: %s", got.status, got.code, got.body)
	}
	c.setFaults(c.engine(0, 0), func(f *standin.Faults) { f.TruncateNext = -1 })
	got = c.sendPrompt(0, prompt{text: "not streamed", output: 8})
	if got.code != "backend_failed" || got.run != "unknown" {
		t.Errorf("status %d, code %q, run %q: %s", got.status, got.code, got.run, got.body)
	}
}

// TestMismatchedResponseIsNotACompletion guards against counting a response under
// another request id as the end of the request. The engine still ran the request,
// but nothing counted it: its slot on a cold engine was assigned to the next
// request, and the mismatch counted as a successful response (promises 2 and 3).
func TestMismatchedResponseIsNotACompletion(t *testing.T) {
	c := newCluster(t, layout{
		domains: 1, entriesPerDomain: 1, enginesPerDomain: 1, coldLimit: 1, timeScale: 1,
		model: func(m *standin.ModelSettings) { m.ColdRequests = 1_000_000 },
	})
	engine := c.engine(0, 0)
	c.setFaults(engine, func(f *standin.Faults) { f.WrongIDNext = 1 })
	// 500 tokens take 10 s, and the engine keeps a stream for 5 s after its
	// connection broke.
	got := c.sendPrompt(0, prompt{text: "mismatch", stream: true, output: 500})
	if got.code != "answer_mismatch" {
		t.Fatalf("status %d, code %q: %s", got.status, got.code, got.body)
	}
	if got := c.sendPrompt(0, prompt{text: "next", stream: true}); !got.isComplete() {
		t.Errorf("the next request: status %d, code %q: %s", got.status, got.code, got.body)
	}
	stats := engine.Stats()
	if stats.MaxConcurrentCold > 1 {
		t.Errorf("a cold engine with a limit of one ran %d requests", stats.MaxConcurrentCold)
	}
	if stats.Cancelled != 1 || stats.ReservedTokens != 0 {
		t.Errorf("the mismatched request was not cancelled: %d cancelled, %d tokens reserved", stats.Cancelled, stats.ReservedTokens)
	}
}

// TestEngineMemoryIsReleased guards against leaked engine memory when the caller
// disconnects, when the deadline passes and when the engine stops sending (promises
// 1 and 2).
func TestEngineMemoryIsReleased(t *testing.T) {
	c := newCluster(t, layout{domains: 1, entriesPerDomain: 2, enginesPerDomain: 2, coldLimit: 8, timeScale: 1})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Go(func() {
			got := c.sendPrompt(i%2, prompt{text: fmt.Sprint("leaves ", i), stream: true, output: 500, ctx: ctx})
			if ctx.Err() == nil {
				t.Errorf("the stream ended early: status %d, code %q: %s", got.status, got.code, got.body)
			}
		})
	}
	c.eventually("streams are open", func() bool { return c.runningRequests() >= 4 })
	cancelledBefore := c.cancelledRequests()
	cancel()
	wg.Wait()
	c.eventually("the engines have cancelled the streams", func() bool { return c.cancelledRequests()-cancelledBefore >= 4 })
	c.eventually("memory is released after the callers disconnected", func() bool { return c.reservedTokens() == 0 })

	for _, e := range c.engines() {
		c.setFaults(e, func(f *standin.Faults) { f.HangNext, f.HangAfterTokens = -1, 1 })
	}
	start := time.Now()
	got := c.sendPrompt(0, prompt{text: "silent", stream: true, output: 50, headers: map[string]string{"X-Deadline-Ms": "700"}})
	if got.code != "deadline_exceeded" || got.run != "unknown" {
		t.Errorf("code %q, run %q: %s", got.code, got.run, got.body)
	}
	if took := time.Since(start); took > 700*time.Millisecond+conditionTimeout/2 {
		t.Errorf("a request with a deadline of 700 ms took %v", took)
	}
	c.eventually("memory is released after the deadline", func() bool { return c.reservedTokens() == 0 })
}

// cancelledRequests returns the number of requests that the engines cancelled
// before they were complete.
func (c *cluster) cancelledRequests() uint64 {
	sum := uint64(0)
	for _, e := range c.engines() {
		sum += e.Stats().Cancelled
	}
	return sum
}

// reservedTokens returns the KV memory that all engines together hold, in tokens.
func (c *cluster) reservedTokens() uint64 {
	sum := uint64(0)
	for _, e := range c.engines() {
		sum += e.Stats().ReservedTokens
	}
	return sum
}

// runningRequests returns the number of running requests, summed over all engines.
func (c *cluster) runningRequests() int {
	sum := 0
	for _, e := range c.engines() {
		sum += e.Stats().Running
	}
	return sum
}

// TestInvalidInput guards against invalid input that is not refused with its stable
// error code.
func TestInvalidInput(t *testing.T) {
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

// TestDrainInterruptsNoRequest guards against a planned stop that interrupts
// requests (promise 9).
func TestDrainInterruptsNoRequest(t *testing.T) {
	c := newCluster(t, layout{domains: 1, entriesPerDomain: 2, enginesPerDomain: 2, coldLimit: 8, timeScale: 0.4})
	const streams = 4
	responses := make(chan response, streams)
	for i := range streams {
		go func() {
			responses <- c.sendPrompt(i%2, prompt{text: fmt.Sprint("drain ", i), stream: true, output: 300})
		}()
	}
	c.eventually("streams are open", func() bool { return c.runningRequests() == streams })
	stopped := make(chan error, 1)
	go func() { stopped <- c.entries[0].Drain() }()
	for range streams {
		if got := <-responses; !got.isComplete() {
			t.Errorf("a stream was interrupted: status %d, code %q, error %v", got.status, got.code, got.err)
		}
	}
	if err := <-stopped; err != nil {
		t.Errorf("drain: %v", err)
	}
	if got := c.sendPrompt(0, prompt{}); got.status != http.StatusServiceUnavailable || got.code != "draining" || got.run != "no" {
		t.Errorf("a draining process responded with %d %q run=%q", got.status, got.code, got.run)
	}
	c.entries[0].Close()
	c.entries[0] = nil
	c.eventually("the other process serves alone", func() bool { return c.sendPrompt(1, prompt{}).status == http.StatusOK })
}

// TestStopAtTheDrainLimitAnswersEachRequest guards against a planned stop that closes the
// connections of requests whose final response was made and not sent yet.
func TestStopAtTheDrainLimitAnswersEachRequest(t *testing.T) {
	c := newCluster(t, layout{domains: 1, entriesPerDomain: 2, enginesPerDomain: 1, plain: true, entry: func(s *entry.Settings) { s.DrainSeconds = 1 }})
	c.setFaults(c.bookingServer(0), func(f *standin.Faults) { f.HangNext = -1 })
	const requests = 100
	responses := make(chan response, requests)
	for i := range requests {
		go func() {
			responses <- c.send(0, http.MethodPost, "/bookings/confirm", effectBody(fmt.Sprint("hangs-", i)), map[string]string{"X-Deadline-Ms": "20000"})
		}()
	}
	time.Sleep(300 * time.Millisecond)
	if err := c.entries[0].Stop(); err == nil {
		t.Error("the stop states that no request was open")
	}
	c.entries[0] = nil
	for range requests {
		if got := <-responses; got.err != nil {
			t.Errorf("a request was cut: %v", got.err)
		}
	}
}
