package entry

import (
	"net/http"
	"testing"
	"time"

	"bilberryhub/internal/notice"
)

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
