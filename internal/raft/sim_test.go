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
	simWindow    = 16
	simBatch     = 256
)

// host is one replica with its clock and disk.
type host struct {
	id      string
	n       *Node // nil while stopped
	hs      *wirepb.HardState
	snap    *wirepb.Snapshot
	entries []*wirepb.LogEntry
	rate    float64 // local seconds per second
	offset  time.Duration
	noSync  bool   // writes are issued but don't become durable
	gone    bool   // the disk is lost
	rd      *Ready // being persisted
	applied uint64
	chain   uint64 // hash over all applied entries
	commit  uint64 // last commit index seen by the checker
}

type packet struct {
	m   *wirepb.RaftMessage
	due time.Duration
}

type entryKey struct{ index, term uint64 }

// sim runs a cluster on one virtual clock and checks invariants across hosts.
type sim struct {
	t                time.Duration
	rng              *rand.Rand
	off              disabled
	hosts            []*host
	net              []packet
	cut              map[[2]string]bool
	loss, dup, delay float64
	leaders          map[uint64]string
	content          map[entryKey]uint64          // hash of the entry and the term before it
	durable          map[entryKey]map[string]bool // replicas that ever held it durably
	snapshots        map[string]uint64            // index of the last durable snapshot
	committed        map[uint64]uint64            // index to chain
	proposed         map[entryKey]string
	acked            map[string]uint64 // command to index
	lastAcked        uint64
	restored         int // snapshots received and installed
	err              error
}

func newSim(seed uint64, off disabled, voters ...string) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 0)), off: off, cut: map[[2]string]bool{},
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

// start starts a stopped host from its disk, unless that is lost.
func (s *sim) start(h *host) {
	if h.gone || h.n != nil {
		return
	}
	cfg := Config{
		ID: h.id, ElectionTimeout: simElection, HeartbeatInterval: simHeartbeat, MaxClockDrift: simDrift,
		MaxInflightEntries: simWindow, MaxMessageBytes: simBatch, Seed: s.rng.Uint64(),
	}
	n, err := New(cfg, InitialState{HardState: h.hs, Snapshot: h.snap, Entries: h.entries}, s.now(h))
	if err != nil {
		s.fail("start %s: %v", h.id, err)
		return
	}
	n.off = s.off
	h.n, h.rd, h.applied, h.chain, h.commit = n, nil, 0, 0, 0
	if h.snap != nil {
		s.restore(h, h.snap)
	}
}

// crash stops a host. What was not yet durable is lost.
func (s *sim) crash(h *host) { h.n, h.rd = nil, nil }

func (s *sim) restore(h *host, snap *wirepb.Snapshot) {
	h.applied, h.chain = snap.Index, binary.BigEndian.Uint64(snap.Data)
	if want, ok := s.committed[snap.Index]; !ok || want != h.chain {
		s.fail("%s restored a snapshot at %d that differs from what was applied there", h.id, snap.Index)
	}
}

// guard turns a violated invariant of the core into a failure of the run.
func (s *sim) guard(f func()) {
	defer func() {
		if p := recover(); p != nil {
			s.fail("%v", p)
		}
	}()
	f()
}

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

func (s *sim) chance(p float64) int {
	if p > 0 && s.rng.Float64() < p {
		return 1
	}
	return 0
}

// tick advances the virtual clock by one step, delivers what is due, and lets
// every host tick and finish its disk writes.
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
		if h := s.host(p.m.To); h != nil && h.n != nil && !s.cut[[2]string{p.m.From, p.m.To}] {
			s.guard(func() { h.n.Step(p.m, s.now(h)) })
			s.check()
		}
	}
	for _, h := range s.hosts {
		if h.n == nil {
			continue
		}
		s.guard(func() { h.n.Tick(s.now(h)) })
		if s.chance(diskBusy) == 0 {
			s.pump(h)
		}
		s.check()
	}
}

// pump takes work from the core and completes it as far as the disk allows.
func (s *sim) pump(h *host) {
	s.guard(func() {
		if h.rd != nil && !h.noSync {
			s.finish(h)
		}
		if h.rd == nil && h.n.HasReady() {
			rd := h.n.Ready()
			h.rd = &rd
			s.send(rd.Messages)
			if !h.noSync && s.chance(0.5) == 1 {
				s.finish(h)
			}
		}
	})
}

func (s *sim) finish(h *host) {
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
	h.n.Advance(rd.Persisted())
}

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
			s.sawEntry(h, e, prev)
			prev = e.Term
		}
		h.entries = append(h.entries, rd.Entries...)
	}
	if rd.HardState != nil {
		h.hs = rd.HardState
	}
}

// sawEntry checks log matching between all hosts: equal index and term mean
// equal content and equal term of the entry before.
func (s *sim) sawEntry(h *host, e *wirepb.LogEntry, prevTerm uint64) {
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

func hashEntry(seed uint64, e *wirepb.LogEntry) uint64 {
	b := binary.BigEndian.AppendUint64(nil, seed)
	b = binary.BigEndian.AppendUint64(b, e.Term)
	return xxhash.Sum64(append(b, e.Data...))
}

func (s *sim) apply(h *host, e *wirepb.LogEntry) {
	if e.Index != h.applied+1 {
		s.fail("%s applied %d after %d", h.id, e.Index, h.applied)
	}
	h.applied, h.chain = e.Index, hashEntry(h.chain, e)
	if old, ok := s.committed[e.Index]; ok && old != h.chain {
		s.fail("committed entry changed: %s applied another entry at %d", h.id, e.Index)
	}
	s.committed[e.Index] = h.chain
	if cmd, ok := s.proposed[entryKey{e.Index, e.Term}]; ok && h.n.role == Leader {
		s.acked[cmd] = e.Index
		s.lastAcked = max(s.lastAcked, e.Index)
	}
}

// check looks at all hosts at one moment of the virtual clock.
func (s *sim) check() {
	var lease string
	for _, h := range s.hosts {
		if h.n == nil {
			continue
		}
		if h.n.LeaseValid(s.now(h)) {
			if lease != "" {
				s.fail("lease held by %s and %s", lease, h.id)
			}
			lease = h.id
			if h.n.commit < s.lastAcked {
				s.fail("%s holds a lease with commit %d, acknowledged is %d", h.id, h.n.commit, s.lastAcked)
			}
		}
		if h.n.commit < h.commit || h.n.applied > h.n.commit {
			s.fail("%s: commit %d after %d, applied %d", h.id, h.n.commit, h.commit, h.n.applied)
		}
		if h.n.role == Leader {
			if old := s.leaders[h.n.term]; old != "" && old != h.id {
				s.fail("term %d has leaders %s and %s", h.n.term, old, h.id)
			}
			s.leaders[h.n.term] = h.id
			s.checkFlow(h)
			if h.n.commit > h.commit {
				s.checkQuorumHolds(h)
			}
		}
		h.commit = h.n.commit
	}
}

// holds reports whether the disk of a replica ever held what h has committed.
func (s *sim) holds(id string, h *host) bool {
	term, _ := h.n.log.term(h.n.commit)
	return s.durable[entryKey{h.n.commit, term}][id] || s.snapshots[id] >= h.n.commit
}

// checkFlow checks the bounds on what a leader has sent without an answer.
func (s *sim) checkFlow(h *host) {
	h.n.eachPeer(func(id string, p *progress) {
		limit := (windowMessages + 1) * simBatch // the last message may start below the bound
		if p.inflightEntries() > simWindow || p.inflightBytes > limit {
			s.fail("%s has %d entries and %d bytes in flight to %s", h.id, p.inflightEntries(), p.inflightBytes, id)
		}
	})
}

// checkQuorumHolds checks that what a leader counts as committed is durable on
// a majority of its voters.
func (s *sim) checkQuorumHolds(h *host) {
	count := 0
	for _, r := range h.n.membership().Voters {
		if s.holds(r.Id, h) {
			count++
		}
	}
	if voters := len(h.n.membership().Voters); count <= voters/2 {
		s.fail("%s committed %d, durable on %d of %d voters", h.id, h.n.commit, count, voters)
	}
}

// leader returns the host that holds a lease, or nil.
func (s *sim) leader() *host {
	for _, h := range s.hosts {
		if h.n != nil && h.n.LeaseValid(s.now(h)) {
			return h
		}
	}
	return nil
}

func (s *sim) propose(h *host, cmd string) (err error) {
	if h == nil {
		return ErrNotLeader{}
	}
	s.guard(func() {
		var index, term uint64
		if index, term, err = h.n.Propose([]byte(cmd), s.now(h)); err == nil {
			s.proposed[entryKey{index, term}] = cmd
		}
	})
	return err
}

func (s *sim) change(h *host, c Change) (err error) {
	s.guard(func() { _, _, err = h.n.ProposeMembership(c, s.now(h)) })
	if err == nil && c.Kind == Promote && !s.holds(c.ID, h) {
		s.fail("%s was promoted without the entries committed up to %d", c.ID, h.n.commit)
	}
	return err
}

func (s *sim) compact(h *host) {
	term, ok := h.n.log.term(h.n.applied)
	if !ok || h.n.applied != h.applied || h.rd != nil || h.applied <= h.snap.GetIndex() {
		return
	}
	h.snap = &wirepb.Snapshot{
		Index: h.applied, Term: term, Membership: h.n.MembershipAt(h.applied),
		Data: binary.BigEndian.AppendUint64(nil, h.chain),
	}
	h.entries = slices.DeleteFunc(slices.Clone(h.entries), func(e *wirepb.LogEntry) bool { return e.Index <= h.applied })
	s.snapshots[h.id] = h.applied
	s.guard(func() { h.n.Compact(h.snap) })
}

// isolate cuts a host from all others in both directions.
func (s *sim) isolate(id string) {
	for _, h := range s.hosts {
		s.cut[[2]string{id, h.id}], s.cut[[2]string{h.id, id}] = true, true
	}
}

func (s *sim) heal() { clear(s.cut) }

// mend ends all faults but crashes.
func (s *sim) mend() {
	s.heal()
	s.loss, s.dup, s.delay = 0, 0, 0
	for _, h := range s.hosts {
		h.noSync = false
	}
}

func (s *sim) run(d time.Duration) {
	for end := s.t + d; s.t < end && s.err == nil; {
		s.tick(0)
	}
}

// settle heals everything and expects one leader, equal state on all members,
// and every acknowledged command in it.
func (s *sim) settle() error {
	s.mend()
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
	for _, r := range slices.Concat(l.n.membership().Voters, l.n.membership().Learners) {
		if h := s.host(r.Id); !h.gone && (h.applied != l.applied || h.chain != l.chain) {
			s.fail("%s applied up to %d, leader %s up to %d", h.id, h.applied, l.id, l.applied)
		}
	}
	return s.err
}
