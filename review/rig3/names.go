package main

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"strings"
)

// The names of the platform's protocol stand in files beside this one.

//go:embed names.json
var namesFile []byte

//go:embed desired.json.tmpl
var desiredTemplate string

//go:embed heartbeat.json.tmpl
var heartbeatTemplate string

// names are the headers and paths that the stand-ins use.
var names = readNames()

type nameTable struct {
	Attempt  string `json:"attempt"`
	Key      string `json:"key"`
	Deadline string `json:"deadline"`
	Expect   string `json:"expect"`
	NotRun   string `json:"not_run"`
	Seal     string `json:"seal"`
	Ready    string `json:"ready"`
	Config   string `json:"config"`
	Replicas string `json:"replicas"`
}

func readNames() nameTable {
	var t nameTable
	if err := json.Unmarshal(namesFile, &t); err != nil {
		panic(err)
	}
	return t
}

// desiredState returns a desired state with a route of each kind, for one client account with
// the given keys.
func desiredState(version int, keys ...string) string {
	if len(keys) == 0 {
		keys = []string{clientKey}
	}
	return strings.NewReplacer(
		"VERSION", fmt.Sprint(version), "HOST", clientHost, "KEYS", `"`+strings.Join(keys, `","`)+`"`,
	).Replace(strings.TrimSpace(desiredTemplate))
}

// heartbeat is what a heartbeat says.
type heartbeat struct {
	service, address, domain, state string
	sequence                        uint64
	bornMs                          int64
}

func (h heartbeat) String() string {
	return strings.NewReplacer(
		"SERVICE", h.service, "ADDRESS", h.address, "DOMAIN", h.domain, "STATE", h.state,
		"SEQUENCE", fmt.Sprint(h.sequence), "BORN", fmt.Sprint(h.bornMs),
	).Replace(strings.TrimSpace(heartbeatTemplate))
}
