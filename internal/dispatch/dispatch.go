// Package dispatch implements admission control, queueing and placement for the
// requests of one entry process's pools. It is a deterministic state machine.
//
// Exactly one entry process at a time, the dispatcher, decides about the backend
// servers of a pool (a service in a failure domain), because a cold limit of one
// request cannot be split between several processes and because processes that
// choose from the same load report all choose the same target.
//
// A request arrives with Core.Reserve. It is refused at once, granted to a
// backend server (or to a group of engines, if it needs more memory than any
// single one has), or queued until a backend server has room. A grant reserves a
// slot and memory until the reports of the entry process (Core.Progress,
// Core.OpenRequests), the load reports of the backend server (Core.Announce), the
// expiry of the permit or the deadline end it.
//
// An engine is a backend server that runs models and reports its memory; a plain
// backend server has only a limit of concurrent requests.
//
// The package has no I/O and no goroutines: events come in through the methods of
// Core, decisions leave through Core.TakeActions, and time is an argument. It
// doesn't elect the dispatcher, send requests to backend servers or retry them.
// Core isn't safe for concurrent use: a single goroutine must call it.
package dispatch

import (
	"math/rand/v2"
	"time"

	"bilberryhub/internal/announce"
	"bilberryhub/internal/suspicion"
	"bilberryhub/internal/wirepb"
)

const (
	// PermitLifetime is how long after a grant its reservation is kept if the request
	// is not started.
	PermitLifetime = announce.PermitLifetime
	// permitMargin is subtracted from the permit that is sent to the entry process, so
	// that its report of a start at the last moment arrives before the grant is freed.
	permitMargin = 50 * time.Millisecond
	// maxConfigAge is the greatest age of the configuration at which pools of other
	// failure domains are served.
	maxConfigAge = 3 * time.Second
	// pauseThreshold is the time without a tick after which all leases are dropped:
	// the process has been paused, and announcements read now may have waited in its
	// receive buffers while another dispatcher took over.
	pauseThreshold = time.Second
	// cleanupInterval is the period for removing expired entries from the tables.
	cleanupInterval = 5 * time.Second
)

// Config configures a Core.
type Config struct {
	// Entry and Incarnation identify the entry process that runs the core.
	Entry       string
	Incarnation uint64
	// FailureDomain is the failure domain of the entry process. Its pools are served
	// longer than others without a confirmed configuration.
	FailureDomain string
	// Policy is one of PolicyNames; empty selects "bilberry".
	Policy string
	// Seed seeds the random choices of policies, together with Incarnation.
	Seed uint64
	// MaxQueue limits the queue of each pool, in requests; zero selects 1024.
	MaxQueue int
	// MaxGroup limits the number of backend servers in one group; zero selects 8.
	MaxGroup int
}

// Action is a message to be sent to an entry process: a Grant or a Refuse.
type Action struct {
	Entry      string // recipient
	DispatchID string
	Envelope   *wirepb.Envelope
}

// Core is the dispatch state of all pools that one entry process dispatches.
// Times are durations on one monotonic clock, which the caller passes in as now.
type Core struct {
	cfg    Config
	policy policy
	view   View
	homes  Homes
	rng    *rand.Rand

	now     time.Duration
	started bool
	// startedAt is the time of the first call. An earlier incarnation of this
	// process cannot have granted anything after it.
	startedAt time.Duration
	// An announcement that is processed now arrived after the tick before the last
	// one; see earliestArrival.
	lastTick, prevTick time.Duration
	ticked             bool
	// After a pause of the process, announcements that are processed before
	// settleUntil may have arrived as early as arrivalFloor.
	arrivalFloor time.Duration
	settleUntil  time.Duration
	nextCleanup  time.Duration
	// The configuration was last confirmed configAge before configAgeAt.
	configAge   time.Duration
	configAgeAt time.Duration
	releasing   bool

	pools       map[poolKey]*pool
	sortedPools []*pool
	dispatches  map[string]*dispatch
	// ended holds recently freed dispatches, for messages about them that were still
	// in flight.
	ended    map[string]endedDispatch
	suspects *suspicion.Table
	// evidence finds beginnings of prompts that crash backend servers under requests that
	// differ otherwise.
	evidence *suspicion.Evidence
	// runningByFingerprint lists the granted dispatches of each fingerprint.
	runningByFingerprint map[string][]*dispatch
	lastArrivalSeq       uint64
	// eventSeq counts the calls of methods. Values in a memo are valid for one call.
	eventSeq   uint64
	summarySeq uint64
	actions    []Action
	disabled   mechanisms
}

// mechanisms disables single mechanisms, so that tests can show that they fail
// without them. A set field disables one; the zero value enables all.
type mechanisms struct {
	waitingPeriod, leaseCheck, exclusionCheck, expiry, coldBudget         bool
	aging, fairShare, confinement, suspicion, proving, hold, atomicGroups bool
	ownGrants, gapCheck, foreignOpen, pauseDetection, abandon             bool
}

// New returns a Core without backend servers. It refuses all requests until SetView
// is called.
func New(cfg Config) *Core {
	if cfg.MaxQueue == 0 {
		cfg.MaxQueue = 1024
	}
	if cfg.MaxGroup == 0 {
		cfg.MaxGroup = 8
	}
	return &Core{
		cfg:                  cfg,
		policy:               newPolicy(cfg.Policy),
		rng:                  rand.New(rand.NewPCG(cfg.Seed, cfg.Incarnation)),
		pools:                map[poolKey]*pool{},
		dispatches:           map[string]*dispatch{},
		ended:                map[string]endedDispatch{},
		suspects:             suspicion.New(),
		evidence:             suspicion.NewEvidence(),
		runningByFingerprint: map[string][]*dispatch{},
	}
}

// SetView replaces the configuration in force.
func (c *Core) SetView(v View) {
	c.view = v
	c.eventSeq++
}

// SetHomes sets the lookup of the failure domain that runs a suspected request.
// Without it, each core runs suspected requests itself.
func (c *Core) SetHomes(h Homes) { c.homes = h }

// SetConfigAge sets the time since the configuration was last confirmed. The age
// grows with the clock between calls.
func (c *Core) SetConfigAge(age time.Duration) {
	c.configAge, c.configAgeAt = age, c.now
}

// ReleasePools begins to release all leases for a planned stop. Queued requests are
// refused and grants stay valid. The lease of a backend server is released with the
// reply to its first announcement after which no unstarted grant on it is left; the
// reply makes it announce itself to another entry process.
func (c *Core) ReleasePools(now time.Duration) {
	c.advance(now)
	c.releasing = true
	c.refuseAllQueued()
}

// TakeActions returns the messages that were produced since the last call, in order,
// and removes them from the core.
func (c *Core) TakeActions() []Action {
	out := c.actions
	c.actions = nil
	return out
}

// Tick expires dispatches and backend servers, refuses queued requests that cannot
// meet their deadline and grants the ones that can be placed. It should be called at
// least every 50 ms.
func (c *Core) Tick(now time.Duration) {
	c.advance(now)
	c.prevTick, c.lastTick = c.lastTick, c.now
	if !c.ticked {
		c.prevTick, c.ticked = c.now, true
	}
	c.expireDispatches()
	c.expireBackends()
	if c.now >= c.nextCleanup {
		c.cleanUp()
	}
	for _, p := range c.sortedPools {
		c.refuseOverdue(p)
		c.updateClasses(p)
		c.drainQueue(p)
	}
	c.checkInvariants()
}

// cleanUp removes expired entries. It runs less often than Tick, because the tables
// that it iterates over hold several seconds or minutes of traffic.
func (c *Core) cleanUp() {
	c.nextCleanup = c.now + cleanupInterval
	c.expireEnded()
	c.suspects.Expire(c.now)
	c.evidence.Expire(c.now)
	for _, p := range c.sortedPools {
		p.queue.expireAccounts(c.now)
	}
}

// advance sets the clock of the core, which never goes back, and begins a new event.
// Each exported method that takes the time calls it first.
func (c *Core) advance(now time.Duration) {
	if !c.started {
		c.started, c.startedAt = true, now
		c.configAgeAt = now
	}
	c.now = max(c.now, now)
	c.eventSeq++
	if c.ticked && c.now-c.lastTick > pauseThreshold && !c.disabled.pauseDetection {
		c.handlePause()
	}
}

// handlePause drops all leases after a pause of the process. Nothing is granted until
// the announcements in the receive buffers have been processed.
func (c *Core) handlePause() {
	if c.lastTick >= c.settleUntil {
		c.arrivalFloor = c.prevTick
	}
	c.lastTick, c.prevTick, c.settleUntil = c.now, c.now, c.now+announce.MaxDelay
	for _, p := range c.sortedPools {
		for _, b := range p.sortedBackends {
			b.leaseEnd = 0
			b.waitUntil = max(b.waitUntil, c.settleUntil)
		}
	}
}

// earliestArrival returns the earliest time at which an announcement that is
// processed now can have arrived. Leases count from it.
func (c *Core) earliestArrival() time.Duration {
	switch {
	case !c.ticked || c.disabled.pauseDetection:
		return c.now
	case c.now < c.settleUntil:
		return c.arrivalFloor
	}
	return c.prevTick
}

// mayServe reports whether requests may be granted in a failure domain and, if not,
// the reason, which is sent to the caller.
func (c *Core) mayServe(domain string) (bool, string) {
	if c.view == nil {
		return false, "no configuration"
	}
	if c.disabled.exclusionCheck {
		return true, ""
	}
	age := c.configAge + c.now - c.configAgeAt
	switch {
	case age > maxConfigAge && domain != c.cfg.FailureDomain:
		return false, "configuration is stale and the pool is in another failure domain"
	case age > max(maxConfigAge, c.view.IsolatedServing()):
		return false, "configuration is older than isolated serving allows"
	}
	return true, ""
}
