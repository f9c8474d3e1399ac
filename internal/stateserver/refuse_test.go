package stateserver

import (
	"testing"
	"time"
)

// operatorPatience is how long operators wait for an answer before they ask
// another replica.
const operatorPatience = time.Second

// Guards against changes that lose a second at each replica that is cut off: one
// that has heard no leader for longer than an election takes refuses at once, so
// that operators ask another one.
func TestReplicaWithoutLeaderRefusesAtOnce(t *testing.T) {
	c := newCluster(t, 3)
	c.startAll()
	c.mustPropose(c.client(c.leader()), order("o1", 1, true))
	cut := c.others(c.leader())[0]
	c.isolate(cut, true)
	c.await("the replica to miss its leader", c.servers[cut].hearsNoLeader)
	began := time.Now()
	_, code, message := c.servers[cut].Propose(t.Context(), order("o2", 2, false))
	if took := time.Since(began); code != codeNoQuorum || took > operatorPatience {
		t.Fatalf("code %q after %v (%s), expected %q within %v", code, took, message, codeNoQuorum, operatorPatience)
	}
	// Nothing was proposed, so the same change takes effect elsewhere.
	if r := c.mustPropose(c.client(c.leader()), order("o2", 2, false)); r.GetCode() != "" {
		t.Fatalf("refused with %s", r.GetCode())
	}
}
