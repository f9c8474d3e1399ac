package gateway

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"net/url"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bilberryhub/internal/bootclock"
	"bilberryhub/internal/ctl"
	"bilberryhub/internal/enginemodel"
	"bilberryhub/internal/explain"
	"bilberryhub/internal/fleet"
	"bilberryhub/internal/manifest"
	"bilberryhub/internal/wirepb"
)

// explained returns the explanation that the admin server of the gateway gives.
func (s *setup) explained(query string) (status int, doc explain.Document, text string) {
	s.t.Helper()
	mux := http.NewServeMux()
	s.g.newAdmin().Register(mux)
	w := httptest.NewRecorder()
	mux.ServeHTTP(w, httptest.NewRequest(http.MethodGet, explain.Path+"?"+query, nil))
	text = w.Body.String()
	if w.Code == http.StatusOK {
		if err := json.Unmarshal(w.Body.Bytes(), &doc); err != nil {
			s.t.Fatalf("%v in %s", err, text)
		}
	}
	return w.Code, doc, text
}

// explainedService returns the explanation for the only service of a route.
func (s *setup) explainedService(query string) explain.Service {
	s.t.Helper()
	status, doc, text := s.explained(query)
	if status != http.StatusOK || len(doc.Services) != 1 {
		s.t.Fatalf("status %d: %s", status, text)
	}
	return doc.Services[0]
}

// freeze stops the clock of choices, so that nothing depends on the speed of the machine.
func (s *setup) freeze() (now time.Duration) {
	now = bootclock.Now()
	s.g.now = func() time.Duration { return now }
	return now
}

// share lets another gateway share work at a backend server.
func (s *setup) share(gateway string, b *fleet.BackendServer, works ...enginemodel.Work) {
	now := s.g.now()
	received := &share{incarnation: 1, sequence: 1, at: now, lifetime: time.Minute}
	for _, w := range works {
		received.jobs = append(received.jobs, job{backend: b.Key(), sent: now, work: w})
	}
	s.g.workTable.mu.Lock()
	defer s.g.workTable.mu.Unlock()
	s.g.workTable.others[gateway] = received
}

// decoding returns n requests that are being decoded.
func (s *setup) decoding(n int) (out []enginemodel.Work) {
	now := ms(s.g.now())
	for i := range n {
		out = append(out, enginemodel.Work{
			Request: uint64(i + 1), SentMs: now - 100, PromptTokens: 1000, PartTokens: 1000, OutputTokens: 500, Decoding: true,
			DoneMs: now - 50, PauseMs: 250, ObjectiveMs: 300, Value: 1,
		})
	}
	return out
}

// realChoice makes the choice that query explains.
func (s *setup) realChoice(route string, prompt, output int64) (*pick, error) {
	r := &request{version: s.g.sync.Current(), arrived: s.g.now()}
	routing := r.version.Manifest.Routing
	r.route, _ = routeNamed(routing, route)
	r.service = routing.Service(r.route.Targets[0].Service)
	r.deadline = r.arrived + milliseconds(r.route.TimeoutMs)
	r.caller = CallerRequest{ID: "id", PromptTokens: prompt, ExpectedOutputTokens: output}
	return s.g.choose(r, r.service, nil)
}

// Guards against an explanation that differs from what happens: the backend server and the
// helpers that it names are those that the next request takes, with the same prediction.
func TestExplanationNamesTheChoice(t *testing.T) {
	for name, c := range map[string]struct {
		route          string
		prompt, output int64
	}{
		"plain":                        {"safe", 0, 0},
		"model request without prompt": {"stream", 0, 0},
		"short prompt":                 {"stream", 2_000, 100},
		"long prompt":                  {"rigid", 95_000, 100},
		"prompt of several engines":    {"rigid", 250_000, 100},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSetup(t)
			s.freeze()
			service := "model"
			if c.route == "safe" {
				service = "plain"
			}
			for i := range 6 {
				b := s.announce(fmt.Sprintf("server-%d", i), service, string(rune('a'+i%2)), fmt.Sprintf("10.0.0.%d:80", i+1))
				if i != 2 {
					s.share(fmt.Sprint("gateway-", i+2), b, s.decoding(1+i%3)...)
				}
			}
			chosen := 0
			for range 12 {
				query := fmt.Sprintf("route=%s&prompt-tokens=%d&output-tokens=%d&account=account-1", c.route, c.prompt, c.output)
				got := s.explainedService(query)
				p, err := s.realChoice(c.route, c.prompt, c.output)
				if err != nil {
					if got.Choice != nil {
						t.Fatalf("explained as %+v, refused with %v", got.Choice, err)
					}
					break
				}
				chosen++
				if got.Choice == nil {
					t.Fatalf("explained as a refusal %+v, chosen is %s", got.Refusal, p.backend.ID)
				}
				var helpers []string
				for _, h := range p.helpers {
					helpers = append(helpers, h.ID)
				}
				best := got.Candidates[0]
				if got.RandomCost > 0 {
					// Equal costs are decided at random.
					for i := range got.Candidates {
						if o := got.Candidates[i]; o.BackendServer == p.backend.ID && *o.Cost <= *best.Cost+got.RandomCost {
							best = o
						}
					}
					got.Choice.BackendServer = best.BackendServer
				}
				if p.backend.ID != got.Choice.BackendServer || !reflect.DeepEqual(helpers, got.Choice.Helpers) || best.BackendServer != p.backend.ID {
					t.Fatalf("explained %+v, lowest cost %s, chosen %s with %v", got.Choice, best.BackendServer, p.backend.ID, helpers)
				}
				if p.predictedMs != got.Choice.FirstEventMs {
					t.Errorf("explained %v ms, predicted %v ms", got.Choice.FirstEventMs, p.predictedMs)
				}
				sum := 0.0
				for _, part := range best.CostParts {
					sum += part
				}
				if diff := sum - *best.Cost; diff > 1e-9 || diff < -1e-9 {
					t.Errorf("the parts %v add up to %v, not %v", best.CostParts, sum, *best.Cost)
				}
			}
			if t.Logf("%d choices", chosen); chosen == 0 {
				t.Error("nothing is chosen, so that the test shows nothing")
			}
		})
	}
}

// stateOf returns all that an explanation might change, as text.
func (s *setup) stateOf() string {
	g := s.g
	var b bytes.Buffer
	g.workTable.mu.Lock()
	defer g.workTable.mu.Unlock()
	fmt.Fprintln(&b, len(g.workTable.local), g.workTable.coldSends, len(g.workTable.endedWork), len(g.workTable.usedDomains))
	fmt.Fprintln(&b, len(g.workTable.added), len(g.workTable.progressed), len(g.workTable.received))
	for _, id := range []string{"expired", "gateway-2"} {
		if o := g.workTable.others[id]; o != nil {
			fmt.Fprintln(&b, id, *o)
		}
	}
	fmt.Fprintln(&b, g.limits.list(), g.notices.table)
	for _, server := range []string{"s1", "s2", "s3"} {
		key := g.members.backend(server).Key()
		fmt.Fprintln(&b, server, g.limits.table.Allows(g.now(), key, g.members.sender()))
		if p := g.health.backends[key]; p != nil {
			fmt.Fprintf(&b, "%+v %v\n", *p, maps.Clone(p.peers))
		}
	}
	fmt.Fprintln(&b, len(g.health.backends), g.open.Load(), len(g.reachability.attempts))
	fmt.Fprintln(&b, noticesRespected.Get(), limitsApplied.Get(), limitsChanged.Get(), lateRequests.Get())
	var all bytes.Buffer
	metrics.WritePrometheus(&all, false)
	for line := range strings.Lines(all.String()) {
		if strings.Contains(line, "_total") {
			b.WriteString(line)
		}
	}
	return b.String()
}

// Guards against an explanation with side effects: an operator who asks often must not use
// up the permits of a limited backend server, the rate of a cold one or the retry budget,
// add work that is never removed, or count in the metrics.
func TestExplanationChangesNothing(t *testing.T) {
	s := newSetup(t)
	clock := s.freeze()
	version := testVersion(t, 1)
	for i := range version.Manifest.Routing.Services {
		version.Manifest.Routing.Services[i].ColdPerSecond = 2
	}
	s.config.set(version, 0)
	for _, service := range []string{"plain", "model"} {
		t.Run(service, func(t *testing.T) {
			for i, id := range []string{"s1", "s2", "s3", "s4", "s5"} {
				s.announce(id, service, "a", fmt.Sprintf("10.0.0.%d:80", i+1)).Service = service
			}
			for _, id := range []string{"s1", "s2"} {
				s.g.members.backend(id).ColdUntil = clock + time.Minute
			}
			key := func(id string) uint64 { return s.g.members.backend(id).Key() }
			// The first send no longer counts, so that a check might drop it.
			s.g.workTable.coldSends = map[uint64][]time.Duration{key("s1"): {clock - 2*coldWindow, clock}, key("s2"): {clock, clock}}
			s.g.limits.table.RecordLimit(clock-time.Second, key("s3"), 3)
			s.g.notices.table.RecordLeaving(key("s4"))
			s.g.notices.table.RecordPause(key("s5"), time.Second, clock, 0)
			s.g.health.record(key("s1"), outcomeFailed, clock-3*time.Second)
			s.g.health.mergeVerdicts("gateway-2", []*wirepb.Verdict{{Backend: key("s1"), FailedHundredths: 10}}, clock-time.Minute)
			s.share("gateway-2", s.g.members.backend("s1"), s.decoding(2)...)
			s.share("expired", s.g.members.backend("s2"), s.decoding(2)...)
			s.g.workTable.others["expired"].at = clock - time.Hour
			before := s.stateOf()
			for i := range 20 {
				route := map[string]string{"plain": "safe", "model": "stream"}[service]
				s.explainedService(fmt.Sprintf("route=%s&prompt-tokens=%d", route, i*5_000))
			}
			if after := s.stateOf(); after != before {
				t.Errorf("before:\n%s\nafter:\n%s", before, after)
			}
		})
	}
}

// Guards against a refusal that the explanation hides or words differently: it names the
// status, the reason and the Retry-After that a caller gets.
func TestExplanationOfRefusals(t *testing.T) {
	for name, c := range map[string]struct {
		prepare func(s *setup, b *fleet.BackendServer)
		route   string
		prompt  int
		reason  string
		// least and most bound the Retry-After.
		least, most time.Duration
	}{
		"no backend server": {func(_ *setup, b *fleet.BackendServer) { b.Draining = true }, "stream", 100, errNoBackend.Error(), 600 * time.Millisecond, 1400 * time.Millisecond},
		"too large":         {func(*setup, *fleet.BackendServer) {}, "stream", 300_000, errTooLarge.Error(), retryAfterTooLarge, retryAfterTooLarge},
		"no memory":         {func(s *setup, b *fleet.BackendServer) { s.share("gateway-2", b, s.decoding(20)...) }, "stream", 100, errFull.Error(), 600 * time.Millisecond, 1400 * time.Millisecond},
		"overloaded": {func(s *setup, b *fleet.BackendServer) {
			works := s.decoding(5)
			works = append(works, enginemodel.Work{
				Request: 9, SentMs: ms(s.g.now()), PromptTokens: 80_000, PartTokens: 80_000, OutputTokens: 10, Value: 1, ObjectiveMs: 300,
			})
			slow := *testSpec
			slow.PrefillTokensPerSecond = 10_000
			s.config.version.Manifest.Routing.Service("model").Engine = &slow
			s.share("gateway-2", b, works...)
		}, "stream", 100, (&overloadError{}).Error(), 600 * time.Millisecond, 5 * time.Second},
		"paused": {func(s *setup, b *fleet.BackendServer) {
			s.g.notices.table.RecordPause(b.Key(), 1200*time.Millisecond, s.g.now(), 0)
		}, "stream", 100, (&pausedError{}).Error(), 1200 * time.Millisecond, 1200 * time.Millisecond},
		"leaving": {func(s *setup, b *fleet.BackendServer) { s.g.notices.table.RecordLeaving(b.Key()) }, "stream", 100, errLeaving.Error(), 600 * time.Millisecond, 1400 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSetup(t)
			s.freeze()
			c.prepare(s, s.announce("s1", "model", "a", "127.0.0.1:1"))
			got := s.explainedService(fmt.Sprintf("route=%s&prompt-tokens=%d", c.route, c.prompt))
			if got.Refusal == nil || got.Choice != nil || got.Deferral != nil {
				t.Fatalf("explained as %+v", got)
			}
			retryAfter := time.Duration(got.Refusal.RetryAfterMs * float64(time.Millisecond))
			if got.Refusal.Status != http.StatusServiceUnavailable || got.Refusal.Reason != c.reason || retryAfter < c.least || retryAfter > c.most {
				t.Errorf("refusal %+v, expected 503 with %q and a Retry-After from %s to %s", got.Refusal, c.reason, c.least, c.most)
			}
			resp, body, err := s.call("/"+c.route+"/x", "X-Prompt", fmt.Sprint(c.prompt), "X-Wait-Ms", "5000")
			if err != nil || resp.StatusCode != got.Refusal.Status || !strings.Contains(body, c.reason) {
				t.Errorf("a caller gets %v, %v with %q", resp, err, body)
			}
		})
	}
}

// Guards against a backend server that is left out without a reason, or for another reason
// than the choice has.
func TestExplanationNamesExcludedServers(t *testing.T) {
	s := newSetup(t)
	now := s.freeze()
	version := testVersion(t, 1, "out")
	version.Manifest.Routing.Service("plain").ColdPerSecond = 1
	s.config.set(version, 0)
	for name, prepare := range map[string]func(b *fleet.BackendServer){
		"good":     func(*fleet.BackendServer) {},
		"draining": func(b *fleet.BackendServer) { b.Draining = true },
		"gone":     func(b *fleet.BackendServer) { b.Gone = true },
		"cold": func(b *fleet.BackendServer) {
			b.ColdUntil = now + time.Minute
			s.g.workTable.recordColdSend(b.Key(), now)
		},
		"dead":    func(b *fleet.BackendServer) { s.g.health.record(b.Key(), outcomeDead, bootclock.Now()) },
		"leaving": func(b *fleet.BackendServer) { s.g.notices.table.RecordLeaving(b.Key()) },
		"paused":  func(b *fleet.BackendServer) { s.g.notices.table.RecordPause(b.Key(), time.Minute, now, 0) },
		"limited": func(b *fleet.BackendServer) {
			s.g.limits.table.RecordLimit(now, b.Key(), 1)
			for range 10 {
				s.g.takePermit(b.Key(), now)
			}
		},
	} {
		prepare(s.announce(name, "plain", "a", name+":80"))
	}
	s.announce("ordered out", "plain", "out", "out:80")
	s.announce("cut off", "plain", "far", "far:80")
	s.announce("other service", "model", "a", "other:80")
	s.g.reachability.mu.Lock()
	for backend := uint64(0); !s.g.reachability.table.IsUnreachable("far"); backend++ {
		s.g.reachability.table.RecordFailure("far", backend, now)
	}
	s.g.reachability.mu.Unlock()
	got := s.explainedService("route=safe")
	want := map[string]string{
		"good": "", "draining": "draining", "gone": "gone", "cold": "cold, and", "dead": "dead: ", "leaving": "leaving", "paused": "paused",
		"limited": "limited, and", "ordered out": "out of service by order 1", "cut off": "failure domain is unreachable",
	}
	if len(got.Candidates) != len(want) || got.Candidates[0].BackendServer != "good" || got.Choice == nil || got.Choice.BackendServer != "good" {
		t.Errorf("explained as %+v", got)
	}
	for _, c := range got.Candidates {
		reason, ok := want[c.BackendServer]
		if !ok || !strings.Contains(c.Excluded, reason) || (reason == "") != (c.Excluded == "") || (c.Excluded == "") != (c.Cost != nil) {
			t.Errorf("%s is excluded as %q with cost %v, expected %q", c.BackendServer, c.Excluded, c.Cost, reason)
		}
	}
	for _, c := range got.Candidates {
		for _, fact := range []struct {
			server string
			got    bool
		}{
			{"gone", c.Gone},
			{"cold", c.Cold},
			{"dead", c.Dead},
			{"leaving", c.Leaving},
			{"paused", c.PausedMs > 50_000},
			{"limited", c.Limited},
			{"cut off", c.Unreachable},
		} {
			if want := c.BackendServer == fact.server || c.BackendServer == "draining" && fact.server == "gone"; fact.got != want {
				t.Errorf("%s: %s is %v", c.BackendServer, fact.server, fact.got)
			}
		}
	}
}

// Guards against ages that don't belong to what the gateway knows: those of the last
// announcement and of the load share that tells of work at a backend server.
func TestExplanationStatesAges(t *testing.T) {
	s := newSetup(t)
	busy, idle := s.announce("busy", "model", "a", "10.0.0.1:80"), s.announce("idle", "model", "a", "10.0.0.2:80")
	now := s.freeze()
	busy.SeenAt, idle.SeenAt = now-700*time.Millisecond, now-200*time.Millisecond
	s.share("gateway-2", busy, s.decoding(3)...)
	s.g.workTable.others["gateway-2"].at = now - 300*time.Millisecond
	s.share("gateway-3", busy, s.decoding(1)...)
	s.g.workTable.others["gateway-3"].at = now - 100*time.Millisecond
	_, doc, _ := s.explained("route=stream&prompt-tokens=100")
	if l := doc.LoadShares; l != (explain.LoadShares{Count: 2, NewestMs: 100, OldestMs: 300}) {
		t.Errorf("load shares %+v", l)
	}
	for _, c := range doc.Services[0].Candidates {
		switch c.BackendServer {
		case "busy":
			if c.LoadShareAgeMs == nil || *c.LoadShareAgeMs != 100 || c.AnnouncementAgeMs != 700 || c.OpenRequests != 4 || c.MemoryTokens != 4*1500 {
				t.Errorf("busy: %+v", c)
			}
		case "idle":
			if c.LoadShareAgeMs != nil || c.AnnouncementAgeMs != 200 || c.OpenRequests != 0 {
				t.Errorf("idle: %+v", c)
			}
		}
	}
}

// Guards against errors that an operator takes for an answer, or for a fault of the gateway.
func TestExplanationOfBadQueries(t *testing.T) {
	s := newSetup(t)
	for query, want := range map[string]int{
		"route=safe":                   http.StatusOK,
		"route=nowhere":                http.StatusNotFound,
		"route=safe&account=nobody":    http.StatusNotFound,
		"route=safe&account=account-1": http.StatusOK,
		"":                             http.StatusBadRequest,
		"route=safe&prompt-tokens=-1":  http.StatusBadRequest,
		"route=safe&output-tokens=x":   http.StatusBadRequest,
		"route=safe&prompt_tokens=5":   http.StatusBadRequest,
		"route=safe&route=stream":      http.StatusBadRequest,
	} {
		status, _, text := s.explained(query)
		if status != want {
			t.Errorf("%s: status %d with %s, expected %d", query, status, text, want)
		}
		if parsed := (explain.Error{}); want != http.StatusOK && (json.Unmarshal([]byte(text), &parsed) != nil || parsed.Error == "") {
			t.Errorf("%s: no error text in %s", query, text)
		}
	}
	version := testVersion(t, 2)
	routes := &version.Manifest.Routing.Routes
	(*routes)[1].Name = "safe"
	s.config.set(version, 0)
	if status, _, text := s.explained("route=safe"); status != http.StatusBadRequest || !strings.Contains(text, "several") {
		t.Errorf("two routes of the name: status %d with %s", status, text)
	}
	s.config.set(nil, 0)
	if status, _, _ := s.explained("route=safe"); status != http.StatusServiceUnavailable {
		t.Errorf("without a configuration: status %d", status)
	}
}

// Guards against an explanation for one of several services only, or with wrong shares.
func TestExplanationOfSeveralServices(t *testing.T) {
	s := newSetup(t)
	version := testVersion(t, 1)
	version.Manifest.Routing.Routes[0].Targets = []manifest.Target{{Service: "plain", Weight: 3}, {Service: "model", Weight: 1}, {Service: "plain"}}
	s.config.set(version, 0)
	s.announce("s1", "plain", "a", "10.0.0.1:80")
	_, doc, text := s.explained(url.Values{explain.ParamRoute: {"safe"}}.Encode())
	if len(doc.Services) != 2 || doc.Services[0].Share != 0.75 || doc.Services[1].Share != 0.25 || doc.Services[0].Choice == nil || doc.Services[1].Refusal == nil {
		t.Errorf("explained as %s", text)
	}
}

// Guards against an explanation that compares, with many gateways, backend servers of other
// failure domains that are no candidates, or that hides the summary behind what it says.
func TestExplanationWithSummaries(t *testing.T) {
	s := newSetup(t)
	now := s.freeze()
	const perDomain = 20
	for i := range localDetailGateways {
		id := fmt.Sprintf("gateway-%d", i+2)
		s.g.members.gateways[id] = &gatewayEntry{info: &wirepb.GatewayInfo{Id: id, FailureDomain: string(rune('a' + i%2))}}
	}
	received := &summary{at: now - 400*time.Millisecond, backends: map[uint64]*wirepb.BackendSummary{}}
	for i := range 2 * perDomain {
		domain := string(rune('a' + i%2))
		b := s.announce(fmt.Sprintf("%s-%02d", domain, i), "model", domain, fmt.Sprintf("10.0.0.%d:80", i+1))
		if domain == "b" {
			received.backends[b.Key()] = &wirepb.BackendSummary{Backend: b.Key(), Writing: 2, WritingPromptTokens: 100}
		}
	}
	s.g.workTable.summaries["b"] = received
	got := s.explainedService("route=stream&prompt-tokens=1000")
	compared, skipped := map[string]int{}, 0
	for _, c := range got.Candidates {
		switch {
		case c.Excluded == "" && c.Cost != nil:
			compared[c.FailureDomain]++
		case c.Excluded == notSampled && c.Cost == nil && c.FailureDomain == "b":
			skipped++
		default:
			t.Errorf("%s is excluded as %q", c.BackendServer, c.Excluded)
		}
		if isRemote := c.FailureDomain == "b"; isRemote != (c.LoadShareAgeMs != nil) || isRemote && (*c.LoadShareAgeMs != 400 || c.OpenRequests != 2) {
			t.Errorf("%s has %d open requests by a load share of %v", c.BackendServer, c.OpenRequests, c.LoadShareAgeMs)
		}
	}
	if compared["a"] != perDomain || compared["b"] != remoteSample || skipped != perDomain-remoteSample {
		t.Errorf("compared %v, %d left out", compared, skipped)
	}
}

// Guards against a command line and a gateway that don't understand each other.
func TestExplanationByCommandLine(t *testing.T) {
	s := newSetup(t)
	s.announce("engine-1", "model", "a", "10.0.0.1:80")
	mux := http.NewServeMux()
	s.g.newAdmin().Register(mux)
	admin := httptest.NewServer(mux)
	defer admin.Close()
	for line, want := range map[string]struct {
		exit   int
		output string
	}{
		"-route stream -prompt-tokens 5000 -output-tokens 300 -account account-1": {ctl.ExitOK, "chosen: engine-1; first event predicted in"},
		"-route stream -prompt-tokens 500000":                                     {ctl.ExitOK, "refused with 503: " + errTooLarge.Error() + "; Retry-After about 3600.000 s"},
		"-route safe":                                                             {ctl.ExitOK, "refused with 503: " + errNoBackend.Error()},
		"-json -route stream":                                                     {ctl.ExitOK, `"backend_server": "engine-1"`},
		"-route nowhere":                                                          {ctl.ExitRefused, `unknown route "nowhere"`},
		"-route stream -account nobody":                                           {ctl.ExitRefused, `unknown account "nobody"`},
		"-route stream -output-tokens x":                                          {ctl.ExitUsage, "output-tokens"},
	} {
		var out bytes.Buffer
		args := append([]string{"explain", "-gateway", strings.TrimPrefix(admin.URL, "http://")}, strings.Fields(line)...)
		if exit := ctl.Run(t.Context(), args, &out, &out); exit != want.exit || !strings.Contains(out.String(), want.output) {
			t.Errorf("%s: exit %d, expected %d with %q:\n%s", line, exit, want.exit, want.output, out.String())
		}
	}
}
