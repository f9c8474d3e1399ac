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
	"bilberryhub/internal/wire"
	"bilberryhub/internal/wirepb"
)

const (
	// membershipPollInterval is the pause between two rounds of membership queries.
	membershipPollInterval = 500 * time.Millisecond
	// membershipQueryTimeout bounds one query.
	membershipQueryTimeout = time.Second
)

// membershipQuery requests the committed membership from the loop.
type membershipQuery struct {
	reply chan<- *wirepb.MembershipReply
}

func (m membershipQuery) handle(l *loop) {
	m.reply <- &wirepb.MembershipReply{Index: l.applied, Membership: l.node.MembershipAt(l.applied)}
}

// memberAddresses returns the addresses of the members.
func memberAddresses(m *wirepb.Membership) []string {
	var out []string
	for _, r := range slices.Concat(m.GetVoters(), m.GetLearners()) {
		out = append(out, r.GetAddress())
	}
	return out
}

// membershipFields returns the log fields of a membership. The retired identities are counted
// only: their list grows without a bound.
func membershipFields(m *wirepb.Membership) []zap.Field {
	ids := func(rs []*wirepb.Replica) []string {
		out := make([]string, 0, len(rs))
		for _, r := range rs {
			out = append(out, r.GetId())
		}
		return out
	}
	return []zap.Field{
		zap.Strings("voters", ids(m.GetVoters())), zap.Strings("learners", ids(m.GetLearners())), zap.Int("retired", len(m.GetRetired())),
	}
}

// queryMembership serves a MembershipQuery call.
func (s *Server) queryMembership(ctx context.Context, st *wire.Stream) error {
	ch := make(chan *wirepb.MembershipReply, 1)
	if !s.enqueue(ctx, membershipQuery{reply: ch}) {
		return errors.New("the replica is stopping")
	}
	select {
	case r := <-ch:
		r.Membership = raft.MembershipFor(st.Peer().ID, r.GetMembership())
		return st.Send(&wirepb.Envelope{Body: &wirepb.Envelope_MembershipReply{MembershipReply: r}})
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	case <-s.ctx.Done():
		return errors.New("the replica is stopping")
	}
}

// receivedMembership passes to the loop a membership that another replica reports
// as committed.
type receivedMembership struct{ reply *wirepb.MembershipReply }

func (m receivedMembership) handle(l *loop) {
	if m.reply.GetMembership() != nil && !l.isForeign(m.reply.GetMembership().GetCluster()) {
		l.node.ObserveCommittedMembership(m.reply.GetIndex(), m.reply.GetMembership(), l.now())
	}
}

// pollMembership queries the membership from the other replicas while there is no
// contact with a leader. A replica that was replaced while it was down receives no
// messages any more, and if it is not a voter in its own log, it doesn't campaign
// either, so it would not find out that it was replaced.
func (s *Server) pollMembership(ctx context.Context) {
	for sleep(ctx, membershipPollInterval) {
		if s.isLeaderless() {
			s.askForMembership(ctx)
		}
	}
}

// askForMembership asks all known members and the replicas of the settings for the membership,
// at the same time: most of them may be gone. The members that this replica knows may all have
// been replaced while the settings name newer ones, and the other way round. Those that another
// process has named are asked as well.
func (s *Server) askForMembership(ctx context.Context) {
	addresses := slices.Concat(s.peers.knownAddresses(), s.joinAddresses(), s.notices.all())
	slices.Sort(addresses)
	var wg sync.WaitGroup
	for _, address := range slices.Compact(addresses) {
		if address == s.settings.Listen {
			continue
		}
		wg.Go(func() {
			reply, err := s.fetchMembership(ctx, address)
			if err != nil {
				s.log.Debug("no membership from replica", zap.String("peer", address), observe.Error(err))
				return
			}
			s.enqueue(ctx, receivedMembership{reply: reply})
		})
	}
	wg.Wait()
}

// fetchMembership returns the membership that is committed according to the replica
// at address, with the index up to which that replica has applied the log.
func (s *Server) fetchMembership(ctx context.Context, address string) (*wirepb.MembershipReply, error) {
	ctx, cancel := context.WithTimeout(ctx, membershipQueryTimeout)
	defer cancel()
	env, err := s.clients.Get(address).Call(ctx, &wirepb.Envelope{Body: &wirepb.Envelope_MembershipQuery{
		MembershipQuery: &wirepb.MembershipQuery{},
	}})
	if err != nil {
		return nil, errors.Annotatef(err, "ask %s for the membership", address)
	}
	return env.GetMembershipReply(), nil
}

// isLeaderless reports whether there has been no contact with a leader for longer
// than an election takes.
func (s *Server) isLeaderless() bool {
	f := &s.freshness
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.checkedAt > 0 && !f.leaseValid && f.leaderlessFor > noQuorumTimeout
}
