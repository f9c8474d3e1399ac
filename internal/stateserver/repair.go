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
// short, because the loss of another replica may cost the quorum until then.
const promoteInterval = 100 * time.Millisecond

// repair is the state of the promotion of learners.
type repair struct{ next time.Duration }

// voterLostAfter is the silence after which a voter gives way to a caught-up
// learner. It is above the time of a restart and of an election.
const voterLostAfter = 2 * time.Second

// promoteLearners makes learners that have caught up voters, one at a time, up
// to the number of voters that the settings ask for. When that number is
// reached, a learner takes the place of a voter that has been silent for long.
func (l *loop) promoteLearners(now time.Duration) {
	if now < l.repair.next || !l.node.LeaseValid(now) {
		return
	}
	l.repair.next = now + promoteInterval
	st := l.node.Status(now)
	l.s.metrics.learners.Set(float64(len(st.Learners)))
	if target := l.s.settings.TargetVoters; target > 0 && len(st.Voters) >= target {
		l.replaceLostVoter(st, now)
		return
	}
	for _, id := range l.byFewestVoters(st) {
		if l.changeMembership(raft.Change{Kind: raft.Promote, ID: id}, now) {
			return
		}
	}
}

// byFewestVoters returns the learners, those first whose failure domain has the
// fewest voters.
func (l *loop) byFewestVoters(st raft.Status) []string {
	m := l.node.MembershipAt(l.applied)
	domain, voters := map[string]string{}, map[string]int{}
	for _, r := range m.GetLearners() {
		domain[r.GetId()] = r.GetFailureDomain()
	}
	for _, r := range m.GetVoters() {
		voters[r.GetFailureDomain()]++
	}
	learners := slices.Clone(st.Learners)
	slices.SortStableFunc(learners, func(a, b string) int { return voters[domain[a]] - voters[domain[b]] })
	return learners
}

// replaceLostVoter removes a voter that has been silent for long when a learner
// stands ready for its place. The next round promotes the learner.
func (l *loop) replaceLostVoter(st raft.Status, now time.Duration) {
	ready := slices.ContainsFunc(st.Progress, func(p raft.PeerStatus) bool {
		return p.Learner && p.Match >= st.Commit && p.SilentFor < voterLostAfter
	})
	if !ready {
		return
	}
	for _, p := range st.Progress {
		if !p.Learner && p.SilentFor >= voterLostAfter {
			l.changeMembership(raft.Change{Kind: raft.Remove, ID: p.ID}, now)
			return
		}
	}
}

// changeMembership proposes a change and reports whether it was appended.
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

// handover asks the loop to give up the leadership. The reply says whether the
// replica still leads or has proposals without outcome.
type handover struct{ reply chan<- bool }

func (m handover) handle(l *loop) {
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
