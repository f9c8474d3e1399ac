package raft

import (
	"math"
	"slices"
	"time"

	"bilberryhub/internal/invariant"
)

// never is a time before any start of a process.
const never = time.Duration(math.MinInt64 / 2)

// observe moves the clock of the replica. A gap of more than half an election
// timeout between two observations is a stall of the process or a jump of its
// clock: it doesn't count as silence of the leader, because messages may wait
// unread, and an early vote would break the lease of a healthy leader.
func (n *Node) observe(now time.Duration) {
	if now <= n.now {
		return
	}
	if gap := now - n.now; gap > n.cfg.ElectionTimeout/2 && n.role != Leader && !n.off.stallGuard {
		n.contact += gap
		n.electionDeadline += gap
	}
	n.now = now
	if n.role == Leader {
		n.checkQuorum()
	}
}

// leaseDuration is the time after the start of a heartbeat round in which no
// voter that answered the round votes for another replica.
func (n *Node) leaseDuration() time.Duration { return n.cfg.ElectionTimeout - n.cfg.MaxClockDrift }

// sticky reports whether the replica has heard from a leader so recently that
// this leader may hold a lease. The start of the process counts as contact,
// because the last contact before a restart is unknown.
func (n *Node) sticky() bool {
	if n.off.stickiness || (n.off.quietStart && !n.leaderHeard) {
		return false
	}
	return n.role == Leader || n.now-n.contact < n.cfg.ElectionTimeout
}

// heardLeader records a message of a leader with a valid term.
func (n *Node) heardLeader(leader string) {
	n.leader = leader
	n.contact, n.contactTerm = n.now, n.term
	n.leaderContact, n.leaderHeard = n.now, true
	n.resetElectionDeadline()
}

// startRound starts a heartbeat round. Every message sent until the next round
// carries its number.
func (n *Node) startRound() {
	n.round++
	n.rounds = append(n.rounds, n.now)
	expired := 0
	for expired < len(n.rounds)-1 && n.now-n.rounds[expired] > n.cfg.ElectionTimeout {
		expired++
	}
	n.rounds = n.rounds[expired:]
}

// answeredRound records the answer of a replica to a heartbeat round. The send
// time counts, not the receipt of the answer: the voter's promise starts when
// it receives the message, which is not before it was sent.
func (n *Node) answeredRound(p *progress, round uint64) {
	oldest := n.round - uint64(len(n.rounds)) + 1
	if round >= oldest && round <= n.round {
		p.answered, p.contact = true, max(p.contact, n.rounds[round-oldest])
	}
}

// quorumContact returns the send time of the latest round that a quorum has
// answered. The time unanswered stands for voters that have answered none.
func (n *Node) quorumContact(unanswered time.Duration) time.Duration {
	times := make([]time.Duration, 0, len(n.membership().Voters))
	for _, r := range n.membership().Voters {
		n.mustCount(r.Id)
		switch p := n.peers[r.Id]; {
		case r.Id == n.cfg.ID:
			times = append(times, n.now)
		case p.answered:
			times = append(times, p.contact)
		default:
			times = append(times, unanswered)
		}
	}
	slices.Sort(times)
	return times[len(times)-n.quorum()]
}

// checkQuorum ends the leadership of a leader without contact to a quorum. It
// runs before every action of a leader, so a leader never acts beyond its lease.
func (n *Node) checkQuorum() {
	if n.off.checkQuorum {
		return
	}
	if n.now-n.quorumContact(n.leadSince) >= n.leaseDuration() {
		n.becomeFollower(n.term, "")
	}
}

// LeaseValid reports whether the replica is the leader and no other replica
// can be leader at the time now. The lease is measured from the send time of
// the last heartbeat round answered by a quorum, and starts only after an entry
// of the leader's term is committed, because before that the leader doesn't
// know which entries of earlier leaders are committed.
func (n *Node) LeaseValid(now time.Duration) bool {
	if n.role != Leader || n.transfer.sent || (n.commit < n.termStart && !n.off.leaseAfterCommit) {
		return false
	}
	if len(n.membership().Voters) == 1 {
		return true
	}
	return max(now, n.now)-n.quorumContact(never) < n.leaseDuration()
}

// LeaderContact returns the known leader and the time since its last message
// with a valid term. The age is negative if no leader has been heard since the
// start. On the leader it is the time since the last contact with a quorum.
func (n *Node) LeaderContact(now time.Duration) (leader string, age time.Duration) {
	now = max(now, n.now)
	switch {
	case n.role == Leader:
		return n.cfg.ID, now - n.quorumContact(n.leadSince)
	case !n.leaderHeard:
		return n.leader, -1
	}
	return n.leader, now - n.leaderContact
}

// LeaderCommit returns the highest commit index that a leader has announced. A
// replica whose own commit index is below it lags behind, however recent its
// contact is. Contact doesn't show it, because a leader whose entries don't
// arrive or that has not yet committed an entry of its term is heard as well.
func (n *Node) LeaderCommit() uint64 { return max(n.leaderCommit, n.commit) }

// mustLead asserts what a leader relies on.
func (n *Node) mustLead() {
	invariant.Must(n.isVoter(n.cfg.ID), "raft_leader_is_voter", "%q leads term %d", n.cfg.ID, n.term)
	invariant.Must(n.commit <= n.log.last(), "raft_leader_completeness",
		"leader of term %d has last index %d below commit %d", n.term, n.log.last(), n.commit)
	invariant.Must(n.leader == "" || n.leader == n.cfg.ID, "raft_one_leader_per_term",
		"%q elected in term %d of leader %q", n.cfg.ID, n.term, n.leader)
}
