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
	// joinInterval is the time between two attempts to join.
	joinInterval = 200 * time.Millisecond
	// joinTimeout bounds one attempt.
	joinTimeout = 5 * time.Second
	// logRounds is the number of attempts for which one line is logged.
	logRounds = 25
	// The first snapshot stands at the first index and term.
	firstIndex, firstTerm = 1, 1
)

// forming is the state of a replica that belongs to no cluster yet.
type forming struct {
	// promised is the identity of the coordinator that was told "no cluster".
	promised string
	// done is closed when the replica has state.
	done chan struct{}
}

// mayFollow reports whether state that rests on membership m may be taken
// over. After a promise, a set that does not know the promised coordinator was
// formed by an earlier identity of it.
func (f *forming) mayFollow(m *wirepb.Membership) bool {
	known := func(r *wirepb.Replica) bool { return r.GetId() == f.promised }
	return f.promised == "" || slices.Contains(m.GetRetired(), f.promised) ||
		slices.ContainsFunc(m.GetVoters(), known) || slices.ContainsFunc(m.GetLearners(), known)
}

// admits reports whether a message of another replica may be handled while the
// replica belongs to no cluster.
func (f *forming) admits(from string, coordinator string) bool {
	return f.promised == "" || nameOf(from) != coordinator || from == f.promised
}

// form asks the other replicas until the replica has state.
func (s *Server) form(ctx context.Context, done <-chan struct{}) {
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

// joinAnswer is what another replica said.
type joinAnswer struct {
	// id is the replica id of the other replica, if it answered.
	id        string
	noCluster bool
	// notLeader is set when only another replica can let this one join.
	notLeader bool
	err       error
}

// joinRound asks every other replica of the settings once, and the members that
// the first of them names that does not lead. A snapshot ends the formation; the
// coordinator decides when all others belong to no cluster.
func (s *Server) joinRound(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	answers := make([]joinAnswer, len(s.settings.Replicas))
	var wg sync.WaitGroup
	var throughMembers sync.Once
	for i, r := range s.settings.Replicas {
		if r.Name == s.settings.ID {
			continue
		}
		wg.Go(func() {
			answers[i] = s.askJoin(ctx, r.Address)
			if answers[i].notLeader {
				throughMembers.Do(func() { s.joinThroughMembers(ctx, r.Address) })
			}
		})
	}
	wg.Wait()
	if s.settings.JoinOnly || s.settings.coordinator() != s.settings.ID {
		return
	}
	members := make([]*wirepb.Replica, 0, len(answers))
	for i, r := range s.settings.Replicas {
		id := answers[i].id
		switch {
		case r.Name == s.settings.ID:
			id = s.id
		case !answers[i].noCluster || nameOf(id) != r.Name:
			if s.metrics.joinRounds.Get()%logRounds == 0 {
				s.log.Info("waiting for the first replica set", zap.String("replica", r.Name), observe.Error(answers[i].err))
			}
			return
		}
		members = append(members, r.withID(id))
	}
	s.tell(ctx, decide{members: members})
}

// joinThroughMembers asks the members that the replica at an address names and
// the settings do not: the leader may be one of them.
func (s *Server) joinThroughMembers(ctx context.Context, address string) {
	reply, err := s.askMembership(ctx, address)
	if err != nil {
		s.log.Debug("members not learned", zap.String("peer", address), observe.Error(err))
		return
	}
	var wg sync.WaitGroup
	m := reply.GetMembership()
	for _, r := range slices.Concat(m.GetVoters(), m.GetLearners()) {
		if _, named := s.settings.replica(nameOf(r.GetId())); !named && nameOf(r.GetId()) != s.settings.ID {
			wg.Go(func() { s.askJoin(ctx, r.GetAddress()) })
		}
	}
	wg.Wait()
}

// askJoin asks the replica at an address to let this one join, and takes the
// snapshot over that it may answer with.
func (s *Server) askJoin(ctx context.Context, address string) joinAnswer {
	self := s.settings.self()
	st, err := s.clients.Get(address).Open(ctx, &wirepb.Envelope{Body: &wirepb.Envelope_Join{
		Join: &wirepb.Join{Replica: self.withID(s.id)},
	}})
	if err != nil {
		return joinAnswer{err: err}
	}
	defer st.Close()
	a := joinAnswer{id: st.Peer().ID}
	env, err := st.Recv()
	if err != nil {
		a.err = err
		return a
	}
	switch body := env.GetBody().(type) {
	case *wirepb.Envelope_Failure:
		a.noCluster = body.Failure.GetCode() == codeNoCluster
		a.notLeader = body.Failure.GetCode() == codeNoLeader
		a.err = errors.New(body.Failure.GetMessage())
	case *wirepb.Envelope_RaftMessage:
		snap := body.RaftMessage.GetSnapshot()
		if a.err = receiveChunks(st, snap); a.err == nil {
			s.tell(ctx, adopt{snap: snap})
		}
	}
	return a
}

// decide forms the first replica set.
type decide struct{ members []*wirepb.Replica }

func (m decide) handle(l *loop) {
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

// adopt takes over committed state in which the replica is a voter.
type adopt struct{ snap *wirepb.Snapshot }

func (m adopt) handle(l *loop) {
	switch {
	case l.forming == nil:
	case !isVoter(m.snap.GetMembership(), l.s.id) || !l.forming.mayFollow(m.snap.GetMembership()):
		l.log.Warn("snapshot of another replica set refused", zap.Uint64("index", m.snap.GetIndex()),
			zap.Stringer("membership", m.snap.GetMembership()))
	default:
		l.adoptSnapshot(m.snap)
	}
}

// adoptSnapshot makes snap durable and starts the consensus core from it. While
// the core has work, adoption waits for the next attempt: the term must be
// durable before the core is replaced.
func (l *loop) adoptSnapshot(snap *wirepb.Snapshot) {
	if l.outstanding != nil || l.node.HasReady() {
		return
	}
	if err := l.s.wal.SaveSnapshot(snap, true); err != nil {
		l.err = errors.Annotate(err, "save first snapshot")
		return
	}
	st := l.node.Status(l.now())
	if l.err = l.restore(snap); l.err != nil {
		return
	}
	l.s.peers.retain(snap.GetMembership())
	l.publish()
	l.err = l.startNode(raft.InitialState{
		HardState: &wirepb.HardState{Term: st.Term, Vote: st.Vote}, Snapshot: snap,
	})
}

func isVoter(m *wirepb.Membership, id string) bool {
	return slices.ContainsFunc(m.GetVoters(), func(r *wirepb.Replica) bool { return r.GetId() == id })
}

// joinRequest asks the loop to answer a Join call.
type joinRequest struct {
	join  *wirepb.Join
	reply chan<- joinReply
}

// joinReply is a failure, a snapshot, or an acknowledgement when both are
// missing.
type joinReply struct {
	outcome
	snapshot *wirepb.Snapshot
}

func (m joinRequest) handle(l *loop) {
	id := m.join.GetReplica().GetId()
	if l.forming != nil {
		if nameOf(id) == l.s.settings.coordinator() {
			l.forming.promised = id
		}
		m.reply <- joinReply{outcome: failed(codeNoCluster, "the replica belongs to no cluster")}
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

// maxReplicas bounds the voters and learners.
const maxReplicas = 16

// addReplica proposes to add a replica as a learner, in place of the identity
// of the same name, whose disk was lost.
func (l *loop) addReplica(members *wirepb.Membership, join *wirepb.Join) outcome {
	all := slices.Concat(members.GetVoters(), members.GetLearners())
	old := join.GetReplaces()
	for _, r := range all {
		if nameOf(r.GetId()) == nameOf(join.GetReplica().GetId()) {
			old = r.GetId()
		}
	}
	change := raft.Change{Kind: raft.AddLearner, Replica: join.GetReplica()}
	if old != "" {
		change.Kind, change.ID = raft.Replace, old
	} else if len(all) >= maxReplicas {
		return failed(codeRefused, "the cluster has %d replicas already", len(all))
	}
	if _, _, err := l.node.ProposeMembership(change, l.now()); err != nil {
		return l.refused(err)
	}
	l.log.Info("replica joins", zap.String("joining", join.GetReplica().GetId()), zap.String("replaces", old))
	return outcome{}
}

// join answers a Join call.
func (s *Server) join(ctx context.Context, st *wire.Stream, j *wirepb.Join) error {
	if st.Peer().Kind != wire.KindState || st.Peer().ID != j.GetReplica().GetId() {
		return st.Send(wire.FailureEnvelope("join", codeRefused, errors.New("a replica can only join itself")))
	}
	ch := make(chan joinReply, 1)
	if !s.tell(ctx, joinRequest{join: j, reply: ch}) {
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

func (s *Server) sendJoinReply(st *wire.Stream, r joinReply, to string) error {
	switch {
	case r.code != "":
		return st.Send(wire.FailureEnvelope("join", r.code, errors.New(r.message)))
	case r.snapshot == nil:
		return st.Send(wire.AckEnvelope())
	}
	m := &wirepb.RaftMessage{Kind: wirepb.RaftMessage_KIND_SNAPSHOT, From: s.id, To: to, Snapshot: r.snapshot}
	if err := st.Send(raftEnvelope(withoutData(m))); err != nil {
		return errors.Trace(err)
	}
	return sendChunks(st, r.snapshot)
}
