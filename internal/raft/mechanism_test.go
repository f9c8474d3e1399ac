package raft

import (
	"errors"
	"fmt"
	"testing"

	"bilberryhub/internal/wirepb"
)

// elect runs until the host leads with a lease.
func (s *sim) elect(id string) error {
	s.run(5 * simElection)
	if l := s.leader(); l != nil && l.id != id {
		if err := l.n.TransferLeadership(id, s.now(l)); err != nil {
			return err
		}
		s.run(simElection)
	}
	if l := s.leader(); l == nil || l.id != id {
		return errors.Join(s.err, fmt.Errorf("%s was not elected", id))
	}
	return s.err
}

// put proposes a command at the leader and waits for its acknowledgement.
func (s *sim) put(cmd string) error {
	l := s.leader()
	if l == nil {
		return errors.Join(s.err, errors.New("no leader with a lease"))
	}
	if err := s.propose(l, cmd); err != nil {
		return err
	}
	s.run(simElection)
	if s.acked[cmd] == 0 {
		s.fail("command %q was not acknowledged", cmd)
	}
	return s.err
}

func (s *sim) changeAndRun(c Change) error {
	l := s.leader()
	if l == nil {
		return errors.New("no leader with a lease")
	}
	if err := s.change(l, c); err != nil {
		return err
	}
	s.run(3 * simElection)
	return s.err
}

func steps(fs ...func() error) error {
	for _, f := range fs {
		if err := f(); err != nil {
			return err
		}
	}
	return nil
}

func (s *sim) join(id string) *wirepb.Replica {
	s.start(s.addHost(id))
	return &wirepb.Replica{Id: id}
}

// A replica that was cut off for long must not depose the leader on its return.
func provePreVote(s *sim) error {
	if err := s.elect("a"); err != nil {
		return err
	}
	term := s.host("a").n.term
	s.isolate("c")
	s.run(20 * simElection)
	s.heal()
	s.run(5 * simElection)
	if a := s.host("a").n; a.role != Leader || a.term != term {
		return fmt.Errorf("the return of c turned the leader of term %d into a %s of term %d", term, a.role, a.term)
	}
	return s.err
}

// An isolated leader must step down by itself within its lease.
func proveCheckQuorum(s *sim) error {
	if err := s.elect("a"); err != nil {
		return err
	}
	s.isolate("a")
	s.run(simElection)
	a := s.host("a")
	if _, _, err := a.n.Propose(nil, s.now(a)); err == nil || a.n.role == Leader {
		return fmt.Errorf("a is isolated for %v, still %s, and accepts proposals", simElection, a.n.role)
	}
	return s.err
}

// A voter that hears from the leader must not help a replica that doesn't.
func proveStickiness(s *sim) error {
	if err := s.elect("a"); err != nil {
		return err
	}
	term := s.host("a").n.term
	s.cut[[2]string{"a", "c"}], s.cut[[2]string{"c", "a"}] = true, true
	s.run(5 * simElection)
	if s.err == nil && s.host("a").n.term != term {
		s.fail("c deposed a, which b still heard from")
	}
	return s.err
}

// The loss of a second replica right after a repair must cost neither data nor
// availability.
func proveLearnerStage(s *sim) error {
	if err := steps(func() error { return s.elect("a") }, func() error { return s.put("x") }); err != nil {
		return err
	}
	s.crash(s.host("c"))
	d := s.join("d")
	if err := s.changeAndRun(Change{Kind: Replace, ID: "c", Replica: d}); err != nil {
		return err
	}
	// New entries reach b only, so that d has not synced all of them.
	s.cut[[2]string{"a", "d"}] = true
	if err := steps(func() error { return s.put("y") }, func() error { return s.put("z") }); err != nil {
		return err
	}
	err := s.change(s.leader(), Change{Kind: Promote, ID: "d"})
	s.run(simElection)
	if err != nil {
		s.heal()
		s.run(5 * simElection)
		if err := s.changeAndRun(Change{Kind: Promote, ID: "d"}); err != nil {
			return err
		}
	}
	s.heal()
	// Only d is left of the voters that could hold everything besides a.
	if m, commit := s.host("d").n.log.stable, s.host("a").n.log.last(); m < commit-1 {
		s.fail("d was promoted with durable index %d of %d, so a repair counts as complete that is not", m, commit)
	}
	s.crash(s.host("b"))
	return errors.Join(s.err, s.put("after the loss"))
}

// Entries that no disk holds must not be acknowledged.
func provePersistence(s *sim) error {
	if err := s.elect("a"); err != nil {
		return err
	}
	for _, h := range s.hosts {
		h.noSync = true
	}
	l := s.leader()
	if err := s.propose(l, "x"); err != nil {
		return err
	}
	s.run(simElection / 2)
	return s.err
}

// A retired identity must neither come back nor disturb the others.
func proveRetirement(s *sim) error {
	if err := s.elect("a"); err != nil {
		return err
	}
	if err := s.changeAndRun(Change{Kind: Remove, ID: "c"}); err != nil {
		return err
	}
	b := s.host("b")
	term := b.n.term
	s.isolate("a")
	s.run(simElection)
	s.guard(func() {
		b.n.Step(&wirepb.RaftMessage{
			Kind: wirepb.RaftMessage_KIND_VOTE, From: "c", To: "b", Term: term + 7, LogIndex: 1000, LogTerm: term + 6,
		}, s.now(b))
	})
	if b.n.vote == "c" || b.n.term > term+1 {
		s.fail("b follows the retired c into term %d and votes for %q", b.n.term, b.n.vote)
	}
	s.heal()
	s.run(10 * simElection)
	if err := s.changeAndRun(Change{Kind: AddLearner, Replica: &wirepb.Replica{Id: "c"}}); err == nil {
		s.fail("the retired identity c was added again")
	}
	return s.err
}

// A new leader doesn't know what is committed before an entry of its own term
// is, so it must not serve under a lease.
func proveLeaseAfterCommit(s *sim) error {
	if err := steps(func() error { return s.elect("a") }, func() error { return s.put("x") }); err != nil {
		return err
	}
	a := s.host("a")
	if err := s.propose(a, "y"); err != nil {
		return err
	}
	// The others receive y, but not that it is committed.
	s.run(2 * simLatency)
	s.cut[[2]string{"a", "b"}], s.cut[[2]string{"a", "c"}] = true, true
	s.run(simElection / 2)
	s.crash(a)
	for deadline := s.t + 5*simElection; s.t < deadline; {
		s.tick(0)
		for _, h := range s.hosts[1:] {
			// From its own vote on, nothing that the next leader writes is durable.
			h.noSync = h.noSync || h.n.role == Candidate && h.n.durableTerm == h.n.term
		}
	}
	if s.acked["y"] == 0 {
		s.fail("y was not acknowledged")
	}
	return s.err
}

// A voter that restarts, or whose clock jumps, right after it answered the
// leader must keep the lease of that leader.
func proveKeptPromise(disturb func(*sim, *host)) func(*sim) error {
	return func(s *sim) error {
		for range 10 {
			s.heal()
			if err := s.elect("a"); err != nil {
				return err
			}
			// c campaigns at some time in the election timeout after the next.
			s.cut[[2]string{"a", "c"}] = true
			s.run(simElection)
			s.isolate("a")
			disturb(s, s.host("b"))
			s.run(simElection)
		}
		return s.err
	}
}

func restart(s *sim, h *host) {
	s.crash(h)
	s.start(h)
}

func jump(_ *sim, h *host) { h.offset += 2 * simElection }

type proof struct {
	name string
	off  disabled
	run  func(*sim) error
}

var proofs = []proof{
	{"pre-vote", disabled{preVote: true}, provePreVote},
	{"check-quorum", disabled{checkQuorum: true}, proveCheckQuorum},
	{"stickiness", disabled{stickiness: true}, proveStickiness},
	{"learner stage", disabled{learnerSync: true}, proveLearnerStage},
	{"persisted before counted", disabled{persistBeforeCount: true}, provePersistence},
	{"retired identities", disabled{retired: true}, proveRetirement},
	{"lease after commit", disabled{leaseAfterCommit: true}, proveLeaseAfterCommit},
	{"quiet start", disabled{quietStart: true}, proveKeptPromise(restart)},
	{"stall guard", disabled{stallGuard: true}, proveKeptPromise(jump)},
}

// Guards against proofs that pass whether or not the mechanism works: each must
// hold with the mechanism and fail without it.
func TestMechanisms(t *testing.T) {
	for _, p := range proofs {
		t.Run(p.name, func(t *testing.T) {
			if err := p.run(newSim(1, disabled{}, "a", "b", "c")); err != nil {
				t.Errorf("with the mechanism: %v", err)
			}
			err := p.run(newSim(1, p.off, "a", "b", "c"))
			if err == nil {
				t.Fatal("the proof doesn't notice that the mechanism is off")
			}
			t.Logf("without the mechanism: %v", err)
		})
	}
}
