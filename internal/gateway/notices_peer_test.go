package gateway

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"bilberryhub/internal/bootclock"
	"bilberryhub/internal/peerconn"
	"bilberryhub/internal/wire"
	"bilberryhub/internal/wirepb"
)

// noticeWait bounds the time until a gateway knows what another one was told through it:
// a backend server counts requests from half a second after its response on.
const noticeWait = 500 * time.Millisecond

// knows waits until a gateway has a notice of a backend server, and reports whether that
// was within noticeWait.
func (s *setup) knows(backend uint64) bool {
	for end := bootclock.Now() + noticeWait; s.g.noticeError(backend) == nil; time.Sleep(time.Millisecond) {
		if bootclock.Now() > end {
			return false
		}
	}
	return true
}

// addTelling starts a backend server with a notice, and two sound ones that hold the
// isolation up. All gateways know them.
func (s *isolationSetup) addTelling(received *atomic.Int32, leaving bool, pauseSeconds int) (key uint64) {
	s.t.Helper()
	s.addEverywhere(2, echo)
	b := s.add("telling", "plain", "a", says(received, leaving, pauseSeconds))
	for _, other := range s.others {
		other.announce(b.ID, "plain", "a", b.Address)
	}
	return b.Key()
}

// callUntil sends requests until a backend server has got one. The first ones find the cut.
func (s *isolationSetup) callUntil(received *atomic.Int32) {
	s.t.Helper()
	s.callMany("/once/x", 2)
	for range 200 {
		if s.status(http.StatusOK, "/safe/x"); received.Load() > 0 {
			return
		}
	}
	s.t.Fatal("the backend server got no request")
}

// Guards against a gateway that goes on sending to a backend server that has told it,
// through the response to a request of an isolated gateway, that it leaves or wants a
// pause: the backend server counts the connecting gateway.
func TestConnectingGatewayObeysWhatIsToldThroughIt(t *testing.T) {
	for name, leaving := range map[string]bool{"leaving": true, "pause": false} {
		t.Run(name, func(t *testing.T) {
			s := newIsolationSetup(t, 1)
			pauseSeconds := 3
			if leaving {
				pauseSeconds = 0
			}
			var received atomic.Int32
			s.path.set(pathRefuses)
			key := s.addTelling(&received, leaving, pauseSeconds)
			s.callUntil(&received)
			if !s.others[0].knows(key) {
				t.Fatal("the connecting gateway isn't told")
			}
			for range 30 {
				s.others[0].status(http.StatusOK, "/safe/x")
				s.status(http.StatusOK, "/safe/x")
			}
			// Two requests may cross the first response.
			if n := received.Load(); n > 2 {
				t.Errorf("the backend server got %d requests", n)
			}
		})
	}
}

// Guards against a gateway that connects another one to a backend server that has told it
// to pause or that it leaves, and against an isolated gateway that gives up, or avoids the
// gateway for other backend servers, because of that.
func TestGatewayWithANoticeDoesNotConnect(t *testing.T) {
	s := newIsolationSetup(t, 2)
	var received atomic.Int32
	s.path.set(pathRefuses)
	key := s.addTelling(&received, false, 0)
	s.callMany("/once/x", 2)
	b := s.g.members.backend("telling")
	told, untold := s.others[0], s.others[1]
	told.g.addNotices(zap.NewNop(), key, false, time.Minute, bootclock.Now())
	for range 20 {
		conn, peer, err := s.g.dialThroughPeer(t.Context(), b)
		if err != nil || peer.id != untold.g.settings.ID {
			t.Fatalf("connected through %q: %v", peer.id, err)
		}
		_ = conn.Close()
	}
	if n := len(s.g.members.connectingGateways("a", maxPeersTried)); n != 2 {
		t.Fatalf("%d gateways may be asked after a notice, expected both", n)
	}
	// The isolated gateway isn't told: the pause is for the other one.
	if err := s.g.noticeError(key); err != nil {
		t.Fatalf("the isolated gateway takes the pause for its own: %v", err)
	}
	untold.g.addNotices(zap.NewNop(), key, false, 2*time.Second, bootclock.Now())
	_, _, err := s.g.dialThroughPeer(t.Context(), b)
	var paused *pausedError
	if !errors.As(err, &paused) || paused.until-bootclock.Now() > 3100*time.Millisecond {
		t.Fatalf("both gateways pause: %v, expected the pause that ends first", err)
	}
	if !saysNothing(err) {
		t.Fatal("a pause is taken for a failure of the backend server")
	}
	// A notice of another lifetime says nothing about this one.
	if err := s.g.noticeOfPeer(b, &peerconn.NoticeError{Backend: key + 1, IsLeaving: true}); errors.Is(err, errLeaving) || s.g.noticeError(key) != nil {
		t.Fatalf("the notice of another lifetime is taken over: %v", err)
	}
	untold.g.addNotices(zap.NewNop(), key, true, 0, bootclock.Now())
	told.g.addNotices(zap.NewNop(), key, true, 0, bootclock.Now())
	if _, _, err := s.g.dialThroughPeer(t.Context(), b); !errors.Is(err, errLeaving) || !errors.Is(s.g.noticeError(key), errLeaving) {
		t.Fatalf("the backend server leaves: %v", err)
	}
	before := received.Load()
	if served := s.callMany("/once/x", 20); served != 20 || received.Load() != before {
		t.Fatalf("%d of 20 were served, %d by the backend server that leaves", served, received.Load()-before)
	}
}

// Guards against an isolated gateway that holds callers, or refuses them without the time
// until the first pause ends, while all backend servers have told the connecting gateways
// to pause.
func TestIsolatedGatewayRefusesWithTheEndOfThePause(t *testing.T) {
	s := newIsolationSetup(t, 2)
	s.addEverywhere(3, echo)
	s.path.set(pathRefuses)
	if served := s.callMany("/once/x", 2); served != 2 {
		t.Fatalf("%d of 2 were served before", served)
	}
	for _, other := range s.others {
		for i, id := range []string{"b0", "b1", "b2"} {
			other.g.addNotices(zap.NewNop(), s.g.members.backend(id).Key(), false, time.Duration(3+i)*time.Second, bootclock.Now())
		}
	}
	start := bootclock.Now()
	resp, body, err := s.call("/once/x", "X-Wait-Ms", "4900")
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || !strings.Contains(body, `"run":"no"`) {
		t.Fatalf("%v: %s", err, body)
	}
	if took := bootclock.Now() - start; took > 700*time.Millisecond {
		t.Errorf("the refusal took %v", took)
	}
	// The pause of b0 ends first, after 3 s. Callers wait at most a third of their time, and
	// without the pause 1.3 s.
	if after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err != nil || after < 1.35 || after > 1.64 {
		t.Errorf("Retry-After is %q", resp.Header.Get("Retry-After"))
	}
}

// Guards against an isolated gateway beside earlier builds that fails requests because a
// connecting gateway doesn't know the call that tells it of a notice, or that then doesn't
// obey the notice itself.
func TestNoticeBesideEarlierBuild(t *testing.T) {
	s := newIsolationSetup(t, 0)
	other := newSetup(t)
	other.g.settings.ID = "earlier"
	serve := func(ctx context.Context, st *wire.Stream, req *wirepb.Envelope) error {
		if connect := req.GetConnect(); connect != nil {
			return other.g.connects.Serve(ctx, st, connect)
		}
		return errors.Errorf("call %T is not served by a gateway", req.GetBody())
	}
	server, err := wire.Serve("127.0.0.1:0", other.g.wireOptions(), serve, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close() })
	s.g.members.know("earlier", server.Address())
	other.g.members.know(s.g.settings.ID, "127.0.0.1:9")
	s.others = append(s.others, other)
	untold := noticesUntold.Get()
	var received atomic.Int32
	s.path.set(pathRefuses)
	s.addTelling(&received, false, 3)
	s.callUntil(&received)
	for range 20 {
		s.status(http.StatusOK, "/safe/x")
	}
	if n := received.Load(); n > 2 {
		t.Errorf("the backend server got %d requests through the earlier build", n)
	}
	for end := bootclock.Now() + noticeWait; noticesUntold.Get() == untold; time.Sleep(time.Millisecond) {
		if bootclock.Now() > end {
			t.Fatal("the call that failed isn't counted")
		}
	}
}

// Guards against processes that are no gateways, or against values without a meaning, that
// take backend servers out.
func TestNoticeIsTakenFromGatewaysOnly(t *testing.T) {
	s := newIsolationSetup(t, 1)
	s.addEverywhere(1, echo)
	key := s.g.members.backend("b0").Key()
	tell := func(id string, n *wirepb.Notice) error {
		client := wire.NewClient(s.servers[0].Address(), wire.Options{Self: wire.Identity{Kind: wire.KindEntry, ID: id}})
		defer client.Close()
		_, err := client.Call(t.Context(), &wirepb.Envelope{Body: &wirepb.Envelope_Notice{Notice: n}})
		return err
	}
	if err := tell("stranger", &wirepb.Notice{Backend: key, Leaving: true}); err == nil || s.others[0].g.noticeError(key) != nil {
		t.Fatalf("the notice of a stranger is taken: %v", err)
	}
	if err := tell("gateway-1", &wirepb.Notice{Backend: key}); err != nil || s.others[0].g.noticeError(key) != nil {
		t.Fatalf("an empty notice takes the backend server out: %v", err)
	}
	if err := tell("gateway-1", &wirepb.Notice{Backend: key, PauseMs: 1 << 31}); err != nil {
		t.Fatal(err)
	}
	var paused *pausedError
	if err := s.others[0].g.noticeError(key); !errors.As(err, &paused) || paused.until > bootclock.Now()+6*time.Minute {
		t.Fatalf("a pause of weeks is recorded as %v", err)
	}
}
