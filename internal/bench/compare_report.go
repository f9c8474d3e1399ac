package bench

import (
	"fmt"
	"io"
	"maps"
	"path/filepath"
	"slices"
	"text/tabwriter"

	"bilberryhub/internal/loadtool"
	"bilberryhub/internal/workload"

	"github.com/juju/errors"
	"gonum.org/v1/plot/plotter"
)

// Write prints the comparison to w as tables.
func (c *Comparison) Write(w io.Writer) {
	fmt.Fprintf(w, "time scale %g; all times are simulated (real times divided by the scale)\n\n", c.TimeScale)
	c.writeTTFT(w)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "policy\trequests\tok\tlate\trefused\tfailed\twrong\tslowdown p50\tp95\tfairness\tburst ratio\tdomain ratio\toverloads\tengines lost\t")
	for _, p := range c.Policies {
		outcomes := p.Outcomes
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%.3f\t%.2f\t%.2f\t%d\t%d\t\n", p.Name, p.Requests,
			outcomes["ok"], outcomes["late"], outcomes["refused"], outcomes["failed"], outcomes["wrong"], p.SlowdownP50, p.SlowdownP95,
			p.FairnessIndex, p.BurstRatio, p.DomainRatio, p.Overloads, p.EnginesLost)
	}
	_ = t.Flush()
	for _, p := range c.Policies {
		writeCauses(w, p.Name+", full workload", p.Causes)
		writeCauses(w, p.Name+", domain leaves and returns", p.DomainCauses)
	}
}

// writeTTFT prints the TTFT percentiles by policy and length class.
func (c *Comparison) writeTTFT(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(t, "TTFT ms p50/p95/p99\t")
	for _, class := range workload.Classes {
		fmt.Fprintf(t, "%s\t", class.Name)
	}
	fmt.Fprintln(t)
	for _, p := range c.Policies {
		fmt.Fprintf(t, "%s\t", p.Name)
		for _, class := range workload.Classes {
			ttft := p.TTFT[class.Name]
			fmt.Fprintf(t, "%.0f/%.0f/%.0f\t", ttft.P50, ttft.P95, ttft.P99)
		}
		fmt.Fprintln(t)
	}
	_ = t.Flush()
	fmt.Fprintln(w)
}

// writeCauses prints the number of requests by cause of failure, if there are any.
func writeCauses(w io.Writer, title string, causes map[string]int) {
	if len(causes) == 0 {
		return
	}
	fmt.Fprintf(w, "%s:\n", title)
	for _, cause := range slices.Sorted(maps.Keys(causes)) {
		fmt.Fprintf(w, "  %s: %d\n", cause, causes[cause])
	}
}

// Plot writes PNG files to dir: percentiles of the TTFT by length class, and the TTFT
// and the number of requests not served in time over the domain run.
func (c *Comparison) Plot(dir string) error {
	for name, percentile := range map[string]func(loadtool.Times) float64{
		"ttft-p50.png": func(t loadtool.Times) float64 { return t.P50 },
		"ttft-p95.png": func(t loadtool.Times) float64 { return t.P95 },
		"ttft-p99.png": func(t loadtool.Times) float64 { return t.P99 },
	} {
		if err := c.classChart(percentile).Save(filepath.Join(dir, name)); err != nil {
			return errors.Trace(err)
		}
	}
	timeline := &loadtool.Chart{
		Title: "A failure domain leaves and returns: short requests, 95th percentile",
		X:     "simulated s", Y: "TTFT ms", LogY: true,
	}
	notOK := &loadtool.Chart{Title: "A failure domain leaves and returns: requests not served in time", X: "simulated s", Y: "requests in 10 s"}
	for _, p := range c.Policies {
		var ttft, notServed plotter.XYs
		for _, b := range p.Timeline {
			ttft = append(ttft, plotter.XY{X: b.Seconds, Y: b.ShortP95})
			notServed = append(notServed, plotter.XY{X: b.Seconds, Y: float64(b.NotOK)})
		}
		timeline.Series = append(timeline.Series, loadtool.Series{Name: p.Name, Points: ttft})
		notOK.Series = append(notOK.Series, loadtool.Series{Name: p.Name, Points: notServed})
	}
	if err := timeline.Save(filepath.Join(dir, "domain-ttft.png")); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(notOK.Save(filepath.Join(dir, "domain-not-ok.png")))
}

// classChart returns a chart of a percentile of the TTFT by length class, with one
// line for each policy.
func (c *Comparison) classChart(percentile func(loadtool.Times) float64) *loadtool.Chart {
	chart := &loadtool.Chart{Title: "Time to first token by policy", X: "prompt tokens", Y: "simulated ms", LogY: true}
	for _, class := range workload.Classes {
		chart.Names = append(chart.Names, class.Name)
	}
	for _, p := range c.Policies {
		var points plotter.XYs
		for i, class := range workload.Classes {
			points = append(points, plotter.XY{X: float64(i), Y: percentile(p.TTFT[class.Name])})
		}
		chart.Series = append(chart.Series, loadtool.Series{Name: p.Name, Points: points})
	}
	return chart
}
