package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// agingStep is the waiting time of a flow that makes up for one level of priority.
const agingStep = 2 * time.Second

// flowKey identifies requests that wait behind each other. Requests of different
// length classes or models, and suspected ones, need different backend servers
// and must not block each other.
type flowKey struct {
	account string
	level   int
	long    bool
	model   string
	suspect string
}

// flow is the queue of one flowKey, in order of arrival.
type flow struct {
	key   flowKey
	items []*dispatch
	// since is when the flow was last served or became non-empty. Aging counts
	// from it rather than from the arrival of a request: otherwise the old
	// backlog of one account would pass the new requests of all others.
	since time.Duration
}

// account is a client account in one pool.
type account struct {
	weight  float64
	virtual float64 // virtual time of its next request, in weighted tokens
	running int     // granted dispatches
	queued  int
	cost    float64 // queued cost, in tokens

	allowance   float64 // requests it may send now, for the rate limit
	allowanceAt time.Duration
	seen        time.Duration
}

// queue holds the waiting requests of one pool: by urgency with aging, then by
// start-time fair queueing between accounts.
type queue struct {
	accounts map[string]*account
	flows    map[flowKey]*flow
	virtual  float64
	size     int
}

func (q *queue) init() {
	q.accounts = map[string]*account{}
	q.flows = map[flowKey]*flow{}
}

func (q *queue) account(name string) *account {
	a := q.accounts[name]
	if a == nil {
		a = &account{weight: 1, allowance: -1}
		q.accounts[name] = a
	}
	return a
}

func (d *dispatch) flowKey() flowKey {
	k := flowKey{account: d.req.Account, level: d.level, long: d.long, model: d.req.Model}
	if d.suspect {
		k.suspect = string(d.req.Fingerprint)
	}
	return k
}

func (q *queue) push(d *dispatch, now time.Duration) {
	k := d.flowKey()
	f := q.flows[k]
	if f == nil {
		f = &flow{key: k, since: now}
		q.flows[k] = f
	}
	f.items = append(f.items, d)
	a := q.account(d.req.Account)
	a.queued++
	a.cost += d.cost()
	q.size++
}

// remove takes a request out of the queue, wherever it stands.
func (q *queue) remove(d *dispatch) {
	k := d.flowKey()
	f := q.flows[k]
	if f == nil {
		return
	}
	i := slices.Index(f.items, d)
	if i < 0 {
		return
	}
	f.items = slices.Delete(f.items, i, i+1)
	if len(f.items) == 0 {
		delete(q.flows, k)
	}
	a := q.account(d.req.Account)
	a.queued--
	a.cost -= d.cost()
	q.size--
}

// serve removes a request because it is granted and charges its account.
func (q *queue) serve(d *dispatch, now time.Duration) {
	if f := q.flows[d.flowKey()]; f != nil {
		f.since = now
	}
	q.remove(d)
	q.charge(d)
}

// charge advances the virtual time of the account by the cost of the request.
func (q *queue) charge(d *dispatch) {
	a := q.account(d.req.Account)
	start := max(a.virtual, q.virtual)
	a.virtual = start + d.cost()/a.weight
	q.virtual = start
}

// rank is the position of a flow in the order of service; smaller is earlier.
type rank struct {
	level   int
	start   float64
	arrival uint64
}

func (r rank) compare(s rank) int {
	return cmp.Or(cmp.Compare(r.level, s.level), cmp.Compare(r.start, s.start), cmp.Compare(r.arrival, s.arrival))
}

func (c *Core) rank(q *queue, f *flow) rank {
	r := rank{level: f.key.level, arrival: f.items[0].arrival}
	if !c.off.aging {
		r.level -= int((c.now - f.since) / agingStep)
	}
	if !c.off.fairShare {
		r.start = max(q.account(f.key.account).virtual, q.virtual)
	}
	return r
}

// ordered returns the flows in order of service.
func (c *Core) ordered(q *queue) []*flow {
	type ranked struct {
		rank rank
		flow *flow
	}
	list := make([]ranked, 0, len(q.flows))
	for _, f := range q.flows {
		list = append(list, ranked{c.rank(q, f), f})
	}
	slices.SortFunc(list, func(x, y ranked) int { return x.rank.compare(y.rank) })
	out := make([]*flow, len(list))
	for i, r := range list {
		out[i] = r.flow
	}
	return out
}

// aheadOf returns the work and the number of queued requests of the same length
// class that are served before a new request d.
func (c *Core) aheadOf(p *pool, d *dispatch) (tokens float64, count int) {
	a := p.queue.account(d.req.Account)
	mine := max(a.virtual, p.queue.virtual)
	for _, f := range p.queue.flows {
		if f.key.long != d.long || f.key.suspect != "" {
			continue
		}
		r := c.rank(&p.queue, f)
		if r.level > d.level {
			continue
		}
		other := p.queue.account(f.key.account)
		start := r.start
		for _, x := range f.items {
			if x == d || (r.level == d.level && f.key.account != d.req.Account && !c.off.fairShare && start > mine+a.cost/a.weight) {
				break
			}
			tokens += float64(x.req.PromptTokens)
			count++
			start += x.cost() / other.weight
		}
	}
	return tokens, count
}

// all returns the queued requests in order of arrival.
func (q *queue) all() []*dispatch {
	var out []*dispatch
	for _, f := range q.flows {
		out = append(out, f.items...)
	}
	slices.SortFunc(out, func(x, y *dispatch) int { return cmp.Compare(x.arrival, y.arrival) })
	return out
}

// heaviest returns the account with the largest queued cost by weight.
func (q *queue) heaviest() string {
	name, most := "", -1.0
	for n, a := range q.accounts {
		if a.queued == 0 {
			continue
		}
		if w := a.cost / a.weight; w > most || (w == most && n < name) {
			name, most = n, w
		}
	}
	return name
}

// last returns the queued request of an account that would be served last.
func (q *queue) last(name string) *dispatch {
	var last *dispatch
	for _, f := range q.flows {
		if f.key.account != name {
			continue
		}
		d := f.items[len(f.items)-1]
		if last == nil || d.level > last.level || (d.level == last.level && d.arrival > last.arrival) {
			last = d
		}
	}
	return last
}
