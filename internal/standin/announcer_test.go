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

// fakeEntry answers announcements with answer and passes them on.
type fakeEntry struct {
	*httptest.Server
	got chan *announce.Announcement
}

func newFakeEntry(t *testing.T, answer func(w http.ResponseWriter)) *fakeEntry {
	f := &fakeEntry{got: make(chan *announce.Announcement, 100)}
	f.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a, err := announce.Decode(r.Body)
		if err != nil {
			t.Errorf("invalid announcement: %v", err)
			return
		}
		f.got <- a
		answer(w)
	}))
	t.Cleanup(f.Close)
	return f
}

func (f *fakeEntry) address() string { return strings.TrimPrefix(f.URL, "http://") }

func accept(r announce.Reply) func(http.ResponseWriter) {
	return func(w http.ResponseWriter) { _ = json.NewEncoder(w).Encode(r) }
}

func (f *fakeEntry) next(t *testing.T) *announce.Announcement {
	t.Helper()
	select {
	case a := <-f.got:
		return a
	case <-time.After(limit):
		t.Fatal("no announcement")
		return nil
	}
}

func announcing(t *testing.T, entries ...string) *Instance {
	list, _ := json.Marshal(entries)
	in := NewInstance(settingsFor(t, "model", fmt.Sprintf(`{"entries": %s}`, list)), 0.01, 1, zap.NewNop())
	if err := in.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(in.Stop)
	return in
}

// Guards against a backend server that does not follow the redirect to its
// dispatcher, or asks for it again each time.
func TestAnnouncerFollowsRedirectAndStays(t *testing.T) {
	owner := newFakeEntry(t, accept(announce.Reply{Owner: "owner"}))
	other := newFakeEntry(t, func(w http.ResponseWriter) {
		w.Header().Set("Location", owner.URL+announce.Path)
		w.WriteHeader(http.StatusTemporaryRedirect)
	})
	announcing(t, other.address())
	for want := uint64(1); want <= 3; want++ {
		if a := owner.next(t); a.Sequence != want || a.PreviousOwner != "" {
			t.Fatalf("announcement %d: sequence %d, previous owner %q", want, a.Sequence, a.PreviousOwner)
		}
	}
	if n := len(other.got); n != 1 {
		t.Fatalf("%d announcements reached the first entry process", n)
	}
}

// Guards against a backend server that hides its previous owner from the next
// one, which would then grant while the old one still does.
func TestAnnouncerNamesPreviousOwner(t *testing.T) {
	var failed atomic.Bool
	first := newFakeEntry(t, func(w http.ResponseWriter) {
		if failed.Swap(true) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		accept(announce.Reply{Owner: "first"})(w)
	})
	// The second one answers only after the failure of the first.
	second := newFakeEntry(t, func(w http.ResponseWriter) {
		if !failed.Load() {
			w.Header().Set("Location", first.URL)
			w.WriteHeader(http.StatusTemporaryRedirect)
			return
		}
		accept(announce.Reply{Owner: "second"})(w)
	})
	announcing(t, first.address(), second.address())
	first.next(t)
	for len(second.got) > 0 {
		<-second.got
	}
	first.next(t)
	if a := second.next(t); a.PreviousOwner != "first" || a.PreviousReleased {
		t.Fatalf("previous owner %q, released %v", a.PreviousOwner, a.PreviousReleased)
	}
	if a := second.next(t); a.PreviousOwner != "" {
		t.Fatalf("previous owner %q after the change", a.PreviousOwner)
	}
}

// Guards against a backend server that ignores the release of its dispatcher.
func TestAnnouncerFollowsRelease(t *testing.T) {
	second := newFakeEntry(t, accept(announce.Reply{Owner: "second"}))
	first := newFakeEntry(t, accept(announce.Reply{Owner: "first", Released: true, Next: second.address()}))
	announcing(t, first.address())
	if a := second.next(t); a.PreviousOwner != "first" || !a.PreviousReleased {
		t.Fatalf("previous owner %q, released %v", a.PreviousOwner, a.PreviousReleased)
	}
}

// Guards against reports without delay and loss, which would hide from the
// dispatcher how stale they can be.
func TestReportsAreLateAndHaveGaps(t *testing.T) {
	entry := newFakeEntry(t, accept(announce.Reply{Owner: "owner"}))
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

// Guards against a silent fault that still announces.
func TestSilentStopsAnnouncements(t *testing.T) {
	entry := newFakeEntry(t, accept(announce.Reply{Owner: "owner"}))
	in := announcing(t, entry.address())
	entry.next(t)
	if _, err := in.SetFaults(func(f *Faults) error { f.Silent = true; return nil }); err != nil {
		t.Fatal(err)
	}
	for len(entry.got) > 0 {
		<-entry.got
	}
	time.Sleep(3 * announce.Interval)
	// One announcement may have been under way.
	if n := len(entry.got); n > 1 {
		t.Fatalf("%d announcements while silent", n)
	}
}
