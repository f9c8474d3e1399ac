package gateway

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"bilberryhub/internal/bootclock"
)

// crashProbeTimeout bounds the connection attempt that tells a crash from a broken
// connection. The VM of a crashed process refuses it within a round trip.
const crashProbeTimeout = 100 * time.Millisecond

var (
	brokenAttempts   = metrics.GetOrCreateCounter(`bilberry_gateway_attempts_broken_total`)
	confirmedCrashes = metrics.GetOrCreateCounter(`bilberry_gateway_attempts_crashed_total`)
)

// handleBroken records an attempt that broke off before the first event of its
// response, or before its response if that is not a stream. It distinguishes a crash of
// the backend server, which the request may have caused, from a broken connection.
func (a *attempt) handleBroken() {
	brokenAttempts.Inc()
	isCrash := a.g.hasCrashed(a.pick.backend)
	now := bootclock.Now()
	o := outcomeFailed
	if isCrash {
		o = outcomeDead
		confirmedCrashes.Inc()
	}
	a.blame(o, now)
	a.g.log.Warn("attempt broke off before its response", zap.String("request_id", a.r.caller.ID),
		zap.String("backend_server", a.pick.backend.ID), zap.Bool("crash", isCrash),
		zap.Strings("prompt_parts", a.r.caller.PromptParts), zap.Int("open_there", a.pick.open))
	if isCrash {
		a.g.recordCrash(a.pick.job.backend, a.r.features, now)
	}
}
