package control

import (
	"maps"
	"slices"
	"time"

	"bilberryhub/internal/bootclock"
	"bilberryhub/internal/wirepb"
)

const (
	// departedRetention is how long a gateway without a subscription is looked for. Operators may
	// need that long to notice one that serves nothing.
	departedRetention = 24 * time.Hour
	// maxDeparted limits the gateways that are looked for.
	maxDeparted = 1024
)

// departedGateway is a gateway without a subscription.
type departedGateway struct {
	id string
	// since is when its last subscription has ended.
	since time.Duration
}

// recordDeparted records that a gateway has no subscription any more. The caller holds mu.
func (s *Service) recordDeparted(info *wirepb.GatewayInfo, now time.Duration) {
	// Only one that serves calls at its address can be told anything.
	if !info.GetConnects() || info.GetAddress() == "" {
		return
	}
	if len(s.departed) >= maxDeparted {
		earliest := slices.MinFunc(slices.Collect(maps.Keys(s.departed)), func(a, b string) int {
			return int(s.departed[a].since - s.departed[b].since)
		})
		delete(s.departed, earliest)
	}
	s.departed[info.GetAddress()] = departedGateway{id: info.GetId(), since: now}
}

// MissingGateways returns the addresses of the gateways that were subscribed here and have lost
// their way to the state processes, or have ended. One that has a subscription from another
// address is not missing.
func (s *Service) MissingGateways() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := bootclock.Now()
	maps.DeleteFunc(s.departed, func(_ string, g departedGateway) bool {
		return now-g.since > departedRetention || s.feed.IsSubscribed(g.id)
	})
	return slices.Collect(maps.Keys(s.departed))
}
