package config

import (
	"strings"
	"testing"

	"bilberryhub/internal/wirepb"
)

const document = `{"number":3,"services":[{"name":"a","kind":"model","models":["a"]}],"accounts":[],
"failure_domains":[{"name":"north","region":"r"}],"urgencies":[{"name":"u","priority":0}]}`

// snapshot returns a valid configuration with a manifest and three orders.
func snapshot() *wirepb.ConfigSnapshot {
	s := &wirepb.ConfigSnapshot{
		Index: 9, ManifestNumber: 3, Manifest: []byte(document),
		Orders: []*wirepb.Order{
			{Kind: TargetFailureDomain, Target: "south", Out: true, Number: 2, Reason: "rack work"},
			{Kind: TargetBackendServer, Target: "b1", Out: true, Number: 1},
			{Kind: TargetBackendServer, Target: "b2", Number: 5},
		},
	}
	s.Digest = Digest(s)
	return s
}

// Guards against requests being sent to a target that is out of service.
func TestExcluded(t *testing.T) {
	v, err := FromSnapshot(snapshot())
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ domain, server, want string }{
		{"south", "b2", "failure_domain south is out of service by order 2: rack work"},
		{"north", "b1", "backend_server b1 is out of service by order 1"},
		{"north", "b2", ""},
		{"b1", "south", ""},
		{"", "", ""},
	} {
		out, reason := v.Excluded(c.domain, c.server)
		if out != (c.want != "") || reason != c.want {
			t.Errorf("Excluded(%q, %q) = %t, %q; want %q", c.domain, c.server, out, reason, c.want)
		}
	}
}

// Guards against a corrupted configuration that is not detected because the digest
// leaves out a field.
func TestDigestCoversEveryField(t *testing.T) {
	changes := map[string]func(*wirepb.ConfigSnapshot){
		"index":    func(s *wirepb.ConfigSnapshot) { s.Index++ },
		"number":   func(s *wirepb.ConfigSnapshot) { s.ManifestNumber++ },
		"manifest": func(s *wirepb.ConfigSnapshot) { s.Manifest = []byte(strings.Replace(document, "north", "nerth", 1)) },
		"kind":     func(s *wirepb.ConfigSnapshot) { s.Orders[0].Kind = TargetBackendServer },
		"target":   func(s *wirepb.ConfigSnapshot) { s.Orders[0].Target = "sout" },
		"out":      func(s *wirepb.ConfigSnapshot) { s.Orders[2].Out = true },
		"order":    func(s *wirepb.ConfigSnapshot) { s.Orders[1].Number++ },
		"missing":  func(s *wirepb.ConfigSnapshot) { s.Orders = s.Orders[:2] },
	}
	for name, change := range changes {
		s := snapshot()
		change(s)
		if _, err := FromSnapshot(s); err == nil {
			t.Errorf("a change of %s is not detected", name)
		}
	}
	s := snapshot()
	s.ManifestNumber = 4
	s.Digest = Digest(s)
	if _, err := FromSnapshot(s); err == nil {
		t.Error("a manifest with another number is accepted")
	}
}
