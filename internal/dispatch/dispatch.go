// Package dispatch is the decision core of the dispatcher of one entry process.
//
// Exactly one entry process at a time decides about the backend servers of a
// pool (a service in a failure domain), because a cold limit of one request
// cannot be split between several processes and because processes that choose
// from the same load report all choose the same target. The core has no I/O and
// no goroutines: events come in through the methods of Core, decisions leave
// through TakeActions, and time is an argument. A single goroutine must call it.
package dispatch

import (
	"math/rand/v2"
	"time"

	"bilberryhub/internal/announce"
	"bilberryhub/internal/suspicion"
	"bilberryhub/internal/wirepb"
)

const (
	// PermitLifetime is how long an unstarted grant stays reserved.
	PermitLifetime = 500 * time.Millisecond
	// permitMargin shortens the permit that the entry process sees, so that its
	// report of a start at the last moment arrives before the grant is freed.
	permitMargin = 50 * time.Millisecond
	// maxConfigAge is the age of the configuration up to which pools of other
	// failure domains are served.
	maxConfigAge = 3 * time.Second
	// roleStall is the time without a tick after which all leases are dropped: the
	// process has been paused, and announcements read now may have waited in its
	// buffers while another dispatcher took over.
	roleStall = time.Second
	// cleanEvery is the period for dropping old rows of the tables.
	cleanEvery = 5 * time.Second
)

// Config holds the settings of a Core.
type Config struct {
	// Entry and Incarnation identify the entry process that runs the core.
	Entry         string
	Incarnation   uint64
	FailureDomain string
	// Policy is one of PolicyNames; empty selects PolicyBilberry.
	Policy string
	Seed   uint64
	// MaxQueue bounds the queue of each pool, in requests; zero selects 1024.
	MaxQueue int
	// MaxGroup bounds the backend servers of one group; zero selects 8.
	MaxGroup int
}

// Action is a message for an entry process: a Grant or a Refuse.
type Action struct {
	Entry      string
	DispatchID string
	Envelope   *wirepb.Envelope
}

// Core decides for all pools that one entry process dispatches.
type Core struct {
	cfg    Config
	policy policy
	view   View
	homes  Homes
	rng    *rand.Rand

	now     time.Duration
	started bool
	// startedAt is the time of the first event. An earlier incarnation of this
	// process cannot have granted anything after it.
	startedAt time.Duration
	// The last two ticks bound when an announcement that is read now arrived.
	lastTick, tickBefore time.Duration
	ticked               bool
	// During settle after a pause, announcements may be from before it.
	arrivedAfter time.Duration
	settleUntil  time.Duration
	cleanAt      time.Duration
	// The configuration was confirmed configAge before configAgeAt.
	configAge   time.Duration
	configAgeAt time.Duration
	releasing   bool

	pools      map[poolKey]*pool
	poolOrder  []*pool
	dispatches map[string]*dispatch
	// ended remembers dispatches that were freed, for messages that cross.
	ended    map[string]endedDispatch
	suspects *suspicion.Table
	// running lists the granted dispatches by fingerprint.
	running  map[string][]*dispatch
	arrivals uint64
	// event counts the calls of methods, for memo.
	event   uint64
	summary uint64
	actions []Action
	off     mechanisms
}

// mechanisms switches off single mechanisms, so that tests can show that they
// detect their absence. All are on in the zero value.
type mechanisms struct {
	waitingPeriod, leaseCheck, exclusionCheck, expiry, coldBudget  bool
	aging, fairShare, confinement, suspicion, proving, hold, allOr bool
	ownWork, gapCheck, foreignOpen, stall, abandon                 bool
}

// New returns a core without backend servers. It refuses all work until SetView.
func New(cfg Config) *Core {
	if cfg.MaxQueue == 0 {
		cfg.MaxQueue = 1024
	}
	if cfg.MaxGroup == 0 {
		cfg.MaxGroup = 8
	}
	return &Core{
		cfg:        cfg,
		policy:     newPolicy(cfg.Policy),
		rng:        rand.New(rand.NewPCG(cfg.Seed, cfg.Incarnation)),
		pools:      map[poolKey]*pool{},
		dispatches: map[string]*dispatch{},
		ended:      map[string]endedDispatch{},
		suspects:   suspicion.New(),
		running:    map[string][]*dispatch{},
	}
}

// SetView sets the configuration in force.
func (c *Core) SetView(v View) {
	c.view = v
	c.event++
}

// SetHomes sets how the failure domain that runs a suspected request is found.
// Without it, each core runs suspected requests itself.
func (c *Core) SetHomes(h Homes) { c.homes = h }

// SetConfigAge tells how long ago the configuration was last confirmed. The age
// grows by itself between calls.
func (c *Core) SetConfigAge(age time.Duration) {
	c.configAge, c.configAgeAt = age, c.now
}

// ReleasePools gives up all leases for a planned stop. Queued requests are
// refused, grants stay valid, and each backend server is told to announce itself
// elsewhere as soon as no unstarted grant on it is left.
func (c *Core) ReleasePools(now time.Duration) {
	c.advance(now)
	c.releasing = true
	c.refuseQueued()
}

// TakeActions returns the messages decided since the last call.
func (c *Core) TakeActions() []Action {
	out := c.actions
	c.actions = nil
	return out
}

// Tick runs the systems over all tables. It should be called at least every 50 ms.
func (c *Core) Tick(now time.Duration) {
	c.advance(now)
	c.tickBefore, c.lastTick = c.lastTick, c.now
	if !c.ticked {
		c.tickBefore, c.ticked = c.now, true
	}
	c.expireDispatches()
	c.expireBackends()
	if c.now >= c.cleanAt {
		c.clean()
	}
	for _, p := range c.poolOrder {
		c.refuseOverdue(p)
		c.updateClasses(p)
		c.drainQueue(p)
	}
	c.checkInvariants()
}

// clean drops what is no longer needed. It runs less often than Tick, because the
// tables that it walks hold several seconds or minutes of traffic.
func (c *Core) clean() {
	c.cleanAt = c.now + cleanEvery
	c.expireEnded()
	c.suspects.Expire(c.now)
	for _, p := range c.poolOrder {
		p.queue.expireAccounts(c.now)
	}
}

// advance moves the clock of the core. Time never goes back.
func (c *Core) advance(now time.Duration) {
	if !c.started {
		c.started, c.startedAt = true, now
		c.configAgeAt = now
	}
	c.now = max(c.now, now)
	c.event++
	if c.ticked && c.now-c.lastTick > roleStall && !c.off.stall {
		c.stalled()
	}
}

// stalled drops all leases after a pause of the process. Nothing is granted until
// the buffers have been read.
func (c *Core) stalled() {
	if c.lastTick >= c.settleUntil {
		c.arrivedAfter = c.tickBefore
	}
	c.lastTick, c.tickBefore, c.settleUntil = c.now, c.now, c.now+announce.MaxDelay
	for _, p := range c.poolOrder {
		for _, b := range p.order {
			b.lease = 0
			b.waitUntil = max(b.waitUntil, c.settleUntil)
		}
	}
}

// arrival returns the earliest time at which an announcement that is read now may
// have arrived. Leases count from it.
func (c *Core) arrival() time.Duration {
	switch {
	case !c.ticked || c.off.stall:
		return c.now
	case c.now < c.settleUntil:
		return c.arrivedAfter
	}
	return c.tickBefore
}

// mayServe tells whether new work may be granted in a failure domain, and why not.
func (c *Core) mayServe(domain string) (bool, string) {
	if c.view == nil {
		return false, "no configuration"
	}
	if c.off.exclusionCheck {
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
