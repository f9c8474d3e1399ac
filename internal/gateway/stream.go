package gateway

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"

	"bilberryhub/internal/bootclock"
	"bilberryhub/internal/exchange"
)

const (
	// firstEventFactor and firstEventSlack bound the wait for a first event by its
	// prediction, before another backend server is tried.
	firstEventFactor = 2.5
	firstEventSlack  = 900 * time.Millisecond
	// patienceShare is the share of the caller's patience after which a silent
	// backend server is left, so that another one still has time.
	patienceShare = 0.55
	// pauseFactor and pauseFloor bound the pauses within a stream likewise.
	pauseFactor = 4
	pauseFloor  = time.Second
	// maxEventBytes bounds one event.
	maxEventBytes = 1 << 20
)

var (
	firstEventSeconds = metrics.GetOrCreateHistogram(`bilberry_gateway_first_event_seconds`)
	resumed           = metrics.GetOrCreateCounter(`bilberry_gateway_streams_resumed_total`)
)

// watch cancels an attempt without progress.
type watch struct {
	timer *time.Timer
	hit   atomic.Bool
}

// newWatch cancels after limit; 0 means never.
func newWatch(cancel func(), limit time.Duration) *watch {
	w := &watch{}
	if limit > 0 {
		w.timer = time.AfterFunc(limit, func() {
			w.hit.Store(true)
			cancel()
		})
	}
	return w
}

func (w *watch) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}

func (w *watch) reset(limit time.Duration) {
	if w.timer != nil && limit > 0 {
		w.timer.Reset(limit)
	}
}

func (w *watch) fired() bool { return w.hit.Load() }

// firstEventLimit is how long the first event is waited for; 0 means until the
// deadline.
func (a *attempt) firstEventLimit() time.Duration {
	if !a.r.route.Idempotent() || a.pick.predictedMs <= 0 {
		return 0
	}
	predicted := time.Duration(a.pick.predictedMs * float64(time.Millisecond))
	patience := time.Duration(a.r.abandonMs() * patienceShare * float64(time.Millisecond))
	return max(minAttempt, min(time.Duration(firstEventFactor*float64(predicted))+firstEventSlack, patience))
}

// pauseLimit is how long the next event is waited for.
func (a *attempt) pauseLimit() time.Duration {
	patience := time.Duration(a.r.abandonMs() * patienceShare * float64(time.Millisecond))
	pause := time.Duration(pauseFactor * a.r.route.PauseMs * float64(time.Millisecond))
	return min(max(pauseFloor, pause), patience)
}

// relay passes a stream on, whole events only. Nothing is sent before the first
// event, so that until then another backend server can still answer.
func (a *attempt) relay(answer *exchange.Answer, silence *watch) verdict {
	events := newEventReader(answer.Body)
	seen := 0
	for {
		event, err := events.next()
		if err != nil {
			return a.streamEnd(answer, err, seen, silence)
		}
		silence.reset(a.pauseLimit())
		if seen++; seen == 1 {
			a.firstEvent()
		}
		if id, ok := eventID(event); ok {
			a.r.caller.LastEvent = id
		}
		if err := a.forward(answer, event); err != nil {
			a.err = err
			return callerGone
		}
	}
}

func (a *attempt) firstEvent() {
	now := bootclock.Now()
	a.g.book.writing(a.pick.job, a.pick.helperJobs, now)
	seenMs := ms(now - a.pick.job.sent)
	if a.pick.slowness > 0 {
		a.g.health.noteFirstEvent(a.pick.job.backend, a.pick.predictedMs/a.pick.slowness, seenMs, now)
	}
	if a.r.events > 0 {
		resumed.Inc()
		return
	}
	a.r.firstMs = ms(now - a.r.arrived)
	firstEventSeconds.Update(a.r.firstMs / 1000)
}

// forward sends one event to the caller, with the head of the first answer.
func (a *attempt) forward(answer *exchange.Answer, event []byte) error {
	a.begin(answer)
	a.r.events++
	controller := http.NewResponseController(a.r.w)
	_ = controller.SetWriteDeadline(time.Now().Add(a.r.deadline - bootclock.Now() + answerMargin))
	if _, err := a.r.w.Write(event); err != nil {
		return errors.Annotate(err, "write event")
	}
	return errors.Annotate(controller.Flush(), "flush event")
}

// begin sends the head of an answer unless one was sent.
func (a *attempt) begin(answer *exchange.Answer) {
	if a.r.status != 0 {
		return
	}
	h := a.r.w.Header()
	for name, values := range a.g.dialect.AnswerHeader(answer.Header) {
		h[name] = values
	}
	a.r.status, a.r.outcome = answer.Status, "stream"
	a.r.w.WriteHeader(answer.Status)
}

// streamEnd judges the end of a stream.
func (a *attempt) streamEnd(answer *exchange.Answer, err error, seen int, silence *watch) verdict {
	now := bootclock.Now()
	if err == io.EOF && answer.Complete() {
		a.begin(answer)
		a.g.health.note(a.pick.job.backend, outcomeServed, now)
		a.r.outcome = "served"
		return served
	}
	a.err = errors.Annotatef(err, "stream of %s after %d events", a.pick.backend.ID, seen)
	switch {
	case a.r.http.Context().Err() != nil:
		return callerGone
	case silence.fired():
		a.g.health.note(a.pick.job.backend, outcomeUnreachable, now)
		return mayHaveRun
	case a.r.deadline-now <= answerMargin:
		return callerGone
	}
	a.g.health.note(a.pick.job.backend, outcomeFailed, now)
	return mayHaveRun
}

// eventReader splits a stream into events, each with its closing blank line.
type eventReader struct{ r *bufio.Reader }

func newEventReader(r io.Reader) *eventReader { return &eventReader{bufio.NewReaderSize(r, 4<<10)} }

// next returns a whole event. It returns io.EOF at a clean end, and
// io.ErrUnexpectedEOF when the stream ends inside an event.
func (e *eventReader) next() ([]byte, error) {
	var event []byte
	for {
		line, err := e.r.ReadSlice('\n')
		event = append(event, line...)
		switch {
		case err == bufio.ErrBufferFull:
			if len(event) > maxEventBytes {
				return nil, errors.Errorf("event is larger than %d bytes", maxEventBytes)
			}
			continue
		case err == io.EOF && len(event) > 0:
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
		if len(event) > maxEventBytes {
			return nil, errors.Errorf("event is larger than %d bytes", maxEventBytes)
		}
		if len(line) <= 2 && len(bytes.TrimRight(line, "\r\n")) == 0 && len(event) > len(line) &&
			event[len(event)-len(line)-1] == '\n' {
			return event, nil
		}
	}
}

// eventID returns the id of an event.
func eventID(event []byte) (string, bool) {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value)), true
		}
	}
	return "", false
}
