package main

import (
	"net/http"
	"time"
)

func init() { cases["bytes"] = (*system).runBytes }

// applyTime is the bound config-apply-ms.
const applyTime = 2 * time.Second

// runBytes sends a desired state that can't be read in full: one byte of a key is no text. It
// must be refused, or read back as it was sent, and nobody else's key may take its place.
func (s *system) runBytes(hasTrouble bool) error {
	g, _, err := s.startSmall()
	if err != nil {
		return err
	}
	// The key of the desired state, and another one, with the character U+FFFD at the end.
	sent, other := "n2ctnfzs989anu6ws\xff", "n2ctnfzs989anu6ws\uFFFD"
	if !hasTrouble {
		sent = "n2ctnfzs989anu6wsz"
	}
	document := desiredState(9, clientKey, sent)
	if err := s.operate(http.MethodPut, names.Config, document, startTimeout); err != nil {
		s.logf("the desired state was refused: %v", err)
		return nil
	}
	time.Sleep(applyTime)
	id, r := s.requestWithKey(g, setPath, other)
	s.logf("the key %q was never sent; a request with it ran %d times: %v", other, s.runsOf(id), r)
	for i := range 3 {
		read := s.call(time.Second, http.MethodGet, "http://"+address(s.controlIP(i), controlPort)+names.Config, "")
		s.logf("read at control-%d: status %d, as it was sent: %v", i, read.status, read.body == document)
		if read.err == nil && read.status == http.StatusOK && read.body != document {
			return brokenf("a desired state that can't be read in full was acknowledged, and what is read back isn't what was sent under its number; a request with a key that no desired state held ran %d times", s.runsOf(id))
		}
	}
	if s.runsOf(id) > 0 {
		return brokenf("a request with a key that no desired state held has run")
	}
	return nil
}
