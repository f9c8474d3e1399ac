package stateserver

import (
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"bilberryhub/internal/observe"
	"bilberryhub/internal/raft"
	"bilberryhub/internal/statemachine"
	"bilberryhub/internal/wirepb"
)

const (
	// joinInterval is the pause between two rounds of join requests, or two requests to an
	// address.
	joinInterval = 200 * time.Millisecond
	// joinTimeout bounds one round, or one request to an address.
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
	// toldOfCluster is set when another process has told this replica of a cluster. Afterwards
	// it doesn't form one.
	toldOfCluster bool
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

// formReplicaSet requests the loop to form the first replica set.
type formReplicaSet struct{ members []*wirepb.Replica }

func (m formReplicaSet) handle(l *loop) {
	if l.forming == nil || l.forming.toldOfCluster {
		return
	}
	snap := &wirepb.Snapshot{Index: firstIndex, Term: firstTerm, Membership: &wirepb.Membership{Voters: m.members, Cluster: uuid.NewString()}}
	var err error
	if snap.Data, err = statemachine.New().Snapshot().Encode(); err != nil {
		l.err = err
		return
	}
	l.log.Info("first replica set formed", membershipFields(snap.Membership)...)
	l.adoptSnapshot(snap)
}

// adoptRequest requests the loop to adopt committed state in which this replica is a
// voter.
type adoptRequest struct{ snap *wirepb.Snapshot }

func (m adoptRequest) handle(l *loop) {
	switch {
	case l.forming == nil:
	case !isVoter(m.snap.GetMembership(), l.s.id) || !l.forming.canAdopt(m.snap.GetMembership()):
		l.log.Warn("rejected snapshot of another replica set",
			append(membershipFields(m.snap.GetMembership()), zap.Uint64("index", m.snap.GetIndex()))...)
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
