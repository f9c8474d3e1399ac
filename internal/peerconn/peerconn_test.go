package peerconn

import (
	"bytes"
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"bilberryhub/internal/wire"
	"bilberryhub/internal/wirepb"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// peer is a process that connects for others.
type peer struct {
	Server
	wire   *wire.Server
	client *wire.Client
}

func newPeer(t *testing.T) *peer {
	t.Helper()
	p := &peer{}
	p.Max = MaxConnections(0)
	p.Allows = func(wire.Peer, Target) error { return nil }
	p.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		return wire.Dialer().DialContext(ctx, "tcp", address)
	}
	var err error
	p.wire, err = wire.Serve("127.0.0.1:0", wire.Options{Self: wire.Identity{Kind: wire.KindEntry, ID: "peer"}},
		func(ctx context.Context, st *wire.Stream, req *wirepb.Envelope) error {
			return p.Serve(ctx, st, req.GetConnect())
		}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	p.client = wire.NewClient(p.wire.Address(), wire.Options{Self: wire.Identity{Kind: wire.KindEntry, ID: "caller"}})
	t.Cleanup(func() {
		_ = p.client.Close()
		_ = p.wire.Close()
	})
	return p
}

// backend listens and passes each connection to serve.
func backend(t *testing.T, serve func(net.Conn)) Target {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return Target{ID: "b", Address: l.Addr().String()}
}

func echo(c net.Conn) {
	defer c.Close()
	_, _ = io.Copy(c, c)
}

// Guards against bytes that are lost, cut short or reordered on their way through a
// peer.
func TestBytesPassUnchanged(t *testing.T) {
	p := newPeer(t)
	conn, err := Dial(t.Context(), t.Context(), p.client, backend(t, echo))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	sent := bytes.Repeat([]byte("0123456789abcdef"), 1<<16)
	go func() { _, _ = conn.Write(sent) }()
	got := make([]byte, len(sent))
	if _, err := io.ReadFull(conn, got); err != nil || !bytes.Equal(got, sent) {
		t.Fatalf("%d bytes came back otherwise: %v", len(sent), err)
	}
}

// Guards against an end of one side that the other side doesn't notice: a caller would
// wait for a response that can't come, and a backend server would work for nobody.
func TestEndsArePassedOn(t *testing.T) {
	p := newPeer(t)
	ended := make(chan struct{})
	conn, err := Dial(t.Context(), t.Context(), p.client, backend(t, func(c net.Conn) {
		_, _ = io.Copy(io.Discard, c)
		_ = c.Close()
		close(ended)
	}))
	if err != nil {
		t.Fatal(err)
	}
	_ = conn.Close()
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal("the backend server doesn't notice that the caller has left")
	}
	conn, err = Dial(t.Context(), t.Context(), p.client, backend(t, func(c net.Conn) { _ = c.Close() }))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := conn.Read(make([]byte, 1)); err == nil || errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("the end of the backend server is read as %v", err)
	}
	for end := time.Now().Add(5 * time.Second); p.Open() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d connections stay open", p.Open())
		}
	}
}

// Guards against errors that blame a backend server for its peer or the reverse, and
// against a connection beyond the limits of the call.
func TestDialErrors(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = closed.Close()
	nobody := Target{ID: "b", Address: closed.Addr().String()}
	live := backend(t, echo)
	for name, test := range map[string]struct {
		change  func(*peer)
		target  Target
		isPeer  bool
		refused bool
	}{
		"backend server refuses":       {func(*peer) {}, nobody, false, true},
		"backend server is silent":     {func(p *peer) { p.Dial = hang }, live, false, false},
		"peer doesn't allow it":        {func(p *peer) { p.Allows = forbid }, live, true, false},
		"peer has no room":             {func(p *peer) { p.open.Store(p.Max) }, live, true, false},
		"peer is gone":                 {func(p *peer) { _ = p.wire.Close() }, live, true, false},
		"peer doesn't respond in time": {func(p *peer) { p.Allows = slow }, live, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newPeer(t)
			test.change(p)
			conn, err := Dial(t.Context(), t.Context(), p.client, test.target)
			if err == nil {
				_ = conn.Close()
				t.Fatal("connected")
			}
			var peerErr *PeerError
			if errors.As(err, &peerErr) != test.isPeer || errors.Is(err, syscall.ECONNREFUSED) != test.refused {
				t.Fatalf("%v: error of the peer %v, refused %v", err, errors.As(err, &peerErr), errors.Is(err, syscall.ECONNREFUSED))
			}
			if !test.isPeer && !strings.Contains(err.Error(), test.target.Address) {
				t.Fatalf("%v doesn't name the backend server", err)
			}
		})
	}
}

// Guards against a connection to a backend server that has told the peer to pause or that
// it leaves, and against a notice that looks like a failure of the peer.
func TestPeerWithANoticeDoesNotConnect(t *testing.T) {
	p := newPeer(t)
	p.Dial = func(context.Context, string) (net.Conn, error) {
		t.Error("the peer connects")
		return nil, errors.New("no")
	}
	for _, want := range []NoticeError{{Backend: 7, IsLeaving: true}, {Backend: 8, Pause: 1500 * time.Millisecond}} {
		p.Notice = func(target Target) *wirepb.Notice {
			if target.ID != "b" {
				t.Errorf("asked for %v", target)
			}
			return &wirepb.Notice{Backend: want.Backend, Leaving: want.IsLeaving, PauseMs: uint32(want.Pause.Milliseconds())}
		}
		_, err := Dial(t.Context(), t.Context(), p.client, Target{ID: "b", Address: "127.0.0.1:9"})
		var got *NoticeError
		if !errors.As(err, &got) || got.Backend != want.Backend || got.IsLeaving != want.IsLeaving || got.Pause != want.Pause {
			t.Errorf("got %v, expected %+v", err, want)
		}
	}
}

// Guards against an earlier build that takes the reply of a peer with a notice for a
// connection, or for a failure of the backend server. It reads the reply as one without a
// body.
func TestEarlierBuildTakesANoticeForNoHelp(t *testing.T) {
	p := newPeer(t)
	_ = p.wire.Close()
	server, err := wire.Serve("127.0.0.1:0", wire.Options{Self: wire.Identity{Kind: wire.KindEntry, ID: "peer"}},
		func(_ context.Context, st *wire.Stream, _ *wirepb.Envelope) error { return st.Send(&wirepb.Envelope{}) }, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	client := wire.NewClient(server.Address(), wire.Options{Self: wire.Identity{Kind: wire.KindEntry, ID: "caller"}})
	defer client.Close()
	_, err = Dial(t.Context(), t.Context(), client, Target{ID: "b", Address: "127.0.0.1:9"})
	var peerErr *PeerError
	if !errors.As(err, &peerErr) {
		t.Fatalf("got %v", err)
	}
}

func hang(ctx context.Context, _ string) (net.Conn, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func forbid(wire.Peer, Target) error { return errors.New("not allowed") }

func slow(wire.Peer, Target) error {
	time.Sleep(callTimeout + 200*time.Millisecond)
	return nil
}

// Guards against a stream that holds memory at the peer because its reader is slow: the
// peer must stop reading from the backend server.
func TestBackPressure(t *testing.T) {
	p := newPeer(t)
	var written atomic.Int64
	conn, err := Dial(t.Context(), t.Context(), p.client, backend(t, func(c net.Conn) {
		defer c.Close()
		chunk := make([]byte, 64<<10)
		for {
			_ = c.SetWriteDeadline(time.Now().Add(time.Second))
			n, err := c.Write(chunk)
			written.Add(int64(n))
			if err != nil {
				return
			}
		}
	}))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	time.Sleep(500 * time.Millisecond)
	first := written.Load()
	time.Sleep(300 * time.Millisecond)
	if now := written.Load(); now != first {
		t.Fatalf("%d bytes were taken for a reader that doesn't read, and then %d", first, now)
	}
}

// Guards against a connection that ends with the limit of its dial.
func TestConnectionOutlivesItsDial(t *testing.T) {
	p := newPeer(t)
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	conn, err := Dial(ctx, t.Context(), p.client, backend(t, echo))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	time.Sleep(callTimeout + 100*time.Millisecond)
	if _, err := conn.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.ReadFull(conn, make([]byte, 1)); err != nil {
		t.Fatalf("the connection has ended: %v", err)
	}
}

// Guards against connections for peers that take the memory of the process when backend
// servers or callers stop reading.
func TestConnectionsFitTheMemory(t *testing.T) {
	for _, megabytes := range []int64{1, 184, 284, 100_000} {
		n := MaxConnections(megabytes)
		if n < 1 || n > defaultMaxConnections || (megabytes > 1 && n*connectionBytes > megabytes<<20/4) {
			t.Errorf("%d MiB: %d connections", megabytes, n)
		}
	}
}

// reads returns what is read from conn until its end, and the error of the end.
func reads(t *testing.T, conn net.Conn) (string, error) {
	t.Helper()
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	var data []byte
	buf := make([]byte, 1<<10)
	for {
		n, err := conn.Read(buf)
		data = append(data, buf[:n]...)
		if err != nil {
			return string(data), err
		}
	}
}

// Guards against an end of the way through a peer that looks like the orderly end of the
// backend server: a truncated response that ends with its connection would count as whole.
func TestOnlyTheBackendServerEndsTheResponse(t *testing.T) {
	const part = "a part of the response"
	for name, test := range map[string]struct {
		// end ends the connection of the backend server, or something else on the way.
		end       func(p *peer, backendConn net.Conn, conn net.Conn)
		isOrderly bool
	}{
		"backend server closes": {func(_ *peer, b, _ net.Conn) { _ = b.Close() }, true},
		"backend server resets": {func(_ *peer, b, _ net.Conn) {
			_ = b.(*net.TCPConn).SetLinger(0)
			_ = b.Close()
		}, false},
		"peer ends":                {func(p *peer, _, _ net.Conn) { _ = p.wire.Close() }, false},
		"session ends":             {func(p *peer, _, _ net.Conn) { _ = p.client.Close() }, false},
		"caller closes its stream": {func(_ *peer, _, c net.Conn) { _ = c.Close() }, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newPeer(t)
			backendConns := make(chan net.Conn, 1)
			conn, err := Dial(t.Context(), t.Context(), p.client, backend(t, func(c net.Conn) {
				_, _ = io.WriteString(c, part)
				backendConns <- c
			}))
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			got := make([]byte, len(part))
			if _, err := io.ReadFull(conn, got); err != nil || string(got) != part {
				t.Fatalf("read %q: %v", got, err)
			}
			backendConn := <-backendConns
			defer backendConn.Close()
			test.end(p, backendConn, conn)
			if rest, err := reads(t, conn); rest != "" || (err == io.EOF) != test.isOrderly || isTimeout(err) {
				t.Fatalf("read %q and then %v, expected an orderly end: %v", rest, err, test.isOrderly)
			}
		})
	}
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// Guards against an end that looks orderly while gateways of two builds run side by side:
// the earlier one neither sends nor reads frames.
func TestEndsBesideAnEarlierBuild(t *testing.T) {
	const part = "a part of the response"
	for name, test := range map[string]struct {
		isCallerEarlier, isReset bool
		// isOrderly states what is read, if anything is.
		isOrderly, isSilent bool
	}{
		// An earlier peer ends its stream in the same way if the backend server resets.
		"peer is earlier":                          {false, false, false, false},
		"caller is earlier, backend server closes": {true, false, true, false},
		"caller is earlier, backend server resets": {true, true, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newPeer(t)
			earlier := wire.Options{HighestVersion: minFramedVersion - 1, Self: wire.Identity{Kind: wire.KindEntry, ID: "earlier"}}
			_ = p.client.Close()
			p.client = wire.NewClient(p.wire.Address(), earlier)
			dial := Dial
			if test.isCallerEarlier {
				dial = dialOfEarlierBuild
			}
			conn, err := dial(t.Context(), t.Context(), p.client, backend(t, func(c net.Conn) {
				_, _ = io.WriteString(c, part)
				if test.isReset {
					time.Sleep(100 * time.Millisecond)
					_ = c.(*net.TCPConn).SetLinger(0)
				}
				_ = c.Close()
			}))
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			_ = conn.SetReadDeadline(time.Now().Add(time.Second))
			got, err := io.ReadAll(conn)
			if string(got) != part || (err == nil) != test.isOrderly || isTimeout(err) != test.isSilent {
				t.Fatalf("read %q and then %v, expected an orderly end: %v, silence: %v", got, err, test.isOrderly, test.isSilent)
			}
			_ = conn.Close()
			for end := time.Now().Add(5 * time.Second); p.Open() > 0; time.Sleep(time.Millisecond) {
				if time.Now().After(end) {
					t.Fatalf("%d connections stay open", p.Open())
				}
			}
		})
	}
}

// dialOfEarlierBuild is Dial as the build before protocol version 4 has it.
func dialOfEarlierBuild(ctx, lifetime context.Context, client *wire.Client, target Target) (net.Conn, error) {
	conn, err := Dial(ctx, lifetime, client, target)
	if err != nil {
		return nil, err
	}
	return conn.(closingConn).Conn.(unframedConn).Conn, nil
}
