package raft

import (
	"time"

	"bilberryhub/internal/wirepb"
)

// transfer is a leadership transfer in progress, used for planned shutdowns.
type transfer struct {
	target   string
	deadline time.Duration
	// timeoutNowSent is set once TIMEOUT_NOW was sent to the target. The leader
	// then relinquishes its lease for the rest of the term, because the message may
	// be delivered at any later time.
	timeoutNowSent bool
}

// TransferLeadership starts a transfer of leadership to the target, which must
// be another voter. Proposals are refused until the target is the leader, or
// until an election timeout has passed. If the target has not caught up by then,
// this replica continues as leader. If TIMEOUT_NOW was already sent, it steps
// down. The error is ErrNotLeader, ErrTransferring or ErrInvalidChange.
func (n *Node) TransferLeadership(target string, now time.Duration) error {
	n.advanceClock(now)
	switch {
	case n.role != Leader:
		return ErrNotLeader{Leader: n.leader}
	case n.transfer.target != "":
		return ErrTransferring
	case target == n.cfg.ID || !n.isVoter(target):
		return ErrInvalidChange{ID: target, Reason: "leadership can only be handed to another voter"}
	}
	n.transfer = transfer{target: target, deadline: n.now + n.cfg.ElectionTimeout}
	n.maybeSendTimeoutNow(target)
	return nil
}

// maybeSendTimeoutNow requests an election from the transfer target if id is the
// target and it holds the whole log.
func (n *Node) maybeSendTimeoutNow(id string) {
	if n.role != Leader || n.transfer.target != id || n.peers[id].match < n.log.last() {
		return
	}
	n.transfer.timeoutNowSent = true
	n.sendTimeoutNow()
}

// sendTimeoutNow sends TIMEOUT_NOW to the transfer target if the transfer has
// reached that step. It is repeated with every heartbeat in case the message is
// lost.
func (n *Node) sendTimeoutNow() {
	if n.transfer.timeoutNowSent {
		n.send(&wirepb.RaftMessage{Kind: wirepb.RaftMessage_KIND_TIMEOUT_NOW, To: n.transfer.target})
	}
}

// tickTransfer ends a transfer whose deadline has passed.
func (n *Node) tickTransfer() {
	switch {
	case n.transfer.target == "" || n.now < n.transfer.deadline:
	case n.transfer.timeoutNowSent:
		n.becomeFollower(n.term, "")
	default:
		n.transfer = transfer{}
	}
}

// handleTimeoutNow starts the election that the leader requested. The leader
// has relinquished its lease, so the voters need not wait for it to expire.
func (n *Node) handleTimeoutNow() {
	if n.canCampaign() {
		n.startElection(n.term)
	}
}
