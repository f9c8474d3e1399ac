package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// crashFleet is a set of engines each of which ends when it begins to respond to a
// request with a prompt part named deadly.
type crashFleet struct {
	crashes atomic.Int64
	// deadlyRequests is the number of requests with the part that reached an engine.
	deadlyRequests atomic.Int64
}

// addCrashing starts an engine of the fleet and announces it.
func (s *setup) addCrashing(f *crashFleet, id, domain string) {
	s.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	server := &http.Server{}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if slices.Contains(r.Header["X-Part"], "deadly") {
			f.deadlyRequests.Add(1)
			f.crashes.Add(1)
			_ = server.Close()
			return
		}
		echo(w, r)
		_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
	})
	go func() { _ = server.Serve(l) }()
	s.t.Cleanup(func() { _ = server.Close() })
	s.announce(id, "model", domain, l.Addr().String())
}

// deadlyCall sends a request of its own path with the part that crashes engines. It
// returns the status.
func (s *setup) deadlyCall(n int) int {
	s.t.Helper()
	resp, _, err := s.call(fmt.Sprintf("/stream/deadly-%d", n), "X-Prompt", "1000", "X-Parts", "common,deadly", "X-Wait-Ms", "1000")
	if err != nil {
		return 0
	}
	return resp.StatusCode
}

const (
	// maxCrashes is the number of crashes after which the rules allow no further ones.
	maxCrashes = 5
	// callSpacing is the time between two requests of a test, which is longer than
	// the time in which crashes count as one event.
	callSpacing = 120 * time.Millisecond
)

// Guards against engines that crash one after the other because each request with a
// prompt part that crashes them is placed like any other, while none is like another.
// Requests that share the other parts must be served.
func TestPromptPartThatCrashesEngines(t *testing.T) {
	s, f := newSetup(t), &crashFleet{}
	for i := range 12 {
		s.addCrashing(f, fmt.Sprintf("engine-%d", i), "a")
	}
	for n := range 20 {
		s.deadlyCall(n)
		s.status(http.StatusOK, fmt.Sprintf("/stream/sound-%d", n), "X-Prompt", "1000", "X-Parts", "common")
		time.Sleep(callSpacing)
	}
	if crashes := f.crashes.Load(); crashes > maxCrashes {
		t.Errorf("%d engines crashed, expected at most %d", crashes, maxCrashes)
	}
	status, body, err := s.call("/stream/deadly-last", "X-Prompt", "1000", "X-Parts", "other,deadly")
	if err != nil {
		t.Fatal(err)
	}
	if status.StatusCode != http.StatusServiceUnavailable || !strings.Contains(body, `"run":"no"`) || status.Header.Get("Retry-After") == "" {
		t.Errorf("status %d, body %q, expected a refusal that says not run and when to come back", status.StatusCode, body)
	}
}
