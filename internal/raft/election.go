package raft

import (
	"time"

	"bilberryhub/internal/invariant"
	"bilberryhub/internal/wirepb"
)

// resetElectionDeadline draws the time of the next election from one to two
// election timeouts, so that voters seldom start at the same time.
func (n *Node) resetElectionDeadline() {
	et := n.cfg.ElectionTimeout
	n.electionDeadline = n.now + et + time.Duration(n.rng.Int64N(int64(et)))
}

func (n *Node) mayCampaign() bool {
	return n.role != Leader && n.isVoter(n.cfg.ID) && !n.isRetired(n.cfg.ID)
}

// startPreVote asks whether an election could be won before starting one, so
// that a replica that was cut off doesn't raise the term on its return.
func (n *Node) startPreVote() {
	n.resetElectionDeadline()
	if !n.mayCampaign() || n.sticky() {
		return
	}
	if n.off.preVote {
		n.startElection(0)
		return
	}
	n.role, n.leader = PreCandidate, ""
	n.transferTerm = 0
	n.campaign++
	n.votes = map[string]bool{n.cfg.ID: true}
	n.requestVotes(wirepb.RaftMessage_KIND_PRE_VOTE, n.term+1)
	if n.won() {
		n.startElection(0)
	}
}

// startElection starts an election in the next term. A transferTerm other than
// zero is the term of the leader that gave up its lease for it. The own vote
// counts once it is durable.
func (n *Node) startElection(transferTerm uint64) {
	n.becomeFollower(n.term+1, "")
	n.role, n.transferTerm = Candidate, transferTerm
	n.campaign++
	n.votes = make(map[string]bool)
	n.castVote(n.cfg.ID)
	n.requestVotes(wirepb.RaftMessage_KIND_VOTE, n.term)
	if n.off.persistBeforeCount {
		n.countOwnVote()
	}
}

func (n *Node) requestVotes(kind wirepb.RaftMessage_Kind, term uint64) {
	for _, r := range n.membership().Voters {
		if r.Id == n.cfg.ID {
			continue
		}
		m := &wirepb.RaftMessage{
			Kind: kind, To: r.Id, Term: term, LogIndex: n.log.last(), LogTerm: n.log.lastTerm(),
			Round: n.campaign, HintIndex: n.transferTerm,
		}
		if kind == wirepb.RaftMessage_KIND_PRE_VOTE {
			n.send(m)
		} else {
			n.sendAfterPersist(m)
		}
	}
}

// castVote records the vote of the current term.
func (n *Node) castVote(candidate string) {
	invariant.Must(n.vote == "" || n.vote == candidate, "raft_one_vote_per_term",
		"vote for %q after %q in term %d", candidate, n.vote, n.term)
	n.vote = candidate
}

// mayVoteFor reports whether the candidate's log is complete enough and both
// identities are valid. The own membership may be older than the candidate's,
// so being a learner in it is no reason to refuse: the voters left after a loss
// right after a promotion could otherwise not elect a leader. A replica without
// a membership has never been synced, and its empty log would agree to any
// candidate.
func (n *Node) mayVoteFor(m *wirepb.RaftMessage) bool {
	if n.isRetired(n.cfg.ID) || (len(n.membership().Voters) == 0 && !n.off.learnerSync) {
		return false
	}
	last, lastTerm := n.log.last(), n.log.lastTerm()
	return m.LogTerm > lastTerm || (m.LogTerm == lastTerm && m.LogIndex >= last)
}

// protectsLease reports whether a vote for the message's term could break the
// lease of a leader that the replica has heard from. The leader that ordered a
// transfer has given up its lease for the rest of its term.
func (n *Node) protectsLease(m *wirepb.RaftMessage) bool {
	transferred := m.HintIndex != 0 && m.HintIndex == m.Term-1 && m.HintIndex >= n.contactTerm
	return n.sticky() && !transferred
}

func (n *Node) handlePreVote(m *wirepb.RaftMessage) {
	reply := &wirepb.RaftMessage{Kind: wirepb.RaftMessage_KIND_PRE_VOTE_REPLY, To: m.From, Round: m.Round}
	if m.Term > n.term && !n.protectsLease(m) && n.mayVoteFor(m) {
		reply.Term = m.Term
	} else {
		reply.Reject = true
	}
	n.send(reply)
}

func (n *Node) handlePreVoteReply(m *wirepb.RaftMessage) {
	switch {
	case m.Snapshot != nil:
		n.learnRetirement(m.Snapshot)
	case m.Reject && m.Term > n.term:
		n.becomeFollower(m.Term, "")
	case m.Reject || n.role != PreCandidate || m.Round != n.campaign || m.Term != n.term+1:
	default:
		n.votes[m.From] = true
		if n.won() {
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
	free := n.vote == m.From || (n.vote == "" && n.leader == "")
	if m.Term == n.term && free && n.mayVoteFor(m) {
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
	if n.won() {
		n.becomeLeader()
	}
}

// countOwnVote counts the replica's vote for itself.
func (n *Node) countOwnVote() {
	n.votes[n.cfg.ID] = true
	if n.won() {
		n.becomeLeader()
	}
}

func (n *Node) won() bool {
	return n.countVoters(func(id string) bool { return n.votes[id] }) >= n.quorum()
}

// becomeLeader starts the leadership with an entry of the new term. Committing
// it commits all earlier entries.
func (n *Node) becomeLeader() {
	n.mustLead()
	n.role, n.leader, n.votes = Leader, n.cfg.ID, nil
	n.leading = leading{
		peers:     make(map[string]*progress),
		termStart: n.log.last() + 1,
		leadSince: n.now,
	}
	n.syncPeers()
	n.appendOwn(wirepb.LogEntry_KIND_EMPTY, nil)
	n.heartbeat()
}
