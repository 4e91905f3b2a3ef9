package main

import (
	"fmt"
	"net/http"
	"os"
	"time"
)

// keptConnectionsAtAStop stops an entry while one caller has two look-ups under way that it
// has sent one behind the other. Other callers use connections that they have kept.
func keptConnectionsAtAStop(s *site) int {
	const (
		grace   = 6 * time.Second
		callers = 6
	)
	s.places = []place{{"aarhus-a", "jylland"}}
	s.configure(3, map[string]any{
		"record-lookup": route("/find/", "idempotent", "register", 8*time.Second),
		"signoff":       route("/sign/", "non_idempotent", "register", 10*time.Second),
	}, 15*time.Second)
	if err := s.addServers("register", 3, 9); err != nil {
		return s.fail(err)
	}
	if err := s.startEntries(2, entryOptions{graceSeconds: 6, stableMs: 4000, drainMs: 3000}); err != nil {
		return s.fail(err)
	}
	time.Sleep(2 * time.Second) // the entries have heard each other
	e := s.entries[0]

	// Callers with kept connections.
	var kept []*client
	for i := range callers {
		c, err := dial(fmt.Sprintf("caller %d", i), e.callers(), s.log)
		if err != nil {
			return s.fail(err)
		}
		if r := c.exchange(http.MethodGet, "/find/7", "", 6*time.Second); r.answer.status != http.StatusOK {
			return s.fail(fmt.Errorf("first request of %s got status %d", c.name, r.answer.status))
		}
		kept = append(kept, c)
	}

	// One caller sends a look-up behind another.
	ahead, err := dial("caller ahead", e.callers(), s.log)
	if err != nil {
		return s.fail(err)
	}
	var ids []string
	paths := []string{"/find/takes/3600/a", "/find/takes/3600/b"}
	if os.Getenv("ALONE") != "" {
		paths = paths[:1] // nothing is sent ahead
	}
	for _, path := range paths {
		id, err := ahead.send(http.MethodGet, path, "", 6*time.Second)
		if err != nil {
			return s.fail(err)
		}
		ids = append(ids, id)
		time.Sleep(10 * time.Millisecond)
	}
	aheadDone := make(chan bool)
	go func() {
		defer close(aheadDone)
		for _, id := range ids {
			ahead.receive(id, http.MethodGet)
		}
	}()
	time.Sleep(100 * time.Millisecond)

	terminated, began := time.Time{}, time.Now()
	if s.trouble {
		terminated = began
		e.terminate(grace)
	}
	var exchanges []func() *request
	for i, c := range kept {
		exchanges = append(exchanges, func() *request {
			time.Sleep(time.Until(began.Add(3100*time.Millisecond + time.Duration(i)*50*time.Millisecond)))
			return c.exchange(http.MethodPost, "/sign/takes/3000/x", "sign-off", 8*time.Second)
		})
	}
	lost, answered := s.gather(exchanges, terminated, grace)
	<-aheadDone
	return s.verdict(lost > 0, "of %d sign-offs on kept connections, %d were answered and %d lost after they had begun to run", callers, answered, lost)
}
