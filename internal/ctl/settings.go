package ctl

import (
	_ "embed"
	"time"

	"bilberryhub/internal/settings"
)

//go:embed settings.schema.json
var settingsSchema []byte

// defaultTimeout is above the time of an election and of one frozen state
// process.
const defaultTimeout = 10 * time.Second

// Settings of the command line.
type Settings struct {
	// States are the wire addresses of the state processes.
	States []string `json:"states"`
	// Admins are admin addresses of entry processes, for status.
	Admins []string `json:"admins"`
	// TimeoutSeconds bounds one command.
	TimeoutSeconds float64       `json:"timeout_seconds"`
	TLS            *settings.TLS `json:"tls"`
}

func (s *Settings) timeout() time.Duration {
	if s.TimeoutSeconds == 0 {
		return defaultTimeout
	}
	return time.Duration(s.TimeoutSeconds * float64(time.Second))
}
