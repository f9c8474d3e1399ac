package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"bilberryhub/internal/backend"
	"bilberryhub/internal/observe"
	"bilberryhub/internal/refusal"
	"bilberryhub/internal/relay"
	"bilberryhub/internal/wirepb"
)

// maxBufferedAnswer bounds an answer that is checked as a whole before it is
// forwarded.
const maxBufferedAnswer = 16 << 20

// resumableHeader asks an engine to keep a stream for a while when the
// connection breaks.
const resumableHeader = "X-Resumable"

// lastEventHeader names the last event that arrived.
const lastEventHeader = "Last-Event-ID"

// answerWriter relays the answer of a backend server to the caller.
type answerWriter interface {
	answer(ctx context.Context, a *attempt, resp *http.Response) outcome
	// fail ends an answer that has begun.
	fail(ref *refusal.Error, id string)
}

// streamWriter relays server-sent events.
type streamWriter struct {
	w      http.ResponseWriter
	stream *relay.Stream
}

// fail sends an error event in place of the terminal event.
func (sw *streamWriter) fail(ref *refusal.Error, id string) { sw.stream.Fail(ref.JSON(id)) }

func (sw *streamWriter) answer(ctx context.Context, a *attempt, resp *http.Response) outcome {
	h := sw.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	st := relay.NewStream(sw.w, a.id)
	sw.stream = st
	st.Stall = a.server.settings.stall()
	// Before the first event the engine may be prefilling; the deadline
	// bounds that time.
	st.FirstStall = max(a.req.left(), time.Millisecond)
	st.WriteTimeout = a.server.settings.callerWrite()
	st.OnFirst = func() {
		ttft := time.Since(a.start)
		a.req.release()
		metricFirstToken.Update(time.Since(a.req.arrived).Seconds())
		a.res.report(a.member, wirepb.Progress_STEP_FIRST_TOKEN, ttft, 1)
	}
	err := a.forward(ctx, st, resp)
	return a.streamOutcome(ctx, st, err)
}

// forward relays the stream and continues it on a new connection when the
// connection to an engine breaks that is still alive.
func (a *attempt) forward(ctx context.Context, st *relay.Stream, resp *http.Response) error {
	for tries := 0; ; tries++ {
		fctx, cancel := context.WithCancelCause(ctx)
		stop := context.AfterFunc(fctx, func() { _ = resp.Body.Close() })
		err := st.Forward(fctx, resp.Body, cancel)
		stop()
		cancel(nil)
		_ = resp.Body.Close()
		if err == nil || ctx.Err() != nil || !resumable(err) || st.LastEventID == "" || tries >= maxResumes {
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

// maxResumes bounds how often one stream is continued.
const maxResumes = 3

func resumable(err error) bool {
	cause := errors.Cause(err)
	return cause != relay.ErrMismatch && cause != relay.ErrCaller && cause != relay.ErrStalled
}

func (a *attempt) resume(ctx context.Context, st *relay.Stream) (*http.Response, error) {
	h := http.Header{}
	h.Set(lastEventHeader, st.LastEventID)
	resp, err := a.server.backends.Do(ctx, &backend.Request{
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

func (a *attempt) streamOutcome(ctx context.Context, st *relay.Stream, err error) outcome {
	out := outcome{answered: st.Events > 0, sent: true, step: wirepb.Progress_STEP_DONE, tokens: st.Events}
	if err == nil {
		return out
	}
	out.excluded = a.member.GetBackend()
	a.log.Info("stream failed", zap.Uint64("events", st.Events), observe.Error(err))
	switch cause := errors.Cause(err); {
	case ctx.Err() != nil:
		out.step, out.err = wirepb.Progress_STEP_CANCELLED, cancelled(ctx, true)
	case cause == relay.ErrMismatch:
		out.step = wirepb.Progress_STEP_CANCELLED
		out.err = refusal.Unknown(refusal.AnswerMismatch, "engine sent an event of another request")
	case cause == relay.ErrCaller || cause == relay.ErrStalled:
		out.step, out.err = wirepb.Progress_STEP_CANCELLED, refusal.Unknown(refusal.BackendFailed, cause.Error())
	case st.Events > 0:
		out.step, out.err = wirepb.Progress_STEP_BROKEN, refusal.Unknown(refusal.AnswerTruncated, err.Error())
	default:
		out.step, out.err = wirepb.Progress_STEP_BROKEN, refusal.Unknown(refusal.BackendFailed, err.Error())
	}
	if out.step == wirepb.Progress_STEP_CANCELLED {
		a.cancelStream()
	}
	return out
}

// cancelStream tells an engine that keeps broken streams for a while that
// nobody will come back for this one. An engine that has answered another
// request may still run this one.
func (a *attempt) cancelStream() {
	if a.req.model == nil {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), healthBudget)
		defer cancel()
		resp, err := a.server.backends.Do(ctx, &backend.Request{
			Backend: a.member.GetBackend(), Address: a.member.GetAddress(), ID: a.id,
			Method: http.MethodDelete, Path: "/v1/streams/" + a.id,
		})
		if err == nil {
			_ = resp.Body.Close()
		}
	}()
}

// bufferWriter checks an answer as a whole before it forwards it.
type bufferWriter struct {
	w http.ResponseWriter
	// kept receives the answer, for the record of a claim.
	kept *keptAnswer
}

// keptAnswer is an answer that can be stored.
type keptAnswer struct {
	status      int
	contentType string
	body        []byte
}

// fail does nothing: a buffered answer is forwarded whole.
func (bw *bufferWriter) fail(*refusal.Error, string) {}

func (bw *bufferWriter) answer(ctx context.Context, a *attempt, resp *http.Response) outcome {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedAnswer+1))
	out := outcome{sent: true, step: wirepb.Progress_STEP_DONE}
	switch {
	case ctx.Err() != nil:
		out.step, out.err = wirepb.Progress_STEP_CANCELLED, cancelled(ctx, true)
		a.cancelStream()
	case err != nil:
		a.log.Info("answer broke off", observe.Error(err))
		out.step, out.excluded = wirepb.Progress_STEP_BROKEN, a.member.GetBackend()
		out.err = refusal.Unknown(refusal.BackendFailed, "connection broke before the whole answer had arrived")
	case len(body) > maxBufferedAnswer:
		out.step, out.err = wirepb.Progress_STEP_CANCELLED, refusal.Unknown(refusal.AnswerTruncated, "answer is larger than 16 MiB")
		a.cancelStream()
	case a.req.model != nil && !bytes.Contains(body, []byte(a.id)):
		out.step, out.err = wirepb.Progress_STEP_CANCELLED, refusal.Unknown(refusal.AnswerMismatch, "answer belongs to another request")
		a.cancelStream()
	}
	if out.err != nil {
		return out
	}
	if a.req.model != nil {
		a.res.report(a.member, wirepb.Progress_STEP_FIRST_TOKEN, time.Since(a.start), 1)
	}
	if bw.kept != nil {
		*bw.kept = keptAnswer{status: resp.StatusCode, contentType: resp.Header.Get("Content-Type"), body: body}
	}
	copyAnswerHeader(bw.w.Header(), resp.Header)
	_ = http.NewResponseController(bw.w).SetWriteDeadline(time.Now().Add(a.server.settings.callerWrite()))
	bw.w.WriteHeader(resp.StatusCode)
	_, _ = bw.w.Write(body)
	out.answered = true
	return out
}

// copyAnswerHeader copies the headers of an answer, without those that belong
// to one connection or that this process sets.
func copyAnswerHeader(to, from http.Header) {
	for name, values := range from {
		switch name {
		case "Connection", "Keep-Alive", "Transfer-Encoding", "Trailer", "Upgrade", "Content-Length", requestIDHeader:
		default:
			to[name] = values
		}
	}
}
