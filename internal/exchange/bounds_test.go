package exchange

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
)

// floodServer reads one request from each connection and then writes head once and
// chunk again and again, until the connection breaks or 100 MB have been written.
func floodServer(t *testing.T, head, chunk string) string {
	t.Helper()
	const total = 100 << 20
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	block := bytes.Repeat([]byte(chunk), max(1, (64<<10)/len(chunk)))
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				if _, err := io.WriteString(c, head); err != nil {
					return
				}
				for written := 0; written < total; written += len(block) {
					if _, err := c.Write(block); err != nil {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

// A backend server that sends without end must not cost the process more memory than a
// bound, whichever part of a response has no end: a gateway VM has 184 MB.
func TestResponsesWithoutEnd(t *testing.T) {
	const allocatedLimit = 32 << 20 // for three responses
	own := func(h http.Header) bool { return h.Get("X-Id") == "own" }
	for _, tc := range []struct {
		name, head, chunk string
		tooLarge          bool
	}{
		{"status line", "HTTP/1.1 200 ", "O", true},
		{"one header", "HTTP/1.1 200 OK\r\nX-Long: ", "a", true},
		{"many headers", "HTTP/1.1 200 OK\r\n", "X-Many: a\r\n", true},
		{"informational responses", "", "HTTP/1.1 100 Continue\r\n\r\n", true},
		{"late response", "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 1000000000\r\n\r\n", "a", true},
		{"late chunks", "HTTP/1.1 200 OK\r\nX-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\naaaa\r\n", true},
		{"chunk-size line", "HTTP/1.1 200 OK\r\nX-Id: own\r\nTransfer-Encoding: chunked\r\n\r\n", "1", false},
		{"chunk extension", "HTTP/1.1 200 OK\r\nX-Id: own\r\nTransfer-Encoding: chunked\r\n\r\n1;", "a", false},
		{"trailer", "HTTP/1.1 200 OK\r\nX-Id: own\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Trailer: a\r\n", false},
		{"body", "HTTP/1.1 200 OK\r\nX-Id: own\r\nContent-Length: 1000000000\r\n\r\n", "a", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			pool := NewPool(4)
			address := floodServer(t, tc.head, tc.chunk)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			for range 3 {
				ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
				response, err := pool.Do(ctx, Request{Address: address, Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}, Matches: own})
				if err == nil {
					_, err = response.ReadAll(1 << 20)
					response.Close()
				}
				if err == nil {
					t.Error("a response without end is complete")
				}
				if tc.tooLarge && !errors.Is(err, ErrTooLarge) {
					t.Errorf("got %v", err)
				}
				if ctx.Err() != nil {
					t.Errorf("not noticed before the deadline: %v", err)
				}
				cancel()
			}
			runtime.ReadMemStats(&after)
			if n := after.TotalAlloc - before.TotalAlloc; n > allocatedLimit {
				t.Errorf("%d bytes were allocated", n)
			}
			if n := len(pool.idle[address]); n > 0 {
				t.Errorf("%d connections are kept", n)
			}
		})
	}
}

// A head at the bound is read, and the body after it isn't limited by the bound.
func TestLargeHeadAndLongBody(t *testing.T) {
	value := strings.Repeat("a", maxHeadBytes-1000)
	long := strings.Repeat("b", 4*maxHeadBytes)
	address := floodServer(t, "HTTP/1.1 200 OK\r\nX-Long: "+value+"\r\nContent-Length: 262144\r\n\r\n"+long, " ")
	response, err := NewPool(1).Do(context.Background(), Request{Address: address, Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}})
	if err != nil {
		t.Fatal(err)
	}
	defer response.Close()
	body, err := response.ReadAll(1 << 20)
	if err != nil || string(body) != long {
		t.Fatalf("%d bytes, %v", len(body), err)
	}
}

// FuzzReadHeader checks that no bytes of a backend server make the reader panic or
// hold more than its bounds.
func FuzzReadHeader(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200\r\nA: b\r\n c\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		ours, theirs := net.Pipe()
		defer ours.Close()
		go func() {
			_, _ = theirs.Write(data)
			_ = theirs.Close()
		}()
		c := newConn(ours, "peer")
		response, err := c.readHeader(http.MethodGet)
		if err != nil {
			return
		}
		size := 0
		for name, values := range response.Header {
			for _, v := range values {
				size += len(name) + len(v)
			}
		}
		// Canonical names share their bytes; continued lines get one space more.
		if size > 2*maxHeadBytes {
			t.Fatalf("header of %d bytes", size)
		}
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, 1<<20))
	})
}
