package wire

import (
	"context"
	"crypto/tls"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/juju/errors"

	"bilberryhub/internal/wirepb"
)

// Client calls one address. It dials when needed and is safe for concurrent
// use. It never repeats a call.
type Client struct {
	address string
	opts    Options

	mu      sync.Mutex
	session *yamux.Session
	peer    Peer
	closed  bool
	// attempt is the dial in flight, or nil.
	attempt *attempt
}

// attempt is one dial with its handshake. It is shared by all callers that
// need the session meanwhile, and does not end with the call that started it.
type attempt struct {
	cancel context.CancelFunc
	// done is closed when the fields below are set.
	done    chan struct{}
	session *yamux.Session
	peer    Peer
	err     error
}

// NewClient returns a client that has not dialled yet.
func NewClient(address string, opts Options) *Client {
	return &Client{address: address, opts: opts}
}

// Address returns the address that the client calls.
func (c *Client) Address() string { return c.address }

// Open starts a call that sends req. The stream is closed when ctx ends.
func (c *Client) Open(ctx context.Context, req *wirepb.Envelope) (*Stream, error) {
	session, peer, err := c.connect(ctx)
	if err != nil {
		return nil, errors.Trace(err)
	}
	conn, err := session.OpenStream()
	if err != nil {
		c.drop(session)
		return nil, errors.Annotatef(err, "open stream to %s", c.address)
	}
	s := newStream(ctx, conn, peer)
	if err := s.Send(req); err != nil {
		_ = s.Close()
		return nil, errors.Trace(err)
	}
	return s, nil
}

// Call sends req and returns the first answer. A Failure becomes a
// *RemoteError.
func (c *Client) Call(ctx context.Context, req *wirepb.Envelope) (*wirepb.Envelope, error) {
	s, err := c.Open(ctx, req)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer s.Close()
	env, err := s.Recv()
	if err != nil {
		if ctx.Err() != nil {
			return nil, errors.Annotatef(ctx.Err(), "call %s", c.address)
		}
		return nil, errors.Annotatef(err, "call %s", c.address)
	}
	if f := env.GetFailure(); f != nil {
		return nil, &RemoteError{Peer: s.peer.ID, Step: f.GetStep(), Code: f.GetCode(), Message: f.GetMessage()}
	}
	return env, nil
}

// Close ends the session and all its calls.
func (c *Client) Close() error {
	c.mu.Lock()
	session := c.session
	c.session, c.closed = nil, true
	if c.attempt != nil {
		c.attempt.cancel()
	}
	c.mu.Unlock()
	if session == nil {
		return nil
	}
	return session.Close()
}

func (c *Client) drop(session *yamux.Session) {
	c.mu.Lock()
	if c.session == session {
		c.session = nil
	}
	c.mu.Unlock()
	_ = session.Close()
}

// connect returns the session, and waits for a dial at most as long as ctx
// lasts.
func (c *Client) connect(ctx context.Context) (*yamux.Session, Peer, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil, Peer{}, errors.Errorf("client of %s is closed", c.address)
	}
	if c.session != nil && !c.session.IsClosed() {
		defer c.mu.Unlock()
		return c.session, c.peer, nil
	}
	a := c.attempt
	if a == nil {
		a = c.startAttempt()
	}
	c.mu.Unlock()
	select {
	case <-ctx.Done():
		return nil, Peer{}, errors.Annotatef(ctx.Err(), "connect to %s", c.address)
	case <-a.done:
		return a.session, a.peer, errors.Trace(a.err)
	}
}

// startAttempt dials in the background. The caller holds the mutex.
func (c *Client) startAttempt() *attempt {
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	a := &attempt{cancel: cancel, done: make(chan struct{})}
	c.attempt = a
	go func() {
		defer cancel()
		session, peer, err := c.dial(ctx)
		c.mu.Lock()
		defer c.mu.Unlock()
		if err == nil && c.closed {
			_ = session.Close()
			session, peer, err = nil, Peer{}, errors.Errorf("client of %s is closed", c.address)
		}
		a.session, a.peer, a.err = session, peer, err
		if err == nil {
			c.session, c.peer = session, peer
		}
		c.attempt = nil
		close(a.done)
	}()
	return a
}

func (c *Client) dial(ctx context.Context) (*yamux.Session, Peer, error) {
	dial := c.opts.Dial
	if dial == nil {
		dial = Dialer().DialContext
	}
	conn, err := dial(ctx, "tcp", c.address)
	if err != nil {
		return nil, Peer{}, errors.Annotatef(err, "dial %s", c.address)
	}
	if c.opts.TLS != nil {
		conn = tls.Client(conn, c.opts.TLS)
	}
	session, err := yamux.Client(conn, yamuxConfig())
	if err != nil {
		_ = conn.Close()
		return nil, Peer{}, errors.Annotatef(err, "start session with %s", c.address)
	}
	peer, err := c.handshake(ctx, session)
	if err != nil {
		_ = session.Close()
		return nil, Peer{}, errors.Trace(err)
	}
	return session, peer, nil
}

func (c *Client) handshake(ctx context.Context, session *yamux.Session) (Peer, error) {
	conn, err := session.OpenStream()
	if err != nil {
		return Peer{}, errors.Annotatef(err, "open handshake stream to %s", c.address)
	}
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	s := newStream(ctx, conn, Peer{Identity: Identity{ID: c.address}})
	defer s.Close()
	if err := s.Send(c.opts.hello()); err != nil {
		return Peer{}, errors.Trace(err)
	}
	env, err := s.Recv()
	if err != nil {
		return Peer{}, errors.Annotatef(err, "handshake with %s", c.address)
	}
	return c.opts.negotiate(env, c.address)
}
