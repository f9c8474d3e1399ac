package coldstart

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// Guards against a limit that grows without enough timely responses, and against
// a missed reset to the cold limit. Each input line is one event; the output is
// the limit after it. Events: answered N and late N (responses inside and outside
// the target), first MS (time to first token, estimated at 100 ms), cold 0|1 (load
// report), boot NUMBER, assume N (requests granted by an earlier owner), full N (new
// full limit).
func TestBudget(t *testing.T) {
	datadriven.RunTest(t, "testdata/budget", func(t *testing.T, d *datadriven.TestData) string {
		var declared, announced uint32
		full := 0
		d.ScanArgs(t, "declared", &declared)
		d.ScanArgs(t, "announced", &announced)
		d.ScanArgs(t, "full", &full)
		b := New(1, declared, announced, full)
		var out strings.Builder
		fmt.Fprintf(&out, "new: %d\n", b.Limit())
		for line := range strings.Lines(d.Input) {
			line = strings.TrimSpace(line)
			event, n := line, 0
			if _, err := fmt.Sscanf(line, "%s %d", &event, &n); err != nil {
				n = 1
			}
			switch event {
			case "answered", "late":
				for range n {
					b.RecordResponse(event == "answered")
				}
			case "first":
				b.RecordFirstToken(time.Duration(n)*time.Millisecond, 100*time.Millisecond)
			case "cold":
				b.RecordReport(n == 1)
			case "boot":
				b.SetBoot(uint64(n))
			case "assume":
				b.RaiseTo(n)
			case "full":
				b.SetLimits(declared, announced, n)
			default:
				t.Fatalf("unknown event %q", line)
			}
			fmt.Fprintf(&out, "%s: %d\n", line, b.Limit())
		}
		return out.String()
	})
}

// Guards against a limit above what the responses within target justify, for
// random sequences of responses and restarts.
func TestLimitGrowsOnlyWithTimelyResponses(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		cold := 1 + rng.IntN(4)
		b := New(1, uint32(cold), 0, 64)
		timelyResponses, limit := 0, cold
		for range 500 {
			switch rng.IntN(12) {
			case 0:
				b.SetBoot(rng.Uint64())
				timelyResponses, limit = 0, cold
			default:
				b.RecordResponse(true)
				if timelyResponses++; timelyResponses >= limit {
					timelyResponses, limit = 0, min(64, 2*limit)
				}
			}
			if b.Limit() > limit {
				t.Fatalf("seed %d: limit %d, justified %d", seed, b.Limit(), limit)
			}
		}
	}
}
