package raft

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"bilberryhub/internal/invariant"
	"bilberryhub/internal/wirepb"
)

func (n *Node) hardState() *wirepb.HardState {
	return &wirepb.HardState{Term: n.term, Vote: n.vote, Commit: n.commit}
}

func (n *Node) hardStateChanged() bool {
	l := n.lastHardState
	return l.Term != n.term || l.Vote != n.vote || l.Commit != n.commit
}

// HasReady reports whether Ready would return work.
func (n *Node) HasReady() bool {
	if n.readyOutstanding {
		return false
	}
	return n.hardStateChanged() || n.unstableSnapshot != nil || len(n.messages) > 0 || len(n.afterPersist) > 0 ||
		n.applying < n.commit || n.log.stable < n.log.last()
}

// Ready returns the work that the caller must do. See the type Ready.
func (n *Node) Ready() Ready {
	invariant.Must(!n.readyOutstanding, "raft_one_ready", "Ready called again before Advance")
	n.readyOutstanding = true
	rd := Ready{
		Entries:      n.log.unstable(),
		Snapshot:     n.unstableSnapshot,
		Messages:     n.messages,
		AfterPersist: n.currentTermMessages(),
	}
	n.messages, n.afterPersist, n.unstableSnapshot = nil, nil, nil
	rd.MustSync = len(rd.Entries) > 0 || rd.Snapshot != nil ||
		n.lastHardState.Term != n.term || n.lastHardState.Vote != n.vote
	if n.hardStateChanged() {
		rd.HardState = n.hardState()
		n.lastHardState = n.hardState()
	}
	rd.Committed = n.takeCommitted(rd.Snapshot)
	rd.persisted = Persisted{
		Term: n.term, Vote: n.vote,
		LastIndex: n.log.last(), LastTerm: n.log.lastTerm(),
		Applied: n.applying,
	}
	return rd
}

// currentTermMessages returns the queued messages of the current term that wait
// for durable state. Messages of older terms are dropped: they may refer to
// entries or votes that were replaced before they became durable, and no
// replica needs them.
func (n *Node) currentTermMessages() []*wirepb.RaftMessage {
	return slices.DeleteFunc(n.afterPersist, func(m *wirepb.RaftMessage) bool { return m.Term < n.term })
}

// takeCommitted returns the committed entries that were not returned before. If
// s is not nil, it replaces the entries that it covers.
func (n *Node) takeCommitted(s *wirepb.Snapshot) []*wirepb.LogEntry {
	if s != nil {
		n.applying = s.Index
		n.snapshot = s
	}
	entries := n.log.slice(n.applying+1, n.commit)
	n.applying = n.commit
	return entries
}

// Advance reports that the work of the last Ready is done. The replica's own
// vote and log entries are counted only from this point on.
func (n *Node) Advance(p Persisted) {
	invariant.Must(n.readyOutstanding, "raft_one_ready", "Advance called without Ready")
	invariant.Must(p.Applied <= n.commit, "raft_applied_committed", "applied %d, committed %d", p.Applied, n.commit)
	n.readyOutstanding = false
	n.durableTerm, n.durableVote = p.Term, p.Vote
	n.applied = max(n.applied, p.Applied)
	n.log.markStable(p.LastIndex, p.LastTerm)
	if n.role == Candidate && n.durableTerm == n.term && n.durableVote == n.cfg.ID {
		n.countOwnVote()
	}
	n.maybeCommit()
}

// Compact drops the entries that a durable snapshot covers. The last
// MaxInflightEntries of them are kept in memory, so that a replica that lags
// only slightly behind needs no snapshot.
func (n *Node) Compact(s *wirepb.Snapshot) {
	if s.GetIndex() <= n.snapshot.Index {
		return
	}
	invariant.Must(s.Index <= n.applied, "raft_snapshot_applied", "snapshot at %d, applied %d", s.Index, n.applied)
	invariant.Must(n.log.matches(s.Index, s.Term), "raft_snapshot_in_log", "snapshot at %d of term %d", s.Index, s.Term)
	invariant.Must(proto.Equal(s.Membership, n.MembershipAt(s.Index)), "raft_snapshot_membership",
		"snapshot at %d with membership %v", s.Index, s.Membership)
	n.snapshot = s
	if keep := uint64(n.cfg.MaxInflightEntries); s.Index > keep {
		n.log.compactTo(s.Index - keep)
	}
	n.pruneMemberships(s.Index)
}
