package gateway

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"bilberryhub/internal/bootclock"
	"bilberryhub/internal/fleet"
	"bilberryhub/internal/observe"
	"bilberryhub/internal/reach"
	"bilberryhub/internal/wirepb"
)

const (
	// doubtCheckInterval is the time between two checks for a lost path while connections
	// fail. busyCheckInterval replaces it while requests run, and idleCheckInterval while
	// there are none.
	doubtCheckInterval = 100 * time.Millisecond
	busyCheckInterval  = 300 * time.Millisecond
	idleCheckInterval  = time.Second
	// crashConfirmTimeout bounds the confirmation of a crash by another gateway.
	crashConfirmTimeout = 300 * time.Millisecond
)

var isolations = metrics.GetOrCreateCounter(`bilberry_gateway_isolated_total`)

// isolation tracks whether this gateway can connect to backend servers itself.
type isolation struct {
	mu    sync.Mutex
	state reach.Isolation
	// failed is signaled when a connection has failed.
	failed chan struct{}
}

func newIsolation() *isolation { return &isolation{failed: make(chan struct{}, 1)} }

// wait waits for d or until a connection fails. It is false if ctx ends before.
func (i *isolation) wait(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-i.failed:
	case <-ctx.Done():
		return false
	}
	return true
}

func (i *isolation) isIsolated() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.state.IsIsolated()
}

// isInDoubt reports whether connections fail.
func (i *isolation) isInDoubt() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.state.IsInDoubt()
}

// usesOwnConnection decides whether a request is sent on an own connection.
func (i *isolation) usesOwnConnection(now time.Duration, random float64) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.state.UsesOwnConnection(now, random)
}

// recordReceived records that something was received on an own connection.
func (i *isolation) recordReceived(now time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.state.RecordReceived(now)
}

// takeProbe reports whether a backend server should be probed now.
func (i *isolation) takeProbe(waitingSince, now time.Duration) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.state.TakeProbe(waitingSince, now)
}

// recordDial records the result of an attempt of this gateway to connect to a backend
// server, which began at started.
func (g *Gateway) recordDial(b *fleet.BackendServer, started time.Duration, err error) {
	servers, _ := g.members.backends()
	known := reach.Known{Servers: max(1, len(servers)), Domains: max(1, countDomains(servers))}
	server := reach.Server{Key: b.Key(), Domain: b.FailureDomain}
	now := bootclock.Now()
	g.isolation.mu.Lock()
	state := &g.isolation.state
	var isolated, restored bool
	switch {
	case err == nil:
		restored = state.RecordConnected(server, known, now)
	case isTimeout(err):
		isolated = state.RecordTimeout(server, known, started, now)
		signal(g.isolation.failed)
	default:
		isolated = state.RecordFailure(server, known, started, now)
		signal(g.isolation.failed)
	}
	since := state.Since()
	g.isolation.mu.Unlock()
	switch {
	case isolated:
		g.beginIsolation(since, b, err)
	case restored:
		g.shareIsolation()
		g.log.Info("backend servers can be connected to again", zap.Duration("isolated", now-since), zap.String("backend_server", b.ID))
	}
}

// countDomains returns the number of failure domains of backend servers.
func countDomains(servers []*fleet.BackendServer) int {
	domains := map[string]bool{}
	for _, b := range servers {
		domains[b.FailureDomain] = true
	}
	return len(domains)
}

// isTimeout reports whether an attempt to connect had no response in time.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// beginIsolation moves what depends on own connections to those of other gateways, and
// drops the blame that backend servers got meanwhile.
func (g *Gateway) beginIsolation(since time.Duration, b *fleet.BackendServer, err error) {
	isolations.Inc()
	g.health.forgive(since)
	servers, _ := g.members.backends()
	for _, server := range servers {
		g.exchanges.Drop(server.Address)
	}
	moved := g.moveSilentAttempts(since)
	g.shareIsolation()
	g.log.Warn("no backend server can be connected to; other gateways connect", zap.String("backend_server", b.ID),
		observe.Error(err), zap.Duration("since", bootclock.Now()-since), zap.Int("attempts_moved", moved))
}

// moveSilentAttempts moves the attempts on own connections that received nothing since a
// time, so that they continue elsewhere while their callers still wait. Connections that
// live on are left alone: an attempt is silent only after reach.SuspectAfter, since
// connections may fail within less time than passes between two events, or until a response
// begins. It returns the number of attempts moved.
func (g *Gateway) moveSilentAttempts(since time.Duration) int {
	now := bootclock.Now()
	g.reachability.mu.Lock()
	defer g.reachability.mu.Unlock()
	moved := 0
	for a, w := range g.reachability.attempts {
		if a.isDirect.Load() && a.isSilent(since, now) && a.canFailOver(now) && a.move(w, causeLostPath) {
			moved++
		}
	}
	return moved
}

// isSilent reports whether an attempt that was sent has received nothing since a time, nor
// for reach.SuspectAfter.
func (a *attempt) isSilent(since, now time.Duration) bool {
	received := time.Duration(a.receivedAt.Load())
	return received < since && max(time.Duration(a.sentAt.Load()), received) < now-reach.SuspectAfter
}

// moveLaterSilent moves the attempts that have fallen silent in an isolation.
func (g *Gateway) moveLaterSilent() {
	g.isolation.mu.Lock()
	isIsolated, since := g.isolation.state.IsIsolated(), g.isolation.state.Since()
	g.isolation.mu.Unlock()
	if !isIsolated {
		return
	}
	if moved := g.moveSilentAttempts(since); moved > 0 {
		g.log.Info("attempts have fallen silent while other gateways connect", zap.Int("attempts_moved", moved))
	}
}

// waitingSince returns when the first of the attempts began that use an own connection,
// or 0 if there is none.
func (r *reachability) waitingSince() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := time.Duration(0)
	for a := range r.attempts {
		if a.isDirect.Load() && (first == 0 || a.pick.job.sent < first) {
			first = a.pick.job.sent
		}
	}
	return first
}

// probeInDoubt connects to backend servers while it is in doubt whether this gateway can,
// until ctx ends.
func (g *Gateway) probeInDoubt(ctx context.Context) {
	for g.isolation.wait(ctx, g.doubtCheckInterval()) {
		g.moveLaterSilent()
		if !g.isolation.takeProbe(g.reachability.waitingSince(), bootclock.Now()) {
			continue
		}
		if b := g.doubtTarget(); b != nil {
			g.wg.Go(func() { g.probeOne(ctx, b) })
		}
	}
}

// doubtCheckInterval returns the time until the next check for a lost path.
func (g *Gateway) doubtCheckInterval() time.Duration {
	switch {
	case g.isolation.isInDoubt():
		return doubtCheckInterval
	case g.open.Load() > 0:
		return busyCheckInterval
	}
	return idleCheckInterval
}

// doubtTarget returns the backend server to probe, or nil if there is none.
func (g *Gateway) doubtTarget() *fleet.BackendServer {
	servers, _ := g.members.backends()
	var targets []reach.Server
	byKey := map[uint64]*fleet.BackendServer{}
	for _, b := range servers {
		if b.Usable() {
			targets = append(targets, reach.Server{Key: b.Key(), Domain: b.FailureDomain})
			byKey[b.Key()] = b
		}
	}
	g.isolation.mu.Lock()
	defer g.isolation.mu.Unlock()
	target, _ := g.isolation.state.NextTarget(targets, g.random())
	return byKey[target.Key]
}

// refusesConnections reports whether a backend server surely refuses connections.
func (g *Gateway) refusesConnections(ctx context.Context, b *fleet.BackendServer) bool {
	refuses, isSure := g.checkRefusal(ctx, b)
	return refuses && isSure
}

// checkRefusal reports whether a backend server refuses connections, according to another
// gateway as well if there is one that can tell: on a lost path, connections may be refused
// too. The refusal isn't sure if the path seems lost and no other gateway can tell.
func (g *Gateway) checkRefusal(ctx context.Context, b *fleet.BackendServer) (refuses, isSure bool) {
	if !g.isolation.isIsolated() && !g.refusesOwnConnection(ctx, b) {
		return false, true
	}
	peerCtx, cancel := context.WithTimeout(ctx, crashConfirmTimeout)
	defer cancel()
	conn, _, err := g.dialThroughPeer(peerCtx, b)
	switch {
	case err == nil:
		_ = conn.Close()
		return false, true
	case !saysNothing(err):
		return errors.Is(err, syscall.ECONNREFUSED), true
	case !g.isolation.isIsolated():
		return true, true
	}
	return g.refusesOwnConnection(ctx, b), false
}

// refusesOwnConnection reports whether a backend server refuses a connection of this
// gateway.
func (g *Gateway) refusesOwnConnection(ctx context.Context, b *fleet.BackendServer) bool {
	ctx, cancel := context.WithTimeout(ctx, crashProbeTimeout)
	defer cancel()
	started := bootclock.Now()
	err := g.exchanges.Probe(ctx, b.Address)
	if err == nil || ctx.Err() == nil {
		g.recordDial(b, started, err)
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// dialedByPeer records a connection that this gateway made for another one.
func (g *Gateway) dialedByPeer(b *fleet.BackendServer, err error) {
	if b != nil && err == nil {
		g.recordDial(b, bootclock.Now(), nil)
	}
}

// shareIsolation tells the gateways of all failure domains whether this one is isolated:
// those anywhere may ask it to connect.
func (g *Gateway) shareIsolation() {
	if g.members.isLocalDetail() {
		g.sendToAll(&wirepb.LoadShare{})
		return
	}
	signal(g.workTable.added)
}
