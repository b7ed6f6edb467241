package experiment

import (
	"fmt"
	"io"
	"slices"

	"github.com/gravitational/trace"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of the plot.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// WriteSVG plots the p95 slowdown of short requests against the offered load: one
// line per deployment and policy, the median over the seeds.
func WriteSVG(w io.Writer, reports []*Report) error {
	p := plot.New()
	p.Title.Text = "Short requests: p95 time to first token, as a multiple of the prefill time on an idle engine"
	p.X.Label.Text = "offered load, in percent of capacity"
	p.Y.Label.Text = "multiple of idle prefill time"
	p.Y.Min = 0
	p.Legend.Top = true
	p.Legend.Left = true
	var lines []any
	for _, name := range lineNames(reports) {
		lines = append(lines, name, linePoints(reports, name))
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return trace.Wrap(err)
	}
	out, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return trace.Wrap(err)
	}
	_, err = out.WriteTo(w)
	return trace.Wrap(err)
}

func lineName(r *Report) string { return fmt.Sprintf("%s, %s", r.Deployment, r.Policy) }

func lineNames(reports []*Report) []string {
	var names []string
	for _, r := range reports {
		if !slices.Contains(names, lineName(r)) {
			names = append(names, lineName(r))
		}
	}
	return names
}

// linePoints returns the points of one line: the median over the seeds for each
// load.
func linePoints(reports []*Report, name string) plotter.XYs {
	byLoad := map[float64][]float64{}
	for _, r := range reports {
		if lineName(r) == name {
			byLoad[r.Load] = append(byLoad[r.Load], quantile(r.ShortFirstTokenRatio, 95))
		}
	}
	var points plotter.XYs
	for load, values := range byLoad {
		slices.Sort(values)
		points = append(points, plotter.XY{X: load * 100, Y: values[len(values)/2]})
	}
	slices.SortFunc(points, func(a, b plotter.XY) int { return int(a.X - b.X) })
	return points
}
