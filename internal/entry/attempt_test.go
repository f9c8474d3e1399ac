package entry

import (
	"net/http"
	"testing"
	"time"

	"bilberryhub/internal/announce"
	"bilberryhub/internal/backend"
	"bilberryhub/internal/notice"
	"bilberryhub/internal/refusal"
	"bilberryhub/internal/wirepb"
)

// Guards against an earlier refusal that a backend server writes once more on a kept
// connection: it must not make a request that may be running "not run".
func TestRefusalOfAnotherRequestProvesNothing(t *testing.T) {
	for _, tc := range []struct {
		name     string
		id       string
		isPooled bool
		sent     bool
	}{
		{"own id on a kept connection", "d-1", true, false},
		{"no id on a kept connection", "", true, true},
		{"no id on a connection of its own", "", false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			a := &attempt{id: "d-1", req: &request{}, member: &wirepb.GrantMember{Backend: "b"}}
			resp := &http.Response{StatusCode: announce.StatusWrongBoot, Header: http.Header{}}
			if tc.id != "" {
				resp.Header.Set(backend.RequestIDHeader, tc.id)
			}
			out := a.checkStatus(resp, tc.isPooled)
			if out.err == nil || out.sent != tc.sent || (out.err.Run == refusal.RunNo) == tc.sent {
				t.Fatalf("sent %v, %v; expected sent %v", out.sent, out.err, tc.sent)
			}
		})
	}
}

// Guards against a pause that is read from a value without a meaning, which would take a
// backend server out, and against one that is missed.
func TestRequestedPause(t *testing.T) {
	for _, tc := range []struct {
		status int
		values []string
		want   time.Duration
	}{
		{503, []string{"2"}, 2 * time.Second},
		{429, []string{"0.5"}, 500 * time.Millisecond},
		{503, nil, 0},
		{200, []string{"2"}, 0},
		{500, []string{"2"}, 0},
		{503, []string{"-1"}, 0},
		{503, []string{"NaN"}, 0},
		{503, []string{"Sat, 05 Dec 2026 04:00:00 GMT"}, 0},
		{503, []string{"1", "2"}, 0},
		{503, []string{"1e300"}, notice.MaxPause},
	} {
		resp := &http.Response{StatusCode: tc.status, Header: http.Header{"Retry-After": tc.values}}
		if got := requestedPause(resp); got != tc.want {
			t.Errorf("status %d with %q: %v, want %v", tc.status, tc.values, got, tc.want)
		}
	}
}
