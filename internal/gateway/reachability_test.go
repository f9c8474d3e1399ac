package gateway

import (
	"io"
	"net/http"
	"testing"
	"time"

	"bilberryhub/internal/bootclock"
	"bilberryhub/internal/enginemodel"
	"bilberryhub/internal/wirepb"
)

// A stream whose failure domain becomes unreachable must continue elsewhere as
// soon as that is detected: waiting until its caller is about to disconnect would
// leave no time for another engine.
func TestStreamsMoveFromUnreachableDomain(t *testing.T) {
	s := newSetup(t)
	waiting := make(chan struct{}, 1)
	block := make(chan struct{})
	defer close(block)
	remote := s.add("far-1", "model", "b", func(w http.ResponseWriter, r *http.Request) {
		echo(w, r)
		_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
		_ = http.NewResponseController(w).Flush()
		waiting <- struct{}{}
		<-block
	})
	other := s.announce("far-2", "model", "b", "127.0.0.1:1")
	go func() {
		<-waiting
		s.add("near", "model", "a", func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("Last-Event-Id") != "1" {
				t.Errorf("the stream continues after event %q, expected 1", r.Header.Get("Last-Event-Id"))
			}
			echo(w, r)
			_, _ = io.WriteString(w, "id: 2\ndata: y\n\n")
		})
		time.Sleep(20 * time.Millisecond)
		tried := bootclock.Now()
		s.g.recordConnectFailure(remote, tried)
		s.g.recordConnectFailure(other, tried)
	}()
	began := time.Now()
	body := s.status(http.StatusOK, "/stream/x", "X-Prompt", "100")
	if took := time.Since(began); body != "id: 1\ndata: x\n\nid: 2\ndata: y\n\n" || took > time.Second {
		t.Errorf("stream %q after %s, expected both events within a second", body, took)
	}
}

// While a failure domain is unreachable, no request may wait for its engines,
// and the work that its gateways have left at engines on this side must still
// count.
func TestUnreachableDomainIsExcluded(t *testing.T) {
	s := newSetup(t)
	local := s.add("near", "model", "a", ok("id: 1\ndata: x\n\n"))
	remote := s.announce("far-1", "model", "b", "127.0.0.1:1")
	other := s.announce("far-2", "model", "b", "127.0.0.1:2")
	s.g.members.mu.Lock()
	s.g.members.recordGateway(&wirepb.GatewayInfo{Id: "gateway-2", FailureDomain: "b", Address: "127.0.0.1:3"}, bootclock.Now())
	s.g.members.mu.Unlock()
	now := bootclock.Now()
	s.g.workTable.replaceShare("gateway-2", &share{at: now - minShareLifetime - time.Second, jobs: []job{{
		backend: local.Key(), work: enginemodel.Work{Request: 7, PromptTokens: 100, PartTokens: 100, Decoding: true},
	}}}, now)
	s.g.recordConnectFailure(remote, now)
	s.g.recordConnectFailure(other, now)
	s.g.workTable.mu.Lock()
	works := len(s.g.workTable.works(bootclock.Now())[local.Key()])
	s.g.workTable.mu.Unlock()
	if works != 1 {
		t.Errorf("%d requests of the unreachable gateway count at an engine on this side, expected 1", works)
	}
	for range 5 {
		resp, _, err := s.call("/stream/x", "X-Prompt", "100")
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("status %v, error %v", resp, err)
		}
	}
	s.g.health.mu.Lock()
	failed := s.g.health.entry(remote.Key()).failedAt + s.g.health.entry(other.Key()).failedAt
	s.g.health.mu.Unlock()
	if failed > 0 {
		t.Error("a request was sent to an unreachable failure domain")
	}
	s.g.recordContact("b")
	if s.g.reachability.unreachable("b") {
		t.Error("a failure domain in contact counts as unreachable")
	}
}

// Work must be counted with the length that the caller expects of its response:
// the maximum that it allows is several times longer and makes short requests
// look large.
func TestExpectedResponseLength(t *testing.T) {
	for _, c := range []struct{ limit, expected, want int64 }{
		{3264, 500, 500}, {3264, 9000, 3264}, {0, 500, 500}, {3264, 0, 1632}, {0, 0, defaultOutputTokens},
	} {
		r := &request{caller: CallerRequest{OutputTokens: c.limit, ExpectedOutputTokens: c.expected}}
		if got := r.outputTokens(); got != c.want {
			t.Errorf("at most %d and %d expected: counted as %d tokens, expected %d", c.limit, c.expected, got, c.want)
		}
	}
}
