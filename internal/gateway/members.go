package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"bilberryhub/internal/bootclock"
	"bilberryhub/internal/control"
	"bilberryhub/internal/fleet"
	"bilberryhub/internal/observe"
	"bilberryhub/internal/wire"
	"bilberryhub/internal/wirepb"
)

const (
	// stateSilence is the silence after which a subscription is reopened:
	// three heartbeats of a state process.
	stateSilence = 1500 * time.Millisecond
	// subscribeProbeInterval is the interval between two probes on a subscription.
	subscribeProbeInterval = 500 * time.Millisecond
	// resubscribeDelay is the pause between two attempts to subscribe.
	resubscribeDelay = 200 * time.Millisecond
	// stateRetention is how long a state process that is no longer listed
	// anywhere is still tried.
	stateRetention = 60 * time.Second
	// gatewayRetention is how long a gateway counts as alive after a state
	// process last listed it or a datagram of it last arrived.
	gatewayRetention = 10 * time.Second
	// backendRetention is how long a backend server without announcements is
	// kept. Partitions are shorter, and a backend server that is gone is
	// detected by its connections.
	backendRetention = 30 * time.Second
)

// members is the membership as this gateway has discovered it: the other
// processes and the backend servers. It subscribes to each known state process.
type members struct {
	g *Gateway

	mu       sync.Mutex
	table    *fleet.Table
	gateways map[string]*gatewayEntry
	states   map[string]*stateEntry
	// version counts the changes of the table.
	version uint64
}

type gatewayEntry struct {
	info   *wirepb.GatewayInfo
	seenAt time.Duration
}

type stateEntry struct {
	cancel context.CancelFunc
	// listedAt is when a settings file or a state process last listed the
	// address.
	listedAt       time.Duration
	lastReceivedAt time.Duration
	uptime         time.Duration
}

func newMembers(g *Gateway) *members {
	return &members{g: g, table: fleet.NewTable(), gateways: map[string]*gatewayEntry{}, states: map[string]*stateEntry{}}
}

// addStates starts a subscription to each address that is new.
func (m *members) addStates(ctx context.Context, addresses []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := bootclock.Now()
	for _, a := range addresses {
		entry := m.states[a]
		if entry == nil {
			sub, cancel := context.WithCancel(ctx)
			entry = &stateEntry{cancel: cancel}
			m.states[a] = entry
			m.g.wg.Go(func() { m.follow(sub, ctx, a) })
		}
		entry.listedAt = now
	}
}

// stateAddresses returns the state processes with a recent message, or all
// known ones if there are none, sorted.
func (m *members) stateAddresses() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := bootclock.Now()
	out := make([]string, 0, len(m.states))
	var silent []string
	for a, entry := range m.states {
		if entry.lastReceivedAt > 0 && now-entry.lastReceivedAt < stateSilence {
			out = append(out, a)
		} else {
			silent = append(silent, a)
		}
	}
	slices.Sort(out)
	if len(out) > 0 {
		return out
	}
	slices.Sort(silent)
	return silent
}

// follow keeps a subscription to one state process open, until ctx ends. parent
// is the context of the subscriptions to the state processes that this one
// lists.
func (m *members) follow(ctx, parent context.Context, address string) {
	lost := true
	for ctx.Err() == nil {
		err := m.runSubscription(ctx, parent, address, &lost)
		if ctx.Err() == nil && !lost {
			lost = true
			m.g.log.Warn("subscription to state process lost", zap.String("address", address), observe.Error(err))
		}
		sleep(ctx, resubscribeDelay)
	}
}

// runSubscription receives from one stream until it fails.
func (m *members) runSubscription(ctx, parent context.Context, address string, lost *bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	client := wire.NewClient(address, m.g.wireOptions())
	defer client.Close()
	watchdog := time.AfterFunc(stateSilence, cancel)
	defer watchdog.Stop()
	st, err := client.Open(ctx, m.subscribe(0))
	if err != nil {
		return err
	}
	defer st.Close()
	go func() {
		for probe := uint64(1); sleep(ctx, subscribeProbeInterval); probe++ {
			if st.Send(m.subscribe(probe)) != nil {
				cancel()
				return
			}
		}
	}()
	for {
		env, err := st.Recv()
		if err != nil {
			return err
		}
		watchdog.Reset(stateSilence)
		u := env.GetFleetUpdate()
		if u == nil {
			continue
		}
		if *lost {
			*lost = false
			m.g.log.Info("subscribed to state process", zap.String("address", address))
		}
		m.mergeUpdate(parent, address, u)
	}
}

// subscribe returns a subscription message. probe counts the probes on a
// subscription; 0 opens it.
func (m *members) subscribe(probe uint64) *wirepb.Envelope {
	return &wirepb.Envelope{Body: &wirepb.Envelope_FleetSubscribe{
		FleetSubscribe: &wirepb.FleetSubscribe{Self: m.g.info(), Probe: probe},
	}}
}

// mergeUpdate merges an update from a state process.
func (m *members) mergeUpdate(ctx context.Context, from string, u *wirepb.FleetUpdate) {
	now := bootclock.Now()
	m.mu.Lock()
	if entry := m.states[from]; entry != nil {
		entry.lastReceivedAt, entry.uptime = now, time.Duration(u.GetUptimeMs())*time.Millisecond
	}
	for _, info := range u.GetBackendServers() {
		for _, b := range m.table.Merge(control.Decode(info, now)) {
			m.version++
			m.g.log.Info("backend server changed", zap.String("backend_server", b.ID), zap.String("address", b.Address),
				zap.String("failure_domain", b.FailureDomain), zap.Bool("draining", b.Draining), zap.Bool("gone", b.Gone),
				zap.String("heard_from", from))
		}
	}
	for _, info := range u.GetGateways() {
		m.recordGateway(info, now)
	}
	m.mu.Unlock()
	m.addStates(ctx, u.GetStateAddresses())
}

// recordGateway records that a gateway is alive. The caller holds the mutex.
func (m *members) recordGateway(info *wirepb.GatewayInfo, now time.Duration) {
	if info.GetId() == "" || info.GetId() == m.g.settings.ID {
		return
	}
	entry := m.gateways[info.GetId()]
	if entry == nil || entry.info.GetIncarnation() != info.GetIncarnation() {
		m.g.log.Info("gateway discovered", zap.String("gateway", info.GetId()), zap.String("address", info.GetAddress()))
		entry = &gatewayEntry{}
		m.gateways[info.GetId()] = entry
	}
	entry.info, entry.seenAt = info, max(entry.seenAt, now)
}

// recordContact records a datagram from a gateway and returns the gateway's
// failure domain, or an empty string for an unknown gateway.
func (m *members) recordContact(id string, now time.Duration) (domain string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	entry := m.gateways[id]
	if entry == nil {
		return ""
	}
	entry.seenAt = max(entry.seenAt, now)
	return entry.info.GetFailureDomain()
}

// sweep drops entries that have expired.
func (m *members) sweep() {
	now := bootclock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, entry := range m.gateways {
		if now-entry.seenAt > gatewayRetention {
			delete(m.gateways, id)
			m.g.log.Info("gateway expired", zap.String("gateway", id), zap.Duration("silent", now-entry.seenAt))
		}
	}
	for a, entry := range m.states {
		if now-max(entry.listedAt, entry.lastReceivedAt) > stateRetention {
			entry.cancel()
			delete(m.states, a)
			m.g.log.Info("state process expired", zap.String("address", a))
		}
	}
	if m.hasStateMajority(now) {
		m.table.Forget(now - backendRetention)
	}
}

// hasStateMajority reports whether more than half of the known state processes
// have sent something recently. The caller holds the mutex.
func (m *members) hasStateMajority(now time.Duration) bool {
	connected := 0
	for _, entry := range m.states {
		if entry.lastReceivedAt > 0 && now-entry.lastReceivedAt < stateSilence {
			connected++
		}
	}
	return connected*2 > len(m.states)
}

// backends returns the backend servers, sorted by id, and the number of live
// gateways, including this one.
func (m *members) backends() (servers []*fleet.BackendServer, gateways int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.All(), len(m.gateways) + 1
}

// count returns the number of live gateways, including this one.
func (m *members) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.gateways) + 1
}

// gatewaysIn returns the ids of the known gateways in a failure domain.
func (m *members) gatewaysIn(domain string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	for id, entry := range m.gateways {
		if entry.info.GetFailureDomain() == domain {
			out = append(out, id)
		}
	}
	return out
}

// addresses returns the datagram addresses of the other gateways, sorted.
func (m *members) addresses() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]string, 0, len(m.gateways))
	for _, entry := range m.gateways {
		out = append(out, entry.info.GetAddress())
	}
	slices.Sort(out)
	return out
}

// sleep waits for d. It reports whether the time passed, and is false if ctx
// ended before.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
