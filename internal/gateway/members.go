package gateway

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"bilberryhub/internal/bootclock"
	"bilberryhub/internal/fleet"
	"bilberryhub/internal/fleetclient"
	"bilberryhub/internal/fleetfeed"
	"bilberryhub/internal/requestlimit"
	"bilberryhub/internal/wire"
	"bilberryhub/internal/wirepb"
)

const (
	// sessionKeepAlive is the time between two pings of a session with a state
	// process. Its silence is detected by its updates.
	sessionKeepAlive = 10 * time.Second
	// maxLoggedNames limits the names in one log line.
	maxLoggedNames = 8
	// stateRetention is how long a state process that is no longer listed
	// anywhere is still tried.
	stateRetention = 60 * time.Second
	// gatewayRetention is how long a gateway that no state process lists any more
	// counts as alive after its last datagram.
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
	// clients holds the sessions with the state processes, which the subscription to
	// the configuration shares.
	clients *wire.Pool

	mu       sync.Mutex
	table    *fleet.Table
	gateways map[string]*gatewayEntry
	states   map[string]*stateEntry
	// cluster is the id of the cluster of the first state process that named one.
	cluster string
	// sorted caches the backend servers by id; it is nil after a change of the table.
	// own caches the keys of those of this failure domain in sorted.
	sorted []*fleet.BackendServer
	own    map[uint64]bool
	// version counts the changes of the table.
	version uint64
}

type gatewayEntry struct {
	info *wirepb.GatewayInfo
	// address is the parsed address of info; it is invalid if that can't be parsed.
	address netip.AddrPort
	// seenAt is when a datagram last arrived, or when a state process last listed it.
	seenAt time.Duration
	// listedBy are the addresses of the state processes at which it is subscribed.
	listedBy []string
	// isolated is set if it said last that it can connect to no backend server. It is not
	// asked to connect before avoidUntil.
	isolated   bool
	avoidUntil time.Duration
}

// unlist records that the gateway is not subscribed at a state process any more.
func (e *gatewayEntry) unlist(state string, now time.Duration) {
	if i := slices.Index(e.listedBy, state); i >= 0 {
		e.listedBy = slices.Delete(e.listedBy, i, i+1)
		e.seenAt = max(e.seenAt, now)
	}
}

type stateEntry struct {
	cancel context.CancelFunc
	// listedAt is when a settings file or a state process last listed the
	// address.
	listedAt       time.Duration
	lastReceivedAt time.Duration
}

func newMembers(g *Gateway) *members {
	return &members{
		g: g, clients: wire.NewPool(g.wireOptions()), table: fleet.NewTable(),
		gateways: map[string]*gatewayEntry{}, states: map[string]*stateEntry{},
	}
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
			f := &fleetclient.Follower{
				Address: a, Clients: m.clients, Self: m.g.info(), Log: m.g.log,
				Updated: func(u *wirepb.FleetUpdate) { m.mergeUpdate(ctx, a, u) },
				Lost:    func() { m.unlistAll(a) },
			}
			m.g.wg.Go(func() { f.Run(sub) })
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
		if entry.lastReceivedAt > 0 && now-entry.lastReceivedAt < fleetclient.Silence {
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

// mergeUpdate merges an update from a state process.
func (m *members) mergeUpdate(ctx context.Context, from string, u *wirepb.FleetUpdate) {
	now := bootclock.Now()
	m.mu.Lock()
	if entry := m.states[from]; entry != nil {
		entry.lastReceivedAt = now
	}
	if m.cluster == "" {
		m.cluster = u.GetCluster()
	}
	if len(u.GetBackendServers())+len(u.GetRefreshed()) > 0 {
		m.sorted = nil
	}
	for _, info := range u.GetBackendServers() {
		for _, b := range m.table.Merge(fleetfeed.Decode(info, now)) {
			m.version++
			m.g.log.Info("backend server changed", zap.String("backend_server", b.ID), zap.String("address", b.Address),
				zap.String("failure_domain", b.FailureDomain), zap.Bool("draining", b.Draining), zap.Bool("gone", b.Gone),
				zap.String("heard_from", from))
		}
	}
	for _, r := range u.GetRefreshed() {
		m.table.Refresh(r.GetId(), r.GetSequence(), now-milliseconds(int64(r.GetAgeMs())))
	}
	m.mergeGateways(from, u, now)
	m.mu.Unlock()
	m.addStates(ctx, u.GetStateAddresses())
}

// mergeGateways records the gateways that an update lists as subscribed to its sender,
// or as departed from it. The caller holds the mutex.
func (m *members) mergeGateways(from string, u *wirepb.FleetUpdate, now time.Duration) {
	if u.GetComplete() {
		m.unlistAllLocked(from, now)
	}
	var discovered []string
	for _, info := range u.GetGateways() {
		entry, isNew := m.recordGateway(info, now)
		if entry == nil {
			continue
		}
		if isNew {
			discovered = append(discovered, info.GetId())
		}
		// A sender without positions doesn't tell of departures.
		if u.GetPosition() > 0 && !slices.Contains(entry.listedBy, from) {
			entry.listedBy = append(entry.listedBy, from)
		}
	}
	for _, id := range u.GetDepartedGateways() {
		if entry := m.gateways[id]; entry != nil {
			entry.unlist(from, now)
		}
	}
	if len(discovered) > 0 {
		m.g.log.Info("gateways discovered", zap.Int("count", len(discovered)),
			zap.Strings("first", discovered[:min(maxLoggedNames, len(discovered))]), zap.Int("gateways", len(m.gateways)+1))
	}
}

// unlistAll records that a state process lists no gateways any more, because the
// subscription to it has ended.
func (m *members) unlistAll(state string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unlistAllLocked(state, bootclock.Now())
}

// unlistAllLocked is unlistAll. The caller holds the mutex.
func (m *members) unlistAllLocked(state string, now time.Duration) {
	for _, entry := range m.gateways {
		entry.unlist(state, now)
	}
}

// recordGateway records that a gateway is alive. It returns nil for this gateway
// itself, and whether this start of the gateway was not known. The caller holds the
// mutex.
func (m *members) recordGateway(info *wirepb.GatewayInfo, now time.Duration) (entry *gatewayEntry, isNew bool) {
	if info.GetId() == "" || info.GetId() == m.g.settings.ID {
		return nil, false
	}
	entry = m.gateways[info.GetId()]
	if entry == nil {
		entry = &gatewayEntry{}
		m.gateways[info.GetId()] = entry
	}
	isNew = entry.info.GetIncarnation() != info.GetIncarnation()
	if isNew || entry.info.GetAddress() != info.GetAddress() {
		address, err := netip.ParseAddrPort(info.GetAddress())
		if err != nil {
			m.g.log.Warn("gateway has an invalid address", zap.String("gateway", info.GetId()), zap.String("address", info.GetAddress()))
		}
		entry.address = address
	}
	entry.info, entry.seenAt = info, max(entry.seenAt, now)
	return entry, isNew
}

// recordContact records a datagram from a gateway, and whether it is isolated, and
// returns the gateway's failure domain, or an empty string for an unknown gateway.
func (m *members) recordContact(id string, isolated bool, now time.Duration) (domain string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	entry := m.gateways[id]
	if entry == nil {
		return ""
	}
	entry.seenAt = max(entry.seenAt, now)
	entry.isolated = isolated
	return entry.info.GetFailureDomain()
}

// sweep drops entries that have expired.
func (m *members) sweep() {
	now := bootclock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, entry := range m.gateways {
		if len(entry.listedBy) == 0 && now-entry.seenAt > gatewayRetention {
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
		m.sorted = nil
	}
}

// hasStateMajority reports whether more than half of the known state processes
// have sent something recently. The caller holds the mutex.
func (m *members) hasStateMajority(now time.Duration) bool {
	connected := 0
	for _, entry := range m.states {
		if entry.lastReceivedAt > 0 && now-entry.lastReceivedAt < fleetclient.Silence {
			connected++
		}
	}
	return connected*2 > len(m.states)
}

// backends returns the backend servers, sorted by id, and the number of live
// gateways, including this one. The caller must not change the slice.
func (m *members) backends() (servers []*fleet.BackendServer, gateways int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sortedLocked(), len(m.gateways) + 1
}

// sortedLocked returns the backend servers, sorted by id. The caller holds the mutex.
func (m *members) sortedLocked() []*fleet.BackendServer {
	if m.sorted == nil {
		m.sorted, m.own = m.table.All(), nil
	}
	return m.sorted
}

// ownBackends returns the keys of the backend servers of this failure domain. The caller
// must not change the map.
func (m *members) ownBackends() map[uint64]bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	servers := m.sortedLocked()
	if m.own == nil {
		m.own = map[uint64]bool{}
		for _, b := range servers {
			if b.FailureDomain == m.g.settings.FailureDomain {
				m.own[b.Key()] = true
			}
		}
	}
	return m.own
}

// domains returns the failure domains of the known gateways, with that of this one.
func (m *members) domains() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := []string{m.g.settings.FailureDomain}
	seen := map[string]bool{m.g.settings.FailureDomain: true}
	for _, entry := range m.gateways {
		if d := entry.info.GetFailureDomain(); !seen[d] {
			seen[d] = true
			out = append(out, d)
		}
	}
	return out
}

// backend returns the backend server with an id, or nil.
func (m *members) backend(id string) *fleet.BackendServer {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Get(id)
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

// minRelayDomain is the number of relaying gateways in another failure domain from
// which on one of them relays the load shares to the others: fewer copies cross the
// boundary of the failure domain, at the cost of one hop.
const minRelayDomain = 4

// shareTargets returns the datagram addresses of the gateways that a load share is sent
// to directly, and of those that relay it. For each load share another gateway of a
// failure domain relays, so that one that is lost costs a few of them only.
func (m *members) shareTargets() (direct, relays []netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	remote := map[string][]netip.AddrPort{}
	for _, entry := range m.gateways {
		domain := entry.info.GetFailureDomain()
		switch {
		case !entry.address.IsValid():
		case domain == m.g.settings.FailureDomain || !entry.info.GetRelays():
			direct = append(direct, entry.address)
		default:
			remote[domain] = append(remote[domain], entry.address)
		}
	}
	for _, addresses := range remote {
		if len(addresses) < minRelayDomain {
			direct = append(direct, addresses...)
			continue
		}
		relays = append(relays, addresses[rand.IntN(len(addresses))])
	}
	return direct, relays
}

// batcher returns the gateway of this failure domain that collects load shares: the one
// at position skip of an order that all of them share. The address is invalid if that is
// this gateway.
func (m *members) batcher(skip int) netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	order := []rankedAddress{{hash: xxhash.Sum64String(m.g.settings.ID)}}
	for id, entry := range m.gateways {
		if entry.info.GetFailureDomain() == m.g.settings.FailureDomain && entry.info.GetRelays() && entry.address.IsValid() {
			order = append(order, rankedAddress{xxhash.Sum64String(id), entry.address})
		}
	}
	slices.SortFunc(order, rankedAddress.compare)
	return order[skip%len(order)].address
}

// domainAddresses returns the datagram addresses of the other gateways in the failure
// domain of this one.
func (m *members) domainAddresses() []netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []netip.AddrPort
	for _, entry := range m.gateways {
		if entry.info.GetFailureDomain() == m.g.settings.FailureDomain && entry.address.IsValid() {
			out = append(out, entry.address)
		}
	}
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

// sender returns the position of this gateway in an order that all gateways share.
func (m *members) sender() requestlimit.Sender {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := requestlimit.Sender{Count: len(m.gateways) + 1}
	for id := range m.gateways {
		if id < m.g.settings.ID {
			s.Position++
		}
	}
	return s
}

// isTurnOf reports whether this gateway is the first one for a key in the order of a
// turn that all gateways share.
func (m *members) isTurnOf(key, turn uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	position := func(id string) uint64 {
		data := binary.LittleEndian.AppendUint64([]byte(id), key)
		return xxhash.Sum64(binary.LittleEndian.AppendUint64(data, turn))
	}
	self := position(m.g.settings.ID)
	for id := range m.gateways {
		if position(id) < self {
			return false
		}
	}
	return true
}
