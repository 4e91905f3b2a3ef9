package replay

import (
	"time"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// Plot draws the 99th percentile of waiting in each second of the trace, one
// line a policy, to a file whose ending tells the form: svg, png or pdf.
func (r *Report) Plot(path string) error {
	p := plot.New()
	p.X.Label.Text = "time in s"
	p.Y.Label.Text = "waiting p99 in ms"
	p.Legend.Top, p.Legend.Left = true, true
	for i := range r.Results {
		points := make(plotter.XYs, 0, len(r.Results[i].series))
		for second, v := range r.Results[i].series {
			ms := float64(v.P99.Std()) / float64(time.Millisecond)
			points = append(points, plotter.XY{X: float64(second), Y: ms})
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return eris.Wrap(err, "plot")
		}
		line.Color = plotutil.Color(i)
		line.Dashes = plotutil.Dashes(i / len(plotutil.DefaultColors))
		p.Add(line)
		p.Legend.Add(r.Results[i].Policy, line)
	}
	return eris.Wrap(p.Save(plotWidth, plotHeight, path), "plot")
}
