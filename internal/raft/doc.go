// Package raft is the consensus core of the replicated log: a deterministic
// state machine without I/O, clocks or goroutines.
//
// # Why
//
// Claims, orders and the manifest must be the same everywhere, on any minority
// of lost disks. Every input of the core is an argument (messages, ticks with
// the monotonic time, reports of durability) and every output is data, so that
// one seed replays any run of a whole cluster. A violated invariant would
// spread through the log, so the process stops at once.
//
// # Invariants
//
// Each is asserted with invariant.Must in production builds, under the name
// given. The tests check them across replicas as well.
//
//   - One leader per term. raft_one_leader_per_term in Node.handleLeaderMessage
//     and Node.mustLead.
//   - One vote per term. raft_one_vote_per_term in Node.castVote. The vote is
//     durable before it is sent, and the own vote before it counts.
//   - Log matching: entries with equal index and term are equal.
//     raft_log_matching in Node.mustEqual, which sees every uncommitted entry
//     received twice; raft_log_contiguous and raft_log_term_order in entryLog.append.
//   - Leader completeness: a leader holds every committed entry.
//     raft_leader_completeness in Node.mustMatchCommitted on each follower and
//     in Node.mustLead.
//   - Committed entries never change. raft_committed_unchanged in Node.truncate.
//   - The commit index never decreases and stays inside the log.
//     raft_commit_monotonic and raft_commit_in_log in Node.commitTo.
//   - Applied is at most committed. raft_applied_committed in Node.Advance and
//     raft_snapshot_applied in Node.Compact.
//   - The term never decreases. raft_term_monotonic in Node.becomeFollower.
//   - Learners and retired replicas never count. raft_learner_not_counted and
//     raft_retired_not_counted in Node.mustCount, which sees every replica
//     counted for an election, a commit or a lease. raft_leader_is_voter in
//     Node.mustLead.
//   - The caller keeps the order of work. raft_one_ready in Node.Ready and
//     Node.Advance; raft_snapshot_in_log and raft_snapshot_membership in
//     Node.Compact. raft_membership_valid and raft_membership_known guard the
//     list of memberships in Node.adoptMembership and Node.revertMembership.
//
// # Lease
//
// A voter refuses votes and pre-votes until a minimum election timeout has
// passed since the last message of a leader, or since its own start, not counting
// stalls of its process or jumps of its clock. A leader
// holds the lease until that timeout, minus the bound on clock drift, has
// passed since it sent the last heartbeat round that a quorum answered. Any
// other election needs a voter of that quorum, so it ends after the lease. The
// term of the promise doesn't matter: a voter keeps it in later terms too. A
// leader that orders a transfer gives up its lease for the rest of its term,
// and votes that name its term as HintIndex are exempt from the wait.
//
// The lease relies on clocks that run while the process is stalled. A machine
// that stops the monotonic clock of a guest, for longer than the bound on clock
// drift, breaks it; the log stays correct.
//
// # Membership
//
// A membership entry takes effect when it is appended, committed or not, and
// is reverted when the entry is truncated. This is safe because one change
// alters the set of voters by at most one replica, so that quorums before and
// after it overlap, and because a leader appends a change only when the last
// one is committed and an entry of its own term is committed. The latter rules
// out that a change of an older leader, unknown to the new one, is still able
// to commit next to the new change. Taking effect at commit would need an
// extra rule that keeps replicas that lag behind from electing a leader with
// the older set.
//
// A replica first joins as a learner. It is promoted only when it holds, durably,
// every entry committed at that time: otherwise the loss of another replica
// right after the promotion would leave a majority of voters without a complete
// log, and no leader could be elected. A lost disk is replaced in one change
// that retires the old identity and adds the new one as a learner; replacing
// voter by voter in one change could leave two quorums without overlap. A voter
// doesn't check whether its own membership lists it or the candidate as a
// voter, since it may lag behind. Messages of retired identities are dropped
// everywhere once the retirement is committed. A retired replica that is still
// running learns it from the answer to its pre-vote, and then neither votes nor
// campaigns.
//
// A change is refused if the voters that the leader is in contact with would not
// be a quorum of the new set, because it could then never commit.
//
// # Messages
//
// Fields of RaftMessage beyond kind, from, to and term:
//
//   - PRE_VOTE, VOTE: log_index and log_term of the last entry; round numbers
//     the campaign; hint_index is the term of the leader that ordered a
//     transfer. The term of PRE_VOTE is the term that an election would have.
//   - PRE_VOTE_REPLY, VOTE_REPLY: reject; round as in the request. A reply to a
//     retired replica carries the committed membership in snapshot, without data.
//   - APPEND: log_index and log_term of the entry before entries; commit;
//     round is the heartbeat round. Without entries it is a heartbeat.
//   - APPEND_REPLY: log_index is the last durable index that matches, or with
//     reject the log_index refused, then hint_index and log_term are the last
//     entry that may match; round as in the request.
//   - SNAPSHOT: snapshot, commit, round. SNAPSHOT_REPLY: log_index, round.
//   - TIMEOUT_NOW: nothing else.
package raft
