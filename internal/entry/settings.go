package entry

import (
	_ "embed"
	"time"

	"bilberryhub/internal/membudget"
	"bilberryhub/internal/settings"
)

// Schema is the JSON schema of the settings file.
//
//go:embed settings.schema.json
var Schema []byte

// Settings holds the settings of an entry process.
type Settings struct {
	// ID identifies the entry process; it is unique in the system.
	ID string `json:"id"`
	// FailureDomain is the failure domain of the VM.
	FailureDomain string `json:"failure_domain"`
	// Listen is the listen address for callers.
	Listen string `json:"listen"`
	// AnnounceListen is the listen address for announcements of backend servers. It
	// must not be reachable by callers.
	AnnounceListen string `json:"announce_listen"`
	// WireListen is the listen address for other processes of the system.
	WireListen string `json:"wire_listen"`
	// AdminListen is the listen address for metrics, health and state dump; empty
	// disables them.
	AdminListen string `json:"admin_listen"`
	// Entries lists the wire addresses of the entry processes to contact first; others
	// are discovered through them.
	Entries []string `json:"entries"`
	// States lists the wire addresses of the state processes.
	States []string `json:"states"`
	// DispatchPolicy is "bilberry" or one of the baseline policies for benchmarks.
	DispatchPolicy string `json:"dispatch_policy"`
	// Seed is the seed of random choices; zero means the start time.
	Seed uint64 `json:"seed"`
	// DrainSeconds is the maximum duration of draining; zero means the default.
	DrainSeconds int `json:"drain_seconds"`
	// StallSeconds is the maximum time between two events of a stream; zero means the
	// default.
	StallSeconds float64 `json:"stall_seconds"`
	// CallerWriteSeconds is the maximum duration of a write to a caller; zero means
	// the default.
	CallerWriteSeconds float64 `json:"caller_write_seconds"`
	// AcceptPromptTokensHeader allows callers to state the prompt length in the
	// header X-Prompt-Tokens instead of sending the text. It is for benchmarks only.
	AcceptPromptTokensHeader bool `json:"accept_prompt_tokens_header"`
	// MemoryMB is the memory of the VM in MiB; 0 means no limit.
	MemoryMB int64 `json:"memory_mb"`
	// HeldMB limits the bodies that are held for callers, in MiB; see membudget.Capacity.
	HeldMB   int64         `json:"held_mb"`
	LogLevel string        `json:"log_level"`
	TLS      *settings.TLS `json:"tls"`
}

const (
	defaultDrain       = 15 * time.Minute
	defaultStall       = 30 * time.Second
	defaultCallerWrite = 10 * time.Second
)

// LoadSettings reads the settings file at path and validates it against Schema.
func LoadSettings(path string) (*Settings, error) {
	s := &Settings{DispatchPolicy: "bilberry", LogLevel: "info"}
	if err := settings.Load(path, Schema, s); err != nil {
		return nil, err
	}
	return s, nil
}

// heldBytes returns the capacity of the memory budget in bytes, if the largest legal body
// has the given size.
func (s *Settings) heldBytes(largestBody int64) int64 {
	return membudget.Capacity(s.HeldMB, s.MemoryMB, largestBody)
}

func (s *Settings) drain() time.Duration {
	if s.DrainSeconds == 0 {
		return defaultDrain
	}
	return time.Duration(s.DrainSeconds) * time.Second
}

func (s *Settings) stall() time.Duration {
	return seconds(s.StallSeconds, defaultStall)
}

func (s *Settings) callerWrite() time.Duration {
	return seconds(s.CallerWriteSeconds, defaultCallerWrite)
}

// seconds returns v seconds, or defaultValue if v is zero.
func seconds(v float64, defaultValue time.Duration) time.Duration {
	if v == 0 {
		return defaultValue
	}
	return time.Duration(v * float64(time.Second))
}
