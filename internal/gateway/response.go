package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"bilberryhub/internal/bootclock"
	"bilberryhub/internal/exchange"
	"bilberryhub/internal/membudget"
)

// maxResponseBytes limits a response that is not a stream.
const maxResponseBytes = 32 << 20

// bufferedResponse is a complete response. One that reports a failure is sent to
// the caller if no later attempt succeeds.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
	held   *membudget.Reservation
}

// release returns what is held for the response.
func (b *bufferedResponse) release() {
	if b != nil {
		b.held.Release()
	}
}

// handleResponse reads a response that is not a stream, and forwards it unless its
// status is 500 or above.
func (a *attempt) handleResponse(response *exchange.Response, stall *watchdog) attemptResult {
	held, err := a.g.held.Reserve(a.r.holder(), 0)
	if err != nil {
		return a.handleNotHeld(response, nil, nil, stall, err)
	}
	defer func() {
		if a.buffered == nil {
			held.Release()
		}
	}()
	a.succession.hasBegun.Store(true)
	body, err := a.readResponse(held, response)
	if a.isSuperseded() {
		return superseded
	}
	if isOverBudget(err) {
		return a.handleNotHeld(response, body, held, stall, err)
	}
	now := bootclock.Now()
	err = a.checkEnd(response, err, now)
	if err != nil {
		a.err = err
		if a.isQuarantined.Load() {
			return mayHaveRun
		}
		if a.r.http.Context().Err() != nil || (a.isOver(now) && !stall.fired()) {
			return callerGone
		}
		a.handleBroken()
		return mayHaveRun
	}
	a.g.suspects.recordServed(a.r, now)
	buffered := &bufferedResponse{status: response.Status, header: response.Header, body: body, held: held}
	if response.Status >= http.StatusInternalServerError {
		a.g.health.record(a.pick.job.backend, outcomeFailed, now)
		a.buffered, a.err = buffered, errors.Errorf("%s answered with status %d", a.pick.backend.ID, response.Status)
		return respondedWithFailure
	}
	a.g.health.record(a.pick.job.backend, outcomeServed, now)
	if !a.beginSending() {
		a.err = errSuperseded
		return superseded
	}
	defer a.endSending()
	if err := a.g.forwardResponse(a.r, buffered); err != nil {
		a.err = err
		return callerGone
	}
	return served
}

// errAnotherAnswer is returned if the caller has a part of another response already.
var errAnotherAnswer = errors.New("the answer has begun with another one")

// forwardResponse sends a response of a backend server to the caller, unchanged.
func (g *Gateway) forwardResponse(r *request, buffered *bufferedResponse) error {
	if r.status != 0 {
		return errAnotherAnswer
	}
	g.writeHead(r, buffered.status, buffered.header, int64(len(buffered.body)))
	writer := &deadlineWriter{w: r.w, until: func() time.Time { return time.Now().Add(forwardStepTime) }}
	_, err := writer.Write(buffered.body)
	return errors.Trace(err)
}

// writeHead sends the head of a response of a backend server that isn't a stream. A negative
// length of the body is unknown.
func (g *Gateway) writeHead(r *request, status int, header http.Header, length int64) {
	h := r.w.Header()
	for name, values := range g.dialect.ResponseHeader(header) {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		// Keeps net/http from detecting a content type.
		h["Content-Type"] = nil
	}
	h.Del("Content-Length")
	if length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	r.status, r.outcome = status, "passed on"
	r.w.WriteHeader(status)
}
