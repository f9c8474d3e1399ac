// Package raft is the consensus core.
package raft

import (
	"time"

	"bilberryhub/internal/wirepb"
)

// Node is one replica. It is not safe for concurrent use.
type Node struct{ cfg Config }

// New returns a replica that starts from durable state.
func New(cfg Config, init InitialState, now time.Duration) (*Node, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	return &Node{cfg: cfg}, nil
}

// Tick advances time. It is to be called several times per heartbeat interval.
func (n *Node) Tick(now time.Duration) {}

// Step handles a message of a peer. Malformed messages are counted and dropped.
func (n *Node) Step(m *wirepb.RaftMessage, now time.Duration) {}

// Propose appends a command and returns its position in the log. The entry is
// committed if and only if a committed entry with this index and term appears.
func (n *Node) Propose(data []byte, now time.Duration) (index, term uint64, err error) {
	return 0, 0, ErrNotLeader{}
}

// ProposeMembership appends one membership change, see Change.
func (n *Node) ProposeMembership(c Change, now time.Duration) (index, term uint64, err error) {
	return 0, 0, ErrNotLeader{}
}

// HasReady reports whether Ready would return work.
func (n *Node) HasReady() bool { return false }

// Ready returns the outstanding work.
func (n *Node) Ready() Ready { return Ready{} }

// Advance reports that the work of the last Ready is done.
func (n *Node) Advance(p Persisted) {}

// LeaseValid reports whether no other replica can be leader at the time now.
func (n *Node) LeaseValid(now time.Duration) bool { return false }

// LeaderContact returns the known leader and the time since its last message
// with a valid term. The age is negative if no leader has been heard yet. On
// the leader it is the time since the last contact with a quorum.
func (n *Node) LeaderContact(now time.Duration) (leader string, age time.Duration) { return "", -1 }

// MembershipAt returns the membership at an applied index that is not below
// the last snapshot.
func (n *Node) MembershipAt(index uint64) *wirepb.Membership { return nil }

// Compact drops entries that the snapshot covers. The snapshot must be durable.
func (n *Node) Compact(s *wirepb.Snapshot) {}

// Status describes the replica for the state dump.
func (n *Node) Status(now time.Duration) Status { return Status{} }

// TransferLeadership asks the voter to to take over.
func (n *Node) TransferLeadership(to string, now time.Duration) error { return ErrNotLeader{} }
