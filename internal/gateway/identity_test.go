package gateway

import (
	"errors"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"bilberryhub/internal/bootclock"
	"bilberryhub/internal/fleet"
)

// merge changes a copy of a backend server and announces it to the gateway.
func (s *setup) merge(b fleet.BackendServer, change func(*fleet.BackendServer)) *fleet.BackendServer {
	s.t.Helper()
	change(&b)
	s.g.members.mu.Lock()
	defer s.g.members.mu.Unlock()
	s.g.members.sorted = nil
	s.g.members.table.Merge(b)
	return s.g.members.table.Get(b.ID)
}

// told tells the gateway that a backend server leaves and wants a pause.
func (s *setup) told(b *fleet.BackendServer) {
	s.g.recordNotices(b, connPath{isDirect: true}, "", ResponseInfo{Leaving: true, Pause: time.Minute})
}

// Guards against a backend server that gets no requests because an earlier one at the same
// address has left or wanted a pause, and against requests to the earlier one.
func TestNoticeIsNotInheritedWithTheAddress(t *testing.T) {
	s := newSetup(t)
	var received atomic.Int32
	first := s.add("first", "plain", "a", says(&received, false, 0))
	s.told(first)
	s.status(http.StatusServiceUnavailable, "/safe/x")
	servers, _ := s.g.members.backends()
	if list := s.g.notices.list(servers, bootclock.Now()); len(list) != 1 || list[0].ID != "first" || list[0].State != "leaving" {
		t.Errorf("the dump lists %+v", list)
	}
	second := s.merge(*first, func(b *fleet.BackendServer) { b.ID, b.BornMs = "second", b.BornMs+1 })
	if err := s.g.noticeError(second.Key()); err != nil {
		t.Fatalf("the next one at the address inherits the notice: %v", err)
	}
	s.status(http.StatusOK, "/safe/x")
	// The earlier one announces itself again, late.
	s.merge(*first, func(b *fleet.BackendServer) { b.Sequence++ })
	s.status(http.StatusOK, "/safe/x")
	if n := received.Load(); n != 2 {
		t.Errorf("%d requests arrived, expected 2", n)
	}
	if !s.g.members.backend("first").Gone || s.g.noticeError(first.Key()) == nil {
		t.Error("the earlier one is in service again")
	}
}

// Guards against a next lifetime that inherits a pause or that its predecessor left, and
// against a response of the predecessor, read late, that takes the next one out.
func TestNextLifetimeStartsClean(t *testing.T) {
	s := newSetup(t)
	var received atomic.Int32
	first := s.add("b0", "plain", "a", says(&received, false, 0))
	s.told(first)
	next := s.merge(*first, func(b *fleet.BackendServer) { b.BornMs, b.Sequence = b.BornMs+1, 1 })
	s.status(http.StatusOK, "/safe/x")
	s.told(first)
	s.status(http.StatusOK, "/safe/x")
	if err := s.g.noticeError(next.Key()); err != nil || received.Load() != 2 {
		t.Errorf("the next lifetime got %d of 2 requests: %v", received.Load(), err)
	}
	// An announcement of the earlier lifetime changes nothing.
	s.merge(*first, func(b *fleet.BackendServer) { b.Sequence += 100 })
	s.told(next)
	s.status(http.StatusServiceUnavailable, "/safe/x")
}

// Guards against a backend server that gets requests again since an old list brings it
// back, which was made before it said that it leaves or after it was forgotten.
func TestOldListDoesNotClearANotice(t *testing.T) {
	s := newSetup(t)
	var received atomic.Int32
	b := s.add("b0", "plain", "a", says(&received, false, 0))
	s.told(b)
	sweep := func() {
		servers, _ := s.g.members.backends()
		keys := map[uint64]bool{}
		for _, b := range servers {
			keys[b.Key()] = true
		}
		s.g.notices.retain(keys, bootclock.Now())
	}
	s.merge(*b, func(*fleet.BackendServer) {})
	s.merge(*b, func(b *fleet.BackendServer) { b.Sequence += 7 })
	sweep()
	s.status(http.StatusServiceUnavailable, "/safe/x")
	s.g.members.mu.Lock()
	s.g.members.table.Forget(bootclock.Now() + time.Hour)
	s.g.members.sorted = nil
	s.g.members.mu.Unlock()
	if s.g.members.backend("b0") != nil {
		t.Fatal("the backend server isn't forgotten")
	}
	sweep()
	s.merge(*b, func(*fleet.BackendServer) {})
	sweep()
	s.status(http.StatusServiceUnavailable, "/safe/x")
	if err := s.g.noticeError(b.Key()); !errors.Is(err, errLeaving) || received.Load() != 0 {
		t.Errorf("after an old list: %v, %d requests", err, received.Load())
	}
}
