package placement

import (
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
