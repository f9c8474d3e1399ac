package entry

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"bilberryhub/internal/observe"
	"bilberryhub/internal/peers"
	"bilberryhub/internal/refusal"
	"bilberryhub/internal/wire"
	"bilberryhub/internal/wirepb"
)

const (
	// heartbeatInterval is the period of the heartbeat exchange with each peer. Three
	// intervals fit into the expiry of a peer.
	heartbeatInterval = 500 * time.Millisecond
	// heartbeatTimeout bounds one exchange.
	heartbeatTimeout = 500 * time.Millisecond
	// broadcastTimeout bounds the broadcast of a crash, which protects against the
	// repeated request. Peers behind a network partition needn't be waited for: they
	// can't receive the repeated request either.
	broadcastTimeout = 200 * time.Millisecond
	// openListRounds is the period, in heartbeat rounds, in which the lists of open
	// dispatches are sent.
	openListRounds = 2
)

// runHeartbeats exchanges heartbeats with all known entry processes until the
// process stops.
func (s *Server) runHeartbeats() {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for round := 0; ; round++ {
		s.heartbeatRound(round)
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// heartbeatRound starts an exchange with each entry process that is configured, live
// or unconfirmed, and closes the connections to all others.
func (s *Server) heartbeatRound(round int) {
	addresses := map[string]bool{}
	var messages map[string]*wirepb.PeerHeartbeat
	err := s.loop.do(s.ctx, func(c *control) {
		for _, address := range s.settings.Entries {
			addresses[address] = true
		}
		for _, p := range append(c.peers.Live(), c.peers.Unconfirmed()...) {
			addresses[p.Address] = true
		}
		delete(addresses, c.server.wire.Address())
		messages = c.outgoingHeartbeats(slices.Collect(maps.Keys(addresses)))
		c.updateLocalSummaries()
	})
	if err != nil {
		return
	}
	s.clients.CloseExcept(addresses)
	for address, heartbeat := range messages {
		s.wg.Go(func() { s.exchangeHeartbeat(address, heartbeat, round) })
	}
}

// exchangeHeartbeat sends a heartbeat and handles the peer's heartbeat and pool
// summaries.
func (s *Server) exchangeHeartbeat(address string, heartbeat *wirepb.PeerHeartbeat, round int) {
	ctx, cancel := context.WithTimeout(s.ctx, heartbeatTimeout)
	defer cancel()
	st, err := s.clients.Get(address).Open(ctx, &envelope{Body: &wirepb.Envelope_PeerHeartbeat{PeerHeartbeat: heartbeat}})
	if err != nil {
		s.log.Debug("heartbeat failed", zap.String("peer", address), observe.Error(err))
		return
	}
	defer st.Close()
	for range 2 {
		env, err := st.Recv()
		if err != nil {
			s.log.Debug("heartbeat reply not received", zap.String("peer", address), observe.Error(err))
			return
		}
		if st.Peer().ID == s.settings.ID {
			return
		}
		s.handleHeartbeatReply(env)
	}
	if round%openListRounds == 0 {
		s.sendOpenList(st.Peer().ID, address)
	}
}

// handleHeartbeatReply handles one of the two messages with which a peer replies to a
// heartbeat.
func (s *Server) handleHeartbeatReply(env *envelope) {
	if hb := env.GetPeerHeartbeat(); hb != nil {
		s.sync.NotePeer(hb.GetSelf().GetAddress(), hb.GetConfigIndex(), hb.GetConfigDigest())
		s.loop.post(func(c *control) { c.handleHeartbeat(hb) })
	}
	if summaries := env.GetPoolSummaries(); summaries != nil {
		s.loop.post(func(c *control) { c.router.Update(c.now(), summaries) })
	}
}

// sendOpenList sends the open dispatches of a dispatcher to it, so that it can detect
// those whose end it has missed.
func (s *Server) sendOpenList(dispatcher, address string) {
	ids := s.open.list(dispatcher)
	if ids == nil {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, heartbeatTimeout)
	defer cancel()
	_, _ = s.clients.Get(address).Call(ctx, &envelope{Body: &wirepb.Envelope_OpenRequests{OpenRequests: &wirepb.OpenRequests{
		Entry: s.settings.ID, Incarnation: s.incarnation, DispatchIds: ids,
	}}})
}

// selfPeer returns the description of this process for its peers.
func (s *Server) selfPeer() peers.Peer {
	return peers.Peer{
		ID: s.settings.ID, Address: s.wire.Address(), HTTPAddress: s.announceAddress,
		FailureDomain: s.settings.FailureDomain, Incarnation: s.incarnation,
	}
}

// outgoingHeartbeats returns the heartbeats to send, by address of the receiver.
func (c *control) outgoingHeartbeats(addresses []string) map[string]*wirepb.PeerHeartbeat {
	if v := c.server.sync.Current(); v != nil {
		c.peers.SetConfig(v.Index, v.Digest)
	}
	return c.peers.OutgoingHeartbeats(addresses)
}

// updateLocalSummaries stores the summaries of the pools that this process
// dispatches in the routing table and returns them.
func (c *control) updateLocalSummaries() []*wirepb.PoolSummary {
	summaries := c.core.Summaries(c.now())
	c.router.Update(c.now(), &wirepb.PoolSummaries{
		Sender: c.server.settings.ID, Incarnation: c.server.incarnation, Pools: summaries,
	})
	return summaries
}

// handleHeartbeat stores a heartbeat of a peer in the peer table.
func (c *control) handleHeartbeat(hb *wirepb.PeerHeartbeat) {
	c.handleLostPeers(c.peers.HandleHeartbeat(c.now(), hb))
}

// serveCall serves one call of another process.
func (s *Server) serveCall(ctx context.Context, st *wire.Stream, req *envelope) error {
	switch body := req.GetBody().(type) {
	case *wirepb.Envelope_PeerHeartbeat:
		return s.serveHeartbeat(ctx, st, body.PeerHeartbeat)
	case *wirepb.Envelope_Reserve:
		return s.serveReserve(ctx, st, body.Reserve)
	case *wirepb.Envelope_OpenRequests:
		s.loop.post(func(c *control) { c.core.OpenRequests(c.now(), body.OpenRequests) })
		return st.Send(wire.AckEnvelope())
	case *wirepb.Envelope_Suspect:
		if err := s.loop.do(ctx, func(c *control) { c.core.Suspect(c.now(), body.Suspect) }); err != nil {
			return errors.Trace(err)
		}
		return st.Send(wire.AckEnvelope())
	case *wirepb.Envelope_FindDispatch:
		return s.serveFindDispatch(ctx, st, body.FindDispatch)
	case *wirepb.Envelope_Connect:
		return s.connects.Serve(ctx, st, body.Connect)
	case *wirepb.Envelope_ConfigPull:
		return s.sync.ServePull(st, body.ConfigPull)
	case *wirepb.Envelope_MembersNotice:
		return s.states.serveNotice(ctx, st, body.MembersNotice)
	case *wirepb.Envelope_Dump:
		doc, err := s.admin.Document()
		if err != nil {
			return errors.Trace(err)
		}
		return st.Send(&envelope{Body: &wirepb.Envelope_DumpReply{DumpReply: &wirepb.DumpReply{Document: doc}}})
	default:
		return errors.Errorf("entry process does not serve %T", body)
	}
}

// serveFindDispatch looks up a dispatch among those of this dispatcher. The reply is
// empty if there is none.
func (s *Server) serveFindDispatch(ctx context.Context, st *wire.Stream, m *wirepb.FindDispatch) error {
	var found *wirepb.FoundDispatch
	err := s.loop.do(ctx, func(c *control) { found = c.core.Find(c.now(), m.GetRequestId(), m.GetAccount()) })
	if err != nil {
		return errors.Trace(err)
	}
	if found == nil {
		found = &wirepb.FoundDispatch{}
	}
	return st.Send(&envelope{Body: &wirepb.Envelope_FoundDispatch{FoundDispatch: found}})
}

// serveHeartbeat handles a heartbeat and replies with the heartbeat and the pool
// summaries of this process.
func (s *Server) serveHeartbeat(ctx context.Context, st *wire.Stream, hb *wirepb.PeerHeartbeat) error {
	s.sync.NotePeer(hb.GetSelf().GetAddress(), hb.GetConfigIndex(), hb.GetConfigDigest())
	var reply *wirepb.PeerHeartbeat
	var summaries []*wirepb.PoolSummary
	err := s.loop.do(ctx, func(c *control) {
		c.handleHeartbeat(hb)
		address := hb.GetSelf().GetAddress()
		reply = c.outgoingHeartbeats([]string{address})[address]
		summaries = c.updateLocalSummaries()
	})
	if err != nil {
		return errors.Trace(err)
	}
	if err := st.Send(&envelope{Body: &wirepb.Envelope_PeerHeartbeat{PeerHeartbeat: reply}}); err != nil {
		return nil
	}
	_ = st.Send(&envelope{Body: &wirepb.Envelope_PoolSummaries{PoolSummaries: &wirepb.PoolSummaries{
		Sender: s.settings.ID, Incarnation: s.incarnation, Pools: summaries,
	}}})
	return nil
}

// broadcastCrash reports to all entry processes that a backend server crashed while
// it ran r, and waits until those that can be reached have recorded it. sole is set
// if r was already suspected at its start. It was the only suspect on the backend
// server then, and the crash is attributed to it alone.
func (s *Server) broadcastCrash(r *request, m *wirepb.GrantMember, sole bool) {
	crash := &wirepb.Suspect{Fingerprint: r.fingerprint[:], Backend: m.GetBackend(), Boot: m.GetBoot(), Sole: sole}
	if r.model != nil {
		crash.PrefixHashes = r.model.prefix // nil once a response has begun
	}
	s.broadcastSuspect(crash)
}

// broadcastSuspect applies m in this process, sends it to all live peers and waits
// until they have acknowledged it, at most for broadcastTimeout.
func (s *Server) broadcastSuspect(m *wirepb.Suspect) {
	ctx, cancel := context.WithTimeout(s.ctx, broadcastTimeout)
	defer cancel()
	var receivers []peers.Peer
	if s.loop.do(ctx, func(c *control) { c.core.Suspect(c.now(), m); receivers = c.otherPeers() }) != nil {
		return
	}
	done := make(chan struct{}, len(receivers))
	for _, p := range receivers {
		go func() {
			_, _ = s.clients.Get(p.Address).Call(ctx, &envelope{Body: &wirepb.Envelope_Suspect{Suspect: m}})
			done <- struct{}{}
		}()
	}
	for range receivers {
		<-done
	}
}

// otherPeers returns the live entry processes except this one.
func (c *control) otherPeers() []peers.Peer {
	return slices.DeleteFunc(c.peers.Live(), func(p peers.Peer) bool { return p.ID == c.server.settings.ID })
}

// noCapacity returns the refusal for a request that no pool can accept.
func noCapacity(reason string) *refusal.Error {
	return refusal.New(refusal.NoCapacity, reason).WithRetryAfter(time.Second)
}
