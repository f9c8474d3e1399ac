package gateway

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"bilberryhub/internal/bootclock"
	"bilberryhub/internal/enginemodel"
	"bilberryhub/internal/wirepb"
)

// New work must be shared at once, so that the other gateways don't choose the
// same engine. First events and ends must go along with it or follow a little
// later: a datagram for each of them would go to every other gateway.
func TestProgressSharesAreCoalesced(t *testing.T) {
	s := newSetup(t)
	other, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	if s.g.udp, err = net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}); err != nil {
		t.Fatal(err)
	}
	defer s.g.udp.Close()
	s.g.members.mu.Lock()
	s.g.members.recordGateway(&wirepb.GatewayInfo{Id: "gateway-2", FailureDomain: "a", Address: other.LocalAddr().String()}, bootclock.Now())
	s.g.members.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go s.g.sendShares(ctx)

	received := func(within time.Duration) int {
		n, buf := 0, make([]byte, 4096)
		_ = other.SetReadDeadline(time.Now().Add(within))
		for {
			if _, _, err := other.ReadFrom(buf); err != nil {
				return n
			}
			n++
		}
	}
	var jobs []*job
	for i := range 10 {
		j := &job{backend: uint64(i), work: enginemodel.Work{PromptTokens: 10, PartTokens: 10}}
		s.g.workTable.mu.Lock()
		s.g.workTable.add(j)
		s.g.workTable.mu.Unlock()
		jobs = append(jobs, j)
	}
	if n := received(5 * batchDelay); n == 0 {
		t.Error("new work is not shared at once")
	}
	received(2 * progressDelay)
	for _, j := range jobs {
		s.g.workTable.markDecoding(j, nil, bootclock.Now())
		s.g.workTable.remove(j)
		time.Sleep(time.Millisecond)
	}
	if n := received(3 * progressDelay); n == 0 || n > 2 {
		t.Errorf("%d datagrams for 20 changes within %s, expected one or two", n, progressDelay)
	}
}

// With hundreds of gateways, a copy of each load share to each gateway of the other
// failure domains is most of what crosses their boundaries. One copy for each failure
// domain is enough, if its receiver sends it on to the others there, but not back and
// not to further failure domains.
func TestSharesAreRelayedWithinAFailureDomain(t *testing.T) {
	s := newSetup(t) // in failure domain a
	var err error
	if s.g.udp, err = net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}); err != nil {
		t.Fatal(err)
	}
	defer s.g.udp.Close()
	sockets := map[string]net.PacketConn{}
	addGateway := func(id, domain string, relays bool) {
		socket, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = socket.Close() })
		sockets[id] = socket
		s.g.members.mu.Lock()
		defer s.g.members.mu.Unlock()
		s.g.members.recordGateway(&wirepb.GatewayInfo{
			Id: id, FailureDomain: domain, Address: socket.LocalAddr().String(), Relays: relays, Incarnation: 1,
		}, bootclock.Now())
	}
	for _, id := range []string{"1", "2", "3", "4", "5"} {
		addGateway("a"+id, "a", true)
		addGateway("b"+id, "b", true)
		addGateway("old"+id, "c", false)
	}
	addGateway("d1", "d", true)
	received := func() map[string][]*wirepb.LoadShare {
		out := map[string][]*wirepb.LoadShare{}
		buf := make([]byte, 4096)
		for id, socket := range sockets {
			for {
				_ = socket.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
				n, _, err := socket.ReadFrom(buf)
				if err != nil {
					break
				}
				share := &wirepb.LoadShare{}
				if err := proto.Unmarshal(buf[:n], share); err != nil {
					t.Fatal(err)
				}
				out[id[:1]] = append(out[id[:1]], share)
			}
		}
		return out
	}
	s.g.sendShare(1, true)
	got := received()
	for domain, want := range map[string]int{"a": 5, "b": 1, "o": 5, "d": 1} {
		if len(got[domain]) != want {
			t.Errorf("%d copies in failure domain %s, want %d", len(got[domain]), domain, want)
		}
		for _, share := range got[domain] {
			if share.GetRelay() != (domain == "b") {
				t.Errorf("copy in failure domain %s has relay %t", domain, share.GetRelay())
			}
		}
	}
	go s.g.receiveShares()
	data, err := proto.Marshal(&wirepb.LoadShare{Gateway: "b1", Incarnation: 1, Sequence: 1, Relay: true})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := sockets["b1"].WriteTo(data, s.g.udp.LocalAddr()); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	got = received()
	if len(got["a"]) != 5 || len(got["b"])+len(got["o"])+len(got["d"]) != 0 {
		t.Errorf("relayed to %d, %d, %d and %d gateways", len(got["a"]), len(got["b"]), len(got["o"]), len(got["d"]))
	}
	for _, share := range got["a"] {
		if share.GetRelay() || share.GetGateway() != "b1" {
			t.Errorf("relayed as %v", share)
		}
	}
}

// TestSignsOfLifeAreShared answers the pattern of many gateways with few requests each: a
// long prompt waits at an engine from which its own gateway receives nothing else. It
// must not be cut as silent while the engine sends events to other gateways, because it
// would be prefilled again elsewhere.
func TestSignsOfLifeAreShared(t *testing.T) {
	s := newSetup(t)
	engine := s.announce("engine", "model", "a", "10.0.0.1:80")
	s.announce("other", "model", "a", "10.0.0.2:80")
	version := testVersion(t, 1)
	now := bootclock.Now()
	route, service := version.Manifest.Routing.Routes[2], version.Manifest.Routing.Services[1]
	r := &request{version: version, route: &route, service: &service, deadline: now + 10*time.Second}
	a := &attempt{g: s.g, r: r, pick: &pick{backend: engine, job: &job{backend: engine.Key()}}}
	if !route.Idempotent() || !a.canFailOver(now) {
		t.Fatal("the request can't continue elsewhere")
	}
	if wait := a.extendWait(); wait != 0 {
		t.Fatalf("waits %s for an engine from which nothing was received", wait)
	}
	peer := newSetup(t)
	peer.g.health.recordReceived(engine.Key(), now)
	peer.g.workTable.mu.Lock()
	peer.g.workTable.add(&job{backend: engine.Key(), sent: now})
	peer.g.workTable.mu.Unlock()
	peer.g.settings.ID = "gateway-2"
	data, err := proto.Marshal(peer.g.share(1))
	if err != nil {
		t.Fatal(err)
	}
	share := &wirepb.LoadShare{}
	if err := proto.Unmarshal(data, share); err != nil {
		t.Fatal(err)
	}
	s.g.receiveShare(share)
	if wait := a.extendWait(); wait <= 0 {
		t.Error("a long prompt is cut although another gateway receives events of the engine")
	}
	if at := s.g.health.lastReceived(engine.Key()); at > bootclock.Now() || at < now-50*time.Millisecond {
		t.Errorf("last received at %s, want about %s", at, now)
	}
	time.Sleep(aliveWindow)
	if wait := a.extendWait(); wait != 0 {
		t.Errorf("waits %s for an engine that has become silent", wait)
	}
}

// TestLongPromptsAreNotCutInABurst answers the pattern of a burst of long prompts: each
// part that arrives later goes ahead, so that a first event predicted for 150 ms may come
// after 2 s, well within an objective of 4 s. The prompt must not be sent to other engines
// meanwhile, which would prefill it again and delay the others.
func TestLongPromptsAreNotCutInABurst(t *testing.T) {
	s := newSetup(t)
	version := testVersion(t, 1)
	route, service := version.Manifest.Routing.Routes[2], version.Manifest.Routing.Services[1]
	now := bootclock.Now()
	r := &request{version: version, route: &route, service: &service, arrived: now, deadline: now + 15*time.Second}
	a := &attempt{g: s.g, r: r, pick: &pick{predictedMs: 150}}
	for objectiveMs, want := range map[float64][2]time.Duration{
		4000: {2 * time.Second, 4 * time.Second},
		300:  {time.Second, 2 * time.Second},
	} {
		route.ObjectiveMs = objectiveMs
		if limit := a.firstEventLimit(); limit < want[0] || limit > want[1] {
			t.Errorf("objective %.0f ms: a first event is waited for %s, want %s to %s", objectiveMs, limit, want[0], want[1])
		}
	}
}

// TestFailuresAreShared answers the pattern of a backend server that resets all requests
// while its health check is good, before hundreds of gateways: each of them has seen one
// or two of the failures, and the backend server looks idle, so that all of them would go
// on choosing it.
func TestFailuresAreShared(t *testing.T) {
	s := newSetup(t)
	bad := s.announce("bad", "model", "a", "10.0.0.1:80")
	now := bootclock.Now()
	for i := range 12 {
		peer := newHealth()
		peer.record(bad.Key(), outcomeFailed, now)
		s.g.health.mergeVerdicts(fmt.Sprint("gateway-", i), peer.verdicts(now), now)
		// The same state again, as in each further load share.
		s.g.health.mergeVerdicts(fmt.Sprint("gateway-", i), peer.verdicts(now), now)
	}
	share := func(at time.Duration) float64 {
		return s.g.health.condition(bad, bad.Key(), at, time.Minute).failureShare
	}
	if got := share(now); got < 0.5 || got > 0.6 {
		t.Errorf("share of failures %.2f after 12 failures of others, want 12/17 less what is tolerated", got)
	}
	if got := share(now + 5*failureHalfLife); got > 0.01 {
		t.Errorf("share of failures %.2f long after", got)
	}
	if n := len(s.g.health.entry(bad.Key()).peers); n != 0 {
		t.Errorf("%d outcomes are kept", n)
	}
	// A few failures among many successes don't count.
	sound := newHealth()
	for range 20 {
		sound.record(bad.Key(), outcomeServed, now)
	}
	sound.record(bad.Key(), outcomeFailed, now)
	other := newSetup(t)
	b := other.announce("bad", "model", "a", "10.0.0.1:80")
	other.g.health.mergeVerdicts("gateway-2", sound.verdicts(now), now)
	if got := other.g.health.condition(b, b.Key(), now, time.Minute).failureShare; got != 0 {
		t.Errorf("share of failures %.2f of a backend server that fails one in twenty", got)
	}
}
