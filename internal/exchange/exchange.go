// Package exchange is an HTTP/1.1 client that sends one request to one backend
// server and returns the response. It pools connections.
//
// It exists because the transport of net/http retries requests on its own when a
// reused connection breaks, and cannot distinguish a stale response from the
// expected one. This package never retries a request, matches every response to
// its request by id before any of its bytes are returned, and does not reuse a
// connection on which anything unexpected was received. It parses responses with
// net/http. It does not choose backend servers, follow redirects or decode content
// encodings.
package exchange

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"

	"bilberryhub/internal/backendconn"
	"bilberryhub/internal/wire"
)

const (
	// dialTimeout bounds one dial: a round trip and the handshake take a few ms,
	// and trying another backend server is faster than waiting for the
	// retransmission of a lost packet.
	dialTimeout = 300 * time.Millisecond
	// defaultIdleTimeout is how long a connection is kept idle if the backend
	// server states no timeout.
	defaultIdleTimeout = 3 * time.Second
	// idleMargin is subtracted from a stated timeout, so that a connection is not
	// used while the backend server is closing it.
	idleMargin = 700 * time.Millisecond
	// maxStaleResponses bounds the responses that are read for one request: those
	// to earlier requests are skipped. maxSkippedBytes bounds the body of one that is
	// skipped; a new connection costs less than reading more.
	maxStaleResponses = 3
	maxSkippedBytes   = 256 << 10
	// maxHeadBytes bounds the status line and header of a response together with the
	// informational responses before it, and maxInformational the number of these.
	maxHeadBytes     = 64 << 10
	maxInformational = 8
)

var connectionsDialed = metrics.GetOrCreateCounter(`bilberry_backend_connections_total`)

// NotSentError reports that no connection could be made, which proves that the
// backend server has not received the request. After any other error of Do the
// backend server may have executed the request.
type NotSentError struct {
	Address string
	Err     error
}

func (e *NotSentError) Error() string { return "connect to " + e.Address + ": " + e.Err.Error() }

// Unwrap returns the error of the dial.
func (e *NotSentError) Unwrap() error { return e.Err }

// Errors for responses that must not be forwarded.
var (
	// ErrRequestMismatch means that the response belongs to another request.
	ErrRequestMismatch = errors.New("the answer belongs to another request")
	// ErrContentEncoding means that the response has a Content-Encoding.
	ErrContentEncoding = errors.New("the answer is encoded")
	// ErrTooLarge means that a part of the response that has to be held in memory, or
	// that is skipped, exceeds its bound.
	ErrTooLarge = errors.New("the answer exceeds a bound")
)

// Request is one request to one backend server.
type Request struct {
	// Address is the network address of the backend server.
	Address string
	Method  string
	// Target is the request target, exactly as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// NewConnection forces a new connection: if the backend server closes a reused
	// connection when the request is sent, this looks like a lost response.
	NewConnection bool
	// Matches reports whether a response with this header belongs to the request.
	// If it is nil, the first response is accepted.
	Matches func(http.Header) bool
	// Skipped, if set, is called with the head of each response that doesn't match.
	Skipped func(status int, header http.Header)
	// Dial, if set, makes a new connection for this request only, which isn't kept
	// afterwards.
	Dial DialFunc
	// Dialed, if set, is called with the result of a dial that wasn't canceled.
	Dialed func(err error)
}

// DialFunc connects to an address.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Response is the response of a backend server. The caller reads Body and calls
// Close, which returns the connection to the pool if the body was read to its
// end.
type Response struct {
	Status int
	Header http.Header
	Body   io.Reader

	conn   *conn
	pool   *Pool
	parsed *http.Response
	// complete is set when the body was read to its end.
	complete bool
	// stop detaches the connection from the context of the request.
	stop func() bool
}

// conn is a connection to a backend server.
type conn struct {
	net.Conn
	address string
	source  *headLimiter
	r       *bufio.Reader
	// expires is the time from which on an idle connection must not be used.
	expires time.Time
	// isSingleUse is set if the connection must not be kept after the response.
	isSingleUse bool
	// written is closed when the write of the request has ended; writeErr is set
	// before.
	written  chan struct{}
	writeErr error
}

// Pool keeps idle connections by address. It is safe for concurrent use.
type Pool struct {
	// MaxIdle bounds the number of idle connections to one address.
	MaxIdle int
	// Dial makes new connections.
	Dial DialFunc

	mu   sync.Mutex
	idle map[string][]*conn
}

// NewPool returns an empty pool that keeps up to maxIdle idle connections to each
// address.
func NewPool(maxIdle int) *Pool {
	return &Pool{MaxIdle: maxIdle, Dial: dial, idle: map[string][]*conn{}}
}

// dial connects over TCP. It returns an error after dialTimeout.
func dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return wire.Dialer().DialContext(ctx, "tcp", address)
}

// Do sends r and returns the response once its header was read. Cancelling ctx
// closes the connection, also while the body is read. The error is a *NotSentError
// if no connection could be made.
func (p *Pool) Do(ctx context.Context, r Request) (*Response, error) {
	c, err := p.connect(ctx, r)
	if err != nil {
		return nil, &NotSentError{Address: r.Address, Err: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	resp, err := p.exchange(c, r)
	if err != nil {
		stop()
		_ = c.Close()
		return nil, errors.Trace(err)
	}
	resp.stop = stop
	return resp, nil
}

// connect returns an idle connection or dials a new one.
func (p *Pool) connect(ctx context.Context, r Request) (*conn, error) {
	if !r.NewConnection && r.Dial == nil {
		if c := p.takeIdle(r.Address); c != nil {
			return c, nil
		}
	}
	connectionsDialed.Inc()
	dial := p.Dial
	if r.Dial != nil {
		dial = r.Dial
	}
	nc, err := dial(ctx, r.Address)
	if r.Dialed != nil && (err == nil || ctx.Err() == nil) {
		r.Dialed(err)
	}
	if err != nil {
		return nil, err
	}
	c := newConn(nc, r.Address)
	c.isSingleUse = r.Dial != nil
	return c, nil
}

func newConn(nc net.Conn, address string) *conn {
	source := &headLimiter{r: backendconn.Reader{Conn: nc}}
	return &conn{Conn: nc, address: address, source: source, r: bufio.NewReaderSize(source, readBufferBytes)}
}

// readBufferBytes is the size of the read buffer of a connection. It also bounds a
// chunk-size line and the trailer of a chunked body, which net/http reads within the
// buffer.
const readBufferBytes = 4 << 10

// headLimiter is a reader that fails after a number of bytes while the head of a
// response is read: net/http bounds neither a line nor their number.
type headLimiter struct {
	r io.Reader
	// isHead is set while a head is read, and left is what may still be read of it.
	isHead bool
	left   int
	// exceeded is set when a head was larger. The parser reports other errors then.
	exceeded bool
}

func (l *headLimiter) Read(buf []byte) (int, error) {
	if !l.isHead {
		return l.r.Read(buf)
	}
	if l.left <= 0 {
		l.exceeded = true
		return 0, ErrTooLarge
	}
	n, err := l.r.Read(buf[:min(len(buf), l.left)])
	l.left -= n
	return n, err
}

// takeIdle removes an idle connection from the pool, the one used last, and returns
// it. It closes those that have expired, were closed by the peer or have data to
// read, and returns nil if none is left.
func (p *Pool) takeIdle(address string) *conn {
	now := time.Now()
	for {
		p.mu.Lock()
		list := p.idle[address]
		if len(list) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := list[len(list)-1]
		p.idle[address] = list[:len(list)-1]
		p.mu.Unlock()
		if now.Before(c.expires) && c.isIdle() {
			return c
		}
		_ = c.Close()
	}
}

// isIdle reports whether the connection is open and has nothing to read.
func (c *conn) isIdle() bool { return c.r.Buffered() == 0 && wire.StateOf(c.Conn) == wire.SocketQuiet }

// Probe dials a backend server and adds the connection to the pool, for a later
// request. It returns a *NotSentError if the dial fails or times out; the timeout
// is that of a dial for a request.
func (p *Pool) Probe(ctx context.Context, address string) error {
	c, err := p.connect(ctx, Request{Address: address, NewConnection: true})
	if err != nil {
		return &NotSentError{Address: address, Err: err}
	}
	c.expires = time.Now().Add(probeIdleTimeout)
	p.putIdle(c)
	return nil
}

// probeIdleTimeout is how long a connection made by Probe is kept idle. It is
// shorter than the idle timeout of any backend server, which has not been stated
// before the first response.
const probeIdleTimeout = time.Second

// Drop closes the idle connections to an address.
func (p *Pool) Drop(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		_ = c.Close()
	}
	delete(p.idle, address)
}

// putIdle adds a connection to the pool, or closes it if there are MaxIdle already.
func (p *Pool) putIdle(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.address]) >= p.MaxIdle {
		_ = c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// Sweep closes the idle connections that have expired.
func (p *Pool) Sweep() {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.expires) {
				kept = append(kept, c)
			} else {
				_ = c.Close()
			}
		}
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
}

// maxBlockingWriteBytes is the size up to which a request is written in full before
// the response is read. A larger one is written while the response is awaited,
// because a backend server may respond before it has read the whole body.
const maxBlockingWriteBytes = 16 << 10

// exchange writes r to c and reads the response up to its header. It skips late
// responses to earlier requests.
func (p *Pool) exchange(c *conn, r Request) (*Response, error) {
	c.written = make(chan struct{})
	head := encodeHead(r)
	if len(head)+len(r.Body) <= maxBlockingWriteBytes {
		_, c.writeErr = c.Write(append(head, r.Body...))
		close(c.written)
		if c.writeErr != nil {
			return nil, errors.Annotatef(c.writeErr, "send to %s", c.address)
		}
	} else {
		go func() {
			// The body isn't copied: the memory of callers is counted once.
			_, c.writeErr = (&net.Buffers{head, r.Body}).WriteTo(c.Conn)
			close(c.written)
		}()
	}
	for range maxStaleResponses {
		response, err := c.readHeader(r.Method)
		if err != nil {
			return nil, errors.Annotatef(err, "answer of %s", c.address)
		}
		if r.Matches == nil || r.Matches(response.Header) {
			if response.Header.Get("Content-Encoding") != "" {
				return nil, errors.Annotatef(ErrContentEncoding, "answer of %s", c.address)
			}
			return p.newResponse(c, response), nil
		}
		if r.Skipped != nil {
			r.Skipped(response.StatusCode, response.Header)
		}
		// This is a late response to an earlier request on the connection.
		if r.NewConnection || response.ContentLength < 0 && !isChunked(response) {
			break
		}
		n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxSkippedBytes+1))
		if err == nil && n > maxSkippedBytes {
			err = errors.Annotatef(ErrTooLarge, "body of more than %d bytes", maxSkippedBytes)
		}
		if err != nil {
			return nil, errors.Annotatef(err, "late answer of %s", c.address)
		}
	}
	return nil, errors.Annotatef(ErrRequestMismatch, "answer of %s", c.address)
}

// readHeader reads the status line and header of the next response that is not
// informational (status 1xx). The error is ErrTooLarge over maxHeadBytes or
// maxInformational, and backendconn.ErrUndefinedStatus for a status that HTTP doesn't
// define: neither is the response, nor may it be skipped like an informational one.
func (c *conn) readHeader(method string) (*http.Response, error) {
	c.source.isHead, c.source.left = true, maxHeadBytes
	defer func() { c.source.isHead = false }()
	for range maxInformational + 1 {
		response, err := http.ReadResponse(c.r, &http.Request{Method: method})
		if c.source.exceeded {
			return nil, errors.Annotatef(ErrTooLarge, "head of more than %d bytes", maxHeadBytes)
		}
		if err != nil {
			return nil, err
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("switches protocols unasked")
		}
		if response.StatusCode < http.StatusContinue || response.StatusCode >= http.StatusOK {
			return response, backendconn.CheckStatus(response.StatusCode)
		}
	}
	return nil, errors.Annotatef(ErrTooLarge, "more than %d informational responses", maxInformational)
}

// Framing is what marks the end of the body of a response.
type Framing string

// The framings.
const (
	FramedByLength     Framing = "length"
	FramedByChunks     Framing = "chunks"
	FramedByConnection Framing = "connection"
)

// Framing returns how the body is framed.
func (resp *Response) Framing() Framing {
	switch {
	case isChunked(resp.parsed):
		return FramedByChunks
	case resp.parsed.ContentLength >= 0:
		return FramedByLength
	}
	return FramedByConnection
}

// isChunked reports whether the body has the chunked transfer encoding.
func isChunked(r *http.Response) bool {
	return len(r.TransferEncoding) > 0 && r.TransferEncoding[0] == "chunked"
}

// encodeHead returns the request without its body as it is written to the connection.
func encodeHead(r Request) []byte {
	var b bytes.Buffer
	b.Grow(512)
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	_ = r.Header.Write(&b)
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// newResponse returns the Response for a response that was read from c.
func (p *Pool) newResponse(c *conn, response *http.Response) *Response {
	resp := &Response{Status: response.StatusCode, Header: response.Header, conn: c, pool: p, parsed: response}
	resp.Body = (*body)(resp)
	return resp
}

// body reads the body of a Response and records when it has reached the end.
type body Response

func (b *body) Read(buf []byte) (int, error) {
	n, err := b.parsed.Body.Read(buf)
	if err == io.EOF && (*Response)(b).Framing() == FramedByConnection && !b.conn.isRequestWritten() {
		err = backendconn.ErrRequestUnread
	}
	if err == io.EOF {
		b.complete = true
	}
	return n, err
}

// isRequestWritten reports whether the request was written in full. It waits for the end of
// the write for up to backendconn.WriteEndTimeout.
func (c *conn) isRequestWritten() bool {
	timer := time.NewTimer(backendconn.WriteEndTimeout)
	defer timer.Stop()
	select {
	case <-c.written:
		return c.writeErr == nil
	case <-timer.C:
		return false
	}
}

// Length returns the length of the body that the head states, in bytes, or -1 if it states
// none.
func (resp *Response) Length() int64 { return resp.parsed.ContentLength }

// Complete reports whether the body was read to its end.
func (resp *Response) Complete() bool { return resp.complete }

// EndError returns why a body that has ended with its connection isn't complete because of
// what has happened on the connection since: a backend server that doesn't read the rest of
// the request may close its connection in an orderly way first and reset it then. It returns
// nil for other bodies and for connections through a peer, which checks this itself.
func (resp *Response) EndError() error {
	if resp.Framing() != FramedByConnection {
		return nil
	}
	return backendconn.EndError(resp.conn.Conn)
}

// Close returns the connection to the pool if the request and the response are
// complete and the connection can carry another request, and closes it otherwise.
func (resp *Response) Close() {
	stopped := resp.stop()
	if !stopped || !resp.complete || !resp.isConnReusable() {
		_ = resp.conn.Close()
		return
	}
	resp.conn.expires = time.Now().Add(idleTimeout(resp.Header))
	resp.pool.putIdle(resp.conn)
}

// isConnReusable reports whether the connection can carry another request after
// this response.
func (resp *Response) isConnReusable() bool {
	select {
	case <-resp.conn.written:
	default:
		// The backend server would parse the rest of the request as the next
		// request.
		return false
	}
	if resp.conn.isSingleUse {
		return false
	}
	return resp.conn.writeErr == nil && resp.Framing() != FramedByConnection && !resp.parsed.Close && resp.conn.r.Buffered() == 0
}

// idleTimeout returns how long a connection may stay idle after a response with
// header h.
func idleTimeout(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return max(0, time.Duration(seconds)*time.Second-idleMargin)
		}
	}
	return defaultIdleTimeout
}

// ReadAll returns the whole body. It returns an error if the body is truncated or
// larger than limit, in bytes.
func (resp *Response) ReadAll(limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	switch {
	case err != nil:
		return nil, errors.Annotatef(err, "body of %s", resp.conn.address)
	case int64(len(data)) > limit:
		return nil, errors.Errorf("body of %s is larger than %d bytes", resp.conn.address, limit)
	}
	return data, nil
}
