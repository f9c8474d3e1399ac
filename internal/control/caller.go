package control

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"

	"bilberryhub/internal/bootclock"
	"bilberryhub/internal/wire"
)

const (
	// maxCallAge is the age up to which a caller surely waits for the response: callers
	// move on after a second. What is left of it covers the way of the call and
	// maxTickGap.
	maxCallAge = 700 * time.Millisecond
	// stallTickInterval is the time between two readings of the clock that show that the
	// process runs, and maxTickGap the longest that counts as running.
	stallTickInterval = 50 * time.Millisecond
	maxTickGap        = 200 * time.Millisecond
	// settleTime is the time after a stall in which calls are handled that arrived
	// during it.
	settleTime = 500 * time.Millisecond
)

// maxLifetimes bounds the backend servers that a connection remembers. Beyond it, all are
// forgotten.
const maxLifetimes = 64

// callerConn is a connection of a caller.
type callerConn struct {
	net.Conn
	acceptedAt time.Duration

	mu sync.Mutex
	// lifetimes holds, by id, the start of the lifetime in Unix milliseconds of each
	// backend server that was last announced on this connection.
	lifetimes map[string]uint64
}

// recordLifetime records that a backend server was announced on the connection of ctx.
func recordLifetime(ctx context.Context, id string, bornMs uint64) {
	c, ok := ctx.Value(connKey{}).(*callerConn)
	if !ok || bornMs == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lifetimes == nil || len(c.lifetimes) >= maxLifetimes {
		c.lifetimes = map[string]uint64{}
	}
	c.lifetimes[id] = bornMs
}

// lifetime returns the start of the lifetime of a backend server that was announced on
// this connection, or 0.
func (c *callerConn) lifetime(id string) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lifetimes[id]
}

// lifetimeOf returns the start of the lifetime of a backend server whose end was announced
// without one: that which was announced on the same connection, or 0 if none was. A call
// that was held up, in a process that didn't run or on its way, may come after the next
// lifetime has begun. On a connection of its own, such a call is refused if it may have
// waited while this process didn't run and its caller has left.
func (s *Service) lifetimeOf(ctx context.Context, id string) (uint64, error) {
	now := bootclock.Now()
	c := s.newCall(ctx)
	if c.conn != nil {
		if bornMs := c.conn.lifetime(id); bornMs != 0 {
			return bornMs, nil
		}
	}
	if s.stalls.earliestArrival(now) < now && c.hasLeft() {
		return 0, errors.Annotate(ErrUnavailable, "the caller has left")
	}
	return 0, nil
}

// call is a call of an operator that is being handled.
type call struct {
	ctx  context.Context
	conn *callerConn
	// sentAfter is the earliest time at which the call may have been sent.
	sentAfter time.Duration
}

// connKey is the key of the *callerConn in a context.
type connKey struct{}

// WithCallerConn returns a context with a connection that was just accepted, for the
// ConnContext of an http.Server.
func WithCallerConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, &callerConn{Conn: conn, acceptedAt: bootclock.Now()})
}

// newCall returns the call whose handler begins now.
//
// A request may have been held up on its way for as long as its connection is open,
// together with the close that follows it. An operator's call is therefore expected on a
// connection of its own, and its age counts from the start of that.
func (s *Service) newCall(ctx context.Context) *call {
	c := &call{ctx: ctx, sentAfter: s.stalls.earliestArrival(bootclock.Now())}
	if conn, ok := ctx.Value(connKey{}).(*callerConn); ok {
		c.conn, c.sentAfter = conn, min(c.sentAfter, conn.acceptedAt)
	}
	return c
}

// mustWait returns an error unless the caller surely waited for the response at now. The
// context alone doesn't tell: it ends some time after the caller has closed its
// connection, and a close may be lost on the way.
func (c *call) mustWait(now time.Duration) error {
	switch {
	case c.hasLeft():
		return errors.New("the caller has left")
	case now-c.sentAfter > maxCallAge:
		return errors.Errorf("the call may have been sent %v ago, and its caller has moved on", now-c.sentAfter)
	}
	return nil
}

// hasLeft reports whether the caller has closed its connection.
func (c *call) hasLeft() bool {
	return c.ctx.Err() != nil || (c.conn != nil && wire.StateOf(c.conn.Conn) == wire.SocketEnded)
}

// stalls records the last time in which the process didn't run. What arrives meanwhile
// waits in the sockets, and the time at which it is read doesn't tell its age.
type stalls struct {
	mu sync.Mutex
	// isRunning is set once tick is called at intervals.
	isRunning bool
	lastTick  time.Duration
	// from and to are the begin and the end of the last stall. Stalls that follow each
	// other within settleTime are one.
	from, to time.Duration
}

// run calls tick at intervals until ctx ends.
func (s *stalls) run(ctx context.Context) {
	ticker := time.NewTicker(stallTickInterval)
	defer ticker.Stop()
	for {
		s.tick(bootclock.Now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// tick records that the process runs.
func (s *stalls) tick(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordRunning(now)
	s.isRunning = true
}

// recordRunning is tick for a caller that holds mu.
func (s *stalls) recordRunning(now time.Duration) {
	if s.isRunning && now-s.lastTick > maxTickGap {
		if s.to == 0 || s.lastTick-s.to > settleTime {
			s.from = s.lastTick
		}
		s.to = now
	}
	s.lastTick = now
}

// earliestArrival returns the earliest time at which a call may have arrived that is
// handled from now on.
func (s *stalls) earliestArrival(now time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isRunning {
		s.recordRunning(now)
	}
	if s.to != 0 && now-s.to < settleTime {
		return s.from
	}
	return now
}
