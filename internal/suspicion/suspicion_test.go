package suspicion

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// Guards against crashes attributed to the wrong request and against a quarantine
// that starts late or never ends. Lines: crash FINGERPRINT BACKEND BOOT [sole], done
// FINGERPRINT, wait DURATION. The output is the count of each fingerprint.
func TestTable(t *testing.T) {
	datadriven.RunTest(t, "testdata/table", func(t *testing.T, d *datadriven.TestData) string {
		table, now := New(), time.Duration(0)
		var names []string
		var out strings.Builder
		for line := range strings.Lines(d.Input) {
			f := strings.Fields(line)
			switch f[0] {
			case "crash":
				var boot uint64
				if _, err := fmt.Sscan(f[3], &boot); err != nil {
					t.Fatal(err)
				}
				table.RecordCrash(now, f[1], Crash{f[2], boot}, len(f) > 4)
				names = append(names, f[1])
			case "done":
				table.RecordCompletion(now, f[1])
			case "wait":
				step, err := time.ParseDuration(f[1])
				if err != nil {
					t.Fatal(err)
				}
				now += step
				table.Expire(now)
			}
			fmt.Fprintf(&out, "%s:", strings.TrimSpace(line))
			seen := map[string]bool{}
			for _, n := range names {
				if left, refused := table.Quarantined(now, n); !seen[n] {
					fmt.Fprintf(&out, " %s=%d", n, table.Count(n))
					if refused {
						fmt.Fprintf(&out, "(refused for %v)", left)
					}
				}
				seen[n] = true
			}
			out.WriteString("\n")
		}
		return out.String()
	})
}

// Guards against dispatchers with different counts because broadcasts of crashes
// arrived twice or in a different order.
func TestOrderDoesNotMatter(t *testing.T) {
	type fact struct {
		fp    string
		crash Crash
		sole  bool
	}
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var facts []fact
		for boot := range uint64(4) {
			sole := rng.IntN(3) // at most one request of a crash was the only suspect
			for i := range 3 {
				facts = append(facts, fact{fmt.Sprint("f", rng.IntN(4)), Crash{"b", boot}, i == sole && boot > 0})
			}
		}
		a, b := New(), New()
		for _, f := range facts {
			a.RecordCrash(0, f.fp, f.crash, f.sole)
		}
		order := append(rng.Perm(len(facts)), rng.Perm(len(facts))...)
		for _, i := range order {
			b.RecordCrash(0, facts[i].fp, facts[i].crash, facts[i].sole)
		}
		for i := range 4 {
			if fp := fmt.Sprint("f", i); a.Count(fp) != b.Count(fp) {
				t.Fatalf("seed %d: %s counts %d and %d", seed, fp, a.Count(fp), b.Count(fp))
			}
		}
	}
}
