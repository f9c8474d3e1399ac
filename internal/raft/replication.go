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

// snapshotRetryElectionTimeouts is the time after which a snapshot without a
// reply is sent again, in election timeouts. It allows for the transfer of a
// large snapshot.
const snapshotRetryElectionTimeouts = 10

// Propose appends a command and returns its position in the log. The command is
// committed if and only if an entry with this index and term is committed. If
// the leadership ends before that, the outcome is unknown. Propose returns
// ErrNotLeader, ErrTransferring or ErrTooManyUncommitted if the command was not
// appended.
func (n *Node) Propose(data []byte, now time.Duration) (index, term uint64, err error) {
	n.advanceClock(now)
	switch {
	case n.role != Leader:
		return 0, 0, ErrNotLeader{Leader: n.leader}
	case n.transfer.target != "":
		return 0, 0, errors.Trace(ErrTransferring)
	case n.isUncommittedFull(len(data) + entryOverhead):
		return 0, 0, errors.Trace(ErrTooManyUncommitted)
	}
	e := n.appendOwn(wirepb.LogEntry_KIND_COMMAND, data)
	n.uncommittedBytes += entrySize(e)
	n.broadcastAppend()
	return e.Index, e.Term, nil
}

// isUncommittedFull reports whether a proposal of the given size in bytes would
// exceed the limits on uncommitted entries.
func (n *Node) isUncommittedFull(size int) bool {
	return n.log.last()-n.commit >= uint64(n.cfg.MaxInflightEntries) ||
		(n.uncommittedBytes > 0 && n.uncommittedBytes+size > windowMessages*n.cfg.MaxMessageBytes)
}

// appendOwn appends a new entry in the leader's term.
func (n *Node) appendOwn(kind wirepb.LogEntry_Kind, data []byte) *wirepb.LogEntry {
	e := &wirepb.LogEntry{Index: n.log.last() + 1, Term: n.term, Kind: kind, Data: data}
	n.appendEntry(e)
	if n.disabled.persistBeforeCount {
		n.maybeCommit()
	}
	return e
}

// appendEntry appends one entry. A membership takes effect immediately.
func (n *Node) appendEntry(e *wirepb.LogEntry) {
	n.log.append(e)
	if e.Kind == wirepb.LogEntry_KIND_MEMBERSHIP {
		n.adoptMembership(e)
	}
}

// syncPeers updates the set of tracked peers to the membership in force. It has
// no effect unless the replica is the leader.
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

// forEachPeer calls f for every peer in the order of the membership, so that
// equal inputs give equal outputs.
func (n *Node) forEachPeer(f func(id string, p *progress)) {
	m := n.membership()
	for _, r := range slices.Concat(m.Voters, m.Learners) {
		if p := n.peers[r.Id]; p != nil {
			f(r.Id, p)
		}
	}
}

// heartbeat starts a heartbeat round and sends a message to every peer, with
// entries where the flow control window permits.
func (n *Node) heartbeat() {
	n.nextHeartbeat = n.now + n.cfg.HeartbeatInterval
	n.startRound()
	n.sendTimeoutNow()
	n.forEachPeer(func(id string, p *progress) {
		p.paused = false
		if n.needsProbeRestart(p) {
			p.becomeProbe(p.match + 1)
		}
		if !n.sendEntries(id, p) {
			n.sendAppend(id, p, nil, 0)
		}
	})
}

// needsProbeRestart reports whether the messages in flight may have been lost
// without the leader being able to detect it: a snapshot got no reply within the
// retry time, or the log was compacted past the entries in flight, so that no
// heartbeat can refer to them and be rejected.
func (n *Node) needsProbeRestart(p *progress) bool {
	if p.state == installing {
		return n.now-p.snapshotSent > snapshotRetryElectionTimeouts*n.cfg.ElectionTimeout
	}
	return p.next <= n.log.baseIndex
}

func (n *Node) broadcastAppend() {
	n.forEachPeer(func(id string, p *progress) { n.sendEntries(id, p) })
}

// sendEntries sends the pending entries, or a snapshot, as far as the peer's
// state and flow control window permit, and reports whether it sent anything.
func (n *Node) sendEntries(id string, p *progress) (sent bool) {
	for n.isWindowOpen(p) && p.next <= n.log.last() {
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

// isWindowOpen reports whether flow control permits sending entries to the peer.
func (n *Node) isWindowOpen(p *progress) bool {
	switch p.state {
	case probing:
		return !p.paused
	case replicating:
		return p.inflightEntries() < uint64(n.cfg.MaxInflightEntries) &&
			p.inflightBytes < windowMessages*n.cfg.MaxMessageBytes
	}
	return false
}

// sendAppend sends entries of the given total size in bytes, or a heartbeat if
// there are none. A heartbeat to a peer that needs a snapshot refers to index 0,
// the empty log, which always matches.
func (n *Node) sendAppend(id string, p *progress, entries []*wirepb.LogEntry, size int) {
	m := &wirepb.RaftMessage{
		Kind: wirepb.RaftMessage_KIND_APPEND, To: id, Entries: entries, Commit: n.commit, Round: n.round,
	}
	if prevTerm, ok := n.log.term(p.next - 1); ok && p.state != installing {
		m.LogIndex, m.LogTerm = p.next-1, prevTerm
	}
	n.send(m)
	if len(entries) > 0 {
		p.recordSent(entries[len(entries)-1].Index, size)
	}
}

// sendSnapshot sends the latest snapshot to the peer, if the snapshot covers the
// next entry to send and the peer has answered a heartbeat round of the last
// election timeout. It reports whether it sent one.
func (n *Node) sendSnapshot(id string, p *progress) bool {
	if !p.hasContact || n.now-p.lastContact > n.cfg.ElectionTimeout || n.snapshot.Index < p.next {
		return false
	}
	p.state, p.inflight, p.inflightBytes = installing, nil, 0
	p.snapshotIndex, p.snapshotSent = n.snapshot.Index, n.now
	n.send(&wirepb.RaftMessage{
		Kind: wirepb.RaftMessage_KIND_SNAPSHOT, To: id, Commit: n.commit, Round: n.round, Snapshot: n.snapshot,
	})
	return true
}

// ReportSnapshot reports whether a snapshot was delivered to the peer. A snapshot
// that was not delivered is sent again before the retry time.
func (n *Node) ReportSnapshot(to string, delivered bool, now time.Duration) {
	n.advanceClock(now)
	if p := n.peers[to]; p != nil && p.state == installing && !delivered {
		p.becomeProbe(p.match + 1)
		p.paused = true
	}
}

// handleAppend appends the entries of the leader, or rejects them if the log
// doesn't match at the entry before them.
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

// mustMatchCommitted asserts that the message of a leader with a valid term
// agrees with the committed entries of this replica.
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

// appendReceived appends entries received from a leader and truncates the log at
// the first conflicting entry. Matching entries, and the entries after them, are
// kept, because a delayed message may hold only a prefix of what this replica has
// acknowledged since.
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

// mustEqual asserts that an entry received again equals the one in the log.
func (n *Node) mustEqual(e *wirepb.LogEntry) {
	own := n.log.entry(e.Index)
	invariant.Must(own.Kind == e.Kind && bytes.Equal(own.Data, e.Data), "raft_log_matching",
		"two entries at index %d of term %d", e.Index, e.Term)
}

// truncate drops the uncommitted entries from index on, and reverts their
// memberships.
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
	n.recordRoundReply(p, m.Round)
	if m.Reject {
		n.handleReject(p, m)
	} else {
		n.handleAck(m.From, p, m.LogIndex)
	}
	n.sendEntries(m.From, p)
}

// handleReject moves the next index back to the last position where the logs may
// match. A reply to an older message than the last one is stale and is ignored.
func (n *Node) handleReject(p *progress, m *wirepb.RaftMessage) {
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
	p.becomeProbe(hint + 1)
}

// handleAck processes an acknowledgement that the peer holds the log up to index
// durably.
func (n *Node) handleAck(id string, p *progress, index uint64) {
	advanced := p.recordAck(index)
	switch {
	case p.state == installing && p.match >= p.snapshotIndex, p.state == probing && (advanced || index >= p.next-1):
		p.becomeReplicate()
	case p.state == probing:
		p.paused = false
	}
	if advanced {
		n.maybeCommit()
		n.maybeSendTimeoutNow(id)
	}
}

// maybeCommit commits the entries that a quorum holds durably. Only an entry of
// the leader's own term is committed by counting replicas: an entry of an older
// term that is stored on a quorum may still be replaced by a leader that doesn't
// hold it.
func (n *Node) maybeCommit() {
	if n.role != Leader {
		return
	}
	matches := make([]uint64, 0, len(n.membership().Voters))
	for _, r := range n.membership().Voters {
		n.mustCount(r.Id)
		matches = append(matches, n.matchIndex(r.Id))
	}
	slices.Sort(matches)
	index := matches[len(matches)-n.quorum()]
	if index <= n.commit || !n.log.matches(index, n.term) {
		return
	}
	n.releaseUncommitted(index)
	n.commitTo(index)
	// Send the commit index to the followers now instead of with the next
	// heartbeat.
	n.forEachPeer(func(id string, p *progress) {
		if !n.sendEntries(id, p) && p.state == replicating {
			n.sendAppend(id, p, nil, 0)
		}
	})
}

// matchIndex returns the last index known to be durable on a voter.
func (n *Node) matchIndex(id string) uint64 {
	switch {
	case id != n.cfg.ID:
		return n.peers[id].match
	case n.disabled.persistBeforeCount:
		return n.log.last()
	}
	return n.log.stable
}

// releaseUncommitted subtracts the size of the proposals up to the new commit
// index from uncommittedBytes.
func (n *Node) releaseUncommitted(commit uint64) {
	for i := max(n.commit, n.termStartIndex) + 1; i <= commit; i++ {
		if e := n.log.entry(i); e.Kind == wirepb.LogEntry_KIND_COMMAND {
			n.uncommittedBytes -= entrySize(e)
		}
	}
}

// handleSnapshot replaces the log with the received snapshot unless the log
// already contains the last entry of the snapshot.
func (n *Node) handleSnapshot(m *wirepb.RaftMessage) {
	s := m.Snapshot
	switch {
	case s.Index <= n.commit:
	case n.log.matches(s.Index, s.Term):
		n.commitTo(s.Index)
	default:
		n.log.reset(s.Index, s.Term)
		n.memberships = []indexedMembership{newIndexedMembership(s.Index, proto.CloneOf(s.Membership))}
		n.unstableSnapshot = s
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
	n.recordRoundReply(p, m.Round)
	n.handleAck(m.From, p, m.LogIndex)
	n.sendEntries(m.From, p)
}
