// Package placement chooses the engine that runs a model request, and the
// helper engines that prefill parts of its prompt.
//
// Each gateway decides on its own, from the work that it and the other gateways
// have dispatched. The decision is greedy: it minimizes the predicted loss of
// value, which is what the request loses if its first event is late plus what
// the requests already at an engine lose because of the prefill. Short requests
// are packed onto engines that already serve short requests, so that other
// engines stay free of decoding streams whose pauses a long prefill would
// stretch beyond their objective.
//
// The package holds no state, does no I/O and doesn't dispatch anything: the
// caller acts on the returned Choice.
package placement

import (
	"cmp"
	"math"
	"slices"

	"bilberryhub/internal/enginemodel"
	"bilberryhub/internal/manifest"
)

const (
	// lateValueShare is the share of its value that a late response keeps. Users
	// state about a quarter for every kind of generation.
	lateValueShare = 0.25
	// MaxHelpers is the maximum number of helpers of one request.
	MaxHelpers = 16
	// rankCost is the cost of the engine at the far end of the shared order,
	// in units of value. Short prompts fill engines from one end and long ones
	// from the other, so that few engines run both.
	rankCost = 0.7
	// shortPrefillMs separates short from long prefills: a long one stretches
	// pauses beyond what callers of short responses accept. A short one gets no
	// helpers: it would gain little time and depend on every engine that takes
	// part.
	shortPrefillMs = 160
	// maxShortRoom leaves the other end of the shared order to long prompts when nearly
	// all slots are occupied.
	maxShortRoom = 0.75
	// remoteCostShare is the cost of leaving the local failure domain, as a
	// share of the request's value.
	remoteCostShare = 0.002
	// busySlotShare is the share of occupied slots from which an engine is
	// used only if no other one is better.
	busySlotShare = 0.8
	// busyCostShare is the cost of an engine at busySlotShare, and of each open
	// request there beyond it, as a share of the request's value.
	busyCostShare = 0.05
	// coldCostShare is the cost of a cold engine, as a share of the request's
	// value.
	coldCostShare = 0.1
	// helperCostShare is the cost of each helper, as a share of the request's
	// value. It stands for the delay of requests that arrive during the
	// prefill.
	helperCostShare = 0.0005
	// maxQueuedRequests is how many requests may queue at an engine beyond its
	// slots.
	maxQueuedRequests = 8
	// latencyCostShare is the cost of a first event that comes exactly at the
	// objective rather than at once, as a share of the request's value: a
	// prefill that ends earlier frees the engines for the requests that
	// follow.
	latencyCostShare = 0.08
	// deferLossShare is the share of its value by which the loss of placing a
	// long prompt now must exceed the loss of placing it after DeferStepMs for
	// the prompt to be deferred. The share is only a little below 1, because
	// many deferred prompts collide again at the first suitable moment.
	deferLossShare = 0.8
	// deferredEngines is the assumed number of engines that prefill a prompt
	// after it was deferred, and deferredFactor the assumed ratio of the time
	// they take to the prefill time alone.
	deferredEngines = 8
	deferredFactor  = 1.2
	// minPartTokens is the smallest part of a prompt for which a helper is
	// used. Parts go ahead of the prefills that are queued at an engine, so a
	// helper may speed up a short prompt as well.
	minPartTokens = 1_000
)

// DeferStepMs is the time after which a deferred request is placed again, in
// ms: about one pass of an engine with decoding requests.
const DeferStepMs = 50.0

// Policy selects what a choice takes into account beyond the predicted times. The zero
// value takes nothing of it into account.
type Policy struct {
	// SlotWait counts the expected wait for a slot among the costs that are compared.
	// Without it a full engine is chosen as long as its prefills would be in time.
	SlotWait bool `json:"slot_wait"`
	// ShortRoom is the part of the shared order, in multiples of the share of occupied
	// slots, within which short prompts don't prefer the engines nearer to their end.
	// Without it they fill engines at their end while others have most slots free. The
	// part is at most maxShortRoom.
	ShortRoom float64 `json:"short_room"`
	// Spread is the width of the random offset to the position of each engine in the
	// shared order, for short prompts. Without it gateways that don't know of each
	// other's choices yet choose the same engine.
	Spread float64 `json:"spread"`
	// RemoteShare is the cost of leaving the local failure domain, as a share of the
	// request's value. It replaces remoteCostShare if it is larger.
	RemoteShare float64 `json:"remote_share"`
	// SplitWait is the share of its objective for which a prompt that is larger than one
	// engine waits for a moment at which few others lose by it. Without it such a prompt is
	// refused at the first look, which finds decoding requests on most engines.
	SplitWait float64 `json:"split_wait"`
}

// Engine is one candidate engine.
type Engine struct {
	// Index is the caller's reference to the backend server.
	Index int
	Load  *enginemodel.Load
	Slots int
	// Rank is the position in the order that all gateways share, from 0 to 1.
	Rank float64
	// Random is a random number from 0 to 1, drawn by the caller for each choice.
	Random float64
	// Remote is set if the engine is outside the failure domain of the process
	// that places the request.
	Remote bool
	// Risk is the expected loss of value at an engine that is suspected to be
	// unhealthy.
	Risk float64
	// Cold is set while the engine is cold, or has named a limit, and can take only a
	// few requests. It is not used as a helper then.
	Cold bool
}

// Request is a request to be placed.
type Request struct {
	PromptTokens, OutputTokens float64
	// ObjectiveMs is the objective for the first event, and AbandonMs the time
	// after which the caller disconnects if it has received no event. Both count
	// from now.
	ObjectiveMs, AbandonMs float64
	// Value is the value of a response in time, in plain requests.
	Value float64
}

// Choice is a placement decision.
type Choice struct {
	// First is the Index of the engine that runs the request, Helpers those of
	// the engines that prefill parts of the prompt.
	First   int
	Helpers []int
	// Holders is the number of helpers, from the first one on, that hold
	// HeldTokens of the prompt's KV memory each.
	Holders    int
	HeldTokens float64
	// FirstEventMs is the predicted time to the first event.
	FirstEventMs float64
	// Loss is the predicted loss of value, of this request and of others.
	Loss float64
	// Defer is set if the request loses less when it is placed later.
	Defer bool
}

// EstimateValue estimates the value of a generation to its caller, in plain
// requests; see valueUnitTokens. Callers state it in proportion to the prompt
// tokens plus ten times the output tokens.
func EstimateValue(promptTokens, outputTokens float64) float64 {
	return max(0.1, (promptTokens+10*outputTokens)/valueUnitTokens)
}

// valueUnitTokens is the size of a generation whose value equals that of one
// plain request.
const valueUnitTokens = 14_000

// partCounts are the numbers of engines that are tried for one prompt.
var partCounts = []int{1, 2, 3, 4, 5, 6, 8, 10, 12, 16}

type scoredEngine struct {
	Engine
	// baseCost is the cost of using the engine at all; cost adds the losses
	// that the prefill causes there.
	firstEventMs, baseCost, cost float64
	// prefillCost is the cost of a helper, which decodes nothing.
	prefillCost float64
	// decodeCost is the cost of decoding the response on this engine.
	decodeCost float64
}

// Choose returns the placement with the lowest loss, and false if no engine can
// hold the request. now is in ms on the clock of the engines' Work.
func (p Policy) Choose(spec *manifest.Engine, r Request, engines []Engine, now float64) (Choice, bool) {
	if !isLong(spec, r) {
		engines = p.spreadShort(engines)
	}
	best, found := Choice{Loss: math.Inf(1)}, false
	holders, heldTokens := r.splitMemory(spec)
	for _, parts := range partCounts {
		if parts < holders+1 {
			continue
		}
		if parts > len(engines) || parts > MaxHelpers+1 {
			break
		}
		if parts > 1 && holders == 0 && !isLong(spec, r) {
			break
		}
		partTokens := r.PromptTokens / float64(parts)
		if parts > 1 && partTokens < minPartTokens {
			break
		}
		if c, ok := p.chooseParts(spec, r, engines, parts, partTokens, now, holders, heldTokens); ok && c.Loss < best.Loss {
			best, found = c, true
		}
	}
	best.Defer = found && isLong(spec, r) && best.Loss > r.deferredLoss(spec, len(engines))+deferLossShare*r.Value
	return best, found
}

// spreadShort returns the engines with their positions in the order for a short prompt.
func (p Policy) spreadShort(engines []Engine) []Engine {
	if p.ShortRoom <= 0 && p.Spread <= 0 {
		return engines
	}
	open, slots := 0, 0
	for i := range engines {
		open += min(engines[i].Load.OpenRequests, engines[i].Slots)
		slots += engines[i].Slots
	}
	room := min(maxShortRoom, p.ShortRoom*float64(open)/float64(max(1, slots)))
	engines = slices.Clone(engines)
	for i := range engines {
		engines[i].Rank = max(0, engines[i].Rank-room) + p.Spread*engines[i].Random
	}
	return engines
}

// isLong reports whether the prefill of the prompt on a single engine counts as
// long.
func isLong(spec *manifest.Engine, r Request) bool {
	return enginemodel.PrefillMs(spec, r.PromptTokens, r.PromptTokens) > shortPrefillMs
}

// deferredLoss returns the loss of a request that is deferred by DeferStepMs
// and is then prefilled by several engines that are otherwise idle.
func (r Request) deferredLoss(spec *manifest.Engine, engines int) float64 {
	parts := min(float64(engines), deferredEngines)
	prefillMs := deferredFactor * enginemodel.PrefillMs(spec, r.PromptTokens, r.PromptTokens) / parts
	return r.loss(DeferStepMs + prefillMs + enginemodel.PassMs(spec, 1, 0))
}

// chooseParts returns the best placement on a given number of engines.
func (p Policy) chooseParts(
	spec *manifest.Engine, r Request, engines []Engine, parts int, partTokens, now float64, holders int, heldTokens float64,
) (Choice, bool) {
	scores := make([]scoredEngine, 0, len(engines))
	first := -1
	for _, e := range engines {
		s := p.score(spec, r, e, partTokens, now)
		if !canHold(spec, r, e, heldTokens*float64(holders)) {
			scores = append(scores, s)
			continue
		}
		decodeCost := decodeCostOn(spec, r, e)
		s.cost += decodeCost
		if p.SlotWait {
			s.cost += r.loss(s.firstEventMs+slotWaitMs(r, e)) - r.loss(s.firstEventMs)
		}
		s.decodeCost = decodeCost
		scores = append(scores, s)
		if first < 0 || s.cost < scores[first].cost {
			first = len(scores) - 1
		}
	}
	if first < 0 {
		return Choice{}, false
	}
	lostByRequest := map[uint64]float64{}
	c := Choice{First: scores[first].Index}
	c.add(r, scores[first], partTokens, now, lostByRequest)
	c.FirstEventMs += slotWaitMs(r, scores[first].Engine)
	c.Loss += scores[first].decodeCost
	scores = slices.Delete(scores, first, first+1)
	for i := range scores {
		scores[i].cost = scores[i].prefillCost
	}
	slices.SortFunc(scores, func(a, b scoredEngine) int { return cmp.Compare(a.cost, b.cost) })
	if !moveHoldersToFront(spec, scores, holders, heldTokens) {
		return Choice{}, false
	}
	c.Holders, c.HeldTokens = holders, heldTokens
	for _, s := range scores {
		if len(c.Helpers) == parts-1 {
			break
		}
		if s.Cold {
			continue
		}
		c.Helpers = append(c.Helpers, s.Index)
		c.add(r, s, partTokens, now, lostByRequest)
	}
	for _, lost := range lostByRequest {
		c.Loss += lost
	}
	c.Loss += r.loss(c.FirstEventMs) + helperCostShare*r.Value*float64(len(c.Helpers))
	return c, len(c.Helpers) == parts-1
}

// add adds one engine to the choice. A request that is delayed at several
// engines is counted with its largest loss, not with their sum.
func (c *Choice) add(r Request, s scoredEngine, partTokens, now float64, lostByRequest map[uint64]float64) {
	c.FirstEventMs = max(c.FirstEventMs, s.firstEventMs)
	c.Loss += s.baseCost
	s.Load.VisitLosses(r.PromptTokens, partTokens, now, lateValueShare, func(request uint64, lost float64) {
		lostByRequest[request] = max(lostByRequest[request], lost)
	})
}

// score returns the cost of prefilling a part of the prompt on one engine.
func (p Policy) score(spec *manifest.Engine, r Request, e Engine, partTokens, now float64) scoredEngine {
	s := scoredEngine{Engine: e, firstEventMs: e.Load.FirstEventMs(r.PromptTokens, partTokens)}
	s.baseCost = e.Risk
	if e.Remote {
		s.baseCost += p.remoteShare() * r.Value
	}
	if e.Cold {
		s.baseCost += coldCostShare * r.Value
	}
	s.cost = s.baseCost + r.loss(s.firstEventMs)
	e.Load.VisitLosses(r.PromptTokens, partTokens, now, lateValueShare, func(_ uint64, lost float64) { s.cost += lost })
	s.prefillCost = s.cost
	return s
}

// remoteShare returns the cost of leaving the local failure domain, as a share of the
// request's value.
func (p Policy) remoteShare() float64 { return max(remoteCostShare, p.RemoteShare) }

// slotWaitMs returns the expected wait for a slot of an engine.
func slotWaitMs(r Request, e Engine) float64 {
	over := e.Load.OpenRequests - e.Slots + 1
	if over <= 0 {
		return 0
	}
	return float64(over) * e.Load.DecodeMs(r.OutputTokens) / float64(e.Slots)
}

// decodeCostOn returns the cost of decoding the response on an engine. While an
// engine decodes, every prefill there pauses its streams. Responses are therefore
// kept together: short ones at one end of the shared order, long ones at the
// other.
func decodeCostOn(spec *manifest.Engine, r Request, e Engine) float64 {
	rank := e.Rank
	if isLong(spec, r) {
		rank = 1 - rank
	}
	cost := rankCost * rank
	if over := float64(e.Load.OpenRequests) - busySlotShare*float64(e.Slots); over >= 0 {
		cost += busyCostShare * r.Value * (1 + over)
	}
	return cost
}

// memoryShare is the share of an engine's memory that a prompt may need before
// other engines hold a part of it.
const memoryShare = 0.97

// splitMemory returns how many helpers have to hold memory of a prompt that
// doesn't fit one engine, and how many tokens each. Both are 0 if it fits.
func (r Request) splitMemory(spec *manifest.Engine) (holders int, heldTokens float64) {
	need, capacity := r.PromptTokens+r.OutputTokens, memoryShare*float64(spec.CapacityTokens)
	if capacity <= 0 || need <= capacity {
		return 0, 0
	}
	engines := math.Ceil(need / capacity)
	return int(engines) - 1, math.Ceil(r.PromptTokens / engines)
}

// moveHoldersToFront moves the cheapest helpers with room for heldTokens to the
// front of the slice. It reports whether there are enough of them.
func moveHoldersToFront(spec *manifest.Engine, scores []scoredEngine, holders int, heldTokens float64) bool {
	found := 0
	for i := 0; i < len(scores) && found < holders; i++ {
		if scores[i].Cold || scores[i].Load.MemoryTokens+heldTokens > float64(spec.CapacityTokens) {
			continue
		}
		holder := scores[i]
		copy(scores[found+1:i+1], scores[found:i])
		scores[found] = holder
		found++
	}
	return found == holders
}

// canHold reports whether an engine has a free slot or room in its queue, and
// the memory for the request apart from the tokens that other engines hold.
func canHold(spec *manifest.Engine, r Request, e Engine, heldElsewhere float64) bool {
	need := r.PromptTokens + r.OutputTokens - heldElsewhere
	if float64(spec.CapacityTokens) < need {
		return false
	}
	return e.Load.OpenRequests < e.Slots+maxQueuedRequests && e.Load.MemoryTokens+need <= float64(spec.CapacityTokens)
}

// loss returns the value that is lost when the first event comes ms milliseconds
// from now. It rises gradually, because predictions have errors.
func (r Request) loss(ms float64) float64 {
	missed := ramp(ms, 0.6*r.ObjectiveMs, 1.05*r.ObjectiveMs)
	abandoned := ramp(ms, 0.7*r.AbandonMs, r.AbandonMs)
	// A small slope prefers the earlier of two placements that are both in
	// time.
	return r.Value * ((1-lateValueShare)*missed + lateValueShare*abandoned + latencyCostShare*ms/max(r.ObjectiveMs, 1))
}

// ramp rises linearly from 0 at low to 1 at high.
func ramp(x, low, high float64) float64 {
	if high <= low {
		return 0
	}
	return min(1, max(0, (x-low)/(high-low)))
}
