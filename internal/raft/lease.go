package raft

import (
	"math"
	"slices"
	"time"

	"bilberryhub/internal/invariant"
)

// beforeAnyContact is a time before the start of any process.
const beforeAnyContact = time.Duration(math.MinInt64 / 2)

// advanceClock moves the clock of the replica forward to now. A gap of more than
// half an election timeout between two calls indicates a stall of the process or
// a jump of its clock. The gap doesn't count as time without contact with the
// leader, because unread messages may be pending, and an early vote would violate
// the lease of a healthy leader.
func (n *Node) advanceClock(now time.Duration) {
	if now <= n.now {
		return
	}
	if gap := now - n.now; gap > n.cfg.ElectionTimeout/2 && n.role != Leader && !n.disabled.stallGuard {
		n.leaseContact += gap
		n.electionDeadline += gap
	}
	n.now = now
	if n.role == Leader {
		n.checkQuorum()
	}
}

// leaseDuration returns the length of a lease: for this long after the start of
// a heartbeat round, no voter that answered the round votes for another replica.
func (n *Node) leaseDuration() time.Duration { return n.cfg.ElectionTimeout - n.cfg.MaxClockDrift }

// hasRecentLeader reports whether the replica is the leader, or had contact with
// a leader so recently that this leader may hold a lease. The start of the
// process counts as contact, because the last contact before a restart is
// unknown.
func (n *Node) hasRecentLeader() bool {
	if n.disabled.stickiness || (n.disabled.quietStart && !n.hasLeaderMessage) {
		return false
	}
	return n.role == Leader || n.now-n.leaseContact < n.cfg.ElectionTimeout
}

// recordLeaderContact records the receipt of a message from a leader with a valid
// term.
func (n *Node) recordLeaderContact(leader string) {
	n.leader = leader
	n.leaseContact, n.leaseContactTerm = n.now, n.term
	n.lastLeaderMessage, n.hasLeaderMessage = n.now, true
	n.resetElectionDeadline()
}

// startRound starts a heartbeat round. Every message sent until the next round
// carries its number.
func (n *Node) startRound() {
	n.round++
	n.roundSendTimes = append(n.roundSendTimes, n.now)
	expired := 0
	for expired < len(n.roundSendTimes)-1 && n.now-n.roundSendTimes[expired] > n.cfg.ElectionTimeout {
		expired++
	}
	n.roundSendTimes = n.roundSendTimes[expired:]
}

// recordRoundReply records the reply of a replica to a heartbeat round. It uses
// the send time of the round, not the receipt time of the reply: a voter starts
// to refuse votes when it receives the heartbeat, which is not before it was
// sent.
func (n *Node) recordRoundReply(p *progress, round uint64) {
	oldest := n.round - uint64(len(n.roundSendTimes)) + 1
	if round >= oldest && round <= n.round {
		p.hasContact, p.lastContact = true, max(p.lastContact, n.roundSendTimes[round-oldest])
	}
}

// quorumContact returns the send time of the latest heartbeat round that a quorum
// has answered. The argument unanswered is the time used for voters that have not
// answered any round.
func (n *Node) quorumContact(unanswered time.Duration) time.Duration {
	times := make([]time.Duration, 0, len(n.membership().Voters))
	for _, r := range n.membership().Voters {
		n.mustCount(r.Id)
		switch p := n.peers[r.Id]; {
		case r.Id == n.cfg.ID:
			times = append(times, n.now)
		case p.hasContact:
			times = append(times, p.lastContact)
		default:
			times = append(times, unanswered)
		}
	}
	slices.Sort(times)
	return times[len(times)-n.quorum()]
}

// checkQuorum makes a leader step down if it has lost contact with a quorum. It
// runs whenever the clock advances, before any action of a leader, so that a
// leader never acts beyond its lease.
func (n *Node) checkQuorum() {
	if n.disabled.checkQuorum {
		return
	}
	if n.now-n.quorumContact(n.leaderSince) >= n.leaseDuration() {
		n.becomeFollower(n.term, "")
	}
}

// LeaseValid reports whether the replica is the leader and no other replica
// can be leader at the time now. The lease is measured from the send time of
// the last heartbeat round answered by a quorum. It starts only after an entry
// of the leader's term is committed, because until then the leader can't
// determine which entries of earlier leaders are committed. It ends when the
// leader sends TIMEOUT_NOW.
func (n *Node) LeaseValid(now time.Duration) bool {
	if n.role != Leader || n.transfer.timeoutNowSent || (n.commit < n.termStartIndex && !n.disabled.leaseAfterCommit) {
		return false
	}
	if len(n.membership().Voters) == 1 {
		return true
	}
	return max(now, n.now)-n.quorumContact(beforeAnyContact) < n.leaseDuration()
}

// LeaderContact returns the ID of the known leader, or an empty string, and the
// time since the last message from a leader with a valid term. The age is
// negative if there was none since the start. On the leader, the age is the time
// since the last contact with a quorum.
func (n *Node) LeaderContact(now time.Duration) (leader string, age time.Duration) {
	now = max(now, n.now)
	switch {
	case n.role == Leader:
		return n.cfg.ID, now - n.quorumContact(n.leaderSince)
	case !n.hasLeaderMessage:
		return n.leader, -1
	}
	return n.leader, now - n.lastLeaderMessage
}

// LeaderCommit returns the highest commit index that a leader has announced. A
// replica whose own commit index is lower is behind, however recent its contact
// with a leader is. The age of the contact doesn't show this, because it is also
// recent if the entries of the leader don't arrive, or if the leader has not yet
// committed an entry of its term.
func (n *Node) LeaderCommit() uint64 { return max(n.leaderCommit, n.commit) }

// mustBeValidLeader asserts the preconditions for becoming leader.
func (n *Node) mustBeValidLeader() {
	invariant.Must(n.isVoter(n.cfg.ID), "raft_leader_is_voter", "%q leads term %d", n.cfg.ID, n.term)
	invariant.Must(n.commit <= n.log.last(), "raft_leader_completeness",
		"leader of term %d has last index %d below commit %d", n.term, n.log.last(), n.commit)
	invariant.Must(n.leader == "" || n.leader == n.cfg.ID, "raft_one_leader_per_term",
		"%q elected in term %d of leader %q", n.cfg.ID, n.term, n.leader)
}
