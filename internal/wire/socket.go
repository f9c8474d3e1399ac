package wire

import (
	"net"
	"syscall"
	"time"

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
