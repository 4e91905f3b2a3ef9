package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// silentConnections lets the open connections between the entries and the store go silent
// shortly before a route is moved to another service. New connections work.
func silentConnections(s *site) int {
	const (
		entries     = 7
		stable      = 3 * time.Second // stable_window_ms
		configApply = 2 * time.Second // config_apply_ms
		// silentAfter is how long the connections go silent after the watches of three
		// entries, whose wait is 1.8 s, have begun again.
		silentAfter = 60 * time.Millisecond
	)
	s.places = []place{
		{"telavi-a", "east-kakheti"}, {"kutaisi-a", "west-imereti"}, {"tbilisi-a", "tbilisi-core"},
		{"gurjaani-b", "east-kakheti"}, {"zestaponi-b", "west-imereti"}, {"rustavi-b", "tbilisi-core"},
	}
	issue := func(n int, service string, timeout time.Duration) {
		s.configure(n, map[string]any{
			"cert-issue": route("/cert/", "non_idempotent", service, timeout),
			"lookup":     route("/find/", "idempotent", "archive", 4*time.Second),
		}, 15*time.Second)
	}
	issue(3, "registry", 4*time.Second)
	for _, service := range []string{"registry", "archive"} {
		if err := s.addServers(service, 6, 6); err != nil {
			return s.fail(err)
		}
	}
	var proxies []*proxy
	stores := make([]string, entries)
	for i := range stores {
		p, err := startProxy(s.store.address())
		if err != nil {
			return s.fail(err)
		}
		proxies, stores[i] = append(proxies, p), p.address()
	}
	if err := s.startEntriesAt(stores, entryOptions{graceSeconds: 6, stableMs: 3000, drainMs: 2000}); err != nil {
		return s.fail(err)
	}

	// Callers send to all entries all the time.
	var (
		wg   sync.WaitGroup
		mu   sync.Mutex
		sent []*request
		stop = make(chan bool)
	)
	for _, e := range s.entries {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				c, err := dial("caller of "+e.name, e.callers(), s.log)
				if err != nil {
					continue
				}
				r := c.exchange(http.MethodPost, "/cert/5", "certificate", 1500*time.Millisecond)
				_ = c.conn.Close()
				mu.Lock()
				r.entry = e.name
				sent = append(sent, r)
				mu.Unlock()
			}
		})
	}

	time.Sleep(5 * time.Second)
	for range 2 { // the first one may have begun long ago
		select {
		case <-s.store.shortWatches:
		case <-time.After(5 * time.Second):
			return s.fail(errors.New("no entry watches the configuration"))
		}
	}
	time.Sleep(silentAfter)
	silent := time.Time{}
	if s.trouble {
		silent = time.Now()
		for i, p := range proxies {
			s.log.printf("%d open connections between front-%d and the store go silent", p.silence(), i)
		}
	}
	issue(4, "archive", 3*time.Second)
	acknowledged := time.Now()
	time.Sleep(8 * time.Second)
	close(stop)
	wg.Wait()

	bound := acknowledged.Add(configApply)
	if inTouch := silent.Add(stable); s.trouble && inTouch.After(bound) {
		bound = inTouch
	}
	stale, latest, of := 0, time.Duration(0), map[string]bool{}
	for _, r := range sent {
		if r.sent.Before(bound) || r.answer.status != http.StatusOK || !strings.Contains(r.answer.body, "i-registry-") {
			continue
		}
		stale++
		of[r.entry] = true
		latest = max(latest, r.sent.Sub(bound))
		s.log.printf("CONFIG: request %s, sent %.2f s after r4 was acknowledged, was run by the old service", r.answer.id, r.sent.Sub(acknowledged).Seconds())
	}
	return s.verdict(stale > 0, "of %d certificates, the old service issued %d too late, up to %.2f s after the bound, sent by %s",
		len(sent), stale, latest.Seconds(), fmt.Sprint(len(of), " of ", entries, " entries"))
}
