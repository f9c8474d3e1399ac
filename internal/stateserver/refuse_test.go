package stateserver

import (
	"testing"
	"time"

	"bilberryhub/internal/raft"
)

// operatorTimeout is how long operators wait for a reply before they try another
// replica.
const operatorTimeout = time.Second

// TestReplicaWithoutLeaderRefusesAtOnce guards against changes that take a second
// longer for each isolated replica that is tried: a replica without contact with a
// leader for longer than an election must refuse at once, so that operators try
// another one.
func TestReplicaWithoutLeaderRefusesAtOnce(t *testing.T) {
	c := newCluster(t, 3)
	c.startAll()
	c.mustPropose(c.client(c.leader()), orderCommand("o1", 1, true))
	cut := c.others(c.leader())[0]
	c.isolate(cut, true)
	c.await("the replica to report that it has no leader", c.servers[cut].isLeaderless)
	start := time.Now()
	_, code, message := c.servers[cut].Propose(t.Context(), orderCommand("o2", 2, false))
	if took := time.Since(start); code != codeNoQuorum || took > operatorTimeout {
		t.Fatalf("code %q after %v (%s), expected %q within %v", code, took, message, codeNoQuorum, operatorTimeout)
	}
	// Nothing was proposed, so another replica accepts the same change.
	if r := c.mustPropose(c.client(c.leader()), orderCommand("o2", 2, false)); r.GetCode() != "" {
		t.Fatalf("refused with %s", r.GetCode())
	}
}

// TestFormerLeaderWaitsForTheElection guards against a replica that has just lost
// the leadership and refuses changes at once, as if there had been no leader since
// the start of the replica: its own leadership must count as contact with a leader.
func TestFormerLeaderWaitsForTheElection(t *testing.T) {
	c := newCluster(t, 3)
	c.startAll()
	old := c.leader()
	time.Sleep(noQuorumTimeout + electionTimeout)
	if c.leader() != old {
		old = c.leader()
	}
	c.isolate(old, true)
	c.await("the leader to step down", func() bool { return c.status(old).Raft.Role != raft.Leader })
	if c.servers[old].isLeaderless() {
		t.Fatal("the replica reports no leader for longer than an election, although it has just been one")
	}
	c.await("the replica to report that it has no leader", c.servers[old].isLeaderless)
}
