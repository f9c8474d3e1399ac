// Package wire connects the processes of bilberryhub.
//
// Two processes share one TCP connection, multiplexed by yamux. The first
// stream carries a handshake in which both sides state their identity and the
// range of protocol versions they speak; the highest common version is used.
// Each later call is one stream that carries length-delimited protobuf
// envelopes, so that a slow call never delays another one.
package wire

import (
	"bufio"
	"context"
	"crypto/tls"
	"io"
	"net"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/juju/errors"
	"google.golang.org/protobuf/encoding/protodelim"

	"bilberryhub/internal/wirepb"
)

// Range of protocol versions that this build speaks.
const (
	LowestVersion  = 1
	HighestVersion = 3
)

const (
	// maxMessageBytes bounds one envelope. The largest is a configuration
	// with a manifest of 2,200 client accounts, below 4 MiB.
	maxMessageBytes = 64 << 20
	// handshakeTimeout bounds dialling and the handshake.
	handshakeTimeout = 2 * time.Second
	// writeTimeout bounds a write to a connection whose peer does not read.
	writeTimeout = 3 * time.Second
	// keepAlive is how often an idle connection is probed. An open connection may
	// go silent while new ones work, which only a probe shows.
	keepAlive = time.Second
)

// Kind is the kind of a process.
type Kind string

// The kinds of processes.
const (
	KindEntry Kind = "entry"
	KindState Kind = "state"
	KindCtl   Kind = "ctl"
)

// Identity names a process to its peers.
type Identity struct {
	Kind Kind
	ID   string
	// Incarnation differs for each start of the process.
	Incarnation   uint64
	FailureDomain string
}

// Peer is the other side of a session.
type Peer struct {
	Identity
	// Version is the protocol version of the session.
	Version uint32
	// Address is the remote network address.
	Address string
}

// Options configure clients and servers.
type Options struct {
	Self Identity
	// TLS is nil for plain TCP.
	TLS *tls.Config
	// Dial replaces net.Dialer.DialContext; tests use it to inject faults.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Versions override the range of protocol versions; zero means this build's.
	LowestVersion, HighestVersion uint32
}

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

// negotiate returns the peer that sent env.
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

// Stream is one call. Send and Recv may be used by one goroutine each.
type Stream struct {
	conn net.Conn
	r    *bufio.Reader
	peer Peer
	stop func() bool
}

func newStream(ctx context.Context, conn net.Conn, peer Peer) *Stream {
	s := &Stream{conn: conn, r: bufio.NewReaderSize(conn, 512), peer: peer}
	s.stop = context.AfterFunc(ctx, func() { abort(conn) })
	return s
}

// abort ends reads and writes that are under way. Closing a yamux stream does
// not: it only announces the end to the peer and waits for the peer's.
func abort(conn net.Conn) {
	_ = conn.SetDeadline(time.Unix(1, 0))
	_ = conn.Close()
}

// Peer returns the other side.
func (s *Stream) Peer() Peer { return s.peer }

// Send writes one envelope.
func (s *Stream) Send(env *wirepb.Envelope) error { return s.SendPrepared(Prepare(env)) }

// SendPrepared writes an envelope that goes to several peers.
func (s *Stream) SendPrepared(p *Prepared) error {
	_, err := protodelim.MarshalTo(s.conn, p.forVersion(s.peer.Version))
	return errors.Annotatef(err, "send to %s", s.peer.ID)
}

// Recv reads one envelope. It returns io.EOF, unwrapped, at the end.
func (s *Stream) Recv() (*wirepb.Envelope, error) {
	env := &wirepb.Envelope{}
	err := protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}.UnmarshalFrom(s.r, env)
	if err == io.EOF {
		return nil, io.EOF
	}
	if err != nil {
		return nil, errors.Annotatef(err, "receive from %s", s.peer.ID)
	}
	env, err = unpacked(env)
	return env, errors.Annotatef(err, "receive from %s", s.peer.ID)
}

// Close ends the call, also for a Send or Recv under way.
func (s *Stream) Close() error {
	s.stop()
	abort(s.conn)
	return nil
}

func yamuxConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.LogOutput = io.Discard
	cfg.ConnectionWriteTimeout = writeTimeout
	cfg.KeepAliveInterval = keepAlive
	cfg.StreamOpenTimeout = writeTimeout
	cfg.StreamCloseTimeout = writeTimeout
	return cfg
}

// FailureEnvelope returns the answer to a call that could not be carried out.
func FailureEnvelope(step, code string, err error) *wirepb.Envelope {
	return &wirepb.Envelope{Body: &wirepb.Envelope_Failure{Failure: &wirepb.Failure{
		Step: step, Code: code, Message: err.Error(),
	}}}
}

// AckEnvelope returns an empty acknowledgement.
func AckEnvelope() *wirepb.Envelope {
	return &wirepb.Envelope{Body: &wirepb.Envelope_Ack{Ack: &wirepb.Ack{}}}
}

// RemoteError is a failure reported by the peer.
type RemoteError struct {
	Peer, Step, Code, Message string
}

func (e *RemoteError) Error() string {
	return e.Step + " at " + e.Peer + ": " + e.Code + ": " + e.Message
}
