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
	// heartbeatInterval is how often each peer is asked for its state. Three
	// intervals fit into the expiry of a peer.
	heartbeatInterval = 500 * time.Millisecond
	// heartbeatTimeout bounds one exchange.
	heartbeatTimeout = 500 * time.Millisecond
	// broadcastTimeout bounds the spread of a crash. A peer that is cut off
	// cannot receive the resend that the broadcast guards against.
	broadcastTimeout = 200 * time.Millisecond
	// openListEvery is how many heartbeats apart the lists of open dispatches
	// are sent.
	openListEvery = 2
)

// heartbeats exchanges state with all known entry processes until the process
// stops.
func (s *Server) heartbeats() {
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
		messages = c.heartbeats(slices.Collect(maps.Keys(addresses)))
		c.ownSummaries()
	})
	if err != nil {
		return
	}
	s.clients.Keep(addresses)
	for address, self := range messages {
		s.wg.Go(func() { s.exchange(address, self, round) })
	}
}

// exchange sends a heartbeat and takes the peer's heartbeat and summaries.
func (s *Server) exchange(address string, self *wirepb.PeerHeartbeat, round int) {
	ctx, cancel := context.WithTimeout(s.ctx, heartbeatTimeout)
	defer cancel()
	st, err := s.clients.Get(address).Open(ctx, &envelope{Body: &wirepb.Envelope_PeerHeartbeat{PeerHeartbeat: self}})
	if err != nil {
		s.log.Debug("heartbeat failed", zap.String("peer", address), observe.Error(err))
		return
	}
	defer st.Close()
	for range 2 {
		env, err := st.Recv()
		if err != nil {
			s.log.Debug("heartbeat not answered", zap.String("peer", address), observe.Error(err))
			return
		}
		if st.Peer().ID == s.settings.ID {
			return
		}
		s.takeHeartbeat(env)
	}
	if round%openListEvery == 0 {
		s.sendOpenList(st.Peer().ID, address)
	}
}

func (s *Server) takeHeartbeat(env *envelope) {
	if hb := env.GetPeerHeartbeat(); hb != nil {
		s.sync.NotePeer(hb.GetSelf().GetAddress(), hb.GetConfigIndex(), hb.GetConfigDigest())
		s.loop.post(func(c *control) { c.heard(hb) })
	}
	if sums := env.GetPoolSummaries(); sums != nil {
		s.loop.post(func(c *control) { c.router.Update(c.now(), sums) })
	}
}

// sendOpenList lets a dispatcher find dispatches whose end it has missed.
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

func (s *Server) selfPeer() peers.Peer {
	return peers.Peer{
		ID: s.settings.ID, Address: s.wire.Address(), HTTPAddress: s.announceAddress,
		FailureDomain: s.settings.FailureDomain, Incarnation: s.incarnation,
	}
}

// heartbeats returns what this process tells the peers at the addresses.
func (c *control) heartbeats(addresses []string) map[string]*wirepb.PeerHeartbeat {
	if v := c.server.sync.Current(); v != nil {
		c.peers.SetConfig(v.Index, v.Digest)
	}
	return c.peers.OutgoingHeartbeats(addresses)
}

// ownSummaries puts the pools dispatched here into the table of summaries.
func (c *control) ownSummaries() []*wirepb.PoolSummary {
	own := c.core.Summaries(c.now())
	c.router.Update(c.now(), &wirepb.PoolSummaries{
		Sender: c.server.settings.ID, Incarnation: c.server.incarnation, Pools: own,
	})
	return own
}

func (c *control) heard(hb *wirepb.PeerHeartbeat) {
	c.peersLost(c.peers.HandleHeartbeat(c.now(), hb))
}

// serveCall answers one call of another process.
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
		return s.serveFind(ctx, st, body.FindDispatch)
	case *wirepb.Envelope_ConfigPull:
		return s.sync.ServePull(st, body.ConfigPull)
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

func (s *Server) serveFind(ctx context.Context, st *wire.Stream, m *wirepb.FindDispatch) error {
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

func (s *Server) serveHeartbeat(ctx context.Context, st *wire.Stream, hb *wirepb.PeerHeartbeat) error {
	s.sync.NotePeer(hb.GetSelf().GetAddress(), hb.GetConfigIndex(), hb.GetConfigDigest())
	var self *wirepb.PeerHeartbeat
	var sums []*wirepb.PoolSummary
	err := s.loop.do(ctx, func(c *control) {
		c.heard(hb)
		address := hb.GetSelf().GetAddress()
		self = c.heartbeats([]string{address})[address]
		sums = c.ownSummaries()
	})
	if err != nil {
		return errors.Trace(err)
	}
	if err := st.Send(&envelope{Body: &wirepb.Envelope_PeerHeartbeat{PeerHeartbeat: self}}); err != nil {
		return nil
	}
	_ = st.Send(&envelope{Body: &wirepb.Envelope_PoolSummaries{PoolSummaries: &wirepb.PoolSummaries{
		Sender: s.settings.ID, Incarnation: s.incarnation, Pools: sums,
	}}})
	return nil
}

// broadcastCrash tells all entry processes that a backend server crashed while
// it ran r, and waits until those that can be reached know. A request that was
// already suspected at its start was the only suspect there, and is blamed
// alone.
func (s *Server) broadcastCrash(r *request, m *wirepb.GrantMember, sole bool) {
	s.broadcast(&wirepb.Suspect{Fingerprint: r.fingerprint[:], Backend: m.GetBackend(), Boot: m.GetBoot(), Sole: sole})
}

func (s *Server) broadcast(m *wirepb.Suspect) {
	ctx, cancel := context.WithTimeout(s.ctx, broadcastTimeout)
	defer cancel()
	var alive []peers.Peer
	if s.loop.do(ctx, func(c *control) { c.core.Suspect(c.now(), m); alive = c.others() }) != nil {
		return
	}
	done := make(chan struct{}, len(alive))
	for _, p := range alive {
		go func() {
			_, _ = s.clients.Get(p.Address).Call(ctx, &envelope{Body: &wirepb.Envelope_Suspect{Suspect: m}})
			done <- struct{}{}
		}()
	}
	for range alive {
		<-done
	}
}

// others returns the live entry processes without this one.
func (c *control) others() []peers.Peer {
	return slices.DeleteFunc(c.peers.Live(), func(p peers.Peer) bool { return p.ID == c.server.settings.ID })
}

// noCapacity is the refusal when no pool can take a request.
func noCapacity(reason string) *refusal.Error {
	return refusal.New(refusal.NoCapacity, reason).After(time.Second)
}
