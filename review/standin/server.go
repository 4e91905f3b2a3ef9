package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// server is a stand-in for an upstream. A request's path tells how long it works on it in
// milliseconds, as in /prefix/work/1500/anything; without that it works for 20 ms.
type server struct {
	id       string
	service  string
	zone     string
	slots    int
	born     time.Time
	listener net.Listener
	store    *store
	log      *record
	queue    chan struct{}
	http     *http.Server

	// longAnswer, unless 0, is the length of its answers. It breaks off those to the
	// requests for which breakOff returns true.
	longAnswer int
	breakOff   func(id string) bool

	mu       sync.Mutex
	sequence int
	runs     map[string]*run // by request id
}

// run is what a server did for a request.
type run struct {
	began    time.Time
	answered time.Time // zero if the request was broken off
	times    int
	// digest is the SHA-256 of the body in hexadecimal, and length the number of its bytes
	// that have arrived. The digest is empty if not all of them have.
	digest string
	length int64
}

func newServer(s *store, log *record, id, service, zone string, slots int) (*server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &server{
		id: id, service: service, zone: zone, slots: slots, born: time.Now(), listener: l, store: s, log: log,
		queue: make(chan struct{}, slots), runs: map[string]*run{},
	}
	return b, nil
}

// serve answers requests with net/http.
func (b *server) serve() {
	b.http = &http.Server{Handler: b}
	go func() { _ = b.http.Serve(b.listener) }()
	b.register("ready")
}

func (b *server) register(state string) {
	b.mu.Lock()
	b.sequence++
	spec := map[string]any{
		"service": b.service, "address": b.listener.Addr().String(), "zone": b.zone, "version": "v1",
		"max_concurrency": b.slots, "state": state, "cold_remaining_ms": 0, "sequence": b.sequence, "born": b.born.UnixMilli(),
	}
	b.mu.Unlock()
	b.store.put("servers", b.id, spec)
}

func workTime(path string) time.Duration {
	_, rest, ok := strings.Cut(path, "/work/")
	if !ok {
		return 20 * time.Millisecond
	}
	ms, _, _ := strings.Cut(rest, "/")
	n, err := strconv.Atoi(ms)
	if err != nil {
		return 20 * time.Millisecond
	}
	return time.Duration(n) * time.Millisecond
}

func (b *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", b.id)
		return
	}
	if expect := r.Header.Get("X-Expect-Instance"); expect != "" && expect != b.id {
		w.Header().Set("X-Instance-Id", b.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case b.queue <- struct{}{}:
	case <-r.Context().Done():
		b.log.printf("server %s: request %s left the queue, its connection closed", b.id, id)
		return
	}
	defer func() { <-b.queue }()
	began := time.Now()
	b.mu.Lock()
	if b.runs[id] == nil {
		b.runs[id] = &run{began: began}
	}
	b.runs[id].times++
	b.mu.Unlock()
	b.log.printf("server %s: runs request %s %s, deadline %s ms", b.id, id, r.URL.Path, r.Header.Get("X-Deadline-Ms"))
	sum := sha256.New()
	n, err := io.Copy(sum, r.Body)
	if err != nil {
		b.log.printf("server %s: body of request %s broke off after %d bytes: %v", b.id, id, n, err)
		panic(http.ErrAbortHandler)
	}
	b.received(id, n, hex.EncodeToString(sum.Sum(nil)))
	deadline := time.Hour
	if ms, err := strconv.ParseFloat(r.Header.Get("X-Deadline-Ms"), 64); err == nil {
		deadline = time.Duration(ms * float64(time.Millisecond))
	}
	work := workTime(r.URL.Path)
	select {
	case <-time.After(min(work, deadline)):
	case <-r.Context().Done():
		b.log.printf("server %s: request %s broken off after %v, its connection closed", b.id, id, time.Since(began).Round(time.Millisecond))
		return
	}
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,0,%d", len(b.queue), b.slots))
	w.Header().Set("X-Server-Signature", signature(id, b.id))
	if work > deadline {
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	b.mu.Lock()
	b.runs[id].answered = time.Now()
	b.mu.Unlock()
	b.log.printf("server %s: answers request %s after %v", b.id, id, time.Since(began).Round(time.Millisecond))
	if b.longAnswer > 0 {
		b.writeLong(w, id)
		return
	}
	fmt.Fprintf(w, "%s %s %s", id, b.id, hex.EncodeToString(sum.Sum(nil)))
}

// received records the body of a request.
func (b *server) received(id string, length int64, digest string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[id].length, b.runs[id].digest = length, digest
}

// writeLong writes a long answer, or breaks it off shortly before its end.
func (b *server) writeLong(w http.ResponseWriter, id string) {
	w.Header().Set("Content-Length", strconv.Itoa(b.longAnswer))
	body := strings.Repeat("0123456789abcdef", b.longAnswer/16+1)[:b.longAnswer]
	if !b.breakOff(id) {
		_, _ = io.WriteString(w, body)
		return
	}
	_, _ = io.WriteString(w, body[:b.longAnswer*9/10])
	_ = http.NewResponseController(w).Flush()
	time.Sleep(200 * time.Millisecond)
	b.log.printf("server %s: breaks off the answer to request %s", b.id, id)
	panic(http.ErrAbortHandler)
}

func signature(request, server string) string { return request + "." + server }

// runOf returns what the server did for a request, nil if it never began to run it.
func (b *server) runOf(id string) *run {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.runs[id] == nil {
		return nil
	}
	r := *b.runs[id]
	return &r
}
