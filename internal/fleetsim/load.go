package fleetsim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
)

// Phase is a span of the load with a factor for each class.
type Phase struct {
	UntilMs float64
	Factors []float64
}

// Play sends arrivals with a fixed seed through all phases, and lets the fleet
// finish. Arrivals are independent; prompts are log-normal.
func (f *Fleet) Play(phases []Phase, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	next := make([]float64, len(f.Classes))
	start := 0.0
	for _, p := range phases {
		for i, c := range f.Classes {
			next[i] = start + gap(rng, c.PerSecond*p.Factors[i])
		}
		for {
			class := 0
			for i := range next {
				if next[i] < next[class] {
					class = i
				}
			}
			if next[class] >= p.UntilMs {
				break
			}
			c := f.Classes[class]
			f.Arrive(class, next[class], c.prompt(rng), c.OutputTokens*(0.4+1.2*rng.Float64()))
			next[class] += gap(rng, c.PerSecond*p.Factors[class])
		}
		start = p.UntilMs
	}
	f.Advance(start + 60_000)
}

func gap(rng *rand.Rand, perSecond float64) float64 {
	if perSecond <= 0 {
		return math.Inf(1)
	}
	return rng.ExpFloat64() / perSecond * 1000
}

// prompt draws a length with the class's mean; the spread is the coefficient of
// variation.
func (c Class) prompt(rng *rand.Rand) float64 {
	sigma := math.Sqrt(math.Log(1 + c.PromptSpread*c.PromptSpread))
	x := c.PromptTokens * math.Exp(sigma*rng.NormFloat64()-sigma*sigma/2)
	return max(64, min(x, c.PromptMax))
}

// ClassResult sums up a class.
type ClassResult struct {
	Name                     string
	Asked, InTime, Served    int
	Refused                  int
	LateFirst, LongPause     int
	MeanFirstMs, WorthInTime float64
}

// Results sums up the requests by class.
func (f *Fleet) Results() []ClassResult {
	out := make([]ClassResult, len(f.Classes))
	for i, c := range f.Classes {
		out[i].Name = c.Name
	}
	for _, r := range f.Requests {
		c, s := f.Classes[r.Class], &out[r.Class]
		s.Asked++
		switch {
		case r.Refused:
			s.Refused++
			continue
		case r.EndedMs > 0:
			s.Served++
		}
		s.MeanFirstMs += r.FirstMs
		if r.InTime(c) {
			s.InTime++
		}
		if r.FirstMs > c.ObjectiveMs {
			s.LateFirst++
		}
		if r.PauseMs > c.PauseMs {
			s.LongPause++
		}
	}
	for i := range out {
		out[i].MeanFirstMs /= float64(max(1, out[i].Served))
	}
	return out
}

// String returns one line.
func (c ClassResult) String() string {
	share := func(n int) float64 { return float64(n) / float64(max(1, c.Asked)) }
	var b strings.Builder
	fmt.Fprintf(&b, "%-8s asked %5d in time %.3f late first %.3f long pause %.3f refused %.3f mean first %6.0f ms",
		c.Name, c.Asked, share(c.InTime), share(c.LateFirst), share(c.LongPause), share(c.Refused), c.MeanFirstMs)
	return b.String()
}
