package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// slowConn delivers what it has read late, like a process that is preempted right after
// the read.
type slowConn struct {
	net.Conn
	read chan struct{}
}

func (c slowConn) Read(buf []byte) (int, error) {
	n, err := c.Conn.Read(buf)
	if n > 0 {
		c.read <- struct{}{}
		time.Sleep(100 * time.Millisecond)
	}
	return n, err
}

type slowListener struct {
	net.Listener
	read chan struct{}
}

func (l slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return slowConn{c, l.read}, nil
}

// send sends a request with the path /i.
func send(t *testing.T, c net.Conn, i int) {
	t.Helper()
	if _, err := fmt.Fprintf(c, "GET /%d HTTP/1.1\r\nHost: h\r\n\r\n", i); err != nil {
		t.Fatal(err)
	}
}

// A request that arrives on a kept connection at the moment of a planned stop is read by
// the process, and must get its response: its caller can't know whether it has run.
func TestPlannedStopAnswersARequestThatHasJustArrived(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	read := make(chan struct{}, 16)
	conns := newCallerConns()
	server := &http.Server{
		ConnState: func(c net.Conn, state http.ConnState) { conns.track(c.(slowConn).Conn, state) },
		Handler:   http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.URL.Path) }),
	}
	go func() { _ = server.Serve(slowListener{callerListener{l, conns}, read}) }()
	for i := range 5 {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		responses := bufio.NewReader(c)
		receive := func(i int) {
			response, err := http.ReadResponse(responses, nil)
			if err != nil {
				t.Fatalf("connection %d: request was read and got no response: %v", i, err)
			}
			body, err := io.ReadAll(response.Body)
			if err != nil || string(body) != fmt.Sprint("/", i) {
				t.Fatalf("got %q, %v", body, err)
			}
		}
		send(t, c, i)
		<-read
		receive(i)
		time.Sleep(20 * time.Millisecond) // until the connection is idle
		if i < 4 {
			continue
		}
		send(t, c, i)
		<-read
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_ = l.Close()
		if err := conns.drain(ctx, server); err != nil {
			t.Errorf("drain: %v", err)
		}
		receive(i)
		if _, err := responses.ReadByte(); err != io.EOF {
			t.Errorf("connection is open after the stop: %v", err)
		}
	}
}
