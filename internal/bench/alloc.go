package bench

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"bilberryhub/internal/loadtool"
	"bilberryhub/internal/workload"

	"github.com/juju/errors"
)

// class is a length class with engines of its own.
type class int

const (
	short class = iota
	long
	classes
)

// AllocConfig describes one allocation run. An engine serves one prompt at a
// time, at a fixed rate, from the common queue of its class. An engine that moves
// finishes its prompt and is then down for MoveDowntime, in which it drains its
// cache and changes its role.
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

// DefaultAlloc returns the constants of the experiment: a pool of 15 engines at
// 70% load over four hours.
func DefaultAlloc() AllocConfig {
	return AllocConfig{
		Seed: 1, Engines: 15, TokensPerSecond: 20_000, MoveDowntime: 2 * time.Second,
		Duration: 4 * time.Hour, RevenueInterval: 5 * time.Second, Load: 0.7, Pattern: workload.Steady,
		// An advert of a mean prompt of 29,000 tokens lives 15 s.
		AdvertSecondsPerToken: 15.0 / 29_000,
	}
}

// allocEngine is one engine of the simulation.
type allocEngine struct {
	class  class
	busy   bool
	moving bool
	// target is the class to move to after the current prompt.
	target class
	// revenue earned in the interval under way and in the one before.
	revenue, lastRevenue float64
}

// allocator decides which engines serve which class.
type allocator interface {
	// arrived and completed report events; revenue is in tokens.
	arrived(now time.Duration, c class, tokens int)
	completed(now time.Duration, engine int, c class, revenue float64)
	// interval is called at the end of each revenue interval.
	interval(s *allocSim)
	// every is the time between two calls of tick; zero for none.
	every() time.Duration
	tick(s *allocSim)
}

type allocEventKind int

const (
	evArrival allocEventKind = iota
	evCompletion
	evMoved
	evInterval
	evTick
)

type allocEvent struct {
	at     time.Duration
	order  int
	kind   allocEventKind
	engine int
	class  class
	tokens int
}

type eventHeap []allocEvent

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(allocEvent)) }

func (h *eventHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

type waitingPrompt struct {
	at     time.Duration
	tokens int
}

// allocSim is one run.
type allocSim struct {
	cfg      AllocConfig
	policy   allocator
	rng      *rand.Rand
	now      time.Duration
	events   eventHeap
	order    int
	engines  []allocEngine
	queues   [classes][]waitingPrompt
	ttft     [classes]*loadtool.Recorder
	arrivals [classes]int
	served   [classes]int
	revenue  float64
	moves    int
}

// AllocResult is the outcome of one run.
type AllocResult struct {
	Short   loadtool.Times `json:"short_ttft"`
	Long    loadtool.Times `json:"long_ttft"`
	Moves   int            `json:"moves"`
	Arrived int            `json:"arrived"`
	Served  int            `json:"served"`
	// Revenue is in tokens served within the duration.
	Revenue float64 `json:"revenue"`
}

// prompts returns the arrivals of one class. The classes have seeds of their own,
// so that their bursts do not coincide.
func (cfg *AllocConfig) prompts(c class) ([]workload.Request, error) {
	w := workload.Default()
	w.Seed, w.Pattern = cfg.Seed*2+uint64(c), cfg.Pattern
	w.DurationSeconds = cfg.Duration.Seconds()
	// The mean lengths of the two logarithmic ranges, and of the mix.
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

// runAlloc simulates one allocator. It stops at the end of the duration; what
// waits then counts with the time it has waited, so that an allocator cannot gain
// by starving a class.
func runAlloc(cfg AllocConfig, policy allocator) (*AllocResult, error) {
	s := &allocSim{cfg: cfg, policy: policy, rng: rand.New(rand.NewPCG(cfg.Seed, 99)), engines: make([]allocEngine, cfg.Engines)}
	for c := short; c < classes; c++ {
		s.ttft[c] = loadtool.NewRecorder()
		requests, err := cfg.prompts(c)
		if err != nil {
			return nil, errors.Trace(err)
		}
		for _, r := range requests {
			s.schedule(allocEvent{at: r.At, kind: evArrival, class: c, tokens: r.PromptTokens})
		}
	}
	// All start with the same split: a quarter for long prompts.
	for i := range s.engines {
		if i < cfg.Engines/4 {
			s.engines[i].class = long
		}
	}
	s.schedule(allocEvent{at: cfg.RevenueInterval, kind: evInterval})
	if policy.every() > 0 {
		s.schedule(allocEvent{at: policy.every(), kind: evTick})
	}
	for len(s.events) > 0 && s.events[0].at <= cfg.Duration {
		s.handle(heap.Pop(&s.events).(allocEvent))
	}
	return s.result(), nil
}

func (s *allocSim) schedule(e allocEvent) {
	s.order++
	e.order = s.order
	heap.Push(&s.events, e)
}

func (s *allocSim) handle(e allocEvent) {
	s.now = e.at
	switch e.kind {
	case evArrival:
		s.arrivals[e.class]++
		s.policy.arrived(s.now, e.class, e.tokens)
		s.queues[e.class] = append(s.queues[e.class], waitingPrompt{e.at, e.tokens})
		s.start()
	case evCompletion:
		en := &s.engines[e.engine]
		en.busy = false
		en.revenue += float64(e.tokens)
		s.revenue += float64(e.tokens)
		s.served[e.class]++
		s.policy.completed(s.now, e.engine, e.class, float64(e.tokens))
		s.departIfMoving(e.engine)
		s.start()
	case evMoved:
		en := &s.engines[e.engine]
		en.moving, en.class = false, en.target
		s.start()
	case evInterval:
		for i := range s.engines {
			s.engines[i].lastRevenue, s.engines[i].revenue = s.engines[i].revenue, 0
		}
		s.policy.interval(s)
		s.schedule(allocEvent{at: s.now + s.cfg.RevenueInterval, kind: evInterval})
	case evTick:
		s.policy.tick(s)
		s.schedule(allocEvent{at: s.now + s.policy.every(), kind: evTick})
	}
}

// start gives waiting prompts to idle engines of their class.
func (s *allocSim) start() {
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

// count returns the engines of a class, those on the way to it included.
func (s *allocSim) count(c class) int {
	n := 0
	for i := range s.engines {
		if s.engines[i].heading() == c {
			n++
		}
	}
	return n
}

// heading returns the class that the engine serves or moves to.
func (en *allocEngine) heading() class {
	if en.moving {
		return en.target
	}
	return en.class
}

// move sends an engine to another class. Each class keeps one engine under every
// allocator, as the dispatcher guarantees.
func (s *allocSim) move(engine int, to class) bool {
	en := &s.engines[engine]
	if en.moving || en.class == to || s.count(en.class) <= 1 {
		return false
	}
	en.moving, en.target = true, to
	s.moves++
	s.departIfMoving(engine)
	return true
}

// departIfMoving starts the downtime of an engine that is to move and idle.
func (s *allocSim) departIfMoving(engine int) {
	if en := &s.engines[engine]; en.moving && !en.busy {
		s.schedule(allocEvent{at: s.now + s.cfg.MoveDowntime, kind: evMoved, engine: engine})
	}
}

// moveTowards moves engines until the class has the wanted number, idle ones
// first.
func (s *allocSim) moveTowards(c class, wanted, most int) {
	from, to := c, short+long-c
	if s.count(c) < wanted {
		from, to = to, from
	}
	for _, busy := range []bool{false, true} {
		for i := range s.engines {
			if most == 0 || s.count(c) == wanted {
				return
			}
			if en := &s.engines[i]; en.busy == busy && en.class == from && s.move(i, to) {
				most--
			}
		}
	}
}

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
