package workload

import (
	"math"
	"reflect"
	"testing"
	"time"
)

func generate(t *testing.T, change func(*Config)) []Request {
	t.Helper()
	c := Default()
	c.DurationSeconds, c.RequestsPerSecond = 2000, 10
	if change != nil {
		change(&c)
	}
	out, err := Generate(c)
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// Guards against measurements that cannot be repeated.
func TestSameSeedSameWorkload(t *testing.T) {
	a, b := generate(t, nil), generate(t, nil)
	if !reflect.DeepEqual(a, b) {
		t.Fatal("two workloads of one seed differ")
	}
	if reflect.DeepEqual(a, generate(t, func(c *Config) { c.Seed = 2 })) {
		t.Fatal("the workloads of two seeds are equal")
	}
}

// Guards against a workload without the stated mix of lengths and accounts. The
// bounds are four standard deviations of the stated distribution.
func TestDistribution(t *testing.T) {
	out := generate(t, nil)
	n := float64(len(out))
	share := func(want float64, of func(*Request) bool) {
		t.Helper()
		count := 0.0
		for i := range out {
			if of(&out[i]) {
				count++
			}
		}
		if dev := 4 * math.Sqrt(want*(1-want)/n); math.Abs(count/n-want) > dev {
			t.Errorf("share %.4f, want %.4f within %.4f", count/n, want, dev)
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

// Guards against patterns whose mean rate differs, which would compare policies
// at different loads. The bounds are 10% for a Poisson process of 20,000 arrivals
// and half for those of high variance.
func TestPatternsKeepTheMeanRate(t *testing.T) {
	for pattern, bound := range map[Pattern]float64{Steady: 0.1, Bursty: 0.5, HeavyTailed: 0.5} {
		out := generate(t, func(c *Config) { c.Pattern = pattern })
		if rate := float64(len(out)) / 2000; math.Abs(rate-10) > 10*bound {
			t.Errorf("%s: %.2f requests/s, want 10", pattern, rate)
		}
	}
}

// Guards against a comparison with and without long prompts in which the short
// ones differ as well.
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

// Guards against prompts of the wrong length, and against prefixes that are not
// shared or shared too far.
func TestText(t *testing.T) {
	a := Request{PromptTokens: 3000, PrefixTokens: 1024, Account: 1, Nonce: 1}
	b := Request{PromptTokens: 5000, PrefixTokens: 1024, Account: 1, Nonce: 2}
	ta, tb := a.Text(), b.Text()
	if len(ta) != 3000*bytesPerToken || len(tb) != 5000*bytesPerToken {
		t.Fatalf("lengths %d and %d", len(ta), len(tb))
	}
	equal := 0
	for ta[equal] == tb[equal] {
		equal++
	}
	if equal < 1024*bytesPerToken || equal > 1024*bytesPerToken+30 {
		t.Fatalf("%d bytes are equal", equal)
	}
}

// Guards against bursts that are announced by a general rise of the rate, or
// missing.
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
