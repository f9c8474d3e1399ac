package gateway

import (
	"context"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
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
	isCrash := a.backendCrashed()
	now := bootclock.Now()
	o := outcomeFailed
	if isCrash {
		o = outcomeDead
		confirmedCrashes.Inc()
	}
	a.g.health.record(a.pick.job.backend, o, now)
	a.g.log.Warn("attempt broke off before its response", zap.String("request_id", a.r.caller.ID),
		zap.String("backend_server", a.pick.backend.ID), zap.Bool("crash", isCrash),
		zap.Strings("prompt_parts", a.r.caller.PromptParts), zap.Int("open_there", a.pick.open))
	if isCrash {
		a.g.recordCrash(a.pick.job.backend, a.r.features, now)
	}
}

// backendCrashed reports whether the process of the backend server has ended without an
// announcement: its VM refuses connections.
func (a *attempt) backendCrashed() bool {
	if b := a.g.members.backend(a.pick.backend.ID); b == nil || b.Key() != a.pick.job.backend || !b.Usable() {
		return false
	}
	ctx, cancel := context.WithTimeout(a.g.ctx, crashProbeTimeout)
	defer cancel()
	return errors.Is(a.g.exchanges.Probe(ctx, a.pick.backend.Address), syscall.ECONNREFUSED)
}
