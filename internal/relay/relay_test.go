package relay

import (
	"context"
	"fmt"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/juju/errors"
)

const testID = "req-1"

// brokenReader returns err after its data, like a connection that breaks.
type brokenReader struct {
	io.Reader
	err error
}

func (r *brokenReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if err == io.EOF && r.err != nil {
		return n, r.err
	}
	return n, err
}

// expand turns lines such as "0 a" into events that carry the request id.
func expand(input string) string {
	var b strings.Builder
	for line := range strings.SplitSeq(strings.TrimSpace(input), "\n") {
		number, text, _ := strings.Cut(line, " ")
		switch number {
		case "done":
			b.WriteString("data: [DONE]\n\n")
		case "partial":
			fmt.Fprintf(&b, "id: %s\ndata: {\"id\":\"%s\"", text, testID)
		case "stranger":
			fmt.Fprintf(&b, "data: {\"id\":\"req-2\",\"text\":%q}\n\n", text)
		case "-":
			fmt.Fprintf(&b, "data: {\"id\":%q,\"text\":%q}\n\n", testID, text)
		default:
			fmt.Fprintf(&b, "id: %s\ndata: {\"id\":%q,\"text\":%q}\n\n", number, testID, text)
		}
	}
	return b.String()
}

// Guards against responses that are truncated, belong to another request, or have
// repeated or reordered events, and that reach the caller as complete responses.
func TestForward(t *testing.T) {
	datadriven.RunTest(t, "testdata/forward", func(t *testing.T, d *datadriven.TestData) string {
		w := httptest.NewRecorder()
		s := NewStream(w, testID)
		s.StallTimeout, s.WriteTimeout = time.Minute, time.Minute
		var out strings.Builder
		for part := range strings.SplitSeq(d.Input, "resume\n") {
			body := &brokenReader{Reader: strings.NewReader(expand(part))}
			if d.HasArg("break") {
				body.err = io.ErrUnexpectedEOF
			}
			ctx, cancel := context.WithCancelCause(context.Background())
			err := s.Forward(ctx, body, cancel)
			cancel(nil)
			fmt.Fprintf(&out, "error: %v\n", errors.Cause(err))
		}
		out.WriteString(strings.ReplaceAll(strings.TrimSpace(w.Body.String()), "\n\n", "\n"))
		out.WriteString("\n")
		return out.String()
	})
}

// Guards against a caller that waits forever for an engine that has stopped sending.
func TestForwardStalls(t *testing.T) {
	ctx, cancel := context.WithCancelCause(context.Background())
	r, w := io.Pipe()
	context.AfterFunc(ctx, func() { _ = w.CloseWithError(context.Cause(ctx)) })
	go func() { _, _ = io.WriteString(w, expand("0 a")) }()
	s := NewStream(httptest.NewRecorder(), testID)
	s.StallTimeout, s.WriteTimeout = 20*time.Millisecond, time.Minute
	if err := s.Forward(ctx, r, cancel); errors.Cause(err) != ErrStalled {
		t.Fatalf("got %v, want %v", err, ErrStalled)
	}
	if s.Events != 1 {
		t.Fatalf("forwarded %d events, want 1", s.Events)
	}
}

// flushCounter records how many bytes have been flushed.
type flushCounter struct {
	*httptest.ResponseRecorder
	flushed int
}

func (f *flushCounter) Flush() { f.flushed = f.Body.Len() }

// Guards against an event that waits for a later one before it is flushed.
func TestForwardFlushesBeforeBlocking(t *testing.T) {
	w := &flushCounter{ResponseRecorder: httptest.NewRecorder()}
	s := NewStream(w, testID)
	s.StallTimeout, s.WriteTimeout = time.Minute, time.Minute
	parts := []string{expand("0 a"), expand("1 b\n2 c"), expand("done")}
	read := func(p []byte) (int, error) {
		if w.flushed != w.Body.Len() {
			t.Errorf("a read could block while %d bytes were not flushed", w.Body.Len()-w.flushed)
		}
		if len(parts) == 0 {
			return 0, io.EOF
		}
		n := copy(p, parts[0])
		parts = parts[1:]
		return n, nil
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	if err := s.Forward(ctx, readerFunc(read), cancel); err != nil {
		t.Fatal(err)
	}
}

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }
