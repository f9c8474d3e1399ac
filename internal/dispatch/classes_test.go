package dispatch

import (
	"testing"
	"time"
)

// Guards against length classes that do not follow the traffic, that assign all or no
// engines to long prefills, and that change on every fluctuation.
func TestClassesFollowTraffic(t *testing.T) {
	const initialBoundary = 3000.0
	run := func(engines int, shorts, longs int, k *lengthClasses, c *Core) {
		for c.now = 0; c.now < 30*time.Second; c.now += adaptInterval {
			for range shorts {
				k.observe(c.now, 1000)
			}
			for range longs {
				k.observe(c.now, 50000)
			}
			c.adapt(k, engines, initialBoundary)
		}
	}
	for _, x := range []struct{ engines, shorts, longs, want int }{
		{10, 10, 0, 1},  // only short requests: one engine stays available
		{10, 0, 10, 9},  // only long prompts: one engine takes none of them
		{10, 50, 1, 4},  // half of the work is long: 0.9 * 0.5 * 10, rounded
		{2, 50, 1, 1},   // two engines: one for each class
		{2, 0, 10, 1},   // also when all are long
		{1, 50, 1, 1},   // one engine: no separation
		{28, 150, 1, 6}, // a quarter of the work: 0.9 * 0.25 * 28, rounded
	} {
		c, k := New(Config{}), &lengthClasses{boundary: initialBoundary}
		run(x.engines, x.shorts, x.longs, k, c)
		if k.longCount != x.want {
			t.Errorf("%+v: %d long engines", x, k.longCount)
		}
		if b := float64(k.boundary); b < initialBoundary*minBoundaryFactor || b > initialBoundary*maxBoundaryFactor {
			t.Errorf("%+v: boundary %v", x, b)
		}
	}
	// Eight of ten engines fail: one of the remaining two takes no long prefills.
	c, k := New(Config{}), &lengthClasses{boundary: initialBoundary}
	run(10, 0, 10, k, c)
	if c.adapt(k, 2, initialBoundary); k.longCount != 1 {
		t.Errorf("%d long engines of 2", k.longCount)
	}
	// Traffic alternates between two mixtures on both sides of a rounding threshold, and
	// at times only long prompts arrive, for less than longDwell.
	c, k = New(Config{}), &lengthClasses{boundary: initialBoundary}
	mix := func(shorts, longs int) {
		k.samples = nil
		for range shorts {
			k.observe(c.now, 1000)
		}
		for range longs {
			k.observe(c.now, 50000)
		}
		c.now += adaptInterval
		c.adapt(k, 10, initialBoundary)
	}
	for range 10 {
		mix(50, 1)
	}
	for i := range 60 {
		if i%10 < 2 {
			mix(0, 1)
		} else {
			mix(43+3*(i%2), 1)
		}
		if k.longCount != 4 {
			t.Fatalf("step %d: %d long engines instead of 4", i, k.longCount)
		}
	}
}
