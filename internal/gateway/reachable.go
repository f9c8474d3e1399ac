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

// probeTick is the interval of looks for failure domains that went silent.
const probeTick = 100 * time.Millisecond

var (
	domainsCut = metrics.GetOrCreateCounter(`bilberry_gateway_failure_domains_cut_total`)
	probesSent = metrics.GetOrCreateCounter(`bilberry_gateway_probes_total`)
)

// reachable is what the gateway knows of partitions, with the attempts that a
// partition would leave waiting.
type reachable struct {
	mu    sync.Mutex
	table *reach.Table
	open  map[*attempt]*watch
}

func newReachable() *reachable {
	return &reachable{table: reach.NewTable(), open: map[*attempt]*watch{}}
}

// begin enters an attempt, end removes it.
func (r *reachable) begin(a *attempt, w *watch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open[a] = w
}

func (r *reachable) end(a *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, a)
}

// cut reports whether a failure domain counts as cut off from here.
func (r *reachable) cut(domain string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.IsUnreachable(domain)
}

// heard notes that something has arrived from a failure domain.
func (g *Gateway) heard(domain string) {
	now := bootclock.Now()
	g.reachable.mu.Lock()
	silence := g.reachable.table.SilentFor(domain, now)
	restored := g.reachable.table.RecordContact(domain, now)
	g.reachable.mu.Unlock()
	if restored {
		g.log.Info("failure domain reached again", zap.String("failure_domain", domain), zap.Duration("silent", silence))
	}
}

// notReached notes that a connection, tried at a time, was not made.
func (g *Gateway) notReached(b *fleet.BackendServer, tried time.Duration) {
	now := bootclock.Now()
	g.reachable.mu.Lock()
	silence := g.reachable.table.SilentFor(b.FailureDomain, now)
	cut := g.reachable.table.RecordFailure(b.FailureDomain, b.Key(), tried)
	g.reachable.mu.Unlock()
	if !cut {
		return
	}
	domainsCut.Inc()
	g.book.cutOff(g.members.gatewaysIn(b.FailureDomain))
	moved := g.leave(b.FailureDomain)
	g.log.Warn("failure domain cut off", zap.String("failure_domain", b.FailureDomain), zap.Duration("silent", silence),
		zap.String("backend_server", b.ID), zap.Int("attempts_moved", moved))
}

// leave ends the attempts that wait for a failure domain which was cut off, so
// that they go on elsewhere while their callers still wait, and the idle
// connections to it. It returns the number of attempts.
func (g *Gateway) leave(domain string) int {
	rows, _ := g.members.backends()
	for _, b := range rows {
		if b.FailureDomain == domain {
			g.exchanges.Drop(b.Address)
		}
	}
	now := bootclock.Now()
	g.reachable.mu.Lock()
	defer g.reachable.mu.Unlock()
	moved := 0
	for a, w := range g.reachable.open {
		if a.needs(domain) && a.mayMove(now) {
			w.fire()
			moved++
		}
	}
	return moved
}

// needs reports whether an attempt cannot go on without a failure domain. Helpers
// are needed until the first event, and later if they hold memory.
func (a *attempt) needs(domain string) bool {
	if a.pick.backend.FailureDomain == domain {
		return true
	}
	if a.writing.Load() && len(a.pick.tickets) == 0 {
		return false
	}
	return slices.ContainsFunc(a.pick.helpers, func(h *fleet.BackendServer) bool { return h.FailureDomain == domain })
}

// probe connects to backend servers of failure domains that went silent.
func (g *Gateway) probe(ctx context.Context) {
	for sleep(ctx, probeTick) {
		rows, _ := g.members.backends()
		domains := map[string][]uint64{}
		byKey := map[uint64]*fleet.BackendServer{}
		for _, b := range rows {
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

func (g *Gateway) nextProbe(domain string, keys []uint64) (uint64, bool) {
	now := bootclock.Now()
	g.reachable.mu.Lock()
	defer g.reachable.mu.Unlock()
	if !g.reachable.table.TakeProbe(domain, now) {
		return 0, false
	}
	return g.reachable.table.NextTarget(domain, keys, now)
}

func (g *Gateway) probeOne(ctx context.Context, b *fleet.BackendServer) {
	tried := bootclock.Now()
	probesSent.Inc()
	err := g.exchanges.Probe(ctx, b.Address)
	switch {
	case err == nil:
		g.heard(b.FailureDomain)
	case ctx.Err() == nil:
		g.log.Info("probe not answered", zap.String("backend_server", b.ID), zap.String("failure_domain", b.FailureDomain), observe.Error(err))
		g.notReached(b, tried)
	}
}
