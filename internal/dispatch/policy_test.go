package dispatch

import (
	"fmt"
	"testing"
	"time"

	"bilberryhub/internal/announce"
	"bilberryhub/internal/wirepb"
)

// policyCore returns a core with three cold backend servers, each with a cold limit of
// one request. The test fails if an invariant is violated.
func policyCore(t *testing.T, policy string) *Core {
	t.Helper()
	seen := violations(t)
	t.Cleanup(func() {
		if len(*seen) > 0 {
			t.Error(*seen)
		}
	})
	c := New(Config{Entry: "e0", FailureDomain: "x", Policy: policy, Seed: 1})
	c.SetView(newTestView())
	for i := range 3 {
		c.Announce(0, &announce.Announcement{
			ID: fmt.Sprint("b", i), Boot: 1, Address: "a", FailureDomain: "x", Service: "svc",
			Kind: announce.KindModel, Models: []string{"m"}, MemoryTokens: 1000, Sequence: 1,
		})
	}
	return c
}

// Guards against baselines that queue or enforce more than the load balancers that they
// represent, which would make comparisons meaningless.
func TestBaselines(t *testing.T) {
	want := map[string][]string{
		"random":          nil, // any order
		"round_robin":     {"b0", "b1", "b2", "b0", "b1", "b2"},
		"fewest_requests": {"b0", "b1", "b2", "b0", "b1", "b2"},
		"fewest_tokens":   {"b0", "b1", "b2", "b1", "b2", "b1"},
	}
	for _, name := range PolicyNames[1:] {
		c := policyCore(t, name)
		got := []string{}
		for i := range 6 {
			r := &wirepb.Reserve{
				DispatchId: fmt.Sprint(i), Account: "a", Service: "svc", FailureDomain: "x", Model: "m",
				DeadlineMs: 1000, PromptTokens: 500, MaxOutputTokens: 100, Entry: "p",
			}
			if i == 0 {
				r.PromptTokens = 5000
			}
			c.Reserve(0, r)
			for _, a := range c.TakeActions() {
				if g := a.Envelope.GetGrant(); g != nil {
					got = append(got, g.Members[0].Backend)
				}
			}
		}
		if len(got) != 6 || (want[name] != nil && fmt.Sprint(got) != fmt.Sprint(want[name])) {
			t.Errorf("%s granted %v, want %v", name, got, want[name])
		}
		c.Tick(time.Second)
		if b := c.sortedPools[0].sortedBackends[0]; b.reserved != 0 {
			t.Errorf("%s keeps %d tokens of expired permits", name, b.reserved)
		}
	}
}

// Guards against summaries that omit the wait in a queue or show a pool as in service
// that cannot serve.
func TestSummaries(t *testing.T) {
	c := policyCore(t, "bilberry")
	c.Tick(0)
	s := c.Summaries(0)[0]
	if !s.InService || s.BackendsCold != 3 || s.FreeMemoryTokens != 3000 || s.LargestPromptTokens != 3000 || s.ShortWaitMs != 0 {
		t.Errorf("idle pool: %v", s)
	}
	for i := range 6 {
		c.Reserve(0, &wirepb.Reserve{
			DispatchId: fmt.Sprint(i), Account: "a", Service: "svc", FailureDomain: "x", Model: "m",
			DeadlineMs: 60000, PromptTokens: 500, MaxOutputTokens: 100, Entry: "p",
		})
	}
	if q := c.Summaries(0)[0]; q.ShortWaitMs == 0 || q.FreeMemoryTokens != 1200 || q.Sequence <= s.Sequence {
		t.Errorf("pool with a queue: %v", q)
	}
	for i, b := range c.sortedPools[0].sortedBackends {
		c.Progress(0, &wirepb.Progress{Service: "svc", FailureDomain: "x", Backend: b.id, Boot: b.boot, PauseMs: uint32(1000 * (3 - i))})
	}
	if q := c.Summaries(0)[0]; q.InService || q.ShortWaitMs != 1000 || q.LongWaitMs != 1000 {
		t.Errorf("all backend servers want a pause: %v", q)
	}
	c.ReleasePools(0)
	if s := c.Summaries(0)[0]; s.InService {
		t.Errorf("stopping dispatcher: %v", s)
	}
	if s := c.Summaries(2 * time.Second); len(s) > 0 {
		t.Errorf("without any lease: %v", s)
	}
}
