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
	// Faults are what a stand-in backend server is told over HTTP.
	Faults struct {
		// Shed refuses every request before running it.
		Shed bool `json:"shed"`
		// CrashPath ends the server when a request for a path with this prefix
		// comes; empty for none.
		CrashPath string `json:"crashPath"`
		// Health is the status that the health endpoint claims; 0 is the truth.
		Health int `json:"health"`
		// Slower is added to the time that each request runs.
		Slower unit.Duration `json:"slower"`
	}

	// Seen is what a stand-in backend server saw, told over HTTP.
	Seen struct {
		// Running is the number of requests that are running.
		Running int `json:"running"`
		// Ran counts the requests that were run.
		Ran int `json:"ran"`
		// Twice counts the request ids that were run more than once.
		Twice int `json:"twice"`
		// Overloads counts the requests that were run above the slots.
		Overloads int `json:"overloads"`
		// Shed counts the requests that were refused unrun.
		Shed int `json:"shed"`
		// Crashes counts the crashes.
		Crashes int `json:"crashes"`
	}
)

// control answers GET /servers/{service}/{server} with what the server saw, of
// the request ids that start with the parameter prefix, and takes PUT with faults there, with an empty body at .../silence to let
// its open connections go silent, and at .../stop to end it.
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
		writeSeen(w, s, r.URL.Query().Get("prefix"))
	case "PUT ":
		setFaults(w, r, s)
	case "PUT silence":
		s.Silence(1)
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

// writeSeen tells what the server saw, with the runs of the request ids that
// start with prefix.
func writeSeen(w http.ResponseWriter, s *backend.Server, prefix string) {
	record := s.Record()
	seen := Seen{Running: s.Load().Running, Overloads: record.Overloads, Shed: record.Shed, Crashes: record.Crashes}
	for id, count := range record.Ran {
		if !strings.HasPrefix(id, prefix) {
			continue
		}
		seen.Ran += count
		if count > 1 {
			seen.Twice++
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(seen) // the client may be gone
}

func setFaults(w http.ResponseWriter, r *http.Request, s *backend.Server) {
	var faults Faults
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, controlBody))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	to := backend.Faults{Shed: faults.Shed, Health: faults.Health, Slower: faults.Slower.Std()}
	if faults.CrashPath != "" {
		to.Crash = func(r *http.Request) bool { return strings.HasPrefix(r.URL.Path, faults.CrashPath) }
	}
	s.SetFaults(to)
	w.WriteHeader(http.StatusNoContent)
}
