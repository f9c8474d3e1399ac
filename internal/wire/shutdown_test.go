package wire

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"golang.org/x/sys/unix"
)

// slowClose is a connection whose Close blocks until release is closed.
type slowClose struct {
	net.Conn
	// entered is closed when Close has been called.
	entered chan struct{}
	release chan struct{}
}

func (c *slowClose) Close() error {
	close(c.entered)
	<-c.release
	return c.Conn.Close()
}

// cpuTime returns the CPU time that this process has used.
func cpuTime(t *testing.T) time.Duration {
	t.Helper()
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		t.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// TestWaitingCallSleepsDuringSessionClose guards against a busy loop in a call that
// waits for a response while its session is being closed. yamux 0.1.2 polls the
// closed session instead of sleeping, which starves the goroutine that would
// complete the close if the process runs only one thread at a time.
func TestWaitingCallSleepsDuringSessionClose(t *testing.T) {
	near, far := net.Pipe()
	conn := &slowClose{Conn: near, entered: make(chan struct{}), release: make(chan struct{})}
	config := yamux.DefaultConfig()
	config.LogOutput = io.Discard
	client, err := yamux.Client(conn, config)
	if err != nil {
		t.Fatal(err)
	}
	server, err := yamux.Server(far, config)
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	st, err := client.OpenStream()
	if err != nil {
		t.Fatal(err)
	}
	read := make(chan error, 1)
	go func() {
		_, err := st.Read(make([]byte, 1))
		read <- err
	}()
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		_ = client.Close()
	}()
	<-conn.entered
	const pause = 300 * time.Millisecond
	before := cpuTime(t)
	time.Sleep(pause)
	used := cpuTime(t) - before
	close(conn.release)
	<-closed
	select {
	case err := <-read:
		if err == nil {
			t.Error("a read of a session that has ended returns no error")
		}
	case <-time.After(5 * time.Second):
		t.Error("a read of a session that has ended does not return")
	}
	if used > pause/3 {
		t.Errorf("used %s of CPU time in %s while the session ends", used, pause)
	}
}
