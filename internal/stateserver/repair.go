package stateserver

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"bilberryhub/internal/observe"
	"bilberryhub/internal/raft"
)

// promoteInterval is the time between two attempts to promote learners. It is
// short, because until the promotion the loss of another replica may cost the
// quorum.
const promoteInterval = 100 * time.Millisecond

// promotion is the state of the promotion of learners. next is the time of the next
// attempt.
type promotion struct{ next time.Duration }

// lostTimeout is the time without contact after which a replica counts as lost: a voter may be
// replaced by a caught-up learner, and a learner by a replica that joins. It is longer than a
// restart and an election.
const lostTimeout = 2 * time.Second

// isLost reports whether a replica counts as lost.
func isLost(p raft.PeerStatus) bool { return p.SinceLastContact >= lostTimeout }

// promoteLearners promotes learners that have caught up to voters, one at a time, up
// to the number of voters in the settings. When that number is reached, a learner
// replaces a voter that is lost.
func (l *loop) promoteLearners(now time.Duration) {
	if now < l.promotion.next || !l.node.LeaseValid(now) {
		return
	}
	l.promotion.next = now + promoteInterval
	st := l.node.Status(now)
	l.s.metrics.setReplicas(st)
	if target := l.s.settings.TargetVoters; target > 0 && len(st.Voters) >= target {
		l.replaceLostVoter(st, now)
		return
	}
	for _, id := range l.learnersByDomainVoters(st) {
		if l.changeMembership(raft.Change{Kind: raft.Promote, ID: id}, now) {
			return
		}
	}
}

// learnersByDomainVoters returns the ids of the learners that aren't lost, ordered by the
// number of voters in their failure domain, fewest first. A learner that is lost may hold every
// committed entry, and as a voter would cost the tolerance of a loss.
func (l *loop) learnersByDomainVoters(st raft.Status) []string {
	m := l.node.MembershipAt(l.applied)
	domain, voters := map[string]string{}, map[string]int{}
	for _, r := range m.GetLearners() {
		domain[r.GetId()] = r.GetFailureDomain()
	}
	for _, r := range m.GetVoters() {
		voters[r.GetFailureDomain()]++
	}
	var learners []string
	for _, p := range st.Progress {
		if p.Learner && !isLost(p) {
			learners = append(learners, p.ID)
		}
	}
	slices.SortStableFunc(learners, func(a, b string) int { return voters[domain[a]] - voters[domain[b]] })
	return learners
}

// replaceLostVoter removes a voter that is lost, if a caught-up learner can replace it. The
// next attempt of promoteLearners promotes the learner.
func (l *loop) replaceLostVoter(st raft.Status, now time.Duration) {
	learnerReady := slices.ContainsFunc(st.Progress, func(p raft.PeerStatus) bool {
		return p.Learner && p.Match >= st.Commit && !isLost(p)
	})
	if !learnerReady {
		return
	}
	for _, p := range st.Progress {
		if !p.Learner && isLost(p) {
			l.changeMembership(raft.Change{Kind: raft.Remove, ID: p.ID}, now)
			return
		}
	}
}

// changeMembership proposes a change and reports whether it was appended to the log.
func (l *loop) changeMembership(c raft.Change, now time.Duration) bool {
	_, _, err := l.node.ProposeMembership(c, now)
	var behind raft.ErrLearnerBehind
	switch {
	case err == nil:
		l.log.Info("membership change proposed", zap.Int("kind", int(c.Kind)), zap.String("replica", c.ID))
		return true
	case errors.As(err, &behind), errors.Is(err, raft.ErrChangePending):
	default:
		l.log.Debug("membership change refused", zap.String("replica", c.ID), observe.Error(err))
	}
	return false
}

// leadershipTransfer requests the loop to transfer the leadership to another voter.
// The reply is true while the replica leads and there is another voter, and
// afterwards while it has proposals without an outcome.
type leadershipTransfer struct{ reply chan<- bool }

func (m leadershipTransfer) handle(l *loop) {
	now := l.now()
	st := l.node.Status(now)
	if st.Role != raft.Leader {
		m.reply <- len(l.waiters) > 0
		return
	}
	best, match := "", uint64(0)
	for _, p := range st.Progress {
		if !p.Learner && p.Match >= match && p.Match > 0 {
			best, match = p.ID, p.Match
		}
	}
	// There is no other voter to transfer the leadership to.
	if best == "" {
		m.reply <- false
		return
	}
	if st.TransferringTo == "" {
		if err := l.node.TransferLeadership(best, now); err != nil {
			l.log.Warn("leadership transfer failed", zap.String("to", best), observe.Error(err))
		}
	}
	m.reply <- true
}

// drainTimeout bounds the leadership transfer at a graceful shutdown. A
// transfer takes at most one election timeout.
const drainTimeout = 4 * electionTimeout

// Shutdown transfers the leadership, as far as that takes no longer than
// drainTimeout, and closes the server.
func (s *Server) Shutdown() error {
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	s.Drain(ctx)
	return errors.Trace(s.Close())
}
