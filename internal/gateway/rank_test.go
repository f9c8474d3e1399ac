package gateway

import (
	"testing"
	"time"

	"bilberryhub/internal/enginemodel"
	"bilberryhub/internal/manifest"
	"bilberryhub/internal/placement"
)

// The priority of a client account must take precedence over that of its route,
// and the urgency at a backend server must follow the rank before the
// objective.
func TestPriorityOrdersRequests(t *testing.T) {
	version := testVersion(t, 1)
	routing := version.Manifest.Routing
	urgent, batch := &routing.Routes[2], &routing.Routes[3]
	batch.Priority = 1
	low, high := 2, 0
	for name, c := range map[string]struct {
		route   *manifest.Route
		account *manifest.RoutingAccount
		rank    int
	}{
		"most urgent route":        {urgent, nil, 0},
		"less urgent route":        {batch, nil, 1},
		"less urgent account":      {urgent, &manifest.RoutingAccount{Priority: &low}, 2},
		"more urgent account":      {batch, &manifest.RoutingAccount{Priority: &high}, 0},
		"account without priority": {batch, &manifest.RoutingAccount{}, 1},
	} {
		r := &request{version: version, route: c.route, account: c.account, service: routing.Service("model")}
		r.caller.PromptTokens = 100
		if got := r.rank(); got != c.rank {
			t.Errorf("%s: rank %d, expected %d", name, got, c.rank)
		}
		if got := r.urgency(); got != urgencyLevelsPerRank*c.rank {
			t.Errorf("%s: urgency %d, expected %d", name, got, urgencyLevelsPerRank*c.rank)
		}
	}
}

// When slots run short, less urgent requests must be refused before urgent
// ones.
func TestSlotsAreReservedForUrgentRequests(t *testing.T) {
	var works []enginemodel.Work
	for i := range 8 {
		works = append(works, enginemodel.Work{Request: uint64(i), PromptTokens: 10, PartTokens: 10, Decoding: true})
	}
	engines := []placement.Engine{{Slots: 10, Load: enginemodel.NewLoad(testSpec, works, 0, 1)}}
	if isFull(engines, 0) || !isFull(engines, 1) {
		t.Error("with 8 of 10 slots occupied, urgent requests must be admitted and less urgent ones must not")
	}
}

// A request that was deferred must not be refused for a reason for which it
// could have been refused at once, and one that was moved away from a silent
// engine must not fail because the others are busy.
func TestRefusalOfDeferredAndMovedRequests(t *testing.T) {
	var works []enginemodel.Work
	for i := range 9 {
		works = append(works, enginemodel.Work{Request: uint64(i), PromptTokens: 10, PartTokens: 10, Decoding: true})
	}
	engines := []placement.Engine{{Slots: 10, Load: enginemodel.NewLoad(testSpec, works, 0, 1)}}
	version := testVersion(t, 1)
	r := &request{version: version, route: &version.Manifest.Routing.Routes[2], service: version.Manifest.Routing.Service("model")}
	req := placement.Request{ObjectiveMs: 300, AbandonMs: 2000, Value: 1}
	for name, c := range map[string]struct {
		choice          placement.Choice
		atOnce, waiting bool
	}{
		"in time":                     {placement.Choice{FirstEventMs: 100}, false, false},
		"late at full engines":        {placement.Choice{FirstEventMs: 600}, true, false},
		"later than the caller waits": {placement.Choice{FirstEventMs: 2500}, true, true},
	} {
		r.waited = 0
		if _, refused := r.shouldRefuse(c.choice, req, engines); refused != c.atOnce {
			t.Errorf("%s: refused at once %v, expected %v", name, refused, c.atOnce)
		}
		r.attempts = 1
		if _, refused := r.shouldRefuse(c.choice, req, engines); refused != c.waiting {
			t.Errorf("%s: refused although it was sent %v, expected %v", name, refused, c.waiting)
		}
		r.attempts = 0
		r.waited = time.Second
		if _, refused := r.shouldRefuse(c.choice, req, engines); refused != c.waiting {
			t.Errorf("%s: refused after it has waited %v, expected %v", name, refused, c.waiting)
		}
	}
}
