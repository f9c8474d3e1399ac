package bench

import (
	"reflect"
	"testing"
	"time"

	"bilberryhub/internal/workload"
)

func shortRun(seed uint64) AllocConfig {
	cfg := DefaultAlloc()
	cfg.Seed, cfg.Duration = seed, 20*time.Minute
	return cfg
}

// Guards against a comparison that cannot be repeated, and against prompts that
// are lost or served twice.
func TestAllocIsRepeatableAndLosesNothing(t *testing.T) {
	for _, name := range AllocatorNames {
		cfg := shortRun(3)
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
// react to a change of the traffic.
func TestAllocatorsFollowTheTraffic(t *testing.T) {
	for _, name := range AllocatorNames {
		cfg := shortRun(1)
		cfg.Pattern = workload.Bursty
		policy := newAllocator(name, &cfg)
		watched := &watch{allocator: policy, t: t}
		r, err := runAlloc(cfg, watched)
		if err != nil {
			t.Fatal(err)
		}
		if r.Moves == 0 {
			t.Errorf("%s: no engine moved", name)
		}
	}
}

// watch checks the split at each interval.
type watch struct {
	allocator
	t *testing.T
}

func (w *watch) interval(s *allocSim) {
	w.allocator.interval(s)
	if s.count(short) < 1 || s.count(long) < 1 || s.count(short)+s.count(long) != len(s.engines) {
		w.t.Fatalf("at %v: %d short, %d long", s.now, s.count(short), s.count(long))
	}
}

// Guards against a reading probability that departs from the published rule.
func TestReadProbability(t *testing.T) {
	for _, test := range []struct{ own, want float64 }{
		{0, 0.60}, {0.5, 0.60}, {0.51, 0.20}, {0.85, 0.20}, {0.86, 0.02}, {1.15, 0.02}, {1.16, 0},
	} {
		if got := readProbability(test.own, 1); got != test.want {
			t.Errorf("own %v: %v, want %v", test.own, got, test.want)
		}
	}
}
