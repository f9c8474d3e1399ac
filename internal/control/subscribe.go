package control

import (
	"context"
	"time"

	"go.uber.org/zap"

	"bilberryhub/internal/bootclock"
	"bilberryhub/internal/fleet"
	"bilberryhub/internal/wire"
	"bilberryhub/internal/wirepb"
)

const (
	// heartbeatInterval is the time between two updates without changes. Gateways
	// consider a state process silent after three missed heartbeats.
	heartbeatInterval = 500 * time.Millisecond
	// announcementRetention is how long a backend server is kept after its last
	// announcement. One that has left is kept as well, so that its delayed
	// announcements are recognized; the delays are of the order of seconds.
	announcementRetention = 60 * time.Second
)

// subscriber is a subscribed gateway. Its fields are guarded by the mutex of the
// service, except for info, which does not change, and signal.
type subscriber struct {
	info *wirepb.GatewayInfo
	// changed are the ids of backend servers to send at once, and refreshed those to
	// send with the next heartbeat.
	changed   map[string]struct{}
	refreshed map[string]struct{}
	// gatewaysChanged is set if the list of gateways must be sent.
	gatewaysChanged bool
	// probe is the last probe of the gateway, which updates echo.
	probe uint64
	// signal wakes the sending goroutine.
	signal chan struct{}
}

// wake makes the sending goroutine send an update.
func (sub *subscriber) wake() {
	select {
	case sub.signal <- struct{}{}:
	default:
	}
}

// serve sends updates to one gateway until the stream or ctx ends.
func (s *Service) serve(ctx context.Context, st *wire.Stream, first *wirepb.FleetSubscribe) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sub := &subscriber{
		info: first.GetSelf(), probe: first.GetProbe(), signal: make(chan struct{}, 1),
		changed: map[string]struct{}{}, refreshed: map[string]struct{}{}, gatewaysChanged: true,
	}
	s.addSubscriber(sub)
	defer s.removeSubscriber(sub)
	go func() {
		defer cancel()
		for {
			env, err := st.Recv()
			if err != nil {
				return
			}
			s.mu.Lock()
			sub.probe = env.GetFleetSubscribe().GetProbe()
			s.mu.Unlock()
		}
	}()
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		heartbeat := false
		select {
		case <-ctx.Done():
			return nil
		case <-sub.signal:
		case <-ticker.C:
			heartbeat = true
		}
		if err := st.Send(&wirepb.Envelope{Body: &wirepb.Envelope_FleetUpdate{FleetUpdate: s.update(sub, heartbeat)}}); err != nil {
			return nil
		}
	}
}

// addSubscriber registers a gateway and marks all backend servers to be sent to it.
func (s *Service) addSubscriber(sub *subscriber) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscribers[sub] = struct{}{}
	for _, b := range s.table.All() {
		sub.changed[b.ID] = struct{}{}
	}
	sub.wake()
	s.markGatewaysChanged()
	s.log.Info("gateway subscribed", zap.String("gateway", sub.info.GetId()), zap.Int("gateways", len(s.subscribers)))
}

func (s *Service) removeSubscriber(sub *subscriber) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.subscribers, sub)
	s.markGatewaysChanged()
	s.log.Info("gateway unsubscribed", zap.String("gateway", sub.info.GetId()), zap.Int("gateways", len(s.subscribers)))
}

// markGatewaysChanged makes all subscribers receive the list of gateways. The caller
// holds mu.
func (s *Service) markGatewaysChanged() {
	for other := range s.subscribers {
		other.gatewaysChanged = true
		other.wake()
	}
}

// update returns everything that has not been sent to a gateway yet. Refreshed
// backend servers are included in heartbeats only. A heartbeat also removes backend
// servers whose retention has ended.
func (s *Service) update(sub *subscriber, heartbeat bool) *wirepb.FleetUpdate {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := bootclock.Now()
	u := &wirepb.FleetUpdate{Probe: sub.probe, UptimeMs: uint64((now - s.started).Milliseconds())}
	for id := range sub.changed {
		if b := s.table.Get(id); b != nil {
			u.BackendServers = append(u.BackendServers, encode(b, now))
		}
		delete(sub.refreshed, id)
	}
	clear(sub.changed)
	if heartbeat {
		for id := range sub.refreshed {
			if b := s.table.Get(id); b != nil {
				u.BackendServers = append(u.BackendServers, encode(b, now))
			}
		}
		clear(sub.refreshed)
		s.table.Forget(now - announcementRetention)
	}
	if heartbeat || sub.gatewaysChanged {
		if s.state != nil {
			u.StateAddresses = s.state.Addresses()
		}
	}
	if sub.gatewaysChanged {
		sub.gatewaysChanged = false
		for other := range s.subscribers {
			u.Gateways = append(u.Gateways, other.info)
		}
	}
	return u
}

// encode returns the message for a backend server. Times are encoded relative to now,
// because the receiver has another clock.
func encode(b *fleet.BackendServer, now time.Duration) *wirepb.BackendServerInfo {
	return &wirepb.BackendServerInfo{
		Id: b.ID, Service: b.Service, Address: b.Address, FailureDomain: b.FailureDomain, Build: b.Build,
		Slots: uint32(b.Slots), Draining: b.Draining, Gone: b.Gone,
		ColdRemainingMs: uint32(max(0, b.ColdUntil-now).Milliseconds()), BornMs: b.BornMs, Sequence: b.Sequence,
		AgeMs: uint32(max(0, now-b.SeenAt).Milliseconds()),
	}
}

// Decode returns the backend server of an update that was received at now, a time of
// the boot clock.
func Decode(b *wirepb.BackendServerInfo, now time.Duration) fleet.BackendServer {
	ms := func(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }
	out := fleet.BackendServer{
		ID: b.GetId(), Service: b.GetService(), Address: b.GetAddress(), FailureDomain: b.GetFailureDomain(),
		Build: b.GetBuild(), Slots: int(b.GetSlots()), Draining: b.GetDraining(), Gone: b.GetGone(),
		BornMs: b.GetBornMs(), Sequence: b.GetSequence(), SeenAt: now - ms(b.GetAgeMs()),
	}
	if b.GetColdRemainingMs() > 0 {
		out.ColdUntil = now + ms(b.GetColdRemainingMs())
	}
	return out
}
