package main

import (
	"fmt"
	"net/http"
	"time"
)

// longGrace stops an entry that has a grace period of 10 s. Callers that still have its
// address send requests 3 to 4.5 s after SIGTERM, when it still takes new connections.
func longGrace(s *site) int {
	const (
		grace   = 10 * time.Second
		callers = 6
	)
	s.places = []place{{"telavi-a", "east-kakheti"}}
	s.configure(3, map[string]any{
		"cert-issue": route("/cert/", "non_idempotent", "registry", 10*time.Second),
	}, 15*time.Second)
	if err := s.addServers("registry", 2, 2); err != nil {
		return s.fail(err)
	}
	if err := s.startEntries(2, entryOptions{graceSeconds: 10, stableMs: 4000, drainMs: 3000}); err != nil {
		return s.fail(err)
	}
	time.Sleep(2 * time.Second)
	e := s.entries[0]
	terminated, began := time.Time{}, time.Now()
	if s.trouble {
		terminated = began
		e.terminate(grace)
	}
	var exchanges []func() *request
	for i := range callers {
		exchanges = append(exchanges, func() *request {
			time.Sleep(time.Until(began.Add(3500*time.Millisecond + time.Duration(i)*150*time.Millisecond)))
			c, err := dial(fmt.Sprintf("caller %d", i), e.callers(), s.log)
			if err != nil {
				s.log.printf("caller %d: %v", i, err)
				return &request{sent: time.Now(), ended: time.Now()}
			}
			return c.exchange(http.MethodPost, "/cert/takes/3500/x", "certificate", 8*time.Second)
		})
	}
	lost, answered := s.gather(exchanges, terminated, grace)
	return s.verdict(lost > 0, "of %d certificates, %d were issued and answered and %d lost after they had begun to run", callers, answered, lost)
}
