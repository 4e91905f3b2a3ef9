package trial

import (
	"sync"
	"time"

	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/result"
	"github.com/shallotpier/shallotpier/pkg/service"
)

type (
	// Attempt is one attempt of a caller to send a request to an entry, with the
	// result that the caller received.
	Attempt struct {
		// ID is the request ID of the attempt.
		ID string
		// Request is the name of the request that the attempt belongs to.
		Request string
		// Service is the request's service.
		Service id.Service
		// Kind is the kind of the request's class.
		Kind service.Kind
		// Entry is the entry to which the attempt was sent.
		Entry id.Instance
		// Server is the backend server named in the answer.
		Server id.Server
		// Began is the time of sending, since the start of the load.
		Began time.Duration
		// Ended is the time of the answer or error, since the start of the load.
		Ended time.Duration
		// Code is the result code; 0 without an answer.
		Code result.Code
		// Ran is the reported answer to whether the request ran.
		Ran result.Ran
		// Version is the configuration version in the answer; 0 without one.
		Version id.Version
		// AnswerValid reports whether the answer of a served attempt was complete
		// and belonged to this request.
		AnswerValid bool
		// ShortDeadline marks an attempt that has its own short deadline instead
		// of that of its class and is expected to miss it.
		ShortDeadline bool
		// DuringShutdown marks an attempt at an entry during that entry's
		// graceful shutdown. It is false with ShortDeadline.
		DuringShutdown bool
	}

	// Executions are the executions of one attempt, as recorded by the stand-ins.
	Executions struct {
		// Count is the number of executions.
		Count int
		// Servers lists the backend servers that executed the attempt.
		Servers []id.Server
	}

	// ServerPeak is the peak use of a backend server.
	ServerPeak struct {
		// Service is the server's service.
		Service id.Service
		// Server is the backend server.
		Server id.Server
		// Slots is its concurrency limit.
		Slots int
		// Running is the largest number of concurrent requests.
		Running int
		// Overloads is the number of requests that ran in excess of the slots.
		Overloads int
		// Connections is its connection limit.
		Connections int
		// Open is the largest number of open connections.
		Open int
		// Refused is the number of connections refused over the limit.
		Refused int
	}

	// Link is the peak use of one direction of a link between regions.
	Link struct {
		// From is the sending region.
		From id.Region `json:"from"`
		// To is the receiving region.
		To id.Region `json:"to"`
		// Budget is the bandwidth available to entries, in bits per second.
		Budget float64 `json:"budgetBitsPerSecond"`
		// Peak is the largest mean over half a second, in bits per second.
		Peak float64 `json:"peakBitsPerSecond"`
		// Headroom is the unused fraction of the budget at the peak.
		Headroom float64 `json:"headroom"`
	}

	// Observed holds all observations of a trial.
	Observed struct {
		// Attempts holds the results that callers received.
		Attempts []Attempt
		// Executions holds the executions on the stand-ins, by attempt ID.
		Executions map[string]Executions
		// ServerPeaks holds the peak use of each backend server.
		ServerPeaks []ServerPeak
		// Links holds the peak use of each link direction.
		Links []Link
		// Rises holds the largest rise of each service toward each region.
		Rises []Rise
		// LateRequests lists the attempts that started on the draining backend
		// server after the grace period.
		LateRequests []string
		// LateChecked reports whether the draining server was checked for them.
		LateChecked bool
		// Uploads holds the long uploads during the drain and the shutdown.
		Uploads []LongUpload
		// Versions holds the publications, in order.
		Versions []Publication
		// Shutdown is the graceful shutdown of an entry.
		Shutdown Shutdown
	}

	// Rise is the largest increase of a service's request rate toward a region.
	Rise struct {
		// Service is the service.
		Service id.Service `json:"service"`
		// Region is the region.
		Region id.Region `json:"region"`
		// Cap is the limit on the increase between windows, in requests per
		// second.
		Cap float64 `json:"cap"`
		// Max is the largest increase observed, in requests per second.
		Max float64 `json:"greatest"`
	}

	// LongUpload is an upload in progress during a drain or a graceful shutdown.
	LongUpload struct {
		// Via is the backend server that is drained or the entry that shuts down.
		Via string `json:"through"`
		// Bytes is the size of the body.
		Bytes int64 `json:"bytes"`
		// Complete reports whether the complete answer was received.
		Complete bool `json:"whole"`
		// Outlasted reports whether the upload ended after Via had stopped
		// accepting new requests, so that it could have been interrupted.
		Outlasted bool `json:"outlasted"`
	}

	// Publication is one publication of the service files.
	Publication struct {
		// Version is the accepted configuration version.
		Version id.Version `json:"version"`
		// RolloutSeconds is the time until the version was active at all entries,
		// in seconds.
		RolloutSeconds float64 `json:"everywhereSeconds"`
		// Complete reports whether the version became active at all entries.
		Complete bool `json:"reached"`
	}

	// Shutdown is the graceful shutdown of an entry.
	Shutdown struct {
		// Instance is the instance of the entry.
		Instance id.Instance `json:"instance"`
		// Took is the time from the request to shut down to the end, in seconds.
		Took float64 `json:"tookSeconds"`
		// Clean reports whether the entry terminated by itself without an error.
		Clean bool `json:"clean"`
	}

	// attempts collects the attempts of concurrent callers.
	attempts struct {
		mu  sync.Mutex
		all []Attempt
	}
)

func (a *attempts) add(attempt Attempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.all = append(a.all, attempt)
}
