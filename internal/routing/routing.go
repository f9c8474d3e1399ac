// Package routing chooses the pool of a request from the summaries of all
// dispatchers.
//
// The own failure domain is preferred, because the way is short and because it
// works under a network partition. Another pool is used only when its expected
// wait is clearly smaller. Summaries are up to a second old, so the work sent
// since then is added: otherwise all requests of that second go to the pool that
// looked best.
package routing

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"bilberryhub/internal/refusal"
	"bilberryhub/internal/wirepb"
)

const (
	// freshSummary is the age up to which a summary is believed. Dispatchers send
	// one each second.
	freshSummary = 3 * time.Second
	// dropSummary is the age after which a pool counts as unreachable.
	dropSummary = 10 * time.Second
	// forgetSummary is the age after which a summary is dropped from the table.
	forgetSummary = 10 * time.Minute
	// margin and marginShare are how much better, absolutely and relative to the
	// own wait, another pool must be. Waits fluctuate by about this much.
	margin      = 50 * time.Millisecond
	marginShare = 0.2
	// summaryDelay is how long before its receipt a summary may have been made.
	summaryDelay = 50 * time.Millisecond
	// defaultSpeed is the prefill speed of one backend server that is assumed for
	// work sent since the last summary, in tokens/s.
	defaultSpeed = 8000
)

// Config holds the settings of a Table.
type Config struct {
	Entry         string
	FailureDomain string
	// Distance is the added round trip to another failure domain, by name.
	// DefaultDistance is used for failure domains that are not listed.
	Distance        map[string]time.Duration
	DefaultDistance time.Duration
}

// Request is what matters of a request for the choice of a pool.
type Request struct {
	Service string
	Model   string // empty for plain services
	// PromptTokens decides the length class, Tokens is the memory needed.
	PromptTokens uint64
	Tokens       uint64
}

// Candidate is a pool that may serve a request.
type Candidate struct {
	FailureDomain string
	Dispatcher    string
	// Wait is the expected wait with distance, age and work sent since.
	Wait time.Duration
}

type poolKey struct{ domain, service string }

type summary struct {
	msg         *wirepb.PoolSummary
	incarnation uint64
	at          time.Duration
}

type sent struct {
	at     time.Duration
	tokens uint64
}

// pool holds the summaries of one pool by dispatcher. During a change of
// dispatcher there are two.
type pool struct {
	summaries map[string]*summary
	sent      []sent
}

// Table holds the latest summaries.
type Table struct {
	cfg   Config
	now   time.Duration
	pools map[poolKey]*pool
}

// New returns an empty table.
func New(cfg Config) *Table { return &Table{cfg: cfg, pools: map[poolKey]*pool{}} }

// Update takes the summaries of one dispatcher. One that was overtaken by a newer
// one, or that comes from an older incarnation, is ignored.
func (t *Table) Update(now time.Duration, m *wirepb.PoolSummaries) {
	t.now = max(t.now, now)
	for _, s := range m.Pools {
		p := t.pool(s.FailureDomain, s.Service)
		old := p.summaries[m.Sender]
		if old != nil && (m.Incarnation < old.incarnation ||
			(m.Incarnation == old.incarnation && s.Sequence <= old.msg.Sequence)) {
			continue
		}
		for sender, x := range p.summaries {
			// Kept for long, so that a delayed summary of an older incarnation loses.
			if t.now-x.at >= forgetSummary {
				delete(p.summaries, sender)
			}
		}
		p.summaries[m.Sender] = &summary{msg: s, incarnation: m.Incarnation, at: t.now}
		p.sent = slices.DeleteFunc(p.sent, func(x sent) bool { return x.at < t.now-summaryDelay })
	}
}

// Lost drops what a dispatcher said that is gone.
func (t *Table) Lost(sender string, incarnation uint64) {
	for _, p := range t.pools {
		if s := p.summaries[sender]; s != nil && s.incarnation <= incarnation {
			delete(p.summaries, sender)
		}
	}
}

// Sent notes that a request was sent to a pool.
func (t *Table) Sent(now time.Duration, domain, service string, promptTokens uint64) {
	t.now = max(t.now, now)
	p := t.pool(domain, service)
	p.sent = append(slices.DeleteFunc(p.sent, func(x sent) bool { return x.at < t.now-freshSummary }), sent{t.now, promptTokens})
}

// Candidates returns the pools that may serve a request, best first. excluded
// tells which failure domains an order has taken out. Without candidates, the
// code is PromptTooLarge when all pools of the model are too small, UnknownModel
// when pools are known and none has the model, and NoCapacity otherwise.
func (t *Table) Candidates(now time.Duration, r Request, excluded func(domain string) bool) ([]Candidate, refusal.Code) {
	t.now = max(t.now, now)
	var out []Candidate
	known, small, usable := false, false, false
	for k, p := range t.pools {
		s := t.current(p)
		if k.service != r.Service || s == nil {
			continue
		}
		known = true
		if !s.msg.InService || excluded(k.domain) {
			usable = true // it may return and serve the model
			continue
		}
		if r.Model != "" && !slices.Contains(s.msg.Models, r.Model) {
			continue
		}
		usable = true
		if s.msg.LargestPromptTokens > 0 && r.Tokens > s.msg.LargestPromptTokens {
			small = true
			continue
		}
		out = append(out, Candidate{FailureDomain: k.domain, Dispatcher: s.msg.Dispatcher, Wait: t.wait(k, p, s, r)})
	}
	t.order(out)
	switch {
	case len(out) > 0:
		return out, ""
	case small:
		return nil, refusal.PromptTooLarge
	case known && !usable:
		return nil, refusal.UnknownModel
	}
	return nil, refusal.NoCapacity
}

// wait estimates the wait in a pool, as seen from here.
func (t *Table) wait(k poolKey, p *pool, s *summary, r Request) time.Duration {
	ms := s.msg.ShortWaitMs
	if s.msg.BoundaryTokens > 0 && r.PromptTokens > s.msg.BoundaryTokens {
		ms = s.msg.LongWaitMs
	}
	w := time.Duration(ms) * time.Millisecond
	if age := t.now - s.at; age > freshSummary {
		// An old summary says little; the uncertainty grows with its age.
		w += age - freshSummary
	}
	tokens := uint64(0)
	for _, x := range p.sent {
		tokens += x.tokens
	}
	if n := s.msg.BackendsWarm + s.msg.BackendsCold; n > 0 {
		w += time.Duration(float64(tokens) / (defaultSpeed * float64(n)) * float64(time.Second))
	}
	return w + t.distance(k.domain)
}

func (t *Table) distance(domain string) time.Duration {
	if domain == t.cfg.FailureDomain {
		return 0
	}
	if d, ok := t.cfg.Distance[domain]; ok {
		return d
	}
	return t.cfg.DefaultDistance
}

// order sorts the candidates: the own pool first unless another is clearly
// better, then by wait.
func (t *Table) order(list []Candidate) {
	slices.SortFunc(list, func(x, y Candidate) int {
		// Each entry process breaks ties in its own order.
		return cmp.Or(cmp.Compare(x.Wait, y.Wait), cmp.Compare(t.spread(x), t.spread(y)), strings.Compare(x.FailureDomain, y.FailureDomain))
	})
	i := slices.IndexFunc(list, func(c Candidate) bool { return c.FailureDomain == t.cfg.FailureDomain })
	if i <= 0 {
		return
	}
	own := list[i]
	needed := margin + time.Duration(marginShare*float64(own.Wait))
	if own.Wait-list[0].Wait > needed {
		return
	}
	copy(list[1:i+1], list[:i])
	list[0] = own
}

func (t *Table) spread(c Candidate) uint64 {
	return xxhash.Sum64String(t.cfg.Entry + "\x00" + c.FailureDomain)
}

// current returns the summary that counts: the newest of a dispatcher that
// serves, or else the newest.
func (t *Table) current(p *pool) *summary {
	var best *summary
	for _, s := range p.summaries {
		if t.now-s.at >= dropSummary {
			continue
		}
		if best == nil || (s.msg.InService && !best.msg.InService) || (s.msg.InService == best.msg.InService && s.at > best.at) {
			best = s
		}
	}
	return best
}

// SuspectHome returns the failure domain that runs the suspected requests with a
// fingerprint. All processes that know the same pools agree on it, which keeps
// such a request from running in two failure domains at the same time.
func (t *Table) SuspectHome(service string, fingerprint []byte) (domain, dispatcher string, ok bool) {
	var best uint64
	for k, p := range t.pools {
		s := t.current(p)
		if k.service != service || s == nil || !s.msg.InService {
			continue
		}
		score := xxhash.Sum64String(k.domain + "\x00" + string(fingerprint))
		if !ok || score > best || (score == best && k.domain < domain) {
			best, domain, dispatcher, ok = score, k.domain, s.msg.Dispatcher, true
		}
	}
	return domain, dispatcher, ok
}

func (t *Table) pool(domain, service string) *pool {
	k := poolKey{domain, service}
	p := t.pools[k]
	if p == nil {
		p = &pool{summaries: map[string]*summary{}}
		t.pools[k] = p
	}
	return p
}

// Row is one pool in a state dump.
type Row struct {
	FailureDomain string `json:"failure_domain"`
	Service       string `json:"service"`
	Dispatcher    string `json:"dispatcher"`
	InService     bool   `json:"in_service"`
	AgeMS         int64  `json:"age_ms"`
	ShortWaitMS   uint32 `json:"short_wait_ms"`
	LongWaitMS    uint32 `json:"long_wait_ms"`
}

// Dump returns the current summaries with their ages.
func (t *Table) Dump(now time.Duration) []Row {
	t.now = max(t.now, now)
	var out []Row
	for k, p := range t.pools {
		if s := t.current(p); s != nil {
			out = append(out, Row{
				FailureDomain: k.domain, Service: k.service, Dispatcher: s.msg.Dispatcher, InService: s.msg.InService,
				AgeMS: (t.now - s.at).Milliseconds(), ShortWaitMS: s.msg.ShortWaitMs, LongWaitMS: s.msg.LongWaitMs,
			})
		}
	}
	slices.SortFunc(out, func(x, y Row) int {
		return cmp.Or(strings.Compare(x.FailureDomain, y.FailureDomain), strings.Compare(x.Service, y.Service))
	})
	return out
}
