package dispatch

import (
	"testing"
	"time"

	"bilberryhub/internal/wirepb"
)

// Guards against streams that cannot be resumed because the entry process lost its
// connections before its report of the start arrived. The request still runs on the
// engine, and its caller must be able to continue the stream through another entry
// process, also after the permit has expired at the dispatcher.
func TestFindUnreportedStart(t *testing.T) {
	c := policyCore(t, "bilberry")
	c.Reserve(0, &wirepb.Reserve{
		DispatchId: "d", RequestId: "r", Account: "a", Service: "svc", FailureDomain: "x", Model: "m",
		DeadlineMs: 10_000, PromptTokens: 100, MaxOutputTokens: 100, Entry: "p",
	})
	if c.Find(0, "r", "a") == nil {
		t.Error("a granted request is not found")
	}
	after := PermitLifetime + time.Second
	c.Tick(after)
	found := c.Find(after, "r", "a")
	if found.GetDispatchId() != "d" {
		t.Errorf("found %v after the permit has expired, expected dispatch d", found)
	}
	if c.Find(after, "r", "other") != nil || c.Find(after, "other", "a") != nil {
		t.Error("a request of another account or with another id is found")
	}
}
