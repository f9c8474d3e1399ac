package gateway

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"

	"bilberryhub/internal/bootclock"
	"bilberryhub/internal/exchange"
	"bilberryhub/internal/fleet"
	"bilberryhub/internal/membudget"
)

const (
	// firstEventFactor and firstEventSlack limit the wait for a first event,
	// relative to its prediction, before another backend server is tried.
	firstEventFactor = 2.5
	firstEventSlack  = 900 * time.Millisecond
	// firstEventObjectiveShare is the share of the objective for which a first event is
	// waited for at least. Parts of prompts that arrive later are prefilled first, so
	// that a long prompt may take several times the predicted time in a burst of them.
	firstEventObjectiveShare = 0.75
	// failoverShare is the share of the caller's waiting time after which another
	// backend server is tried for a silent one, so that it still has time. If the
	// limit for the first event is later than that, waiting is better: the work there
	// is nearly done, and a second run would only add load.
	failoverShare = 0.75
	// maxEventBytes limits one event.
	maxEventBytes = 1 << 20
)

var (
	firstEventSeconds = metrics.GetOrCreateHistogram(`bilberry_gateway_first_event_seconds`)
	repeatedEvents    = metrics.GetOrCreateCounter(`bilberry_gateway_events_repeated_total`)
	resumed           = metrics.GetOrCreateCounter(`bilberry_gateway_streams_resumed_total`)
)

// aliveWindow is the time within which a backend server must have sent an event
// of another stream for its silent stream to be waited for.
const aliveWindow = time.Second

// watchdog watches an attempt for progress, and cancels it unless it is better to wait
// longer.
type watchdog struct {
	timer  *time.Timer
	cancel func()
	// running is held while the timer has expired, and guards stopped.
	running sync.Mutex
	stopped bool
	// cause is why the attempt was canceled, nil before.
	cause atomic.Pointer[cancelCause]
}

// cancelCause is why a gateway has given an attempt up.
type cancelCause string

const (
	causeSilence       cancelCause = "silence"
	causeLostPath      cancelCause = "lost path"
	causeFailureDomain cancelCause = "failure domain unreachable"
)

// newWatchdog returns a watchdog that cancels after limit; 0 means not before
// the first reset. wait returns how much longer to wait, or 0 to cancel now.
func newWatchdog(cancel func(), limit time.Duration, wait func() time.Duration) *watchdog {
	w := &watchdog{cancel: cancel}
	if limit <= 0 {
		limit = time.Hour
	}
	// The timer starts only when the field is set, which its function reads.
	w.timer = time.AfterFunc(time.Hour, func() { w.expire(wait) })
	w.timer.Reset(limit)
	return w
}

// expire cancels the attempt, or waits on, unless the watchdog was stopped.
func (w *watchdog) expire(wait func() time.Duration) {
	w.running.Lock()
	defer w.running.Unlock()
	if w.stopped {
		return
	}
	if more := wait(); more > 0 {
		w.timer.Reset(more)
		return
	}
	w.fire(causeSilence)
}

// fire cancels the attempt now.
func (w *watchdog) fire(cause cancelCause) {
	w.cause.CompareAndSwap(nil, &cause)
	w.cancel()
}

// stop stops the watchdog. When it returns, wait doesn't run, and is not called any more: it reads
// what the owner of the attempt changes after its end.
func (w *watchdog) stop() {
	w.timer.Stop()
	w.running.Lock()
	defer w.running.Unlock()
	w.stopped = true
}

func (w *watchdog) reset(limit time.Duration) { w.timer.Reset(limit) }

// fired reports whether the watchdog has canceled the attempt.
func (w *watchdog) fired() bool { return w.cause.Load() != nil }

// extendWait returns how much longer to wait for a stream that has been silent
// for long. Cutting it helps the caller only if another backend server may
// continue it, and if the silent one isn't merely slow.
func (a *attempt) extendWait() time.Duration {
	now := bootclock.Now()
	switch {
	case !a.mayRetry(now):
		return time.Hour
	case !a.canBeContinued(now, a.lastSign()), now-a.g.health.lastReceived(a.pick.job.backend) < aliveWindow:
		return aliveWindow / 2
	}
	return 0
}

// canFailOver reports whether another backend server may continue the request. Other
// goroutines call it too.
func (a *attempt) canFailOver(now time.Duration) bool {
	return a.mayRetry(now) && a.canBeContinued(now, 0)
}

// mayRetry reports whether the request may be sent to another backend server.
func (a *attempt) mayRetry(now time.Duration) bool {
	return !a.isPassedOn.Load() && a.g.canRetry(a.r, a.number+1+int(a.succession.attempts.Load()), true) && a.g.budget.allows(a.r.service.Name, a.g.members.count(), now)
}

// lastSign returns when something was last received, or when the request was sent.
func (a *attempt) lastSign() time.Duration {
	return max(a.pick.job.sent, time.Duration(a.receivedAt.Load()))
}

// canBeContinued reports whether another backend server may serve the request, or continue the
// response if that has begun. heardSince is as in hasAlternative.
func (a *attempt) canBeContinued(now, heardSince time.Duration) bool {
	return !a.isContinuation && !a.firstEventSeen.Load() || a.hasAlternative(now, heardSince)
}

// hasAlternative reports whether a backend server that wasn't tried is in service and has given
// a sign of life after heardSince: if all of them are silent for a while, the one that the
// attempt waits for may be the first to go on.
func (a *attempt) hasAlternative(now, heardSince time.Duration) bool {
	servers, _ := a.g.members.backends()
	v := a.g.sync.Current()
	return slices.ContainsFunc(servers, func(b *fleet.BackendServer) bool {
		if b.Service != a.r.service.Name || !b.Usable() || b.ID == a.pick.backend.ID || slices.Contains(a.triedBefore, b.ID) {
			return false
		}
		if out, _ := v.Excluded(b.FailureDomain, b.ID); out {
			return false
		}
		if max(b.SeenAt, a.g.health.lastReceived(b.Key())) < heardSince {
			return false
		}
		return a.g.noticeError(b.Key()) == nil && !a.g.health.condition(b, b.Key(), now, time.Hour).dead
	})
}

// firstEventLimit returns how long to wait for the first event; 0 means until
// the connection breaks or the deadline passes.
func (a *attempt) firstEventLimit() time.Duration {
	if !a.r.route.Idempotent() || a.pick.predictedMs <= 0 {
		return 0
	}
	limit := time.Duration(firstEventFactor*a.pick.predictedMs*float64(time.Millisecond)) + firstEventSlack
	limit = max(limit, time.Duration(firstEventObjectiveShare*a.r.route.ObjectiveMs*float64(time.Millisecond)))
	if limit > a.failoverTimeout() {
		return 0
	}
	return limit
}

// pauseLimit returns how long to wait for the next event.
func (a *attempt) pauseLimit() time.Duration { return a.failoverTimeout() }

// failoverTimeout returns the time after which another backend server is tried.
func (a *attempt) failoverTimeout() time.Duration {
	return time.Duration(a.r.abandonMs() * failoverShare * float64(time.Millisecond))
}

// relayStream forwards a stream to the caller, complete events only. Nothing is
// sent before the first event, so that until then another backend server can
// still respond.
func (a *attempt) relayStream(response *exchange.Response, stall *watchdog) attemptResult {
	events := newEventReader(response.Body)
	events.reserve = func() (*membudget.Reservation, error) { return a.g.held.Reserve(a.r.holder(), 0) }
	defer events.release()
	seen := 0
	var last time.Duration
	for {
		event, err := events.next()
		if err != nil {
			return a.handleStreamEnd(response, err, seen, stall)
		}
		if a.r.route.Idempotent() {
			stall.reset(a.pauseLimit())
		}
		now := bootclock.Now()
		a.g.health.recordReceived(a.pick.job.backend, now)
		a.recordReceived(now)
		a.g.recordContact(a.pick.backend.FailureDomain)
		id, hasID := eventID(event)
		if hasID && a.r.route.Idempotent() && !isHigher(id, a.r.caller.LastEvent) {
			return a.handleRepeated(id)
		}
		if !a.beginSending() {
			a.err = errSuperseded
			return superseded
		}
		if seen++; seen == 1 {
			a.firstEvent(now)
		} else {
			a.pauseMs = max(a.pauseMs, ms(now-last))
		}
		last = now
		if hasID {
			a.r.caller.LastEvent = id
		}
		a.err = a.forwardEvent(response, event)
		a.endSending()
		if a.err != nil {
			return callerGone
		}
	}
}

// isHigher reports whether an event with an id may follow the event with the id last: ids
// increase. Ids that are no numbers tell nothing.
func isHigher(id, last string) bool {
	n, err := strconv.ParseUint(id, 10, 64)
	if err != nil {
		return true
	}
	m, err := strconv.ParseUint(last, 10, 64)
	return err != nil || n > m
}

// handleRepeated ends an attempt whose backend server sends an event that the caller has
// already. It hasn't continued the stream but begun anew: its events are not the rest of those
// that the caller has.
func (a *attempt) handleRepeated(id string) attemptResult {
	repeatedEvents.Inc()
	a.err = errors.Errorf("%s sends event %s, and the caller has event %s", a.pick.backend.ID, id, a.r.caller.LastEvent)
	a.blame(outcomeFailed, bootclock.Now())
	return mayHaveRun
}

// firstEvent records the first event of an attempt, received at now.
func (a *attempt) firstEvent(now time.Duration) {
	a.g.workTable.markDecoding(a.pick.job, a.pick.helperJobs, now)
	seenMs := ms(now - a.pick.job.sent)
	a.firstMs = seenMs
	a.firstEventSeen.Store(true)
	a.succession.hasBegun.Store(true)
	a.g.suspects.recordServed(a.r, now)
	if a.pick.slowness > 0 {
		a.g.health.recordFirstEvent(a.pick.job.backend, a.pick.predictedMs/a.pick.slowness, seenMs, now)
	}
	if a.r.events > 0 {
		resumed.Inc()
		return
	}
	a.r.firstMs = ms(now - a.r.arrived)
	firstEventSeconds.Update(a.r.firstMs / 1000)
}

// forwardEvent sends one event to the caller, preceded by the head of the first
// response.
func (a *attempt) forwardEvent(response *exchange.Response, event []byte) error {
	a.begin(response)
	a.r.events++
	a.r.lastEventAt = bootclock.Now()
	controller := http.NewResponseController(a.r.w)
	_ = controller.SetWriteDeadline(time.Now().Add(a.r.deadline - bootclock.Now() + responseMargin))
	if _, err := a.r.w.Write(event); err != nil {
		return errors.Annotate(err, "write event")
	}
	return errors.Annotate(controller.Flush(), "flush event")
}

// begin sends the head of a response unless one was sent.
func (a *attempt) begin(response *exchange.Response) {
	if a.r.status != 0 {
		return
	}
	h := a.r.w.Header()
	for name, values := range a.g.dialect.ResponseHeader(response.Header) {
		h[name] = values
	}
	a.r.status, a.r.outcome, a.r.contentType = response.Status, "stream", response.Header.Get("Content-Type")
	a.r.w.WriteHeader(response.Status)
}

// handleStreamEnd returns the result of a stream that has ended, and records
// the outcome.
func (a *attempt) handleStreamEnd(response *exchange.Response, err error, seen int, stall *watchdog) attemptResult {
	if isOverBudget(err) {
		a.g.logFull("stream broken off: an event doesn't fit the memory budget", a.r, err)
		a.err = err
		return mayHaveRun
	}
	if a.isSuperseded() {
		a.err = errSuperseded
		return superseded
	}
	now := bootclock.Now()
	if err = a.checkEnd(response, err, now); err == nil {
		if !a.beginSending() {
			a.err = errSuperseded
			return superseded
		}
		defer a.endSending()
		a.begin(response)
		a.g.health.record(a.pick.job.backend, outcomeServed, now)
		a.r.outcome = "served"
		return served
	}
	a.err = errors.Annotatef(err, "stream of %s after %d events", a.pick.backend.ID, seen)
	switch {
	case a.isQuarantined.Load() && seen == 0:
		return mayHaveRun
	case a.r.http.Context().Err() != nil:
		return callerGone
	case stall.fired():
		a.recordSilence(now)
		return mayHaveRun
	case a.isOver(now):
		return callerGone
	case seen == 0:
		a.handleBroken()
		return mayHaveRun
	}
	a.blame(outcomeFailed, now)
	return mayHaveRun
}

// eventReader splits a stream into events, each including its terminating blank
// line. Blank lines and comments before an event belong to it: a backend server that
// sends nothing else now and then makes no progress.
type eventReader struct {
	r *bufio.Reader
	// reserve, if set, returns a new reservation for an event, and held is that for the current
	// event, if it has one.
	reserve func() (*membudget.Reservation, error)
	held    *membudget.Reservation
}

// unreservedEventBytes is the size up to which an event isn't reserved in the memory budget: it
// is small beside what a connection takes.
const unreservedEventBytes = 16 << 10

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, 4<<10)}
}

// release returns what is held for the current event.
func (e *eventReader) release() {
	if e.held != nil {
		e.held.Release()
		e.held = nil
	}
}

// add appends a part to an event, whose buffer grows as far as it was reserved.
func (e *eventReader) add(event, part []byte) ([]byte, error) {
	size := len(event) + len(part)
	if size <= cap(event) || size <= unreservedEventBytes || e.reserve == nil {
		return append(event, part...), nil
	}
	larger := max(size, min(2*size, maxEventBytes))
	before := int64(0)
	if e.held == nil {
		held, err := e.reserve()
		if err != nil {
			return nil, errors.Trace(err)
		}
		e.held = held
	} else {
		before = int64(cap(event))
	}
	if err := e.held.Grow(int64(larger) - before); err != nil {
		return nil, errors.Trace(err)
	}
	return append(append(make([]byte, 0, larger), event...), part...), nil
}

// next returns a complete event, which is held until the next call. It returns io.EOF at a clean
// end, and io.ErrUnexpectedEOF if the stream ends inside an event. What follows the last event
// without being one is returned like an event.
func (e *eventReader) next() ([]byte, error) {
	e.release()
	var event []byte
	hasField, isLineStart := false, true
	for {
		line, err := e.r.ReadSlice('\n')
		var fullErr error
		if event, fullErr = e.add(event, line); fullErr != nil {
			return nil, fullErr
		}
		if isLineStart && len(line) > 0 && !isBlank(line) && line[0] != ':' {
			hasField = true
		}
		switch {
		case err == nil || err == bufio.ErrBufferFull:
			if len(event) > maxEventBytes {
				return nil, errors.Errorf("event is larger than %d bytes", maxEventBytes)
			}
		case err == io.EOF && len(event) > 0 && (hasField || len(line) > 0):
			return nil, io.ErrUnexpectedEOF
		case err == io.EOF && len(event) > 0:
			return event, nil
		default:
			return nil, err
		}
		if hasField && isLineStart && isBlank(line) {
			return event, nil
		}
		isLineStart = err == nil
	}
}

// isBlank reports whether a line is empty apart from its end.
func isBlank(line []byte) bool { return len(line) <= 2 && len(bytes.TrimRight(line, "\r\n")) == 0 }

// eventID returns the id of an event, and whether it has one.
func eventID(event []byte) (string, bool) {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value)), true
		}
	}
	return "", false
}
