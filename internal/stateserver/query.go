package stateserver

import (
	"context"
	"encoding/json"

	"github.com/juju/errors"

	"bilberryhub/internal/raft"
	"bilberryhub/internal/wire"
	"bilberryhub/internal/wirepb"
)

// claimQuery requests the state of a claim from the loop. The read is linearizable:
// only a leader with a valid lease that has applied all committed entries answers,
// so that the answer is not older than any result that was returned before the
// query.
type claimQuery struct {
	account, key string
	reply        chan<- outcome
}

func (m claimQuery) handle(l *loop) {
	now := l.now()
	leader, _ := l.node.LeaderContact(now)
	switch {
	case leader != l.s.id:
		m.reply <- l.refusalOutcome(raft.ErrNotLeader{Leader: leader})
	case !l.node.LeaseValid(now) || l.applied < l.node.Status(now).Commit:
		m.reply <- failureOutcome(codeNoLeader, "the leader has no valid lease or has not applied all entries")
	default:
		m.reply <- outcome{result: &wirepb.Result{Index: l.applied, Claim: l.machine.Claim(m.account, m.key)}}
	}
}

// queryClaim serves a ClaimQuery call. A query from another replica was already
// forwarded once and is not forwarded again.
func (s *Server) queryClaim(ctx context.Context, st *wire.Stream, q *wirepb.ClaimQuery) error {
	ctx, cancel := context.WithTimeout(ctx, s.opts.ProposeTimeout)
	defer cancel()
	newMessage := func(ch chan<- outcome) message {
		return claimQuery{account: q.GetAccount(), key: q.GetKey(), reply: ch}
	}
	forward := &wirepb.Envelope{Body: &wirepb.Envelope_ClaimQuery{ClaimQuery: q}}
	if st.Peer().Kind == wire.KindState {
		forward = nil
	}
	return reply(st, "query claim", s.callLeader(ctx, newMessage, forward))
}

// dumpQuery requests the state dump of the loop.
type dumpQuery struct{ reply chan<- loopDump }

// loopDump is the part of the state dump that the loop provides.
type loopDump struct {
	Forming     bool        `json:"forming"`
	Raft        raft.Status `json:"raft"`
	State       any         `json:"state"`
	Waiting     int         `json:"waiting_proposals"`
	Snapshot    uint64      `json:"snapshot_index"`
	Outstanding bool        `json:"disk_write_outstanding"`
}

func (m dumpQuery) handle(l *loop) {
	st := l.node.Status(l.now())
	m.reply <- loopDump{
		Forming: l.forming != nil, Raft: st, State: l.machine.Dump(), Waiting: len(l.waiters),
		Snapshot: l.snapshot.GetIndex(), Outstanding: l.outstanding != nil,
	}
}

// serverDump is the state dump of a replica.
type serverDump struct {
	ID            string     `json:"id"`
	FailureDomain string     `json:"failure_domain"`
	Fresh         bool       `json:"fresh"`
	ConfigIndex   uint64     `json:"config_index"`
	Peers         []peerDump `json:"peers"`
	loopDump
}

// dump returns the state dump, a serverDump.
func (s *Server) dump() (any, error) {
	ctx, cancel := context.WithTimeout(s.ctx, proposeTimeout)
	defer cancel()
	ch := make(chan loopDump, 1)
	if !s.enqueue(ctx, dumpQuery{reply: ch}) {
		return nil, errors.New("the loop does not answer")
	}
	select {
	case d := <-ch:
		return serverDump{
			ID: s.id, FailureDomain: s.settings.FailureDomain, Fresh: s.fresh(),
			ConfigIndex: s.published.Load().config.GetIndex(), Peers: s.peers.dump(), loopDump: d,
		}, nil
	case <-ctx.Done():
		return nil, errors.New("the loop does not answer")
	}
}

// sendDump serves a Dump call with the state dump as JSON.
func (s *Server) sendDump(st *wire.Stream) error {
	v, err := s.dump()
	if err != nil {
		return errors.Trace(err)
	}
	doc, err := json.Marshal(v)
	if err != nil {
		return errors.Annotate(err, "encode state dump")
	}
	return st.Send(&wirepb.Envelope{Body: &wirepb.Envelope_DumpReply{DumpReply: &wirepb.DumpReply{Document: doc}}})
}
