package entry

import (
	"time"

	"bilberryhub/internal/config"
	"bilberryhub/internal/dispatch"
)

// view shows a configuration version to the dispatcher core.
type view struct {
	v *config.Version
	// domains is the number of failure domains in service.
	domains int
}

func newView(v *config.Version) dispatch.View {
	w := &view{v: v}
	for _, d := range v.Manifest.FailureDomains {
		if out, _ := v.Excluded(d.Name, ""); !out {
			w.domains++
		}
	}
	return w
}

func (w *view) Index() uint64 { return w.v.Index }

func (w *view) Service(name string) (dispatch.Service, bool) {
	s, ok := w.v.Manifest.Service(name)
	if !ok {
		return dispatch.Service{}, false
	}
	return dispatch.Service{
		ColdLimit: uint32(s.ColdLimitRequests), PrefillTokensPerSecond: s.PrefillTokensPerSecond,
		MaxConcurrent: uint32(s.MaxConcurrent),
	}, true
}

func (w *view) Limits(account, service string) (dispatch.Limits, bool) {
	a, ok := w.v.Manifest.Account(account)
	if !ok {
		return dispatch.Limits{}, false
	}
	g, ok := w.v.Manifest.Grant(account, service)
	if !ok {
		return dispatch.Limits{}, false
	}
	return dispatch.Limits{Weight: a.Weight, RatePerSecond: g.RatePerSecond, Concurrent: uint32(g.Concurrent)}, true
}

func (w *view) Urgency(name string) (dispatch.Urgency, bool) {
	u, ok := w.v.Manifest.Urgency(name)
	if !ok {
		return dispatch.Urgency{}, false
	}
	return dispatch.Urgency{
		Priority:   uint32(max(u.Priority, 0)),
		TTFTTarget: time.Duration(u.TTFTTargetMs) * time.Millisecond,
	}, true
}

func (w *view) Excluded(domain, backend string) (bool, string) { return w.v.Excluded(domain, backend) }

func (w *view) IsolatedServing() time.Duration { return w.v.Manifest.IsolatedServing() }

func (w *view) DomainsInService() int { return w.domains }
