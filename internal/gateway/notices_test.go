package gateway

import (
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"bilberryhub/internal/bootclock"
	"bilberryhub/internal/wirepb"
)

// says returns a handler that serves requests, or refuses them with a pause of some
// seconds, and counts them.
func says(received *atomic.Int32, leaving bool, pauseSeconds int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		received.Add(1)
		if leaving {
			w.Header().Set("X-Leaving", "1")
		}
		echo(w, r)
		if pauseSeconds > 0 {
			w.Header().Set("X-Not-Run", "1")
			w.Header().Set("X-Pause", strconv.Itoa(pauseSeconds))
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}
}

// Guards against requests to a backend server that has said in a response that it leaves,
// although its announcements say otherwise; the others serve.
func TestLeavingBackendServerGetsNoMore(t *testing.T) {
	s := newSetup(t)
	var leaving, sound atomic.Int32
	s.add("leaving", "plain", "a", says(&leaving, true, 0))
	s.add("sound", "plain", "a", says(&sound, false, 0))
	const requests = 30
	for range requests {
		s.status(http.StatusOK, "/safe/x")
		s.announce("leaving", "plain", "a", s.g.members.backend("leaving").Address)
	}
	if n := leaving.Load(); n > 1 {
		t.Errorf("the leaving backend server got %d requests", n)
	}
	// Its next lifetime starts clean.
	b := *s.g.members.backend("leaving")
	b.BornMs++
	s.g.members.mu.Lock()
	s.g.members.table.Merge(b)
	s.g.members.sorted = nil
	s.g.members.mu.Unlock()
	if err := s.g.noticeError(s.g.members.backend("leaving").Key()); err != nil {
		t.Errorf("the next lifetime inherits the notice: %v", err)
	}
}

// Guards against a gateway that goes on sending to a backend server of which another
// gateway has heard that it leaves, or that counts another one's pause as its own.
func TestLeavingIsShared(t *testing.T) {
	s, other := newSetup(t), newSetup(t)
	var received atomic.Int32
	b := s.add("b0", "plain", "a", says(&received, true, 0))
	s.status(http.StatusOK, "/safe/x")
	other.g.receiveShare(s.g.share(1))
	if other.g.noticeError(b.Key()) == nil {
		t.Error("the other gateway doesn't know that the backend server leaves")
	}
	// Nothing that is shared lifts what a gateway has heard.
	s.g.receiveShare(&wirepb.LoadShare{Gateway: "gateway-2", Sequence: 1})
	if s.g.noticeError(b.Key()) == nil {
		t.Error("a load share lifts the notice")
	}
	paused := s.add("b1", "plain", "a", says(&received, false, 2))
	s.status(http.StatusServiceUnavailable, "/safe/x")
	if s.g.noticeError(paused.Key()) == nil {
		t.Error("the pause is not obeyed")
	}
	other.g.receiveShare(s.g.share(2))
	if other.g.noticeError(paused.Key()) != nil {
		t.Error("the pause counts for a gateway that wasn't told")
	}
}

// Guards against requests to a backend server within the pause that it wants, and against
// refusals that don't say when it ends, if all backend servers want one.
func TestPauseIsObeyed(t *testing.T) {
	s := newSetup(t)
	var busy, sound atomic.Int32
	for i := range 2 {
		s.add(fmt.Sprintf("busy-%d", i), "plain", "a", says(&busy, false, 2))
	}
	resp, body, err := s.call("/once/x", "X-Wait-Ms", "5000")
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Fatalf("%v: %s", err, body)
	}
	// Both have refused this request itself. Without the pause, it would say 1.3 s.
	if after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err != nil || after < 1.35 || after > 1.667 {
		t.Errorf("Retry-After of the first refusal is %q", resp.Header.Get("Retry-After"))
	}
	for range 10 {
		start := bootclock.Now()
		resp, _, err := s.call("/once/x", "X-Wait-Ms", "5000")
		if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
			t.Fatalf("status %d, %v", resp.StatusCode, err)
		}
		if took := bootclock.Now() - start; took > 500*time.Millisecond {
			t.Errorf("the refusal took %v", took)
		}
		after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		// A third of the time left bounds it, in whole milliseconds.
		if err != nil || after < 1 || after > 1.667 {
			t.Errorf("Retry-After is %q", resp.Header.Get("Retry-After"))
		}
	}
	if n := busy.Load(); n > 2 {
		t.Errorf("%d requests reached backend servers that want a pause, expected one each", n)
	}
	s.add("sound", "plain", "a", says(&sound, false, 0))
	for range 10 {
		s.status(http.StatusOK, "/once/x")
	}
	if n := busy.Load(); n > 2 || sound.Load() != 10 {
		t.Errorf("%d requests at busy backend servers, %d at the sound one", n, sound.Load())
	}
}

// Guards against a notice that is read from a response to another request: a late copy on a
// kept connection, or one that comes in place of the expected one. It is counted.
func TestNoticeInAnotherResponseIsIgnored(t *testing.T) {
	const said = "HTTP/1.1 503 Service Unavailable\r\nX-Id: another\r\nX-Not-Run: 1\r\nX-Leaving: 1\r\nX-Pause: 9\r\nContent-Length: 0\r\n\r\n"
	for name, tc := range map[string]struct {
		path string
		// own is set if the expected response follows.
		own        bool
		wantStatus int
	}{
		"late, on a kept connection":    {"/safe/x", true, http.StatusOK},
		"instead, on a kept connection": {"/safe/x", false, http.StatusBadGateway},
		"instead, on a new connection":  {"/once/x", false, http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSetup(t)
			b := s.add("b0", "plain", "a", func(w http.ResponseWriter, r *http.Request) {
				c, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				defer c.Close()
				_, _ = c.Write([]byte(said))
				if tc.own {
					_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 2\r\n\r\nok", r.Header.Get("X-Id"))
				}
			})
			before := invalidNoticed.Get()
			s.status(tc.wantStatus, tc.path)
			if err := s.g.noticeError(b.Key()); err != nil {
				t.Errorf("the notice is taken: %v", err)
			}
			if n := invalidNoticed.Get() - before; n != 1 {
				t.Errorf("%d notices are counted as ignored, expected 1", n)
			}
		})
	}
}

// Guards against a notice without a meaning that is ignored without a trace, or that takes
// the backend server out.
func TestIgnoredNoticeIsCounted(t *testing.T) {
	s := newSetup(t)
	b := s.add("b0", "plain", "a", echo)
	before := invalidNoticed.Get()
	s.g.recordNotices(b, connPath{isDirect: true}, "id-1", ResponseInfo{IgnoredNotice: "no reason"})
	if n := invalidNoticed.Get() - before; n != 1 || s.g.noticeError(b.Key()) != nil {
		t.Errorf("%d notices are counted as ignored, expected 1; %v", n, s.g.noticeError(b.Key()))
	}
}

// Guards against helpers for long prompts that have said that they leave.
func TestLeavingEnginesAreNoHelpers(t *testing.T) {
	s := newSetup(t)
	for i := range 4 {
		s.add(fmt.Sprintf("engine-%d", i), "model", "a", echo)
	}
	leaving := s.add("leaving", "model", "a", echo)
	s.g.recordNotices(leaving, connPath{}, "", ResponseInfo{Leaving: true})
	for i := range 5 {
		r := &request{caller: CallerRequest{ID: fmt.Sprint(i), PromptTokens: 250_000, OutputTokens: 100}, arrived: bootclock.Now()}
		r.version = s.g.sync.Current()
		r.route = r.version.Manifest.Routing.Match("h.example", "/stream/x")
		r.service = r.version.Manifest.Routing.Service("model")
		r.deadline = r.arrived + 5*time.Second
		p, err := s.g.choose(r, r.service, nil)
		if err != nil {
			t.Fatal(err)
		}
		s.g.workTable.remove(append(p.helperJobs, p.job)...)
		if len(p.helpers) == 0 {
			t.Error("the prompt has no helpers, so that the test shows nothing")
		}
		for _, h := range append(p.helpers, p.backend) {
			if h.ID == "leaving" {
				t.Error("the leaving engine is chosen")
			}
		}
	}
}
