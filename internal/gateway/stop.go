package gateway

import (
	"context"
	"math"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"bilberryhub/internal/bootclock"
	"bilberryhub/internal/observe"
)

const (
	// balancerNoticeTime is the time from the first "not ready" response until
	// no new connections arrive: the load balancer checks each second and acts
	// on the second failure.
	balancerNoticeTime = 2300 * time.Millisecond
	// stopMargin is the part of the grace time that is reserved for the
	// process to exit.
	stopMargin = 700 * time.Millisecond
	// failTime is the part of stopMargin in which requests that are open at the end of the
	// grace time get their final response.
	failTime = 300 * time.Millisecond
	// retryAfterStop is the Retry-After of a process that stops: the balancer sends the
	// caller elsewhere at once.
	retryAfterStop = 10 * time.Millisecond
)

var (
	lateRequests   = metrics.GetOrCreateCounter(`bilberry_gateway_stop_requests_refused_total`)
	failedRequests = metrics.GetOrCreateCounter(`bilberry_gateway_stop_requests_failed_total`)
)

// Stop shuts the process down gracefully. It reports not ready and serves new requests
// until the load balancer has noticed. From then on it serves only those that must end
// within the grace time, and refuses the others before they are passed on: a caller whose
// request is cut can't know whether it has run. Requests that are open at the end of the
// grace time get a response that says so. It always returns nil.
func (g *Gateway) Stop() error {
	began := bootclock.Now()
	g.stopping.Store(true)
	g.log.Info("stopping", zap.Int64("open_requests", g.open.Load()))
	grace := seconds(g.settings.GraceSeconds) - stopMargin
	time.Sleep(min(balancerNoticeTime, grace/2))
	end := began + grace
	g.acceptsUntil.Store(int64(end))
	_ = g.callerListener.Close()
	ctx, cancel := context.WithTimeout(context.Background(), max(0, end-bootclock.Now()))
	defer cancel()
	err := g.callerConns.Drain(ctx, g.callers)
	g.waitForPeers(ctx)
	g.acceptsUntil.Store(math.MinInt64)
	if err == nil {
		// Requests that have begun since the connections were last counted.
		err = g.callerConns.Drain(ctx, g.callers)
	}
	if err != nil {
		g.failOpenRequests()
	}
	g.log.Info("stopped", zap.Int64("open_requests", g.open.Load()), observe.Error(err))
	g.Close()
	return nil
}

// failOpenRequests ends the open requests, and waits up to failTime until their final
// responses were sent.
func (g *Gateway) failOpenRequests() {
	failedRequests.Add(int(g.open.Load()))
	g.log.Warn("requests are open at the end of the grace time", zap.Int64("open_requests", g.open.Load()))
	g.endServing()
	ctx, cancel := context.WithTimeout(context.Background(), failTime)
	defer cancel()
	_ = g.callerConns.Drain(ctx, g.callers)
}

// checkStop returns the refusal of a request that can't surely end before this process
// does, or nil.
func (g *Gateway) checkStop(r *request) error {
	until := g.acceptsUntil.Load()
	if until == 0 || int64(r.deadline) <= until {
		return nil
	}
	lateRequests.Inc()
	return unavailable(retryAfterStop, "this process is stopping")
}
