package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/juju/errors"

	"bilberryhub/internal/bootclock"
	"bilberryhub/internal/enginemodel"
	"bilberryhub/internal/fleet"
	"bilberryhub/internal/manifest"
	"bilberryhub/internal/wirepb"
)

// all returns all gateways, by failure domain.
func (n *datagramNet) all() map[string][]*Gateway {
	out := map[string][]*Gateway{}
	for _, info := range n.infos {
		g := n.gateway(netip.MustParseAddrPort(info.GetAddress()))
		out[info.GetFailureDomain()] = append(out[info.GetFailureDomain()], g)
	}
	return out
}

// addEngines makes all gateways know engines, perDomain in each failure domain.
func (n *datagramNet) addEngines(domains, perDomain int) {
	for d := range domains {
		for i := range perDomain {
			n.engines = append(n.engines, fleet.BackendServer{
				ID: fmt.Sprintf("engine-%d-%d", d, i), Service: "model", Address: fmt.Sprintf("10.9.%d.%d:80", d, i),
				FailureDomain: fmt.Sprint("domain-", d), Slots: 4, BornMs: 1, Sequence: 1, SeenAt: bootclock.Now(),
			})
		}
	}
}

// sendDomainSummary sends a summary of a failure domain from a gateway whose turn it is.
func sendDomainSummary(t *testing.T, gateways []*Gateway, sequence uint64) {
	t.Helper()
	for _, g := range gateways {
		if g.members.isSummarySender() {
			g.sendSummary(g.summary(sequence), bootclock.Now())
			return
		}
	}
	t.Fatal("no gateway sends summaries")
}

// openAt returns the requests that a gateway knows at an engine of a failure domain.
func openAt(g *Gateway, domain string, key uint64) int {
	g.workTable.mu.Lock()
	defer g.workTable.mu.Unlock()
	now := bootclock.Now()
	works := g.workTable.works(now)[key]
	if domain != g.settings.FailureDomain {
		works = g.workTable.remoteWorks(domain, key, works, now)
	}
	return openRequests(works)
}

// Guards against details that are missing where they are needed, now that they don't go to
// all failure domains: the gateways beside the sender, and those beside the engine, must
// know new work at once, the others with the next summary, and all must know its end.
// Signs of life of the engine must reach all as well: prompts elsewhere wait for it.
func TestDetailsReachThoseWhoChoose(t *testing.T) {
	const domains, gateways = 5, 130
	n := newDatagramNet(t, gateways, domains)
	n.deliversAll = true
	n.addEngines(domains, 1)
	all := n.all()
	sender, target := all["domain-0"][3], n.engines[3]
	key := target.Key()
	expect := func(step string, want map[string]int) {
		t.Helper()
		for domain, list := range all {
			for _, g := range list {
				if open := openAt(g, target.FailureDomain, key); open != want[domain] {
					t.Errorf("%s: %s in %s knows %d open requests, want %d", step, g.settings.ID, domain, open, want[domain])
				}
			}
		}
	}
	j := &job{backend: key, domain: target.FailureDomain, sent: bootclock.Now(), work: enginemodel.Work{Request: 1, SentMs: ms(bootclock.Now()), PromptTokens: 10, PartTokens: 10}}
	sender.health.recordReceived(key, bootclock.Now())
	sender.workTable.mu.Lock()
	sender.workTable.add(j)
	sender.workTable.mu.Unlock()
	sender.sendShare(1, true)
	expect("new work", map[string]int{"domain-0": 1, "domain-3": 1})
	time.Sleep(summaryDelay)
	sendDomainSummary(t, all["domain-3"], 1)
	expect("summary", map[string]int{"domain-0": 1, "domain-1": 1, "domain-2": 1, "domain-3": 1, "domain-4": 1})
	for domain, list := range all {
		for _, g := range list {
			if age := bootclock.Now() - g.health.lastReceived(key); age > aliveWindow {
				t.Errorf("%s in %s knows no sign of life of the engine", g.settings.ID, domain)
			}
		}
	}
	sender.workTable.remove(j)
	n.take()
	sender.sendShare(2, false)
	time.Sleep(3 * batchInterval)
	if count := n.take(); count > 2*gateways/domains {
		t.Errorf("%d datagrams for the end of a request", count)
	}
	sendDomainSummary(t, all["domain-3"], 2)
	expect("end", nil)
}

// Guards against gateways that ask an isolated one of another failure domain to connect:
// load shares of the isolated gateway don't reach them, and messages without work must
// not count as a sign that it can connect again.
func TestIsolationIsKnownEverywhere(t *testing.T) {
	const domains, gateways = 5, 130
	n := newDatagramNet(t, gateways, domains)
	n.deliversAll = true
	n.addEngines(domains, 2)
	all := n.all()
	isolated := all["domain-0"][3]
	expect := func(step string, want bool) {
		t.Helper()
		for domain, list := range all {
			for _, g := range list {
				if g == isolated {
					continue
				}
				g.members.mu.Lock()
				if got := g.members.gateways[isolated.settings.ID].isolated; got != want {
					t.Errorf("%s: isolated is %t at %s in %s", step, got, g.settings.ID, domain)
				}
				g.members.mu.Unlock()
			}
		}
	}
	for i := range 2 {
		isolated.recordDial(&n.engines[i*3], bootclock.Now(), errors.New("connection refused"))
	}
	expect("isolated", true)
	isolated.sendToAll(&wirepb.LoadShare{Leaving: []uint64{1}})
	expect("message without work", true)
	for i := range 2 {
		isolated.recordDial(&n.engines[i*3], bootclock.Now(), nil)
	}
	expect("connected again", false)
}

// Guards against load shares that stop, or never stop, for a failure domain in which work
// was sent: its gateways would count work that has ended, or not count work that runs.
func TestUsedDomainsGetLoadShares(t *testing.T) {
	const interval = 3 * time.Second
	b, now := newWorkTable(), bootclock.Now()
	state := func(at time.Duration) string {
		changed := b.takeChangedDomains(at, interval)
		switch {
		case changed.atOnce["b"]:
			return "at once"
		case changed.later["b"]:
			return "later"
		case changed.used["b"]:
			return "used"
		}
		return ""
	}
	expect := func(step string, at time.Duration, want string) {
		t.Helper()
		if got := state(now + at); got != want {
			t.Errorf("%s: %q, want %q", step, got, want)
		}
	}
	j := &job{backend: 1, domain: "b", sent: now, work: enginemodel.Work{PromptTokens: 10, PartTokens: 10}}
	expect("no work", 0, "")
	b.mu.Lock()
	b.add(j)
	b.mu.Unlock()
	expect("new work", 0, "at once")
	expect("no change", time.Second, "used")
	expect("interval over", interval, "later")
	b.markDecoding(j, nil, now)
	expect("first event", interval, "later")
	expect("long stream", 3*usedDomainRetention, "later")
	now = bootclock.Now()
	b.remove(j)
	expect("end", time.Second, "later")
	expect("in case the end was lost", usedDomainRetention-time.Second, "later")
	expect("long after", usedDomainRetention+time.Second, "")
}

// Guards against gateways that are left out: those of an earlier build that know no
// summaries must get each load share, and a failure domain with a few gateways must get
// load shares and summaries without a relay. Load shares that may wait must go to few
// gateways of a large failure domain, or no batch would hold more than one.
func TestDetailTargets(t *testing.T) {
	s := newSetup(t)
	s.g.members.mu.Lock()
	for i := range 40 {
		for _, domain := range []string{"a", "b", "old", "small"} {
			if domain != "small" || i < minRelayDomain-1 {
				s.g.members.recordGateway(&wirepb.GatewayInfo{
					Id: fmt.Sprint(domain, i), FailureDomain: domain, Address: fmt.Sprintf("10.0.%d.%d:9", len(domain), i),
					Relays: domain != "old", Incarnation: 1,
				}, bootclock.Now())
			}
		}
	}
	s.g.members.mu.Unlock()
	is := func(domains ...string) map[string]bool {
		out := map[string]bool{}
		for _, d := range domains {
			out[d] = true
		}
		return out
	}
	collectors := map[netip.AddrPort]bool{}
	for range 100 {
		for _, c := range []struct {
			changed                  changedDomains
			direct, relays, batchers int
		}{
			{changedDomains{used: is("a", "b", "old")}, 40, 0, 0},
			{changedDomains{used: is("a", "b"), atOnce: is("b")}, 0, 1, 0},
			{changedDomains{used: is("a", "b", "small"), later: is("b", "small")}, minRelayDomain - 1, 0, 1},
			{changedDomains{used: is("a"), later: is("a")}, 0, 0, 0},
		} {
			got := s.g.members.detailTargets(c.changed)
			if len(got.direct) != c.direct || len(got.relays) != c.relays || len(got.batchers) != c.batchers {
				t.Fatalf("%+v: %d direct, %d relays, %d batchers", c.changed, len(got.direct), len(got.relays), len(got.batchers))
			}
			for _, a := range got.batchers {
				collectors[a] = true
			}
		}
	}
	if len(collectors) != remoteBatchers {
		t.Errorf("%d gateways collect load shares from another failure domain, want %d", len(collectors), remoteBatchers)
	}
	if direct, relays := s.g.members.summaryTargets(); len(direct) != minRelayDomain-1 || len(relays) != 1 {
		t.Errorf("summaries go to %d gateways directly and to %d relays", len(direct), len(relays))
	}
}

// Guards against a lost collector that is not noticed: batches of load shares from other
// failure domains come from other gateways and say nothing about it.
func TestOnlyOwnLoadSharesConfirmABatch(t *testing.T) {
	s := newSetup(t)
	batch := func(ids ...string) *wirepb.LoadShare {
		m := &wirepb.LoadShare{}
		for _, id := range ids {
			m.Batch = append(m.Batch, &wirepb.LoadShare{Gateway: id, Incarnation: 1, Sequence: 1})
		}
		return m
	}
	s.g.batch.skipBatchers(bootclock.Now() - 2*batchTimeout)
	s.g.receiveShare(batch("b-1", "b-2"))
	if skip := s.g.batch.skipBatchers(bootclock.Now()); skip != 1 {
		t.Errorf("%d collectors skipped although the load share has not come back", skip)
	}
	s.g.receiveShare(batch("b-1", s.g.settings.ID))
	if skip := s.g.batch.skipBatchers(bootclock.Now() + 2*batchTimeout); skip != 1 {
		t.Errorf("%d collectors skipped although the load share has come back", skip)
	}
}

// Guards against summaries that miss many new requests, and against some that are sent
// without need: each costs a datagram for each gateway of the other failure domains.
func TestSummariesFollowNewRequests(t *testing.T) {
	const domains, gateways, plays, every = 5, 130, 2 * time.Second, 10 * time.Millisecond
	n := newDatagramNet(t, gateways, domains)
	n.addEngines(domains, 1)
	var g *Gateway
	for _, other := range n.all()["domain-0"] {
		if other.members.isSummarySender() {
			g = other
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go g.sendSummaries(ctx)
	// Each summary reaches a gateway of each other failure domain and from there the rest.
	perSummary := gateways - gateways/domains
	play := func(domain int) (summaries, requests int) {
		time.Sleep(summaryInterval) // until a summary without work was sent
		n.take()
		for began := bootclock.Now(); bootclock.Now()-began < plays; time.Sleep(every) {
			requests++
			g.workTable.mu.Lock()
			g.workTable.add(&job{backend: n.engines[domain].Key(), domain: fmt.Sprint("domain-", domain), sent: bootclock.Now()})
			g.workTable.mu.Unlock()
		}
		return n.take() / perSummary, requests
	}
	most := int(plays.Seconds()/((1-shareJitter)*summaryInterval.Seconds())) + 1
	if summaries, _ := play(1); summaries < 1 || summaries > most {
		t.Errorf("%d summaries while work elsewhere changes, want 1 to %d", summaries, most)
	}
	summaries, requests := play(0)
	if most := requests/summaryRequests + 1; summaries < requests/summaryRequests/3 || summaries > most {
		t.Errorf("%d summaries for %d requests, want %d at most", summaries, requests, most)
	}
}

// burst plays requests at random gateways, apart by a pause each, that run for a time. It
// returns the mean and the greatest number of requests that were open at the engines that
// were chosen.
func (n *datagramNet) burst(requests int, pause, runs time.Duration) (mean, most float64, served int) {
	n.t.Helper()
	version := testVersion(n.t, 1)
	service := &version.Manifest.Routing.Services[1]
	service.Engine = &manifest.Engine{
		Slots: 4, CapacityTokens: 400_000, StepMs: 1, PrefillTokensPerSecond: 150_000, ChunkTokens: 2048, Stride: 10,
	}
	route := version.Manifest.Routing.Routes[2]
	route.ObjectiveMs = 3000
	all := n.all()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var list []*Gateway
	for _, gateways := range all {
		for _, g := range gateways {
			g.sync = &testConfig{version: version}
			list = append(list, g)
			if g.members.isSummarySender() {
				g.workTable.signalReceived(true)
				go g.sendSummaries(ctx)
			}
		}
	}
	type running struct {
		g    *Gateway
		p    *pick
		ends time.Duration
	}
	var queue []running
	open := map[uint64]int{}
	sequences := map[*Gateway]uint64{}
	send := func(g *Gateway, isNew bool) {
		sequences[g]++
		g.sendShare(sequences[g], isNew)
	}
	for i := range requests {
		now := bootclock.Now()
		for len(queue) > 0 && queue[0].ends <= now {
			done := queue[0]
			queue = queue[1:]
			done.g.workTable.remove(append(done.p.helperJobs, done.p.job)...)
			open[done.p.job.backend]--
			send(done.g, false)
		}
		g := list[rand.IntN(len(list))]
		r := &request{version: version, route: &route, service: service, arrived: now, deadline: now + 10*time.Second}
		r.caller.ID, r.caller.PromptTokens, r.caller.OutputTokens = fmt.Sprint("request-", i), 8_000, 100
		if p, err := g.choose(r, service, nil); err == nil {
			send(g, true)
			served++
			mean += float64(open[p.job.backend])
			most = max(most, float64(open[p.job.backend]))
			open[p.job.backend]++
			queue = append(queue, running{g, p, now + runs})
		}
		time.Sleep(pause)
	}
	return mean / float64(max(1, served)), most, served
}

// Guards against a herd: in a burst over all gateways, no engine may get many requests
// while others have few, although the gateways of other failure domains know the work
// there from summaries only. With load shares to all failure domains, 1.9 to 2.3 were open
// on the mean and 7 at most; with a summary each second and no engines allotted, 2.5 to 3.5
// and 8 to 12.
func TestBurstIsSpread(t *testing.T) {
	const domains, gateways, perDomain = 5, 130, 10
	n := newDatagramNet(t, gateways, domains)
	n.deliversAll = true
	n.addEngines(domains, perDomain)
	mean, most, served := n.burst(400, 2*time.Millisecond, 100*time.Millisecond)
	if served < 300 || mean > 2.8 || most > 10 {
		t.Errorf("a herd: want 300 requests at least, 2.8 open on the mean and 10 at most")
	}
	t.Logf("%d requests; %.2f were open on the mean at the chosen engines, %.0f at most", served, mean, most)
}
