package control

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"bilberryhub/internal/bootclock"
	"bilberryhub/internal/observe"
	"bilberryhub/internal/wire"
	"bilberryhub/internal/wirepb"
)

// heartbeatInterval is the longest time between two updates to a gateway. Gateways
// consider a state process silent after three missed heartbeats.
const heartbeatInterval = time.Second

// maxEncodeFailures is the number of times in a row that no update can be encoded after which
// a subscription ends. An entry that can't be encoded is removed after the first.
const maxEncodeFailures = 3

var (
	unencodableEntries  = metrics.GetOrCreateCounter(`bilberry_control_unencodable_entries_total`)
	updatesSent         = metrics.GetOrCreateCounter(`bilberry_control_fleet_updates_sent_total`)
	completeUpdatesSent = metrics.GetOrCreateCounter(`bilberry_control_fleet_complete_updates_sent_total`)
)

// subscriber is one subscription. Its fields are guarded by the mutex of the service,
// except for info, which does not change.
type subscriber struct {
	// info is nil if the subscriber isn't a gateway.
	info *wirepb.GatewayInfo
	// position is the position of the last update that was sent.
	position uint64
}

// serve sends the updates of the feed to one subscriber until the stream or ctx ends.
// Changes of backend servers are sent as soon as they have been collected, and
// everything else at intervals that start at the time of the subscription, so that the
// sends to many gateways are spread.
func (s *Service) serve(ctx context.Context, st *wire.Stream, first *wirepb.FleetSubscribe) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sub := &subscriber{info: first.GetSelf()}
	s.addSubscriber(sub)
	var sendErr error
	defer func() { s.removeSubscriber(sub, sendErr) }()
	go func() {
		defer cancel()
		for {
			if _, err := st.Recv(); err != nil {
				return
			}
			// Subscribers send nothing more, but older gateways, which ignore
			// refreshes, send probes.
			s.resetPosition(sub)
		}
	}()
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	encodeFailures := 0
	for {
		updates, last, changed := s.updatesFor(sub)
		sendErr = sendAll(st, updates)
		switch {
		case sendErr == nil:
			encodeFailures = 0
			s.recordSent(sub, last)
		case wire.IsEncodeError(sendErr) && encodeFailures < maxEncodeFailures:
			encodeFailures++
			s.removeUnencodable(sendErr)
			s.resetPosition(sub)
		default:
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-ticker.C:
		}
	}
}

// sendAll sends updates in their order, up to the first that fails.
func sendAll(st *wire.Stream, updates []*wire.Prepared) error {
	for _, u := range updates {
		if err := st.SendPrepared(u); err != nil {
			return err
		}
		updatesSent.Inc()
	}
	return nil
}

// removeUnencodable removes the entries that made an update fail with err, so that the
// subscribers go on to get all others, and makes these look for updates at once.
func (s *Service) removeUnencodable(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	removed := s.feed.RemoveUnencodable(bootclock.Now())
	for _, b := range removed {
		unencodableEntries.Inc()
		s.log.Error("backend server removed: its entry can't be encoded", zap.String("backend_server", b.ID), zap.String("service", b.Service),
			zap.String("address", b.Address), observe.Error(err))
	}
	if len(removed) > 0 {
		s.notifySubscribers()
	}
}

func (s *Service) addSubscriber(sub *subscriber) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sub.info == nil {
		return
	}
	s.subscribers[sub] = struct{}{}
	delete(s.departed, sub.info.GetAddress())
	s.feed.Subscribe(sub.info)
	s.log.Info("gateway subscribed", zap.String("gateway", sub.info.GetId()), zap.Int("gateways", s.feed.Subscribed()))
}

// removeSubscriber removes a subscriber whose subscription has ended, with the error of the
// last send if that is the reason.
func (s *Service) removeSubscriber(sub *subscriber, sendErr error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sub.info == nil {
		return
	}
	delete(s.subscribers, sub)
	s.feed.Unsubscribe(sub.info.GetId())
	if !s.feed.IsSubscribed(sub.info.GetId()) {
		s.recordDeparted(sub.info, bootclock.Now())
	}
	s.log.Info("gateway unsubscribed", zap.String("gateway", sub.info.GetId()), zap.Int("gateways", s.feed.Subscribed()),
		observe.Error(sendErr))
}

// recordSent records that a subscriber was sent all updates up to a position.
func (s *Service) recordSent(sub *subscriber, position uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sub.position = position
}

// resetPosition makes the next update of a subscriber a complete one.
func (s *Service) resetPosition(sub *subscriber) { s.recordSent(sub, 0) }

// waitSent waits until the changes made so far were sent to all gateways that are
// subscribed, at most deliveryTimeout. It is called before the end of a backend server
// is acknowledged: this process may fail right after.
func (s *Service) waitSent() {
	deadline := bootclock.Now() + deliveryTimeout
	s.mu.Lock()
	target, hasChanges := s.feed.Position()
	s.mu.Unlock()
	if hasChanges {
		target++
	}
	for bootclock.Now() < deadline && !s.isSent(target) {
		time.Sleep(deliveryPollInterval)
	}
}

// isSent reports whether all gateways were sent the update at a position.
func (s *Service) isSent(position uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for sub := range s.subscribers {
		if sub.position < position {
			return false
		}
	}
	return true
}

const (
	// deliveryTimeout bounds the wait for slow gateways before an acknowledgement:
	// backend servers wait a second for it.
	deliveryTimeout      = 250 * time.Millisecond
	deliveryPollInterval = 10 * time.Millisecond
)

// updatesFor returns the updates that a subscriber needs, the position that it has
// then, and a channel that is closed when backend servers have changed.
func (s *Service) updatesFor(sub *subscriber) (updates []*wire.Prepared, last uint64, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := bootclock.Now()
	if s.state != nil {
		s.feed.SetStates(s.state.Addresses(), s.state.Cluster())
	}
	s.feed.Build(now)
	updates, last = s.feed.After(sub.position, now)
	if len(updates) > 0 && updates[0].Envelope().GetFleetUpdate().GetComplete() {
		completeUpdatesSent.Inc()
	}
	return updates, last, s.changed
}

// scheduleUpdate makes the subscribers look for updates when the changes of backend
// servers have been collected. The caller holds mu.
func (s *Service) scheduleUpdate() {
	interval := s.feed.Interval()
	due := bootclock.Now() + interval
	if s.updateAt > 0 && s.updateAt <= due {
		return
	}
	s.updateAt = due
	time.AfterFunc(interval, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.updateAt = 0
		s.notifySubscribers()
	})
}

// notifySubscribers makes the subscribers look for updates now. The caller holds mu.
func (s *Service) notifySubscribers() {
	close(s.changed)
	s.changed = make(chan struct{})
}
