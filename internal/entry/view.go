package entry

import (
	"time"

	"bilberryhub/internal/config"
	"bilberryhub/internal/dispatch"
)

// view implements dispatch.View for a configuration version.
type view struct {
	version *config.Version
	// domainsInService is the number of failure domains that are not excluded.
	domainsInService int
}

func newView(version *config.Version) dispatch.View {
	w := &view{version: version}
	for _, d := range version.Manifest.FailureDomains {
		if out, _ := version.Excluded(d.Name, ""); !out {
			w.domainsInService++
		}
	}
	return w
}

func (w *view) Index() uint64 { return w.version.Index }

func (w *view) Service(name string) (dispatch.Service, bool) {
	s, ok := w.version.Manifest.Service(name)
	if !ok {
		return dispatch.Service{}, false
	}
	return dispatch.Service{
		ColdLimit: uint32(s.ColdLimitRequests), PrefillTokensPerSecond: s.PrefillTokensPerSecond,
		MaxConcurrent: uint32(s.MaxConcurrent),
	}, true
}

func (w *view) Limits(account, service string) (dispatch.Limits, bool) {
	a, ok := w.version.Manifest.Account(account)
	if !ok {
		return dispatch.Limits{}, false
	}
	g, ok := w.version.Manifest.Grant(account, service)
	if !ok {
		return dispatch.Limits{}, false
	}
	return dispatch.Limits{Weight: a.Weight, RatePerSecond: g.RatePerSecond, Concurrent: uint32(g.Concurrent)}, true
}

func (w *view) Urgency(name string) (dispatch.Urgency, bool) {
	u, ok := w.version.Manifest.Urgency(name)
	if !ok {
		return dispatch.Urgency{}, false
	}
	return dispatch.Urgency{
		Priority:   uint32(max(u.Priority, 0)),
		TTFTTarget: time.Duration(u.TTFTTargetMs) * time.Millisecond,
	}, true
}

func (w *view) Excluded(domain, backend string) (bool, string) {
	return w.version.Excluded(domain, backend)
}

func (w *view) IsolatedServing() time.Duration { return w.version.Manifest.IsolatedServing() }

func (w *view) DomainsInService() int { return w.domainsInService }
