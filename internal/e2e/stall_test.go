package e2e

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// writeStall holds back writes until it is released.
type writeStall struct {
	waiting  atomic.Int64
	released chan struct{}
}

// stallingConn is a connection of an entry process to a backend server whose writes can
// be held back. A write that waits is what a process leaves that is paused after the check
// of a dispatch and before its write.
type stallingConn struct {
	net.Conn
	path *lostPath
}

func (c *stallingConn) Write(p []byte) (int, error) {
	if s := c.path.stall.Load(); s != nil {
		s.waiting.Add(1)
		<-s.released
	}
	return c.Conn.Write(p)
}

// TestDispatchWrittenLateIsNotRun guards against new work for an excluded target from a
// process that was paused between the last check of a dispatch and its write (promise 4).
// The callers must learn that nothing was run (promise 6).
func TestDispatchWrittenLateIsNotRun(t *testing.T) {
	c := newCluster(t, layout{domains: 1, entriesPerDomain: 1, enginesPerDomain: 2, coldLimit: 8, plain: true})
	stall := &writeStall{released: make(chan struct{})}
	c.lostPath[0].stall.Store(stall)
	results := map[string]response{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	send := func(name string, f func() response) {
		wg.Go(func() {
			got := f()
			mu.Lock()
			defer mu.Unlock()
			results[name] = got
		})
	}
	send("stream", func() response { return c.sendPrompt(0, prompt{text: "held back", stream: true}) })
	send("prompt", func() response { return c.sendPrompt(0, prompt{text: "held back as well"}) })
	send("booking", func() response { return c.book(0, "late", effectBody("late")) })
	send("read", func() response { return c.send(0, http.MethodGet, "/bookings/x", "", nil) })
	c.eventually("writes wait", func() bool { return stall.waiting.Load() == 4 })
	c.proposeOrder("failure_domain", "d1", true, 1)
	time.Sleep(exclusionBound)
	requests := func() (sum uint64) {
		for _, in := range append(c.engines(), c.bookingServer(0)) {
			sum += in.Stats().Requests
		}
		return sum
	}
	before := requests()
	c.lostPath[0].stall.Store(nil)
	close(stall.released)
	wg.Wait()
	if n := requests() - before; n != 0 {
		t.Errorf("%d requests were run later than %v after the order", n, exclusionBound)
	}
	if n := c.effectCount("late"); n != 0 {
		t.Errorf("the booking was run %d times", n)
	}
	for name, got := range results {
		if got.status == http.StatusOK || got.run != "no" {
			t.Errorf("%s: status %d, code %q, run %q, want a refusal that states that it was not run: %s", name, got.status, got.code, got.run, got.body)
		}
	}
}
