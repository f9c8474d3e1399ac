package stateserver

import (
	"context"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"bilberryhub/internal/observe"
	"bilberryhub/internal/wire"
	"bilberryhub/internal/wirepb"
)

const (
	// askInterval is the pause between two rounds of questions for the membership.
	askInterval = 500 * time.Millisecond
	// askTimeout bounds one question.
	askTimeout = time.Second
)

// membershipQuery asks the loop for the committed membership.
type membershipQuery struct {
	reply chan<- *wirepb.MembershipReply
}

func (m membershipQuery) handle(l *loop) {
	m.reply <- &wirepb.MembershipReply{Index: l.applied, Membership: l.node.MembershipAt(l.applied)}
}

// answerMembership answers a MembershipQuery call.
func (s *Server) answerMembership(ctx context.Context, st *wire.Stream) error {
	ch := make(chan *wirepb.MembershipReply, 1)
	if !s.tell(ctx, membershipQuery{reply: ch}) {
		return errors.New("the replica is stopping")
	}
	select {
	case r := <-ch:
		return st.Send(&wirepb.Envelope{Body: &wirepb.Envelope_MembershipReply{MembershipReply: r}})
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	case <-s.ctx.Done():
		return errors.New("the replica is stopping")
	}
}

// learnedMembership tells the loop what another replica knows to be committed.
type learnedMembership struct{ reply *wirepb.MembershipReply }

func (m learnedMembership) handle(l *loop) {
	if m.reply.GetMembership() != nil {
		l.node.LearnMembership(m.reply.GetIndex(), m.reply.GetMembership(), l.now())
	}
}

// askForMembership asks the other replicas for the membership while no leader is
// heard. A replica whose place was taken while it was away gets no messages any
// more, and one that is no voter, as far as it knows, asks for no votes either.
func (s *Server) askForMembership(ctx context.Context) {
	for sleep(ctx, askInterval) {
		if !s.hearsNoLeader() {
			continue
		}
		for _, address := range s.peers.known() {
			if address == s.settings.Listen {
				continue
			}
			reply, err := s.askMembership(ctx, address)
			if err != nil {
				s.log.Debug("membership not learned", zap.String("peer", address), observe.Error(err))
				continue
			}
			s.tell(ctx, learnedMembership{reply: reply})
		}
	}
}

// askMembership returns the membership that the replica at an address knows to be
// committed.
func (s *Server) askMembership(ctx context.Context, address string) (*wirepb.MembershipReply, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	env, err := s.clients.Get(address).Call(ctx, &wirepb.Envelope{Body: &wirepb.Envelope_MembershipQuery{
		MembershipQuery: &wirepb.MembershipQuery{},
	}})
	if err != nil {
		return nil, errors.Annotatef(err, "ask %s for the membership", address)
	}
	return env.GetMembershipReply(), nil
}

// hearsNoLeader reports whether leaders have been silent for longer than an
// election takes.
func (s *Server) hearsNoLeader() bool {
	f := &s.freshness
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.checked > 0 && !f.leads && f.silence > quorumSuspectAfter
}
