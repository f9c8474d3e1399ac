package raft

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"bilberryhub/internal/wirepb"
)

const (
	simElection  = 100 * time.Millisecond
	simHeartbeat = 20 * time.Millisecond
	simDrift     = 5 * time.Millisecond
	simLatency   = 2 * time.Millisecond
	simWindow    = 16  // Config.MaxInflightEntries
	simBatch     = 256 // Config.MaxMessageBytes
)

// host is a simulated replica with its clock and disk.
type host struct {
	id        string
	node      *Node // nil while stopped
	hs        *wirepb.HardState
	snap      *wirepb.Snapshot
	entries   []*wirepb.LogEntry
	rate      float64 // local seconds per second
	offset    time.Duration
	noSync    bool   // writes are issued but don't become durable
	diskLost  bool   // the host can't be started again
	rd        *Ready // Ready whose disk writes are in progress
	applied   uint64
	stateHash uint64 // hash over all applied entries
	commit    uint64 // commit index at the previous invariant check
}

type packet struct {
	m   *wirepb.RaftMessage
	due time.Duration
}

type entryKey struct{ index, term uint64 }

// sim is a deterministic simulation of a cluster on one virtual clock, with a
// virtual network and virtual disks. It checks invariants across hosts.
type sim struct {
	t                time.Duration // virtual time since the start
	rng              *rand.Rand
	disabled         disabledMechanisms
	hosts            []*host
	net              []packet
	cut              map[[2]string]bool           // links, from sender to receiver, that drop all messages
	loss, dup, delay float64                      // probabilities per message
	leaders          map[uint64]string            // by term
	content          map[entryKey]uint64          // hash of the entry and the term before it
	durable          map[entryKey]map[string]bool // replicas that ever held it durably
	snapshots        map[string]uint64            // index of the last durable snapshot, by replica
	committed        map[uint64]uint64            // stateHash after the entry, by index
	proposed         map[entryKey]string          // commands
	acked            map[string]uint64            // index, by command
	lastAcked        uint64
	restored         int // snapshots received and installed
	err              error
}

func newSim(seed uint64, disabled disabledMechanisms, voters ...string) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 0)), disabled: disabled, cut: map[[2]string]bool{},
		leaders: map[uint64]string{}, content: map[entryKey]uint64{}, durable: map[entryKey]map[string]bool{},
		snapshots: map[string]uint64{}, committed: map[uint64]uint64{1: 0}, proposed: map[entryKey]string{},
		acked: map[string]uint64{},
	}
	m := &wirepb.Membership{}
	for _, id := range voters {
		m.Voters = append(m.Voters, &wirepb.Replica{Id: id})
		s.addHost(id).snap = &wirepb.Snapshot{Index: 1, Term: 1, Membership: m, Data: make([]byte, 8)}
	}
	for _, h := range s.hosts {
		s.start(h)
	}
	return s
}

func (s *sim) addHost(id string) *host {
	h := &host{id: id, rate: 1}
	s.hosts = append(s.hosts, h)
	return h
}

// join starts a replica with an empty disk unless it already exists.
func (s *sim) join(id string) *wirepb.Replica {
	if s.host(id) == nil {
		s.start(s.addHost(id))
	}
	return &wirepb.Replica{Id: id}
}

func (s *sim) host(id string) *host {
	if i := slices.IndexFunc(s.hosts, func(h *host) bool { return h.id == id }); i >= 0 {
		return s.hosts[i]
	}
	return nil
}

func (s *sim) fail(format string, args ...any) {
	if s.err == nil {
		s.err = fmt.Errorf("at %v: "+format, append([]any{s.t}, args...)...)
	}
}

func (s *sim) now(h *host) time.Duration { return time.Duration(float64(s.t)*h.rate) + h.offset }

// start starts a stopped host from its disk, unless the disk is lost.
func (s *sim) start(h *host) {
	if h.diskLost || h.node != nil {
		return
	}
	cfg := Config{
		ID: h.id, ElectionTimeout: simElection, HeartbeatInterval: simHeartbeat, MaxClockDrift: simDrift,
		MaxInflightEntries: simWindow, MaxMessageBytes: simBatch, Seed: s.rng.Uint64(),
	}
	node, err := New(cfg, InitialState{HardState: h.hs, Snapshot: h.snap, Entries: h.entries}, s.now(h))
	if err != nil {
		s.fail("start %s: %v", h.id, err)
		return
	}
	node.disabled = s.disabled
	h.node, h.rd, h.applied, h.stateHash, h.commit = node, nil, 0, 0, 0
	if h.snap != nil {
		s.restore(h, h.snap)
	}
}

// crash stops a host. State that was not yet durable is lost.
func (s *sim) crash(h *host) { h.node, h.rd = nil, nil }

// restore replaces the applied state of a host with a snapshot, and checks that
// the snapshot equals the state that was applied at its index.
func (s *sim) restore(h *host, snap *wirepb.Snapshot) {
	h.applied, h.stateHash = snap.Index, binary.BigEndian.Uint64(snap.Data)
	if want, ok := s.committed[snap.Index]; !ok || want != h.stateHash {
		s.fail("%s restored a snapshot at %d that differs from what was applied there", h.id, snap.Index)
	}
}

// recoverInvariant calls f and turns the panic of a violated invariant into a
// failure of the run.
func (s *sim) recoverInvariant(f func()) {
	defer func() {
		if p := recover(); p != nil {
			s.fail("%v", p)
		}
	}()
	f()
}

// send puts messages on the network, with random loss, duplication and delay.
func (s *sim) send(ms []*wirepb.RaftMessage) {
	for _, m := range ms {
		for copies := 1 + s.chance(s.dup); copies > 0; copies-- {
			if s.chance(s.loss) == 1 {
				continue
			}
			due := s.t + simLatency
			if s.chance(s.delay) == 1 {
				due += time.Duration(s.rng.Int64N(int64(2 * simElection)))
			}
			s.net = append(s.net, packet{proto.CloneOf(m), due})
		}
	}
}

// chance returns 1 with probability p, and otherwise 0.
func (s *sim) chance(p float64) int {
	if p > 0 && s.rng.Float64() < p {
		return 1
	}
	return 0
}

// tick advances the virtual clock by 1 ms, delivers the messages that are due,
// and ticks every host. Each host then processes its Ready, unless its disk is
// busy, which has probability diskBusy.
func (s *sim) tick(diskBusy float64) {
	s.t += time.Millisecond
	var due []packet
	s.net = slices.DeleteFunc(s.net, func(p packet) bool {
		if p.due <= s.t {
			due = append(due, p)
		}
		return p.due <= s.t
	})
	for _, p := range due {
		if h := s.host(p.m.To); h != nil && h.node != nil && !s.cut[[2]string{p.m.From, p.m.To}] {
			s.recoverInvariant(func() { h.node.Step(p.m, s.now(h)) })
			s.check()
		}
	}
	for _, h := range s.hosts {
		if h.node == nil {
			continue
		}
		s.recoverInvariant(func() { h.node.Tick(s.now(h)) })
		if s.chance(diskBusy) == 0 {
			s.processReady(h)
		}
		s.check()
	}
}

// processReady completes the outstanding Ready of a host and takes the next one.
// It completes the next one at once with probability 1/2. Nothing completes while
// noSync is set.
func (s *sim) processReady(h *host) {
	s.recoverInvariant(func() {
		if h.rd != nil && !h.noSync {
			s.completeReady(h)
		}
		if h.rd == nil && h.node.HasReady() {
			rd := h.node.Ready()
			h.rd = &rd
			s.send(rd.Messages)
			if !h.noSync && s.chance(0.5) == 1 {
				s.completeReady(h)
			}
		}
	})
}

// completeReady does the work of the outstanding Ready and calls Advance.
func (s *sim) completeReady(h *host) {
	rd := h.rd
	h.rd = nil
	s.persist(h, rd)
	s.send(rd.AfterPersist)
	if rd.Snapshot != nil {
		s.restore(h, rd.Snapshot)
		s.restored++
	}
	for _, e := range rd.Committed {
		s.apply(h, e)
	}
	h.node.Advance(rd.Persisted())
}

// persist writes the state of a Ready to the disk of a host.
func (s *sim) persist(h *host, rd *Ready) {
	if rd.Snapshot != nil {
		h.snap, h.entries = rd.Snapshot, nil
		s.snapshots[h.id] = rd.Snapshot.Index
	}
	if len(rd.Entries) > 0 {
		first := rd.Entries[0].Index
		h.entries = slices.DeleteFunc(slices.Clone(h.entries), func(e *wirepb.LogEntry) bool { return e.Index >= first })
		prev := h.snap.GetTerm()
		if len(h.entries) > 0 {
			prev = h.entries[len(h.entries)-1].Term
		}
		for _, e := range rd.Entries {
			s.recordEntry(h, e, prev)
			prev = e.Term
		}
		h.entries = append(h.entries, rd.Entries...)
	}
	if rd.HardState != nil {
		h.hs = rd.HardState
	}
}

// recordEntry records an entry as durable on a host and checks log matching
// between all hosts: entries with equal index and term have equal content, and
// their predecessors have equal terms.
func (s *sim) recordEntry(h *host, e *wirepb.LogEntry, prevTerm uint64) {
	key, hash := entryKey{e.Index, e.Term}, hashEntry(prevTerm, e)
	if old, ok := s.content[key]; ok && old != hash {
		s.fail("log matching: %s has another entry %v", h.id, key)
	}
	s.content[key] = hash
	if s.durable[key] == nil {
		s.durable[key] = map[string]bool{}
	}
	s.durable[key][h.id] = true
}

// hashEntry returns a hash of the entry's term and data, chained to seed.
func hashEntry(seed uint64, e *wirepb.LogEntry) uint64 {
	b := binary.BigEndian.AppendUint64(nil, seed)
	b = binary.BigEndian.AppendUint64(b, e.Term)
	return xxhash.Sum64(append(b, e.Data...))
}

// apply applies a committed entry on a host, checks it against the entries
// applied by other hosts, and acknowledges commands that were proposed there.
func (s *sim) apply(h *host, e *wirepb.LogEntry) {
	if e.Index != h.applied+1 {
		s.fail("%s applied %d after %d", h.id, e.Index, h.applied)
	}
	h.applied, h.stateHash = e.Index, hashEntry(h.stateHash, e)
	if old, ok := s.committed[e.Index]; ok && old != h.stateHash {
		s.fail("committed entry changed: %s applied another entry at %d", h.id, e.Index)
	}
	s.committed[e.Index] = h.stateHash
	if cmd, ok := s.proposed[entryKey{e.Index, e.Term}]; ok && h.node.role == Leader {
		s.acked[cmd] = e.Index
		s.lastAcked = max(s.lastAcked, e.Index)
	}
}

// check checks the invariants across all hosts at the current virtual time.
func (s *sim) check() {
	var lease string
	for _, h := range s.hosts {
		if h.node == nil {
			continue
		}
		if h.node.LeaseValid(s.now(h)) {
			if lease != "" {
				s.fail("lease held by %s and %s", lease, h.id)
			}
			lease = h.id
			if h.node.commit < s.lastAcked {
				s.fail("%s holds a lease with commit %d, acknowledged is %d", h.id, h.node.commit, s.lastAcked)
			}
		}
		if h.node.commit < h.commit || h.node.applied > h.node.commit {
			s.fail("%s: commit %d after %d, applied %d", h.id, h.node.commit, h.commit, h.node.applied)
		}
		if h.node.role == Leader {
			if old := s.leaders[h.node.term]; old != "" && old != h.id {
				s.fail("term %d has leaders %s and %s", h.node.term, old, h.id)
			}
			s.leaders[h.node.term] = h.id
			s.checkFlow(h)
			if h.node.commit > h.commit {
				s.checkQuorumHolds(h)
			}
		}
		h.commit = h.node.commit
	}
}

// holds reports whether the disk of a replica ever held all entries that h has
// committed.
func (s *sim) holds(id string, h *host) bool {
	term, _ := h.node.log.term(h.node.commit)
	return s.durable[entryKey{h.node.commit, term}][id] || s.snapshots[id] >= h.node.commit
}

// checkFlow checks the limits on unacknowledged entries that a leader has sent.
func (s *sim) checkFlow(h *host) {
	h.node.forEachPeer(func(id string, p *progress) {
		limit := (windowMessages + 1) * simBatch // the last message may start below the bound
		if p.inflightEntries() > simWindow || p.inflightBytes > limit {
			s.fail("%s has %d entries and %d bytes in flight to %s", h.id, p.inflightEntries(), p.inflightBytes, id)
		}
	})
}

// checkQuorumHolds checks that the entries that a leader has committed are
// durable on a majority of its voters.
func (s *sim) checkQuorumHolds(h *host) {
	count := 0
	for _, r := range h.node.membership().Voters {
		if s.holds(r.Id, h) {
			count++
		}
	}
	if voters := len(h.node.membership().Voters); count <= voters/2 {
		s.fail("%s committed %d, durable on %d of %d voters", h.id, h.node.commit, count, voters)
	}
}

// leader returns the host that holds a lease, or nil.
func (s *sim) leader() *host {
	for _, h := range s.hosts {
		if h.node != nil && h.node.LeaseValid(s.now(h)) {
			return h
		}
	}
	return nil
}

// propose proposes a command at a host, which may be nil if there is no leader.
func (s *sim) propose(h *host, cmd string) (err error) {
	if h == nil {
		return ErrNotLeader{}
	}
	s.recoverInvariant(func() {
		var index, term uint64
		if index, term, err = h.node.Propose([]byte(cmd), s.now(h)); err == nil {
			s.proposed[entryKey{index, term}] = cmd
		}
	})
	return err
}

// change proposes a membership change at a host and checks that a promoted
// learner holds the committed entries.
func (s *sim) change(h *host, c Change) (err error) {
	s.recoverInvariant(func() { _, _, err = h.node.ProposeMembership(c, s.now(h)) })
	if err == nil && c.Kind == Promote && !s.holds(c.ID, h) {
		s.fail("%s was promoted without the entries committed up to %d", c.ID, h.node.commit)
	}
	return err
}

// compact takes a snapshot of the applied state of a host and truncates its log,
// unless a Ready is outstanding or there is nothing to compact.
func (s *sim) compact(h *host) {
	term, ok := h.node.log.term(h.node.applied)
	if !ok || h.node.applied != h.applied || h.rd != nil || h.applied <= h.snap.GetIndex() {
		return
	}
	h.snap = &wirepb.Snapshot{
		Index: h.applied, Term: term, Membership: h.node.MembershipAt(h.applied),
		Data: binary.BigEndian.AppendUint64(nil, h.stateHash),
	}
	h.entries = slices.DeleteFunc(slices.Clone(h.entries), func(e *wirepb.LogEntry) bool { return e.Index <= h.applied })
	s.snapshots[h.id] = h.applied
	s.recoverInvariant(func() { h.node.Compact(h.snap) })
}

// isolate cuts the links between a host and all others in both directions.
func (s *sim) isolate(id string) {
	for _, h := range s.hosts {
		s.cut[[2]string{id, h.id}], s.cut[[2]string{h.id, id}] = true, true
	}
}

// heal restores all network links.
func (s *sim) heal() { clear(s.cut) }

// endFaults ends all network and disk faults, except crashes and lost disks.
func (s *sim) endFaults() {
	s.heal()
	s.loss, s.dup, s.delay = 0, 0, 0
	for _, h := range s.hosts {
		h.noSync = false
	}
}

// run advances the simulation by a duration, or until a check fails.
func (s *sim) run(d time.Duration) {
	for end := s.t + d; s.t < end && s.err == nil; {
		s.tick(0)
	}
}

// settle ends all faults, starts all stopped hosts, and checks that the cluster
// has a leader and makes progress, that all members reach equal state, and that
// no acknowledged command is lost.
func (s *sim) settle() error {
	s.endFaults()
	for _, h := range s.hosts {
		s.start(h)
	}
	s.run(20 * simElection)
	l := s.leader()
	if err := s.propose(l, "last"); err != nil || s.err != nil {
		return errors.Join(s.err, err)
	}
	s.run(5 * simElection)
	if s.acked["last"] == 0 {
		s.fail("no progress after the last fault")
	}
	for cmd, index := range s.acked {
		if index > l.applied {
			s.fail("acknowledged command %q at %d is lost", cmd, index)
		}
	}
	for _, r := range slices.Concat(l.node.membership().Voters, l.node.membership().Learners) {
		if h := s.host(r.Id); !h.diskLost && (h.applied != l.applied || h.stateHash != l.stateHash) {
			s.fail("%s applied up to %d, leader %s up to %d", h.id, h.applied, l.id, l.applied)
		}
	}
	return s.err
}
