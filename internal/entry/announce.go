package entry

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"

	"go.uber.org/zap"

	"bilberryhub/internal/announce"
	"bilberryhub/internal/callerconn"
	"bilberryhub/internal/membudget"
	"bilberryhub/internal/observe"
	"bilberryhub/internal/refusal"
)

// readAnnouncement reads and decodes an announcement.
func (s *Server) readAnnouncement(w http.ResponseWriter, hr *http.Request) (*announce.Announcement, *refusal.Error) {
	held, err := s.budget.Reserve("address "+remoteIP(hr), 0)
	if err != nil {
		return nil, s.bodyRefusal(w, "", err)
	}
	defer held.Release()
	callerconn.LimitBodyTime(w, hr, announceReadTimeout)
	body, err := membudget.Read(held, hr.Body, hr.ContentLength, announce.MaxBytes)
	if err != nil {
		return nil, s.bodyRefusal(w, "", err)
	}
	callerconn.EndBodyTime(w)
	a, err := announce.Decode(bytes.NewReader(body))
	if err != nil {
		return nil, refusal.New(refusal.BadRequest, err.Error())
	}
	return a, nil
}

// serveAnnounce accepts an announcement if this process is the dispatcher of the
// pool, or if there is none because all live entry processes are draining. Otherwise
// it redirects to the dispatcher, or starts the handover to it if this process still
// owns the backend server.
func (s *Server) serveAnnounce(w http.ResponseWriter, hr *http.Request) {
	a, refErr := s.readAnnouncement(w, hr)
	if refErr != nil {
		if refErr.RetryAfter > 0 {
			w.Header().Set("Retry-After", strconv.Itoa(int(refErr.RetryAfter.Seconds())))
		}
		http.Error(w, refErr.Message, refErr.Status())
		return
	}
	var reply announce.Reply
	var next string
	err := s.loop.do(hr.Context(), func(c *control) {
		d, ok := c.peers.Dispatcher(a.FailureDomain, a.Service)
		switch {
		case !ok || d.ID == s.settings.ID:
			reply = c.core.Announce(c.now(), a)
		case c.core.Owns(c.now(), a.FailureDomain, a.Service, a.ID):
			next = d.HTTPAddress
			reply = c.core.HandOver(c.now(), a)
			reply.Next = next
		default:
			next = d.HTTPAddress
		}
	})
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	if reply.Owner == "" {
		w.Header().Set("Location", "http://"+next+announce.Path)
		w.WriteHeader(http.StatusTemporaryRedirect)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(reply); err != nil {
		s.log.Debug("reply to announcement not sent", zap.String("backend_server", a.ID), observe.Error(err))
	}
}
