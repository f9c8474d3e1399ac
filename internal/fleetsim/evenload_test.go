package fleetsim

import (
	"cmp"
	"flag"
	"fmt"
	"math"
	"slices"
	"strings"
	"sync"
	"testing"

	"bilberryhub/internal/manifest"
	"bilberryhub/internal/placement"
)

var isFullTable = flag.Bool("full", false, "run all policies in all cases of the comparison of policies, for some minutes")

// waveEngine has 12 slots, like the engines of the deployments with the largest crowds
// of gateways.
var waveEngine = &manifest.Engine{
	Slots: 12, CapacityTokens: 405_000, StepMs: 1.31, PerSequenceMs: 0.000917, ContextMsPerThousand: 0.00213,
	PrefillTokensPerSecond: 154_000, PairsMsPerMillion: 0.162, ChunkTokens: 2048, Stride: 38,
}

// waveEngines is the number of engines for which the rates of waveClasses hold.
const waveEngines = 78

var waveClasses = []Class{
	{Name: "short", RequestsPerSecond: 109, PromptTokens: 5_000, PromptVariation: 0.3, MaxPromptTokens: 20_000, OutputTokens: 1370, ObjectiveMs: 300, PauseMs: 250, AbandonMs: 2000},
	{Name: "medium", RequestsPerSecond: 7.6, PromptTokens: 45_000, PromptVariation: 0.3, MaxPromptTokens: 110_000, OutputTokens: 800, ObjectiveMs: 1500, PauseMs: 600, AbandonMs: 6000},
	{Name: "long", RequestsPerSecond: 1.9, PromptTokens: 260_000, PromptVariation: 0.2, MaxPromptTokens: 400_000, OutputTokens: 680, ObjectiveMs: 4000, PauseMs: 1000, AbandonMs: 12_000},
}

// wave returns a load whose short requests rise sevenfold within a second while long
// prompts are in prefill: calmMs without the wave, and then waveMs with it.
func wave(calmMs, waveMs, endMs float64) []Phase {
	out := []Phase{{UntilMs: calmMs, Factors: []float64{0.4, 1, 1.5}}}
	for _, factor := range []float64{0.8, 1.3, 1.9, 2.4} {
		out = append(out, Phase{UntilMs: out[len(out)-1].UntilMs + 250, Factors: []float64{factor, 1, 1}})
	}
	out = append(out, Phase{UntilMs: calmMs + 1000 + waveMs, Factors: []float64{2.8, 1, 1}})
	return append(out, Phase{UntilMs: calmMs + 1000 + waveMs + endMs, Factors: []float64{0.4, 1, 1}})
}

// waveCase is a deployment under a load.
type waveCase struct {
	name              string
	gateways, engines int
	phases            []Phase
	ageMs             float64
	// lossShare is the share of lost load shares; 0 means testLossShare.
	lossShare float64
	// hasFaults is set if gateways freeze and stop during the wave.
	hasFaults bool
	// slowShare is the share of the engines that take 1.4 times as long.
	slowShare       float64
	isSlownessKnown bool
}

const (
	slowFactor       = 1.4
	testLossShare    = 1.0 / 20
	testSummaryAgeMs = 300
)

// run simulates a case with a policy and a seed.
func (c *waveCase) run(p candidatePolicy, seed uint64) *Fleet {
	classes := slices.Clone(waveClasses)
	for i := range classes {
		classes[i].RequestsPerSecond *= float64(c.engines) / waveEngines
	}
	f := New(waveEngine, classes, c.engines)
	g := p.gateways
	g.Count, g.Domains, g.AgeMs, g.SummaryAgeMs, g.LossShare = c.gateways, 3, c.ageMs, testSummaryAgeMs, cmp.Or(c.lossShare, testLossShare)
	if c.hasFaults {
		g.Outages = waveOutages(c)
	}
	f.Policy, f.Gateways, f.QueuesForSlots = p.policy, &g, true
	f.IsSlownessKnown = c.isSlownessKnown
	for i := range c.engines {
		factor := 1.0
		if pseudorandom(i, 1, -3) < c.slowShare {
			factor = slowFactor
		}
		f.Slowness = append(f.Slowness, factor)
	}
	f.Run(c.phases, seed)
	return f
}

// waveOutages freezes a tenth of the gateways for 1 to 3 s and stops another tenth for
// 3 s, beginning in the first second of the wave.
func waveOutages(c *waveCase) []Outage {
	var out []Outage
	start := c.phases[0].UntilMs
	for i := range c.gateways / 5 {
		from := start + 100*float64(i%10)
		o := Outage{Gateway: i * 5, FromMs: from, ToMs: from + 3000, Stops: i%2 == 0}
		if !o.Stops {
			o.ToMs = from + 1000 + 1000*float64(i%4-1)
		}
		out = append(out, o)
	}
	return out
}

// candidatePolicy is a policy that is compared.
type candidatePolicy struct {
	name     string
	policy   placement.Policy
	gateways Gateways
}

// outcome is what a policy does in a case.
type outcome struct {
	// atFull is the share of the short requests that are sent to an engine without a
	// free slot, of those sent while at least a third of all slots is free, whose share
	// of the short requests is whileFree.
	atFull, whileFree float64
	// late is the share of the short requests whose first event is later than their
	// objective.
	late float64
	// errorMedian and errorTail are the median and the 90th percentile of the error of
	// the predicted first event of short requests, in ms.
	errorMedian, errorTail float64
	// value is the share of the value that is earned, and valueByClass that of each
	// class, followed by the largest fifth of the long prompts.
	value        float64
	valueByClass [4]float64
}

const freeShareLimit = 1.0 / 3

// evaluate runs a case with each of the seeds.
func (c *waveCase) evaluate(p candidatePolicy, seeds int) outcome {
	var requests []*Request
	for seed := 1; seed <= seeds; seed++ {
		requests = append(requests, c.run(p, uint64(seed)).Requests...)
	}
	var o outcome
	var errorsMs []float64
	shortCount, free, full, late := 0, 0, 0, 0
	for _, r := range requests {
		if r.Class != short {
			continue
		}
		shortCount++
		if r.Refused || r.FirstMs > waveClasses[short].ObjectiveMs {
			late++
		}
		if r.Refused {
			continue
		}
		errorsMs = append(errorsMs, math.Abs(r.FirstMs-(r.ChosenMs-r.ArrivedMs)-r.PredictedMs))
		if r.FreeShare >= freeShareLimit {
			free++
			if r.OpenAtChoice >= waveEngine.Slots {
				full++
			}
		}
	}
	slices.Sort(errorsMs)
	o.atFull, o.whileFree = float64(full)/float64(max(1, free)), float64(free)/float64(shortCount)
	o.late = float64(late) / float64(shortCount)
	o.errorMedian, o.errorTail = errorsMs[len(errorsMs)/2], errorsMs[len(errorsMs)*9/10]
	o.value = waveValueShare(requests, func(*Request) bool { return true })
	for class := range waveClasses {
		o.valueByClass[class] = waveValueShare(requests, func(r *Request) bool { return r.Class == class })
	}
	o.valueByClass[3] = waveValueShare(requests, isLargest(requests))
	return o
}

// isLargest returns a filter of the largest fifth of the long prompts.
func isLargest(requests []*Request) func(*Request) bool {
	var sizes []float64
	for _, r := range requests {
		if r.Class == long {
			sizes = append(sizes, r.PromptTokens)
		}
	}
	slices.Sort(sizes)
	limit := sizes[len(sizes)*4/5]
	return func(r *Request) bool { return r.Class == long && r.PromptTokens >= limit }
}

// waveValueShare returns the share of the value of some requests that was earned.
func waveValueShare(requests []*Request, isCounted func(*Request) bool) float64 {
	earned, total := 0.0, 0.0
	for _, r := range requests {
		if !isCounted(r) {
			continue
		}
		value := placement.EstimateValue(r.PromptTokens, r.OutputTokens)
		total += value
		switch {
		case r.MeetsObjectives(waveClasses[r.Class]):
			earned += value
		case r.EndedMs > 0 && r.FirstMs <= waveClasses[r.Class].AbandonMs:
			earned += value / 4
		}
	}
	return earned / total
}

const tableHead = "policy                    | at full | while free | late  | error ms p50 p90 | value | short medium long largest"

func (o outcome) row(name string) string {
	return fmt.Sprintf("%-25s | %6.1f%% | %9.1f%% | %4.1f%% | %7.0f %8.0f | %.3f | %.3f %.3f %.3f %.3f", name, 100*o.atFull, 100*o.whileFree,
		100*o.late, o.errorMedian, o.errorTail, o.value, o.valueByClass[0], o.valueByClass[1], o.valueByClass[2], o.valueByClass[3])
}

var (
	presentPolicy  = candidatePolicy{name: "present"}
	slotWaitPolicy = candidatePolicy{name: "SlotWait", policy: placement.Policy{SlotWait: true}}
	// evenPolicy is the policy that docs/design/even-load.md recommends.
	evenPolicy = candidatePolicy{
		name: "SlotWait, Room, Spread .6", policy: placement.Policy{SlotWait: true, ShortRoom: 1.2, Spread: 0.6},
	}
)

// comparedPolicies returns the present behavior, the alternatives on their own, and
// those beside others.
func comparedPolicies() []candidatePolicy {
	unseen, localOrder := Gateways{CountsUnseen: true}, Gateways{IsOrderLocal: true}
	return []candidatePolicy{
		presentPolicy, slotWaitPolicy,
		{name: "Unseen", gateways: unseen},
		{name: "LocalOrder", gateways: localOrder},
		{name: "Spread .6", policy: placement.Policy{Spread: 0.6}},
		{name: "Room, Spread .6", policy: placement.Policy{ShortRoom: 1.2, Spread: 0.6}},
		{name: "SlotWait, Unseen", policy: placement.Policy{SlotWait: true}, gateways: unseen},
		{name: "SlotWait, LocalOrder", policy: placement.Policy{SlotWait: true}, gateways: localOrder},
		{name: "SlotWait, Spread .6", policy: placement.Policy{SlotWait: true, Spread: 0.6}},
		{name: "SlotWait, Spread 1.5", policy: placement.Policy{SlotWait: true, Spread: 1.5}},
		{name: "SlotWait, Room", policy: placement.Policy{SlotWait: true, ShortRoom: 1.2}},
		evenPolicy,
		{name: "  the same, Unseen", policy: evenPolicy.policy, gateways: unseen},
		{name: "  the same, LocalOrder", policy: evenPolicy.policy, gateways: localOrder},
	}
}

// compare evaluates policies with a number of seeds, some of them at a time.
func (c *waveCase) compare(t *testing.T, policies []candidatePolicy, seeds int) []outcome {
	t.Helper()
	outcomes := make([]outcome, len(policies))
	var wg sync.WaitGroup
	running := make(chan struct{}, 4)
	for i, p := range policies {
		running <- struct{}{}
		wg.Go(func() {
			outcomes[i] = c.evaluate(p, seeds)
			<-running
		})
	}
	wg.Wait()
	lines := []string{fmt.Sprintf("%s: %d gateways, %d engines, known after %.0f ms", c.name, c.gateways, c.engines, c.ageMs), tableHead}
	for i, o := range outcomes {
		lines = append(lines, o.row(policies[i].name))
	}
	t.Log(strings.Join(lines, "\n"))
	return outcomes
}

const (
	// maxAtFull is the objective for the share of short requests at engines without a
	// free slot.
	maxAtFull = 0.1
	// minLongShare is the least value of long prompts, as a share of that which the
	// present behavior earns.
	minLongShare = 0.85
)

// problem returns what is wrong with an outcome, or "".
func (o outcome) problem(present outcome) string {
	switch {
	case o.atFull >= maxAtFull:
		return fmt.Sprintf("%.3f of the short requests are sent to engines without a free slot, the objective is under %.3f", o.atFull, maxAtFull)
	case o.atFull >= present.atFull || o.late >= present.late || o.value <= present.value:
		return fmt.Sprintf("no better than the present behavior: %+v, present %+v", o, present)
	case o.valueByClass[long] < minLongShare*present.valueByClass[long]:
		return fmt.Sprintf("long prompts earn %.3f of their value, with the present behavior %.3f", o.valueByClass[long], present.valueByClass[long])
	}
	return ""
}

// Guards against gateways that send short requests to the same engines, because none of
// them knows of the latest choices of the others, while a third of all slots is free. The
// load shares that are lost, and the gateways that freeze or stop, are part of it. The
// present behavior must fail, or else the load is too low to tell.
func TestShortRequestsFindFreeSlots(t *testing.T) {
	for _, c := range []waveCase{
		{name: "wave", gateways: 75, engines: 78, phases: wave(1500, 2000, 500), ageMs: 20},
		{name: "wave, gateways fail", gateways: 75, engines: 78, phases: wave(1500, 2000, 500), ageMs: 20, hasFaults: true},
		{name: "wave", gateways: 300, engines: 140, phases: wave(500, 1000, 0), ageMs: 20},
		{name: "wave", gateways: 380, engines: 710, phases: wave(100, 0, 0), ageMs: 20},
	} {
		t.Run(fmt.Sprintf("%s, %d gateways", c.name, c.gateways), func(t *testing.T) {
			outcomes := c.compare(t, []candidatePolicy{presentPolicy, evenPolicy}, 1)
			present := outcomes[0]
			if present.atFull < maxAtFull {
				t.Errorf("the present behavior sends %.3f of the short requests to engines without a free slot", present.atFull)
			}
			if problem := outcomes[1].problem(present); problem != "" {
				t.Error(problem)
			}
		})
	}
}

// TestComparison prints the tables of docs/design/even-load.md. It takes some minutes.
func TestComparison(t *testing.T) {
	if !*isFullTable {
		t.Skip("runs with -args -full")
	}
	waves := wave(4000, 3500, 6000)
	for _, c := range []waveCase{
		{name: "wave, one gateway", gateways: 1, engines: 78, phases: waves, ageMs: 10},
		{name: "wave", gateways: 75, engines: 78, phases: waves, ageMs: 10},
		{name: "wave", gateways: 75, engines: 78, phases: waves, ageMs: 50},
		{name: "wave", gateways: 75, engines: 78, phases: waves, ageMs: 200},
		{name: "wave, 1 in 4 load shares lost", gateways: 75, engines: 78, phases: waves, ageMs: 10, lossShare: 0.25},
		{name: "wave, gateways fail", gateways: 75, engines: 78, phases: waves, ageMs: 10, hasFaults: true},
		{name: "wave, a fifth slow", gateways: 75, engines: 78, phases: waves, ageMs: 10, slowShare: 0.2},
		{name: "wave, a fifth slow, known", gateways: 75, engines: 78, phases: waves, ageMs: 10, slowShare: 0.2, isSlownessKnown: true},
		{name: "mean load", gateways: 75, engines: 78, phases: []Phase{{UntilMs: 10_000, Factors: []float64{1, 1, 1}}}, ageMs: 10},
		{name: "long prompts", gateways: 75, engines: 78, phases: []Phase{{UntilMs: 10_000, Factors: []float64{0.5, 1.3, 3}}}, ageMs: 10},
		{name: "wave", gateways: 300, engines: 140, phases: wave(2000, 3000, 1000), ageMs: 10},
	} {
		t.Run(fmt.Sprintf("%s, %d gateways, %.0f ms", c.name, c.gateways, c.ageMs), func(t *testing.T) { c.compare(t, comparedPolicies(), 4) })
	}
	large := waveCase{name: "wave", gateways: 380, engines: 710, phases: wave(500, 2000, 0), ageMs: 10}
	t.Run("380 gateways", func(t *testing.T) { large.compare(t, []candidatePolicy{presentPolicy, slotWaitPolicy, evenPolicy}, 1) })
}
