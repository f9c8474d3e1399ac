package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/juju/errors"

	"bilberryhub/internal/placement"
)

// Guards against prompts that are larger than one engine and are refused at the first look,
// while short responses are decoded on all engines: with split_wait they wait for a better
// moment, for a share of their objective, and are refused then.
func TestPromptOfSeveralEnginesWaits(t *testing.T) {
	s := newSetup(t)
	started := s.freeze()
	for i := range 6 {
		b := s.announce(fmt.Sprintf("server-%d", i), "model", "a", fmt.Sprintf("127.0.0.1:%d", i+1))
		works := s.decoding(4)
		for w := range works {
			works[w].Request, works[w].PauseMs, works[w].Value = uint64(10*i+w+1), 20, 3
		}
		s.share(fmt.Sprint("gateway-", i+2), b, works...)
	}
	choose := func(after time.Duration, p placement.Policy) error {
		s.g.settings.Placement.Policy = p
		r := &request{version: s.g.sync.Current(), arrived: started}
		routing := r.version.Manifest.Routing
		r.route, _ = routeNamed(routing, "rigid")
		r.service = routing.Service(r.route.Targets[0].Service)
		r.deadline = started + milliseconds(r.route.TimeoutMs)
		r.caller = CallerRequest{ID: "id", PromptTokens: 250_000, ExpectedOutputTokens: 100}
		s.g.now = func() time.Duration { return started + after }
		_, err := s.g.choose(r, r.service, nil)
		return err
	}
	var overload *overloadError
	if err := choose(0, placement.Policy{}); !errors.As(err, &overload) {
		t.Fatalf("without the policy: error %v, expected a refusal", err)
	}
	wait := placement.Policy{SplitWait: 0.125}
	if err := choose(0, wait); !errors.Is(err, errDeferred) {
		t.Errorf("at the arrival: error %v, expected a wait", err)
	}
	if err := choose(5*time.Second, wait); !errors.As(err, &overload) {
		t.Errorf("after the wait: error %v, expected a refusal", err)
	}
}
