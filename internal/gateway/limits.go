package gateway

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"bilberryhub/internal/bootclock"
	"bilberryhub/internal/requestlimit"
	"bilberryhub/internal/wirepb"
)

var (
	limitsChanged = metrics.GetOrCreateCounter(`bilberry_gateway_request_limits_changed_total`)
	limitsApplied = metrics.GetOrCreateCounter(`bilberry_gateway_backend_servers_limited_total`)
)

// limits holds the request rates that backend servers take from all gateways together.
type limits struct {
	mu    sync.Mutex
	table *requestlimit.Table
}

func newLimits() *limits { return &limits{table: requestlimit.NewTable()} }

// recordLimit records what the response to an attempt says of a limit, and tells the
// other gateways if it has changed. A refusal that names no limit doesn't end one.
func (a *attempt) recordLimit(info ResponseInfo) {
	if !info.HasRequestLimit && info.NotRun {
		return
	}
	now, key, l := bootclock.Now(), a.pick.job.backend, a.g.limits
	l.mu.Lock()
	var changed bool
	if info.HasRequestLimit {
		changed = l.table.RecordLimit(now, key, info.RequestLimit)
	} else {
		changed = l.table.RecordNoLimit(now, key)
	}
	l.mu.Unlock()
	if !changed {
		return
	}
	limitsChanged.Inc()
	a.g.log.Info("limit of a backend server changed", zap.String("backend_server", a.pick.backend.ID),
		zap.String("request_id", a.r.caller.ID), zap.Bool("limited", info.HasRequestLimit), zap.Float64("per_second", info.RequestLimit))
	a.g.sendToAll(&wirepb.LoadShare{RequestLimits: l.message(now)})
}

// allowsRequest reports whether this gateway may send a request to a backend server, and
// whether it should do so only if others are busy, because of a limit.
func (g *Gateway) allowsRequest(backend uint64, now time.Duration) (spare, allowed bool) {
	g.limits.mu.Lock()
	defer g.limits.mu.Unlock()
	if !g.limits.table.IsLimited(backend) {
		return false, true
	}
	return g.limits.table.ShouldSpare(now, backend), g.limits.table.Allows(now, backend, g.members.sender())
}

// takePermit counts a request to a backend server against its limit, if it has one.
func (g *Gateway) takePermit(backend uint64, now time.Duration) {
	g.limits.mu.Lock()
	defer g.limits.mu.Unlock()
	g.limits.table.Take(now, backend)
}

// message returns the limits for the other gateways.
func (l *limits) message(now time.Duration) []*wirepb.RequestLimit {
	list := l.list()
	out := make([]*wirepb.RequestLimit, 0, len(list))
	for _, limit := range list {
		out = append(out, &wirepb.RequestLimit{
			Backend: limit.Backend, PerSecond: limit.PerSecond, Lifted: limit.Lifted,
			SinceMs: ageMs(now, limit.Since), AgeMs: ageMs(now, limit.At),
		})
	}
	return out
}

// mergeLimits records the limits that another gateway knows.
func (g *Gateway) mergeLimits(list []*wirepb.RequestLimit) {
	if len(list) == 0 {
		return
	}
	now := bootclock.Now()
	g.limits.mu.Lock()
	defer g.limits.mu.Unlock()
	for _, m := range list {
		changed := g.limits.table.Merge(requestlimit.Limit{
			Backend: m.GetBackend(), PerSecond: m.GetPerSecond(), Lifted: m.GetLifted(),
			Since: now - milliseconds(int64(m.GetSinceMs())), At: now - milliseconds(int64(m.GetAgeMs())),
		})
		if changed {
			limitsChanged.Inc()
		}
	}
}

func (l *limits) expire(now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.Expire(now)
}

// list returns the limits, for the state dump and for other gateways.
func (l *limits) list() []requestlimit.Limit {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Limits()
}
