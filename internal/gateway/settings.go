package gateway

import (
	_ "embed"
	"net/netip"
	"time"

	"github.com/juju/errors"

	"bilberryhub/internal/control"
	"bilberryhub/internal/placement"
	"bilberryhub/internal/settings"
)

//go:embed settings.json
var schema []byte

// Settings holds the settings of a gateway process.
type Settings struct {
	// ID is the name of the process, unique in the system.
	ID            string `json:"id"`
	FailureDomain string `json:"failure_domain"`
	// CallerListen is the address for callers, ReadyListen the one for the
	// readiness checks of the load balancer.
	CallerListen string `json:"caller_listen"`
	ReadyListen  string `json:"ready_listen"`
	// ShareListen is the address for the datagrams between gateways.
	ShareListen string `json:"share_listen"`
	AdminListen string `json:"admin_listen"`
	// States are the addresses of some state processes; the others are
	// discovered through them.
	States []string `json:"states"`
	// StatePort replaces the port of the addresses in States; 0 keeps it.
	StatePort int    `json:"state_port"`
	LogLevel  string `json:"log_level"`

	// RevokeMs is the time in ms after which a revoked key must not be
	// accepted any more, even by a process that is partitioned off; 0 disables
	// the limit.
	RevokeMs int64 `json:"revoke_ms"`
	// GraceSeconds is the time from the request to stop until the process is
	// killed.
	GraceSeconds float64 `json:"grace_seconds"`
	// RetryRatio and RetrySlack limit the requests that are retried, over all
	// gateways and in each window of RetryWindowSeconds: to the ratio times
	// the requests of the service plus the slack.
	RetryRatio         float64 `json:"retry_ratio"`
	RetrySlack         float64 `json:"retry_slack"`
	RetryWindowSeconds float64 `json:"retry_window_seconds"`
	// FreeMs is the time in ms within which engines must have reserved memory
	// free again after its last use; 0 means the default.
	FreeMs int64 `json:"free_ms"`
	// AnnounceMs is the interval in ms between two announcements of a backend
	// server.
	AnnounceMs int64 `json:"announce_ms"`
	// MemoryMB is the memory limit of the process; 0 means no limit.
	MemoryMB int64 `json:"memory_mb"`
	// HeldMB limits the bytes that are held for callers, in MiB; 0 means a quarter of
	// MemoryMB. See package membudget.
	HeldMB int64 `json:"held_mb"`
	// Placement selects what the choice of an engine takes into account.
	Placement PlacementSettings `json:"placement"`
}

// PlacementSettings is a policy and where it applies.
type PlacementSettings struct {
	placement.Policy
	// MinGateways is the number of gateways from which on the policy applies. Few gateways
	// learn of each other's choices before they choose the same engine.
	MinGateways int `json:"min_gateways"`
}

// policy returns the policy of one of a number of gateways.
func (s PlacementSettings) policy(gateways int) placement.Policy {
	if gateways < s.MinGateways {
		return placement.Policy{}
	}
	return s.Policy
}

// Defaults of optional settings.
const (
	defaultGraceSeconds       = 8
	defaultRetryRatio         = 0.1
	defaultRetryWindowSeconds = 10
	defaultAnnounceMs         = 1_000
)

// LoadSettings reads and checks the settings file at path.
func LoadSettings(path string) (Settings, error) {
	s := Settings{
		LogLevel: "info", GraceSeconds: defaultGraceSeconds, RetryRatio: defaultRetryRatio,
		RetryWindowSeconds: defaultRetryWindowSeconds, AnnounceMs: defaultAnnounceMs,
	}
	if err := settings.Load(path, schema, &s); err != nil {
		return s, errors.Trace(err)
	}
	return s, errors.Annotatef(s.check(), "settings %s", path)
}

// check validates the addresses and resolves StatePort in States.
func (s *Settings) check() error {
	addresses := map[string]string{
		"/caller_listen": s.CallerListen, "/ready_listen": s.ReadyListen,
		"/share_listen": s.ShareListen, "/admin_listen": s.AdminListen,
	}
	for path, a := range addresses {
		if _, err := netip.ParseAddrPort(a); err != nil {
			return errors.Errorf("at %s: %v", path, err)
		}
	}
	var err error
	s.States, err = control.PeerAddresses(s.States, s.StatePort)
	return errors.Annotate(err, "at /states")
}

// revokeShare is the share of RevokeMs for which a confirmed configuration may
// be used: the rest covers the time between the check of a key and the
// dispatch.
const revokeShare = 0.8

// keyLease returns how long keys are accepted after the configuration was last
// confirmed as the newest; 0 means without limit.
func (s *Settings) keyLease() time.Duration {
	return time.Duration(float64(s.RevokeMs)*revokeShare) * time.Millisecond
}

func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
