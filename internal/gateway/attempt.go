package gateway

import (
	"context"
	"io"
	"net/http"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"bilberryhub/internal/bootclock"
	"bilberryhub/internal/exchange"
	"bilberryhub/internal/fleet"
	"bilberryhub/internal/manifest"
	"bilberryhub/internal/observe"
	"bilberryhub/internal/placement"
)

const (
	// defaultMaxAttempts is the maximum number of backend servers that one
	// request is sent to if its route states none.
	defaultMaxAttempts = 2
	// maxBackendsTried is the maximum number of backend servers that are tried
	// for one request, including those to which no connection was made.
	maxBackendsTried = 5
	// responseMargin is the part of the deadline that is reserved for sending
	// the final response to the caller.
	responseMargin = 20 * time.Millisecond
	// minAttemptTime is the minimum time left for which another attempt is
	// made.
	minAttemptTime = 30 * time.Millisecond
)

// attemptResult is how an attempt ended.
type attemptResult int

const (
	// served: the caller has a complete response.
	served attemptResult = iota
	// notRun: the request wasn't sent, or the backend server states that it
	// hasn't run it.
	notRun
	// mayHaveRun: the request was sent, and no complete response was received.
	mayHaveRun
	// respondedWithFailure: the backend server has responded with a status of 500
	// or above. The response is kept in attempt.buffered.
	respondedWithFailure
	// callerGone: the caller has disconnected, or the deadline has passed.
	callerGone
	// superseded: another attempt of the request continues the response.
	superseded
)

// attempt is one try of a request at one backend server.
type attempt struct {
	g    *Gateway
	r    *request
	pick *pick
	// number counts the attempts of the request, from 1.
	number int
	// try counts the backend servers that were chosen, from 1, also those that were not reached.
	try int
	// successor is set for an attempt that runs beside an earlier one, and succession is that of
	// this attempt. ctx is the context of run.
	successor  *successor
	succession succession
	ctx        context.Context
	// triedBefore holds the ids of the backend servers of earlier attempts.
	// isContinuation is set if the caller already has a part of the response.
	triedBefore    []string
	isContinuation bool
	sent           time.Duration
	stall          *watchdog
	// buffered is a complete response that reports a failure.
	buffered *bufferedResponse
	err      error
	// firstMs is the time to the first event, pauseMs the longest pause
	// between two events.
	firstMs, pauseMs float64
	// firstEventSeen is set from the first event on. Other goroutines read it
	// too.
	firstEventSeen atomic.Bool
	// isDirect is set while the attempt uses an own connection of this gateway, and
	// receivedAt is when something was last received, in ns. Other goroutines read them.
	isDirect   atomic.Bool
	receivedAt atomic.Int64
	// sentAt is sent for other goroutines, in ns.
	sentAt atomic.Int64
	// allowed is the time that the backend server was given, from sent on, after which it
	// stops work.
	allowed time.Duration
	// path is the path of the request. framing says what marks the end of the response's body,
	// empty without a response, and end how the body has ended.
	path    connPath
	framing exchange.Framing
	end     bodyEnd
	// isQuarantined is set when the attempt is canceled because its request is
	// suspected of crashing backend servers.
	isQuarantined atomic.Bool
	// isPassedOn is set when the caller gets the response while it is read, so that no other
	// backend server can serve the request. Other goroutines read it too.
	isPassedOn atomic.Bool
}

// run sends a request to backend servers, one after the other, until one serves
// it or no further attempt is allowed.
func (g *Gateway) run(ctx context.Context, r *request) error {
	g.budget.request(r.service.Name, bootclock.Now())
	var buffered *bufferedResponse
	defer func() { buffered.release() }()
	r.features = r.crashFeatures()
	// paused is the pause because of which an attempt was not made, if there is one.
	var last, paused error
	for {
		p, err := g.chooseOrWait(ctx, r)
		if errors.Is(err, errCallerGone) {
			return g.expired(ctx, r, r.ran, buffered)
		}
		if err != nil {
			if buffered != nil {
				return g.forwardResponse(r, buffered)
			}
			return g.noBackendError(r, earlier(paused, err), r.ran)
		}
		a, result := g.runAttempt(ctx, g.newAttempt(r, p))
		switch result {
		case served:
			return nil
		case callerGone:
			return g.expired(ctx, r, r.ran || a.sent > 0, buffered)
		case respondedWithFailure:
			buffered.release()
			buffered, r.ran = a.buffered, true
		case mayHaveRun:
			r.ran = true
		}
		last, paused = a.err, earlier(paused, a.err)
		r.tried = append(r.tried, a.pick.backend.ID)
		if len(r.tried) >= maxBackendsTried || !g.allowRetry(r, a.sent > 0) {
			break
		}
	}
	if buffered != nil {
		return g.forwardResponse(r, buffered)
	}
	if r.ran {
		return refuse(http.StatusBadGateway, "the outcome is unknown: %v", last)
	}
	return unavailable(g.backoff(r, last), "no backend server has run it: %v", last)
}

// newAttempt returns an attempt at the backend server that was chosen.
func (g *Gateway) newAttempt(r *request, p *pick) *attempt {
	return &attempt{
		g: g, r: r, pick: p, number: r.attempts + 1, try: len(r.tried) + 1, triedBefore: slices.Clone(r.tried), isContinuation: r.status != 0,
	}
}

// runAttempt carries out an attempt, and the successor that may be started beside it. It returns
// the one whose result counts.
func (g *Gateway) runAttempt(ctx context.Context, a *attempt) (*attempt, attemptResult) {
	result := a.run(ctx)
	g.workTable.remove(append(a.pick.helperJobs, a.pick.job)...)
	g.logAttempt(a, result)
	if next := a.settle(result); next != nil {
		a.buffered.release()
		return next.attempt, next.result
	}
	return a, result
}

// errCallerGone is returned if the caller has disconnected or its deadline has
// passed.
var errCallerGone = errors.New("the caller waits no longer")

// chooseOrWait chooses a backend server. If the choice is deferred in favor of
// requests that run there, it waits and chooses again.
func (g *Gateway) chooseOrWait(ctx context.Context, r *request) (*pick, error) {
	for {
		if err := g.checkQuarantine(r); err != nil {
			return nil, err
		}
		p, err := g.choose(r, r.service, r.tried)
		if !errors.Is(err, errDeferred) {
			return p, err
		}
		if r.waited == 0 {
			g.log.Info("request deferred", zap.String("request_id", r.caller.ID), zap.Int64("prompt_tokens", r.caller.PromptTokens),
				zap.Duration("config_age", r.configAge), zap.Float64("at_most_ms", maxDeferShare*r.route.ObjectiveMs))
		}
		step := time.Duration((0.5 + g.random()) * placement.DeferStepMs * float64(time.Millisecond))
		if !sleep(ctx, step) {
			return nil, errCallerGone
		}
		r.waited += step
	}
}

// attemptLimit returns the number of backend servers that a request may be sent
// to.
func (r *request) attemptLimit() int {
	if r.route.MaxAttempts > 0 {
		return r.route.MaxAttempts
	}
	return defaultMaxAttempts
}

// canRetry reports whether the attempt with the given number may be made for a
// request. ran states that an earlier attempt may have run.
func (g *Gateway) canRetry(r *request, attempt int, ran bool) bool {
	return attempt <= r.attemptLimit() && (!ran || r.route.Idempotent()) &&
		r.deadline-bootclock.Now() >= minAttemptTime+responseMargin
}

// allowRetry reports whether a request may be sent to another backend server.
// It takes the retry from the budget if the last attempt was sent.
func (g *Gateway) allowRetry(r *request, sent bool) bool {
	if !g.canRetry(r, r.attempts+1, r.ran) {
		return false
	}
	return !sent || g.budget.take(r.service.Name, g.members.count(), bootclock.Now())
}

// noBackendError returns the final response for a request for which no backend
// server was chosen.
func (g *Gateway) noBackendError(r *request, err error, ran bool) error {
	if ran {
		return refuse(http.StatusBadGateway, "the outcome is unknown, and %v", errors.Cause(err))
	}
	return unavailable(g.backoff(r, err), "%v", errors.Cause(err))
}

// expired returns the final response at the deadline, or at the end of this process. If
// the caller has disconnected it panics with http.ErrAbortHandler instead.
func (g *Gateway) expired(ctx context.Context, r *request, ran bool, buffered *bufferedResponse) error {
	if errors.Is(r.http.Context().Err(), context.Canceled) && !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		r.outcome, r.status = "caller left", statusCallerLeft
		panic(http.ErrAbortHandler)
	}
	if buffered != nil {
		return g.forwardResponse(r, buffered)
	}
	reason := "the deadline has passed"
	if g.serving.Err() != nil {
		reason = "this process is stopping"
	}
	if ran {
		return refuse(http.StatusGatewayTimeout, "%s", reason)
	}
	return unavailable(g.backoff(r, nil), "%s and it was not sent", reason)
}

// statusCallerLeft stands for the missing response in logs and metrics.
const statusCallerLeft = 499

// backoff returns the time after which a refused caller should retry: when the
// engine model predicts free capacity, or after about the time in which a slot
// becomes free. It is randomized so that callers don't return together.
func (g *Gateway) backoff(r *request, err error) time.Duration {
	if errors.Is(err, errTooLarge) {
		return retryAfterTooLarge
	}
	mean := backoffMean
	var quarantine *quarantineError
	if errors.As(err, &quarantine) {
		return quarantine.retryAfter
	}
	var paused *pausedError
	if errors.As(err, &paused) || errors.As(g.allPaused(r), &paused) {
		return max(10*time.Millisecond, min(paused.until-g.now(), (r.deadline-g.now())/3))
	}
	var full *overloadError
	if errors.As(err, &full) {
		mean = max(mean, time.Duration(full.untilMs*float64(time.Millisecond)))
	}
	d := time.Duration((0.7 + 0.6*g.random()) * float64(mean))
	return max(10*time.Millisecond, min(d, (r.deadline-g.now())/3))
}

// retryAfterTooLarge is the Retry-After of a request that no backend server can
// hold. It is longer than any deadline, as only a larger engine would help.
const retryAfterTooLarge = time.Hour

// backoffMean is the mean time after which a refused caller should retry: about
// the time of a short generation.
const backoffMean = time.Second

// run carries out one attempt.
func (a *attempt) run(ctx context.Context) attemptResult {
	g, r := a.g, a.r
	now := bootclock.Now()
	remaining := r.deadline - now - responseMargin
	if remaining < minAttemptTime/2 || ctx.Err() != nil {
		return callerGone
	}
	runCtx := ctx
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	// The watchdog ends an attempt without progress, so that a backend server
	// that hangs is distinguished from one that works.
	stall := newWatchdog(cancel, a.firstEventLimit(), a.onSilence)
	defer stall.stop()
	a.stall, a.ctx = stall, runCtx
	g.reachability.begin(a, stall)
	defer g.reachability.end(a)
	if len(a.pick.reservations) > 0 {
		if a.err = a.reserve(ctx); a.err != nil {
			return notRun
		}
		defer g.release(r.caller.ID, a.pick.reservations)
		for _, res := range a.pick.reservations {
			go a.renew(ctx, res)
		}
	}
	// The choice may be older than a notice, as reservations take time.
	if a.err = g.noticeError(a.pick.job.backend); a.err != nil {
		noticesRespected.Inc()
		return notRun
	}
	a.sent = bootclock.Now()
	a.sentAt.Store(int64(a.sent))
	a.allowed = allowedTime(r.deadline - a.sent)
	a.openSuccession()
	// While the request is being sent, the attempt may be moved already.
	a.isDirect.Store(!g.isolation.isIsolated())
	response, path, err := g.send(ctx, a.pick.backend, len(r.tried) == 0, exchange.Request{
		Method: r.http.Method, Target: r.http.RequestURI, Host: r.http.Host,
		Header: g.dialect.EncodeDispatch(r.http, r.caller, a.dispatch()), Body: r.body,
		NewConnection: !r.route.Idempotent(),
		Matches:       func(h http.Header) bool { return g.dialect.IsResponseTo(h, r.caller.ID) },
	})
	a.path = path
	a.isDirect.Store(path.isDirect)
	if err != nil {
		return a.handleError(err, stall)
	}
	a.framing = response.Framing()
	defer response.Close()
	a.recordReceived(bootclock.Now())
	g.recordContact(a.pick.backend.FailureDomain)
	info := g.dialect.DecodeResponse(response.Status, response.Header)
	a.recordLimit(info)
	g.recordNotices(a.pick.backend, path, r.caller.ID, info)
	if info.NotRun {
		return a.handleRefusal(response, info)
	}
	a.recordResponder()
	if r.route.Repeat == manifest.RepeatStream && response.Status == http.StatusOK {
		if r.events > 0 && response.Header.Get("Content-Type") != r.contentType {
			a.err = errors.Errorf("%s continues a stream of type %q with type %q", a.pick.backend.ID, r.contentType, response.Header.Get("Content-Type"))
			a.blame(outcomeFailed, bootclock.Now())
			return mayHaveRun
		}
		return a.relayStream(response, stall)
	}
	return a.handleResponse(response, stall)
}

// dispatch returns what the gateway adds to the caller's request.
func (a *attempt) dispatch() Dispatch {
	d := Dispatch{
		BackendServer: a.pick.backend.ID, WaitFor: a.allowed, LastEvent: a.r.caller.LastEvent, Urgency: a.r.urgency(),
	}
	if a.r.account != nil {
		d.Account = a.r.account.Name
	}
	for i, h := range a.pick.helpers {
		helper := Helper{Address: h.Address}
		if i < len(a.pick.reservations) {
			helper.ReservationID = a.pick.reservations[i].id
		}
		d.Helpers = append(d.Helpers, helper)
	}
	return d
}

// urgency returns the urgency of the request at a backend server, 0 being the
// most urgent: ordered by rank, and within a rank by objective. It is -1 for
// requests without prompt tokens or an objective.
func (r *request) urgency() int {
	if r.caller.PromptTokens == 0 || r.route.ObjectiveMs <= 0 {
		return -1
	}
	byTime := 2
	switch o := r.route.ObjectiveMs; {
	case o <= shortObjectiveMs:
		byTime = 0
	case o <= mediumObjectiveMs:
		byTime = 1
	}
	return min(maxUrgency, urgencyLevelsPerRank*r.rank()+byTime)
}

// rank returns by how many levels the request is less urgent than the most
// urgent route of its service.
func (r *request) rank() int {
	return r.version.Manifest.Routing.Rank(r.route, r.account, r.service.Name)
}

const (
	// Requests with objectives up to shortObjectiveMs are served first, those
	// up to mediumObjectiveMs second.
	shortObjectiveMs  = 700
	mediumObjectiveMs = 2_000
	// urgencyLevelsPerRank is the number of urgencies within a rank,
	// maxUrgency the largest value that backend servers accept.
	urgencyLevelsPerRank = 3
	maxUrgency           = 9
)

// handleError returns the result of an exchange that failed and records it in
// the health table.
func (a *attempt) handleError(err error, stall *watchdog) attemptResult {
	a.err = err
	now := bootclock.Now()
	var notSent *exchange.NotSentError
	switch {
	case a.isSuperseded():
		return superseded
	case errors.As(err, &notSent):
		a.sent = 0
		a.uncount()
		if a.isQuarantined.Load() {
			return notRun
		}
		if a.r.http.Context().Err() != nil {
			return callerGone
		}
		o := outcomeUnreachable
		if errors.Is(err, syscall.ECONNREFUSED) {
			o = outcomeDead
		}
		if a.isDirect.Load() {
			a.g.recordConnectFailure(a.pick.backend, a.pick.job.sent)
		}
		if !saysNothing(err) {
			a.blame(o, now)
		}
		return notRun
	case a.isQuarantined.Load():
		return mayHaveRun
	case stall.fired():
		a.recordSilence(now)
		return mayHaveRun
	case a.isOver(now):
		return callerGone
	}
	a.handleBroken()
	return mayHaveRun
}

// isOver reports whether the attempt ends for another reason than its backend server: the
// caller has left, its deadline has passed, this process ends, or the attempt beside which this
// one runs has gone on.
func (a *attempt) isOver(now time.Duration) bool {
	return a.r.http.Context().Err() != nil || a.r.deadline-now <= responseMargin || a.g.serving.Err() != nil || a.successor.mustStop()
}

// recordSilence records the failure of a backend server that gave no response in
// time. If it has sent anything else since the request was sent, it is only
// slow.
func (a *attempt) recordSilence(now time.Duration) {
	o := outcomeUnreachable
	if a.g.health.lastReceived(a.pick.job.backend) > time.Duration(a.sentAt.Load()) {
		o = outcomeFailed
	}
	a.blame(o, now)
}

// blame records a failure of the backend server, unless the own connection of this
// gateway is at fault.
func (a *attempt) blame(o outcome, now time.Duration) {
	if a.isDirect.Load() && a.g.isolation.isIsolated() {
		return
	}
	a.g.health.record(a.pick.job.backend, o, now)
}

// recordReceived records that the backend server has sent something.
func (a *attempt) recordReceived(now time.Duration) {
	a.receivedAt.Store(int64(now))
	if a.isDirect.Load() {
		a.g.isolation.recordReceived(now)
	}
}

// handleRefusal handles a response which states that the request hasn't run.
func (a *attempt) handleRefusal(response *exchange.Response, info ResponseInfo) attemptResult {
	_, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxRefusalBytes))
	a.err = errors.Errorf("%s refused with status %d", a.pick.backend.ID, response.Status)
	if err != nil {
		a.g.log.Debug("read refusal failed", observe.Error(err))
	}
	now := bootclock.Now()
	if h := a.failedHelper(info.FailedBackend); h != nil {
		a.g.health.record(h.Key(), outcomeUnreachable, now)
		return notRun
	}
	if response.Status == http.StatusMisdirectedRequest {
		a.g.health.record(a.pick.job.backend, outcomeUnreachable, now)
		return notRun
	}
	a.g.health.record(a.pick.job.backend, outcomeBusy, now)
	return notRun
}

// failedHelper returns the helper that a response names by id or address, or
// nil.
func (a *attempt) failedHelper(name string) *fleet.BackendServer {
	for _, h := range a.pick.helpers {
		if name != "" && (h.ID == name || h.Address == name) {
			return h
		}
	}
	return nil
}
