package stateserver

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"bilberryhub/internal/observe"
	"bilberryhub/internal/raft"
	"bilberryhub/internal/wire"
	"bilberryhub/internal/wirepb"
)

// joinRequest requests the loop to serve a Join call.
type joinRequest struct {
	join  *wirepb.Join
	reply chan<- joinReply
}

// joinReply is a failure, a snapshot, or, when neither is set, an acknowledgement.
type joinReply struct {
	outcome
	snapshot *wirepb.Snapshot
}

func (m joinRequest) handle(l *loop) {
	id := m.join.GetReplica().GetId()
	if l.forming != nil {
		if replicaName(id) == l.s.settings.coordinator() {
			l.forming.promised = id
		}
		m.reply <- joinReply{outcome: failureOutcome(codeNoCluster, "the replica belongs to no cluster")}
		return
	}
	members := l.node.MembershipAt(l.applied)
	switch {
	case isVoter(members, id) && isVoter(l.snapshot.GetMembership(), id):
		m.reply <- joinReply{snapshot: l.snapshot}
	case isVoter(members, id) || slices.ContainsFunc(members.GetLearners(), func(r *wirepb.Replica) bool { return r.GetId() == id }):
		m.reply <- joinReply{}
	default:
		m.reply <- joinReply{outcome: l.addReplica(members, m.join)}
	}
}

// addReplica proposes to add a replica as a learner. It replaces the identity of
// the same name, whose disk was lost, or the one that the request names. If the cluster is
// full, it replaces a learner that is lost.
func (l *loop) addReplica(members *wirepb.Membership, join *wirepb.Join) outcome {
	now := l.now()
	st := l.node.Status(now)
	if st.Role != raft.Leader {
		return l.refusalOutcome(raft.ErrNotLeader{Leader: st.Leader})
	}
	joining, old, silent := join.GetReplica().GetId(), join.GetReplaces(), time.Duration(0)
	for _, r := range slices.Concat(members.GetVoters(), members.GetLearners()) {
		if replicaName(r.GetId()) == replicaName(joining) {
			old = r.GetId()
		}
	}
	if size := len(st.Voters) + len(st.Learners); old == "" && size >= l.s.opts.MaxReplicas {
		lost, ok := longestLostLearner(st)
		if !ok {
			return l.refuseJoin(joining, size)
		}
		old, silent = lost.ID, lost.SinceLastContact
	}
	change := raft.Change{Kind: raft.AddLearner, Replica: join.GetReplica()}
	if old != "" {
		change.Kind, change.ID = raft.Replace, old
	}
	if _, _, err := l.node.ProposeMembership(change, now); err != nil {
		return l.refusalOutcome(err)
	}
	if silent > 0 {
		l.log.Warn("learner is lost and gives up its place", zap.String("replica", old), observe.Milliseconds("silent_ms", silent),
			zap.String("joining", joining))
	}
	l.log.Info("replica joins as a learner", zap.String("joining", joining), zap.String("replaces", old))
	return outcome{}
}

// maxReplicas is the default of Options.MaxReplicas.
const maxReplicas = 16

// maxRefusedJoinLines limits the log lines a second about refused join requests: a machine that
// is refused asks again several times a second.
const maxRefusedJoinLines = 1

// refuseJoin refuses a replica for lack of a place.
func (l *loop) refuseJoin(joining string, size int) outcome {
	l.s.metrics.joinsRefused.Inc()
	if omitted, ok := l.joinRefusals.Allow(l.now()); ok {
		l.log.Warn("replica can't join: the cluster is full and no learner is lost", zap.String("joining", joining),
			zap.Int("replicas", size), omitted)
	}
	return failureOutcome(codeRefused, "the cluster has %d replicas already", size)
}

// longestLostLearner returns the learner that has been lost for the longest time.
func longestLostLearner(st raft.Status) (longest raft.PeerStatus, ok bool) {
	for _, p := range st.Progress {
		if p.Learner && isLost(p) && p.SinceLastContact > longest.SinceLastContact {
			longest, ok = p, true
		}
	}
	return longest, ok
}

// join serves a Join call.
func (s *Server) join(ctx context.Context, st *wire.Stream, j *wirepb.Join) error {
	if st.Peer().Kind != wire.KindState || st.Peer().ID != j.GetReplica().GetId() {
		return st.Send(wire.FailureEnvelope("join", codeRefused, errors.New("a replica can only join itself")))
	}
	ch := make(chan joinReply, 1)
	if !s.enqueue(ctx, joinRequest{join: j, reply: ch}) {
		return errors.New("the replica is stopping")
	}
	select {
	case r := <-ch:
		return s.sendJoinReply(st, r, j.GetReplica().GetId())
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	case <-s.ctx.Done():
		return errors.New("the replica is stopping")
	}
}

// sendJoinReply sends r to the joining replica.
func (s *Server) sendJoinReply(st *wire.Stream, r joinReply, to string) error {
	switch {
	case r.code != "":
		return st.Send(wire.FailureEnvelope("join", r.code, errors.New(r.message)))
	case r.snapshot == nil:
		return st.Send(wire.AckEnvelope())
	}
	m := &wirepb.RaftMessage{Kind: wirepb.RaftMessage_KIND_SNAPSHOT, From: s.id, To: to, Snapshot: r.snapshot}
	if err := st.Send(raftEnvelope(withoutSnapshotData(m))); err != nil {
		return errors.Trace(err)
	}
	return sendChunks(st, r.snapshot)
}
