// Package peers is the table of entry processes that one entry process knows.
//
// Liveness is decided by heartbeats received directly: what other processes say
// about a third one would keep a dead process alive in everyone's table. From
// the live processes each one derives the dispatcher of a pool by rendezvous
// hashing, so that no election is needed and a lost process moves only its own
// pools. Two tables may disagree for a while; ownership of a backend server is
// arbitrated by the backend server itself.
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
	// Interval between two heartbeats.
	Interval = 500 * time.Millisecond
	// Expiry is the time without a heartbeat after which a process counts as lost.
	Expiry = 3 * Interval
	// forgetAfter is how long the incarnation of a lost process is remembered, so
	// that a delayed heartbeat of an older one cannot replace a newer one.
	forgetAfter = 10 * time.Minute
)

// Peer describes one entry process.
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

// Lost names an incarnation of an entry process that is gone.
type Lost struct {
	ID          string
	Incarnation uint64
	Address     string
}

type row struct {
	peer Peer
	seen time.Duration
	live bool
	// knownDigest is that of the live processes of this one.
	knownDigest uint64
}

// Table holds the entry processes by id.
type Table struct {
	self Peer
	rows map[string]*row
	// hints are processes that others know, by id, for connecting to them.
	hints map[string]hint
}

type hint struct {
	peer Peer
	at   time.Duration
}

// New returns a table that knows only the process itself.
func New(self Peer) *Table {
	return &Table{self: self, rows: map[string]*row{}, hints: map[string]hint{}}
}

// SetDraining tells that the process itself is stopping.
func (t *Table) SetDraining(draining bool) { t.self.Draining = draining }

// SetConfig sets the configuration that the process itself holds.
func (t *Table) SetConfig(index, digest uint64) {
	t.self.ConfigIndex, t.self.ConfigDigest = index, digest
}

// Heartbeat takes a heartbeat received from its sender. It returns the earlier
// incarnation of the sender when a new one has replaced it.
func (t *Table) Heartbeat(now time.Duration, m *wirepb.PeerHeartbeat) []Lost {
	if m.Self == nil || m.Self.Id == "" || m.Self.Id == t.self.ID {
		return nil
	}
	for _, k := range m.Known {
		t.hint(now, k)
	}
	p := fromInfo(m.Self)
	p.ConfigIndex, p.ConfigDigest = m.ConfigIndex, m.ConfigDigest
	r := t.rows[p.ID]
	var lost []Lost
	switch {
	case r == nil:
		r = &row{}
		t.rows[p.ID] = r
	case p.Incarnation < r.peer.Incarnation:
		return nil
	case p.Incarnation > r.peer.Incarnation && r.live:
		lost = []Lost{{r.peer.ID, r.peer.Incarnation, r.peer.Address}}
	}
	r.peer, r.seen, r.live, r.knownDigest = p, now, true, m.KnownDigest
	return lost
}

// Expire marks processes without a recent heartbeat as lost and returns them.
func (t *Table) Expire(now time.Duration) []Lost {
	var lost []Lost
	for id, r := range t.rows {
		switch {
		case r.live && now-r.seen >= Expiry:
			r.live = false
			lost = append(lost, Lost{id, r.peer.Incarnation, r.peer.Address})
		case !r.live && now-r.seen >= forgetAfter:
			delete(t.rows, id)
		}
	}
	for id, h := range t.hints {
		if now-h.at >= forgetAfter {
			delete(t.hints, id)
		}
	}
	slices.SortFunc(lost, func(x, y Lost) int { return strings.Compare(x.ID, y.ID) })
	return lost
}

// Live returns the live processes with the process itself, by id.
func (t *Table) Live() []Peer {
	out := []Peer{t.self}
	for _, r := range t.rows {
		if r.live {
			out = append(out, r.peer)
		}
	}
	slices.SortFunc(out, func(x, y Peer) int { return strings.Compare(x.ID, y.ID) })
	return out
}

// Get returns a live process.
func (t *Table) Get(id string) (Peer, bool) {
	if id == t.self.ID {
		return t.self, true
	}
	if r := t.rows[id]; r != nil && r.live {
		return r.peer, true
	}
	return Peer{}, false
}

// Messages returns the heartbeats of the process itself by the address of the
// receiver. The list of live processes is left out for one that has the same:
// the list grows with the number of processes, and so the lists of all
// exchanges with its cube.
func (t *Table) Messages(addresses []string) map[string]*wirepb.PeerHeartbeat {
	live := t.Live()
	short := &wirepb.PeerHeartbeat{
		Self: t.self.info(), ConfigIndex: t.self.ConfigIndex, ConfigDigest: t.self.ConfigDigest, KnownDigest: digest(live),
	}
	full := proto.CloneOf(short)
	for _, p := range live {
		if p.ID != t.self.ID {
			full.Known = append(full.Known, p.info())
		}
	}
	same := map[string]bool{}
	for _, r := range t.rows {
		if r.live && r.knownDigest == short.KnownDigest {
			same[r.peer.Address] = true
		}
	}
	out := map[string]*wirepb.PeerHeartbeat{}
	for _, address := range addresses {
		out[address] = full
		if same[address] {
			out[address] = short
		}
	}
	return out
}

// digest identifies a list of processes in order of their ids. Whether one is
// draining counts only when heard from itself, and is left out.
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

// Unheard returns processes that others know and that send no heartbeat here.
func (t *Table) Unheard() []Peer {
	var out []Peer
	for id, h := range t.hints {
		if r := t.rows[id]; r == nil || !r.live {
			out = append(out, h.peer)
		}
	}
	slices.SortFunc(out, func(x, y Peer) int { return strings.Compare(x.ID, y.ID) })
	return out
}

// Dispatcher returns the entry process that dispatches a pool. Processes of the
// failure domain of the pool come first; draining ones are left out. ok is false
// when no process is left.
func (t *Table) Dispatcher(domain, service string) (p Peer, ok bool) {
	ranking := t.Ranking(domain, service)
	if len(ranking) == 0 {
		return Peer{}, false
	}
	return ranking[0], true
}

// Ranking returns the live processes in the order in which they dispatch a pool.
func (t *Table) Ranking(domain, service string) []Peer {
	live := slices.DeleteFunc(t.Live(), func(p Peer) bool { return p.Draining })
	slices.SortStableFunc(live, func(x, y Peer) int {
		if near := x.FailureDomain == domain; near != (y.FailureDomain == domain) {
			if near {
				return -1
			}
			return 1
		}
		return cmp.Compare(score(domain, service, y.ID), score(domain, service, x.ID))
	})
	return live
}

// score is the rendezvous hash of an entry process for a pool.
func score(domain, service, id string) uint64 {
	return xxhash.Sum64String(domain + "\x00" + service + "\x00" + id)
}

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
