// Package peerconn connects to backend servers through another process of the same
// kind, for a process that has lost its own path to them.
//
// The peer opens a connection to the backend server and passes bytes on in both
// directions, with the back pressure of both sides; it neither parses nor keeps them. It
// also states whether the backend server has ended its connection in an orderly way, as a
// response may be complete only then; see frame.go. The
// request, its deadline, its retries and its outcome stay with the process that asks, so
// that a connection that was not made proves that nothing was sent. The peer connects
// directly or not at all, so that there is never a second hop. The package chooses
// neither peers nor backend servers.
package peerconn

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"

	"bilberryhub/internal/backendconn"
	"bilberryhub/internal/wire"
	"bilberryhub/internal/wirepb"
)

const (
	// defaultMaxConnections bounds the connections that a process holds for its peers if
	// its memory is not known.
	defaultMaxConnections = 512
	// connectionBytes is what a connection takes at most: the receive window of its
	// stream, a buffer for each direction, and a frame. memoryShare is the share of the
	// memory of the process that all of them may take.
	connectionBytes = 256<<10 + 3*bufferBytes
	memoryShare     = 0.25
	// dialTimeout bounds the dial of the peer, and callTimeout the whole call, with a
	// session to be opened.
	dialTimeout = 300 * time.Millisecond
	callTimeout = 600 * time.Millisecond
	// bufferBytes is the size of the buffer of each direction. It must fit the header of a
	// frame.
	bufferBytes = 8 << 10
)

// Codes of failed Connect calls.
const (
	codeRefused     = "refused"
	codeUnreachable = "unreachable"
	codeUnavailable = "unavailable"
)

var (
	accepted   = metrics.GetOrCreateCounter(`bilberry_peer_connections_accepted_total`)
	refused    = metrics.GetOrCreateCounter(`bilberry_peer_connections_refused_total`)
	broken     = metrics.GetOrCreateCounter(`bilberry_peer_connections_broken_total`)
	bytesMoved = metrics.GetOrCreateCounter(`bilberry_peer_connection_bytes_total`)
)

// PeerError reports that a peer could not help, which says nothing about the backend
// server. Nothing was sent. It doesn't wrap its cause, as a peer that refuses connections
// would look like a backend server that does.
type PeerError struct {
	Peer string
	Err  error
}

func (e *PeerError) Error() string { return "connect through " + e.Peer + ": " + e.Err.Error() }

// NoticeError reports that a peer makes no connection because of what the backend server
// has told it. Nothing was sent.
type NoticeError struct {
	Peer string
	// Backend is the hash of the id and the lifetime of the backend server that the peer
	// knows.
	Backend uint64
	// IsLeaving is set if the backend server leaves, and Pause is otherwise how long it
	// wants no requests from the peer.
	IsLeaving bool
	Pause     time.Duration
}

func (e *NoticeError) Error() string {
	if e.IsLeaving {
		return "connect through " + e.Peer + ": the backend server leaves"
	}
	return "connect through " + e.Peer + ": the backend server wants no requests for " + e.Pause.String()
}

// Target is a backend server.
type Target struct{ ID, Address string }

// Dial connects to a backend server through the peer that client calls, until ctx ends
// or a timeout passes. The connection outlives ctx, but not lifetime. The error is a
// *PeerError, a *NoticeError, or states that the peer couldn't connect: it then wraps
// syscall.ECONNREFUSED if the backend server refuses connections.
//
// Reading from the connection returns io.EOF only if the backend server has ended it in
// an orderly way, and ErrBroken at any other end.
func Dial(ctx, lifetime context.Context, client *wire.Client, target Target) (net.Conn, error) {
	callCtx, cancel := context.WithCancel(lifetime)
	// The stream ends with callCtx, so the limits of the call must not end it later.
	stop := context.AfterFunc(ctx, cancel)
	timer := time.AfterFunc(callTimeout, cancel)
	conn, err := call(callCtx, client, target)
	inTime := timer.Stop()
	if !stop() || !inTime {
		if err == nil {
			_ = conn.Close()
		}
		cancel()
		return nil, &PeerError{Peer: client.Address(), Err: context.DeadlineExceeded}
	}
	if err != nil {
		cancel()
		return nil, err
	}
	return closingConn{conn, cancel}, nil
}

// closingConn cancels its context when it is closed.
type closingConn struct {
	net.Conn
	cancel func()
}

func (c closingConn) Close() error {
	defer c.cancel()
	return c.Conn.Close()
}

// call makes the Connect call.
func call(ctx context.Context, client *wire.Client, target Target) (net.Conn, error) {
	st, err := client.Open(ctx, &wirepb.Envelope{Body: &wirepb.Envelope_Connect{
		Connect: &wirepb.Connect{BackendServer: target.ID, Address: target.Address},
	}})
	if err != nil {
		return nil, &PeerError{Peer: client.Address(), Err: err}
	}
	reply, err := st.Recv()
	failure := reply.GetFailure()
	switch {
	case err != nil:
		err = &PeerError{Peer: client.Address(), Err: err}
	case failure.GetCode() == codeRefused:
		err = errors.Annotatef(syscall.ECONNREFUSED, "connect to %s through %s", target.Address, client.Address())
	case failure.GetCode() == codeUnreachable:
		err = errors.Errorf("connect to %s through %s: %s", target.Address, client.Address(), failure.GetMessage())
	case failure != nil:
		err = &PeerError{Peer: client.Address(), Err: errors.New(failure.GetMessage())}
	case reply.GetNotice() != nil:
		n := reply.GetNotice()
		err = &NoticeError{Peer: client.Address(), Backend: n.GetBackend(), IsLeaving: n.GetLeaving(), Pause: time.Duration(n.GetPauseMs()) * time.Millisecond}
	case reply.GetAck() == nil:
		err = &PeerError{Peer: client.Address(), Err: errors.Errorf("unexpected reply %T", reply.GetBody())}
	}
	if err != nil {
		_ = st.Close()
		return nil, err
	}
	if st.Peer().Version < minFramedVersion {
		return unframedConn{st.Conn()}, nil
	}
	return &framedConn{Conn: st.Conn()}, nil
}

// Server serves Connect calls of peers.
type Server struct {
	// Max bounds the open connections; see MaxConnections.
	Max int64
	// Allows returns why a call of a peer for a target is refused, or nil. A process must
	// not connect strangers, or to addresses that are none of a backend server.
	Allows func(peer wire.Peer, target Target) error
	// Notice, if set, returns what a target has told this process that forbids a
	// connection, or nil: the target counts the requests of peers as requests of this
	// process.
	Notice func(target Target) *wirepb.Notice
	// Dial connects to an address.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Dialed, if set, is called with the result of each dial.
	Dialed func(target Target, err error)

	open atomic.Int64
}

// MaxConnections returns the number of connections that a process with a memory in MiB may
// hold for its peers; 0 stands for an unknown memory.
func MaxConnections(memoryMB int64) int64 {
	if memoryMB <= 0 {
		return defaultMaxConnections
	}
	return min(defaultMaxConnections, max(1, int64(memoryShare*float64(memoryMB<<20))/connectionBytes))
}

// Open returns the number of open connections.
func (s *Server) Open() int64 { return s.open.Load() }

// Serve serves one Connect call: it connects and passes bytes on until one side closes
// its connection or ctx ends.
func (s *Server) Serve(ctx context.Context, st *wire.Stream, req *wirepb.Connect) error {
	defer s.open.Add(-1)
	target := Target{ID: req.GetBackendServer(), Address: req.GetAddress()}
	if s.open.Add(1) > s.Max {
		return s.refuse(st, codeUnavailable, errors.Errorf("%d connections for peers are open", s.Max))
	}
	if err := s.Allows(st.Peer(), target); err != nil {
		return s.refuse(st, codeUnavailable, err)
	}
	if s.Notice != nil {
		if n := s.Notice(target); n != nil {
			refused.Inc()
			return st.Send(&wirepb.Envelope{Body: &wirepb.Envelope_Notice{Notice: n}})
		}
	}
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	conn, err := s.Dial(dialCtx, target.Address)
	cancel()
	if s.Dialed != nil && ctx.Err() == nil {
		s.Dialed(target, err)
	}
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return s.refuse(st, codeRefused, err)
	case err != nil:
		return s.refuse(st, codeUnreachable, err)
	}
	defer conn.Close()
	if err := st.Send(wire.AckEnvelope()); err != nil {
		return errors.Trace(err)
	}
	accepted.Inc()
	pass(ctx, caller{st.Conn(), st.Peer().Version >= minFramedVersion}, conn)
	return nil
}

// refuse replies with a failure.
func (s *Server) refuse(st *wire.Stream, code string, err error) error {
	refused.Inc()
	return st.Send(wire.FailureEnvelope("connect", code, err))
}

// caller is the connection of the process that asked for one to a backend server.
type caller struct {
	net.Conn
	// readsFrames is set if it reads frames.
	readsFrames bool
}

// pass copies between a caller and a backend server until one of them ends or ctx does,
// and closes both: an end must not look like silence to the other side. Only a caller
// that doesn't read frames must wait, until it gives up, if the backend server broke off:
// it would take the end for an orderly one.
func pass(ctx context.Context, to caller, from net.Conn) {
	closeBoth := sync.OnceFunc(func() {
		_ = to.Close()
		_ = from.Close()
	})
	defer context.AfterFunc(ctx, closeBoth)()
	var wg sync.WaitGroup
	wg.Go(func() {
		isOrderly := copyResponse(to, from)
		if isOrderly || to.readsFrames {
			closeBoth()
		}
	})
	wg.Go(func() {
		defer closeBoth()
		if copyBytes(from, to) != nil && !to.readsFrames {
			_, _ = io.Copy(io.Discard, to)
		}
	})
	wg.Wait()
}

// copyResponse copies from a backend server to a caller until one of them ends. It
// reports whether the backend server has ended in an orderly way, and tells a caller that
// reads frames.
func copyResponse(to caller, from net.Conn) (isOrderly bool) {
	source := backendconn.Reader{Conn: from}
	if !to.readsFrames {
		return copyBytes(to, source) == nil
	}
	frames := &frameWriter{w: to}
	// The rest of the request may still be on its way from the caller, which doesn't see what
	// becomes of it. Only a response that ends with its connection waits for this.
	return copyBytes(frames, source) == nil && backendconn.SettledEndError(from) == nil && frames.end() == nil
}

// copyBytes copies until one side ends, and returns nil if from has ended in an orderly
// way. It has a buffer of its own, as io.Copy would take one of 32 KiB.
func copyBytes(to io.Writer, from io.Reader) error {
	buf := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			bytesMoved.Add(n)
			if _, werr := to.Write(buf[:n]); werr != nil {
				return errors.Trace(werr)
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return errors.Trace(err)
		}
	}
}
