package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against an overhead that is attributed to the speed, which makes the dispatcher
// hold back and refuse work that fits, and against a nominal speed that prevails over
// measurements of another one.
func TestTTFTRegression(t *testing.T) {
	for name, x := range map[string]struct {
		shortest, longest   float64
		fixed, speed        float64
		lowSpeed, highSpeed float64
	}{
		"short prompts with an overhead":     {100, 900, 1.5, 10000, 5000, 20000},
		"one length":                         {1000, 1001, 1.5, 10000, 5000, 20000},
		"mixed lengths, slower than nominal": {100, 50000, 0.3, 3000, 2700, 3300},
		"mixed lengths, faster than nominal": {100, 50000, 0.3, 40000, 36000, 44000},
		"without an overhead, as nominal":    {100, 50000, 0, 10000, 9000, 11000},
	} {
		rng := rand.New(rand.NewPCG(1, 1))
		var s ttftRegression
		for range 200 {
			work := x.shortest + rng.Float64()*(x.longest-x.shortest)
			noise := 0.9 + 0.2*rng.Float64()
			s.add(work, time.Duration((x.fixed+work/x.speed)*noise*float64(time.Second)))
		}
		speed, overhead := s.fit(10000)
		if speed < x.lowSpeed || speed > x.highSpeed {
			t.Errorf("%s: speed %.0f", name, speed)
		}
		mean := (x.shortest + x.longest) / 2
		want := x.fixed + mean/x.speed
		if got := overhead.Seconds() + mean/speed; got < 0.8*want || got > 1.2*want {
			t.Errorf("%s: a prompt of %.0f tokens is expected after %.2f s instead of %.2f s", name, mean, got, want)
		}
	}
}
