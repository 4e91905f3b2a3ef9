package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/platform/standin"
)

const (
	// crashingProbability is the probability with which a run has a request that
	// crashes the servers that run it.
	crashingProbability = 0.5
	// crashingCallers is the factor by which such a run has more callers, so that
	// each crash interrupts several other requests.
	crashingCallers        = 2
	crashingProcessingTime = 3 * processingTime
	minCrashingPause       = 200 * time.Millisecond
	// leastMaxPause and maxCrashingPause bound the longest pause of a run.
	leastMaxPause       = 500 * time.Millisecond
	maxCrashingPause    = 2500 * time.Millisecond
	maxCrashingBodySize = 100_000
	// severalAddressesProbability is the probability with which such a request comes
	// from several addresses, at most maxAddresses, in random order.
	severalAddressesProbability = 0.5
	maxAddresses                = 12
	// minDowntime and maxDowntime bound the time until a crashed server is back.
	minDowntime = time.Second
	maxDowntime = 3 * time.Second
	// minRepeats is the number of requests for one path to one entry from which on
	// at least one must be served after the recovery time.
	minRepeats = 5
)

// Rule for a request that crashes servers: after it has crashed maxCrashedServers,
// entries in touch may send it at most maxCrashingSends times later than the
// stableWindow after the last of these crashes. An entry is in touch if neither it nor
// the store was disturbed during the stableWindow.
const (
	maxCrashedServers = 3
	maxCrashingSends  = 3
	stableWindow      = 3 * time.Second
)

// crashingRequest is a request that crashes every server that runs it. One caller
// repeats it unchanged at any entry.
type crashingRequest struct {
	attempt
	sources    []string // IP addresses of its caller
	maxPause   time.Duration
	rng        *rand.Rand
	addressRNG *rand.Rand
}

// newCrashingRequest returns the crashing request of the run, nil if it has none.
func (s *soak) newCrashingRequest() *crashingRequest {
	rng := rand.New(rand.NewPCG(s.options.Seed, crashingStream))
	if rng.Float64() >= crashingProbability {
		return nil
	}
	c := &crashingRequest{
		rng: rng, sources: []string{fmt.Sprintf("127.0.0.%d", 2+rng.IntN(200))}, addressRNG: rand.New(rand.NewPCG(s.options.Seed, addressStream)),
		maxPause: leastMaxPause + time.Duration(rng.Int64N(int64(maxCrashingPause-leastMaxPause))),
	}
	if c.addressRNG.Float64() < severalAddressesProbability {
		for range 1 + c.addressRNG.IntN(maxAddresses-1) {
			c.sources = append(c.sources, fmt.Sprintf("127.0.1.%d", 1+c.addressRNG.IntN(250)))
		}
	}
	c.method, c.path, c.crashing = http.MethodGet, "/read/crash", true
	if rng.IntN(2) == 0 {
		c.method, c.path = http.MethodPost, "/write/crash"
		c.payload = strings.Repeat("crash ", 1+rng.IntN(maxCrashingBodySize)/len("crash "))
	}
	return c
}

// prepare makes the request crash server b, the i-th of the run. It must be called
// before the server is started.
func (c *crashingRequest) prepare(ctx context.Context, s *soak, b *backend, i int) {
	b.CrashPath, b.CrashEarly, b.ProcessingTime = c.path, i%4 < 2, crashingProcessingTime
	b.OnCrash = func() {
		if !s.takeDown(b) || ctx.Err() != nil {
			return
		}
		downtime := minDowntime + time.Duration(s.random()*float64(maxDowntime-minDowntime))
		s.logFault("server %s crashed by %s for %v", b.Name(), c.path, downtime)
		s.restarts.Go(func() {
			sleep(ctx, downtime)
			s.restartServer(b)
		})
	}
}

// run sends the request again and again until ctx ends.
func (c *crashingRequest) run(ctx context.Context, s *soak) {
	var clients []*http.Client
	for _, source := range c.sources {
		dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(source)}}
		client := &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableCompression: true}, Timeout: requestDeadline}
		defer client.CloseIdleConnections()
		clients = append(clients, client)
	}
	for i := 0; ctx.Err() == nil; i++ {
		a, client := c.attempt, clients[c.addressRNG.IntN(len(clients))]
		a.id, a.entry = fmt.Sprintf("crash-%d", i), s.entries[c.rng.IntN(len(s.entries))]
		s.organisations.assign(&a, 0)
		a.chunked = a.payload != "" && c.rng.IntN(2) == 0
		if c.rng.IntN(2) == 0 {
			client.CloseIdleConnections() // sends on a new connection
		}
		s.send(ctx, client, &a)
		a.interrupted = ctx.Err() != nil && a.status == 0
		s.callers.add(&a)
		sleep(ctx, minCrashingPause+time.Duration(c.rng.Int64N(int64(c.maxPause-minCrashingPause))))
	}
}

// callerCount returns the number of callers that send other requests.
func (s *soak) callerCount() int {
	if s.crashing != nil {
		return crashingCallers * s.options.Callers
	}
	return s.options.Callers
}

// checkCrashing checks the rule for the request that crashes servers and returns the
// number of servers that it crashed.
func (c *checker) checkCrashing() int {
	var runs []standin.Run
	for name, of := range c.runs {
		if a := c.byID[name]; a != nil && a.crashing {
			runs = append(runs, of...)
		}
	}
	slices.SortFunc(runs, func(a, b standin.Run) int { return a.At.Compare(b.At) })
	var crashed []id.Server
	var bound time.Time
	for _, r := range runs {
		if slices.Contains(crashed, r.Server) {
			continue
		}
		crashed = append(crashed, r.Server)
		if len(crashed) == maxCrashedServers {
			bound = r.At.Add(stableWindow)
		}
	}
	if len(crashed) < maxCrashedServers {
		return len(crashed)
	}
	var late []string
	for _, r := range runs {
		a := c.byID[r.Request]
		if r.At.After(bound) && c.inTouch(c.sender(a), r) {
			late = append(late, fmt.Sprintf("%s through %s at %.2f s", r.Request, a.entry.name, c.seconds(r.At)))
		}
	}
	if len(late) > maxCrashingSends {
		c.addViolation("crashing: entries in touch sent %s %d times later than %.2f s, %v after its third crash: %s",
			runs[0].Path, len(late), c.seconds(bound), stableWindow, strings.Join(late, ", "))
	}
	return len(crashed)
}

// inTouch reports whether the entry that sent a request was in touch. A request that
// was held up on its way to the server doesn't count as sent by an entry in touch.
func (c *checker) inTouch(e *process, r standin.Run) bool {
	c.soak.mu.Lock()
	b := c.soak.named[r.Server]
	c.soak.mu.Unlock()
	return e.outOfTouch.quiet(r.At, stableWindow) && c.soak.storeDisturbance.quiet(r.At, stableWindow) &&
		b.disturbance.quiet(r.At, stableWindow)
}

// checkRefused looks for paths of which an entry served no request after the recovery
// time.
func (c *checker) checkRefused(recovery []*attempt) {
	type repeated struct {
		entry *process
		path  string
	}
	sent, served := make(map[repeated]int), make(map[repeated]int)
	for _, a := range recovery {
		key := repeated{a.entry, a.path}
		sent[key]++
		if a.status == http.StatusOK {
			served[key]++
		}
	}
	for key, n := range sent {
		if n >= minRepeats && served[key] == 0 {
			c.addViolation("refused: none of %d requests for %s was served by %s after the last fault", n, key.path, key.entry.name)
		}
	}
}
