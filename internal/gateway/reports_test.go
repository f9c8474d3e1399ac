package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
)

// Guards against an earlier refusal that a backend server writes once more on a kept
// connection: it must not make a later request "not run".
func TestRepeatedRefusalIsNotTakenForTheNext(t *testing.T) {
	s := newSetup(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	var runs atomic.Int32
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveWithRepeatedRefusals(c, &runs)
		}
	}()
	s.announce("b0", "plain", "a", l.Addr().String())
	for i := range 6 {
		id := fmt.Sprintf("request-%d", i)
		resp, body, err := s.call("/safe/x", "X-Id", id)
		if err != nil {
			t.Fatal(err)
		}
		// Every second request is refused for the first time.
		want := http.StatusOK
		if i%2 == 0 {
			want = http.StatusServiceUnavailable
		}
		if resp.StatusCode != want {
			t.Errorf("%s: status %d with %q, expected %d", id, resp.StatusCode, body, want)
		}
	}
	if n := runs.Load(); n != 3 {
		t.Errorf("%d requests ran, expected 3", n)
	}
}

// serveWithRepeatedRefusals refuses every second request, and writes each refusal once
// more when the next request has arrived.
func serveWithRepeatedRefusals(c net.Conn, runs *atomic.Int32) {
	defer c.Close()
	r := bufio.NewReader(c)
	refusal := ""
	for {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		id := request.Header.Get("X-Id")
		var n int
		_, _ = fmt.Sscanf(id, "request-%d", &n)
		if n%2 == 0 {
			refusal = fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nX-Id: %s\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", id)
			_, _ = io.WriteString(c, refusal)
			continue
		}
		runs.Add(1)
		_, _ = fmt.Fprintf(c, "%sHTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 2\r\n\r\nok", refusal, id)
	}
}

// Guards against the error of a second backend server in the middle of a stream that a
// first one has begun, and against a stream that then ends as if it were complete.
func TestErrorOfTheNextBackendServerIsNoPartOfTheStream(t *testing.T) {
	const text = "the engine is on fire"
	for name, second := range map[string]http.HandlerFunc{
		"400":                  respondWith(http.StatusBadRequest, "text/plain", text),
		"404":                  respondWith(http.StatusNotFound, "text/plain", text),
		"429":                  respondWith(http.StatusTooManyRequests, "text/plain", text),
		"500":                  respondWith(http.StatusInternalServerError, "text/plain", text),
		"503":                  respondWith(http.StatusServiceUnavailable, "text/plain", text),
		"503 without a stream": respondWith(http.StatusServiceUnavailable, "text/event-stream", text),
		"200 with JSON":        respondWith(http.StatusOK, "application/json", `{"error":"`+text+`"}`+"\n\n"),
		"200 without a type":   respondWith(http.StatusOK, "", text+"\n\n"),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSetup(t)
			var first atomic.Bool
			handler := func(w http.ResponseWriter, r *http.Request) {
				if first.CompareAndSwap(false, true) {
					echo(w, r)
					w.Header().Set("Content-Type", "text/event-stream")
					sendEvents(w, 1, 3)
					drop(w, r)
					return
				}
				second(w, r)
			}
			s.add("s1", "model", "a", handler)
			s.add("s2", "model", "a", handler)
			_, body, err := s.call("/stream/x", "X-Prompt", "100")
			if err == nil {
				t.Errorf("the stream ended as if it were complete, after %q", body)
			}
			if strings.Contains(body, text) || body != events(1, 3) {
				t.Errorf("the caller got %q", body)
			}
		})
	}
}

// respondWith responds with a status, a type and a text.
func respondWith(status int, contentType, text string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		echo(w, r)
		w.Header()["Content-Type"] = nil
		if contentType != "" {
			w.Header().Set("Content-Type", contentType)
		}
		w.WriteHeader(status)
		_, _ = io.WriteString(w, text)
	}
}
