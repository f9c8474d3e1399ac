package backend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"

	"bilberryhub/internal/peerconn"
	"bilberryhub/internal/wire"
	"bilberryhub/internal/wirepb"
)

// dialThroughPeer returns a dial function that connects through another process, which
// connects with dial.
func dialThroughPeer(t *testing.T, dial dialFunc) dialFunc {
	t.Helper()
	peer := &peerconn.Server{
		Max: peerconn.MaxConnections(0), Allows: func(wire.Peer, peerconn.Target) error { return nil },
		Dial: func(ctx context.Context, address string) (net.Conn, error) { return dial(ctx, "tcp", address) },
	}
	server, err := wire.Serve("127.0.0.1:0", wire.Options{Self: wire.Identity{Kind: wire.KindEntry, ID: "peer"}},
		func(ctx context.Context, st *wire.Stream, req *wirepb.Envelope) error {
			return peer.Serve(ctx, st, req.GetConnect())
		}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	client := wire.NewClient(server.Address(), wire.Options{Self: wire.Identity{Kind: wire.KindEntry, ID: "caller"}})
	t.Cleanup(func() {
		_ = client.Close()
		_ = server.Close()
	})
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		return peerconn.Dial(ctx, t.Context(), client, peerconn.Target{ID: "b1", Address: address})
	}
}

// Guards against a response without a length and without chunks that is reset on its way
// to an entry process and looks complete, directly or through a dispatcher.
func TestResponseThatEndsWithItsConnection(t *testing.T) {
	for _, isThroughPeer := range []bool{false, true} {
		for _, isReset := range []bool{false, true} {
			t.Run(fmt.Sprintf("through a peer %v, reset %v", isThroughPeer, isReset), func(t *testing.T) {
				l, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				defer l.Close()
				go func() {
					c, err := l.Accept()
					if err != nil {
						return
					}
					_, _ = http.ReadRequest(bufio.NewReader(c))
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+RequestIDHeader+": req-1\r\n\r\nbody")
					time.Sleep(50 * time.Millisecond)
					if isReset {
						_ = c.(*net.TCPConn).SetLinger(0)
					}
					_ = c.Close()
				}()
				dial := Dial
				if isThroughPeer {
					dial = dialThroughPeer(t, Dial)
				}
				resp, err := NewClient(dial).Do(t.Context(), &Request{Backend: "b1", Address: l.Addr().String(), ID: "req-1", Method: http.MethodGet, Path: "/x"})
				if err != nil {
					t.Fatal(err)
				}
				defer resp.Body.Close()
				if body, err := io.ReadAll(resp.Body); string(body) != "body" || (err != nil) != isReset {
					t.Errorf("body %q, error %v, expected one: %v", body, err, isReset)
				}
			})
		}
	}
}
