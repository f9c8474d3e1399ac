package enginemodel

import (
	"math"
	"testing"

	"bilberryhub/internal/manifest"
)

var engine = &manifest.Engine{
	Slots: 16, CapacityTokens: 405_000, StepMs: 1.31, PerSequenceMs: 0.000917, ContextMsPerThousand: 0.00213,
	PrefillTokensPerSecond: 154_000, PairsMsPerMillion: 0.162, ChunkTokens: 2048, Stride: 34,
}

func expectNear(t *testing.T, what string, got, want, tolerance float64) {
	t.Helper()
	if math.Abs(got-want) > tolerance {
		t.Errorf("%s is %.1f ms, expected %.1f ms", what, got, want)
	}
}

// The published figures give 1,182 ms for the tokens and 2,683 ms for the
// token pairs of a prompt of 182,000 tokens.
func TestPrefillMs(t *testing.T) {
	expectNear(t, "whole prompt", PrefillMs(engine, 182_000, 182_000), 3865, 2)
	expectNear(t, "quarter of the prompt", PrefillMs(engine, 182_000, 45_500), 3865.0/4, 1)
	expectNear(t, "empty prompt", PrefillMs(engine, 0, 0), 0, 0)
}

func testWork(request uint64, sent, prompt, partTokens float64) Work {
	return Work{Request: request, SentMs: sent, PromptTokens: prompt, PartTokens: partTokens, ObjectiveMs: 3000, PauseMs: 1000, Value: 10}
}

// A part that arrives later is prefilled first, so an earlier one ends later. A
// model that prefills in order of arrival was off by a factor of two under
// load.
func TestNewestPartIsPrefilledFirst(t *testing.T) {
	one := NewLoad(engine, []Work{testWork(1, 0, 200_000, 50_000)}, 100, 1)
	two := NewLoad(engine, []Work{testWork(1, 0, 200_000, 50_000), testWork(2, 100, 200_000, 50_000)}, 100, 1)
	prefillMs := PrefillMs(engine, 200_000, 50_000)
	expectNear(t, "delay of the earlier part", two.firstInMs[0]-one.firstInMs[0], prefillMs, 5)
	expectNear(t, "later part", two.firstInMs[1], prefillMs+25*engine.StepMs, 5)
}

// Whole prompts queue behind all work that is present.
func TestWholePromptQueuesBehindBacklog(t *testing.T) {
	l := NewLoad(engine, []Work{testWork(1, 0, 200_000, 50_000)}, 0, 1)
	expectNear(t, "first event", l.FirstEventMs(10_000, 10_000), l.BacklogMs+PrefillMs(engine, 10_000, 10_000)+5*engine.StepMs, 1)
	expectNear(t, "first event of a part", l.FirstEventMs(10_000, 5_000), PrefillMs(engine, 10_000, 5_000)+3*engine.StepMs, 1)
}

// Prefills of requests that have ended since explain why an older request isn't
// done yet.
func TestEndedWorkIncreasesBacklog(t *testing.T) {
	long := testWork(1, 0, 300_000, 300_000)
	ended := testWork(2, 0, 300_000, 100_000)
	ended.Ended, ended.DoneMs = true, 3000
	withEnded := NewLoad(engine, []Work{long, ended}, 3000, 1)
	withoutEnded := NewLoad(engine, []Work{long}, 3000, 1)
	if withEnded.BacklogMs < withoutEnded.BacklogMs+2900 {
		t.Errorf("backlog is %.0f ms with the ended part and %.0f ms without, expected 3,000 ms more", withEnded.BacklogMs, withoutEnded.BacklogMs)
	}
}

// An engine with decoding requests gives events only at the end of a pass, and
// a pass lasts as long as the prefill that it contains.
func TestFirstEventWaitsForEndOfPass(t *testing.T) {
	decoding := testWork(1, 0, 5_000, 5_000)
	decoding.Decoding, decoding.DoneMs = true, 50
	idle := NewLoad(engine, []Work{decoding}, 100, 1)
	busy := NewLoad(engine, []Work{decoding, testWork(2, 100, 45_000, 45_000)}, 100, 1)
	if d := busy.FirstEventMs(2_000, 2_000) - idle.FirstEventMs(2_000, 2_000); d < 400 {
		t.Errorf("a prefill of 45,000 tokens delays the next request by %.0f ms, expected about 456 ms", d)
	}
	if p := busy.PauseMs(0, 0); p < 450 {
		t.Errorf("the stream pauses for %.0f ms, expected about 500 ms", p)
	}
}

func losses(l *Load, prompt, partTokens float64) map[uint64]float64 {
	out := map[uint64]float64{}
	l.VisitLosses(prompt, partTokens, 100, 0.25, func(r uint64, loss float64) { out[r] += loss })
	return out
}

func TestLossFromALongPrefill(t *testing.T) {
	decoding := testWork(1, 0, 5_000, 5_000)
	decoding.Decoding, decoding.DoneMs, decoding.PauseMs = true, 50, 250
	l := NewLoad(engine, []Work{decoding}, 100, 1)
	if lost := losses(l, 180_000, 180_000)[1]; lost < 7 {
		t.Errorf("a stream whose pause becomes a second loses %.1f, expected 7.5", lost)
	}
	if lost := losses(l, 3_000, 3_000)[1]; lost != 0 {
		t.Errorf("a short prefill costs a stream %.1f, expected nothing", lost)
	}
}
