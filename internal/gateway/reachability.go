package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"bilberryhub/internal/bootclock"
	"bilberryhub/internal/fleet"
	"bilberryhub/internal/observe"
	"bilberryhub/internal/reach"
)

const (
	// probeCheckInterval is the shortest time between two checks of the failure
	// domains for silence.
	probeCheckInterval = 100 * time.Millisecond
	// localDetailSuspectAfter replaces reach.SuspectAfter where other failure domains
	// send summaries only: two senders in turn, one of which may be lost.
	localDetailSuspectAfter = 2 * summaryInterval
)

var (
	domainsUnreachable = metrics.GetOrCreateCounter(`bilberry_gateway_failure_domains_cut_total`)
	probesSent         = metrics.GetOrCreateCounter(`bilberry_gateway_probes_total`)
)

// reachability tracks which failure domains are reachable, and the running
// attempts, each of which may hang in a partition.
type reachability struct {
	mu       sync.Mutex
	table    *reach.Table
	attempts map[*attempt]*watchdog
}

func newReachability() *reachability {
	return &reachability{table: reach.NewTable(), attempts: map[*attempt]*watchdog{}}
}

// begin adds an attempt, end removes it.
func (r *reachability) begin(a *attempt, w *watchdog) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts[a] = w
}

func (r *reachability) end(a *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.attempts, a)
}

// unreachable reports whether a failure domain counts as unreachable from this
// gateway.
func (r *reachability) unreachable(domain string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.IsUnreachable(domain)
}

// recordContact records that something was received from a failure domain.
func (g *Gateway) recordContact(domain string) {
	now := bootclock.Now()
	g.reachability.mu.Lock()
	silence := g.reachability.table.SilentFor(domain, now)
	restored := g.reachability.table.RecordContact(domain, now)
	g.reachability.mu.Unlock()
	if restored {
		g.log.Info("failure domain reachable again", zap.String("failure_domain", domain), zap.Duration("silent", silence))
	}
}

// recordConnectFailure records that a connection attempt, started at the time
// tried, failed.
func (g *Gateway) recordConnectFailure(b *fleet.BackendServer, tried time.Duration) {
	now := bootclock.Now()
	g.reachability.mu.Lock()
	silence := g.reachability.table.SilentFor(b.FailureDomain, now)
	unreachable := g.reachability.table.RecordFailure(b.FailureDomain, b.Key(), tried)
	g.reachability.mu.Unlock()
	if !unreachable {
		return
	}
	domainsUnreachable.Inc()
	g.workTable.markUnreachable(g.members.gatewaysIn(b.FailureDomain))
	moved := g.failOver(b.FailureDomain)
	g.log.Warn("failure domain unreachable", zap.String("failure_domain", b.FailureDomain), zap.Duration("silent", silence),
		zap.String("backend_server", b.ID), zap.Int("attempts_moved", moved))
}

// failOver moves the attempts that wait for a failure domain which became
// unreachable, so that they continue elsewhere while their callers still wait.
// It also closes the idle connections to the failure domain. It returns the
// number of attempts moved.
func (g *Gateway) failOver(domain string) int {
	servers, _ := g.members.backends()
	for _, b := range servers {
		if b.FailureDomain == domain {
			g.exchanges.Drop(b.Address)
		}
	}
	now := bootclock.Now()
	g.reachability.mu.Lock()
	defer g.reachability.mu.Unlock()
	moved := 0
	for a, w := range g.reachability.attempts {
		if a.dependsOn(domain) && a.canFailOver(now) && a.move(w, causeFailureDomain) {
			moved++
		}
	}
	return moved
}

// dependsOn reports whether an attempt can't continue without a failure domain.
// Helpers are needed until the first event, and later if they hold memory.
func (a *attempt) dependsOn(domain string) bool {
	if a.pick.backend.FailureDomain == domain {
		return true
	}
	if a.firstEventSeen.Load() && len(a.pick.reservations) == 0 {
		return false
	}
	return slices.ContainsFunc(a.pick.helpers, func(h *fleet.BackendServer) bool { return h.FailureDomain == domain })
}

// probeLoop connects to backend servers of failure domains that are silent,
// until ctx ends.
func (g *Gateway) probeLoop(ctx context.Context) {
	for sleep(ctx, g.untilNextProbe()) {
		servers, _ := g.members.backends()
		domains := map[string][]uint64{}
		byKey := map[uint64]*fleet.BackendServer{}
		for _, b := range servers {
			if b.Usable() {
				domains[b.FailureDomain] = append(domains[b.FailureDomain], b.Key())
				byKey[b.Key()] = b
			}
		}
		for domain, keys := range domains {
			if key, ok := g.nextProbe(domain, keys); ok {
				g.wg.Go(func() { g.probeOne(ctx, byKey[key]) })
			}
		}
	}
}

// untilNextProbe returns the time until a failure domain may be due to be probed, at
// least probeCheckInterval.
func (g *Gateway) untilNextProbe() time.Duration {
	isLocalDetail := g.members.isLocalDetail()
	g.reachability.mu.Lock()
	defer g.reachability.mu.Unlock()
	g.reachability.table.SuspectAfter = 0
	if isLocalDetail {
		g.reachability.table.SuspectAfter = localDetailSuspectAfter
	}
	now := bootclock.Now()
	return max(probeCheckInterval, g.reachability.table.NextProbe(now)-now)
}

// nextProbe returns the backend server of a failure domain that is due to be
// probed, if any.
func (g *Gateway) nextProbe(domain string, keys []uint64) (uint64, bool) {
	now := bootclock.Now()
	g.reachability.mu.Lock()
	defer g.reachability.mu.Unlock()
	if !g.reachability.table.TakeProbe(domain, now) {
		return 0, false
	}
	return g.reachability.table.NextTarget(domain, keys, now)
}

// probeOne probes one backend server and records the result.
func (g *Gateway) probeOne(ctx context.Context, b *fleet.BackendServer) {
	tried := bootclock.Now()
	probesSent.Inc()
	err := g.exchanges.Probe(ctx, b.Address)
	if ctx.Err() == nil {
		g.recordDial(b, tried, err)
	}
	switch {
	case err == nil:
		g.recordContact(b.FailureDomain)
	case ctx.Err() == nil:
		g.log.Info("probe failed", zap.String("backend_server", b.ID), zap.String("failure_domain", b.FailureDomain), observe.Error(err))
		g.recordConnectFailure(b, tried)
	}
}
