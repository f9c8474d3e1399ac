package hostile

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
)

// endlessServerBytes is how much an EndlessServer sends on one connection. Then it keeps the
// connection open.
const endlessServerBytes = 24 << 20

// EndlessResponse is a response that has no end.
type EndlessResponse struct {
	Name string
	// First is sent once, with %s in place of the id of the request, and Repeated again and
	// again after it. If Repeated is empty, the connection is closed in its place.
	First, Repeated string
}

// EndlessHeads returns responses whose head has no end.
func EndlessHeads() []EndlessResponse {
	return []EndlessResponse{
		{"status line", "HTTP/1.1 200 ", "O"},
		{"header line", "HTTP/1.1 200 OK\r\nX-Filler: ", "x"},
		{"header lines", "HTTP/1.1 200 OK\r\n", "X-Filler: y\r\n"},
		{"informational responses", "", "HTTP/1.1 103 Early Hints\r\nX-Filler: yyyyyyyy\r\n\r\n"},
		{"no HTTP", "", "\x00"},
	}
}

// EndlessBodies returns responses whose body has no end. The header idHeader holds the id of the
// request.
func EndlessBodies(idHeader, contentType string) []EndlessResponse {
	head := "HTTP/1.1 200 OK\r\n" + idHeader + ": %s\r\nContent-Type: " + contentType + "\r\n"
	chunked := head + "Transfer-Encoding: chunked\r\n\r\n"
	chunk := fmt.Sprintf("%x\r\n%s\r\n", pieceBytes, filler)
	return []EndlessResponse{
		{"body without a length", head + "\r\n", "x"},
		{"body with a length", head + "Content-Length: 1000000000000\r\n\r\n", "x"},
		{"chunks", chunked, chunk},
		{"one chunk", chunked + "fffffffffff\r\n", "x"},
		{"chunk line", chunked, "1"},
		{"chunk extension", chunked + "4;", "x"},
		{"trailer", chunked + "0\r\n", "X-Filler: y\r\n"},
	}
}

// EndlessStreams returns streams of server-sent events that have no end, each after a first event
// that firstEvent holds.
func EndlessStreams(idHeader, firstEvent string) []EndlessResponse {
	head := "HTTP/1.1 200 OK\r\n" + idHeader + ": %s\r\nContent-Type: text/event-stream\r\n\r\n" + firstEvent
	return []EndlessResponse{
		{"event", head + "data: ", "x"},
		{"fields of an event", head, "data: x\n"},
		{"comments", head, ": x\n"},
		{"blank lines", head, "\n"},
	}
}

// EndlessServer is a faulty server whose responses have no end.
type EndlessServer struct {
	Address string
	// Connections counts the connections on which it has begun to respond.
	Connections atomic.Int64
	idHeader    string
	response    atomic.Pointer[EndlessResponse]
}

// StartEndlessServer starts a server on a loopback address, until the test ends. The id of a
// request is in its header idHeader.
func StartEndlessServer(t testing.TB, idHeader string) *EndlessServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &EndlessServer{Address: l.Addr().String(), idHeader: idHeader}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s
}

// Respond sets the response to all requests.
func (s *EndlessServer) Respond(response EndlessResponse) {
	s.Connections.Store(0)
	s.response.Store(&response)
}

// serve reads one request, whatever its path, and responds.
func (s *EndlessServer) serve(c net.Conn) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	response := s.response.Load()
	if err != nil || response == nil {
		return
	}
	s.Connections.Add(1)
	if _, err := io.WriteString(c, strings.ReplaceAll(response.First, "%s", r.Header.Get(s.idHeader))); err != nil {
		return
	}
	if response.Repeated == "" {
		return
	}
	block := bytes.Repeat([]byte(response.Repeated), max(1, pieceBytes/len(response.Repeated)))
	for sent := 0; sent < endlessServerBytes; sent += len(block) {
		if _, err := c.Write(block); err != nil {
			return
		}
	}
	_, _ = io.Copy(io.Discard, c)
}
