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
	// defaultMaxConcurrent limits the concurrent requests on a backend server for
	// which neither the announcement nor the configuration has a limit.
	defaultMaxConcurrent = 256
	// defaultPrefillTokensPerSecond is assumed until a load report, the configuration
	// or a measurement gives the prefill speed.
	defaultPrefillTokensPerSecond = 8000
	// endedRetention is how long freed dispatches are kept. Load reports may lag by
	// several seconds and still list them.
	endedRetention = 30 * time.Second
)

// poolKey identifies a pool.
type poolKey struct{ domain, service string }

// pool holds the backend servers and the queue of a service in a failure domain.
type pool struct {
	// lastOwnedAt is when this process was last seen to hold the lease of a backend
	// server of the pool.
	lastOwnedAt time.Duration
	key         poolKey
	backends    map[string]*backend
	// sortedBackends lists the backend servers by id.
	sortedBackends []*backend
	queue          queue
	classes        lengthClasses
	averages       averages
	// nextRoundRobin is the position of the round robin policy.
	nextRoundRobin int

	// memorySizes caches largestMemory by model. It is valid while memorySizesSeq is
	// the current eventSeq.
	memorySizes    map[string]memorySizes
	memorySizesSeq uint64
}

// backend is the state of one backend server.
type backend struct {
	id   string
	pool *pool
	// last is the latest announcement that was accepted.
	last     *announce.Announcement
	boot     uint64
	leaseEnd time.Duration // end of the announcement lease
	// waitUntil is the end of the waiting period after a change of owner.
	waitUntil time.Duration
	// pausedUntil is the end of the pause that it asked for in a response, or 0.
	pausedUntil time.Duration
	// saidLeaving is set if it said in a response of this boot that it leaves.
	saidLeaving bool
	// completeReportFrom is the time since which a load report must have been taken to
	// list all requests that an earlier owner started.
	completeReportFrom time.Duration
	// down is set when an entry process reports a crash at downAt. It is cleared by an
	// announcement that was sent after the crash report or has a new boot number.
	down   bool
	downAt time.Duration

	// reportAt is the estimated time at which the latest load report was taken.
	// reportEarliest is the earliest possible time, for decisions that would be unsafe
	// if the report were older than estimated.
	reportAt       time.Duration
	reportEarliest time.Duration
	// reportedOpen holds the ids of the requests that the load report lists; nil before
	// the first report of a boot.
	reportedOpen map[string]bool
	budget       *coldstart.Budget
	reserved     uint64 // memory of the dispatches in open, in tokens
	// open holds the granted dispatches that have not ended, by id.
	open    map[string]*dispatch
	cache   prefixCache
	ttftFit ttftRegression
	// measuredAt is when the last sample was added to ttftFit.
	measuredAt    time.Duration
	prefillSpeed  float64       // measured prefill speed, in tokens/s; zero if unknown
	overhead      time.Duration // measured time to a first token beyond the prefill
	reportedSpeed float64       // prefill speed stated by the load report, in tokens/s; zero if unknown
	// pendingPrefill lists the dispatches without a first token in order of their
	// grants. A member of a group is in it only while its part is prefilled.
	pendingPrefill []*dispatch
	// maybeRunning holds the time at which a dispatch was freed whose request may still
	// run on the backend server, until a load report that was taken later arrives.
	maybeRunning map[string]time.Duration
	// foreign caches the result of foreignOpen; foreignStale is set when it must be
	// computed anew.
	foreign      int
	foreignStale bool
	memo         memo
}

// dispatchState is the progress of a dispatch. The order of the values is significant.
type dispatchState int

const (
	stateQueued    dispatchState = iota
	stateGranted                 // the permit is valid; no start has been reported
	stateStarted                 // the entry process has sent the request
	statePrefilled               // the first token has been received
)

func (s dispatchState) String() string {
	return [...]string{"queued", "granted", "started", "prefilled"}[s]
}

// member is the part of a dispatch that one backend server runs. A dispatch has one
// member, or several if it runs on a group of engines.
type member struct {
	backend       *backend
	boot          uint64
	reserved      uint64  // KV cache memory, in tokens
	promptTokens  uint64  // part of the prompt that this member prefills, in tokens
	prefillTokens float64 // expected prefill work without the cached prefix, in tokens
	// startedAt is when this member of a group began its part; zero before that.
	startedAt time.Duration
}

// dispatch is one attempt to run a request.
type dispatch struct {
	id             string
	req            *wirepb.Reserve
	pool           *pool
	state          dispatchState
	arrivalSeq     uint64 // position in the order of arrival
	arrivedAt      time.Duration
	deadline       time.Duration
	priority       int           // priority of the urgency; lower values are served first
	ttftTarget     time.Duration // target for the time to first token
	long           bool          // belongs to the class of long prefills
	suspect        bool          // was under suspicion when it arrived
	isTrial        bool          // runs although it is quarantined, to find out whether it still crashes
	suspectAtGrant bool          // was under suspicion when it was granted; attributes a crash to it alone
	entryLost      bool          // the entry process has terminated or restarted
	pastDeadline   bool          // the deadline had passed at an earlier tick
	missedLists    int           // consecutive OpenRequests messages that do not list this dispatch

	grantedAt    time.Duration
	startedAt    time.Duration
	ttftEstimate time.Duration // expected time from the grant to the first token
	workAhead    float64       // prefill work on the backend server at the grant, including its own, in tokens
	ttft         time.Duration
	members      []member
	// holdTargets are the engines that are kept free for this request, which has waited
	// for memory; see holdFor and canBackfill.
	holdTargets []*backend
}

// endedDispatch records how a dispatch ended.
type endedDispatch struct {
	endedAt time.Duration
	// finished is set when the backend server no longer runs the request.
	finished bool
	// expired is the dispatch if its permit expired, for a start that is reported late.
	expired *dispatch
	// interrupted is the dispatch if it was started and its entry process was lost or
	// the end of its run is not certain; its caller may resume the stream.
	interrupted *dispatch
}

// tokens returns the memory that a request needs, in tokens: its prompt and its
// longest output.
func (d *dispatch) tokens() uint64 { return d.req.PromptTokens + d.req.MaxOutputTokens }

// cost returns the amount that fair queueing charges for a request, in tokens.
func (d *dispatch) cost() float64 { return float64(max(1, d.tokens())) }

// pool returns the pool of a service in a failure domain and creates it if needed.
func (c *Core) pool(domain, service string) *pool {
	k := poolKey{domain, service}
	if p := c.pools[k]; p != nil {
		return p
	}
	p := &pool{key: k, backends: map[string]*backend{}}
	p.queue.init()
	c.pools[k] = p
	c.sortedPools = append(c.sortedPools, p)
	slices.SortFunc(c.sortedPools, func(a, b *pool) int {
		return strings.Compare(a.key.domain+"\x00"+a.key.service, b.key.domain+"\x00"+b.key.service)
	})
	return p
}

// add creates a backend server in the pool.
func (p *pool) add(id string) *backend {
	b := &backend{id: id, pool: p, open: map[string]*dispatch{}, maybeRunning: map[string]time.Duration{}}
	p.backends[id] = b
	p.sortedBackends = append(p.sortedBackends, b)
	slices.SortFunc(p.sortedBackends, func(x, y *backend) int { return strings.Compare(x.id, y.id) })
	return b
}

// remove deletes a backend server from the pool.
func (p *pool) remove(b *backend) {
	delete(p.backends, b.id)
	p.sortedBackends = slices.DeleteFunc(p.sortedBackends, func(x *backend) bool { return x == b })
}

// isPlain reports whether the backend server is of the plain kind, for which memory
// and prefill work do not apply.
func (b *backend) isPlain() bool { return b.last.Kind == announce.KindPlain }

// serves reports whether the backend server runs a model. An empty name matches all.
func (b *backend) serves(model string) bool {
	return b.isPlain() || model == "" || slices.Contains(b.last.Models, model)
}

// maxConcurrent returns the limit of concurrent requests on the backend server when
// it is warm.
func (b *backend) maxConcurrent(s Service) int {
	switch {
	case b.last.MaxConcurrent > 0:
		return int(b.last.MaxConcurrent)
	case s.MaxConcurrent > 0:
		return int(s.MaxConcurrent)
	}
	return defaultMaxConcurrent
}

// service returns the configuration of the pool's service, or the zero value if there
// is none.
func (c *Core) service(p *pool) Service {
	if c.view == nil {
		return Service{}
	}
	s, _ := c.view.Service(p.key.service)
	return s
}
