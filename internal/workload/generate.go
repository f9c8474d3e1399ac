package workload

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/juju/errors"
)

// Each aspect of the workload has an independent stream of random numbers, so that
// a change of one setting does not change the rest of the workload.
const (
	streamArrivals = iota + 1
	streamBodies
	streamBursts
)

const (
	// prefixesPerAccount is the number of shared prefixes of an account.
	prefixesPerAccount = 3
	// burstyRateFactor is the ratio of the rate in busy phases to the mean rate,
	// and of the mean rate to the rate in quiet phases. meanPhaseSeconds is the
	// mean length of all phases.
	burstyRateFactor = 3.0
	meanPhaseSeconds = 10.0
	// paretoShape is the shape parameter of the Pareto distribution of intervals.
	// Between 1 and 2, their mean is finite and their variance infinite.
	paretoShape = 1.5
)

// Generate returns the requests of a workload in the order of arrival. It returns an
// error if the configuration is invalid.
func Generate(c Config) ([]Request, error) {
	if err := c.Check(); err != nil {
		return nil, errors.Trace(err)
	}
	bodies := rand.New(rand.NewPCG(c.Seed, streamBodies))
	var out []Request
	for _, at := range arrivals(&c) {
		out = append(out, c.drawRequest(bodies, at, c.drawAccount(bodies)))
	}
	out = append(out, c.bursts()...)
	slices.SortStableFunc(out, func(a, b Request) int { return int(a.At - b.At) })
	if c.NoLong {
		out = slices.DeleteFunc(out, func(r Request) bool { return r.PromptTokens > LongTokens })
	}
	for i := range out {
		out[i].Number = i
	}
	return out, nil
}

// toDuration converts seconds to a duration.
func toDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// arrivals returns the arrival times, in seconds from the start, without bursts.
func arrivals(c *Config) []float64 {
	rng := rand.New(rand.NewPCG(c.Seed, streamArrivals))
	var out []float64
	rate, phaseEnd, busy := c.RequestsPerSecond, math.Inf(1), false
	if c.Pattern == Bursty {
		phaseEnd = 0
	}
	for at := 0.0; ; {
		if at >= phaseEnd {
			// Busy phases take a quarter of the time, which preserves the mean
			// rate: 1/4*3 + 3/4*1/3 = 1.
			busy = !busy
			rate, phaseEnd = c.RequestsPerSecond/burstyRateFactor, at+rng.ExpFloat64()*meanPhaseSeconds*1.5
			if busy {
				rate, phaseEnd = c.RequestsPerSecond*burstyRateFactor, at+rng.ExpFloat64()*meanPhaseSeconds/2
			}
		}
		next := at + rng.ExpFloat64()/rate
		if c.Pattern == HeavyTailed {
			scale := (paretoShape - 1) / paretoShape / c.RequestsPerSecond
			next = at + scale*math.Pow(1-rng.Float64(), -1/paretoShape)
		}
		if next > phaseEnd {
			// The remainder of the interval is drawn again at the rate of the next phase.
			at = phaseEnd
			continue
		}
		if at = next; at >= c.DurationSeconds {
			return out
		}
		out = append(out, at)
	}
}

// drawAccount draws an account. The large accounts have the lowest numbers.
func (c *Config) drawAccount(rng *rand.Rand) int {
	small := c.Accounts - c.LargeAccounts
	if c.LargeAccounts > 0 && (small == 0 || rng.Float64() < c.LargeShare) {
		return rng.IntN(c.LargeAccounts)
	}
	return c.LargeAccounts + rng.IntN(small)
}

// bursts returns the requests of the bursts, which are added to the regular ones.
func (c *Config) bursts() []Request {
	if c.BurstRequests == 0 || c.BurstEverySeconds <= 0 {
		return nil
	}
	rng := rand.New(rand.NewPCG(c.Seed, streamBursts))
	var out []Request
	for at := rng.ExpFloat64() * c.BurstEverySeconds; at < c.DurationSeconds; at += rng.ExpFloat64() * c.BurstEverySeconds {
		account := rng.IntN(c.Accounts)
		for range c.BurstRequests {
			r := c.drawRequest(rng, at+rng.Float64()*c.BurstSeconds, account)
			r.Burst = true
			out = append(out, r)
		}
	}
	return out
}

// drawLogUniform draws a number from low to high whose logarithm is uniformly
// distributed.
func drawLogUniform(rng *rand.Rand, low, high int) int {
	return int(float64(low) * math.Pow(float64(high)/float64(low), rng.Float64()))
}

// drawRequest returns a request that arrives at the given time, in seconds from the
// start, and draws its lengths, prefix, urgency and nonce.
func (c *Config) drawRequest(rng *rand.Rand, at float64, account int) Request {
	r := Request{At: toDuration(at), Account: account, Nonce: rng.Uint64(), Salt: c.Salt}
	long := rng.Float64() < c.LongShare
	r.PromptTokens = drawLogUniform(rng, c.MinTokens, LongTokens)
	if long {
		r.PromptTokens = drawLogUniform(rng, LongTokens+1, c.MaxTokens)
	}
	r.MaxTokens = c.MinOutputTokens + rng.IntN(c.MaxOutputTokens-c.MinOutputTokens+1)
	shared := rng.Float64() < c.SharedPrefixShare
	r.Prefix = rng.IntN(prefixesPerAccount)
	if shared {
		r.PrefixTokens = min(prefixTokens(r.Prefix), r.PromptTokens*4/5)
	}
	r.Urgency = drawUrgency(rng.Float64(), long)
	r.Deadline = toDuration(c.DeadlineSeconds + c.DeadlineSecondsPer1000*float64(r.PromptTokens)/1000)
	return r
}

// prefixTokens returns the length of a shared prefix in tokens: 1,024 for
// instructions, 4,096 for a conversation history and 16,384 for a set of documents.
func prefixTokens(prefix int) int { return 1024 << (2 * prefix) }

// drawUrgency maps a uniform random number p from 0 to 1 to an urgency. Long prompts
// are always batch, because no user waits for their response interactively.
func drawUrgency(p float64, long bool) string {
	switch {
	case long || p < 0.2:
		return "batch"
	case p < 0.4:
		return "urgent"
	}
	return "normal"
}
