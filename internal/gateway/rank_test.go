package gateway

import (
	"testing"

	"bilberryhub/internal/enginemodel"
	"bilberryhub/internal/manifest"
	"bilberryhub/internal/placement"
)

// The priority of a client account takes precedence over its route's, and the
// urgency at a backend server follows the rank before the objective.
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
		"most urgent route":         {urgent, nil, 0},
		"less urgent route":         {batch, nil, 1},
		"less urgent account":       {urgent, &manifest.RoutingAccount{Priority: &low}, 2},
		"more urgent account":       {batch, &manifest.RoutingAccount{Priority: &high}, 0},
		"account without statement": {batch, &manifest.RoutingAccount{}, 1},
	} {
		r := &request{version: version, route: c.route, account: c.account, service: routing.Service("model")}
		r.caller.PromptTokens = 100
		if got := r.rank(); got != c.rank {
			t.Errorf("%s: rank %d, expected %d", name, got, c.rank)
		}
		if got := r.urgency(); got != urgencyPerRank*c.rank {
			t.Errorf("%s: urgency %d, expected %d", name, got, urgencyPerRank*c.rank)
		}
	}
}

// While places run short, the less urgent must be refused before the urgent.
func TestPlacesAreKeptForTheUrgent(t *testing.T) {
	var works []enginemodel.Work
	for i := range 8 {
		works = append(works, enginemodel.Work{Request: uint64(i), PromptTokens: 10, PartTokens: 10, Writing: true})
	}
	engines := []placement.Engine{{Slots: 10, Load: enginemodel.NewLoad(testSpec, works, 0, 1)}}
	if crowded(engines, 0) || !crowded(engines, 1) {
		t.Error("with 8 of 10 places taken, urgent requests must be admitted and less urgent ones must not")
	}
}
