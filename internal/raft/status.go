package raft

import (
	"maps"
	"time"
)

// Status returns the state of the replica for the state dump. The caller must not modify the
// list of retired identities, which is long and therefore not copied.
func (n *Node) Status(now time.Duration) Status {
	m := n.membership()
	_, age := n.LeaderContact(now)
	return Status{
		ID: n.cfg.ID, Role: n.role, Term: n.term, Vote: n.vote, Leader: n.leader,
		LeaderContact: age, LeaseValid: n.LeaseValid(now), TransferringTo: n.transfer.target,
		Commit: n.commit, LeaderCommit: n.LeaderCommit(), Applied: n.applied,
		FirstIndex: n.log.baseIndex + 1, LastIndex: n.log.last(), PersistedIndex: n.log.stable,
		SnapshotIndex: n.snapshot.Index,
		Voters:        replicaIDs(m.Voters), Learners: replicaIDs(m.Learners), Retired: m.Retired,
		SelfRetired: n.Retired(), MembershipIndex: n.membershipIndex(), MembershipPending: n.isMembershipPending(),
		RepairIncomplete: len(m.Learners) > 0 || n.isMembershipPending(),
		Progress:         n.peerStatus(), Rejected: maps.Clone(n.rejected),
	}
}

func (n *Node) peerStatus() []PeerStatus {
	var out []PeerStatus
	n.forEachPeer(func(id string, p *progress) {
		out = append(out, PeerStatus{
			ID: id, Learner: !n.isVoter(id), State: string(p.state), Match: p.match, Next: p.next,
			InflightEntries: p.inflightEntries(), InflightBytes: p.inflightBytes, SinceLastContact: n.sinceLastContact(p),
		})
	})
	return out
}

// sinceLastContact returns the time since the last heartbeat round that the peer
// has answered, or since the election of this leader if that is later.
func (n *Node) sinceLastContact(p *progress) time.Duration {
	if !p.hasContact {
		return n.now - n.leaderSince
	}
	return n.now - max(p.lastContact, n.leaderSince)
}
