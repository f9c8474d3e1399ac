package control

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"bilberryhub/internal/backoff"
	"bilberryhub/internal/fleet"
	"bilberryhub/internal/fleetclient"
	"bilberryhub/internal/fleetfeed"
	"bilberryhub/internal/wire"
	"bilberryhub/internal/wirepb"
)

// Work of a control process in processor time, about what BenchmarkSubscribers shows
// with the charges of a small VM for system calls.
const (
	handshakeWork = 500 * time.Microsecond
	refusalWork   = 60 * time.Microsecond
	sendWork      = 40 * time.Microsecond
	entryWork     = time.Microsecond
	consensusWork = 300 * time.Microsecond
	// consensusInterval is the time between two rounds of consensus.
	consensusInterval = 50 * time.Millisecond
)

// joinPolicy is how gateways join. The zero value is that of a process that sends the
// list of all gateways to all of them at each join, admits every handshake and is
// tried again at fixed intervals by gateways that wait a second and a half.
type joinPolicy struct {
	sharedUpdates, admission bool
	pause                    backoff.Backoff
	patience                 time.Duration
}

// joinSim is a control process with a share of a processor, and the gateways that join
// it, in virtual time. Work is done in the order in which it arrives.
type joinSim struct {
	policy joinPolicy
	share  float64
	random *rand.Rand

	now, freeAt time.Duration
	events      eventQueue
	admission   wire.Admission
	feed        *fleetfeed.Feed
	gateways    []*joiningGateway
	// slowestRound is the longest delay of a round of consensus.
	slowestRound time.Duration
	lost         int
}

type joiningGateway struct {
	info       *wirepb.GatewayInfo
	pause      backoff.Backoff
	subscribed bool
	position   uint64
	// attempt numbers the attempts, so that events of earlier ones are ignored.
	attempt  int
	receives time.Duration // when the last update arrived
}

type event struct {
	at  time.Duration
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func (s *joinSim) at(t time.Duration, run func()) { heap.Push(&s.events, event{t, run}) }

// work queues processor time and calls done when it has been spent.
func (s *joinSim) work(cost time.Duration, done func()) {
	s.freeAt = max(s.freeAt, s.now) + time.Duration(float64(cost)/s.share)
	s.at(s.freeAt, done)
}

func (s *joinSim) run(until time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= until {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	s.now = until
}

func newJoinSim(policy joinPolicy, gateways, servers int) *joinSim {
	s := &joinSim{policy: policy, share: 0.24, random: rand.New(rand.NewPCG(1, uint64(gateways))), feed: fleetfeed.New(0)}
	for i := range servers {
		s.feed.Announce(fleet.BackendServer{ID: fmt.Sprint("s", i), Address: fmt.Sprint(i), BornMs: 1, Sequence: 1})
	}
	for i := range gateways {
		g := &joiningGateway{info: &wirepb.GatewayInfo{Id: fmt.Sprint("g", i), Incarnation: 1}, pause: policy.pause}
		g.pause.Random = s.random.Float64
		s.gateways = append(s.gateways, g)
	}
	s.consensus()
	return s
}

func (s *joinSim) consensus() {
	queued := s.now
	s.work(consensusWork, func() {
		s.slowestRound = max(s.slowestRound, s.now-queued)
		s.at(max(s.now, queued+consensusInterval), s.consensus)
	})
}

// restart ends all sessions, as a restart of the control process does. The gateways
// notice within 300 ms.
func (s *joinSim) restart() {
	servers := s.feed.Servers()
	s.feed = fleetfeed.New(s.now)
	for _, b := range servers {
		s.feed.Announce(*b)
	}
	s.admission, s.freeAt = wire.Admission{}, s.now
	for _, g := range s.gateways {
		g.subscribed, g.attempt, g.position = false, g.attempt+1, 0
		attempt := g.attempt
		s.at(s.now+time.Duration(s.random.Int64N(int64(300*time.Millisecond))), func() {
			if g.attempt == attempt {
				s.connect(g)
			}
		})
	}
}

// connect is one attempt of a gateway to subscribe.
func (s *joinSim) connect(g *joiningGateway) {
	g.attempt++
	attempt, began := g.attempt, s.now
	if s.policy.admission && !s.admission.Begin() {
		s.work(refusalWork, func() { s.retry(g, attempt) })
		return
	}
	s.at(began+s.policy.patience, func() {
		if g.attempt == attempt && !g.subscribed {
			s.retry(g, attempt)
		}
	})
	s.work(handshakeWork, func() {
		s.admission.End(s.now-began, s.now)
		if g.attempt == attempt {
			s.subscribe(g, attempt)
		}
	})
}

func (s *joinSim) retry(g *joiningGateway, attempt int) {
	if g.attempt != attempt {
		return
	}
	g.attempt++
	next := g.attempt
	s.at(s.now+g.pause.Next(), func() {
		if g.attempt == next {
			s.connect(g)
		}
	})
}

func (s *joinSim) subscribe(g *joiningGateway, attempt int) {
	s.feed.Subscribe(g.info)
	if !s.policy.sharedUpdates {
		for _, other := range s.gateways {
			if other.subscribed {
				s.work(sendWork+time.Duration(s.feed.Subscribed())*entryWork, func() {})
			}
		}
	}
	s.send(g, attempt)
}

// send sends what the gateway lacks, and again after an interval.
func (s *joinSim) send(g *joiningGateway, attempt int) {
	if g.attempt != attempt {
		if g.info != nil {
			s.feed.Unsubscribe(g.info.GetId())
		}
		return
	}
	s.feed.Build(s.now)
	position, cost := g.position, sendWork
	updates, last := s.feed.After(position, s.now)
	for _, u := range updates {
		cost += sendWork + time.Duration(len(u.Envelope().GetFleetUpdate().GetGateways()))*entryWork/10
	}
	g.position = last
	s.work(cost, func() {
		if g.attempt != attempt {
			s.feed.Unsubscribe(g.info.GetId())
			return
		}
		const silence = fleetclient.Silence
		if g.subscribed && s.now-g.receives > silence {
			s.lost++
			g.subscribed, g.position = false, 0
			s.feed.Unsubscribe(g.info.GetId())
			s.retry(g, attempt)
			return
		}
		g.subscribed, g.receives = true, s.now
		g.pause.Reset()
		s.at(s.now+heartbeatInterval, func() { s.send(g, attempt) })
	})
}

func (s *joinSim) subscribed() int {
	n := 0
	for _, g := range s.gateways {
		if g.subscribed {
			n++
		}
	}
	return n
}

// joinNow is the policy of the gateways; see package gateway.
var joinNow = joinPolicy{
	sharedUpdates: true, admission: true, patience: 4 * time.Second,
	pause: backoff.Backoff{Base: 200 * time.Millisecond, Max: 3 * time.Second},
}

// TestAllGatewaysJoinAtOnce answers the load of a first start and of a restart of the
// control processes: hundreds of gateways connect within 0.3 s to a process with a
// quarter of a core. The process must not be kept from consensus, and all must be
// subscribed before callers come, 14 s later.
func TestAllGatewaysJoinAtOnce(t *testing.T) {
	const servers, trafficStarts = 140, 14 * time.Second
	for _, n := range []int{30, 300, 1000} {
		s := newJoinSim(joinNow, n, servers)
		for _, g := range s.gateways {
			s.at(time.Duration(s.random.Int64N(int64(300*time.Millisecond))), func() { s.connect(g) })
		}
		for _, phase := range []string{"start", "restart"} {
			s.slowestRound = 0
			s.run(s.now + trafficStarts)
			if got := s.subscribed(); got != n || s.lost > 0 {
				t.Errorf("%s: %d of %d gateways are subscribed after %s, %d lost their subscription", phase, got, n, trafficStarts, s.lost)
			}
			// Followers stand for election after a second without the leader.
			if limit := 500 * time.Millisecond; s.slowestRound > limit {
				t.Errorf("%s: with %d gateways a round of consensus took %s, at most %s", phase, n, s.slowestRound, limit)
			}
			s.restart()
		}
	}
}

// TestJoiningWithoutBoundsNeverEnds shows that the simulation reproduces the overload
// that feeds itself: lists of all gateways to all of them, handshakes without limit and
// gateways that give up and come back at fixed intervals.
func TestJoiningWithoutBoundsNeverEnds(t *testing.T) {
	const n = 300
	unbounded := joinPolicy{patience: 1500 * time.Millisecond, pause: backoff.Backoff{Base: 200 * time.Millisecond, Max: 200 * time.Millisecond}}
	s := newJoinSim(unbounded, n, 140)
	for _, g := range s.gateways {
		s.at(time.Duration(s.random.Int64N(int64(300*time.Millisecond))), func() { s.connect(g) })
	}
	s.run(14 * time.Second)
	if got := s.subscribed(); got == n && s.slowestRound < time.Second {
		t.Errorf("all %d gateways joined, the slowest round of consensus took %s", got, s.slowestRound)
	}
}
