package membudget

import (
	"fmt"
	"io"

	"github.com/juju/errors"
)

// firstStepBytes is the size of the first buffer for a body of unknown length. Most
// bodies fit in it.
const firstStepBytes = 4 << 10

// TooLargeError states that a body is larger than Limit bytes.
type TooLargeError struct{ Limit int64 }

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("body is larger than %d bytes", e.Limit)
}

// Read reads a body of at most limit bytes and adds its size to r before the memory is
// allocated. Length is the announced length in bytes, or negative if it is unknown; the
// buffer then grows step by step, each time to twice its size.
//
// The error is a *TooLargeError for a body over the limit, which for an announced length
// is found before any of it is read, a *FullError for one that does not fit the budget,
// and otherwise that of the reader, which is io.ErrUnexpectedEOF for a body that is
// shorter than announced. With a *FullError, Read returns the part that was read before.
func Read(r *Reservation, body io.Reader, length, limit int64) ([]byte, error) {
	if length > limit {
		return nil, errors.Trace(&TooLargeError{Limit: limit})
	}
	if length < 0 {
		return readUnknown(r, body, limit)
	}
	if err := r.Grow(length); err != nil {
		return nil, errors.Trace(err)
	}
	buf := make([]byte, length)
	n, err := io.ReadFull(body, buf)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, errors.Annotatef(err, "body broke off after %d of %d bytes", n, length)
	}
	return buf, nil
}

// readUnknown reads a body of unknown length.
func readUnknown(r *Reservation, body io.Reader, limit int64) ([]byte, error) {
	var buf []byte
	for {
		if len(buf) == cap(buf) {
			if int64(len(buf)) == limit {
				return buf, readEnd(body, limit)
			}
			larger := min(max(2*int64(cap(buf)), firstStepBytes), limit)
			if err := r.Grow(larger - int64(cap(buf))); err != nil {
				return buf, errors.Trace(err)
			}
			buf = append(make([]byte, 0, larger), buf...)
		}
		n, err := body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if err == io.EOF {
			return buf, nil
		}
		if err != nil {
			return nil, errors.Annotatef(err, "body broke off after %d bytes", len(buf))
		}
	}
}

// readEnd returns an error unless body has ended.
func readEnd(body io.Reader, limit int64) error {
	var next [1]byte
	n, err := io.ReadFull(body, next[:])
	switch {
	case n > 0:
		return errors.Trace(&TooLargeError{Limit: limit})
	case err == io.EOF:
		return nil
	}
	return errors.Annotatef(err, "body broke off after %d bytes", limit)
}
