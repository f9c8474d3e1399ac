package membudget

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/juju/errors"
)

// TestRead guards against a body that is taken as whole although it is not, against
// confusing the reasons of a refusal, and against memory that is not reserved.
func TestRead(t *testing.T) {
	const limit = 100 * kib
	broken := errors.New("connection reset")
	for _, c := range []struct {
		name     string
		sent     int
		end      error
		length   int64
		capacity int64
		want     string
	}{
		{"empty", 0, io.EOF, 0, mib, "whole"},
		{"announced", 50 * kib, io.EOF, 50 * kib, mib, "whole"},
		{"announced at the limit", limit, io.EOF, limit, mib, "whole"},
		{"announced over the limit", 0, broken, limit + 1, mib, "too large"},
		{"announced, cut", 10, io.EOF, 11, mib, "broken off"},
		{"announced, nothing sent", 0, io.EOF, 11, mib, "broken off"},
		{"announced, reset", 10, broken, 11, mib, "broken off"},
		{"announced, does not fit", 0, broken, 90 * kib, 80 * kib, "full"},
		{"chunked, empty", 0, io.EOF, -1, mib, "whole"},
		{"chunked", 50 * kib, io.EOF, -1, mib, "whole"},
		{"chunked at the limit", limit, io.EOF, -1, mib, "whole"},
		{"chunked over the limit", limit + 1, io.EOF, -1, mib, "too large"},
		{"chunked, cut", 50 * kib, io.ErrUnexpectedEOF, -1, mib, "broken off"},
		{"chunked, cut at the limit", limit, io.ErrUnexpectedEOF, -1, mib, "broken off"},
		{"chunked, does not fit", 90 * kib, io.EOF, -1, 64 * kib, "full"},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := New(c.capacity)
			r, err := b.Reserve("a", 0)
			if err != nil {
				t.Fatal(err)
			}
			sent := bytes.Repeat([]byte("x"), c.sent)
			for _, wrap := range []func(io.Reader) io.Reader{func(r io.Reader) io.Reader { return r }, iotest.HalfReader} {
				body, err := Read(r, wrap(io.MultiReader(bytes.NewReader(sent), iotest.ErrReader(c.end))), c.length, limit)
				if got := kind(err); got != c.want {
					t.Fatalf("%s (%v), want %s", got, err, c.want)
				}
				if err == nil && !bytes.Equal(body, sent) {
					t.Errorf("body of %d bytes, sent were %d", len(body), len(sent))
				}
				if held := b.Held(); held < int64(cap(body)) {
					t.Errorf("%d bytes held for a buffer of %d", held, cap(body))
				}
			}
		})
	}
}

func kind(err error) string {
	var large *TooLargeError
	var full *FullError
	switch {
	case err == nil:
		return "whole"
	case errors.As(err, &large):
		return "too large"
	case errors.As(err, &full):
		return "full"
	}
	return "broken off"
}

// TestReadAnnouncedNotRead guards against reading a body that is refused by its length.
func TestReadAnnouncedNotRead(t *testing.T) {
	r, err := New(mib).Reserve("a", 0)
	if err != nil {
		t.Fatal(err)
	}
	body := strings.NewReader("abc")
	if _, err := Read(r, body, 3, 2); kind(err) != "too large" {
		t.Errorf("%v, want too large", err)
	}
	if body.Len() != 3 {
		t.Errorf("%d bytes were read", 3-body.Len())
	}
}

// Guards against the loss of what was read of a response before the budget was full: it is
// passed on then.
func TestReadReturnsPartBeforeFull(t *testing.T) {
	body := strings.NewReader(strings.Repeat("x", 1<<20))
	r, err := New(256<<10).Reserve("a", 0)
	if err != nil {
		t.Fatal(err)
	}
	part, err := Read(r, body, -1, 1<<20)
	var full *FullError
	if !errors.As(err, &full) || len(part) == 0 || len(part)+body.Len() != 1<<20 {
		t.Fatalf("%d bytes with %v, and %d bytes are left", len(part), err, body.Len())
	}
}
