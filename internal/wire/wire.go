// Package wire is the transport between the processes of bilberryhub: clients and
// servers for calls with protobuf messages.
//
// All calls of a client share one TCP connection, multiplexed by yamux. The first
// stream carries a handshake in which both sides state their identity and the
// range of protocol versions that they support; the highest common version is
// used. Each call is one further stream that carries length-delimited protobuf
// envelopes, so that a slow call never delays another one.
//
// The package never retries a call, does not order calls among each other, does
// not discover addresses and does not interpret messages other than Hello,
// Failure and Packed.
package wire

import (
	"bufio"
	"context"
	"crypto/tls"
	"io"
	"net"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/hashicorp/yamux"
	"github.com/juju/errors"
	"google.golang.org/protobuf/encoding/protodelim"

	"bilberryhub/internal/wirepb"
)

// Range of protocol versions that this build supports.
const (
	LowestVersion  = 1
	HighestVersion = 4
)

const (
	// maxMessageBytes bounds one envelope. The largest one is a configuration
	// with a manifest of 2,200 client accounts, which takes less than 4 MiB.
	maxMessageBytes = 64 << 20
	// handshakeTimeout bounds the handshake at the server, and clientHandshakeTimeout
	// dialling and the handshake at the client. A client that gave up sooner than the
	// server would make it work in vain.
	handshakeTimeout       = 2 * time.Second
	clientHandshakeTimeout = 3 * time.Second
	// writeTimeout bounds a write to a connection whose peer does not read.
	writeTimeout = 3 * time.Second
	// keepAliveInterval is the time between two pings of a session. An open
	// connection may stop carrying data while new ones work, which only a ping
	// detects.
	keepAliveInterval = time.Second
	// clientKeepAliveInterval replaces keepAliveInterval in sessions whose client
	// notices silence by itself: a control process has hundreds of them.
	clientKeepAliveInterval = 5 * time.Second
)

// Kind is the kind of a process.
type Kind string

// The kinds of processes.
const (
	KindEntry Kind = "entry"
	KindState Kind = "state"
	KindCtl   Kind = "ctl"
)

// Identity identifies a process to its peers.
type Identity struct {
	Kind Kind
	ID   string
	// Incarnation is different after each start of the process.
	Incarnation   uint64
	FailureDomain string
}

// Peer is the remote process of a session.
type Peer struct {
	Identity
	// Version is the negotiated protocol version of the session.
	Version uint32
	// Address is the remote network address.
	Address string
}

// Options configure clients and servers.
type Options struct {
	// Self is stated to the peer in the handshake.
	Self Identity
	// TLS is nil for plain TCP.
	TLS *tls.Config
	// Dial replaces the DialContext method of Dialer; tests use it to inject
	// faults.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// KeepAlive is the time between two pings of a client; keepAliveInterval if 0.
	KeepAlive time.Duration
	// IsPeer, if set, reports whether the connections of a server from an IP address
	// are admitted without limit.
	IsPeer func(ip string) bool
	// LowestVersion and HighestVersion override the range of protocol versions;
	// zero means the constant of the same name.
	LowestVersion, HighestVersion uint32
}

// versions returns the range of protocol versions in effect.
func (o Options) versions() (lowest, highest uint32) {
	lowest, highest = o.LowestVersion, o.HighestVersion
	if lowest == 0 {
		lowest = LowestVersion
	}
	if highest == 0 {
		highest = HighestVersion
	}
	return lowest, highest
}

// hello returns the handshake message.
func (o Options) hello() *wirepb.Envelope {
	lowest, highest := o.versions()
	return &wirepb.Envelope{Body: &wirepb.Envelope_Hello{Hello: &wirepb.Hello{
		LowestVersion:  lowest,
		HighestVersion: highest,
		Kind:           string(o.Self.Kind),
		Id:             o.Self.ID,
		Incarnation:    o.Self.Incarnation,
		FailureDomain:  o.Self.FailureDomain,
	}}}
}

// negotiate returns the peer at address that sent the handshake message env. It
// returns an error if env is no Hello or there is no common protocol version.
func (o Options) negotiate(env *wirepb.Envelope, address string) (Peer, error) {
	h := env.GetHello()
	if h == nil {
		if f := env.GetFailure(); f != nil {
			return Peer{}, errors.Errorf("handshake with %s: refused: %s", address, f.GetMessage())
		}
		return Peer{}, errors.Errorf("handshake with %s: first message is not hello", address)
	}
	lowest, highest := o.versions()
	version := min(highest, h.GetHighestVersion())
	if version < max(lowest, h.GetLowestVersion()) {
		return Peer{}, errors.Errorf("handshake with %s: no common protocol version: here %d to %d, there %d to %d",
			address, lowest, highest, h.GetLowestVersion(), h.GetHighestVersion())
	}
	return Peer{
		Identity: Identity{
			Kind: Kind(h.GetKind()), ID: h.GetId(),
			Incarnation: h.GetIncarnation(), FailureDomain: h.GetFailureDomain(),
		},
		Version: version,
		Address: address,
	}, nil
}

// Stream is one call. Send and Recv may each be used by one goroutine at a time.
type Stream struct {
	conn net.Conn
	r    *bufio.Reader
	peer Peer
	// stop detaches the stream from its context.
	stop func() bool
}

// newStream returns a stream that is aborted when ctx ends.
func newStream(ctx context.Context, conn net.Conn, peer Peer) *Stream {
	s := &Stream{conn: conn, r: bufio.NewReaderSize(conn, 512), peer: peer}
	s.stop = context.AfterFunc(ctx, func() { abort(conn) })
	return s
}

// abort closes conn and fails pending reads and writes. Closing a yamux stream
// alone does not fail them: it only sends a FIN to the peer and waits for the FIN
// of the peer.
func abort(conn net.Conn) {
	_ = conn.SetDeadline(time.Unix(1, 0))
	_ = conn.Close()
}

// Peer returns the remote process.
func (s *Stream) Peer() Peer { return s.peer }

// EncodeError means that an envelope can't be encoded, for example because a string in it
// isn't UTF-8. Nothing was sent: the connection still works, another peer would not get the
// envelope either, and sending it again can't succeed.
type EncodeError struct{ Err error }

func (e *EncodeError) Error() string { return "encode message: " + e.Err.Error() }

// Unwrap returns the error of the encoder.
func (e *EncodeError) Unwrap() error { return e.Err }

// IsEncodeError reports whether there is an *EncodeError in the chain of err.
func IsEncodeError(err error) bool {
	var e *EncodeError
	return errors.As(err, &e)
}

// Send writes one envelope.
func (s *Stream) Send(env *wirepb.Envelope) error { return s.SendPrepared(Prepare(env)) }

// SendPrepared writes a prepared envelope in the form that the peer can read. The error is an
// *EncodeError if there is no such form.
func (s *Stream) SendPrepared(p *Prepared) error {
	data, err := p.encoded(s.peer.Version)
	if err == nil {
		_, err = s.conn.Write(data)
	}
	return errors.Annotatef(err, "send to %s", s.peer.ID)
}

// Recv reads one envelope. It returns io.EOF, unwrapped, when the peer has closed
// the stream between two envelopes.
func (s *Stream) Recv() (*wirepb.Envelope, error) {
	env := &wirepb.Envelope{}
	err := protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}.UnmarshalFrom(s.r, env)
	if err == io.EOF {
		return nil, io.EOF
	}
	if err != nil {
		return nil, errors.Annotatef(err, "receive from %s", s.peer.ID)
	}
	env, err = unpack(env)
	return env, errors.Annotatef(err, "receive from %s", s.peer.ID)
}

// Conn returns the stream as a connection, for a call that continues with bytes in
// place of envelopes. Send and Recv must not be used any more. Closing the connection
// ends the call.
func (s *Stream) Conn() net.Conn { return streamConn{s.conn, s} }

// streamConn is a stream that carries bytes.
type streamConn struct {
	net.Conn
	stream *Stream
}

// Read reads bytes, first those that arrived with the last envelope.
func (c streamConn) Read(buf []byte) (int, error) { return c.stream.r.Read(buf) }

// Close ends the call.
func (c streamConn) Close() error { return c.stream.Close() }

// Close ends the call. A pending Send or Recv fails.
func (s *Stream) Close() error {
	s.stop()
	abort(s.conn)
	return nil
}

func yamuxConfig(o Options) *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.LogOutput = io.Discard
	cfg.ConnectionWriteTimeout = writeTimeout
	cfg.KeepAliveInterval = keepAliveInterval
	if o.KeepAlive > 0 {
		cfg.KeepAliveInterval = o.KeepAlive
	}
	cfg.StreamOpenTimeout = writeTimeout
	cfg.StreamCloseTimeout = writeTimeout
	return cfg
}

// FailureEnvelope returns the response to a call that failed with err at the named
// step. The code identifies the kind of failure. Bytes of the error text that aren't UTF-8 are
// replaced: it may quote what a caller sent, and the peer has to get the failure.
func FailureEnvelope(step, code string, err error) *wirepb.Envelope {
	return &wirepb.Envelope{Body: &wirepb.Envelope_Failure{Failure: &wirepb.Failure{
		Step: step, Code: code, Message: strings.ToValidUTF8(err.Error(), string(utf8.RuneError)),
	}}}
}

// AckEnvelope returns an empty acknowledgement.
func AckEnvelope() *wirepb.Envelope {
	return &wirepb.Envelope{Body: &wirepb.Envelope_Ack{Ack: &wirepb.Ack{}}}
}

// RemoteError is a Failure that the peer returned.
type RemoteError struct {
	Peer, Step, Code, Message string
}

func (e *RemoteError) Error() string {
	return e.Step + " at " + e.Peer + ": " + e.Code + ": " + e.Message
}
