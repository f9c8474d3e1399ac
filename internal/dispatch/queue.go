package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// agingStep is the waiting time after which the priority of a flow is raised by one
// level.
const agingStep = 2 * time.Second

// flowKey identifies the requests that share one FIFO queue. Requests of different
// length classes or models, and suspected ones, need different backend servers
// and must not block each other.
type flowKey struct {
	account  string
	priority int
	long     bool
	model    string
	suspect  string // fingerprint of a suspected request, otherwise empty
}

// flow is the queue of one flowKey, in order of arrival.
type flow struct {
	key   flowKey
	items []*dispatch
	// since is when the flow was last served or became non-empty. Aging counts
	// from it rather than from the arrival of a request: otherwise the old
	// backlog of one account would be served before the new requests of all others.
	since time.Duration
}

// account is the queueing state of a client account in one pool.
type account struct {
	weight      float64
	virtualTime float64 // earliest start tag of its next request, in tokens divided by weight
	running     int     // granted dispatches
	queued      int
	cost        float64 // cost of its queued requests, in tokens

	// allowance is the level of the token bucket of the rate limit, in requests, at
	// allowanceAt; negative before the first use.
	allowance   float64
	allowanceAt time.Duration
	lastSeen    time.Duration // arrival of its last request
}

// queue holds the waiting requests of one pool. They are served by priority with
// aging, then by start-time fair queueing between client accounts.
type queue struct {
	accounts    map[string]*account
	flows       map[flowKey]*flow
	virtualTime float64 // start tag of the request served last
	size        int     // number of waiting requests
}

// init makes the zero value ready for use.
func (q *queue) init() {
	q.accounts = map[string]*account{}
	q.flows = map[flowKey]*flow{}
}

// account returns the state of a client account and creates it if needed.
func (q *queue) account(name string) *account {
	a := q.accounts[name]
	if a == nil {
		a = &account{weight: 1, allowance: -1}
		q.accounts[name] = a
	}
	return a
}

// flowKey returns the key of the flow that the request waits in.
func (d *dispatch) flowKey() flowKey {
	k := flowKey{account: d.req.Account, priority: d.priority, long: d.long, model: d.req.Model}
	if d.suspect {
		k.suspect = string(d.req.Fingerprint)
	}
	return k
}

// push appends a request to its flow.
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

// remove deletes a request from the queue, at any position. It does nothing if the
// request is not queued.
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

// serve removes a request that is granted and charges its account.
func (q *queue) serve(d *dispatch, now time.Duration) {
	if f := q.flows[d.flowKey()]; f != nil {
		f.since = now
	}
	q.remove(d)
	q.charge(d)
}

// charge advances the virtual time of the account by the cost of the request divided
// by its weight, and the virtual time of the queue to the request's start tag.
func (q *queue) charge(d *dispatch) {
	a := q.account(d.req.Account)
	startTag := max(a.virtualTime, q.virtualTime)
	a.virtualTime = startTag + d.cost()/a.weight
	q.virtualTime = startTag
}

// rank is the position of a flow in the order of service; smaller values are served
// first.
type rank struct {
	priority   int
	startTag   float64
	arrivalSeq uint64
}

// compare orders ranks by priority, start tag and arrival.
func (r rank) compare(s rank) int {
	return cmp.Or(cmp.Compare(r.priority, s.priority), cmp.Compare(r.startTag, s.startTag), cmp.Compare(r.arrivalSeq, s.arrivalSeq))
}

// rank returns the rank of a flow at the current time.
func (c *Core) rank(q *queue, f *flow) rank {
	r := rank{priority: f.key.priority, arrivalSeq: f.items[0].arrivalSeq}
	if !c.disabled.aging {
		r.priority -= int((c.now - f.since) / agingStep)
	}
	if !c.disabled.fairShare {
		r.startTag = max(q.account(f.key.account).virtualTime, q.virtualTime)
	}
	return r
}

// ordered returns all flows in order of service.
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

// queuedAhead returns the prompt tokens and the number of queued requests of the
// same length class that are served before a new request d. Flows of suspected
// requests are left out.
func (c *Core) queuedAhead(p *pool, d *dispatch) (tokens float64, count int) {
	a := p.queue.account(d.req.Account)
	ownStart := max(a.virtualTime, p.queue.virtualTime)
	for _, f := range p.queue.flows {
		if f.key.long != d.long || f.key.suspect != "" {
			continue
		}
		r := c.rank(&p.queue, f)
		if r.priority > d.priority {
			continue
		}
		other := p.queue.account(f.key.account)
		startTag := r.startTag
		for _, x := range f.items {
			if x == d || (r.priority == d.priority && f.key.account != d.req.Account && !c.disabled.fairShare && startTag > ownStart+a.cost/a.weight) {
				break
			}
			tokens += float64(x.req.PromptTokens)
			count++
			startTag += x.cost() / other.weight
		}
	}
	return tokens, count
}

// allByArrival returns the queued requests in order of arrival.
func (q *queue) allByArrival() []*dispatch {
	var out []*dispatch
	for _, f := range q.flows {
		out = append(out, f.items...)
	}
	slices.SortFunc(out, func(x, y *dispatch) int { return cmp.Compare(x.arrivalSeq, y.arrivalSeq) })
	return out
}

// largestBacklog returns the name of the account with the largest queued cost divided
// by weight.
func (q *queue) largestBacklog() string {
	name, largest := "", -1.0
	for n, a := range q.accounts {
		if a.queued == 0 {
			continue
		}
		if w := a.cost / a.weight; w > largest || (w == largest && n < name) {
			name, largest = n, w
		}
	}
	return name
}

// lastInOrder returns the queued request of an account that would be served last: the
// newest one of its lowest priority.
func (q *queue) lastInOrder(name string) *dispatch {
	var lastInOrder *dispatch
	for _, f := range q.flows {
		if f.key.account != name {
			continue
		}
		d := f.items[len(f.items)-1]
		if lastInOrder == nil || d.priority > lastInOrder.priority || (d.priority == lastInOrder.priority && d.arrivalSeq > lastInOrder.arrivalSeq) {
			lastInOrder = d
		}
	}
	return lastInOrder
}
