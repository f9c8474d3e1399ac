package callerconn

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"

	"bilberryhub/internal/wire"
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
	conns := NewSet()
	server := &http.Server{
		ConnState: func(c net.Conn, state http.ConnState) { conns.Track(c.(slowConn).Conn, state) },
		Handler:   http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.URL.Path) }),
	}
	go func() { _ = server.Serve(slowListener{conns.Listener(l), read}) }()
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
		if err := conns.Drain(ctx, server); err != nil {
			t.Errorf("drain: %v", err)
		}
		receive(i)
		if _, err := responses.ReadByte(); err != io.EOF {
			t.Errorf("connection is open after the stop: %v", err)
		}
	}
}

// callerServer is a server of callers whose handler records the paths of requests.
type callerServer struct {
	*http.Server
	conns   *Set
	address string
	handled sync.Map
}

func newCallerServer(t *testing.T) *callerServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &callerServer{conns: NewSet(), address: l.Addr().String()}
	s.Server = &http.Server{ConnState: s.conns.Track, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.handled.Store(r.URL.Path, true)
		_, _ = io.WriteString(w, r.URL.Path)
	})}
	go func() { _ = s.Serve(s.conns.Listener(l)) }()
	t.Cleanup(func() { _ = s.Close() })
	return s
}

// idleConn returns a connection on which one request was served.
func (s *callerServer) idleConn(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	responses := bufio.NewReader(c)
	send(t, c, 0)
	response, err := http.ReadResponse(responses, nil)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return c, responses
}

// Guards against a planned stop that closes a connection between the read of a request
// and the mark that it was read: the request is passed on and its response is lost.
func TestPlannedStopNeverDropsARequestThatItServes(t *testing.T) {
	const rounds, connections = 60, 16
	s := newCallerServer(t)
	for round := range rounds {
		s.SetKeepAlivesEnabled(true)
		var wg sync.WaitGroup
		start := make(chan struct{})
		for i := range connections {
			c, responses := s.idleConn(t)
			id := 1 + round*connections + i
			wg.Go(func() {
				<-start
				time.Sleep(time.Duration(id%8) * 20 * time.Microsecond)
				_, _ = fmt.Fprintf(c, "GET /%d HTTP/1.1\r\nHost: h\r\n\r\n", id)
				_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
				_, err := http.ReadResponse(responses, nil)
				if _, wasHandled := s.handled.Load(fmt.Sprint("/", id)); wasHandled && err != nil {
					t.Errorf("request %d was passed on and got no response: %v", id, err)
				}
			})
		}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		close(start)
		if err := s.conns.Drain(ctx, s.Server); err != nil {
			t.Errorf("drain: %v", err)
		}
		cancel()
		wg.Wait()
	}
}

// Guards against a planned stop that closes a connection as idle although a request waits
// in its socket: the caller would have to send it again, or can't know whether it has run.
func TestPlannedStopServesARequestThatWaitsInTheSocket(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	conns := NewSet()
	caller, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer caller.Close()
	accepted, err := conns.Listener(l).Accept()
	if err != nil {
		t.Fatal(err)
	}
	c := accepted.(*conn)
	conns.Track(c, http.StateIdle)
	_, _ = io.WriteString(caller, "GET")
	for wire.StateOf(c.Conn) != wire.SocketReadable {
		time.Sleep(time.Millisecond)
	}
	_ = c.Close()
	buf := make([]byte, 8)
	if n, err := c.Read(buf); err != nil || string(buf[:n]) != "GET" || conns.busy() != 1 {
		t.Fatalf("read %q, %v; %d connections count as busy", buf[:n], err, conns.busy())
	}
	// The request never becomes complete, and net/http gives up.
	conns.Track(c, http.StateClosed)
	if _, err := c.Conn.Read(buf); !errors.Is(err, net.ErrClosed) || conns.busy() != 0 {
		t.Fatalf("the connection stays open: %v", err)
	}
}
