package gateway

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
func (c *callerConn) Read(buf []byte) (int, error) {
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

// readNow reads what has arrived, and returns unix.EAGAIN if that is nothing.
func (c *callerConn) readNow(fd int, buf []byte) (int, error) {
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
func (c *callerConn) Close() error {
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
func (c *callerConn) closeNow() {
	c.mu.Lock()
	c.isClosed = true
	c.mu.Unlock()
	_ = c.Conn.Close()
}

// setState records the state that net/http gives the connection.
func (c *callerConn) setState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = state
	if state == http.StateActive {
		c.pending = false
	}
}

// isBusy reports whether a request is being served or may be arriving.
func (c *callerConn) isBusy(now time.Duration) bool {
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
	socket, ok := accepted.(syscall.Conn)
	if !ok {
		return nil, errors.Errorf("connection %T of a caller has no socket", accepted)
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil, errors.Annotate(err, "socket of a caller")
	}
	c := &callerConn{Conn: accepted, raw: raw, acceptedAt: bootclock.Now()}
	l.conns.mu.Lock()
	defer l.conns.mu.Unlock()
	l.conns.conns[c] = struct{}{}
	return c, nil
}

// track is the ConnState function of the server, which must not hijack connections.
func (t *callerConns) track(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	c.setState(state)
	if state != http.StateClosed {
		return
	}
	c.closeNow()
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, c)
}

// closeAll closes all connections, also those on which requests are being served.
func (t *callerConns) closeAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.conns {
		c.closeNow()
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
