package dispatch

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"bilberryhub/internal/announce"
	"bilberryhub/internal/invariant"
	"bilberryhub/internal/wirepb"
)

// testView is a View with one service.
type testView struct {
	service   Service
	limits    map[string]Limits
	excluded  map[string]bool // failure domains and backend servers, by name
	domains   int
	isolated  time.Duration
	urgencies map[string]Urgency
}

func newTestView() *testView {
	return &testView{
		service:  Service{ColdLimit: 1, PrefillTokensPerSecond: 10000, MaxConcurrent: 16},
		limits:   map[string]Limits{},
		excluded: map[string]bool{},
		domains:  1,
		isolated: 900 * time.Second,
		urgencies: map[string]Urgency{
			"urgent": {Priority: 0, TTFTTarget: 500 * time.Millisecond},
			"normal": {Priority: 1, TTFTTarget: 2 * time.Second},
			"batch":  {Priority: 2, TTFTTarget: 20 * time.Second},
		},
	}
}

func (v *testView) Index() uint64                           { return 1 }
func (v *testView) Service(string) (Service, bool)          { return v.service, true }
func (v *testView) Limits(account, _ string) (Limits, bool) { l, ok := v.limits[account]; return l, ok }

func (v *testView) Urgency(n string) (Urgency, bool) { u, ok := v.urgencies[n]; return u, ok }
func (v *testView) IsolatedServing() time.Duration   { return v.isolated }
func (v *testView) DomainsInService() int            { return v.domains }
func (v *testView) Excluded(domain, b string) (bool, string) {
	return v.excluded[domain] || (b != "" && v.excluded[b]), "out by order"
}

// violations collects the invariant violations reported during a test.
func violations(t *testing.T) *[]string {
	var seen []string
	t.Cleanup(invariant.SetHandler(func(name, detail string) { seen = append(seen, name+": "+detail) }))
	return &seen
}

// event is a function that the simulation calls at a time. seq orders events of the
// same time.
type event struct {
	at  time.Duration
	seq int
	run func()
}

// events is a heap of events in order of time.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].seq < e[j].seq)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any     { o := *e; x := o[len(o)-1]; *e = o[:len(o)-1]; return x }

// simulation runs entry processes, each with a core, and backend servers on a virtual
// clock.
type simulation struct {
	now                   time.Duration
	rng                   *rand.Rand
	queue                 events
	seq                   int // of the last scheduled event
	view                  *testView
	disabled              mechanisms
	entries               []*entrySim
	backends              []*backendSim
	nextID                int
	failures              []string
	poison                map[string]bool
	poisoned              int // number of crashes caused by poisonous requests
	grants                int
	done                  int                       // completed requests
	refused               map[string]int            // by refusal code; "none" counts requests without an answer
	served                map[string]int            // by urgency and by client account
	longestGaps, servedAt map[string]time.Duration  // longest time between two completions, and time of the last one, by the same keys
	outcomes              map[string]map[string]int // number of results by fingerprint and refusal code, "done" or "crashed"
	excludedAt            map[string]time.Duration
}

// entrySim simulates an entry process: a core, and the requests that this process has
// accepted from callers.
type entrySim struct {
	sim         *simulation
	id, domain  string
	incarnation uint64
	core        *Core
	dead        bool
	pausedUntil time.Duration   // the process is paused until this time
	alive       map[string]bool // entry processes that it considers alive, by id
	calls       map[string]*callSim
	received    map[string]time.Duration // time of the last announcement, by backend server
}

// callSim is a request at the entry process that accepted it.
type callSim struct {
	entry          *entrySim
	req            *wirepb.Reserve
	sent           time.Duration
	started        time.Duration
	deadline       time.Duration
	sentTo         *entrySim // dispatcher that got the Reserve
	backend        *backendSim
	redirected     bool
	suspectAtStart bool // was under suspicion when it started
}

// newSimulation returns a simulation whose entry processes and backend servers are
// spread over the failure domains.
func newSimulation(seed uint64, entries, backends int, domains []string, disabled mechanisms) *simulation {
	sim := &simulation{
		rng: rand.New(rand.NewPCG(seed, 7)), view: newTestView(), disabled: disabled, poison: map[string]bool{},
		refused: map[string]int{}, served: map[string]int{}, longestGaps: map[string]time.Duration{}, servedAt: map[string]time.Duration{}, outcomes: map[string]map[string]int{}, excludedAt: map[string]time.Duration{},
	}
	for i := range entries {
		e := &entrySim{sim: sim, id: fmt.Sprintf("e%d", i), domain: domains[i%len(domains)], calls: map[string]*callSim{}}
		sim.entries = append(sim.entries, e)
	}
	for _, e := range sim.entries {
		e.alive = map[string]bool{}
		for _, o := range sim.entries {
			e.alive[o.id] = true
		}
		e.start()
	}
	for i := range backends {
		b := &backendSim{sim: sim, id: fmt.Sprintf("b%d", i), domain: domains[i%len(domains)], limit: 1 + i%2, boot: 1, running: map[string]*callSim{}, coldUntil: sim.randomDuration(20 * time.Second)}
		sim.backends = append(sim.backends, b)
		sim.schedule(sim.randomDuration(announce.Interval), b.announce)
	}
	return sim
}

// randomDuration returns a random duration below d.
func (sim *simulation) randomDuration(d time.Duration) time.Duration {
	return time.Duration(sim.rng.Int64N(int64(d)))
}

// schedule runs a function after a delay.
func (sim *simulation) schedule(d time.Duration, run func()) {
	sim.seq++
	heap.Push(&sim.queue, event{sim.now + d, sim.seq, run})
}

// runUntil runs all events up to the given time.
func (sim *simulation) runUntil(end time.Duration) {
	for len(sim.queue) > 0 && sim.queue[0].at <= end {
		e := heap.Pop(&sim.queue).(event)
		sim.now = e.at
		e.run()
	}
	sim.now = end
}

// failf records a failed check with the current time.
func (sim *simulation) failf(format string, args ...any) {
	sim.failures = append(sim.failures, fmt.Sprintf("%v: ", sim.now)+fmt.Sprintf(format, args...))
}

// deliver runs f in an entry process after a delay. A paused process runs it when the
// pause ends, a dead one or another incarnation never does.
func (sim *simulation) deliver(e *entrySim, delay time.Duration, f func()) {
	incarnation := e.incarnation
	var try func()
	try = func() {
		switch {
		case e.dead || e.incarnation != incarnation:
		case sim.now < e.pausedUntil:
			sim.schedule(e.pausedUntil-sim.now, try)
		default:
			f()
			e.flush()
		}
	}
	sim.schedule(delay, try)
}

// start begins a new incarnation of the entry process with an empty core.
func (e *entrySim) start() {
	e.incarnation++
	e.dead = false
	e.received = map[string]time.Duration{}
	e.calls = map[string]*callSim{}
	e.core = New(Config{Entry: e.id, Incarnation: e.incarnation, FailureDomain: e.domain, Seed: e.incarnation})
	e.core.disabled = e.sim.disabled
	e.core.SetView(e.sim.view)
	e.core.SetHomes(homes{e.sim})
	e.tick()
	e.sendOpenRequests()
}

// tick calls Tick every 50 ms.
func (e *entrySim) tick() {
	e.sim.deliver(e, 50*time.Millisecond, func() {
		e.core.SetConfigAge(0)
		e.core.Tick(e.sim.now)
		e.tick()
	})
}

// sendOpenRequests sends each dispatcher the list of open requests every second.
func (e *entrySim) sendOpenRequests() {
	e.sim.deliver(e, time.Second, func() {
		for _, o := range e.sim.entries {
			m := &wirepb.OpenRequests{Entry: e.id, Incarnation: e.incarnation}
			for id, c := range e.calls {
				if c.sentTo == o {
					m.DispatchIds = append(m.DispatchIds, id)
				}
			}
			e.sim.deliver(o, e.sim.randomDuration(20*time.Millisecond), func() { o.core.OpenRequests(e.sim.now, m) })
		}
		e.sendOpenRequests()
	})
}

// homes is a Homes that assigns each fingerprint to one failure domain.
type homes struct{ sim *simulation }

func (h homes) SuspectHome(_ string, fp []byte) (string, string, bool) {
	domains := h.sim.domainNames()
	return domains[len(fp)%len(domains)], "home", true
}

// domainNames returns the names of all failure domains in order.
func (sim *simulation) domainNames() []string {
	set := map[string]bool{}
	for _, b := range sim.backends {
		set[b.domain] = true
	}
	return slices.Sorted(maps.Keys(set))
}

// dispatcher returns the entry process that dispatches a failure domain according to the
// processes that e considers alive, or nil.
func (e *entrySim) dispatcher(domain string) *entrySim {
	var other *entrySim
	for _, o := range e.sim.entries {
		if !e.alive[o.id] {
			continue
		}
		if o.domain == domain {
			return o
		}
		if other == nil {
			other = o
		}
	}
	return other
}

// flush delivers the actions of the core and checks its grants.
func (e *entrySim) flush() {
	sim := e.sim
	for _, a := range e.core.TakeActions() {
		if g := a.Envelope.GetGrant(); g != nil {
			sim.grants++
			e.checkGrant(g)
		}
		for _, o := range sim.entries {
			if o.id == a.Entry {
				sim.deliver(o, sim.randomDuration(5*time.Millisecond), func() { o.handleAction(e, a) })
			}
		}
	}
}

// checkGrant checks a grant against the state of the simulation: the backend server must
// have announced itself within the lease and must not be excluded.
func (e *entrySim) checkGrant(g *wirepb.Grant) {
	sim := e.sim
	for _, m := range g.Members {
		if since := sim.now - e.received[m.Backend]; since >= announce.Lease {
			sim.failf("%s granted %s, last announced %v ago", e.id, m.Backend, since)
		}
		b := sim.backend(m.Backend)
		for _, name := range []string{m.Backend, b.domain} {
			if sim.view.excluded[name] {
				sim.failf("%s granted %s, excluded at %v", e.id, m.Backend, sim.excludedAt[name])
			}
		}
	}
}

// backend returns the backend server with an id, or nil.
func (sim *simulation) backend(id string) *backendSim {
	for _, b := range sim.backends {
		if b.id == id {
			return b
		}
	}
	return nil
}

// countOutcome counts a result of a request with a fingerprint.
func (sim *simulation) countOutcome(fp, code string) {
	if sim.outcomes[fp] == nil {
		sim.outcomes[fp] = map[string]int{}
	}
	sim.outcomes[fp][code]++
}

// send accepts a request from a caller at an entry process and sends its Reserve. It
// returns nil if the process is dead or has no dispatcher for the failure domain.
func (e *entrySim) send(domain string, r *wirepb.Reserve) *callSim {
	if e.dead {
		return nil
	}
	sim := e.sim
	sim.nextID++
	r.DispatchId = fmt.Sprintf("d%d", sim.nextID)
	r.Service, r.FailureDomain, r.Model = "svc", domain, "m"
	r.Entry, r.EntryIncarnation = e.id, e.incarnation
	c := &callSim{entry: e, req: r, sent: sim.now, deadline: sim.now + time.Duration(r.DeadlineMs)*time.Millisecond}
	if c.sentTo = e.dispatcher(domain); c.sentTo == nil {
		return nil
	}
	e.calls[r.DispatchId] = c
	sim.deliver(c.sentTo, sim.randomDuration(5*time.Millisecond), func() { c.sentTo.core.Reserve(sim.now, r) })
	sim.deliver(e, c.deadline-sim.now+100*time.Millisecond, func() {
		if e.calls[r.DispatchId] == c && c.backend == nil {
			delete(e.calls, r.DispatchId)
			sim.refused["none"]++
		}
	})
	return c
}

// handleAction processes a Grant or a Refuse of a dispatcher. A redirect is followed
// once.
func (e *entrySim) handleAction(from *entrySim, a Action) {
	sim := e.sim
	c := e.calls[a.DispatchID]
	if c == nil {
		return
	}
	if r := a.Envelope.GetRefuse(); r != nil {
		delete(e.calls, a.DispatchID)
		sim.refused[r.Code]++
		sim.countOutcome(string(c.req.Fingerprint), r.Code)
		if home, _, _ := (homes{sim}).SuspectHome("", c.req.Fingerprint); r.Redirect != "" && !c.redirected {
			again := e.send(home, &wirepb.Reserve{
				DeadlineMs: c.req.DeadlineMs, PromptTokens: c.req.PromptTokens, MaxOutputTokens: c.req.MaxOutputTokens,
				Fingerprint: c.req.Fingerprint, Account: c.req.Account, Urgency: c.req.Urgency,
			})
			if again != nil {
				again.redirected = true
			}
		}
		return
	}
	g := a.Envelope.GetGrant()
	if sim.now > c.sent+time.Duration(g.PermitMs)*time.Millisecond || c.backend != nil {
		c.progress(wirepb.Progress_STEP_NOT_SENT, 0)
		delete(e.calls, a.DispatchID)
		return
	}
	b := sim.backend(g.Members[0].Backend)
	c.backend, c.started, c.suspectAtStart = b, sim.now, e.core.Suspected(c.req.Fingerprint)
	c.progress(wirepb.Progress_STEP_STARTED, 0)
	sim.schedule(sim.randomDuration(2*time.Millisecond), func() { b.arrive(c, g.Members[0].Boot) })
}

// progress reports a step of the request to its dispatcher.
func (c *callSim) progress(step wirepb.Progress_Step, output uint64) {
	sim := c.entry.sim
	if sim.rng.IntN(50) == 0 {
		return // lost with the connection
	}
	m := &wirepb.Progress{DispatchId: c.req.DispatchId, Step: step, ElapsedMs: uint32((sim.now - c.started).Milliseconds()), OutputTokens: output}
	if c.backend != nil {
		m.Backend, m.Boot = c.backend.id, c.backend.boot
	}
	sim.deliver(c.sentTo, sim.randomDuration(5*time.Millisecond), func() { c.sentTo.core.Progress(sim.now, m) })
}

// end finishes a call at its entry process.
func (c *callSim) end(step wirepb.Progress_Step) {
	if c.entry.calls[c.req.DispatchId] != c {
		return
	}
	delete(c.entry.calls, c.req.DispatchId)
	c.progress(step, c.req.MaxOutputTokens/2)
}

// reserved returns the backend servers with open dispatches or reserved memory, and the
// memory in tokens, over all cores.
func (sim *simulation) reserved() map[string]uint64 {
	out := map[string]uint64{}
	for _, e := range sim.entries {
		for _, p := range e.core.sortedPools {
			for _, b := range p.sortedBackends {
				if b.reserved != 0 || len(b.open) != 0 {
					out[e.id+"/"+b.id] = b.reserved
				}
			}
		}
	}
	return out
}
