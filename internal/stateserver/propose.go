package stateserver

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"bilberryhub/internal/manifest"
	"bilberryhub/internal/raft"
	"bilberryhub/internal/statemachine"
	"bilberryhub/internal/wire"
	"bilberryhub/internal/wirepb"
)

// Codes of failures. Except for CodeOutcomeUnknown they state that the call has
// changed nothing and will not.
const (
	// codeNoLeader says that no leader is known, or that it is changing.
	codeNoLeader = "no_leader"
	// codeNoQuorum says that no leader has been in contact for so long that a
	// quorum is probably missing.
	codeNoQuorum = "no_quorum"
	// codeBusy says that too many proposals wait.
	codeBusy = "busy"
	// CodeOutcomeUnknown says that the proposal may or may not be carried out.
	// The same proposal may be sent again under its id.
	CodeOutcomeUnknown = "outcome_unknown"
	// codeNoCluster says that the replica belongs to no cluster.
	codeNoCluster = "no_cluster"
	// codeRefused says that the call is not allowed.
	codeRefused = "refused"
)

const (
	// proposeTimeout is the default bound on a proposal. It is above the time of an election and
	// the catch-up of a follower.
	proposeTimeout = 5 * time.Second
	// leaderWait is how long a call waits for a leader to be elected.
	leaderWait = 2 * time.Second
	// leaderPoll is the pause between two looks for a leader.
	leaderPoll = 50 * time.Millisecond
	// quorumSuspectAfter is the silence of leaders after which a quorum is
	// probably missing: more than two elections.
	quorumSuspectAfter = 4 * electionTimeout
)

// outcome answers a proposal or query inside the process.
type outcome struct {
	result *wirepb.Result
	// code is empty on success; message explains it.
	code, message string
	// leader is the leader to ask instead, or empty.
	leader string
}

func failed(code, format string, args ...any) outcome {
	return outcome{code: code, message: fmt.Sprintf(format, args...)}
}

// retryable reports whether nothing was proposed and another attempt may
// succeed within the time of an election. Without a leader for longer than that
// the caller does better to ask another replica at once.
func (o outcome) retryable() bool { return o.code == codeNoLeader || o.code == codeBusy }

// waiter waits for the entry at one index.
type waiter struct {
	term  uint64
	since time.Duration
	reply chan<- outcome
}

// answer never blocks: the channel has room for the only answer.
func (w waiter) answer(o outcome) { w.reply <- o }

// proposal asks the loop to propose a command.
type proposal struct {
	data  []byte
	reply chan<- outcome
}

func (m proposal) handle(l *loop) {
	now := l.now()
	index, term, err := l.node.Propose(m.data, now)
	if err != nil {
		m.reply <- l.refused(err)
		return
	}
	// A waiter of an older term has lost its entry, or this one could not have
	// been appended at the same index.
	if old, ok := l.waiters[index]; ok {
		old.answer(failed(CodeOutcomeUnknown, "the entry was replaced by another leader"))
	}
	l.waiters[index] = waiter{term: term, since: now, reply: m.reply}
}

// refused maps an error of the consensus core, which has appended nothing.
func (l *loop) refused(err error) outcome {
	var notLeader raft.ErrNotLeader
	switch {
	case errors.As(err, &notLeader):
		o := failed(codeNoLeader, "%v", err)
		if o.leader = notLeader.Leader; o.leader == "" && l.leaderSilence(l.now()) > quorumSuspectAfter {
			o.code = codeNoQuorum
		}
		return o
	case errors.Is(err, raft.ErrBusy):
		return failed(codeBusy, "%v", err)
	default:
		return failed(codeNoLeader, "%v", err)
	}
}

// leaderSilence returns the time since the last contact with a leader, the own
// leadership included, or since the start of the replica.
func (l *loop) leaderSilence(now time.Duration) time.Duration { return now - l.leaderAt }

// answerWaiter answers the proposal at the index of an applied entry.
func (l *loop) answerWaiter(e *wirepb.LogEntry, result *wirepb.Result) {
	w, ok := l.waiters[e.GetIndex()]
	if !ok {
		return
	}
	delete(l.waiters, e.GetIndex())
	if w.term != e.GetTerm() {
		// Another entry was committed at the index, so this one never will be.
		w.answer(failed(codeNoLeader, "the entry was replaced by another leader"))
		return
	}
	l.s.metrics.commitSeconds.Update((l.now() - w.since).Seconds())
	w.answer(outcome{result: result})
}

// checkCommand returns the result of a command that must not be proposed, or
// nil.
func checkCommand(cmd *wirepb.Command) *wirepb.Result {
	if _, ok := cmd.GetBody().(*wirepb.Command_AdvanceClock); ok {
		return &wirepb.Result{Code: statemachine.CodeBadCommand, Message: "only the leader advances the clock"}
	}
	return statemachine.Check(cmd)
}

// checkManifest returns the refusal of a manifest, or nil. The full check is not
// part of the state machine, because its rules may differ between builds. It is
// the work of the replica that takes the command from outside: it costs more than
// everything else on the way of a large manifest.
func checkManifest(cmd *wirepb.Command) *wirepb.Result {
	apply := cmd.GetApplyManifest()
	if apply == nil {
		return nil
	}
	if _, err := manifest.Parse(apply.GetContent()); err != nil {
		return &wirepb.Result{Code: statemachine.CodeBadCommand, Message: err.Error()}
	}
	return nil
}

// propose answers a Propose call. The replica that forwards a command has checked
// its manifest.
func (s *Server) propose(ctx context.Context, st *wire.Stream, p *wirepb.Propose) error {
	forwarded := p.GetForwarded() && st.Peer().Kind == wire.KindState
	if !forwarded {
		if r := checkManifest(p.GetCommand()); r != nil {
			return reply(st, "propose", outcome{result: r})
		}
	}
	return reply(st, "propose", s.proposeCommand(ctx, p.GetCommand(), !p.GetForwarded()))
}

// proposeCommand checks and proposes a command. It is sent on to the leader
// only where mayForward is set, which bounds forwarding to one hop.
func (s *Server) proposeCommand(ctx context.Context, cmd *wirepb.Command, mayForward bool) outcome {
	ctx, cancel := context.WithTimeout(ctx, s.opts.ProposeTimeout)
	defer cancel()
	if r := checkCommand(cmd); r != nil {
		return outcome{result: r}
	}
	data, err := proto.Marshal(cmd)
	if err != nil {
		return failed(codeRefused, "encode command: %v", err)
	}
	ask := func(ch chan<- outcome) message { return proposal{data: data, reply: ch} }
	var forward *wirepb.Envelope
	if mayForward {
		forward = &wirepb.Envelope{Body: &wirepb.Envelope_Propose{Propose: &wirepb.Propose{Command: cmd, Forwarded: true}}}
	}
	o := s.askLeader(ctx, ask, forward)
	s.metrics.proposals(o.code)
	return o
}

// askLeader carries out a call here, or at the leader when forward is not nil.
// It waits for an election as long as nothing has been proposed.
func (s *Server) askLeader(ctx context.Context, ask func(chan<- outcome) message, forward *wirepb.Envelope) outcome {
	giveUp := s.opts.Now() + leaderWait
	for {
		o := s.askLoop(ctx, ask)
		if o.leader != "" && forward != nil {
			o = s.forward(ctx, o.leader, forward)
		}
		if !o.retryable() || forward == nil || s.opts.Now() > giveUp || !sleep(ctx, leaderPoll) {
			return o
		}
	}
}

func (s *Server) askLoop(ctx context.Context, ask func(chan<- outcome) message) outcome {
	ch := make(chan outcome, 1)
	if !s.tell(ctx, ask(ch)) {
		return failed(codeNoLeader, "the replica is stopping or overloaded")
	}
	select {
	case o := <-ch:
		return o
	case <-ctx.Done():
	case <-s.ctx.Done():
	}
	return failed(CodeOutcomeUnknown, "no outcome in time")
}

// forward sends a call to the leader.
func (s *Server) forward(ctx context.Context, leader string, env *wirepb.Envelope) outcome {
	address, ok := s.peers.address(leader)
	if !ok {
		return failed(codeNoLeader, "the address of leader %s is not known", leader)
	}
	answer, err := s.clients.Get(address).Call(ctx, env)
	if err != nil {
		return forwardFailure(err)
	}
	return outcome{result: answer.GetProposeReply().GetResult()}
}

// forwardFailure maps the error of a forwarded call. Only a failure to connect
// proves that the leader has not received it.
func forwardFailure(err error) outcome {
	var remote *wire.RemoteError
	var op *net.OpError
	switch {
	case errors.As(err, &remote):
		return failed(remote.Code, "%s", remote.Message)
	case errors.As(err, &op) && op.Op == "dial":
		return failed(codeNoLeader, "%v", err)
	default:
		return failed(CodeOutcomeUnknown, "%v", err)
	}
}

// reply sends the outcome of a call to the peer.
func reply(st *wire.Stream, step string, o outcome) error {
	if o.code != "" {
		return st.Send(wire.FailureEnvelope(step, o.code, errors.New(o.message)))
	}
	return st.Send(&wirepb.Envelope{Body: &wirepb.Envelope_ProposeReply{
		ProposeReply: &wirepb.ProposeReply{Result: o.result},
	}})
}
