package raft

import (
	"maps"
	"slices"
	"time"
)

// Status describes the replica for the state dump.
func (n *Node) Status(now time.Duration) Status {
	m := n.membership()
	_, age := n.LeaderContact(now)
	return Status{
		ID: n.cfg.ID, Role: n.role, Term: n.term, Vote: n.vote, Leader: n.leader,
		LeaderContact: age, LeaseValid: n.LeaseValid(now), TransferringTo: n.transfer.to,
		Commit: n.commit, LeaderCommit: n.LeaderCommit(), Applied: n.applied,
		FirstIndex: n.log.baseIndex + 1, LastIndex: n.log.last(), PersistedIndex: n.log.stable,
		SnapshotIndex: n.snapshot.Index,
		Voters:        ids(m.Voters), Learners: ids(m.Learners), Retired: slices.Clone(m.Retired),
		SelfRetired: n.Retired(), MembershipIndex: n.membershipIndex(), MembershipPending: n.membershipPending(),
		RepairIncomplete: len(m.Learners) > 0 || n.membershipPending(),
		Progress:         n.peerStatus(), Rejected: maps.Clone(n.rejected),
	}
}

func (n *Node) peerStatus() []PeerStatus {
	var out []PeerStatus
	n.eachPeer(func(id string, p *progress) {
		out = append(out, PeerStatus{
			ID: id, Learner: !n.isVoter(id), State: string(p.state), Match: p.match, Next: p.next,
			InflightEntries: p.inflightEntries(), InflightBytes: p.inflightBytes, SilentFor: n.silentFor(p),
		})
	})
	return out
}

// silentFor returns the time since the last round that a replica has answered.
func (n *Node) silentFor(p *progress) time.Duration {
	if !p.answered {
		return n.now - n.leadSince
	}
	return n.now - max(p.contact, n.leadSince)
}
