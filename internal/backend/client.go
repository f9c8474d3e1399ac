// Package backend is the HTTP client for backend servers. It sends one attempt of
// a request; it neither retries nor selects backend servers.
//
// It guarantees two properties. First, a request is never sent twice without the
// entry process deciding so: http.Transport repeats requests by itself when a
// reused connection breaks, so requests have a body that cannot be rewound, and
// those that are not idempotent or have no body get a connection of their own. Second, an error
// states whether anything may have reached the backend server, because a refusal
// may state that the request was not run only if nothing has.
package backend

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/dghubble/sling"
	"github.com/juju/errors"

	"bilberryhub/internal/backendconn"
)

// RequestIDHeader carries the dispatch id to the backend server, which echoes
// it in its response.
const RequestIDHeader = "X-Request-Id"

const (
	dialTimeout = time.Second
	// idleTimeout closes pooled connections earlier than backend servers commonly
	// do, which makes broken reused connections rare.
	idleTimeout = 20 * time.Second
	// maxIdlePerBackend bounds the idle pooled connections to one backend server.
	maxIdlePerBackend = 64
	// bufferBytes is the size of the read buffer and of the write buffer of a
	// connection. Events are small, and each open stream holds both buffers.
	bufferBytes = 4 << 10
	// maxHeadBytes bounds the head of a response together with the informational responses before
	// it. With the default of net/http, 10 MiB, 96 heads without end made an entry process use
	// 1,189 MiB.
	maxHeadBytes = 64 << 10
	// longBodyBytes is the size of a request body above which a backend server may end its
	// response before it has read the body. A shorter one is read at once.
	longBodyBytes = 16 << 10
	// healthTimeout bounds a health check; a backend server that is alive
	// responds within a few milliseconds.
	healthTimeout = 400 * time.Millisecond
)

// Request is one dispatch: a single attempt of a request at one backend server.
type Request struct {
	// Backend is the id of the backend server.
	Backend string
	// Address is the host and port of the backend server.
	Address string
	// ID is the dispatch id, unique for each attempt.
	ID     string
	Method string
	// Path is the URL path with the query string.
	Path   string
	Header http.Header
	Body   []byte
	// Idempotent allows the use of a pooled connection if the backend server names the
	// request in its responses.
	Idempotent bool
	// BeforeSend is called as part of the write of the first byte, if it is not
	// nil. If it returns an error, nothing is sent and the dispatch fails.
	BeforeSend func() error
	// OnLateWrite is called, if it is not nil, when the process stalled between
	// BeforeSend and the end of the first write. The backend server may then run what
	// BeforeSend would not have allowed any more.
	OnLateWrite func(delay time.Duration)
}

// Error is the error of a failed dispatch.
type Error struct {
	// Step is the operation that failed.
	Step    string
	Backend string
	// Sent is set when bytes may have reached the backend server.
	Sent bool
	Err  error
}

func (e *Error) Error() string {
	return fmt.Sprintf("%s at backend server %s: %v", e.Step, e.Backend, e.Err)
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// ErrRequestIDMismatch is the cause of an error if the response carries the id of
// another request.
var ErrRequestIDMismatch = errors.New("answer carries another request id")

// Client sends dispatches. It is safe for concurrent use.
type Client struct {
	pooled   *http.Transport
	unpooled *http.Transport

	mu sync.Mutex
	// echoing holds the addresses whose last response named its request.
	echoing map[string]bool
}

// maxEchoing bounds the addresses that are remembered; beyond it, all are learned anew.
const maxEchoing = 4096

// NewClient returns a client. If dial is not nil, it replaces the dialer; tests use
// it to inject faults.
func NewClient(dial dialFunc) *Client {
	if dial == nil {
		dial = Dial
	}
	newTransport := func() *http.Transport {
		return &http.Transport{
			DialContext:         gatedDial(dial),
			MaxIdleConnsPerHost: maxIdlePerBackend,
			IdleConnTimeout:     idleTimeout,
			ReadBufferSize:      bufferBytes,
			WriteBufferSize:     bufferBytes,
			DisableCompression:  true,

			MaxResponseHeaderBytes: maxHeadBytes,
		}
	}
	c := &Client{pooled: newTransport(), unpooled: newTransport(), echoing: map[string]bool{}}
	c.unpooled.DisableKeepAlives = true
	return c
}

// Dial connects to a backend server.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	return (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, address)
}

// CloseIdle closes idle connections.
func (c *Client) CloseIdle() {
	c.pooled.CloseIdleConnections()
	c.unpooled.CloseIdleConnections()
}

// Close ends the use of the client.
func (c *Client) Close() { c.CloseIdle() }

// onceReader hides the concrete type of the body, so that net/http cannot set
// GetBody and therefore cannot send the body again. It drops its reference to the
// body at the end, because net/http keeps the request until the response has been
// read, and a prompt may be several MB long.
type onceReader struct{ data []byte }

func (r *onceReader) Read(p []byte) (int, error) {
	if len(r.data) == 0 {
		r.data = nil
		return 0, io.EOF
	}
	n := copy(p, r.data)
	r.data = r.data[n:]
	return n, nil
}

// Do sends r and returns the response after checking that HTTP defines its status, and that
// its request id, if it has one, is that of r. The caller closes the body. Errors are of type
// *Error.
func (c *Client) Do(ctx context.Context, r *Request) (*http.Response, error) {
	writeGate := newGate(r)
	ctx, cancel := context.WithCancel(ctx)
	req, err := newRequest(withGate(ctx, writeGate), r)
	if err != nil {
		cancel()
		return nil, &Error{Step: "build request", Backend: r.Backend, Err: err}
	}
	isPooled := c.usesPool(r)
	transport := c.unpooled
	if isPooled {
		transport = c.pooled
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		cancel()
		if checkError := writeGate.checkError(); checkError != nil {
			err = checkError
		}
		return nil, &Error{Step: "send request", Backend: r.Backend, Sent: writeGate.sent.Load(), Err: err}
	}
	endsWithConn := EndsWithConnection(resp)
	writeGate.settlesEnd.Store(endsWithConn && len(r.Body) > longBodyBytes)
	resp.Body = &responseBody{ReadCloser: resp.Body, cancel: cancel, gate: writeGate, endsWithConn: endsWithConn}
	c.recordEcho(r.Address, resp.Header.Get(RequestIDHeader) != "")
	err = backendconn.CheckStatus(resp.StatusCode)
	if err == nil {
		err = checkRequestID(resp, r.ID, isPooled)
	}
	if err != nil {
		_ = resp.Body.Close()
		return nil, &Error{Step: "check answer", Backend: r.Backend, Sent: true, Err: err}
	}
	return resp, nil
}

// usesPool reports whether a request may use a connection that has carried others. That
// is so for idempotent requests that net/http cannot repeat, which are those with a body,
// because it cannot be rewound, at backend servers whose responses name their request: a
// late copy of an earlier response can then be told from the expected one.
func (c *Client) usesPool(r *Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return r.Idempotent && len(r.Body) > 0 && c.echoing[r.Address]
}

// recordEcho records whether a response of a backend server named a request.
func (c *Client) recordEcho(address string, echoes bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !echoes {
		delete(c.echoing, address)
		return
	}
	if len(c.echoing) >= maxEchoing {
		clear(c.echoing)
	}
	c.echoing[address] = true
}

func newRequest(ctx context.Context, r *Request) (*http.Request, error) {
	var body io.Reader
	if len(r.Body) > 0 {
		body = &onceReader{data: r.Body}
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+r.Address+r.Path, body)
	if err != nil {
		return nil, errors.Trace(err)
	}
	req.ContentLength = int64(len(r.Body))
	for name, values := range r.Header {
		req.Header[name] = values
	}
	req.Header.Set(RequestIDHeader, r.ID)
	return req, nil
}

// checkRequestID returns ErrRequestIDMismatch if the response carries an id other
// than id. A response without the header is accepted on a connection that has carried no
// other request, because the protocol of plain services does not include it; the caller
// of Do requires it of engines.
func checkRequestID(resp *http.Response, id string, isPooled bool) error {
	got := resp.Header.Get(RequestIDHeader)
	if got == id || (got == "" && !isPooled) {
		return nil
	}
	return errors.Annotatef(ErrRequestIDMismatch, "%q instead of %q", got, id)
}

// EndsWithConnection reports whether the body of a response has neither a length nor chunks.
func EndsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// responseBody is a response body that releases the context of the dispatch when it
// is closed. One that ends with its connection isn't complete if the backend server has
// ended it before it had received the request.
type responseBody struct {
	io.ReadCloser
	cancel       func()
	gate         *gate
	endsWithConn bool
}

func (b *responseBody) Read(buf []byte) (int, error) {
	n, err := b.ReadCloser.Read(buf)
	if err == io.EOF && b.endsWithConn && !b.gate.isRequestWritten() {
		err = backendconn.ErrRequestUnread
	}
	return n, err
}

func (b *responseBody) Close() error {
	b.cancel()
	return b.ReadCloser.Close()
}

// Health is the result of a health check.
type Health int

// The results of a health check.
const (
	// HealthUnknown means that no valid response arrived in time. There may be a
	// network partition, so nothing follows about the backend server.
	HealthUnknown Health = iota
	// HealthAlive means that the backend server still runs under the boot number
	// that the caller passed.
	HealthAlive
	// HealthCrashed means that the backend server refused or closed the connection
	// or runs under another boot number.
	HealthCrashed
)

func (h Health) String() string {
	return [...]string{"unknown", "alive", "crashed"}[h]
}

type healthResponse struct {
	Boot uint64 `json:"boot"`
}

// CheckHealth queries the health endpoint of the backend server at address and
// compares its boot number with boot. It takes at most healthTimeout.
func (c *Client) CheckHealth(ctx context.Context, address string, boot uint64) Health {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	req, err := sling.New().Base("http://" + address).Get("/health").Request()
	if err != nil {
		return HealthUnknown
	}
	resp, err := c.unpooled.RoundTrip(req.WithContext(ctx))
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.EOF) {
			return HealthCrashed
		}
		return HealthUnknown
	}
	defer resp.Body.Close()
	doc := healthResponse{}
	if err := json.NewDecoder(io.LimitReader(resp.Body, 1<<16)).Decode(&doc); err != nil || doc.Boot == 0 {
		return HealthUnknown
	}
	if doc.Boot != boot {
		return HealthCrashed
	}
	return HealthAlive
}
