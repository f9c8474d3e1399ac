package gateway

import (
	"testing"
	"time"

	"bilberryhub/internal/fleet"
)

// A failure domain that is cut off from this gateway must not cost each request
// the wait for a connection: after two silent backend servers the others of the
// domain are avoided as well, until one is reached or the cut may be over.
func TestDomainThatIsCutOff(t *testing.T) {
	h := newHealth()
	far := &fleet.BackendServer{ID: "x", FailureDomain: "b"}
	near := &fleet.BackendServer{ID: "y", FailureDomain: "a"}
	avoided := func(b *fleet.BackendServer, now time.Duration) bool { return h.judge(b, b.Key(), now, time.Hour).avoid }
	h.noteSilent("b", 1, time.Second)
	if avoided(far, time.Second) {
		t.Fatal("one silent backend server takes its failure domain out")
	}
	h.noteSilent("b", 2, time.Second)
	if !avoided(far, time.Second) || avoided(near, time.Second) {
		t.Fatal("the failure domain of two silent backend servers is not avoided, or another one is")
	}
	if avoided(far, 2*time.Second+cutWindow) {
		t.Fatal("the failure domain is avoided for ever")
	}
	h.noteSilent("b", 1, 10*time.Second)
	h.noteSilent("b", 2, 10*time.Second)
	h.noteReached("b")
	if avoided(far, 10*time.Second) {
		t.Fatal("a failure domain that was reached is avoided")
	}
}
