package bench

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"bilberryhub/internal/loadtool"
	"bilberryhub/internal/workload"

	"github.com/juju/errors"
)

// class is a class of prompt lengths that is served by engines of its own.
type class int

const (
	short class = iota
	long
	numClasses
)

// AllocConfig describes one allocation run. An engine serves one prompt at a
// time, at a fixed rate, from the common queue of its class. An engine that moves
// to the other class completes its current prompt and is then unavailable for
// MoveDowntime, in which it drains its cache and changes its role. Load is the
// offered load as a fraction of the capacity of all engines. RevenueInterval is the
// period over which the revenue of an engine is counted, and AdvertSecondsPerToken
// the lifetime of an advert of honeyBee for each token of the completed prompt.
type AllocConfig struct {
	Seed                  uint64
	Engines               int
	TokensPerSecond       float64
	MoveDowntime          time.Duration
	Duration              time.Duration
	RevenueInterval       time.Duration
	Load                  float64
	Pattern               workload.Pattern
	AdvertSecondsPerToken float64
}

// DefaultAlloc returns the configuration of the experiment: a pool of 15 engines at
// 70% load over four hours.
func DefaultAlloc() AllocConfig {
	return AllocConfig{
		Seed: 1, Engines: 15, TokensPerSecond: 20_000, MoveDowntime: 2 * time.Second,
		Duration: 4 * time.Hour, RevenueInterval: 5 * time.Second, Load: 0.7, Pattern: workload.Steady,
		// The advert for a prompt of the mean length, 29,000 tokens, lasts 15 s.
		AdvertSecondsPerToken: 15.0 / 29_000,
	}
}

// allocEngine is one engine of the simulation.
type allocEngine struct {
	class  class
	busy   bool
	moving bool
	// target is the class that a moving engine changes to.
	target class
	// revenue and lastRevenue are the tokens served in the current revenue
	// interval and in the previous one.
	revenue, lastRevenue float64
}

// allocator is a rule that decides which engines serve which class.
type allocator interface {
	// onArrival and onCompletion are called for each prompt that arrives or
	// completes; revenue is in tokens.
	onArrival(now time.Duration, c class, tokens int)
	onCompletion(now time.Duration, engine int, c class, revenue float64)
	// onInterval is called at the end of each revenue interval.
	onInterval(s *allocSim)
	// tickInterval is the time between calls of onTick; zero disables them.
	tickInterval() time.Duration
	onTick(s *allocSim)
}

// allocEventKind is the kind of a simulation event.
type allocEventKind int

const (
	evArrival allocEventKind = iota
	evCompletion
	evMoved
	evInterval
	evTick
)

// allocEvent is a scheduled event. seq orders events of the same time.
type allocEvent struct {
	at     time.Duration
	seq    int
	kind   allocEventKind
	engine int
	class  class
	tokens int
}

// eventHeap implements heap.Interface, ordered by time and then by seq.
type eventHeap []allocEvent

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(allocEvent)) }

func (h *eventHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// waitingPrompt is a queued prompt with its arrival time.
type waitingPrompt struct {
	at     time.Duration
	tokens int
}

// allocSim is the state of one simulation run.
type allocSim struct {
	cfg      AllocConfig
	policy   allocator
	rng      *rand.Rand
	now      time.Duration
	events   eventHeap
	seq      int
	engines  []allocEngine
	queues   [numClasses][]waitingPrompt
	ttft     [numClasses]*loadtool.Recorder
	arrivals [numClasses]int
	served   [numClasses]int
	revenue  float64
	moves    int
}

// AllocResult is the result of one run, with TTFT by class.
type AllocResult struct {
	Short   loadtool.Times `json:"short_ttft"`
	Long    loadtool.Times `json:"long_ttft"`
	Moves   int            `json:"moves"`
	Arrived int            `json:"arrived"`
	Served  int            `json:"served"`
	// Revenue is the number of tokens served within the duration.
	Revenue float64 `json:"revenue"`
}

// prompts returns the arrivals of one class. Each class has its own seed, so that
// the bursts of the classes do not coincide.
func (cfg *AllocConfig) prompts(c class) ([]workload.Request, error) {
	w := workload.Default()
	w.Seed, w.Pattern = cfg.Seed*2+uint64(c), cfg.Pattern
	w.DurationSeconds = cfg.Duration.Seconds()
	// Mean lengths in tokens of the two log-uniform ranges. Weighted by their
	// shares they give the mean length of all prompts.
	const meanShort, meanLong = 21_500.0, 390_900.0
	rate := cfg.Load * float64(cfg.Engines) * cfg.TokensPerSecond /
		(meanShort*(1-w.LongShare) + meanLong*w.LongShare)
	share := w.LongShare
	w.LongShare, w.RequestsPerSecond = 0, rate*(1-share)
	if c == long {
		w.LongShare, w.RequestsPerSecond = 1, rate*share
	}
	out, err := workload.Generate(w)
	return out, errors.Annotate(err, "generate arrivals")
}

// runAlloc simulates one allocator until the end of the duration. Prompts that still
// wait then are recorded with the time that they have waited, so that starving a
// class does not improve the result of an allocator.
func runAlloc(cfg AllocConfig, policy allocator) (*AllocResult, error) {
	s := &allocSim{cfg: cfg, policy: policy, rng: rand.New(rand.NewPCG(cfg.Seed, 99)), engines: make([]allocEngine, cfg.Engines)}
	for c := short; c < numClasses; c++ {
		s.ttft[c] = loadtool.NewRecorder()
		requests, err := cfg.prompts(c)
		if err != nil {
			return nil, errors.Trace(err)
		}
		for _, r := range requests {
			s.schedule(allocEvent{at: r.At, kind: evArrival, class: c, tokens: r.PromptTokens})
		}
	}
	// All allocators start with the same split: a quarter of the engines serves
	// long prompts.
	for i := range s.engines {
		if i < cfg.Engines/4 {
			s.engines[i].class = long
		}
	}
	s.schedule(allocEvent{at: cfg.RevenueInterval, kind: evInterval})
	if policy.tickInterval() > 0 {
		s.schedule(allocEvent{at: policy.tickInterval(), kind: evTick})
	}
	for len(s.events) > 0 && s.events[0].at <= cfg.Duration {
		s.handle(heap.Pop(&s.events).(allocEvent))
	}
	return s.result(), nil
}

// schedule adds an event to the queue.
func (s *allocSim) schedule(e allocEvent) {
	s.seq++
	e.seq = s.seq
	heap.Push(&s.events, e)
}

// handle advances the clock to an event and processes it.
func (s *allocSim) handle(e allocEvent) {
	s.now = e.at
	switch e.kind {
	case evArrival:
		s.arrivals[e.class]++
		s.policy.onArrival(s.now, e.class, e.tokens)
		s.queues[e.class] = append(s.queues[e.class], waitingPrompt{e.at, e.tokens})
		s.dispatchWaiting()
	case evCompletion:
		en := &s.engines[e.engine]
		en.busy = false
		en.revenue += float64(e.tokens)
		s.revenue += float64(e.tokens)
		s.served[e.class]++
		s.policy.onCompletion(s.now, e.engine, e.class, float64(e.tokens))
		s.startMoveIfIdle(e.engine)
		s.dispatchWaiting()
	case evMoved:
		en := &s.engines[e.engine]
		en.moving, en.class = false, en.target
		s.dispatchWaiting()
	case evInterval:
		for i := range s.engines {
			s.engines[i].lastRevenue, s.engines[i].revenue = s.engines[i].revenue, 0
		}
		s.policy.onInterval(s)
		s.schedule(allocEvent{at: s.now + s.cfg.RevenueInterval, kind: evInterval})
	case evTick:
		s.policy.onTick(s)
		s.schedule(allocEvent{at: s.now + s.policy.tickInterval(), kind: evTick})
	}
}

// dispatchWaiting starts waiting prompts on idle engines of their class.
func (s *allocSim) dispatchWaiting() {
	for i := range s.engines {
		en := &s.engines[i]
		q := &s.queues[en.class]
		if en.busy || en.moving || len(*q) == 0 {
			continue
		}
		p := (*q)[0]
		*q = (*q)[1:]
		end := s.now + time.Duration(float64(p.tokens)/s.cfg.TokensPerSecond*float64(time.Second))
		s.ttft[en.class].Add(end - p.at)
		en.busy = true
		s.schedule(allocEvent{at: end, kind: evCompletion, engine: i, class: en.class, tokens: p.tokens})
	}
}

// countEngines returns the number of engines that serve a class or are moving to it.
func (s *allocSim) countEngines(c class) int {
	n := 0
	for i := range s.engines {
		if s.engines[i].assignedClass() == c {
			n++
		}
	}
	return n
}

// assignedClass returns the class that the engine serves or, if it is moving, will
// serve.
func (en *allocEngine) assignedClass() class {
	if en.moving {
		return en.target
	}
	return en.class
}

// move starts the move of an engine to another class, and reports whether it did. It
// refuses to take the last engine of a class, whatever the allocator, because the
// dispatcher guarantees each class one engine.
func (s *allocSim) move(engine int, to class) bool {
	en := &s.engines[engine]
	if en.moving || en.class == to || s.countEngines(en.class) <= 1 {
		return false
	}
	en.moving, en.target = true, to
	s.moves++
	s.startMoveIfIdle(engine)
	return true
}

// startMoveIfIdle starts the downtime of an engine that is to move, unless it is
// still busy.
func (s *allocSim) startMoveIfIdle(engine int) {
	if en := &s.engines[engine]; en.moving && !en.busy {
		s.schedule(allocEvent{at: s.now + s.cfg.MoveDowntime, kind: evMoved, engine: engine})
	}
}

// moveTowards moves engines, idle ones first, until the class has the wanted number
// of engines or maxMoves engines have been moved.
func (s *allocSim) moveTowards(c class, wanted, maxMoves int) {
	from, to := c, short+long-c
	if s.countEngines(c) < wanted {
		from, to = to, from
	}
	for _, busy := range []bool{false, true} {
		for i := range s.engines {
			if maxMoves == 0 || s.countEngines(c) == wanted {
				return
			}
			if en := &s.engines[i]; en.busy == busy && en.class == from && s.move(i, to) {
				maxMoves--
			}
		}
	}
}

// result records the prompts that still wait and returns the result of the run.
func (s *allocSim) result() *AllocResult {
	for c := range s.queues {
		for _, p := range s.queues[c] {
			s.ttft[c].Add(s.cfg.Duration - p.at)
		}
	}
	return &AllocResult{
		Short: s.ttft[short].Times(), Long: s.ttft[long].Times(), Moves: s.moves, Revenue: s.revenue,
		Arrived: s.arrivals[short] + s.arrivals[long], Served: s.served[short] + s.served[long],
	}
}
