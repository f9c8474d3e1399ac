package stateserver

import (
	"context"

	"github.com/juju/errors"

	"bilberryhub/internal/wire"
	"bilberryhub/internal/wirepb"
)

// handle serves one call.
func (s *Server) handle(ctx context.Context, st *wire.Stream, req *wirepb.Envelope) error {
	switch body := req.GetBody().(type) {
	case *wirepb.Envelope_RaftMessage:
		return s.receiveRaft(ctx, st, body.RaftMessage)
	case *wirepb.Envelope_Subscribe:
		return s.subscribe(ctx, st, body.Subscribe)
	case *wirepb.Envelope_Propose:
		return s.propose(ctx, st, body.Propose)
	case *wirepb.Envelope_ClaimQuery:
		return s.queryClaim(ctx, st, body.ClaimQuery)
	case *wirepb.Envelope_Join:
		return s.join(ctx, st, body.Join)
	case *wirepb.Envelope_MembershipQuery:
		return s.queryMembership(ctx, st)
	case *wirepb.Envelope_MembersNotice:
		return s.receiveNotice(ctx, st, body.MembersNotice)
	case *wirepb.Envelope_Dump:
		return s.sendDump(st)
	default:
		if s.opts.Handle != nil {
			return s.opts.Handle(ctx, st, req)
		}
		return errors.Errorf("call %T is not served by a state process", req.GetBody())
	}
}

// receiveRaft passes the messages on one stream of another replica to the loop,
// beginning with m.
func (s *Server) receiveRaft(ctx context.Context, st *wire.Stream, m *wirepb.RaftMessage) error {
	if st.Peer().Kind != wire.KindState {
		return errors.Errorf("messages of the consensus core from a process of kind %q", st.Peer().Kind)
	}
	if m.GetKind() == wirepb.RaftMessage_KIND_SNAPSHOT {
		if err := receiveChunks(st, m.GetSnapshot()); err != nil {
			return errors.Trace(err)
		}
		s.enqueue(ctx, receivedMessage{m: m})
		return st.Send(wire.AckEnvelope())
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go s.peers.sendOnInbound(ctx, st.Peer().ID, st)
	for s.enqueue(ctx, receivedMessage{m: m}) {
		env, err := st.Recv()
		if err != nil {
			return nil
		}
		if m = env.GetRaftMessage(); m == nil {
			return errors.New("message on a stream of the consensus core is of another kind")
		}
	}
	return nil
}

// receivedMessage is a message of the consensus core of another replica.
type receivedMessage struct{ m *wirepb.RaftMessage }

func (m receivedMessage) handle(l *loop) {
	if l.admits(m.m) {
		l.node.Step(m.m, l.now())
	}
}
