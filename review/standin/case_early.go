package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// acceptedEarly lets upstreams answer some uploads before they have read all of the body, keep
// the connection and read on later.
func acceptedEarly(s *site) int {
	const (
		uploads   = 40
		interval  = 130 * time.Millisecond
		upstreams = 3
		early     = 2 // upstreams that answer early
	)
	s.places = []place{{"telavi-a", "east-kakheti"}}
	s.configure(3, map[string]any{
		"evidence-upload": route("/evidence/", "upload", "evidence-vault", 4*time.Second),
	}, 15*time.Second)
	for i := range upstreams {
		b, err := newServer(s.store, s.log, fmt.Sprintf("i-evidence-vault-%d", i), "evidence-vault", s.places[0].zone, 6)
		if err != nil {
			return s.fail(err)
		}
		answersEarly := s.trouble && i < early
		uploads := 0
		b.serveEarly(func(string) bool {
			b.mu.Lock()
			defer b.mu.Unlock()
			uploads++
			return answersEarly && uploads%3 == 0 // a third of its answers
		})
		s.servers = append(s.servers, b)
	}
	if err := s.startEntries(1, entryOptions{graceSeconds: 6, stableMs: 3000, drainMs: 2000}); err != nil {
		return s.fail(err)
	}
	var (
		wg                sync.WaitGroup
		mu                sync.Mutex
		accepted, changed int
	)
	for i := range uploads {
		time.Sleep(interval)
		wg.Go(func() {
			body := strings.Repeat(fmt.Sprintf("photo %d of a soil sample\n", i), 13_000)
			sum := sha256.Sum256([]byte(body))
			c, err := dial(fmt.Sprintf("caller %d", i), s.entries[0].callers(), s.log)
			if err != nil {
				s.log.printf("caller %d: %v", i, err)
				return
			}
			r := c.exchange(http.MethodPost, "/evidence/takes/20/x", body, 3*time.Second)
			_ = c.conn.Close()
			if r.answer.status != http.StatusOK {
				return
			}
			time.Sleep(earlyPause + 500*time.Millisecond) // the upstream has read on
			run := s.runOf(r.answer.id)
			mu.Lock()
			defer mu.Unlock()
			accepted++
			if run.digest != hex.EncodeToString(sum[:]) {
				changed++
				s.log.printf("UNASKED: upload %s of %d bytes got status 200, its upstream has %d bytes", r.answer.id, len(body), run.length)
			}
		})
	}
	wg.Wait()
	answeredEarly := 0
	for _, b := range s.servers {
		answeredEarly += b.early
	}
	return s.verdict(changed > 0, "of %d uploads, %d were answered with success, of which %d did not arrive whole; %d were answered early", uploads, accepted, changed, answeredEarly)
}
