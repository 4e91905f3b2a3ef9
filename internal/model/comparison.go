package model

import (
	"fmt"
	"io"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	// plotStep is the period that one point of a plot covers.
	plotStep = 500 * time.Millisecond
	tabSpace = 2
	median   = 0.5
	tail     = 0.99
)

type (
	// Comparison holds the results of two policies on the same arrivals.
	Comparison struct {
		// Pattern is the load pattern's name.
		Pattern string `json:"pattern"`
		// Names are the names of the two policies.
		Names [2]string `json:"names"`
		// Seeds holds the results for each seed.
		Seeds []SeedResult `json:"seeds"`

		reports [][2]*Report
	}

	// SeedResult holds the results of both policies for one seed.
	SeedResult struct {
		// Seed is the seed of the simulation.
		Seed uint64 `json:"seed"`
		// Results are the results of the two policies, in the order of Names.
		Results [2]Result `json:"results"`
	}

	// Result summarises the requests that arrived in the pattern's period.
	Result struct {
		// Credit is the mean credit, 0 to 1.
		Credit float64 `json:"credit"`
		// Unserved is the fraction of requests that were rejected or failed.
		Unserved float64 `json:"unserved"`
		// P50 and P99 are latencies of served requests, in nanoseconds in JSON.
		P50 time.Duration `json:"p50"`
		P99 time.Duration `json:"p99"`
		// Late is the fraction of requests that were served after their objective.
		Late float64 `json:"late"`
		// Spread tells how evenly the load was spread over the servers.
		Spread Spread `json:"spread"`
	}
)

// Compare simulates two policies on the same arrivals, once for each seed. It
// returns an error if a policy is unknown.
func Compare(p *Pattern, names [2]string, seeds []uint64) (*Comparison, error) {
	c := &Comparison{Pattern: p.Name, Names: names, Seeds: make([]SeedResult, len(seeds)), reports: make([][2]*Report, len(seeds))}
	known := Policies()
	for _, name := range names {
		if known[name] == nil {
			return nil, eris.Errorf("unknown policy %q", name)
		}
	}
	var all sync.WaitGroup
	for i, seed := range seeds {
		c.Seeds[i].Seed = seed
		for k, name := range names {
			all.Go(func() {
				m := p.Model(seed)
				m.Policy = known[name]
				r := m.Run()
				c.reports[i][k] = r
				c.Seeds[i].Results[k] = Result{
					Credit: r.Credit(p.From, p.To), Unserved: r.Unserved(p.From, p.To),
					P50: r.Latency(median, p.From, p.To), P99: r.Latency(tail, p.From, p.To),
					Late: r.Late(p.From, p.To), Spread: r.Spread(p.From, p.To),
				}
			})
		}
	}
	all.Wait()
	return c, nil
}

// Means returns the credit of both policies, averaged over the seeds.
func (c *Comparison) Means() [2]float64 {
	var out [2]float64
	for _, s := range c.Seeds {
		for k := range out {
			out[k] += s.Results[k].Credit / float64(len(c.Seeds))
		}
	}
	return out
}

// WriteText writes the comparison as a text table.
func (c *Comparison) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, tabSpace, ' ', 0)
	fmt.Fprintf(t, "%s\n", c.Pattern)
	fmt.Fprintf(t, "seed\tpolicy\tcredit\tunserved\tlate\tp50\tp99\tbusiest\tcv100ms\tcv2s\tneedless\toscillations\n")
	for _, s := range c.Seeds {
		for k, r := range s.Results {
			fmt.Fprintf(t, "%d\t%s\t%.3f\t%.3f\t%.3f\t%v\t%v\t%.2f\t%.2f\t%.2f\t%.3f\t%.1f\n", s.Seed, c.Names[k], r.Credit, r.Unserved, r.Late,
				r.P50.Round(time.Millisecond), r.P99.Round(time.Millisecond), r.Spread.Busiest, r.Spread.Short, r.Spread.Long, r.Spread.Needless, r.Spread.Oscillations)
		}
	}
	means := c.Means()
	fmt.Fprintf(t, "mean\t%s\t%.3f\n\t%s\t%.3f\n", c.Names[0], means[0], c.Names[1], means[1])
	return t.Flush()
}

// Plot draws the credit over time for the first seed. The extension of the file
// selects the format: svg, png or pdf.
func (c *Comparison) Plot(path string) error {
	p := plot.New()
	p.Title.Text = c.Pattern
	p.X.Label.Text = "time in s"
	p.Y.Label.Text = "earned part of the credit"
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.Left = true
	for k, r := range c.reports[0] {
		var points plotter.XYs
		for at := time.Duration(0); at < r.length; at += plotStep {
			points = append(points, plotter.XY{X: at.Seconds(), Y: r.Credit(at, at+plotStep)})
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return eris.Wrap(err, "plot")
		}
		line.Color = plotutil.Color(k)
		p.Add(line)
		p.Legend.Add(c.Names[k], line)
	}
	return eris.Wrap(p.Save(plotWidth, plotHeight, path), "plot")
}
