package gateway

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"bilberryhub/internal/bootclock"
	"bilberryhub/internal/fleet"
	"bilberryhub/internal/notice"
)

const (
	// fleetDrain is the time after which no gateway may send to a backend server that has
	// told it that it leaves, fleetPauseSlack the time from which a pause must be obeyed.
	fleetDrain      = 2 * time.Second
	fleetPauseSlack = 500 * time.Millisecond
	fleetStep       = 5 * time.Millisecond
	// fleetReturn is the time over which the ends of a pause are spread.
	fleetReturn = time.Second
)

// noticeFleet plays gateways that choose backend servers, without a network and on a clock
// of its own. A response reaches its gateway some ms after the request.
type noticeFleet struct {
	t        *testing.T
	now      time.Duration
	gateways []*Gateway
	servers  []*fleet.BackendServer
	rng      *rand.Rand
	open     []fleetResponse
	// busy tells whether all backend servers want pauses at a time, and leaves when each
	// of them begins to say that it leaves.
	busy   func(time.Duration) bool
	leaves []time.Duration
	// toldLeaving is when each gateway was first told that a backend server leaves, by
	// whomever, and pauses what it was told by it, by gateway and backend server.
	toldLeaving map[[2]int]time.Duration
	pauses      map[[2]int][]fleetPause
	// sends counts requests that were sent, allOut those that were refused as all backend
	// servers leave or pause.
	sends, allOut int
}

type fleetPause struct {
	told, end time.Duration
	requests  int
}

type fleetResponse struct {
	at              time.Duration
	gateway, server int
	pick            *pick
	leaving         bool
	pause           time.Duration
}

func newNoticeFleet(t *testing.T, gateways, servers int, seed uint64) *noticeFleet {
	t.Helper()
	f := &noticeFleet{
		t: t, now: bootclock.Now(), rng: rand.New(rand.NewPCG(seed, uint64(1000*gateways+servers))),
		toldLeaving: map[[2]int]time.Duration{}, pauses: map[[2]int][]fleetPause{},
		busy: func(time.Duration) bool { return false },
	}
	table := fleet.BackendServer{Service: "plain", FailureDomain: "a", Slots: 1000, BornMs: 1, Sequence: 1, SeenAt: f.now + time.Hour}
	version := testVersion(t, 1)
	for i := range gateways {
		g := New(Settings{ID: fmt.Sprintf("g%d", i), FailureDomain: "a", AnnounceMs: 1000}, testDialect{}, zap.NewNop())
		g.now = func() time.Duration { return f.now }
		g.random = rand.New(rand.NewPCG(seed, uint64(1_000_000+i))).Float64
		g.sync = &testConfig{version: version}
		t.Cleanup(g.cancel)
		for s := range servers {
			b := table
			b.ID, b.Address = fmt.Sprintf("s%d", s), fmt.Sprintf("192.0.2.%d:80", s+1)
			g.members.table.Merge(b)
		}
		f.gateways = append(f.gateways, g)
	}
	f.servers, _ = f.gateways[0].members.backends()
	for range servers {
		f.leaves = append(f.leaves, f.now+time.Hour)
	}
	return f
}

// index returns the number of a backend server.
func (f *noticeFleet) index(b *fleet.BackendServer) int {
	for i, s := range f.servers {
		if s.ID == b.ID {
			return i
		}
	}
	f.t.Fatalf("unknown backend server %s", b.ID)
	return 0
}

// request sends a request through a gateway. It reports whether it was sent.
func (f *noticeFleet) request(gateway int) (isSent bool) {
	g := f.gateways[gateway]
	r := &request{arrived: f.now, deadline: f.now + 6*time.Second}
	r.version = g.sync.Current()
	r.route = r.version.Manifest.Routing.Match("h.example", "/once/x")
	r.service = r.version.Manifest.Routing.Service("plain")
	p, err := g.choose(r, r.service, nil)
	if err != nil {
		f.checkRefusal(gateway, r, err)
		return false
	}
	server := f.index(p.backend)
	f.checkSend(gateway, server)
	f.sends++
	resp := fleetResponse{
		at: f.now + time.Duration(5+f.rng.IntN(30))*time.Millisecond, gateway: gateway, server: server, pick: p,
		leaving: f.now >= f.leaves[server],
	}
	if f.busy(f.now) && f.rng.IntN(10) > 0 {
		resp.pause = time.Duration(200+f.rng.IntN(2500)) * time.Millisecond
	}
	f.open = append(f.open, resp)
	return true
}

// checkSend fails the test if a gateway must not send to a backend server.
func (f *noticeFleet) checkSend(gateway, server int) {
	f.t.Helper()
	key := [2]int{gateway, server}
	if told, ok := f.toldLeaving[key]; ok && f.now > told+fleetDrain {
		f.t.Fatalf("gateway %d sends to server %d %v after it was told that it leaves", gateway, server, f.now-told)
	}
	list := f.pauses[key]
	for i := range list {
		if p := &list[i]; f.now >= p.told+fleetPauseSlack && f.now < p.end {
			if p.requests++; p.requests > 2 {
				f.t.Fatalf("gateway %d sends %d requests to server %d within a pause", gateway, p.requests, server)
			}
		}
	}
}

// checkRefusal fails the test unless a request is refused as not run, with the time until
// the first pause ends that the gateway was told.
func (f *noticeFleet) checkRefusal(gateway int, r *request, err error) {
	f.t.Helper()
	var refused *refusal
	if final := f.gateways[gateway].noBackendError(r, err, false); !errors.As(final, &refused) || refused.status != http.StatusServiceUnavailable {
		f.t.Fatalf("gateway %d refuses with %v, expected one that says that nothing was run", gateway, final)
	}
	first := time.Duration(0)
	for server := range f.servers {
		end := time.Duration(0)
		for _, p := range f.pauses[[2]int{gateway, server}] {
			end = max(end, p.end)
		}
		if _, isLeaving := f.toldLeaving[[2]int{gateway, server}]; isLeaving {
			continue
		}
		if f.now > end+fleetReturn {
			f.t.Fatalf("gateway %d refuses although server %d neither leaves nor pauses: %v", gateway, server, err)
		}
		if first == 0 || end < first {
			first = end
		}
	}
	f.allOut++
	limit := (r.deadline - f.now) / 3
	low, high := min(limit, first-f.now), min(limit, first+fleetReturn-f.now)
	if first == 0 {
		low, high = 700*time.Millisecond, 1300*time.Millisecond
	}
	if refused.retryAfter < low || refused.retryAfter > max(high, 10*time.Millisecond) {
		f.t.Fatalf("gateway %d: Retry-After %v, expected %v to %v", gateway, refused.retryAfter, low, high)
	}
}

// step handles the responses that are due, and lets the time go on.
func (f *noticeFleet) step() {
	var left []fleetResponse
	for _, resp := range f.open {
		if resp.at > f.now {
			left = append(left, resp)
			continue
		}
		f.respond(resp)
	}
	f.open = left
	f.now += fleetStep
}

// respond records what a response says. Half of the other gateways hear that a backend
// server leaves.
func (f *noticeFleet) respond(resp fleetResponse) {
	g := f.gateways[resp.gateway]
	b := resp.pick.backend
	g.workTable.remove(resp.pick.job)
	g.recordNotices(b, connPath{isDirect: true}, "", ResponseInfo{NotRun: resp.pause > 0, Leaving: resp.leaving, Pause: resp.pause})
	key := [2]int{resp.gateway, resp.server}
	if resp.pause > 0 {
		f.pauses[key] = append(f.pauses[key], fleetPause{told: f.now, end: f.now + resp.pause})
	}
	if !resp.leaving {
		return
	}
	for other, gateway := range f.gateways {
		otherKey := [2]int{other, resp.server}
		if _, ok := f.toldLeaving[otherKey]; ok || (other != resp.gateway && f.rng.IntN(2) == 0) {
			continue
		}
		if other != resp.gateway {
			gateway.mergeLeaving([]uint64{b.Key()})
		}
		f.toldLeaving[otherKey] = f.now
	}
}

// Guards against requests to backend servers that leave or pause, and, while that is so
// for all, against requests that are held, or refused without the time until the first
// pause ends.
func TestRefusalsWhileAllBackendServersAreOut(t *testing.T) {
	for _, gateways := range []int{1, 30, 300} {
		for _, servers := range []int{1, 7, 50} {
			t.Run(fmt.Sprintf("%d gateways, %d servers", gateways, servers), func(t *testing.T) {
				t.Parallel()
				f := newNoticeFleet(t, gateways, servers, uint64(gateways))
				begin := f.now
				f.busy = func(now time.Duration) bool { return (now-begin)%(6*time.Second) < 3*time.Second }
				for i := range f.leaves {
					f.leaves[i] = begin + 6*time.Second + time.Duration(f.rng.Int64N(int64(6*time.Second)))
				}
				for f.now < begin+15*time.Second {
					// With many gateways and backend servers, enough requests that each of
					// the first gateways is told by all.
					for range 3 {
						f.request(f.rng.IntN(min(gateways, 3)))
						f.request(f.rng.IntN(gateways))
					}
					f.step()
				}
				if f.allOut == 0 || f.sends == 0 {
					t.Errorf("%d requests were sent and %d refused, so that the test shows nothing", f.sends, f.allOut)
				}
			})
		}
	}
}

// Guards against gateways that all return at the same moment when a backend server's pause
// ends, or don't return.
func TestRequestsReturnGraduallyAfterAPause(t *testing.T) {
	const (
		pause  = 2 * time.Second
		window = 100 * time.Millisecond
	)
	for _, gateways := range []int{1, 30, 300} {
		t.Run(fmt.Sprintf("%d gateways", gateways), func(t *testing.T) {
			t.Parallel()
			f := newNoticeFleet(t, gateways, 1, 7)
			told := f.now
			for i, g := range f.gateways {
				g.recordNotices(f.servers[0], connPath{isDirect: true}, "", ResponseInfo{NotRun: true, Pause: pause})
				f.pauses[[2]int{i, 0}] = []fleetPause{{told: told, end: told + pause}}
			}
			var returned []time.Duration
			isBack := make([]bool, gateways)
			for f.now < told+pause+2*fleetReturn {
				for i := range f.gateways {
					if !isBack[i] && f.request(i) {
						isBack[i] = true
						returned = append(returned, f.now-told)
					}
				}
				f.step()
			}
			if len(returned) != gateways || returned[0] < pause {
				t.Fatalf("%d of %d gateways return, the first after %v", len(returned), gateways, returned[0])
			}
			if last := returned[len(returned)-1]; last > pause+fleetReturn+fleetStep {
				t.Errorf("the last gateway returns after %v", last)
			}
			most, begin := 0, 0
			for i, at := range returned {
				for returned[begin] <= at-window {
					begin++
				}
				most = max(most, i-begin+1)
			}
			// A tenth of the gateways on the mean, and what chance adds.
			if limit := gateways/10 + 6*(1+gateways/50); most > limit {
				t.Errorf("%d of %d gateways return within %v, expected %d at the most", most, gateways, window, limit)
			}
		})
	}
}

// Guards against a backend server that gets all requests again at the moment at which its
// pause ends, although others are idle.
func TestBackendServerIsSparedAfterItsPause(t *testing.T) {
	f := newNoticeFleet(t, 1, 2, 1)
	end := f.now + time.Second
	f.gateways[0].recordNotices(f.servers[0], connPath{isDirect: true}, "", ResponseInfo{NotRun: true, Pause: time.Second})
	atPaused := 0
	for f.now < end+3*fleetReturn {
		f.request(0)
		if last := f.open[len(f.open)-1]; last.server == f.index(f.servers[0]) {
			if state, _ := f.gateways[0].notices.table.State(f.servers[0].Key(), f.now); state != notice.Open {
				t.Fatalf("%v after the pause began to end, a request goes to it", f.now-end)
			}
			atPaused++
		}
		f.step()
	}
	if atPaused == 0 {
		t.Error("it gets no requests any more")
	}
}
