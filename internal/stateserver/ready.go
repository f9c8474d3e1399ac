package stateserver

import (
	"io"
	"net/http"
)

// serveReady responds with 503 and the reason while this replica can't serve what needs the
// replicated state.
func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if reason := s.notReadyReason(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// notReadyReason returns why the replica isn't ready, or an empty string.
func (s *Server) notReadyReason() string {
	switch {
	case s.isForming.Load():
		return "the replica belongs to no cluster"
	case !s.fresh():
		return "the replica is in contact with no leader"
	}
	return ""
}
