package reach

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// network is the path of one process to backend servers. A test changes who can be
// reached.
type network struct {
	i       Isolation
	servers []Server
	now     time.Duration
	rng     *rand.Rand
	dead    map[uint64]bool
	domains int
	cut     bool
	// refuses makes connections fail at once during the cut, not after dialTimeout.
	refuses bool
	// deadRefuse makes connections to dead backend servers fail at once.
	deadRefuse bool
	// pending are attempts to connect in progress.
	pending []attempt
	waiting time.Duration
	probes  int
}

type attempt struct {
	server     Server
	start, end time.Duration
	failed     bool
}

const (
	dialTimeout = 300 * time.Millisecond
	roundTrip   = 2 * time.Millisecond
	step        = 10 * time.Millisecond
)

// newNetwork returns a network with backend servers in up to three failure domains.
func newNetwork(servers int, seed uint64) *network {
	n := &network{domains: min(3, servers), now: time.Minute, rng: rand.New(rand.NewPCG(seed, 0)), dead: map[uint64]bool{}}
	for s := range servers {
		n.servers = append(n.servers, Server{Key: uint64(s + 1), Domain: fmt.Sprint(s % n.domains)})
	}
	return n
}

func (n *network) known() Known { return Known{Servers: len(n.servers), Domains: n.domains} }

func (n *network) connect(server Server) {
	a := attempt{server: server, start: n.now, end: n.now + roundTrip}
	if a.failed = n.cut || n.dead[server.Key]; a.failed && !(n.cut && n.refuses) && !(n.deadRefuse && !n.cut) {
		a.end = n.now + dialTimeout
	}
	n.pending = append(n.pending, a)
}

// run advances the time by d. In each second the process opens a number of connections
// to random backend servers.
func (n *network) run(d time.Duration, connectsPerSecond float64) {
	for end := n.now + d; n.now < end; n.now += step {
		if n.rng.Float64() < connectsPerSecond*step.Seconds() {
			n.connect(n.servers[n.rng.IntN(len(n.servers))])
		}
		if n.i.TakeProbe(n.waiting, n.now) {
			if target, ok := n.i.NextTarget(n.servers, n.rng.Float64()); ok {
				n.probes++
				n.connect(target)
			}
		}
		var left []attempt
		for _, a := range n.pending {
			switch {
			case a.end > n.now:
				left = append(left, a)
			case a.failed:
				n.i.RecordFailure(a.server, n.known(), a.start, n.now)
			default:
				n.i.RecordConnected(a.server, n.known(), n.now)
			}
		}
		n.pending = left
	}
}

// Guards against a process that goes on with its own connections for long after it has
// lost the path to all backend servers, or never returns to them.
func TestIsolationIsDetectedAndEnds(t *testing.T) {
	// The last attempt before the detection begins within a second.
	const limit = time.Second
	for _, servers := range []int{1, 2, 3, 21, 140} {
		for _, refuses := range []bool{false, true} {
			for _, rate := range []float64{0, 1, 20} {
				t.Run(fmt.Sprintf("%d servers, refuses %v, %v a second", servers, refuses, rate), func(t *testing.T) {
					for seed := range uint64(20) {
						n := newNetwork(servers, seed)
						n.run(2*time.Second, rate)
						n.cut, n.refuses, n.waiting = true, refuses, n.now
						if n.run(limit+SuspectAfter, rate); !n.i.IsIsolated() {
							t.Fatalf("seed %d: not detected within %v", seed, limit+SuspectAfter)
						}
						if n.i.UsesOwnConnection(n.now, 0.999) {
							t.Fatalf("seed %d: an own connection is used in isolation", seed)
						}
						if n.run(10*time.Second, rate); !n.i.IsIsolated() {
							t.Fatalf("seed %d: ended during the cut", seed)
						}
						n.cut = false
						if n.run(limit, rate); n.i.IsIsolated() {
							t.Fatalf("seed %d: not ended %v after the cut", seed, limit)
						}
						if n.run(returnTime, rate); !n.i.UsesOwnConnection(n.now, 0.999) {
							t.Fatalf("seed %d: no return to own connections", seed)
						}
					}
				})
			}
		}
	}
}

// Guards against a process that counts as isolated, for longer than one probe takes,
// because some backend servers have failed.
func TestDeadBackendServersAreNoIsolation(t *testing.T) {
	for seed := range uint64(50) {
		n := newNetwork(18, seed)
		n.run(time.Second, 20)
		for s := range uint64(6) {
			n.dead[s+1] = true
		}
		isolated := time.Duration(0)
		for range 500 {
			n.run(step, 20)
			if n.i.IsIsolated() {
				isolated += step
			}
		}
		if isolated > 500*time.Millisecond {
			t.Fatalf("seed %d: isolated for %v of 5 s", seed, isolated)
		}
	}
}

// Guards against a process that counts as isolated because all backend servers of one
// failure domain refuse connections, as after a crash of them all.
func TestDeadFailureDomainIsNoIsolation(t *testing.T) {
	for seed := range uint64(50) {
		n := newNetwork(18, seed)
		n.run(time.Second, 20)
		for _, s := range n.servers {
			n.dead[s.Key] = s.Domain == "1"
		}
		n.deadRefuse = true
		for range 500 {
			if n.run(step, 60); n.i.IsIsolated() {
				t.Fatalf("seed %d: the process counts as isolated", seed)
			}
		}
	}
}

// Guards against connections that are opened again and again although nothing is wrong:
// they are priced, and a process without requests has no reason for them.
func TestProbesOnlyInDoubt(t *testing.T) {
	n := newNetwork(18, 1)
	if n.run(10*time.Second, 0); n.probes > 0 {
		t.Fatalf("%d probes of an idle process", n.probes)
	}
	if n.run(10*time.Second, 5); n.probes > 0 {
		t.Fatalf("%d probes while all connections succeed", n.probes)
	}
	n.waiting = n.now
	const perSecond = 2
	if n.run(10*time.Second, 0); n.probes > 10*perSecond {
		t.Fatalf("%d probes within 10 s of a long response", n.probes)
	}
}

// Guards against a return of all requests at the same moment.
func TestReturnIsGradual(t *testing.T) {
	var i Isolation
	known := Known{Servers: 3, Domains: 1}
	i.RecordFailure(Server{Key: 1}, known, 10*time.Second, 10*time.Second)
	i.RecordFailure(Server{Key: 2}, known, 10*time.Second, 10*time.Second)
	if !i.IsIsolated() {
		t.Fatal("not isolated after two failures")
	}
	i.RecordConnected(Server{Key: 1}, known, 11*time.Second)
	if i.RecordFailure(Server{Key: 3}, known, 11*time.Second, 11*time.Second); i.RecordConnected(Server{Key: 2}, known, 11*time.Second) {
		t.Fatal("ended although a connection failed in between")
	}
	i.RecordConnected(Server{Key: 1}, known, 12*time.Second)
	if i.IsIsolated() {
		t.Fatal("not ended after two connections")
	}
	for _, share := range []float64{0.1, 0.5, 0.9} {
		at := 12*time.Second + time.Duration(share*float64(returnTime))
		if !i.UsesOwnConnection(at, share-0.05) || i.UsesOwnConnection(at, share+0.05) {
			t.Fatalf("share of own connections after %v is not %v", at-12*time.Second, share)
		}
	}
}
