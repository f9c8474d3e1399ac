package main

import (
	"net/http"
	"time"
)

// startTimeout limits the start of a deployment.
const startTimeout = 20 * time.Second

// startSmall starts three control processes, one gateway and one replica of a plain
// service, and waits until requests are served.
func (s *system) startSmall() (*process, *replica, error) {
	if _, err := s.startControls(280); err != nil {
		return nil, nil, err
	}
	r, err := s.startReplica("i-aace57a97e", "signctl", 101, domains[0], 15*time.Millisecond)
	if err != nil {
		return nil, nil, err
	}
	g := s.gateway(0, edgeMemoryMB)
	if err := s.start(g); err != nil {
		return nil, nil, err
	}
	if err := s.operate(http.MethodPut, names.Config, desiredState(3), startTimeout); err != nil {
		return nil, nil, err
	}
	return g, r, s.awaitServed(g, startTimeout)
}

// awaitServed waits until a gateway serves an ordinary request.
func (s *system) awaitServed(g *process, timeout time.Duration) error {
	return s.await("an ordinary request is served at "+g.name, timeout, func() bool {
		if !s.isReady(g) {
			return false
		}
		id, r := s.request(g, readPath)
		return r.isServed(id)
	})
}
