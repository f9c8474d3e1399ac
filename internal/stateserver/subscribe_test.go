package stateserver

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"bilberryhub/internal/wire"
	"bilberryhub/internal/wirepb"
)

// TestBufferedHeartbeats guards against a replica that was paused and counts as fresh
// because of heartbeats that waited in its buffers: their age must be measured from the
// send time of the probe that they echo.
func TestBufferedHeartbeats(t *testing.T) {
	// The clock advances between the probe and its heartbeat, as for a process that
	// is paused meanwhile.
	var clock atomic.Int64
	const pause = 2 * confirmationLifetime
	leader := "leader"
	fakeLeader, err := wire.Serve("127.0.0.1:0", wire.Options{Self: wire.Identity{Kind: wire.KindState, ID: leader}},
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
	defer fakeLeader.Close()
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
		s.receiveHeartbeats(ctx, leader, fakeLeader.Address())
	}()
	defer func() { cancel(); <-done }()
	// Two heartbeats show that probes are repeated and that the age of each heartbeat is
	// measured from its own probe.
	deadline := time.Now().Add(waitTimeout)
	for answered := time.Duration(0); answered < 2; {
		if time.Now().After(deadline) {
			t.Fatalf("%d probes answered within %v", answered, waitTimeout)
		}
		f := &s.freshness
		f.mu.Lock()
		f.checkedAt, f.contactAge, f.leader = s.opts.Now(), 0, leader
		confirmed, probeSentAt := f.hasConfirmation, f.confirmedAt
		f.mu.Unlock()
		if !confirmed || probeSentAt/pause < answered {
			time.Sleep(time.Millisecond)
			continue
		}
		answered = probeSentAt/pause + 1
		if s.fresh() {
			t.Fatalf("fresh %v after the probe of the last confirmation", s.opts.Now()-probeSentAt)
		}
	}
}

// Guards against a read of the configuration that is older than a change whose acceptance the
// reader has seen.
func TestAcceptedChangeIsRead(t *testing.T) {
	const operators, changes = 16, 60
	c := newCluster(t, 1)
	c.startAll()
	name := c.replicas[0].Name
	server := c.servers[name]
	c.mustPropose(c.client(name), orderCommand("first", 1, true))
	var accepted atomic.Int64
	var running sync.WaitGroup
	for o := range operators {
		client := c.client(name)
		running.Go(func() {
			for n := uint64(1); n <= changes; n++ {
				cmd := orderCommand(fmt.Sprintf("order-%d-%d", o, n), n, n%2 == 1)
				cmd.GetOrder().Target = fmt.Sprintf("domain-%d", o)
				result, code := propose(client, cmd)
				if code != "" {
					continue
				}
				accepted.Add(1)
				if got := server.Config().GetIndex(); got < result.GetIndex() {
					t.Errorf("a change is accepted at index %d, and the configuration that is read is of index %d", result.GetIndex(), got)
					return
				}
			}
		})
	}
	running.Wait()
	if accepted.Load() == 0 {
		t.Error("no change was accepted")
	}
}
