package fleet

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/shallotpier/shallotpier/internal/standin/backend"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/unit"
)

const (
	controlPath = "/servers/"
	controlBody = 4 << 10
)

type (
	// Faults are the faults of a simulated backend server, set over HTTP.
	Faults struct {
		// Shed sheds every request without running it.
		Shed bool `json:"shed"`
		// CrashPath is a path prefix; a request for such a path crashes the
		// server. Empty means none.
		CrashPath string `json:"crashPath"`
		// Health overrides the status of the health endpoint; 0 means the real
		// status.
		Health int `json:"health"`
		// ExtraTime is added to the running time of each request.
		ExtraTime unit.Duration `json:"slower"`
	}

	// Counts holds the counts of a simulated backend server, read over HTTP.
	Counts struct {
		// Running is the number of requests that are running.
		Running int `json:"running"`
		// Ran counts the requests that ran.
		Ran int `json:"ran"`
		// Twice counts the request IDs that ran more than once.
		Twice int `json:"twice"`
		// Overloads counts the requests that ran although all slots were in
		// use.
		Overloads int `json:"overloads"`
		// Shed counts the requests that were shed.
		Shed int `json:"shed"`
		// Crashes counts the crashes.
		Crashes int `json:"crashes"`
	}
)

// control serves /servers/{service}/{server}. GET returns the server's counts; Ran and
// Twice include only request IDs that start with the parameter prefix. PUT sets
// the faults. PUT with an empty body to .../silence stalls the open connections,
// and to .../stop stops the server.
func (f *Fleet) control(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, controlPath), "/")
	if len(parts) < 2 {
		http.NotFound(w, r)
		return
	}
	s := f.Server(id.Service(parts[0]), id.Server(parts[1]))
	if s == nil {
		http.NotFound(w, r)
		return
	}
	switch r.Method + " " + strings.Join(parts[2:], "/") {
	case "GET ":
		writeCounts(w, s, r.URL.Query().Get("prefix"))
	case "PUT ":
		setFaults(w, r, s)
	case "PUT silence":
		s.StallConnections(1)
		w.WriteHeader(http.StatusNoContent)
	case "PUT stop":
		if err := s.Close(); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	default:
		http.NotFound(w, r)
	}
}

// writeCounts writes the server's counts; Ran and Twice include only request IDs that
// start with prefix.
func writeCounts(w http.ResponseWriter, s *backend.Server, prefix string) {
	record := s.Record()
	counts := Counts{Running: s.Load().Running, Overloads: record.Overloads, Shed: record.Shed, Crashes: record.Crashes}
	for id, count := range record.Ran {
		if !strings.HasPrefix(id, prefix) {
			continue
		}
		counts.Ran += count
		if count > 1 {
			counts.Twice++
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(counts) // the client may have disconnected
}

func setFaults(w http.ResponseWriter, r *http.Request, s *backend.Server) {
	var faults Faults
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, controlBody))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	to := backend.Faults{Shed: faults.Shed, Health: faults.Health, ExtraTime: faults.ExtraTime.Std()}
	if faults.CrashPath != "" {
		to.Crash = func(r *http.Request) bool { return strings.HasPrefix(r.URL.Path, faults.CrashPath) }
	}
	s.SetFaults(to)
	w.WriteHeader(http.StatusNoContent)
}
