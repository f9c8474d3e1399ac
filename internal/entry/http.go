package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"bilberryhub/internal/config"
	"bilberryhub/internal/refusal"
)

// staleAfter is the age of the configuration from which answers say that it
// may be out of date.
const staleAfter = 3 * time.Second

// drainRetry is what callers are told while the process drains; the balancer
// has another process by then.
const drainRetry = time.Second

// ServeHTTP answers one request of a caller.
func (s *Server) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	id := newRequestID()
	h := w.Header()
	h.Set(requestIDHeader, id)
	v := s.sync.Current()
	if v == nil || v.Manifest == nil {
		s.refuse(w, id, refusal.New(refusal.NoConfig, "this process has no configuration yet").After(time.Second))
		return
	}
	h.Set(configIndexHeader, strconv.FormatUint(v.Index, 10))
	if age := s.configAge(); age > staleAfter {
		h.Set(configStaleHeader, strconv.FormatInt(age.Milliseconds(), 10))
	}
	if hr.Method == http.MethodGet && hr.URL.Path == modelsPath {
		s.listModels(w, hr, v, id)
		return
	}
	if hr.Method == http.MethodGet && strings.HasPrefix(hr.URL.Path, streamsPath) {
		s.resumeForCaller(w, hr, v, id)
		return
	}
	r, ref := s.admit(w, hr, v, id)
	if ref != nil {
		s.refuse(w, id, ref)
		return
	}
	s.serve(hr.Context(), w, r)
}

// serve carries out an admitted request.
func (s *Server) serve(ctx context.Context, w http.ResponseWriter, r *request) {
	if !s.requests.add(r) {
		s.refuse(w, r.id, refusal.New(refusal.Draining, "this process is stopping").After(drainRetry))
		return
	}
	defer s.requests.remove(r)
	// A caller that leaves cancels its request; a request that may run only
	// once is carried to its end, so that its outcome can be recorded.
	if r.key != "" && !r.idempotent {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadlineCause(ctx, r.deadline, errDeadline)
	defer cancel()
	stop := context.AfterFunc(s.abort, cancel)
	defer stop()

	ref, answered := s.carryOut(ctx, w, r)
	metricDuration.Update(time.Since(r.arrived).Seconds())
	s.logEnd(r, ref)
	if ref != nil && !answered {
		s.refuse(w, r.id, ref)
	}
}

func (s *Server) carryOut(ctx context.Context, w http.ResponseWriter, r *request) (ref *refusal.Error, answered bool) {
	switch {
	case !r.idempotent && r.key != "":
		return s.runClaimed(ctx, w, r)
	case r.model != nil && r.model.stream:
		return s.run(ctx, r, &streamWriter{w: w})
	default:
		return s.run(ctx, r, &bufferWriter{w: w})
	}
}

func (s *Server) refuse(w http.ResponseWriter, id string, ref *refusal.Error) {
	countRefusal(ref)
	s.log.Debug("request refused", zap.String("request_id", id), zap.String("code", string(ref.Code)),
		zap.String("run", string(ref.Run)), zap.String("reason", ref.Message))
	ref.Write(w, id)
}

func (s *Server) logEnd(r *request, ref *refusal.Error) {
	fields := []zap.Field{
		zap.String("request_id", r.id), zap.String("account", r.account.Name), zap.String("service", r.service.Name),
		zap.Duration("took", time.Since(r.arrived)),
	}
	if b := r.backend.Load(); b != nil {
		fields = append(fields, zap.String("backend_server", *b))
	}
	if ref == nil {
		s.log.Debug("request finished", fields...)
		return
	}
	s.log.Info("request failed", append(fields, zap.String("code", string(ref.Code)),
		zap.String("run", string(ref.Run)), zap.String("reason", ref.Message))...)
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

// listModels lists the models that the account may use.
func (s *Server) listModels(w http.ResponseWriter, hr *http.Request, v *config.Version, id string) {
	account, ref := authenticate(hr, v.Manifest)
	if ref != nil {
		s.refuse(w, id, ref)
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
