package peerconn

import (
	"encoding/binary"
	"io"
	"net"

	"github.com/juju/errors"
)

// minFramedVersion is the lowest protocol version with frames. From it on, the bytes
// that a peer passes on from a backend server travel in frames: their number in
// frameHeaderBytes, big endian, and the bytes. An empty frame states that the backend
// server has ended its connection in an orderly way. The stream of the call can't state
// this: it ends in the same way when the peer ends, loses its session or gives up, when
// the backend server resets its connection, and when it is closed on this side.
const minFramedVersion = 4

// frameHeaderBytes is the size of the header of a frame.
const frameHeaderBytes = 2

// ErrBroken is the error of reading from a connection through a peer that has ended
// without the orderly end of the backend server. The response may be truncated.
var ErrBroken = errors.New("the connection through a peer broke")

// frameWriter writes frames.
type frameWriter struct {
	w io.Writer
	// frame is the buffer of a frame.
	frame []byte
}

// Write writes data, which must not be empty, as one frame.
func (f *frameWriter) Write(data []byte) (int, error) {
	f.frame = append(binary.BigEndian.AppendUint16(f.frame[:0], uint16(len(data))), data...)
	n, err := f.w.Write(f.frame)
	return max(0, n-frameHeaderBytes), errors.Trace(err)
}

// end writes the frame that states the orderly end.
func (f *frameWriter) end() error {
	_, err := f.w.Write(make([]byte, frameHeaderBytes))
	return errors.Trace(err)
}

// framedConn is a connection through a peer that sends frames. Read returns io.EOF only
// after the orderly end of the backend server, and ErrBroken at any other end.
type framedConn struct {
	net.Conn
	// left is the number of bytes of the current frame that were not read yet.
	left int
	// isEnded is set after the orderly end.
	isEnded bool
}

// Read reads the content of frames.
func (c *framedConn) Read(buf []byte) (int, error) {
	if c.left == 0 && !c.isEnded {
		if err := c.readHeader(); err != nil {
			return 0, err
		}
	}
	if c.isEnded {
		return 0, io.EOF
	}
	n, err := c.Conn.Read(buf[:min(len(buf), c.left)])
	c.left -= n
	return n, brokenAtEOF(err)
}

// readHeader reads the header of the next frame.
func (c *framedConn) readHeader() error {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(c.Conn, header[:]); err != nil {
		return brokenAtEOF(err)
	}
	c.left = int(binary.BigEndian.Uint16(header[:]))
	c.isEnded = c.left == 0
	return nil
}

// unframedConn is a connection through a peer of an earlier build, which doesn't tell how
// the connection to the backend server has ended. Read returns ErrBroken at any end, so
// that a response with a length or chunks can be read, and one that ends with its
// connection counts as broken.
type unframedConn struct{ net.Conn }

// Read reads bytes.
func (c unframedConn) Read(buf []byte) (int, error) {
	n, err := c.Conn.Read(buf)
	return n, brokenAtEOF(err)
}

// brokenAtEOF returns ErrBroken in place of the end of a stream, and err otherwise.
func brokenAtEOF(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		broken.Inc()
		return ErrBroken
	}
	return err
}
