package ctl

import (
	_ "embed"
	"time"

	"bilberryhub/internal/settings"
)

//go:embed settings.schema.json
var settingsSchema []byte

// defaultTimeout exceeds the time of an election and of a call to one unresponsive
// state process.
const defaultTimeout = 10 * time.Second

// Settings holds the settings of the command line.
type Settings struct {
	// States are the wire addresses of the state processes.
	States []string `json:"states"`
	// Admins are the admin addresses of entry processes, which the command status
	// shows.
	Admins []string `json:"admins"`
	// TimeoutSeconds is the timeout of one command; zero means defaultTimeout. The
	// command join has the flag -wait instead.
	TimeoutSeconds float64       `json:"timeout_seconds"`
	TLS            *settings.TLS `json:"tls"`
}

// timeout returns the timeout of one command.
func (s *Settings) timeout() time.Duration {
	if s.TimeoutSeconds == 0 {
		return defaultTimeout
	}
	return time.Duration(s.TimeoutSeconds * float64(time.Second))
}
