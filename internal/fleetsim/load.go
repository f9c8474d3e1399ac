package fleetsim

import (
	"math"
	"math/rand/v2"
)

// Phase is a period of the load that ends at UntilMs. Factors has, for each class,
// the factor on its arrival rate.
type Phase struct {
	UntilMs float64
	Factors []float64
}

// Run simulates the arrivals of all phases with a fixed seed, and then 60 s without
// arrivals in which the fleet completes its requests. Arrivals are a Poisson process
// for each class; prompt lengths are log-normal.
func (f *Fleet) Run(phases []Phase, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	if f.Gateways != nil {
		f.Gateways.start(len(f.engines), seed)
	}
	nextMs := make([]float64, len(f.Classes))
	startMs := 0.0
	for _, phase := range phases {
		for i, c := range f.Classes {
			nextMs[i] = startMs + interarrivalMs(rng, c.RequestsPerSecond*phase.Factors[i])
		}
		for {
			class := 0
			for i := range nextMs {
				if nextMs[i] < nextMs[class] {
					class = i
				}
			}
			if nextMs[class] >= phase.UntilMs {
				break
			}
			c := f.Classes[class]
			f.Arrive(class, nextMs[class], c.drawPromptTokens(rng), c.OutputTokens*(0.4+1.2*rng.Float64()))
			nextMs[class] += interarrivalMs(rng, c.RequestsPerSecond*phase.Factors[class])
		}
		startMs = phase.UntilMs
	}
	f.advanceAndRetry(startMs + 60_000)
}

// interarrivalMs draws the time to the next arrival of a Poisson process; it is
// infinite for a rate of zero.
func interarrivalMs(rng *rand.Rand, requestsPerSecond float64) float64 {
	if requestsPerSecond <= 0 {
		return math.Inf(1)
	}
	return rng.ExpFloat64() / requestsPerSecond * 1000
}

// drawPromptTokens draws a prompt length, in tokens, from a log-normal distribution
// with the mean and the coefficient of variation of the class, and limits it to
// 64 to MaxPromptTokens tokens.
func (c Class) drawPromptTokens(rng *rand.Rand) float64 {
	sigma := math.Sqrt(math.Log(1 + c.PromptVariation*c.PromptVariation))
	tokens := c.PromptTokens * math.Exp(sigma*rng.NormFloat64()-sigma*sigma/2)
	return max(64, min(tokens, c.MaxPromptTokens))
}
