package gateway

import (
	"bytes"
	"cmp"
	"encoding/json"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"bilberryhub/internal/bootclock"
	"bilberryhub/internal/enginemodel"
	"bilberryhub/internal/explain"
	"bilberryhub/internal/fleet"
	"bilberryhub/internal/manifest"
	"bilberryhub/internal/notice"
	"bilberryhub/internal/observe"
	"bilberryhub/internal/placement"
)

// notSampled is why a backend server of another failure domain isn't compared although
// requests may be sent to it.
const notSampled = "not in the sample of other failure domains that is drawn for each request"

// newAdmin returns the admin server of the gateway.
func (g *Gateway) newAdmin() *observe.Admin {
	a := observe.NewAdmin(g.dump)
	a.Handle("GET "+explain.Path, g.serveExplain)
	return a
}

// serveExplain responds to GET explain.Path.
func (g *Gateway) serveExplain(w http.ResponseWriter, hr *http.Request) {
	status := http.StatusOK
	var doc any
	doc, err := g.explain(hr.URL.Query())
	if err != nil {
		status = http.StatusInternalServerError
		var refused *refusal
		if errors.As(err, &refused) {
			status = refused.status
		}
		doc = explain.Error{Error: err.Error()}
	}
	var body bytes.Buffer
	enc := json.NewEncoder(&body)
	enc.SetIndent("", "  ")
	if err := enc.Encode(doc); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if _, err := w.Write(body.Bytes()); err != nil {
		g.log.Debug("write explanation failed", zap.String("path", explain.Path), observe.Error(err))
	}
}

// explain returns where the request that a query describes would go. It changes nothing.
// Its errors are refusals with the status of the response.
func (g *Gateway) explain(query url.Values) (*explain.Document, error) {
	r, err := g.explainedRequest(query)
	if err != nil {
		return nil, err
	}
	age := g.sync.Age(bootclock.Time())
	doc := &explain.Document{
		Gateway: g.settings.ID, FailureDomain: g.settings.FailureDomain, Route: r.route.Name,
		PromptTokens: r.caller.PromptTokens, OutputTokens: r.outputTokens(), ObjectiveMs: r.route.ObjectiveMs,
		ConfigIndex: r.version.Index, ConfigAgeMs: ms(age), NotReady: g.notReadyReason(), Gateways: g.members.count(),
		LoadShares: g.workTable.shareAges(g.now()), Services: []explain.Service{},
	}
	if r.account != nil {
		doc.Account = r.account.Name
	}
	sum := 0.0
	for _, t := range r.route.Targets {
		sum += max(0, t.Weight)
	}
	for _, t := range r.route.Targets {
		if r.service = r.version.Manifest.Routing.Service(t.Service); t.Weight > 0 && r.service != nil {
			s := g.explainService(r)
			s.Share = t.Weight / sum
			doc.Services = append(doc.Services, s)
		}
	}
	return doc, nil
}

// explainedRequest returns the request that a query describes. Its caller waits as long as
// the route allows.
func (g *Gateway) explainedRequest(query url.Values) (*request, error) {
	for name, values := range query {
		switch name {
		case explain.ParamRoute, explain.ParamPromptTokens, explain.ParamOutputTokens, explain.ParamAccount:
			if len(values) > 1 {
				return nil, refuse(http.StatusBadRequest, "parameter %s is given more than once", name)
			}
		default:
			return nil, refuse(http.StatusBadRequest, "unknown parameter %q", name)
		}
	}
	r := &request{version: g.sync.Current(), arrived: g.now()}
	var err error
	if r.caller.PromptTokens, err = tokensParam(query, explain.ParamPromptTokens); err != nil {
		return nil, err
	}
	if r.caller.ExpectedOutputTokens, err = tokensParam(query, explain.ParamOutputTokens); err != nil {
		return nil, err
	}
	if r.version == nil || r.version.Manifest == nil || r.version.Manifest.Routing == nil {
		return nil, refuse(http.StatusServiceUnavailable, "no configuration is known yet")
	}
	routing := r.version.Manifest.Routing
	if r.route, err = routeNamed(routing, query.Get(explain.ParamRoute)); err != nil {
		return nil, err
	}
	if name := query.Get(explain.ParamAccount); name != "" {
		i := slices.IndexFunc(routing.Accounts, func(a manifest.RoutingAccount) bool { return a.Name == name })
		if i < 0 {
			return nil, refuse(http.StatusNotFound, "unknown account %q", name)
		}
		r.account = &routing.Accounts[i]
	}
	r.deadline = r.arrived + milliseconds(r.route.TimeoutMs)
	return r, nil
}

// tokensParam returns a number of tokens of a query, 0 if it isn't given.
func tokensParam(query url.Values, name string) (int64, error) {
	text := query.Get(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 {
		return 0, refuse(http.StatusBadRequest, "parameter %s is %q, expected a number of tokens", name, text)
	}
	return n, nil
}

// routeNamed returns the route with a name. Names need not be unique.
func routeNamed(routing *manifest.Routing, name string) (*manifest.Route, error) {
	if name == "" {
		return nil, refuse(http.StatusBadRequest, "parameter %s is missing", explain.ParamRoute)
	}
	var found *manifest.Route
	for i := range routing.Routes {
		if routing.Routes[i].Name != name {
			continue
		}
		if found != nil {
			return nil, refuse(http.StatusBadRequest, "several routes are named %q", name)
		}
		found = &routing.Routes[i]
	}
	if found == nil {
		return nil, refuse(http.StatusNotFound, "unknown route %q", name)
	}
	return found, nil
}

// explainService explains the choice among the backend servers of the request's service.
func (g *Gateway) explainService(r *request) explain.Service {
	s := situation{version: r.version, condition: (*health).peekCondition}
	s.servers, s.gateways = g.members.backends()
	g.workTable.mu.Lock()
	s.now = g.now()
	s.works, _ = g.workTable.peekWorks(s.now)
	d := g.decide(&s, r, r.service, nil)
	known := g.describeAll(&s, r.service)
	g.workTable.mu.Unlock()

	out := explain.Service{Service: r.service.Name, ByEngineModel: len(d.engines) > 0}
	if !out.ByEngineModel {
		out.RandomCost = 1.0 / randomCostDivisor
	}
	costs := g.explainCosts(&d, r.service, s.now)
	for i := range known {
		c := &known[i]
		if cost := costs[c.key]; cost != nil {
			c.Excluded = ""
			cost(&c.Candidate)
		} else if c.Excluded == "" {
			c.Excluded = notSampled
		}
		out.Candidates = append(out.Candidates, c.Candidate)
	}
	slices.SortStableFunc(out.Candidates, compareCandidates)
	g.explainResult(&out, r, &d)
	return out
}

// compareCandidates orders candidates by cost, then those without room, then those that are
// excluded.
func compareCandidates(a, b explain.Candidate) int {
	class := func(c explain.Candidate) int {
		switch {
		case c.Cost == nil:
			return 2
		case c.NoRoom:
			return 1
		}
		return 0
	}
	if n := cmp.Compare(class(a), class(b)); n != 0 || a.Cost == nil {
		return n
	}
	return cmp.Compare(*a.Cost, *b.Cost)
}

// explainCosts returns, for each candidate that was compared, a function that sets its cost.
func (g *Gateway) explainCosts(d *decision, service *manifest.RoutedService, now time.Duration) map[uint64]func(*explain.Candidate) {
	out := map[uint64]func(*explain.Candidate){}
	if len(d.engines) == 0 {
		for i := range d.list {
			cost := g.plainCost(&d.list[i], now)
			out[d.list[i].key] = func(c *explain.Candidate) { setPlainCost(c, cost) }
		}
		return out
	}
	parts := d.request.MinParts(service.Engine)
	if d.isPlaced {
		parts = d.choice.Parts()
	}
	for _, cost := range d.policy.Costs(service.Engine, d.request, d.engines, parts, ms(now)) {
		out[d.list[cost.Index].key] = func(c *explain.Candidate) { setEngineCost(c, cost) }
	}
	return out
}

func setPlainCost(c *explain.Candidate, cost plainCost) {
	total := cost.total()
	c.Cost = &total
	c.CostParts = map[string]float64{
		"load": cost.load, "failures": cost.failures, "avoided": cost.avoid, "remote": cost.remote, "cold_or_spared": cost.spare,
	}
}

func setEngineCost(c *explain.Candidate, cost placement.Cost) {
	total := cost.Total()
	c.Cost, c.NoRoom, c.FirstEventMs = &total, !cost.CanHold, cost.FirstEventMs+cost.SlotWaitMs
	c.CostParts = map[string]float64{
		"first_event": cost.FirstEvent, "loss_of_others": cost.Others, "packing": cost.Packing, "busy": cost.Busy,
		"remote": cost.Remote, "cold_or_spared": cost.Cold, "risk": cost.Risk, "slot_wait": cost.SlotWait,
	}
}

// explainResult sets the choice, the deferral or the refusal.
func (g *Gateway) explainResult(out *explain.Service, r *request, d *decision) {
	switch {
	case d.pick != nil:
		out.Choice = &explain.Choice{
			BackendServer: d.pick.backend.ID, Holders: d.choice.Holders, HeldTokens: d.choice.HeldTokens,
			FirstEventMs: d.pick.predictedMs, Loss: d.choice.Loss,
		}
		for _, h := range d.pick.helpers {
			out.Choice.Helpers = append(out.Choice.Helpers, h.ID)
		}
	case errors.Is(d.err, errDeferred):
		out.Deferral = &explain.Deferral{
			Reason: errDeferred.Error(), WaitMs: placement.DeferStepMs, LongestMs: maxDeferShare * r.route.ObjectiveMs,
		}
	default:
		out.Refusal = &explain.Refusal{FirstEventMs: d.choice.FirstEventMs}
		var refused *refusal
		if errors.As(g.noBackendError(r, d.err, false), &refused) {
			out.Refusal.Status, out.Refusal.Reason = refused.status, refused.reason
			out.Refusal.RetryAfterMs = ms(refused.retryAfter)
		}
	}
}

// describedServer is what is known of a backend server.
type describedServer struct {
	explain.Candidate
	key uint64
}

// describeAll returns what is known of the backend servers of a service. The caller holds
// the lock of the work table.
func (g *Gateway) describeAll(s *situation, service *manifest.RoutedService) []describedServer {
	var out []describedServer
	shared := g.workTable.newestShares(s.now)
	for _, b := range s.servers {
		if b.Service != service.Name {
			continue
		}
		d := describedServer{key: b.Key(), Candidate: g.describe(s, b, service)}
		at, ok := shared[d.key]
		if summary := g.workTable.summaries[b.FailureDomain]; s.isLocalDetail() && b.FailureDomain != g.settings.FailureDomain &&
			summary != nil && s.now-summary.at <= summaryLifetime {
			at, ok = max(at, summary.at), true
		}
		if ok {
			age := ms(s.now - at)
			d.LoadShareAgeMs = &age
		}
		out = append(out, d)
	}
	return out
}

// describe returns what is known of a backend server, and why no request is sent to it. The
// caller holds the lock of the work table.
func (g *Gateway) describe(s *situation, b *fleet.BackendServer, service *manifest.RoutedService) explain.Candidate {
	now, key := s.now, b.Key()
	var c candidate
	out, err := g.assess(&c, s, b, service, nil)
	condition := g.health.peekCondition(b, key, now, maxMissedAnnouncements*milliseconds(g.settings.AnnounceMs))
	works := s.works[key]
	if s.isLocalDetail() && b.FailureDomain != g.settings.FailureDomain {
		works = g.workTable.remoteWorks(b.FailureDomain, key, works, now)
	}
	d := explain.Candidate{
		BackendServer: b.ID, FailureDomain: b.FailureDomain, Excluded: g.exclusionText(out, err, s, b),
		Slots: b.Slots, OpenRequests: openRequests(works), Gone: !b.Usable(), Cold: now < b.ColdUntil, Spared: c.spare,
		Unreachable: g.reachability.unreachable(b.FailureDomain), Dead: condition.dead, Avoided: condition.avoid,
		FailureShare: condition.failureShare, Slowness: condition.slowness, AnnouncementAgeMs: ms(now - b.SeenAt),
	}
	d.Leaving, d.PausedMs = g.notices.describe(key, now)
	d.Limited = g.limits.isLimited(key)
	if service.Engine != nil {
		// The works belong to the candidates of the decision, and NewLoad sorts them.
		load := enginemodel.NewLoad(service.Engine, slices.Clone(works), ms(now), condition.slowness)
		d.BacklogMs, d.MemoryTokens = load.BacklogMs, load.MemoryTokens
	}
	return d
}

// exclusionText returns why a backend server is excluded, or an empty string.
func (g *Gateway) exclusionText(out exclusion, err error, s *situation, b *fleet.BackendServer) string {
	switch out {
	case excludedGone:
		if b.Gone {
			return "gone"
		}
		return "draining"
	case excludedByOrder:
		_, text := s.version.Excluded(b.FailureDomain, b.ID)
		return text
	case excludedCold:
		return "cold, and gets no more requests from this gateway now"
	case excludedDead:
		return "dead: it refused a connection after its last announcement"
	case excludedByNotice:
		if errors.Is(err, errLeaving) {
			return "leaving"
		}
		return "paused"
	case excludedByLimit:
		return "limited, and gets no more requests from this gateway now"
	case excludedUnreachable:
		return "its failure domain is unreachable"
	}
	return ""
}

// describe returns whether a backend server leaves, and the rest of its pause in ms.
func (n *notices) describe(backend uint64, now time.Duration) (leaving bool, pausedMs float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	state, until := n.table.State(backend, now)
	if state == notice.Paused {
		pausedMs = ms(until - now)
	}
	return state == notice.Leaving, pausedMs
}

// isLimited reports whether a limit of the backend server is in force.
func (l *limits) isLimited(backend uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.IsLimited(backend)
}

// newestShares returns, for each backend server with work of other gateways, when the
// newest load share that tells of it arrived. The caller holds the lock.
func (b *workTable) newestShares(now time.Duration) map[uint64]time.Duration {
	out := map[uint64]time.Duration{}
	for _, s := range b.others {
		if s.expired(now) {
			continue
		}
		for i := range s.jobs {
			out[s.jobs[i].backend] = max(out[s.jobs[i].backend], s.at)
		}
	}
	return out
}

// shareAges returns how recent the load shares in use are.
func (b *workTable) shareAges(now time.Duration) explain.LoadShares {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out explain.LoadShares
	for _, s := range b.others {
		if s.expired(now) {
			continue
		}
		age := ms(now - s.at)
		if out.Count++; out.Count == 1 {
			out.NewestMs, out.OldestMs = age, age
		}
		out.NewestMs, out.OldestMs = min(out.NewestMs, age), max(out.OldestMs, age)
	}
	return out
}
