package backend

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/result"
)

// Ways to spoil an answer.
const (
	// Whole answers as announced. It is the zero Answer.
	Whole Answer = iota
	// Cut ends the connection in the middle of the announced body.
	Cut
	// Long sends more than was announced.
	Long
	// Duplicate sends the whole answer twice.
	Duplicate
	// Unframed announces no length and ends the connection in the middle.
	Unframed
	// Foreign answers with the id of another send.
	Foreign
	// Stuck stops in the middle of the announced body and keeps the
	// connection open.
	Stuck
	// Nothing ends the connection without an answer.
	Nothing
)

type (
	// Answer is a way to answer a request that ran.
	Answer uint8

	// Load is what the load endpoint tells.
	Load struct {
		// Running is the number of requests that are running.
		Running int `json:"running"`
		// Slots is how many the server can run at the same time.
		Slots int `json:"slots"`
		// Draining tells whether the server is about to stop.
		Draining bool `json:"draining"`
	}

	// Faults are the ways in which a server misbehaves.
	Faults struct {
		// Shed refuses every request before running it.
		Shed bool
		// Crash chooses requests that end the whole server.
		Crash func(*http.Request) bool
		// Spoil chooses how a request is answered.
		Spoil func(*http.Request) Answer
		// Health is the status that the health endpoint claims; 0 is the truth.
		Health int
		// Load is what the load endpoint claims; nil is the truth.
		Load *Load
		// Slower is added to the time that each request runs.
		Slower time.Duration
	}

	// Record is what a server saw.
	Record struct {
		// Begun counts the requests whose header arrived, by request id.
		Begun map[string]int
		// Ran counts the requests that ran, by request id. A request runs once
		// its whole body has arrived.
		Ran map[string]int
		// Shed counts the requests that were refused unrun.
		Shed int
		// MaxRunning is the greatest number of requests that ran together.
		MaxRunning int
		// Overloads counts the requests that were run above the slots.
		Overloads int
		// MaxConnections is the greatest number of open connections.
		MaxConnections int
		// Refused counts the connections over the limit, closed at once.
		Refused int
		// Crashes counts the crashes.
		Crashes int
	}

	// Server is a stand-in backend server. Its fields must not change once it
	// serves. It is safe for concurrent use.
	Server struct {
		// Name is its name in its answers.
		Name id.Server
		// Slots is how many requests it may run together; 0 is no limit.
		Slots int
		// Connections is how many open connections it takes; 0 is no limit.
		Connections int
		// Service is how long a request runs, by the longest prefix of its path.
		Service map[string]time.Duration
		// Cold is how long after its start requests run ColdFactor times as
		// long.
		Cold time.Duration
		// ColdFactor multiplies the time of a request on a cold server.
		ColdFactor float64
		// ShedAboveSlots refuses requests above the slots, unrun.
		ShedAboveSlots bool

		mu       sync.Mutex
		faults   Faults
		record   Record
		running  int
		draining bool
		started  time.Time
		listener net.Listener
		http     *http.Server
		conns    map[*conn]struct{}
	}
)

// Listen serves on a TCP address such as "127.0.0.1:0" and returns the
// address in use.
func (s *Server) Listen(addr string) (netip.AddrPort, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return netip.AddrPort{}, err
	}
	s.Serve(l)
	return netip.ParseAddrPort(l.Addr().String())
}

// Serve serves on the listener in a goroutine of its own, until Close.
func (s *Server) Serve(l net.Listener) {
	srv := &http.Server{Handler: s}
	s.mu.Lock()
	s.started = time.Now()
	s.conns = map[*conn]struct{}{}
	s.listener, s.http = l, srv
	s.mu.Unlock()
	go func() { _ = srv.Serve(&countingListener{Listener: l, server: s}) }()
}

// Close stops the server as a crash does: the listener and every connection
// are closed at once.
func (s *Server) Close() error {
	s.mu.Lock()
	srv := s.http
	s.mu.Unlock()
	if srv == nil {
		return nil
	}
	return srv.Close()
}

// Drain begins a planned stop: running requests go on, and the load endpoint
// says so.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Silence lets open connections go silent for good, every nth of them in the
// order of their opening; 1 is all of them. Connections opened later work.
func (s *Server) Silence(nth int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.number%nth == 0 {
			c.silent.Store(true)
		}
	}
}

// Record returns a copy of what the server saw so far.
func (s *Server) Record() Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	rec := s.record
	rec.Begun, rec.Ran = map[string]int{}, map[string]int{}
	for k, v := range s.record.Begun {
		rec.Begun[k] = v
	}
	for k, v := range s.record.Ran {
		rec.Ran[k] = v
	}
	return rec
}

// Load returns the true load.
func (s *Server) Load() Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Load{Running: s.running, Slots: s.Slots, Draining: s.draining}
}

// ServeHTTP answers the health and load endpoints and runs everything else.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/health":
		s.health(w)
	case "/load":
		s.load(w)
	default:
		s.run(w, r)
	}
}

func (s *Server) health(w http.ResponseWriter) {
	s.mu.Lock()
	status := s.faults.Health
	if status == 0 {
		status = http.StatusOK
		if s.draining {
			status = http.StatusServiceUnavailable
		}
	}
	s.mu.Unlock()
	w.WriteHeader(status)
}

func (s *Server) load(w http.ResponseWriter) {
	load := s.Load()
	s.mu.Lock()
	if s.faults.Load != nil {
		load = *s.faults.Load
	}
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(load)
}

func (s *Server) run(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(result.HeaderSend, r.Header.Get(result.HeaderSend))
	faults, ok := s.begin(r)
	if !ok {
		w.Header().Set(result.HeaderShed, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if faults.Crash != nil && faults.Crash(r) {
		s.end()
		s.crash()
		panic(http.ErrAbortHandler)
	}
	defer s.end()
	body, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	s.ran(r)
	if !sleep(r.Context(), s.serviceTime(r.URL.Path)+faults.Slower) {
		panic(http.ErrAbortHandler)
	}
	answer := Whole
	if faults.Spoil != nil {
		answer = faults.Spoil(r)
	}
	s.answer(w, r, body, answer)
}

func (s *Server) begin(r *http.Request) (Faults, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.record.Begun == nil {
		s.record.Begun, s.record.Ran = map[string]int{}, map[string]int{}
	}
	s.record.Begun[r.Header.Get(result.HeaderRequestID)]++
	over := s.Slots > 0 && s.running >= s.Slots
	if s.faults.Shed || over && s.ShedAboveSlots {
		s.record.Shed++
		return s.faults, false
	}
	if over {
		s.record.Overloads++
	}
	s.running++
	s.record.MaxRunning = max(s.record.MaxRunning, s.running)
	return s.faults, true
}

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func (s *Server) ran(r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record.Ran[r.Header.Get(result.HeaderRequestID)]++
}

func (s *Server) crash() {
	s.mu.Lock()
	s.record.Crashes++
	s.mu.Unlock()
	_ = s.Close()
}

func (s *Server) serviceTime(path string) time.Duration {
	longest, d := -1, time.Duration(0)
	for prefix, v := range s.Service {
		if len(prefix) > longest && strings.HasPrefix(path, prefix) {
			longest, d = len(prefix), v
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ColdFactor > 0 && time.Since(s.started) < s.Cold {
		d = time.Duration(float64(d) * s.ColdFactor)
	}
	return d
}

// sleep waits for d and tells whether ctx lasted as long.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// text is the body of an answer: the request's id, the server's name and the
// size of the request's body, in one line.
func (s *Server) text(r *http.Request, body int64) string {
	return r.Header.Get(result.HeaderRequestID) + " " + string(s.Name) + " " + strconv.FormatInt(body, 10) + "\n"
}
