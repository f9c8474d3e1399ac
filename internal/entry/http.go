package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"bilberryhub/internal/callerconn"
	"bilberryhub/internal/config"
	"bilberryhub/internal/refusal"
)

// configStaleAfter is the age above which the configuration may be out of date.
// Responses then carry its age in a header.
const configStaleAfter = 3 * time.Second

// drainRetryAfter is the retry delay in refusals while the process drains. By then
// the load balancer sends the caller to another process.
const drainRetryAfter = time.Second

// ServeHTTP serves one request of a caller.
func (s *Server) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	callerconn.LimitBodyTime(w, hr, bodyReadTimeout)
	id := newRequestID()
	h := w.Header()
	h.Set(requestIDHeader, id)
	v := s.sync.Current()
	if v == nil || v.Manifest == nil {
		s.refuse(w, id, refusal.New(refusal.NoConfig, "this process has no configuration yet").WithRetryAfter(time.Second))
		return
	}
	h.Set(configIndexHeader, strconv.FormatUint(v.Index, 10))
	if age := s.configAge(); age > configStaleAfter {
		h.Set(configStaleHeader, strconv.FormatInt(age.Milliseconds(), 10))
	}
	if hr.Method == http.MethodGet && hr.URL.Path == modelsPath {
		s.listModels(w, hr, v, id)
		return
	}
	if hr.Method == http.MethodGet && strings.HasPrefix(hr.URL.Path, streamsPath) {
		s.serveStreamResume(w, hr, v, id)
		return
	}
	account, refErr := authenticate(hr, v.Manifest)
	if refErr != nil {
		s.refuse(w, id, refErr)
		return
	}
	held, err := s.budget.Reserve("account "+account.Name, 0)
	defer held.Release()
	if err != nil {
		s.refuse(w, id, s.bodyRefusal(w, id, err))
		return
	}
	r, refErr := s.admit(w, hr, v, id, account, held)
	if refErr != nil {
		s.refuse(w, id, refErr)
		return
	}
	s.serve(hr.Context(), w, r)
}

// serve executes an admitted request and writes the refusal if it fails before a
// response has started.
func (s *Server) serve(ctx context.Context, w http.ResponseWriter, r *request) {
	if !s.requests.add(r) {
		s.refuse(w, r.id, refusal.New(refusal.Draining, "this process is stopping").WithRetryAfter(drainRetryAfter))
		return
	}
	defer s.requests.remove(r)
	// If a caller disconnects, its request is cancelled. A request that has an
	// idempotency key and may run only once continues, so that its outcome can be
	// recorded.
	if r.key != "" && !r.idempotent {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadlineCause(ctx, r.deadline, errDeadline)
	defer cancel()
	stop := context.AfterFunc(s.abortCtx, cancel)
	defer stop()

	refErr, responseStarted := s.execute(ctx, w, r)
	metricDuration.Update(time.Since(r.arrived).Seconds())
	s.logCompletion(r, refErr)
	if refErr != nil && !responseStarted {
		s.refuse(w, r.id, refErr)
	}
	if r.isCut {
		// The connection ends without the end of the response.
		panic(http.ErrAbortHandler)
	}
}

// execute runs a request with a claim, as a stream or with a buffered response.
// responseStarted is set if the caller has received bytes of a response.
func (s *Server) execute(ctx context.Context, w http.ResponseWriter, r *request) (refErr *refusal.Error, responseStarted bool) {
	switch {
	case !r.idempotent && r.key != "":
		return s.runClaimed(ctx, w, r)
	case r.model != nil && r.model.stream:
		return s.run(ctx, r, &streamRelay{w: w})
	default:
		return s.run(ctx, r, &bufferedRelay{w: w})
	}
}

// refuse counts and logs a refusal and writes it as the response.
func (s *Server) refuse(w http.ResponseWriter, id string, refErr *refusal.Error) {
	countRefusal(refErr)
	s.log.Debug("request refused", zap.String("request_id", id), zap.String("code", string(refErr.Code)),
		zap.String("run", string(refErr.Run)), zap.String("reason", refErr.Message))
	refErr.Write(w, id)
}

// logCompletion logs the end of a request, which failed if refErr is not nil.
func (s *Server) logCompletion(r *request, refErr *refusal.Error) {
	fields := []zap.Field{
		zap.String("request_id", r.id), zap.String("account", r.account.Name), zap.String("service", r.service.Name),
		zap.Duration("took", time.Since(r.arrived)),
	}
	if b := r.backend.Load(); b != nil {
		fields = append(fields, zap.String("backend_server", *b))
	}
	if refErr == nil {
		s.log.Debug("request finished", fields...)
		return
	}
	s.log.Info("request failed", append(fields, zap.String("code", string(refErr.Code)),
		zap.String("run", string(refErr.Run)), zap.String("reason", refErr.Message))...)
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// listModels responds with the models that the account may use.
func (s *Server) listModels(w http.ResponseWriter, hr *http.Request, v *config.Version, id string) {
	account, refErr := authenticate(hr, v.Manifest)
	if refErr != nil {
		s.refuse(w, id, refErr)
		return
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, service := range v.Manifest.Services {
		if _, ok := v.Manifest.Grant(account.Name, service.Name); !ok {
			continue
		}
		for _, model := range service.Models {
			list.Data = append(list.Data, modelItem{ID: model, Object: "model", OwnedBy: service.Name})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}
