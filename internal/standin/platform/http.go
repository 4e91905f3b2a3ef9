package platform

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/shallotpier/shallotpier/internal/store"
)

const (
	objectsPath = "/objects/"
	maxWait     = 5 * time.Minute // upper bound of a watch's wait
)

// NewHandler returns a handler for a store and a list of instances.
func NewHandler(s *Store, i *Instances) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", s)
	mux.Handle("/instances", i)
	return mux
}

// ServeHTTP serves the store's objects, counts and faults.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	key, isObject := strings.CutPrefix(r.URL.Path, objectsPath)
	switch {
	case r.URL.Path == "/objects" && r.Method == http.MethodGet:
		s.serveList(w, r)
	case isObject && key != "" && r.Method == http.MethodGet:
		s.serveGet(w, r, key)
	case isObject && key != "" && r.Method == http.MethodPut:
		s.servePut(w, r, key)
	case isObject && key != "" && r.Method == http.MethodDelete:
		s.serveDelete(w, r, key)
	case r.URL.Path == "/counts" && r.Method == http.MethodGet:
		writeJSON(w, s.Counts())
	case r.URL.Path == "/faults":
		s.serveFaults(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (s *Store) serveList(w http.ResponseWriter, r *http.Request) {
	all, err := s.List(r.Context(), r.URL.Query().Get("prefix"))
	if err != nil {
		writeError(w, err)
		return
	}
	if all == nil {
		all = []store.Object{}
	}
	writeJSON(w, all)
}

func (s *Store) serveGet(w http.ResponseWriter, r *http.Request, key string) {
	var (
		o   store.Object
		err error
	)
	seen, hasSeen := parseTag(r.Header.Get("If-None-Match"))
	if query := r.URL.Query(); query.Has("watch") {
		seen, err = store.ParseVersion(query.Get("watch"))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		hasSeen = true
		ctx, cancel := context.WithTimeout(r.Context(), waitTime(query.Get("wait")))
		defer cancel()
		o, err = s.Watch(ctx, key, seen)
		if err != nil && ctx.Err() != nil {
			w.WriteHeader(http.StatusNotModified)
			return
		}
	} else {
		o, err = s.Get(r.Context(), key)
	}
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("ETag", tag(o.Version))
	if hasSeen && o.Version == seen {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	_, _ = w.Write(o.Value)
}

func (s *Store) servePut(w http.ResponseWriter, r *http.Request, key string) {
	cond, err := condition(r.Header)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, store.MaxValue))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	v, err := s.Put(r.Context(), key, value, cond)
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("ETag", tag(v))
	w.WriteHeader(http.StatusNoContent)
}

func (s *Store) serveDelete(w http.ResponseWriter, r *http.Request, key string) {
	cond, err := condition(r.Header)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := s.Delete(r.Context(), key, cond); err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Store) serveFaults(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodGet:
		s.mu.Lock()
		f := s.fault
		s.mu.Unlock()
		writeJSON(w, f)
	case http.MethodPut:
		var f Fault
		if err := readJSON(r.Body, &f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetFault(f)
		w.WriteHeader(http.StatusNoContent)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func condition(h http.Header) (store.Condition, error) {
	if h.Get("If-None-Match") == "*" {
		return store.IfAbsent(), nil
	}
	match := h.Get("If-Match")
	if match == "" {
		return store.Condition{}, nil
	}
	v, ok := parseTag(match)
	if !ok {
		return store.Condition{}, errors.New("If-Match must be a version number")
	}
	return store.IfVersion(v), nil
}

func tag(v store.Version) string { return strconv.Quote(v.String()) }

func parseTag(text string) (store.Version, bool) {
	v, err := store.ParseVersion(strings.Trim(text, `"`))
	return v, err == nil
}

func waitTime(seconds string) time.Duration {
	n, err := strconv.ParseFloat(seconds, 64)
	if err != nil || !(n >= 0) {
		return 0
	}
	return min(time.Duration(n*float64(time.Second)), maxWait)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func readJSON(r io.Reader, v any) error {
	dec := json.NewDecoder(r)
	dec.DisallowUnknownFields()
	return dec.Decode(v)
}

// writeError maps a store error to a status. For a lost answer, it closes the
// connection without an answer.
func writeError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, store.ErrNotFound):
		w.WriteHeader(http.StatusNotFound)
	case errors.Is(err, store.ErrConflict):
		w.WriteHeader(http.StatusPreconditionFailed)
	case errors.Is(err, errRateLimit):
		w.WriteHeader(http.StatusTooManyRequests)
	case errors.Is(err, store.ErrAmbiguous), errors.Is(err, errLost):
		panic(http.ErrAbortHandler)
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
