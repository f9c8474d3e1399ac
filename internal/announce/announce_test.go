package announce

import (
	"strings"
	"testing"
)

// Guards against an odd announcement of another writer that is accepted: it would name a
// backend server that nobody can reach.
func TestDecode(t *testing.T) {
	const valid = `{"id":"b","boot":1,"address":"10.0.0.1:80","failure_domain":"d","service":"s","kind":"plain","sequence":1}`
	if a, err := Decode(strings.NewReader(valid)); err != nil || a.Address != "10.0.0.1:80" {
		t.Fatalf("a valid announcement is refused: %v", err)
	}
	for name, change := range map[string][2]string{
		"port out of range": {"10.0.0.1:80", "10.0.0.1:99999"},
		"port 0":            {"10.0.0.1:80", "10.0.0.1:0"},
		"no port":           {"10.0.0.1:80", "10.0.0.1"},
		"no host":           {"10.0.0.1:80", ":80"},
		"number too large":  {`"sequence":1`, `"sequence":1e30`},
		"deeply nested":     {`"sequence":1`, `"sequence":1,"load":` + strings.Repeat(`{"x":`, 20_000)},
		"wrong type":        {`"boot":1`, `"boot":"one"`},
		"unknown kind":      {`"plain"`, `"other"`},
	} {
		if _, err := Decode(strings.NewReader(strings.Replace(valid, change[0], change[1], 1))); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}
