package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"bilberryhub/internal/bootclock"
	"bilberryhub/internal/fleet"
	"bilberryhub/internal/peerconn"
	"bilberryhub/internal/reach"
	"bilberryhub/internal/wire"
	"bilberryhub/internal/wirepb"
)

// pathMode is the state of the path of a gateway to all backend servers.
type pathMode int32

const (
	pathWorks pathMode = iota
	// pathVanishes: packets vanish, also those of connections that were open before.
	pathVanishes
	// pathRefuses: new connections are refused, and open ones are reset.
	pathRefuses
	// pathLivesOn: new connections are refused, and open ones work.
	pathLivesOn
	// pathIsBusy: new connections time out, as in a burst, and open ones work.
	pathIsBusy
)

// path is the path of one gateway to all backend servers.
type path struct {
	mode  atomic.Int32
	mu    sync.Mutex
	conns map[*pathConn]struct{}
}

func (p *path) current() pathMode { return pathMode(p.mode.Load()) }

func (p *path) set(mode pathMode) {
	p.mode.Store(int32(mode))
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if mode == pathRefuses {
			_ = c.Conn.Close()
		}
	}
}

func (p *path) dial(ctx context.Context, address string) (net.Conn, error) {
	const dialTimeout = 300 * time.Millisecond
	switch p.current() {
	case pathVanishes, pathIsBusy:
		sleep(ctx, dialTimeout)
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: context.DeadlineExceeded}
	case pathRefuses, pathLivesOn:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	conn, err := wire.Dialer().DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c := &pathConn{Conn: conn, path: p, closed: make(chan struct{})}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = struct{}{}
	return c, nil
}

// pathConn is a connection on a path.
type pathConn struct {
	net.Conn
	path   *path
	once   sync.Once
	closed chan struct{}
}

func (c *pathConn) Read(buf []byte) (int, error) {
	n, err := c.Conn.Read(buf)
	if c.path.current() == pathVanishes {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *pathConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// isolationSetup is a gateway whose path to the backend servers a test cuts, and others
// that reach them.
type isolationSetup struct {
	*setup
	path   *path
	others []*setup
	// servers are the wire servers of the others.
	servers []*wire.Server
}

func newIsolationSetup(t *testing.T, others int) *isolationSetup {
	t.Helper()
	s := &isolationSetup{setup: newSetup(t), path: &path{conns: map[*pathConn]struct{}{}}}
	s.g.exchanges.Dial = s.path.dial
	s.g.wg.Go(func() { s.g.probeInDoubt(s.g.ctx) })
	t.Cleanup(func() {
		s.g.cancel()
		s.g.members.clients.Close()
		s.g.wg.Wait()
	})
	for i := range others {
		other := newSetup(t)
		other.g.settings.ID = fmt.Sprintf("other-%d", i)
		server, err := wire.Serve("127.0.0.1:0", other.g.wireOptions(), other.g.servePeer, zap.NewNop())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = server.Close() })
		s.g.members.know(other.g.settings.ID, server.Address())
		other.g.members.know(s.g.settings.ID, "127.0.0.1:9")
		s.others = append(s.others, other)
		s.servers = append(s.servers, server)
	}
	return s
}

// know records a gateway that serves Connect calls.
func (m *members) know(id, address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.gateways[id] = &gatewayEntry{
		info:    &wirepb.GatewayInfo{Id: id, Address: address, FailureDomain: "a", Connects: true},
		address: netip.MustParseAddrPort(address), seenAt: bootclock.Now(),
	}
}

// addEverywhere starts a number of plain backend servers that all gateways know.
func (s *isolationSetup) addEverywhere(count int, h http.HandlerFunc) {
	s.t.Helper()
	for i := range count {
		b := s.add(fmt.Sprintf("b%d", i), "plain", "a", h)
		for _, other := range s.others {
			other.announce(b.ID, "plain", "a", b.Address)
		}
	}
}

// callMany sends requests one after the other and returns how many were served.
func (s *isolationSetup) callMany(path string, n int) int {
	s.t.Helper()
	served := 0
	for range n {
		if resp, _, err := s.call(path); err == nil && resp.StatusCode == http.StatusOK {
			served++
		}
	}
	return served
}

// Guards against callers who are served worse than others because their gateway has lost
// its path to all backend servers, while the other gateways reach them.
func TestIsolatedGatewayServesThroughOthers(t *testing.T) {
	for name, mode := range map[string]pathMode{"vanishes": pathVanishes, "refuses": pathRefuses, "lives on": pathLivesOn} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newIsolationSetup(t, 2)
			s.addEverywhere(4, echo)
			if served := s.callMany("/safe/x", 5); served != 5 {
				t.Fatalf("%d of 5 were served before the cut", served)
			}
			s.path.set(mode)
			// The first requests find the cut.
			s.callMany("/once/x", 2)
			const requests = 30
			for _, path := range []string{"/safe/x", "/once/x"} {
				if served := s.callMany(path, requests); served != requests {
					t.Errorf("%s: %d of %d were served during the cut", path, served, requests)
				}
			}
			if !s.g.isolation.isIsolated() {
				t.Error("the gateway doesn't notice that it is isolated")
			}
			s.path.set(pathWorks)
			for end := time.Now().Add(3 * time.Second); s.g.isolation.isIsolated(); time.Sleep(10 * time.Millisecond) {
				if time.Now().After(end) {
					t.Fatal("the isolation doesn't end")
				}
			}
			if served := s.callMany("/once/x", requests); served != requests {
				t.Errorf("%d of %d were served after the cut", served, requests)
			}
		})
	}
}

// Guards against a request that may be repeated and waits on a silent path until its
// deadline.
func TestWaitingRequestLeavesTheLostPath(t *testing.T) {
	s := newIsolationSetup(t, 1)
	var received atomic.Int32
	s.addEverywhere(3, func(w http.ResponseWriter, r *http.Request) {
		if received.Add(1) == 1 {
			s.path.set(pathVanishes)
		}
		echo(w, r)
	})
	start := time.Now()
	s.status(http.StatusOK, "/safe/x")
	if took := time.Since(start); took > 2500*time.Millisecond {
		t.Fatalf("the request took %v", took)
	}
}

// Guards against a request that runs twice, or a refusal that wrongly says that it hasn't
// run, because the connection of another gateway broke after it was sent.
func TestBrokenPeerConnectionLeavesTheOutcomeOpen(t *testing.T) {
	s := newIsolationSetup(t, 2)
	var runs atomic.Int32
	s.addEverywhere(3, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if runs.Add(1); r.Header.Get("X-Id") == "breaks" {
			drop(w, r)
			return
		}
		echo(w, r)
	})
	s.path.set(pathRefuses)
	s.callMany("/once/x", 2)
	before := runs.Load()
	s.status(http.StatusBadGateway, "/once/x", "X-Id", "breaks")
	if n := runs.Load() - before; n != 1 {
		t.Fatalf("the request ran %d times", n)
	}
}

// Guards against backend servers and requests that are blamed for a lost path: a refused
// connection looks like a crash, and requests that crash backend servers are refused at
// all gateways.
func TestLostPathIsNoCrash(t *testing.T) {
	s := newIsolationSetup(t, 1)
	release := make(chan struct{})
	s.addEverywhere(4, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Id") == "waits" {
			<-release
		}
		echo(w, r)
	})
	crashes := confirmedCrashes.Get()
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() { _, _, _ = s.call("/once/x", "X-Id", "waits") })
	}
	time.Sleep(200 * time.Millisecond)
	s.path.set(pathRefuses)
	wg.Wait()
	close(release)
	if n := confirmedCrashes.Get() - crashes; n != 0 {
		t.Errorf("%d crashes were recorded", n)
	}
	servers, _ := s.g.members.backends()
	for _, b := range servers {
		if c := s.g.health.condition(b, b.Key(), bootclock.Now(), time.Minute); c.dead || c.avoid || c.failureShare > 0 {
			t.Errorf("%s is blamed: %+v", b.ID, c)
		}
	}
}

// Guards against a crash that isn't recorded because another gateway is asked first.
func TestCrashIsConfirmedByAnotherGateway(t *testing.T) {
	s := newIsolationSetup(t, 1)
	s.addEverywhere(1, echo)
	live := s.g.members.backend("b0")
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = closed.Close()
	dead := s.announce("dead", "plain", "a", closed.Addr().String())
	s.others[0].announce("dead", "plain", "a", dead.Address)
	if !s.g.refusesConnections(t.Context(), dead) || s.g.refusesConnections(t.Context(), live) {
		t.Fatal("a dead backend server is not told from a live one")
	}
	// Without another gateway that can tell, the own observation counts.
	s.g.members.avoidGateway("other-0", bootclock.Now()+time.Minute)
	if !s.g.refusesConnections(t.Context(), dead) {
		t.Fatal("a crash is not recorded without other gateways")
	}
}

// Guards against a gateway that connects anybody to anything, or others while it can't
// reach backend servers itself or stops.
func TestConnectIsForGatewaysAndBackendServers(t *testing.T) {
	s := newSetup(t)
	b := s.add("b0", "plain", "a", echo)
	s.g.members.know("gateway-2", "127.0.0.1:9")
	known := wire.Peer{Identity: wire.Identity{Kind: wire.KindEntry, ID: "gateway-2"}}
	target := peerconn.Target{ID: "b0", Address: b.Address}
	if err := s.g.allowsConnect(known, target); err != nil {
		t.Fatalf("refused: %v", err)
	}
	stranger := known
	stranger.ID = "stranger"
	for name, call := range map[string]struct {
		peer   wire.Peer
		target peerconn.Target
	}{
		"a stranger":                  {stranger, target},
		"an unknown backend server":   {known, peerconn.Target{ID: "b9", Address: b.Address}},
		"another address":             {known, peerconn.Target{ID: "b0", Address: "127.0.0.1:22"}},
		"no target":                   {known, peerconn.Target{}},
		"a target without an address": {known, peerconn.Target{ID: "b0"}},
	} {
		if s.g.allowsConnect(call.peer, call.target) == nil {
			t.Errorf("connected for %s", name)
		}
	}
	s.g.stopping.Store(true)
	if s.g.allowsConnect(known, target) == nil {
		t.Error("connected while stopping")
	}
	s.g.stopping.Store(false)
	now := bootclock.Now()
	s.g.isolation.state.RecordFailure(reach.Server{Key: 1}, reach.Known{Servers: 3, Domains: 1}, now, now)
	s.g.isolation.state.RecordFailure(reach.Server{Key: 2}, reach.Known{Servers: 3, Domains: 1}, now, now)
	if s.g.allowsConnect(known, target) == nil {
		t.Error("connected while isolated")
	}
}

// Guards against a choice of gateways that are isolated as well, too old to connect, or
// have just failed.
func TestConnectingGateways(t *testing.T) {
	m := newSetup(t).g.members
	for _, id := range []string{"near", "far", "isolated", "old", "failed"} {
		m.know(id, "127.0.0.1:9")
	}
	m.gateways["far"].info.FailureDomain = "b"
	m.gateways["old"].info.Connects = false
	m.recordContact("isolated", true, bootclock.Now())
	m.avoidGateway("failed", bootclock.Now()+time.Minute)
	got := m.connectingGateways("a", maxPeersTried)
	if len(got) != 2 || got[0].id != "near" || got[1].id != "far" {
		t.Fatalf("chosen are %v", got)
	}
	if got := m.connectingGateways("b", 1); len(got) != 1 || got[0].id != "far" {
		t.Fatalf("chosen are %v, want the one in the failure domain of the backend server", got)
	}
	m.recordContact("isolated", false, bootclock.Now())
	if got := m.connectingGateways("c", 9); len(got) != 3 {
		t.Fatalf("chosen are %v after the end of an isolation", got)
	}
}

// Guards against a planned stop that cuts a request of another gateway whose connection
// goes through the one that stops.
func TestPlannedStopWaitsForConnectionsOfOthers(t *testing.T) {
	s := newIsolationSetup(t, 1)
	arrived, release := make(chan struct{}), make(chan struct{})
	s.addEverywhere(3, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Id") == "long" {
			close(arrived)
			<-release
		}
		echo(w, r)
	})
	s.path.set(pathRefuses)
	s.callMany("/once/x", 2)
	status := make(chan int, 1)
	go func() {
		resp, _, err := s.call("/once/x", "X-Id", "long")
		if err != nil {
			status <- 0
			return
		}
		status <- resp.StatusCode
	}()
	<-arrived
	stopped := make(chan struct{})
	go func() {
		s.others[0].g.waitForPeers(t.Context())
		close(stopped)
	}()
	select {
	case <-stopped:
		t.Fatal("the stop doesn't wait")
	case <-time.After(200 * time.Millisecond):
	}
	close(release)
	if got := <-status; got != http.StatusOK {
		t.Fatalf("status %d", got)
	}
	select {
	case <-stopped:
	case <-time.After(5 * time.Second):
		t.Fatal("the stop waits although no connection is open")
	}
}

// Guards against a gateway that refuses requests, because it takes several dead backend
// servers for a lost path, while no other gateway can connect and its own connections
// would work.
func TestGatewayWithoutOthersTriesItself(t *testing.T) {
	s := newSetup(t)
	s.add("b0", "plain", "a", echo)
	now := bootclock.Now()
	s.g.isolation.state.RecordFailure(reach.Server{Key: 1}, reach.Known{Servers: 3, Domains: 1}, now, now)
	s.g.isolation.state.RecordFailure(reach.Server{Key: 2}, reach.Known{Servers: 3, Domains: 1}, now, now)
	if !s.g.isolation.isIsolated() {
		t.Fatal("the gateway doesn't count as isolated")
	}
	s.status(http.StatusOK, "/once/x")
}

// Guards against callers who wait for several connections of a gateway that reaches no
// backend server, while no other gateway can connect.
func TestRequestIsRefusedSoonIfNobodyCanConnect(t *testing.T) {
	s := newIsolationSetup(t, 0)
	s.addEverywhere(5, echo)
	s.path.set(pathVanishes)
	s.callMany("/once/x", 1)
	start := bootclock.Now()
	s.status(http.StatusServiceUnavailable, "/once/x")
	if took := bootclock.Now() - start; took > 800*time.Millisecond {
		t.Errorf("the refusal took %v", took)
	}
}

// Guards against a burst that is taken for a lost path: connections to several backend
// servers time out, while responses arrive on own connections all the time.
func TestBurstIsNoLostPath(t *testing.T) {
	s := newIsolationSetup(t, 1)
	s.addEverywhere(4, echo)
	const events = 30
	s.add("engine", "model", "a", func(w http.ResponseWriter, r *http.Request) {
		echo(w, r)
		for i := range events {
			sendEvents(w, i+1, i+1)
			time.Sleep(50 * time.Millisecond)
		}
	})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _, _ = s.call("/stream/x", "X-Prompt", "100")
	}()
	time.Sleep(200 * time.Millisecond)
	s.path.set(pathIsBusy)
	s.callMany("/once/x", 1)
	if s.g.isolation.isIsolated() {
		t.Error("the gateway takes connections that time out for a lost path")
	}
	s.path.set(pathWorks)
	<-ended
}

// Guards against a stream that arrives and is cut because connections to other backend
// servers, which have ended, are refused within milliseconds of each other.
func TestStreamThatArrivesStaysWhenThePathSeemsLost(t *testing.T) {
	const count, gap = 30, 40 * time.Millisecond
	s := newIsolationSetup(t, 1)
	var runs atomic.Int32
	begun := make(chan struct{}, count)
	s.add("live", "model", "a", func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		echo(w, r)
		for n := 1; n <= count; n++ {
			sendEvents(w, n, n)
			begun <- struct{}{}
			time.Sleep(gap)
		}
	})
	var ended []*fleet.BackendServer
	for _, domain := range []string{"b", "c"} {
		ended = append(ended, s.announce("ended-"+domain, "plain", domain, "127.0.0.1:9"))
	}
	go func() {
		for range 5 {
			<-begun
		}
		time.Sleep(gap / 2)
		for _, b := range ended {
			s.g.recordDial(b, bootclock.Now(), syscall.ECONNREFUSED)
		}
	}()
	_, body, err := s.call("/stream/x", "X-Prompt", "100")
	if err != nil || body != events(1, count) || runs.Load() != 1 {
		t.Fatalf("%d runs, error %v, stream %q", runs.Load(), err, body)
	}
}

// Guards against a stream that stays on a path that was lost after it has begun.
func TestStreamThatFallsSilentLeavesTheLostPath(t *testing.T) {
	s := newIsolationSetup(t, 1)
	var runs atomic.Int32
	handler := func(w http.ResponseWriter, r *http.Request) {
		if runs.Add(1) == 1 {
			echo(w, r)
			sendEvents(w, 1, 3)
			time.Sleep(100 * time.Millisecond)
			s.path.set(pathVanishes)
			<-r.Context().Done()
			return
		}
		streamOf(s.setup, 1, 6)(w, r)
	}
	for i := range 3 {
		b := s.add(fmt.Sprintf("s%d", i), "model", "a", handler)
		s.others[0].announce(b.ID, "model", b.FailureDomain, b.Address)
	}
	_, body, err := s.call("/stream/x", "X-Prompt", "100")
	if err != nil || body != events(1, 6) {
		t.Fatalf("stream %q, error %v", body, err)
	}
}

// Guards against a request that is cut right after it was sent because connections to other
// backend servers, which have ended, are refused within milliseconds of each other.
func TestRequestJustSentStaysWhenThePathSeemsLost(t *testing.T) {
	s := newIsolationSetup(t, 1)
	var ended []*fleet.BackendServer
	for _, domain := range []string{"b", "c"} {
		ended = append(ended, s.announce("ended-"+domain, "model", domain, "127.0.0.1:9"))
	}
	var runs atomic.Int32
	s.add("live", "plain", "a", func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		for _, b := range ended {
			s.g.recordDial(b, bootclock.Now(), syscall.ECONNREFUSED)
		}
		time.Sleep(300 * time.Millisecond)
		echo(w, r)
	})
	s.status(http.StatusOK, "/safe/x")
	if !s.g.isolation.isIsolated() || runs.Load() != 1 {
		t.Fatalf("isolated: %t, %d runs", s.g.isolation.isIsolated(), runs.Load())
	}
}
