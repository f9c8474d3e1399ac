package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"bilberryhub/internal/bootclock"
)

const (
	// drainPollInterval is the interval at which a planned stop checks for busy
	// connections.
	drainPollInterval = 10 * time.Millisecond
	// firstRequestTime is how long a planned stop waits for the first request on a
	// connection that was accepted before: it may be on its way.
	firstRequestTime = time.Second
)

// callerConns tracks the connections of callers of one server, for a planned stop that
// answers each request that was read. Server.Shutdown doesn't: it closes a connection as
// idle although a request has just been read there, and drops requests that it reads
// afterwards.
type callerConns struct {
	mu    sync.Mutex
	conns map[*callerConn]struct{}
}

// callerConn is a connection of a caller.
type callerConn struct {
	net.Conn
	acceptedAt time.Duration
	// state is the http.ConnState. pending is set when bytes of the next request were
	// read: while the connection is idle, or the first byte before. net/http reads one
	// byte at a time beside a handler, to notice a caller that disconnects.
	state   atomic.Int32
	pending atomic.Bool
}

// Read reads from the connection.
func (c *callerConn) Read(buf []byte) (int, error) {
	n, err := c.Conn.Read(buf)
	if n > 0 && (c.isIdle() || len(buf) == 1) {
		c.pending.Store(true)
	}
	return n, err
}

// Close closes the connection, unless a request has begun to arrive that net/http
// doesn't count yet. The server then closes it after the response.
func (c *callerConn) Close() error {
	if c.isIdle() && c.pending.Load() {
		return nil
	}
	return c.Conn.Close()
}

func (c *callerConn) isIdle() bool { return http.ConnState(c.state.Load()) == http.StateIdle }

// isBusy reports whether a request is being served or may be arriving.
func (c *callerConn) isBusy(now time.Duration) bool {
	switch http.ConnState(c.state.Load()) {
	case http.StateNew:
		return now-c.acceptedAt < firstRequestTime
	case http.StateIdle:
		return c.pending.Load()
	}
	return true
}

func newCallerConns() *callerConns { return &callerConns{conns: map[*callerConn]struct{}{}} }

// callerListener is a listener whose connections are tracked.
type callerListener struct {
	net.Listener
	conns *callerConns
}

// Accept returns the next connection.
func (l callerListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &callerConn{Conn: accepted, acceptedAt: bootclock.Now()}
	l.conns.mu.Lock()
	defer l.conns.mu.Unlock()
	l.conns.conns[c] = struct{}{}
	return c, nil
}

// track is the ConnState function of the server.
func (t *callerConns) track(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	if state == http.StateActive {
		c.pending.Store(false)
	}
	c.state.Store(int32(state))
	if state == http.StateClosed || state == http.StateHijacked {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.conns, c)
	}
}

// busy returns the number of connections on which a request is being served or may be
// arriving.
func (t *callerConns) busy() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	now, n := bootclock.Now(), 0
	for c := range t.conns {
		if c.isBusy(now) {
			n++
		}
	}
	return n
}

// drain ends the connections of a server whose listener is closed: idle ones at once,
// the others after the response to their request. It returns the error of ctx if that
// ends first.
func (t *callerConns) drain(ctx context.Context, server *http.Server) error {
	server.SetKeepAlivesEnabled(false)
	for t.busy() > 0 {
		if !sleep(ctx, drainPollInterval) {
			return ctx.Err()
		}
	}
	return nil
}
