package dispatch

import (
	"slices"
	"strings"
	"time"

	"bilberryhub/internal/announce"
	"bilberryhub/internal/coldstart"
	"bilberryhub/internal/wirepb"
)

const (
	// defaultConcurrent bounds the requests on a backend server that states no limit.
	defaultConcurrent = 256
	// defaultPrefillSpeed is assumed until a hint or a measurement is known, in tokens/s.
	defaultPrefillSpeed = 8000
	// endedMemory is how long freed dispatches are remembered. Reports may lag
	// by several seconds and still list them.
	endedMemory = 30 * time.Second
)

type poolKey struct{ domain, service string }

// pool is a service in a failure domain.
type pool struct {
	// ownedAt is when this process last held a lease of the pool.
	ownedAt  time.Duration
	key      poolKey
	backends map[string]*backend
	// order lists the backend servers by id.
	order []*backend
	queue queue
	class classes
	times times
	// next is the position of the round robin policy.
	next int

	sizes      map[string]sizes
	sizesEvent uint64
}

// backend is one backend server.
type backend struct {
	id    string
	pool  *pool
	last  *announce.Announcement
	boot  uint64
	lease time.Duration // end of the announcement lease
	// waitUntil is the end of the waiting period after a change of owner.
	waitUntil time.Duration
	// provenFrom is the moment from which a load report must be to show all that
	// an earlier owner started.
	provenFrom time.Duration
	// down is set when an entry process reported a crash, until an announcement that
	// was sent later or that has a new boot number.
	down   bool
	downAt time.Duration

	// reportAt estimates when the load report was taken; reportSure is the earliest
	// possible moment, for conclusions that must not be wrong.
	reportAt   time.Duration
	reportSure time.Duration
	reported   map[string]bool
	budget     *coldstart.Budget
	reserved   uint64
	open       map[string]*dispatch
	cache      prefixCache
	meter      speedometer
	// measuredAt is when the last sample was taken.
	measuredAt time.Duration
	speed      float64       // measured prefill speed, in tokens/s; zero if unknown
	base       time.Duration // measured fixed time to a first token
	stated     float64       // prefill speed by the load report, in tokens/s
	// pending lists the dispatches without a first token in order of their grants.
	pending []*dispatch
	// linger holds requests that ended here but may still run, until a report
	// that was taken later.
	linger map[string]time.Duration
	// foreign caches the count of requests that other owners started.
	foreign      int
	foreignStale bool
	memo         memo
}

type dispatchState int

const (
	stateQueued dispatchState = iota
	stateGranted
	stateStarted
	statePrefilled
)

func (s dispatchState) String() string {
	return [...]string{"queued", "granted", "started", "prefilled"}[s]
}

// member is the share of one backend server in a dispatch.
type member struct {
	backend  *backend
	boot     uint64
	reserved uint64  // memory, in tokens
	part     uint64  // part of the prompt, in tokens
	prefill  float64 // tokens to prefill, without the cached prefix
	// from is when the member of a group began its part; zero before.
	from time.Duration
}

// dispatch is one attempt to run a request.
type dispatch struct {
	id      string
	req     *wirepb.Reserve
	pool    *pool
	state   dispatchState
	arrival uint64
	arrived time.Duration
	end     time.Duration // deadline
	level   int           // priority of the urgency
	target  time.Duration // target for the time to first token
	long    bool
	suspect bool
	sole    bool // was under suspicion when it was granted
	lost    bool // the entry process is gone
	overdue bool // one tick has seen the deadline pass
	missing int  // consecutive OpenRequests without this dispatch

	grantedAt time.Duration
	startedAt time.Duration
	estimate  time.Duration // expected time to first token from the grant
	workAhead float64       // prefill tokens on the backend server at the grant, with its own
	ttft      time.Duration
	members   []member
	// holdTargets are the backend servers kept free for a request that waits long.
	holdTargets []*backend
}

// endedDispatch remembers why a dispatch was freed.
type endedDispatch struct {
	at time.Duration
	// finished is set when the backend server holds nothing of it any more.
	finished bool
	// expired holds a dispatch whose permit ran out, for a late start report.
	expired *dispatch
	// interrupted holds a started dispatch whose end was not reported as done;
	// its caller may come back for the rest of the stream.
	interrupted *dispatch
}

func (d *dispatch) tokens() uint64 { return d.req.PromptTokens + d.req.MaxOutputTokens }

// cost is the share that fair queueing charges, in tokens.
func (d *dispatch) cost() float64 { return float64(max(1, d.tokens())) }

func (c *Core) pool(domain, service string) *pool {
	k := poolKey{domain, service}
	if p := c.pools[k]; p != nil {
		return p
	}
	p := &pool{key: k, backends: map[string]*backend{}}
	p.queue.init()
	c.pools[k] = p
	c.poolOrder = append(c.poolOrder, p)
	slices.SortFunc(c.poolOrder, func(a, b *pool) int {
		return strings.Compare(a.key.domain+"\x00"+a.key.service, b.key.domain+"\x00"+b.key.service)
	})
	return p
}

func (p *pool) add(id string) *backend {
	b := &backend{id: id, pool: p, open: map[string]*dispatch{}, linger: map[string]time.Duration{}}
	p.backends[id] = b
	p.order = append(p.order, b)
	slices.SortFunc(p.order, func(x, y *backend) int { return strings.Compare(x.id, y.id) })
	return b
}

func (p *pool) remove(b *backend) {
	delete(p.backends, b.id)
	p.order = slices.DeleteFunc(p.order, func(x *backend) bool { return x == b })
}

// plain tells whether memory does not apply to the backend server.
func (b *backend) plain() bool { return b.last.Kind == announce.KindPlain }

func (b *backend) serves(model string) bool {
	return b.plain() || model == "" || slices.Contains(b.last.Models, model)
}

// maxConcurrent is the most requests at once on the backend server when warm.
func (b *backend) maxConcurrent(s Service) int {
	switch {
	case b.last.MaxConcurrent > 0:
		return int(b.last.MaxConcurrent)
	case s.MaxConcurrent > 0:
		return int(s.MaxConcurrent)
	}
	return defaultConcurrent
}

// service returns the declared service of the pool, or the zero value.
func (c *Core) service(p *pool) Service {
	if c.view == nil {
		return Service{}
	}
	s, _ := c.view.Service(p.key.service)
	return s
}
