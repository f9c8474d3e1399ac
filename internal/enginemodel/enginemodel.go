// Package enginemodel predicts the timing of a model engine from its published
// description: how long the prefill of a prompt takes, when a request that
// joins others gives its first event, and how long the other requests pause
// meanwhile.
//
// An engine works in passes. A pass with decoding requests gives one event for
// each of them; between the decode steps of the pass the engine prefills
// prompts in chunks. A long prefill therefore stretches the pauses of every
// stream on the same engine, which is why predictions cover the requests that
// are already there.
//
// The package reads no clock, does no I/O and doesn't choose engines. All times
// are in milliseconds.
package enginemodel

import (
	"cmp"
	"math"
	"slices"

	"bilberryhub/internal/manifest"
)

// Work is one request at one engine, or one part of a prompt that several
// engines prefill.
type Work struct {
	// Request identifies the request; it is the same for all parts of one
	// prompt.
	Request uint64
	// SentMs is when the request was sent, on any clock that the caller uses
	// consistently.
	SentMs float64
	// PromptTokens is the length of the whole prompt, PartTokens what this
	// engine prefills of it.
	PromptTokens, PartTokens float64
	OutputTokens             float64
	// Decoding is set once the request decodes, that is after its first event.
	// Ended is set after its last event.
	Decoding, Ended bool
	// DoneMs is when the prefill was done: at the first event or at the end.
	DoneMs float64
	// Helper is set if the engine prefills a part for another engine.
	Helper bool
	// HeldTokens is the KV memory reserved for a split prompt: at a helper
	// what it holds for another engine, otherwise what other engines hold for
	// this one.
	HeldTokens float64
	// PauseMs is the caller's objective for the pause between two events,
	// ObjectiveMs the one for the first event; 0 means none.
	PauseMs, ObjectiveMs float64
	// Value is the value of a response in time, in the unit that callers use.
	Value float64
}

// PrefillMs returns the time that an engine needs to prefill partTokens of the
// prompt tokens of a request. The token pairs of the whole prompt are split in
// proportion to the parts.
func PrefillMs(e *manifest.Engine, prompt, partTokens float64) float64 {
	if prompt <= 0 || partTokens <= 0 {
		return 0
	}
	pairsMillions := prompt * prompt / 2 / 1e6 * (partTokens / prompt)
	ms := pairsMillions * e.PairsMsPerMillion
	if e.PrefillTokensPerSecond > 0 {
		ms += partTokens / e.PrefillTokensPerSecond * 1000
	}
	return ms
}

// PassMs returns the time of a pass without prefill, for the given number of
// decoding requests and their total context in tokens.
func PassMs(e *manifest.Engine, decodingRequests int, contextTokens float64) float64 {
	step := e.StepMs + e.PerSequenceMs*float64(decodingRequests) + e.ContextMsPerThousand*contextTokens/1000
	return step * float64(max(1, e.Stride))
}

// Load is the work of an engine at one moment.
type Load struct {
	engine *manifest.Engine
	// BacklogMs is the remaining prefill time.
	BacklogMs float64
	// DecodingRequests counts the requests past their first event, OpenRequests
	// all requests but the parts that are prefilled for other engines.
	DecodingRequests, OpenRequests int
	// MemoryTokens is the KV memory that the open requests may come to need.
	MemoryTokens float64
	// passMs is the time of a pass without prefill.
	passMs float64
	works  []Work
	// firstInMs is, for each work that is still in prefill, the predicted time
	// from now until its first event.
	firstInMs []float64
	// slowness is a factor on all times; 1 for an engine that performs as
	// described.
	slowness float64
}

// overdueMs is assumed as the remaining time of a prefill that should have
// ended already.
const overdueMs = 15

// NewLoad summarizes the work at an engine at the time now, in ms on the clock
// of SentMs. slowness is a factor on all times. Ended works are needed to
// estimate how far the others have come; the caller may omit those that ended
// before the oldest of the others was sent. NewLoad sorts works in place.
func NewLoad(e *manifest.Engine, works []Work, now, slowness float64) *Load {
	l := &Load{engine: e, works: works, slowness: max(slowness, 0.1), firstInMs: make([]float64, len(works))}
	slices.SortFunc(works, func(a, b Work) int { return cmp.Compare(a.SentMs, b.SentMs) })
	context := 0.0
	for _, w := range works {
		if w.Ended {
			continue
		}
		if w.Helper {
			l.MemoryTokens += w.HeldTokens
		} else {
			l.OpenRequests++
			l.MemoryTokens += w.PromptTokens + w.OutputTokens - w.HeldTokens
		}
		if w.Decoding {
			l.DecodingRequests++
			context += w.PromptTokens + w.OutputTokens/2
		}
	}
	l.passMs = PassMs(e, l.DecodingRequests, context) * l.slowness
	l.schedule(now)
	return l
}

// isSplit reports whether the prompt is prefilled by several engines.
func (w *Work) isSplit() bool { return w.Helper || w.PartTokens < w.PromptTokens }

// isPrefilling reports whether a part of the prompt still has to be prefilled.
func (w *Work) isPrefilling() bool { return !w.Decoding && !w.Ended }

// prefillOrder returns the indexes of the works in the order in which the
// engine prefills them. Parts of prompts that several engines prefill go ahead
// of everything that is there, so the newest part comes first; whole prompts
// follow in order of arrival.
func (l *Load) prefillOrder() []int {
	out := make([]int, 0, len(l.works))
	for i := len(l.works) - 1; i >= 0; i-- {
		if l.works[i].isSplit() {
			out = append(out, i)
		}
	}
	for i := range l.works {
		if !l.works[i].isSplit() {
			out = append(out, i)
		}
	}
	return out
}

// schedule computes how much of each prefill is left and when it ends. An
// engine with decoding requests gives all events of a pass at the end of the
// pass.
func (l *Load) schedule(now float64) {
	prefillOrder := l.prefillOrder()
	remainingMs := l.remaining(prefillOrder, now)
	ends := make([]float64, len(l.works))
	for _, i := range prefillOrder {
		if l.works[i].isPrefilling() {
			l.BacklogMs += remainingMs[i]
			ends[i] = l.BacklogMs
		}
	}
	for i, w := range l.works {
		switch {
		case !w.isPrefilling():
		case l.DecodingRequests == 0:
			l.firstInMs[i] = ends[i] + l.stepsMs(w.PartTokens)
		default:
			l.firstInMs[i] = l.passesMs(ends[i], l.BacklogMs, w.PromptTokens)
		}
	}
}

// remaining replays the prefills up to now, from one arrival or end of a
// prefill to the next, and returns the time in ms that each has left.
func (l *Load) remaining(prefillOrder []int, now float64) []float64 {
	remainingMs := make([]float64, len(l.works))
	times := make([]float64, 0, 2*len(l.works)+1)
	for i := range l.works {
		w := &l.works[i]
		remainingMs[i] = PrefillMs(l.engine, w.PromptTokens, w.PartTokens) * l.slowness
		times = append(times, w.SentMs)
		if !w.isPrefilling() {
			times = append(times, w.DoneMs)
		}
	}
	times = append(times, now)
	slices.Sort(times)
	for k := 1; k < len(times); k++ {
		l.replay(prefillOrder, remainingMs, times[k-1], min(times[k], now)-times[k-1])
	}
	for i := range l.works {
		if w := &l.works[i]; w.isPrefilling() && remainingMs[i] < overdueMs {
			remainingMs[i] = min(overdueMs, PrefillMs(l.engine, w.PromptTokens, w.PartTokens)*l.slowness)
		}
	}
	return remainingMs
}

// replay spends a span of time on the works that are present at its start.
func (l *Load) replay(prefillOrder []int, remainingMs []float64, start, span float64) {
	for _, i := range prefillOrder {
		w := &l.works[i]
		if span <= 0 {
			return
		}
		if w.SentMs > start || (!w.isPrefilling() && w.DoneMs <= start) {
			continue
		}
		d := min(remainingMs[i], span)
		remainingMs[i] -= d
		span -= d
	}
}

// stepsMs returns the time of the steps in which partTokens tokens are
// prefilled, without the prefill itself.
func (l *Load) stepsMs(partTokens float64) float64 {
	chunk := max(1, float64(l.engine.ChunkTokens))
	return math.Ceil(max(partTokens, 1)/chunk) * l.passMs / float64(max(1, l.engine.Stride))
}

// passesMs returns the time until the end of the pass in which a prefill ends.
// prefillMs is the prefill time up to that end, totalMs all prefill time that
// is queued, prompt the number of prompt tokens.
func (l *Load) passesMs(prefillMs, totalMs, prompt float64) float64 {
	perPass := l.prefillPerPassMs(prompt)
	n := math.Ceil(max(prefillMs, 1) / perPass)
	return n*l.passMs + min(totalMs, n*perPass)
}

// FirstEventMs predicts the time until this engine has prefilled partTokens of
// the prompt tokens of a new request and the first event of the request is
// there.
func (l *Load) FirstEventMs(prompt, partTokens float64) float64 {
	prefillMs := PrefillMs(l.engine, prompt, partTokens) * l.slowness
	isSplit := partTokens < prompt
	if l.DecodingRequests == 0 {
		// Passes without decoding requests have one step, so nothing waits for
		// the end of a pass.
		if isSplit {
			return prefillMs + l.stepsMs(partTokens)
		}
		return l.BacklogMs + prefillMs + l.stepsMs(partTokens)
	}
	// A request that arrives during a pass waits for the end of the pass.
	perPass := l.prefillPerPassMs(prompt)
	wait := l.passMs/2 + min(l.BacklogMs, perPass)
	after := max(0, l.BacklogMs-perPass)
	ends := after + prefillMs
	if isSplit {
		ends = prefillMs
	}
	return wait + l.passesMs(ends, after+prefillMs, prompt)
}

// DecodeMs predicts the time to decode a response.
func (l *Load) DecodeMs(outputTokens float64) float64 {
	return l.passMs * outputTokens / float64(max(1, l.engine.Stride))
}

// prefillPerPassMs returns the prefill time that fits into one pass with
// decoding requests.
func (l *Load) prefillPerPassMs(prompt float64) float64 {
	chunk := float64(l.engine.ChunkTokens)
	if chunk <= 0 {
		chunk = 2048
	}
	tokens := chunk * float64(max(1, l.engine.Stride))
	if prompt < tokens {
		prompt = tokens
	}
	return max(1, PrefillMs(l.engine, prompt, tokens)*l.slowness)
}

// PauseMs predicts the longest pause of a decoding stream while partTokens of
// the prompt tokens of a new request are prefilled.
func (l *Load) PauseMs(prompt, partTokens float64) float64 {
	prefillMs := l.BacklogMs + PrefillMs(l.engine, prompt, partTokens)*l.slowness
	return l.passMs + min(prefillMs, l.prefillPerPassMs(prompt))
}

// VisitLosses calls visit for each present request that loses value if
// partTokens of the prompt tokens of a new request are prefilled on this engine:
// streams whose pauses become
// too long, and requests whose first event comes too late. lateValueShare is
// the share of its value that a late response keeps.
func (l *Load) VisitLosses(prompt, partTokens, now, lateValueShare float64, visit func(request uint64, loss float64)) {
	prefillMs := PrefillMs(l.engine, prompt, partTokens) * l.slowness
	pause, before := l.PauseMs(prompt, partTokens), l.passMs+min(l.BacklogMs, l.prefillPerPassMs(prompt))
	for i, w := range l.works {
		if w.Ended {
			continue
		}
		lateLoss := w.Value * (1 - lateValueShare)
		lost := 0.0
		if !w.Decoding && (partTokens < prompt || l.DecodingRequests > 0) {
			expected := now - w.SentMs + l.firstInMs[i]
			lost = lateLoss * (missProbability(expected+prefillMs, w.ObjectiveMs) - missProbability(expected, w.ObjectiveMs))
		}
		if w.PauseMs > 0 && !w.Helper && (w.Decoding || partTokens == prompt) {
			lost = max(lost, lateLoss*(missProbability(pause, w.PauseMs)-missProbability(before, w.PauseMs)))
		}
		if lost > 0 {
			visit(w.Request, lost)
		}
	}
}

// missProbability estimates the probability that an objective is missed if ms
// are predicted.
func missProbability(ms, objective float64) float64 {
	if objective <= 0 {
		return 0
	}
	return min(1, max(0, (ms-missFromShare*objective)/((missCertainShare-missFromShare)*objective)))
}

// Predictions have errors: an objective is assumed to be at risk from
// missFromShare of it on, and to be missed from missCertainShare of it on.
const (
	missFromShare    = 0.75
	missCertainShare = 1.05
)
