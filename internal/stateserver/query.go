package stateserver

import (
	"context"
	"encoding/json"
	"time"

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

// NewestConfig returns a configuration that is at least as new as each one that any
// replica had reported before the call. If there is none, code is a failure code and
// reason explains it.
//
// A leader with a valid lease states the index that it has applied, and this replica
// waits until it has applied that as well. The leader is asked for a claim that doesn't
// exist: all builds answer this query.
func (s *Server) NewestConfig(ctx context.Context) (newest *wirepb.ConfigSnapshot, code, reason string) {
	ctx, cancel := context.WithTimeout(ctx, s.opts.ProposeTimeout)
	defer cancel()
	newMessage := func(ch chan<- outcome) message { return claimQuery{reply: ch} }
	o := s.callLeader(ctx, newMessage, &wirepb.Envelope{Body: &wirepb.Envelope_ClaimQuery{ClaimQuery: &wirepb.ClaimQuery{}}})
	if o.code != "" {
		return nil, o.code, o.message
	}
	for {
		reply := make(chan *wirepb.ConfigSnapshot, 1)
		if !s.enqueue(ctx, configQuery{index: o.result.GetIndex(), reply: reply}) {
			break
		}
		select {
		case newest := <-reply:
			if newest != nil {
				return newest, "", ""
			}
		case <-ctx.Done():
		case <-s.ctx.Done():
		}
		if !sleep(ctx, appliedPollInterval) {
			break
		}
	}
	return nil, codeNoLeader, "the replica has not applied all entries in time"
}

// appliedPollInterval is the pause between two checks whether an entry is applied.
const appliedPollInterval = 5 * time.Millisecond

// configQuery requests the configuration if the entry at index is applied, and nil
// otherwise.
type configQuery struct {
	index uint64
	reply chan<- *wirepb.ConfigSnapshot
}

func (m configQuery) handle(l *loop) {
	if l.applied < m.index {
		m.reply <- nil
		return
	}
	m.reply <- l.machine.Config()
}

// dumpQuery requests the state dump of the loop.
type dumpQuery struct{ reply chan<- loopDump }

// loopDump is the part of the state dump that the loop provides.
type loopDump struct {
	Forming bool `json:"forming"`
	// Cluster is the id of the cluster, and Told the members that another process has named.
	Cluster     string      `json:"cluster"`
	Told        []string    `json:"told_members,omitempty"`
	Raft        raft.Status `json:"raft"`
	State       any         `json:"state"`
	Waiting     int         `json:"waiting_proposals"`
	Snapshot    uint64      `json:"snapshot_index"`
	Outstanding bool        `json:"disk_write_outstanding"`
}

func (m dumpQuery) handle(l *loop) {
	st := l.node.Status(l.now())
	m.reply <- loopDump{
		Forming: l.forming != nil, Cluster: l.cluster, Told: l.s.notices.all(), Raft: st, State: l.machine.Dump(), Waiting: len(l.waiters),
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
