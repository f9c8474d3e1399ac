package standin

import (
	"sync"
	"sync/atomic"
	"time"
)

// recentCount is the number of requests that recentRequests holds.
const recentCount = 16

// RecentRequest is one request that an instance accepted.
type RecentRequest struct {
	ID string    `json:"id"`
	At time.Time `json:"at"`
}

// recentRequests holds the last requests, oldest first, so that a request that must not
// have come can be traced to its sender.
type recentRequests struct {
	mu       sync.Mutex
	requests []RecentRequest
}

func (r *recentRequests) add(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.requests) == recentCount {
		r.requests = append(r.requests[:0], r.requests[1:]...)
	}
	r.requests = append(r.requests, RecentRequest{ID: id, At: time.Now()})
}

func (r *recentRequests) list() []RecentRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]RecentRequest{}, r.requests...)
}

// peak is the maximum of the values given to update.
type peak struct{ atomic.Uint64 }

// update raises the peak to v if v is larger.
func (p *peak) update(v uint64) {
	for old := p.Load(); v > old; old = p.Load() {
		if p.CompareAndSwap(old, v) {
			return
		}
	}
}

// Stats counts the events of one instance over all its boots.
type Stats struct {
	Requests          atomic.Uint64
	recent            recentRequests
	Completed         atomic.Uint64
	Cancelled         atomic.Uint64
	CancelsIgnored    atomic.Uint64
	TooLarge          atomic.Uint64
	Overloads         atomic.Uint64
	Crashes           atomic.Uint64
	MaxConcurrent     peak
	MaxConcurrentCold peak
	// AfterLeaving counts requests accepted while the instance announced that
	// it is leaving.
	AfterLeaving atomic.Uint64
	// SaidLeaving counts responses that say that the instance leaves, Pauses those that
	// want a pause, and InPause the requests that arrive within one, from pauseGrace
	// after the response on.
	SaidLeaving    atomic.Uint64
	Pauses         atomic.Uint64
	InPause        atomic.Uint64
	ExportsExpired atomic.Uint64
	Announced      atomic.Uint64
	AnnounceFailed atomic.Uint64
	StaleOrders    atomic.Uint64
	// OldGrants counts the requests that were refused because their grant was too old.
	OldGrants atomic.Uint64
	// WastedInEarlierBoots counts the wasted tokens of earlier boots.
	WastedInEarlierBoots atomic.Uint64
}

// StatsDocument is the response of GET /admin/stats for one instance.
type StatsDocument struct {
	ID       string `json:"id"`
	Boot     uint64 `json:"boot"`
	Up       bool   `json:"up"`
	Cold     bool   `json:"cold"`
	Requests uint64 `json:"requests"`
	// Recent lists the last of the requests, oldest first.
	Recent            []RecentRequest `json:"recent"`
	Completed         uint64          `json:"completed"`
	Cancelled         uint64          `json:"cancelled"`
	CancelsIgnored    uint64          `json:"cancels_ignored"`
	TooLarge          uint64          `json:"too_large"`
	Overloads         uint64          `json:"overloads"`
	Crashes           uint64          `json:"crashes"`
	MaxConcurrent     uint64          `json:"max_concurrent"`
	MaxConcurrentCold uint64          `json:"max_concurrent_cold"`
	AfterLeaving      uint64          `json:"after_leaving"`
	SaidLeaving       uint64          `json:"said_leaving"`
	Pauses            uint64          `json:"pauses"`
	InPause           uint64          `json:"in_pause"`
	ExportsExpired    uint64          `json:"exports_expired"`
	Announced         uint64          `json:"announced"`
	AnnounceFailed    uint64          `json:"announce_failed"`
	StaleOrders       uint64          `json:"stale_orders_applied"`
	OldGrants         uint64          `json:"old_grants_refused"`
	WastedTokens      uint64          `json:"wasted_tokens"`
	// LeakedTokens is the memory held by running requests without a reader and by
	// exports that no engine has imported.
	LeakedTokens   uint64     `json:"leaked_tokens"`
	ReservedTokens uint64     `json:"reserved_tokens"`
	Running        int        `json:"running"`
	Waiting        int        `json:"waiting"`
	Exports        int        `json:"exports"`
	Model          modelStats `json:"model"`
}

// document returns the counters and the load of the engine; e is nil while the
// instance is down or if it is a plain service.
func (s *Stats) document(id string, boot uint64, e *engine) *StatsDocument {
	d := &StatsDocument{
		ID: id, Boot: boot,
		Requests: s.Requests.Load(), Recent: s.recent.list(), Completed: s.Completed.Load(), Cancelled: s.Cancelled.Load(),
		CancelsIgnored: s.CancelsIgnored.Load(), TooLarge: s.TooLarge.Load(), Overloads: s.Overloads.Load(),
		Crashes: s.Crashes.Load(), MaxConcurrent: s.MaxConcurrent.Load(),
		MaxConcurrentCold: s.MaxConcurrentCold.Load(), AfterLeaving: s.AfterLeaving.Load(),
		SaidLeaving: s.SaidLeaving.Load(), Pauses: s.Pauses.Load(), InPause: s.InPause.Load(),
		ExportsExpired: s.ExportsExpired.Load(), Announced: s.Announced.Load(),
		AnnounceFailed: s.AnnounceFailed.Load(), StaleOrders: s.StaleOrders.Load(),
		OldGrants: s.OldGrants.Load(), WastedTokens: s.WastedInEarlierBoots.Load(),
	}
	if e == nil {
		return d
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	d.Cold = e.model.cold
	d.WastedTokens += e.model.stats.WastedTokens
	d.ReservedTokens = uint64(e.model.mem.reserved())
	d.Running, d.Waiting, d.Exports = len(e.model.running), len(e.model.waiting), len(e.exports)
	d.Model = e.model.stats
	for _, r := range e.open {
		if r.job.running && r.stream.isIdle() {
			d.LeakedTokens += uint64(r.job.requiredTokens())
		}
	}
	for _, x := range e.exports {
		if !x.imported {
			d.LeakedTokens += uint64(x.request.job.requiredTokens())
		}
	}
	return d
}
