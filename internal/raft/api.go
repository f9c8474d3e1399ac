package raft

import (
	"time"

	"bilberryhub/internal/wirepb"
)

// Role is the Raft role of a replica in its current term.
type Role string

// Roles of a replica. A learner, and a replica that isn't in the membership,
// is a follower.
const (
	Follower     Role = "follower"
	PreCandidate Role = "pre-candidate"
	Candidate    Role = "candidate"
	Leader       Role = "leader"
)

// Ready is the work that the caller must do, in the following order:
//
//  1. send Messages;
//  2. persist Snapshot, then Entries, then HardState, and sync if MustSync;
//  3. send AfterPersist;
//  4. restore the state machine from Snapshot and apply Committed;
//  5. call Advance with Persisted.
//
// Only one Ready may be outstanding: HasReady returns false until Advance is
// called. Step, Tick and Propose may be called in between. Messages, entries and
// snapshots are shared with the Node and must not be modified.
type Ready struct {
	// HardState is the hard state to persist, or nil if it has not changed.
	HardState *wirepb.HardState
	// Entries replace all stored entries from the index of the first one on.
	Entries []*wirepb.LogEntry
	// Snapshot replaces the stored snapshot and all stored entries. It is nil
	// if there is none to install.
	Snapshot *wirepb.Snapshot
	// MustSync is false if only the commit index changed, which may be lost in
	// a crash.
	MustSync bool
	// Messages may be sent before the state above is durable.
	Messages []*wirepb.RaftMessage
	// AfterPersist holds messages whose content depends on the state above, such
	// as votes and acknowledgements. They must not be sent before that state is
	// durable.
	AfterPersist []*wirepb.RaftMessage
	// Committed holds the entries to apply, in log order.
	Committed []*wirepb.LogEntry

	persisted Persisted
}

// Persisted returns the argument for Advance, which is valid once all work of
// the Ready is done.
func (r Ready) Persisted() Persisted { return r.persisted }

// Persisted describes the state that is durable and applied after a Ready.
type Persisted struct {
	// Term and Vote belong to the durable hard state.
	Term uint64
	Vote string
	// LastIndex and LastTerm identify the last durable entry or the snapshot.
	LastIndex, LastTerm uint64
	// Applied is the index of the last applied entry.
	Applied uint64
}

// ChangeKind is the kind of a membership change.
type ChangeKind int

// Kinds of membership change.
const (
	// AddLearner adds Change.Replica as a learner.
	AddLearner ChangeKind = iota + 1
	// Promote turns the learner Change.ID into a voter.
	Promote
	// Remove removes and retires the voter or learner Change.ID.
	Remove
	// Replace removes and retires the voter or learner Change.ID and adds
	// Change.Replica as a learner.
	Replace
)

// Change is one membership change.
type Change struct {
	Kind ChangeKind
	// ID identifies the replica to promote, remove or replace.
	ID string
	// Replica is the replica to add.
	Replica *wirepb.Replica
}

// Status is the state of a replica as shown in the state dump. Durations are
// encoded in nanoseconds.
type Status struct {
	ID             string        `json:"id"`
	Role           Role          `json:"role"`
	Term           uint64        `json:"term"`
	Vote           string        `json:"vote,omitempty"`
	Leader         string        `json:"leader,omitempty"`
	LeaderContact  time.Duration `json:"leader_contact_ns"`
	LeaseValid     bool          `json:"lease_valid"`
	TransferringTo string        `json:"transferring_to,omitempty"`
	Commit         uint64        `json:"commit"`
	LeaderCommit   uint64        `json:"leader_commit"`
	Applied        uint64        `json:"applied"`
	FirstIndex     uint64        `json:"first_index"`
	LastIndex      uint64        `json:"last_index"`
	PersistedIndex uint64        `json:"persisted_index"`
	SnapshotIndex  uint64        `json:"snapshot_index"`
	Voters         []string      `json:"voters"`
	Learners       []string      `json:"learners"`
	Retired        []string      `json:"retired"`
	// SelfRetired is set if the identity of this replica is retired.
	SelfRetired bool `json:"self_retired"`
	// MembershipIndex is the log index of the membership in force, and
	// MembershipPending is set until that entry is committed.
	MembershipIndex   uint64 `json:"membership_index"`
	MembershipPending bool   `json:"membership_pending"`
	// RepairIncomplete is set while a learner waits for promotion or a
	// membership change is not committed. During that time the loss of another
	// replica may cost the quorum.
	RepairIncomplete bool `json:"repair_incomplete"`
	// Progress is set on the leader only.
	Progress []PeerStatus `json:"progress,omitempty"`
	// Rejected counts the received messages that were dropped, by reason.
	Rejected map[string]uint64 `json:"rejected_messages,omitempty"`
}

// PeerStatus is the replication progress of another replica, as tracked by the
// leader.
type PeerStatus struct {
	ID              string `json:"id"`
	Learner         bool   `json:"learner"`
	State           string `json:"state"`
	Match           uint64 `json:"match"`
	Next            uint64 `json:"next"`
	InflightEntries uint64 `json:"inflight_entries"`
	InflightBytes   int    `json:"inflight_bytes"`
	// SinceLastContact is the time since the leader sent the last heartbeat round
	// that the replica has answered, or since the election of the leader.
	SinceLastContact time.Duration `json:"silent_for_ns"`
}
