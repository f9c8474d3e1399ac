package gateway

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
)

// rawServer announces a backend server that reads a request and writes response to the
// connection, where %s stands for the id of the request. It resets the connection
// afterwards if isReset is set and closes it otherwise.
func (s *setup) rawServer(id, service, response string, isReset bool) {
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
			if isReset {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			_ = c.Close()
		}
	}()
	s.announce(id, service, "a", l.Addr().String())
}

// Guards against responses without a length and without chunks that count as incomplete,
// or that count as complete although the connection was reset or an event was cut.
func TestResponsesThatEndWithTheirConnection(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Type: text/event-stream\r\n\r\n"
	for name, c := range map[string]struct {
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
	} {
		t.Run(name, func(t *testing.T) {
			s := newSetup(t)
			service := "model"
			if strings.HasPrefix(c.path, "/once") {
				service = "plain"
			}
			s.rawServer("server-1", service, head+c.body, c.isReset)
			resp, body, err := s.call(c.path, "X-Prompt", "100")
			isComplete := err == nil && resp.StatusCode == http.StatusOK
			if isComplete != c.isComplete || (isComplete && body != c.body) {
				t.Errorf("complete %v, body %q, error %v; expected complete %v", isComplete, body, err, c.isComplete)
			}
		})
	}
}
