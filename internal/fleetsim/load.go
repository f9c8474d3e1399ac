package fleetsim

import (
	"math"
	"math/rand/v2"
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
	f.wait(start + 60_000)
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
