package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"bilberryhub/internal/announce"

	"go.uber.org/zap"
)

// fakeEntry is an entry process that records the announcements it receives.
type fakeEntry struct {
	*httptest.Server
	received chan *announce.Announcement
}

// newFakeEntry starts a fakeEntry that writes its responses with respond.
func newFakeEntry(t *testing.T, respond func(w http.ResponseWriter)) *fakeEntry {
	f := &fakeEntry{received: make(chan *announce.Announcement, 100)}
	f.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a, err := announce.Decode(r.Body)
		if err != nil {
			t.Errorf("invalid announcement: %v", err)
			return
		}
		f.received <- a
		respond(w)
	}))
	t.Cleanup(f.Close)
	return f
}

func (f *fakeEntry) address() string { return strings.TrimPrefix(f.URL, "http://") }

func replyWith(r announce.Reply) func(http.ResponseWriter) {
	return func(w http.ResponseWriter) { _ = json.NewEncoder(w).Encode(r) }
}

func (f *fakeEntry) next(t *testing.T) *announce.Announcement {
	t.Helper()
	select {
	case a := <-f.received:
		return a
	case <-time.After(testTimeout):
		t.Fatal("no announcement")
		return nil
	}
}

func startAnnouncing(t *testing.T, entries ...string) *Instance {
	list, _ := json.Marshal(entries)
	in := NewInstance(settingsFor(t, "model", fmt.Sprintf(`{"entries": %s}`, list)), 0.01, 1, zap.NewNop())
	if err := in.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(in.Stop)
	return in
}

// Guards against a backend server that does not follow the redirect to its
// dispatcher, or that follows it again for every announcement instead of keeping
// the new address.
func TestAnnouncerKeepsRedirectTarget(t *testing.T) {
	owner := newFakeEntry(t, replyWith(announce.Reply{Owner: "owner"}))
	other := newFakeEntry(t, func(w http.ResponseWriter) {
		w.Header().Set("Location", owner.URL+announce.Path)
		w.WriteHeader(http.StatusTemporaryRedirect)
	})
	startAnnouncing(t, other.address())
	for want := uint64(1); want <= 3; want++ {
		if a := owner.next(t); a.Sequence != want || a.PreviousOwner != "" {
			t.Fatalf("announcement %d: sequence %d, previous owner %q", want, a.Sequence, a.PreviousOwner)
		}
	}
	if n := len(other.received); n != 1 {
		t.Fatalf("%d announcements reached the first entry process", n)
	}
}

// Guards against a backend server that omits its previous owner from the
// announcement to the next one: both would then issue grants at the same time.
func TestAnnouncerNamesPreviousOwner(t *testing.T) {
	var failed atomic.Bool
	first := newFakeEntry(t, func(w http.ResponseWriter) {
		if failed.Swap(true) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		replyWith(announce.Reply{Owner: "first"})(w)
	})
	// The second one redirects to the first until the first has failed.
	second := newFakeEntry(t, func(w http.ResponseWriter) {
		if !failed.Load() {
			w.Header().Set("Location", first.URL)
			w.WriteHeader(http.StatusTemporaryRedirect)
			return
		}
		replyWith(announce.Reply{Owner: "second"})(w)
	})
	startAnnouncing(t, first.address(), second.address())
	first.next(t)
	for len(second.received) > 0 {
		<-second.received
	}
	first.next(t)
	if a := second.next(t); a.PreviousOwner != "first" || a.PreviousReleased {
		t.Fatalf("previous owner %q, released %v", a.PreviousOwner, a.PreviousReleased)
	}
	if a := second.next(t); a.PreviousOwner != "" {
		t.Fatalf("previous owner %q after the change", a.PreviousOwner)
	}
}

// Guards against a backend server that keeps announcing to a dispatcher that has
// released it.
func TestAnnouncerFollowsRelease(t *testing.T) {
	second := newFakeEntry(t, replyWith(announce.Reply{Owner: "second"}))
	first := newFakeEntry(t, replyWith(announce.Reply{Owner: "first", Released: true, Next: second.address()}))
	startAnnouncing(t, first.address())
	if a := second.next(t); a.PreviousOwner != "first" || !a.PreviousReleased {
		t.Fatalf("previous owner %q, released %v", a.PreviousOwner, a.PreviousReleased)
	}
}

// Guards against load reports without the configured delay and loss: tests of the
// dispatcher would then run only with fresh reports.
func TestReportsAreDelayedAndDropped(t *testing.T) {
	entry := newFakeEntry(t, replyWith(announce.Reply{Owner: "owner"}))
	in := NewInstance(settingsFor(t, "model", fmt.Sprintf(
		`{"entries": [%q], "model": {"report_delay_ms": 400, "report_drop": 0.5}}`, entry.address())), 0.01, 1, zap.NewNop())
	if err := in.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(in.Stop)
	last, gaps := uint64(1), 0
	for range 8 {
		l := entry.next(t).Load
		if l.Sequence > 1 && l.AgeMS < 400 {
			t.Fatalf("report %d is %d ms old", l.Sequence, l.AgeMS)
		}
		if l.Sequence != last+1 {
			gaps++
		}
		last = l.Sequence
	}
	if gaps == 0 {
		t.Fatal("no report was lost")
	}
}

// Guards against an instance that still announces itself under the fault silent.
func TestSilentStopsAnnouncements(t *testing.T) {
	entry := newFakeEntry(t, replyWith(announce.Reply{Owner: "owner"}))
	in := startAnnouncing(t, entry.address())
	entry.next(t)
	if _, err := in.SetFaults(func(f *Faults) error { f.Silent = true; return nil }); err != nil {
		t.Fatal(err)
	}
	for len(entry.received) > 0 {
		<-entry.received
	}
	time.Sleep(3 * announce.Interval)
	// One announcement may have been in flight.
	if n := len(entry.received); n > 1 {
		t.Fatalf("%d announcements while silent", n)
	}
}

// Guards against a backend server that names another owner after one late response, which
// costs its pool a waiting period, and against one that stays with an owner that no longer
// responds.
func TestAnnouncerRepeatsOneLateAnnouncement(t *testing.T) {
	var calls atomic.Int64
	owner := newFakeEntry(t, func(w http.ResponseWriter) {
		// The second response is late; from the fourth announcement on there is none.
		if n := calls.Add(1); n == 2 || n >= 4 {
			time.Sleep(announce.MaxDelay + 100*time.Millisecond)
		}
		replyWith(announce.Reply{Owner: "owner"})(w)
	})
	other := newFakeEntry(t, func(w http.ResponseWriter) {
		if calls.Load() < 4 {
			w.Header().Set("Location", owner.URL+announce.Path)
			w.WriteHeader(http.StatusTemporaryRedirect)
			return
		}
		replyWith(announce.Reply{Owner: "other"})(w)
	})
	startAnnouncing(t, owner.address(), other.address())
	// The fourth and its repetition get no response.
	want := int64(5)
	for {
		a := other.next(t)
		if calls.Load() < 4 {
			if a.Sequence > 1 {
				t.Fatalf("announcement %d went to another entry process after one late response", a.Sequence)
			}
			// It is the first of the configured ones, so the owner is the next one.
			want++
			continue
		}
		if a.PreviousOwner != owner.address() || a.PreviousReleased {
			t.Fatalf("previous owner %q, released %v, want %q", a.PreviousOwner, a.PreviousReleased, owner.address())
		}
		break
	}
	if n := calls.Load(); n != want {
		t.Errorf("%d announcements to the owner, want %d", n, want)
	}
}
