package raft

import (
	"bytes"
	"slices"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"bilberryhub/internal/invariant"
	"bilberryhub/internal/wirepb"
)

// snapshotRetryTimeouts is the time after which an unanswered snapshot is sent
// again, in election timeouts. It allows for the transfer of a large snapshot.
const snapshotRetryTimeouts = 10

// Propose appends a command and returns its position in the log. The command is
// committed if and only if a committed entry with this index and term appears;
// if the leadership ends before, its fate is open.
func (n *Node) Propose(data []byte, now time.Duration) (index, term uint64, err error) {
	n.observe(now)
	switch {
	case n.role != Leader:
		return 0, 0, ErrNotLeader{Leader: n.leader}
	case n.transfer.to != "":
		return 0, 0, errors.Trace(ErrTransferring)
	case n.uncommittedFull(len(data) + entryOverhead):
		return 0, 0, errors.Trace(ErrBusy)
	}
	e := n.appendOwn(wirepb.LogEntry_KIND_COMMAND, data)
	n.uncommittedBytes += entrySize(e)
	n.broadcastAppend()
	return e.Index, e.Term, nil
}

func (n *Node) uncommittedFull(size int) bool {
	return n.log.last()-n.commit >= uint64(n.cfg.MaxInflightEntries) ||
		(n.uncommittedBytes > 0 && n.uncommittedBytes+size > windowMessages*n.cfg.MaxMessageBytes)
}

// appendOwn appends an entry of the leader's term.
func (n *Node) appendOwn(kind wirepb.LogEntry_Kind, data []byte) *wirepb.LogEntry {
	e := &wirepb.LogEntry{Index: n.log.last() + 1, Term: n.term, Kind: kind, Data: data}
	n.appendEntry(e)
	if n.off.persistBeforeCount {
		n.maybeCommit()
	}
	return e
}

// appendEntry appends one entry and puts a membership in force.
func (n *Node) appendEntry(e *wirepb.LogEntry) {
	n.log.append(e)
	if e.Kind == wirepb.LogEntry_KIND_MEMBERSHIP {
		n.adoptMembership(e)
	}
}

// syncPeers makes the table of peers follow the membership in force.
func (n *Node) syncPeers() {
	if n.role != Leader {
		return
	}
	m := n.membership()
	for id := range n.peers {
		if !isMember(m, id) {
			delete(n.peers, id)
		}
	}
	for _, r := range slices.Concat(m.Voters, m.Learners) {
		if r.Id != n.cfg.ID && n.peers[r.Id] == nil {
			n.peers[r.Id] = &progress{state: probing, next: n.log.last() + 1}
		}
	}
}

// eachPeer calls f for every peer in the order of the membership, so that equal
// inputs give equal outputs.
func (n *Node) eachPeer(f func(id string, p *progress)) {
	m := n.membership()
	for _, r := range slices.Concat(m.Voters, m.Learners) {
		if p := n.peers[r.Id]; p != nil {
			f(r.Id, p)
		}
	}
}

// heartbeat starts a round and sends every peer a message, with entries where
// the window allows.
func (n *Node) heartbeat() {
	n.nextHeartbeat = n.now + n.cfg.HeartbeatInterval
	n.startRound()
	n.orderElection()
	n.eachPeer(func(id string, p *progress) {
		p.paused = false
		if n.mustRestart(p) {
			p.probe(p.match + 1)
		}
		if !n.sendEntries(id, p) {
			n.sendAppend(id, p, nil, 0)
		}
	})
}

// mustRestart reports whether the messages in flight may be lost without a
// trace: a snapshot was not answered, or the log was compacted past the entries
// in flight, so that no heartbeat can refer to them and be refused.
func (n *Node) mustRestart(p *progress) bool {
	if p.state == installing {
		return n.now-p.snapshotSent > snapshotRetryTimeouts*n.cfg.ElectionTimeout
	}
	return p.next <= n.log.baseIndex
}

func (n *Node) broadcastAppend() {
	n.eachPeer(func(id string, p *progress) { n.sendEntries(id, p) })
}

// sendEntries sends what the state of the peer and its window allow, and
// reports whether it sent anything.
func (n *Node) sendEntries(id string, p *progress) (sent bool) {
	for n.windowOpen(p) && p.next <= n.log.last() {
		if p.next <= n.log.baseIndex {
			return n.sendSnapshot(id, p) || sent
		}
		count := uint64(n.cfg.MaxInflightEntries) - p.inflightEntries()
		entries, size := n.log.batch(p.next, count, n.cfg.MaxMessageBytes)
		n.sendAppend(id, p, entries, size)
		sent = true
	}
	return sent
}

func (n *Node) windowOpen(p *progress) bool {
	switch p.state {
	case probing:
		return !p.paused
	case replicating:
		return p.inflightEntries() < uint64(n.cfg.MaxInflightEntries) &&
			p.inflightBytes < windowMessages*n.cfg.MaxMessageBytes
	}
	return false
}

// sendAppend sends entries, or a heartbeat if there are none. A heartbeat to a
// peer that needs a snapshot refers to the empty log, which always matches.
func (n *Node) sendAppend(id string, p *progress, entries []*wirepb.LogEntry, size int) {
	m := &wirepb.RaftMessage{
		Kind: wirepb.RaftMessage_KIND_APPEND, To: id, Entries: entries, Commit: n.commit, Round: n.round,
	}
	if prevTerm, ok := n.log.term(p.next - 1); ok && p.state != installing {
		m.LogIndex, m.LogTerm = p.next-1, prevTerm
	}
	n.send(m)
	if len(entries) > 0 {
		p.sent(entries[len(entries)-1].Index, size)
	}
}

// sendSnapshot sends the latest snapshot to a peer that answers. It reports
// whether it sent one.
func (n *Node) sendSnapshot(id string, p *progress) bool {
	if !p.answered || n.now-p.contact > n.cfg.ElectionTimeout || n.snapshot.Index < p.next {
		return false
	}
	p.state, p.inflight, p.inflightBytes = installing, nil, 0
	p.snapshotIndex, p.snapshotSent = n.snapshot.Index, n.now
	n.send(&wirepb.RaftMessage{
		Kind: wirepb.RaftMessage_KIND_SNAPSHOT, To: id, Commit: n.commit, Round: n.round, Snapshot: n.snapshot,
	})
	return true
}

// ReportSnapshot tells the leader that a snapshot could not be delivered, so
// that it is sent again before the retry time.
func (n *Node) ReportSnapshot(to string, delivered bool, now time.Duration) {
	n.observe(now)
	if p := n.peers[to]; p != nil && p.state == installing && !delivered {
		p.probe(p.match + 1)
		p.paused = true
	}
}

func (n *Node) handleAppend(m *wirepb.RaftMessage) {
	reply := &wirepb.RaftMessage{Kind: wirepb.RaftMessage_KIND_APPEND_REPLY, To: m.From, Round: m.Round}
	end := m.LogIndex + uint64(len(m.Entries))
	switch {
	case end <= n.commit:
		n.mustMatchCommitted(m)
		reply.LogIndex = n.commit
	case m.LogIndex >= n.commit && !n.log.matches(m.LogIndex, m.LogTerm):
		reply.Reject, reply.LogIndex = true, m.LogIndex
		reply.HintIndex, reply.LogTerm = n.log.conflictHint(m.LogIndex, m.LogTerm)
	default:
		n.mustMatchCommitted(m)
		n.appendReceived(m.Entries[max(n.commit, m.LogIndex)-m.LogIndex:])
		reply.LogIndex = end
		n.commitTo(max(n.commit, min(m.Commit, end)))
	}
	n.sendAfterPersist(reply)
}

// mustMatchCommitted asserts that a leader of a valid term holds the committed
// entries of this replica.
func (n *Node) mustMatchCommitted(m *wirepb.RaftMessage) {
	agree := func(index, term uint64) {
		own, ok := n.log.term(index)
		invariant.Must(!ok || index > n.commit || own == term, "raft_leader_completeness",
			"leader %q of term %d has term %d at committed index %d of term %d", m.From, m.Term, term, index, own)
	}
	agree(m.LogIndex, m.LogTerm)
	for _, e := range m.Entries {
		agree(e.Index, e.Term)
	}
}

// appendReceived adds the entries of a leader, and drops own entries that
// conflict with them. Entries that are already present stay, because a delayed
// message may hold only the start of what was acknowledged since.
func (n *Node) appendReceived(entries []*wirepb.LogEntry) {
	for _, e := range entries {
		if e.Index <= n.log.last() {
			if n.log.matches(e.Index, e.Term) {
				n.mustEqual(e)
				continue
			}
			n.truncate(e.Index)
		}
		n.appendEntry(e)
	}
}

func (n *Node) mustEqual(e *wirepb.LogEntry) {
	own := n.log.entry(e.Index)
	invariant.Must(own.Kind == e.Kind && bytes.Equal(own.Data, e.Data), "raft_log_matching",
		"two entries at index %d of term %d", e.Index, e.Term)
}

func (n *Node) truncate(index uint64) {
	invariant.Must(index > n.commit, "raft_committed_unchanged", "truncation at %d, committed is %d", index, n.commit)
	n.log.truncate(index)
	n.revertMembership(index)
}

// commitTo raises the commit index.
func (n *Node) commitTo(index uint64) {
	invariant.Must(index >= n.commit, "raft_commit_monotonic", "commit %d after %d", index, n.commit)
	invariant.Must(index <= n.log.last(), "raft_commit_in_log", "commit %d, last index %d", index, n.log.last())
	n.commit = index
}

func (n *Node) handleAppendReply(m *wirepb.RaftMessage) {
	p := n.peers[m.From]
	if n.role != Leader || p == nil {
		return
	}
	n.answeredRound(p, m.Round)
	if m.Reject {
		n.handleConflict(p, m)
	} else {
		n.handleAck(m.From, p, m.LogIndex)
	}
	n.sendEntries(m.From, p)
}

// handleConflict moves back to where the logs may match. An answer to an older
// message than the last one is stale and has no effect.
func (n *Node) handleConflict(p *progress, m *wirepb.RaftMessage) {
	switch {
	case p.state == installing, m.LogIndex <= p.match:
		return
	case p.state == probing && m.LogIndex != p.next-1:
		return
	}
	hint := min(m.HintIndex, m.LogIndex-1)
	if hint >= n.log.baseIndex {
		hint, _ = n.log.conflictHint(hint, m.LogTerm)
	}
	p.probe(hint + 1)
}

func (n *Node) handleAck(id string, p *progress, index uint64) {
	news := p.acknowledged(index)
	switch {
	case p.state == installing && p.match >= p.snapshotIndex, p.state == probing && (news || index >= p.next-1):
		p.replicate()
	case p.state == probing:
		p.paused = false
	}
	if news {
		n.maybeCommit()
		n.transferCaughtUp(id)
	}
}

// maybeCommit commits what a quorum holds durably. Only an entry of the own
// term is committed by counting: an older entry on a quorum may still be
// replaced by a leader that doesn't hold it.
func (n *Node) maybeCommit() {
	if n.role != Leader {
		return
	}
	matches := make([]uint64, 0, len(n.membership().Voters))
	for _, r := range n.membership().Voters {
		n.mustCount(r.Id)
		matches = append(matches, n.matchOf(r.Id))
	}
	slices.Sort(matches)
	index := matches[len(matches)-n.quorum()]
	if index <= n.commit || !n.log.matches(index, n.term) {
		return
	}
	n.releaseUncommitted(index)
	n.commitTo(index)
	// Followers learn the commit index at once instead of a heartbeat later.
	n.eachPeer(func(id string, p *progress) {
		if !n.sendEntries(id, p) && p.state == replicating {
			n.sendAppend(id, p, nil, 0)
		}
	})
}

// matchOf returns the last index that is durable on a member.
func (n *Node) matchOf(id string) uint64 {
	switch {
	case id != n.cfg.ID:
		return n.peers[id].match
	case n.off.persistBeforeCount:
		return n.log.last()
	}
	return n.log.stable
}

func (n *Node) releaseUncommitted(commit uint64) {
	for i := max(n.commit, n.termStart) + 1; i <= commit; i++ {
		if e := n.log.entry(i); e.Kind == wirepb.LogEntry_KIND_COMMAND {
			n.uncommittedBytes -= entrySize(e)
		}
	}
}

// handleSnapshot replaces the log by a snapshot unless the log already
// contains it.
func (n *Node) handleSnapshot(m *wirepb.RaftMessage) {
	s := m.Snapshot
	switch {
	case s.Index <= n.commit:
	case n.log.matches(s.Index, s.Term):
		n.commitTo(s.Index)
	default:
		n.log.reset(s.Index, s.Term)
		n.memberships = []membershipAt{{index: s.Index, m: proto.CloneOf(s.Membership)}}
		n.installing = s
		n.commitTo(s.Index)
	}
	n.sendAfterPersist(&wirepb.RaftMessage{
		Kind: wirepb.RaftMessage_KIND_SNAPSHOT_REPLY, To: m.From, LogIndex: n.commit, Round: m.Round,
	})
}

func (n *Node) handleSnapshotReply(m *wirepb.RaftMessage) {
	p := n.peers[m.From]
	if n.role != Leader || p == nil {
		return
	}
	n.answeredRound(p, m.Round)
	n.handleAck(m.From, p, m.LogIndex)
	n.sendEntries(m.From, p)
}
