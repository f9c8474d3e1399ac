package stateserver

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"bilberryhub/internal/statemachine"
	"bilberryhub/internal/wirepb"
)

// subscriber collects what was received on one subscription.
type subscriber struct {
	snapshots []*wirepb.ConfigSnapshot
	// fresh and index are those of the last heartbeat.
	fresh bool
	index uint64
	// heartbeats is the number of heartbeats received.
	heartbeats int
}

// subscribeUntil subscribes to the named replica and receives until cond holds. known
// and digest identify the configuration that the subscriber already has.
func (c *cluster) subscribeUntil(name string, known uint64, digest uint64, cond func(*subscriber) bool) *subscriber {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	st, err := c.client(name).Open(ctx, &wirepb.Envelope{Body: &wirepb.Envelope_Subscribe{
		Subscribe: &wirepb.Subscribe{KnownIndex: known, KnownDigest: digest},
	}})
	if err != nil {
		c.t.Fatal(err)
	}
	defer st.Close()
	sub := &subscriber{}
	for !cond(sub) {
		env, err := st.Recv()
		if err != nil {
			c.t.Fatalf("subscription to %s ended: %v", name, err)
		}
		if s := env.GetConfigSnapshot(); s != nil {
			sub.snapshots = append(sub.snapshots, s)
		}
		if hb := env.GetConfigHeartbeat(); hb != nil {
			sub.fresh, sub.index = hb.GetFresh(), hb.GetIndex()
			sub.heartbeats++
		}
	}
	return sub
}

// TestThreeReplicas covers the basic path: formation, election, a proposal through a
// follower, and the push of the change, as a confirmed configuration, to subscribers
// of each replica.
func TestThreeReplicas(t *testing.T) {
	c := newCluster(t, 3)
	c.startAll()
	leader := c.leader()
	r := c.mustPropose(c.client(c.others(leader)[0]), orderCommand("order-1", 1, true))
	if r.GetCode() != "" || r.GetIndex() == 0 {
		t.Fatalf("order refused: %v", r)
	}
	for name := range c.servers {
		sub := c.subscribeUntil(name, 0, 0, func(s *subscriber) bool { return s.index == r.GetIndex() && s.fresh })
		if got := sub.snapshots[len(sub.snapshots)-1]; len(got.GetOrders()) != 1 {
			t.Fatalf("%s pushed %v", name, got)
		}
	}
}

// TestReconnectingSubscriberReceivesOneSnapshot guards against sending every single
// change to a subscriber that was disconnected during hundreds of them.
func TestReconnectingSubscriberReceivesOneSnapshot(t *testing.T) {
	const changes = 300
	c := newCluster(t, 3)
	c.startAll()
	client := c.client(c.leader())
	first := c.mustPropose(client, orderCommand("order-1", 1, true))
	initial := c.subscribeUntil(c.leader(), 0, 0, func(s *subscriber) bool { return s.index == first.GetIndex() })
	known := initial.snapshots[len(initial.snapshots)-1]
	var last *wirepb.Result
	for n := uint64(2); n <= changes; n++ {
		last = c.mustPropose(client, orderCommand(fmt.Sprintf("order-%d", n), n, n%2 == 1))
	}
	for name := range c.servers {
		c.await("application of all changes", func() bool {
			return c.servers[name].published.Load().config.GetIndex() == last.GetIndex()
		})
		sub := c.subscribeUntil(name, known.GetIndex(), known.GetDigest(), func(s *subscriber) bool { return s.heartbeats >= 3 })
		if len(sub.snapshots) != 1 || sub.snapshots[0].GetIndex() != last.GetIndex() {
			t.Fatalf("%s sent %d snapshots after %d changes", name, len(sub.snapshots), changes)
		}
	}
}

// TestPartition guards against an isolated leader that still accepts proposals or
// reports its configuration as fresh, and against a configuration that reverts after
// the partition.
func TestPartition(t *testing.T) {
	c := newCluster(t, 3)
	c.startAll()
	old := c.leader()
	c.mustPropose(c.client(old), orderCommand("order-1", 1, true))
	c.isolate(old, true)
	var changed *wirepb.Result
	c.await("a change on the side of the majority", func() bool {
		changed, _ = propose(c.client(c.others(old)[0]), orderCommand("order-2", 2, false))
		return changed != nil
	})
	c.await("the isolated leader to lose its lease", func() bool { return !c.servers[old].fresh() })
	if r, code := propose(c.client(old), orderCommand("order-3", 3, true)); r != nil {
		t.Fatalf("isolated replica answered %v", r)
	} else if code != codeNoQuorum && code != codeNoLeader {
		t.Fatalf("isolated follower failed with %q, although it cannot have proposed", code)
	}
	if got := c.servers[old].published.Load().config.GetIndex(); got >= changed.GetIndex() {
		t.Fatalf("isolated replica has configuration %d", got)
	}
	c.isolate(old, false)
	sub := c.subscribeUntil(old, 0, 0, func(s *subscriber) bool { return s.index >= changed.GetIndex() && s.fresh })
	for i := 1; i < len(sub.snapshots); i++ {
		if sub.snapshots[i].GetIndex() < sub.snapshots[i-1].GetIndex() {
			t.Fatalf("configuration reverted from %d to %d", sub.snapshots[i-1].GetIndex(), sub.snapshots[i].GetIndex())
		}
	}
}

// TestProposalIsResentAfterLeaderFailure guards against a claim that is granted
// twice or lost when its proposal is resent because the leader failed before it
// answered.
func TestProposalIsResentAfterLeaderFailure(t *testing.T) {
	c := newCluster(t, 3)
	c.startAll()
	for round := range 4 {
		leader := c.leader()
		key := fmt.Sprintf("key-%d", round)
		mine, theirs := claimCommand(key, "mine-"+key), claimCommand(key, "theirs-"+key)
		answered := make(chan struct{})
		go func() {
			defer close(answered)
			_, _ = propose(c.client(leader), mine)
		}()
		c.stop(leader)
		<-answered
		client := c.client(c.others(leader)[0])
		first := c.mustPropose(client, mine)
		again := c.mustPropose(client, mine)
		if !first.GetClaim().GetHeld() || again.GetIndex() != first.GetIndex() || !again.GetClaim().GetHeld() {
			t.Fatalf("claim %s: first %v, again %v", key, first, again)
		}
		if r := c.mustPropose(client, theirs); r.GetCode() == "" || r.GetClaim().GetHeld() {
			t.Fatalf("claim %s granted twice: %v", key, r)
		}
		c.start(leader)
	}
}

// TestReplacedProposal guards against a proposal that returns the result of an entry
// of another leader, which replaced its own entry at the same index.
func TestReplacedProposal(t *testing.T) {
	answers := make(chan outcome, 1)
	s := &Server{metrics: newServerMetrics("state-a"), opts: Options{Now: func() time.Duration { return 0 }}}
	l := &loop{s: s, waiters: map[uint64]waiter{5: {term: 2, reply: answers}}}
	l.answerWaiter(&wirepb.LogEntry{Index: 5, Term: 3}, &wirepb.Result{Index: 5})
	if o := <-answers; o.code != codeNoLeader || o.result != nil {
		t.Fatalf("a proposal of term 2 got %+v from an entry of term 3", o)
	}
}

// TestConcurrentManifestChanges guards against different manifests with the same
// number that are both accepted when operators apply them concurrently.
func TestConcurrentManifestChanges(t *testing.T) {
	c := newCluster(t, 3)
	c.startAll()
	c.leader()
	results := make([]*wirepb.Result, 9)
	var wg sync.WaitGroup
	for i := range results {
		client := c.client(c.replicas[i%3].Name)
		wg.Go(func() {
			for results[i] == nil {
				results[i], _ = propose(client, manifestCommand(fmt.Sprintf("apply-%d", i), 7, i))
			}
		})
	}
	wg.Wait()
	accepted := -1
	for i, r := range results {
		switch {
		case r.GetCode() == "" && accepted < 0:
			accepted = i
		case r.GetCode() != statemachine.CodeManifestConflict || r.GetNumberInForce() != 7:
			t.Fatalf("operator %d got %v after operator %d was accepted", i, r, accepted)
		}
	}
	r := c.mustPropose(c.client(c.leader()), manifestCommand("again", 7, accepted))
	if r.GetCode() != "" || !r.GetAlready() {
		t.Fatalf("resent manifest of the accepted operator: %v", r)
	}
}

// TestPlannedStop guards against failed proposals during the planned stop of one
// leader after the other: a leader must transfer the leadership before it stops.
func TestPlannedStop(t *testing.T) {
	c := newCluster(t, 3)
	c.startAll()
	for round := range uint64(3) {
		leader := c.leader()
		client := c.client(c.others(leader)[0])
		old := c.status(leader).Raft.Term
		stopped := make(chan error, 1)
		transferred := false
		go func() {
			err := c.servers[leader].Shutdown()
			// Without a transfer, the others haven't noticed the stop yet, so their
			// term is unchanged.
			for _, name := range c.others(leader) {
				if v, err := c.servers[name].dump(); err == nil && v.(serverDump).Raft.Term > old {
					transferred = true
				}
			}
			stopped <- err
		}()
		for n := range uint64(50) {
			id := fmt.Sprintf("order-%d-%d", round, n)
			if _, code := propose(client, orderCommand(id, round*50+n+1, n%2 == 0)); code != "" {
				t.Fatalf("proposal %s failed with %q", id, code)
			}
		}
		if err := <-stopped; err != nil || !transferred {
			t.Fatalf("stop of leader %s: error %v, leadership transferred: %v", leader, err, transferred)
		}
		c.start(leader)
	}
}

// manifestCommand returns a command that applies a manifest, whose content depends on
// variant.
func manifestCommand(id string, number uint64, variant int) *wirepb.Command {
	content := fmt.Sprintf(testManifest, number, variant+1)
	return &wirepb.Command{Id: id, Body: &wirepb.Command_ApplyManifest{
		ApplyManifest: &wirepb.ApplyManifest{Number: number, Content: []byte(content)},
	}}
}

const testManifest = `{
  "number": %d, "isolated_serving_seconds": %d, "failure_domains": [{"name": "north", "region": "luzon"}],
  "urgencies": [{"name": "urgent", "priority": 0}],
  "services": [{"name": "drafts", "kind": "model", "models": ["drafts"]}], "accounts": []
}`
