package replay

import (
	"os"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 30 * vg.Centimeter
	plotRows   = 3
)

// Plot draws, for each second of the trace, the 99th percentile of the queue time
// and the refused requests of each policy, and the load of each region with the
// last policy but one, which is shares in the order of [Policies]. The extension
// of the file selects the format: svg, png or pdf.
func (r *Report) Plot(path string) error {
	if len(r.Results) == 0 {
		return eris.New("nothing to plot")
	}
	plots := make([][]*plot.Plot, 0, plotRows)
	for _, draw := range []func() (*plot.Plot, error){r.plotWaiting, r.plotRefusals, r.plotRegions} {
		p, err := draw()
		if err != nil {
			return eris.Wrap(err, "plot")
		}
		plots = append(plots, []*plot.Plot{p})
	}
	canvas, err := draw.NewFormattedCanvas(plotWidth, plotHeight, strings.TrimPrefix(filepath.Ext(path), "."))
	if err != nil {
		return eris.Wrap(err, "plot")
	}
	tiles := draw.Tiles{Rows: plotRows, Cols: 1, PadY: vg.Centimeter}
	for i, row := range plot.Align(plots, tiles, draw.New(canvas)) {
		plots[i][0].Draw(row[0])
	}
	file, err := os.Create(path)
	if err != nil {
		return eris.Wrap(err, "plot")
	}
	if _, err := canvas.WriteTo(file); err != nil {
		_ = file.Close()
		return eris.Wrap(err, "plot")
	}
	return eris.Wrap(file.Close(), "plot")
}

func (r *Report) plotWaiting() (*plot.Plot, error) {
	p := newPlot("waiting p99 in ms")
	for i := range r.Results {
		if err := addLine(p, i, r.Results[i].Policy, r.Results[i].p99BySecond); err != nil {
			return nil, err
		}
	}
	return p, nil
}

func (r *Report) plotRefusals() (*plot.Plot, error) {
	p := newPlot("refused a second")
	for i := range r.Results {
		if err := addLine(p, i, r.Results[i].Policy, r.Results[i].refusedBySecond); err != nil {
			return nil, err
		}
	}
	return p, nil
}

func (r *Report) plotRegions() (*plot.Plot, error) {
	last := &r.Results[max(0, len(r.Results)-2)]
	p := newPlot("slots in use, " + last.Policy)
	for i, region := range last.regions {
		if err := addLine(p, i, string(region.name), region.load); err != nil {
			return nil, err
		}
	}
	return p, nil
}

func newPlot(label string) *plot.Plot {
	p := plot.New()
	p.X.Label.Text = "time in s"
	p.Y.Label.Text = label
	p.Y.Min = 0
	p.Legend.Top, p.Legend.Left = true, true
	return p
}

// addLine adds a line with one value per second. An empty series is skipped.
func addLine(p *plot.Plot, i int, name string, values []float64) error {
	if len(values) == 0 {
		return nil
	}
	points := make(plotter.XYs, len(values))
	for second, v := range values {
		points[second] = plotter.XY{X: float64(second), Y: v}
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color = plotutil.Color(i)
	line.Dashes = plotutil.Dashes(i / len(plotutil.DefaultColors))
	p.Add(line)
	p.Legend.Add(name, line)
	return nil
}
