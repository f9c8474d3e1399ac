package entry

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"bilberryhub/internal/backend"
	"bilberryhub/internal/membudget"
	"bilberryhub/internal/observe"
	"bilberryhub/internal/refusal"
	"bilberryhub/internal/relay"
	"bilberryhub/internal/wirepb"
)

// maxBufferedResponseBytes bounds a response that is checked as a whole before it
// is forwarded.
const maxBufferedResponseBytes = 16 << 20

// unknownLength makes a body be read to its end, which its framing marks, and reserved step
// by step.
const unknownLength = -1

// resumableHeader requests that an engine keep a stream for a while after its
// connection breaks.
const resumableHeader = "X-Resumable"

// lastEventHeader carries the id of the last event that was received.
const lastEventHeader = "Last-Event-ID"

// responseRelay relays the response of a backend server to the caller.
type responseRelay interface {
	relayResponse(ctx context.Context, a *attempt, resp *http.Response) outcome
	// fail terminates a response of which the caller has received a part.
	fail(refErr *refusal.Error, id string)
}

// streamRelay relays server-sent events as they arrive.
type streamRelay struct {
	w      http.ResponseWriter
	stream *relay.Stream
}

// fail sends an error event in place of the terminal event.
func (sr *streamRelay) fail(refErr *refusal.Error, id string) { sr.stream.Fail(refErr.JSON(id)) }

func (sr *streamRelay) relayResponse(ctx context.Context, a *attempt, resp *http.Response) outcome {
	h := sr.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	st := relay.NewStream(sr.w, a.id)
	sr.stream = st
	st.StallTimeout = a.server.settings.stall()
	// Before the first event, the engine may be prefilling; that time is bounded
	// only by the deadline.
	st.FirstStallTimeout = max(a.req.timeLeft(), time.Millisecond)
	st.WriteTimeout = a.server.settings.callerWrite()
	st.OnFirst = func() {
		ttft := time.Since(a.start)
		a.req.releasePrompt()
		metricFirstToken.Update(time.Since(a.req.arrived).Seconds())
		a.res.report(a.member, wirepb.Progress_STEP_FIRST_TOKEN, ttft, 1)
	}
	err := a.forward(ctx, st, resp)
	return a.streamOutcome(ctx, st, err)
}

// forward relays the stream. If the connection breaks, it resumes the stream on a
// new connection to the same engine, if that still keeps it, up to maxResumes times.
func (a *attempt) forward(ctx context.Context, st *relay.Stream, resp *http.Response) error {
	for resumes := 0; ; resumes++ {
		forwardCtx, cancel := context.WithCancelCause(ctx)
		stop := context.AfterFunc(forwardCtx, func() { _ = resp.Body.Close() })
		err := st.Forward(forwardCtx, resp.Body, cancel)
		stop()
		cancel(nil)
		_ = resp.Body.Close()
		if err == nil || ctx.Err() != nil || !isResumable(err) || st.LastEventID == "" || resumes >= maxResumes {
			return err
		}
		next, resumeErr := a.resume(ctx, st)
		if resumeErr != nil {
			a.log.Info("stream not resumed", observe.Error(resumeErr))
			return err
		}
		metricResumes.Inc()
		resp = next
	}
}

// maxResumes is the maximum number of times that one stream is resumed.
const maxResumes = 3

// isResumable reports whether a stream may be resumed after err. It may not if the
// engine sent an event of another request, if a write to the caller failed or if the
// stream stalled.
func isResumable(err error) bool {
	cause := errors.Cause(err)
	return cause != relay.ErrRequestMismatch && cause != relay.ErrCallerWrite && cause != relay.ErrStalled
}

// resume requests the events after the last one received.
func (a *attempt) resume(ctx context.Context, st *relay.Stream) (*http.Response, error) {
	h := http.Header{}
	h.Set(lastEventHeader, st.LastEventID)
	resp, err := a.server.backends.Do(a.withRoute(ctx), &backend.Request{
		Backend: a.member.GetBackend(), Address: a.member.GetAddress(), ID: a.id,
		Method: http.MethodGet, Path: "/v1/streams/" + a.id, Header: h,
	})
	if err != nil {
		return nil, errors.Annotate(err, "resume stream")
	}
	if resp.StatusCode != http.StatusOK || resp.Header.Get(backend.RequestIDHeader) != a.id {
		_ = resp.Body.Close()
		return nil, errors.Errorf("resume stream: status %d", resp.StatusCode)
	}
	return resp, nil
}

// streamOutcome returns the outcome of an attempt whose stream ended with err.
func (a *attempt) streamOutcome(ctx context.Context, st *relay.Stream, err error) outcome {
	out := outcome{responseStarted: st.Events > 0, sent: true, step: wirepb.Progress_STEP_DONE, tokens: st.Events}
	if err == nil {
		return out
	}
	out.excluded = a.member.GetBackend()
	a.log.Info("stream failed", zap.Uint64("events", st.Events), observe.Error(err))
	switch cause := errors.Cause(err); {
	case ctx.Err() != nil:
		out.step, out.err = wirepb.Progress_STEP_CANCELLED, cancelError(ctx, true)
	case cause == relay.ErrRequestMismatch:
		out.step = wirepb.Progress_STEP_CANCELLED
		out.err = refusal.NewUnknown(refusal.AnswerMismatch, "engine sent an event of another request")
	case cause == relay.ErrCallerWrite || cause == relay.ErrStalled:
		out.step, out.err = wirepb.Progress_STEP_CANCELLED, refusal.NewUnknown(refusal.BackendFailed, cause.Error())
	case st.Events > 0:
		out.step, out.err = wirepb.Progress_STEP_BROKEN, refusal.NewUnknown(refusal.AnswerTruncated, err.Error())
	default:
		out.step, out.err = wirepb.Progress_STEP_BROKEN, refusal.NewUnknown(refusal.BackendFailed, err.Error())
	}
	if out.step == wirepb.Progress_STEP_CANCELLED {
		a.cancelStream()
	}
	return out
}

// cancelStream deletes the stream of this attempt at the engine, which otherwise
// keeps broken streams for a while. It is also called if the response belongs to
// another request, because the engine may still run this one. It returns at once and
// ignores errors. For plain services it does nothing.
func (a *attempt) cancelStream() {
	if a.req.model == nil {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), healthCheckTimeout)
		defer cancel()
		resp, err := a.server.backends.Do(a.withRoute(ctx), &backend.Request{
			Backend: a.member.GetBackend(), Address: a.member.GetAddress(), ID: a.id,
			Method: http.MethodDelete, Path: "/v1/streams/" + a.id,
		})
		if err == nil {
			_ = resp.Body.Close()
		}
	}()
}

// bufferedRelay reads and checks the whole response before it forwards it.
type bufferedRelay struct {
	w http.ResponseWriter
	// stored receives the response if it is not nil, for the record of a claim.
	stored *storedResponse
}

// storedResponse is a response in the form in which a claim records it.
type storedResponse struct {
	status      int
	contentType string
	body        []byte
	// isDropped is set if the body is too large to be recorded.
	isDropped bool
}

// fail does nothing, because a buffered response is forwarded as a whole.
func (br *bufferedRelay) fail(*refusal.Error, string) {}

func (br *bufferedRelay) relayResponse(ctx context.Context, a *attempt, resp *http.Response) outcome {
	heldBefore := a.req.held.Size()
	defer a.req.held.ShrinkTo(heldBefore)
	body, err := membudget.Read(a.req.held, resp.Body, unknownLength, maxBufferedResponseBytes)
	var large *membudget.TooLargeError
	out := outcome{sent: true, step: wirepb.Progress_STEP_DONE}
	switch {
	case ctx.Err() != nil:
		out.step, out.err = wirepb.Progress_STEP_CANCELLED, cancelError(ctx, true)
		a.cancelStream()
	case errors.As(err, &large):
		out.step, out.err = wirepb.Progress_STEP_CANCELLED, refusal.NewUnknown(refusal.AnswerTruncated, "answer is larger than 16 MiB")
		a.cancelStream()
	case isOverBudget(err):
		a.server.logOverBudget("response is not held", a.req.id, err)
		if a.req.model == nil {
			return br.passOn(ctx, a, resp, body, heldBefore)
		}
		// The response of an engine is checked as a whole.
		out.step, out.err = wirepb.Progress_STEP_CANCELLED, refusal.NewUnknown(refusal.AnswerTruncated, "no memory for the answer now")
		a.cancelStream()
	case err != nil:
		a.log.Info("response truncated", observe.Error(err))
		out.step, out.excluded = wirepb.Progress_STEP_BROKEN, a.member.GetBackend()
		out.err = refusal.NewUnknown(refusal.BackendFailed, "connection broke before the whole answer had arrived")
	case a.endedEarly(ctx, resp, body):
		a.log.Info("response ended in an orderly way, but is not whole", zap.Int("bytes", len(body)))
		out.step, out.excluded = wirepb.Progress_STEP_BROKEN, a.member.GetBackend()
		out.err = refusal.NewUnknown(refusal.BackendFailed, "backend server ended its answer before the whole of it had arrived")
	case a.req.model != nil && !bytes.Contains(body, []byte(a.id)):
		out.step, out.err = wirepb.Progress_STEP_CANCELLED, refusal.NewUnknown(refusal.AnswerMismatch, "answer belongs to another request")
		a.cancelStream()
	}
	if out.err != nil {
		return out
	}
	if a.req.model != nil {
		a.res.report(a.member, wirepb.Progress_STEP_FIRST_TOKEN, time.Since(a.start), 1)
	}
	if br.stored != nil {
		*br.stored = storedResponse{status: resp.StatusCode, contentType: resp.Header.Get("Content-Type"), body: body}
	}
	copyResponseHeader(br.w.Header(), resp.Header)
	_ = http.NewResponseController(br.w).SetWriteDeadline(time.Now().Add(a.server.settings.callerWrite()))
	br.w.WriteHeader(resp.StatusCode)
	_, _ = br.w.Write(body)
	out.responseStarted = true
	return out
}

// copyResponseHeader copies the headers of a response except the hop-by-hop headers
// and those that this process sets.
func copyResponseHeader(to, from http.Header) {
	for name, values := range from {
		switch name {
		case "Connection", "Keep-Alive", "Transfer-Encoding", "Trailer", "Upgrade", "Content-Length", requestIDHeader:
		default:
			to[name] = values
		}
	}
}
