// Package exchange carries one request to one backend server over HTTP/1.1 and
// hands back its answer.
//
// The standard transport repeats requests by itself when a kept connection
// breaks, and it cannot tell a stale answer from the expected one. Here nothing
// is ever repeated, every answer is checked for the id of its request before a
// byte of it is handed on, and a connection on which anything unexpected was
// seen is not used again. Parsing is that of net/http.
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
	"golang.org/x/sys/unix"

	"bilberryhub/internal/wire"
)

const (
	// dialTimeout bounds a new connection: a round trip and the handshake take a
	// few ms, and another backend server is tried sooner than a lost packet is
	// sent again.
	dialTimeout = 300 * time.Millisecond
	// defaultIdle is how long a connection without a stated limit is kept.
	defaultIdle = 3 * time.Second
	// idleMargin is taken off a stated limit, against a close that is under way.
	idleMargin = 700 * time.Millisecond
	// maxStaleAnswers bounds the answers to earlier requests that are skipped.
	maxStaleAnswers = 3
)

var dialled = metrics.GetOrCreateCounter(`bilberry_backend_connections_total`)

// NotSentError proves that the backend server has not received the request. After
// any other error of Do it may have run.
type NotSentError struct {
	Address string
	Err     error
}

func (e *NotSentError) Error() string { return "connect to " + e.Address + ": " + e.Err.Error() }

// Unwrap returns the error of the connection.
func (e *NotSentError) Unwrap() error { return e.Err }

// Errors of answers that must not be passed on.
var (
	ErrForeign  = errors.New("the answer belongs to another request")
	ErrEncoding = errors.New("the answer is encoded")
)

// Request is one request to one backend server.
type Request struct {
	Address string
	Method  string
	// Target is the request target, unchanged from the caller.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Fresh asks for a new connection: on a kept one, a close that is under way
	// looks like a lost answer.
	Fresh bool
	// Mine reports whether an answer with this header belongs to the request.
	Mine func(http.Header) bool
}

// Answer is the answer of a backend server. The caller reads Body and calls
// Close, which keeps the connection if the body was read to its end.
type Answer struct {
	Status int
	Header http.Header
	Body   io.Reader

	conn     *conn
	pool     *Pool
	response *http.Response
	complete bool
	stop     func() bool
}

type conn struct {
	net.Conn
	address string
	r       *bufio.Reader
	// expires is when it must not be used any more.
	expires time.Time
	// written is closed once the request was written in full.
	written  chan struct{}
	writeErr error
}

// Pool keeps idle connections by address. It is safe for concurrent use.
type Pool struct {
	// MaxIdle bounds the idle connections of one address.
	MaxIdle int

	mu   sync.Mutex
	idle map[string][]*conn
}

// NewPool returns an empty pool.
func NewPool(maxIdle int) *Pool { return &Pool{MaxIdle: maxIdle, idle: map[string][]*conn{}} }

// Do sends r and returns the head of the answer. Cancelling ctx closes the
// connection, also while the body is read.
func (p *Pool) Do(ctx context.Context, r Request) (*Answer, error) {
	c, err := p.connect(ctx, r)
	if err != nil {
		return nil, &NotSentError{Address: r.Address, Err: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	a, err := p.exchange(c, r)
	if err != nil {
		stop()
		_ = c.Close()
		return nil, errors.Trace(err)
	}
	a.stop = stop
	return a, nil
}

func (p *Pool) connect(ctx context.Context, r Request) (*conn, error) {
	if !r.Fresh {
		if c := p.take(r.Address); c != nil {
			return c, nil
		}
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	dialled.Inc()
	nc, err := wire.Dialer().DialContext(ctx, "tcp", r.Address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: nc, address: r.Address, r: bufio.NewReaderSize(nc, 4<<10)}, nil
}

// take returns an idle connection on which nothing has arrived.
func (p *Pool) take(address string) *conn {
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
		if now.Before(c.expires) && c.quiet() {
			return c
		}
		_ = c.Close()
	}
}

// quiet reports whether a connection is open and has nothing to read.
func (c *conn) quiet() bool {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok || c.r.Buffered() > 0 {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// Probe makes a connection to a backend server and keeps it for a request. It
// reports why there is none, within the time of a connection for a request.
func (p *Pool) Probe(ctx context.Context, address string) error {
	c, err := p.connect(ctx, Request{Address: address, Fresh: true})
	if err != nil {
		return &NotSentError{Address: address, Err: err}
	}
	c.expires = time.Now().Add(probeIdle)
	p.keep(c)
	return nil
}

// probeIdle is how long a connection made by a probe waits for a request: less
// than any backend server's limit for idle connections, which it has not stated.
const probeIdle = time.Second

// Drop closes the idle connections to an address.
func (p *Pool) Drop(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		_ = c.Close()
	}
	delete(p.idle, address)
}

func (p *Pool) keep(c *conn) {
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

// largeBody is the size above which an answer is awaited while the body is still
// being written: a backend server may answer before it has read all of it.
const largeBody = 16 << 10

func (p *Pool) exchange(c *conn, r Request) (*Answer, error) {
	c.written = make(chan struct{})
	message := encode(r)
	if len(message) <= largeBody {
		_, c.writeErr = c.Write(message)
		close(c.written)
		if c.writeErr != nil {
			return nil, errors.Annotatef(c.writeErr, "send to %s", c.address)
		}
	} else {
		go func() {
			_, c.writeErr = c.Write(message)
			close(c.written)
		}()
	}
	for range maxStaleAnswers {
		response, err := readHead(c.r, r.Method)
		if err != nil {
			return nil, errors.Annotatef(err, "answer of %s", c.address)
		}
		if r.Mine == nil || r.Mine(response.Header) {
			if response.Header.Get("Content-Encoding") != "" {
				return nil, errors.Annotatef(ErrEncoding, "answer of %s", c.address)
			}
			return p.answer(c, response), nil
		}
		// The answer to an earlier request on this connection came late.
		if r.Fresh || response.ContentLength < 0 && !chunked(response) {
			break
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, errors.Annotatef(err, "late answer of %s", c.address)
		}
	}
	return nil, errors.Annotatef(ErrForeign, "answer of %s", c.address)
}

// readHead reads the head of the next final answer.
func readHead(r *bufio.Reader, method string) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(r, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("switches protocols unasked")
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

func chunked(r *http.Response) bool {
	return len(r.TransferEncoding) > 0 && r.TransferEncoding[0] == "chunked"
}

func encode(r Request) []byte {
	var b bytes.Buffer
	b.Grow(512 + len(r.Body))
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
	b.Write(r.Body)
	return b.Bytes()
}

func (p *Pool) answer(c *conn, response *http.Response) *Answer {
	a := &Answer{Status: response.StatusCode, Header: response.Header, conn: c, pool: p, response: response}
	a.Body = (*body)(a)
	return a
}

// body notes the end of the answer.
type body Answer

func (b *body) Read(buf []byte) (int, error) {
	n, err := b.response.Body.Read(buf)
	if err == io.EOF {
		b.complete = true
	}
	return n, err
}

// Complete reports whether the body was read to its end.
func (a *Answer) Complete() bool { return a.complete }

// Close keeps the connection for other requests if nothing speaks against it,
// and closes it otherwise.
func (a *Answer) Close() {
	stopped := a.stop()
	if !stopped || !a.complete || !a.mayKeep() {
		_ = a.conn.Close()
		return
	}
	a.conn.expires = time.Now().Add(idleTime(a.Header))
	a.pool.keep(a.conn)
}

func (a *Answer) mayKeep() bool {
	select {
	case <-a.conn.written:
	default:
		// The rest of the request would be taken for the next one.
		return false
	}
	framed := a.response.ContentLength >= 0 || chunked(a.response)
	return a.conn.writeErr == nil && framed && !a.response.Close && a.conn.r.Buffered() == 0
}

// idleTime returns how long a connection may be kept after an answer.
func idleTime(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return max(0, time.Duration(seconds)*time.Second-idleMargin)
		}
	}
	return defaultIdle
}

// ReadAll returns the whole body. It fails when the answer breaks off or is
// larger than limit.
func (a *Answer) ReadAll(limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(a.Body, limit+1))
	switch {
	case err != nil:
		return nil, errors.Annotatef(err, "body of %s", a.conn.address)
	case int64(len(data)) > limit:
		return nil, errors.Errorf("body of %s is larger than %d bytes", a.conn.address, limit)
	}
	return data, nil
}
