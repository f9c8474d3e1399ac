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
	// deadlineGrace is how long a request may stay in the table after its
	// deadline, which is the time to cancel it and to write the error.
	deadlineGrace = 500 * time.Millisecond
)

// errDeadline is the cause of the context of a request whose deadline has passed.
var errDeadline = errors.New("deadline exceeded")

// attempt is one dispatch of a request under one reservation: to one backend
// server, or to the members of a group of them.
type attempt struct {
	server *Server
	req    *request
	res    *reservation
	start  time.Time
	log    *zap.Logger
	// member is the backend server in use. The last member of the grant sends the
	// response.
	member *wirepb.GrantMember
	// id is the dispatch id.
	id string
	// firstPartSent is set when the first member has prefilled its part. The permit
	// has been used then, and the reservation holds the later members.
	firstPartSent bool
}

// outcome is how an attempt ended.
type outcome struct {
	// responseStarted is set if the caller has received bytes of the response.
	responseStarted bool
	// sent is set if bytes may have reached a backend server that did not reject the
	// request with StatusWrongBoot.
	sent bool
	step wirepb.Progress_Step
	// excluded is the id of a backend server that should not be granted again;
	// empty if there is none.
	excluded string
	// err is nil if the attempt succeeded.
	err *refusal.Error
	// tokens is the number of output tokens, for which the events of a stream are
	// counted.
	tokens uint64
}

// run dispatches r until it succeeds, is refused or has used all attempts.
// responseStarted is set if the caller has received bytes of a response; if there is
// an error as well, w has terminated that response.
func (s *Server) run(ctx context.Context, r *request, w responseRelay) (refErr *refusal.Error, responseStarted bool) {
	var excluded []string
	anySent := false
	for attemptNumber := uint32(0); ; attemptNumber++ {
		r.setPhase(phaseQueued)
		res, refErr := s.reserve(ctx, r, attemptNumber, excluded)
		if refErr != nil {
			return runUnknownIfSent(refErr, anySent), false
		}
		out := s.dispatch(ctx, r, res, w)
		anySent = anySent || out.sent
		if out.err == nil {
			return nil, true
		}
		if out.responseStarted {
			w.fail(out.err, r.id)
			return out.err, true
		}
		if !s.canRetry(ctx, r, attemptNumber, &out) {
			return runUnknownIfSent(out.err, anySent), false
		}
		metricRetries.Inc()
		if out.excluded != "" {
			excluded = append(excluded, out.excluded)
		}
	}
}

// runUnknownIfSent changes RunNo of a refusal to RunUnknown if sent is set: once
// anything may have reached a backend server, "not run" can't be guaranteed.
func runUnknownIfSent(refErr *refusal.Error, sent bool) *refusal.Error {
	if sent && refErr.Run == refusal.RunNo {
		corrected := *refErr
		corrected.Run = refusal.RunUnknown
		return &corrected
	}
	return refErr
}

// canRetry reports whether r may be dispatched again after an attempt that ended
// with out. If so, it has taken a retry from the retry budget.
func (s *Server) canRetry(ctx context.Context, r *request, attemptNumber uint32, out *outcome) bool {
	if ctx.Err() != nil || attemptNumber+1 >= maxAttempts || r.timeLeft() <= 0 {
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

// dispatch sends r to the granted backend server, relays the response with w and
// reports the outcome to the dispatcher.
func (s *Server) dispatch(ctx context.Context, r *request, res *reservation, w responseRelay) outcome {
	defer res.close()
	s.open.add(res.dispatcher, res.grant.GetDispatchId())
	defer s.open.remove(res.dispatcher, res.grant.GetDispatchId())
	a := &attempt{server: s, req: r, res: res, start: time.Now(), member: res.grant.GetMembers()[0], id: res.grant.GetDispatchId()}
	a.log = s.log.With(zap.String("request_id", r.id), zap.String("dispatch", a.id), zap.String("backend_server", a.member.GetBackend()))
	r.setPhase(phaseGranted)
	r.setBackend(a.member.GetBackend())
	out := a.exchange(ctx, w)
	if out.step == wirepb.Progress_STEP_BROKEN {
		a.checkForCrash(&out)
	}
	if out.step == wirepb.Progress_STEP_DONE && res.grant.GetSuspected() {
		s.clearSuspicion(r)
	}
	res.report(a.member, out.step, time.Since(a.start), out.tokens)
	if out.step == wirepb.Progress_STEP_CRASHED {
		// All dispatchers must have recorded the crash before the caller can send
		// the request again.
		res.flush()
		s.broadcastCrash(r, a.member, res.grant.GetSuspected())
	}
	countOutcome(out.step)
	return out
}

// exchange sends the request and relays the response. A prompt that no single
// backend server can hold is prefilled in parts on several of them.
func (a *attempt) exchange(ctx context.Context, w responseRelay) outcome {
	overrides, out := a.prefillParts(ctx)
	if out.err != nil {
		return a.markPartsSent(out)
	}
	resp, out := a.send(ctx, overrides)
	if out.err != nil {
		return a.markPartsSent(out)
	}
	defer resp.Body.Close()
	a.req.setPhase(phaseAnswering)
	return w.relayResponse(ctx, a, resp)
}

// markPartsSent corrects the outcome of a member to which nothing was sent if an
// earlier member has run its part: something was sent in this attempt, and backend
// servers may still hold the results.
func (a *attempt) markPartsSent(out outcome) outcome {
	if a.firstPartSent && !out.sent {
		out.sent = true
		out.step = wirepb.Progress_STEP_CANCELLED
	}
	return out
}

// send sends the request to a.member and checks the status of the response.
// overrides replaces fields of the body of a completion request. If the error of the
// returned outcome is nil, the caller closes the body of the response.
func (a *attempt) send(ctx context.Context, overrides map[string]any) (*http.Response, outcome) {
	body, err := a.body(overrides)
	if err != nil {
		return nil, outcome{step: wirepb.Progress_STEP_NOT_SENT, err: refusal.New(refusal.BadRequest, err.Error())}
	}
	resp, err := a.server.backends.Do(a.withRoute(ctx), &backend.Request{
		Backend: a.member.GetBackend(), Address: a.member.GetAddress(), ID: a.id,
		Method: a.req.method, Path: a.req.path, Header: a.header(), Body: body,
		Idempotent: a.req.idempotent, BeforeSend: a.beforeSend, OnLateWrite: a.recordLateWrite,
	})
	if err != nil {
		return nil, a.sendErrorOutcome(ctx, err)
	}
	a.reportNotices(resp)
	if out := a.checkStatus(resp); out.err != nil {
		_ = resp.Body.Close()
		return nil, out
	}
	return resp, outcome{}
}

// beforeSend runs after the last point at which the dispatch can block. It returns
// an error if the permit is no longer valid, and otherwise reports the start.
func (a *attempt) beforeSend() error {
	if err := a.server.permitError(a.res, a.firstPartSent); err != nil {
		metricVoidPermits.Inc()
		return err
	}
	a.req.setPhase(phaseSent)
	a.res.report(a.member, wirepb.Progress_STEP_STARTED, time.Since(a.start), 0)
	return nil
}

// recordLateWrite records that the process stalled between beforeSend and the write.
func (a *attempt) recordLateWrite(delay time.Duration) {
	metricLateDispatches.Inc()
	a.log.Warn("dispatch was written late after its check", zap.Duration("delay", delay))
}

// body returns the body to send, which for a completion request has the given
// fields replaced.
func (a *attempt) body(overrides map[string]any) ([]byte, error) {
	if a.req.model == nil {
		return a.req.body, nil
	}
	if a.req.model.raw != nil {
		a.server.decoding.Lock()
		defer a.server.decoding.Unlock()
	}
	body, err := a.req.model.body(a.res.grant.GetPriority(), overrides)
	return body, errors.Annotate(err, "encode request for the engine")
}

// header returns the headers of the dispatch.
func (a *attempt) header() http.Header {
	h := forwardedHeader(a.req)
	h.Set(announce.BootHeader, strconv.FormatUint(a.member.GetBoot(), 10))
	// The first part of a prompt may take any time; the reservation holds the later members.
	// Dispatchers of earlier builds name no announcement.
	if n := a.member.GetAnnouncement(); n != 0 && !a.firstPartSent {
		h.Set(announce.SequenceHeader, strconv.FormatUint(n, 10))
	}
	return h
}

// forwardedHeader returns the caller's headers without hop-by-hop headers and those
// that are addressed to this system, and sets those that engines need.
func forwardedHeader(r *request) http.Header {
	h := r.header.Clone()
	for _, name := range []string{
		"Authorization", "Connection", "Keep-Alive", "Proxy-Authorization", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Accept-Encoding", deadlineHeader, urgencyHeader, announce.SequenceHeader,
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

// sendErrorOutcome returns the outcome of an attempt for which backend.Client.Do
// returned err.
func (a *attempt) sendErrorOutcome(ctx context.Context, err error) outcome {
	var failed *backend.Error
	sent := !errors.As(err, &failed) || failed.Sent
	out := outcome{sent: sent, step: wirepb.Progress_STEP_NOT_SENT, excluded: a.member.GetBackend()}
	a.log.Info("dispatch failed", zap.Bool("sent", sent), observe.Error(err))
	switch {
	case ctx.Err() != nil:
		out.err = cancelError(ctx, sent)
		if sent {
			out.step = wirepb.Progress_STEP_CANCELLED
		}
	case errors.Is(err, backend.ErrRequestIDMismatch):
		out.step = wirepb.Progress_STEP_CANCELLED
		out.err = refusal.NewUnknown(refusal.AnswerMismatch, "backend server answered another request")
		a.cancelStream()
	case sent:
		out.step = wirepb.Progress_STEP_BROKEN
		out.err = refusal.NewUnknown(refusal.BackendFailed, "connection to the backend server broke")
	default:
		out.err = refusal.New(refusal.BackendFailed, "backend server was not reached")
	}
	return out
}

// cancelError returns the refusal for a request whose context has ended: because of
// its deadline or because of a stall. Any other cause, also an abort of the open
// requests by this process, is reported as a caller that is gone.
func cancelError(ctx context.Context, sent bool) *refusal.Error {
	code, text := refusal.BackendFailed, "caller is gone"
	if errors.Is(context.Cause(ctx), errDeadline) {
		code, text = refusal.DeadlineExceeded, "deadline exceeded"
	} else if errors.Is(context.Cause(ctx), relay.ErrStalled) {
		text = relay.ErrStalled.Error()
	}
	if sent {
		return refusal.NewUnknown(code, text)
	}
	return refusal.New(code, text)
}

// checkStatus returns an outcome with an error if the engine rejected the request.
// Responses of plain services are forwarded with any status except StatusWrongBoot,
// with which the backend server states that the request was granted for another
// boot, or too long ago, and was not run.
func (a *attempt) checkStatus(resp *http.Response) outcome {
	if resp.StatusCode == announce.StatusWrongBoot {
		return outcome{
			step: wirepb.Progress_STEP_REFUSED, excluded: a.member.GetBackend(),
			err: refusal.New(refusal.BackendFailed, "backend server has restarted since the grant, or the grant was too old"),
		}
	}
	if a.req.model == nil {
		return outcome{}
	}
	if resp.Header.Get(backend.RequestIDHeader) != a.id {
		a.cancelStream()
		return outcome{
			sent: true, step: wirepb.Progress_STEP_CANCELLED,
			err: refusal.NewUnknown(refusal.AnswerMismatch, "answer of the engine carries no request id"),
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
		out.err = refusal.NewUnknown(refusal.BackendFailed, "engine answered with status "+strconv.Itoa(resp.StatusCode))
	default:
		out.err = refusal.New(refusal.BadRequest, "engine answered with status "+strconv.Itoa(resp.StatusCode))
	}
	return out
}

// checkForCrash checks the health of the backend server after a broken connection
// and sets the step of out if it has crashed. If the backend server does not respond
// at all, there may be a network partition, so nothing follows about the request.
func (a *attempt) checkForCrash(out *outcome) {
	if a.checkHealth(context.Background()) == backend.HealthCrashed {
		out.step = wirepb.Progress_STEP_CRASHED
		metricCrashes.Inc()
	}
}

// healthCheckTimeout bounds the health check after a broken connection, and the
// deletion of a stream.
const healthCheckTimeout = 500 * time.Millisecond
