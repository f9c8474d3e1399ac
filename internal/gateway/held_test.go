package gateway

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"bilberryhub/internal/config"
	"bilberryhub/internal/hostile"
	"bilberryhub/internal/manifest"
	"bilberryhub/internal/membudget"
)

// fillBudget leaves only the part of the memory budget that small reservations get, until
// the function that it returns is called. Bodies may have up to defaultMaxBodyBytes.
func (s *setup) fillBudget() (release func()) {
	s.t.Helper()
	s.g.settings.HeldMB = 1
	s.g.held.SetCapacity(membudget.Capacity(1, 0, defaultMaxBodyBytes))
	r, err := s.g.held.Reserve("another caller", defaultMaxBodyBytes)
	if err != nil {
		s.t.Error(err)
		return func() {}
	}
	return r.Release
}

// checkNothingHeld waits until nothing is held for callers.
func (s *setup) checkNothingHeld() {
	s.t.Helper()
	for deadline := time.Now().Add(20 * time.Second); s.g.held.Held() != 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			s.t.Fatalf("%d bytes are held after all requests", s.g.held.Held())
		}
	}
}

// post sends a request with a body, in chunks if its length isn't to be announced.
func (s *setup) post(path string, body []byte, isChunked bool) (*http.Response, string, error) {
	s.t.Helper()
	var reader io.Reader = bytes.NewReader(body)
	if isChunked {
		reader = io.MultiReader(reader)
	}
	r, err := http.NewRequest(http.MethodPost, s.front.URL+path, reader)
	if err != nil {
		s.t.Fatal(err)
	}
	r.Host = "h.example"
	r.Header = http.Header{"X-Id": {fmt.Sprintf("id-%p", r)}, "X-Key": {testKey}, "X-Wait-Ms": {"4000"}}
	resp, err := s.transport.RoundTrip(r)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp, string(data), err
}

// count responds with the length of the body of the request.
func count(w http.ResponseWriter, r *http.Request) {
	n, _ := io.Copy(io.Discard, r.Body)
	echo(w, r)
	_, _ = io.WriteString(w, strconv.FormatInt(n, 10))
}

// Guards against a budget that a response without end, which is passed on while it is read,
// fills until its deadline, so that the bodies of sound requests are refused.
func TestBudgetIsFreeWhileAResponseIsPassedOn(t *testing.T) {
	s := newSetup(t)
	s.g.settings.HeldMB = 1
	faulty := hostile.StartEndlessServer(t, "X-Id")
	faulty.Respond(hostile.EndlessBodies("X-Id", "text/plain")[0])
	s.announce("faulty", "model", "a", faulty.Address)
	s.add("sound", "plain", "a", count)
	r, err := http.NewRequest(http.MethodPost, s.front.URL+"/stream/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h.example"
	r.Header = http.Header{"X-Id": {"endless"}, "X-Key": {testKey}, "X-Wait-Ms": {"4000"}}
	s.config.set(versionWithSafeModel(t), 0)
	resp, err := s.transport.RoundTrip(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var hasEnded atomic.Bool
	go func() {
		_, _ = io.Copy(io.Discard, resp.Body)
		hasEnded.Store(true)
	}()
	// The response has begun, so that it didn't fit the budget.
	s.checkNothingHeld()
	if hasEnded.Load() {
		t.Fatal("what is held for the response is kept until its end")
	}
	if got, body, err := s.post("/once/x", make([]byte, defaultMaxBodyBytes), false); err != nil || body != strconv.Itoa(defaultMaxBodyBytes) {
		t.Errorf("response %+v, %q, error %v", got, body, err)
	}
}

// versionWithSafeModel returns a configuration in which the route for streams is one for safe
// requests, whose responses are held.
func versionWithSafeModel(t *testing.T) *config.Version {
	v := testVersion(t, 2)
	for i := range v.Manifest.Routing.Routes {
		if route := &v.Manifest.Routing.Routes[i]; route.Name == "stream" {
			route.Repeat = manifest.RepeatSafe
		}
	}
	return v
}

// Guards against a single body of the largest legal size that isn't served in calm
// conditions, however small the budget is set, and against memory that stays reserved.
func TestLargestBodyIsServedInCalm(t *testing.T) {
	s := newSetup(t)
	s.g.settings.HeldMB = 1
	s.add("s1", "plain", "a", count)
	for _, isChunked := range []bool{false, true} {
		for _, size := range []int{0, 1, defaultMaxBodyBytes} {
			resp, got, err := s.post("/once/x", make([]byte, size), isChunked)
			if err != nil || resp.StatusCode != http.StatusOK || got != strconv.Itoa(size) {
				t.Errorf("body of %d bytes, in chunks %v: %v, %q, %v", size, isChunked, resp, got, err)
			}
			s.checkNothingHeld()
		}
	}
}

// Guards against a body that is held beyond the budget, against a refusal that isn't stated
// to be one of a request that hasn't run, and against small requests that are refused because
// large bodies fill the budget.
func TestBodyBeyondTheBudgetIsRefused(t *testing.T) {
	s := newSetup(t)
	s.add("s1", "plain", "a", func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength > membudget.SmallBytes {
			t.Errorf("the backend server gets a request of %d bytes", r.ContentLength)
		}
		count(w, r)
	})
	release := s.fillBudget()
	chunk := fmt.Sprintf("%x\r\n%s\r\n", 64<<10, strings.Repeat("x", 64<<10))
	for _, isChunked := range []bool{false, true} {
		fields, content := "Content-Length: 1048576", strings.Repeat("x", 1<<20)
		if isChunked {
			fields, content = "Transfer-Encoding: chunked", strings.Repeat(chunk, 16)
		}
		resp, body, isClosed := s.rawRequest(fields, content)
		retryAfter, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		if resp.StatusCode != http.StatusServiceUnavailable || retryAfter <= 0 || !resp.Close || !isClosed || !strings.Contains(body, `"run":"no"`) {
			t.Errorf("in chunks %v: %v, closed %v, %q", isChunked, resp, isClosed, body)
		}
		if resp, body, err := s.post("/once/x", make([]byte, 8<<10), isChunked); err != nil || resp.StatusCode != http.StatusOK {
			t.Errorf("small request, in chunks %v: %v, %q, %v", isChunked, resp, body, err)
		}
	}
	release()
	s.checkNothingHeld()
}

// rawRequest sends the head of a request, and returns the response and whether the connection
// is closed after it.
func (s *setup) rawRequest(fields, body string) (resp *http.Response, text string, isClosed bool) {
	s.t.Helper()
	c, err := net.Dial("tcp", s.front.Listener.Addr().String())
	if err != nil {
		s.t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	go func() {
		// The gateway may close the connection before all is written.
		_, _ = fmt.Fprintf(c, "POST /once/x HTTP/1.1\r\nHost: h.example\r\nX-Id: i\r\nX-Key: %s\r\nX-Wait-Ms: 60000\r\n%s\r\n\r\n%s", testKey, fields, body)
	}()
	r := bufio.NewReader(c)
	if resp, err = http.ReadResponse(r, nil); err != nil {
		s.t.Fatal(err)
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		s.t.Fatal(err)
	}
	_, err = r.ReadByte()
	netErr, isNetErr := err.(net.Error)
	return resp, string(data), err != nil && (!isNetErr || !netErr.Timeout())
}

// Guards against a body over the limit that is read although its length is announced, and
// against a connection that stays open for the rest of a body that nobody reads.
func TestBodyOverTheLimitEndsTheConnection(t *testing.T) {
	s := newSetup(t)
	s.add("s1", "plain", "a", count)
	chunk := fmt.Sprintf("%x\r\n%s\r\n", 64<<10, strings.Repeat("x", 64<<10))
	for name, c := range map[string]struct{ fields, body string }{
		// Nothing of the body is sent: only the announcement can be refused.
		"announced":  {"Content-Length: 67108864", ""},
		"one over":   {fmt.Sprintf("Content-Length: %d", defaultMaxBodyBytes+1), ""},
		"in chunks":  {"Transfer-Encoding: chunked", strings.Repeat(chunk, defaultMaxBodyBytes>>16) + "1\r\n"},
		"continuing": {"Expect: 100-continue\r\nContent-Length: 67108864", ""},
	} {
		if c.fields == "Transfer-Encoding: chunked" {
			c.body += "x\r\n"
		}
		resp, body, isClosed := s.rawRequest(c.fields, c.body)
		if resp.StatusCode != http.StatusRequestEntityTooLarge || !resp.Close || !isClosed || !strings.Contains(body, `"run":"no"`) {
			t.Errorf("%s: %v, closed %v, %q", name, resp, isClosed, body)
		}
	}
	s.checkNothingHeld()
}

// Guards against memory that stays reserved for a caller that disconnects within its body.
func TestBodyOfCallerThatLeavesIsReleased(t *testing.T) {
	s := newSetup(t)
	c, err := net.Dial("tcp", s.front.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(c, "POST /once/x HTTP/1.1\r\nHost: h.example\r\nX-Id: i\r\nX-Key: %s\r\nX-Wait-Ms: 60000\r\nContent-Length: 100000\r\n\r\nxx", testKey)
	for deadline := time.Now().Add(20 * time.Second); s.g.held.Held() != 100_000; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d bytes are held, expected 100000", s.g.held.Held())
		}
	}
	_ = c.Close()
	s.checkNothingHeld()
}

// Guards against a response that is lost, or refused as that of a request that hasn't run,
// because the budget is full when the backend server has run the request.
func TestResponseBeyondTheBudgetIsPassedOn(t *testing.T) {
	want := strings.Repeat("0123456789abcdef", 1<<16)
	for _, hasLength := range []bool{true, false} {
		for _, status := range []int{http.StatusOK, http.StatusInternalServerError} {
			s := newSetup(t)
			var release func()
			s.add("s1", "plain", "a", func(w http.ResponseWriter, r *http.Request) {
				release = s.fillBudget()
				echo(w, r)
				if hasLength {
					w.Header().Set("Content-Length", strconv.Itoa(len(want)))
				}
				w.WriteHeader(status)
				_, _ = io.WriteString(w, want)
			})
			resp, body, err := s.post("/once/x", []byte("x"), false)
			if err != nil || resp.StatusCode != status || body != want {
				t.Errorf("length %v, status %d: %v, %d bytes, error %v", hasLength, status, resp, len(body), err)
			}
			release()
			s.checkNothingHeld()
		}
	}
}

// Guards against a part of a response that looks complete because it was passed on while it
// was read, and against a second run of its request.
func TestResponseBeyondTheBudgetThatBreaksOff(t *testing.T) {
	for _, hasLength := range []bool{true, false} {
		for _, route := range []string{"/once/x", "/safe/x"} {
			s := newSetup(t)
			runs := 0
			release := s.fillBudget()
			handler := func(w http.ResponseWriter, r *http.Request) {
				runs++
				echo(w, r)
				if hasLength {
					w.Header().Set("Content-Length", "1000000")
				}
				_, _ = io.WriteString(w, strings.Repeat("y", 500_000))
				_ = http.NewResponseController(w).Flush()
				drop(w, r)
			}
			s.add("s1", "plain", "a", handler)
			s.add("s2", "plain", "a", handler)
			resp, body, err := s.post(route, []byte("x"), false)
			if err == nil && resp.StatusCode == http.StatusOK {
				t.Errorf("length %v, %s: a part of %d bytes looks complete", hasLength, route, len(body))
			}
			if runs != 1 {
				t.Errorf("length %v, %s: %d runs", hasLength, route, runs)
			}
			release()
			s.checkNothingHeld()
		}
	}
}

// Guards against a failure that is passed on, because it doesn't fit the budget, although
// another backend server can serve the request.
func TestFailureBeyondTheBudgetIsRetried(t *testing.T) {
	s := newSetup(t)
	release := s.fillBudget()
	defer release()
	runs := 0
	handler := func(w http.ResponseWriter, r *http.Request) {
		echo(w, r)
		if runs++; runs == 1 {
			w.WriteHeader(http.StatusInternalServerError)
			_, _ = io.WriteString(w, strings.Repeat("y", 500_000))
			return
		}
		_, _ = io.WriteString(w, "served")
	}
	s.add("s1", "plain", "a", handler)
	s.add("s2", "plain", "a", handler)
	if resp, body, err := s.post("/safe/x", []byte("x"), false); err != nil || resp.StatusCode != http.StatusOK || body != "served" {
		t.Errorf("%v, %q, %v", resp, body, err)
	}
}

// Guards against large events that are held beyond the budget, and against a stream that looks
// complete although an event of it was left out.
func TestLargeEventIsHeldWithinTheBudget(t *testing.T) {
	s := newSetup(t)
	large := "id: 2\ndata: " + strings.Repeat("y", 500_000) + "\n\n"
	s.add("s1", "model", "a", func(w http.ResponseWriter, r *http.Request) {
		echo(w, r)
		sendEvents(w, 1, 1)
		_, _ = io.WriteString(w, large)
		sendEvents(w, 3, 3)
	})
	want := events(1, 1) + large + events(3, 3)
	if resp, body, err := s.post("/rigid/x", []byte("x"), false); err != nil || body != want {
		t.Errorf("%v, %d bytes, %v", resp, len(body), err)
	}
	s.checkNothingHeld()
	release := s.fillBudget()
	if resp, body, err := s.post("/rigid/x", []byte("x"), false); err == nil && resp.StatusCode == http.StatusOK {
		t.Errorf("a stream of %d bytes looks complete although the budget is full", len(body))
	}
	release()
	s.checkNothingHeld()
}

// Guards against memory that is held for a caller without a key in the name of all of them.
func TestHolder(t *testing.T) {
	s := newSetup(t)
	r := &request{http: (&http.Request{RemoteAddr: "192.0.2.7:1234"}).WithContext(context.Background())}
	if got := r.holder(); got != "address 192.0.2.7" {
		t.Errorf("holder %q without a key", got)
	}
	r.account = s.config.Current().Manifest.Routing.AccountByKey(testKey)
	if got := r.holder(); got != "account account-1" {
		t.Errorf("holder %q with a key", got)
	}
}
