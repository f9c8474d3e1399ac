package main

import (
	"net/http"
	"strings"
	"time"
)

func init() { cases["bytes"] = (*system).runBytes }

// runBytes sends a desired state in which one byte of a name isn't text.
func (s *system) runBytes(hasTrouble bool) error {
	if _, _, err := s.startSmall(); err != nil {
		return err
	}
	sent := strings.Replace(desiredState(9), "hule930", "hule93é", 1)
	if hasTrouble {
		sent = strings.Replace(desiredState(9), "hule930", "hule93\xff", 1)
	}
	err := s.operate(http.MethodPut, "/bilberryhub/config", sent, 5*time.Second)
	if err != nil {
		s.logf("refused: %v", err)
		return nil
	}
	time.Sleep(2 * time.Second)
	for i := range 3 {
		r := s.call(time.Second, http.MethodGet, "http://"+address(s.controlIP(i), controlPort)+"/bilberryhub/config", "")
		s.logf("read at control-%d: status %d, same: %v", i, r.status, r.body == sent)
		if r.err == nil && r.status == http.StatusOK && r.body != sent {
			return brokenf("the desired state read back isn't what was sent under its number: %q", r.body[len(r.body)-80:])
		}
	}
	return nil
}
