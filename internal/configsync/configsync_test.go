package configsync

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"

	"bilberryhub/internal/config"
	"bilberryhub/internal/invariant"
	"bilberryhub/internal/wire"
	"bilberryhub/internal/wirepb"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// snapshot returns the configuration at index; its manifest has the same number.
func snapshot(index uint64) *wirepb.ConfigSnapshot {
	s := &wirepb.ConfigSnapshot{Index: index, ManifestNumber: index, Manifest: fmt.Appendf(nil,
		`{"number":%d,"services":[{"name":"a","kind":"model","models":["a"]}],"accounts":[],
		"failure_domains":[{"name":"d","region":"r"}],"urgencies":[{"name":"u","priority":0}]}`, index)}
	s.Digest = config.Digest(s)
	return s
}

// replica is a state process whose configuration and freshness a test sets.
type replica struct {
	t       *testing.T
	server  *wire.Server
	address string

	mu      sync.Mutex
	config  *wirepb.ConfigSnapshot
	fresh   bool
	changed chan struct{}
}

func newReplica(t *testing.T, index uint64) *replica {
	r := &replica{t: t, config: snapshot(index), fresh: true, changed: make(chan struct{}), address: "127.0.0.1:0"}
	r.start(func(ctx context.Context, st *wire.Stream, req *wirepb.Envelope) error {
		return ServeSubscription(ctx, st, req.GetSubscribe(), r)
	})
	return r
}

func (r *replica) start(h wire.Handler) {
	s, err := wire.Serve(r.address, wire.Options{Self: wire.Identity{Kind: wire.KindState, ID: "s"}}, h, zap.NewNop())
	if err != nil {
		r.t.Fatal(err)
	}
	r.server, r.address = s, s.Address()
	r.t.Cleanup(func() { _ = s.Close() })
}

func (r *replica) Config() *wire.Prepared {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Message(r.config)
}

func (r *replica) Fresh() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fresh
}

func (r *replica) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

func (r *replica) Sent() {}

func (r *replica) set(index uint64, fresh bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.config, r.fresh = snapshot(index), fresh
	close(r.changed)
	r.changed = make(chan struct{})
}

// testSyncer is a Syncer that records all indexes that it publishes.
type testSyncer struct {
	*Syncer
	t *testing.T
	// skew is added to the clock, in nanoseconds.
	skew      atomic.Int64
	mu        sync.Mutex
	published []uint64
}

func newTestSyncer(t *testing.T, states ...string) *testSyncer {
	syncer := &testSyncer{t: t}
	syncer.Syncer = New(Options{
		EntryID: "e", States: states, Wire: wire.Options{Self: wire.Identity{Kind: wire.KindEntry, ID: "e"}}, Now: syncer.now,
		OnChange: func(v *config.Version) {
			syncer.mu.Lock()
			defer syncer.mu.Unlock()
			if n := len(syncer.published); n > 0 && syncer.published[n-1] > v.Index {
				t.Errorf("index %d published after %d", v.Index, syncer.published[n-1])
			}
			syncer.published = append(syncer.published, v.Index)
		},
	})
	return syncer
}

// run starts the Syncer. It is stopped at the end of the test.
func (syncer *testSyncer) run() *testSyncer {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); syncer.Run(ctx) }()
	syncer.t.Cleanup(func() { cancel(); <-done })
	return syncer
}

func (syncer *testSyncer) now() time.Time { return time.Now().Add(time.Duration(syncer.skew.Load())) }

// waitFor waits until condition returns true, and fails the test after limit.
func (syncer *testSyncer) waitFor(limit time.Duration, what string, condition func() bool) {
	syncer.t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	syncer.t.Fatalf("not within %s: %s; status %+v", limit, what, syncer.Status())
}

// isAt returns a condition for waitFor that the configuration at index is in force.
func (syncer *testSyncer) isAt(index uint64) func() bool {
	return func() bool { return syncer.currentID().index == index }
}

// staysAt checks for the duration d that the configuration at index is in force.
func (syncer *testSyncer) staysAt(index uint64, d time.Duration) {
	syncer.t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if got := syncer.currentID().index; got != index {
			syncer.t.Fatalf("index %d in force, want %d", got, index)
		}
	}
}

func (syncer *testSyncer) isFresh() bool { return syncer.Age(syncer.now()) < 1500*time.Millisecond }

// Each case injects one fault and guards against a configuration that is lost,
// delayed, reverted or wrongly considered recent.
func TestFaults(t *testing.T) {
	restore := invariant.SetHandler(func(name, detail string) { t.Errorf("%s: %s", name, detail) })
	t.Cleanup(restore)
	for name, test := range map[string]func(t *testing.T){
		"change is pushed": func(t *testing.T) {
			state := newReplica(t, 5)
			syncer := newTestSyncer(t, state.address).run()
			syncer.waitFor(time.Second, "first configuration", syncer.isAt(5))
			syncer.waitFor(time.Second, "confirmation", syncer.isFresh)
			state.set(6, true)
			syncer.waitFor(300*time.Millisecond, "pushed change", syncer.isAt(6))
		},
		"hundreds of changes missed": func(t *testing.T) {
			state := newReplica(t, 5)
			syncer := newTestSyncer(t, state.address).run()
			syncer.waitFor(time.Second, "first configuration", syncer.isAt(5))
			_ = state.server.Close()
			state.set(705, true)
			state.start(func(ctx context.Context, st *wire.Stream, req *wirepb.Envelope) error {
				return ServeSubscription(ctx, st, req.GetSubscribe(), state)
			})
			syncer.waitFor(3*time.Second, "whole configuration after the gap", syncer.isAt(705))
			syncer.mu.Lock()
			defer syncer.mu.Unlock()
			if n := len(syncer.published); n > 2 {
				t.Errorf("published %v, want 5 and 705", syncer.published)
			}
		},
		"lower index after failover": func(t *testing.T) {
			a, b := newReplica(t, 10), newReplica(t, 8)
			syncer := newTestSyncer(t, a.address, b.address).run()
			syncer.waitFor(5*time.Second, "newest configuration", syncer.isAt(10))
			_ = a.server.Close()
			syncer.staysAt(10, 3*time.Second)
			if syncer.isFresh() {
				t.Error("a state process that is behind confirms the configuration")
			}
			b.set(11, true)
			syncer.waitFor(5*time.Second, "use of the state process after it caught up", syncer.isAt(11))
		},
		"lower index than a peer's": func(t *testing.T) {
			state := newReplica(t, 8)
			syncer := newTestSyncer(t, state.address)
			syncer.NotePeer("127.0.0.1:1", 9, 0)
			syncer.run().staysAt(0, time.Second)
			if v := syncer.Current(); v != nil {
				t.Errorf("index %d published below the known index 9", v.Index)
			}
		},
		"state processes that are of no use": func(t *testing.T) {
			behind, isolated, silent, good := newReplica(t, 8), newReplica(t, 9), newReplica(t, 10), newReplica(t, 10)
			isolated.set(10, false)
			_ = silent.server.Close()
			silent.start(func(ctx context.Context, _ *wire.Stream, _ *wirepb.Envelope) error { <-ctx.Done(); return nil })
			// Each rotation of the list starts at another state process.
			states := []string{behind.address, isolated.address, silent.address, good.address}
			for i := range states {
				syncer := newTestSyncer(t, append(append([]string{}, states[i:]...), states[:i]...)...)
				syncer.NotePeer("127.0.0.1:1", 10, 0)
				syncer.run()
				defer syncer.waitFor(15*time.Second, "confirmation by the only useful state process", syncer.isFresh)
			}
		},
		"no contact with a leader": func(t *testing.T) {
			state := newReplica(t, 5)
			syncer := newTestSyncer(t, state.address).run()
			syncer.waitFor(time.Second, "confirmation", syncer.isFresh)
			state.set(5, false)
			time.Sleep(time.Second)
			before := syncer.Age(syncer.now())
			time.Sleep(time.Second)
			if grown := syncer.Age(syncer.now()) - before; grown < 900*time.Millisecond {
				t.Errorf("age grew by %s in 1 s without a fresh heartbeat", grown)
			}
		},
		"pull from a peer": func(t *testing.T) {
			source := New(Options{})
			if err := source.publish(snapshot(7), "log", true); err != nil {
				t.Fatal(err)
			}
			state := &replica{t: t, address: "127.0.0.1:0"}
			state.start(func(_ context.Context, st *wire.Stream, req *wirepb.Envelope) error {
				return source.ServePull(st, req.GetConfigPull())
			})
			syncer := newTestSyncer(t, "127.0.0.1:1").run()
			syncer.NotePeer("127.0.0.1:1", 8, 0)
			syncer.NotePeer(state.address, 7, snapshot(7).Digest)
			syncer.staysAt(0, 2*time.Second)
			if err := source.publish(snapshot(9), "log", true); err != nil {
				t.Fatal(err)
			}
			syncer.NotePeer(state.address, 9, snapshot(9).Digest)
			syncer.waitFor(2*time.Second, "pull", syncer.isAt(9))
			if syncer.Age(syncer.now()) != NeverFresh {
				t.Error("a peer's configuration counts as confirmed")
			}
		},
		"damaged configuration": func(t *testing.T) {
			state := newReplica(t, 5)
			damaged := snapshot(5)
			damaged.Manifest = append([]byte(" "), damaged.Manifest...)
			state.config = damaged
			syncer := newTestSyncer(t, state.address).run()
			syncer.staysAt(0, time.Second)
			state.set(5, true)
			syncer.waitFor(2*time.Second, "repair", syncer.isAt(5))
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			test(t)
		})
	}
}

// Guards against a corrupted copy that is kept because it has the right index.
func TestRepairByDigest(t *testing.T) {
	reported := atomic.Bool{}
	defer invariant.SetHandler(func(string, string) { reported.Store(true) })()
	state := newReplica(t, 5)
	other := snapshot(5)
	other.Orders = []*wirepb.Order{{Kind: config.TargetBackendServer, Target: "b", Number: 1}}
	other.Digest = config.Digest(other)
	syncer := newTestSyncer(t, state.address)
	if err := syncer.publish(other, "peer", false); err != nil {
		t.Fatal(err)
	}
	syncer.run().waitFor(2*time.Second, "repair", func() bool { return syncer.Current().Digest == snapshot(5).Digest })
	if !reported.Load() {
		t.Error("two contents of one index are not reported")
	}
}

// Guards against a heartbeat that was buffered while the process was suspended or
// the network path was blocked and that then counts as recent: the age must include
// that time until a new probe is answered.
func TestAgeAfterFreeze(t *testing.T) {
	const frozen = time.Minute
	c := snapshot(5)
	resume := make(chan struct{})
	state := &replica{t: t, address: "127.0.0.1:0"}
	syncer := newTestSyncer(t)
	state.start(func(ctx context.Context, st *wire.Stream, req *wirepb.Envelope) error {
		if err := st.Send(&wirepb.Envelope{Body: &wirepb.Envelope_ConfigSnapshot{ConfigSnapshot: c}}); err != nil {
			return nil
		}
		for probe := req.GetSubscribe().GetProbe(); ; {
			if probe == 2 {
				// The clock of the entry process jumps while this heartbeat is in
				// flight.
				syncer.skew.Add(int64(frozen))
				<-resume
			}
			if err := st.Send(&wirepb.Envelope{Body: &wirepb.Envelope_ConfigHeartbeat{ConfigHeartbeat: &wirepb.ConfigHeartbeat{
				Index: c.Index, Digest: c.Digest, Fresh: true, Probe: probe,
			}}}); err != nil {
				return nil
			}
			env, err := st.Recv()
			if err != nil {
				return nil
			}
			if probe == 2 {
				<-ctx.Done()
				return nil
			}
			probe = env.GetSubscribe().GetProbe()
		}
	})
	syncer.opts.States = []string{state.address}
	syncer.run().waitFor(time.Second, "first confirmation", syncer.isFresh)
	syncer.waitFor(time.Second, "jump of the clock", func() bool { return syncer.skew.Load() != 0 })
	if age := syncer.Age(syncer.now()); age < frozen {
		t.Errorf("age after the freeze is %s", age)
	}
	close(resume)
	time.Sleep(200 * time.Millisecond)
	if age := syncer.Age(syncer.now()); age < frozen {
		t.Errorf("age is %s after a heartbeat from before the freeze, want at least %s", age, frozen)
	}
}
