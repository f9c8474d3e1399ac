package stateserver

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// awaitVoter waits until a replica is a voter, and returns its id.
func (c *cluster) awaitVoter(name string) string {
	c.t.Helper()
	id := c.servers[name].ID()
	c.await(id+" to be a voter", func() bool {
		st := c.status(c.leader()).Raft
		return slices.Contains(st.Voters, id) && !st.MembershipPending
	})
	return id
}

// awaitRounds waits until a replica has tried to join several times, or has
// state.
func (c *cluster) awaitRounds(name string) {
	c.t.Helper()
	rounds := c.servers[name].metrics.joinRounds
	start := rounds.Get()
	c.await("join attempts of "+name, func() bool {
		return rounds.Get() >= start+5 || !c.status(name).Forming
	})
}

// TestLostDisk guards against a wiped replica that votes under its old
// identity, and against the loss of claims when a second disk is lost as soon
// as the first one is replaced.
func TestLostDisk(t *testing.T) {
	c := newCluster(t, 3)
	c.entries = 20
	c.startAll()
	granted := 0
	grant := func() {
		for range 30 {
			key := fmt.Sprintf("key-%d", granted)
			if r := c.mustPropose(c.client(c.leader()), claim(key, "mine-"+key)); !r.GetClaim().GetHeld() {
				t.Fatalf("claim %s: %v", key, r)
			}
			granted++
		}
	}
	grant()
	// Every disk is lost once, the one of the leader and of the coordinator
	// included.
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
		if r := c.mustPropose(c.client(c.leader()), claim(key, "theirs-"+key)); r.GetClaim().GetHeld() || r.GetCode() == "" {
			t.Fatalf("claim %s was lost with the disks: %v", key, r)
		}
	}
}

// TestOldDiskReturns guards against a replaced disk that comes back and serves
// an outdated state.
func TestOldDiskReturns(t *testing.T) {
	c := newCluster(t, 3)
	c.startAll()
	name := c.others(c.leader())[0]
	folder := filepath.Join(c.dir, name)
	c.stop(name)
	if err := os.Rename(folder, folder+"-old"); err != nil {
		t.Fatal(err)
	}
	c.start(name)
	c.awaitVoter(name)
	c.wipe(name)
	if err := os.Rename(folder+"-old", folder); err != nil {
		t.Fatal(err)
	}
	s := c.start(name)
	c.await("the old disk to be refused", func() bool { return s.Err() != nil })
	if !strings.Contains(s.Err().Error(), "retired") {
		t.Fatalf("the replica of the old disk ended with: %v", s.Err())
	}
}

// TestSecondLossDuringRepair guards against a replaced replica that votes
// before it has caught up, which could elect a leader without the claims that
// only the lost replicas held.
func TestSecondLossDuringRepair(t *testing.T) {
	c := newCluster(t, 3)
	c.startAll()
	leader := c.leader()
	if r := c.mustPropose(c.client(leader), claim("key", "mine")); !r.GetClaim().GetHeld() {
		t.Fatalf("claim: %v", r)
	}
	others := c.others(leader)
	// One replica lags, another one loses its disk, and the leader is lost
	// before the repair has begun.
	c.isolate(others[0], true)
	held := c.mustPropose(c.client(leader), claim("late key", "mine late"))
	c.wipe(others[1])
	c.stop(leader)
	c.isolate(others[0], false)
	c.start(others[1])
	c.awaitRounds(others[1])
	if r, _ := propose(c.client(others[0]), claim("late key", "theirs late")); r != nil {
		t.Fatalf("a lagging and a wiped replica answered %v after %v", r, held)
	}
	c.start(leader)
	c.awaitVoter(others[1])
	if r := c.mustPropose(c.client(others[1]), claim("late key", "theirs late")); r.GetClaim().GetHeld() {
		t.Fatalf("claim granted twice: %v after %v", r, held)
	}
}

// TestNoSecondFormation guards against a second, empty cluster when replicas
// return without their disks, in every number.
func TestNoSecondFormation(t *testing.T) {
	c := newCluster(t, 3)
	c.startAll()
	if r := c.mustPropose(c.client(c.leader()), claim("key", "mine")); !r.GetClaim().GetHeld() {
		t.Fatalf("claim: %v", r)
	}
	for _, r := range c.replicas {
		c.stop(r.Name)
	}
	// The coordinator alone, then with another wiped replica, then with the one
	// that kept its disk: a majority is lost, so nothing may answer.
	for i, name := range []string{"state-a", "state-b"} {
		c.wipe(name)
		c.start(name)
		c.awaitRounds("state-a")
		if st := c.status("state-a"); !st.Forming {
			t.Fatalf("a cluster was formed by %d wiped replicas: %+v", i+1, st.Raft)
		}
	}
	c.start("state-c")
	for _, name := range []string{"state-a", "state-b"} {
		c.awaitRounds(name)
		if r, _ := propose(c.client(name), claim("key", "theirs")); r != nil || !c.status(name).Forming {
			t.Fatalf("%s answered %v after a majority of disks was lost", name, r)
		}
	}
}
