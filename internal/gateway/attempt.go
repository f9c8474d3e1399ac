package gateway

import (
	"context"
	"net/http"
	"strconv"
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
	// defaultMaxAttempts bounds the backend servers for one request where the
	// route states nothing.
	defaultMaxAttempts = 2
	// maxAnswerBytes bounds the answer of a plain service.
	maxAnswerBytes = 32 << 20
	// maxChoices bounds the backend servers tried for one request, with those to
	// which no connection was made.
	maxChoices = 5
	// answerMargin is kept of the deadline for the way of the final answer.
	answerMargin = 20 * time.Millisecond
	// minAttempt is the least time for which another attempt is worth it.
	minAttempt = 30 * time.Millisecond
)

// verdict is how an attempt ended.
type verdict int

const (
	// served: the caller has a whole answer.
	served verdict = iota
	// notRun: the request was not sent, or the backend server states that it has
	// not run it.
	notRun
	// mayHaveRun: it was sent, and no whole answer came.
	mayHaveRun
	// answered: the backend server has answered with a failure, which is kept.
	answered
	// callerGone: the caller has left, or the deadline has passed.
	callerGone
)

// attempt is one request at one backend server.
type attempt struct {
	g    *Gateway
	r    *request
	pick *pick
	sent time.Duration
	// kept is a whole answer that was no success.
	kept *keptAnswer
	err  error
	// firstMs is the time to the first event, and pauseMs the longest pause between
	// two events.
	firstMs, pauseMs float64
	// writing is set from the first event on; also read by others.
	writing atomic.Bool
}

// keptAnswer is an answer that is passed on if no better one comes.
type keptAnswer struct {
	status int
	header http.Header
	body   []byte
}

// run sends a request to backend servers until it is answered.
func (g *Gateway) run(ctx context.Context, r *request) error {
	g.budget.request(r.service.Name, bootclock.Now())
	var kept *keptAnswer
	ran := false
	var last error
	for {
		p, err := g.chooseOrWait(ctx, r)
		if errors.Is(err, errGone) {
			return g.expired(ctx, r, ran, kept)
		}
		if err != nil {
			if kept != nil {
				return g.passOn(r, kept)
			}
			return g.notChosen(r, err, ran)
		}
		a := &attempt{g: g, r: r, pick: p}
		v := a.run(ctx)
		g.book.remove(append(p.helperJobs, p.job)...)
		g.logAttempt(a, v)
		switch v {
		case served:
			return nil
		case callerGone:
			return g.expired(ctx, r, ran || a.sent > 0, kept)
		case answered:
			kept, ran = a.kept, true
		case mayHaveRun:
			ran = true
		}
		last = a.err
		r.tried = append(r.tried, p.backend.ID)
		if len(r.tried) >= maxChoices || !g.mayRepeat(r, a.sent > 0, ran) {
			break
		}
	}
	if kept != nil {
		return g.passOn(r, kept)
	}
	if ran {
		return refuse(http.StatusBadGateway, "the outcome is unknown: %v", last)
	}
	return unavailable(g.backoff(r, last), "no backend server has run it: %v", last)
}

// errGone says that the caller has left, or that its deadline has passed.
var errGone = errors.New("the caller waits no longer")

// chooseOrWait picks a backend server, at once or as soon as it costs the
// requests that run there less.
func (g *Gateway) chooseOrWait(ctx context.Context, r *request) (*pick, error) {
	for {
		p, err := g.choose(r, r.service, r.tried)
		if !errors.Is(err, errLater) {
			return p, err
		}
		if r.waited == 0 {
			g.log.Info("request waits", zap.String("request_id", r.caller.ID), zap.Int64("prompt_tokens", r.caller.PromptTokens),
				zap.Duration("config_age", r.configAge), zap.Float64("at_most_ms", waitShare*r.route.ObjectiveMs))
		}
		step := time.Duration((0.5 + g.random()) * placement.WaitStepMs * float64(time.Millisecond))
		if !sleep(ctx, step) {
			return nil, errGone
		}
		r.waited += step
	}
}

// attemptLimit is the number of backend servers that a request may be sent to.
func (r *request) attemptLimit() int {
	if r.route.MaxAttempts > 0 {
		return r.route.MaxAttempts
	}
	return defaultMaxAttempts
}

// repeatable reports whether the given attempt at a request may be made, where
// ran says that an earlier one may have run.
func (g *Gateway) repeatable(r *request, attempt int, ran bool) bool {
	return attempt <= r.attemptLimit() && (!ran || r.route.Idempotent()) &&
		r.deadline-bootclock.Now() >= minAttempt+answerMargin
}

// mayRepeat reports whether a request may be sent to another backend server, and
// counts the repeat where the last one was sent.
func (g *Gateway) mayRepeat(r *request, sent, ran bool) bool {
	if !g.repeatable(r, r.attempts+1, ran) {
		return false
	}
	return !sent || g.budget.take(r.service.Name, g.members.count(), bootclock.Now())
}

// notChosen returns the final answer of a request that found no backend server.
func (g *Gateway) notChosen(r *request, err error, ran bool) error {
	if ran {
		return refuse(http.StatusBadGateway, "the outcome is unknown, and %v", errors.Cause(err))
	}
	return unavailable(g.backoff(r, err), "%v", errors.Cause(err))
}

// expired returns the final answer at the deadline, or of a caller that left.
func (g *Gateway) expired(ctx context.Context, r *request, ran bool, kept *keptAnswer) error {
	if errors.Is(r.http.Context().Err(), context.Canceled) && !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		r.outcome, r.status = "caller left", statusCallerLeft
		panic(http.ErrAbortHandler)
	}
	if kept != nil {
		return g.passOn(r, kept)
	}
	if ran {
		return refuse(http.StatusGatewayTimeout, "the deadline has passed")
	}
	return unavailable(g.backoff(r, nil), "the deadline has passed before it was sent")
}

// statusCallerLeft stands for the missing answer in logs and metrics.
const statusCallerLeft = 499

// backoff is when a refused caller should come back: when the model expects
// room, or after about the time in which a slot becomes free; spread so that
// callers do not return together.
func (g *Gateway) backoff(r *request, err error) time.Duration {
	if errors.Is(err, errTooLarge) {
		return neverMind
	}
	mean := backoffMean
	var full *fullError
	if errors.As(err, &full) {
		mean = max(mean, time.Duration(full.untilMs*float64(time.Millisecond)))
	}
	d := time.Duration((0.7 + 0.6*g.random()) * float64(mean))
	return max(10*time.Millisecond, min(d, (r.deadline-bootclock.Now())/3))
}

// neverMind tells callers of a request that no backend server can hold not to come
// back within any deadline: only a larger engine would help.
const neverMind = time.Hour

// backoffMean is the mean time after which a refused caller comes back: about
// the time of a short generation.
const backoffMean = time.Second

// run carries out one attempt.
func (a *attempt) run(ctx context.Context) verdict {
	g, r := a.g, a.r
	now := bootclock.Now()
	left := r.deadline - now - answerMargin
	if left < minAttempt/2 {
		return callerGone
	}
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	// A backend server that is silent for long has to be told apart from one that
	// works; the timer ends an attempt without progress.
	silence := newWatch(cancel, a.firstEventLimit(), a.waitOn)
	defer silence.stop()
	g.reachable.begin(a, silence)
	defer g.reachable.end(a)
	if len(a.pick.tickets) > 0 {
		if a.err = a.reserve(ctx); a.err != nil {
			return notRun
		}
		defer g.release(r.caller.ID, a.pick.tickets)
		go a.renew(ctx)
	}
	a.sent = now
	r.attempts++
	answer, err := g.exchanges.Do(ctx, exchange.Request{
		Address: a.pick.backend.Address, Method: r.http.Method, Target: r.http.RequestURI, Host: r.http.Host,
		Header: g.dialect.EncodeDispatch(r.http, r.caller, a.dispatch(left)), Body: r.body,
		Fresh: !r.route.Idempotent(),
		Mine:  func(h http.Header) bool { return g.dialect.Mine(h, r.caller.ID) },
	})
	if err != nil {
		return a.noAnswer(err, silence)
	}
	defer answer.Close()
	g.heard(a.pick.backend.FailureDomain)
	info := g.dialect.DecodeAnswer(answer.Status, answer.Header)
	if info.NotRun {
		return a.refused(answer, info)
	}
	r.backend = a.pick.backend.ID
	if r.route.Repeat == manifest.RepeatStream && answer.Status == http.StatusOK {
		return a.relay(answer, silence)
	}
	return a.whole(answer, silence)
}

func (a *attempt) dispatch(left time.Duration) Dispatch {
	d := Dispatch{
		BackendServer: a.pick.backend.ID, WaitFor: left, LastEvent: a.r.caller.LastEvent, Urgency: a.r.urgency(),
	}
	if a.r.account != nil {
		d.Account = a.r.account.Name
	}
	for i, h := range a.pick.helpers {
		helper := Helper{Address: h.Address}
		if i < len(a.pick.tickets) {
			helper.Ticket = a.pick.tickets[i].id
		}
		d.Helpers = append(d.Helpers, helper)
	}
	return d
}

// urgency orders requests at a backend server: by their rank, and within a rank
// those with little time first.
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
	return min(leastUrgent, urgencyPerRank*r.rank()+byTime)
}

// rank is how many steps the request is less urgent than the most urgent route
// of its service.
func (r *request) rank() int {
	return r.version.Manifest.Routing.Rank(r.route, r.account, r.service.Name)
}

const (
	// Objectives up to these are served first and second.
	shortObjectiveMs  = 700
	mediumObjectiveMs = 2_000
	// urgencyPerRank is the number of urgencies within a rank, and leastUrgent the
	// largest one that backend servers know.
	urgencyPerRank = 3
	leastUrgent    = 9
)

// noAnswer judges an exchange that failed.
func (a *attempt) noAnswer(err error, silence *watch) verdict {
	a.err = err
	now := bootclock.Now()
	var notSent *exchange.NotSentError
	switch {
	case errors.As(err, &notSent):
		a.sent = 0
		a.r.attempts--
		if a.r.http.Context().Err() != nil {
			return callerGone
		}
		o := outcomeUnreachable
		if errors.Is(err, syscall.ECONNREFUSED) {
			o = outcomeDead
		}
		a.g.notReached(a.pick.backend, a.pick.job.sent)
		a.g.health.note(a.pick.job.backend, o, now)
		return notRun
	case silence.fired():
		a.noteSilence(now)
		return mayHaveRun
	case a.r.http.Context().Err() != nil || a.r.deadline-now <= answerMargin:
		return callerGone
	}
	a.g.health.note(a.pick.job.backend, outcomeFailed, now)
	return mayHaveRun
}

// noteSilence judges a backend server that gave no answer in time. One that has
// given other signs of life is slow and no more.
func (a *attempt) noteSilence(now time.Duration) {
	o := outcomeUnreachable
	if now-a.g.health.lastSign(a.pick.job.backend) < now-a.sent {
		o = outcomeFailed
	}
	a.g.health.note(a.pick.job.backend, o, now)
}

// refused handles the statement that the request has not run.
func (a *attempt) refused(answer *exchange.Answer, info AnswerInfo) verdict {
	_, err := answer.ReadAll(maxAnswerBytes)
	a.err = errors.Errorf("%s refused with status %d", a.pick.backend.ID, answer.Status)
	if err != nil {
		a.g.log.Debug("refusal not read", observe.Error(err))
	}
	now := bootclock.Now()
	if h := a.atFault(info.AtFault); h != nil {
		a.g.health.note(h.Key(), outcomeUnreachable, now)
		return notRun
	}
	if answer.Status == http.StatusMisdirectedRequest {
		a.g.health.note(a.pick.job.backend, outcomeUnreachable, now)
		return notRun
	}
	a.g.health.note(a.pick.job.backend, outcomeBusy, now)
	return notRun
}

// atFault returns the helper that an answer names, or nil.
func (a *attempt) atFault(name string) *fleet.BackendServer {
	for _, h := range a.pick.helpers {
		if name != "" && (h.ID == name || h.Address == name) {
			return h
		}
	}
	return nil
}

// whole reads an answer that is no stream and passes a success on.
func (a *attempt) whole(answer *exchange.Answer, silence *watch) verdict {
	body, err := answer.ReadAll(maxAnswerBytes)
	now := bootclock.Now()
	if err != nil {
		a.err = err
		if a.r.http.Context().Err() != nil || (a.r.deadline-now <= answerMargin && !silence.fired()) {
			return callerGone
		}
		a.g.health.note(a.pick.job.backend, outcomeFailed, now)
		return mayHaveRun
	}
	kept := &keptAnswer{status: answer.Status, header: answer.Header, body: body}
	if answer.Status >= http.StatusInternalServerError {
		a.g.health.note(a.pick.job.backend, outcomeFailed, now)
		a.kept, a.err = kept, errors.Errorf("%s answered with status %d", a.pick.backend.ID, answer.Status)
		return answered
	}
	a.g.health.note(a.pick.job.backend, outcomeServed, now)
	if err := a.g.passOn(a.r, kept); err != nil {
		a.err = err
		return callerGone
	}
	return served
}

// passOn sends an answer of a backend server to the caller, unchanged.
func (g *Gateway) passOn(r *request, k *keptAnswer) error {
	if r.status != 0 {
		return errors.New("the answer has begun with another one")
	}
	h := r.w.Header()
	for name, values := range g.dialect.AnswerHeader(k.header) {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		// Keeps net/http from guessing one.
		h["Content-Type"] = nil
	}
	h.Set("Content-Length", strconv.Itoa(len(k.body)))
	r.status, r.outcome = k.status, "passed on"
	r.w.WriteHeader(k.status)
	_, err := r.w.Write(k.body)
	return errors.Annotate(err, "write answer")
}

func (g *Gateway) logAttempt(a *attempt, v verdict) {
	names := [...]string{"served", "not run", "may have run", "answered with a failure", "caller gone"}
	helpers := make([]string, 0, len(a.pick.helpers))
	for _, h := range a.pick.helpers {
		helpers = append(helpers, h.ID)
	}
	now := bootclock.Now()
	g.log.Info("attempt ended", zap.String("request_id", a.r.caller.ID), zap.Int("attempt", len(a.r.tried)+1),
		zap.String("backend_server", a.pick.backend.ID), zap.String("outcome", names[v]), zap.Strings("helpers", helpers),
		zap.Float64("predicted_ms", a.pick.predictedMs), zap.Int64("prompt_tokens", a.r.caller.PromptTokens), zap.Float64("waited_ms", ms(a.r.waited)), zap.Int64("output_tokens", a.r.caller.OutputTokens),
		zap.Int64("expected_output_tokens", a.r.caller.ExpectedOutputTokens),
		zap.Int("open_there", a.pick.open), zap.Float64("slowness", a.pick.slowness), zap.Int("candidates", a.pick.candidates),
		zap.Float64("first_event_ms", a.firstMs), zap.Float64("longest_pause_ms", a.pauseMs),
		zap.Duration("announced_ago", a.pick.job.sent-a.pick.backend.SeenAt), zap.Uint64("config_index", a.r.version.Index),
		zap.Duration("config_age", a.r.configAge), zap.Float64("took_ms", ms(now-a.pick.job.sent)), observe.Error(a.err))
}
