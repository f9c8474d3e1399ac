package main

import (
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
		names.Attempt, id, names.Key, key, names.Deadline, "1000")
	s.logf("client: %s %s at %s: %v", path, id, p.name, r)
	return id, r
}

// isServed reports whether a result is the whole answer of a replica to an attempt.
func (r result) isServed(id string) bool {
	return r.err == nil && r.status == http.StatusOK && r.header.Get(names.Seal) == "seal-"+id &&
		strings.TrimSpace(r.body) == "answer to "+id
}
