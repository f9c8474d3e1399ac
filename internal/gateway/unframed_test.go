package gateway

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"bilberryhub/internal/bootclock"
	"bilberryhub/internal/reach"
)

// rawServer announces a backend server that reads a request and writes response to the
// connection, where %s stands for the id of the request. It resets the connection
// afterwards if isReset is set and closes it otherwise. It returns its address.
func (s *setup) rawServer(id, service, response string, isReset bool) string {
	s.t.Helper()
	return s.serveRaw(id, service, response, func(c net.Conn) {
		if isReset {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		_ = c.Close()
	})
}

// serveRaw is rawServer with an own end of the connection.
func (s *setup) serveRaw(id, service, response string, end func(net.Conn)) string {
	s.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			r, err := http.ReadRequest(bufio.NewReader(c))
			if err == nil {
				_, _ = r.Body.Read(make([]byte, 64))
				_, _ = fmt.Fprintf(c, response, r.Header.Get("X-Id"))
			}
			end(c)
		}
	}()
	s.announce(id, service, "a", l.Addr().String())
	return l.Addr().String()
}

const unframedHead = "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Type: text/event-stream\r\n\r\n"

// unframedResponses are responses without a length and without chunks.
var unframedResponses = map[string]struct {
	path, body string
	isReset    bool
	isComplete bool
}{
	"stream":                   {"/rigid/x", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", false, true},
	"stream cut in an event":   {"/rigid/x", "id: 1\ndata: a\n\nid: 2\ndata: b\n", false, false},
	"stream cut in a field":    {"/rigid/x", "id: 1\ndata: a\n\nid: 2\nda", false, false},
	"stream that is reset":     {"/rigid/x", "id: 1\ndata: a\n\n", true, false},
	"response":                 {"/once/x", "whole", false, true},
	"response that is reset":   {"/once/x", "part", true, false},
	"stream without any event": {"/rigid/x", "", true, false},
}

// serviceOf returns the service of a route of testVersion.
func serviceOf(path string) string {
	if strings.HasPrefix(path, "/once") || strings.HasPrefix(path, "/safe") {
		return "plain"
	}
	return "model"
}

// checkUnframed sends a request and checks whether its response looks complete.
func (s *setup) checkUnframed(path, wantBody string, wantComplete bool) {
	s.t.Helper()
	resp, body, err := s.call(path, "X-Prompt", "100")
	isComplete := err == nil && resp.StatusCode == http.StatusOK
	if isComplete != wantComplete || (isComplete && body != wantBody) {
		s.t.Errorf("complete %v, body %q, error %v; expected complete %v", isComplete, body, err, wantComplete)
	}
}

// Guards against responses without a length and without chunks that count as incomplete,
// or that count as complete although the connection was reset or an event was cut.
func TestResponsesThatEndWithTheirConnection(t *testing.T) {
	for name, c := range unframedResponses {
		t.Run(name, func(t *testing.T) {
			s := newSetup(t)
			s.rawServer("server-1", serviceOf(c.path), unframedHead+c.body, c.isReset)
			s.checkUnframed(c.path, c.body, c.isComplete)
		})
	}
}

// newIsolatedSetup returns a gateway that sends all requests through another one.
func newIsolatedSetup(t *testing.T) *isolationSetup {
	t.Helper()
	s := newIsolationSetup(t, 1)
	s.path.set(pathRefuses)
	now := bootclock.Now()
	s.g.isolation.mu.Lock()
	defer s.g.isolation.mu.Unlock()
	s.g.isolation.state.RecordFailure(reach.Server{Key: 1}, reach.Known{Servers: 3, Domains: 1}, now, now)
	s.g.isolation.state.RecordFailure(reach.Server{Key: 2}, reach.Known{Servers: 3, Domains: 1}, now, now)
	return s
}

// Guards against a truncated response that looks complete because it came through another
// gateway, where the reset of a connection was read as its end.
func TestResponsesThatEndWithTheirConnectionThroughAnotherGateway(t *testing.T) {
	for name, c := range unframedResponses {
		t.Run(name, func(t *testing.T) {
			s := newIsolatedSetup(t)
			address := s.rawServer("server-1", serviceOf(c.path), unframedHead+c.body, c.isReset)
			s.others[0].announce("server-1", serviceOf(c.path), "a", address)
			s.checkUnframed(c.path, c.body, c.isComplete)
		})
	}
}

// Guards against a truncated response that looks complete because the other gateway, or
// the session with it, has ended.
func TestResponseWhoseWayEndsIsIncomplete(t *testing.T) {
	for name, end := range map[string]func(*isolationSetup){
		"the other gateway ends": func(s *isolationSetup) { _ = s.servers[0].Close() },
		"the session ends":       func(s *isolationSetup) { s.g.members.clients.Close() },
	} {
		for _, path := range []string{"/once/x", "/rigid/x"} {
			t.Run(name+" "+path, func(t *testing.T) {
				s := newIsolatedSetup(t)
				response := unframedHead + "id: 1\ndata: a\n\n"
				address := s.serveRaw("server-1", serviceOf(path), response, func(c net.Conn) {
					time.Sleep(100 * time.Millisecond)
					end(s)
					time.Sleep(100 * time.Millisecond)
					_ = c.Close()
				})
				s.others[0].announce("server-1", serviceOf(path), "a", address)
				s.checkUnframed(path, "", false)
			})
		}
	}
}

// Guards against a truncated response that looks complete because this gateway has closed
// its connection through another one at the deadline.
func TestResponseCutAtTheDeadlineIsIncomplete(t *testing.T) {
	s := newIsolatedSetup(t)
	address := s.serveRaw("server-1", "plain", unframedHead+"part", func(c net.Conn) {
		time.Sleep(time.Second)
		_ = c.Close()
	})
	s.others[0].announce("server-1", "plain", "a", address)
	resp, body, err := s.call("/once/x", "X-Wait-Ms", "400")
	if err == nil && resp.StatusCode == http.StatusOK {
		t.Errorf("the response looks complete: %q", body)
	}
}

// Guards against a success without a body, or with a part of it, that a caller gets from a
// response whose head breaks off.
func TestResponseWhoseHeadBreaksOffIsIncomplete(t *testing.T) {
	for _, head := range []string{
		"", "HTTP/1.1 200", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nX-I", "HTTP/1.1 200 OK\r\nX-Id: %s",
		"HTTP/1.1 200 OK\r\nX-Id: %s\r\n", "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 8", "HTTP/1.1 200 OK\r\nX-Id: %s\r\n\r",
	} {
		for _, path := range []string{"/once/x", "/rigid/x"} {
			t.Run(strings.ReplaceAll(head, "/", " ")+path, func(t *testing.T) {
				s := newSetup(t)
				s.rawServer("server-1", serviceOf(path), head+"%.0s", false)
				s.checkUnframed(path, "", false)
				through := newIsolatedSetup(t)
				address := through.rawServer("server-1", serviceOf(path), head+"%.0s", false)
				through.others[0].announce("server-1", serviceOf(path), "a", address)
				through.checkUnframed(path, "", false)
			})
		}
	}
}
