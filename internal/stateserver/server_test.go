package stateserver

import (
	"context"
	"testing"

	"bilberryhub/internal/wirepb"
)

// subscriber reads one subscription.
type subscriber struct {
	snapshots []*wirepb.ConfigSnapshot
	fresh     bool
	index     uint64
}

// until reads the subscription to the named replica until cond holds.
func (c *cluster) until(name string, known uint64, digest uint64, cond func(*subscriber) bool) *subscriber {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
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
		}
	}
	return sub
}

// TestThreeReplicas guards the basic path: formation, election, a proposal
// through a follower, and the push of the change to subscribers of each
// replica as a confirmed configuration.
func TestThreeReplicas(t *testing.T) {
	c := newCluster(t, 3)
	c.startAll()
	leader := c.leader()
	r := c.mustPropose(c.client(c.others(leader)[0]), order("order-1", 1, true))
	if r.GetCode() != "" || r.GetIndex() == 0 {
		t.Fatalf("order refused: %v", r)
	}
	for name := range c.servers {
		sub := c.until(name, 0, 0, func(s *subscriber) bool { return s.index == r.GetIndex() && s.fresh })
		if got := sub.snapshots[len(sub.snapshots)-1]; len(got.GetOrders()) != 1 {
			t.Fatalf("%s pushed %v", name, got)
		}
	}
}
