package raft

import (
	"slices"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"bilberryhub/internal/invariant"
	"bilberryhub/internal/wirepb"
)

// indexedMembership is a membership and the log index of the entry or snapshot
// that it comes from.
type indexedMembership struct {
	index uint64
	m     *wirepb.Membership
	// retired is the set of the retired identities in m. It is looked up for each message, and
	// the list only grows.
	retired map[string]struct{}
}

func newIndexedMembership(index uint64, m *wirepb.Membership) indexedMembership {
	retired := make(map[string]struct{}, len(m.GetRetired()))
	for _, id := range m.GetRetired() {
		retired[id] = struct{}{}
	}
	return indexedMembership{index: index, m: m, retired: retired}
}

// retires reports whether an identity is retired in the membership.
func (c *indexedMembership) retires(id string) bool {
	_, ok := c.retired[id]
	return ok
}

// membership returns the membership in force, which is the last one in the log,
// committed or not.
func (n *Node) membership() *wirepb.Membership { return n.memberships[len(n.memberships)-1].m }

func (n *Node) membershipIndex() uint64 { return n.memberships[len(n.memberships)-1].index }

// isMembershipPending reports whether the membership in force is not yet
// committed.
func (n *Node) isMembershipPending() bool { return n.membershipIndex() > n.commit }

// MembershipAt returns the membership in force at an index that is not below the
// latest snapshot. The caller must not modify it.
func (n *Node) MembershipAt(index uint64) *wirepb.Membership { return n.indexedAt(index).m }

func (n *Node) indexedAt(index uint64) *indexedMembership {
	for i := len(n.memberships) - 1; i > 0; i-- {
		if n.memberships[i].index <= index {
			return &n.memberships[i]
		}
	}
	return &n.memberships[0]
}

// ProposeMembership appends one membership change and returns its position in the
// log. It requires that an entry of the leader's own term is committed and that no
// earlier change is pending. The error is ErrNotLeader, ErrTransferring,
// ErrTermNotCommitted, ErrChangePending, ErrInvalidChange, ErrLearnerBehind or an
// encoding error.
func (n *Node) ProposeMembership(c Change, now time.Duration) (index, term uint64, err error) {
	n.advanceClock(now)
	if err := n.checkMembershipChange(); err != nil {
		return 0, 0, errors.Trace(err)
	}
	next, err := n.membershipAfter(c)
	if err != nil {
		return 0, 0, errors.Trace(err)
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(next)
	if err != nil {
		return 0, 0, errors.Annotate(err, "encode membership")
	}
	e := n.appendOwn(wirepb.LogEntry_KIND_MEMBERSHIP, data)
	n.broadcastAppend()
	return e.Index, e.Term, nil
}

// checkMembershipChange returns an error if no membership change may be proposed
// now.
func (n *Node) checkMembershipChange() error {
	switch {
	case n.role != Leader:
		return ErrNotLeader{Leader: n.leader}
	case n.transfer.target != "":
		return ErrTransferring
	case n.commit < n.termStartIndex && !n.disabled.changeAfterCommit:
		return ErrTermNotCommitted
	case n.isMembershipPending():
		return ErrChangePending
	}
	return nil
}

// membershipAfter returns the membership that results from one change. No change
// alters the set of voters by more than one replica.
func (n *Node) membershipAfter(c Change) (*wirepb.Membership, error) {
	next := proto.CloneOf(n.membership())
	var err error
	switch c.Kind {
	case AddLearner:
		err = n.addLearner(next, c.Replica)
	case Promote:
		err = n.promote(next, c.ID)
	case Remove:
		err = n.retire(next, c.ID)
	case Replace:
		if err = n.retire(next, c.ID); err == nil {
			err = n.addLearner(next, c.Replica)
		}
	default:
		err = ErrInvalidChange{ID: c.ID, Reason: "unknown kind"}
	}
	if err == nil && !n.isQuorumInContact(next) {
		err = ErrInvalidChange{ID: c.ID, Reason: "the voters in contact would not make a quorum"}
	}
	return next, err
}

// isQuorumInContact reports whether this leader is in contact with a quorum of
// the given membership. Otherwise a change to it would lose the quorum that has
// to commit it.
func (n *Node) isQuorumInContact(m *wirepb.Membership) bool {
	count := 0
	for _, r := range m.Voters {
		p := n.peers[r.Id]
		if r.Id == n.cfg.ID || (p != nil && p.hasContact && n.now-p.lastContact < n.leaseDuration()) {
			count++
		}
	}
	return count > len(m.Voters)/2
}

func (n *Node) addLearner(m *wirepb.Membership, r *wirepb.Replica) error {
	id := r.GetId()
	switch {
	case id == "":
		return ErrInvalidChange{ID: id, Reason: "empty id"}
	case isMember(m, id):
		return ErrInvalidChange{ID: id, Reason: "already a member"}
	case !n.disabled.retired && slices.Contains(m.Retired, id):
		return ErrInvalidChange{ID: id, Reason: "identity is retired"}
	}
	m.Learners = append(m.Learners, proto.CloneOf(r))
	m.Former = withoutAddress(m.Former, r.GetAddress())
	return nil
}

// maxFormer limits the replicas in Membership.former: with each of them, the entries that hold
// a membership grow by some 60 bytes.
const maxFormer = 32

// recordFormer appends a removed replica to the former ones, and drops the earliest if there are
// too many.
func recordFormer(m *wirepb.Membership, r *wirepb.Replica) {
	if r.GetAddress() == "" {
		return
	}
	m.Former = append(withoutAddress(m.Former, r.GetAddress()), r)
	m.Former = m.Former[max(0, len(m.Former)-maxFormer):]
}

// withoutAddress returns the replicas at other addresses.
func withoutAddress(rs []*wirepb.Replica, address string) []*wirepb.Replica {
	return slices.DeleteFunc(rs, func(r *wirepb.Replica) bool { return r.GetAddress() == address })
}

// promote turns a learner into a voter. It requires that the learner holds every
// committed entry durably. Then the larger set of voters keeps all committed
// entries and stays available if another replica is lost right after the change.
func (n *Node) promote(m *wirepb.Membership, id string) error {
	i := indexOf(m.Learners, id)
	if i < 0 {
		return ErrInvalidChange{ID: id, Reason: "not a learner"}
	}
	if match := n.peers[id].match; match < n.commit && !n.disabled.learnerSync {
		return ErrLearnerBehind{ID: id, Match: match, Commit: n.commit}
	}
	m.Voters = append(m.Voters, m.Learners[i])
	m.Learners = slices.Delete(m.Learners, i, i+1)
	return nil
}

// retire removes a replica from the membership and adds it to the retired ones.
func (n *Node) retire(m *wirepb.Membership, id string) error {
	switch {
	case id == n.cfg.ID:
		return ErrInvalidChange{ID: id, Reason: "the leader must hand over before it is removed"}
	case !isMember(m, id):
		return ErrInvalidChange{ID: id, Reason: "not a member"}
	}
	byID := func(r *wirepb.Replica) bool { return r.Id == id }
	for _, r := range slices.Concat(m.Voters, m.Learners) {
		if byID(r) {
			recordFormer(m, r)
		}
	}
	m.Voters = slices.DeleteFunc(m.Voters, byID)
	m.Learners = slices.DeleteFunc(m.Learners, byID)
	m.Retired = append(m.Retired, id)
	return nil
}

// adoptMembership puts the membership of a newly appended entry into force.
func (n *Node) adoptMembership(e *wirepb.LogEntry) {
	m, err := decodeMembership(e.Data)
	invariant.Must(err == nil, "raft_membership_valid", "entry %d: %v", e.Index, err)
	n.memberships = append(n.memberships, newIndexedMembership(e.Index, m))
	n.syncPeers()
}

// revertMembership drops the memberships of truncated entries.
func (n *Node) revertMembership(from uint64) {
	n.memberships = slices.DeleteFunc(n.memberships, func(c indexedMembership) bool { return c.index >= from })
	invariant.Must(len(n.memberships) > 0, "raft_membership_known", "no membership before index %d", from)
}

// pruneMemberships drops the memberships that were replaced at or before index.
func (n *Node) pruneMemberships(index uint64) {
	for len(n.memberships) > 1 && n.memberships[1].index <= index {
		n.memberships = n.memberships[1:]
	}
}

func (n *Node) isVoter(id string) bool { return indexOf(n.membership().Voters, id) >= 0 }

// isRetired reports whether an identity is retired. It considers only committed
// changes, because an uncommitted retirement may still be reverted.
func (n *Node) isRetired(id string) bool {
	if n.retiredBy != nil && id == n.cfg.ID {
		return true
	}
	return !n.disabled.retired && n.indexedAt(n.commit).retires(id)
}

// Retired reports whether the identity of this replica is known to be retired.
// It can rejoin only under a new identity with an empty disk.
func (n *Node) Retired() bool { return n.isRetired(n.cfg.ID) }

// CommittedMembership returns the latest membership that is known to be committed. For a
// retired replica that is the one that retires it, which may be later than its log. The caller
// must not modify it.
func (n *Node) CommittedMembership() *wirepb.Membership {
	if n.retiredBy != nil {
		return n.retiredBy
	}
	return n.MembershipAt(n.commit)
}

// MembershipFor returns the members of a committed membership, and of its retired identities
// only the given one: it is for a replica that asks whether it is a member, and the list of all
// of them may be long.
func MembershipFor(id string, m *wirepb.Membership) *wirepb.Membership {
	out := &wirepb.Membership{Voters: m.GetVoters(), Learners: m.GetLearners(), Cluster: m.GetCluster()}
	if slices.Contains(m.GetRetired(), id) {
		out.Retired = []string{id}
	}
	return out
}

// notifyRetiredSender replies to a pre-vote request of a retired replica with the
// membership that retires it. That replica no longer receives entries, so it
// can't find out from the log why its requests are not answered.
func (n *Node) notifyRetiredSender(m *wirepb.RaftMessage) {
	if m.GetKind() != wirepb.RaftMessage_KIND_PRE_VOTE || m.To != n.cfg.ID || !n.isRetired(m.From) {
		return
	}
	term, known := n.log.term(n.commit)
	if !known || n.isRetired(n.cfg.ID) {
		return
	}
	n.send(&wirepb.RaftMessage{
		Kind: wirepb.RaftMessage_KIND_PRE_VOTE_REPLY, To: m.From, Reject: true, Round: m.Round,
		Snapshot: &wirepb.Snapshot{Index: n.commit, Term: term, Membership: MembershipFor(m.From, n.MembershipAt(n.commit))},
	})
}

// recordRetirement processes a committed membership and records if it retires
// this replica. The record is not durable: a restarted replica is notified again.
func (n *Node) recordRetirement(s *wirepb.Snapshot) {
	if s.Index > n.commit && slices.Contains(s.Membership.Retired, n.cfg.ID) {
		n.retiredBy = s.Membership
		n.becomeFollower(n.term, "")
	}
}

// ObserveCommittedMembership processes a membership that another replica
// reports as committed at an index. It has an effect only if the membership
// retires this replica, which then no longer receives entries.
func (n *Node) ObserveCommittedMembership(index uint64, m *wirepb.Membership, now time.Duration) {
	n.advanceClock(now)
	n.recordRetirement(&wirepb.Snapshot{Index: index, Membership: m})
}

// quorum returns the number of voters that form a majority.
func (n *Node) quorum() int { return len(n.membership().Voters)/2 + 1 }

// countVoters counts the voters of the membership in force that satisfy pred.
func (n *Node) countVoters(pred func(id string) bool) int {
	count := 0
	for _, r := range n.membership().Voters {
		if pred(r.Id) {
			n.mustCount(r.Id)
			count++
		}
	}
	return count
}

// mustCount asserts that a replica may count toward a quorum.
func (n *Node) mustCount(id string) {
	m := n.membership()
	invariant.Must(indexOf(m.Learners, id) < 0, "raft_learner_not_counted", "learner %q counted", id)
	invariant.Must(!n.memberships[len(n.memberships)-1].retires(id), "raft_retired_not_counted", "retired %q counted", id)
}

// indexOf returns the position of the replica with the given ID, or -1.
func indexOf(rs []*wirepb.Replica, id string) int {
	return slices.IndexFunc(rs, func(r *wirepb.Replica) bool { return r.GetId() == id })
}

// isMember reports whether the replica is a voter or a learner.
func isMember(m *wirepb.Membership, id string) bool {
	return indexOf(m.Voters, id) >= 0 || indexOf(m.Learners, id) >= 0
}

func decodeMembership(data []byte) (*wirepb.Membership, error) {
	m := new(wirepb.Membership)
	if err := proto.Unmarshal(data, m); err != nil {
		return nil, errors.Annotate(err, "decode membership")
	}
	return m, errors.Trace(validateMembership(m))
}

func validateMembership(m *wirepb.Membership) error {
	if len(m.GetVoters()) == 0 {
		return errors.NotValidf("membership without voters")
	}
	seen := make(map[string]bool)
	check := func(id string) error {
		if id == "" || seen[id] {
			return errors.NotValidf("membership with empty or repeated id %q", id)
		}
		seen[id] = true
		return nil
	}
	for _, r := range slices.Concat(m.Voters, m.Learners) {
		if err := check(r.GetId()); err != nil {
			return err
		}
	}
	for _, id := range m.Retired {
		if err := check(id); err != nil {
			return err
		}
	}
	return nil
}

func replicaIDs(rs []*wirepb.Replica) []string {
	out := make([]string, 0, len(rs))
	for _, r := range rs {
		out = append(out, r.GetId())
	}
	return out
}
