package stateserver

import (
	_ "embed"
	"net/netip"
	"slices"
	"strings"

	"github.com/juju/errors"

	"bilberryhub/internal/settings"
	"bilberryhub/internal/wirepb"
)

//go:embed settings.json
var settingsSchema []byte

// defaultSnapshotEntries bounds the number of entries that a restart applies again.
// One million entries are read in under a second, so a tenth of that causes no
// noticeable delay.
const defaultSnapshotEntries = 100_000

// Settings configure a state process. ID is the name of this replica, without the
// identity of its disk.
type Settings struct {
	ID            string          `json:"id"`
	FailureDomain string          `json:"failure_domain"`
	Listen        string          `json:"listen"`
	AdminListen   string          `json:"admin_listen"`
	DataDir       string          `json:"data_dir"`
	Replicas      []ReplicaConfig `json:"replicas"`
	TLS           *settings.TLS   `json:"tls"`
	LogLevel      string          `json:"log_level"`
	// SnapshotEntries is the number of applied entries between two snapshots.
	SnapshotEntries uint64 `json:"snapshot_entries"`
	// SnapshotBytes is the size of the applied entries after which a snapshot is
	// taken before SnapshotEntries is reached, which bounds the log if entries are
	// large; 0 means no bound.
	SnapshotBytes int64 `json:"snapshot_bytes"`
	// SegmentBytes is the size of one log segment file; 0 means the default.
	SegmentBytes int64 `json:"segment_bytes"`
	// JoinOnly keeps this replica from forming the first replica set when its data
	// directory is empty: it only joins an existing set.
	JoinOnly bool `json:"join_only"`
	// JoinAddresses are addresses of replicas that a replica without state asks to be added to
	// their cluster, besides those of Replicas; see RetiredError.Members.
	JoinAddresses []string `json:"-"`
	// TargetVoters is the number of voters that the leader maintains among the
	// replicas that have joined; 0 makes every replica a voter.
	TargetVoters int `json:"target_voters"`
}

// ReplicaConfig is one replica of the initial replica set.
type ReplicaConfig struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
}

// LoadSettings reads and validates the settings file at path.
func LoadSettings(path string) (Settings, error) {
	s := Settings{LogLevel: "info", SnapshotEntries: defaultSnapshotEntries}
	if err := settings.Load(path, settingsSchema, &s); err != nil {
		return s, errors.Trace(err)
	}
	return s, errors.Annotatef(s.check(), "settings %s", path)
}

// check validates what the schema can't express.
func (s *Settings) check() error {
	names := map[string]bool{}
	for i, r := range s.Replicas {
		if names[r.Name] {
			return errors.Errorf("at /replicas/%d/name: %q is listed twice", i, r.Name)
		}
		names[r.Name] = true
		if _, err := netip.ParseAddrPort(r.Address); err != nil {
			return errors.Errorf("at /replicas/%d/address: %v", i, err)
		}
	}
	if !names[s.ID] && !s.JoinOnly {
		return errors.Errorf("at /id: %q is not among the replicas", s.ID)
	}
	for path, a := range map[string]string{"/listen": s.Listen, "/admin_listen": s.AdminListen} {
		if _, err := netip.ParseAddrPort(a); err != nil {
			return errors.Errorf("at %s: %v", path, err)
		}
	}
	return nil
}

// self returns the configuration of this replica, which may be missing in Replicas.
func (s *Settings) self() ReplicaConfig {
	if r, ok := s.replica(s.ID); ok {
		return r
	}
	return ReplicaConfig{Name: s.ID, Address: s.Listen, FailureDomain: s.FailureDomain}
}

// replica returns the configured replica with the given name.
func (s *Settings) replica(name string) (ReplicaConfig, bool) {
	i := slices.IndexFunc(s.Replicas, func(r ReplicaConfig) bool { return r.Name == name })
	if i < 0 {
		return ReplicaConfig{}, false
	}
	return s.Replicas[i], true
}

// coordinator returns the name of the replica that forms the first replica set.
func (s *Settings) coordinator() string {
	return slices.MinFunc(s.Replicas, func(a, b ReplicaConfig) int { return strings.Compare(a.Name, b.Name) }).Name
}

// replicaID returns the id of a replica from its name and the identity of its disk.
func replicaID(name, identity string) string { return name + "/" + identity }

// replicaName returns the name in a replica id.
func replicaName(id string) string {
	name, _, _ := strings.Cut(id, "/")
	return name
}

// withID returns r as a member with the given replica id.
func (r ReplicaConfig) withID(id string) *wirepb.Replica {
	return &wirepb.Replica{Id: id, Address: r.Address, FailureDomain: r.FailureDomain}
}
