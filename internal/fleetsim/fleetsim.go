// Package fleetsim simulates a fleet of model engines pass by pass, to measure
// placement policies without network or clock. The engines follow the published
// description: a pass with writers makes one event for each of them and reads up
// to a chunk in each of its steps; parts of prompts that several engines read go
// ahead of everything that waits, the newest first. All times are in ms.
package fleetsim

import (
	"math"
	"slices"

	"bilberryhub/internal/enginemodel"
	"bilberryhub/internal/manifest"
	"bilberryhub/internal/placement"
)

// Class is a kind of request.
type Class struct {
	Name                                  string
	PerSecond                             float64
	PromptTokens, PromptSpread, PromptMax float64
	OutputTokens                          float64
	ObjectiveMs, PauseMs, AbandonMs       float64
}

// Request is one request of a run, with its outcome.
type Request struct {
	Class                     int
	ArrivedMs                 float64
	PromptTokens              float64
	OutputTokens              float64
	FirstMs, PauseMs, EndedMs float64
	PredictedMs               float64
	Helpers                   int
	Refused                   bool

	id       uint64
	partsDue int
	home     *engine
	works    []*work
	written  float64
	// againMs is when a request that waits is decided about again.
	againMs float64
	lastMs  float64
}

// InTime reports whether a request kept its objectives.
func (r *Request) InTime(c Class) bool {
	return !r.Refused && r.FirstMs > 0 && r.FirstMs <= c.ObjectiveMs && r.PauseMs <= c.PauseMs
}

// work is a part of a prompt at one engine.
type work struct {
	enginemodel.Work
	request *Request
	engine  *engine
	leftMs  float64
	done    bool
}

type engine struct {
	index   int
	works   []*work
	past    []enginemodel.Work
	passEnd float64
	// finished are the parts that the pass under way completes.
	finished []*work
	writers  []*Request
	running  bool
}

// Fleet is a simulated fleet.
type Fleet struct {
	Spec    *manifest.Engine
	Classes []Class
	engines []*engine
	now     float64
	nextID  uint64
	// waiting are the requests that no engine has yet.
	waiting []*Request
	// Requests are all that have arrived.
	Requests []*Request
	// Slots is the number of requests that an engine runs at once.
	Slots int
	// Out engines are not placed on.
	Out map[int]bool
}

// New returns an idle fleet.
func New(spec *manifest.Engine, classes []Class, engines int) *Fleet {
	f := &Fleet{Spec: spec, Classes: classes, Slots: max(1, spec.Slots), Out: map[int]bool{}}
	for i := range engines {
		f.engines = append(f.engines, &engine{index: i})
	}
	return f
}

// Arrive advances to a time and places a request.
func (f *Fleet) Arrive(class int, at, prompt, output float64) {
	f.wait(at)
	f.nextID++
	r := &Request{Class: class, ArrivedMs: at, PromptTokens: prompt, OutputTokens: output, id: f.nextID}
	f.Requests = append(f.Requests, r)
	f.place(r)
}

// wait advances to a time and decides again about the requests that wait.
func (f *Fleet) wait(to float64) {
	for {
		first := -1
		for i, r := range f.waiting {
			if first < 0 || r.againMs < f.waiting[first].againMs {
				first = i
			}
		}
		if first < 0 || f.waiting[first].againMs > to {
			f.Advance(to)
			return
		}
		r := f.waiting[first]
		f.waiting = slices.Delete(f.waiting, first, first+1)
		f.Advance(r.againMs)
		f.place(r)
	}
}

// place decides about a request.
func (f *Fleet) place(r *Request) {
	at, prompt, output := f.now, r.PromptTokens, r.OutputTokens
	c := f.Classes[r.Class]
	worth := placement.Worth(prompt, output)
	elapsed := at - r.ArrivedMs
	choice, ok := placement.Choose(f.Spec, placement.Request{
		PromptTokens: prompt, OutputTokens: output, ObjectiveMs: max(1, c.ObjectiveMs-elapsed), AbandonMs: c.AbandonMs - elapsed, Worth: worth,
	}, f.view(), at)
	if ok && choice.Wait {
		r.againMs = at + placement.WaitStepMs
		f.waiting = append(f.waiting, r)
		return
	}
	if !ok {
		r.Refused = true
		return
	}
	r.PredictedMs, r.Helpers, r.home = choice.FirstEventMs, len(choice.Helpers), f.engines[choice.First]
	part := prompt / float64(1+len(choice.Helpers))
	for i, index := range append([]int{choice.First}, choice.Helpers...) {
		w := &work{request: r, engine: f.engines[index], leftMs: enginemodel.ReadMs(f.Spec, prompt, part)}
		w.Work = enginemodel.Work{
			Request: r.id, SentMs: at, PromptTokens: prompt, PartTokens: part, OutputTokens: output, Helper: i > 0,
			PauseMs: c.PauseMs, ObjectiveMs: c.ObjectiveMs, Worth: worth,
		}
		r.works = append(r.works, w)
		r.partsDue++
		w.engine.works = append(w.engine.works, w)
		if !w.engine.running {
			f.startPass(w.engine)
		}
	}
}

// view returns the engines as a gateway sees them.
func (f *Fleet) view() []placement.Engine {
	var out []placement.Engine
	for _, e := range f.engines {
		if f.Out[e.index] {
			continue
		}
		var works []enginemodel.Work
		oldest := math.Inf(1)
		for _, w := range e.works {
			works = append(works, w.Work)
			if !w.Writing {
				oldest = min(oldest, w.SentMs)
			}
		}
		for _, w := range e.past {
			if w.DoneMs > oldest {
				works = append(works, w)
			}
		}
		out = append(out, placement.Engine{
			Index: e.index, Slots: f.Slots, Rank: (float64(e.index) + 0.5) / float64(len(f.engines)),
			Load: enginemodel.NewLoad(f.Spec, works, f.now, 1),
		})
	}
	return out
}

// Advance plays all passes that end up to a time.
func (f *Fleet) Advance(to float64) {
	for {
		var next *engine
		for _, e := range f.engines {
			if e.running && e.passEnd <= to && (next == nil || e.passEnd < next.passEnd) {
				next = e
			}
		}
		if next == nil {
			f.now = to
			return
		}
		f.now = next.passEnd
		f.endPass(next)
	}
}

// order returns the parts that wait at an engine in the order of reading.
func (e *engine) order() []*work {
	var joint, single []*work
	for _, w := range e.works {
		switch {
		case w.done || w.Writing:
		case w.PartTokens < w.PromptTokens:
			joint = append(joint, w)
		default:
			single = append(single, w)
		}
	}
	slices.Reverse(joint)
	return append(joint, single...)
}

// startPass plans the next pass of an engine.
func (f *Fleet) startPass(e *engine) {
	steps, context := 1, 0.0
	if len(e.writers) > 0 {
		steps = f.Spec.Stride
		for _, r := range e.writers {
			context += r.PromptTokens + r.written
		}
	}
	duration := enginemodel.PassMs(f.Spec, len(e.writers), context) / float64(max(1, f.Spec.Stride)) * float64(steps)
	tokens := float64(steps) * float64(f.Spec.ChunkTokens)
	e.finished = nil
	for _, w := range e.order() {
		if tokens <= 0 {
			break
		}
		perToken := enginemodel.ReadMs(f.Spec, w.PromptTokens, w.PartTokens) / w.PartTokens
		d := min(w.leftMs, tokens*perToken)
		w.leftMs -= d
		tokens -= d / perToken
		duration += d
		if w.leftMs <= 1e-9 {
			w.done = true
			e.finished = append(e.finished, w)
		}
	}
	if len(e.writers) == 0 && len(e.finished) == 0 && len(e.order()) == 0 {
		e.running = false
		return
	}
	e.running, e.passEnd = true, f.now+duration
}

// endPass hands out the events of a pass.
func (f *Fleet) endPass(e *engine) {
	writers := slices.Clone(e.writers)
	for _, r := range writers {
		r.event(f.now, float64(f.Spec.Stride))
		if r.written >= r.OutputTokens {
			f.end(r)
		}
	}
	for _, w := range e.finished {
		if w.request.partsDue--; w.request.partsDue == 0 {
			f.begin(w.request)
		}
	}
	e.finished = nil
	f.startPass(e)
}

// begin lets a request write: its whole prompt has been read.
func (f *Fleet) begin(r *Request) {
	r.FirstMs, r.lastMs = f.now-r.ArrivedMs, f.now
	for i, w := range r.works {
		if i > 0 {
			w.engine.drop(w, f.now)
			continue
		}
		w.Writing, w.DoneMs = true, f.now
	}
	r.home.writers = append(r.home.writers, r)
	if !r.home.running {
		f.startPass(r.home)
	}
}

func (r *Request) event(now, tokens float64) {
	r.PauseMs = max(r.PauseMs, now-r.lastMs)
	r.lastMs = now
	r.written += tokens
}

func (f *Fleet) end(r *Request) {
	r.EndedMs = f.now
	r.home.writers = slices.DeleteFunc(r.home.writers, func(o *Request) bool { return o == r })
	r.home.drop(r.works[0], f.now)
}

func (e *engine) drop(w *work, now float64) {
	e.works = slices.DeleteFunc(e.works, func(o *work) bool { return o == w })
	past := w.Work
	if !past.Writing {
		past.DoneMs = now
	}
	past.Ended = true
	e.past = slices.DeleteFunc(e.past, func(p enginemodel.Work) bool { return p.DoneMs < now-12_000 })
	e.past = append(e.past, past)
}
