package wire

import (
	"net"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

const (
	// unackedTimeout closes a connection on which sent data stays unacknowledged
	// for this long. A network partition causes no error by itself, and the failover
	// from a lost leader waits for the connection to end.
	unackedTimeout = 1500 * time.Millisecond
	// dialTimeout bounds one dial. TCP retransmits a SYN that is lost, or sent to
	// a VM without power, only after a second, so a new attempt is faster.
	dialTimeout = 500 * time.Millisecond
	// probeIdle and probeInterval are the smallest values that the socket options
	// for TCP keepalive can express.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
)

// keepAliveConfig configures TCP keepalive.
var keepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount}

// setUserTimeout sets TCP_USER_TIMEOUT on a new socket.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var sockErr error
	err := c.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}

// Dialer returns a dialer whose connections fail when the peer stops responding.
func Dialer() *net.Dialer {
	return &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAliveConfig, Control: setUserTimeout}
}

// ListenConfig returns a listen configuration whose connections fail when the
// peer stops responding.
func ListenConfig() *net.ListenConfig {
	return &net.ListenConfig{KeepAliveConfig: keepAliveConfig, Control: setUserTimeout}
}

// SocketState is what a read from a TCP connection would find.
type SocketState int

const (
	// SocketUnknown: the connection is no open TCP connection of this process.
	SocketUnknown SocketState = iota
	// SocketQuiet: the connection is open, and there is nothing to read.
	SocketQuiet
	// SocketReadable: there are bytes to read.
	SocketReadable
	// SocketEnded: the peer has closed or reset the connection.
	SocketEnded
)

// StateOf returns the state of the socket of a connection. It takes no bytes from it and
// doesn't wait for a read that is in progress.
func StateOf(conn net.Conn) SocketState {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return SocketUnknown
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return SocketUnknown
	}
	state := SocketUnknown
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case errors.Is(err, unix.EAGAIN):
			state = SocketQuiet
		case err == nil && n > 0:
			state = SocketReadable
		default:
			state = SocketEnded
		}
	})
	if err != nil {
		return SocketUnknown
	}
	return state
}
