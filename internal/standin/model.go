package standin

import (
	"slices"
	"time"

	"bilberryhub/internal/openai"
)

// job is one request in the model.
type job struct {
	id       string
	priority int
	// arrival is the arrival number, which orders jobs of equal priority.
	arrival uint64
	// promptTokens is the number of prompt tokens that this engine holds: the
	// whole prompt, or the part of it that this engine prefills. maxTokens is the
	// number of output tokens.
	promptTokens int
	maxTokens    int
	// hashes are the chained hashes of the full blocks of the prompt.
	hashes []uint64
	// imported is set when the KV cache comes from another engine.
	imported bool

	// privateTokens and the blocks with the hashes pinned are the memory that the
	// job holds.
	privateTokens   int
	pinned          []uint64
	prefilledTokens int
	generatedTokens int
	running         bool
	removed         bool
	stored          bool
	// export keeps the memory of the finished job, which is then held, until it
	// is released.
	export bool
	held   bool
	// chunk and decoding are the share of the job in the current step: the prompt
	// tokens that it prefills, and whether it produces a token by decoding.
	chunk    int
	decoding bool
	// hung jobs make no progress and keep their memory.
	hung bool
	// owner is the request that receives the tokens; the model does not use it.
	owner *request
}

// requiredTokens returns the memory, in tokens, for the prompt and the maximum
// output.
func (j *job) requiredTokens() int { return j.promptTokens + j.maxTokens }

// outputToken is one token that a step has produced.
type outputToken struct {
	job   *job
	index int
	last  bool
}

// model is the continuous batching loop without clock or I/O: startStep plans a step
// and returns its duration, finishStep ends it. It is not safe for concurrent use.
type model struct {
	cfg     ModelSettings
	mem     *kvCache
	waiting []*job
	running []*job
	// held are finished jobs whose KV cache another engine may import.
	held    []*job
	arrived uint64
	cold    bool
	stats   modelStats
}

// modelStats counts the work of one boot.
type modelStats struct {
	PrefilledTokens uint64 `json:"prefilled_tokens"`
	CachedTokens    uint64 `json:"cached_tokens"`
	GeneratedTokens uint64 `json:"generated_tokens"`
	// WastedTokens counts tokens of requests that were cancelled or lost.
	WastedTokens uint64 `json:"wasted_tokens"`
	Steps        uint64 `json:"steps"`
}

// newModel returns a warm model without jobs.
func newModel(cfg ModelSettings) *model {
	return &model{cfg: cfg, mem: newKVCache(cfg.MemoryTokens)}
}

// fits reports whether the job can ever run within the memory of this engine.
func (m *model) fits(j *job) bool { return j.requiredTokens() <= m.cfg.MemoryTokens }

// add adds a job to the waiting queue.
func (m *model) add(j *job) {
	m.arrived++
	j.arrival = m.arrived
	m.waiting = append(m.waiting, j)
	slices.SortStableFunc(m.waiting, byPriority)
}

// byPriority compares jobs by priority value, lowest first, and then by arrival.
func byPriority(a, b *job) int {
	if a.priority != b.priority {
		return a.priority - b.priority
	}
	return int(a.arrival) - int(b.arrival)
}

// cancel removes a job and frees its memory. It has no effect on jobs that are held
// or already removed. It may be called at any time, also during a step.
func (m *model) cancel(j *job) {
	if j.removed || j.held {
		return
	}
	m.stats.WastedTokens += uint64(max(0, j.prefilledTokens-len(j.pinned)*openai.BlockTokens) + j.generatedTokens)
	m.remove(j)
}

// remove removes a waiting or running job and frees its memory.
func (m *model) remove(j *job) {
	isJob := func(o *job) bool { return o == j }
	if !j.running {
		j.removed = true
		m.waiting = slices.DeleteFunc(m.waiting, isJob)
		return
	}
	m.running = slices.DeleteFunc(m.running, isJob)
	m.releaseMemory(j)
}

// releaseMemory frees the memory of a job; its shared blocks stay in the cache.
func (m *model) releaseMemory(j *job) {
	j.removed, j.running = true, false
	m.mem.free(j.privateTokens)
	m.mem.unpin(j.pinned)
	j.privateTokens, j.pinned = 0, nil
}

// hold removes a finished job from the batch and keeps its memory.
func (m *model) hold(j *job) {
	isJob := func(o *job) bool { return o == j }
	m.running = slices.DeleteFunc(m.running, isJob)
	m.held = append(m.held, j)
	j.running, j.held = false, true
}

// release frees the memory of a held job. It reports whether the job was held.
func (m *model) release(j *job) bool {
	if !j.held {
		return false
	}
	m.held = slices.DeleteFunc(m.held, func(o *job) bool { return o == j })
	j.held = false
	m.releaseMemory(j)
	return true
}

// admit moves waiting jobs into the batch while there is capacity. If the job at the
// head of the queue does not fit into memory, the jobs behind it wait as well, so
// that long prompts do not starve.
func (m *model) admit() {
	for len(m.waiting) > 0 && len(m.running) < m.cfg.MaxBatch {
		j := m.waiting[0]
		hit := 0
		if !j.imported {
			hit = m.mem.match(j.hashes)
			// At least one prompt token is always prefilled, because the prefill
			// produces the first output token.
			if hit > 0 && hit*openai.BlockTokens >= j.promptTokens {
				hit--
			}
		}
		m.mem.pin(j.hashes[:hit])
		privateTokens := j.requiredTokens() - hit*openai.BlockTokens
		if !m.mem.allocate(privateTokens) {
			m.mem.unpin(j.hashes[:hit])
			return
		}
		j.privateTokens, j.pinned = privateTokens, slices.Clone(j.hashes[:hit])
		j.prefilledTokens = hit * openai.BlockTokens
		m.stats.CachedTokens += uint64(j.prefilledTokens)
		j.running = true
		m.waiting = m.waiting[1:]
		m.running = append(m.running, j)
	}
}

// startStep plans the next step and returns its duration in simulated time; ok is
// false if there is no work. At most ChunkTokens prompt tokens are prefilled, those
// of jobs with the lowest priority value first, so such a job overtakes a long
// prefill at the next chunk.
func (m *model) startStep() (duration time.Duration, ok bool) {
	m.admit()
	order := slices.Clone(m.running)
	slices.SortStableFunc(order, byPriority)
	budget, prefillSeconds, decoding, decodeTime := m.cfg.ChunkTokens, 0.0, 0, time.Duration(0)
	for _, j := range order {
		j.chunk, j.decoding = 0, false
		if j.hung {
			continue
		}
		ok = true
		left := j.promptTokens - j.prefilledTokens
		if left <= 0 {
			decodeTime = m.cfg.decodeStep()
			if j.decoding = (m.stats.Steps+j.arrival)%uint64(m.cfg.DecodeStride) == 0; j.decoding {
				decoding++
			}
			continue
		}
		j.chunk = min(left, budget)
		budget -= j.chunk
		prefillSeconds += float64(j.chunk) / m.promptTokensPerSecond(j)
	}
	duration = time.Duration(prefillSeconds*float64(time.Second)) + decodeTime +
		time.Duration(decoding)*m.cfg.decodePerSequence()
	return duration, ok
}

// promptTokensPerSecond returns the rate at which the prompt of j becomes available,
// by prefill or by transfer from another engine.
func (m *model) promptTokensPerSecond(j *job) float64 {
	switch {
	case j.imported:
		return m.cfg.TransferTokensPerSecond
	case m.cold:
		return m.cfg.PrefillTokensPerSecond * m.cfg.ColdPrefillFactor
	}
	return m.cfg.PrefillTokensPerSecond
}

// finishStep ends the step and returns the tokens it has produced. The step that
// completes a prefill produces the first token. Jobs that have produced their last
// token are removed, or held if they are exports.
func (m *model) finishStep() []outputToken {
	m.stats.Steps++
	var out []outputToken
	for _, j := range slices.Clone(m.running) {
		if !j.decoding {
			j.prefilledTokens += j.chunk
			if !j.imported {
				m.stats.PrefilledTokens += uint64(j.chunk)
			}
			// Jobs admitted during the step do not take part in it: their chunk is 0.
			if j.chunk == 0 || j.prefilledTokens < j.promptTokens {
				continue
			}
			j.chunk = 0
			m.storePrompt(j)
		}
		j.generatedTokens++
		m.stats.GeneratedTokens++
		last := j.generatedTokens >= j.maxTokens
		out = append(out, outputToken{job: j, index: j.generatedTokens - 1, last: last})
		switch {
		case last && j.export:
			m.hold(j)
		case last:
			m.remove(j)
		}
	}
	return out
}

// storePrompt moves the full blocks of a prefilled prompt into the prefix cache.
func (m *model) storePrompt(j *job) {
	rest := j.hashes[len(j.pinned):]
	if j.stored || j.imported || len(rest)*openai.BlockTokens > j.privateTokens {
		return
	}
	j.stored = true
	m.mem.store(rest)
	j.privateTokens -= len(rest) * openai.BlockTokens
	j.pinned = append(j.pinned, rest...)
}

// prefillTokens returns the number of prompt tokens that are not yet prefilled.
func (m *model) prefillTokens() int {
	total := 0
	for _, j := range m.running {
		total += j.promptTokens - j.prefilledTokens
	}
	for _, j := range m.waiting {
		total += j.promptTokens
	}
	return total
}
