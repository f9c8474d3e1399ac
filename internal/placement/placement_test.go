package placement

import (
	"math/rand/v2"
	"slices"
	"testing"

	"bilberryhub/internal/enginemodel"
	"bilberryhub/internal/manifest"
)

// testSpec prefills a prompt of 182,000 tokens in about 3.9 s.
var testSpec = &manifest.Engine{
	Slots: 16, CapacityTokens: 405_000, StepMs: 1.31, PerSequenceMs: 0.000917, ContextMsPerThousand: 0.00213,
	PrefillTokensPerSecond: 154_000, PairsMsPerMillion: 0.162, ChunkTokens: 2048, Stride: 34,
}

// engines returns n engines that all have the same work.
func engines(n int, works ...enginemodel.Work) []Engine {
	var out []Engine
	for i := range n {
		list := append([]enginemodel.Work(nil), works...)
		out = append(out, Engine{
			Index: i, Slots: 16, Rank: float64(i) / float64(n), Load: enginemodel.NewLoad(testSpec, list, 0, 1),
		})
	}
	return out
}

func request(prompt, objective float64) Request {
	return Request{
		PromptTokens: prompt, OutputTokens: 600, ObjectiveMs: objective, AbandonMs: 4 * objective, Value: EstimateValue(prompt, 600),
	}
}

// A short prompt must not depend on several engines: one that is dead or
// unreachable would stall it for longer than its caller waits, to save a few
// ms.
func TestShortPromptHasNoHelpers(t *testing.T) {
	busy := enginemodel.Work{Request: 1, PromptTokens: 45_000, PartTokens: 45_000, OutputTokens: 600, ObjectiveMs: 1500, PauseMs: 600, Value: 4}
	for name, list := range map[string][]Engine{"idle": engines(8), "busy": engines(8, busy)} {
		c, ok := (Policy{}).Choose(testSpec, request(8_000, 300), list, 0)
		if !ok || len(c.Helpers) > 0 {
			t.Errorf("%s engines: a prompt of 8,000 tokens has %d helpers, found %v", name, len(c.Helpers), ok)
		}
	}
	if c, ok := (Policy{}).Choose(testSpec, request(182_000, 3000), engines(8), 0); !ok || len(c.Helpers) == 0 {
		t.Errorf("a prompt that one engine cannot prefill in time has no helpers, found %v", ok)
	}
}

// A long prompt that would make others miss their objectives if placed now must
// be deferred until their prefills have ended, and a short one must never be
// deferred.
func TestLongPromptIsDeferred(t *testing.T) {
	// Each engine prefills a prompt of its own, which is just in time if
	// nothing goes ahead of it.
	prefilling := func(n int) []Engine {
		var out []Engine
		for i := range n {
			w := enginemodel.Work{
				Request: uint64(i + 1), PromptTokens: 150_000, PartTokens: 150_000, OutputTokens: 600, ObjectiveMs: 3600,
				PauseMs: 1000, Value: EstimateValue(150_000, 600),
			}
			out = append(out, Engine{
				Index: i, Slots: 16, Rank: float64(i) / float64(n), Load: enginemodel.NewLoad(testSpec, []enginemodel.Work{w}, 0, 1),
			})
		}
		return out
	}
	if c, ok := (Policy{}).Choose(testSpec, request(182_000, 3000), prefilling(8), 0); !ok || !c.Defer {
		t.Errorf("a long prompt is not deferred although prefills are just in time: loss %.1f of %.1f, found %v",
			c.Loss, EstimateValue(182_000, 600), ok)
	}
	if c, ok := (Policy{}).Choose(testSpec, request(182_000, 3000), engines(8), 0); !ok || c.Defer {
		t.Errorf("a long prompt is deferred although the engines are idle, found %v", ok)
	}
	if c, _ := (Policy{}).Choose(testSpec, request(5_000, 300), prefilling(8), 0); c.Defer {
		t.Error("a short prompt is deferred")
	}
}

// busyEngines returns n engines of which the first ones hold as many decoding requests as
// stated, and the random numbers of a sequence that is the same in each run.
func busyEngines(n int, rng *rand.Rand, open ...int) []Engine {
	out := engines(n)
	for i, count := range open {
		var works []enginemodel.Work
		for k := range count {
			works = append(works, enginemodel.Work{Request: uint64(100*i + k + 1), PromptTokens: 5_000, PartTokens: 5_000, OutputTokens: 600, Decoding: true})
		}
		out[i].Load = enginemodel.NewLoad(testSpec, works, 0, 1)
	}
	for i := range out {
		out[i].Random = rng.Float64()
	}
	return out
}

// chosenEngines returns how many different engines a policy chooses in 100 choices on the
// same load, as gateways do that don't know of each other's choices, and the highest
// Index among them.
func chosenEngines(t *testing.T, p Policy, prompt float64, open ...int) (different, highest int) {
	t.Helper()
	rng := rand.New(rand.NewPCG(1, 1))
	chosen := map[int]bool{}
	for range 100 {
		c, ok := p.Choose(testSpec, request(prompt, 300), busyEngines(16, rng, open...), 0)
		if !ok {
			t.Fatal("no engine was chosen")
		}
		chosen[c.First] = true
		highest = max(highest, c.First)
	}
	return len(chosen), highest
}

// Guards against gateways that all choose the same engine within the time in which they
// don't know of each other's choices, and against long prompts that leave their end of the
// order.
func TestSpreadChoosesDifferentEngines(t *testing.T) {
	if n, _ := chosenEngines(t, Policy{}, 5_000); n != 1 {
		t.Errorf("the present behavior chooses %d engines on the same load, expected 1", n)
	}
	if n, _ := chosenEngines(t, Policy{Spread: 0.6}, 5_000); n < 4 {
		t.Errorf("with a spread %d engines are chosen, expected at least 4", n)
	}
	if n, _ := chosenEngines(t, Policy{ShortRoom: 1.2, Spread: 0.6}, 45_000); n != 1 {
		t.Errorf("a prompt of 45,000 tokens goes to %d engines, expected 1", n)
	}
}

// Guards against short prompts that fill engines at their end of the order while others
// have all slots free, and against a room for them that takes the end of the long ones.
func TestShortRoomFollowsOccupiedSlots(t *testing.T) {
	half := []int{10, 10, 10, 10, 10, 10, 10, 10, 10, 10, 10, 10}
	if _, highest := chosenEngines(t, Policy{}, 5_000, half...); highest != 0 {
		t.Errorf("the present behavior chooses engine %d of half occupied ones, expected 0", highest)
	}
	room := Policy{ShortRoom: 1.2, Spread: 0.01}
	if n, highest := chosenEngines(t, room, 5_000, half...); n < 4 || highest > 9 {
		t.Errorf("with room for short prompts %d engines up to %d are chosen, expected at least 4 up to 9", n, highest)
	}
	if _, highest := chosenEngines(t, room, 5_000); highest != 0 {
		t.Errorf("engine %d of idle ones is chosen, expected 0", highest)
	}
	full := slices.Repeat([]int{16}, 16)
	if _, highest := chosenEngines(t, room, 5_000, full...); highest > 12 {
		t.Errorf("engine %d of full ones is chosen, expected those up to 12", highest)
	}
}

// shortWave returns engines of which the first half, in the shared order, has no free slot
// because of a wave of short requests, while the other half is idle.
func shortWave() []Engine {
	list := engines(16)
	for i := range 8 {
		var works []enginemodel.Work
		for k := range list[i].Slots + 1 {
			works = append(works, enginemodel.Work{
				Request: uint64(100*i + k + 1), SentMs: -500, DoneMs: -300, PromptTokens: 5_000, PartTokens: 5_000, OutputTokens: 1_400,
				Decoding: true, PauseMs: 250, ObjectiveMs: 300, Value: EstimateValue(5_000, 1_400),
			})
		}
		list[i].Load = enginemodel.NewLoad(testSpec, works, 0, 1)
	}
	return list
}

// Guards against short requests that wait for a slot while half of the engines are idle, in
// a wave of short requests: the wait was added to the prediction only after the choice.
func TestWaitForASlotIsPartOfTheChoice(t *testing.T) {
	r := request(5_000, 300)
	r.OutputTokens = 1_400
	before, ok := (Policy{}).Choose(testSpec, r, shortWave(), 0)
	if !ok || before.First >= 8 {
		t.Fatalf("engine %d, found %v: the shared order should lead to a full engine without the policy", before.First, ok)
	}
	after, ok := (Policy{SlotWait: true}).Choose(testSpec, r, shortWave(), 0)
	if !ok || after.First < 8 {
		t.Errorf("engine %d without a free slot is chosen while others are idle, found %v", after.First, ok)
	}
	if after.FirstEventMs >= before.FirstEventMs {
		t.Errorf("the first event is predicted after %.0f ms, at the full engine after %.0f ms", after.FirstEventMs, before.FirstEventMs)
	}
}

// Guards against work that leaves its failure domain for a small gain, where the load is
// known later and each byte crosses a slow link, and against work that stays at engines
// without a free slot while other failure domains are idle.
func TestRemoteShare(t *testing.T) {
	list := engines(8)
	for i := range list {
		list[i].Remote = i < 4
	}
	r := request(5_000, 300)
	if c, _ := (Policy{}).Choose(testSpec, r, list, 0); c.First != 0 {
		t.Errorf("engine %d is chosen without the policy", c.First)
	}
	p := Policy{SlotWait: true, RemoteShare: 0.6}
	if c, _ := p.Choose(testSpec, r, list, 0); c.First != 4 {
		t.Errorf("engine %d is chosen, not one of the own failure domain", c.First)
	}
	full := shortWave()
	for i := 4; i < 8; i++ {
		list[i].Load = full[i].Load
	}
	if c, _ := p.Choose(testSpec, r, list, 0); c.First != 0 {
		t.Errorf("engine %d without a free slot is chosen while other failure domains are idle", c.First)
	}
}
