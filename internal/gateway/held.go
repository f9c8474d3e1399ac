package gateway

import (
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"bilberryhub/internal/bootclock"
	"bilberryhub/internal/exchange"
	"bilberryhub/internal/membudget"
	"bilberryhub/internal/observe"
)

const (
	// heldLinesPerSecond limits the log lines about what doesn't fit the memory budget.
	heldLinesPerSecond = 10
	// maxRefusalBytes limits what is read of the body of a refusal by a backend server, which
	// nobody gets. A new connection costs less than reading more.
	maxRefusalBytes = 256 << 10
	// net/http reads up to 256 KiB of the rest of a body whose request is refused, without any
	// limit of time. If the connection can be kept, that is limited to unreadBodyTime. If it ends
	// anyway, it comes after the response and lasts discardTime at most: a connection that is
	// closed with bytes unread is reset, and the caller may lose the response by that.
	unreadBodyTime = 10 * time.Second
	discardTime    = 500 * time.Millisecond
	// forwardStepBytes is the size of the pieces in which a response is written to the caller.
	forwardStepBytes = 64 << 10
	// forwardStepTime limits the time for writing one of them: a caller that reads nothing must
	// not hold memory for ever.
	forwardStepTime = 60 * time.Second
)

// passedOnWhileRead counts responses that were passed on while they were read, because they
// didn't fit the memory budget.
var passedOnWhileRead = metrics.GetOrCreateCounter(`bilberry_gateway_responses_not_held_total`)

// holder returns who the memory for the request is held for: the client account if a key was
// checked, otherwise the remote IP address.
func (r *request) holder() string {
	if r.account != nil {
		return "account " + r.account.Name
	}
	ip, _, err := net.SplitHostPort(r.http.RemoteAddr)
	if err != nil {
		ip = r.http.RemoteAddr
	}
	return "address " + ip
}

// bodyLimit returns the largest size of the body of a request, in bytes.
func (r *request) bodyLimit() int64 {
	if limit := r.version.Manifest.Routing.Limits.MaxBodyBytes; limit > 0 {
		return limit
	}
	return defaultMaxBodyBytes
}

// readBody reads the body of a request, within its size limit, the memory budget and its
// deadline. releaseBody returns what it holds.
func (g *Gateway) readBody(r *request) error {
	limit := r.bodyLimit()
	g.held.SetCapacity(membudget.Capacity(g.settings.HeldMB, g.settings.MemoryMB, limit))
	held, err := g.held.Reserve(r.holder(), 0)
	if err != nil {
		return g.refuseBody(r, err)
	}
	r.bodyHeld = held
	_ = http.NewResponseController(r.w).SetReadDeadline(time.Now().Add(r.deadline - bootclock.Now()))
	if r.body, err = membudget.Read(held, r.http.Body, r.http.ContentLength, limit); err != nil {
		r.body = nil
		r.releaseBody()
		return g.refuseBody(r, err)
	}
	_ = http.NewResponseController(r.w).SetReadDeadline(time.Time{})
	return nil
}

// refuseBody returns the refusal of a request whose body wasn't read to its end because of err.
func (g *Gateway) refuseBody(r *request, err error) error {
	var f *refusal
	var large *membudget.TooLargeError
	switch {
	case errors.As(err, &large):
		f = refuse(http.StatusRequestEntityTooLarge, "the body is larger than %d bytes", large.Limit)
	case isOverBudget(err):
		g.logFull("request refused: its body doesn't fit the memory budget", r, err)
		f = unavailable(g.backoff(r, nil), "the memory for bodies of requests is in use")
	default:
		f = refuse(http.StatusBadRequest, "the body breaks off: %v", err)
	}
	f.leavesBody = true
	return f
}

// releaseBody returns what is held for the body of the request.
func (r *request) releaseBody() {
	if r.bodyHeld != nil {
		r.bodyHeld.Release()
	}
}

// limitUnreadBody limits the time for the rest of a body whose request is refused.
func (r *request) limitUnreadBody(f *refusal) {
	limit := unreadBodyTime
	switch {
	case f.leavesBody:
		limit = discardTime
	case r.http.ContentLength == 0 || r.bodyHeld != nil:
		return
	}
	_ = http.NewResponseController(r.w).SetReadDeadline(time.Now().Add(limit))
}

// isOverBudget reports whether an error is due to the memory budget.
func isOverBudget(err error) bool {
	var full *membudget.FullError
	return errors.As(err, &full)
}

// logFull logs what didn't fit the memory budget.
func (g *Gateway) logFull(message string, r *request, err error) {
	if omitted, ok := g.heldLines.Allow(bootclock.Now()); ok {
		g.log.Warn(message, zap.String("request_id", r.caller.ID), observe.Error(err), omitted)
	}
}

// readResponse reads the body of a response. With an error for which isOverBudget holds, it returns
// the part that was read before.
func (a *attempt) readResponse(held *membudget.Reservation, response *exchange.Response) ([]byte, error) {
	length := response.Length()
	if a.r.http.Method == http.MethodHead {
		length = 0
	}
	body, err := membudget.Read(held, response.Body, length, maxResponseBytes)
	if err != nil || response.Complete() {
		return body, errors.Annotatef(err, "response of %s", a.pick.backend.ID)
	}
	// The end of the body, which Read doesn't reach if it is as long as stated.
	if n, err := response.Body.Read(make([]byte, 1)); n > 0 {
		return nil, errors.Errorf("the response of %s is longer than stated", a.pick.backend.ID)
	} else if !response.Complete() {
		return nil, errors.Annotatef(err, "end of the response of %s", a.pick.backend.ID)
	}
	return body, nil
}

// handleNotHeld handles a response that doesn't fit the memory budget, of which only part was
// read, for which held is reserved. The request has run, so that it can't be refused. A response
// that reports a failure is discarded if another backend server may serve the request.
func (a *attempt) handleNotHeld(response *exchange.Response, part []byte, held *membudget.Reservation, stall *watchdog, err error) attemptResult {
	passedOnWhileRead.Inc()
	a.g.logFull("response isn't held: it doesn't fit the memory budget", a.r, err)
	if response.Status >= http.StatusInternalServerError {
		a.g.health.record(a.pick.job.backend, outcomeFailed, bootclock.Now())
		if a.mayRetry(bootclock.Now()) {
			a.err = errors.Errorf("%s answered with status %d", a.pick.backend.ID, response.Status)
			return mayHaveRun
		}
	}
	return a.passOn(response, part, held, stall)
}

// passOn sends a response to the caller while it is read, after the part that was read. It
// breaks off if the response does, so that it never looks complete then. What is held for the
// part is released once it was sent: the response may last until the deadline.
func (a *attempt) passOn(response *exchange.Response, part []byte, held *membudget.Reservation, stall *watchdog) attemptResult {
	a.isPassedOn.Store(true)
	stall.stop()
	if !a.beginSending() {
		a.err = errSuperseded
		return superseded
	}
	defer a.endSending()
	if a.r.status != 0 {
		a.err = errAnotherAnswer
		return callerGone
	}
	a.g.writeHead(a.r, response.Status, response.Header, response.Length())
	writer := &deadlineWriter{w: a.r.w, until: func() time.Time {
		return time.Now().Add(a.r.deadline - bootclock.Now() + responseMargin)
	}}
	if _, a.err = writer.Write(part); a.err != nil {
		return callerGone
	}
	held.Release()
	buf := make([]byte, forwardStepBytes)
	for {
		n, err := response.Body.Read(buf)
		if _, a.err = writer.Write(buf[:n]); a.err != nil {
			return callerGone
		}
		if err != nil {
			return a.endPassOn(response, err)
		}
	}
}

// endPassOn returns the result of a response that was passed on while it was read.
func (a *attempt) endPassOn(response *exchange.Response, err error) attemptResult {
	now := bootclock.Now()
	if a.err = a.checkEnd(response, err, now); a.err != nil {
		if !a.isOver(now) {
			a.handleBroken()
		}
		return callerGone
	}
	a.g.suspects.recordServed(a.r, now)
	if response.Status < http.StatusInternalServerError {
		a.g.health.record(a.pick.job.backend, outcomeServed, now)
	}
	return served
}

// deadlineWriter writes a response in pieces, each of which must be written by a time that is
// asked for before.
type deadlineWriter struct {
	w     http.ResponseWriter
	until func() time.Time
}

// Write writes data. It implements io.Writer.
func (w *deadlineWriter) Write(data []byte) (int, error) {
	written := 0
	for len(data) > 0 {
		_ = http.NewResponseController(w.w).SetWriteDeadline(w.until())
		n, err := w.w.Write(data[:min(len(data), forwardStepBytes)])
		written, data = written+n, data[n:]
		if err != nil {
			return written, errors.Annotate(err, "write answer")
		}
	}
	return written, nil
}
