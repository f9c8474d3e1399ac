// Package peers implements the membership table of entry processes that each
// entry process keeps.
//
// Liveness is decided only by heartbeats that were received directly from a
// process: relayed reports about third processes would keep a dead process alive
// in every table. From the live processes each process computes the dispatcher of
// a pool by rendezvous hashing, so that no election is needed and the loss of a
// process moves only its own pools. Two tables may differ for a while; ownership
// of a backend server is arbitrated by the backend server itself.
//
// The package does no I/O and takes no lock: the caller sends the heartbeats,
// passes in those that arrive and supplies the time.
package peers

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"bilberryhub/internal/wirepb"
)

const (
	// Interval is the time between two heartbeats.
	Interval = 500 * time.Millisecond
	// Expiry is the time without a heartbeat after which a process counts as lost.
	Expiry = 3 * Interval
	// lostRetention is how long the incarnation of a lost process is kept, so that a
	// delayed heartbeat of an older incarnation cannot replace a newer one.
	lostRetention = 10 * time.Minute
)

// Peer describes one entry process. Address is its address for messages of other
// processes, HTTPAddress the one to which backend servers announce themselves.
type Peer struct {
	ID            string
	Address       string
	HTTPAddress   string
	FailureDomain string
	Incarnation   uint64
	Draining      bool
	ConfigIndex   uint64
	ConfigDigest  uint64
}

// Lost identifies an incarnation of an entry process that has expired or has been
// replaced by a newer one.
type Lost struct {
	ID          string
	Incarnation uint64
	Address     string
}

type peerState struct {
	peer          Peer
	lastHeartbeat time.Duration
	live          bool
	// knownDigest is the digest of the list of live processes that this peer
	// stated in its last heartbeat.
	knownDigest uint64
}

// Table holds the entry processes by id. It is not safe for concurrent use.
type Table struct {
	self   Peer
	states map[string]*peerState
	// hints holds the processes that were listed in heartbeats of peers, by id.
	// They are used only for connecting to them.
	hints map[string]hint
}

type hint struct {
	peer      Peer
	updatedAt time.Duration
}

// New returns a table that holds only the local process.
func New(self Peer) *Table {
	return &Table{self: self, states: map[string]*peerState{}, hints: map[string]hint{}}
}

// SetDraining sets whether the local process is draining.
func (t *Table) SetDraining(draining bool) { t.self.Draining = draining }

// SetConfig sets the index and the digest of the configuration that the local
// process holds.
func (t *Table) SetConfig(index, digest uint64) {
	t.self.ConfigIndex, t.self.ConfigDigest = index, digest
}

// HandleHeartbeat handles a heartbeat received from its sender. It returns the
// earlier incarnation of the sender if a new one has replaced it while it was live.
// Heartbeats of the local process and of older incarnations are ignored.
func (t *Table) HandleHeartbeat(now time.Duration, m *wirepb.PeerHeartbeat) []Lost {
	if m.Self == nil || m.Self.Id == "" || m.Self.Id == t.self.ID {
		return nil
	}
	for _, k := range m.Known {
		t.hint(now, k)
	}
	p := fromInfo(m.Self)
	p.ConfigIndex, p.ConfigDigest = m.ConfigIndex, m.ConfigDigest
	r := t.states[p.ID]
	var lost []Lost
	switch {
	case r == nil:
		r = &peerState{}
		t.states[p.ID] = r
	case p.Incarnation < r.peer.Incarnation:
		return nil
	case p.Incarnation > r.peer.Incarnation && r.live:
		lost = []Lost{{r.peer.ID, r.peer.Incarnation, r.peer.Address}}
	}
	r.peer, r.lastHeartbeat, r.live, r.knownDigest = p, now, true, m.KnownDigest
	return lost
}

// Expire marks the processes without a heartbeat for Expiry as lost and returns
// those, sorted by id. It removes processes and hints that are older than
// lostRetention.
func (t *Table) Expire(now time.Duration) []Lost {
	var lost []Lost
	for id, r := range t.states {
		switch {
		case r.live && now-r.lastHeartbeat >= Expiry:
			r.live = false
			lost = append(lost, Lost{id, r.peer.Incarnation, r.peer.Address})
		case !r.live && now-r.lastHeartbeat >= lostRetention:
			delete(t.states, id)
		}
	}
	for id, h := range t.hints {
		if now-h.updatedAt >= lostRetention {
			delete(t.hints, id)
		}
	}
	slices.SortFunc(lost, func(x, y Lost) int { return strings.Compare(x.ID, y.ID) })
	return lost
}

// Live returns the live processes including the local one, sorted by id.
func (t *Table) Live() []Peer {
	out := []Peer{t.self}
	for _, r := range t.states {
		if r.live {
			out = append(out, r.peer)
		}
	}
	slices.SortFunc(out, func(x, y Peer) int { return strings.Compare(x.ID, y.ID) })
	return out
}

// Get returns the process with the given id if it is live or the local one.
func (t *Table) Get(id string) (Peer, bool) {
	if id == t.self.ID {
		return t.self, true
	}
	if r := t.states[id]; r != nil && r.live {
		return r.peer, true
	}
	return Peer{}, false
}

// OutgoingHeartbeats returns the heartbeats of the local process to send, by the
// address of the receiver. The list of live processes is left out for a receiver
// that stated the same digest of its own list: the length of the list grows with
// the number of processes, and the total over all exchanges with the cube of that
// number.
func (t *Table) OutgoingHeartbeats(addresses []string) map[string]*wirepb.PeerHeartbeat {
	live := t.Live()
	withoutList := &wirepb.PeerHeartbeat{
		Self: t.self.info(), ConfigIndex: t.self.ConfigIndex, ConfigDigest: t.self.ConfigDigest, KnownDigest: digest(live),
	}
	withList := proto.CloneOf(withoutList)
	for _, p := range live {
		if p.ID != t.self.ID {
			withList.Known = append(withList.Known, p.info())
		}
	}
	upToDate := map[string]bool{}
	for _, r := range t.states {
		if r.live && r.knownDigest == withoutList.KnownDigest {
			upToDate[r.peer.Address] = true
		}
	}
	out := map[string]*wirepb.PeerHeartbeat{}
	for _, address := range addresses {
		out[address] = withList
		if upToDate[address] {
			out[address] = withoutList
		}
	}
	return out
}

// digest returns a hash of a list of processes that is sorted by id. The draining
// flag is left out, because it is only taken from a process's own heartbeats.
func digest(list []Peer) uint64 {
	h := xxhash.New()
	for _, p := range list {
		for _, s := range []string{p.ID, p.Address, p.HTTPAddress, p.FailureDomain} {
			_, _ = h.WriteString(s)
			_, _ = h.Write([]byte{0})
		}
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, p.Incarnation))
	}
	return h.Sum64()
}

// Unconfirmed returns the processes, sorted by id, that peers listed in their
// heartbeats and that are not live in this table, because no recent heartbeat of
// their own has arrived.
func (t *Table) Unconfirmed() []Peer {
	var out []Peer
	for id, h := range t.hints {
		if r := t.states[id]; r == nil || !r.live {
			out = append(out, h.peer)
		}
	}
	slices.SortFunc(out, func(x, y Peer) int { return strings.Compare(x.ID, y.ID) })
	return out
}

// Dispatcher returns the entry process that dispatches a pool, which is the first
// one of its Ranking. ok is false if that is empty.
func (t *Table) Dispatcher(domain, service string) (p Peer, ok bool) {
	ranking := t.Ranking(domain, service)
	if len(ranking) == 0 {
		return Peer{}, false
	}
	return ranking[0], true
}

// Ranking returns the live processes that are not draining, in the order in which
// they are to dispatch the pool of a failure domain and service. Processes in the
// failure domain of the pool come first.
func (t *Table) Ranking(domain, service string) []Peer {
	live := slices.DeleteFunc(t.Live(), func(p Peer) bool { return p.Draining })
	slices.SortStableFunc(live, func(x, y Peer) int {
		if isLocal := x.FailureDomain == domain; isLocal != (y.FailureDomain == domain) {
			if isLocal {
				return -1
			}
			return 1
		}
		return cmp.Compare(score(domain, service, y.ID), score(domain, service, x.ID))
	})
	return live
}

// score returns the rendezvous hash of an entry process for a pool.
func score(domain, service, id string) uint64 {
	return xxhash.Sum64String(domain + "\x00" + service + "\x00" + id)
}

// hint records a process that a peer listed in its heartbeat.
func (t *Table) hint(now time.Duration, m *wirepb.PeerInfo) {
	if m.Id == "" || m.Id == t.self.ID || m.Incarnation < t.hints[m.Id].peer.Incarnation {
		return
	}
	t.hints[m.Id] = hint{fromInfo(m), now}
}

func fromInfo(m *wirepb.PeerInfo) Peer {
	return Peer{
		ID: m.Id, Address: m.Address, HTTPAddress: m.HttpAddress, FailureDomain: m.FailureDomain,
		Incarnation: m.Incarnation, Draining: m.Draining,
	}
}

func (p Peer) info() *wirepb.PeerInfo {
	return &wirepb.PeerInfo{
		Id: p.ID, Address: p.Address, HttpAddress: p.HTTPAddress, FailureDomain: p.FailureDomain,
		Incarnation: p.Incarnation, Draining: p.Draining,
	}
}
