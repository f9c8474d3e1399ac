package loadtool

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"bilberryhub/internal/workload"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Times summarises a distribution of durations, in ms.
type Times struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
	Mean  float64 `json:"mean_ms"`
}

// Recorder is a histogram of durations from 1 µs to an hour with a precision of three
// significant digits. It is not safe for concurrent use.
type Recorder struct{ h *hdrhistogram.Histogram }

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{h: hdrhistogram.New(1, time.Hour.Microseconds(), 3)}
}

// Add records one duration. Durations out of range are recorded as the nearest bound.
func (r *Recorder) Add(d time.Duration) {
	_ = r.h.RecordValue(min(max(d.Microseconds(), 1), time.Hour.Microseconds()))
}

// Times returns the summary of the recorded durations.
func (r *Recorder) Times() Times {
	ms := func(us int64) float64 { return float64(us) / 1000 }
	return Times{
		Count: r.h.TotalCount(), P50: ms(r.h.ValueAtQuantile(50)), P95: ms(r.h.ValueAtQuantile(95)),
		P99: ms(r.h.ValueAtQuantile(99)), Max: ms(r.h.Max()), Mean: r.h.Mean() / 1000,
	}
}

// Report summarises a run. Its times are real times; dividing them by TimeScale gives
// simulated times.
type Report struct {
	Mode      string  `json:"mode"`
	Label     string  `json:"label,omitempty"`
	TimeScale float64 `json:"time_scale"`
	Seconds   float64 `json:"seconds"`
	Requests  int     `json:"requests"`
	// TTFT and Total are by length class, and TTFT also by length class and
	// urgency as "class/urgency".
	TTFT     map[string]Times   `json:"ttft"`
	Total    map[string]Times   `json:"total"`
	Gaps     *Times             `json:"inter_token,omitempty"`
	Outcomes map[string]int     `json:"outcomes"`
	Causes   map[string]int     `json:"causes"`
	Accounts map[string]Account `json:"accounts"`
	Tokens   int                `json:"tokens"`
	// Engines is the change of the counters of all stand-ins during the run.
	Engines *Engines `json:"engines,omitempty"`
	// Events has a line for each action run during a workload.
	Events []string     `json:"events,omitempty"`
	Path   []*PathPoint `json:"path,omitempty"`
	// Single has the responses of ModeSingle.
	Single  []SingleResponse `json:"single,omitempty"`
	Results []*Result        `json:"results,omitempty"`
}

// Account summarises the requests of one client account.
type Account struct {
	Requests  int   `json:"requests"`
	OK        int   `json:"ok"`
	ShortTTFT Times `json:"short_ttft"`
}

// Cause describes why a request did not succeed: its outcome, its error code and
// whether it was run.
func (r *Result) Cause() string {
	switch r.Outcome {
	case Late:
		return "late"
	case Wrong:
		return "wrong: " + r.Code
	}
	code, run := r.Code, r.Run
	if code == "" {
		code = fmt.Sprintf("status %d", r.Status)
		if r.Status == 0 || r.Status == 200 {
			code = "no answer"
		}
	}
	if run == "" {
		run = "unknown"
	}
	return fmt.Sprintf("%s: %s, run %s", r.Outcome, code, run)
}

// Summarise returns a report with the statistics of the results. The caller sets the
// remaining fields.
func Summarise(results []*Result) *Report {
	rep := &Report{
		TimeScale: 1, Requests: len(results), TTFT: map[string]Times{}, Total: map[string]Times{},
		Outcomes: map[string]int{}, Causes: map[string]int{}, Accounts: map[string]Account{},
	}
	ttft, total := recorders{}, recorders{}
	short := recorders{}
	gaps := NewRecorder()
	for _, r := range results {
		rep.Outcomes[string(r.Outcome)]++
		rep.Tokens += r.Tokens
		name := fmt.Sprintf("account %d", r.Account)
		a := rep.Accounts[name]
		a.Requests++
		if r.Outcome == OK {
			a.OK++
		} else {
			rep.Causes[r.Cause()]++
		}
		rep.Accounts[name] = a
		for _, g := range r.Gaps {
			gaps.Add(g)
		}
		if r.TTFT == 0 {
			continue
		}
		ttft.add(r.Class, r.TTFT)
		ttft.add(r.Class+"/"+r.Urgency, r.TTFT)
		if r.Prompt < workload.ShortTokens {
			short.add(name, r.TTFT)
			ttft.add("short", r.TTFT)
		}
		if r.Outcome == OK || r.Outcome == Late {
			total.add(r.Class, r.Total)
		}
	}
	for name, t := range short.times() {
		a := rep.Accounts[name]
		a.ShortTTFT = t
		rep.Accounts[name] = a
	}
	rep.TTFT, rep.Total = ttft.times(), total.times()
	if t := gaps.Times(); t.Count > 0 {
		rep.Gaps = &t
	}
	return rep
}

// recorders has a recorder for each name.
type recorders map[string]*Recorder

func (r recorders) add(name string, d time.Duration) {
	if r[name] == nil {
		r[name] = NewRecorder()
	}
	r[name].Add(d)
}

func (r recorders) times() map[string]Times {
	out := map[string]Times{}
	for name, rec := range r {
		out[name] = rec.Times()
	}
	return out
}

// Write prints the report to w as text.
func (rep *Report) Write(w io.Writer) {
	if len(rep.Path) > 0 {
		writePath(w, rep.Path)
		return
	}
	if len(rep.Single) > 0 {
		for _, a := range rep.Single {
			fmt.Fprintf(w, "%s: status %d, replay %v: %s\n", a.Entry, a.Status, a.Replay, a.Body)
		}
		return
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "%s\trequests\tTTFT p50 ms\tp95\tp99\tmax\ttotal p50\tp99\t\n", rep.Mode)
	for _, c := range workload.Classes {
		ttft, ok := rep.TTFT[c.Name]
		if !ok {
			continue
		}
		total := rep.Total[c.Name]
		fmt.Fprintf(t, "%s\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t\n",
			c.Name, ttft.Count, ttft.P50, ttft.P95, ttft.P99, ttft.Max, total.P50, total.P99)
	}
	_ = t.Flush()
	fmt.Fprintf(w, "requests %d, tokens %d, %.1f s, time scale %g (times are real; divide by the scale)\n",
		rep.Requests, rep.Tokens, rep.Seconds, rep.TimeScale)
	if g := rep.Gaps; g != nil {
		fmt.Fprintf(w, "between tokens: p50 %.2f ms, p95 %.2f ms, p99 %.2f ms\n", g.P50, g.P95, g.P99)
	}
	fmt.Fprintf(w, "outcomes: %s\n", formatCounts(rep.Outcomes))
	for _, cause := range slices.Sorted(maps.Keys(rep.Causes)) {
		fmt.Fprintf(w, "  %s: %d\n", cause, rep.Causes[cause])
	}
	if e := rep.Engines; e != nil {
		fmt.Fprintf(w, "engines: %+v\n", *e)
	}
}

// formatCounts formats counts as "name count", sorted by name.
func formatCounts(m map[string]int) string {
	var parts []string
	for _, k := range slices.Sorted(maps.Keys(m)) {
		parts = append(parts, fmt.Sprintf("%s %d", k, m[k]))
	}
	return strings.Join(parts, ", ")
}
