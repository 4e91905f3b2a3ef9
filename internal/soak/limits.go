package soak

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/shallotpier/shallotpier/internal/standin/ratecheck"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/unit"
)

const (
	// limitProbability is the probability with which servers name limits in a run
	// without a request that crashes servers.
	limitProbability = 0.9
	// limitedServers is the number of servers that name limits at the same time.
	limitedServers = 2
	// minLimitTime and maxLimitTime bound the time until a limit changes or ends.
	minLimitTime = 4 * time.Second
	maxLimitTime = 8 * time.Second
	// limitEndProbability is the probability with which a limit then ends.
	limitEndProbability = 0.4
)

type (
	// serverLimits makes servers name limits, and records what reaches them.
	serverLimits struct {
		rng    *rand.Rand
		record ratecheck.Record

		mu       sync.Mutex
		arrivals []serverArrival
	}

	serverArrival struct {
		server  id.Server
		request string
		at      time.Time
	}
)

// newServerLimits returns the limits of the run, nil if it has none.
func (s *soak) newServerLimits() *serverLimits {
	rng := rand.New(rand.NewPCG(s.options.Seed, limitStream))
	if s.crashing != nil || rng.Float64() >= limitProbability {
		return nil
	}
	return &serverLimits{rng: rng}
}

// run makes servers name limits until ctx ends.
func (l *serverLimits) run(ctx context.Context, s *soak) {
	var wg sync.WaitGroup
	for i := range limitedServers {
		rng := rand.New(rand.NewPCG(l.rng.Uint64(), limitStream))
		wg.Go(func() {
			for ctx.Err() == nil {
				// Each loop has its own servers.
				l.limit(ctx, s, s.servers[(rng.IntN(len(s.servers))/limitedServers*limitedServers+i)%len(s.servers)], rng)
			}
		})
	}
	wg.Wait()
}

// limit makes a server name limits for some time.
func (l *serverLimits) limit(ctx context.Context, s *soak, b *backend, rng *rand.Rand) {
	rates := []unit.Rate{0, 0.4, 2.5, 5.7, 20}
	for rate := rates[1+rng.IntN(len(rates)-1)]; ; rate = rates[1+rng.IntN(len(rates)-1)] {
		name := b.SetLimit(rate)
		l.record.Name(name, time.Now(), rate)
		s.logFault("server %s names a limit of %g a second", name, float64(rate))
		sleep(ctx, minLimitTime+time.Duration(rng.Int64N(int64(maxLimitTime-minLimitTime))))
		if ctx.Err() != nil || rng.Float64() < limitEndProbability {
			break
		}
	}
	name := b.SetLimit(0)
	l.record.Name(name, time.Now(), 0)
	s.logFault("server %s names no limit", name)
}

func (l *serverLimits) recordArrival(server id.Server, request string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals = append(l.arrivals, serverArrival{server, request, at})
}

// checkLimits checks that the servers got no more than they took from entries in touch,
// and returns the number of servers for which a window could be checked.
func (c *checker) checkLimits() int {
	l := c.soak.limits
	if l == nil {
		return 0
	}
	for _, a := range c.attempts {
		if a.limited {
			server := id.Server(strings.TrimPrefix(a.signature, a.id+"."))
			for _, entry := range c.passedOnBy(a) {
				l.record.PassOn(server, entry, a.done)
			}
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, arrived := range l.arrivals {
		a := c.byID[arrived.request]
		if a == nil {
			continue
		}
		c.soak.mu.Lock()
		b := c.soak.named[arrived.server]
		c.soak.mu.Unlock()
		if sender := c.sender(a); sender.outOfTouch.quiet(arrived.at, stableWindow) && b.disturbance.quiet(arrived.at, stableWindow) {
			l.record.Arrive(arrived.server, id.Instance(sender.name), arrived.at)
		}
	}
	for _, v := range l.record.Violations(stableWindow) {
		c.addViolation("limit: %v", v)
	}
	return len(l.record.Worst(stableWindow))
}
