// Package fleetsim is a discrete-event simulation of a fleet of model engines,
// one forward pass at a time. It evaluates placement policies without network or
// clock; the decisions themselves are made by package placement.
//
// The engines follow the published description: a pass with decoding requests
// emits one event for each of them and prefills up to one chunk of prompt tokens
// in each of its steps. Parts of prompts that are split over several engines are
// prefilled before all other waiting prompts, newest first.
//
// All times are in milliseconds. Points in time count from the start of the
// simulation.
package fleetsim

import (
	"container/heap"
	"math"
	"slices"

	"bilberryhub/internal/enginemodel"
	"bilberryhub/internal/manifest"
	"bilberryhub/internal/placement"
)

// Class describes a kind of request: its arrival rate, the mean, coefficient of
// variation and upper bound of its prompt length in tokens, the mean length of its
// output in tokens, and its objectives. ObjectiveMs is the objective for the first
// event, PauseMs the one for the longest pause between events, and AbandonMs the
// time after which a caller without a first event disconnects.
type Class struct {
	Name                                           string
	RequestsPerSecond                              float64
	PromptTokens, PromptVariation, MaxPromptTokens float64
	OutputTokens                                   float64
	ObjectiveMs, PauseMs, AbandonMs                float64
}

// Request is one request of a run, with its outcome. FirstMs is the time from
// arrival to the first event, PauseMs the longest pause between events, and
// PredictedMs the time to the first event that placement predicted.
type Request struct {
	Class                     int
	ArrivedMs                 float64
	PromptTokens              float64
	OutputTokens              float64
	FirstMs, PauseMs, EndedMs float64
	PredictedMs               float64
	Helpers                   int
	Refused                   bool
	// ChosenMs is when the engine was chosen, OpenAtChoice the number of requests that
	// it held then, and FreeShare the share of all slots that were free then.
	ChosenMs     float64
	OpenAtChoice int
	FreeShare    float64

	id              uint64
	gateway         int
	pendingParts    int
	primary         *engine
	parts           []*promptPart
	generatedTokens float64
	// retryMs is when the placement of a waiting request is tried again.
	retryMs     float64
	lastEventMs float64
}

// MeetsObjectives reports whether a request met the objectives of its class.
func (r *Request) MeetsObjectives(c Class) bool {
	return !r.Refused && r.FirstMs > 0 && r.FirstMs <= c.ObjectiveMs && r.PauseMs <= c.PauseMs
}

// promptPart is the part of a prompt that one engine prefills. leftMs is the
// prefill time that remains, and done is set when none does.
type promptPart struct {
	enginemodel.Work
	request *Request
	engine  *engine
	leftMs  float64
	done    bool
}

// endedPart is an ended part of a prompt, at the gateway that sent it.
type endedPart struct {
	enginemodel.Work
	gateway int
	endedMs float64
}

// engine is one simulated engine. It holds the parts of open requests, ended parts
// that load predictions may still need, and the requests that are decoding.
type engine struct {
	index     int
	parts     []*promptPart
	ended     []endedPart
	passEndMs float64
	// completing holds the parts whose prefill the current pass completes.
	completing []*promptPart
	decoding   []*Request
	inPass     bool
}

// Fleet is a simulated fleet of engines. It is not safe for concurrent use.
type Fleet struct {
	Spec    *manifest.Engine
	Classes []Class
	engines []*engine
	passes  passQueue
	now     float64
	nextID  uint64
	// waiting holds the requests that are not placed on an engine yet.
	waiting []*Request
	// Requests holds all requests that have arrived.
	Requests []*Request
	// Slots is the number of requests that an engine runs concurrently.
	Slots int
	// OutOfService holds the indexes of engines that get no new requests.
	OutOfService map[int]bool
	// Policy is the policy of the choices.
	Policy placement.Policy
	// Gateways choose, each on its own view; nil means one chooser that knows all.
	Gateways *Gateways
	// QueuesForSlots is set if requests beyond the slots of an engine wait for a slot
	// before their prefill, in order of arrival.
	QueuesForSlots bool
	// Slowness holds a factor on all times of each engine; nil means 1. Choices use
	// it if IsSlownessKnown is set.
	Slowness        []float64
	IsSlownessKnown bool
}

// New returns an idle fleet of the given number of engines.
func New(spec *manifest.Engine, classes []Class, engines int) *Fleet {
	f := &Fleet{Spec: spec, Classes: classes, Slots: max(1, spec.Slots), OutOfService: map[int]bool{}}
	for i := range engines {
		f.engines = append(f.engines, &engine{index: i})
	}
	return f
}

// Arrive advances the simulation to the time at, in ms, and places a request with
// the given numbers of prompt and output tokens.
func (f *Fleet) Arrive(class int, at, prompt, output float64) {
	f.advanceAndRetry(at)
	f.nextID++
	r := &Request{Class: class, ArrivedMs: at, PromptTokens: prompt, OutputTokens: output, id: f.nextID}
	f.Requests = append(f.Requests, r)
	if f.Gateways != nil {
		r.gateway = f.Gateways.pick(at)
		if retryMs := f.Gateways.frozenUntilMs(r.gateway, at); retryMs > at {
			f.placeLater(r, retryMs)
			return
		}
	}
	f.place(r)
}

// placeLater places a request at a later time, in ms.
func (f *Fleet) placeLater(r *Request, at float64) {
	r.retryMs = at
	f.waiting = append(f.waiting, r)
}

// advanceAndRetry advances to the time to, in ms, and retries the placement of
// waiting requests whose retry time falls within it.
func (f *Fleet) advanceAndRetry(to float64) {
	for {
		first := -1
		for i, r := range f.waiting {
			if first < 0 || r.retryMs < f.waiting[first].retryMs {
				first = i
			}
		}
		if first < 0 || f.waiting[first].retryMs > to {
			f.Advance(to)
			return
		}
		r := f.waiting[first]
		f.waiting = slices.Delete(f.waiting, first, first+1)
		f.Advance(r.retryMs)
		f.place(r)
	}
}

// place chooses engines for a request and assigns the parts of its prompt to
// them. The request may instead be refused or wait for a later retry.
func (f *Fleet) place(r *Request) {
	at, prompt, output := f.now, r.PromptTokens, r.OutputTokens
	c := f.Classes[r.Class]
	value := placement.EstimateValue(prompt, output)
	elapsed := at - r.ArrivedMs
	candidates := f.candidates(r.gateway)
	choice, ok := f.Policy.Choose(f.Spec, placement.Request{
		PromptTokens: prompt, OutputTokens: output, ObjectiveMs: max(1, c.ObjectiveMs-elapsed), AbandonMs: c.AbandonMs - elapsed, Value: value,
	}, candidates, at)
	if ok && choice.Defer && f.Gateways.mayDefer(elapsed, c.ObjectiveMs) {
		f.placeLater(r, at+f.Gateways.deferStepMs())
		return
	}
	if !ok {
		r.Refused = true
		return
	}
	r.ChosenMs, r.OpenAtChoice, r.FreeShare = at, f.engines[choice.First].openRequests(), f.freeShare()
	f.Gateways.recordNew(r.gateway, at)
	r.PredictedMs, r.Helpers, r.primary = choice.FirstEventMs, len(choice.Helpers), f.engines[choice.First]
	partTokens := prompt / float64(1+len(choice.Helpers))
	for i, index := range append([]int{choice.First}, choice.Helpers...) {
		part := &promptPart{request: r, engine: f.engines[index], leftMs: enginemodel.PrefillMs(f.Spec, prompt, partTokens)}
		part.Work = enginemodel.Work{
			Request: r.id, SentMs: at, PromptTokens: prompt, PartTokens: partTokens, OutputTokens: output, Helper: i > 0,
			PauseMs: c.PauseMs, ObjectiveMs: c.ObjectiveMs, Value: value,
		}
		r.parts = append(r.parts, part)
		r.pendingParts++
		part.engine.parts = append(part.engine.parts, part)
		if !part.engine.inPass {
			f.startPass(part.engine)
		}
	}
}

// candidates returns the engines in service, with their load, as a gateway sees them.
func (f *Fleet) candidates(gateway int) []placement.Engine {
	if f.Gateways != nil {
		return f.Gateways.candidates(f, gateway)
	}
	var out []placement.Engine
	for _, e := range f.engines {
		if f.OutOfService[e.index] {
			continue
		}
		var parts []enginemodel.Work
		oldest := math.Inf(1)
		for _, part := range e.parts {
			parts = append(parts, part.Work)
			if !part.Decoding {
				oldest = min(oldest, part.SentMs)
			}
		}
		for _, part := range e.ended {
			if part.DoneMs > oldest {
				parts = append(parts, part.Work)
			}
		}
		out = append(out, placement.Engine{
			Index: e.index, Slots: f.Slots, Rank: (float64(e.index) + 0.5) / float64(len(f.engines)),
			Load: enginemodel.NewLoad(f.Spec, parts, f.now, f.knownSlowness(e.index)),
		})
	}
	return out
}

// openRequests returns the number of requests at an engine, without the parts that it
// prefills for others.
func (e *engine) openRequests() int {
	n := 0
	for _, part := range e.parts {
		if !part.Helper {
			n++
		}
	}
	return n
}

// freeShare returns the share of the slots of all engines that are free.
func (f *Fleet) freeShare() float64 {
	free := 0
	for _, e := range f.engines {
		free += max(0, f.Slots-e.openRequests())
	}
	return float64(free) / float64(f.Slots*len(f.engines))
}

// slowness returns the factor on the times of an engine, knownSlowness what choices
// know of it.
func (f *Fleet) slowness(i int) float64 {
	if f.Slowness == nil {
		return 1
	}
	return f.Slowness[i]
}

func (f *Fleet) knownSlowness(i int) float64 {
	if !f.IsSlownessKnown {
		return 1
	}
	return f.slowness(i)
}

// Advance simulates all passes that end at or before the time to, in ms.
func (f *Fleet) Advance(to float64) {
	for len(f.passes) > 0 && f.passes[0].passEndMs <= to {
		next := heap.Pop(&f.passes).(*engine)
		f.now = next.passEndMs
		f.endPass(next)
	}
	f.now = to
}

// passQueue is a heap of the engines that are in a pass, by its end and the index.
type passQueue []*engine

func (q passQueue) Len() int { return len(q) }
func (q passQueue) Less(i, j int) bool {
	if q[i].passEndMs != q[j].passEndMs {
		return q[i].passEndMs < q[j].passEndMs
	}
	return q[i].index < q[j].index
}
func (q passQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *passQueue) Push(e any)   { *q = append(*q, e.(*engine)) }
func (q *passQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

// prefillOrder returns the parts that wait at an engine, in the order of prefill,
// without requests that wait for one of its slots.
func (e *engine) prefillOrder(slots int) []*promptPart {
	var split, whole []*promptPart
	open := 0
	for _, part := range e.parts {
		if !part.Helper {
			open++
		}
		switch {
		case !part.Helper && open > slots:
		case part.done || part.Decoding:
		case part.PartTokens < part.PromptTokens:
			split = append(split, part)
		default:
			whole = append(whole, part)
		}
	}
	slices.Reverse(split)
	return append(split, whole...)
}

// startPass starts the next pass of an engine, or leaves the engine idle if there is no work.
func (f *Fleet) startPass(e *engine) {
	steps, contextTokens, slots := 1, 0.0, math.MaxInt
	if f.QueuesForSlots {
		slots = f.Slots
	}
	if len(e.decoding) > 0 {
		steps = f.Spec.Stride
		for _, r := range e.decoding {
			contextTokens += r.PromptTokens + r.generatedTokens
		}
	}
	durationMs := enginemodel.PassMs(f.Spec, len(e.decoding), contextTokens) / float64(max(1, f.Spec.Stride)) * float64(steps)
	tokens := float64(steps) * float64(f.Spec.ChunkTokens)
	e.completing = nil
	for _, part := range e.prefillOrder(slots) {
		if tokens <= 0 {
			break
		}
		perTokenMs := enginemodel.PrefillMs(f.Spec, part.PromptTokens, part.PartTokens) / part.PartTokens
		spentMs := min(part.leftMs, tokens*perTokenMs)
		part.leftMs -= spentMs
		tokens -= spentMs / perTokenMs
		durationMs += spentMs
		if part.leftMs <= 1e-9 {
			part.done = true
			e.completing = append(e.completing, part)
		}
	}
	if len(e.decoding) == 0 && len(e.completing) == 0 && len(e.prefillOrder(slots)) == 0 {
		e.inPass = false
		return
	}
	e.inPass, e.passEndMs = true, f.now+durationMs*f.slowness(e.index)
	heap.Push(&f.passes, e)
}

// endPass emits the events of the pass that ends now and starts the next one.
func (f *Fleet) endPass(e *engine) {
	decoding := slices.Clone(e.decoding)
	for _, r := range decoding {
		r.recordEvent(f.now, float64(f.Spec.Stride))
		if r.generatedTokens >= r.OutputTokens {
			f.finish(r)
		}
	}
	for _, part := range e.completing {
		if part.request.pendingParts--; part.request.pendingParts == 0 {
			f.startDecoding(part.request)
		}
	}
	e.completing = nil
	f.startPass(e)
}

// startDecoding records the first event of a request whose whole prompt has been
// prefilled, and moves it to the decoding requests of its primary engine.
func (f *Fleet) startDecoding(r *Request) {
	r.FirstMs, r.lastEventMs = f.now-r.ArrivedMs, f.now
	for i, part := range r.parts {
		if i > 0 {
			part.engine.removePart(part, f.now)
			continue
		}
		part.Decoding, part.DoneMs = true, f.now
	}
	f.Gateways.recordProgress(r.gateway, f.now)
	r.primary.decoding = append(r.primary.decoding, r)
	if !r.primary.inPass {
		f.startPass(r.primary)
	}
}

// recordEvent records an event of the request with the given number of tokens.
func (r *Request) recordEvent(now, tokens float64) {
	r.PauseMs = max(r.PauseMs, now-r.lastEventMs)
	r.lastEventMs = now
	r.generatedTokens += tokens
}

// finish ends a request whose output is complete.
func (f *Fleet) finish(r *Request) {
	r.EndedMs = f.now
	r.primary.decoding = slices.DeleteFunc(r.primary.decoding, func(o *Request) bool { return o == r })
	r.primary.removePart(r.parts[0], f.now)
	f.Gateways.recordProgress(r.gateway, f.now)
}

// removePart moves a part from the open parts of the engine to the ended ones, and
// drops ended parts that were done more than 12 s ago.
func (e *engine) removePart(part *promptPart, now float64) {
	e.parts = slices.DeleteFunc(e.parts, func(o *promptPart) bool { return o == part })
	ended := endedPart{Work: part.Work, gateway: part.request.gateway, endedMs: now}
	if !ended.Decoding {
		ended.DoneMs = now
	}
	ended.Ended = true
	e.ended = slices.DeleteFunc(e.ended, func(p endedPart) bool { return p.DoneMs < now-12_000 })
	e.ended = append(e.ended, ended)
}
