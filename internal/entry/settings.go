package entry

import (
	_ "embed"
	"time"

	"bilberryhub/internal/settings"
)

// Schema is the JSON schema of the settings file.
//
//go:embed settings.schema.json
var Schema []byte

// Settings of an entry process.
type Settings struct {
	// ID names the entry process; unique over the system.
	ID string `json:"id"`
	// FailureDomain is the domain of the VM.
	FailureDomain string `json:"failure_domain"`
	// Listen is the address for callers.
	Listen string `json:"listen"`
	// AnnounceListen is the address for announcements of backend servers. It
	// must not be reachable for callers.
	AnnounceListen string `json:"announce_listen"`
	// WireListen is the address for other processes of the system.
	WireListen string `json:"wire_listen"`
	// AdminListen is the address of metrics, health and state dump.
	AdminListen string `json:"admin_listen"`
	// Entries are the wire addresses of other entry processes to contact
	// first; more are learned from them.
	Entries []string `json:"entries"`
	// States are the wire addresses of the state processes.
	States []string `json:"states"`
	// DispatchPolicy is "bilberry" or one of the baselines for measurements.
	DispatchPolicy string `json:"dispatch_policy"`
	// Seed of random choices; zero takes the time of start.
	Seed uint64 `json:"seed"`
	// DrainSeconds bounds a planned stop.
	DrainSeconds int `json:"drain_seconds"`
	// StallSeconds is the longest time between two events of a stream.
	StallSeconds float64 `json:"stall_seconds"`
	// CallerWriteSeconds is the longest time a write to a caller may take.
	CallerWriteSeconds float64 `json:"caller_write_seconds"`
	// AcceptPromptTokensHeader lets callers state the prompt length in
	// X-Prompt-Tokens instead of sending the text. For measurements only.
	AcceptPromptTokensHeader bool          `json:"accept_prompt_tokens_header"`
	LogLevel                 string        `json:"log_level"`
	TLS                      *settings.TLS `json:"tls"`
}

const (
	defaultDrain       = 15 * time.Minute
	defaultStall       = 30 * time.Second
	defaultCallerWrite = 10 * time.Second
)

// LoadSettings reads and checks the settings file.
func LoadSettings(path string) (*Settings, error) {
	s := &Settings{DispatchPolicy: "bilberry", LogLevel: "info"}
	if err := settings.Load(path, Schema, s); err != nil {
		return nil, err
	}
	return s, nil
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

func seconds(v float64, otherwise time.Duration) time.Duration {
	if v == 0 {
		return otherwise
	}
	return time.Duration(v * float64(time.Second))
}
