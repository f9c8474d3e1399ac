package wire

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// unackedTimeout ends a connection whose peer acknowledges nothing. A network
	// partition gives no error, and the takeover of a lost leader waits for it.
	unackedTimeout = 1500 * time.Millisecond
	// dialTimeout bounds the wait for one new connection. A packet that is lost or
	// meets a VM without power is sent again after a second only, so another
	// attempt is faster.
	dialTimeout = 500 * time.Millisecond
	// probeIdle and probeInterval are the smallest values that the socket options
	// can express.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
)

var probes = net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount}

// setUserTimeout sets TCP_USER_TIMEOUT on a new socket.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var serr error
	err := c.Control(func(fd uintptr) {
		serr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return serr
}

// Dialer returns a dialer whose connections notice a silent peer.
func Dialer() *net.Dialer {
	return &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: probes, Control: setUserTimeout}
}

// ListenConfig returns a listen configuration whose connections notice a silent
// peer.
func ListenConfig() *net.ListenConfig {
	return &net.ListenConfig{KeepAliveConfig: probes, Control: setUserTimeout}
}
