package control

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"bilberryhub/internal/bootclock"
	"bilberryhub/internal/fleetclient"
	"bilberryhub/internal/fleetfeed"
	"bilberryhub/internal/wire"
	"bilberryhub/internal/wirepb"
)

// peerCheckInterval is the interval at which the list of state processes is checked.
const peerCheckInterval = time.Second

// followPeers subscribes to the feeds of the other control processes, until ctx ends.
// Announcements are soft state: without those of the others, a process that restarts,
// and a gateway that restarts as well, could use a backend server whose end was
// acknowledged elsewhere.
func (s *Service) followPeers(ctx context.Context, self string, options wire.Options) {
	clients := wire.NewPool(options)
	defer clients.Close()
	followed := map[string]context.CancelFunc{}
	defer func() {
		for _, cancel := range followed {
			cancel()
		}
	}()
	ticker := time.NewTicker(peerCheckInterval)
	defer ticker.Stop()
	for {
		var addresses []string
		if state := s.currentState(); state != nil {
			addresses = state.Addresses()
		}
		for _, a := range addresses {
			if followed[a] != nil || a == self {
				continue
			}
			peer, cancel := context.WithCancel(ctx)
			followed[a] = cancel
			f := &fleetclient.Follower{
				Address: a, Clients: clients, Log: s.log,
				Updated: func(u *wirepb.FleetUpdate) { s.mergePeer(a, u) },
			}
			go f.Run(peer)
		}
		for a, cancel := range followed {
			if !slices.Contains(addresses, a) {
				cancel()
				delete(followed, a)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// mergePeer merges the backend servers of another control process.
func (s *Service) mergePeer(from string, u *wirepb.FleetUpdate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := bootclock.Now()
	for _, info := range u.GetBackendServers() {
		for _, b := range s.feed.MergePeer(fleetfeed.Decode(info, now)) {
			s.log.Info("backend server changed", zap.String("backend_server", b.ID), zap.String("address", b.Address),
				zap.Bool("draining", b.Draining), zap.Bool("gone", b.Gone), zap.String("heard_from", from))
		}
	}
	for _, r := range u.GetRefreshed() {
		s.feed.RefreshPeer(r.GetId(), r.GetSequence(), now-time.Duration(r.GetAgeMs())*time.Millisecond)
	}
}
