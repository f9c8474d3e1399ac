package entry

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"bilberryhub/internal/announce"
	"bilberryhub/internal/backend"
	"bilberryhub/internal/observe"
	"bilberryhub/internal/refusal"
	"bilberryhub/internal/relay"
	"bilberryhub/internal/wirepb"
)

const (
	// maxAttempts bounds the dispatches of one request.
	maxAttempts = 4
	// deadlineGrace is how long past its deadline a request may stay in the
	// table: the time to cancel it and to write the error.
	deadlineGrace = 500 * time.Millisecond
)

// errDeadline cancels a request whose deadline has passed.
var errDeadline = errors.New("deadline exceeded")

// attempt is one dispatch of a request to one backend server.
type attempt struct {
	server *Server
	req    *request
	res    *reservation
	start  time.Time
	log    *zap.Logger
	// member is the backend server in use; the last one answers.
	member *wirepb.GrantMember
	id     string
	// started is set when the first member has been sent its part. The permit
	// has then been used, and the later members are held by the reservation.
	started bool
}

// outcome is how an attempt ended.
type outcome struct {
	// answered is set when the caller has received bytes of the answer.
	answered bool
	// sent is set when bytes may have reached the backend server.
	sent bool
	step wirepb.Progress_Step
	// excluded names a backend server that should not be granted again.
	excluded string
	err      *refusal.Error
	tokens   uint64
}

// run dispatches r until it is answered, refused or out of attempts. Answered
// is set when the caller has received bytes; an error then ends the stream.
func (s *Server) run(ctx context.Context, r *request, w answerWriter) (ref *refusal.Error, answered bool) {
	var excluded []string
	everSent := false
	for n := uint32(0); ; n++ {
		r.setPhase(phaseQueued)
		res, ref := s.reserve(ctx, r, n, excluded)
		if ref != nil {
			return truthful(ref, everSent), false
		}
		out := s.dispatch(ctx, r, res, w)
		everSent = everSent || out.sent
		if out.err == nil {
			return nil, true
		}
		if out.answered {
			w.fail(out.err, r.id)
			return out.err, true
		}
		if !s.mayRetry(ctx, r, n, &out) {
			return truthful(out.err, everSent), false
		}
		metricRetries.Inc()
		if out.excluded != "" {
			excluded = append(excluded, out.excluded)
		}
	}
}

// truthful corrects what a refusal says about the outcome: once anything may
// have reached a backend server, "not run" is no longer known to be true.
func truthful(ref *refusal.Error, sent bool) *refusal.Error {
	if sent && ref.Run == refusal.RunNo {
		corrected := *ref
		corrected.Run = refusal.RunUnknown
		return &corrected
	}
	return ref
}

func (s *Server) mayRetry(ctx context.Context, r *request, n uint32, out *outcome) bool {
	if ctx.Err() != nil || n+1 >= maxAttempts || r.left() <= 0 {
		return false
	}
	if out.sent && !r.idempotent {
		return false
	}
	if out.err.Code != refusal.BackendFailed {
		return false
	}
	return s.allowRetry(ctx, r)
}

// dispatch sends r to the granted backend server and relays the answer.
func (s *Server) dispatch(ctx context.Context, r *request, res *reservation, w answerWriter) outcome {
	defer res.close()
	s.open.add(res.dispatcher, res.grant.GetDispatchId())
	defer s.open.remove(res.dispatcher, res.grant.GetDispatchId())
	a := &attempt{server: s, req: r, res: res, start: time.Now(), member: res.grant.GetMembers()[0], id: res.grant.GetDispatchId()}
	a.log = s.log.With(zap.String("request_id", r.id), zap.String("dispatch", a.id), zap.String("backend_server", a.member.GetBackend()))
	r.setPhase(phaseGranted)
	r.setBackend(a.member.GetBackend())
	out := a.exchange(ctx, w)
	if out.step == wirepb.Progress_STEP_BROKEN {
		a.examine(&out)
	}
	if out.step == wirepb.Progress_STEP_DONE && res.grant.GetSuspected() {
		s.clearSuspicion(r)
	}
	res.report(a.member, out.step, time.Since(a.start), out.tokens)
	if out.step == wirepb.Progress_STEP_CRASHED {
		// The crash must be known everywhere before the caller can send the
		// request again.
		res.confirm()
		s.broadcastCrash(r, a.member, res.grant.GetSuspected())
	}
	countOutcome(out.step)
	return out
}

// exchange sends the request and relays the answer, on several backend servers
// for a prompt that one of them cannot hold.
func (a *attempt) exchange(ctx context.Context, w answerWriter) outcome {
	extra, out := a.prefillParts(ctx)
	if out.err != nil {
		return a.withParts(out)
	}
	resp, out := a.send(ctx, extra)
	if out.err != nil {
		return a.withParts(out)
	}
	defer resp.Body.Close()
	a.req.setPhase(phaseAnswering)
	return w.answer(ctx, a, resp)
}

// withParts corrects the outcome of a member when an earlier member has run its
// part: something was sent, and the backend servers may still hold it.
func (a *attempt) withParts(out outcome) outcome {
	if a.started && !out.sent {
		out.sent = true
		out.step = wirepb.Progress_STEP_CANCELLED
	}
	return out
}

// send dispatches the request and checks the status of the answer.
func (a *attempt) send(ctx context.Context, extra map[string]any) (*http.Response, outcome) {
	body, err := a.body(extra)
	if err != nil {
		return nil, outcome{step: wirepb.Progress_STEP_NOT_SENT, err: refusal.New(refusal.BadRequest, err.Error())}
	}
	resp, err := a.server.backends.Do(ctx, &backend.Request{
		Backend: a.member.GetBackend(), Address: a.member.GetAddress(), ID: a.id,
		Method: a.req.method, Path: a.req.path, Header: a.header(), Body: body,
		Idempotent: a.req.idempotent, BeforeSend: a.beforeSend,
	})
	if err != nil {
		return nil, a.sendFailed(ctx, err)
	}
	if out := a.checkStatus(resp); out.err != nil {
		_ = resp.Body.Close()
		return nil, out
	}
	return resp, outcome{}
}

// beforeSend runs after the last point where the dispatch can wait.
func (a *attempt) beforeSend() error {
	if err := a.server.permitError(a.res, a.started); err != nil {
		metricVoidPermits.Inc()
		return err
	}
	a.req.setPhase(phaseSent)
	a.res.report(a.member, wirepb.Progress_STEP_STARTED, time.Since(a.start), 0)
	return nil
}

func (a *attempt) body(extra map[string]any) ([]byte, error) {
	if a.req.model == nil {
		return a.req.body, nil
	}
	body, err := a.req.model.body(a.res.grant.GetPriority(), extra)
	return body, errors.Annotate(err, "encode request for the engine")
}

// header returns the headers of the dispatch.
func (a *attempt) header() http.Header {
	h := forwardedHeader(a.req)
	h.Set(announce.BootHeader, strconv.FormatUint(a.member.GetBoot(), 10))
	return h
}

// forwardedHeader returns the caller's headers without those that belong to
// one connection or to this system.
func forwardedHeader(r *request) http.Header {
	h := r.header.Clone()
	for _, name := range []string{
		"Authorization", "Connection", "Keep-Alive", "Proxy-Authorization", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Accept-Encoding", deadlineHeader, urgencyHeader,
	} {
		h.Del(name)
	}
	if r.model != nil {
		h.Del(idempotencyHeader)
		h.Set(resumableHeader, "1")
		h.Set("Content-Type", "application/json")
	}
	return h
}

func (a *attempt) sendFailed(ctx context.Context, err error) outcome {
	var failed *backend.Error
	sent := !errors.As(err, &failed) || failed.Sent
	out := outcome{sent: sent, step: wirepb.Progress_STEP_NOT_SENT, excluded: a.member.GetBackend()}
	a.log.Info("dispatch failed", zap.Bool("sent", sent), observe.Error(err))
	switch {
	case ctx.Err() != nil:
		out.err = cancelled(ctx, sent)
		if sent {
			out.step = wirepb.Progress_STEP_CANCELLED
		}
	case errors.Is(err, backend.ErrRequestIDMismatch):
		out.step = wirepb.Progress_STEP_CANCELLED
		out.err = refusal.Unknown(refusal.AnswerMismatch, "backend server answered another request")
		a.cancelStream()
	case sent:
		out.step = wirepb.Progress_STEP_BROKEN
		out.err = refusal.Unknown(refusal.BackendFailed, "connection to the backend server broke")
	default:
		out.err = refusal.New(refusal.BackendFailed, "backend server was not reached")
	}
	return out
}

// cancelled says why the context of a request ended.
func cancelled(ctx context.Context, sent bool) *refusal.Error {
	code, text := refusal.BackendFailed, "caller is gone"
	if errors.Is(context.Cause(ctx), errDeadline) {
		code, text = refusal.DeadlineExceeded, "deadline exceeded"
	} else if errors.Is(context.Cause(ctx), relay.ErrStalled) {
		text = relay.ErrStalled.Error()
	}
	if sent {
		return refusal.Unknown(code, text)
	}
	return refusal.New(code, text)
}

// checkStatus refuses answers of an engine that turned the request away.
// Answers of plain services are passed on whatever their status, but for the
// one that says that the request was granted for another boot and not run.
func (a *attempt) checkStatus(resp *http.Response) outcome {
	if resp.StatusCode == announce.StatusWrongBoot {
		return outcome{
			step: wirepb.Progress_STEP_REFUSED, excluded: a.member.GetBackend(),
			err: refusal.New(refusal.BackendFailed, "backend server has restarted since the grant"),
		}
	}
	if a.req.model == nil {
		return outcome{}
	}
	if resp.Header.Get(backend.RequestIDHeader) != a.id {
		a.cancelStream()
		return outcome{
			sent: true, step: wirepb.Progress_STEP_CANCELLED,
			err: refusal.Unknown(refusal.AnswerMismatch, "answer of the engine carries no request id"),
		}
	}
	if resp.StatusCode < 300 {
		return outcome{}
	}
	out := outcome{sent: true, step: wirepb.Progress_STEP_REFUSED, excluded: a.member.GetBackend()}
	switch {
	case resp.StatusCode == http.StatusRequestEntityTooLarge:
		out.err = refusal.New(refusal.PromptTooLarge, "engine refused the length of the prompt")
	case resp.StatusCode >= 500 || resp.StatusCode == http.StatusTooManyRequests:
		out.err = refusal.Unknown(refusal.BackendFailed, "engine answered with status "+strconv.Itoa(resp.StatusCode))
	default:
		out.err = refusal.New(refusal.BadRequest, "engine answered with status "+strconv.Itoa(resp.StatusCode))
	}
	return out
}

// examine finds out whether a broken connection was a crash. A backend server
// that does not answer at all may be cut off, which says nothing about the
// request.
func (a *attempt) examine(out *outcome) {
	ctx, cancel := context.WithTimeout(context.Background(), healthBudget)
	defer cancel()
	health := a.server.backends.CheckHealth(ctx, a.member.GetAddress(), a.member.GetBoot())
	a.log.Info("health after a broken connection", zap.Stringer("health", health))
	if health == backend.HealthCrashed {
		out.step = wirepb.Progress_STEP_CRASHED
		metricCrashes.Inc()
	}
}

// healthBudget bounds the health check after a broken connection.
const healthBudget = 500 * time.Millisecond
