package stateserver

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// awaitVoter waits until a replica is a voter and no membership change is pending,
// and returns its id.
func (c *cluster) awaitVoter(name string) string {
	c.t.Helper()
	id := c.servers[name].ID()
	c.await(id+" to be a voter", func() bool {
		st := c.status(c.leader()).Raft
		return slices.Contains(st.Voters, id) && !st.MembershipPending
	})
	return id
}

// awaitJoinRounds waits until a replica has tried to join in five rounds, or belongs
// to a cluster.
func (c *cluster) awaitJoinRounds(name string) {
	c.t.Helper()
	rounds := c.servers[name].metrics.joinRounds
	start := rounds.Get()
	c.await("join attempts of "+name, func() bool {
		return rounds.Get() >= start+5 || !c.status(name).Forming
	})
}

// TestLostDisk guards against a wiped replica that votes under its old identity, and
// against the loss of claims when another disk is lost as soon as the replica of the
// previous one is a voter again.
func TestLostDisk(t *testing.T) {
	c := newCluster(t, 3)
	c.snapshotEntries = 20
	c.startAll()
	granted := 0
	grant := func() {
		for range 30 {
			key := fmt.Sprintf("key-%d", granted)
			if r := c.mustPropose(c.client(c.leader()), claimCommand(key, "mine-"+key)); !r.GetClaim().GetHeld() {
				t.Fatalf("claim %s: %v", key, r)
			}
			granted++
		}
	}
	grant()
	// Every disk is lost once, including those of the leader and of the coordinator.
	for _, name := range []string{"state-c", "state-a", "state-b"} {
		old := c.servers[name].ID()
		c.wipe(name)
		c.start(name)
		id := c.awaitVoter(name)
		st := c.status(c.leader()).Raft
		if id == old || slices.Contains(st.Voters, old) || !slices.Contains(st.Retired, old) {
			t.Fatalf("%s is back as %s: %+v", old, id, st)
		}
		grant()
	}
	for i := range granted {
		key := fmt.Sprintf("key-%d", i)
		if r := c.mustPropose(c.client(c.leader()), claimCommand(key, "theirs-"+key)); r.GetClaim().GetHeld() || r.GetCode() == "" {
			t.Fatalf("claim %s was lost with the disks: %v", key, r)
		}
	}
}

// TestRestartWithReplacedDisk guards against a replica that is started with its
// previous, replaced disk and serves outdated state.
func TestRestartWithReplacedDisk(t *testing.T) {
	c := newCluster(t, 3)
	c.startAll()
	name := c.others(c.leader())[0]
	dataDir := filepath.Join(c.dir, name)
	c.stop(name)
	if err := os.Rename(dataDir, dataDir+"-old"); err != nil {
		t.Fatal(err)
	}
	c.start(name)
	c.awaitVoter(name)
	c.wipe(name)
	if err := os.Rename(dataDir+"-old", dataDir); err != nil {
		t.Fatal(err)
	}
	s := c.start(name)
	c.await("the old disk to be refused", func() bool { return s.Err() != nil })
	if !strings.Contains(s.Err().Error(), "retired") {
		t.Fatalf("the replica of the old disk ended with: %v", s.Err())
	}
}

// TestSecondLossDuringRepair guards against a replacement replica that votes before it
// has caught up, which could elect a leader without the claims that only the lost
// replicas stored.
func TestSecondLossDuringRepair(t *testing.T) {
	c := newCluster(t, 3)
	c.startAll()
	leader := c.leader()
	if r := c.mustPropose(c.client(leader), claimCommand("key", "mine")); !r.GetClaim().GetHeld() {
		t.Fatalf("claim: %v", r)
	}
	others := c.others(leader)
	// One replica lags, another one loses its disk, and the leader stops before the
	// replacement has begun.
	c.isolate(others[0], true)
	held := c.mustPropose(c.client(leader), claimCommand("late key", "mine late"))
	c.wipe(others[1])
	c.stop(leader)
	c.isolate(others[0], false)
	c.start(others[1])
	c.awaitJoinRounds(others[1])
	if r, _ := propose(c.client(others[0]), claimCommand("late key", "theirs late")); r != nil {
		t.Fatalf("a lagging and a wiped replica answered %v after %v", r, held)
	}
	c.start(leader)
	c.awaitVoter(others[1])
	if r := c.mustPropose(c.client(others[1]), claimCommand("late key", "theirs late")); r.GetClaim().GetHeld() {
		t.Fatalf("claim granted twice: %v after %v", r, held)
	}
}

// TestWipedReplicasDoNotFormSecondCluster guards against a second, empty cluster
// when any number of replicas restart with empty disks.
func TestWipedReplicasDoNotFormSecondCluster(t *testing.T) {
	c := newCluster(t, 3)
	c.startAll()
	if r := c.mustPropose(c.client(c.leader()), claimCommand("key", "mine")); !r.GetClaim().GetHeld() {
		t.Fatalf("claim: %v", r)
	}
	for _, r := range c.replicas {
		c.stop(r.Name)
	}
	// The wiped coordinator starts alone, then another wiped replica, then the one that
	// kept its disk: a majority of disks is lost, so no replica may accept proposals.
	for i, name := range []string{"state-a", "state-b"} {
		c.wipe(name)
		c.start(name)
		c.awaitJoinRounds("state-a")
		if st := c.status("state-a"); !st.Forming {
			t.Fatalf("a cluster was formed by %d wiped replicas: %+v", i+1, st.Raft)
		}
	}
	c.start("state-c")
	for _, name := range []string{"state-a", "state-b"} {
		c.awaitJoinRounds(name)
		if r, _ := propose(c.client(name), claimCommand("key", "theirs")); r != nil || !c.status(name).Forming {
			t.Fatalf("%s answered %v after a majority of disks was lost", name, r)
		}
	}
}
