package backend

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync/atomic"
)

// gate runs a check before the first byte of one dispatch is written.
//
// The check has to be part of the write itself: net/http passes a request to the
// write goroutine of the connection without checking the context again, so that
// after an earlier check the process could be paused and then still write.
type gate struct {
	check func() error
	// sent is set once the check has passed, after which bytes may have been sent.
	sent atomic.Bool
	// err is the error of the check.
	err atomic.Pointer[error]
}

// allowWrite runs the check if it has not passed before, and returns its error. Once
// it has returned nil, bytes may have been sent.
func (g *gate) allowWrite() error {
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

// checkError returns the error of the check, or nil if it passed or was not run.
func (g *gate) checkError() error {
	if err := g.err.Load(); err != nil {
		return *err
	}
	return nil
}

// gatedConn is a connection whose writes are subject to the gate of the dispatch
// that currently uses it.
type gatedConn struct {
	net.Conn
	gate atomic.Pointer[gate]
}

func (c *gatedConn) Write(p []byte) (int, error) {
	if g := c.gate.Load(); g != nil {
		if err := g.allowWrite(); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// gatedDial returns a dialer like dial whose connections are of type *gatedConn.
func gatedDial(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &gatedConn{Conn: conn}, nil
	}
}

// withGate returns a context with which a request is written through g.
func withGate(ctx context.Context, g *gate) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*gatedConn); ok {
			conn.gate.Store(g)
		}
	}})
}
