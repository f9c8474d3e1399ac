package workload

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/juju/errors"
)

// Independent streams of random numbers, so that a change of one setting leaves
// everything else of the workload as it is.
const (
	streamArrivals = iota + 1
	streamBodies
	streamBursts
)

const (
	// prefixesPerAccount is the number of prefixes that an account shares.
	prefixesPerAccount = 3
	// burstyFactor is the rate of the busy phases against the mean, and
	// phaseSeconds the mean length of a phase.
	burstyFactor = 3.0
	phaseSeconds = 10.0
	// paretoShape gives intervals a finite mean and an infinite variance.
	paretoShape = 1.5
)

// Generate returns the requests in the order of arrival.
func Generate(c Config) ([]Request, error) {
	if err := c.Check(); err != nil {
		return nil, errors.Trace(err)
	}
	bodies := rand.New(rand.NewPCG(c.Seed, streamBodies))
	var out []Request
	for _, at := range arrivals(&c) {
		out = append(out, c.request(bodies, at, c.account(bodies)))
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

func toDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// arrivals returns the arrival times in seconds.
func arrivals(c *Config) []float64 {
	rng := rand.New(rand.NewPCG(c.Seed, streamArrivals))
	var out []float64
	rate, phaseEnd, busy := c.RequestsPerSecond, math.Inf(1), false
	if c.Pattern == Bursty {
		phaseEnd = 0
	}
	for at := 0.0; ; {
		if at >= phaseEnd {
			// A quarter of the time is busy, so that the mean rate stays:
			// 1/4*3 + 3/4*1/3 = 1.
			busy = !busy
			rate, phaseEnd = c.RequestsPerSecond/burstyFactor, at+rng.ExpFloat64()*phaseSeconds*1.5
			if busy {
				rate, phaseEnd = c.RequestsPerSecond*burstyFactor, at+rng.ExpFloat64()*phaseSeconds/2
			}
		}
		next := at + rng.ExpFloat64()/rate
		if c.Pattern == HeavyTailed {
			scale := (paretoShape - 1) / paretoShape / c.RequestsPerSecond
			next = at + scale*math.Pow(1-rng.Float64(), -1/paretoShape)
		}
		if next > phaseEnd {
			// The rest of the interval is drawn anew at the next rate.
			at = phaseEnd
			continue
		}
		if at = next; at >= c.DurationSeconds {
			return out
		}
		out = append(out, at)
	}
}

// account draws an account; the large ones come first.
func (c *Config) account(rng *rand.Rand) int {
	small := c.Accounts - c.LargeAccounts
	if c.LargeAccounts > 0 && (small == 0 || rng.Float64() < c.LargeShare) {
		return rng.IntN(c.LargeAccounts)
	}
	return c.LargeAccounts + rng.IntN(small)
}

// bursts returns the additional requests of bursts.
func (c *Config) bursts() []Request {
	if c.BurstRequests == 0 || c.BurstEverySeconds <= 0 {
		return nil
	}
	rng := rand.New(rand.NewPCG(c.Seed, streamBursts))
	var out []Request
	for at := rng.ExpFloat64() * c.BurstEverySeconds; at < c.DurationSeconds; at += rng.ExpFloat64() * c.BurstEverySeconds {
		account := rng.IntN(c.Accounts)
		for range c.BurstRequests {
			r := c.request(rng, at+rng.Float64()*c.BurstSeconds, account)
			r.Burst = true
			out = append(out, r)
		}
	}
	return out
}

func logUniform(rng *rand.Rand, low, high int) int {
	return int(float64(low) * math.Pow(float64(high)/float64(low), rng.Float64()))
}

// request draws everything but the arrival time.
func (c *Config) request(rng *rand.Rand, at float64, account int) Request {
	r := Request{At: toDuration(at), Account: account, Nonce: rng.Uint64(), Salt: c.Salt}
	long := rng.Float64() < c.LongShare
	r.PromptTokens = logUniform(rng, c.MinTokens, LongTokens)
	if long {
		r.PromptTokens = logUniform(rng, LongTokens+1, c.MaxTokens)
	}
	r.MaxTokens = c.MinOutputTokens + rng.IntN(c.MaxOutputTokens-c.MinOutputTokens+1)
	shared := rng.Float64() < c.SharedPrefixShare
	r.Prefix = rng.IntN(prefixesPerAccount)
	if shared {
		r.PrefixTokens = min(prefixTokens(r.Prefix), r.PromptTokens*4/5)
	}
	r.Urgency = urgency(rng.Float64(), long)
	r.Deadline = toDuration(c.DeadlineSeconds + c.DeadlineSecondsPer1000*float64(r.PromptTokens)/1000)
	return r
}

// prefixTokens returns the length of a shared prefix: instructions, a history
// and a bundle of documents.
func prefixTokens(prefix int) int { return 1024 << (2 * prefix) }

// urgency draws the urgency. Nobody waits at the screen for a long prompt.
func urgency(p float64, long bool) string {
	switch {
	case long || p < 0.2:
		return "batch"
	case p < 0.4:
		return "urgent"
	}
	return "normal"
}
