package exchange

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
)

// script writes the response to the n-th request, counted from 1 over all
// connections, to its connection c. It returns false to close the connection.
type script func(n int, c net.Conn, head string) bool

// backend is a server whose responses are raw bytes written by a script.
type backend struct {
	address     string
	requests    atomic.Int64
	connections atomic.Int64
}

func serve(t *testing.T, s script) *backend {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	b := &backend{address: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			b.connections.Add(1)
			go b.serveConn(c, s)
		}
	}()
	return b
}

// serveConn reads requests and runs s for each. If the header has X-Early, it does
// not read the body first.
func (b *backend) serveConn(c net.Conn, s script) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		var head strings.Builder
		length := 0
		for {
			line, err := r.ReadString('\n')
			if err != nil {
				return
			}
			_, _ = fmt.Sscanf(line, "Content-Length: %d", &length)
			head.WriteString(line)
			if line == "\r\n" {
				break
			}
		}
		if !strings.Contains(head.String(), "X-Early") {
			if _, err := io.CopyN(io.Discard, r, int64(length)); err != nil {
				return
			}
		}
		if !s(int(b.requests.Add(1)), c, head.String()) {
			return
		}
	}
}

// send sends a request with an id and returns the status and body of the response.
// change, if not nil, modifies the request before.
func send(p *Pool, b *backend, id string, change func(*Request)) (int, string, error) {
	r := Request{
		Address: b.address, Method: "POST", Target: "/a/b?c=d", Host: "h.example", Header: http.Header{"X-Id": {id}}, Body: []byte("body"),
		Matches: func(h http.Header) bool { return h.Get("X-Id") == id },
	}
	if change != nil {
		change(&r)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	resp, err := p.Do(ctx, r)
	if err != nil {
		return 0, "", err
	}
	defer resp.Close()
	body, err := resp.ReadAll(1 << 20)
	return resp.Status, string(body), err
}

func idOf(head string) string {
	_, rest, _ := strings.Cut(head, "X-Id: ")
	id, _, _ := strings.Cut(rest, "\r\n")
	return id
}

func respond(c net.Conn, id, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
	return err == nil
}

func TestConnectionIsKept(t *testing.T) {
	b := serve(t, func(_ int, c net.Conn, head string) bool { return respond(c, idOf(head), "ok") })
	p := NewPool(2)
	for i := range 3 {
		if _, body, err := send(p, b, fmt.Sprint(i), nil); err != nil || body != "ok" {
			t.Fatalf("response %q, error %v", body, err)
		}
	}
	if n := b.connections.Load(); n != 1 {
		t.Fatalf("%d connections, expected 1", n)
	}
}

// Guards against a late response to an earlier request that is taken for the
// expected one.
func TestLateResponseIsSkipped(t *testing.T) {
	b := serve(t, func(n int, c net.Conn, head string) bool {
		if n == 2 {
			respond(c, "1", "stranger")
		}
		return respond(c, idOf(head), "own")
	})
	p := NewPool(2)
	for i := 1; i <= 3; i++ {
		if _, body, err := send(p, b, fmt.Sprint(i), nil); err != nil || body != "own" {
			t.Fatalf("request %d: response %q, error %v", i, body, err)
		}
	}
}

// Guards against the reuse of a connection on which bytes follow a complete
// response.
func TestExtraBytesEndTheConnection(t *testing.T) {
	b := serve(t, func(_ int, c net.Conn, head string) bool {
		var out bytes.Buffer
		fmt.Fprintf(&out, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra", idOf(head))
		_, err := c.Write(out.Bytes())
		return err == nil
	})
	p := NewPool(2)
	for i := range 3 {
		if _, body, err := send(p, b, fmt.Sprint(i), nil); err != nil || body != "ok" {
			t.Fatalf("response %q, error %v", body, err)
		}
	}
	if n := b.connections.Load(); n != 3 {
		t.Fatalf("%d connections, expected 3", n)
	}
}

func TestFaultyResponses(t *testing.T) {
	for name, raw := range map[string]string{
		"truncated body":     "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 10\r\n\r\nabc",
		"truncated chunks":   "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
		"no answer":          "",
		"garbage":            "\x00\x01\x02 garbage\r\n\r\n",
		"answer of another":  "HTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: 2\r\n\r\nok",
		"answer without id":  "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"encoded":            "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok",
		"switched protocols": "HTTP/1.1 101 Switching Protocols\r\nX-Id: 1\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			b := serve(t, func(_ int, c net.Conn, _ string) bool {
				_, _ = io.WriteString(c, raw)
				return false
			})
			status, body, err := send(NewPool(2), b, "1", nil)
			if err == nil {
				t.Fatalf("status %d with body %q, expected an error", status, body)
			}
			var notSent *NotSentError
			if errors.As(err, &notSent) {
				t.Fatalf("error %v claims that nothing was sent", err)
			}
			if n := b.requests.Load(); n != 1 {
				t.Fatalf("the request was sent %d times", n)
			}
		})
	}
}

// Guards against an error for a response without a length: it is complete when
// its connection ends.
func TestResponseWithoutLength(t *testing.T) {
	b := serve(t, func(_ int, c net.Conn, _ string) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nwhole")
		return false
	})
	if _, body, err := send(NewPool(2), b, "1", nil); err != nil || body != "whole" {
		t.Fatalf("response %q, error %v", body, err)
	}
}

// Guards against the reuse of a connection on which a backend server has responded
// before it has read a long body: it would read the next request as the rest of
// that body.
func TestEarlyResponseEndsTheConnection(t *testing.T) {
	b := serve(t, func(_ int, c net.Conn, head string) bool {
		if strings.Contains(head, "X-Early") {
			respond(c, idOf(head), "early")
			time.Sleep(100 * time.Millisecond)
			return false
		}
		return respond(c, idOf(head), "ok")
	})
	p := NewPool(2)
	_, body, err := send(p, b, "1", func(r *Request) {
		r.Header.Set("X-Early", "1")
		r.Body = bytes.Repeat([]byte("x"), 16<<20)
	})
	if err != nil || body != "early" {
		t.Fatalf("response %q, error %v", body, err)
	}
	if _, body, err = send(p, b, "2", nil); err != nil || body != "ok" {
		t.Fatalf("next response %q, error %v", body, err)
	}
	if n := b.connections.Load(); n != 2 {
		t.Fatalf("%d connections, expected 2", n)
	}
}

// Guards against requests that fail because they were sent on an idle connection
// that the backend server has closed.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	b := serve(t, func(_ int, c net.Conn, head string) bool {
		respond(c, idOf(head), "ok")
		return false
	})
	p := NewPool(2)
	for i := range 3 {
		if _, _, err := send(p, b, fmt.Sprint(i), nil); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func TestRefusedConnectionReturnsNotSentError(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	_, _, err = send(NewPool(2), &backend{address: address}, "1", nil)
	var notSent *NotSentError
	if !errors.As(err, &notSent) {
		t.Fatalf("error %v, expected a NotSentError", err)
	}
}

func TestIdleTimeout(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"":                 defaultIdleTimeout,
		"timeout=5":        5*time.Second - idleMargin,
		"max=3, timeout=2": 2*time.Second - idleMargin,
		"timeout=0":        0,
		"timeout=x":        defaultIdleTimeout,
	} {
		if got := idleTimeout(http.Header{"Keep-Alive": {value}}); got != want {
			t.Errorf("Keep-Alive %q: %s, expected %s", value, got, want)
		}
	}
}

// Guards against a response whose head breaks off, and which is taken as a complete one
// with the header read so far and without a body.
func TestHeadThatBreaksOff(t *testing.T) {
	for name, head := range map[string]string{
		"without a length":    "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Type: text/plain\r\n\r\n",
		"with a length":       "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 800\r\n\r\n",
		"chunked":             "HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n",
		"after informational": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: a\r\n\r\n",
		"with bare line ends": "HTTP/1.1 200 OK\nX-Id: a\nContent-Type: text/plain\n\n",
		"with a folded line":  "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Folded: b\r\n c\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for n := range len(head) {
				b := serve(t, func(_ int, c net.Conn, _ string) bool {
					_, _ = io.WriteString(c, head[:n])
					return false
				})
				status, body, err := send(NewPool(1), b, "a", nil)
				var notSent *NotSentError
				if err == nil || errors.As(err, &notSent) {
					t.Errorf("%q: status %d, body %q, error %v", head[:n], status, body, err)
				}
			}
		})
	}
}
