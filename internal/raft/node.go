package raft

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"bilberryhub/internal/invariant"
	"bilberryhub/internal/wirepb"
)

// Node is the Raft state of one replica. It is not safe for concurrent use.
type Node struct {
	cfg      Config
	rng      *rand.Rand
	disabled disabledMechanisms

	role   Role
	term   uint64
	vote   string
	leader string

	log entryLog
	// commit is the last index known to be committed, applied the last one that
	// the caller reported as applied, and applying the last one returned to the
	// caller for application.
	commit, applied, applying uint64
	// snapshot is the latest durable snapshot, which is sent to replicas that lag
	// too far behind the log.
	snapshot *wirepb.Snapshot
	// unstableSnapshot is a received snapshot that the caller has not yet taken
	// with Ready in order to persist it.
	unstableSnapshot *wirepb.Snapshot
	// memberships lists the membership in force at the latest snapshot and all
	// later ones in the log, in log order.
	memberships []indexedMembership

	// now is the latest time passed in by the caller.
	now time.Duration
	// leaseContact is the time from which the replica protects a leader's lease
	// by refusing votes: the receipt of the last message of a leader with a valid
	// term, or the start of the process. Stalls move it forward.
	// leaseContactTerm is the term of that leader.
	leaseContact     time.Duration
	leaseContactTerm uint64
	// lastLeaderMessage is the receipt time of the last message of a leader since
	// the start of the process. It is valid if hasLeaderMessage is set.
	lastLeaderMessage time.Duration
	hasLeaderMessage  bool
	leaderCommit      uint64
	electionDeadline  time.Duration

	// campaignNumber counts the pre-votes and elections that the replica started.
	// votes holds the votes granted in the current one, by replica. transferTerm
	// is the term of the leader that requested it by a leadership transfer, or 0.
	campaignNumber uint64
	votes          map[string]bool
	transferTerm   uint64

	leaderState

	// retiredBy is the membership by which a peer has reported that this identity is
	// retired, or nil.
	retiredBy *wirepb.Membership

	durableTerm      uint64
	durableVote      string
	lastHardState    *wirepb.HardState
	readyOutstanding bool
	messages         []*wirepb.RaftMessage
	afterPersist     []*wirepb.RaftMessage

	// rejected counts the received messages that were dropped, by reason.
	rejected map[string]uint64
}

// leaderState is the state that only a leader has. It is cleared when the
// leadership ends.
type leaderState struct {
	peers map[string]*progress
	// termStartIndex is the index of the first entry of the leader's term.
	termStartIndex uint64
	// round is the number of the current heartbeat round. roundSendTimes holds
	// the send times of the latest rounds, ending with the current one.
	round          uint64
	roundSendTimes []time.Duration
	leaderSince    time.Duration
	nextHeartbeat  time.Duration
	// uncommittedBytes is the total size of the leader's uncommitted proposals.
	uncommittedBytes int
	transfer         transfer
}

// disabledMechanisms disables individual safety and liveness mechanisms. Only
// tests set it, to show that a test detects the absence of the mechanism that
// it covers.
//
//   - preVote: pre-votes before an election.
//   - checkQuorum: a leader without contact with a quorum steps down.
//   - stickiness: voters refuse votes while a leader may hold a lease.
//   - learnerSync: only a learner that holds all committed entries is promoted,
//     and a replica without a membership doesn't vote.
//   - persistBeforeCount: votes and entries are durable before they are sent or
//     counted.
//   - retired: messages and additions of retired identities are refused.
//   - leaseAfterCommit: the lease requires a committed entry of the leader's term.
//   - changeAfterCommit: a membership change requires the same.
//   - quietStart: the start of the process counts as contact with a leader.
//   - stallGuard: stalls and clock jumps don't count as time without contact with
//     the leader.
type disabledMechanisms struct {
	preVote, checkQuorum, stickiness, learnerSync, persistBeforeCount, retired bool
	leaseAfterCommit, changeAfterCommit, quietStart, stallGuard                bool
}

// New returns a replica that starts from the given durable state. It returns an
// error if the configuration is invalid or the state is inconsistent.
func New(cfg Config, init InitialState, now time.Duration) (*Node, error) {
	if err := cfg.validate(); err != nil {
		return nil, errors.Annotate(err, "raft configuration")
	}
	n := &Node{
		cfg:          cfg,
		rng:          rand.New(rand.NewPCG(cfg.Seed, xxhash.Sum64String(cfg.ID))),
		role:         Follower,
		now:          now,
		leaseContact: now,
		rejected:     make(map[string]uint64),
	}
	if err := n.load(init); err != nil {
		return nil, errors.Annotate(err, "load raft state")
	}
	n.leaseContactTerm = n.term
	n.resetElectionDeadline()
	return n, nil
}

// load initializes the replica from the durable state.
func (n *Node) load(init InitialState) error {
	hs, s := init.HardState, init.Snapshot
	if s == nil {
		s = &wirepb.Snapshot{}
	} else if err := checkSnapshot(s, maxTerm); err != nil {
		return errors.Trace(err)
	}
	n.snapshot = s
	n.log = entryLog{baseIndex: s.Index, baseTerm: s.Term, stable: s.Index}
	m := &wirepb.Membership{}
	if s.Membership != nil {
		m = proto.CloneOf(s.Membership)
	}
	n.memberships = []indexedMembership{newIndexedMembership(s.Index, m)}
	if err := checkEntries(init.Entries, s.Index, s.Term, maxTerm); err != nil {
		return errors.Trace(err)
	}
	for _, e := range init.Entries {
		n.appendEntry(e)
	}
	n.log.stable = n.log.last()
	if hs.GetCommit() > n.log.last() || hs.GetTerm() > maxTerm {
		return errors.NotValidf("hard state %v with last entry %d of term %d", hs, n.log.last(), n.log.lastTerm())
	}
	n.term, n.vote = hs.GetTerm(), hs.GetVote()
	// After a crash between writing the entries and the hard state of one Ready,
	// the log may hold entries of a later term. No vote was sent in that term.
	if t := n.log.lastTerm(); t > n.term {
		n.term, n.vote = t, ""
	}
	n.commit = max(hs.GetCommit(), s.Index)
	n.applied, n.applying = s.Index, s.Index
	n.durableTerm, n.durableVote = n.term, n.vote
	n.lastHardState = n.hardState()
	return nil
}

// Tick advances the clock to now and starts the heartbeats and elections that
// are due. The caller should call it several times per heartbeat interval.
func (n *Node) Tick(now time.Duration) {
	n.advanceClock(now)
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.now >= n.electionDeadline {
		n.startPreVote()
	}
}

func (n *Node) tickLeader() {
	n.tickTransfer()
	if n.role == Leader && n.now >= n.nextHeartbeat {
		n.heartbeat()
	}
}

// Step processes a message from a peer. Messages that are malformed, of a retired
// replica or addressed to another replica are counted and dropped. The Node
// retains parts of the message.
func (n *Node) Step(m *wirepb.RaftMessage, now time.Duration) {
	n.advanceClock(now)
	if reason := n.rejectReason(m); reason != "" {
		n.rejected[reason]++
		n.notifyRetiredSender(m)
		return
	}
	switch m.Kind {
	case wirepb.RaftMessage_KIND_PRE_VOTE:
		n.handlePreVote(m)
	case wirepb.RaftMessage_KIND_PRE_VOTE_REPLY:
		n.handlePreVoteReply(m)
	case wirepb.RaftMessage_KIND_VOTE:
		n.handleVote(m)
	case wirepb.RaftMessage_KIND_APPEND, wirepb.RaftMessage_KIND_SNAPSHOT, wirepb.RaftMessage_KIND_TIMEOUT_NOW:
		n.handleLeaderMessage(m)
	default:
		n.handleReply(m)
	}
}

// handleLeaderMessage processes a message of a kind that only a leader sends.
func (n *Node) handleLeaderMessage(m *wirepb.RaftMessage) {
	if m.Term < n.term {
		n.rejectStaleLeader(m)
		return
	}
	invariant.Must(m.Term > n.term || (n.role != Leader && (n.leader == "" || n.leader == m.From)),
		"raft_one_leader_per_term", "term %d has leaders %q and %q", m.Term, n.leader, m.From)
	if m.Term > n.term || n.role != Follower {
		n.becomeFollower(m.Term, m.From)
	}
	n.recordLeaderContact(m.From)
	n.leaderCommit = max(n.leaderCommit, m.Commit)
	switch m.Kind {
	case wirepb.RaftMessage_KIND_APPEND:
		n.handleAppend(m)
	case wirepb.RaftMessage_KIND_SNAPSHOT:
		n.handleSnapshot(m)
	default:
		n.handleTimeoutNow()
	}
}

// rejectStaleLeader replies to a leader of an older term with the current term.
// Without this reply, a replica whose term is ahead of the leader's could never
// follow a leader again.
func (n *Node) rejectStaleLeader(m *wirepb.RaftMessage) {
	if m.Kind == wirepb.RaftMessage_KIND_APPEND {
		n.sendAfterPersist(&wirepb.RaftMessage{
			Kind: wirepb.RaftMessage_KIND_APPEND_REPLY, To: m.From, Reject: true, LogIndex: m.LogIndex,
		})
	}
}

// handleReply processes replies to vote requests, entries and snapshots.
func (n *Node) handleReply(m *wirepb.RaftMessage) {
	if m.Term > n.term {
		n.becomeFollower(m.Term, "")
	}
	if m.Term < n.term {
		return
	}
	switch m.Kind {
	case wirepb.RaftMessage_KIND_VOTE_REPLY:
		n.handleVoteReply(m)
	case wirepb.RaftMessage_KIND_APPEND_REPLY:
		n.handleAppendReply(m)
	case wirepb.RaftMessage_KIND_SNAPSHOT_REPLY:
		n.handleSnapshotReply(m)
	}
}

// becomeFollower makes the replica a follower in the given term, which is the
// current or a later one, and clears the state of a candidate or leader.
func (n *Node) becomeFollower(term uint64, leader string) {
	invariant.Must(term >= n.term, "raft_term_monotonic", "term %d after %d", term, n.term)
	if term > n.term {
		n.term, n.vote = term, ""
	}
	n.role, n.leader = Follower, leader
	n.votes, n.transferTerm = nil, 0
	n.leaderState = leaderState{}
	n.resetElectionDeadline()
}

// send queues a message that doesn't depend on durable state.
func (n *Node) send(m *wirepb.RaftMessage) { n.messages = append(n.messages, n.fillHeader(m)) }

// sendAfterPersist queues a message that must not be sent before the current
// state is durable.
func (n *Node) sendAfterPersist(m *wirepb.RaftMessage) {
	if n.disabled.persistBeforeCount {
		n.send(m)
		return
	}
	n.afterPersist = append(n.afterPersist, n.fillHeader(m))
}

func (n *Node) fillHeader(m *wirepb.RaftMessage) *wirepb.RaftMessage {
	m.From = n.cfg.ID
	if m.Term == 0 {
		m.Term = n.term
	}
	return m
}
