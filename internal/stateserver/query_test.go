package stateserver

import (
	"context"
	"fmt"
	"testing"
	"time"
)

// TestNewestConfigIsNotOlderThanTheCall guards against a read of the configuration that
// misses a change which was acknowledged before the read began: at a follower that has
// not applied it yet, or at a leader that was replaced.
func TestNewestConfigIsNotOlderThanTheCall(t *testing.T) {
	c := newCluster(t, 3)
	c.startAll()
	number := uint64(0)
	change := func(at string) uint64 {
		number++
		return c.mustPropose(c.client(at), orderCommand(fmt.Sprint("order-", number), number, number%2 == 1)).GetIndex()
	}
	for range 10 {
		index := change(c.leader())
		for _, r := range c.replicas {
			newest, code, reason := c.servers[r.Name].NewestConfig(t.Context())
			if code != "" || newest.GetIndex() < index {
				t.Fatalf("%s reads index %d after %d: %s %s", r.Name, newest.GetIndex(), index, code, reason)
			}
		}
	}
	old := c.leader()
	c.isolate(old, true)
	var index uint64
	c.await("a change without the old leader", func() bool {
		r, _ := propose(c.client(c.others(old)[0]), orderCommand("without", number+1, true))
		index = r.GetIndex()
		return r != nil
	})
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	if newest, code, _ := c.servers[old].NewestConfig(ctx); code == "" && newest.GetIndex() < index {
		t.Fatalf("the old leader reads index %d after %d", newest.GetIndex(), index)
	}
	c.isolate(old, false)
	c.await("a read at the old leader", func() bool {
		newest, code, _ := c.servers[old].NewestConfig(t.Context())
		if code == "" && newest.GetIndex() < index {
			t.Fatalf("the old leader reads index %d after %d", newest.GetIndex(), index)
		}
		return code == ""
	})
}
