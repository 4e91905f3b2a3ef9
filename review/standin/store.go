package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's metadata store: objects by kind and name, one
// revision counter, lists in pages, long-polling watches, and conditional writes.
type store struct {
	mu       sync.Mutex
	revision int
	objects  map[string]map[string]*object
	events   []storeEvent
	changed  chan struct{}
	listen   net.Listener
	log      *record
	// shortWatches receives a value when a watch of the configuration with a short wait begins.
	shortWatches chan bool
}

type object struct {
	Metadata struct {
		Name       string   `json:"name"`
		Revision   int      `json:"revision"`
		CreatedAt  string   `json:"created_at"`
		Finalizers []string `json:"finalizers"`
		Deleting   bool     `json:"deleting"`
	} `json:"metadata"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type storeEvent struct {
	revision int
	kind     string
	object   *object
	removed  bool
}

const (
	pageSize = 500
	// shortWait is above the waits in milliseconds that entries use to detect an outage, and
	// below their other ones.
	shortWait = 5_000
)

func startStore(log *record) (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{revision: 10, objects: map[string]map[string]*object{}, changed: make(chan struct{}), listen: l, log: log, shortWatches: make(chan bool, 1)}
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

func (s *store) address() string { return s.listen.Addr().String() }

// put writes an object as the operator or a backend server does.
func (s *store) put(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, raw)
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(kind, name)
}

// write and drop are called with mu held.
func (s *store) write(kind, name string, spec json.RawMessage) *object {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]*object{}
	}
	before := s.objects[kind][name]
	if before != nil && string(before.Spec) == string(spec) {
		return before
	}
	s.revision++
	o := &object{Spec: spec, Status: json.RawMessage("{}")}
	o.Metadata.Name, o.Metadata.Revision = name, s.revision
	o.Metadata.CreatedAt, o.Metadata.Finalizers = time.Now().UTC().Format(time.RFC3339), []string{}
	s.objects[kind][name] = o
	s.announce(storeEvent{s.revision, kind, o, false})
	return o
}

func (s *store) drop(kind, name string) bool {
	o := s.objects[kind][name]
	if o == nil {
		return false
	}
	s.revision++
	delete(s.objects[kind], name)
	gone := *o
	gone.Metadata.Revision = s.revision
	s.announce(storeEvent{s.revision, kind, &gone, true})
	return true
}

func (s *store) announce(e storeEvent) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func answerJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Store-Era", "1")
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	kind, name := parts[0], ""
	if len(parts) > 1 {
		name = parts[1]
	}
	switch r.Method {
	case http.MethodGet:
		if r.URL.Query().Has("watch") {
			s.watch(w, r, kind)
			return
		}
		s.list(w, r, kind, name)
	case http.MethodPost, http.MethodPut:
		s.change(w, r, kind, name)
	case http.MethodDelete:
		s.mu.Lock()
		defer s.mu.Unlock()
		o := s.objects[kind][name]
		if want := r.URL.Query().Get("revision"); o != nil && want != "" && want != strconv.Itoa(o.Metadata.Revision) {
			answerJSON(w, http.StatusConflict, o)
			return
		}
		if !s.drop(kind, name) {
			answerJSON(w, http.StatusNotFound, map[string]string{})
			return
		}
		answerJSON(w, http.StatusOK, o)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string) {
	body, err := io.ReadAll(r.Body)
	var o object
	if err != nil || json.Unmarshal(body, &o) != nil {
		answerJSON(w, http.StatusBadRequest, map[string]string{})
		return
	}
	if name == "" {
		name = o.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && before != nil:
		answerJSON(w, http.StatusConflict, before)
	case r.Method == http.MethodPut && before == nil:
		answerJSON(w, http.StatusNotFound, map[string]string{})
	case o.Metadata.Revision != 0 && before != nil && o.Metadata.Revision != before.Metadata.Revision:
		answerJSON(w, http.StatusConflict, before)
	default:
		answerJSON(w, http.StatusOK, s.write(kind, name, o.Spec))
	}
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if name != "" {
		if o := s.objects[kind][name]; o != nil {
			answerJSON(w, http.StatusOK, o)
			return
		}
		answerJSON(w, http.StatusNotFound, map[string]string{})
		return
	}
	after := r.URL.Query().Get("after")
	names := []string{}
	for n := range s.objects[kind] {
		if n > after {
			names = append(names, n)
		}
	}
	sort.Strings(names)
	more := len(names) > pageSize
	items := []*object{}
	for _, n := range names[:min(len(names), pageSize)] {
		items = append(items, s.objects[kind][n])
	}
	answerJSON(w, http.StatusOK, map[string]any{"items": items, "more": more, "as_of": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.Atoi(r.URL.Query().Get("watch"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if kind == "config" && wait < shortWait {
		select {
		case s.shortWatches <- true:
		default:
		}
	}
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []map[string]any{}
		for _, e := range s.events {
			if e.kind == kind && e.revision > from {
				events = append(events, map[string]any{"object": e.object, "removed": e.removed})
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answerJSON(w, http.StatusOK, map[string]any{"events": events, "as_of": revision})
			return
		}
		select {
		case <-changed:
		case <-end:
			answerJSON(w, http.StatusOK, map[string]any{"events": events, "as_of": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// version formats a configuration version.
func version(n int) string { return fmt.Sprintf("r%d", n) }
