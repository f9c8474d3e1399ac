package entry

import (
	"context"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"bilberryhub/internal/dispatch"
	"bilberryhub/internal/peers"
	"bilberryhub/internal/routing"
	"bilberryhub/internal/wirepb"
)

const (
	// tickInterval is the period of the time-driven work on the control tables.
	tickInterval = 20 * time.Millisecond
	// pauseThreshold is the time since the last tick from which the process counts
	// as paused. It may have lost its dispatcher roles in that time without noticing.
	pauseThreshold = time.Second
	// eventQueueSize bounds the events that wait for the control goroutine. Senders
	// block while the queue is full, which slows down admission.
	eventQueueSize = 1024
)

// errLoopStopped is returned if the control goroutine has ended.
var errLoopStopped = errors.New("control loop has stopped")

// control is the state owned by the control goroutine: the tables of peers, of the
// pools dispatched by this process and of pool summaries, the retry budgets and the
// reservations that wait for a decision. Only that goroutine may access it.
type control struct {
	server   *Server
	core     *dispatch.Core
	peers    *peers.Table
	router   *routing.Table
	retries  *routing.RetryBudget
	waiters  map[string]chan<- *wirepb.Envelope
	lastTick time.Time
	pauses   uint64
	// resumedAt is the time at which the last pause of the process was detected,
	// which is when it ended.
	resumedAt time.Time
}

// loop runs functions on the control goroutine in the order in which they were
// posted.
type loop struct {
	events chan func(*control)
	done   chan struct{}
}

func newLoop() *loop {
	return &loop{events: make(chan func(*control), eventQueueSize), done: make(chan struct{})}
}

// post queues f and does not wait for it to run. It returns false if the loop has
// stopped.
func (l *loop) post(f func(*control)) bool {
	select {
	case l.events <- f:
		return true
	case <-l.done:
		return false
	}
}

// do queues f and waits until it has run. If ctx ends first, do returns an error and f
// may still run later.
func (l *loop) do(ctx context.Context, f func(*control)) error {
	finished := make(chan struct{})
	if !l.post(func(c *control) { f(c); close(finished) }) {
		return errLoopStopped
	}
	select {
	case <-finished:
		return nil
	case <-ctx.Done():
		return errors.Annotate(ctx.Err(), "wait for control loop")
	case <-l.done:
		return errLoopStopped
	}
}

// run handles events and ticks until ctx ends.
func (l *loop) run(ctx context.Context, c *control) {
	defer close(l.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	c.lastTick = time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-l.events:
			c.detectPause()
			f(c)
		case <-ticker.C:
			c.tick()
		}
		c.deliverDecisions()
	}
}

// now returns the monotonic time since the start of the process. It is the clock of
// the peer table, the dispatcher core, the routing table and the retry budgets.
func (c *control) now() time.Duration { return time.Since(c.server.started) }

// detectPause checks whether the process was paused since the last tick, and if so
// lets the dispatcher core expire its leases. It runs before each event, because an
// event that waited in a socket during the pause must not be treated as recent.
func (c *control) detectPause() {
	gap := time.Since(c.lastTick)
	if gap < pauseThreshold {
		return
	}
	c.pauses++
	c.lastTick = time.Now()
	c.resumedAt = c.lastTick
	c.server.log.Warn("process was paused; leases and permits granted before are no longer valid", zap.Duration("gap", gap))
	metricPauses.Inc()
	c.core.SetConfigAge(c.server.configAge())
	c.core.Tick(c.now())
}

// tick runs the time-driven work: expiry of peers and retry budgets, the tick of the
// dispatcher core and the check of deadlines.
func (c *control) tick() {
	c.detectPause()
	c.lastTick = time.Now()
	now := c.now()
	c.core.SetConfigAge(c.server.configAge())
	c.handleLostPeers(c.peers.Expire(now))
	c.retries.Expire(now)
	c.core.Tick(now)
	c.server.requests.checkDeadlines(c.lastTick, c.resumedAt, deadlineGrace)
}

// handleLostPeers removes the state of entry processes that were lost or have
// restarted.
func (c *control) handleLostPeers(lost []peers.Lost) {
	for _, p := range lost {
		c.core.EntryLost(c.now(), p.ID, p.Incarnation)
		c.router.RemoveDispatcher(p.ID, p.Incarnation)
		// Closing the connection ends the wait for a grant of the lost process. The
		// request is sent to another pool instead of waiting until its deadline.
		c.server.wg.Go(func() { c.server.clients.Drop(p.Address) })
		c.server.log.Warn("entry process lost", zap.String("peer", p.ID), zap.Uint64("incarnation", p.Incarnation))
	}
}

// deliverDecisions sends the decisions of the core to the goroutines that wait for
// them.
func (c *control) deliverDecisions() {
	for _, action := range c.core.TakeActions() {
		ch, ok := c.waiters[action.DispatchID]
		if !ok {
			continue
		}
		delete(c.waiters, action.DispatchID)
		// The channel is buffered, and there is only one decision.
		ch <- action.Envelope
	}
}

// reserve requests a backend server from the core. The decision is sent to ch, which
// must have a free buffer slot.
func (c *control) reserve(r *wirepb.Reserve, ch chan<- *wirepb.Envelope) {
	c.waiters[r.GetDispatchId()] = ch
	c.core.Reserve(c.now(), r)
}

// cancel withdraws a reservation whose requester no longer waits for it.
func (c *control) cancel(m *wirepb.CancelReserve) {
	delete(c.waiters, m.GetDispatchId())
	c.core.Cancel(c.now(), m)
}
