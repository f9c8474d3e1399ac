// Package fleetfeed turns what a control process knows about backend servers and
// gateways into one numbered series of updates that all its subscribers share.
//
// Changes are collected for a short time, and each update is encoded once, so that a
// change costs the control process one encoding and one write for each subscriber,
// whatever the number of gateways and backend servers. A subscriber that joins, or
// that is too far behind, gets one complete update and then the updates after it. A
// gateway that joins is one entry of the next update to the others, not a new list of
// all gateways. Complete updates are shared as well: those that join within
// completeInterval get the same one.
//
// The package has no clock and no I/O. Times are those of the boot clock of the
// process.
package fleetfeed

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"bilberryhub/internal/fleet"
	"bilberryhub/internal/wire"
	"bilberryhub/internal/wirepb"
)

const (
	// CollectInterval is the shortest time between two updates, but for those about
	// backend servers that leave: UrgentInterval.
	CollectInterval = 100 * time.Millisecond
	UrgentInterval  = 20 * time.Millisecond
	// RegularInterval is the time after which an update is made even if nothing has
	// changed. Subscribers treat the control process as silent after several of them.
	RegularInterval = 800 * time.Millisecond
	// completeInterval is how long a complete update is used for subscribers that join.
	completeInterval = 250 * time.Millisecond
	// maxKeptUpdates is the number of updates that are kept for subscribers that are
	// behind, about 6 s of continuous changes.
	maxKeptUpdates = 64
	// retention is how long a backend server is kept after its last announcement. One
	// that has left is kept as well, so that its delayed announcements are recognized;
	// the delays are of the order of seconds.
	retention = 60 * time.Second
)

// Feed holds the tables of one control process and the updates made from them. It is
// not safe for concurrent use.
type Feed struct {
	table *fleet.Table
	// gateways holds the subscribed gateways by id.
	gateways map[string]*gateway
	// addresses are the state processes that the updates name, and cluster is the id of their
	// cluster.
	addresses []string
	cluster   string

	// changed holds the ids of backend servers that wait for the next update, and
	// refreshed those that have only been announced again.
	// peerChanged holds those that have changed at another control process.
	changed, peerChanged, refreshed map[string]struct{}
	// isUrgent is set if some of changed are leaving.
	isUrgent bool
	// joined and departed hold the ids of gateways that wait for the next update.
	joined, departed map[string]struct{}

	// updates holds the latest updates; the last one has position last.
	updates []*wire.Prepared
	last    uint64
	builtAt time.Duration
	// complete is the latest complete update. It covers completePosition.
	complete         *wire.Prepared
	completePosition uint64
	completeBuiltAt  time.Duration
}

// gateway is a subscribed gateway. It may hold several subscriptions for a moment,
// because the control process may notice the end of an old one late.
type gateway struct {
	info          *wirepb.GatewayInfo
	subscriptions int
}

// New returns a feed with empty tables. now is the time of the boot clock.
func New(now time.Duration) *Feed {
	return &Feed{
		table: fleet.NewTable(), gateways: map[string]*gateway{}, builtAt: now,
		changed: map[string]struct{}{}, peerChanged: map[string]struct{}{}, refreshed: map[string]struct{}{},
		joined: map[string]struct{}{}, departed: map[string]struct{}{},
	}
}

// Subscribe records a subscription of a gateway. The other subscribers are told with
// the next regular update.
func (f *Feed) Subscribe(info *wirepb.GatewayInfo) {
	id := info.GetId()
	g := f.gateways[id]
	if g == nil {
		g = &gateway{}
		f.gateways[id] = g
	}
	if g.info.GetIncarnation() != info.GetIncarnation() || g.subscriptions == 0 {
		f.joined[id] = struct{}{}
		delete(f.departed, id)
	}
	g.info = info
	g.subscriptions++
}

// Unsubscribe records the end of a subscription that Subscribe has recorded.
func (f *Feed) Unsubscribe(id string) {
	g := f.gateways[id]
	if g == nil {
		return
	}
	g.subscriptions--
	if g.subscriptions == 0 {
		delete(f.gateways, id)
		delete(f.joined, id)
		f.departed[id] = struct{}{}
	}
}

// Gateways returns the sorted ids of the subscribed gateways.
func (f *Feed) Gateways() []string { return slices.Sorted(maps.Keys(f.gateways)) }

// IsSubscribed reports whether a gateway is subscribed.
func (f *Feed) IsSubscribed(id string) bool { return f.gateways[id] != nil }

// Subscribed returns the number of subscribed gateways.
func (f *Feed) Subscribed() int { return len(f.gateways) }

// Servers returns the backend servers, sorted by id.
func (f *Feed) Servers() []*fleet.BackendServer { return f.table.All() }

// Announce merges an announcement and returns the backend servers that it has changed.
func (f *Feed) Announce(b fleet.BackendServer) []*fleet.BackendServer {
	changed := f.table.Merge(b)
	f.markChanged(changed)
	f.refreshed[b.ID] = struct{}{}
	return changed
}

// MergePeer merges a backend server that another control process has sent, and returns
// the backend servers that this has changed. Subscribers get them from that process as
// well, so that they wait for the next regular update.
func (f *Feed) MergePeer(b fleet.BackendServer) []*fleet.BackendServer {
	changed := f.table.Merge(b)
	for _, c := range changed {
		f.peerChanged[c.ID] = struct{}{}
	}
	return changed
}

// RefreshPeer merges a refresh that another control process has sent, received at
// seenAt.
func (f *Feed) RefreshPeer(id string, sequence uint64, seenAt time.Duration) {
	f.table.Refresh(id, sequence, seenAt)
}

// Leave records that a backend server has left and returns the backend servers that
// this has changed. BornMs is the start of its lifetime in Unix milliseconds, or 0 if
// it is not known.
func (f *Feed) Leave(id string, bornMs uint64, now time.Duration) []*fleet.BackendServer {
	var changed []*fleet.BackendServer
	if f.table.Get(id) == nil {
		// Another process may have its announcements; the gateways merge the updates
		// of all processes.
		changed = f.table.Merge(fleet.BackendServer{ID: id, Gone: true, BornMs: bornMs, SeenAt: now})
	} else {
		changed = f.table.Leave(id, bornMs)
	}
	f.markChanged(changed)
	return changed
}

func (f *Feed) markChanged(servers []*fleet.BackendServer) {
	for _, b := range servers {
		f.changed[b.ID] = struct{}{}
		f.isUrgent = f.isUrgent || !b.Usable()
	}
}

// RemoveUnencodable removes the backend servers that can't be encoded, and returns them. All
// subscribers then get a complete update next: those made so far may hold such an entry.
func (f *Feed) RemoveUnencodable(now time.Duration) []*fleet.BackendServer {
	var removed []*fleet.BackendServer
	for _, b := range f.table.All() {
		if _, err := proto.Marshal(Encode(b, now)); err != nil {
			f.table.Remove(b.ID)
			removed = append(removed, b)
		}
	}
	if len(removed) > 0 {
		f.updates, f.complete = nil, nil
	}
	return removed
}

// SetStates sets the addresses of the state processes and the id of their cluster.
func (f *Feed) SetStates(addresses []string, cluster string) {
	f.addresses, f.cluster = addresses, cluster
}

// Interval returns the shortest time between the last update and the next one:
// UrgentInterval if a backend server leaves, CollectInterval if one has changed
// otherwise, and RegularInterval if none has.
func (f *Feed) Interval() time.Duration {
	switch {
	case f.isUrgent:
		return UrgentInterval
	case len(f.changed) > 0:
		return CollectInterval
	}
	return RegularInterval
}

// Build makes the next update if it is due.
func (f *Feed) Build(now time.Duration) {
	if now-f.builtAt >= f.Interval() {
		f.build(now)
	}
}

// Position returns the position of the last update, and whether backend servers have
// changed since.
func (f *Feed) Position() (last uint64, hasChanges bool) { return f.last, len(f.changed) > 0 }

// build makes the next update.
func (f *Feed) build(now time.Duration) {
	f.builtAt = now
	f.last++
	u := &wirepb.FleetUpdate{Position: f.last, Cluster: f.cluster, StateAddresses: f.addresses, DepartedGateways: slices.Sorted(maps.Keys(f.departed))}
	maps.Copy(f.changed, f.peerChanged)
	for id := range f.changed {
		delete(f.refreshed, id)
		if b := f.table.Get(id); b != nil {
			u.BackendServers = append(u.BackendServers, Encode(b, now))
		}
	}
	for id := range f.refreshed {
		if b := f.table.Get(id); b != nil {
			u.Refreshed = append(u.Refreshed, &wirepb.Refresh{
				Id: id, Sequence: b.Sequence, AgeMs: uint32(max(0, now-b.SeenAt).Milliseconds()),
			})
		}
	}
	for id := range f.joined {
		u.Gateways = append(u.Gateways, f.gateways[id].info)
	}
	clear(f.changed)
	clear(f.peerChanged)
	clear(f.refreshed)
	clear(f.joined)
	clear(f.departed)
	f.isUrgent = false
	f.table.Forget(now - retention)
	if len(f.updates) == maxKeptUpdates {
		f.updates = slices.Delete(f.updates, 0, 1)
	}
	f.updates = append(f.updates, prepare(u))
}

// After returns the updates that a subscriber at a position needs, and the position
// that it has then. Position 0 is that of a new subscriber.
func (f *Feed) After(position uint64, now time.Duration) (updates []*wire.Prepared, last uint64) {
	if position == 0 || position+1 < f.firstKept() || position > f.last {
		f.buildComplete(now)
		updates = append(updates, f.complete)
		position = f.completePosition
	}
	return append(updates, f.updates[position+1-f.firstKept():]...), f.last
}

// firstKept returns the position of the first update that is kept.
func (f *Feed) firstKept() uint64 { return f.last + 1 - uint64(len(f.updates)) }

// buildComplete makes a complete update unless there is a recent one.
func (f *Feed) buildComplete(now time.Duration) {
	isRecent := f.complete != nil && now-f.completeBuiltAt < completeInterval
	if isRecent && f.completePosition+1 >= f.firstKept() {
		return
	}
	// Closes the position, so that everything in the complete update is at or before
	// it.
	f.build(now)
	u := &wirepb.FleetUpdate{Position: f.last, Complete: true, Cluster: f.cluster, StateAddresses: f.addresses}
	for _, b := range f.table.All() {
		u.BackendServers = append(u.BackendServers, Encode(b, now))
	}
	for _, id := range f.Gateways() {
		u.Gateways = append(u.Gateways, f.gateways[id].info)
	}
	f.complete, f.completePosition, f.completeBuiltAt = prepare(u), f.last, now
}

func prepare(u *wirepb.FleetUpdate) *wire.Prepared {
	return wire.Prepare(&wirepb.Envelope{Body: &wirepb.Envelope_FleetUpdate{FleetUpdate: u}})
}

// Encode returns the message for a backend server. Times are encoded relative to now,
// because the receiver has another clock.
func Encode(b *fleet.BackendServer, now time.Duration) *wirepb.BackendServerInfo {
	return &wirepb.BackendServerInfo{
		Id: b.ID, Service: b.Service, Address: b.Address, FailureDomain: b.FailureDomain, Build: b.Build,
		Slots: uint32(b.Slots), Draining: b.Draining, Gone: b.Gone,
		ColdRemainingMs: uint32(max(0, b.ColdUntil-now).Milliseconds()), BornMs: b.BornMs, Sequence: b.Sequence,
		AgeMs: uint32(max(0, now-b.SeenAt).Milliseconds()),
	}
}

// Decode returns the backend server of an update that was received at now, a time of
// the boot clock.
func Decode(b *wirepb.BackendServerInfo, now time.Duration) fleet.BackendServer {
	ms := func(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }
	out := fleet.BackendServer{
		ID: b.GetId(), Service: b.GetService(), Address: b.GetAddress(), FailureDomain: b.GetFailureDomain(),
		Build: b.GetBuild(), Slots: int(b.GetSlots()), Draining: b.GetDraining(), Gone: b.GetGone(),
		BornMs: b.GetBornMs(), Sequence: b.GetSequence(), SeenAt: now - ms(b.GetAgeMs()),
	}
	if b.GetColdRemainingMs() > 0 {
		out.ColdUntil = now + ms(b.GetColdRemainingMs())
	}
	return out
}
