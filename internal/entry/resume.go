package entry

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"bilberryhub/internal/backend"
	"bilberryhub/internal/config"
	"bilberryhub/internal/observe"
	"bilberryhub/internal/peers"
	"bilberryhub/internal/refusal"
	"bilberryhub/internal/relay"
	"bilberryhub/internal/wirepb"
)

// streamsPath is the URL path at which a caller resumes a stream whose entry process
// was lost: GET streamsPath + request id, with Last-Event-ID. An engine keeps an
// interrupted stream for a few seconds, so the caller must reconnect immediately.
const streamsPath = "/v1/streams/"

// findTimeout bounds the search for the dispatch at all dispatchers.
const findTimeout = 500 * time.Millisecond

// serveStreamResume serves a caller that resumes a stream of its account.
func (s *Server) serveStreamResume(w http.ResponseWriter, hr *http.Request, v *config.Version, id string) {
	account, refErr := authenticate(hr, v.Manifest)
	if refErr != nil {
		s.refuse(w, id, refErr)
		return
	}
	requestID := strings.TrimPrefix(hr.URL.Path, streamsPath)
	if !utf8.ValidString(requestID) {
		s.refuse(w, id, refusal.New(refusal.BadRequest, "the request id in the path is not UTF-8"))
		return
	}
	lastEventID, err := strconv.ParseUint(hr.Header.Get(lastEventHeader), 10, 64)
	if err != nil {
		s.refuse(w, id, refusal.New(refusal.BadHeader, lastEventHeader+" is not the number of an event"))
		return
	}
	found := s.findDispatch(hr.Context(), requestID, account.Name)
	if found == nil {
		s.refuse(w, id, refusal.NewUnknown(refusal.BackendFailed, "no running request of this account has this id"))
		return
	}
	service, ok := v.Manifest.Service(found.GetService())
	if !ok {
		s.refuse(w, id, refusal.NewUnknown(refusal.BackendFailed, "the service of this request is gone"))
		return
	}
	r := &request{id: id, version: v, account: account, service: service, idempotent: true, arrived: time.Now()}
	r.deadline = r.arrived.Add(time.Duration(found.GetDeadlineMs()) * time.Millisecond)
	r.setBackend(found.GetBackend())
	if !s.requests.add(r) {
		s.refuse(w, id, refusal.New(refusal.Draining, "this process is stopping").WithRetryAfter(drainRetryAfter))
		return
	}
	defer s.requests.remove(r)
	ctx, cancel := context.WithDeadlineCause(hr.Context(), r.deadline, errDeadline)
	defer cancel()
	defer context.AfterFunc(s.abortCtx, cancel)()
	r.setPhase(phaseAnswering)
	w.Header().Set(requestIDHeader, requestID)
	s.relayResumedStream(ctx, w, found, requestID, lastEventID)
}

// findDispatch searches for the running dispatch of a request at all dispatchers,
// including this process. It returns nil if none is found in time.
func (s *Server) findDispatch(ctx context.Context, requestID, account string) *wirepb.FoundDispatch {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	var found *wirepb.FoundDispatch
	var otherPeers []peers.Peer
	err := s.loop.do(ctx, func(c *control) {
		found = c.core.Find(c.now(), requestID, account)
		otherPeers = c.otherPeers()
	})
	if err != nil || found != nil {
		return found
	}
	replies := make(chan *wirepb.FoundDispatch, len(otherPeers))
	query := &envelope{Body: &wirepb.Envelope_FindDispatch{FindDispatch: &wirepb.FindDispatch{RequestId: requestID, Account: account}}}
	for _, p := range otherPeers {
		go func() {
			env, err := s.clients.Get(p.Address).Call(ctx, query)
			if err != nil {
				s.log.Debug("search for a dispatch failed", observe.Error(err))
			}
			replies <- env.GetFoundDispatch()
		}()
	}
	for range otherPeers {
		if reply := <-replies; reply.GetDispatchId() != "" {
			return reply
		}
	}
	return nil
}

// relayResumedStream resumes the stream after event lastEventID. The dispatcher
// detects the end of the dispatch from the load reports of the backend server,
// because the process that made the reservation is gone.
func (s *Server) relayResumedStream(ctx context.Context, w http.ResponseWriter, found *wirepb.FoundDispatch, requestID string, lastEventID uint64) {
	h := http.Header{}
	h.Set(lastEventHeader, strconv.FormatUint(lastEventID, 10))
	resp, err := s.backends.Do(ctx, &backend.Request{
		Backend: found.GetBackend(), Address: found.GetAddress(), ID: found.GetDispatchId(),
		Method: http.MethodGet, Path: streamsPath + found.GetDispatchId(), Header: h,
	})
	if err != nil {
		s.refuse(w, requestID, refusal.NewUnknown(refusal.BackendFailed, "backend server was not reached"))
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK || resp.Header.Get(backend.RequestIDHeader) != found.GetDispatchId() {
		s.refuse(w, requestID, refusal.NewUnknown(refusal.BackendFailed, "the stream is not kept any more"))
		return
	}
	metricResumes.Inc()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	st := relay.ResumeStream(w, found.GetDispatchId(), lastEventID)
	st.StallTimeout, st.WriteTimeout = s.settings.stall(), s.settings.callerWrite()
	forwardCtx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	defer context.AfterFunc(forwardCtx, func() { _ = resp.Body.Close() })()
	if err := st.Forward(forwardCtx, resp.Body, stop); err != nil {
		s.log.Info("resumed stream failed", observe.Error(err))
		st.Fail(refusal.NewUnknown(refusal.AnswerTruncated, err.Error()).JSON(requestID))
	}
}
