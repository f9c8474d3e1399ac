package gateway

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"bilberryhub/internal/bootclock"
	"bilberryhub/internal/observe"
)

// bodyEnd is how the body of a response has ended.
type bodyEnd struct {
	// kind is empty if the end was not read.
	kind string
	// at is when the end was read.
	at time.Duration
}

// The kinds of ends.
const (
	// endOrderly is the end that the framing marks. The next ones look like it and don't count;
	// see endError.
	endOrderly    = "orderly"
	endAtDeadline = "at the deadline"
	endMemoryLost = "memory lost"
	endOfProcess  = "end of the process"
	// endBroken is any other one; the error of the attempt tells which.
	endBroken = "broken"
)

// recordEnd records how the body of the response has ended at now; err is nil if it is
// complete.
func (a *attempt) recordEnd(err error, now time.Duration) {
	a.end = bodyEnd{kind: endOrderly, at: now}
	switch {
	case errors.Is(err, errEndAtDeadline):
		a.end.kind = endAtDeadline
	case errors.Is(err, errMemoryLost):
		a.end.kind = endMemoryLost
	case errors.Is(err, errProcessEnded):
		a.end.kind = endOfProcess
	case err != nil:
		a.end.kind = endBroken
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`bilberry_gateway_response_ends_total{framing=%q,end=%q}`, a.framing, a.end.kind)).Inc()
}

// responseFields returns the log fields of the path of an attempt and of the response.
func (a *attempt) responseFields() []zap.Field {
	fields := []zap.Field{zap.Float64("allowed_ms", ms(a.allowed)), zap.Float64("caller_left_ms", ms(a.r.deadline-bootclock.Now()))}
	if a.path.gateway != "" {
		fields = append(fields, zap.String("through_gateway", a.path.gateway))
	}
	if a.stall != nil {
		if cause := a.stall.cause.Load(); cause != nil {
			fields = append(fields, zap.String("canceled_for", string(*cause)))
		}
	}
	if a.successor != nil {
		fields = append(fields, zap.String("beside", a.successor.of.pick.backend.ID))
	}
	if a.end.kind != "" {
		fields = append(fields, zap.String("framing", string(a.framing)), zap.String("body_end", a.end.kind),
			zap.Float64("body_ended_ms", ms(a.end.at-a.sent)), zap.String("last_event", a.r.caller.LastEvent), zap.Int("events", a.r.events))
	}
	return fields
}

// logAttempt logs the end of an attempt.
func (g *Gateway) logAttempt(a *attempt, result attemptResult) {
	names := [...]string{"served", "not run", "may have run", "answered with a failure", "caller gone", "superseded"}
	helpers := make([]string, 0, len(a.pick.helpers))
	for _, h := range a.pick.helpers {
		helpers = append(helpers, h.ID)
	}
	now := bootclock.Now()
	fields := append(a.responseFields(), zap.String("request_id", a.r.caller.ID), zap.Int("attempt", a.try),
		zap.String("backend_server", a.pick.backend.ID), zap.String("outcome", names[result]), zap.Strings("helpers", helpers),
		zap.Float64("predicted_ms", a.pick.predictedMs), zap.Int64("prompt_tokens", a.r.caller.PromptTokens), zap.Float64("waited_ms", ms(a.r.waited)), zap.Int64("output_tokens", a.r.caller.OutputTokens),
		zap.Int64("expected_output_tokens", a.r.caller.ExpectedOutputTokens),
		zap.Int("open_there", a.pick.open), zap.Float64("slowness", a.pick.slowness), zap.Int("candidates", a.pick.candidates),
		zap.Float64("first_event_ms", a.firstMs), zap.Float64("longest_pause_ms", a.pauseMs),
		zap.Duration("announced_ago", a.pick.job.sent-a.pick.backend.SeenAt), zap.Uint64("config_index", a.r.version.Index),
		zap.Duration("config_age", a.r.configAge), zap.Float64("took_ms", ms(now-a.pick.job.sent)), observe.Error(a.err))
	g.log.Info("attempt ended", fields...)
}
