package trial

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"github.com/shallotpier/shallotpier/internal/openloop"
	"github.com/shallotpier/shallotpier/pkg/id"
)

const tabPadding = 2

type (
	// Report is what a trial saw.
	Report struct {
		// Deployment is the deployment's name.
		Deployment string `json:"deployment"`
		// Seed is the seed of the run's choices.
		Seed uint64 `json:"seed"`
		// Took is the time of the whole trial, in seconds.
		Took float64 `json:"tookSeconds"`
		// Entries is the number of entries.
		Entries int `json:"entries"`
		// Servers is the number of backend servers.
		Servers int `json:"servers"`
		// Latency holds what callers saw, by class.
		Latency []Latency `json:"latency"`
		// Regions holds the headroom of the regions.
		Regions []Region `json:"regions"`
		// Links holds the headroom of the links.
		Links []Link `json:"links"`
		// Drain tells how the leaving backend server was drained.
		Drain Drain `json:"drain"`
		// Stopped tells how an entry was stopped.
		Stopped Stop `json:"stopped"`
		// Versions holds the publications.
		Versions []Publication `json:"versions"`
		// Uploads holds the uploads that lasted through a stop.
		Uploads []LongUpload `json:"uploads"`
		// Promises holds the promises.
		Promises []Promise `json:"promises"`
	}

	// Latency is what callers of a class saw, from the scheduled time, look-up
	// and resends included.
	Latency struct {
		// Service is the service.
		Service id.Service `json:"service"`
		// Class is the class, or "lookup".
		Class id.Class `json:"class"`
		// Sent counts the requests.
		Sent int `json:"sent"`
		// Failed counts those that were not served in the end.
		Failed int `json:"failed"`
		// FirstError is the first reason for that.
		FirstError string `json:"firstError,omitempty"`
		// Percentiles holds the latencies of those served.
		Percentiles openloop.Percentiles `json:"percentiles"`
	}

	// Region is the headroom of a service in a region, by the stand-ins.
	Region struct {
		// Service is the service.
		Service id.Service `json:"service"`
		// Region is the region.
		Region id.Region `json:"region"`
		// Slots is the sum of slots.
		Slots int `json:"slots"`
		// Peak is the greatest number in use at a sample.
		Peak int `json:"peak"`
		// Headroom is the share left at the peak.
		Headroom float64 `json:"headroom"`
	}

	// Drain is the drain of a backend server.
	Drain struct {
		// Service is the server's service.
		Service id.Service `json:"service"`
		// Server is the backend server.
		Server id.Server `json:"server"`
		// Took is the time from the command until nothing ran there, in
		// seconds.
		Took float64 `json:"tookSeconds"`
		// Done tells whether it ended within the trial.
		Done bool `json:"done"`
	}
)

// Broken tells whether a promise was broken.
func (r *Report) Broken() bool {
	return slices.ContainsFunc(r.Promises, func(p Promise) bool { return !p.Kept })
}

// WriteText writes the report for people.
func (r *Report) WriteText(w io.Writer) error {
	fmt.Fprintf(w, "deployment %s: %d entries, %d backend servers, seed %d, %.1f s\n", r.Deployment, r.Entries, r.Servers, r.Seed, r.Took)
	t := tabwriter.NewWriter(w, 0, 0, tabPadding, ' ', 0)
	fmt.Fprintln(t, "\nLATENCY\tSENT\tFAILED\tP50\tP99\tP99.9\tMAX")
	for _, l := range r.Latency {
		p := l.Percentiles
		fmt.Fprintf(t, "%s/%s\t%d\t%d\t%s\t%s\t%s\t%s\n", l.Service, l.Class, l.Sent, l.Failed, p.P50, p.P99, p.P999, p.Max)
	}
	fmt.Fprintln(t, "\nREGION\tSLOTS\tPEAK USE\tHEADROOM")
	for _, g := range r.Regions {
		fmt.Fprintf(t, "%s in %s\t%d\t%d\t%.0f%%\n", g.Service, g.Region, g.Slots, g.Peak, 100*g.Headroom)
	}
	fmt.Fprintln(t, "\nLINK\tBUDGET Mbit/s\tPEAK Mbit/s\tHEADROOM")
	for _, l := range r.Links {
		fmt.Fprintf(t, "%s to %s\t%.0f\t%.2f\t%.1f%%\n", l.From, l.To, l.Budget/1e6, l.Peak/1e6, 100*l.Headroom)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	r.writeEvents(w)
	return r.writePromises(w)
}

func (r *Report) writeEvents(w io.Writer) {
	drained := "was not drained in time"
	if r.Drain.Done {
		drained = fmt.Sprintf("was drained in %.1f s", r.Drain.Took)
	}
	fmt.Fprintf(w, "\nbackend server %s of %s %s; entry %s stopped in %.1f s\n", r.Drain.Server, r.Drain.Service, drained, r.Stopped.Instance, r.Stopped.Took)
	for _, l := range r.Latency {
		if l.FirstError != "" {
			fmt.Fprintf(w, "%s/%s: first failure: %s\n", l.Service, l.Class, l.FirstError)
		}
	}
}

func (r *Report) writePromises(w io.Writer) error {
	fmt.Fprintln(w, "\nPROMISES")
	for _, p := range r.Promises {
		state := "kept  "
		if !p.Kept {
			state = "BROKEN"
		}
		if _, err := fmt.Fprintf(w, "%s  %s: %s (%d checks)\n", state, p.Name, p.Seen, p.Checked); err != nil {
			return err
		}
	}
	return nil
}
