package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// uploadAtAStop stops an entry while it passes uploads on to upstreams that store the first
// part of a body before they read on.
func uploadAtAStop(s *site) int {
	const (
		grace   = 6 * time.Second
		callers = 4
	)
	s.places = []place{{"telavi-a", "east-kakheti"}}
	s.configure(3, map[string]any{
		"evidence-upload": route("/evidence/", "upload", "evidence-vault", 8*time.Second),
	}, 15*time.Second)
	if err := s.addServers("evidence-vault", 3, 3); err != nil {
		return s.fail(err)
	}
	for _, b := range s.servers {
		b.bodyPause = 2 * time.Second
	}
	if err := s.startEntries(2, entryOptions{graceSeconds: 6, stableMs: 3000, drainMs: 2000}); err != nil {
		return s.fail(err)
	}
	time.Sleep(2 * time.Second)
	e := s.entries[0]
	terminated, began := time.Time{}, time.Now()
	if s.trouble {
		terminated = began
		e.terminate(grace)
	}
	body := strings.Repeat("photo of a soil sample\n", 340<<10/23)
	var exchanges []func() *request
	for i := range callers {
		exchanges = append(exchanges, func() *request {
			time.Sleep(time.Until(began.Add(500*time.Millisecond + time.Duration(i)*50*time.Millisecond)))
			c, err := dial(fmt.Sprintf("caller %d", i), e.callers(), s.log)
			if err != nil {
				s.log.printf("caller %d: %v", i, err)
				return &request{sent: time.Now(), ended: time.Now()}
			}
			return c.exchange(http.MethodPost, "/evidence/work/300/x", body, 5*time.Second)
		})
	}
	lost, answered := s.gather(exchanges, terminated, grace)
	return s.verdict(lost > 0, "of %d uploads, %d were answered and %d broken off while their upstream was at work", callers, answered, lost)
}
