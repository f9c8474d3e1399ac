package bench

import (
	"fmt"
	"io"
	"text/tabwriter"

	"bilberryhub/internal/workload"

	"github.com/juju/errors"
)

// AllocReport compares the allocators over all patterns and seeds.
type AllocReport struct {
	Seeds   int         `json:"seeds"`
	Rows    []*AllocRow `json:"rows"`
	Winners []string    `json:"winners"`
}

// AllocRow has the results of one allocator and pattern: the means over all seeds of
// the TTFT percentiles, in ms, and the numbers of seeds in which the allocator had
// the lowest 95th percentile of a class.
type AllocRow struct {
	Pattern   workload.Pattern `json:"pattern"`
	Allocator string           `json:"allocator"`
	ShortP50  float64          `json:"short_p50_ms"`
	ShortP95  float64          `json:"short_p95_ms"`
	ShortP99  float64          `json:"short_p99_ms"`
	LongP50   float64          `json:"long_p50_ms"`
	LongP95   float64          `json:"long_p95_ms"`
	LongP99   float64          `json:"long_p99_ms"`
	Moves     float64          `json:"moves"`
	// Served is the fraction of arrivals that were served within the duration.
	Served    float64 `json:"served"`
	ShortWins int     `json:"short_wins"`
	LongWins  int     `json:"long_wins"`
}

// CompareAllocators runs every allocator with every pattern and with seeds 1 to seeds.
func CompareAllocators(cfg AllocConfig, seeds int) (*AllocReport, error) {
	rep := &AllocReport{Seeds: seeds}
	for _, pattern := range []workload.Pattern{workload.Steady, workload.Bursty, workload.HeavyTailed} {
		cfg.Pattern = pattern
		rows := make([]*AllocRow, len(AllocatorNames))
		for i, name := range AllocatorNames {
			rows[i] = &AllocRow{Pattern: pattern, Allocator: name}
		}
		for seed := 1; seed <= seeds; seed++ {
			cfg.Seed = uint64(seed)
			if err := compareSeed(cfg, rows, float64(seeds)); err != nil {
				return nil, errors.Trace(err)
			}
		}
		rep.Rows = append(rep.Rows, rows...)
		rep.Winners = append(rep.Winners, fmt.Sprintf("%s: short %s, long %s", pattern,
			lowest(rows, func(r *AllocRow) float64 { return r.ShortP95 }),
			lowest(rows, func(r *AllocRow) float64 { return r.LongP95 })))
	}
	return rep, nil
}

// lowest returns the allocator of the row with the lowest value.
func lowest(rows []*AllocRow, value func(*AllocRow) float64) string {
	best := rows[0]
	for _, r := range rows {
		if value(r) < value(best) {
			best = r
		}
	}
	return best.Allocator
}

// compareSeed runs all allocators with the seed of cfg and adds their results to the
// rows, divided by the number of seeds.
func compareSeed(cfg AllocConfig, rows []*AllocRow, seeds float64) error {
	results := make([]*AllocResult, len(rows))
	bestShort, bestLong := 0, 0
	for i, row := range rows {
		cfg := configFor(row.Allocator, cfg)
		r, err := runAlloc(cfg, newAllocator(row.Allocator, &cfg))
		if err != nil {
			return errors.Annotatef(err, "allocator %s", row.Allocator)
		}
		results[i] = r
		row.ShortP50 += r.Short.P50 / seeds
		row.ShortP95 += r.Short.P95 / seeds
		row.ShortP99 += r.Short.P99 / seeds
		row.LongP50 += r.Long.P50 / seeds
		row.LongP95 += r.Long.P95 / seeds
		row.LongP99 += r.Long.P99 / seeds
		row.Moves += float64(r.Moves) / seeds
		row.Served += float64(r.Served) / float64(r.Arrived) / seeds
		if r.Short.P95 < results[bestShort].Short.P95 {
			bestShort = i
		}
		if r.Long.P95 < results[bestLong].Long.P95 {
			bestLong = i
		}
	}
	rows[bestShort].ShortWins++
	rows[bestLong].LongWins++
	return nil
}

// Write prints the report to w as a table.
func (rep *AllocReport) Write(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "arrivals\tallocator\tshort p50 s\tp95\tp99\tlong p50 s\tp95\tp99\tmoves\tserved\twins short\tlong\t")
	for _, r := range rep.Rows {
		fmt.Fprintf(t, "%s\t%s\t%.2f\t%.2f\t%.2f\t%.1f\t%.1f\t%.1f\t%.0f\t%.4f\t%d\t%d\t\n", r.Pattern, r.Allocator,
			r.ShortP50/1000, r.ShortP95/1000, r.ShortP99/1000, r.LongP50/1000, r.LongP95/1000, r.LongP99/1000,
			r.Moves, r.Served, r.ShortWins, r.LongWins)
	}
	_ = t.Flush()
	fmt.Fprintf(w, "means over %d seeds; lowest 95th percentile by arrivals:\n", rep.Seeds)
	for _, winner := range rep.Winners {
		fmt.Fprintln(w, " ", winner)
	}
}
