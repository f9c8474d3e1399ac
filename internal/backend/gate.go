package backend

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// lateWrite is the time between the check of a dispatch and the end of its first write
// from which it is reported. Both are some microseconds apart unless the process was
// paused, or the machine is overloaded.
const lateWrite = 100 * time.Millisecond

// gate runs a check before the first byte of one dispatch is written.
//
// The check has to be part of the write itself: net/http passes a request to the
// write goroutine of the connection without checking the context again, so that
// after an earlier check the process could be paused and then still write.
type gate struct {
	check func() error
	// onLate is called if the first write ended lateWrite or more after the check.
	onLate func(delay time.Duration)
	// sent is set once the check has passed, after which bytes may have been sent.
	sent atomic.Bool
	// err is the error of the check.
	err atomic.Pointer[error]
}

// allowWrite runs the check if it has not passed before, and returns its error. Once
// it has returned nil, bytes may have been sent. isFirst is set if the check was run.
func (g *gate) allowWrite() (isFirst bool, err error) {
	if g.sent.Load() {
		return false, nil
	}
	if g.check != nil {
		if err := g.check(); err != nil {
			g.err.Store(&err)
			return true, err
		}
	}
	g.sent.Store(true)
	return true, nil
}

// written reports the first write of a dispatch if it was late. checked is the time
// before the check.
func (g *gate) written(checked time.Time) {
	if delay := time.Since(checked); delay >= lateWrite && g.onLate != nil {
		g.onLate(delay)
	}
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
	g := c.gate.Load()
	if g == nil {
		return c.Conn.Write(p)
	}
	checked := time.Now()
	isFirst, err := g.allowWrite()
	if err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if isFirst {
		g.written(checked)
	}
	return n, err
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
