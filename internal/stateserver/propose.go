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

// Failure codes. Except for CodeOutcomeUnknown they mean that the call changed
// nothing and won't.
const (
	// codeNoLeader means that no leader is known, or that the leader is changing.
	codeNoLeader = "no_leader"
	// codeNoQuorum means that there was no contact with a leader for so long that
	// there is probably no quorum.
	codeNoQuorum = "no_quorum"
	// codeBusy means that too many proposals wait.
	codeBusy = "busy"
	// CodeOutcomeUnknown means that the proposal may or may not be applied, now or
	// later. The same proposal may be sent again under its id.
	CodeOutcomeUnknown = "outcome_unknown"
	// codeNoCluster means that the replica belongs to no cluster.
	codeNoCluster = "no_cluster"
	// codeRefused means that the call is not allowed.
	codeRefused = "refused"
)

const (
	// proposeTimeout is the default timeout of a proposal. It is longer than an
	// election and the catch-up of a follower.
	proposeTimeout = 5 * time.Second
	// leaderWaitTimeout is how long a call waits for a leader to be elected.
	leaderWaitTimeout = 2 * time.Second
	// leaderPollInterval is the pause between two checks for a leader.
	leaderPollInterval = 50 * time.Millisecond
	// noQuorumTimeout is the time without contact with a leader after which there is
	// probably no quorum. It is longer than two elections.
	noQuorumTimeout = 4 * electionTimeout
)

// outcome is the result or the failure of a proposal or query.
type outcome struct {
	result *wirepb.Result
	// code is empty on success; message explains it.
	code, message string
	// leader is the replica id of the leader to which the call should be sent
	// instead, or empty.
	leader string
}

// failureOutcome returns an outcome with a failure code and a formatted message.
func failureOutcome(code, format string, args ...any) outcome {
	return outcome{code: code, message: fmt.Sprintf(format, args...)}
}

// isRetryable reports whether nothing was proposed and another attempt may succeed
// within the duration of an election. When there is no leader for longer than that
// (codeNoQuorum), the caller should try another replica at once.
func (o outcome) isRetryable() bool { return o.code == codeNoLeader || o.code == codeBusy }

// waiter is a proposal that waits until the entry at its index is applied.
type waiter struct {
	// term is the term in which the entry was appended.
	term uint64
	// proposedAt is when the entry was appended.
	proposedAt time.Duration
	reply      chan<- outcome
}

// answer sends the outcome. It never blocks: the channel has a buffer for the only
// outcome.
func (w waiter) answer(o outcome) { w.reply <- o }

// proposal requests the loop to propose an encoded command.
type proposal struct {
	data  []byte
	reply chan<- outcome
}

func (m proposal) handle(l *loop) {
	now := l.now()
	index, term, err := l.node.Propose(m.data, now)
	if err != nil {
		m.reply <- l.refusalOutcome(err)
		return
	}
	// A waiter at this index is of an older term and its entry was replaced,
	// otherwise the new entry could not have been appended at the same index.
	if old, ok := l.waiters[index]; ok {
		old.answer(failureOutcome(CodeOutcomeUnknown, "the entry was replaced by another leader"))
	}
	l.waiters[index] = waiter{term: term, proposedAt: now, reply: m.reply}
}

// refusalOutcome maps an error of the consensus core, which has appended nothing,
// to an outcome.
func (l *loop) refusalOutcome(err error) outcome {
	var notLeader raft.ErrNotLeader
	switch {
	case errors.As(err, &notLeader):
		o := failureOutcome(codeNoLeader, "%v", err)
		if o.leader = notLeader.Leader; o.leader == "" && l.timeWithoutLeader(l.now()) > noQuorumTimeout {
			o.code = codeNoQuorum
		}
		return o
	case errors.Is(err, raft.ErrTooManyUncommitted):
		return failureOutcome(codeBusy, "%v", err)
	default:
		return failureOutcome(codeNoLeader, "%v", err)
	}
}

// timeWithoutLeader returns the time since the last contact with a leader, or
// since the start of the replica. While this replica leads, its contact with a
// quorum counts.
func (l *loop) timeWithoutLeader(now time.Duration) time.Duration { return now - l.lastLeaderContact }

// answerWaiter answers the proposal at the index of an applied entry.
func (l *loop) answerWaiter(e *wirepb.LogEntry, result *wirepb.Result) {
	w, ok := l.waiters[e.GetIndex()]
	if !ok {
		return
	}
	delete(l.waiters, e.GetIndex())
	if w.term != e.GetTerm() {
		// Another entry was committed at the index, so the proposed one never will
		// be.
		w.answer(failureOutcome(codeNoLeader, "the entry was replaced by another leader"))
		return
	}
	l.s.metrics.commitSeconds.Update((l.now() - w.proposedAt).Seconds())
	w.answer(outcome{result: result})
}

// checkCommand returns the result that rejects a command which must not be
// proposed, or nil.
func checkCommand(cmd *wirepb.Command) *wirepb.Result {
	if _, ok := cmd.GetBody().(*wirepb.Command_AdvanceClock); ok {
		return &wirepb.Result{Code: statemachine.CodeBadCommand, Message: "only the leader advances the clock"}
	}
	return statemachine.Check(cmd)
}

// checkManifest returns the result that rejects an invalid manifest, or nil. The
// full check is not part of the state machine, because its rules may differ
// between builds. The replica that receives the command from a client does it
// once: it costs more than the rest of the processing of a large manifest.
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

// propose serves a Propose call. A replica that forwards a command has already
// checked its manifest.
func (s *Server) propose(ctx context.Context, st *wire.Stream, p *wirepb.Propose) error {
	forwarded := p.GetForwarded() && st.Peer().Kind == wire.KindState
	if !forwarded {
		if r := checkManifest(p.GetCommand()); r != nil {
			return reply(st, "propose", outcome{result: r})
		}
	}
	return reply(st, "propose", s.proposeCommand(ctx, p.GetCommand(), !p.GetForwarded()))
}

// proposeCommand checks and proposes a command. It is forwarded to the leader only
// if allowForward is set, which limits forwarding to one hop.
func (s *Server) proposeCommand(ctx context.Context, cmd *wirepb.Command, allowForward bool) outcome {
	ctx, cancel := context.WithTimeout(ctx, s.opts.ProposeTimeout)
	defer cancel()
	if r := checkCommand(cmd); r != nil {
		return outcome{result: r}
	}
	data, err := proto.Marshal(cmd)
	if err != nil {
		return failureOutcome(codeRefused, "encode command: %v", err)
	}
	newMessage := func(ch chan<- outcome) message { return proposal{data: data, reply: ch} }
	var forward *wirepb.Envelope
	if allowForward {
		forward = &wirepb.Envelope{Body: &wirepb.Envelope_Propose{Propose: &wirepb.Propose{Command: cmd, Forwarded: true}}}
	}
	o := s.callLeader(ctx, newMessage, forward)
	s.metrics.countProposal(o.code)
	return o
}

// callLeader sends a message from newMessage to the loop of this replica. When
// forward is not nil, it sends forward to the leader if another replica leads, and
// retries for up to leaderWaitTimeout while nothing has been proposed, so that an
// election can end.
func (s *Server) callLeader(ctx context.Context, newMessage func(chan<- outcome) message, forward *wirepb.Envelope) outcome {
	deadline := s.opts.Now() + leaderWaitTimeout
	for {
		o := s.callLoop(ctx, newMessage)
		if o.leader != "" && forward != nil {
			o = s.forward(ctx, o.leader, forward)
		}
		if !o.isRetryable() || forward == nil || s.opts.Now() > deadline || !sleep(ctx, leaderPollInterval) {
			return o
		}
	}
}

// callLoop sends a message to the loop and waits for its outcome.
func (s *Server) callLoop(ctx context.Context, newMessage func(chan<- outcome) message) outcome {
	ch := make(chan outcome, 1)
	if !s.enqueue(ctx, newMessage(ch)) {
		return failureOutcome(codeNoLeader, "the replica is stopping or overloaded")
	}
	select {
	case o := <-ch:
		return o
	case <-ctx.Done():
	case <-s.ctx.Done():
	}
	return failureOutcome(CodeOutcomeUnknown, "no outcome in time")
}

// forward sends a call to the leader and returns its outcome.
func (s *Server) forward(ctx context.Context, leader string, req *wirepb.Envelope) outcome {
	address, ok := s.peers.address(leader)
	if !ok {
		return failureOutcome(codeNoLeader, "the address of leader %s is not known", leader)
	}
	env, err := s.clients.Get(address).Call(ctx, req)
	if err != nil {
		return forwardFailure(err)
	}
	return outcome{result: env.GetProposeReply().GetResult()}
}

// forwardFailure maps the error of a forwarded call to an outcome. Unless the
// leader replied with a failure, only a failure to connect proves that the leader
// didn't receive the call.
func forwardFailure(err error) outcome {
	var remote *wire.RemoteError
	var op *net.OpError
	switch {
	case errors.As(err, &remote):
		return failureOutcome(remote.Code, "%s", remote.Message)
	case errors.As(err, &op) && op.Op == "dial":
		return failureOutcome(codeNoLeader, "%v", err)
	default:
		return failureOutcome(CodeOutcomeUnknown, "%v", err)
	}
}

// reply sends the outcome of a call to the caller. step names the call in a failure.
func reply(st *wire.Stream, step string, o outcome) error {
	if o.code != "" {
		return st.Send(wire.FailureEnvelope(step, o.code, errors.New(o.message)))
	}
	return st.Send(&wirepb.Envelope{Body: &wirepb.Envelope_ProposeReply{
		ProposeReply: &wirepb.ProposeReply{Result: o.result},
	}})
}
