package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// stopSetup is a gateway that listens, for planned stops, with one plain backend server
// that responds at once, or never to requests whose id begins with "long".
type stopSetup struct {
	*setup
	mu   sync.Mutex
	runs map[string]int
}

func newStopSetup(t *testing.T, graceSeconds float64) *stopSetup {
	t.Helper()
	s := &stopSetup{setup: newSetup(t), runs: map[string]int{}}
	set := &s.g.settings
	set.GraceSeconds = graceSeconds
	set.CallerListen, set.ReadyListen, set.ShareListen, set.AdminListen = "127.0.0.1:0", "127.0.0.2:0", "127.0.0.1:0", "127.0.0.1:0"
	s.add("b0", "plain", "a", func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get("X-Id")
		s.mu.Lock()
		s.runs[id]++
		s.mu.Unlock()
		if len(id) > 4 && id[:4] == "long" {
			<-r.Context().Done()
			return
		}
		echo(w, r)
	})
	if err := s.g.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.g.Close)
	return s
}

func (s *stopSetup) runsOf(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// stopConn is a connection of a caller.
type stopConn struct {
	net.Conn
	responses *bufio.Reader
}

func (s *stopSetup) connect() *stopConn {
	s.t.Helper()
	c, err := net.Dial("tcp", s.g.callerListener.Addr().String())
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = c.Close() })
	return &stopConn{c, bufio.NewReader(c)}
}

// send sends a request that may run only once and for which the caller waits waitMs.
func (c *stopConn) send(id string, waitMs int) {
	_, _ = fmt.Fprintf(c, "POST /once/x HTTP/1.1\r\nHost: h.example\r\nX-Id: %s\r\nX-Key: %s\r\nX-Wait-Ms: %d\r\nContent-Length: 4\r\n\r\nbody",
		id, testKey, waitMs)
}

// receive returns the status of the next response, or 0 with the error of reading it.
func (c *stopConn) receive() (int, error) {
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	response, err := http.ReadResponse(c.responses, nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// Guards against a request that comes late in a planned stop, is passed on, and is cut at
// the end of the grace time: its caller can't know whether it has run.
func TestRequestLateInAPlannedStopEndsOrIsRefused(t *testing.T) {
	const graceSeconds = 4
	s := newStopSetup(t, graceSeconds)
	open, late, short := s.connect(), s.connect(), s.connect()
	open.send("long-open", 5000)
	for s.runsOf("long-open") == 0 {
		time.Sleep(time.Millisecond)
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_ = s.g.Stop()
	}()
	time.Sleep((graceSeconds*time.Second-stopMargin)/2 + 300*time.Millisecond)
	late.send("long-late", 5000)
	short.send("short", 500)
	if status, err := late.receive(); status != http.StatusServiceUnavailable || s.runsOf("long-late") != 0 {
		t.Errorf("a late request: status %d, %v, %d runs; expected that it is refused and not passed on", status, err, s.runsOf("long-late"))
	}
	if status, err := short.receive(); status != http.StatusOK {
		t.Errorf("a late request that ends in time: status %d, %v", status, err)
	}
	// A request that is open at the end gets a response as well.
	if status, err := open.receive(); status != http.StatusGatewayTimeout || s.runsOf("long-open") != 1 {
		t.Errorf("an open request: status %d, %v, %d runs; expected that its outcome is unknown", status, err, s.runsOf("long-open"))
	}
	<-stopped
}

// Guards against a request that is passed on when the process has seen its last request
// and is about to end.
func TestRequestAfterTheLastOneIsRefused(t *testing.T) {
	s := newStopSetup(t, 1.5)
	c := s.connect()
	if err := s.g.Stop(); err != nil {
		t.Fatal(err)
	}
	r := &request{deadline: s.g.started}
	if s.g.checkStop(r) == nil {
		t.Error("a request would be passed on after the stop")
	}
	c.send("long-after", 100)
	if status, err := c.receive(); err == nil || s.runsOf("long-after") != 0 {
		t.Errorf("status %d, %v, %d runs", status, err, s.runsOf("long-after"))
	}
}
