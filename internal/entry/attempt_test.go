package entry

import (
	"net/http"
	"testing"

	"bilberryhub/internal/announce"
	"bilberryhub/internal/backend"
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
