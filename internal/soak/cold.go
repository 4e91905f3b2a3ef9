package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/unit"
)

const (
	coldTime = 3 * time.Second
	// coldRate is that of the stand-in's configuration. Before they become cold, servers get 60
	// to 280 requests a second. At 20 per second, a server with 280 has more than it takes before
	// the first health check, 0.2 s later.
	coldRate unit.Rate = 40
	// coldOvershoot and coldAllowance are in the entries' settings.
	coldOvershoot = 1.5
	coldAllowance = 5
	coldBound     = int(coldRate*coldOvershoot + coldAllowance) // within a coldSpan
	coldSpan      = time.Second
	// maxColdGap is the longest time between two moments at which up to one coldShare-th of the
	// servers becomes cold. Shorter ones leave too few warm servers for the load.
	maxColdGap = 4 * time.Second
	coldShare  = 4
	// outageProbability is the probability with which the store becomes unavailable before one.
	outageProbability = 0.5
	minOutage         = 5 * time.Second
	maxOutage         = 9 * time.Second
	// registrationDelay is the time within which a registration reaches the entries.
	registrationDelay = time.Second
	// silenceNoticed is the time after which entries expect no more news from the store: the
	// stableMs and the heartbeatMs of their settings, as their latest answer may be that old.
	silenceNoticed = stableWindow + time.Second
	// stallTail is the time in which requests arrive that were held up by a stall.
	stallTail = 200 * time.Millisecond
	coldStep  = 20 * time.Millisecond // precision of the time from which seconds count
)

type (
	// coldServers makes servers cold, and records what reaches them.
	coldServers struct {
		rng *rand.Rand
		// outage is set while the store is unavailable for coldServers.
		outage atomic.Bool

		mu       sync.Mutex
		arrivals map[id.Server][]serverArrival
		periods  []coldPeriod
		// changes are the times at which the store became unavailable and available in turn.
		changes []time.Time
	}

	// coldPeriod is a time in which a server was cold.
	coldPeriod struct {
		server     id.Server
		backend    *backend
		from, to   time.Time
		registered bool // the server registered anew
	}
)

// newColdServers returns the cold servers of the run, nil if it has none.
func (s *soak) newColdServers() *coldServers {
	if !s.options.Cold {
		return nil
	}
	return &coldServers{rng: rand.New(rand.NewPCG(s.options.Seed, coldStream)), arrivals: make(map[id.Server][]serverArrival)}
}

// run makes servers cold, and the store unavailable now and then, until ctx ends.
func (c *coldServers) run(ctx context.Context, s *soak) {
	for ctx.Err() == nil {
		if c.rng.Float64() < outageProbability {
			c.failStore(ctx, s, minOutage+time.Duration(c.rng.Int64N(int64(maxOutage-minOutage))))
		}
		c.chill(ctx, s)
	}
}

// failStore makes the store unavailable for some time, in which servers become cold.
func (c *coldServers) failStore(ctx context.Context, s *soak, duration time.Duration) {
	s.logFault("store unavailable for %v while servers become cold", duration)
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	s.storeDisturbance.add(time.Now().Add(duration))
	c.outage.Store(true)
	s.setStoreStatus(http.StatusServiceUnavailable)
	for ctx.Err() == nil {
		c.chill(ctx, s)
	}
	c.outage.Store(false)
	s.setStoreStatus(0)
	s.storeDisturbance.add(time.Now())
}

// chill makes some servers cold after a random time. They register anew if the store is
// available.
func (c *coldServers) chill(ctx context.Context, s *soak) {
	sleep(ctx, time.Duration(c.rng.Int64N(int64(maxColdGap))))
	if ctx.Err() != nil {
		return
	}
	first := c.rng.IntN(len(s.servers))
	for i := range 1 + c.rng.IntN(max(len(s.servers)/coldShare, 1)) {
		b := s.servers[(first+i)%len(s.servers)]
		if b.down.Load() {
			continue
		}
		available, _ := c.storeAt(time.Now())
		p := coldPeriod{backend: b, to: time.Now().Add(coldTime)}
		p.server, p.registered = b.BecomeCold(coldTime, available)
		p.from = time.Now()
		s.logFault("server %s becomes cold, registered: %v", p.server, p.registered)
		c.mu.Lock()
		c.periods = append(c.periods, p)
		c.mu.Unlock()
	}
}

// setStoreStatus sets the status with which the store fails, 0 for none. During an outage by
// coldServers, other faults don't make it available.
func (s *soak) setStoreStatus(status int) {
	if c := s.cold; c != nil {
		if status == 0 && c.outage.Load() {
			return
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		if available := len(c.changes)%2 == 0; available != (status == 0) {
			c.changes = append(c.changes, time.Now())
		}
	}
	s.store.Fail(status)
}

// storeAt reports whether the store was available at a time, and since when.
func (c *coldServers) storeAt(at time.Time) (available bool, since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, _ := slices.BinarySearchFunc(c.changes, at, time.Time.Compare)
	if n > 0 {
		since = c.changes[n-1]
	}
	return n%2 == 0, since
}

func (c *coldServers) recordArrival(server id.Server, request string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrivals[server] = append(c.arrivals[server], serverArrival{server, request, at})
}

// knownAt reports whether the entries must know at a time that a server is cold: the store was
// undisturbed for the registrationDelay after the registration, or unavailable for so long that
// the entries check the servers.
func (c *checker) knownAt(p coldPeriod, at time.Time) bool {
	if p.registered && at.Sub(p.from) >= registrationDelay && c.soak.storeDisturbance.quiet(at, registrationDelay) {
		return true
	}
	available, since := c.soak.cold.storeAt(at)
	return !available && at.Sub(since) >= silenceNoticed
}

// checkCold checks that cold servers got at most coldBound requests in each second that begins
// once the entries must know of them. It counts those that were rejected, but not those for
// another server at the same address. Only one thing excuses a second: the path to the server
// was stalled in it or at most stallTail before, by which requests arrive together that
// the entries sent at other times. It sets the numbers in the report.
func (c *checker) checkCold(r *Report) {
	cold := c.soak.cold
	if cold == nil {
		return
	}
	for _, p := range cold.periods {
		from := p.from
		for !c.knownAt(p, from) && from.Before(p.to) {
			from = from.Add(coldStep)
		}
		if p.to.Sub(from) < coldSpan {
			continue
		}
		arrivals := cold.arrivals[p.server]
		slices.SortFunc(arrivals, func(a, b serverArrival) int { return a.at.Compare(b.at) })
		r.Cold++
		if len(worstSpan(arrivals, p.from.Add(-2*coldSpan), p.from, &disturbance{})) > coldBound {
			r.ColdBusy++
			if !p.registered {
				r.ColdBusyUnregistered++
			}
		}
		worst := worstSpan(arrivals, from, p.to, &p.backend.stalls)
		if len(worst) > coldBound {
			senders := make(map[string]int)
			for _, arrived := range worst {
				if a := c.byID[arrived.request]; a != nil {
					senders[c.sender(a).name]++
				}
			}
			c.addViolation("cold: %s, cold from %.2f s (registered: %v), checked from %.2f s, got %d requests in the second from %.3f s, %d allowed, by sender: %v",
				p.server, c.seconds(p.from), p.registered, c.seconds(from), len(worst), c.seconds(worst[0].at), coldBound, senders)
		}
	}
}

// worstSpan returns the most arrivals between two times within a coldSpan that no stall excuses.
// The arrivals are in order of time.
func worstSpan(arrivals []serverArrival, from, to time.Time, stalls *disturbance) []serverArrival {
	var worst []serverArrival
	for i, first := range arrivals {
		end := first.at.Add(coldSpan)
		if first.at.Before(from) || !first.at.Before(to) || !stalls.quiet(end, coldSpan+stallTail) {
			continue
		}
		n := i
		for n < len(arrivals) && arrivals[n].at.Before(end) && arrivals[n].at.Before(to) {
			n++
		}
		if n-i > len(worst) {
			worst = arrivals[i:n]
		}
	}
	return worst
}
