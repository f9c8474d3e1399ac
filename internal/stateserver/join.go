package stateserver

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"bilberryhub/internal/backoff"
	"bilberryhub/internal/observe"
	"bilberryhub/internal/wirepb"
)

// maxJoinInterval bounds the pause between two join requests to an address that isn't reached,
// and is the time between two questions for the members.
const maxJoinInterval = time.Second

// joinCluster sends join requests to the other replicas until this replica has state
// or ctx ends.
func (s *Server) joinCluster(ctx context.Context, done <-chan struct{}) {
	if s.settings.JoinOnly {
		s.joinExisting(ctx, done)
		return
	}
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

// joiner asks the replicas of a cluster to add this one, each by itself: one that is gone must
// not hold up the answers of the others.
type joiner struct {
	s  *Server
	wg sync.WaitGroup

	mu sync.Mutex
	// asked holds the addresses that are asked.
	asked map[string]bool
	// membersAt is when a replica was last asked for the members.
	membersAt time.Duration
	// refusal is the latest reason why a replica has not added this one, and refusedBy its
	// address.
	refusal   error
	refusedBy string
}

// joinExisting asks the replicas of the settings, those of JoinAddresses and the members that
// they name, until this replica has state or ctx ends.
func (s *Server) joinExisting(ctx context.Context, done <-chan struct{}) {
	ctx, cancel := context.WithCancel(ctx)
	j := &joiner{s: s, asked: map[string]bool{}}
	defer j.wg.Wait()
	defer cancel()
	j.askAll(ctx, s.joinAddresses())
	for rounds := 1; ; rounds++ {
		select {
		case <-done:
			return
		case <-ctx.Done():
			return
		case <-time.After(joinInterval):
		}
		s.metrics.joinRounds.Inc()
		j.askAll(ctx, s.notices.usable(s.opts.Now()))
		if rounds%roundsPerLogLine == 0 {
			j.logWait()
		}
	}
}

// joinAddresses returns the addresses of the settings and of JoinAddresses.
func (s *Server) joinAddresses() []string {
	out := slices.Clone(s.settings.JoinAddresses)
	for _, r := range s.settings.Replicas {
		if r.Name != s.settings.ID {
			out = append(out, r.Address)
		}
	}
	return out
}

// askAll starts to ask those of the addresses that are not asked yet.
func (j *joiner) askAll(ctx context.Context, addresses []string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, a := range addresses {
		if a == j.s.settings.Listen || j.asked[a] || ctx.Err() != nil {
			continue
		}
		j.asked[a] = true
		j.wg.Go(func() { j.ask(ctx, a) })
	}
}

// ask sends join requests to one address until ctx ends.
func (j *joiner) ask(ctx context.Context, address string) {
	unreached := backoff.Backoff{Base: joinInterval, Max: maxJoinInterval}
	for {
		callCtx, cancel := context.WithTimeout(ctx, joinTimeout)
		res := j.s.requestJoin(callCtx, address)
		if res.notLeader && j.mayAskForMembers() {
			j.askMembers(callCtx, ctx, address)
		}
		cancel()
		j.recordRefusal(address, res.err)
		pause := joinInterval
		if res.id == "" {
			pause = unreached.Next()
		} else {
			unreached.Reset()
		}
		if !sleep(ctx, pause) {
			return
		}
	}
}

// mayAskForMembers reports whether a replica is to be asked for the members: once in
// maxJoinInterval, however many are asked to join.
func (j *joiner) mayAskForMembers() bool {
	now := j.s.opts.Now()
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.membersAt > 0 && now-j.membersAt < maxJoinInterval {
		return false
	}
	j.membersAt = now
	return true
}

// askMembers asks the replica at address, which doesn't lead, for the members, one of which may.
// These are asked until ctx ends.
func (j *joiner) askMembers(callCtx, ctx context.Context, address string) {
	reply, err := j.s.fetchMembership(callCtx, address)
	if err != nil {
		j.s.log.Debug("no membership from replica", zap.String("peer", address), observe.Error(err))
		return
	}
	j.askAll(ctx, memberAddresses(reply.GetMembership()))
}

// recordRefusal records why a replica has not added this one, if it gave a reason.
func (j *joiner) recordRefusal(address string, err error) {
	if err == nil {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.refusal, j.refusedBy = err, address
}

func (j *joiner) logWait() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.s.log.Warn("this replica is not yet a member of the cluster", zap.Int("replicas_asked", len(j.asked)),
		zap.String("last_answer_of", j.refusedBy), observe.Error(j.refusal))
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
	for _, a := range s.notices.usable(s.opts.Now()) {
		wg.Go(func() { s.requestJoin(ctx, a) })
	}
	wg.Wait()
	if s.settings.coordinator() != s.settings.ID {
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
		if !res.noCluster {
			s.notices.recordAnswer(s.opts.Now())
		}
	case *wirepb.Envelope_Ack:
		s.notices.recordAnswer(s.opts.Now())
	case *wirepb.Envelope_RaftMessage:
		snap := body.RaftMessage.GetSnapshot()
		if res.err = receiveChunks(st, snap); res.err == nil {
			s.enqueue(ctx, adoptRequest{snap: snap})
		}
	}
	return res
}
