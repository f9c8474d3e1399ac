package raft

import (
	"time"

	"bilberryhub/internal/wirepb"
)

// transfer is a handover of leadership for a planned stop.
type transfer struct {
	to       string
	deadline time.Duration
	// sent is set once the target was told to start an election. The lease is
	// given up with it, and stays so for the rest of the term, because the
	// order may be delivered at any later time.
	sent bool
}

// TransferLeadership asks a voter to take over. Proposals are refused until it
// has, or until an election timeout has passed. If the target has not caught up
// by then, the leader continues; if it was already told to start an election,
// the leader steps down.
func (n *Node) TransferLeadership(to string, now time.Duration) error {
	n.observe(now)
	switch {
	case n.role != Leader:
		return ErrNotLeader{Leader: n.leader}
	case n.transfer.to != "":
		return ErrTransferring
	case to == n.cfg.ID || !n.isVoter(to):
		return ErrInvalidChange{ID: to, Reason: "leadership can only be handed to another voter"}
	}
	n.transfer = transfer{to: to, deadline: n.now + n.cfg.ElectionTimeout}
	n.transferCaughtUp(to)
	return nil
}

// transferCaughtUp tells the target to start an election once it holds the
// whole log.
func (n *Node) transferCaughtUp(id string) {
	if n.role != Leader || n.transfer.to != id || n.peers[id].match < n.log.last() {
		return
	}
	n.transfer.sent = true
	n.orderElection()
}

// orderElection tells the target to start an election, again with every
// heartbeat in case the message is lost.
func (n *Node) orderElection() {
	if n.transfer.sent {
		n.send(&wirepb.RaftMessage{Kind: wirepb.RaftMessage_KIND_TIMEOUT_NOW, To: n.transfer.to})
	}
}

func (n *Node) tickTransfer() {
	switch {
	case n.transfer.to == "" || n.now < n.transfer.deadline:
	case n.transfer.sent:
		n.becomeFollower(n.term, "")
	default:
		n.transfer = transfer{}
	}
}

// handleTimeoutNow starts the election that the leader asked for. The leader
// has given up its lease, so the voters need not wait for it to expire.
func (n *Node) handleTimeoutNow() {
	if n.mayCampaign() {
		n.startElection(n.term)
	}
}
