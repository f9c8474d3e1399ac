package gateway

import (
	"encoding/binary"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"bilberryhub/internal/config"
	"bilberryhub/internal/enginemodel"
	"bilberryhub/internal/fleet"
	"bilberryhub/internal/manifest"
	"bilberryhub/internal/placement"
)

// Reasons for which no backend server was chosen.
var (
	errNoBackend = errors.New("no backend server is in service")
	errTooLarge  = errors.New("no backend server can hold the request")
	errDeferred  = errors.New("a later moment costs others less")
	errFull      = errors.New("no backend server has memory for the request now")
	errLimited   = errors.New("the backend servers take no more requests now")
)

// overloadError is returned if all backend servers are busy for longer than the
// caller waits.
type overloadError struct {
	// untilMs is the predicted time until a request like this one is served
	// within its objective.
	untilMs float64
}

func (e *overloadError) Error() string {
	return "all backend servers are busy beyond the time that the caller waits"
}

const (
	// maxMissedAnnouncements is the number of missed announcements after which
	// a backend server is used only if there is no other one. Announcements
	// are sometimes seconds late.
	maxMissedAnnouncements = 4
	// avoidRisk is the share of its value that a request is assumed to risk at
	// a backend server that should be avoided.
	avoidRisk = 0.9
	// fullSlotShare is the share of occupied slots from which engines count as
	// full. reservedSharePerRank of the slots are reserved for each more
	// urgent rank, up to maxReservedRanks.
	fullSlotShare        = 0.85
	reservedSharePerRank = 0.1
	maxReservedRanks     = 3
	// lateRefusalFactor is the multiple of its objective above which a request
	// is refused while engines are full, as admitting it would make all later
	// ones late.
	lateRefusalFactor = 0.8
	// maxDeferShare is the share of the objective for which the choice may be
	// deferred. A request that waits longer would be late after all.
	maxDeferShare = 0.5
	// maxSplitLossShare is the share of its value that a prompt larger than
	// one engine may cost in total. Its prefill takes half a minute of engine
	// time, so it is admitted only while the fleet has spare capacity.
	maxSplitLossShare = 0.15
	// defaultPlainSlots is assumed if a backend server states no slots.
	defaultPlainSlots = 8
	// defaultOutputTokens is assumed if a caller states no number of output
	// tokens.
	defaultOutputTokens = 512
	// coldRateShare is the share of the allowed request rate of cold backend
	// servers that all gateways use together. coldTurnShare replaces it where the
	// gateways take turns: the turns of two seconds may meet within one.
	coldRateShare = 1.0
	coldTurnShare = 0.6
)

// pick is the result of a choice: where a request runs.
type pick struct {
	backend *fleet.BackendServer
	helpers []*fleet.BackendServer
	// reservations are the memory reservations at the first helpers.
	reservations []*reservation
	// predictedMs is the predicted time to the first event; 0 for plain
	// services.
	predictedMs float64
	job         *job
	helperJobs  []*job
	// open is the number of requests that ran at the backend server already,
	// candidates the number of backend servers that could be chosen.
	open       int
	candidates int
	// slowness is the factor that predictedMs contains for a slow engine; 0 for
	// plain services.
	slowness float64
}

// candidate is a backend server that may be chosen.
type candidate struct {
	server    *fleet.BackendServer
	key       uint64
	condition backendCondition
	works     []enginemodel.Work
	// spare is set if the backend server should be used only if others are busy,
	// because it has named a limit.
	spare bool
}

// exclusion is why a backend server is not a candidate.
type exclusion int

const (
	notExcluded exclusion = iota
	excludedGone
	excludedTried
	excludedByOrder
	excludedCold
	excludedDead
	excludedByNotice
	excludedByLimit
	// excludedUnreachable applies as long as there are other candidates.
	excludedUnreachable
)

// situation is what a choice is based on. The lock of the work table is held while it is
// used.
type situation struct {
	now      time.Duration
	servers  []*fleet.BackendServer
	gateways int
	version  *config.Version
	works    map[uint64][]enginemodel.Work
	// condition is (*health).condition, or (*health).peekCondition to change nothing.
	condition func(h *health, b *fleet.BackendServer, key uint64, now, silence time.Duration) backendCondition
}

// isLocalDetail reports whether load shares stay within the failure domain.
func (s *situation) isLocalDetail() bool { return s.gateways >= localDetailGateways }

// decision is the result of a choice, which has had no effect yet.
type decision struct {
	// pick is where the request runs, or err why it runs nowhere.
	pick *pick
	err  error
	// list holds the candidates that were compared.
	list []candidate
	// policy is the one of the placement of model requests.
	policy placement.Policy
	// engines and request are what the placement of a model request is based on, and choice
	// its result if isPlaced is set.
	engines  []placement.Engine
	request  placement.Request
	choice   placement.Choice
	isPlaced bool
	// noticed and limited are the numbers of backend servers that were left out because of
	// a notice and because of a limit.
	noticed, limited int
}

// choose chooses a backend server for a request and adds the request's work to
// the table. excluded holds the ids of backend servers that have been tried.
// Orders that take targets out of service are read from the newest
// configuration, because a request may be retried long after it was admitted.
// Backend servers in unreachable failure domains are chosen only if there are no
// others.
func (g *Gateway) choose(r *request, service *manifest.RoutedService, excluded []string) (*pick, error) {
	s := situation{version: g.sync.Current(), condition: (*health).condition}
	s.servers, s.gateways = g.members.backends()
	g.workTable.mu.Lock()
	defer g.workTable.mu.Unlock()
	now := g.now()
	s.now, s.works = now, g.workTable.works(now)
	d := g.decide(&s, r, service, excluded)
	noticesRespected.Add(d.noticed)
	limitsApplied.Add(d.limited)
	if d.err != nil {
		return nil, d.err
	}
	p := d.pick
	countChoice(&d, g.settings.FailureDomain)
	g.takePermit(p.job.backend, now)
	g.workTable.add(p.job)
	for _, h := range p.helperJobs {
		g.workTable.add(h)
	}
	if now < p.backend.ColdUntil {
		g.workTable.recordColdSend(p.job.backend, now)
	}
	return p, nil
}

var (
	engineChoices       = metrics.GetOrCreateCounter(`bilberry_gateway_engine_choices_total`)
	engineChoicesFull   = metrics.GetOrCreateCounter(`bilberry_gateway_engine_choices_without_free_slot_total`)
	engineChoicesRemote = metrics.GetOrCreateCounter(`bilberry_gateway_engine_choices_remote_total`)
)

// countChoice counts the choice of an engine, and whether it had no free slot, as far as this
// gateway knew, or is in another failure domain than the local one.
func countChoice(d *decision, local string) {
	if !d.isPlaced {
		return
	}
	engineChoices.Inc()
	if d.pick.open >= max(1, d.pick.backend.Slots) {
		engineChoicesFull.Inc()
	}
	if d.pick.backend.FailureDomain != local {
		engineChoicesRemote.Inc()
	}
}

// decide chooses a backend server or refuses. It changes nothing, apart from what the
// situation's condition does, so that an explanation runs the same code as a choice.
func (g *Gateway) decide(s *situation, r *request, service *manifest.RoutedService, excluded []string) decision {
	d := decision{policy: g.settings.Placement.policy(s.gateways)}
	d.err = g.collect(s, &d, service, excluded)
	if d.err != nil {
		return d
	}
	if service.Engine != nil && r.caller.PromptTokens > 0 {
		d.err = errors.Trace(g.chooseEngine(&d, r, service, s.now))
	} else {
		d.pick = g.choosePlain(d.list, s.now)
	}
	if d.pick != nil {
		d.pick.candidates = len(d.list)
	}
	return d
}

// collect sets the candidates of a decision. It returns why there are none.
func (g *Gateway) collect(s *situation, d *decision, service *manifest.RoutedService, excluded []string) error {
	var unreachable []candidate
	refused := errNoBackend
	var c candidate
	for _, b := range s.servers {
		if b.Service != service.Name {
			continue
		}
		out, err := g.assess(&c, s, b, service, excluded)
		switch out {
		case notExcluded:
			d.list = append(d.list, c)
		case excludedUnreachable:
			unreachable = append(unreachable, c)
		case excludedByNotice:
			d.noticed++
			refused = earlier(refused, err)
		case excludedByLimit:
			d.limited++
			refused = errLimited
		}
	}
	if len(d.list) == 0 {
		d.list = unreachable
	}
	if len(d.list) == 0 {
		return refused
	}
	if s.isLocalDetail() && service.Engine != nil {
		d.list = sampleRemote(d.list, g.settings.FailureDomain, g.members.domains())
	}
	return nil
}

// assess sets c to a backend server as a candidate, or returns why it is none; c is then
// incomplete. The error is set for excludedByNotice.
func (g *Gateway) assess(c *candidate, s *situation, b *fleet.BackendServer, service *manifest.RoutedService, excluded []string) (exclusion, error) {
	if !b.Usable() {
		return excludedGone, nil
	}
	if slices.Contains(excluded, b.ID) {
		return excludedTried, nil
	}
	if out, _ := s.version.Excluded(b.FailureDomain, b.ID); out {
		return excludedByOrder, nil
	}
	now, key := s.now, b.Key()
	if now < b.ColdUntil && service.ColdPerSecond > 0 && !g.workTable.hasColdCapacity(key, g.coldLimit(service, key, s.gateways, now), now) {
		return excludedCold, nil
	}
	silence := maxMissedAnnouncements * milliseconds(g.settings.AnnounceMs)
	*c = candidate{server: b, key: key, condition: s.condition(g.health, b, key, now, silence), works: s.works[key]}
	if c.condition.dead {
		return excludedDead, nil
	}
	isSpared, err := g.checkNotices(key, now)
	if err != nil {
		return excludedByNotice, err
	}
	var allowed bool
	if c.spare, allowed = g.allowsRequest(key, now); !allowed {
		return excludedByLimit, nil
	}
	c.spare = c.spare || isSpared
	if s.isLocalDetail() && b.FailureDomain != g.settings.FailureDomain {
		c.works = g.workTable.remoteWorks(b.FailureDomain, key, c.works, now)
	}
	if g.reachability.unreachable(b.FailureDomain) {
		return excludedUnreachable, nil
	}
	return notExcluded, nil
}

// coldLimit returns this gateway's part of the requests that a cold backend server may
// get in a second. If there are more gateways than such requests, the gateways take
// turns: in each second, a pseudorandom choice of them may send one.
func (g *Gateway) coldLimit(s *manifest.RoutedService, backend uint64, gateways int, now time.Duration) int {
	if perGateway := coldRateShare * s.ColdPerSecond / float64(gateways); perGateway >= 1 {
		return int(perGateway)
	}
	turn := binary.LittleEndian.AppendUint64(nil, g.incarnation)
	turn = binary.LittleEndian.AppendUint64(turn, backend)
	turn = binary.LittleEndian.AppendUint64(turn, uint64(now/coldWindow))
	if orderPosition(xxhash.Sum64(turn)) < coldTurnShare*s.ColdPerSecond/float64(gateways) {
		return 1
	}
	return 0
}

// plainCost is the cost of a backend server for a request without a prompt, by part.
type plainCost struct {
	// load is the number of open requests for each slot.
	load     float64
	failures float64
	// random breaks ties, so that gateways with the same knowledge don't choose alike.
	random float64
	avoid  float64
	remote float64
	// spare applies to cold backend servers and to those that have named a limit.
	spare float64
}

func (c plainCost) total() float64 {
	return c.load + c.failures + c.random + c.avoid + c.remote + c.spare
}

// randomCostDivisor divides a random number in [0, 1) to the part random of a plainCost.
const randomCostDivisor = 1000

// plainCost returns the cost of a candidate without its random part.
func (g *Gateway) plainCost(c *candidate, now time.Duration) plainCost {
	slots := float64(c.server.Slots)
	if slots <= 0 {
		slots = defaultPlainSlots
	}
	cost := plainCost{load: float64(openRequests(c.works)) / slots, failures: 2 * c.condition.failureShare}
	if c.condition.avoid {
		cost.avoid = avoidRisk * 10
	}
	if c.server.FailureDomain != g.settings.FailureDomain {
		cost.remote = 0.1 / slots
	}
	if now < c.server.ColdUntil || c.spare {
		cost.spare = 0.5
	}
	return cost
}

// choosePlain chooses the backend server with the least work in proportion to
// its slots.
func (g *Gateway) choosePlain(list []candidate, now time.Duration) *pick {
	best, lowest := -1, math.Inf(1)
	for i := range list {
		cost := g.plainCost(&list[i], now)
		cost.random = g.random() / randomCostDivisor
		if total := cost.total(); total < lowest {
			best, lowest = i, total
		}
	}
	c := list[best]
	return &pick{
		backend: c.server, open: openRequests(c.works),
		job: &job{backend: c.key, domain: c.server.FailureDomain, sent: now, work: enginemodel.Work{SentMs: ms(now)}},
	}
}

// engines returns the candidates for the placement of a model request.
func (g *Gateway) engines(spec *manifest.Engine, req placement.Request, list []candidate, now time.Duration) []placement.Engine {
	engines := make([]placement.Engine, 0, len(list))
	for i, c := range list {
		e := placement.Engine{
			Index: i, Slots: max(1, c.server.Slots), Remote: c.server.FailureDomain != g.settings.FailureDomain,
			Rank: orderPosition(c.key), Random: g.random(),
			Load: enginemodel.NewLoad(spec, c.works, ms(now), c.condition.slowness),
			Risk: c.condition.failureShare * req.Value, Cold: now < c.server.ColdUntil || c.spare,
		}
		if c.condition.avoid {
			e.Risk = max(e.Risk, avoidRisk*req.Value)
		}
		engines = append(engines, e)
	}
	return engines
}

// chooseEngine chooses an engine and helpers for a model request among the candidates of
// the decision.
func (g *Gateway) chooseEngine(d *decision, r *request, service *manifest.RoutedService, now time.Duration) error {
	spec := service.Engine
	d.request = r.placement(now)
	d.engines = g.engines(spec, d.request, d.list, now)
	if d.request.PromptTokens+d.request.OutputTokens > float64(spec.CapacityTokens)*float64(min(len(d.list), placement.MaxHelpers+1)) {
		return errTooLarge
	}
	d.choice, d.isPlaced = d.policy.Choose(spec, d.request, d.engines, ms(now))
	if !d.isPlaced {
		return errFull
	}
	if r.events == 0 && d.choice.Holders > 0 && d.choice.Loss > maxSplitLossShare*d.request.Value {
		if r.attempts == 0 && ms(now-r.arrived) < d.policy.SplitWait*r.route.ObjectiveMs {
			return errDeferred
		}
		return &overloadError{untilMs: d.choice.FirstEventMs}
	}
	if d.choice.Defer && r.attempts == 0 && ms(now-r.arrived) < maxDeferShare*r.route.ObjectiveMs {
		return errDeferred
	}
	if until, refused := r.shouldRefuse(d.choice, d.request, d.engines); refused {
		return &overloadError{untilMs: until}
	}
	d.pick = r.pickOf(d.choice, d.request, d.list, now)
	return nil
}

// pickOf returns where a model request runs according to its placement.
func (r *request) pickOf(choice placement.Choice, req placement.Request, list []candidate, now time.Duration) *pick {
	parts := float64(1 + len(choice.Helpers))
	first := list[choice.First]
	work := enginemodel.Work{
		Request: xxhash.Sum64String(r.caller.ID), SentMs: ms(now), PromptTokens: req.PromptTokens, PartTokens: req.PromptTokens / parts,
		OutputTokens: req.OutputTokens, PauseMs: r.route.GapObjectiveMs, ObjectiveMs: r.route.ObjectiveMs, Value: req.Value,
	}
	work.HeldTokens = choice.HeldTokens * float64(choice.Holders)
	p := &pick{
		backend: first.server, predictedMs: choice.FirstEventMs, open: openRequests(first.works), slowness: first.condition.slowness,
		job: &job{backend: first.key, domain: first.server.FailureDomain, sent: now, work: work},
	}
	work.Helper = true
	for n, i := range choice.Helpers {
		work.HeldTokens = 0
		if n < choice.Holders {
			work.HeldTokens = choice.HeldTokens
			p.reservations = append(p.reservations, &reservation{
				id: fmt.Sprintf("%016x-%d", rand.Uint64(), n), holder: list[i].server, tokens: int64(choice.HeldTokens),
			})
		}
		p.helpers = append(p.helpers, list[i].server)
		p.helperJobs = append(p.helperJobs, &job{backend: list[i].key, domain: list[i].server.FailureDomain, sent: now, work: work})
	}
	return p
}

// shouldRefuse reports whether a request should be refused rather than placed,
// and the predicted time in ms until one like it is served within its
// objective. A request that was deferred or already sent is placed as long as
// its caller waits: the former could have been refused at once, and the latter
// could only fail.
func (r *request) shouldRefuse(c placement.Choice, req placement.Request, engines []placement.Engine) (untilMs float64, refused bool) {
	switch {
	case r.events > 0:
		return 0, false
	case c.FirstEventMs > req.AbandonMs:
		return c.FirstEventMs - req.ObjectiveMs, true
	case r.waited > 0 || r.attempts > 0:
		return 0, false
	}
	late := isFull(engines, r.rank()) && c.FirstEventMs > lateRefusalFactor*req.ObjectiveMs
	return c.FirstEventMs - req.ObjectiveMs, late
}

// openRequests returns the number of running requests, without the parts that
// are prefilled for other engines.
func openRequests(works []enginemodel.Work) int {
	n := 0
	for i := range works {
		if !works[i].Ended && !works[i].Helper {
			n++
		}
	}
	return n
}

// orderPosition returns the position of a backend server, from 0 to 1, in an
// order that is the same at all gateways, whichever backend servers each of
// them has discovered.
func orderPosition(key uint64) float64 { return float64(key>>11) / (1 << 53) }

// isFull reports whether nearly all slots of the engines are occupied, so that
// admitting a request that would be late makes those that follow late as well.
// Some slots are reserved for more urgent ranks.
func isFull(engines []placement.Engine, rank int) bool {
	open, slots := 0, 0
	for i := range engines {
		open += engines[i].Load.OpenRequests
		slots += engines[i].Slots
	}
	share := fullSlotShare - reservedSharePerRank*float64(min(rank, maxReservedRanks))
	return float64(open) >= share*float64(slots)
}

// placement converts the request into a placement request.
func (r *request) placement(now time.Duration) placement.Request {
	prompt := float64(r.caller.PromptTokens)
	output := float64(r.outputTokens())
	// Callers measure from the last event that they have received.
	elapsed := ms(now - max(r.arrived, r.lastEventAt))
	req := placement.Request{
		PromptTokens: prompt, OutputTokens: output, Value: placement.EstimateValue(prompt, output),
		ObjectiveMs: max(1, r.route.ObjectiveMs-elapsed), AbandonMs: r.abandonMs() - elapsed,
	}
	return req
}

// outputTokens estimates the number of tokens of the response: what the caller
// expects within what it allows, or half of what it allows if it states no
// expectation.
func (r *request) outputTokens() int64 {
	limit := r.caller.OutputTokens
	switch expected := r.caller.ExpectedOutputTokens; {
	case expected > 0 && limit > 0:
		return min(expected, limit)
	case expected > 0:
		return expected
	case limit > 0:
		return max(1, limit/2)
	}
	return defaultOutputTokens
}

// estimatedValue estimates the value of work that another gateway has shared.
func estimatedValue(w enginemodel.Work) float64 {
	return placement.EstimateValue(w.PromptTokens, w.OutputTokens)
}
