package bench

import (
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"time"

	"bilberryhub/internal/loadtool"
	"bilberryhub/internal/workload"

	"github.com/juju/errors"
)

// The runs of each policy, all with the same workload. The report of a run is in
// POLICY-RUN.json.
const (
	// RunNoLong omits the prompts over 100,000 tokens.
	RunNoLong = "nolong"
	// RunMain is the full workload with bursts.
	RunMain = "main"
	// RunDomain has an outage of all engines of one failure domain, after which
	// they return cold.
	RunDomain = "domain"
)

// Comparison is the result of the policy experiment. All times are in simulated
// ms: real times divided by the time scale.
type Comparison struct {
	TimeScale float64   `json:"time_scale"`
	Policies  []*Policy `json:"policies"`
}

// Policy is the result of one policy.
type Policy struct {
	Name string `json:"name"`
	// TTFT is the time to first token of the main run by length class; "short"
	// is all prompts below 10,000 tokens.
	TTFT map[string]loadtool.Times `json:"ttft"`
	// SlowdownP50 and SlowdownP95 are the ratios of the TTFT of short requests in
	// the run with long requests to that in the run without.
	SlowdownP50 float64        `json:"slowdown_p50"`
	SlowdownP95 float64        `json:"slowdown_p95"`
	Requests    int            `json:"requests"`
	Outcomes    map[string]int `json:"outcomes"`
	Causes      map[string]int `json:"causes"`
	// FairnessIndex is Jain's index over the accounts' mean TTFT of short requests,
	// excluding requests of bursts; 1 means equal.
	FairnessIndex float64 `json:"fairness_index"`
	// BurstRatio is the ratio of the 95th percentile of the TTFT of short requests
	// of other accounts during bursts to that at other times; zero without bursts.
	BurstRatio float64 `json:"burst_ratio"`
	// Overloads and EnginesLost are totals over all runs.
	Overloads   uint64 `json:"overloads"`
	EnginesLost uint64 `json:"engines_lost"`
	// DomainRatio is the ratio of the 95th percentile of the TTFT of urgent short
	// requests during the outage of the failure domain to that before it.
	DomainRatio  float64        `json:"domain_ratio"`
	DomainCauses map[string]int `json:"domain_causes"`
	Timeline     []Bucket       `json:"timeline"`
}

// Bucket summarises the requests of the domain run that were sent in one interval of
// bucketSeconds.
type Bucket struct {
	Seconds  float64 `json:"at_seconds"`
	Requests int     `json:"requests"`
	// NotOK is the number of requests that were late, refused, failed or wrong.
	NotOK    int     `json:"not_ok"`
	ShortP50 float64 `json:"short_p50_ms"`
	ShortP95 float64 `json:"short_p95_ms"`
}

// bucketSeconds is the width of a bucket in simulated time. At 8 requests/s, half of
// them short, a bucket has about 40 short requests.
const bucketSeconds = 10.0

// CompareSettings selects the reports to compare.
type CompareSettings struct {
	Dir      string   `json:"dir"`
	Policies []string `json:"policies"`
	// LeaveSeconds and ReturnSeconds are the start and the end of the outage of
	// the failure domain in the domain run, in simulated time.
	LeaveSeconds  float64 `json:"leave_seconds"`
	ReturnSeconds float64 `json:"return_seconds"`
}

// Compare reads the reports of all policies and compares them. It returns an error if
// a report cannot be read.
func Compare(s *CompareSettings) (*Comparison, error) {
	c := &Comparison{}
	for _, name := range s.Policies {
		runs := map[string]*loadtool.Report{}
		for _, run := range []string{RunNoLong, RunMain, RunDomain} {
			rep, err := readReport(filepath.Join(s.Dir, name+"-"+run+".json"))
			if err != nil {
				return nil, errors.Trace(err)
			}
			runs[run] = rep
		}
		c.TimeScale = runs[RunMain].TimeScale
		c.Policies = append(c.Policies, newPolicy(name, runs, s))
	}
	return c, nil
}

// readReport reads a report and converts the times of its results to simulated time.
func readReport(path string) (*loadtool.Report, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Annotate(err, "read report")
	}
	rep := &loadtool.Report{}
	if err := json.Unmarshal(b, rep); err != nil {
		return nil, errors.Annotatef(err, "decode report %s", path)
	}
	for _, r := range rep.Results {
		r.TTFT = toSimulated(r.TTFT, rep.TimeScale)
		r.Total = toSimulated(r.Total, rep.TimeScale)
		r.Start = toSimulated(r.Start, rep.TimeScale)
	}
	return rep, nil
}

// toSimulated converts a real duration to simulated time.
func toSimulated(d time.Duration, scale float64) time.Duration {
	return time.Duration(float64(d) / scale)
}

// newPolicy summarises the runs of one policy.
func newPolicy(name string, runs map[string]*loadtool.Report, s *CompareSettings) *Policy {
	main := runs[RunMain]
	p := &Policy{
		Name: name, Requests: main.Requests, Outcomes: main.Outcomes, Causes: main.Causes,
		TTFT: loadtool.Summarise(main.Results).TTFT,
	}
	without := ttftTimes(runs[RunNoLong].Results, isShort)
	with := ttftTimes(main.Results, isShort)
	p.SlowdownP50, p.SlowdownP95 = ratio(with.P50, without.P50), ratio(with.P95, without.P95)
	p.FairnessIndex = fairnessIndex(main.Results)
	p.BurstRatio = burstRatio(main.Results)
	for _, rep := range runs {
		if rep.Engines != nil {
			p.Overloads += rep.Engines.Overloads
			p.EnginesLost += rep.Engines.Crashes
		}
	}
	domain := runs[RunDomain]
	p.DomainCauses = domain.Causes
	p.Timeline = timeline(domain.Results)
	urgent := func(r *loadtool.Result) bool { return isShort(r) && r.Urgency == "urgent" }
	leave, rejoin := s.LeaveSeconds, s.ReturnSeconds
	before := ttftTimes(domain.Results, func(r *loadtool.Result) bool { return urgent(r) && r.Start.Seconds() < leave })
	during := ttftTimes(domain.Results, func(r *loadtool.Result) bool {
		return urgent(r) && r.Start.Seconds() >= leave && r.Start.Seconds() < rejoin
	})
	p.DomainRatio = ratio(during.P95, before.P95)
	return p
}

// isShort reports whether r is a request with a short prompt that got a first token.
func isShort(r *loadtool.Result) bool { return r.Prompt < workload.ShortTokens && r.TTFT > 0 }

// ttftTimes summarises the TTFT of the results for which include returns true.
func ttftTimes(results []*loadtool.Result, include func(*loadtool.Result) bool) loadtool.Times {
	rec := loadtool.NewRecorder()
	for _, r := range results {
		if include(r) {
			rec.Add(r.TTFT)
		}
	}
	return rec.Times()
}

// ratio returns a/b, or zero if b is zero.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// fairnessIndex returns Jain's index (Σx)²/(n·Σx²) over the accounts' mean TTFT of
// short requests that are not part of a burst.
func fairnessIndex(results []*loadtool.Result) float64 {
	means := map[int]*loadtool.Recorder{}
	for _, r := range results {
		if !isShort(r) || r.Burst {
			continue
		}
		if means[r.Account] == nil {
			means[r.Account] = loadtool.NewRecorder()
		}
		means[r.Account].Add(r.TTFT)
	}
	sum, squares := 0.0, 0.0
	for _, rec := range means {
		m := rec.Times().Mean
		sum += m
		squares += m * m
	}
	return ratio(sum*sum, float64(len(means))*squares)
}

// burstEffect is how long a burst affects other requests, from its first request on.
const burstEffect = 10 * time.Second

// burstRatio returns the ratio of the 95th percentile of the TTFT of short requests
// of other accounts during a burst to that outside all bursts.
func burstRatio(results []*loadtool.Result) float64 {
	sorted := slices.Clone(results)
	slices.SortFunc(sorted, func(a, b *loadtool.Result) int { return int(a.Start - b.Start) })
	inside, outside := loadtool.NewRecorder(), loadtool.NewRecorder()
	account, until := -1, time.Duration(-1)
	for _, r := range sorted {
		if r.Burst && r.Start > until {
			account, until = r.Account, r.Start+burstEffect
		}
		switch {
		case r.Burst || !isShort(r):
		case r.Start > until:
			outside.Add(r.TTFT)
		case r.Account != account:
			inside.Add(r.TTFT)
		}
	}
	return ratio(inside.Times().P95, outside.Times().P95)
}

// timeline groups results into buckets by the time at which they were sent.
func timeline(results []*loadtool.Result) []Bucket {
	var out []Bucket
	var recs []*loadtool.Recorder
	for _, r := range results {
		i := int(r.Start.Seconds() / bucketSeconds)
		for len(out) <= i {
			out = append(out, Bucket{Seconds: float64(len(out)) * bucketSeconds})
			recs = append(recs, loadtool.NewRecorder())
		}
		out[i].Requests++
		if r.Outcome != loadtool.OK {
			out[i].NotOK++
		}
		if isShort(r) {
			recs[i].Add(r.TTFT)
		}
	}
	for i := range out {
		t := recs[i].Times()
		out[i].ShortP50, out[i].ShortP95 = t.P50, t.P95
	}
	return out
}
