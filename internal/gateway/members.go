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
	// stateSilence is the silence after which a subscription is opened anew: three
	// heartbeats of a state process.
	stateSilence = 1500 * time.Millisecond
	// subscribeProbe is the interval of probes on a subscription.
	subscribeProbe = 500 * time.Millisecond
	// resubscribeAfter is the pause between two attempts.
	resubscribeAfter = 200 * time.Millisecond
	// forgetState is how long a state process that nobody names is still tried.
	forgetState = 60 * time.Second
	// forgetGateway is how long a gateway counts after it was last named or heard.
	forgetGateway = 10 * time.Second
	// forgetBackend is how long a backend server without announcements is kept.
	// Cuts last shorter, and one that is gone is found out by its connections.
	forgetBackend = 30 * time.Second
)

// members is what the gateway knows of the other processes and the backend
// servers. It subscribes to every state process that it hears of.
type members struct {
	g *Gateway

	mu       sync.Mutex
	table    *fleet.Table
	gateways map[string]*gatewayRow
	states   map[string]*stateRow
	// version counts the changes of the table.
	version uint64
}

type gatewayRow struct {
	info   *wirepb.GatewayInfo
	seenAt time.Duration
}

type stateRow struct {
	cancel context.CancelFunc
	// namedAt is when a settings file or a state process last named the address.
	namedAt time.Duration
	heardAt time.Duration
	uptime  time.Duration
}

func newMembers(g *Gateway) *members {
	return &members{g: g, table: fleet.NewTable(), gateways: map[string]*gatewayRow{}, states: map[string]*stateRow{}}
}

// name starts a subscription to each address that is new.
func (m *members) name(ctx context.Context, addresses []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := bootclock.Now()
	for _, a := range addresses {
		row := m.states[a]
		if row == nil {
			sub, cancel := context.WithCancel(ctx)
			row = &stateRow{cancel: cancel}
			m.states[a] = row
			m.g.wg.Go(func() { m.follow(sub, ctx, a) })
		}
		row.namedAt = now
	}
}

// stateAddresses returns the known state processes, those heard lately first.
func (m *members) stateAddresses() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := bootclock.Now()
	out := make([]string, 0, len(m.states))
	var silent []string
	for a, row := range m.states {
		if row.heardAt > 0 && now-row.heardAt < stateSilence {
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

// follow keeps a subscription to one state process.
func (m *members) follow(ctx, parent context.Context, address string) {
	lost := true
	for ctx.Err() == nil {
		err := m.subscription(ctx, parent, address, &lost)
		if ctx.Err() == nil && !lost {
			lost = true
			m.g.log.Warn("state process lost", zap.String("address", address), observe.Error(err))
		}
		sleep(ctx, resubscribeAfter)
	}
}

// subscription follows one stream until it fails.
func (m *members) subscription(ctx, parent context.Context, address string, lost *bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	client := wire.NewClient(address, m.g.wireOptions())
	defer client.Close()
	watch := time.AfterFunc(stateSilence, cancel)
	defer watch.Stop()
	st, err := client.Open(ctx, m.subscribe(0))
	if err != nil {
		return err
	}
	defer st.Close()
	go func() {
		for probe := uint64(1); sleep(ctx, subscribeProbe); probe++ {
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
		watch.Reset(stateSilence)
		u := env.GetFleetUpdate()
		if u == nil {
			continue
		}
		if *lost {
			*lost = false
			m.g.log.Info("state process heard", zap.String("address", address))
		}
		m.take(parent, address, u)
	}
}

func (m *members) subscribe(probe uint64) *wirepb.Envelope {
	return &wirepb.Envelope{Body: &wirepb.Envelope_FleetSubscribe{
		FleetSubscribe: &wirepb.FleetSubscribe{Self: m.g.info(), Probe: probe},
	}}
}

// take merges an update.
func (m *members) take(ctx context.Context, from string, u *wirepb.FleetUpdate) {
	now := bootclock.Now()
	m.mu.Lock()
	if row := m.states[from]; row != nil {
		row.heardAt, row.uptime = now, time.Duration(u.GetUptimeMs())*time.Millisecond
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
		m.seen(info, now)
	}
	m.mu.Unlock()
	m.name(ctx, u.GetStateAddresses())
}

// seen notes that a gateway is alive. The caller holds the mutex.
func (m *members) seen(info *wirepb.GatewayInfo, now time.Duration) {
	if info.GetId() == "" || info.GetId() == m.g.settings.ID {
		return
	}
	row := m.gateways[info.GetId()]
	if row == nil || row.info.GetIncarnation() != info.GetIncarnation() {
		m.g.log.Info("gateway heard", zap.String("gateway", info.GetId()), zap.String("address", info.GetAddress()))
		row = &gatewayRow{}
		m.gateways[info.GetId()] = row
	}
	row.info, row.seenAt = info, max(row.seenAt, now)
}

// heard notes a datagram of a gateway and returns the gateway's failure domain,
// or nothing for an unknown gateway.
func (m *members) heard(id string, now time.Duration) (domain string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	row := m.gateways[id]
	if row == nil {
		return ""
	}
	row.seenAt = max(row.seenAt, now)
	return row.info.GetFailureDomain()
}

// sweep drops what was not heard of for long.
func (m *members) sweep() {
	now := bootclock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, row := range m.gateways {
		if now-row.seenAt > forgetGateway {
			delete(m.gateways, id)
			m.g.log.Info("gateway forgotten", zap.String("gateway", id), zap.Duration("silent", now-row.seenAt))
		}
	}
	for a, row := range m.states {
		if now-max(row.namedAt, row.heardAt) > forgetState {
			row.cancel()
			delete(m.states, a)
			m.g.log.Info("state process forgotten", zap.String("address", a))
		}
	}
	if m.inTouch(now) {
		m.table.Forget(now - forgetBackend)
	}
}

// inTouch reports whether more than half of the known state processes were heard
// lately. The caller holds the mutex.
func (m *members) inTouch(now time.Duration) bool {
	heard := 0
	for _, row := range m.states {
		if row.heardAt > 0 && now-row.heardAt < stateSilence {
			heard++
		}
	}
	return heard*2 > len(m.states)
}

// backends returns the backend servers, sorted by id, and the number of live
// gateways, this one included.
func (m *members) backends() (rows []*fleet.BackendServer, gateways int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.All(), len(m.gateways) + 1
}

// count returns the number of live gateways, this one included.
func (m *members) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.gateways) + 1
}

// gatewaysIn returns the known gateways in a failure domain.
func (m *members) gatewaysIn(domain string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	for id, row := range m.gateways {
		if row.info.GetFailureDomain() == domain {
			out = append(out, id)
		}
	}
	return out
}

// addresses returns where datagrams to the other gateways go.
func (m *members) addresses() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]string, 0, len(m.gateways))
	for _, row := range m.gateways {
		out = append(out, row.info.GetAddress())
	}
	slices.Sort(out)
	return out
}

// sleep reports false when ctx ended before d.
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
