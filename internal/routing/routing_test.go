package routing

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"bilberryhub/internal/wirepb"
)

// Guards against a choice from outdated or incomplete summaries, and against a time until
// pools return that one of them hasn't stated.
func TestCandidates(t *testing.T) {
	datadriven.Walk(t, "testdata", testTable)
}

// testTable runs the commands of one file with an empty table.
func testTable(t *testing.T, file string) {
	table := New(Config{Entry: "e0", FailureDomain: "x", DefaultDistance: 3 * time.Millisecond})
	now := time.Duration(0)
	datadriven.RunTest(t, file, func(t *testing.T, d *datadriven.TestData) string {
		arg := func(name string, value uint64) uint64 {
			d.MaybeScanArgs(t, name, &value)
			return value
		}
		switch d.Cmd {
		case "summary":
			domain := d.CmdArgs[0].Key
			table.Update(now, &wirepb.PoolSummaries{
				Sender: "d" + domain, Incarnation: arg("incarnation", 1), Pools: []*wirepb.PoolSummary{{
					FailureDomain: domain, Service: "svc", Dispatcher: "d" + domain, InService: !d.HasArg("out"),
					ShortWaitMs: uint32(arg("short", 0)), LongWaitMs: uint32(arg("long", 0)), BackendsWarm: 2,
					LargestPromptTokens: arg("largest", 100000), Sequence: arg("seq", 1), Models: []string{"m"}, BoundaryTokens: 4000,
				}},
			})
		case "wait":
			step, err := time.ParseDuration(d.CmdArgs[0].Key)
			if err != nil {
				t.Fatal(err)
			}
			now += step
		case "sent":
			table.RecordSent(now, d.CmdArgs[0].Key, "svc", arg("tokens", 0))
		case "lost":
			table.RemoveDispatcher("d"+d.CmdArgs[0].Key, 1)
		case "returns":
			left, ok := table.UntilFirstReturn(now, "svc", func(domain string) bool { return d.HasArg("exclude") && domain == "x" })
			return fmt.Sprintln(left, ok)
		case "choose":
			model := "m"
			d.MaybeScanArgs(t, "model", &model)
			tokens := arg("tokens", 1000)
			list, code := table.Candidates(now, Request{Service: "svc", Model: model, PromptTokens: tokens, Tokens: tokens},
				func(domain string) bool { return d.HasArg("exclude") && domain == "x" })
			var out strings.Builder
			for _, c := range list {
				fmt.Fprintf(&out, "%s %v\n", c.FailureDomain, c.Wait)
			}
			if code != "" {
				fmt.Fprintln(&out, code)
			}
			return out.String()
		}
		return "ok\n"
	})
}

// Guards against herding: work sent since the last summary must count, so that
// a burst spreads over pools that looked equal or slightly better.
func TestBurstSpreads(t *testing.T) {
	share := func(recordSent bool) (largest int) {
		table := New(Config{Entry: "e0", FailureDomain: "w"})
		for _, domain := range []string{"x", "y", "z"} {
			table.Update(0, &wirepb.PoolSummaries{Sender: domain, Pools: []*wirepb.PoolSummary{{
				FailureDomain: domain, Service: "svc", InService: true, BackendsWarm: 2, Sequence: 1, Models: []string{"m"},
			}}})
		}
		count := map[string]int{}
		for range 300 {
			list, _ := table.Candidates(0, Request{Service: "svc", Model: "m"}, func(string) bool { return false })
			domain := list[0].FailureDomain
			if recordSent {
				table.RecordSent(0, domain, "svc", 1000)
			}
			count[domain]++
			largest = max(largest, count[domain])
		}
		return largest
	}
	if largest := share(true); largest > 110 {
		t.Errorf("%d of 300 requests went to one of three equal pools", largest)
	}
	if largest := share(false); largest < 300 {
		t.Errorf("without recording sent work only %d of 300 went to one pool: the test shows nothing", largest)
	}
}

// Guards against retries beyond a tenth of the requests, for each account and
// in total.
func TestRetryBudget(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		r := NewRetryBudget()
		requests, retries := map[string]int{}, map[string]int{}
		allRequests, allRetries := 0, 0
		for i := range 2000 {
			account := fmt.Sprint("a", rng.IntN(5))
			r.Request(time.Duration(i), account)
			requests[account]++
			allRequests++
			for rng.IntN(2) == 0 {
				if r.Retry(time.Duration(i), account) {
					retries[account]++
					allRetries++
				}
			}
			if float64(retries[account]) > 1+0.1*float64(requests[account])+1e-6 || float64(allRetries) > 1+0.1*float64(allRequests)+1e-6 {
				t.Fatalf("seed %d: %d retries of %d, in total %d of %d", seed, retries[account], requests[account], allRetries, allRequests)
			}
		}
		if allRetries < 190 {
			t.Fatalf("seed %d: only %d of 200 possible retries", seed, allRetries)
		}
	}
}
