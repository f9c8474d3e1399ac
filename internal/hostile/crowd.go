package hostile

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// pieceBytes is the size of one write, and of one chunk of a body.
	pieceBytes = 32 << 10
	// writeTimeout is how long a connection waits with a write for a process that reads
	// nothing any more. Such a connection stays open.
	writeTimeout = 5 * time.Second
	// heldTime is how long the connections of a crowd stay open after the last write, so
	// that what the process reads late is sampled as well.
	heldTime = 2 * time.Second
)

// Crowd is a number of connections that send at the same time. They stay open until the
// crowd is closed.
type Crowd struct {
	// Address is the network address of the process.
	Address string
	// Connections is their number.
	Connections int
	// Send sends on one connection. It returns the error of the first failed write; a
	// process may close the connection at any time.
	Send func(i int, w io.Writer) error
	// Reads is set if the connections read what is sent to them, without looking at it.
	Reads bool
}

// connections are the open connections of a crowd.
type connections struct {
	t     testing.TB
	crowd Crowd
	open  []net.Conn
	wg    sync.WaitGroup
	// sent is the number of connections that could send all, and bytes what was sent.
	sent, bytes atomic.Int64
}

// start opens the connections and begins to send.
func (c Crowd) start(t testing.TB) *connections {
	t.Helper()
	cs := &connections{t: t, crowd: c}
	for i := range c.Connections {
		conn, err := net.Dial("tcp", c.Address)
		if err != nil {
			// A process under pressure may refuse connections.
			continue
		}
		cs.open = append(cs.open, conn)
		cs.wg.Go(func() { cs.send(i, conn) })
		if c.Reads {
			go func() { _, _ = io.Copy(io.Discard, conn) }()
		}
	}
	if len(cs.open) == 0 {
		t.Fatalf("no connection to %s could be opened", c.Address)
	}
	return cs
}

// send runs Send of the crowd on one connection.
func (cs *connections) send(i int, conn net.Conn) {
	if cs.crowd.Send(i, &countingWriter{conn, &cs.bytes}) == nil {
		cs.sent.Add(1)
	}
}

// wait waits until all connections have sent what they can, and heldTime beyond.
func (cs *connections) wait() {
	cs.wg.Wait()
	time.Sleep(heldTime)
}

func (cs *connections) close() {
	for _, conn := range cs.open {
		_ = conn.Close()
	}
}

func (cs *connections) String() string {
	return fmt.Sprintf("%d of %d connections sent all, together %.1f MiB", cs.sent.Load(), cs.crowd.Connections, float64(cs.bytes.Load())/(1<<20))
}

// countingWriter writes to a connection, within writeTimeout, and counts the bytes.
type countingWriter struct {
	conn  net.Conn
	bytes *atomic.Int64
}

func (w *countingWriter) Write(p []byte) (int, error) {
	_ = w.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	n, err := w.conn.Write(p)
	w.bytes.Add(int64(n))
	return n, err
}

var filler = bytes.Repeat([]byte("x"), pieceBytes)

// Head returns the head of a POST request without its end, so that more header fields can
// follow. Fields are pairs of name and value.
func Head(path string, fields ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "POST %s HTTP/1.1\r\n", path)
	for i := 0; i+1 < len(fields); i += 2 {
		fmt.Fprintf(&b, "%s: %s\r\n", fields[i], fields[i+1])
	}
	return b.String()
}

// Body sends a request whose body is announced with a length, and sends of it only sent
// bytes.
func Body(w io.Writer, head string, announced, sent int64) error {
	if _, err := fmt.Fprintf(w, "%sContent-Length: %d\r\n\r\n", head, announced); err != nil {
		return err
	}
	return fill(w, sent)
}

// Chunks sends a request with a chunked body of a size, without the chunk that ends it.
func Chunks(w io.Writer, head string, size int64) error {
	if _, err := io.WriteString(w, head+"Transfer-Encoding: chunked\r\n\r\n"); err != nil {
		return err
	}
	for size > 0 {
		n := min(size, pieceBytes)
		if _, err := fmt.Fprintf(w, "%x\r\n%s\r\n", n, filler[:n]); err != nil {
			return err
		}
		size -= n
	}
	return nil
}

// LargeHead sends a complete head with one header field of a size.
func LargeHead(w io.Writer, head string, size int64) error {
	if err := EndlessHead(w, head, size); err != nil {
		return err
	}
	_, err := io.WriteString(w, "\r\n\r\n")
	return err
}

// EndlessHead sends a head with one header field of a size that doesn't end.
func EndlessHead(w io.Writer, head string, size int64) error {
	if _, err := io.WriteString(w, head+"X-Filler: "); err != nil {
		return err
	}
	return fill(w, size)
}

// EndlessFields sends a head of a size of many short header fields that doesn't end.
func EndlessFields(w io.Writer, head string, size int64) error {
	if _, err := io.WriteString(w, head); err != nil {
		return err
	}
	for n := int64(0); n < size; {
		var b bytes.Buffer
		for b.Len() < pieceBytes {
			fmt.Fprintf(&b, "X-%d: y\r\n", n+int64(b.Len()))
		}
		if _, err := w.Write(b.Bytes()); err != nil {
			return err
		}
		n += int64(b.Len())
	}
	return nil
}

// EmptyLines sends empty lines of a size together.
func EmptyLines(w io.Writer, size int64) error {
	line := bytes.Repeat([]byte("\r\n"), pieceBytes/2)
	for ; size > 0; size -= int64(len(line)) {
		if _, err := w.Write(line); err != nil {
			return err
		}
	}
	return nil
}

// fill sends a number of bytes.
func fill(w io.Writer, size int64) error {
	for size > 0 {
		n := min(size, pieceBytes)
		if _, err := w.Write(filler[:n]); err != nil {
			return err
		}
		size -= n
	}
	return nil
}
