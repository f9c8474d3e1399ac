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

// testView is a configuration with one service.
type testView struct {
	service   Service
	limits    map[string]Limits
	excluded  map[string]bool // domains and backend servers
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

// violations collects what the invariants report during a test.
func violations(t *testing.T) *[]string {
	var seen []string
	t.Cleanup(invariant.SetHandler(func(name, detail string) { seen = append(seen, name+": "+detail) }))
	return &seen
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].seq < e[j].seq)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any     { o := *e; x := o[len(o)-1]; *e = o[:len(o)-1]; return x }

// world simulates entry processes and backend servers around several cores.
type world struct {
	now            time.Duration
	rng            *rand.Rand
	queue          events
	seq            int
	view           *testView
	off            mechanisms
	entries        []*entrySim
	backends       []*backendSim
	nextID         int
	faults         []string
	poison         map[string]bool
	poisoned       int // crashes by a poisonous request
	grants         int
	done           int
	refused        map[string]int
	served         map[string]int // by urgency and by account
	gaps, servedAt map[string]time.Duration
	byFP           map[string]map[string]int // refusal codes by fingerprint
	excludedAt     map[string]time.Duration
}

// entrySim is an entry process: a core and the requests that it admitted.
type entrySim struct {
	w           *world
	id, domain  string
	incarnation uint64
	core        *Core
	dead        bool
	frozen      time.Duration // paused until
	believes    map[string]bool
	calls       map[string]*callSim
	received    map[string]time.Duration // last announcement by backend server
}

type callSim struct {
	entry      *entrySim
	req        *wirepb.Reserve
	sent       time.Duration
	started    time.Duration
	deadline   time.Duration
	at         *entrySim // dispatcher
	backend    *backendSim
	redirected bool
	sole       bool // was under suspicion when it started
}

func newWorld(seed uint64, entries, backends int, domains []string, off mechanisms) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 7)), view: newTestView(), off: off, poison: map[string]bool{},
		refused: map[string]int{}, served: map[string]int{}, gaps: map[string]time.Duration{}, servedAt: map[string]time.Duration{}, byFP: map[string]map[string]int{}, excludedAt: map[string]time.Duration{},
	}
	for i := range entries {
		e := &entrySim{w: w, id: fmt.Sprintf("e%d", i), domain: domains[i%len(domains)], calls: map[string]*callSim{}}
		w.entries = append(w.entries, e)
	}
	for _, e := range w.entries {
		e.believes = map[string]bool{}
		for _, o := range w.entries {
			e.believes[o.id] = true
		}
		e.start()
	}
	for i := range backends {
		b := &backendSim{w: w, id: fmt.Sprintf("b%d", i), domain: domains[i%len(domains)], limit: 1 + i%2, boot: 1, running: map[string]*callSim{}, coldUntil: w.upTo(20 * time.Second)}
		w.backends = append(w.backends, b)
		w.after(w.upTo(announce.Interval), b.announce)
	}
	return w
}

func (w *world) upTo(d time.Duration) time.Duration { return time.Duration(w.rng.Int64N(int64(d))) }

func (w *world) after(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now + d, w.seq, run})
}

func (w *world) runUntil(end time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= end {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
	}
	w.now = end
}

func (w *world) fault(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf("%v: ", w.now)+fmt.Sprintf(format, args...))
}

// deliver runs f in an entry process after a delay; a paused process runs it
// when it wakes, a dead one or another incarnation never does.
func (w *world) deliver(e *entrySim, delay time.Duration, f func()) {
	incarnation := e.incarnation
	var try func()
	try = func() {
		switch {
		case e.dead || e.incarnation != incarnation:
		case w.now < e.frozen:
			w.after(e.frozen-w.now, try)
		default:
			f()
			e.flush()
		}
	}
	w.after(delay, try)
}

func (e *entrySim) start() {
	e.incarnation++
	e.dead = false
	e.received = map[string]time.Duration{}
	e.calls = map[string]*callSim{}
	e.core = New(Config{Entry: e.id, Incarnation: e.incarnation, FailureDomain: e.domain, Seed: e.incarnation})
	e.core.off = e.w.off
	e.core.SetView(e.w.view)
	e.core.SetHomes(homes{e.w})
	e.tick()
	e.list()
}

func (e *entrySim) tick() {
	e.w.deliver(e, 50*time.Millisecond, func() {
		e.core.SetConfigAge(0)
		e.core.Tick(e.w.now)
		e.tick()
	})
}

func (e *entrySim) list() {
	e.w.deliver(e, time.Second, func() {
		for _, o := range e.w.entries {
			m := &wirepb.OpenRequests{Entry: e.id, Incarnation: e.incarnation}
			for id, c := range e.calls {
				if c.at == o {
					m.DispatchIds = append(m.DispatchIds, id)
				}
			}
			e.w.deliver(o, e.w.upTo(20*time.Millisecond), func() { o.core.OpenRequests(e.w.now, m) })
		}
		e.list()
	})
}

// homes runs the suspects of a fingerprint in one failure domain.
type homes struct{ w *world }

func (h homes) SuspectHome(_ string, fp []byte) (string, string, bool) {
	domains := h.w.domainNames()
	return domains[len(fp)%len(domains)], "home", true
}

func (w *world) domainNames() []string {
	set := map[string]bool{}
	for _, b := range w.backends {
		set[b.domain] = true
	}
	return slices.Sorted(maps.Keys(set))
}

// dispatcher returns the entry process that e believes to dispatch a domain.
func (e *entrySim) dispatcher(domain string) *entrySim {
	var other *entrySim
	for _, o := range e.w.entries {
		if !e.believes[o.id] {
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

// flush carries out the actions of the core.
func (e *entrySim) flush() {
	w := e.w
	for _, a := range e.core.TakeActions() {
		if g := a.Envelope.GetGrant(); g != nil {
			w.grants++
			e.checkGrant(g)
		}
		for _, o := range w.entries {
			if o.id == a.Entry {
				w.deliver(o, w.upTo(5*time.Millisecond), func() { o.answered(e, a) })
			}
		}
	}
}

// checkGrant checks a grant against what really happened.
func (e *entrySim) checkGrant(g *wirepb.Grant) {
	w := e.w
	for _, m := range g.Members {
		if since := w.now - e.received[m.Backend]; since >= announce.Lease {
			w.fault("%s granted %s, last announced %v ago", e.id, m.Backend, since)
		}
		b := w.backend(m.Backend)
		for _, name := range []string{m.Backend, b.domain} {
			if w.view.excluded[name] {
				w.fault("%s granted %s, excluded at %v", e.id, m.Backend, w.excludedAt[name])
			}
		}
	}
}

func (w *world) backend(id string) *backendSim {
	for _, b := range w.backends {
		if b.id == id {
			return b
		}
	}
	return nil
}

func (w *world) addFP(fp, code string) {
	if w.byFP[fp] == nil {
		w.byFP[fp] = map[string]int{}
	}
	w.byFP[fp][code]++
}

// send admits a request at an entry process.
func (e *entrySim) send(domain string, r *wirepb.Reserve) *callSim {
	if e.dead {
		return nil
	}
	w := e.w
	w.nextID++
	r.DispatchId = fmt.Sprintf("d%d", w.nextID)
	r.Service, r.FailureDomain, r.Model = "svc", domain, "m"
	r.Entry, r.EntryIncarnation = e.id, e.incarnation
	c := &callSim{entry: e, req: r, sent: w.now, deadline: w.now + time.Duration(r.DeadlineMs)*time.Millisecond}
	if c.at = e.dispatcher(domain); c.at == nil {
		return nil
	}
	e.calls[r.DispatchId] = c
	w.deliver(c.at, w.upTo(5*time.Millisecond), func() { c.at.core.Reserve(w.now, r) })
	w.deliver(e, c.deadline-w.now+100*time.Millisecond, func() {
		if e.calls[r.DispatchId] == c && c.backend == nil {
			delete(e.calls, r.DispatchId)
			w.refused["none"]++
		}
	})
	return c
}

func (e *entrySim) answered(from *entrySim, a Action) {
	w := e.w
	c := e.calls[a.DispatchID]
	if c == nil {
		return
	}
	if r := a.Envelope.GetRefuse(); r != nil {
		delete(e.calls, a.DispatchID)
		w.refused[r.Code]++
		w.addFP(string(c.req.Fingerprint), r.Code)
		if home, _, _ := (homes{w}).SuspectHome("", c.req.Fingerprint); r.Redirect != "" && !c.redirected {
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
	if w.now > c.sent+time.Duration(g.PermitMs)*time.Millisecond || c.backend != nil {
		c.progress(wirepb.Progress_STEP_NOT_SENT, 0)
		delete(e.calls, a.DispatchID)
		return
	}
	b := w.backend(g.Members[0].Backend)
	c.backend, c.started, c.sole = b, w.now, e.core.Suspected(c.req.Fingerprint)
	c.progress(wirepb.Progress_STEP_STARTED, 0)
	w.after(w.upTo(2*time.Millisecond), func() { b.arrive(c, g.Members[0].Boot) })
}

func (c *callSim) progress(step wirepb.Progress_Step, output uint64) {
	w := c.entry.w
	if w.rng.IntN(50) == 0 {
		return // lost with its session
	}
	m := &wirepb.Progress{DispatchId: c.req.DispatchId, Step: step, ElapsedMs: uint32((w.now - c.started).Milliseconds()), OutputTokens: output}
	if c.backend != nil {
		m.Backend, m.Boot = c.backend.id, c.backend.boot
	}
	w.deliver(c.at, w.upTo(5*time.Millisecond), func() { c.at.core.Progress(w.now, m) })
}

// end finishes a call at its entry process.
func (c *callSim) end(step wirepb.Progress_Step) {
	if c.entry.calls[c.req.DispatchId] != c {
		return
	}
	delete(c.entry.calls, c.req.DispatchId)
	c.progress(step, c.req.MaxOutputTokens/2)
}

func (w *world) reserved() map[string]uint64 {
	out := map[string]uint64{}
	for _, e := range w.entries {
		for _, p := range e.core.poolOrder {
			for _, b := range p.order {
				if b.reserved != 0 || len(b.open) != 0 {
					out[e.id+"/"+b.id] = b.reserved
				}
			}
		}
	}
	return out
}
