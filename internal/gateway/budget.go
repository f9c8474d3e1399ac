package gateway

import (
	"sync"
	"time"
)

// budget limits the requests that are sent to a second backend server. The
// limit applies to all gateways together, so each one uses the ratio of its own
// requests and an equal part of the slack.
type budget struct {
	ratio, slack float64
	window       time.Duration

	mu       sync.Mutex
	services map[string]*serviceBudget
}

// serviceBudget holds the times of the requests and retries of one service
// within the window.
type serviceBudget struct{ requests, retries []time.Duration }

// budgetShare is the share of the limit that is used. The rest covers requests
// that callers retry themselves, and gateways that this one hasn't discovered.
const budgetShare = 0.7

func newBudget(s Settings) *budget {
	return &budget{
		ratio: s.RetryRatio, slack: s.RetrySlack, window: seconds(s.RetryWindowSeconds), services: map[string]*serviceBudget{},
	}
}

// entry returns the budget of a service, without what is older than the window.
// The caller holds the mutex.
func (b *budget) entry(service string, now time.Duration) *serviceBudget {
	r := b.services[service]
	if r == nil {
		r = &serviceBudget{}
		b.services[service] = r
	}
	r.requests, r.retries = dropBefore(r.requests, now-b.window), dropBefore(r.retries, now-b.window)
	return r
}

// dropBefore returns the part of an ascending list that begins at since.
func dropBefore(list []time.Duration, since time.Duration) []time.Duration {
	i := 0
	for i < len(list) && list[i] < since {
		i++
	}
	return list[i:]
}

// request counts a request, at its arrival.
func (b *budget) request(service string, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.entry(service, now)
	r.requests = append(r.requests, now)
}

// allows reports whether a retry would be within the limit.
func (b *budget) allows(service string, gateways int, now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.isWithinLimit(b.entry(service, now), gateways)
}

// isWithinLimit reports whether one more retry is within this gateway's part of
// the limit, given the number of gateways.
func (b *budget) isWithinLimit(r *serviceBudget, gateways int) bool {
	limit := budgetShare * (b.ratio*float64(len(r.requests)) + b.slack/float64(max(1, gateways)))
	return float64(len(r.retries)+1) <= limit
}

// take reports whether a retry is within the limit, and counts it if so.
func (b *budget) take(service string, gateways int, now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.entry(service, now)
	if !b.isWithinLimit(r, gateways) {
		return false
	}
	r.retries = append(r.retries, now)
	return true
}
