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

// A stream whose failure domain is cut off must go on elsewhere as soon as the
// cut is known: waiting for the end of the caller's patience leaves no time for
// another engine.
func TestCutMovesStreams(t *testing.T) {
	s := newSetup(t)
	waiting := make(chan struct{}, 1)
	block := make(chan struct{})
	defer close(block)
	far := s.add("far-1", "model", "b", func(w http.ResponseWriter, r *http.Request) {
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
				t.Errorf("the stream goes on behind event %q, expected 1", r.Header.Get("Last-Event-Id"))
			}
			echo(w, r)
			_, _ = io.WriteString(w, "id: 2\ndata: y\n\n")
		})
		time.Sleep(20 * time.Millisecond)
		tried := bootclock.Now()
		s.g.notReached(far, tried)
		s.g.notReached(other, tried)
	}()
	began := time.Now()
	body := s.status(http.StatusOK, "/stream/x", "X-Prompt", "100")
	if took := time.Since(began); body != "id: 1\ndata: x\n\nid: 2\ndata: y\n\n" || took > time.Second {
		t.Errorf("stream %q after %s, expected both events within a second", body, took)
	}
}

// While a failure domain is cut off, no request waits for its engines, and the
// work that its gateways have left at engines on this side still counts.
func TestCutDomainIsLeftOut(t *testing.T) {
	s := newSetup(t)
	near := s.add("near", "model", "a", ok("id: 1\ndata: x\n\n"))
	far := s.announce("far-1", "model", "b", "127.0.0.1:1")
	other := s.announce("far-2", "model", "b", "127.0.0.1:2")
	s.g.members.mu.Lock()
	s.g.members.seen(&wirepb.GatewayInfo{Id: "gateway-2", FailureDomain: "b", Address: "127.0.0.1:3"}, bootclock.Now())
	s.g.members.mu.Unlock()
	now := bootclock.Now()
	s.g.book.replaceShare("gateway-2", &share{at: now - shareLifetime - time.Second, jobs: []job{{
		backend: near.Key(), work: enginemodel.Work{Request: 7, PromptTokens: 100, PartTokens: 100, Writing: true},
	}}}, now)
	s.g.notReached(far, now)
	s.g.notReached(other, now)
	s.g.book.mu.Lock()
	works := len(s.g.book.works(bootclock.Now())[near.Key()])
	s.g.book.mu.Unlock()
	if works != 1 {
		t.Errorf("%d requests of the gateway that is cut off count at an engine on this side, expected 1", works)
	}
	for range 5 {
		resp, _, err := s.call("/stream/x", "X-Prompt", "100")
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("status %v, error %v", resp, err)
		}
	}
	s.g.health.mu.Lock()
	failed := s.g.health.row(far.Key()).failedAt + s.g.health.row(other.Key()).failedAt
	s.g.health.mu.Unlock()
	if failed > 0 {
		t.Error("a request was sent to a failure domain that is cut off")
	}
	s.g.heard("b")
	if s.g.reachable.cut("b") {
		t.Error("a failure domain that was heard counts as cut off")
	}
}

// Work is counted with the length that the caller expects of its answer: the most
// that it allows is several times longer and makes short requests look large.
func TestExpectedLengthOfAnswers(t *testing.T) {
	for _, c := range []struct{ most, expected, want int64 }{
		{3264, 500, 500}, {3264, 9000, 3264}, {0, 500, 500}, {3264, 0, 1632}, {0, 0, defaultOutputTokens},
	} {
		r := &request{caller: CallerRequest{OutputTokens: c.most, ExpectedOutputTokens: c.expected}}
		if got := r.outputTokens(); got != c.want {
			t.Errorf("at most %d and %d expected: counted as %d tokens, expected %d", c.most, c.expected, got, c.want)
		}
	}
}
