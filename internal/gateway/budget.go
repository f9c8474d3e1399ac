package gateway

import (
	"sync"
	"time"
)

// budget bounds the requests that are sent to a second backend server. The
// bound holds over all gateways, so each one uses its own requests times the
// ratio and an equal part of the slack.
type budget struct {
	ratio, slack float64
	window       time.Duration

	mu   sync.Mutex
	rows map[string]*budgetRow
}

// budgetRow holds the times of one service's requests and retries.
type budgetRow struct{ requests, retries []time.Duration }

// budgetShare is the share of the bound that is used; the rest covers requests
// whose retry the caller sends itself, and gateways that are not known here.
const budgetShare = 0.7

func newBudget(s Settings) *budget {
	return &budget{
		ratio: s.RetryRatio, slack: s.RetrySlack, window: seconds(s.RetryWindowSeconds), rows: map[string]*budgetRow{},
	}
}

func (b *budget) row(service string, now time.Duration) *budgetRow {
	r := b.rows[service]
	if r == nil {
		r = &budgetRow{}
		b.rows[service] = r
	}
	r.requests, r.retries = after(r.requests, now-b.window), after(r.retries, now-b.window)
	return r
}

func after(list []time.Duration, since time.Duration) []time.Duration {
	i := 0
	for i < len(list) && list[i] < since {
		i++
	}
	return list[i:]
}

// request counts a first arrival.
func (b *budget) request(service string, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.row(service, now)
	r.requests = append(r.requests, now)
}

// has reports whether a retry would be within the bound.
func (b *budget) has(service string, gateways int, now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.room(b.row(service, now), gateways)
}

func (b *budget) room(r *budgetRow, gateways int) bool {
	bound := budgetShare * (b.ratio*float64(len(r.requests)) + b.slack/float64(max(1, gateways)))
	return float64(len(r.retries)+1) <= bound
}

// take reports whether a retry is within the bound, and counts it.
func (b *budget) take(service string, gateways int, now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.row(service, now)
	if !b.room(r, gateways) {
		return false
	}
	r.retries = append(r.retries, now)
	return true
}
