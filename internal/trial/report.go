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
	// Report is the result of a trial.
	Report struct {
		// Deployment is the deployment's name.
		Deployment string `json:"deployment"`
		// Seed is the seed of the random choices.
		Seed uint64 `json:"seed"`
		// Took is the duration of the trial, in seconds.
		Took float64 `json:"tookSeconds"`
		// Entries is the number of entries.
		Entries int `json:"entries"`
		// Servers is the number of backend servers.
		Servers int `json:"servers"`
		// Latency holds the latency for callers, by class.
		Latency []Latency `json:"latency"`
		// Regions holds the headroom of each service in each region.
		Regions []Region `json:"regions"`
		// Links holds the headroom of each link direction.
		Links []Link `json:"links"`
		// Drain is the drain of a backend server.
		Drain Drain `json:"drain"`
		// Shutdown is the graceful shutdown of an entry.
		Shutdown Shutdown `json:"stopped"`
		// Versions holds the publications, in order.
		Versions []Publication `json:"versions"`
		// Uploads holds the long uploads during the drain and the shutdown.
		Uploads []LongUpload `json:"uploads"`
		// Promises holds the checked guarantees.
		Promises []Promise `json:"promises"`
	}

	// Latency is the latency for callers of a class, from the scheduled time of
	// sending, including lookups and retries.
	Latency struct {
		// Service is the service.
		Service id.Service `json:"service"`
		// Class is the class, or "lookup".
		Class id.Class `json:"class"`
		// Sent is the number of requests.
		Sent int `json:"sent"`
		// Failed is the number of requests that were not served after all retries.
		Failed int `json:"failed"`
		// FirstError is the error of the first failed request.
		FirstError string `json:"firstError,omitempty"`
		// Percentiles holds the latency percentiles of the served requests.
		Percentiles openloop.Percentiles `json:"percentiles"`
	}

	// Region is the headroom of a service in a region, measured at the stand-ins.
	Region struct {
		// Service is the service.
		Service id.Service `json:"service"`
		// Region is the region.
		Region id.Region `json:"region"`
		// Slots is the number of slots of the service's servers in the region.
		Slots int `json:"slots"`
		// Peak is the largest number of slots in use in a sample.
		Peak int `json:"peak"`
		// Headroom is the unused fraction of the slots at the peak.
		Headroom float64 `json:"headroom"`
	}

	// Drain is the drain of a backend server.
	Drain struct {
		// Service is the server's service.
		Service id.Service `json:"service"`
		// Server is the backend server.
		Server id.Server `json:"server"`
		// Took is the time from the command until no request ran on the server,
		// in seconds.
		Took float64 `json:"tookSeconds"`
		// Done reports whether the drain ended within the trial.
		Done bool `json:"done"`
	}
)

// Broken reports whether a promise was broken.
func (r *Report) Broken() bool {
	return slices.ContainsFunc(r.Promises, func(p Promise) bool { return !p.Kept })
}

// WriteText writes the report as tables and plain text.
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
	fmt.Fprintf(w, "\nbackend server %s of %s %s; entry %s stopped in %.1f s\n", r.Drain.Server, r.Drain.Service, drained, r.Shutdown.Instance, r.Shutdown.Took)
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
