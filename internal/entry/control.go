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
	// tickInterval is how often the systems run over the control tables.
	tickInterval = 20 * time.Millisecond
	// frozenAfter is the gap between two ticks after which this process may
	// have lost its roles without noticing.
	frozenAfter = time.Second
	// eventQueue bounds the events waiting for the control goroutine. Senders
	// block when it is full, which slows admission down.
	eventQueue = 1024
)

// errStopped means that the control goroutine has ended.
var errStopped = errors.New("control loop has stopped")

// control is the state that one goroutine owns: the tables of peers, of pools
// dispatched here and of pool summaries, and the replies that are due.
type control struct {
	server   *Server
	core     *dispatch.Core
	peers    *peers.Table
	router   *routing.Table
	retries  *routing.RetryBudget
	waiters  map[string]chan<- *wirepb.Envelope
	lastTick time.Time
	frozen   uint64
	// resumed is when the last pause of the process ended.
	resumed time.Time
}

// loop runs events on the control goroutine.
type loop struct {
	events chan func(*control)
	done   chan struct{}
}

func newLoop() *loop {
	return &loop{events: make(chan func(*control), eventQueue), done: make(chan struct{})}
}

// post runs f later. It returns false when the loop has stopped.
func (l *loop) post(f func(*control)) bool {
	select {
	case l.events <- f:
		return true
	case <-l.done:
		return false
	}
}

// do runs f and waits for it.
func (l *loop) do(ctx context.Context, f func(*control)) error {
	finished := make(chan struct{})
	if !l.post(func(c *control) { f(c); close(finished) }) {
		return errStopped
	}
	select {
	case <-finished:
		return nil
	case <-ctx.Done():
		return errors.Annotate(ctx.Err(), "wait for control loop")
	case <-l.done:
		return errStopped
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
			c.noticeFreeze()
			f(c)
		case <-ticker.C:
			c.tick()
		}
		c.deliver()
	}
}

// now returns the monotonic time since the start of the process, which the
// cores use.
func (c *control) now() time.Duration { return time.Since(c.server.started) }

// noticeFreeze runs before any event, because an event that was waiting in a
// socket during a freeze must not be taken for a recent one.
func (c *control) noticeFreeze() {
	gap := time.Since(c.lastTick)
	if gap < frozenAfter {
		return
	}
	c.frozen++
	c.lastTick = time.Now()
	c.resumed = c.lastTick
	c.server.log.Warn("process was paused; leases and permits from before are void", zap.Duration("gap", gap))
	metricPauses.Inc()
	c.core.SetConfigAge(c.server.configAge())
	c.core.Tick(c.now())
}

func (c *control) tick() {
	c.noticeFreeze()
	c.lastTick = time.Now()
	now := c.now()
	c.core.SetConfigAge(c.server.configAge())
	c.peersLost(c.peers.Expire(now))
	c.retries.Expire(now)
	c.core.Tick(now)
	c.server.requests.checkDeadlines(c.lastTick, c.resumed, deadlineGrace)
}

// peersLost tells the tables about entry processes that are gone or have
// restarted.
func (c *control) peersLost(lost []peers.Lost) {
	for _, p := range lost {
		c.core.EntryLost(c.now(), p.ID, p.Incarnation)
		c.router.Lost(p.ID, p.Incarnation)
		// A request that waits for a grant of the lost process must not wait
		// until its deadline; it is sent to another pool instead.
		c.server.wg.Go(func() { c.server.clients.Drop(p.Address) })
		c.server.log.Warn("entry process lost", zap.String("peer", p.ID), zap.Uint64("incarnation", p.Incarnation))
	}
}

// deliver hands decisions of the core to those who wait for them.
func (c *control) deliver() {
	for _, action := range c.core.TakeActions() {
		ch, ok := c.waiters[action.DispatchID]
		if !ok {
			continue
		}
		delete(c.waiters, action.DispatchID)
		// The channel has room for the one decision.
		ch <- action.Envelope
	}
}

// reserve asks the core for a backend server; the decision goes to ch, which
// must have room for it.
func (c *control) reserve(r *wirepb.Reserve, ch chan<- *wirepb.Envelope) {
	c.waiters[r.GetDispatchId()] = ch
	c.core.Reserve(c.now(), r)
}

// cancel withdraws a request that is no longer waited for.
func (c *control) cancel(m *wirepb.CancelReserve) {
	delete(c.waiters, m.GetDispatchId())
	c.core.Cancel(c.now(), m)
}
