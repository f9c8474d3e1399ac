package entry

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"bilberryhub/internal/backend"
	"bilberryhub/internal/config"
	"bilberryhub/internal/observe"
	"bilberryhub/internal/peers"
	"bilberryhub/internal/refusal"
	"bilberryhub/internal/relay"
	"bilberryhub/internal/wirepb"
)

// streamsPath is where a caller continues a stream whose entry process was
// lost: GET streamsPath + request id, with Last-Event-ID. An engine keeps an
// interrupted stream for a few seconds, so the caller must come back at once.
const streamsPath = "/v1/streams/"

// findTimeout bounds the search for the dispatch.
const findTimeout = 500 * time.Millisecond

// resumeForCaller continues a stream of the account that asks.
func (s *Server) resumeForCaller(w http.ResponseWriter, hr *http.Request, v *config.Version, id string) {
	account, ref := authenticate(hr, v.Manifest)
	if ref != nil {
		s.refuse(w, id, ref)
		return
	}
	requestID := strings.TrimPrefix(hr.URL.Path, streamsPath)
	last, err := strconv.ParseUint(hr.Header.Get(lastEventHeader), 10, 64)
	if err != nil {
		s.refuse(w, id, refusal.New(refusal.BadHeader, lastEventHeader+" is not the number of an event"))
		return
	}
	found := s.findDispatch(hr.Context(), requestID, account.Name)
	if found == nil {
		s.refuse(w, id, refusal.Unknown(refusal.BackendFailed, "no running request of this account has this id"))
		return
	}
	service, ok := v.Manifest.Service(found.GetService())
	if !ok {
		s.refuse(w, id, refusal.Unknown(refusal.BackendFailed, "the service of this request is gone"))
		return
	}
	r := &request{id: id, version: v, account: account, service: service, idempotent: true, arrived: time.Now()}
	r.deadline = r.arrived.Add(time.Duration(found.GetDeadlineMs()) * time.Millisecond)
	r.setBackend(found.GetBackend())
	if !s.requests.add(r) {
		s.refuse(w, id, refusal.New(refusal.Draining, "this process is stopping").After(drainRetry))
		return
	}
	defer s.requests.remove(r)
	ctx, cancel := context.WithDeadlineCause(hr.Context(), r.deadline, errDeadline)
	defer cancel()
	defer context.AfterFunc(s.abort, cancel)()
	r.setPhase(phaseAnswering)
	w.Header().Set(requestIDHeader, requestID)
	s.relayFound(ctx, w, found, requestID, last)
}

// findDispatch asks all dispatchers, this process included.
func (s *Server) findDispatch(ctx context.Context, requestID, account string) *wirepb.FoundDispatch {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	var found *wirepb.FoundDispatch
	var others []peers.Peer
	err := s.loop.do(ctx, func(c *control) {
		found = c.core.Find(c.now(), requestID, account)
		others = c.others()
	})
	if err != nil || found != nil {
		return found
	}
	answers := make(chan *wirepb.FoundDispatch, len(others))
	ask := &envelope{Body: &wirepb.Envelope_FindDispatch{FindDispatch: &wirepb.FindDispatch{RequestId: requestID, Account: account}}}
	for _, p := range others {
		go func() {
			env, err := s.clients.Get(p.Address).Call(ctx, ask)
			if err != nil {
				s.log.Debug("search for a dispatch failed", observe.Error(err))
			}
			answers <- env.GetFoundDispatch()
		}()
	}
	for range others {
		if f := <-answers; f.GetDispatchId() != "" {
			return f
		}
	}
	return nil
}

// relayFound continues the stream after event last. The dispatcher learns of
// its end from the backend server's reports, because the process that reserved
// it is gone.
func (s *Server) relayFound(ctx context.Context, w http.ResponseWriter, f *wirepb.FoundDispatch, requestID string, last uint64) {
	h := http.Header{}
	h.Set(lastEventHeader, strconv.FormatUint(last, 10))
	resp, err := s.backends.Do(ctx, &backend.Request{
		Backend: f.GetBackend(), Address: f.GetAddress(), ID: f.GetDispatchId(),
		Method: http.MethodGet, Path: streamsPath + f.GetDispatchId(), Header: h,
	})
	if err != nil {
		s.refuse(w, requestID, refusal.Unknown(refusal.BackendFailed, "backend server was not reached"))
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK || resp.Header.Get(backend.RequestIDHeader) != f.GetDispatchId() {
		s.refuse(w, requestID, refusal.Unknown(refusal.BackendFailed, "the stream is not kept any more"))
		return
	}
	metricResumes.Inc()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	st := relay.ResumeStream(w, f.GetDispatchId(), last)
	st.Stall, st.WriteTimeout = s.settings.stall(), s.settings.callerWrite()
	fctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	defer context.AfterFunc(fctx, func() { _ = resp.Body.Close() })()
	if err := st.Forward(fctx, resp.Body, stop); err != nil {
		s.log.Info("resumed stream failed", observe.Error(err))
		st.Fail(refusal.Unknown(refusal.AnswerTruncated, err.Error()).JSON(requestID))
	}
}
