// Package backend sends requests to backend servers.
//
// Two properties matter here. First, a request must never be repeated without
// the knowledge of the entry process: http.Transport repeats requests by
// itself when a reused connection breaks, so requests have a body that cannot
// be rewound, and those that are not idempotent get a connection of their own.
// Second, an error must tell whether anything can have reached the backend
// server, because only then may a refusal say that the request was not run.
package backend

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/dghubble/sling"
	"github.com/juju/errors"
)

// RequestIDHeader carries the dispatch id to the backend server, which echoes
// it in its answer.
const RequestIDHeader = "X-Request-Id"

const (
	dialTimeout = time.Second
	// idleTimeout closes pooled connections before backend servers commonly
	// close them, which makes breaks of reused connections rare.
	idleTimeout = 20 * time.Second
	// maxIdlePerBackend bounds pooled connections to one backend server.
	maxIdlePerBackend = 64
	// bufferBytes is the size of the read and the write buffer of a
	// connection. Events are small, and each open stream holds both buffers.
	bufferBytes = 4 << 10
	// healthTimeout bounds a health check; a backend server that is alive
	// answers within a few ms.
	healthTimeout = 400 * time.Millisecond
)

// Request is one dispatch.
type Request struct {
	Backend string
	Address string
	// ID is the dispatch id, unique for each attempt.
	ID     string
	Method string
	// Path is the path with the query.
	Path   string
	Header http.Header
	Body   []byte
	// Idempotent allows a pooled connection.
	Idempotent bool
	// BeforeSend runs as part of the write of the first byte. An error stops
	// the dispatch with nothing sent.
	BeforeSend func() error
}

// Error is a failed dispatch.
type Error struct {
	Step    string
	Backend string
	// Sent is set when bytes may have reached the backend server.
	Sent bool
	Err  error
}

func (e *Error) Error() string {
	return fmt.Sprintf("%s at backend server %s: %v", e.Step, e.Backend, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// ErrMismatch means that an answer names another request.
var ErrMismatch = errors.New("answer carries another request id")

// Client sends dispatches. It is safe for concurrent use.
type Client struct {
	pooled *http.Transport
	fresh  *http.Transport
}

// NewClient returns a client. Dial replaces the dialer when it is not nil;
// tests use it to inject faults.
func NewClient(dial dialFunc) *Client {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	base := func() *http.Transport {
		return &http.Transport{
			DialContext:         gatedDial(dial),
			MaxIdleConnsPerHost: maxIdlePerBackend,
			IdleConnTimeout:     idleTimeout,
			ReadBufferSize:      bufferBytes,
			WriteBufferSize:     bufferBytes,
			DisableCompression:  true,
		}
	}
	c := &Client{pooled: base(), fresh: base()}
	c.fresh.DisableKeepAlives = true
	return c
}

// Close drops idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
}

// onceReader hides the concrete type of the body, so that net/http cannot set
// GetBody and therefore cannot send the body again. It lets go of the body at
// its end, because net/http keeps the request for as long as the answer lasts,
// and a prompt may have several MB.
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

// Do sends r and returns the answer after checking its identity. The caller
// closes the body. Errors are of type *Error.
func (c *Client) Do(ctx context.Context, r *Request) (*http.Response, error) {
	g := &gate{check: r.BeforeSend}
	ctx, cancel := context.WithCancel(ctx)
	req, err := newRequest(withGate(ctx, g), r)
	if err != nil {
		cancel()
		return nil, &Error{Step: "build request", Backend: r.Backend, Err: err}
	}
	resp, err := c.transport(r).RoundTrip(req)
	if err != nil {
		cancel()
		if refused := g.refused(); refused != nil {
			err = refused
		}
		return nil, &Error{Step: "send request", Backend: r.Backend, Sent: g.sent.Load(), Err: err}
	}
	resp.Body = &cancelBody{ReadCloser: resp.Body, cancel: cancel}
	if err := checkIdentity(resp, r.ID); err != nil {
		_ = resp.Body.Close()
		return nil, &Error{Step: "check answer", Backend: r.Backend, Sent: true, Err: err}
	}
	return resp, nil
}

// transport returns the pooled transport only for requests that net/http
// cannot repeat: those with a body that cannot be rewound.
func (c *Client) transport(r *Request) *http.Transport {
	if r.Idempotent && len(r.Body) > 0 {
		return c.pooled
	}
	return c.fresh
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

// checkIdentity accepts an answer without the header from plain services,
// whose protocol does not know it; the caller of Do requires it of engines.
func checkIdentity(resp *http.Response, id string) error {
	if got := resp.Header.Get(RequestIDHeader); got != "" && got != id {
		return errors.Annotatef(ErrMismatch, "%q instead of %q", got, id)
	}
	return nil
}

// cancelBody releases the context of a dispatch with its body.
type cancelBody struct {
	io.ReadCloser
	cancel func()
}

func (b *cancelBody) Close() error {
	b.cancel()
	return b.ReadCloser.Close()
}

// Health is the result of a health check.
type Health int

// The results of a health check.
const (
	// HealthUnknown means that there was no answer in time. The network may
	// be cut, so it says nothing about the backend server.
	HealthUnknown Health = iota
	// HealthAlive means that the boot that was asked for still runs.
	HealthAlive
	// HealthCrashed means that the backend server refused the connection or
	// runs under a new boot number.
	HealthCrashed
)

func (h Health) String() string {
	return [...]string{"unknown", "alive", "crashed"}[h]
}

type healthDocument struct {
	Boot uint64 `json:"boot"`
}

// CheckHealth asks the backend server at address whether boot still runs.
func (c *Client) CheckHealth(ctx context.Context, address string, boot uint64) Health {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	req, err := sling.New().Base("http://" + address).Get("/health").Request()
	if err != nil {
		return HealthUnknown
	}
	resp, err := c.fresh.RoundTrip(req.WithContext(ctx))
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.EOF) {
			return HealthCrashed
		}
		return HealthUnknown
	}
	defer resp.Body.Close()
	doc := healthDocument{}
	if err := json.NewDecoder(io.LimitReader(resp.Body, 1<<16)).Decode(&doc); err != nil || doc.Boot == 0 {
		return HealthUnknown
	}
	if doc.Boot != boot {
		return HealthCrashed
	}
	return HealthAlive
}
