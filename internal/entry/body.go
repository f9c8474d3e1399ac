package entry

import (
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"bilberryhub/internal/announce"
	"bilberryhub/internal/bootclock"
	"bilberryhub/internal/callerconn"
	"bilberryhub/internal/manifest"
	"bilberryhub/internal/membudget"
	"bilberryhub/internal/observe"
	"bilberryhub/internal/refusal"
)

const (
	// bodyReadTimeout bounds the time in which a caller must send the body, and
	// announceReadTimeout that in which a backend server must send an announcement.
	bodyReadTimeout     = 60 * time.Second
	announceReadTimeout = 5 * time.Second
	// bodyRetryAfter is the retry delay in refusals of bodies that do not fit the budget.
	bodyRetryAfter = time.Second
	// maxBodyRefusalLines limits the log lines in a second about bodies that do not fit.
	maxBodyRefusalLines = 10
)

// largestBody returns the largest legal size of a body in bytes.
func largestBody(m *manifest.Manifest) int64 {
	largest := int64(announce.MaxBytes)
	for i := range m.Services {
		largest = max(largest, m.Services[i].MaxBodyBytes)
	}
	return largest
}

// readBody reads the body of a request, which may have up to limit bytes.
func (s *Server) readBody(w http.ResponseWriter, hr *http.Request, r *request, limit int64) ([]byte, *refusal.Error) {
	body, err := membudget.Read(r.held, hr.Body, hr.ContentLength, limit)
	if err != nil {
		return nil, s.bodyRefusal(w, r.id, err)
	}
	callerconn.EndBodyTime(w)
	return body, nil
}

// bodyRefusal returns the refusal for a body that was not read because of err, and ends the
// connection after the response.
func (s *Server) bodyRefusal(w http.ResponseWriter, id string, err error) *refusal.Error {
	callerconn.EndAfterResponse(w)
	var large *membudget.TooLargeError
	switch {
	case errors.As(err, &large):
		return bodyTooLarge(large.Limit)
	case isOverBudget(err):
		s.logOverBudget("body refused", id, err)
		return refusal.New(refusal.NoCapacity, "no memory for the body now").WithRetryAfter(bodyRetryAfter)
	}
	return refusal.New(refusal.BadRequest, "read body: "+err.Error())
}

// isOverBudget reports whether err is due to the memory budget.
func isOverBudget(err error) bool {
	var full *membudget.FullError
	return errors.As(err, &full)
}

// logOverBudget logs what does not fit the memory budget.
func (s *Server) logOverBudget(what, id string, err error) {
	if omitted, ok := s.refusedBodies.Allow(bootclock.Now()); ok {
		s.log.Warn(what+": it does not fit the memory budget", zap.String("request_id", id), observe.Error(err), omitted)
	}
}

// remoteIP returns the IP address of a caller.
func remoteIP(hr *http.Request) string {
	host, _, err := net.SplitHostPort(hr.RemoteAddr)
	if err != nil {
		return hr.RemoteAddr
	}
	return host
}
