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

// Client sends calls to one address. It dials when needed and is safe for
// concurrent use. It never retries a call.
type Client struct {
	address string
	opts    Options

	mu      sync.Mutex
	session *yamux.Session
	peer    Peer
	closed  bool
	// dialAttempt is the dial in flight, or nil.
	dialAttempt *dialAttempt
}

// dialAttempt is one dial with its handshake. All callers that need the session
// in the meantime wait for it. It continues after the end of the call that
// started it.
type dialAttempt struct {
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

// Open starts a call and sends req. The stream is closed when ctx ends. The error is an
// *EncodeError, without an attempt to connect, if req can't be encoded.
func (c *Client) Open(ctx context.Context, req *wirepb.Envelope) (*Stream, error) {
	prepared := Prepare(req)
	if err := prepared.Err(); err != nil {
		return nil, errors.Annotatef(err, "call %s", c.address)
	}
	session, peer, err := c.connect(ctx)
	if err != nil {
		return nil, errors.Trace(err)
	}
	conn, err := session.OpenStream()
	if err != nil {
		c.dropSession(session)
		return nil, errors.Annotatef(err, "open stream to %s", c.address)
	}
	s := newStream(ctx, conn, peer)
	if err := s.SendPrepared(prepared); err != nil {
		_ = s.Close()
		return nil, errors.Trace(err)
	}
	return s, nil
}

// Call sends req and returns the first envelope of the response. A Failure is
// returned as a *RemoteError.
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

// Close ends the session with all its calls, and a dial in flight.
func (c *Client) Close() error {
	c.mu.Lock()
	session := c.session
	c.session, c.closed = nil, true
	if c.dialAttempt != nil {
		c.dialAttempt.cancel()
	}
	c.mu.Unlock()
	if session == nil {
		return nil
	}
	return session.Close()
}

// dropSession closes session, so that the next call dials again.
func (c *Client) dropSession(session *yamux.Session) {
	c.mu.Lock()
	if c.session == session {
		c.session = nil
	}
	c.mu.Unlock()
	_ = session.Close()
}

// connect returns the open session. If there is none, it waits for the dial in
// flight, or for a new one, until ctx ends.
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
	a := c.dialAttempt
	if a == nil {
		a = c.startDial()
	}
	c.mu.Unlock()
	select {
	case <-ctx.Done():
		return nil, Peer{}, errors.Annotatef(ctx.Err(), "connect to %s", c.address)
	case <-a.done:
		return a.session, a.peer, errors.Trace(a.err)
	}
}

// startDial dials in the background. The caller holds the mutex.
func (c *Client) startDial() *dialAttempt {
	ctx, cancel := context.WithTimeout(context.Background(), clientHandshakeTimeout)
	a := &dialAttempt{cancel: cancel, done: make(chan struct{})}
	c.dialAttempt = a
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
		c.dialAttempt = nil
		close(a.done)
	}()
	return a
}

// dial opens a connection and starts a session on it, with the handshake.
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
	session, err := yamux.Client(conn, yamuxConfig(c.opts))
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

// handshake exchanges identities and protocol versions on the first stream.
func (c *Client) handshake(ctx context.Context, session *yamux.Session) (Peer, error) {
	conn, err := session.OpenStream()
	if err != nil {
		return Peer{}, errors.Annotatef(err, "open handshake stream to %s", c.address)
	}
	_ = conn.SetDeadline(time.Now().Add(clientHandshakeTimeout))
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
