package wire

import (
	"context"
	"crypto/tls"
	"net"
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

func (c *Client) connect(ctx context.Context) (*yamux.Session, Peer, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, Peer{}, errors.Errorf("client of %s is closed", c.address)
	}
	if c.session != nil && !c.session.IsClosed() {
		return c.session, c.peer, nil
	}
	session, peer, err := c.dial(ctx)
	if err != nil {
		return nil, Peer{}, errors.Trace(err)
	}
	c.session, c.peer = session, peer
	return session, peer, nil
}

func (c *Client) dial(ctx context.Context) (*yamux.Session, Peer, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	dial := c.opts.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
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
	peer, err := c.handshake(session)
	if err != nil {
		_ = session.Close()
		return nil, Peer{}, errors.Trace(err)
	}
	return session, peer, nil
}

func (c *Client) handshake(session *yamux.Session) (Peer, error) {
	conn, err := session.OpenStream()
	if err != nil {
		return Peer{}, errors.Annotatef(err, "open handshake stream to %s", c.address)
	}
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	s := newStream(context.Background(), conn, Peer{Identity: Identity{ID: c.address}})
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
