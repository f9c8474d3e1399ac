package backend

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync/atomic"
)

// gate runs a check before the first byte of one dispatch is written.
//
// The check belongs into the write itself: net/http hands a request to the
// connection's write goroutine without looking at the context again, so a
// check before that hand-over could be followed by a pause and then by the
// write.
type gate struct {
	check func() error
	sent  atomic.Bool
	err   atomic.Pointer[error]
}

// pass returns the error of the check. Once it has passed, bytes may have been
// sent.
func (g *gate) pass() error {
	if g.sent.Load() {
		return nil
	}
	if g.check != nil {
		if err := g.check(); err != nil {
			g.err.Store(&err)
			return err
		}
	}
	g.sent.Store(true)
	return nil
}

// refused returns the error of the check, or nil.
func (g *gate) refused() error {
	if err := g.err.Load(); err != nil {
		return *err
	}
	return nil
}

// gatedConn is a connection whose writes pass the gate of the dispatch that
// uses it.
type gatedConn struct {
	net.Conn
	gate atomic.Pointer[gate]
}

func (c *gatedConn) Write(p []byte) (int, error) {
	if g := c.gate.Load(); g != nil {
		if err := g.pass(); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

func gatedDial(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &gatedConn{Conn: conn}, nil
	}
}

// withGate returns a context whose request writes through g.
func withGate(ctx context.Context, g *gate) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*gatedConn); ok {
			conn.gate.Store(g)
		}
	}})
}
