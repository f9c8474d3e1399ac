package stateserver

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"bilberryhub/internal/observe"
	"bilberryhub/internal/raft"
	"bilberryhub/internal/statemachine"
	"bilberryhub/internal/wire"
	"bilberryhub/internal/wirepb"
)

const (
	// joinInterval is the pause between two rounds of join requests.
	joinInterval = 200 * time.Millisecond
	// joinTimeout bounds one round.
	joinTimeout = 5 * time.Second
	// roundsPerLogLine is the number of rounds after which the wait is logged again.
	roundsPerLogLine = 25
	// The index and term of the first snapshot.
	firstIndex, firstTerm = 1, 1
)

// forming is the state of a replica that belongs to no cluster yet.
type forming struct {
	// promised is the identity of the coordinator to which this replica replied "no
	// cluster", or empty. Afterwards this replica doesn't adopt the state of a replica
	// set that this identity never belonged to.
	promised string
	// done is closed when the replica has state, that is, belongs to a cluster.
	done chan struct{}
}

// canAdopt reports whether state with membership m may be adopted. After a
// promise, a membership that doesn't list the promised identity of the
// coordinator, not even as retired, belongs to a replica set that an earlier
// identity of the coordinator formed.
func (f *forming) canAdopt(m *wirepb.Membership) bool {
	isPromised := func(r *wirepb.Replica) bool { return r.GetId() == f.promised }
	return f.promised == "" || slices.Contains(m.GetRetired(), f.promised) ||
		slices.ContainsFunc(m.GetVoters(), isPromised) || slices.ContainsFunc(m.GetLearners(), isPromised)
}

// acceptsMessage reports whether a message of another replica may be handled while
// this replica belongs to no cluster. Messages of the coordinator are accepted only
// from the promised identity, if there is one.
func (f *forming) acceptsMessage(from string, coordinator string) bool {
	return f.promised == "" || replicaName(from) != coordinator || from == f.promised
}

// joinCluster sends join requests to the other replicas until this replica has state
// or ctx ends.
func (s *Server) joinCluster(ctx context.Context, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-ctx.Done():
			return
		default:
		}
		s.joinRound(ctx)
		s.metrics.joinRounds.Inc()
		if !sleep(ctx, joinInterval) {
			return
		}
	}
}

// joinResult is the result of one join request.
type joinResult struct {
	// id is the replica id of the other replica, or empty when it was not reached.
	id string
	// noCluster is set when the other replica belongs to no cluster either.
	noCluster bool
	// notLeader is set when only another replica, the leader, can add this one.
	notLeader bool
	// err is set when the request failed or was refused.
	err error
}

// joinRound sends a join request to every other replica of the settings. The first
// that replies that it doesn't lead is asked for the members, which get a request
// as well. A received snapshot ends the formation. The coordinator forms the first
// replica set when all others belong to no cluster.
func (s *Server) joinRound(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	results := make([]joinResult, len(s.settings.Replicas))
	var wg sync.WaitGroup
	var viaMembers sync.Once
	for i, r := range s.settings.Replicas {
		if r.Name == s.settings.ID {
			continue
		}
		wg.Go(func() {
			results[i] = s.requestJoin(ctx, r.Address)
			if results[i].notLeader {
				viaMembers.Do(func() { s.joinViaMembers(ctx, r.Address) })
			}
		})
	}
	wg.Wait()
	if s.settings.JoinOnly || s.settings.coordinator() != s.settings.ID {
		return
	}
	members := make([]*wirepb.Replica, 0, len(results))
	for i, r := range s.settings.Replicas {
		id := results[i].id
		switch {
		case r.Name == s.settings.ID:
			id = s.id
		case !results[i].noCluster || replicaName(id) != r.Name:
			if s.metrics.joinRounds.Get()%roundsPerLogLine == 0 {
				s.log.Info("waiting for a replica to form the first replica set", zap.String("replica", r.Name),
					observe.Error(results[i].err))
			}
			return
		}
		members = append(members, r.withID(id))
	}
	s.enqueue(ctx, formReplicaSet{members: members})
}

// joinViaMembers sends join requests to the members that the replica at address lists
// and that are not in the settings: the leader may be one of them.
func (s *Server) joinViaMembers(ctx context.Context, address string) {
	reply, err := s.fetchMembership(ctx, address)
	if err != nil {
		s.log.Debug("no membership from replica", zap.String("peer", address), observe.Error(err))
		return
	}
	var wg sync.WaitGroup
	m := reply.GetMembership()
	for _, r := range slices.Concat(m.GetVoters(), m.GetLearners()) {
		if _, configured := s.settings.replica(replicaName(r.GetId())); !configured && replicaName(r.GetId()) != s.settings.ID {
			wg.Go(func() { s.requestJoin(ctx, r.GetAddress()) })
		}
	}
	wg.Wait()
}

// requestJoin sends a join request to the replica at address. If the reply is a
// snapshot, it is passed to the loop for adoption.
func (s *Server) requestJoin(ctx context.Context, address string) joinResult {
	self := s.settings.self()
	st, err := s.clients.Get(address).Open(ctx, &wirepb.Envelope{Body: &wirepb.Envelope_Join{
		Join: &wirepb.Join{Replica: self.withID(s.id)},
	}})
	if err != nil {
		return joinResult{err: err}
	}
	defer st.Close()
	res := joinResult{id: st.Peer().ID}
	env, err := st.Recv()
	if err != nil {
		res.err = err
		return res
	}
	switch body := env.GetBody().(type) {
	case *wirepb.Envelope_Failure:
		res.noCluster = body.Failure.GetCode() == codeNoCluster
		res.notLeader = body.Failure.GetCode() == codeNoLeader
		res.err = errors.New(body.Failure.GetMessage())
	case *wirepb.Envelope_RaftMessage:
		snap := body.RaftMessage.GetSnapshot()
		if res.err = receiveChunks(st, snap); res.err == nil {
			s.enqueue(ctx, adoptRequest{snap: snap})
		}
	}
	return res
}

// formReplicaSet requests the loop to form the first replica set.
type formReplicaSet struct{ members []*wirepb.Replica }

func (m formReplicaSet) handle(l *loop) {
	if l.forming == nil {
		return
	}
	snap := &wirepb.Snapshot{Index: firstIndex, Term: firstTerm, Membership: &wirepb.Membership{Voters: m.members}}
	var err error
	if snap.Data, err = statemachine.New().Snapshot().Encode(); err != nil {
		l.err = err
		return
	}
	l.log.Info("first replica set formed", zap.Stringer("membership", snap.Membership))
	l.adoptSnapshot(snap)
}

// adoptRequest requests the loop to adopt committed state in which this replica is a
// voter.
type adoptRequest struct{ snap *wirepb.Snapshot }

func (m adoptRequest) handle(l *loop) {
	switch {
	case l.forming == nil:
	case !isVoter(m.snap.GetMembership(), l.s.id) || !l.forming.canAdopt(m.snap.GetMembership()):
		l.log.Warn("rejected snapshot of another replica set", zap.Uint64("index", m.snap.GetIndex()),
			zap.Stringer("membership", m.snap.GetMembership()))
	default:
		l.adoptSnapshot(m.snap)
	}
}

// adoptSnapshot makes snap durable and restarts the consensus core from it. While
// the core has work or the disk is full, nothing is done and the next join round tries
// again: the term must be durable before the core is replaced.
func (l *loop) adoptSnapshot(snap *wirepb.Snapshot) {
	if l.outstanding != nil || l.node.HasReady() {
		return
	}
	switch err := l.s.wal.SaveSnapshot(snap, true); {
	case isDiskFull(err):
		l.log.Error("first snapshot not written; disk is full", observe.Error(err))
		return
	case err != nil:
		l.err = errors.Annotate(err, "save first snapshot")
		return
	}
	st := l.node.Status(l.now())
	if l.err = l.restore(snap); l.err != nil {
		return
	}
	l.s.peers.setMembers(snap.GetMembership())
	l.publish()
	l.err = l.startNode(raft.InitialState{
		HardState: &wirepb.HardState{Term: st.Term, Vote: st.Vote}, Snapshot: snap,
	})
}

// isVoter reports whether the replica id is a voter of m.
func isVoter(m *wirepb.Membership, id string) bool {
	return slices.ContainsFunc(m.GetVoters(), func(r *wirepb.Replica) bool { return r.GetId() == id })
}

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

// maxReplicas bounds the number of voters and learners together.
const maxReplicas = 16

// addReplica proposes to add a replica as a learner. It replaces the identity of
// the same name, whose disk was lost, or the one that the request names.
func (l *loop) addReplica(members *wirepb.Membership, join *wirepb.Join) outcome {
	all := slices.Concat(members.GetVoters(), members.GetLearners())
	old := join.GetReplaces()
	for _, r := range all {
		if replicaName(r.GetId()) == replicaName(join.GetReplica().GetId()) {
			old = r.GetId()
		}
	}
	change := raft.Change{Kind: raft.AddLearner, Replica: join.GetReplica()}
	if old != "" {
		change.Kind, change.ID = raft.Replace, old
	} else if len(all) >= maxReplicas {
		return failureOutcome(codeRefused, "the cluster has %d replicas already", len(all))
	}
	if _, _, err := l.node.ProposeMembership(change, l.now()); err != nil {
		return l.refusalOutcome(err)
	}
	l.log.Info("replica joins as a learner", zap.String("joining", join.GetReplica().GetId()), zap.String("replaces", old))
	return outcome{}
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
