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
	// count a state process as silent after three.
	heartbeatInterval = 500 * time.Millisecond
	// forgetAfter is how long an ended backend server is remembered, so that late
	// announcements of it are recognised. Announcements are late by seconds.
	forgetAfter = 60 * time.Second
)

// subscriber is one gateway. Its maps are guarded by the service's mutex.
type subscriber struct {
	info *wirepb.GatewayInfo
	// changed rows are sent at once, refreshed ones with the next heartbeat.
	changed   map[string]struct{}
	refreshed map[string]struct{}
	// gateways is set when the list of gateways has changed.
	gateways bool
	probe    uint64
	signal   chan struct{}
}

// wake makes the sending goroutine look for changes.
func (sub *subscriber) wake() {
	select {
	case sub.signal <- struct{}{}:
	default:
	}
}

// serve sends updates to one gateway until the stream ends.
func (s *Service) serve(ctx context.Context, st *wire.Stream, first *wirepb.FleetSubscribe) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sub := &subscriber{
		info: first.GetSelf(), probe: first.GetProbe(), signal: make(chan struct{}, 1),
		changed: map[string]struct{}{}, refreshed: map[string]struct{}{}, gateways: true,
	}
	s.join(sub)
	defer s.leave(sub)
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
		beat := false
		select {
		case <-ctx.Done():
			return nil
		case <-sub.signal:
		case <-ticker.C:
			beat = true
		}
		if err := st.Send(&wirepb.Envelope{Body: &wirepb.Envelope_FleetUpdate{FleetUpdate: s.update(sub, beat)}}); err != nil {
			return nil
		}
	}
}

func (s *Service) join(sub *subscriber) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscribers[sub] = struct{}{}
	for _, b := range s.table.All() {
		sub.changed[b.ID] = struct{}{}
	}
	sub.wake()
	s.gatewaysChanged()
	s.log.Info("gateway subscribed", zap.String("gateway", sub.info.GetId()), zap.Int("gateways", len(s.subscribers)))
}

func (s *Service) leave(sub *subscriber) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.subscribers, sub)
	s.gatewaysChanged()
	s.log.Info("gateway left", zap.String("gateway", sub.info.GetId()), zap.Int("gateways", len(s.subscribers)))
}

func (s *Service) gatewaysChanged() {
	for other := range s.subscribers {
		other.gateways = true
		other.wake()
	}
}

// update collects what a gateway has not been sent yet.
func (s *Service) update(sub *subscriber, beat bool) *wirepb.FleetUpdate {
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
	if beat {
		for id := range sub.refreshed {
			if b := s.table.Get(id); b != nil {
				u.BackendServers = append(u.BackendServers, encode(b, now))
			}
		}
		clear(sub.refreshed)
		s.table.Forget(now - forgetAfter)
	}
	if beat || sub.gateways {
		if s.state != nil {
			u.StateAddresses = s.state.Addresses()
		}
	}
	if sub.gateways {
		sub.gateways = false
		for other := range s.subscribers {
			u.Gateways = append(u.Gateways, other.info)
		}
	}
	return u
}

func encode(b *fleet.BackendServer, now time.Duration) *wirepb.BackendServerInfo {
	return &wirepb.BackendServerInfo{
		Id: b.ID, Service: b.Service, Address: b.Address, FailureDomain: b.FailureDomain, Build: b.Build,
		Slots: uint32(b.Slots), Draining: b.Draining, Gone: b.Gone,
		ColdRemainingMs: uint32(max(0, b.ColdUntil-now).Milliseconds()), BornMs: b.BornMs, Sequence: b.Sequence,
		AgeMs: uint32(max(0, now-b.SeenAt).Milliseconds()),
	}
}

// Decode returns the backend server of an update that was received at now.
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
