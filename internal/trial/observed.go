package trial

import (
	"sync"
	"time"

	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/result"
	"github.com/shallotpier/shallotpier/pkg/service"
)

type (
	// Attempt is one send of a request by a caller to an entry, as the caller
	// saw it.
	Attempt struct {
		// ID is the request id of the attempt.
		ID string
		// Request names the request that it belongs to.
		Request string
		// Service is the request's service.
		Service id.Service
		// Kind is the kind of the request's class.
		Kind service.Kind
		// Entry is the entry that it was sent to.
		Entry id.Instance
		// Server is the backend server that the answer names.
		Server id.Server
		// Began is when the attempt was sent, from the start of the load.
		Began time.Duration
		// Ended is when the attempt ended, from the start of the load.
		Ended time.Duration
		// Code is the result code; 0 if no answer came.
		Code result.Code
		// Ran is what the caller was told.
		Ran result.Ran
		// Version is the configuration version of the answer; 0 without one.
		Version id.Version
		// Own tells whether a served answer was whole and the request's own.
		Own bool
		// Short tells that the attempt has a deadline of its own that it is
		// meant to miss.
		Short bool
		// Planned tells that the attempt was under way while a planned stop
		// went on, and isn't short.
		Planned bool
	}

	// Ran is what the stand-ins recorded of one attempt.
	Ran struct {
		// Count is how often it was run.
		Count int
		// Servers lists where.
		Servers []id.Server
	}

	// Peak is the greatest use of a backend server.
	Peak struct {
		// Service is the server's service.
		Service id.Service
		// Server is the backend server.
		Server id.Server
		// Slots is what it has.
		Slots int
		// Running is the greatest number of requests at the same time.
		Running int
		// Overloads counts requests that were run above the slots.
		Overloads int
		// Connections is what it takes.
		Connections int
		// Open is the greatest number of connections.
		Open int
		// Refused counts connections over the limit.
		Refused int
	}

	// Link is the greatest use of one direction between regions.
	Link struct {
		// From is the sending region.
		From id.Region `json:"from"`
		// To is the receiving region.
		To id.Region `json:"to"`
		// Budget is what entries may send, in bits a second.
		Budget float64 `json:"budgetBitsPerSecond"`
		// Peak is the greatest mean over half a second, in bits a second.
		Peak float64 `json:"peakBitsPerSecond"`
		// Headroom is the share of the budget left at the peak.
		Headroom float64 `json:"headroom"`
	}

	// Observed is all that a trial saw.
	Observed struct {
		// Attempts holds what callers were told.
		Attempts []Attempt
		// Ran holds what the stand-ins ran, by attempt id.
		Ran map[string]Ran
		// Peaks holds the use of the backend servers.
		Peaks []Peak
		// Links holds the use of the links.
		Links []Link
		// Rises holds the rises of requests toward regions.
		Rises []Rise
		// Late lists attempts that began at the leaving backend server after
		// its grace time; LateLooked tells that they were looked for.
		Late []string
		// LateLooked tells that the leaving server was watched.
		LateLooked bool
		// Uploads holds the long uploads.
		Uploads []LongUpload
		// Versions holds the publications.
		Versions []Publication
		// Stopped tells how the planned stop of an entry ended.
		Stopped Stop
	}

	// Rise is the greatest rise of requests of a service toward a region.
	Rise struct {
		// Service is the service.
		Service id.Service `json:"service"`
		// Region is the region.
		Region id.Region `json:"region"`
		// Cap is the cap on the rise in a window, in requests a second.
		Cap float64 `json:"cap"`
		// Greatest is the greatest rise seen in a window.
		Greatest float64 `json:"greatest"`
	}

	// LongUpload is an upload that lasts through a planned stop.
	LongUpload struct {
		// Through is what stops under it.
		Through string `json:"through"`
		// Bytes is its size.
		Bytes int64 `json:"bytes"`
		// Whole tells whether its whole answer came.
		Whole bool `json:"whole"`
		// Outlasted tells whether it ended after the stop had begun to refuse
		// new work.
		Outlasted bool `json:"outlasted"`
	}

	// Publication is one publication of the service files.
	Publication struct {
		// Version is the accepted version.
		Version id.Version `json:"version"`
		// Everywhere is the time until every entry had it in force, in
		// seconds.
		Everywhere float64 `json:"everywhereSeconds"`
		// Reached tells whether every entry got it.
		Reached bool `json:"reached"`
	}

	// Stop is the planned stop of an entry.
	Stop struct {
		// Instance is the entry.
		Instance id.Instance `json:"instance"`
		// Took is the time from the signal to the end, in seconds.
		Took float64 `json:"tookSeconds"`
		// Clean tells whether it ended by itself and without an error.
		Clean bool `json:"clean"`
	}

	// attempts collects attempts of many callers.
	attempts struct {
		mu  sync.Mutex
		all []Attempt
	}
)

func (a *attempts) add(one Attempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.all = append(a.all, one)
}
