package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"bilberryhub/internal/bootclock"
	"bilberryhub/internal/wirepb"
)

func ok(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		echo(w, r)
		_, _ = io.WriteString(w, body)
	}
}

func TestRequestIsForwarded(t *testing.T) {
	s := newSetup(t)
	s.add("s1", "plain", "a", func(w http.ResponseWriter, r *http.Request) {
		echo(w, r)
		w.Header().Set("X-Seal", "sealed")
		body, _ := io.ReadAll(r.Body)
		fmt.Fprintf(w, "%s %s %s %s %s", r.Method, r.RequestURI, body, r.Header.Get("X-Account"), r.Header.Get("X-Server"))
	})
	resp, body, err := s.call("/safe/x?y=z%20")
	if err != nil || body != "POST /safe/x?y=z%20 body account-1 s1" || resp.Header.Get("X-Seal") != "sealed" {
		t.Fatalf("answer %q, error %v", body, err)
	}
}

// A request that may run only once must not be sent again once it was sent, and
// its refusal must not state that it hasn't run.
func TestRequestThatRunsOnce(t *testing.T) {
	for name, c := range map[string]struct {
		handler http.HandlerFunc
		status  int
		sent    int64
	}{
		"lost answer":              {drop, http.StatusBadGateway, 1},
		"failure":                  {func(w http.ResponseWriter, r *http.Request) { echo(w, r); w.WriteHeader(500) }, 500, 1},
		"response with another id": {func(w http.ResponseWriter, r *http.Request) { w.Header().Set("X-Id", "other") }, http.StatusBadGateway, 1},
		"not run, retried": {func(w http.ResponseWriter, r *http.Request) {
			echo(w, r)
			w.Header().Set("X-Not-Run", "1")
			w.WriteHeader(503)
		}, 503, 2},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSetup(t)
			var sent atomic.Int64
			for _, id := range []string{"s1", "s2", "s3"} {
				s.add(id, "plain", "a", func(w http.ResponseWriter, r *http.Request) {
					sent.Add(1)
					c.handler(w, r)
				})
			}
			body := s.status(c.status, "/once/x")
			if n := sent.Load(); n != c.sent {
				t.Fatalf("sent %d times, expected %d", n, c.sent)
			}
			if c.status == http.StatusBadGateway && !strings.Contains(body, `"run":"unknown"`) {
				t.Fatalf("refusal %q, expected an unknown outcome", body)
			}
		})
	}
}

func TestSafeRequestIsSentAgain(t *testing.T) {
	s := newSetup(t)
	s.add("s1", "plain", "a", drop)
	s.add("s2", "plain", "a", drop)
	var sent atomic.Int64
	count := func(w http.ResponseWriter, r *http.Request) { sent.Add(1); drop(w, r) }
	s.add("s3", "plain", "a", count)
	s.status(http.StatusBadGateway, "/safe/x")
	if sent.Load() > 1 {
		t.Fatal("sent to one backend server twice")
	}
	good := newSetup(t)
	good.add("s1", "plain", "a", drop)
	good.add("s2", "plain", "a", ok("served"))
	if body := good.status(http.StatusOK, "/safe/x"); body != "served" {
		t.Fatalf("answer %q", body)
	}
}

// A backend server refuses connections: it must not be chosen again until it
// announces itself, and the request must move on without using a retry.
func TestUnreachableBackendServer(t *testing.T) {
	s := newSetup(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	dead := s.announce("dead", "plain", "a", address)
	s.add("s2", "plain", "a", ok("served"))
	for range 20 {
		s.status(http.StatusOK, "/once/x")
	}
	now := bootclock.Now()
	if !s.g.health.condition(dead, dead.Key(), now, time.Hour).dead {
		t.Fatal("the dead backend server is still used")
	}
	again := *dead
	again.SeenAt = now + time.Millisecond
	if s.g.health.condition(&again, dead.Key(), now, time.Hour).dead {
		t.Fatal("a backend server that has announced itself since is not used")
	}
}

func TestBeforeTheFirstConfiguration(t *testing.T) {
	s := newSetup(t)
	s.add("s1", "plain", "a", ok("served"))
	s.config.set(nil, time.Hour)
	s.status(http.StatusServiceUnavailable, "/safe/x")
	if s.g.notReadyReason() == "" {
		t.Fatal("ready without a configuration")
	}
}

// Keys and routes must be checked only against a configuration that is
// confirmed as the newest: an old one must neither accept a revoked key nor
// refuse one that was added.
func TestAgeOfTheConfiguration(t *testing.T) {
	for _, c := range []struct {
		age    time.Duration
		path   string
		key    string
		status int
	}{
		{0, "/safe/x", testKey, 200},
		{0, "/safe/x", "unknown", 401},
		{0, "/none/x", testKey, 404},
		{3 * time.Second, "/safe/x", testKey, 200},
		{3 * time.Second, "/safe/x", "unknown", 503},
		{3 * time.Second, "/none/x", testKey, 503},
		{4100 * time.Millisecond, "/safe/x", testKey, 503},
	} {
		t.Run(fmt.Sprintf("%s %s after %s", c.path, c.key, c.age), func(t *testing.T) {
			s := newSetup(t)
			s.add("s1", "plain", "a", ok("served"))
			s.config.set(testVersion(t, 1), c.age)
			s.status(c.status, c.path, "X-Key", c.key)
		})
	}
}

// A failure domain that was taken out of service must get no requests, neither
// new ones nor the continuation of a stream that was admitted before.
func TestFailureDomainOutOfService(t *testing.T) {
	s := newSetup(t)
	var far atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		far.Add(1)
		streamOf(s, 1, 6)(w, r)
	}))
	t.Cleanup(server.Close)
	s.add("near", "model", "a", func(w http.ResponseWriter, r *http.Request) {
		echo(w, r)
		sendEvents(w, 1, 3)
		// After the request was admitted, the other backend server is
		// discovered and its failure domain is taken out of service.
		s.announce("far", "model", "b", strings.TrimPrefix(server.URL, "http://"))
		s.config.set(testVersion(t, 2, "b"), 0)
		drop(w, r)
	})
	if _, body, err := s.call("/stream/x", "X-Prompt", "100"); err == nil {
		t.Errorf("a stream that cannot be continued ended as complete: %q", body)
	}
	if n := far.Load(); n != 0 {
		t.Fatalf("%d requests in a failure domain that is out of service", n)
	}
}

func sendEvents(w http.ResponseWriter, from, to int) {
	for i := from; i <= to; i++ {
		fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", i, i)
		_ = http.NewResponseController(w).Flush()
	}
}

// streamOf responds with the events after Last-Event-Id.
func streamOf(_ *setup, from, to int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		echo(w, r)
		start := from
		if last := r.Header.Get("Last-Event-Id"); last != "" {
			_, _ = fmt.Sscan(last, &start)
			start++
		}
		sendEvents(w, start, to)
	}
}

func events(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: token %d\n\n", i, i)
	}
	return b.String()
}

// A resumable stream that breaks inside an event must continue at another
// backend server after the last complete event, without loss or repetition.
func TestStreamIsResumed(t *testing.T) {
	s := newSetup(t)
	var first atomic.Bool
	handler := func(w http.ResponseWriter, r *http.Request) {
		if first.CompareAndSwap(false, true) {
			echo(w, r)
			w.Header().Set("X-Seal", "first")
			sendEvents(w, 1, 3)
			_, _ = io.WriteString(w, "id: 4\ndata: tok")
			_ = http.NewResponseController(w).Flush()
			drop(w, r)
			return
		}
		w.Header().Set("X-Seal", "second")
		streamOf(s, 1, 6)(w, r)
	}
	s.add("s1", "model", "a", handler)
	s.add("s2", "model", "a", handler)
	resp, body, err := s.call("/stream/x", "X-Prompt", "100")
	if err != nil || body != events(1, 6) {
		t.Fatalf("stream %q, error %v", body, err)
	}
	if seal := resp.Header.Get("X-Seal"); seal != "first" {
		t.Fatalf("head of the %s answer, expected the first", seal)
	}
}

// A stream that may not be resumed must break for the caller as well: it must
// neither look complete nor run again.
func TestBrokenStreamDoesNotLookComplete(t *testing.T) {
	s := newSetup(t)
	var sent atomic.Int64
	handler := func(w http.ResponseWriter, r *http.Request) {
		sent.Add(1)
		echo(w, r)
		sendEvents(w, 1, 3)
		drop(w, r)
	}
	s.add("s1", "model", "a", handler)
	s.add("s2", "model", "a", handler)
	if _, body, err := s.call("/rigid/x", "X-Prompt", "100"); err == nil {
		t.Fatalf("the stream ended as complete after %q", body)
	}
	if n := sent.Load(); n != 1 {
		t.Fatalf("sent %d times", n)
	}
}

// The time that a caller waits counts from the last event, not from the
// arrival: a stream that breaks late must still be resumed.
func TestStreamThatBreaksLateIsResumed(t *testing.T) {
	s := newSetup(t)
	var first atomic.Bool
	handler := func(w http.ResponseWriter, r *http.Request) {
		if !first.CompareAndSwap(false, true) {
			streamOf(s, 1, 14)(w, r)
			return
		}
		echo(w, r)
		for i := 1; i <= 12; i++ {
			sendEvents(w, i, i)
			time.Sleep(200 * time.Millisecond)
		}
		drop(w, r)
	}
	s.add("s1", "model", "a", handler)
	s.add("s2", "model", "a", handler)
	if _, body, err := s.call("/stream/x", "X-Prompt", "100", "X-Wait-Ms", "5000"); err != nil || body != events(1, 14) {
		t.Fatalf("stream %q, error %v", body, err)
	}
}

// A backend server that is only slow must not be abandoned while no other one
// can continue: cutting its stream would lose the response.
func TestSilentStreamIsKeptWithoutAlternative(t *testing.T) {
	s := newSetup(t)
	s.g.budget.slack, s.g.budget.ratio = 0, 0
	s.add("s1", "model", "a", func(w http.ResponseWriter, r *http.Request) {
		echo(w, r)
		sendEvents(w, 1, 2)
		time.Sleep(1800 * time.Millisecond)
		sendEvents(w, 3, 4)
	})
	if _, body, err := s.call("/stream/x", "X-Prompt", "100"); err != nil || body != events(1, 4) {
		t.Fatalf("stream %q, error %v", body, err)
	}
}

// When the caller disconnects, the backend server must stop working on its
// request.
func TestCallerDisconnectCancelsRequest(t *testing.T) {
	s := newSetup(t)
	ended := make(chan struct{})
	s.add("s1", "model", "a", func(w http.ResponseWriter, r *http.Request) {
		echo(w, r)
		sendEvents(w, 1, 1)
		<-r.Context().Done()
		close(ended)
	})
	r, err := http.NewRequest(http.MethodPost, s.front.URL+"/stream/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h.example"
	for k, v := range map[string]string{"X-Id": "1", "X-Key": testKey, "X-Wait-Ms": "3000", "X-Prompt": "100"} {
		r.Header.Set(k, v)
	}
	resp, err := s.transport.RoundTrip(r)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	select {
	case <-ended:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the backend server is still at work half a second later")
	}
}

func TestDeadlineReturnsGatewayTimeout(t *testing.T) {
	s := newSetup(t)
	s.add("s1", "plain", "a", func(_ http.ResponseWriter, r *http.Request) {
		// net/http notices a closed connection only after the body was read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	})
	began := time.Now()
	s.status(http.StatusGatewayTimeout, "/once/x", "X-Wait-Ms", "300")
	if took := time.Since(began); took > 600*time.Millisecond {
		t.Fatalf("the final answer took %s, the caller waits for 300 ms", took)
	}
}

// Retries of one gateway must stay within its part of the limit of all
// gateways.
func TestBudgetIsShared(t *testing.T) {
	b := newBudget(Settings{RetryRatio: 0.2, RetrySlack: 90, RetryWindowSeconds: 10})
	for range 100 {
		b.request("s", time.Second)
	}
	taken := 0
	for taken < 1000 && b.take("s", 9, time.Second) {
		taken++
	}
	if bound := 0.2*100 + 90.0/9; float64(taken) > bound {
		t.Fatalf("%d retries, the part of one gateway of nine is %.0f", taken, bound)
	}
	if !b.take("s", 9, 20*time.Second) {
		t.Fatal("no retry is left after the window has passed")
	}
}

// A cold backend server must not get more than its rate from all gateways
// together.
func TestColdLimitIsShared(t *testing.T) {
	s := newSetup(t)
	for i := range 8 {
		s.g.members.gateways[fmt.Sprint(i)] = &gatewayEntry{info: &wirepb.GatewayInfo{}}
	}
	v := testVersion(t, 1)
	service := v.Manifest.Routing.Service("plain")
	service.ColdPerSecond = 36
	cold := s.add("s1", "plain", "a", ok("served"))
	cold.ColdUntil = bootclock.Now() + time.Minute
	served := 0
	for range 40 {
		r := &request{route: &v.Manifest.Routing.Routes[0], deadline: bootclock.Now() + time.Minute}
		if _, err := s.g.choose(r, service, nil); err == nil {
			served++
		}
	}
	if served == 0 || served > 36/9 {
		t.Fatalf("%d requests within a second, the part of one gateway of nine is 4", served)
	}
}

// A prompt larger than one engine reserves memory at other engines, and must
// release it at its end even if it fails.
func TestReservedMemoryIsReleased(t *testing.T) {
	for name, handler := range map[string]func(s *setup) http.HandlerFunc{
		"served": func(s *setup) http.HandlerFunc { return streamOf(s, 1, 3) },
		"broken": func(*setup) http.HandlerFunc { return drop },
	} {
		t.Run(name, func(t *testing.T) {
			s := newSetup(t)
			var reserved, released, withReservation atomic.Int64
			run := handler(s)
			for _, id := range []string{"s1", "s2", "s3"} {
				s.add(id, "model", "a", func(w http.ResponseWriter, r *http.Request) {
					switch {
					case strings.HasPrefix(r.URL.Path, "/reserve/"):
						reserved.Add(1)
					case strings.HasPrefix(r.URL.Path, "/release/"):
						released.Add(1)
					default:
						for _, helper := range r.Header.Values("X-Helper") {
							if !strings.HasSuffix(helper, "/") {
								withReservation.Add(1)
							}
						}
						run(w, r)
					}
				})
			}
			_, _, _ = s.call("/stream/x", "X-Prompt", "150000")
			if withReservation.Load() == 0 {
				t.Fatal("no helper has a reservation")
			}
			deadline := time.Now().Add(5 * time.Second)
			for released.Load() < reserved.Load() && time.Now().Before(deadline) {
				time.Sleep(10 * time.Millisecond)
			}
			if released.Load() < reserved.Load() {
				t.Fatalf("%d reservations, %d released", reserved.Load(), released.Load())
			}
		})
	}
}

// Guards against a stream that is cut because its backend server is silent for a while,
// though the others have been taken out of service or leave, so that none can continue it.
func TestSilentStreamIsKeptWhileNoOtherServerIsInService(t *testing.T) {
	s := newSetup(t)
	silent := make(chan struct{})
	s.add("s1", "model", "a", func(w http.ResponseWriter, r *http.Request) {
		echo(w, r)
		sendEvents(w, 1, 2)
		close(silent)
		time.Sleep(1800 * time.Millisecond)
		sendEvents(w, 3, 4)
	})
	go func() {
		<-silent
		leaving := s.add("s2", "model", "a", echo)
		s.g.notices.mu.Lock()
		defer s.g.notices.mu.Unlock()
		s.g.notices.table.RecordLeaving(leaving.Key())
	}()
	if _, body, err := s.call("/stream/x", "X-Prompt", "100"); err != nil || body != events(1, 4) {
		t.Fatalf("stream %q, error %v", body, err)
	}
}

// Guards against a stream that looks complete to a caller of HTTP/1.0 although it was broken
// off: without chunks, only a reset tells a broken response from a whole one.
func TestBrokenStreamIsResetForCallersOfHTTP10(t *testing.T) {
	s := newSetup(t)
	s.add("server-1", "model", "a", func(w http.ResponseWriter, r *http.Request) {
		echo(w, r)
		_, _ = io.WriteString(w, onlyEvent)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(100 * time.Millisecond)
		panic(http.ErrAbortHandler)
	})
	c, err := net.Dial("tcp", strings.TrimPrefix(s.front.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_, _ = fmt.Fprintf(c, "POST /rigid/x HTTP/1.0\r\nHost: h.example\r\nX-Id: old-1\r\nX-Key: %s\r\nX-Wait-Ms: 3000\r\nX-Prompt: 100\r\nContent-Length: 4\r\n\r\nbody", testKey)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return
	}
	body, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode == http.StatusOK {
		t.Errorf("a stream that was broken off looks complete: %q", body)
	}
}

// Guards against a stream that is lost because all backend servers are silent for a while:
// its own one is given up for another one, which is silent as well.
func TestSilentStreamIsKeptWhileAllServersAreSilent(t *testing.T) {
	s := newSetup(t)
	silence := make(chan struct{})
	time.AfterFunc(2*time.Second, func() { close(silence) })
	var runs atomic.Int32
	handler := func(w http.ResponseWriter, r *http.Request) {
		echo(w, r)
		if runs.Add(1) > 1 {
			<-silence
			w.Header().Set("X-Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		sendEvents(w, 1, 2)
		<-silence
		sendEvents(w, 3, 4)
	}
	s.add("s1", "model", "a", handler)
	s.add("s2", "model", "a", handler)
	if _, body, err := s.call("/stream/x", "X-Prompt", "100", "X-Wait-Ms", "5000"); err != nil || body != events(1, 4) {
		t.Fatalf("stream %q, error %v", body, err)
	}
}

// Guards against a stream that is lost because its backend server, which is silent for a
// while, is given up for another one that is alive and refuses the request.
func TestSilentStreamIsKeptUntilAnotherServerContinuesIt(t *testing.T) {
	s := newSetup(t)
	var isSecond atomic.Bool
	handler := func(w http.ResponseWriter, r *http.Request) {
		if isSecond.Swap(true) {
			echo(w, r)
			w.Header().Set("X-Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		echo(w, r)
		sendEvents(w, 1, 2)
		for _, b := range []string{"s1", "s2"} {
			s.g.health.recordReceived(s.g.members.backend(b).Key(), bootclock.Now()+200*time.Millisecond)
		}
		time.Sleep(1800 * time.Millisecond)
		sendEvents(w, 3, 4)
	}
	s.add("s1", "model", "a", handler)
	s.add("s2", "model", "a", handler)
	if _, body, err := s.call("/stream/x", "X-Prompt", "100"); err != nil || body != events(1, 4) {
		t.Fatalf("stream %q, error %v", body, err)
	}
}
