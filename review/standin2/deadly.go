package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	stableWindow = 3 * time.Second
	// downFor is how long an upstream is down after a crash.
	downFor = 2500 * time.Millisecond
	// coldStart is the slow start of an upstream that starts during traffic, in milliseconds.
	coldStart = 3000
	// maxRetries is how many retries may reach upstreams later than the stable window after
	// the third crash.
	maxRetries = 3
	deadlyPath = "/lohu930/deadly"
	otherPath  = "/pufi791/2f"
	// deadlyTries are sent within 20 s, deadlyInterval apart.
	deadlyTries    = 7
	deadlyInterval = 3200 * time.Millisecond
	lookPath       = "/lohu930/2f"
	// answerLead is how long before its crash an upstream answers, if it does.
	answerLead = 5 * time.Millisecond
)

// crashes are the crashes that the deadly request has caused.
type crashes struct {
	mu    sync.Mutex
	times []time.Time
	// reached holds the ids of the client attempts that reached an upstream.
	reached map[string]bool
	starts  int
	// sameIDs is set if upstreams start again under the ids that they had.
	sameIDs bool
	// answersFirst is set if an upstream answers the request with 500 before it crashes.
	answersFirst bool
}

// playDeadly sends a request that crashes each upstream that begins to run it, again and again.
// With trouble, an upstream starts again under the id that it had, else under a new one.
func playDeadly(p *play) (bool, error) {
	return p.sendDeadly(&crashes{reached: map[string]bool{}, sameIDs: p.trouble})
}

// playFailing is like playDeadly, but all upstreams start again under new ids. With trouble, an
// upstream answers with 500 before it crashes.
func playFailing(p *play) (bool, error) {
	return p.sendDeadly(&crashes{reached: map[string]bool{}, answersFirst: p.trouble})
}

func (p *play) sendDeadly(state *crashes) (bool, error) {
	p.store.put("config", "main", config(7, map[string]route{
		"r-look":  {Host: host, Prefix: "/lohu930/", Kind: "idempotent", Service: "registry", Timeout: 1200, Target: 200, Attempts: 2, Affinity: true},
		"r-issue": {Host: host, Prefix: "/pufi791/", Kind: "non_idempotent", Service: "registry", Timeout: 1500, Target: 250, Attempts: 2, Priority: 1},
	}, "registry"))
	zones := []string{"telavi-a", "kutaisi-a", "tbilisi-a"}
	for i := range 6 {
		u := &upstream{id: fmt.Sprintf("i-%08x", 0x7f3a91c0+i), service: "registry", zone: zones[i%3], store: p.store, record: p.record}
		u.answer = p.deadlyAnswer(state)
		if err := u.start(); err != nil {
			return false, err
		}
	}
	if err := p.startEntries("", zones...); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var others sync.WaitGroup
	lost, looks := p.sendOthers(stop, &others)
	var sent []answer
	for i := range deadlyTries {
		k := call{
			entry: p.entries[i%len(p.entries)], method: http.MethodGet, path: deadlyPath, id: fmt.Sprintf("deadly-%d", i+1),
			deadline: 1200 * time.Millisecond, fields: []string{"Cookie: X-Affinity-Key=17"},
		}
		p.record.add("%s sent to %s", k.id, k.entry.name)
		a := k.do()
		p.record.add("%s answered: %s", k.id, a.String())
		sent = append(sent, a)
		time.Sleep(time.Until(a.sent.Add(deadlyInterval)))
	}
	close(stop)
	others.Wait()
	state.mu.Lock()
	defer state.mu.Unlock()
	p.record.add("%d crashes, %d once-only requests of other clients lost; %d deadly requests beside %d other look-ups", len(state.times), *lost, deadlyTries, *looks)
	if len(state.times) < 3 {
		return false, nil
	}
	third, late := state.times[2], 0
	for i, a := range sent {
		if id := fmt.Sprintf("deadly-%d", i+1); state.reached[id] && a.sent.Sub(third) > stableWindow {
			late++
			p.record.add("%s reached an upstream, sent %.1f s after the third crash", id, a.sent.Sub(third).Seconds())
		}
	}
	p.record.add("%d retries reached upstreams later than %v after the third crash; the rule allows %d", late, stableWindow, maxRetries)
	return late > maxRetries, nil
}

// deadlyAnswer returns the answers of an upstream that the deadly request crashes.
func (p *play) deadlyAnswer(state *crashes) func(*upstream, net.Conn, *bufio.Reader, *http.Request) bool {
	return func(u *upstream, c net.Conn, read *bufio.Reader, r *http.Request) bool {
		if r.URL.Path != deadlyPath {
			_, _ = io.Copy(io.Discard, r.Body)
			time.Sleep(200 * time.Millisecond)
			return plainAnswer(u, c, read, r)
		}
		id := r.Header.Get("X-Request-Id")
		p.record.ran(id, u.id)
		state.mu.Lock()
		state.reached[id] = true
		state.times = append(state.times, time.Now())
		state.starts++
		next := u.id
		if !state.sameIDs {
			next = fmt.Sprintf("i-%08x", 0x1b000000+state.starts)
		}
		state.mu.Unlock()
		if state.answersFirst {
			fmt.Fprintf(c, "HTTP/1.1 500 Internal Server Error\r\nX-Request-Id: %s\r\nX-Server-Signature: %s\r\nContent-Length: 0\r\n\r\n", id, signature(id, u.id))
			p.record.add("%s answers %s with 500", u.id, id)
			time.Sleep(answerLead)
		}
		p.record.add("%s crashes by %s", u.id, id)
		u.crash()
		time.AfterFunc(downFor, func() {
			if next != u.id {
				p.store.remove("servers", u.id)
			}
			again := &upstream{id: next, service: u.service, zone: u.zone, address: u.address, store: u.store, record: u.record, answer: u.answer, cold: coldStart}
			if err := again.start(); err != nil {
				p.record.add("%s not started again: %v", u.id, err)
				return
			}
			p.record.add("%s started again as %s", u.id, next)
		})
		return false
	}
}

// sendOthers sends look-ups and requests that must not run twice of other clients, until stop is
// closed. It returns the number of the latter that an upstream began to run and that had no
// success, and the number of look-ups.
func (p *play) sendOthers(stop <-chan struct{}, done *sync.WaitGroup) (lost, looks *int) {
	var mu sync.Mutex
	lost, looks = new(int), new(int)
	for n := range 16 {
		done.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				k := call{entry: p.entries[n%len(p.entries)], id: fmt.Sprintf("other-%d-%d", n+1, i+1), deadline: 1500 * time.Millisecond}
				if n%2 == 0 {
					k.method, k.path, k.body = http.MethodPost, otherPath, "a certificate"
				} else {
					k.method, k.path, k.deadline = http.MethodGet, lookPath, 1200*time.Millisecond
				}
				a := k.do()
				mu.Lock()
				switch {
				case k.method == http.MethodGet:
					*looks++
				case a.status == http.StatusBadGateway || a.err != nil:
					*lost++
					p.record.add("%s, sent to %s, answered: %s", k.id, k.entry.name, a.String())
				}
				mu.Unlock()
			}
		})
	}
	return lost, looks
}
