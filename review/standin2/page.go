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
	pagePath = "/xapu221/today"
	// pageReaders is how many clients read the page at the same time, every pageInterval.
	pageReaders  = 30
	pageInterval = 6 * time.Second
	pageWork     = 300 * time.Millisecond
	// silentServers of pageServers fall silent, for silentTime.
	pageServers   = 30
	silentServers = 4
	silentTime    = 4500 * time.Millisecond
	// keepaliveTime is how long after a machine has fallen silent the keep-alive of its callers
	// ends their connections.
	keepaliveTime = 2 * time.Second
	steadyRounds  = 6
)

// runners are the upstreams that run a request for the page now.
type runners struct {
	mu  sync.Mutex
	now map[*upstream]int
}

// playPage lets many clients read one page at the same time, on a route that was added later.
// With trouble, some of the upstreams fall silent meanwhile and are back some seconds later.
func playPage(p *play) (bool, error) {
	running := &runners{now: map[*upstream]int{}}
	routes := map[string]route{
		"r-look": {Host: host, Prefix: "/lohu930/", Kind: "idempotent", Service: "registry", Timeout: 1200, Target: 200, Attempts: 2, Affinity: true},
	}
	p.store.put("config", "main", config(7, routes, "registry"))
	zones := []string{"telavi-a", "kutaisi-a", "tbilisi-a"}
	for i := range pageServers {
		u := &upstream{id: fmt.Sprintf("i-%08x", 0x7f3a9100+i), service: "registry", zone: zones[i%3], store: p.store, record: p.record, answer: p.pageAnswer(running)}
		if err := u.start(); err != nil {
			return false, err
		}
	}
	if err := p.startEntries("", zones...); err != nil {
		return false, err
	}
	routes["r-page"] = route{Host: host, Prefix: "/xapu221/", Kind: "idempotent", Service: "registry", Timeout: 1200, Target: 500, Attempts: 2}
	p.store.put("config", "main", config(9, routes, "registry"))
	p.record.add("r9 adds the route of the page")
	time.Sleep(3 * time.Second)
	stop, others := make(chan struct{}), &tally{}
	var wait sync.WaitGroup
	p.readOthers(stop, &wait, others)
	p.readPage("calm", nil)
	time.Sleep(pageInterval)
	p.readPage("struck", func() {
		if p.trouble {
			p.silenceSome(running)
		}
	})
	time.Sleep(2 * pageInterval) // the upstreams are back, and the stable window has passed
	others.reset()
	served, all := 0, 0
	for i := range steadyRounds {
		served += p.readPage(fmt.Sprintf("steady-%d", i+1), nil)
		all += pageReaders
		time.Sleep(pageInterval)
	}
	close(stop)
	wait.Wait()
	first, firstAll := others.get()
	p.record.add("steady state: %d of %d requests on the route that was added later served, %d of %d on the first route", served, all, first, firstAll)
	return float64(served)/float64(all) < float64(first)/float64(firstAll)/4, nil
}

// pageAnswer returns the answers of an upstream, which takes a while for the page.
func (p *play) pageAnswer(running *runners) func(*upstream, net.Conn, *bufio.Reader, *http.Request) bool {
	return func(u *upstream, c net.Conn, read *bufio.Reader, r *http.Request) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		work := 100 * time.Millisecond
		if r.URL.Path == pagePath {
			work = pageWork
			running.mu.Lock()
			running.now[u]++
			running.mu.Unlock()
			defer func() {
				running.mu.Lock()
				defer running.mu.Unlock()
				if running.now[u]--; running.now[u] == 0 {
					delete(running.now, u)
				}
			}()
		}
		time.Sleep(work)
		return plainAnswer(u, c, read, r)
	}
}

// silenceSome lets upstreams that run a request for the page fall silent at the same time.
func (p *play) silenceSome(running *runners) {
	var struck []*upstream
	running.mu.Lock()
	for u := range running.now {
		if len(struck) < silentServers {
			struck = append(struck, u)
		}
	}
	running.mu.Unlock()
	for _, u := range struck {
		p.record.add("%s falls silent", u.id)
		go u.silence()
		time.AfterFunc(keepaliveTime, u.crash)
		time.AfterFunc(silentTime, func() { p.startAgain(u) })
	}
}

// startAgain starts an upstream that was silent, under a new id.
func (p *play) startAgain(u *upstream) {
	u.wake()
	p.store.remove("servers", u.id)
	again := &upstream{id: u.id + "b", service: u.service, zone: u.zone, address: u.address, store: u.store, record: u.record, answer: u.answer, cold: coldStart}
	if err := again.start(); err != nil {
		p.record.add("%s not started again: %v", u.id, err)
		return
	}
	p.record.add("%s is back as %s", u.id, again.id)
}

// readPage lets all clients read the page at once, and calls during while they do. It returns
// how many got it.
func (p *play) readPage(name string, during func()) int {
	var wait sync.WaitGroup
	var mu sync.Mutex
	served := 0
	outcomes := map[string]int{}
	for i := range pageReaders {
		wait.Go(func() {
			k := call{entry: p.entries[i%len(p.entries)], method: http.MethodGet, path: pagePath, id: fmt.Sprintf("page-%s-%d", name, i+1), deadline: 1200 * time.Millisecond}
			a := k.do()
			p.record.add("%s sent to %s, answered: %s", k.id, k.entry.name, a.String())
			mu.Lock()
			defer mu.Unlock()
			outcomes[fmt.Sprint(a.status)]++
			if a.status == http.StatusOK {
				served++
			}
		})
	}
	if during != nil {
		time.Sleep(100 * time.Millisecond)
		during()
	}
	wait.Wait()
	p.record.add("page, %s: answers by status %v", name, outcomes)
	return served
}

// tally counts requests.
type tally struct {
	mu          sync.Mutex
	served, all int
}

func (t *tally) add(served bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.all++
	if served {
		t.served++
	}
}

func (t *tally) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.served, t.all = 0, 0
}

func (t *tally) get() (served, all int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.served, t.all
}

// readOthers sends requests on the first route until stop is closed.
func (p *play) readOthers(stop <-chan struct{}, wait *sync.WaitGroup, t *tally) {
	for n := range 6 {
		wait.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(150 * time.Millisecond):
				}
				k := call{
					entry: p.entries[n%len(p.entries)], method: http.MethodGet, path: fmt.Sprintf("/lohu930/%x", n*1000+i%100), id: fmt.Sprintf("other-%d-%d", n+1, i+1),
					deadline: 1200 * time.Millisecond, fields: []string{fmt.Sprintf("Cookie: X-Affinity-Key=%d", n*100+i%100)},
				}
				a := k.do()
				t.add(a.status == http.StatusOK)
			}
		})
	}
}
