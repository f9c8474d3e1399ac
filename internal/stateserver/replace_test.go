package stateserver

import (
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/juju/errors"
)

// joinNew starts a replica that no settings name and that may only join.
func (c *cluster) joinNew(name string, target int) *Server {
	c.t.Helper()
	address := freeAddress(c.t)
	s, err := Start(Settings{
		ID: name, FailureDomain: "domain-new", Listen: address, AdminListen: "127.0.0.1:0", DataDir: filepath.Join(c.dir, name),
		Replicas: c.replicas, LogLevel: "info", SnapshotEntries: c.entries, JoinOnly: true, TargetVoters: target,
	}, Options{Dial: c.dialer(name)}, c.logger(name))
	if err != nil {
		c.t.Fatal(err)
	}
	c.servers[name] = s
	return s
}

// A VM with a replica is lost for good and another one comes at another address:
// it must take the lost one's place, so that the next loss does not cost the
// quorum. Without the replacement four voters, one of them gone, would need
// three.
func TestLostReplicaIsReplaced(t *testing.T) {
	c := newCluster(t, 3)
	c.target = 3
	c.startAll()
	c.mustPropose(c.client(c.leader()), order("o1", 1, true))
	lost := c.others(c.leader())[0]
	old := c.servers[lost].ID()
	c.stop(lost)
	id := c.joinNew("state-x", 3).ID()
	c.await("the new replica to be a voter in place of the lost one", func() bool {
		st := c.status(c.leader()).Raft
		return slices.Contains(st.Voters, id) && !slices.Contains(st.Voters, old) && len(st.Voters) == 3
	})
	// The next loss is borne.
	c.stop(c.others(c.leader())[0])
	c.mustPropose(c.client(c.leader()), order("o2", 2, false))
}

// Guards against a replica that returns after its place was taken and never hears
// of it, because no settings name it: it would answer nobody and never join anew.
func TestReturningReplicaLearnsThatItsPlaceWasTaken(t *testing.T) {
	c := newCluster(t, 3)
	c.target = 3
	c.startAll()
	c.mustPropose(c.client(c.leader()), order("o1", 1, true))
	takesPlaceOf := func(name, lost string) {
		old := c.servers[lost].ID()
		c.stop(lost)
		id := c.joinNew(name, 3).ID()
		c.await(name+" to take the place of "+lost, func() bool {
			st := c.status(c.leader()).Raft
			return slices.Contains(st.Voters, id) && !slices.Contains(st.Voters, old)
		})
	}
	takesPlaceOf("state-x", c.others(c.leader())[0])
	takesPlaceOf("state-y", "state-x")
	back := c.joinNew("state-x", 3)
	select {
	case <-back.Failed():
	case <-time.After(patience):
		t.Fatalf("the replica has not learned within %v that its place was taken", patience)
	}
	var retired *RetiredError
	if !errors.As(back.Err(), &retired) {
		t.Fatalf("the replica ended with %v", back.Err())
	}
	delete(c.servers, "state-x")
	_ = back.Close()
}

// While all voters are there, a further replica follows the log without a vote.
func TestSpareReplicaHasNoVote(t *testing.T) {
	c := newCluster(t, 3)
	c.target = 3
	c.startAll()
	c.leader()
	id := c.joinNew("state-x", 3).ID()
	c.await("the new replica to follow", func() bool {
		return slices.Contains(c.status(c.leader()).Raft.Learners, id) && !c.status("state-x").Forming
	})
	c.mustPropose(c.client(c.leader()), order("o1", 1, true))
	if st := c.status(c.leader()).Raft; len(st.Voters) != 3 || slices.Contains(st.Voters, id) {
		t.Fatalf("voters are %v", st.Voters)
	}
}

// A replica with an empty disk after the first start must never form a replica
// set of its own, even when all that it knows are empty.
func TestJoinOnlyReplicaFormsNothing(t *testing.T) {
	c := newCluster(t, 1)
	s := c.joinNew(c.replicas[0].Name, 1)
	c.awaitRounds(c.replicas[0].Name)
	if !c.status(c.replicas[0].Name).Forming {
		t.Fatalf("%s has formed a replica set", s.ID())
	}
}

// An order that asks for the next number takes effect once, however often it is
// sent.
func TestNextOrderNumber(t *testing.T) {
	c := newCluster(t, 1)
	c.startAll()
	client := c.client(c.leader())
	for i, step := range []struct {
		out    bool
		number uint64
	}{{true, 1}, {true, 1}, {false, 2}, {false, 2}, {true, 3}} {
		cmd := order("", 0, step.out)
		cmd.Id = string(rune('a' + i))
		cmd.GetOrder().Next = true
		if r := c.mustPropose(client, cmd); r.GetCode() != "" || r.GetNumberInForce() != step.number {
			t.Fatalf("step %d: code %q, number %d, expected %d", i, r.GetCode(), r.GetNumberInForce(), step.number)
		}
	}
}

// handOver asks the loop to make another replica the leader.
type handOver struct{ to string }

func (m handOver) handle(l *loop) { _ = l.node.TransferLeadership(m.to, l.now()) }

// Guards against a replica with an empty disk that stays out of the cluster for
// as long as none of the replicas in its settings is the leader.
func TestReplicaJoinsWhileNoReplicaOfItsSettingsLeads(t *testing.T) {
	c := newCluster(t, 3)
	c.target = 4
	c.startAll()
	c.mustPropose(c.client(c.leader()), order("o1", 1, true))
	id := c.joinNew("state-x", 4).ID()
	c.await("state-x to lead", func() bool {
		leader := c.leader()
		if leader != "state-x" && slices.Contains(c.status(leader).Raft.Voters, id) {
			c.servers[leader].tell(t.Context(), handOver{to: id})
		}
		return leader == "state-x"
	})
	c.wipe("state-b")
	back := c.start("state-b").ID()
	c.await("the wiped replica to vote again", func() bool {
		return slices.Contains(c.status(c.leader()).Raft.Voters, back)
	})
	if leader := c.leader(); leader != "state-x" {
		t.Logf("the leader changed to %s meanwhile", leader)
	}
}
