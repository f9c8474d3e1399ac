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

// Node is one replica. It is not safe for concurrent use.
type Node struct {
	cfg Config
	rng *rand.Rand
	off disabled

	role   Role
	term   uint64
	vote   string
	leader string

	log entryLog
	// commit is the last index known to be committed, applied the last one
	// reported as applied, and handed the last one handed out for applying.
	commit, applied, handed uint64
	// snapshot is the latest durable snapshot, for replicas that lag behind.
	snapshot *wirepb.Snapshot
	// installing is a received snapshot that is not yet durable.
	installing *wirepb.Snapshot
	// memberships lists the last committed membership and the later ones.
	memberships []membershipAt

	// now is the latest time observed.
	now time.Duration
	// contact is the last message of a leader with a valid term, or the start
	// of the process; contactTerm is the term of that leader.
	contact     time.Duration
	contactTerm uint64
	// leaderContact is the last message of a leader since the start.
	leaderContact    time.Duration
	leaderHeard      bool
	leaderCommit     uint64
	electionDeadline time.Duration

	// campaign numbers the elections that the replica started, votes holds the
	// answers to the current one, and transferTerm is the term of the leader
	// that asked for it, if any.
	campaign     uint64
	votes        map[string]bool
	transferTerm uint64

	leading

	// toldRetired is set once a peer reported that this identity is retired.
	toldRetired bool

	durableTerm  uint64
	durableVote  string
	lastReady    *wirepb.HardState
	outstanding  bool
	messages     []*wirepb.RaftMessage
	afterPersist []*wirepb.RaftMessage

	rejected map[string]uint64
}

// leading is the state of a leader. It is cleared when the leadership ends.
type leading struct {
	peers map[string]*progress
	// termStart is the index of the first entry of the leader's term.
	termStart uint64
	// round is the number of the current heartbeat round, and rounds holds the
	// send times of the latest rounds, of which the last one is the current.
	round         uint64
	rounds        []time.Duration
	leadSince     time.Duration
	nextHeartbeat time.Duration
	// uncommittedBytes is the size of the leader's uncommitted proposals.
	uncommittedBytes int
	transfer         transfer
}

// disabled switches off single mechanisms. Only tests set it, to show that a
// proof fails without the mechanism that it covers.
type disabled struct {
	preVote, checkQuorum, stickiness, learnerSync, persistBeforeCount, retired bool
	leaseAfterCommit, changeAfterCommit, quietStart, stallGuard                bool
}

// New returns a replica that starts from durable state. Damaged state is
// reported as an error.
func New(cfg Config, init InitialState, now time.Duration) (*Node, error) {
	if err := cfg.validate(); err != nil {
		return nil, errors.Annotate(err, "raft configuration")
	}
	n := &Node{
		cfg:      cfg,
		rng:      rand.New(rand.NewPCG(cfg.Seed, xxhash.Sum64String(cfg.ID))),
		role:     Follower,
		now:      now,
		contact:  now,
		rejected: make(map[string]uint64),
	}
	if err := n.load(init); err != nil {
		return nil, errors.Annotate(err, "load raft state")
	}
	n.contactTerm = n.term
	n.resetElectionDeadline()
	return n, nil
}

// load takes over the durable state.
func (n *Node) load(init InitialState) error {
	hs, s := init.HardState, init.Snapshot
	if s == nil {
		s = &wirepb.Snapshot{}
	} else if err := checkSnapshot(s, maxTerm); err != nil {
		return errors.Trace(err)
	}
	n.snapshot = s
	n.log = entryLog{baseIndex: s.Index, baseTerm: s.Term, stable: s.Index}
	n.memberships = []membershipAt{{index: s.Index, m: proto.CloneOf(s.Membership)}}
	if s.Membership == nil {
		n.memberships[0].m = &wirepb.Membership{}
	}
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
	// A crash between the entries and the hard state of one Ready leaves entries
	// of a term whose vote was never sent.
	if t := n.log.lastTerm(); t > n.term {
		n.term, n.vote = t, ""
	}
	n.commit = max(hs.GetCommit(), s.Index)
	n.applied, n.handed = s.Index, s.Index
	n.durableTerm, n.durableVote = n.term, n.vote
	n.lastReady = n.hardState()
	return nil
}

// Tick advances time. It is to be called several times per heartbeat interval.
func (n *Node) Tick(now time.Duration) {
	n.observe(now)
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

// Step handles a message of a peer. Malformed messages, and messages of
// retired replicas, are counted and dropped. The core keeps parts of the message.
func (n *Node) Step(m *wirepb.RaftMessage, now time.Duration) {
	n.observe(now)
	if reason := n.refuse(m); reason != "" {
		n.rejected[reason]++
		n.answerRetired(m)
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

// handleLeaderMessage handles what only a leader sends.
func (n *Node) handleLeaderMessage(m *wirepb.RaftMessage) {
	if m.Term < n.term {
		n.refuseOldLeader(m)
		return
	}
	invariant.Must(m.Term > n.term || (n.role != Leader && (n.leader == "" || n.leader == m.From)),
		"raft_one_leader_per_term", "term %d has leaders %q and %q", m.Term, n.leader, m.From)
	if m.Term > n.term || n.role != Follower {
		n.becomeFollower(m.Term, m.From)
	}
	n.heardLeader(m.From)
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

// refuseOldLeader tells the sender of an old message about the current term.
// Without it, a replica whose term is ahead could never follow a leader again.
func (n *Node) refuseOldLeader(m *wirepb.RaftMessage) {
	if m.Kind == wirepb.RaftMessage_KIND_APPEND {
		n.sendAfterPersist(&wirepb.RaftMessage{
			Kind: wirepb.RaftMessage_KIND_APPEND_REPLY, To: m.From, Reject: true, LogIndex: m.LogIndex,
		})
	}
}

// handleReply handles the answers to votes, entries and snapshots.
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

// becomeFollower enters a term as a follower, or ends the part played in the
// current term.
func (n *Node) becomeFollower(term uint64, leader string) {
	invariant.Must(term >= n.term, "raft_term_monotonic", "term %d after %d", term, n.term)
	if term > n.term {
		n.term, n.vote = term, ""
	}
	n.role, n.leader = Follower, leader
	n.votes, n.transferTerm = nil, 0
	n.leading = leading{}
	n.resetElectionDeadline()
}

// send queues a message that promises nothing about durable state.
func (n *Node) send(m *wirepb.RaftMessage) { n.messages = append(n.messages, n.stamp(m)) }

// sendAfterPersist queues a message that must wait for the state it speaks of.
func (n *Node) sendAfterPersist(m *wirepb.RaftMessage) {
	if n.off.persistBeforeCount {
		n.send(m)
		return
	}
	n.afterPersist = append(n.afterPersist, n.stamp(m))
}

func (n *Node) stamp(m *wirepb.RaftMessage) *wirepb.RaftMessage {
	m.From = n.cfg.ID
	if m.Term == 0 {
		m.Term = n.term
	}
	return m
}
