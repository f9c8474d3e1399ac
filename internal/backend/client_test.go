package backend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
)

// droppingServer responds to the first respondTo requests and closes the connection
// of each later one after reading the request. It counts the requests read.
type droppingServer struct {
	*httptest.Server
	respondTo int64
	reads     atomic.Int64
}

func newDroppingServer(t *testing.T, respondTo int64) *droppingServer {
	d := &droppingServer{respondTo: respondTo}
	d.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, hr *http.Request) {
		_, _ = io.Copy(io.Discard, hr.Body)
		if d.reads.Add(1) > d.respondTo {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err == nil {
				_ = conn.Close()
			}
			return
		}
		w.Header().Set(RequestIDHeader, hr.Header.Get(RequestIDHeader))
		_, _ = io.WriteString(w, "ok")
	}))
	t.Cleanup(d.Close)
	return d
}

func (d *droppingServer) request(method string, idempotent bool) *Request {
	h := http.Header{}
	// net/http considers requests with this header safe to repeat.
	h.Set("Idempotency-Key", "k1")
	r := &Request{
		Backend: "b1", Address: strings.TrimPrefix(d.URL, "http://"), ID: "req-1",
		Method: method, Path: "/x", Header: h, Idempotent: idempotent,
	}
	if method == http.MethodPost {
		r.Body = []byte(`{"a":1}`)
	}
	return r
}

// Guards against net/http repeating a request by itself when a reused connection
// breaks after the server has read the request.
func TestDoIsNeverRepeatedByTheLibrary(t *testing.T) {
	for _, tc := range []struct {
		name       string
		method     string
		idempotent bool
	}{
		{"post once", http.MethodPost, false},
		{"post idempotent", http.MethodPost, true},
		{"delete once", http.MethodDelete, false},
		{"get idempotent", http.MethodGet, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			server := newDroppingServer(t, 1)
			client := NewClient(nil)
			defer client.Close()
			resp, err := client.Do(context.Background(), server.request(tc.method, tc.idempotent))
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			_, err = client.Do(context.Background(), server.request(tc.method, tc.idempotent))
			var failed *Error
			if !errors.As(err, &failed) || !failed.Sent {
				t.Fatalf("got %v, want an error with Sent set", err)
			}
			if n := server.reads.Load(); n != 2 {
				t.Fatalf("the server read %d requests, want 2", n)
			}
		})
	}
}

// Guards against an error without Sent after bytes were sent, which would become a
// refusal with the outcome "not run", and against one with Sent, which would become
// "unknown", if no connection was made.
func TestDoReportsWhetherRequestWasSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	server := newDroppingServer(t, 0)
	errExpired := errors.New("permit has expired")
	for _, tc := range []struct {
		name      string
		change    func(*Request)
		sent      bool
		wantReads int64
	}{
		{"connection refused", func(r *Request) { r.Address = address }, false, 0},
		{"stopped before sending", func(r *Request) { r.BeforeSend = func() error { return errExpired } }, false, 0},
		{"stopped before sending on a pooled connection", func(r *Request) {
			r.Idempotent = true
			r.BeforeSend = func() error { return errExpired }
		}, false, 0},
		{"dropped after reading", func(*Request) {}, true, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			client := NewClient(nil)
			defer client.Close()
			before := server.reads.Load()
			r := server.request(http.MethodPost, false)
			tc.change(r)
			_, err := client.Do(context.Background(), r)
			var failed *Error
			if !errors.As(err, &failed) {
				t.Fatalf("got %v", err)
			}
			if failed.Sent != tc.sent {
				t.Fatalf("sent is %v, want %v: %v", failed.Sent, tc.sent, err)
			}
			if n := server.reads.Load() - before; n != tc.wantReads {
				t.Fatalf("the server read %d requests, want %d", n, tc.wantReads)
			}
		})
	}
}

// Guards against forwarding the response to another request.
func TestDoChecksTheRequestID(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(RequestIDHeader, "req-2")
		_, _ = io.WriteString(w, "another caller's answer")
	}))
	defer server.Close()
	client := NewClient(nil)
	defer client.Close()
	_, err := client.Do(context.Background(), &Request{
		Backend: "b1", Address: strings.TrimPrefix(server.URL, "http://"), ID: "req-1", Method: http.MethodGet, Path: "/",
	})
	if !errors.Is(err, ErrRequestIDMismatch) {
		t.Fatalf("got %v, want %v", err, ErrRequestIDMismatch)
	}
}

// Guards against counting a network partition as a crash, which would be attributed
// to the request, and against reporting a restarted backend server as alive.
func TestCheckHealth(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"boot": 7}`)
	}))
	address := strings.TrimPrefix(server.URL, "http://")
	client := NewClient(nil)
	defer client.Close()
	ctx := context.Background()
	if h := client.CheckHealth(ctx, address, 7); h != HealthAlive {
		t.Errorf("same boot: %v", h)
	}
	if h := client.CheckHealth(ctx, address, 6); h != HealthCrashed {
		t.Errorf("new boot: %v", h)
	}
	server.Close()
	if h := client.CheckHealth(ctx, address, 7); h != HealthCrashed {
		t.Errorf("connection refused: %v", h)
	}
	unresponsive := NewClient(func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	start := time.Now()
	if h := unresponsive.CheckHealth(ctx, address, 7); h != HealthUnknown {
		t.Errorf("no answer: %v", h)
	}
	if took := time.Since(start); took > 10*healthTimeout {
		t.Errorf("health check took %v", took)
	}
}

// Guards against a caller that gets the response to another request: a server writes an
// earlier one, a success or a refusal, once more on a connection that is in use again, and
// doesn't name requests in its responses, or stops to do so.
func TestRepeatedResponseIsNotTakenForTheNext(t *testing.T) {
	for name, tc := range map[string]struct {
		status string
		names  func(n int) bool
	}{
		"success":                 {"200 OK", func(int) bool { return false }},
		"refusal":                 {"421 Misdirected Request", func(int) bool { return false }},
		"success, named at first": {"200 OK", func(n int) bool { return n < 3 }},
		"refusal, named at first": {"421 Misdirected Request", func(n int) bool { return n < 3 }},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = l.Close() })
			go func() {
				for n := 0; ; {
					c, err := l.Accept()
					if err != nil {
						return
					}
					n = repeatResponses(c, n, tc.status, tc.names)
				}
			}()
			client := NewClient(nil)
			defer client.Close()
			for i := range 6 {
				id := fmt.Sprintf("r%d", i)
				resp, err := client.Do(context.Background(), &Request{
					Backend: "b1", Address: l.Addr().String(), ID: id, Method: http.MethodPost, Path: "/x", Body: []byte("x"), Idempotent: true,
				})
				if err != nil {
					var failed *Error
					if !errors.As(err, &failed) || !failed.Sent {
						t.Fatalf("%s: %v", id, err)
					}
					continue
				}
				body, _ := io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				if string(body) != id {
					t.Fatalf("%s got the response %q", id, body)
				}
			}
		})
	}
}

// repeatResponses serves the requests of one connection, of which n were served before. It
// writes the response to the previous request of the connection before each one, and
// returns the new n. It ends the connection when it is idle.
func repeatResponses(c net.Conn, n int, status string, names func(int) bool) int {
	defer c.Close()
	r := bufio.NewReader(c)
	previous := ""
	for {
		_ = c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		request, err := http.ReadRequest(r)
		if err != nil {
			return n
		}
		_, _ = io.Copy(io.Discard, request.Body)
		id := request.Header.Get(RequestIDHeader)
		header := ""
		if names(n) {
			header = RequestIDHeader + ": " + id + "\r\n"
		}
		n++
		response := fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(id), id)
		_, _ = io.WriteString(c, previous+response)
		previous = response
	}
}

// Guards against a response whose head breaks off, and which is taken as a complete one
// with the header read so far and without a body.
func TestHeadThatBreaksOff(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n" + RequestIDHeader + ": req-1\r\nContent-Type: text/plain\r\n\r\n"
	for n := range len(head) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(c))
			_, _ = io.WriteString(c, head[:n])
			_ = c.Close()
		}()
		resp, err := NewClient(nil).Do(t.Context(), &Request{Backend: "b1", Address: l.Addr().String(), ID: "req-1", Method: http.MethodGet, Path: "/x"})
		var failed *Error
		if err == nil || !errors.As(err, &failed) || !failed.Sent {
			t.Errorf("%q: response %v, error %v", head[:n], resp, err)
		}
		_ = l.Close()
	}
}
