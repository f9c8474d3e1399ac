package backend

import (
	"context"
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

// droppingServer answers the first answered requests and then drops each
// connection after it has read the request. It counts the requests it read.
type droppingServer struct {
	*httptest.Server
	answered int64
	reads    atomic.Int64
}

func newDroppingServer(t *testing.T, answered int64) *droppingServer {
	d := &droppingServer{answered: answered}
	d.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, hr *http.Request) {
		_, _ = io.Copy(io.Discard, hr.Body)
		if d.reads.Add(1) > d.answered {
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
	// net/http takes a request with this header for safe to repeat.
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

// Guards against net/http repeating a request by itself when a reused
// connection breaks after the server has read it.
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
				t.Fatalf("got %v, want an error that says the request was sent", err)
			}
			if n := server.reads.Load(); n != 2 {
				t.Fatalf("the server read %d requests, want 2", n)
			}
		})
	}
}

// Guards against a refusal that says "not run" after bytes were sent, and
// against one that says "unknown" when no connection was made.
func TestDoTellsWhetherAnythingWasSent(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := closed.Addr().String()
	_ = closed.Close()
	server := newDroppingServer(t, 0)
	void := errors.New("permit has expired")
	for _, tc := range []struct {
		name    string
		change  func(*Request)
		sent    bool
		reached int64
	}{
		{"connection refused", func(r *Request) { r.Address = address }, false, 0},
		{"stopped before sending", func(r *Request) { r.BeforeSend = func() error { return void } }, false, 0},
		{"stopped before sending on a pooled connection", func(r *Request) {
			r.Idempotent = true
			r.BeforeSend = func() error { return void }
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
			if n := server.reads.Load() - before; n != tc.reached {
				t.Fatalf("the server read %d requests, want %d", n, tc.reached)
			}
		})
	}
}

// Guards against forwarding the answer to another request.
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
	if !errors.Is(err, ErrMismatch) {
		t.Fatalf("got %v, want %v", err, ErrMismatch)
	}
}

// Guards against blaming a request for a network cut, and against taking a
// restarted backend server for the one that was asked.
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
	silent := NewClient(func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	start := time.Now()
	if h := silent.CheckHealth(ctx, address, 7); h != HealthUnknown {
		t.Errorf("no answer: %v", h)
	}
	if took := time.Since(start); took > 10*healthTimeout {
		t.Errorf("health check took %v", took)
	}
}
