package placement

import (
	"math"
	"math/rand/v2"
	"testing"

	"bilberryhub/internal/enginemodel"
)

// randomEngines returns engines in all conditions, some of them full.
func randomEngines(rng *rand.Rand) []Engine {
	var out []Engine
	for i := range 1 + rng.IntN(20) {
		var works []enginemodel.Work
		for k := range rng.IntN(26) {
			prompt := 2_000 + 60_000*rng.Float64()*rng.Float64()
			works = append(works, enginemodel.Work{
				Request: uint64(100*i + k), SentMs: -500 * rng.Float64(), PromptTokens: prompt, PartTokens: prompt,
				OutputTokens: 300, Decoding: k%4 > 0, PauseMs: 250, ObjectiveMs: 280, Value: EstimateValue(prompt, 300),
			})
		}
		out = append(out, Engine{
			Index: i, Slots: 16, Rank: rng.Float64(), Load: enginemodel.NewLoad(testSpec, works, 0, 1+rng.Float64()),
			Remote: rng.IntN(3) == 0, Cold: rng.IntN(5) == 0, Risk: rng.Float64() * float64(rng.IntN(2)),
		})
	}
	return out
}

// Guards against an explanation that differs from the choice: the engine that Choose takes
// must be the one with the lowest total among those that can hold the request, for any
// number of helpers and with each policy.
func TestCostsExplainTheChoice(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	chosen, split := 0, 0
	for range 2_000 {
		policy := Policy{SlotWait: rng.IntN(2) == 0}
		list := randomEngines(rng)
		r := request([]float64{500, 5_000, 45_000, 260_000, 700_000}[rng.IntN(5)], []float64{300, 1500, 6000}[rng.IntN(3)])
		choice, ok := policy.Choose(testSpec, r, list, 0)
		parts := r.MinParts(testSpec)
		if ok {
			parts = choice.Parts()
		}
		best, lowest := -1, math.Inf(1)
		for _, c := range policy.Costs(testSpec, r, list, parts, 0) {
			if c.CanHold && c.Total() < lowest {
				best, lowest = c.Index, c.Total()
			}
		}
		if !ok {
			if best >= 0 && parts == 1 {
				t.Fatalf("nothing is chosen although engine %d can hold the request", best)
			}
			continue
		}
		chosen++
		if parts > 1 {
			split++
		}
		if best != choice.First {
			t.Fatalf("engine %d has the lowest cost of %d parts, %d is chosen", best, parts, choice.First)
		}
	}
	if chosen < 1_000 || split < 100 {
		t.Errorf("%d choices, %d of them with helpers, so that the test shows little", chosen, split)
	}
}

// Guards against a part that is missing or counted twice when the costs change: the parts
// add up to the cost that Choose compares.
func TestPartsOfCostsAddUp(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	for range 200 {
		list := randomEngines(rng)
		r := request(45_000, 1500)
		for i, c := range (Policy{}).Costs(testSpec, r, list, 2, 0) {
			want := (Policy{}).score(testSpec, r, list[i], 22_500, 0).cost + decodeCostOn(testSpec, r, list[i])
			if math.Abs(c.Total()-want) > 1e-9*max(1, want) {
				t.Fatalf("the parts add up to %v, the cost is %v: %+v", c.Total(), want, c)
			}
		}
	}
}
