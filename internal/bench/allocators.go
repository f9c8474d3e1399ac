package bench

import (
	"math"
	"slices"
	"time"
)

// AllocatorNames are the names of the allocation rules, in the order of reports.
var AllocatorNames = []string{"proportional", "honey_bee", "honey_bee_60s", "greedy"}

// configFor returns the configuration for an allocator. A prompt of a million
// tokens takes 50 s, so engines that serve long prompts have no revenue in most
// intervals of 5 s; honey_bee_60s therefore computes revenue rates over a minute.
func configFor(name string, cfg AllocConfig) AllocConfig {
	if name == "honey_bee_60s" {
		cfg.RevenueInterval = time.Minute
	}
	return cfg
}

// newAllocator returns the allocator of a name, by default the proportional one.
func newAllocator(name string, cfg *AllocConfig) allocator {
	switch name {
	case "honey_bee", "honey_bee_60s":
		return &honeyBee{cfg: cfg}
	case "greedy":
		return &greedy{}
	}
	return &proportional{}
}

// proportional keeps the number of engines of a class proportional to its share
// of the tokens that arrived within shareWindow.
type proportional struct {
	recent []arrivedWork
}

// arrivedWork is one prompt that has arrived.
type arrivedWork struct {
	at     time.Duration
	class  class
	tokens int
}

const (
	// shareWindow is the period over which the shares are computed. A long prompt
	// arrives every 7 s at 70% load, so two minutes contain about 17 of them.
	shareWindow = 2 * time.Minute
	// shareHysteresisEngines is the difference between the wanted and the current
	// number of engines above which an engine moves. A value above one half
	// prevents oscillation between two numbers.
	shareHysteresisEngines = 0.75
)

func (p *proportional) onArrival(now time.Duration, c class, tokens int) {
	p.recent = append(p.recent, arrivedWork{now, c, tokens})
}

func (p *proportional) onCompletion(time.Duration, int, class, float64) {}
func (p *proportional) onInterval(*allocSim)                            {}
func (p *proportional) tickInterval() time.Duration                     { return time.Second }

func (p *proportional) onTick(s *allocSim) {
	expired := 0
	for expired < len(p.recent) && p.recent[expired].at < s.now-shareWindow {
		expired++
	}
	p.recent = p.recent[expired:]
	var work [numClasses]float64
	for _, w := range p.recent {
		work[w.class] += float64(w.tokens)
	}
	total := work[short] + work[long]
	if total == 0 {
		return
	}
	n := float64(len(s.engines))
	exact := min(max(work[long]/total*n, 1), n-1)
	if math.Abs(exact-float64(s.countEngines(long))) > shareHysteresisEngines {
		s.moveTowards(long, int(math.Round(exact)), 1)
	}
}

// greedy maximises the expected revenue of the next interval. Its forecast is that
// the arrivals of the last interval repeat.
type greedy struct {
	work [numClasses]float64
}

func (g *greedy) onArrival(_ time.Duration, c class, tokens int)  { g.work[c] += float64(tokens) }
func (g *greedy) onCompletion(time.Duration, int, class, float64) {}
func (g *greedy) tickInterval() time.Duration                     { return 0 }
func (g *greedy) onTick(*allocSim)                                {}

// forecast returns the expected revenue, in tokens, of a number of engines with the
// given capacity each.
func (g *greedy) forecast(c class, engines int, capacity float64) float64 {
	return min(g.work[c], float64(engines)*capacity)
}

func (g *greedy) onInterval(s *allocSim) {
	capacity := s.cfg.TokensPerSecond * s.cfg.RevenueInterval.Seconds()
	n, current := len(s.engines), s.countEngines(long)
	// On a tie the current number stays, because a move costs downtime.
	best, bestRevenue := current, g.forecast(long, current, capacity)+g.forecast(short, n-current, capacity)
	for k := 1; k < n; k++ {
		moveCost := math.Abs(float64(k-current)) * s.cfg.MoveDowntime.Seconds() * s.cfg.TokensPerSecond
		if r := g.forecast(long, k, capacity) + g.forecast(short, n-k, capacity) - moveCost; r > bestRevenue {
			best, bestRevenue = k, r
		}
	}
	s.moveTowards(long, best, n)
	g.work = [numClasses]float64{}
}

// honeyBee is the self-organising allocation of Nakrani and Tovey: engines
// advertise their class on a shared board, and engines with a low revenue rate read
// the board and move to the class of a random advert.
type honeyBee struct {
	cfg   *AllocConfig
	board []advert
	sim   *allocSim
}

// advert is an entry of the board.
type advert struct {
	class   class
	expires time.Duration
}

// advertProbability is the probability that a completed request is advertised.
const advertProbability = 0.10

// readProbability returns the probability that an engine reads an advert, given its
// own revenue rate and the mean rate of all engines.
func readProbability(own, mean float64) float64 {
	switch {
	case own <= 0.5*mean:
		return 0.60
	case own <= 0.85*mean:
		return 0.20
	case own <= 1.15*mean:
		return 0.02
	}
	return 0
}

func (h *honeyBee) onArrival(time.Duration, class, int) {}
func (h *honeyBee) tickInterval() time.Duration         { return 0 }
func (h *honeyBee) onTick(*allocSim)                    {}

func (h *honeyBee) onCompletion(now time.Duration, _ int, c class, revenue float64) {
	if h.sim == nil || h.sim.rng.Float64() >= advertProbability {
		return
	}
	lifetime := time.Duration(revenue * h.cfg.AdvertSecondsPerToken * float64(time.Second))
	h.board = append(h.board, advert{c, now + lifetime})
}

// onInterval lets each engine read the board with its read probability and move to
// the class of a random advert. The first engine of each class is its scout, which
// picks a random class instead.
func (h *honeyBee) onInterval(s *allocSim) {
	h.sim = s
	h.board = slices.DeleteFunc(h.board, func(a advert) bool { return a.expires <= s.now })
	mean := 0.0
	for i := range s.engines {
		mean += s.engines[i].lastRevenue / float64(len(s.engines))
	}
	var scouted [numClasses]bool
	for i := range s.engines {
		en := &s.engines[i]
		scout := !scouted[en.class]
		scouted[en.class] = true
		if en.moving || s.rng.Float64() >= readProbability(en.lastRevenue, mean) {
			continue
		}
		switch {
		case scout:
			s.move(i, class(s.rng.IntN(int(numClasses))))
		case len(h.board) > 0:
			s.move(i, h.board[s.rng.IntN(len(h.board))].class)
		}
	}
}
