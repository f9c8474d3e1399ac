package bench

import (
	"reflect"
	"testing"
	"time"

	"bilberryhub/internal/workload"
)

// testConfig returns the default configuration with a duration of 20 minutes.
func testConfig(seed uint64) AllocConfig {
	cfg := DefaultAlloc()
	cfg.Seed, cfg.Duration = seed, 20*time.Minute
	return cfg
}

// Guards against results that are not reproducible from the seed, and against
// prompts that are lost or served twice.
func TestAllocIsRepeatableAndLosesNothing(t *testing.T) {
	for _, name := range AllocatorNames {
		cfg := testConfig(3)
		a, err := runAlloc(cfg, newAllocator(name, &cfg))
		if err != nil {
			t.Fatal(err)
		}
		b, err := runAlloc(cfg, newAllocator(name, &cfg))
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(a, b) {
			t.Errorf("%s: two runs of one seed differ", name)
		}
		if recorded := int(a.Short.Count + a.Long.Count); recorded != a.Arrived || a.Served > a.Arrived {
			t.Errorf("%s: %d arrived, %d served, %d recorded", name, a.Arrived, a.Served, recorded)
		}
	}
}

// Guards against an allocator that leaves a class without an engine or does not
// react to changes of the traffic.
func TestAllocatorsFollowTheTraffic(t *testing.T) {
	for _, name := range AllocatorNames {
		cfg := testConfig(1)
		cfg.Pattern = workload.Bursty
		policy := newAllocator(name, &cfg)
		checked := &splitChecker{allocator: policy, t: t}
		r, err := runAlloc(cfg, checked)
		if err != nil {
			t.Fatal(err)
		}
		if r.Moves == 0 {
			t.Errorf("%s: no engine moved", name)
		}
	}
}

// splitChecker is an allocator that also checks, at each revenue interval, that every
// class has an engine and no engine is lost.
type splitChecker struct {
	allocator
	t *testing.T
}

func (c *splitChecker) onInterval(s *allocSim) {
	c.allocator.onInterval(s)
	if s.countEngines(short) < 1 || s.countEngines(long) < 1 || s.countEngines(short)+s.countEngines(long) != len(s.engines) {
		c.t.Fatalf("at %v: %d short, %d long", s.now, s.countEngines(short), s.countEngines(long))
	}
}

// Guards against a read probability that differs from the published rule.
func TestReadProbability(t *testing.T) {
	for _, test := range []struct{ own, want float64 }{
		{0, 0.60}, {0.5, 0.60}, {0.51, 0.20}, {0.85, 0.20}, {0.86, 0.02}, {1.15, 0.02}, {1.16, 0},
	} {
		if got := readProbability(test.own, 1); got != test.want {
			t.Errorf("own %v: %v, want %v", test.own, got, test.want)
		}
	}
}
