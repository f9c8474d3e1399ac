// Package enginemodel predicts the timing of a model engine from its published
// description: what reading a prompt costs, when a request that joins others
// gives its first event, and how long the others pause meanwhile.
//
// An engine works in passes. A pass with writers makes one event for each of
// them; between the steps of the pass it reads prompts in chunks. A long read
// therefore stretches the pauses of every stream at the same engine, which is
// why predictions cover the requests that are already there. The package is
// pure: it reads no clock and does no I/O. All times are in milliseconds.
package enginemodel

import (
	"cmp"
	"slices"

	"bilberryhub/internal/manifest"
)

// Work is one request at one engine.
type Work struct {
	// SentMs is when it was sent, on any clock that the caller keeps to.
	SentMs float64
	// PromptTokens is the whole prompt, PartTokens what this engine reads of it.
	PromptTokens, PartTokens float64
	OutputTokens             float64
	// Writing is set after the first event, WritingSinceMs when that was.
	Writing        bool
	WritingSinceMs float64
	// Helper is set where the engine reads a part for another one.
	Helper bool
	// PauseMs and ObjectiveMs are the objectives of its caller; 0 means none.
	PauseMs, ObjectiveMs float64
	// Worth is what an answer in time is worth, in units of the callers.
	Worth float64
}

// ReadMs returns the time that an engine needs to read part tokens of a prompt.
// A part has its share of the pairs of the whole prompt.
func ReadMs(e *manifest.Engine, prompt, part float64) float64 {
	if prompt <= 0 || part <= 0 {
		return 0
	}
	pairsMillions := prompt * prompt / 2 / 1e6 * (part / prompt)
	ms := pairsMillions * e.PairsMsPerMillion
	if e.ReadTokensPerSecond > 0 {
		ms += part / e.ReadTokensPerSecond * 1000
	}
	return ms
}

// PassMs returns the time of a pass without reading for the given writers and
// their context in tokens.
func PassMs(e *manifest.Engine, writers int, contextTokens float64) float64 {
	step := e.StepMs + e.PerSequenceMs*float64(writers) + e.ContextMsPerThousand*contextTokens/1000
	return step * float64(max(1, e.Stride))
}

// Load is what an engine has to do at one moment.
type Load struct {
	engine *manifest.Engine
	// BacklogMs is the reading that is left.
	BacklogMs float64
	// Writers counts the requests past their first event, Open all requests but
	// the parts that are read for other engines.
	Writers, Open int
	// MemoryTokens is the memory that the open requests may come to need.
	MemoryTokens float64
	// passMs is the time of a pass without reading.
	passMs float64
	works  []Work
	// slowness multiplies all times; 1 for an engine as described.
	slowness float64
}

// overdueMs stands for the rest of a read that should have ended already.
const overdueMs = 15

// NewLoad summarises the work at an engine at the time now.
func NewLoad(e *manifest.Engine, works []Work, now, slowness float64) *Load {
	l := &Load{engine: e, works: works, slowness: max(slowness, 0.1)}
	slices.SortFunc(works, func(a, b Work) int { return cmp.Compare(a.SentMs, b.SentMs) })
	context := 0.0
	busyUntil := 0.0
	for _, w := range works {
		if !w.Helper {
			l.Open++
			l.MemoryTokens += w.PromptTokens + w.OutputTokens
		}
		if w.Writing {
			l.Writers++
			context += w.PromptTokens + w.OutputTokens/2
			continue
		}
		read := ReadMs(e, w.PromptTokens, w.PartTokens) * l.slowness
		start := max(w.SentMs, busyUntil)
		busyUntil = start + read
		l.BacklogMs += max(min(busyUntil-max(start, now), read), min(read, overdueMs))
	}
	l.passMs = PassMs(e, l.Writers, context) * l.slowness
	return l
}

// FirstEventMs predicts the time to the first event of a request that reads
// part tokens here, after what is there already.
func (l *Load) FirstEventMs(prompt, part float64) float64 {
	read := ReadMs(l.engine, prompt, part) * l.slowness
	total := l.BacklogMs + read
	first := total + l.passMs
	if l.Writers > 0 {
		// The request joins in the middle of a pass, and a long read is spread
		// over several passes.
		first += l.passMs/2 + l.passMs*float64(int(total/l.readPerPassMs(prompt)))
	}
	return first
}

// WriteMs predicts the time to write an answer.
func (l *Load) WriteMs(outputTokens float64) float64 {
	return l.passMs * outputTokens / float64(max(1, l.engine.Stride))
}

// readPerPassMs is the reading that fits into one pass with writers.
func (l *Load) readPerPassMs(prompt float64) float64 {
	chunk := float64(l.engine.ChunkTokens)
	if chunk <= 0 {
		chunk = 2048
	}
	tokens := chunk * float64(max(1, l.engine.Stride))
	if prompt < tokens {
		prompt = tokens
	}
	return max(1, ReadMs(l.engine, prompt, tokens)*l.slowness)
}

// PauseMs predicts the longest pause of a writer while part tokens are read.
func (l *Load) PauseMs(prompt, part float64) float64 {
	read := l.BacklogMs + ReadMs(l.engine, prompt, part)*l.slowness
	return l.passMs + min(read, l.readPerPassMs(prompt))
}

// HarmWorth returns the worth that the requests which are there lose if part
// tokens of a prompt are read here: streams whose pauses become too long, and
// requests whose first event comes too late. LateShare is the share of its
// worth that a late answer keeps; urgent says that the part is read first.
func (l *Load) HarmWorth(prompt, part, now, lateShare float64, urgent bool) float64 {
	read := ReadMs(l.engine, prompt, part) * l.slowness
	pause, before := l.PauseMs(prompt, part), l.passMs+min(l.BacklogMs, l.readPerPassMs(prompt))
	harm := 0.0
	for _, w := range l.works {
		if w.Helper {
			continue
		}
		// A pause that is too long without this request is no harm of it.
		if w.PauseMs > 0 && pause > pauseMargin*w.PauseMs && before <= pauseMargin*w.PauseMs {
			harm += w.Worth * (1 - lateShare)
			continue
		}
		if !w.Writing && urgent && w.ObjectiveMs > 0 {
			expected := now - w.SentMs + l.BacklogMs + l.passMs
			if expected <= w.ObjectiveMs && expected+read > w.ObjectiveMs {
				harm += w.Worth * (1 - lateShare)
			}
		}
	}
	return harm
}

// pauseMargin is the share of an accepted pause up to which predictions are
// trusted; the rest covers the way to the caller and their error.
const pauseMargin = 0.92
