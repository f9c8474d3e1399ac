package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"bilberryhub/internal/explain"
)

// explainedRoutes are the explanations of a fake gateway, by route.
func explainedRoutes() map[string]explain.Document {
	age, idle := 210.0, 0.3102
	busy, full := 1.2, 3.0
	engines := explain.Service{
		Service: "chat", Share: 1, ByEngineModel: true,
		Candidates: []explain.Candidate{
			{
				BackendServer: "engine-1", FailureDomain: "d1", Slots: 12, OpenRequests: 3, BacklogMs: 41.7, MemoryTokens: 30_000, Slowness: 1,
				AnnouncementAgeMs: 310, LoadShareAgeMs: &age, FirstEventMs: 110.2, Cost: &idle,
				CostParts: map[string]float64{"first_event": 0.01, "packing": 0.3, "remote": 0.0002, "busy": 0},
			},
			{
				BackendServer: "engine-2", FailureDomain: "d2", Slots: 12, OpenRequests: 12, Slowness: 1.7, FailureShare: 0.12, Avoided: true,
				Cold: true, Spared: true, AnnouncementAgeMs: 90, FirstEventMs: 800, Cost: &busy, CostParts: map[string]float64{"slot_wait": 1.2},
			},
			{BackendServer: "engine-3", FailureDomain: "d1", Slots: 12, OpenRequests: 20, Slowness: 1, NoRoom: true, Cost: &full},
			{BackendServer: "engine-4", FailureDomain: "d1", Slots: 12, Slowness: 1, Excluded: "paused", PausedMs: 1200},
			{BackendServer: "engine-5", FailureDomain: "d1", Slots: 12, Slowness: 1, Excluded: "leaving", Leaving: true},
		},
		Choice: &explain.Choice{BackendServer: "engine-1", Helpers: []string{"engine-2", "engine-6"}, Holders: 1, HeldTokens: 50_000, FirstEventMs: 110.2},
	}
	deferred, refused := engines, engines
	deferred.Candidates, deferred.Choice, deferred.Share = nil, nil, 0.25
	deferred.Deferral = &explain.Deferral{Reason: "a later moment costs others less", WaitMs: 50, LongestMs: 1500}
	refused.Candidates, refused.Choice, refused.Share = nil, nil, 0.75
	refused.Refusal = &explain.Refusal{Status: 503, Reason: "all backend servers are busy", RetryAfterMs: 1234, FirstEventMs: 2500}
	plain := explain.Service{Service: "files", Share: 1, RandomCost: 0.001, Candidates: engines.Candidates[:1], Choice: &explain.Choice{BackendServer: "engine-1"}}
	doc := explain.Document{
		Gateway: "gw-1", FailureDomain: "d1", PromptTokens: 5000, OutputTokens: 512, ObjectiveMs: 280, ConfigIndex: 7, ConfigAgeMs: 40, Gateways: 75,
		LoadShares: explain.LoadShares{Count: 73, NewestMs: 3, OldestMs: 390},
	}
	out := map[string]explain.Document{}
	for route, services := range map[string][]explain.Service{"chat": {engines}, "busy": {deferred, refused}, "files": {plain}} {
		doc.Route, doc.Services = route, services
		out[route] = doc
	}
	doc = out["files"]
	doc.NotReady, doc.Account, doc.LoadShares = "stopping", "acme", explain.LoadShares{}
	out["files"] = doc
	return out
}

// fakeGateway serves the admin address of a gateway.
func fakeGateway(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != explain.Path {
		http.NotFound(w, r)
		return
	}
	q := r.URL.Query()
	doc, ok := explainedRoutes()[q.Get(explain.ParamRoute)]
	w.Header().Set("Content-Type", "application/json")
	var response any = doc
	switch route := q.Get(explain.ParamRoute); {
	case route == "query":
		w.WriteHeader(http.StatusNotFound)
		response = explain.Error{Error: fmt.Sprintf("the query is %q", r.URL.RawQuery)}
	case route == "starting":
		w.WriteHeader(http.StatusServiceUnavailable)
		response = explain.Error{Error: "no configuration is known yet"}
	case route == "broken":
		w.WriteHeader(http.StatusInternalServerError)
		return
	case !ok:
		w.WriteHeader(http.StatusNotFound)
		response = explain.Error{Error: fmt.Sprintf("unknown route %q", route)}
	}
	_ = json.NewEncoder(w).Encode(response)
}

// Guards against output that hides a candidate or a reason, and against exit codes that a
// script can't tell apart: a query that the gateway refuses, wrong usage, and a gateway that
// doesn't answer.
func TestExplain(t *testing.T) {
	gateway := httptest.NewServer(http.HandlerFunc(fakeGateway))
	defer gateway.Close()
	earlier := httptest.NewServer(http.NotFoundHandler())
	defer earlier.Close()
	addresses := strings.NewReplacer(
		"GATEWAY", strings.TrimPrefix(gateway.URL, "http://"), "EARLIER", strings.TrimPrefix(earlier.URL, "http://"))
	names := strings.NewReplacer(
		strings.TrimPrefix(gateway.URL, "http://"), "GATEWAY", strings.TrimPrefix(earlier.URL, "http://"), "EARLIER")
	datadriven.RunTest(t, "testdata/explain", func(t *testing.T, d *datadriven.TestData) string {
		var all strings.Builder
		for line := range strings.Lines(addresses.Replace(d.Input)) {
			out, code := execute(t, t.TempDir(), strings.Fields(line)...)
			fmt.Fprintf(&all, "%sexit %d\n", names.Replace(out), code)
		}
		return all.String()
	})
}

// Guards against a command that waits forever for a gateway that accepts connections and
// sends nothing.
func TestExplainOfSilentGateway(t *testing.T) {
	gone := make(chan struct{})
	gateway := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-gone }))
	defer gateway.Close()
	defer close(gone)
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	var out, errs bytes.Buffer
	code := Run(ctx, []string{"explain", "-gateway", strings.TrimPrefix(gateway.URL, "http://"), "-route", "chat"}, &out, &errs)
	if code != ExitUnreachable || out.Len() > 0 || !strings.Contains(errs.String(), "deadline exceeded") {
		t.Errorf("exit %d with %q and %q", code, out.String(), errs.String())
	}
}
