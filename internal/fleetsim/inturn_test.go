package fleetsim

import (
	"math/rand/v2"

	"bilberryhub/internal/enginemodel"
)

// Parameters of the baseline: the number of engines that it reserves for short
// prompts, the longest prefill backlog of an engine at which the next long prompt
// starts, and the step of the simulation.
const (
	inTurnShortEngines = 2
	inTurnBacklogMs    = 150
	inTurnTickMs       = 5
)

// simulateInTurn is a baseline: short prompts have engines of their own, and each
// other prompt is prefilled by all remaining engines together, one prompt after
// the other.
func simulateInTurn() []*Request {
	var out []*Request
	for seed := uint64(1); seed <= testSeedCount; seed++ {
		out = append(out, simulateInTurnSeed(seed)...)
	}
	return out
}

// simulateInTurnSeed simulates the baseline with one seed, at the load of longPhase,
// and returns its requests.
func simulateInTurnSeed(seed uint64) []*Request {
	f := New(testEngine, testClasses, testEngineCount)
	rng := rand.New(rand.NewPCG(seed, 1))
	nextMs := make([]float64, len(testClasses))
	drawIntervalMs := func(i int) float64 {
		return interarrivalMs(rng, testClasses[i].RequestsPerSecond*longPhase[0].Factors[i])
	}
	for i := range nextMs {
		nextMs[i] = drawIntervalMs(i)
	}
	var queue []*Request
	for now := 0.0; now < longPhase[0].UntilMs+15_000; now += inTurnTickMs {
		f.Advance(now)
		for i, c := range testClasses {
			for nextMs[i] <= now && now < longPhase[0].UntilMs {
				f.nextID++
				r := &Request{
					Class: i, ArrivedMs: nextMs[i], PromptTokens: c.drawPromptTokens(rng), OutputTokens: c.OutputTokens * (0.4 + 1.2*rng.Float64()), id: f.nextID,
				}
				f.Requests = append(f.Requests, r)
				nextMs[i] += drawIntervalMs(i)
				if i == short {
					f.prefillOn(r, []int{f.leastLoaded(0, inTurnShortEngines)})
				} else {
					queue = append(queue, r)
				}
			}
		}
		for len(queue) > 0 && f.maxBacklogMs(inTurnShortEngines) <= inTurnBacklogMs {
			f.prefillOnAll(queue[0])
			queue = queue[1:]
		}
	}
	return f.Requests
}

// prefillOnAll splits a prompt over all engines that are not reserved for short prompts.
func (f *Fleet) prefillOnAll(r *Request) {
	primary := f.leastLoaded(inTurnShortEngines, len(f.engines))
	indexes := []int{primary}
	for k := inTurnShortEngines; k < len(f.engines); k++ {
		if k != primary {
			indexes = append(indexes, k)
		}
	}
	f.prefillOn(r, indexes)
}

// prefillOn splits a prompt over engines, the first of which decodes.
func (f *Fleet) prefillOn(r *Request, engines []int) {
	partTokens := r.PromptTokens / float64(len(engines))
	r.primary = f.engines[engines[0]]
	for i, index := range engines {
		part := &promptPart{request: r, engine: f.engines[index], leftMs: enginemodel.PrefillMs(f.Spec, r.PromptTokens, partTokens)}
		part.Work = enginemodel.Work{Request: r.id, SentMs: f.now, PromptTokens: r.PromptTokens, PartTokens: partTokens, Helper: i > 0}
		r.parts = append(r.parts, part)
		r.pendingParts++
		part.engine.parts = append(part.engine.parts, part)
		if !part.engine.inPass {
			f.startPass(part.engine)
		}
	}
}

// backlogMs returns the prefill time that remains at an engine.
func (f *Fleet) backlogMs(i int) float64 {
	sum := 0.0
	for _, part := range f.engines[i].parts {
		if !part.done && !part.Decoding {
			sum += part.leftMs
		}
	}
	return sum
}

// maxBacklogMs returns the longest backlog of the engines from the given index on.
func (f *Fleet) maxBacklogMs(from int) float64 {
	longest := 0.0
	for k := from; k < len(f.engines); k++ {
		longest = max(longest, f.backlogMs(k))
	}
	return longest
}

// leastLoaded returns the index of the engine in [from, to) with the lowest load:
// its prefill backlog in ms, plus 10 ms for each decoding request.
func (f *Fleet) leastLoaded(from, to int) int {
	load := func(k int) float64 { return 10*float64(len(f.engines[k].decoding)) + f.backlogMs(k) }
	best := from
	for k := from + 1; k < to; k++ {
		if load(k) < load(best) {
			best = k
		}
	}
	return best
}
