// Package relay forwards a stream of server-sent events from an engine to a
// caller.
//
// Each event is validated before any of its bytes are forwarded: it must carry
// the dispatch id. The stream is complete only when the engine has sent its
// terminal event; if the engine closes the connection earlier, the response is
// truncated, and the caller must receive an error instead of a normal end.
// Events that have already arrived are written together and flushed before
// the next read that can block, so no event waits for a later one, and a burst
// costs one system call.
//
// The package does not open connections to engines. After an error its caller
// decides whether to resume the stream.
package relay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/tmaxmax/go-sse"
)

// Done is the data of the terminal event.
const Done = "[DONE]"

// deadlineSteps is how many times within a timeout its deadline is extended at
// most. A timeout may therefore expire early by one such step.
const deadlineSteps = 10

// maxEventBytes bounds the size of one event and thereby the buffer of a stream.
const maxEventBytes = 64 << 10

var (
	// ErrTruncated means that the stream ended without its terminal event.
	ErrTruncated = errors.New("stream ended without its terminal event")
	// ErrRequestMismatch means that an event belongs to another request.
	ErrRequestMismatch = errors.New("event carries another request id")
	// ErrGap means that the number of an event is higher than the expected one.
	ErrGap = errors.New("stream skips an event")
	// ErrStalled means that the engine sent nothing for the stall timeout.
	ErrStalled = errors.New("engine sent no event within the stall timeout")
	// ErrCallerWrite means that a write to the caller failed or timed out.
	ErrCallerWrite = errors.New("caller does not read the answer")
)

// Stream is one response that is being forwarded to a caller. It may be continued
// on a new connection to the engine, after the last event that was forwarded. It
// is not safe for concurrent use.
type Stream struct {
	// ID is the dispatch id, which must occur in the data of each event.
	ID string
	// StallTimeout is the longest time without data from the engine, once the
	// first data has arrived.
	StallTimeout time.Duration
	// FirstStallTimeout is the longest time until the first data; zero means
	// StallTimeout.
	FirstStallTimeout time.Duration
	// WriteTimeout is the longest time that a write to the caller may take.
	WriteTimeout time.Duration
	// OnFirst, if set, is called when the first event has been forwarded.
	OnFirst func()

	// Events is the number of events forwarded.
	Events uint64
	// LastEventID is the id of the last event forwarded, if events have ids.
	LastEventID string

	// nextNumber is the id that the next numbered event must have; engines
	// number from zero.
	nextNumber uint64
	w          http.ResponseWriter
	rc         *http.ResponseController
	// unflushed is set while written events have not been flushed.
	unflushed bool
	// writeErr is the error of the first failed write to the caller.
	writeErr   error
	stallTimer *time.Timer
	// stallTimerSet is when the stall timer was last restarted.
	stallTimerSet time.Time
	// deadlineSet is when the write deadline was last set.
	deadlineSet time.Time
}

// NewStream returns a stream that writes to w. Each event must carry id.
func NewStream(w http.ResponseWriter, id string) *Stream {
	return &Stream{ID: id, w: w, rc: http.NewResponseController(w)}
}

// ResumeStream returns a stream that continues after the event with the number
// last.
func ResumeStream(w http.ResponseWriter, id string, last uint64) *Stream {
	s := NewStream(w, id)
	s.nextNumber = last + 1
	return s
}

// Forward copies events from body to the caller until the terminal event. It calls
// cancel with ErrStalled when the engine stalls; cancel must end ctx and make reads
// of body fail. The cause of the error is one of the sentinel errors of this package,
// the cause of the end of ctx, or an error of reading body or parsing an event.
func (s *Stream) Forward(ctx context.Context, body io.Reader, cancel context.CancelCauseFunc) error {
	s.stallTimer = time.AfterFunc(s.initialStallTimeout(), func() { cancel(ErrStalled) })
	defer s.stallTimer.Stop()
	source := &flushingReader{stream: s, body: body}
	for ev, err := range sse.Read(source, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return s.readError(ctx, err)
		}
		forward, err := s.validate(&ev)
		if err != nil {
			return err
		}
		if !forward {
			continue
		}
		if err := s.write(&ev); err != nil {
			return err
		}
		if ev.Data == Done {
			return s.flush()
		}
	}
	return s.readError(ctx, ErrTruncated)
}

// initialStallTimeout returns the timeout for the first data that Forward reads.
func (s *Stream) initialStallTimeout() time.Duration {
	if s.Events > 0 || s.FirstStallTimeout == 0 {
		return s.StallTimeout
	}
	return s.FirstStallTimeout
}

// readError returns the error of Forward after a read has failed. A failed write
// to the caller and the end of ctx take precedence, because both make reads fail.
func (s *Stream) readError(ctx context.Context, err error) error {
	if s.writeErr != nil {
		return s.writeErr
	}
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	if errors.Is(err, ErrTruncated) || errors.Is(err, io.ErrUnexpectedEOF) {
		return ErrTruncated
	}
	return errors.Annotate(err, "read stream")
}

// validate checks that an event belongs to the request and is the next one. It
// reports whether the event is to be forwarded: not if it was forwarded before,
// because an engine sent it twice or resumed the stream at an earlier event.
func (s *Stream) validate(ev *sse.Event) (forward bool, err error) {
	if ev.Data == Done {
		return true, nil
	}
	if !strings.Contains(ev.Data, s.ID) {
		return false, ErrRequestMismatch
	}
	if ev.LastEventID == "" {
		return true, nil
	}
	n, err := strconv.ParseUint(ev.LastEventID, 10, 64)
	if err != nil {
		return false, errors.Annotatef(err, "event id %q", ev.LastEventID)
	}
	if n > s.nextNumber {
		return false, errors.Annotatef(ErrGap, "event %d instead of %d", n, s.nextNumber)
	}
	if n < s.nextNumber {
		return false, nil
	}
	s.nextNumber++
	return true, nil
}

// write writes one event to the caller. It flushes only the first event of the
// stream.
func (s *Stream) write(ev *sse.Event) error {
	m := &sse.Message{}
	if ev.LastEventID != "" && ev.Data != Done {
		m.ID = sse.ID(ev.LastEventID)
	}
	if ev.Type != "" {
		m.Type = sse.Type(ev.Type)
	}
	m.AppendData(ev.Data)
	if !s.unflushed {
		s.extendWriteDeadline()
	}
	if _, err := m.WriteTo(s.w); err != nil {
		s.writeErr = errors.Wrap(err, ErrCallerWrite)
		return s.writeErr
	}
	s.unflushed = true
	s.Events++
	s.LastEventID = ev.LastEventID
	if s.Events == 1 {
		if err := s.flush(); err != nil {
			return err
		}
		if s.OnFirst != nil {
			s.OnFirst()
		}
	}
	return nil
}

// extendWriteDeadline extends the deadline only after a tenth of the timeout has
// passed, because setting it costs about as much as validating an event.
func (s *Stream) extendWriteDeadline() {
	now := time.Now()
	if now.Sub(s.deadlineSet) < s.WriteTimeout/deadlineSteps {
		return
	}
	s.deadlineSet = now
	_ = s.rc.SetWriteDeadline(now.Add(s.WriteTimeout))
}

// flush flushes the written events to the caller.
func (s *Stream) flush() error {
	if !s.unflushed {
		return nil
	}
	s.unflushed = false
	if err := s.rc.Flush(); err != nil {
		s.writeErr = errors.Wrap(err, ErrCallerWrite)
		return s.writeErr
	}
	return nil
}

// Fail ends the stream with an error event whose data is document. It ignores
// write errors.
func (s *Stream) Fail(document []byte) {
	_ = s.rc.SetWriteDeadline(time.Now().Add(s.WriteTimeout))
	m := &sse.Message{Type: sse.Type("error")}
	m.AppendData(string(bytes.TrimSpace(document)))
	_, _ = m.WriteTo(s.w)
	_ = s.rc.Flush()
}

// restartStallTimer restarts the stall timer, at most once in a tenth of the
// timeout.
func (s *Stream) restartStallTimer() {
	now := time.Now()
	if now.Sub(s.stallTimerSet) < s.StallTimeout/deadlineSteps {
		return
	}
	s.stallTimerSet = now
	s.stallTimer.Reset(s.StallTimeout)
}

// flushingReader reads body and, before each read, flushes the events written so
// far, because the read can block.
type flushingReader struct {
	stream *Stream
	body   io.Reader
}

func (r *flushingReader) Read(p []byte) (int, error) {
	if err := r.stream.flush(); err != nil {
		return 0, err
	}
	n, err := r.body.Read(p)
	if n > 0 {
		r.stream.restartStallTimer()
	}
	return n, err
}
