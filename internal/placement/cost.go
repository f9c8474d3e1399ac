package placement

import (
	"math"

	"bilberryhub/internal/manifest"
)

// Cost is what Choose compares to find the engine that runs a request, by part. Costs are
// expected losses of value, in plain requests.
type Cost struct {
	// Index is that of the Engine.
	Index int
	// CanHold is set if the engine has room in its queue and memory. Others are not chosen
	// to run the request, whatever they cost.
	CanHold bool
	// FirstEventMs is the predicted time to the first event, without SlotWaitMs, the
	// expected wait for a slot.
	FirstEventMs, SlotWaitMs float64
	// FirstEvent is the loss because of the time to the first event.
	FirstEvent float64
	// Others is the loss of the requests at the engine because of the prefill.
	Others float64
	// Packing is the cost of the engine's place in the order that all gateways share.
	Packing float64
	// Busy is the cost of nearly all slots being in use.
	Busy float64
	// Remote, Cold and Risk apply to engines with these properties.
	Remote, Cold, Risk float64
	// SlotWait is the loss because of the wait for a slot, if the policy counts it.
	SlotWait float64
}

// Total returns the sum of the parts.
func (c *Cost) Total() float64 {
	return c.FirstEvent + c.Others + c.Packing + c.Busy + c.Remote + c.Cold + c.Risk + c.SlotWait
}

// Costs returns the cost of each engine for a prompt that is divided among a number of
// engines, as Choose compares it. now is in ms on the clock of the engines' Work. It is for
// explanations: Choose needs no parts.
func (p Policy) Costs(spec *manifest.Engine, r Request, engines []Engine, parts int, now float64) []Cost {
	if !isLong(spec, r) {
		engines = p.spreadShort(engines)
	}
	holders, heldTokens := r.splitMemory(spec)
	partTokens := r.PromptTokens / float64(parts)
	out := make([]Cost, 0, len(engines))
	for _, e := range engines {
		s := p.score(spec, r, e, partTokens, now)
		c := Cost{
			Index: e.Index, CanHold: canHold(spec, r, e, heldTokens*float64(holders)), FirstEventMs: s.firstEventMs,
			SlotWaitMs: slotWaitMs(r, e), FirstEvent: r.loss(s.firstEventMs), Risk: e.Risk,
		}
		e.Load.VisitLosses(r.PromptTokens, partTokens, now, lateValueShare, func(_ uint64, lost float64) { c.Others += lost })
		if e.Remote {
			c.Remote = p.remoteShare() * r.Value
		}
		if e.Cold {
			c.Cold = coldCostShare * r.Value
		}
		// With any number of slots the engine is not busy.
		idle := e
		idle.Slots = math.MaxInt
		c.Packing = decodeCostOn(spec, r, idle)
		c.Busy = decodeCostOn(spec, r, e) - c.Packing
		if p.SlotWait {
			c.SlotWait = r.loss(s.firstEventMs+c.SlotWaitMs) - c.FirstEvent
		}
		out = append(out, c)
	}
	return out
}

// Parts returns the number of engines among which the choice divides the prompt.
func (c Choice) Parts() int { return 1 + len(c.Helpers) }

// MinParts returns the smallest number of engines whose memory holds the request.
func (r Request) MinParts(spec *manifest.Engine) int {
	holders, _ := r.splitMemory(spec)
	return 1 + holders
}
