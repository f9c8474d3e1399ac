package gateway

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"bilberryhub/internal/bootclock"
	"bilberryhub/internal/suspicion"
	"bilberryhub/internal/wirepb"
)

var (
	quarantinesBegun  = metrics.GetOrCreateCounter(`bilberry_gateway_quarantines_total`)
	requestsDenied    = metrics.GetOrCreateCounter(`bilberry_gateway_requests_quarantined_total`)
	attemptsCanceled  = metrics.GetOrCreateCounter(`bilberry_gateway_attempts_quarantined_total`)
	quarantineTrials  = metrics.GetOrCreateCounter(`bilberry_gateway_quarantine_trials_total`)
	crashReportsFound = metrics.GetOrCreateCounter(`bilberry_gateway_crash_reports_received_total`)
)

// suspects finds requests that crash backend servers, from the crashes that this gateway
// and the others have seen.
type suspects struct {
	mu       sync.Mutex
	evidence *suspicion.Evidence
}

func newSuspects() *suspects { return &suspects{evidence: suspicion.NewEvidence()} }

// quarantineError is returned for a request that is suspected of crashing backend
// servers.
type quarantineError struct{ retryAfter time.Duration }

func (e *quarantineError) Error() string {
	return fmt.Sprintf("requests like this one have crashed %d backend servers or more", suspicion.EvidenceCrashes)
}

// crashFeatures returns what the request has in common with others of its service: all
// but its headers, and the parts of its prompt.
func (r *request) crashFeatures() suspicion.Request {
	account := ""
	if r.account != nil {
		account = r.account.Name
	}
	h := xxhash.New()
	for _, s := range []string{"request", r.service.Name, r.http.Method, r.http.Host, r.http.RequestURI, account} {
		// The length keeps two fields from running together.
		_, _ = fmt.Fprintf(h, "%d:%s", len(s), s)
	}
	_, _ = h.Write(r.body)
	out := suspicion.Request{Self: suspicion.Feature(h.Sum64())}
	for _, part := range r.caller.PromptParts {
		out.Parts = append(out.Parts, suspicion.Feature(xxhash.Sum64String("part "+r.service.Name+" "+part)))
	}
	return out
}

// checkQuarantine returns a *quarantineError if the request must not run.
func (g *Gateway) checkQuarantine(r *request) error {
	s := g.suspects
	s.mu.Lock()
	defer s.mu.Unlock()
	isTrial := false
	retryAfter, quarantined := s.evidence.Quarantined(bootclock.Now(), r.features, func(key, turn uint64) bool {
		isTrial = g.members.isTurnOf(key, turn)
		return isTrial
	})
	if quarantined {
		requestsDenied.Inc()
		return &quarantineError{retryAfter}
	}
	if isTrial {
		quarantineTrials.Inc()
		g.log.Warn("quarantined request runs for a trial", zap.String("request_id", r.caller.ID), zap.Strings("prompt_parts", r.caller.PromptParts))
	}
	return nil
}

// recordServed records that a backend server has begun to respond to a request.
func (s *suspects) recordServed(r *request, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evidence.RecordServed(now, r.features)
}

// list returns a copy of the suspects, for the state dump.
func (s *suspects) list() []suspicion.Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.evidence.Suspects())
}

func (s *suspects) expire(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evidence.Expire(now)
}

// recordCrash records a crash under a request of this gateway and reports it to the
// others at once, since their next request may be of the same kind.
func (g *Gateway) recordCrash(backend uint64, r suspicion.Request, at time.Duration) {
	g.suspects.mu.Lock()
	g.suspects.evidence.RecordCrash(at, backend, append([]suspicion.Feature{r.Self}, r.Parts...)...)
	g.suspects.mu.Unlock()
	g.startQuarantines()
	g.sendToAll(&wirepb.LoadShare{CrashEvidence: g.suspects.evidenceMessage(bootclock.Now())})
}

// evidenceMessage returns what the other gateways should know of crashes, or nil if that
// is nothing.
func (s *suspects) evidenceMessage(now time.Duration) *wirepb.CrashEvidence {
	s.mu.Lock()
	defer s.mu.Unlock()
	reports, cleared := s.evidence.Reports(now), s.evidence.Cleared(now)
	if len(reports)+len(cleared) == 0 {
		return nil
	}
	out := &wirepb.CrashEvidence{}
	for _, r := range reports {
		report := &wirepb.CrashReport{Backend: r.Backend, AgeMs: ageMs(now, r.At)}
		for _, f := range r.Features {
			report.Features = append(report.Features, uint64(f))
		}
		out.Crashes = append(out.Crashes, report)
	}
	for f, at := range cleared {
		out.Served = append(out.Served, &wirepb.ServedFeature{Feature: uint64(f), AgeMs: ageMs(now, at)})
	}
	return out
}

// ageMs returns the time since at, in ms.
func ageMs(now, at time.Duration) uint32 { return uint32(max(0, now-at).Milliseconds()) }

// mergeCrashEvidence records what another gateway knows of crashes.
func (g *Gateway) mergeCrashEvidence(m *wirepb.CrashEvidence) {
	if m == nil {
		return
	}
	if g.suspects.merge(m, bootclock.Now()) || len(m.GetServed()) > 0 {
		g.startQuarantines()
	}
}

// merge records a message of another gateway and reports whether it has new crashes.
func (s *suspects) merge(m *wirepb.CrashEvidence, now time.Duration) (isNew bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range m.GetCrashes() {
		features := make([]suspicion.Feature, 0, len(c.GetFeatures()))
		for _, f := range c.GetFeatures() {
			features = append(features, suspicion.Feature(f))
		}
		if s.evidence.RecordCrash(now-milliseconds(int64(c.GetAgeMs())), c.GetBackend(), features...) {
			crashReportsFound.Inc()
			isNew = true
		}
	}
	for _, f := range m.GetServed() {
		s.evidence.Clear(now-milliseconds(int64(f.GetAgeMs())), suspicion.Feature(f.GetFeature()))
	}
	return isNew
}

// startQuarantines logs new suspects and cancels the attempts of this gateway that are
// like them and have not begun to respond.
func (g *Gateway) startQuarantines() {
	g.suspects.mu.Lock()
	found := g.suspects.evidence.NewSuspects()
	g.suspects.mu.Unlock()
	for _, s := range found {
		quarantinesBegun.Inc()
		features := make([]string, 0, len(s.Features))
		for _, f := range s.Features {
			features = append(features, fmt.Sprintf("%016x", uint64(f)))
		}
		g.log.Warn("requests quarantined, they crash backend servers", zap.String("features", strings.Join(features, ",")),
			zap.Int("crashes", s.Crashes), zap.Int("canceled", g.reachability.cancelSuspects(s)))
	}
}

// cancelSuspects cancels the attempts of suspected requests that have not begun to
// respond, and returns their number.
func (r *reachability) cancelSuspects(s suspicion.Suspect) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for a, w := range r.attempts {
		if !a.firstEventSeen.Load() && s.Matches(a.r.features) {
			a.isQuarantined.Store(true)
			w.cancel()
			attemptsCanceled.Inc()
			n++
		}
	}
	return n
}
