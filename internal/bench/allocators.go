package bench

import (
	"math"
	"slices"
	"time"
)

// AllocatorNames are the ways to allocate engines, in the order of reports.
var AllocatorNames = []string{"proportional", "honey_bee", "honey_bee_60s", "greedy"}

// configFor returns the configuration of one allocator. A prompt of a million
// tokens takes 50 s, so engines that serve long prompts earn nothing in most
// intervals of 5 s; the second variant takes revenue rates over a minute.
func configFor(name string, cfg AllocConfig) AllocConfig {
	if name == "honey_bee_60s" {
		cfg.RevenueInterval = time.Minute
	}
	return cfg
}

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
// of recent work.
type proportional struct {
	recent []arrivedWork
}

type arrivedWork struct {
	at     time.Duration
	class  class
	tokens int
}

const (
	// shareWindow is how much traffic the share is taken over: a long prompt
	// arrives every 7 s at 70% load, so two minutes hold about 17 of them.
	shareWindow = 2 * time.Minute
	// shareHysteresis is how far the wanted number of engines must be from the
	// present one, in engines. Above one half it prevents moves back and forth
	// between two numbers.
	shareHysteresis = 0.75
)

func (p *proportional) arrived(now time.Duration, c class, tokens int) {
	p.recent = append(p.recent, arrivedWork{now, c, tokens})
}

func (p *proportional) completed(time.Duration, int, class, float64) {}
func (p *proportional) interval(*allocSim)                           {}
func (p *proportional) every() time.Duration                         { return time.Second }

func (p *proportional) tick(s *allocSim) {
	cut := 0
	for cut < len(p.recent) && p.recent[cut].at < s.now-shareWindow {
		cut++
	}
	p.recent = p.recent[cut:]
	var work [classes]float64
	for _, w := range p.recent {
		work[w.class] += float64(w.tokens)
	}
	total := work[short] + work[long]
	if total == 0 {
		return
	}
	n := float64(len(s.engines))
	exact := min(max(work[long]/total*n, 1), n-1)
	if math.Abs(exact-float64(s.count(long))) > shareHysteresis {
		s.moveTowards(long, int(math.Round(exact)), 1)
	}
}

// greedy maximises the revenue of the next interval, with the arrivals of the
// last interval as the forecast.
type greedy struct {
	work [classes]float64
}

func (g *greedy) arrived(_ time.Duration, c class, tokens int) { g.work[c] += float64(tokens) }
func (g *greedy) completed(time.Duration, int, class, float64) {}
func (g *greedy) every() time.Duration                         { return 0 }
func (g *greedy) tick(*allocSim)                               {}
func (g *greedy) forecast(c class, engines int, each float64) float64 {
	return min(g.work[c], float64(engines)*each)
}

func (g *greedy) interval(s *allocSim) {
	each := s.cfg.TokensPerSecond * s.cfg.RevenueInterval.Seconds()
	n, now := len(s.engines), s.count(long)
	// Ties keep the present number, since a move costs a downtime.
	best, bestRevenue := now, g.forecast(long, now, each)+g.forecast(short, n-now, each)
	for k := 1; k < n; k++ {
		lost := math.Abs(float64(k-now)) * s.cfg.MoveDowntime.Seconds() * s.cfg.TokensPerSecond
		if r := g.forecast(long, k, each) + g.forecast(short, n-k, each) - lost; r > bestRevenue {
			best, bestRevenue = k, r
		}
	}
	s.moveTowards(long, best, n)
	g.work = [classes]float64{}
}

// honeyBee is the self-organised allocation after Nakrani and Tovey: servers
// advertise their class on a board, and servers with a low revenue rate read the
// board and follow a random advert.
type honeyBee struct {
	cfg   *AllocConfig
	board []advert
	sim   *allocSim
}

type advert struct {
	class   class
	expires time.Duration
}

// advertProbability is the probability that a completed request is advertised.
const advertProbability = 0.10

// readProbability returns the probability of reading an advert for a server with
// the given revenue rate against the mean of all.
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

func (h *honeyBee) arrived(time.Duration, class, int) {}
func (h *honeyBee) every() time.Duration              { return 0 }
func (h *honeyBee) tick(*allocSim)                    {}

func (h *honeyBee) completed(now time.Duration, _ int, c class, revenue float64) {
	if h.sim == nil || h.sim.rng.Float64() >= advertProbability {
		return
	}
	life := time.Duration(revenue * h.cfg.AdvertSecondsPerToken * float64(time.Second))
	h.board = append(h.board, advert{c, now + life})
}

// interval lets each server read with its probability. The first engine of each
// class is its scout and picks a random class.
func (h *honeyBee) interval(s *allocSim) {
	h.sim = s
	h.board = slices.DeleteFunc(h.board, func(a advert) bool { return a.expires <= s.now })
	mean := 0.0
	for i := range s.engines {
		mean += s.engines[i].lastRevenue / float64(len(s.engines))
	}
	var scouted [classes]bool
	for i := range s.engines {
		en := &s.engines[i]
		scout := !scouted[en.class]
		scouted[en.class] = true
		if en.moving || s.rng.Float64() >= readProbability(en.lastRevenue, mean) {
			continue
		}
		switch {
		case scout:
			s.move(i, class(s.rng.IntN(int(classes))))
		case len(h.board) > 0:
			s.move(i, h.board[s.rng.IntN(len(h.board))].class)
		}
	}
}
