package stateserver

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"bilberryhub/internal/wire"
	"bilberryhub/internal/wirepb"
)

// TestBufferedHeartbeats guards against a replica that was paused and calls its
// configuration confirmed on heartbeats that waited in its buffers: they count
// from the probe that they answer.
func TestBufferedHeartbeats(t *testing.T) {
	// The clock moves on between the probe and its answer, as it does for a
	// process that is paused meanwhile.
	var clock atomic.Int64
	const pause = 2 * confirmationLifetime
	leader := "leader"
	fake, err := wire.Serve("127.0.0.1:0", wire.Options{Self: wire.Identity{Kind: wire.KindState, ID: leader}},
		func(ctx context.Context, st *wire.Stream, req *wirepb.Envelope) error {
			for probe := req.GetSubscribe(); probe != nil; {
				clock.Add(int64(pause))
				err := st.Send(&wirepb.Envelope{Body: &wirepb.Envelope_ConfigHeartbeat{
					ConfigHeartbeat: &wirepb.ConfigHeartbeat{Index: 1, Fresh: true, Probe: probe.GetProbe()},
				}})
				if err != nil {
					return nil
				}
				env, err := st.Recv()
				if err != nil {
					return nil
				}
				probe = env.GetSubscribe()
			}
			return nil
		}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	defer fake.Close()
	s := &Server{
		clients: wire.NewPool(wire.Options{Self: wire.Identity{Kind: wire.KindState, ID: "follower"}}),
		opts:    Options{Now: func() time.Duration { return time.Duration(clock.Load()) }},
	}
	defer s.clients.Close()
	s.leader.Store(&leader)
	s.published.Store(&publication{config: &wirepb.ConfigSnapshot{Index: 1}})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.followLeader(ctx, leader, fake.Address())
	}()
	defer func() { cancel(); <-done }()
	// Two answers show that probes are sent again and each counts from its own time.
	deadline := time.Now().Add(patience)
	for answered := time.Duration(0); answered < 2; {
		if time.Now().After(deadline) {
			t.Fatalf("%d probes answered within %v", answered, patience)
		}
		f := &s.freshness
		f.mu.Lock()
		f.checked, f.contact, f.leader = s.opts.Now(), 0, leader
		has, at := f.hasConfirmation, f.confirmed
		f.mu.Unlock()
		if !has || at/pause < answered {
			time.Sleep(time.Millisecond)
			continue
		}
		answered = at/pause + 1
		if s.fresh() {
			t.Fatalf("fresh %v after the probe of the last confirmation", s.opts.Now()-at)
		}
	}
}
