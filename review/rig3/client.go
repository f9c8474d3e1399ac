package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Names of the desired state of all cases.
const (
	// edgeMemoryMB is the memory of an edge machine.
	edgeMemoryMB = 284
	clientHost   = "wuny96.example"
	setPath      = "/pufi791/set"
	readPath     = "/cuti104/read"
	clientKey    = "n2ctnfzs989anu6wsjnb"
)

// desiredState returns a desired state with a route of each kind.
func desiredState(version int) string {
	return fmt.Sprintf(`{"version":%d,"routes":[`+
		`{"name":"sign-set","host":%q,"path-prefix":"/pufi791/","kind":"unsafe","timeout-ms":1000,"target-latency-ms":100,"priority":1,"service":"signctl","max-attempts":1,"allow-anonymous":false,"sticky-sessions":false,"stream-resume":false},`+
		`{"name":"sign-read","host":%q,"path-prefix":"/cuti104/","kind":"safe","timeout-ms":1000,"target-latency-ms":100,"priority":1,"service":"signctl","max-attempts":2,"allow-anonymous":false,"sticky-sessions":false,"stream-resume":false}],`+
		`"services":[{"name":"signctl","health-path":"/health","max-connections":48,"protocol":"h1","tls":false,"cold-start-s":0.0,"cold-per-s":0.0}],`+
		`"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},`+
		`"tenants":[{"name":"hule930","api-keys":[%q],"priority":1}]}`, version, clientHost, clientHost, clientKey)
}

// request sends an ordinary request to a gateway and returns the id of its attempt and the
// result.
func (s *system) request(p *process, path string) (string, result) {
	return s.requestWithKey(p, path, clientKey)
}

// requestWithKey is request with another key.
func (s *system) requestWithKey(p *process, path, key string) (string, result) {
	id := s.newAttempt()
	method := http.MethodGet
	if path == setPath {
		method = http.MethodPost
	}
	r := s.call(1100*time.Millisecond, method, "http://"+address(p.ip, frontPort)+path, "", "Host", clientHost,
		"X-Bilberryhub-Attempt-Id", id, "X-Api-Key", key, "X-Bilberryhub-Deadline-Remaining", "1000")
	s.logf("client: %s %s at %s: %v", path, id, p.name, r)
	return id, r
}

// isServed reports whether a result is the whole answer of a replica to an attempt.
func (r result) isServed(id string) bool {
	return r.err == nil && r.status == http.StatusOK && r.header.Get("X-Bilberryhub-Replica-Seal") == "seal-"+id &&
		strings.TrimSpace(r.body) == "answer to "+id
}
