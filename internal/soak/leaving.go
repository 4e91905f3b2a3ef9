package soak

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/shallotpier/shallotpier/pkg/id"
)

const (
	// leavingProbability is the probability with which a run has servers that say in
	// their answers that they are leaving, while their registrations don't.
	leavingProbability = 0.5
	// leavingServers is the number of these servers, as starts of servers.
	leavingServers = 2
	// maxLeavingPause bounds the time before each of them.
	maxLeavingPause = 2 * time.Second
)

// passage is the passing on of a server's answer by a start of an entry.
type passage struct {
	entry      id.Instance
	startCount int
	server     id.Server
}

// announceLeaving makes servers say in their answers that they are leaving.
func (s *soak) announceLeaving(ctx context.Context) {
	rng := rand.New(rand.NewPCG(s.options.Seed, leavingStream))
	if rng.Float64() >= leavingProbability {
		return
	}
	for range leavingServers {
		sleep(ctx, time.Duration(rng.Int64N(int64(maxLeavingPause))))
		if ctx.Err() != nil {
			return
		}
		s.logFault("server %s leaves by its answers", s.servers[rng.IntN(len(s.servers))].AnnounceLeaving())
	}
}

// checkLeavingAnswers looks for requests that reached a server from an entry that had
// passed on its announcement more than drainDelay before they were sent, and returns the
// number of announcements that entries passed on. A restart of the entry excuses it.
func (c *checker) checkLeavingAnswers() int {
	first := make(map[passage]time.Time)
	for _, a := range c.attempts {
		if !a.leaving {
			continue
		}
		server := id.Server(strings.TrimPrefix(a.signature, a.id+"."))
		for _, r := range c.runs[a.id] {
			if r.Server != server {
				continue
			}
			for _, e := range c.passedOnBy(a) {
				// The caller may have read the answer much later, when the entry had been
				// restarted: behind others that were sent before it.
				p := passage{e, c.startCountOf(a, e, r.At), server}
				if at, known := first[p]; !known || a.done.Before(at) {
					first[p] = a.done
				}
			}
		}
	}
	for name, runs := range c.runs {
		a := c.byID[name]
		if a == nil {
			continue
		}
		e := id.Instance(c.sender(a).name)
		for _, r := range runs {
			at, known := first[passage{e, c.startCountOf(a, e, r.At), r.Server}]
			if known && a.sent.Sub(at) > drainDelay {
				c.addViolation("leaving: %s reached %s through %s, sent %v after an answer that said the server is leaving", a.id, r.Server, e, a.sent.Sub(at))
			}
		}
	}
	return len(first)
}

// startCountOf returns the start count of an entry that handled an attempt: that when the
// attempt was sent to it, or that at a time if the attempt was passed on to it.
func (c *checker) startCountOf(a *attempt, entry id.Instance, at time.Time) int {
	if id.Instance(a.entry.name) == entry {
		return a.startCount
	}
	for _, e := range c.soak.entries {
		if id.Instance(e.name) == entry {
			return e.startCountAt(at)
		}
	}
	return 0
}
