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
	l := n.lastReady
	return l.Term != n.term || l.Vote != n.vote || l.Commit != n.commit
}

// HasReady reports whether Ready would return work.
func (n *Node) HasReady() bool {
	if n.outstanding {
		return false
	}
	return n.hardStateChanged() || n.installing != nil || len(n.messages) > 0 || len(n.afterPersist) > 0 ||
		n.handed < n.commit || n.log.stable < n.log.last()
}

// Ready returns the outstanding work, see the type Ready.
func (n *Node) Ready() Ready {
	invariant.Must(!n.outstanding, "raft_one_ready", "Ready called again before Advance")
	n.outstanding = true
	rd := Ready{
		Entries:      n.log.unstable(),
		Snapshot:     n.installing,
		Messages:     n.messages,
		AfterPersist: n.currentPromises(),
	}
	n.messages, n.afterPersist, n.installing = nil, nil, nil
	rd.MustSync = len(rd.Entries) > 0 || rd.Snapshot != nil ||
		n.lastReady.Term != n.term || n.lastReady.Vote != n.vote
	if n.hardStateChanged() {
		rd.HardState = n.hardState()
		n.lastReady = n.hardState()
	}
	rd.Committed = n.takeCommitted(rd.Snapshot)
	rd.persisted = Persisted{
		Term: n.term, Vote: n.vote,
		LastIndex: n.log.last(), LastTerm: n.log.lastTerm(),
		Applied: n.handed,
	}
	return rd
}

// currentPromises returns the waiting messages of the current term. Those of
// older terms may speak of entries or votes that were replaced before they
// became durable, and nobody needs them.
func (n *Node) currentPromises() []*wirepb.RaftMessage {
	return slices.DeleteFunc(n.afterPersist, func(m *wirepb.RaftMessage) bool { return m.Term < n.term })
}

// takeCommitted hands out the committed entries that follow those handed out
// before, or the snapshot that replaces them.
func (n *Node) takeCommitted(s *wirepb.Snapshot) []*wirepb.LogEntry {
	if s != nil {
		n.handed = s.Index
		n.snapshot = s
	}
	entries := n.log.slice(n.handed+1, n.commit)
	n.handed = n.commit
	return entries
}

// Advance reports that the work of the last Ready is done. Only now do the own
// vote and the own entries count.
func (n *Node) Advance(p Persisted) {
	invariant.Must(n.outstanding, "raft_one_ready", "Advance called without Ready")
	invariant.Must(p.Applied <= n.commit, "raft_applied_committed", "applied %d, committed %d", p.Applied, n.commit)
	n.outstanding = false
	n.durableTerm, n.durableVote = p.Term, p.Vote
	n.applied = max(n.applied, p.Applied)
	n.log.persisted(p.LastIndex, p.LastTerm)
	if n.role == Candidate && n.durableTerm == n.term && n.durableVote == n.cfg.ID {
		n.countOwnVote()
	}
	n.maybeCommit()
}

// Compact drops the entries that a durable snapshot covers. The last entries
// stay in memory, so that a replica that lags by little needs no snapshot.
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
		n.log.dropTo(s.Index - keep)
	}
	n.pruneMemberships(s.Index)
}
