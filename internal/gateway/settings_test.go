package gateway

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"bilberryhub/internal/placement"
)

// Guards against a policy of placement that is set and not read, and against a misspelled
// one that is ignored.
func TestPlacementSetting(t *testing.T) {
	const file = `{"id": "g", "failure_domain": "d", "caller_listen": "127.0.0.1:1", "ready_listen": "127.0.0.1:2",
		"share_listen": "127.0.0.1:3", "admin_listen": "127.0.0.1:4", "states": ["127.0.0.1:5"]PLACEMENT}`
	load := func(field string) (Settings, error) {
		path := filepath.Join(t.TempDir(), "settings.json")
		if err := os.WriteFile(path, []byte(strings.Replace(file, "PLACEMENT", field, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		return LoadSettings(path)
	}
	if s, err := load(""); err != nil || s.Placement != (PlacementSettings{}) {
		t.Errorf("without the setting: policy %+v, error %v", s.Placement, err)
	}
	s, err := load(`, "placement": {"slot_wait": true, "short_room": 1.2, "spread": 0.6, "remote_share": 0.08, "min_gateways": 32}`)
	if expected := (PlacementSettings{
		Policy: placement.Policy{SlotWait: true, ShortRoom: 1.2, Spread: 0.6, RemoteShare: 0.08}, MinGateways: 32,
	}); err != nil || s.Placement != expected {
		t.Errorf("policy %+v, expected %+v, error %v", s.Placement, expected, err)
	}
	for _, wrong := range []string{`{"spred": 1}`, `{"spread": -1}`, `{"short_room": true}`} {
		if _, err := load(`, "placement": ` + wrong); err == nil {
			t.Errorf("the policy %s is accepted", wrong)
		}
	}
}

// Guards against a policy that reaches deployments of few gateways, which are served as
// before.
func TestPolicyAppliesFromANumberOfGateways(t *testing.T) {
	s := PlacementSettings{Policy: placement.Policy{SlotWait: true}, MinGateways: 32}
	if p := s.policy(31); p != (placement.Policy{}) {
		t.Errorf("the policy of 31 gateways is %+v", p)
	}
	if p := s.policy(32); !p.SlotWait {
		t.Errorf("the policy of 32 gateways is %+v", p)
	}
}
