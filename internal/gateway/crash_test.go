package gateway

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"bilberryhub/internal/bootclock"
	"bilberryhub/internal/manifest"
	"bilberryhub/internal/wirepb"
)

// crashFleet is a set of engines each of which ends when it begins to respond to a
// request with a prompt part named deadly.
type crashFleet struct{ crashes atomic.Int64 }

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

// Guards against a request that crashes each backend server and is sent again by its
// caller, with another id, until none is left.
func TestRequestThatCrashesBackendServersIsRefused(t *testing.T) {
	for _, path := range []string{"/stream/same", "/rigid/same"} {
		s, f := newSetup(t), &crashFleet{}
		for i := range 12 {
			s.addCrashing(f, fmt.Sprintf("engine-%d", i), "a")
		}
		last := 0
		for range 10 {
			if resp, _, err := s.call(path, "X-Prompt", "1000", "X-Parts", "deadly"); err == nil {
				last = resp.StatusCode
			}
			time.Sleep(callSpacing)
		}
		if crashes := f.crashes.Load(); crashes > maxCrashes || last != http.StatusServiceUnavailable {
			t.Errorf("%s: %d engines crashed, expected at most %d; last status %d", path, crashes, maxCrashes, last)
		}
	}
}

// Guards against prompt parts that are suspected because backend servers reset
// connections without crashing.
func TestBrokenConnectionsAreNoCrashes(t *testing.T) {
	s := newSetup(t)
	for i := range 6 {
		s.add(fmt.Sprintf("engine-%d", i), "model", "a", drop)
	}
	for n := range 6 {
		if _, _, err := s.call(fmt.Sprintf("/stream/%d", n), "X-Prompt", "1000", "X-Parts", "part"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(callSpacing)
	}
	if found := s.g.suspects.evidence.Suspects(); len(found) > 0 {
		t.Errorf("suspects %v", found)
	}
}

// Guards against gateways that let requests of a known kind crash further engines because
// the crashes were seen by another gateway, and against running ones that are left to
// crash theirs.
func TestCrashesSeenElsewhereCancelRunningRequests(t *testing.T) {
	other := newSetup(t)
	s := newSetup(t)
	canceled := make(chan struct{})
	s.add("engine-1", "model", "a", func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // the server notices a closed connection only after the body
		<-r.Context().Done()
		close(canceled)
	})
	done := make(chan int)
	go func() { done <- s.deadlyCall(1) }()
	for other.g.suspects.evidence.Suspects() == nil {
		r := &request{http: &http.Request{}, service: &manifest.RoutedService{Name: "model"}, caller: CallerRequest{PromptParts: []string{"deadly"}}}
		r.http.RequestURI = fmt.Sprint(time.Now())
		other.g.recordCrash(rand.Uint64(), r.crashFeatures(), bootclock.Now())
		time.Sleep(callSpacing)
	}
	data, err := proto.Marshal(&wirepb.LoadShare{Batch: []*wirepb.LoadShare{
		{Gateway: "gateway-2", Incarnation: 1, Sequence: 1, CrashEvidence: other.g.suspects.evidenceMessage(bootclock.Now())},
	}})
	if err != nil {
		t.Fatal(err)
	}
	share := &wirepb.LoadShare{}
	if err := proto.Unmarshal(data, share); err != nil {
		t.Fatal(err)
	}
	s.g.receiveShare(share)
	select {
	case <-canceled:
	case <-time.After(500 * time.Millisecond):
		t.Error("the running request was not canceled")
	}
	if status := <-done; status != http.StatusBadGateway {
		t.Errorf("status %d of a request that may have run, expected %d", status, http.StatusBadGateway)
	}
	if status := s.deadlyCall(2); status != http.StatusServiceUnavailable {
		t.Errorf("status %d, expected a refusal", status)
	}
}
