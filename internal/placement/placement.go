// Package placement decides which engine, and with how many helpers, runs a
// model request.
//
// Every gateway decides alone, on the work that it and the others have sent.
// The decision is greedy on predicted worth: what the request loses where its
// first event comes late, and what the requests that are already at an engine
// lose by the read. Short requests are packed onto engines that serve short
// requests already, so that others stay free of writers whose pauses a long
// read would break. The package is pure.
package placement

import (
	"cmp"
	"math"
	"slices"

	"bilberryhub/internal/enginemodel"
	"bilberryhub/internal/manifest"
)

const (
	// lateShare is the share of its worth that a late answer keeps. The users
	// state about a quarter for every kind of generation.
	lateShare = 0.25
	// MaxHelpers is the largest number of helpers that an engine takes.
	MaxHelpers = 16
	// rankWorth is the price of the engines at the far end of the common order, in
	// units of worth. Short reads fill engines from one end and long ones from the
	// other, so that few engines have both.
	rankWorth = 0.7
	// shortReadMs divides short from long reads: a long one breaks the pauses that
	// callers of short answers accept. A short one has no helpers: it would gain
	// little time and depend on every engine that takes part.
	shortReadMs = 160
	// farWorth is the price of leaving the own failure domain.
	farWorth = 0.002
	// fullShare is the share of the slots above which an engine is used only when
	// no other one is better.
	fullShare = 0.8
	// crowdWorth is the price of an engine above fullShare.
	crowdWorth = 0.05
	// coldWorth is the price of a cold engine.
	coldWorth = 0.1
	// splitWorth is the price of each helper, for its disturbance of requests
	// that arrive during the read.
	splitWorth = 0.0005
	// queuePlaces is how many requests may wait at an engine beyond its slots.
	queuePlaces = 8
	// earlyWorth is what an objective's time is worth within the objective, as a
	// share of the request's worth: a read that ends earlier leaves the engines to
	// those that follow.
	earlyWorth = 0.08
	// waitMargin is how much more of its worth a long prompt must lose now than after
	// WaitStepMs for it to wait: little less than all, as many waiting prompts meet
	// again at the first moment that suits them.
	waitMargin = 0.8
	// waitParts is the number of engines that are taken to read a prompt that has
	// waited, and waitFactor how much longer than the reading alone they need.
	waitParts  = 8
	waitFactor = 1.2
	// minPartTokens is the smallest part worth a helper. A part goes ahead of the
	// reads that wait at an engine, so that it may help a short prompt as well.
	minPartTokens = 1_000
)

// WaitStepMs is the time until a request that waits is decided about again: about
// one pass of an engine with writers.
const WaitStepMs = 50.0

// Engine is one candidate.
type Engine struct {
	// Index is the caller's reference to the backend server.
	Index int
	Load  *enginemodel.Load
	Slots int
	// Rank is the place in the order that all gateways share, from 0 to 1.
	Rank float64
	// Far is set outside the caller's own failure domain.
	Far bool
	// Risk is added worth lost, for an engine that is suspected to be ill.
	Risk float64
	// Cold is set while the engine bears few requests only: it helps nobody.
	Cold bool
}

// Request is what has to be placed.
type Request struct {
	PromptTokens, OutputTokens float64
	// ObjectiveMs is the objective for the first event counted from now, and
	// AbandonMs when the caller leaves without one.
	ObjectiveMs, AbandonMs float64
	Worth                  float64
}

// Choice is the decision.
type Choice struct {
	// First runs the request; Helpers read parts of the prompt.
	First   int
	Helpers []int
	// Holders is the number of helpers, from the first one on, that hold
	// HeldTokens of the prompt's memory each.
	Holders    int
	HeldTokens float64
	// FirstEventMs is the predicted time to the first event.
	FirstEventMs float64
	// LossWorth is what the decision costs in worth.
	LossWorth float64
	// Wait is set when the request loses less by a later decision.
	Wait bool
}

// Worth estimates what a generation is worth to callers: they state it in
// proportion to the tokens read and ten times the tokens written.
func Worth(promptTokens, outputTokens float64) float64 {
	return max(0.1, (promptTokens+10*outputTokens)/worthUnitTokens)
}

// worthUnitTokens is the size of a generation worth one plain request.
const worthUnitTokens = 14_000

// splits are the numbers of engines tried for one prompt.
var splits = []int{1, 2, 3, 4, 5, 6, 8, 10, 12, 16}

type scored struct {
	Engine
	// price is what the engine itself costs, cost also what is lost there.
	first, price, cost float64
	// home is the price of writing the answer there.
	home float64
}

// Choose returns the best placement, or false when no engine can hold the
// request.
func Choose(spec *manifest.Engine, r Request, engines []Engine, now float64) (Choice, bool) {
	best, found := Choice{LossWorth: math.Inf(1)}, false
	holders, held := r.split(spec)
	for _, parts := range splits {
		if parts < holders+1 {
			continue
		}
		if parts > len(engines) || parts > MaxHelpers+1 {
			break
		}
		if parts > 1 && holders == 0 && !long(spec, r) {
			break
		}
		part := r.PromptTokens / float64(parts)
		if parts > 1 && part < minPartTokens {
			break
		}
		if c, ok := chooseParts(spec, r, engines, parts, part, now, holders, held); ok && c.LossWorth < best.LossWorth {
			best, found = c, true
		}
	}
	best.Wait = found && long(spec, r) && best.LossWorth > r.waitLoss(spec, len(engines))+waitMargin*r.Worth
	return best, found
}

// long reports whether one engine needs long for the prompt.
func long(spec *manifest.Engine, r Request) bool {
	return enginemodel.ReadMs(spec, r.PromptTokens, r.PromptTokens) > shortReadMs
}

// waitLoss is what a request loses that waits for WaitStepMs and is then read by
// many engines that do nothing else.
func (r Request) waitLoss(spec *manifest.Engine, engines int) float64 {
	parts := min(float64(engines), waitParts)
	read := waitFactor * enginemodel.ReadMs(spec, r.PromptTokens, r.PromptTokens) / parts
	return r.loss(WaitStepMs + read + enginemodel.PassMs(spec, 1, 0))
}

// chooseParts returns the best placement on a given number of engines.
func chooseParts(
	spec *manifest.Engine, r Request, engines []Engine, parts int, part, now float64, holders int, held float64,
) (Choice, bool) {
	rows := make([]scored, 0, len(engines))
	first := -1
	for _, e := range engines {
		s := score(spec, r, e, part, now)
		if !holds(spec, r, e, held*float64(holders)) {
			rows = append(rows, s)
			continue
		}
		home := homeCost(spec, r, e)
		s.cost += home
		s.home = home
		rows = append(rows, s)
		if first < 0 || s.cost < rows[first].cost {
			first = len(rows) - 1
		}
	}
	if first < 0 {
		return Choice{}, false
	}
	harm := map[uint64]float64{}
	c := Choice{First: rows[first].Index}
	c.add(r, rows[first], part, now, harm)
	c.FirstEventMs += slotWaitMs(r, rows[first].Engine)
	c.LossWorth += rows[first].home
	rows = slices.Delete(rows, first, first+1)
	for i := range rows {
		rows[i].cost -= rows[i].home
	}
	slices.SortFunc(rows, func(a, b scored) int { return cmp.Compare(a.cost, b.cost) })
	if !moveHolders(spec, rows, holders, held) {
		return Choice{}, false
	}
	c.Holders, c.HeldTokens = holders, held
	for _, s := range rows {
		if len(c.Helpers) == parts-1 {
			break
		}
		if s.Cold {
			continue
		}
		c.Helpers = append(c.Helpers, s.Index)
		c.add(r, s, part, now, harm)
	}
	for _, lost := range harm {
		c.LossWorth += lost
	}
	c.LossWorth += r.loss(c.FirstEventMs) + splitWorth*r.Worth*float64(len(c.Helpers))
	return c, len(c.Helpers) == parts-1
}

// add counts one engine. A request that is delayed at several engines loses its
// worth once.
func (c *Choice) add(r Request, s scored, part, now float64, harm map[uint64]float64) {
	c.FirstEventMs = max(c.FirstEventMs, s.first)
	c.LossWorth += s.price
	s.Load.Harm(r.PromptTokens, part, now, lateShare, func(request uint64, worth float64) {
		harm[request] = max(harm[request], worth)
	})
}

// score returns what a part at one engine costs.
func score(spec *manifest.Engine, r Request, e Engine, part, now float64) scored {
	s := scored{Engine: e, first: e.Load.FirstEventMs(r.PromptTokens, part)}
	s.price = e.Risk
	if e.Far {
		s.price += farWorth * r.Worth
	}
	if e.Cold {
		s.price += coldWorth * r.Worth
	}
	s.cost = s.price + r.loss(s.first)
	e.Load.Harm(r.PromptTokens, part, now, lateShare, func(_ uint64, worth float64) { s.cost += worth })
	return s
}

// slotWaitMs is the expected wait for a slot of an engine.
func slotWaitMs(r Request, e Engine) float64 {
	over := e.Load.Open - e.Slots + 1
	if over <= 0 {
		return 0
	}
	return float64(over) * e.Load.WriteMs(r.OutputTokens) / float64(e.Slots)
}

// homeCost is the price of writing the answer at an engine. While an engine
// writes, each read there makes its callers pause, so answers are kept together:
// short ones at one end of the common order, long ones at the other.
func homeCost(spec *manifest.Engine, r Request, e Engine) float64 {
	rank := e.Rank
	if long(spec, r) {
		rank = 1 - rank
	}
	cost := rankWorth * rank
	if over := float64(e.Load.Open) - fullShare*float64(e.Slots); over >= 0 {
		cost += crowdWorth * r.Worth * (1 + over)
	}
	return cost
}

// memoryShare is the share of an engine's memory that a prompt may need before
// other engines hold a part of it.
const memoryShare = 0.97

// split returns how many helpers have to hold memory of a prompt that is larger
// than one engine, and how many tokens each.
func (r Request) split(spec *manifest.Engine) (holders int, held float64) {
	need, capacity := r.PromptTokens+r.OutputTokens, memoryShare*float64(spec.CapacityTokens)
	if capacity <= 0 || need <= capacity {
		return 0, 0
	}
	engines := math.Ceil(need / capacity)
	return int(engines) - 1, math.Ceil(r.PromptTokens / engines)
}

// moveHolders brings helpers with room for a part of the memory to the front, the
// cheapest first.
func moveHolders(spec *manifest.Engine, rows []scored, holders int, held float64) bool {
	found := 0
	for i := 0; i < len(rows) && found < holders; i++ {
		if rows[i].Cold || rows[i].Load.MemoryTokens+held > float64(spec.CapacityTokens) {
			continue
		}
		row := rows[i]
		copy(rows[found+1:i+1], rows[found:i])
		rows[found] = row
		found++
	}
	return found == holders
}

// holds reports whether an engine has a place and the memory for the request,
// less what other engines hold.
func holds(spec *manifest.Engine, r Request, e Engine, elsewhere float64) bool {
	need := r.PromptTokens + r.OutputTokens - elsewhere
	if float64(spec.CapacityTokens) < need {
		return false
	}
	return e.Load.Open < e.Slots+queuePlaces && e.Load.MemoryTokens+need <= float64(spec.CapacityTokens)
}

// loss returns the worth lost when the first event comes after ms. It is
// smooth, because predictions have errors.
func (r Request) loss(ms float64) float64 {
	late := ramp(ms, 0.6*r.ObjectiveMs, 1.05*r.ObjectiveMs)
	gone := ramp(ms, 0.7*r.AbandonMs, r.AbandonMs)
	// A small slope prefers the earlier of two placements in time.
	return r.Worth * ((1-lateShare)*late + lateShare*gone + earlyWorth*ms/max(r.ObjectiveMs, 1))
}

// ramp rises from 0 at low to 1 at high.
func ramp(x, low, high float64) float64 {
	if high <= low {
		return 0
	}
	return min(1, max(0, (x-low)/(high-low)))
}
