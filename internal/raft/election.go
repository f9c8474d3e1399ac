package raft

import (
	"time"

	"bilberryhub/internal/invariant"
	"bilberryhub/internal/wirepb"
)

// resetElectionDeadline schedules the next election at a random time from one to
// two election timeouts from now, so that voters rarely campaign at the same
// time.
func (n *Node) resetElectionDeadline() {
	et := n.cfg.ElectionTimeout
	n.electionDeadline = n.now + et + time.Duration(n.rng.Int64N(int64(et)))
}

// canCampaign reports whether the replica may start an election.
func (n *Node) canCampaign() bool {
	return n.role != Leader && n.isVoter(n.cfg.ID) && !n.isRetired(n.cfg.ID)
}

// startPreVote asks the other voters whether they would vote for this replica
// before it starts an election, so that a replica that was partitioned doesn't
// raise the term on its return.
func (n *Node) startPreVote() {
	n.resetElectionDeadline()
	if !n.canCampaign() || n.hasRecentLeader() {
		return
	}
	if n.disabled.preVote {
		n.startElection(0)
		return
	}
	n.role, n.leader = PreCandidate, ""
	n.transferTerm = 0
	n.campaignNumber++
	n.votes = map[string]bool{n.cfg.ID: true}
	n.requestVotes(wirepb.RaftMessage_KIND_PRE_VOTE, n.term+1)
	if n.hasVoteQuorum() {
		n.startElection(0)
	}
}

// startElection starts an election in the next term. A nonzero transferTerm is
// the term of the leader that relinquished its lease for this election. The
// replica's vote for itself is counted once it is durable.
func (n *Node) startElection(transferTerm uint64) {
	n.becomeFollower(n.term+1, "")
	n.role, n.transferTerm = Candidate, transferTerm
	n.campaignNumber++
	n.votes = make(map[string]bool)
	n.castVote(n.cfg.ID)
	n.requestVotes(wirepb.RaftMessage_KIND_VOTE, n.term)
	if n.disabled.persistBeforeCount {
		n.countOwnVote()
	}
}

// requestVotes sends a vote or pre-vote request to all other voters.
func (n *Node) requestVotes(kind wirepb.RaftMessage_Kind, term uint64) {
	for _, r := range n.membership().Voters {
		if r.Id == n.cfg.ID {
			continue
		}
		m := &wirepb.RaftMessage{
			Kind: kind, To: r.Id, Term: term, LogIndex: n.log.last(), LogTerm: n.log.lastTerm(),
			Round: n.campaignNumber, HintIndex: n.transferTerm,
		}
		if kind == wirepb.RaftMessage_KIND_PRE_VOTE {
			n.send(m)
		} else {
			n.sendAfterPersist(m)
		}
	}
}

// castVote records the vote of this replica in the current term.
func (n *Node) castVote(candidate string) {
	invariant.Must(n.vote == "" || n.vote == candidate, "raft_one_vote_per_term",
		"vote for %q after %q in term %d", candidate, n.vote, n.term)
	n.vote = candidate
}

// canVoteFor reports whether the candidate's log is at least as up to date as
// the log of this replica, and this replica is not retired and has a membership.
// Messages of retired candidates are dropped before, by rejectReason. The
// membership need not list this replica or the candidate as a voter, because it
// may be older than the candidate's: otherwise the voters that remain after a
// loss right after a promotion couldn't elect a leader. A replica without a
// membership has never been synced, and would accept any candidate, because its
// log is empty.
func (n *Node) canVoteFor(m *wirepb.RaftMessage) bool {
	if n.isRetired(n.cfg.ID) || (len(n.membership().Voters) == 0 && !n.disabled.learnerSync) {
		return false
	}
	last, lastTerm := n.log.last(), n.log.lastTerm()
	return m.LogTerm > lastTerm || (m.LogTerm == lastTerm && m.LogIndex >= last)
}

// protectsLease reports whether a vote in the message's term could violate the
// lease of a leader that this replica had contact with. The leader that
// initiated the transfer has relinquished its lease for the rest of its term.
func (n *Node) protectsLease(m *wirepb.RaftMessage) bool {
	transferred := m.HintIndex != 0 && m.HintIndex == m.Term-1 && m.HintIndex >= n.leaseContactTerm
	return n.hasRecentLeader() && !transferred
}

func (n *Node) handlePreVote(m *wirepb.RaftMessage) {
	reply := &wirepb.RaftMessage{Kind: wirepb.RaftMessage_KIND_PRE_VOTE_REPLY, To: m.From, Round: m.Round}
	if m.Term > n.term && !n.protectsLease(m) && n.canVoteFor(m) {
		reply.Term = m.Term
	} else {
		reply.Reject = true
	}
	n.send(reply)
}

func (n *Node) handlePreVoteReply(m *wirepb.RaftMessage) {
	switch {
	case m.Snapshot != nil:
		n.recordRetirement(m.Snapshot)
	case m.Reject && m.Term > n.term:
		n.becomeFollower(m.Term, "")
	case m.Reject || n.role != PreCandidate || m.Round != n.campaignNumber || m.Term != n.term+1:
	default:
		n.votes[m.From] = true
		if n.hasVoteQuorum() {
			n.startElection(0)
		}
	}
}

func (n *Node) handleVote(m *wirepb.RaftMessage) {
	if m.Term >= n.term && n.protectsLease(m) {
		return
	}
	if m.Term > n.term {
		n.becomeFollower(m.Term, "")
	}
	reply := &wirepb.RaftMessage{
		Kind: wirepb.RaftMessage_KIND_VOTE_REPLY, To: m.From, Round: m.Round, Reject: true,
	}
	voteAvailable := n.vote == m.From || (n.vote == "" && n.leader == "")
	if m.Term == n.term && voteAvailable && n.canVoteFor(m) {
		n.castVote(m.From)
		n.resetElectionDeadline()
		reply.Reject = false
	}
	n.sendAfterPersist(reply)
}

func (n *Node) handleVoteReply(m *wirepb.RaftMessage) {
	if n.role != Candidate || m.Reject {
		return
	}
	n.votes[m.From] = true
	if n.hasVoteQuorum() {
		n.becomeLeader()
	}
}

// countOwnVote counts the replica's vote for itself, which must be durable.
func (n *Node) countOwnVote() {
	n.votes[n.cfg.ID] = true
	if n.hasVoteQuorum() {
		n.becomeLeader()
	}
}

// hasVoteQuorum reports whether a quorum granted its votes or pre-votes.
func (n *Node) hasVoteQuorum() bool {
	return n.countVoters(func(id string) bool { return n.votes[id] }) >= n.quorum()
}

// becomeLeader makes the replica the leader and appends an empty entry of the
// new term. Committing that entry commits all earlier entries.
func (n *Node) becomeLeader() {
	n.mustBeValidLeader()
	n.role, n.leader, n.votes = Leader, n.cfg.ID, nil
	n.leaderState = leaderState{
		peers:          make(map[string]*progress),
		termStartIndex: n.log.last() + 1,
		leaderSince:    n.now,
	}
	n.syncPeers()
	n.appendOwn(wirepb.LogEntry_KIND_EMPTY, nil)
	n.heartbeat()
}
