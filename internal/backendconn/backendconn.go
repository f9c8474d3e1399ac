// Package backendconn holds the rules that gateways and entry processes share for what they
// read from backend servers: which end of a connection is orderly, and which status codes
// HTTP defines. It neither opens connections nor parses responses.
package backendconn

import (
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

// WriteEndTimeout is how long the reader of a body that has ended with its connection waits
// for the end of the write of the request. If the backend server has received the whole
// request, that write returns within microseconds.
const WriteEndTimeout = 50 * time.Millisecond

// EndSettleTime is how long after an orderly end a backend server may reset its connection.
// It does so if it closes the connection without having read the whole request, of which the
// rest may lie in its receive buffer, or be on its way.
const EndSettleTime = 50 * time.Millisecond

// Errors for responses that must not be forwarded.
var (
	// ErrRequestUnread means that the backend server has ended its connection before it had
	// received the whole request. The response may be truncated.
	ErrRequestUnread = errors.New("the connection ended before the request was received")
	// ErrUndefinedStatus means that HTTP doesn't define the status of a response.
	ErrUndefinedStatus = errors.New("the status is not defined")
)

// maxStatus is the highest status that HTTP defines (RFC 9110, section 15).
const maxStatus = 599

// CheckStatus returns an error that wraps ErrUndefinedStatus unless code is the status of a
// final response.
func CheckStatus(code int) error {
	if code < http.StatusOK || code > maxStatus {
		return errors.Annotatef(ErrUndefinedStatus, "status %d", code)
	}
	return nil
}

// Reader reads from a connection to a backend server. It returns io.EOF only at an orderly
// end of a TCP connection whose other side has received everything that was written to it.
// Other connections are read as they are.
type Reader struct{ net.Conn }

// Read reads bytes. Instead of io.EOF it may return the error of EndError.
func (r Reader) Read(buf []byte) (int, error) {
	n, err := r.Conn.Read(buf)
	if err == io.EOF {
		if endErr := EndError(r.Conn); endErr != nil {
			return n, endErr
		}
	}
	return n, err
}

// tcpClosed is the state of a TCP connection after a reset, as in tcp_states.h. A connection
// that the peer has closed in an orderly way is in another state until it is closed here.
const tcpClosed = 7

// EndError returns why a connection whose peer seems to have closed it didn't end in an
// orderly way, or nil. The end of file that was read doesn't show it: the kernel reports a
// reset once, and if a write that was in progress has taken the error, the read finds an
// end. The error wraps syscall.ECONNRESET, ErrRequestUnread or net.ErrClosed.
func EndError(conn net.Conn) error {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return errors.Trace(err)
	}
	var endErr error
	if err := raw.Control(func(fd uintptr) { endErr = socketEndError(int(fd)) }); err != nil {
		// The connection was closed here, perhaps because a write has failed.
		return errors.Annotate(net.ErrClosed, "read the state of a connection")
	}
	return endErr
}

// SettledEndError is EndError after EndSettleTime. A body that ends with its connection is
// complete if it returns nil.
func SettledEndError(conn net.Conn) error {
	time.Sleep(EndSettleTime)
	return EndError(conn)
}

// socketEndError is EndError for a socket. A platform that doesn't tell the state of a socket,
// or its send queue, leaves the end that was read as it is: without this, no body that ends
// with its connection could be served there.
func socketEndError(fd int) error {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err == nil && info.State == tcpClosed {
		return errors.Annotate(syscall.ECONNRESET, "read at the end")
	}
	// The end of the peer acknowledges all that the peer has received until then.
	unacked, err := unix.IoctlGetInt(fd, unix.SIOCOUTQ)
	if err == nil && unacked > 0 {
		return errors.Annotatef(ErrRequestUnread, "%d bytes", unacked)
	}
	return nil
}
