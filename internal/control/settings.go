package control

import (
	_ "embed"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"strconv"

	"github.com/juju/errors"

	"bilberryhub/internal/settings"
	"bilberryhub/internal/stateserver"
	"bilberryhub/internal/wire"
)

//go:embed settings.json
var schema []byte

// Settings are the settings of a control process.
type Settings struct {
	// IP is the id of the replica and the address at which its peers reach it.
	IP            string `json:"ip"`
	FailureDomain string `json:"failure_domain"`
	// FailureDomains are the failure domains that operators may name.
	FailureDomains []string `json:"failure_domains"`
	// PeerPort is the port for connections between processes; it is the same on every
	// VM.
	PeerPort       int    `json:"peer_port"`
	AdminListen    string `json:"admin_listen"`
	OperatorListen string `json:"operator_listen"`
	DataDir        string `json:"data_dir"`
	// Seeds are the operator addresses of some of the control processes.
	Seeds []string `json:"seeds"`
	// Bootstrap is set only at the first start of the whole system, when an empty
	// data directory means that there is no state yet.
	Bootstrap bool `json:"bootstrap"`
	// ToleratedLosses is the number of replicas whose loss the system must survive.
	ToleratedLosses int    `json:"tolerated_losses"`
	LogLevel        string `json:"log_level"`
	// MemoryMB and DiskMB are the memory and disk available to the process in MiB; 0
	// means no limit.
	MemoryMB int64 `json:"memory_mb"`
	DiskMB   int64 `json:"disk_mb"`
	// HeldMB limits the bodies that are held for callers, in MiB; see membudget.Capacity.
	HeldMB int64 `json:"held_mb"`
}

// LoadSettings reads and validates the settings file at path. Errors name the file
// and the place of the invalid value.
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

// PeerAddresses replaces the ports of the seeds by the peer port, which gives the
// addresses for connections between processes. With port 0 it returns the seeds
// unchanged. It returns an error for a seed that is not an IP address with a port.
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
	// snapshotEntries, snapshotDiskDivisor and segmentDiskDivisor keep the log well
	// below the size of the disk, because each entry may hold a whole manifest. A
	// snapshot is taken after snapshotEntries entries or 1/snapshotDiskDivisor of the
	// disk; a log segment takes 1/segmentDiskDivisor of it.
	snapshotEntries     = 300
	snapshotDiskDivisor = 8
	segmentDiskDivisor  = 16
	// maxVoters limits the number of voters, a majority of which must agree to each
	// change.
	maxVoters = 7
)

// peerAddress returns the address of this process for connections between processes.
func (s *Settings) peerAddress() string {
	return net.JoinHostPort(s.IP, strconv.Itoa(s.PeerPort))
}

// wireOptions returns the options of connections to other control processes.
func (s *Settings) wireOptions() wire.Options {
	return wire.Options{Self: wire.Identity{
		Kind: wire.KindState, ID: s.IP, Incarnation: rand.Uint64(), FailureDomain: s.FailureDomain,
	}}
}

// State returns the settings of the state replica within this process. It returns an
// error for a seed that is not an IP address with a port.
func (s *Settings) State() (stateserver.Settings, error) {
	seeds, err := PeerAddresses(s.Seeds, s.PeerPort)
	if err != nil {
		return stateserver.Settings{}, errors.Trace(err)
	}
	self := s.peerAddress()
	out := stateserver.Settings{
		ID: s.IP, FailureDomain: s.FailureDomain, Listen: self, AdminListen: s.AdminListen, DataDir: s.DataDir,
		LogLevel: s.LogLevel, SnapshotEntries: snapshotEntries,
		SnapshotBytes: s.DiskMB << 20 / snapshotDiskDivisor, SegmentBytes: s.DiskMB << 20 / segmentDiskDivisor,
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
