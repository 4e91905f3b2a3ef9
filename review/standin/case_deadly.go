package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

// deadlyAndGivenUp lets one caller repeat a request that crashes each upstream that runs it.
// The caller leaves before the upstream has crashed.
func deadlyAndGivenUp(s *site) int {
	const (
		others  = 9 // other callers
		early   = 3 // repeats until the third crash
		late    = 5 // repeats after that
		pause   = 300 * time.Millisecond
		stable  = 3 * time.Second // stable_window_ms
		allowed = 3
	)
	patience := 100 * time.Millisecond
	if os.Getenv("PATIENT") != "" {
		patience = 1200 * time.Millisecond
	}
	s.places = []place{{"telavi-a", "east-kakheti"}, {"kutaisi-a", "west-imereti"}, {"tbilisi-a", "tbilisi-core"}}
	lookup := route("/find/", "idempotent", "registry", 4*time.Second)
	lookup["target_latency_ms"] = 200
	s.configure(3, map[string]any{"record-lookup": lookup}, 15*time.Second)
	if err := s.addServers("registry", 12, 6); err != nil {
		return s.fail(err)
	}
	for _, b := range s.servers {
		b.deadly, b.crashAfter, b.backAfter = "/find/deadly", 248*time.Millisecond, 4*time.Second
	}
	if err := s.startEntries(3, entryOptions{graceSeconds: 6, stableMs: 3000, drainMs: 2000}); err != nil {
		return s.fail(err)
	}
	time.Sleep(3 * time.Second)

	var (
		wg                   sync.WaitGroup
		mu                   sync.Mutex
		stop                 = make(chan bool)
		answered, unanswered int
	)
	for k := range others {
		wg.Go(func() {
			for i := k; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(130 * time.Millisecond):
				}
				c, err := dial(fmt.Sprintf("other caller %d", k), s.entries[i%len(s.entries)].callers(), s.log)
				if err != nil {
					continue
				}
				r := c.exchange(http.MethodGet, fmt.Sprintf("/find/%d-%d", k, i), "", 1200*time.Millisecond)
				_ = c.conn.Close()
				mu.Lock()
				if r.answer.status == http.StatusOK {
					answered++
				} else {
					unanswered++
				}
				mu.Unlock()
			}
		})
	}

	var sent []*request
	began := time.Now()
	for i := range early + late {
		if i == early {
			time.Sleep(stable)
		}
		if s.trouble {
			c, err := dial("caller of the deadly request", s.entries[i%len(s.entries)].callers(), s.log)
			if err != nil {
				return s.fail(err)
			}
			r := &request{sent: time.Now()}
			r.answer.id, err = c.send(http.MethodGet, "/find/deadly/7", "", 1200*time.Millisecond)
			if err != nil {
				return s.fail(err)
			}
			time.Sleep(patience)
			_ = c.conn.Close()
			s.log.printf("caller of the deadly request leaves, request %s", r.answer.id)
			sent = append(sent, r)
		}
		time.Sleep(pause - min(patience, pause))
	}
	s.log.printf("the trouble lasted %.1f s", time.Since(began).Seconds())
	time.Sleep(500 * time.Millisecond)
	close(stop)
	wg.Wait()

	crashes := 0
	third := time.Time{}
	for _, r := range sent {
		for _, b := range s.servers {
			b.mu.Lock()
			for _, c := range b.crashes {
				if c.request == r.answer.id {
					if crashes++; crashes == 3 {
						third = c.at
					}
				}
			}
			b.mu.Unlock()
		}
	}
	tooLate := 0
	for _, r := range sent {
		if !third.IsZero() && r.sent.After(third.Add(stable)) && s.runOf(r.answer.id) != nil {
			tooLate++
			s.log.printf("BUDGET: request %s, sent %.1f s after the third crash, reached an upstream", r.answer.id, r.sent.Sub(third).Seconds())
		}
	}
	return s.verdict(tooLate > allowed, "%d of %d deadly requests crashed an upstream; %d retries sent over 3 s after the third crash reached upstreams, %d are allowed; of the other requests %d were answered and %d not",
		crashes, len(sent), tooLate, allowed, answered, unanswered)
}
