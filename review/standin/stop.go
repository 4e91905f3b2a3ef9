package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

// excusedUntil is the time after SIGTERM until which a request may have been sent whose
// upstream is still at work in the last sixth of the grace period.
const excusedUntil = 3 * time.Second

// request is a request of a caller around a stop.
type request struct {
	sent     time.Time
	deadline time.Duration
	answer   answer
	ended    time.Time
	entry    string
}

// terminate sends SIGTERM, and SIGKILL after the grace period, as the platform does.
func (e *entry) terminate(grace time.Duration) {
	exited := e.exited
	e.signal(syscall.SIGTERM)
	go func() {
		select {
		case err := <-exited:
			exited <- err // for kill
		case <-time.After(grace):
			e.signal(syscall.SIGKILL)
		}
	}()
}

// lost reports whether the rule LOST counts a request that was sent around a SIGTERM: it
// was passed on to an upstream and its connection ended without a complete answer, or the
// entry gave an answer of its own while the upstream was at work.
func (s *site) lost(r *request, terminated time.Time, grace time.Duration) bool {
	run := s.runOf(r.answer.id)
	own := r.answer.status != 0 && r.answer.header.Get("X-Server-Signature") == ""
	switch {
	case terminated.IsZero() || r.sent.After(terminated.Add(grace+time.Second)) || r.ended.Before(terminated):
		return false // no planned work
	case run == nil || r.answer.status != 0 && !own:
		return false
	case r.ended.Sub(r.sent) >= r.deadline:
		return false // the deadline was reached
	case r.sent.Sub(terminated) <= excusedUntil && r.ended.Sub(terminated) >= grace*5/6:
		return false // the upstream was still at work in the last sixth
	}
	s.log.printf("LOST: request %s, sent %.2f s after SIGTERM, began to run, and ended %.2f s after SIGTERM with status %d of the entry's own (0: closed)",
		r.answer.id, r.sent.Sub(terminated).Seconds(), r.ended.Sub(terminated).Seconds(), r.answer.status)
	return true
}

// exchange sends a request on a connection and waits for its end.
func (c *client) exchange(method, path, body string, deadline time.Duration) *request {
	r := &request{sent: time.Now(), deadline: deadline}
	id, err := c.send(method, path, body, deadline)
	if err != nil {
		c.log.printf("%s: request %s not written: %v", c.name, id, err)
	}
	r.answer = c.receive(id, method)
	r.ended = time.Now()
	return r
}

// gather runs several exchanges at the same time and counts those that LOST counts.
func (s *site) gather(exchanges []func() *request, terminated time.Time, grace time.Duration) (lost, answered int) {
	var (
		wg sync.WaitGroup
		mu sync.Mutex
	)
	for _, x := range exchanges {
		wg.Go(func() {
			r := x()
			mu.Lock()
			defer mu.Unlock()
			if s.lost(r, terminated, grace) {
				lost++
			}
			if r.answer.status == http.StatusOK {
				answered++
			}
		})
	}
	wg.Wait()
	return lost, answered
}
