package workload

import (
	"math"
	"reflect"
	"testing"
	"time"
)

// generate returns a workload of about 20,000 requests with the default settings, as
// modified by the given function.
func generate(t *testing.T, modify func(*Config)) []Request {
	t.Helper()
	c := Default()
	c.DurationSeconds, c.RequestsPerSecond = 2000, 10
	if modify != nil {
		modify(&c)
	}
	out, err := Generate(c)
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// Guards against workloads that are not reproducible from their seed.
func TestSameSeedSameWorkload(t *testing.T) {
	a, b := generate(t, nil), generate(t, nil)
	if !reflect.DeepEqual(a, b) {
		t.Fatal("two workloads of one seed differ")
	}
	if reflect.DeepEqual(a, generate(t, func(c *Config) { c.Seed = 2 })) {
		t.Fatal("the workloads of two seeds are equal")
	}
}

// Guards against a workload whose mix of lengths and accounts differs from its
// configuration. The bounds are four standard deviations of the configured
// distribution.
func TestDistribution(t *testing.T) {
	out := generate(t, nil)
	n := float64(len(out))
	share := func(want float64, matches func(*Request) bool) {
		t.Helper()
		count := 0.0
		for i := range out {
			if matches(&out[i]) {
				count++
			}
		}
		if bound := 4 * math.Sqrt(want*(1-want)/n); math.Abs(count/n-want) > bound {
			t.Errorf("share %.4f, want %.4f within %.4f", count/n, want, bound)
		}
	}
	share(0.02, func(r *Request) bool { return r.PromptTokens > LongTokens })
	// Half of the logarithmic range of the others lies below 10,000.
	share(0.98/2, func(r *Request) bool { return r.PromptTokens < ShortTokens })
	share(0.6, func(r *Request) bool { return r.Account < 3 })
	share(0.3, func(r *Request) bool { return r.PrefixTokens > 0 })
	last := time.Duration(0)
	for i := range out {
		r := &out[i]
		if r.PromptTokens < 1000 || r.PromptTokens > 1_000_000 || r.At < last || r.Number != i {
			t.Fatalf("request %d: %+v", i, r)
		}
		last = r.At
	}
}

// Guards against patterns with different mean rates, with which policies would be
// compared at different loads. The bounds are 10% for a Poisson process of 20,000
// arrivals and 50% for the patterns of high variance.
func TestPatternsKeepTheMeanRate(t *testing.T) {
	for pattern, bound := range map[Pattern]float64{Steady: 0.1, Bursty: 0.5, HeavyTailed: 0.5} {
		out := generate(t, func(c *Config) { c.Pattern = pattern })
		if rate := float64(len(out)) / 2000; math.Abs(rate-10) > 10*bound {
			t.Errorf("%s: %.2f requests/s, want 10", pattern, rate)
		}
	}
}

// Guards against a NoLong setting that also changes the other requests, which would
// invalidate the comparison of runs with and without long prompts.
func TestNoLongKeepsTheRest(t *testing.T) {
	type key struct {
		at    time.Duration
		nonce uint64
	}
	with := map[key]bool{}
	for _, r := range generate(t, nil) {
		if r.PromptTokens <= LongTokens {
			with[key{r.At, r.Nonce}] = true
		}
	}
	without := generate(t, func(c *Config) { c.NoLong = true })
	for _, r := range without {
		if !with[key{r.At, r.Nonce}] {
			t.Fatalf("request %d is not part of the full workload", r.Number)
		}
	}
	if len(without) != len(with) {
		t.Fatalf("%d requests without long ones, want %d", len(without), len(with))
	}
}

// Guards against prompts of the wrong length, and against texts of one account whose
// common prefix is shorter or longer than PrefixTokens.
func TestText(t *testing.T) {
	a := Request{PromptTokens: 3000, PrefixTokens: 1024, Account: 1, Nonce: 1}
	b := Request{PromptTokens: 5000, PrefixTokens: 1024, Account: 1, Nonce: 2}
	textA, textB := a.Text(), b.Text()
	if len(textA) != 3000*bytesPerToken || len(textB) != 5000*bytesPerToken {
		t.Fatalf("lengths %d and %d", len(textA), len(textB))
	}
	equal := 0
	for textA[equal] == textB[equal] {
		equal++
	}
	if equal < 1024*bytesPerToken || equal > 1024*bytesPerToken+30 {
		t.Fatalf("%d bytes are equal", equal)
	}
}

// Guards against bursts that are missing, or that appear as a general rise of the
// rate instead of as groups of exactly BurstRequests requests.
func TestBursts(t *testing.T) {
	out := generate(t, func(c *Config) { c.BurstRequests = 40 })
	bursts := 0
	for i := range out {
		if out[i].Burst {
			bursts++
		}
	}
	if bursts == 0 || bursts%40 != 0 {
		t.Fatalf("%d requests of bursts of 40", bursts)
	}
}
