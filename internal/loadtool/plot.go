package loadtool

import (
	"image/color"
	"math"

	"bilberryhub/internal/workload"

	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Series is one named line of a chart.
type Series struct {
	Name   string
	Points plotter.XYs
}

// Chart describes a line chart with the labels X and Y of its axes.
type Chart struct {
	Title, X, Y string
	// Names are the labels of the integer positions of the X axis, if any.
	Names []string
	// LogY makes the Y axis logarithmic.
	LogY   bool
	Series []Series
}

const (
	chartWidth  = 22 * vg.Centimeter
	chartHeight = 13 * vg.Centimeter
)

// Save draws the chart into a PNG file.
func (c *Chart) Save(path string) error {
	p := plot.New()
	p.BackgroundColor = color.White
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = c.Title, c.X, c.Y
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	if len(c.Names) > 0 {
		p.NominalX(c.Names...)
	}
	if c.LogY {
		p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	}
	for i, s := range c.Series {
		points := make(plotter.XYs, 0, len(s.Points))
		for _, xy := range s.Points {
			// A logarithmic axis cannot show zero.
			if !math.IsNaN(xy.Y) && (!c.LogY || xy.Y > 0) {
				points = append(points, xy)
			}
		}
		if len(points) == 0 {
			continue
		}
		line, marks, err := plotter.NewLinePoints(points)
		if err != nil {
			return errors.Annotatef(err, "plot %s", s.Name)
		}
		line.Color, line.Width = plotutil.Color(i), vg.Points(1.5)
		marks.Color, marks.Shape = plotutil.Color(i), plotutil.Shape(i)
		p.Add(line, marks)
		p.Legend.Add(s.Name, line, marks)
	}
	return errors.Annotatef(p.Save(chartWidth, chartHeight, path), "save plot %s", path)
}

// Plot writes a chart of the report to a PNG file: first-token times by length class,
// or, for ModePath, by number of open streams. It writes none if there are no times.
func Plot(rep *Report, path string) error {
	if len(rep.Path) > 0 {
		return pathChart(rep.Path).Save(path)
	}
	c := &Chart{Title: "Time to first token " + rep.Label, X: "prompt tokens", Y: "ms", LogY: true}
	c.Series = []Series{{Name: "median"}, {Name: "95th percentile"}, {Name: "99th percentile"}}
	for i, class := range workload.Classes {
		c.Names = append(c.Names, class.Name)
		t, ok := rep.TTFT[class.Name]
		if !ok {
			continue
		}
		for s, v := range []float64{t.P50, t.P95, t.P99} {
			c.Series[s].Points = append(c.Series[s].Points, plotter.XY{X: float64(i), Y: v})
		}
	}
	if len(c.Series[0].Points) == 0 {
		return nil
	}
	return c.Save(path)
}

// pathChart returns the chart of first-token times by number of open streams.
func pathChart(points []*PathPoint) *Chart {
	c := &Chart{Title: "Time to first token of probes", X: "log10 of open streams", Y: "ms", LogY: true}
	c.Series = []Series{{Name: "direct median"}, {Name: "entry median"}, {Name: "direct 99th"}, {Name: "entry 99th"}}
	for _, p := range points {
		x := math.Log10(float64(p.OpenStreams))
		for s, v := range []float64{p.Direct.P50, p.Entry.P50, p.Direct.P99, p.Entry.P99} {
			c.Series[s].Points = append(c.Series[s].Points, plotter.XY{X: x, Y: v})
		}
	}
	return c
}
