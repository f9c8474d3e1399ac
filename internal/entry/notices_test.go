package entry

import (
	"net/http"
	"testing"
	"time"

	"bilberryhub/internal/announce"
	"bilberryhub/internal/notice"
)

// Guards against a notice that is read from a value without a meaning, which would take a
// backend server out, or ignored without a trace, and against one that is missed.
func TestReadNotices(t *testing.T) {
	const leaving, pause = announce.LeavingHeader, "Retry-After"
	for name, tc := range map[string]struct {
		status int
		header http.Header
		want   notices
	}{
		"nothing":               {503, http.Header{}, notices{}},
		"pause":                 {503, http.Header{pause: {"2"}}, notices{pause: 2 * time.Second}},
		"pause, many requests":  {429, http.Header{pause: {"0.5"}}, notices{pause: 500 * time.Millisecond}},
		"pause of none":         {503, http.Header{pause: {"0"}}, notices{}},
		"pause with a success":  {200, http.Header{pause: {"2"}}, notices{}},
		"pause with a failure":  {500, http.Header{pause: {"2"}}, notices{}},
		"pause, negative":       {503, http.Header{pause: {"-1"}}, notices{invalid: pause}},
		"pause, NaN":            {503, http.Header{pause: {"NaN"}}, notices{invalid: pause}},
		"pause, no number":      {503, http.Header{pause: {"soon"}}, notices{invalid: pause}},
		"pause, a date":         {503, http.Header{pause: {"Sat, 05 Dec 2026 04:00:00 GMT"}}, notices{invalid: pause}},
		"pause, twice":          {503, http.Header{pause: {"1", "2"}}, notices{invalid: pause}},
		"pause, empty":          {503, http.Header{pause: {""}}, notices{invalid: pause}},
		"pause, hours long":     {503, http.Header{pause: {"7200"}}, notices{pause: notice.MaxPause}},
		"pause, beyond range":   {503, http.Header{pause: {"1e300"}}, notices{pause: notice.MaxPause}},
		"leaving":               {200, http.Header{leaving: {"1"}}, notices{isLeaving: true}},
		"leaving and pause":     {503, http.Header{leaving: {"1"}, pause: {"1"}}, notices{isLeaving: true, pause: time.Second}},
		"leaving, no":           {200, http.Header{leaving: {"0"}}, notices{invalid: leaving}},
		"leaving, twice":        {200, http.Header{leaving: {"1", "1"}}, notices{invalid: leaving}},
		"leaving, other value":  {200, http.Header{leaving: {"yes"}}, notices{invalid: leaving}},
		"not the expected boot": {announce.StatusWrongBoot, http.Header{leaving: {"1"}, pause: {"2"}}, notices{}},
	} {
		if got := readNotices(&http.Response{StatusCode: tc.status, Header: tc.header}); got != tc.want {
			t.Errorf("%s: %+v, expected %+v", name, got, tc.want)
		}
	}
}
