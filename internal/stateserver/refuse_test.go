package stateserver

import (
	"testing"
	"time"

	"bilberryhub/internal/raft"
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

// Guards against a replica that has just lost the leadership and refuses changes
// at once, as if there had been no leader since its start.
func TestFormerLeaderWaitsForTheElection(t *testing.T) {
	c := newCluster(t, 3)
	c.startAll()
	old := c.leader()
	time.Sleep(quorumSuspectAfter + electionTimeout)
	if c.leader() != old {
		old = c.leader()
	}
	c.isolate(old, true)
	c.await("the leader to step down", func() bool { return c.status(old).Raft.Role != raft.Leader })
	if c.servers[old].hearsNoLeader() {
		t.Fatal("the replica claims to miss a leader for longer than an election, but has just been one")
	}
	c.await("the replica to miss a leader", c.servers[old].hearsNoLeader)
}
