package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's store: objects by kind and name, lists, watches and
// conditional writes, with one revision counter.
type store struct {
	address string

	mu       sync.Mutex
	revision int
	objects  map[string]map[string]*object
	events   []event
	changed  chan struct{}
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status,omitempty"`
}

type metadata struct {
	Name     string `json:"name"`
	Revision int    `json:"revision"`
}

type event struct {
	Object   *object `json:"object"`
	Removed  bool    `json:"removed"`
	kind     string
	revision int
}

// startStore serves a store on a free port.
func startStore() (*store, error) {
	l, err := listen("")
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), revision: 10, objects: map[string]map[string]*object{}, changed: make(chan struct{})}
	go func() { _ = (&http.Server{Handler: s}).Serve(l) }()
	return s, nil
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes an object, as the operator or an upstream does.
func (s *store) put(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, raw)
}

func (s *store) write(kind, name string, spec json.RawMessage) *object {
	s.revision++
	o := &object{Metadata: metadata{name, s.revision}, Spec: spec}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]*object{}
	}
	s.objects[kind][name] = o
	s.events = append(s.events, event{Object: o, kind: kind, revision: s.revision})
	s.wake()
	return o
}

// remove removes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delete(kind, name)
}

func (s *store) delete(kind, name string) {
	o := s.objects[kind][name]
	if o == nil {
		return
	}
	s.revision++
	delete(s.objects[kind], name)
	gone := *o
	gone.Metadata.Revision = s.revision
	s.events = append(s.events, event{Object: &gone, Removed: true, kind: kind, revision: s.revision})
	s.wake()
}

// ServeHTTP answers a call.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	switch {
	case r.Method != http.MethodGet:
		s.change(w, r, kind, name, body)
	case r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case name != "":
		o := s.objects[kind][name]
		if o == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_ = json.NewEncoder(w).Encode(o)
	default:
		s.list(w, r, kind)
	}
}

func (s *store) list(w io.Writer, r *http.Request, kind string) {
	names := []string{}
	for n := range s.objects[kind] {
		if n > r.URL.Query().Get("after") {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	const page = 500
	more := len(names) > page
	items := []*object{}
	for _, n := range names[:min(len(names), page)] {
		items = append(items, s.objects[kind][n])
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "more": more, "as_of": s.revision})
}

// watch waits with the lock released.
func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.Atoi(r.URL.Query().Get("watch"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for ended := false; ; {
		found := []event{}
		for _, e := range s.events {
			if e.kind == kind && e.revision > from {
				found = append(found, e)
			}
		}
		switch {
		case ended || len(found) > 0:
			_ = json.NewEncoder(w).Encode(map[string]any{"events": found, "as_of": s.revision})
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			ended = true
		case <-r.Context().Done():
			ended = true
		}
		s.mu.Lock()
	}
}

func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string, body []byte) {
	var o object
	if r.Method != http.MethodDelete && json.Unmarshal(body, &o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if name == "" {
		name = o.Metadata.Name
	}
	old := s.objects[kind][name]
	revision := r.URL.Query().Get("revision")
	if revision == "" && o.Metadata.Revision != 0 {
		revision = strconv.Itoa(o.Metadata.Revision)
	}
	switch {
	case r.Method == http.MethodPost && old != nil, old != nil && revision != "" && revision != strconv.Itoa(old.Metadata.Revision):
		w.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(w).Encode(old)
	case r.Method != http.MethodPost && old == nil:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodDelete:
		s.delete(kind, name)
	case old != nil && string(old.Spec) == string(o.Spec):
		_ = json.NewEncoder(w).Encode(old)
	default:
		_ = json.NewEncoder(w).Encode(s.write(kind, name, o.Spec))
	}
}

// registration is an upstream's entry in the store.
type registration struct {
	Service  string `json:"service"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Version  string `json:"version"`
	Slots    int    `json:"max_concurrency"`
	State    string `json:"state"`
	Cold     int    `json:"cold_remaining_ms"`
	Sequence int    `json:"sequence"`
	Born     int64  `json:"born"`
}

// route is a route of the configuration.
type route struct {
	Host     string   `json:"host"`
	Prefix   string   `json:"path_prefix"`
	Kind     string   `json:"route_type"`
	Service  string   `json:"service,omitempty"`
	Split    []part   `json:"traffic_split,omitempty"`
	Timeout  int      `json:"timeout_ms"`
	Target   int      `json:"target_latency_ms"`
	Attempts int      `json:"attempts"`
	Priority int      `json:"priority"`
	Affinity bool     `json:"session_affinity"`
	Public   bool     `json:"public"`
	Regions  []string `json:"allowed_regions"`
}

type part struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// config returns a configuration of a version.
func config(version int, routes map[string]route, services ...string) map[string]any {
	all := map[string]any{}
	for _, svc := range services {
		all[svc] = map[string]any{
			"health_path": "/health", "max_connections": 390, "protocol": "h1", "tls": false, "cold_start_s": 3.0, "cold_per_s": 17.0,
		}
	}
	return map[string]any{
		"version": fmt.Sprintf("r%d", version), "routes": routes, "services": all,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 64 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}
