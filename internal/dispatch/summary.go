package dispatch

import (
	"maps"
	"math"
	"slices"
	"time"

	"bilberryhub/internal/suspicion"
	"bilberryhub/internal/wirepb"
)

// Summaries returns the summaries by which other entry processes choose a pool. Pools
// in which this process owns no backend server are left out.
func (c *Core) Summaries(now time.Duration) []*wirepb.PoolSummary {
	c.advance(now)
	var out []*wirepb.PoolSummary
	for _, p := range c.sortedPools {
		if s := c.summarise(p); s != nil {
			out = append(out, s)
		}
	}
	return out
}

// summarise returns the summary of a pool, or nil if this process owns none of its
// backend servers.
func (c *Core) summarise(p *pool) *wirepb.PoolSummary {
	s := &wirepb.PoolSummary{
		FailureDomain: p.key.domain, Service: p.key.service, Dispatcher: c.cfg.Entry,
		BoundaryTokens: p.classes.boundary,
	}
	owned := false
	models := map[string]bool{}
	for _, b := range p.sortedBackends {
		owned = owned || c.now < b.leaseEnd
		if ok, _ := c.usable(b); !ok {
			continue
		}
		if b.budget.Cold() {
			s.BackendsCold++
		} else {
			s.BackendsWarm++
		}
		if !b.isPlain() {
			s.FreeMemoryTokens += c.freeMemory(b)
		}
		for _, m := range b.last.Models {
			models[m] = true
		}
	}
	if !owned {
		return nil
	}
	c.summarySeq++
	s.Sequence = c.summarySeq
	s.Models = slices.Sorted(maps.Keys(models))
	_, s.LargestPromptTokens = c.largestMemory(p, "")
	serve, _ := c.mayServe(p.key.domain)
	out := false
	if c.view != nil {
		s.ConfigIndex = c.view.Index()
		out, _ = c.view.Excluded(p.key.domain, "")
	}
	s.InService = serve && !out && !c.releasing && s.BackendsCold+s.BackendsWarm > 0
	s.ShortWaitMs = c.queueWait(p, false)
	s.LongWaitMs = c.queueWait(p, true)
	return s
}

// queueWait estimates the waiting time of a new request of a length class until its
// grant, in ms. If no backend server is usable, it returns the time until the first pause
// ends if all leave or want one, and otherwise the highest value.
func (c *Core) queueWait(p *pool, long bool) uint32 {
	probe := &dispatch{pool: p, long: long, req: &wirepb.Reserve{}, arrivedAt: c.now}
	f, ok := c.forecast(p, probe)
	if !ok {
		if isOut, until := c.allOut(p); isOut && until > 0 {
			return uint32((until - c.now).Milliseconds())
		}
		return math.MaxUint32
	}
	return uint32(min(f.wait.Milliseconds(), math.MaxUint32))
}

// Dump is a snapshot of the tables of a Core for operators.
type Dump struct {
	Entry       string            `json:"entry"`
	Incarnation uint64            `json:"incarnation"`
	Releasing   bool              `json:"releasing"`
	ConfigAgeMS int64             `json:"config_age_ms"`
	Pools       []PoolDump        `json:"pools"`
	Suspects    []suspicion.Entry `json:"suspects"`
	// CommonSuspects are the beginnings of prompts and the requests that explain crashes.
	CommonSuspects []suspicion.Suspect `json:"common_suspects"`
}

// PoolDump is the state of one pool.
type PoolDump struct {
	FailureDomain string         `json:"failure_domain"`
	Service       string         `json:"service"`
	Serves        bool           `json:"serves"`
	Why           string         `json:"why,omitempty"`
	Queued        int            `json:"queued"`
	Boundary      uint64         `json:"boundary_tokens"`
	LongEngines   int            `json:"long_engines"`
	Backends      []BackendDump  `json:"backends"`
	Dispatches    []DispatchDump `json:"dispatches"`
}

// BackendDump is the state of one backend server.
type BackendDump struct {
	ID          string  `json:"id"`
	Boot        uint64  `json:"boot"`
	Usable      bool    `json:"usable"`
	Why         string  `json:"why,omitempty"`
	LeaseMS     int64   `json:"lease_left_ms"`
	WaitMS      int64   `json:"waiting_period_left_ms,omitempty"`
	ReportAgeMS int64   `json:"report_age_ms"`
	Budget      int     `json:"budget"`
	Cold        bool    `json:"cold"`
	Resets      int     `json:"budget_resets"`
	LastReset   string  `json:"last_reset"`
	Open        int     `json:"open"`
	Foreign     int     `json:"foreign_open"`
	Reserved    uint64  `json:"reserved_tokens"`
	Memory      uint64  `json:"memory_tokens"`
	WorkAhead   float64 `json:"prefill_tokens_ahead"`
	Speed       float64 `json:"prefill_tokens_per_second"`
	TakesLong   bool    `json:"takes_long"`
	CacheGaps   int     `json:"cache_gaps"`
}

// DispatchDump is the state of one dispatch.
type DispatchDump struct {
	ID       string   `json:"id"`
	State    string   `json:"state"`
	Entry    string   `json:"entry"`
	Account  string   `json:"account"`
	AgeMS    int64    `json:"age_ms"`
	LeftMS   int64    `json:"deadline_left_ms"`
	Long     bool     `json:"long"`
	Suspect  bool     `json:"suspect,omitempty"`
	Lost     bool     `json:"entry_lost,omitempty"`
	Backends []string `json:"backends,omitempty"`
}

// Dump returns the tables as a value of type Dump, with ages and the reasons why
// backend servers are not used.
func (c *Core) Dump(now time.Duration) any {
	c.advance(now)
	out := Dump{
		Entry: c.cfg.Entry, Incarnation: c.cfg.Incarnation, Releasing: c.releasing,
		ConfigAgeMS: (c.configAge + c.now - c.configAgeAt).Milliseconds(), Suspects: c.suspects.Dump(c.now), CommonSuspects: c.evidence.Suspects(),
	}
	for _, p := range c.sortedPools {
		d := PoolDump{
			FailureDomain: p.key.domain, Service: p.key.service, Queued: p.queue.size,
			Boundary: p.classes.boundary, LongEngines: p.classes.longCount,
		}
		d.Serves, d.Why = c.mayServe(p.key.domain)
		for _, b := range p.sortedBackends {
			d.Backends = append(d.Backends, c.dumpBackend(b))
		}
		for _, x := range c.dispatchesByArrival() {
			if x.pool == p {
				d.Dispatches = append(d.Dispatches, c.dumpDispatch(x))
			}
		}
		out.Pools = append(out.Pools, d)
	}
	return out
}

// dumpBackend returns the state of a backend server.
func (c *Core) dumpBackend(b *backend) BackendDump {
	ok, why := c.usable(b)
	resets, last := b.budget.Resets()
	return BackendDump{
		ID: b.id, Boot: b.boot, Usable: ok, Why: why,
		LeaseMS: (b.leaseEnd - c.now).Milliseconds(), WaitMS: max(0, b.waitUntil-c.now).Milliseconds(),
		ReportAgeMS: c.reportAge(b).Milliseconds(), Budget: b.budget.Limit(), Cold: b.budget.Cold(),
		Resets: resets, LastReset: last, Open: len(b.open), Foreign: c.foreignOpen(b),
		Reserved: b.reserved, Memory: b.last.MemoryTokens, WorkAhead: c.workAhead(b), Speed: c.speedOf(b),
		TakesLong: b.pool.classes.engines[b], CacheGaps: b.cache.gaps,
	}
}

// dumpDispatch returns the state of a dispatch.
func (c *Core) dumpDispatch(d *dispatch) DispatchDump {
	out := DispatchDump{
		ID: d.id, State: d.state.String(), Entry: d.req.Entry, Account: d.req.Account,
		AgeMS: (c.now - d.arrivedAt).Milliseconds(), LeftMS: (d.deadline - c.now).Milliseconds(),
		Long: d.long, Suspect: d.suspect, Lost: d.entryLost,
	}
	for _, m := range d.members {
		out.Backends = append(out.Backends, m.backend.id)
	}
	return out
}
