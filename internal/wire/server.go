package wire

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/yamux"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"bilberryhub/internal/observe"
	"bilberryhub/internal/wirepb"
)

// Handler serves one call. The context ends with the session. A returned error is
// sent to the peer as a Failure, so a handler that has already sent its response
// returns nil.
type Handler func(ctx context.Context, s *Stream, req *wirepb.Envelope) error

// Server accepts sessions and serves their calls.
type Server struct {
	listener net.Listener
	opts     Options
	handler  Handler
	log      *zap.Logger
	gate     gate
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup
}

// Serve listens on address and serves calls until Close.
func Serve(address string, opts Options, handler Handler, log *zap.Logger) (*Server, error) {
	listener, err := ListenConfig().Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, errors.Annotatef(err, "listen on %s", address)
	}
	if opts.TLS != nil {
		listener = tls.NewListener(listener, opts.TLS)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{listener: listener, opts: opts, handler: handler, log: log, ctx: ctx, cancel: cancel, gate: gate{started: time.Now()}}
	s.wg.Go(s.accept)
	return s, nil
}

// Address returns the listening address.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close stops listening, ends all sessions and waits for the handlers.
func (s *Server) Close() error {
	s.cancel()
	err := s.listener.Close()
	s.wg.Wait()
	return errors.Trace(err)
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			if s.ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			s.log.Warn("accept failed", observe.Error(err))
			// The pause prevents a busy loop on a persistent failure, such as a
			// lack of file descriptors.
			time.Sleep(10 * time.Millisecond)
			continue
		}
		isPeer := s.opts.IsPeer != nil && s.opts.IsPeer(remoteIP(conn))
		if !isPeer && !s.gate.begin() {
			s.gate.refuse(conn, s.log)
			continue
		}
		began := time.Now()
		s.wg.Go(func() {
			s.serveConn(conn, sync.OnceFunc(func() {
				if !isPeer {
					s.gate.end(began)
				}
			}))
		})
	}
}

// remoteIP returns the IP address of the remote end, without port.
func remoteIP(conn net.Conn) string {
	host, _, err := net.SplitHostPort(conn.RemoteAddr().String())
	if err != nil {
		return ""
	}
	return host
}

// serveConn runs the session of one connection until it ends. It calls handshakeEnded
// when the handshake has ended.
func (s *Server) serveConn(conn net.Conn, handshakeEnded func()) {
	defer handshakeEnded()
	config := yamuxConfig(s.opts)
	config.EnableKeepAlive = false
	session, err := yamux.Server(conn, config)
	if err != nil {
		_ = conn.Close()
		return
	}
	stop := context.AfterFunc(s.ctx, func() { _ = session.Close() })
	defer stop()
	defer session.Close()
	peer, err := s.handshake(session, conn.RemoteAddr().String())
	if err != nil {
		s.log.Warn("handshake failed", zap.String("peer", conn.RemoteAddr().String()), observe.Error(err))
		return
	}
	handshakeEnded()
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	go keepAlive(ctx, session, peer.Kind)
	var calls sync.WaitGroup
	defer calls.Wait()
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			cancel()
			return
		}
		calls.Go(func() { s.serveCall(ctx, stream, peer) })
	}
}

// keepAlive closes a session whose peer doesn't answer pings, until ctx ends. Sessions
// of other state processes are pinged more often, because consensus waits for the end
// of a silent one. Gateways and entry processes notice silence on their own.
func keepAlive(ctx context.Context, session *yamux.Session, kind Kind) {
	interval := clientKeepAliveInterval
	if kind == KindState {
		interval = keepAliveInterval
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if _, err := session.Ping(); err != nil {
			_ = session.Close()
			return
		}
	}
}

// handshake reads the Hello of the client on the first stream and responds to it.
func (s *Server) handshake(session *yamux.Session, address string) (Peer, error) {
	timer := time.AfterFunc(handshakeTimeout, func() { _ = session.Close() })
	conn, err := session.AcceptStream()
	if err != nil {
		return Peer{}, errors.Annotatef(err, "accept handshake stream")
	}
	st := newStream(s.ctx, conn, Peer{Identity: Identity{ID: address}})
	defer st.Close()
	env, err := st.Recv()
	if err != nil {
		return Peer{}, errors.Trace(err)
	}
	// If the timer has fired, it has closed the session.
	if !timer.Stop() {
		return Peer{}, errors.Errorf("handshake with %s timed out", address)
	}
	peer, err := s.opts.negotiate(env, address)
	if err != nil {
		_ = st.Send(FailureEnvelope("handshake", "version", err))
		// Keep the session open until the peer has read the reason and closed the
		// stream: closing it at once could end the session before the message is
		// delivered.
		timer := time.AfterFunc(handshakeTimeout, func() { _ = session.Close() })
		_, _ = st.Recv()
		timer.Stop()
		return Peer{}, errors.Trace(err)
	}
	return peer, st.Send(s.opts.hello())
}

// serveCall reads the request of one call and runs the handler.
func (s *Server) serveCall(ctx context.Context, conn net.Conn, peer Peer) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	st := newStream(ctx, conn, peer)
	defer st.Close()
	req, err := st.Recv()
	if err != nil {
		return
	}
	if err := s.handle(ctx, st, req); err != nil {
		_ = st.Send(FailureEnvelope("serve call", "error", err))
	}
}

// handle calls the handler. A panic ends this call only: one request that the handler
// can't cope with must not end all the others.
func (s *Server) handle(ctx context.Context, st *Stream, req *wirepb.Envelope) (err error) {
	defer func() {
		if p := recover(); p != nil {
			callPanics.Inc()
			s.log.Error("call panicked", zap.String("peer", st.Peer().ID), zap.String("call", fmt.Sprintf("%T", req.GetBody())),
				zap.Any("panic", p), zap.Stack("stack"))
			err = errors.Errorf("call panicked: %v", p)
		}
	}()
	return s.handler(ctx, st, req)
}

var callPanics = metrics.GetOrCreateCounter(`bilberry_wire_call_panics_total`)
