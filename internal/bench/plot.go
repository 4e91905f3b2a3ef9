package bench

import (
	"math"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	plotNines  = 4.0 // up to the 99.99th percentile
	plotPoints = 200
)

// Plot draws the latency over the percentile, in nines. The extension of the file
// selects the format: svg, png or pdf.
func (r *Report) Plot(path string) error {
	p := plot.New()
	p.X.Label.Text = "percentile in nines (1 is 90%, 2 is 99%)"
	p.Y.Label.Text = "latency in ms"
	p.Legend.Top, p.Legend.Left = true, true
	for i := range r.Targets {
		line, err := plotter.NewLine(r.Targets[i].curve())
		if err != nil {
			return eris.Wrap(err, "plot")
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(r.Targets[i].URL, line)
	}
	return eris.Wrap(p.Save(plotWidth, plotHeight, path), "plot")
}

func (t *Target) curve() plotter.XYs {
	points := make(plotter.XYs, plotPoints)
	for i := range points {
		nines := plotNines * float64(i) / (plotPoints - 1)
		quantile := 100 * (1 - math.Pow(10, -nines))
		points[i] = plotter.XY{X: nines, Y: float64(t.merged.ValueAtQuantile(quantile)) / 1000}
	}
	return points
}
