// Package rawbackend is a backend server for tests. It writes given bytes to the
// connection and ends it in a given way, also while the body of the request is still
// being sent, which a server of net/http doesn't do. Only tests import it.
package rawbackend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// LongBodyBytes is the size of a request body that doesn't fit in the buffers of a
// connection whose other end doesn't read it.
const LongBodyBytes = 3 << 20

const (
	// receiveBufferBytes keeps most of a long body at the sender. Connections whose body is
	// read have the default buffer, as reading through a small one takes a second for 3 MB.
	receiveBufferBytes = 16 << 10
	// readBytes is how much of the body is read before the response.
	readBytes = 64
	// endDelay is the time between the response and the end of the connection: the
	// response has been read by then, and the body is still being written.
	endDelay = 20 * time.Millisecond
)

// End is how a connection ends after the response.
type End string

// The ends.
const (
	// Reset: the connection is reset.
	Reset End = "reset"
	// CloseAndReset: the sending side is closed in an orderly way, and the connection is
	// reset after endDelay.
	CloseAndReset End = "closed, then reset"
	// CloseMidway: half of a long body is read as fast as it arrives, the sending side is
	// closed in an orderly way at once, and the connection is reset after endDelay. All that
	// has arrived may be acknowledged at the end, while the rest is on its way.
	CloseMidway End = "closed midway, then reset"
	// Close: the body is read to its end, and the connection is closed in an orderly way.
	Close End = "closed"
)

// Response is what the server sends in response to each request.
type Response struct {
	// Bytes are written as they are, except that %s stands for the id of the request.
	Bytes string
	End   End
}

// sendBufferBytes is the size of the send buffer of Dial.
const sendBufferBytes = 64 << 10

// Dial connects with a small send buffer, so that a long body is still being written when
// the connection ends. The send buffer of a connection on the loopback interface holds
// all of it otherwise, and no write can fail.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return conn, conn.(*net.TCPConn).SetWriteBuffer(sendBufferBytes)
}

// Server is a backend server.
type Server struct {
	Address string
	// IDHeader names the header with the id of a request.
	IDHeader string
	Response Response
	// Boot is the boot number that health checks get; they don't count as requests.
	Boot uint64
	// Requests counts the requests whose head was read.
	Requests atomic.Int32
}

// Serve starts s, until the test ends.
func (s *Server) Serve(t testing.TB) *Server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s.Address = l.Addr().String()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c.(*net.TCPConn))
		}
	}()
	return s
}

func (s *Server) serve(c *net.TCPConn) {
	defer c.Close()
	if s.Response.End == Reset || s.Response.End == CloseAndReset {
		_ = c.SetReadBuffer(receiveBufferBytes)
	}
	r, err := http.ReadRequest(bufio.NewReaderSize(c, readBytes))
	if err != nil {
		return
	}
	if r.URL.Path == "/health" {
		doc := fmt.Sprintf(`{"boot": %d}`, s.Boot)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(doc), doc)
		return
	}
	s.Requests.Add(1)
	bodyBytes := map[End]int64{Reset: readBytes, CloseAndReset: readBytes, CloseMidway: LongBodyBytes / 2, Close: math.MaxInt64}
	_, _ = io.CopyN(io.Discard, r.Body, bodyBytes[s.Response.End])
	_, _ = io.WriteString(c, strings.ReplaceAll(s.Response.Bytes, "%s", r.Header.Get(s.IDHeader)))
	switch s.Response.End {
	case Close:
		return
	case Reset:
		time.Sleep(endDelay)
	case CloseAndReset:
		time.Sleep(endDelay)
		closeAndWait(c)
	case CloseMidway:
		closeAndWait(c)
	}
	_ = c.SetLinger(0)
}

// closeAndWait closes the sending side and waits for endDelay.
func closeAndWait(c *net.TCPConn) {
	_ = c.CloseWrite()
	time.Sleep(endDelay)
}

// EarlyEnds returns responses of which only part arrives, before the request was read:
// head is a status line and header lines without the length of the body.
func EarlyEnds(head, part string) map[string]Response {
	responses := map[string]Response{}
	for _, end := range []End{Reset, CloseAndReset, CloseMidway} {
		responses["no length, "+string(end)] = Response{head + "\r\n" + part, end}
		responses["chunks, "+string(end)] = Response{
			fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", head, len(part), part), end,
		}
	}
	return responses
}

// Whole returns a response whose body ends with its connection, after the whole request was
// read. head is as for EarlyEnds.
func Whole(head, body string) Response { return Response{head + "\r\n" + body, Close} }

// NoStatuses are status codes that a final response doesn't have: those that aren't three
// digits, informational ones, and those that HTTP doesn't define (RFC 9110, section 15).
var NoStatuses = []string{
	"000", "0", "00200", "20", "2000", "-200", "-20", "+20", "+200", "099", "100", "103", "199", "101", "600", "999",
}

// WithStatus returns whole responses with body and each of NoStatuses. header is header
// lines.
func WithStatus(header, body string) map[string]Response {
	responses := map[string]Response{}
	for _, status := range NoStatuses {
		bytes := fmt.Sprintf("HTTP/1.1 %s X\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(body), body)
		responses["status "+status] = Response{bytes, Close}
		// What follows a response that is none isn't the response either.
		if status == "000" || status == "+20" || status == "099" {
			ok := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", header, len(body), body)
			responses["status "+status+", then 200"] = Response{fmt.Sprintf("HTTP/1.1 %s X\r\n%s\r\n%s", status, header, ok), Close}
		}
	}
	return responses
}
