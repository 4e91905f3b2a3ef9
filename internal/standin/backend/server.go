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

// Ways to answer a request; all but Intact are malformed or missing answers.
const (
	// Intact sends a correct answer. It is the zero ResponseFault.
	Intact ResponseFault = iota
	// Truncated closes the connection before the end of the body that
	// Content-Length announces.
	Truncated
	// Overlong sends a longer body than Content-Length announces.
	Overlong
	// Duplicate sends the complete answer twice.
	Duplicate
	// Unframed sends no Content-Length and closes the connection after the
	// body.
	Unframed
	// WrongSendID sends an answer with the ID of another send.
	WrongSendID
	// Stalled stops before the end of the body that Content-Length announces and
	// keeps the connection open.
	Stalled
	// NoAnswer closes the connection without an answer.
	NoAnswer
)

type (
	// ResponseFault is a way to answer a request that ran.
	ResponseFault uint8

	// Load is the answer of the load endpoint.
	Load struct {
		// Running is the number of requests that are running.
		Running int `json:"running"`
		// Slots is the server's concurrency limit.
		Slots int `json:"slots"`
		// Draining reports whether the server is in graceful shutdown.
		Draining bool `json:"draining"`
	}

	// Faults are the faults to inject into a server.
	Faults struct {
		// Shed sheds every request without running it.
		Shed bool
		// Crash selects requests that crash the server.
		Crash func(*http.Request) bool
		// Response selects how a request is answered; nil means Intact.
		Response func(*http.Request) ResponseFault
		// Health overrides the status of the health endpoint; 0 means the real
		// status.
		Health int
		// Load overrides the answer of the load endpoint; nil means the real
		// load.
		Load *Load
		// ExtraTime is added to the running time of each request.
		ExtraTime time.Duration
	}

	// Record counts what happened at a server.
	Record struct {
		// Started counts the requests whose header was received, by request ID.
		Started map[string]int
		// Ran counts the requests that ran, by request ID. A request counts as
		// run once its complete body has been received.
		Ran map[string]int
		// Shed counts the requests that were shed.
		Shed int
		// MaxRunning is the largest number of requests that ran concurrently.
		MaxRunning int
		// Overloads counts the requests that ran although all slots were in
		// use.
		Overloads int
		// MaxConnections is the largest number of open connections.
		MaxConnections int
		// Refused counts the connections that were closed because of the limit.
		Refused int
		// Crashes counts the crashes.
		Crashes int
	}

	// Server is a simulated backend server. Its fields must not be changed after
	// Listen or Serve. It is safe for concurrent use.
	Server struct {
		// Name identifies the server in its answers.
		Name id.Server
		// Slots is the concurrency limit; 0 means no limit.
		Slots int
		// Connections is the limit on open connections; 0 means no limit.
		Connections int
		// RunningTime maps path prefixes to the running time of requests; the
		// longest prefix applies.
		RunningTime map[string]time.Duration
		// ColdTime is the time after the start during which the server is cold:
		// running times are multiplied by ColdFactor.
		ColdTime time.Duration
		// ColdFactor is the factor of running times on a cold server; 0 means
		// no effect.
		ColdFactor float64
		// ShedAboveSlots sheds requests while all slots are in use.
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

// Listen serves on a TCP address such as "127.0.0.1:0" and returns the address
// with the actual port.
func (s *Server) Listen(addr string) (netip.AddrPort, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return netip.AddrPort{}, err
	}
	s.Serve(l)
	return netip.ParseAddrPort(l.Addr().String())
}

// Serve serves on the listener in a new goroutine until Close.
func (s *Server) Serve(l net.Listener) {
	srv := &http.Server{Handler: s}
	s.mu.Lock()
	s.started = time.Now()
	s.conns = map[*conn]struct{}{}
	s.listener, s.http = l, srv
	s.mu.Unlock()
	go func() { _ = srv.Serve(&limitedListener{Listener: l, server: s}) }()
}

// Close stops the server as a crash would: it closes the listener and all
// connections at once.
func (s *Server) Close() error {
	s.mu.Lock()
	srv := s.http
	s.mu.Unlock()
	if srv == nil {
		return nil
	}
	return srv.Close()
}

// Drain begins graceful shutdown: requests still run, the load endpoint reports
// draining and the health endpoint returns 503.
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

// StallConnections permanently stalls every nth of the open connections, in the
// order in which they were accepted; 1 stalls all of them. Later connections
// work.
func (s *Server) StallConnections(nth int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.number%nth == 0 {
			c.stalled.Store(true)
		}
	}
}

// Record returns a copy of the counts so far.
func (s *Server) Record() Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	rec := s.record
	rec.Started, rec.Ran = map[string]int{}, map[string]int{}
	for k, v := range s.record.Started {
		rec.Started[k] = v
	}
	for k, v := range s.record.Ran {
		rec.Ran[k] = v
	}
	return rec
}

// Load returns the real load.
func (s *Server) Load() Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Load{Running: s.running, Slots: s.Slots, Draining: s.draining}
}

// ServeHTTP serves the health and load endpoints and runs all other requests.
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
	end := sync.OnceFunc(s.end)
	defer end()
	body, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	s.recordRun(r)
	if !sleep(r.Context(), s.runningTime(r.URL.Path)+faults.ExtraTime) {
		panic(http.ErrAbortHandler)
	}
	answer := Intact
	if faults.Response != nil {
		answer = faults.Response(r)
	}
	s.answer(w, r, body, answer, end)
}

func (s *Server) begin(r *http.Request) (Faults, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.record.Started == nil {
		s.record.Started, s.record.Ran = map[string]int{}, map[string]int{}
	}
	s.record.Started[r.Header.Get(result.HeaderRequestID)]++
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

func (s *Server) recordRun(r *http.Request) {
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

func (s *Server) runningTime(path string) time.Duration {
	longest, d := -1, time.Duration(0)
	for prefix, v := range s.RunningTime {
		if len(prefix) > longest && strings.HasPrefix(path, prefix) {
			longest, d = len(prefix), v
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ColdFactor > 0 && time.Since(s.started) < s.ColdTime {
		d = time.Duration(float64(d) * s.ColdFactor)
	}
	return d
}

// sleep waits for d; it returns false if ctx ends first.
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

// text returns the body of an answer, one line with the request's ID, the server's
// name and the size of the request's body.
func (s *Server) text(r *http.Request, body int64) string {
	return r.Header.Get(result.HeaderRequestID) + " " + string(s.Name) + " " + strconv.FormatInt(body, 10) + "\n"
}
