// Package raft implements the Raft consensus algorithm for the replicated log
// as a deterministic state machine. It does no I/O, reads no clock and starts
// no goroutines: the caller sends the messages, writes to the disk and applies
// the committed entries.
//
// # Why
//
// Claims, orders and the manifest must be identical on all replicas and survive
// the loss of any minority of disks. All inputs are arguments (messages, ticks
// with the monotonic time, reports of durability) and all outputs are returned
// as data, so that a run of a whole cluster can be replayed from one seed. The
// effects of a violated invariant would spread through the log, so the process
// stops at once.
//
// # Invariants
//
// Each invariant is asserted with invariant.Must in production builds, under
// the given name. The tests check them across replicas as well.
//
//   - One leader per term. raft_one_leader_per_term in Node.handleLeaderMessage
//     and Node.mustBeValidLeader.
//   - One vote per term. raft_one_vote_per_term in Node.castVote. A vote is
//     durable before it is sent, and a candidate's vote for itself before it is
//     counted.
//   - Log matching: entries with equal index and term are equal.
//     raft_log_matching in Node.mustEqual, which checks every uncommitted entry
//     that is received again; raft_log_contiguous and raft_log_term_order in
//     entryLog.append.
//   - Leader completeness: a leader holds every committed entry.
//     raft_leader_completeness in Node.mustMatchCommitted on each follower and
//     in Node.mustBeValidLeader.
//   - Committed entries never change. raft_committed_unchanged in Node.truncate.
//   - The commit index never decreases and never exceeds the last log index.
//     raft_commit_monotonic and raft_commit_in_log in Node.commitTo.
//   - The applied index is at most the commit index. raft_applied_committed in
//     Node.Advance and raft_snapshot_applied in Node.Compact.
//   - The term never decreases. raft_term_monotonic in Node.becomeFollower.
//   - Learners and retired replicas never count toward a quorum.
//     raft_learner_not_counted and raft_retired_not_counted in Node.mustCount,
//     which checks every replica counted for an election, a commit or a lease.
//     raft_leader_is_voter in Node.mustBeValidLeader.
//   - The caller calls Ready, Advance and Compact in order. raft_one_ready in
//     Node.Ready and Node.Advance; raft_snapshot_in_log and
//     raft_snapshot_membership in Node.Compact. raft_membership_valid and
//     raft_membership_known protect the list of memberships in
//     Node.adoptMembership and Node.revertMembership.
//
// # Lease
//
// A voter refuses votes and pre-votes until a minimum election timeout has
// passed since the last message of a leader, or since its own start. Stalls of
// its process and jumps of its clock don't count toward this time. A leader
// holds the lease until that timeout, minus the bound on clock drift, has
// passed since it sent the last heartbeat round that a quorum answered. The
// election of another leader needs a vote from that quorum, so it completes
// only after the lease has expired. The refusal is not tied to a term: a voter
// keeps refusing in later terms too. A leader that sends TIMEOUT_NOW for a
// transfer relinquishes its lease for the rest of its term, and vote requests that
// carry its term as HintIndex are exempt from the refusal.
//
// The lease requires clocks that keep running while the process is stalled. A
// hypervisor that stops the monotonic clock of its guest for longer than the
// bound on clock drift breaks the lease; the log stays correct.
//
// # Membership
//
// A membership entry takes effect when it is appended, committed or not, and
// is reverted when the entry is truncated. This is safe because one change
// alters the set of voters by at most one replica, so that quorums before and
// after it overlap, and because a leader appends a change only when the
// previous change and an entry of its own term are committed. The latter
// prevents a change of an older leader, which the new leader doesn't have in
// its log, from committing alongside the new change. If changes took effect at
// commit, an extra rule would have to keep lagging replicas from electing a
// leader with the older set of voters.
//
// A replica first joins as a learner. It is promoted only when it holds, durably,
// every entry committed at that time: otherwise the loss of another replica
// right after the promotion would leave a majority of voters without a complete
// log, and no leader could be elected. A lost disk is replaced in one change
// that retires the old identity and adds the new one as a learner; replacing
// one voter by another in one change could leave two quorums without overlap.
// A voter doesn't check whether its own membership lists itself or the
// candidate as a voter, since that membership may be out of date. Every replica
// drops messages of retired identities once the retirement is committed. A
// retired replica that is still running is notified in the reply to its
// pre-vote request, and then neither votes nor campaigns.
//
// A change is refused if the voters that the leader is in contact with would not
// be a quorum of the new set, because it could then never commit.
//
// # Messages
//
// Fields of RaftMessage beyond kind, from, to and term:
//
//   - PRE_VOTE, VOTE: log_index and log_term of the last entry; round is the
//     campaign number; hint_index is the term of the leader that initiated a
//     transfer. The term of PRE_VOTE is the term that an election would have.
//   - PRE_VOTE_REPLY, VOTE_REPLY: reject; round as in the request. A reply to a
//     retired replica carries the committed membership in snapshot, without data.
//   - APPEND: log_index and log_term of the entry that precedes entries; commit;
//     round is the heartbeat round. An APPEND without entries is a heartbeat.
//   - APPEND_REPLY: log_index is the last durable index that matches. With
//     reject, log_index is the rejected log_index of the request, and hint_index
//     and log_term identify the last entry that may match. round as in the
//     request.
//   - SNAPSHOT: snapshot, commit, round. SNAPSHOT_REPLY: log_index, round.
//   - TIMEOUT_NOW: no other fields.
package raft
