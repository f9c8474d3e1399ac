package stateserver

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const validSettings = `{
  "id": "state-a", "failure_domain": "north", "listen": "127.0.0.1:7000", "admin_listen": "127.0.0.1:7001",
  "data_dir": "data", "replicas": [{"name": "state-a", "address": "127.0.0.1:7000", "failure_domain": "north"}]
}`

// TestSettings guards against invalid settings that are accepted, and against errors
// that don't name the invalid setting.
func TestSettings(t *testing.T) {
	for _, tc := range []struct{ from, to, want string }{
		{"", "", ""},
		{`"data_dir"`, `"data_dri"`, "data_dri"},
		{`"id": "state-a"`, `"id": 7`, "at /id"},
		{`"id": "state-a"`, `"id": "state-b"`, "at /id"},
		{`"address": "127.0.0.1:7000"`, `"address": "localhost:7000"`, "at /replicas/0/address"},
		{`"failure_domain": "north"}`, `"failure_domain": "north", "weight": 1}`, "at /replicas/0"},
		{`"replicas": [`, `"replicas": [{"name": "state-a", "address": "127.0.0.1:7002", "failure_domain": "south"}, `, "at /replicas/1/name"},
		{`"admin_listen": "127.0.0.1:7001"`, `"admin_listen": "127.0.0.1:x"`, "at /admin_listen"},
	} {
		path := filepath.Join(t.TempDir(), "settings.json")
		if err := os.WriteFile(path, []byte(strings.Replace(validSettings, tc.from, tc.to, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		set, err := LoadSettings(path)
		switch {
		case tc.want == "" && (err != nil || set.SnapshotEntries != defaultSnapshotEntries):
			t.Errorf("valid settings: %+v, %v", set, err)
		case tc.want != "" && (err == nil || !strings.Contains(err.Error(), tc.want)):
			t.Errorf("%s instead of %s: error %v does not name %q", tc.to, tc.from, err, tc.want)
		}
	}
}
