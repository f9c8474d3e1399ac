package standin

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"bilberryhub/internal/announce"
)

// Guards against requests that run although they were granted so long ago that the target
// may have been taken out of service since: with a header that comes late, and with a body
// that comes late.
func TestRequestUnderAnOldAnnouncementIsNotRun(t *testing.T) {
	var last atomic.Uint64
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if a, err := announce.Decode(r.Body); err == nil {
			last.Store(a.Sequence)
		}
		_, _ = io.WriteString(w, `{"owner": "entry-1"}`)
	}))
	defer entry.Close()
	model := DefaultModel()
	in := NewInstance(InstanceSettings{
		ID: "b1", Kind: announce.KindPlain, Listen: "127.0.0.1:0", FailureDomain: "d1", Service: "bookings",
		PathPrefix: "/bookings", Model: &model, Entries: []string{strings.TrimPrefix(entry.URL, "http://")},
	}, 1, 1, zap.NewNop())
	if err := in.Start(); err != nil {
		t.Fatal(err)
	}
	defer in.Stop()
	for last.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	send := func(effect, announcement string, body io.Reader) int {
		req, err := http.NewRequest(http.MethodPost, "http://"+in.Address()+"/bookings/x", body)
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set(HeaderEffectID, effect)
		if announcement != "" {
			req.Header.Set(announce.SequenceHeader, announcement)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		return resp.StatusCode
	}
	old := strconv.FormatUint(last.Load(), 10)
	expect := func(effect, announcement string, want int) {
		t.Helper()
		if got := send(effect, announcement, http.NoBody); got != want {
			t.Errorf("%s: status %d, want %d", effect, got, want)
		}
		wantRuns := 0
		if want == http.StatusOK {
			wantRuns = 1
		}
		if n := in.Effects()[effect]; n != wantRuns {
			t.Errorf("%s was run %d times, want %d", effect, n, wantRuns)
		}
	}
	expect("without a number", "", http.StatusOK)
	expect("current", old, http.StatusOK)
	expect("never sent", "1000000", announce.StatusWrongBoot)
	expect("no number", "x", announce.StatusWrongBoot)
	body, writer := io.Pipe()
	time.AfterFunc(announce.GrantLifetime, func() { _ = writer.Close() })
	if got := send("late body", old, body); got != announce.StatusWrongBoot || in.Effects()["late body"] != 0 {
		t.Errorf("late body: status %d, run %d times", got, in.Effects()["late body"])
	}
	expect("old", old, announce.StatusWrongBoot)
	expect("newer", strconv.FormatUint(last.Load(), 10), http.StatusOK)
	http.DefaultClient.CloseIdleConnections()
}
