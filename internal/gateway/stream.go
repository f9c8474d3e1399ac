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
	// backend server is left, so that another one still has time. Where the limit
	// would come later, waiting is better: the work there is nearly done, and a
	// second run would only add load.
	patienceShare = 0.75
	// maxEventBytes bounds one event.
	maxEventBytes = 1 << 20
)

var (
	firstEventSeconds = metrics.GetOrCreateHistogram(`bilberry_gateway_first_event_seconds`)
	resumed           = metrics.GetOrCreateCounter(`bilberry_gateway_streams_resumed_total`)
)

// aliveWithin is how recent another sign of life of a backend server must be for
// a silent stream of it to be waited for.
const aliveWithin = time.Second

// watch cancels an attempt without progress, unless waiting on is better.
type watch struct {
	timer  *time.Timer
	cancel func()
	hit    atomic.Bool
}

// newWatch cancels after limit; 0 means not before the first reset. Wait returns
// how much longer to wait, or 0 to cancel now.
func newWatch(cancel func(), limit time.Duration, wait func() time.Duration) *watch {
	w := &watch{cancel: cancel}
	if limit <= 0 {
		limit = time.Hour
	}
	w.timer = time.AfterFunc(limit, func() {
		if more := wait(); more > 0 {
			w.timer.Reset(more)
			return
		}
		w.fire()
	})
	return w
}

// fire cancels the attempt now.
func (w *watch) fire() {
	w.hit.Store(true)
	w.cancel()
}

func (w *watch) stop() { w.timer.Stop() }

func (w *watch) reset(limit time.Duration) { w.timer.Reset(limit) }

func (w *watch) fired() bool { return w.hit.Load() }

// waitOn is asked when a stream has been silent for long. Cutting it helps the
// caller only if another backend server may go on, and if the silent one is not
// merely slow.
func (a *attempt) waitOn() time.Duration {
	now := bootclock.Now()
	switch {
	case !a.mayMove(now):
		return time.Hour
	case now-a.g.health.lastSign(a.pick.job.backend) < aliveWithin:
		return aliveWithin / 2
	}
	return 0
}

// mayMove reports whether another backend server may go on with the request.
func (a *attempt) mayMove(now time.Duration) bool {
	return a.g.repeatable(a.r, a.r.attempts+1, true) && a.g.budget.has(a.r.service.Name, a.g.members.count(), now)
}

// firstEventLimit is how long the first event is waited for; 0 means until the
// connection breaks or the deadline passes.
func (a *attempt) firstEventLimit() time.Duration {
	if !a.r.route.Idempotent() || a.pick.predictedMs <= 0 {
		return 0
	}
	limit := time.Duration(firstEventFactor*a.pick.predictedMs*float64(time.Millisecond)) + firstEventSlack
	if limit > a.patience() {
		return 0
	}
	return limit
}

// pauseLimit is how long the next event is waited for.
func (a *attempt) pauseLimit() time.Duration { return a.patience() }

// patience is the time after which another backend server is tried.
func (a *attempt) patience() time.Duration {
	return time.Duration(a.r.abandonMs() * patienceShare * float64(time.Millisecond))
}

// relay passes a stream on, whole events only. Nothing is sent before the first
// event, so that until then another backend server can still answer.
func (a *attempt) relay(answer *exchange.Answer, silence *watch) verdict {
	events := newEventReader(answer.Body)
	seen := 0
	var last time.Duration
	for {
		event, err := events.next()
		if err != nil {
			return a.streamEnd(answer, err, seen, silence)
		}
		if a.r.route.Idempotent() {
			silence.reset(a.pauseLimit())
		}
		now := bootclock.Now()
		a.g.health.sign(a.pick.job.backend, now)
		a.g.heard(a.pick.backend.FailureDomain)
		if seen++; seen == 1 {
			a.firstEvent(now)
		} else {
			a.pauseMs = max(a.pauseMs, ms(now-last))
		}
		last = now
		if id, ok := eventID(event); ok {
			a.r.caller.LastEvent = id
		}
		if err := a.forward(answer, event); err != nil {
			a.err = err
			return callerGone
		}
	}
}

func (a *attempt) firstEvent(now time.Duration) {
	a.g.book.writing(a.pick.job, a.pick.helperJobs, now)
	seenMs := ms(now - a.pick.job.sent)
	a.firstMs = seenMs
	a.writing.Store(true)
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
	a.r.lastEventAt = bootclock.Now()
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
		a.noteSilence(now)
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
