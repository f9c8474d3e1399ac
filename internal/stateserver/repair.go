package stateserver

import (
	"context"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"bilberryhub/internal/observe"
	"bilberryhub/internal/raft"
)

// promoteInterval is the time between two attempts to promote learners. It is
// short, because the loss of another replica may cost the quorum until then.
const promoteInterval = 100 * time.Millisecond

// repair is the state of the promotion of learners.
type repair struct{ next time.Duration }

// promoteLearners makes learners that have caught up voters, one at a time.
func (l *loop) promoteLearners(now time.Duration) {
	if now < l.repair.next || !l.node.LeaseValid(now) {
		return
	}
	l.repair.next = now + promoteInterval
	for _, id := range l.node.Status(now).Learners {
		_, _, err := l.node.ProposeMembership(raft.Change{Kind: raft.Promote, ID: id}, now)
		var behind raft.ErrLearnerBehind
		switch {
		case err == nil:
			l.log.Info("learner promoted", zap.String("replica", id))
			return
		case errors.As(err, &behind), errors.Is(err, raft.ErrChangePending):
		default:
			l.log.Debug("learner not promoted", zap.String("replica", id), observe.Error(err))
		}
	}
}

// handover asks the loop to give up the leadership. The reply says whether the
// replica still leads.
type handover struct{ reply chan<- bool }

func (m handover) handle(l *loop) {
	now := l.now()
	st := l.node.Status(now)
	if st.Role != raft.Leader {
		m.reply <- false
		return
	}
	best, match := "", uint64(0)
	for _, p := range st.Progress {
		if !p.Learner && p.Match >= match && p.Match > 0 {
			best, match = p.ID, p.Match
		}
	}
	// Without another voter there is nobody to hand over to.
	if best == "" {
		m.reply <- false
		return
	}
	if st.TransferringTo == "" {
		if err := l.node.TransferLeadership(best, now); err != nil {
			l.log.Warn("leadership not handed over", zap.String("to", best), observe.Error(err))
		}
	}
	m.reply <- true
}

// drainTimeout bounds the handover at a planned stop. A handover takes one
// election timeout at most.
const drainTimeout = 4 * electionTimeout

// Stop hands over the leadership and closes the server.
func (s *Server) Stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	s.Drain(ctx)
	return errors.Trace(s.Close())
}
