package control

import (
	_ "embed"
	"net"
	"net/netip"
	"slices"
	"strconv"

	"github.com/juju/errors"

	"bilberryhub/internal/settings"
	"bilberryhub/internal/stateserver"
)

//go:embed settings.json
var schema []byte

// Settings of a control process: a state replica with its operators' interface.
type Settings struct {
	// IP names the replica and is where its peers reach it.
	IP            string `json:"ip"`
	FailureDomain string `json:"failure_domain"`
	// FailureDomains are all that operators may name.
	FailureDomains []string `json:"failure_domains"`
	// PeerPort is the port of the connections between processes, on every VM.
	PeerPort       int    `json:"peer_port"`
	AdminListen    string `json:"admin_listen"`
	OperatorListen string `json:"operator_listen"`
	DataDir        string `json:"data_dir"`
	// Seeds are operator addresses of some control processes.
	Seeds []string `json:"seeds"`
	// Bootstrap is set at the first start of the whole system only: an empty data
	// folder then means that there is no state yet.
	Bootstrap bool `json:"bootstrap"`
	// ToleratedLosses is the number of replicas whose loss must be survived.
	ToleratedLosses int    `json:"tolerated_losses"`
	LogLevel        string `json:"log_level"`
	// MemoryMB and DiskMB bound the process; 0 means no bound.
	MemoryMB int64 `json:"memory_mb"`
	DiskMB   int64 `json:"disk_mb"`
}

// LoadSettings reads and checks the settings file at path.
func LoadSettings(path string) (Settings, error) {
	s := Settings{LogLevel: "info", ToleratedLosses: 1}
	if err := settings.Load(path, schema, &s); err != nil {
		return s, errors.Trace(err)
	}
	if _, err := netip.ParseAddr(s.IP); err != nil {
		return s, errors.Annotatef(err, "settings %s: at /ip", path)
	}
	_, err := PeerAddresses(s.Seeds, s.PeerPort)
	return s, errors.Annotatef(err, "settings %s: at /seeds", path)
}

// PeerAddresses returns the addresses at which the processes behind seeds talk
// to each other. Port 0 leaves the seeds as they are.
func PeerAddresses(seeds []string, port int) ([]string, error) {
	out := make([]string, 0, len(seeds))
	for _, seed := range seeds {
		a, err := netip.ParseAddrPort(seed)
		if err != nil {
			return nil, errors.Annotatef(err, "seed %q", seed)
		}
		if port == 0 {
			out = append(out, seed)
			continue
		}
		out = append(out, net.JoinHostPort(a.Addr().String(), strconv.Itoa(port)))
	}
	return out, nil
}

const (
	// snapshotEntries, snapshotShare and segmentShare keep the log well below the
	// disk: an entry holds a whole manifest.
	snapshotEntries = 300
	snapshotShare   = 8
	segmentShare    = 16
	// maxVoters bounds the replicas whose agreement a change needs.
	maxVoters = 7
)

// State returns the settings of the state replica.
func (s *Settings) State() (stateserver.Settings, error) {
	seeds, err := PeerAddresses(s.Seeds, s.PeerPort)
	if err != nil {
		return stateserver.Settings{}, errors.Trace(err)
	}
	self := net.JoinHostPort(s.IP, strconv.Itoa(s.PeerPort))
	out := stateserver.Settings{
		ID: s.IP, FailureDomain: s.FailureDomain, Listen: self, AdminListen: s.AdminListen, DataDir: s.DataDir,
		LogLevel: s.LogLevel, SnapshotEntries: snapshotEntries,
		SnapshotBytes: s.DiskMB << 20 / snapshotShare, SegmentBytes: s.DiskMB << 20 / segmentShare,
		JoinOnly:     !s.Bootstrap || !slices.Contains(seeds, self),
		TargetVoters: min(maxVoters, max(3, 2*s.ToleratedLosses+1)),
	}
	for _, a := range seeds {
		host, _, err := net.SplitHostPort(a)
		if err != nil {
			return out, errors.Annotatef(err, "seed %q", a)
		}
		out.Replicas = append(out.Replicas, stateserver.ReplicaConfig{Name: host, Address: a, FailureDomain: "unknown"})
	}
	return out, nil
}
