package bench

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/shallotpier/shallotpier/internal/openloop"
)

const tabPadding = 2

type (
	// Report holds the results of a benchmark.
	Report struct {
		// Targets holds the results of each target.
		Targets []Target `json:"targets"`
		// Ratios compares the first target with the second; nil for one target.
		Ratios *Ratios `json:"ratios,omitempty"`
	}

	// Target holds the results of one target.
	Target struct {
		// URL is the target's URL.
		URL string `json:"url"`
		// Sent is the number of requests scheduled after the warm-up.
		Sent int `json:"sent"`
		// Failed is the number of these without a complete response of status
		// 200.
		Failed int `json:"failed"`
		// FirstError is the first error that occurred.
		FirstError string `json:"firstError,omitempty"`
		// All holds the latency percentiles over all seeds.
		All openloop.Percentiles `json:"all"`
		// Seeds holds the latency percentiles of each seed.
		Seeds []Seed `json:"seeds"`

		merged *hdrhistogram.Histogram
	}

	// Seed holds the results of one seed.
	Seed struct {
		// Seed is the seed of the schedule.
		Seed uint64 `json:"seed"`
		// Latency holds the latency percentiles.
		Latency openloop.Percentiles `json:"latency"`
	}

	// Ratios holds the latency of the first target divided by that of the second.
	Ratios struct {
		// P50 is the ratio of the medians.
		P50 Ratio `json:"p50"`
		// P99 is the ratio of the 99th percentiles.
		P99 Ratio `json:"p99"`
	}

	// Ratio summarises the ratios of all seeds.
	Ratio struct {
		// Median is the median ratio, the upper one of an even number.
		Median float64 `json:"median"`
		// Least is the smallest ratio.
		Least float64 `json:"least"`
		// Greatest is the largest ratio.
		Greatest float64 `json:"greatest"`
	}
)

func newReport(b *Bench) *Report {
	r := new(Report)
	for _, url := range b.Targets {
		r.Targets = append(r.Targets, Target{URL: url, merged: openloop.NewHistogram()})
	}
	return r
}

func (r *Report) add(seed uint64, results []openloop.Result) {
	for i := range results {
		t, result := &r.Targets[i], &results[i]
		t.Sent += result.Sent
		t.Failed += result.Failed
		if t.FirstError == "" && result.FirstError != nil {
			t.FirstError = result.FirstError.Error()
		}
		t.merged.Merge(result.Latency)
		t.Seeds = append(t.Seeds, Seed{Seed: seed, Latency: result.Percentiles()})
	}
}

func (r *Report) finish() {
	for i := range r.Targets {
		r.Targets[i].All = openloop.PercentilesOf(r.Targets[i].merged)
	}
	if len(r.Targets) < MaxTargets {
		return
	}
	r.Ratios = &Ratios{
		P50: r.ratioOf(func(p openloop.Percentiles) float64 { return float64(p.P50) }),
		P99: r.ratioOf(func(p openloop.Percentiles) float64 { return float64(p.P99) }),
	}
}

func (r *Report) ratioOf(percentile func(openloop.Percentiles) float64) Ratio {
	var all []float64
	for i, first := range r.Targets[0].Seeds {
		if base := percentile(r.Targets[1].Seeds[i].Latency); base > 0 {
			all = append(all, percentile(first.Latency)/base)
		}
	}
	if len(all) == 0 {
		return Ratio{}
	}
	slices.Sort(all)
	return Ratio{Median: all[len(all)/2], Least: all[0], Greatest: all[len(all)-1]}
}

// Failed reports whether any request failed or a target has no recorded request.
func (r *Report) Failed() bool {
	return slices.ContainsFunc(r.Targets, func(t Target) bool { return t.Failed > 0 || t.Sent == 0 })
}

// WriteText writes the report as a text table.
func (r *Report) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, tabPadding, ' ', 0)
	fmt.Fprintln(t, "TARGET\tSEED\tSENT\tFAILED\tP50\tP99\tP99.9\tMAX")
	for _, target := range r.Targets {
		for _, s := range target.Seeds {
			row(t, target.URL, fmt.Sprint(s.Seed), "", "", s.Latency)
		}
		row(t, target.URL, "all", fmt.Sprint(target.Sent), fmt.Sprint(target.Failed), target.All)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, target := range r.Targets {
		if target.FirstError != "" {
			fmt.Fprintf(w, "%s: first error: %s\n", target.URL, target.FirstError)
		}
	}
	if r.Ratios != nil {
		fmt.Fprintf(w, "first to second: p50 %s, p99 %s\n", r.Ratios.P50, r.Ratios.P99)
	}
	return nil
}

// String formats the ratio as median, minimum and maximum.
func (r Ratio) String() string {
	return fmt.Sprintf("%.2f (%.2f to %.2f)", r.Median, r.Least, r.Greatest)
}

func row(w io.Writer, url, seed, sent, failed string, p openloop.Percentiles) {
	fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", url, seed, sent, failed, p.P50, p.P99, p.P999, p.Max)
}
