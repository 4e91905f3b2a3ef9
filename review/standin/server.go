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
// milliseconds, as in /prefix/takes/1500/anything; without that it works for 20 ms.
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

	// deadly, unless empty, is the prefix of the paths whose requests crash the server once
	// they have run for crashAfter. It is back backAfter later, under another id.
	deadly     string
	crashAfter time.Duration
	backAfter  time.Duration

	mu       sync.Mutex
	conns    map[net.Conn]bool
	early    int // answers before the body was read
	crashes  []crash
	starts   int
	sequence int
	runs     map[string]*run // by request id
}

// crash is the end of a server by a request.
type crash struct {
	request string
	at      time.Time
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
		queue: make(chan struct{}, slots), runs: map[string]*run{}, conns: map[net.Conn]bool{},
	}
	return b, nil
}

// serve answers requests with net/http.
func (b *server) serve() {
	server, l := &http.Server{Handler: b, ConnState: b.track}, b.listener
	b.http = server
	go func() { _ = server.Serve(l) }()
	b.register("ready")
}

// track keeps the set of open connections.
func (b *server) track(c net.Conn, state http.ConnState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if state == http.StateClosed {
		delete(b.conns, c)
		return
	}
	b.conns[c] = true
}

// crash ends the server as a crash of its process does: its connections are reset and new
// ones refused. It is back some time later at the same address, under another id.
func (b *server) crash(request string) {
	b.mu.Lock()
	b.crashes = append(b.crashes, crash{request, time.Now()})
	b.starts++
	for c := range b.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	before := b.id
	b.mu.Unlock()
	b.log.printf("server %s: crashes by request %s", before, request)
	_ = b.http.Close()
	time.AfterFunc(b.backAfter, func() {
		l, err := net.Listen("tcp", b.listener.Addr().String())
		if err != nil {
			b.log.printf("server %s: not back: %v", before, err)
			return
		}
		b.mu.Lock()
		b.id = fmt.Sprintf("%s.%d", strings.Split(before, ".")[0], b.starts)
		b.born, b.sequence, b.listener = time.Now(), 0, l
		b.mu.Unlock()
		b.log.printf("server %s: is back as %s", before, b.id)
		b.serve()
		time.AfterFunc(time.Second, func() { b.store.remove("servers", before) })
	})
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
	_, rest, ok := strings.Cut(path, "/takes/")
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
	if b.deadly != "" && strings.HasPrefix(r.URL.Path, b.deadly) {
		// It is busy with the request and doesn't notice whether its connection closes.
		time.Sleep(b.crashAfter)
		b.crash(id)
		panic(http.ErrAbortHandler)
	}
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
	fmt.Fprintf(w, "%s %s %s", id, b.id, hex.EncodeToString(sum.Sum(nil)))
}

// received records the body of a request.
func (b *server) received(id string, length int64, digest string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[id].length, b.runs[id].digest = length, digest
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
