package control

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/juju/errors"

	"bilberryhub/internal/bootclock"
	"bilberryhub/internal/wire"
)

// tcpPair returns both ends of a connection.
func tcpPair(t *testing.T) (caller, accepted net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if caller, err = net.Dial("tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if accepted, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = caller.Close(); _ = accepted.Close() })
	return caller, accepted
}

// Guards against the end of a backend server that is applied to its next lifetime, and
// against one that is refused although nothing speaks against it.
func TestLifetimeThatALeaveEnds(t *testing.T) {
	for name, c := range map[string]struct {
		// announced is the lifetime that was announced on the connection, or 0.
		announced          uint64
		hasStalled, isGone bool
		want               uint64
		isRefused          bool
	}{
		"announced on the connection":             {announced: 1000, want: 1000},
		"announced, after a stall, caller left":   {announced: 1000, hasStalled: true, isGone: true, want: 1000},
		"another connection":                      {},
		"another connection, caller left":         {isGone: true},
		"another connection, after a stall":       {hasStalled: true},
		"another one, after a stall, caller left": {hasStalled: true, isGone: true, isRefused: true},
	} {
		t.Run(name, func(t *testing.T) {
			service := newOrderState().newService()
			caller, accepted := tcpPair(t)
			ctx := WithCallerConn(context.Background(), accepted)
			now := bootclock.Now()
			service.stalls.tick(now - time.Second)
			if !c.hasStalled {
				for at := now - time.Second; at < now; at += stallTickInterval {
					service.stalls.tick(at)
				}
			}
			recordLifetime(ctx, "b1", c.announced)
			recordLifetime(ctx, "b2", 7)
			if c.isGone {
				_ = caller.Close()
				for wire.StateOf(accepted) != wire.SocketEnded {
					time.Sleep(time.Millisecond)
				}
			}
			got, err := service.lifetimeOf(ctx, "b1")
			if got != c.want || errors.Is(err, ErrUnavailable) != c.isRefused {
				t.Errorf("lifetime %d, %v; expected %d, refused: %v", got, err, c.want, c.isRefused)
			}
		})
	}
}
