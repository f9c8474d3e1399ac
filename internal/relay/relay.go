// Package relay forwards a stream of server-sent events from an engine to a
// caller.
//
// Each event is checked before any of its bytes are forwarded: it must carry
// the dispatch id. The stream is complete only when the engine sent its
// terminal event; an engine that closes the connection earlier has truncated
// the answer, and the caller must see an error instead of a normal end.
// Events that have already arrived are written together and flushed before
// the next read that can block, so no event waits for a later one, and a burst
// costs one system call.
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

// deadlineSteps is how many times within a timeout its deadline is moved; the
// timeout may be short by one step.
const deadlineSteps = 10

// maxEventBytes bounds one event, and with it the buffer of a stream.
const maxEventBytes = 64 << 10

var (
	// ErrTruncated means that the stream ended without its terminal event.
	ErrTruncated = errors.New("stream ended without its terminal event")
	// ErrMismatch means that an event belongs to another request.
	ErrMismatch = errors.New("event carries another request id")
	// ErrGap means that an event number is above the one that was due.
	ErrGap = errors.New("stream skips an event")
	// ErrStalled means that the engine sent nothing for the stall timeout.
	ErrStalled = errors.New("engine sent no event within the stall timeout")
	// ErrCaller means that the caller did not take the answer.
	ErrCaller = errors.New("caller does not read the answer")
)

// Stream is one answer on its way to a caller. It may be continued on a new
// connection to the engine, after the last event that was forwarded.
type Stream struct {
	// ID must occur in each event.
	ID string
	// Stall is the longest time without an event, after the first event.
	Stall time.Duration
	// FirstStall is the longest time until the first event.
	FirstStall time.Duration
	// WriteTimeout is the longest time a write to the caller may take.
	WriteTimeout time.Duration
	// OnFirst runs when the first event has been forwarded.
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
	pending    bool
	writeErr   error
	timer      *time.Timer
	timerSet   time.Time
	// deadlineSet is when the write deadline was last set.
	deadlineSet time.Time
}

// NewStream returns a stream that writes to w.
func NewStream(w http.ResponseWriter, id string) *Stream {
	return &Stream{ID: id, w: w, rc: http.NewResponseController(w)}
}

// ResumeStream returns a stream that continues after the numbered event last.
func ResumeStream(w http.ResponseWriter, id string, last uint64) *Stream {
	s := NewStream(w, id)
	s.nextNumber = last + 1
	return s
}

// Forward copies events from body until the terminal event. Cancel is called
// with ErrStalled when the engine stalls and must make reads of body fail.
func (s *Stream) Forward(ctx context.Context, body io.Reader, cancel context.CancelCauseFunc) error {
	s.timer = time.AfterFunc(s.firstStall(), func() { cancel(ErrStalled) })
	defer s.timer.Stop()
	source := &flushingReader{stream: s, body: body}
	for ev, err := range sse.Read(source, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return s.readError(ctx, err)
		}
		forward, err := s.check(&ev)
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

func (s *Stream) firstStall() time.Duration {
	if s.Events > 0 || s.FirstStall == 0 {
		return s.Stall
	}
	return s.FirstStall
}

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

// check returns false for an event that was forwarded before, as happens when
// an engine sends an event twice or resumes too early.
func (s *Stream) check(ev *sse.Event) (forward bool, err error) {
	if ev.Data == Done {
		return true, nil
	}
	if !strings.Contains(ev.Data, s.ID) {
		return false, ErrMismatch
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

func (s *Stream) write(ev *sse.Event) error {
	m := &sse.Message{}
	if ev.LastEventID != "" && ev.Data != Done {
		m.ID = sse.ID(ev.LastEventID)
	}
	if ev.Type != "" {
		m.Type = sse.Type(ev.Type)
	}
	m.AppendData(ev.Data)
	if !s.pending {
		s.extendWriteDeadline()
	}
	if _, err := m.WriteTo(s.w); err != nil {
		s.writeErr = errors.Wrap(err, ErrCaller)
		return s.writeErr
	}
	s.pending = true
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

// extendWriteDeadline sets the deadline anew when a tenth of the timeout has
// passed, because each setting costs about as much as the check of an event.
func (s *Stream) extendWriteDeadline() {
	now := time.Now()
	if now.Sub(s.deadlineSet) < s.WriteTimeout/deadlineSteps {
		return
	}
	s.deadlineSet = now
	_ = s.rc.SetWriteDeadline(now.Add(s.WriteTimeout))
}

func (s *Stream) flush() error {
	if !s.pending {
		return nil
	}
	s.pending = false
	if err := s.rc.Flush(); err != nil {
		s.writeErr = errors.Wrap(err, ErrCaller)
		return s.writeErr
	}
	return nil
}

// Fail ends the stream with an error event that carries document.
func (s *Stream) Fail(document []byte) {
	_ = s.rc.SetWriteDeadline(time.Now().Add(s.WriteTimeout))
	m := &sse.Message{Type: sse.Type("error")}
	m.AppendData(string(bytes.TrimSpace(document)))
	_, _ = m.WriteTo(s.w)
	_ = s.rc.Flush()
}

// extendStall restarts the stall timer, at most once in a tenth of the timeout.
func (s *Stream) extendStall() {
	now := time.Now()
	if now.Sub(s.timerSet) < s.Stall/deadlineSteps {
		return
	}
	s.timerSet = now
	s.timer.Reset(s.Stall)
}

// flushingReader flushes what was written before each read that can block.
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
		r.stream.extendStall()
	}
	return n, err
}
