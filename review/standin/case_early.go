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
	const uploads = 40
	s.places = []place{{"telavi-a", "east-kakheti"}}
	s.configure(3, map[string]any{
		"evidence-upload": route("/evidence/", "upload", "evidence-vault", 4*time.Second),
	}, 15*time.Second)
	var (
		mu     sync.Mutex
		chosen = map[string]bool{}
	)
	for i := range 3 {
		b, err := newServer(s.store, s.log, fmt.Sprintf("i-evidence-vault-%d", i), "evidence-vault", s.places[0].zone, 3)
		if err != nil {
			return s.fail(err)
		}
		b.serveEarly(func(id string) bool {
			mu.Lock()
			defer mu.Unlock()
			return chosen[id]
		})
		s.servers = append(s.servers, b)
	}
	if err := s.startEntries(1, entryOptions{graceSeconds: 6, stableMs: 3000, drainMs: 2000}); err != nil {
		return s.fail(err)
	}
	accepted, changed, early := 0, 0, 0
	for i := range uploads {
		body := strings.Repeat(fmt.Sprintf("photo %d of a soil sample\n", i), 13_000)
		sum := sha256.Sum256([]byte(body))
		c, err := dial(fmt.Sprintf("caller %d", i), s.entries[0].callers(), s.log)
		if err != nil {
			return s.fail(err)
		}
		isEarly := s.trouble && i%5 == 4
		if isEarly {
			mu.Lock()
			chosen[fmt.Sprintf("%016x", firstID+lastID.Load()+1)] = true
			mu.Unlock()
			early++
		}
		r := c.exchange(http.MethodPost, "/evidence/takes/20/x", body, 3*time.Second)
		_ = c.conn.Close()
		if isEarly {
			time.Sleep(earlyPause + 500*time.Millisecond) // the upstream has read on
		}
		run := s.runOf(r.answer.id)
		if r.answer.status != http.StatusOK {
			continue
		}
		accepted++
		if run.digest != hex.EncodeToString(sum[:]) {
			changed++
			s.log.printf("UNASKED: upload %s of %d bytes got status 200, its upstream has %d bytes", r.answer.id, len(body), run.length)
		}
	}
	return s.verdict(changed > 0, "of %d uploads, %d were answered with success, of which %d did not arrive whole; %d were answered early", uploads, accepted, changed, early)
}
