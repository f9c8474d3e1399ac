// Package routing chooses the pool of a request from the load summaries of all
// dispatchers.
//
// The pool in the local failure domain is preferred, because its path is short
// and because it works during a network partition. Another pool is used only if
// its expected wait is clearly shorter. Summaries are up to a second old, so
// the work sent since the last one is added to it: otherwise all requests of
// that second would go to the pool that looked best.
//
// The package does no I/O and reads no clock. It doesn't send requests; it only
// limits and orders the choices.
package routing

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"bilberryhub/internal/refusal"
	"bilberryhub/internal/wirepb"
)

const (
	// freshSummaryAge is the age up to which a summary is used as it is.
	// Dispatchers send one each second.
	freshSummaryAge = 3 * time.Second
	// maxSummaryAge is the age from which a pool counts as unreachable.
	maxSummaryAge = 10 * time.Second
	// summaryRetention is the age from which a summary is dropped from the
	// table.
	summaryRetention = 10 * time.Minute
	// minGain and minGainShare are how much shorter than the wait in the local
	// pool, in absolute terms and in proportion, the wait in another pool must
	// be. Waits fluctuate by about this much.
	minGain      = 50 * time.Millisecond
	minGainShare = 0.2
	// maxSummaryDelay is how long before its receipt a summary may have been
	// made.
	maxSummaryDelay = 50 * time.Millisecond
	// assumedPrefillRate is the prefill rate of one backend server, in
	// tokens/s, that is assumed for work sent since the last summary.
	assumedPrefillRate = 8000
)

// Config holds the settings of a Table.
type Config struct {
	Entry         string
	FailureDomain string
	// Distance is the additional round-trip time to other failure domains, by
	// name. DefaultDistance applies to failure domains that are not listed.
	Distance        map[string]time.Duration
	DefaultDistance time.Duration
}

// Request holds the properties of a request that determine the choice of a
// pool.
type Request struct {
	Service string
	Model   string // empty for plain services
	// PromptTokens determines the length class. Tokens is the memory needed,
	// in tokens.
	PromptTokens uint64
	Tokens       uint64
}

// Candidate is a pool that may serve a request.
type Candidate struct {
	FailureDomain string
	Dispatcher    string
	// Wait is the expected wait, including distance, age of the summary and
	// work sent since.
	Wait time.Duration
}

type poolKey struct{ domain, service string }

// summary is the latest summary of a pool from one dispatcher, received at the
// time at.
type summary struct {
	msg         *wirepb.PoolSummary
	incarnation uint64
	at          time.Duration
}

// sent is a request that was sent to a pool at the time at.
type sent struct {
	at     time.Duration
	tokens uint64
}

// pool holds the summaries of one pool by dispatcher. There are two while a
// pool moves from one dispatcher to another.
type pool struct {
	summaries map[string]*summary
	sent      []sent
}

// Table holds the latest summary of each dispatcher and pool. It isn't safe for
// concurrent use. Times are those of a monotonic clock of the caller.
type Table struct {
	cfg   Config
	now   time.Duration
	pools map[poolKey]*pool
}

// New returns an empty table.
func New(cfg Config) *Table { return &Table{cfg: cfg, pools: map[poolKey]*pool{}} }

// Update stores the summaries of one dispatcher. It ignores a summary that is
// not newer than the stored one or that comes from an older incarnation.
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
			// Summaries are kept for long, so that a delayed one of an older
			// incarnation is recognized and ignored.
			if t.now-x.at >= summaryRetention {
				delete(p.summaries, sender)
			}
		}
		p.summaries[m.Sender] = &summary{msg: s, incarnation: m.Incarnation, at: t.now}
		p.sent = slices.DeleteFunc(p.sent, func(x sent) bool { return x.at < t.now-maxSummaryDelay })
	}
}

// RemoveDispatcher removes the summaries of a dispatcher whose given
// incarnation is gone.
func (t *Table) RemoveDispatcher(sender string, incarnation uint64) {
	for _, p := range t.pools {
		if s := p.summaries[sender]; s != nil && s.incarnation <= incarnation {
			delete(p.summaries, sender)
		}
	}
}

// RecordSent records that a request was sent to a pool.
func (t *Table) RecordSent(now time.Duration, domain, service string, promptTokens uint64) {
	t.now = max(t.now, now)
	p := t.pool(domain, service)
	p.sent = append(slices.DeleteFunc(p.sent, func(x sent) bool { return x.at < t.now-freshSummaryAge }), sent{t.now, promptTokens})
}

// Candidates returns the pools that may serve a request, best first. excluded
// reports whether an operator's order has taken a failure domain out of
// service. Without candidates, the code is PromptTooLarge if the pools that
// have the model are too small, UnknownModel if pools are known and none has
// the model, and NoCapacity otherwise.
func (t *Table) Candidates(now time.Duration, r Request, excluded func(domain string) bool) ([]Candidate, refusal.Code) {
	t.now = max(t.now, now)
	var out []Candidate
	hasPool, isTooSmall, hasModel := false, false, false
	for k, p := range t.pools {
		s := t.current(p)
		if k.service != r.Service || s == nil {
			continue
		}
		hasPool = true
		if !s.msg.InService || excluded(k.domain) {
			hasModel = true // it may return to service and have the model
			continue
		}
		if r.Model != "" && !slices.Contains(s.msg.Models, r.Model) {
			continue
		}
		hasModel = true
		if s.msg.LargestPromptTokens > 0 && r.Tokens > s.msg.LargestPromptTokens {
			isTooSmall = true
			continue
		}
		out = append(out, Candidate{FailureDomain: k.domain, Dispatcher: s.msg.Dispatcher, Wait: t.wait(k, p, s, r)})
	}
	t.order(out)
	switch {
	case len(out) > 0:
		return out, ""
	case isTooSmall:
		return nil, refusal.PromptTooLarge
	case hasPool && !hasModel:
		return nil, refusal.UnknownModel
	}
	return nil, refusal.NoCapacity
}

// UntilFirstReturn returns the time until the first pool of a service is expected to be in
// service again, if none is and all that are known have stated it. excluded is as in
// Candidates.
func (t *Table) UntilFirstReturn(now time.Duration, service string, excluded func(domain string) bool) (first time.Duration, ok bool) {
	t.now = max(t.now, now)
	for k, p := range t.pools {
		s := t.current(p)
		if k.service != service || s == nil || excluded(k.domain) {
			continue
		}
		if s.msg.InService || s.msg.ShortWaitMs == math.MaxUint32 {
			return 0, false
		}
		left := max(0, time.Duration(s.msg.ShortWaitMs)*time.Millisecond-(t.now-s.at))
		if !ok || left < first {
			first, ok = left, true
		}
	}
	return first, ok
}

// wait estimates the wait in a pool, as seen from this process.
func (t *Table) wait(k poolKey, p *pool, s *summary, r Request) time.Duration {
	ms := s.msg.ShortWaitMs
	if s.msg.BoundaryTokens > 0 && r.PromptTokens > s.msg.BoundaryTokens {
		ms = s.msg.LongWaitMs
	}
	w := time.Duration(ms) * time.Millisecond
	if age := t.now - s.at; age > freshSummaryAge {
		// An old summary is less certain; the uncertainty grows with its age.
		w += age - freshSummaryAge
	}
	tokens := uint64(0)
	for _, x := range p.sent {
		tokens += x.tokens
	}
	if n := s.msg.BackendsWarm + s.msg.BackendsCold; n > 0 {
		w += time.Duration(float64(tokens) / (assumedPrefillRate * float64(n)) * float64(time.Second))
	}
	return w + t.distance(k.domain)
}

// distance returns the additional round-trip time to a failure domain, 0 for
// the local one.
func (t *Table) distance(domain string) time.Duration {
	if domain == t.cfg.FailureDomain {
		return 0
	}
	if d, ok := t.cfg.Distance[domain]; ok {
		return d
	}
	return t.cfg.DefaultDistance
}

// order sorts the candidates: the pool in the local failure domain first unless
// another one is clearly better, then by wait.
func (t *Table) order(list []Candidate) {
	slices.SortFunc(list, func(x, y Candidate) int {
		// Each entry process breaks ties in an order of its own.
		return cmp.Or(cmp.Compare(x.Wait, y.Wait), cmp.Compare(t.tieBreak(x), t.tieBreak(y)), strings.Compare(x.FailureDomain, y.FailureDomain))
	})
	i := slices.IndexFunc(list, func(c Candidate) bool { return c.FailureDomain == t.cfg.FailureDomain })
	if i <= 0 {
		return
	}
	local := list[i]
	minDifference := minGain + time.Duration(minGainShare*float64(local.Wait))
	if local.Wait-list[0].Wait > minDifference {
		return
	}
	copy(list[1:i+1], list[:i])
	list[0] = local
}

// tieBreak returns a key that orders equally good candidates, in an order that
// differs between entry processes.
func (t *Table) tieBreak(c Candidate) uint64 {
	return xxhash.Sum64String(t.cfg.Entry + "\x00" + c.FailureDomain)
}

// current returns the summary in use: the newest one of a dispatcher that is in
// service, or else the newest. It returns nil if all are older than
// maxSummaryAge.
func (t *Table) current(p *pool) *summary {
	var best *summary
	for _, s := range p.summaries {
		if t.now-s.at >= maxSummaryAge {
			continue
		}
		if best == nil || (s.msg.InService && !best.msg.InService) || (s.msg.InService == best.msg.InService && s.at > best.at) {
			best = s
		}
	}
	return best
}

// SuspectHome returns the failure domain and the dispatcher that run the
// suspected requests with a fingerprint. All processes with the same known
// pools return the same failure domain, which keeps such a request from running
// in two failure domains at the same time.
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

// pool returns a pool, adding it if it is unknown.
func (t *Table) pool(domain, service string) *pool {
	k := poolKey{domain, service}
	p := t.pools[k]
	if p == nil {
		p = &pool{summaries: map[string]*summary{}}
		t.pools[k] = p
	}
	return p
}

// PoolStatus is one pool in a state dump.
type PoolStatus struct {
	FailureDomain string `json:"failure_domain"`
	Service       string `json:"service"`
	Dispatcher    string `json:"dispatcher"`
	InService     bool   `json:"in_service"`
	AgeMS         int64  `json:"age_ms"`
	ShortWaitMS   uint32 `json:"short_wait_ms"`
	LongWaitMS    uint32 `json:"long_wait_ms"`
}

// Dump returns the current summaries and their ages, sorted by failure domain
// and service.
func (t *Table) Dump(now time.Duration) []PoolStatus {
	t.now = max(t.now, now)
	var out []PoolStatus
	for k, p := range t.pools {
		if s := t.current(p); s != nil {
			out = append(out, PoolStatus{
				FailureDomain: k.domain, Service: k.service, Dispatcher: s.msg.Dispatcher, InService: s.msg.InService,
				AgeMS: (t.now - s.at).Milliseconds(), ShortWaitMS: s.msg.ShortWaitMs, LongWaitMS: s.msg.LongWaitMs,
			})
		}
	}
	slices.SortFunc(out, func(x, y PoolStatus) int {
		return cmp.Or(strings.Compare(x.FailureDomain, y.FailureDomain), strings.Compare(x.Service, y.Service))
	})
	return out
}
