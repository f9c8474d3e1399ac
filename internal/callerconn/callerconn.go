// Package callerconn ends the connections of callers in a planned stop so that each request
// that was read gets its response. http.Server.Shutdown doesn't: it closes a connection as
// idle although a request has just been read there, and drops requests that it reads
// afterwards.
package callerconn

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"

	"bilberryhub/internal/bootclock"
	"bilberryhub/internal/wire"
)

const (
	// drainPollInterval is the interval at which a planned stop checks for busy
	// connections.
	drainPollInterval = 10 * time.Millisecond
	// firstRequestTime is how long a planned stop waits for the first request on a
	// connection that was accepted before: it may be on its way.
	firstRequestTime = time.Second
)

// Set is the connections of the callers of one server.
type Set struct {
	mu    sync.Mutex
	conns map[*conn]struct{}
}

// conn is a connection of a caller.
type conn struct {
	net.Conn
	raw        syscall.RawConn
	acceptedAt time.Duration

	// mu makes one step of reading bytes and marking that they were read, and of
	// deciding that nothing was read and closing.
	mu    sync.Mutex
	state http.ConnState
	// pending is set when bytes of the next request were read: while the connection is
	// new or idle, or the first byte before. net/http reads one byte at a time beside a
	// handler, to notice a caller that disconnects.
	pending bool
	// keptOpen is set when Close has left the connection open for a request that had
	// arrived, and isClosed when the connection was closed.
	keptOpen, isClosed bool
}

// Read reads from the connection.
func (c *conn) Read(buf []byte) (int, error) {
	var n int
	var readErr error
	err := c.raw.Read(func(fd uintptr) (done bool) {
		n, readErr = c.readNow(int(fd), buf)
		return !errors.Is(readErr, unix.EAGAIN)
	})
	switch {
	case err != nil:
		return 0, err
	case readErr != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: readErr}
	case n == 0 && len(buf) > 0:
		return 0, io.EOF
	}
	return n, nil
}

// SetLinger sets how long the end of the connection waits for bytes that are not sent yet, in
// s; 0 makes it a reset.
func (c *conn) SetLinger(seconds int) error {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return errors.Errorf("connection %T of a caller has no linger time", c.Conn)
	}
	return errors.Trace(tcp.SetLinger(seconds))
}

// readNow reads what has arrived, and returns unix.EAGAIN if that is nothing.
func (c *conn) readNow(fd int, buf []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClosed {
		return 0, net.ErrClosed
	}
	n, err := unix.Read(fd, buf)
	for errors.Is(err, unix.EINTR) {
		n, err = unix.Read(fd, buf)
	}
	if n > 0 && (c.state != http.StateActive || len(buf) == 1) {
		c.pending = true
	}
	return max(0, n), err
}

// Close closes the connection if it is idle and no request has arrived, or begun to.
//
// net/http calls it for connections that were idle some time before, among them those on
// which a request is being served now, and for a connection whose last response was
// sent; that one is closed when its state becomes StateClosed. See closeNow for the others.
func (c *conn) Close() error {
	c.mu.Lock()
	hasRequest := c.state == http.StateActive || c.pending || wire.StateOf(c.Conn) == wire.SocketReadable
	if hasRequest {
		c.keptOpen = true
		c.mu.Unlock()
		return nil
	}
	c.isClosed = true
	c.mu.Unlock()
	return c.Conn.Close()
}

// closeNow closes the connection.
func (c *conn) closeNow() {
	c.mu.Lock()
	c.isClosed = true
	c.mu.Unlock()
	_ = c.Conn.Close()
}

// setState records the state that net/http gives the connection.
func (c *conn) setState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = state
	if state == http.StateActive {
		c.pending = false
	}
}

// isBusy reports whether a request is being served or may be arriving.
func (c *conn) isBusy(now time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch c.state {
	case http.StateNew:
		return now-c.acceptedAt < firstRequestTime || c.keptOpen
	case http.StateIdle:
		return c.pending || c.keptOpen
	}
	return true
}

// NewSet returns an empty set.
func NewSet() *Set { return &Set{conns: map[*conn]struct{}{}} }

// Listener returns a listener whose connections belong to the set.
func (s *Set) Listener(l net.Listener) net.Listener { return listener{l, s} }

// listener is a listener whose connections belong to a set.
type listener struct {
	net.Listener
	set *Set
}

// Accept returns the next connection.
func (l listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	socket, ok := accepted.(syscall.Conn)
	if !ok {
		return nil, errors.Errorf("connection %T of a caller has no socket", accepted)
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil, errors.Annotate(err, "socket of a caller")
	}
	c := &conn{Conn: accepted, raw: raw, acceptedAt: bootclock.Now()}
	l.set.mu.Lock()
	defer l.set.mu.Unlock()
	l.set.conns[c] = struct{}{}
	return c, nil
}

// Track is the ConnState function of the server, which must not hijack connections.
func (s *Set) Track(tracked net.Conn, state http.ConnState) {
	c, ok := tracked.(*conn)
	if !ok {
		return
	}
	c.setState(state)
	if state != http.StateClosed {
		return
	}
	c.closeNow()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// CloseAll closes all connections, also those on which requests are being served.
func (s *Set) CloseAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.closeNow()
	}
}

// busy returns the number of connections on which a request is being served or may be
// arriving.
func (s *Set) busy() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, n := bootclock.Now(), 0
	for c := range s.conns {
		if c.isBusy(now) {
			n++
		}
	}
	return n
}

// Drain ends the connections of a server whose listener is closed: idle ones at once,
// the others after the response to their request. It returns the error of ctx if that
// ends first.
func (s *Set) Drain(ctx context.Context, server *http.Server) error {
	server.SetKeepAlivesEnabled(false)
	tick := time.NewTicker(drainPollInterval)
	defer tick.Stop()
	for s.busy() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
	return nil
}
