package standin

import (
	"slices"
	"time"

	"bilberryhub/internal/openai"
)

// job is one request inside the model.
type job struct {
	id       string
	priority int
	// arrival orders jobs of equal priority.
	arrival uint64
	// promptTokens is the number of prompt tokens that this engine holds: the
	// whole prompt, or its part of it.
	promptTokens int
	maxTokens    int
	hashes       []uint64
	// imported is set when the KV cache comes from another engine.
	imported bool

	private   int
	pinned    []uint64
	prefilled int
	generated int
	running   bool
	gone      bool
	stored    bool
	// export keeps the memory of the finished job until it is released.
	export bool
	held   bool
	// chunk and decoding are the part of the job in the step under way.
	chunk    int
	decoding bool
	// hung jobs keep their memory and make no progress.
	hung bool
	// owner gets the tokens; the model does not use it.
	owner *request
}

// need returns the tokens of memory for the prompt and the longest output.
func (j *job) need() int { return j.promptTokens + j.maxTokens }

// emission is one token that a step has produced.
type emission struct {
	job   *job
	index int
	last  bool
}

// model is the continuous batching loop without clock or I/O: plan starts a
// step and states its length, apply ends it.
type model struct {
	cfg     ModelSettings
	mem     *cache
	waiting []*job
	running []*job
	// held are finished jobs whose KV cache another engine may import.
	held    []*job
	arrived uint64
	cold    bool
	stats   modelStats
}

type modelStats struct {
	PrefilledTokens uint64 `json:"prefilled_tokens"`
	CachedTokens    uint64 `json:"cached_tokens"`
	GeneratedTokens uint64 `json:"generated_tokens"`
	// WastedTokens counts tokens of requests that were cancelled or lost.
	WastedTokens uint64 `json:"wasted_tokens"`
	Steps        uint64 `json:"steps"`
}

func newModel(cfg ModelSettings) *model {
	return &model{cfg: cfg, mem: newCache(cfg.MemoryTokens)}
}

// fits reports whether the job can ever run here.
func (m *model) fits(j *job) bool { return j.need() <= m.cfg.MemoryTokens }

// add puts a job into the waiting queue.
func (m *model) add(j *job) {
	m.arrived++
	j.arrival = m.arrived
	m.waiting = append(m.waiting, j)
	slices.SortStableFunc(m.waiting, byUrgency)
}

func byUrgency(a, b *job) int {
	if a.priority != b.priority {
		return a.priority - b.priority
	}
	return int(a.arrival) - int(b.arrival)
}

// cancel removes a job and gives its memory back. It may be called at any
// time, also during a step.
func (m *model) cancel(j *job) {
	if j.gone || j.held {
		return
	}
	m.stats.WastedTokens += uint64(max(0, j.prefilled-len(j.pinned)*openai.BlockTokens) + j.generated)
	m.remove(j)
}

func (m *model) remove(j *job) {
	same := func(o *job) bool { return o == j }
	if !j.running {
		j.gone = true
		m.waiting = slices.DeleteFunc(m.waiting, same)
		return
	}
	m.running = slices.DeleteFunc(m.running, same)
	m.giveBack(j)
}

func (m *model) giveBack(j *job) {
	j.gone, j.running = true, false
	m.mem.free(j.private)
	m.mem.unpin(j.pinned)
	j.private, j.pinned = 0, nil
}

// hold takes a finished job out of the batch and keeps its memory.
func (m *model) hold(j *job) {
	same := func(o *job) bool { return o == j }
	m.running = slices.DeleteFunc(m.running, same)
	m.held = append(m.held, j)
	j.running, j.held = false, true
}

// release gives the memory of a held job back. It reports whether the job was
// held.
func (m *model) release(j *job) bool {
	if !j.held {
		return false
	}
	m.held = slices.DeleteFunc(m.held, func(o *job) bool { return o == j })
	j.held = false
	m.giveBack(j)
	return true
}

// admit moves waiting jobs into the batch while there is room. The head of the
// queue is never overtaken for want of memory, so that long prompts do not
// starve.
func (m *model) admit() {
	for len(m.waiting) > 0 && len(m.running) < m.cfg.MaxBatch {
		j := m.waiting[0]
		hit := 0
		if !j.imported {
			hit = m.mem.match(j.hashes)
			// At least one token is always prefilled, to produce the first one.
			if hit > 0 && hit*openai.BlockTokens >= j.promptTokens {
				hit--
			}
		}
		m.mem.pin(j.hashes[:hit])
		private := j.need() - hit*openai.BlockTokens
		if !m.mem.allocate(private) {
			m.mem.unpin(j.hashes[:hit])
			return
		}
		j.private, j.pinned = private, slices.Clone(j.hashes[:hit])
		j.prefilled = hit * openai.BlockTokens
		m.stats.CachedTokens += uint64(j.prefilled)
		j.running = true
		m.waiting = m.waiting[1:]
		m.running = append(m.running, j)
	}
}

// plan starts a step and returns its length in simulated time; ok is false when
// there is nothing to do. Prefill goes to the most urgent jobs first, at most
// ChunkTokens in total, so a more urgent job overtakes a long prefill at the
// next chunk.
func (m *model) plan() (length time.Duration, ok bool) {
	m.admit()
	order := slices.Clone(m.running)
	slices.SortStableFunc(order, byUrgency)
	budget, seconds, decoding, step := m.cfg.ChunkTokens, 0.0, 0, time.Duration(0)
	for _, j := range order {
		j.chunk, j.decoding = 0, false
		if j.hung {
			continue
		}
		ok = true
		left := j.promptTokens - j.prefilled
		if left <= 0 {
			step = m.cfg.decodeStep()
			if j.decoding = (m.stats.Steps+j.arrival)%uint64(m.cfg.DecodeStride) == 0; j.decoding {
				decoding++
			}
			continue
		}
		j.chunk = min(left, budget)
		budget -= j.chunk
		seconds += float64(j.chunk) / m.rate(j)
	}
	length = time.Duration(seconds*float64(time.Second)) + step +
		time.Duration(decoding)*m.cfg.decodePerSequence()
	return length, ok
}

// rate returns the tokens per second at which the prompt of j becomes
// available.
func (m *model) rate(j *job) float64 {
	switch {
	case j.imported:
		return m.cfg.TransferTokensPerSecond
	case m.cold:
		return m.cfg.PrefillTokensPerSecond * m.cfg.ColdPrefillFactor
	}
	return m.cfg.PrefillTokensPerSecond
}

// apply ends the step and returns the tokens it has produced. The step that
// completes a prefill produces the first token. Jobs that produced their last
// token have left the model.
func (m *model) apply() []emission {
	m.stats.Steps++
	var out []emission
	for _, j := range slices.Clone(m.running) {
		if !j.decoding {
			j.prefilled += j.chunk
			if !j.imported {
				m.stats.PrefilledTokens += uint64(j.chunk)
			}
			// Jobs admitted during the step have no part in it: their chunk is 0.
			if j.chunk == 0 || j.prefilled < j.promptTokens {
				continue
			}
			j.chunk = 0
			m.storePrompt(j)
		}
		j.generated++
		m.stats.GeneratedTokens++
		last := j.generated >= j.maxTokens
		out = append(out, emission{job: j, index: j.generated - 1, last: last})
		switch {
		case last && j.export:
			m.hold(j)
		case last:
			m.remove(j)
		}
	}
	return out
}

// storePrompt makes the full blocks of a prefilled prompt available to others.
func (m *model) storePrompt(j *job) {
	rest := j.hashes[len(j.pinned):]
	if j.stored || j.imported || len(rest)*openai.BlockTokens > j.private {
		return
	}
	j.stored = true
	m.mem.store(rest)
	j.private -= len(rest) * openai.BlockTokens
	j.pinned = append(j.pinned, rest...)
}

// prefillTokens returns the prompt tokens not yet prefilled.
func (m *model) prefillTokens() int {
	total := 0
	for _, j := range m.running {
		total += j.promptTokens - j.prefilled
	}
	for _, j := range m.waiting {
		total += j.promptTokens
	}
	return total
}
