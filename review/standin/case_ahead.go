package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// sentAhead lets an upstream break off one long answer. Its caller has sent look-ups behind
// that request, which other upstreams run.
func sentAhead(s *site) int {
	const (
		rounds  = 60
		lookups = 5
	)
	s.places = []place{{"telavi-a", "east-kakheti"}}
	s.configure(3, map[string]any{
		"photos": route("/photos/", "idempotent", "evidence-vault", 4*time.Second),
		"lookup": route("/find/", "idempotent", "registry", 4*time.Second),
	}, 15*time.Second)
	if err := s.addServers("registry", 3, 6); err != nil {
		return s.fail(err)
	}
	if err := s.addServers("evidence-vault", 1, 6); err != nil {
		return s.fail(err)
	}
	vault := s.servers[len(s.servers)-1]
	chosen := ""
	vault.longAnswer, vault.breakOff = 400<<10, func(id string) bool { return id == chosen }
	if err := s.startEntries(1, entryOptions{graceSeconds: 6, stableMs: 3000, drainMs: 2000}); err != nil {
		return s.fail(err)
	}
	lost, answered := 0, 0
	for round := range rounds {
		c, err := dial(fmt.Sprintf("caller %d", round), s.entries[0].callers(), s.log)
		if err != nil {
			return s.fail(err)
		}
		first := newID()
		if s.trouble && round == rounds/2 {
			chosen = first // one of 60 answers, under 0.02 of them
		}
		ids := []string{first}
		var b strings.Builder
		fmt.Fprintf(&b, "GET /photos/7 HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 3000\r\n\r\n", host, first)
		for range lookups {
			id := newID()
			ids = append(ids, id)
			fmt.Fprintf(&b, "GET /find/work/100/x HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 3000\r\n\r\n", host, id)
		}
		s.log.printf("%s sends requests %s", c.name, strings.Join(ids, " "))
		if _, err := c.conn.Write([]byte(b.String())); err != nil {
			return s.fail(err)
		}
		for i, id := range ids {
			a := c.receive(id, http.MethodGet)
			r := s.runOf(id)
			switch {
			case a.status == http.StatusOK:
				answered++
			case i > 0 && r != nil && !r.answered.IsZero():
				s.log.printf("LOST: request %s was run and answered by a sound upstream, and its connection closed without an answer", id)
				lost++
			}
		}
		_ = c.conn.Close()
	}
	return s.verdict(lost > 3, "of %d requests, %d were answered; %d that a sound upstream had answered got no answer, 3 are allowed", rounds*(lookups+1), answered, lost)
}
