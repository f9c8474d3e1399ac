package backend

import (
	"context"
	"io"
	"net"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"bilberryhub/internal/backendconn"
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
	// settlesEnd is set for a response whose end counts only after
	// backendconn.EndSettleTime.
	settlesEnd atomic.Bool
	// headMatched is the length of the part of headEnd that ends what was written so far,
	// bodyLeft what is left of the body, and isComplete is set when the request was written
	// in full. Only the write goroutine uses them.
	headMatched, bodyLeft int
	isComplete            bool
	// requestWritten is closed when the request was written in full.
	requestWritten chan struct{}
}

// headEnd ends the head of a request.
const headEnd = "\r\n\r\n"

func newGate(r *Request) *gate {
	return &gate{check: r.BeforeSend, onLate: r.OnLateWrite, bodyLeft: len(r.Body), requestWritten: make(chan struct{})}
}

// count counts bytes that were written to the connection. net/http reports the end of a
// request before it has flushed its buffer.
func (g *gate) count(p []byte) {
	g.bodyLeft -= len(g.skipHead(p))
	if !g.isComplete && g.headMatched == len(headEnd) && g.bodyLeft <= 0 {
		g.isComplete = true
		close(g.requestWritten)
	}
}

// skipHead returns the part of written bytes that belongs to the body.
func (g *gate) skipHead(p []byte) []byte {
	for ; len(p) > 0 && g.headMatched < len(headEnd); p = p[1:] {
		switch p[0] {
		case headEnd[g.headMatched]:
			g.headMatched++
		case headEnd[0]:
			g.headMatched = 1
		default:
			g.headMatched = 0
		}
	}
	return p
}

// isRequestWritten reports whether the request was written in full. It waits for that for up
// to backendconn.WriteEndTimeout.
func (g *gate) isRequestWritten() bool {
	timer := time.NewTimer(backendconn.WriteEndTimeout)
	defer timer.Stop()
	select {
	case <-g.requestWritten:
		return true
	case <-timer.C:
		return false
	}
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
// that currently uses it, and whose end is read as by backendconn.Reader.
type gatedConn struct {
	net.Conn
	gate atomic.Pointer[gate]
}

// Read reads bytes.
func (c *gatedConn) Read(p []byte) (int, error) {
	n, err := backendconn.Reader{Conn: c.Conn}.Read(p)
	if g := c.gate.Load(); err == io.EOF && g != nil && g.settlesEnd.Load() {
		// net/http closes the connection when it gets the end, so this is the last chance.
		if endErr := backendconn.SettledEndError(c.Conn); endErr != nil {
			return n, endErr
		}
	}
	return n, err
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
	g.count(p[:n])
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
