// Package soak runs real entries as separate processes against stand-ins of the
// platform, injects faults from outside, and checks the system's guarantees against
// the records of callers and backend servers.
//
// Faults follow each other at random intervals, determined by a seed, and may overlap:
// signals shut down, kill, pause and reload entries; proxies delay, reset or stall, in
// one or both directions, the connections to the store and to servers; the store
// fails, stalls watches, discards its history or is restored from an older copy;
// servers crash, slow down, reject requests, lose responses, drain, and restart under
// other names; configurations change and zones are evacuated. In some runs one caller
// repeats a request that crashes every server that runs it, from one address or several; in others servers name
// limits, which rise, fall and end, or entries lose their links to all servers, or requests
// carry keys of organisations, some of which are removed, malformed or missing, or servers become
// cold again, also while the store is unavailable.
//
// A run terminates only processes that it started. [Run] returns an error if the run
// itself failed; violated guarantees are listed in the [Report].
//
// # Usage
//
//	report, err := soak.Run(ctx, soak.Options{Binary: "target/shallotpier-entry", Seed: 7, Length: 15 * time.Second})
//	for _, v := range report.Violations {
//		fmt.Println(v)
//	}
package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/platform"
	"github.com/shallotpier/shallotpier/platform/standin"
)

const (
	serviceName    = id.Service("registry")
	host           = "soak.example"
	slots          = 6
	processingTime = 20 * time.Millisecond
	// startTimeout is the time within which entries must become ready.
	startTimeout = 10 * time.Second
	// recoveryTime is the time after the last fault within which the system must
	// serve requests again.
	recoveryTime = 5 * time.Second
	// drainDelay is the time after the announcement of draining during which a
	// server may still get requests from an entry that no fault disturbed.
	drainDelay = 3 * time.Second
	// quietPeriod is the time without a fault after which the guarantees with a
	// time limit are checked for an entry.
	quietPeriod = 5 * time.Second
	// minRecovered is the minimum fraction of requests served after recoveryTime.
	minRecovered = 0.95
)

// Random streams of a seed.
const (
	faultStream uint64 = iota
	serverFaultStream
	crashingStream
	// firstCallerStream is the stream of caller 0; the others follow.
	firstCallerStream
	// limitStream leaves the streams of the callers as they are.
	limitStream uint64 = 1 << 32
	// addressStream leaves the streams of the callers as they are, and the requests of
	// failed seeds at one address.
	addressStream uint64 = 2439 << 32
	// firstAheadStream leaves the other requests of the callers as they are.
	firstAheadStream uint64 = 2025 << 32
	// leavingStream leaves the failed seeds without servers that leave by their answers.
	leavingStream uint64 = 22197097 << 32
	// linkStream leaves the failed seeds without cuts of links.
	linkStream uint64 = 2661 << 32
	// organisationStream leaves the failed seeds without organisations.
	organisationStream uint64 = 289792 << 32
	// coldStream leaves the failed seeds without servers that become cold.
	coldStream uint64 = 4283519 << 32
)

type (
	// Options are the parameters of a run.
	Options struct {
		// Binary is the path of the entry's executable.
		Binary string
		// Seed determines the faults and the requests.
		Seed uint64
		// Length is the time during which faults are injected; 0 for 15 s.
		Length time.Duration
		// Cold makes servers cold again now and then, also while the store is unavailable.
		Cold bool
		// Entries is the number of entries; 0 for 4.
		Entries int
		// Servers is the number of backend servers; 0 for 8.
		Servers int
		// Callers is the number of concurrent callers; 0 for 16.
		Callers int
		// Folder receives the entries' settings and logs; empty for a temporary
		// folder.
		Folder string
	}

	// Report is the result of a run.
	Report struct {
		// Seed is the seed of the run.
		Seed uint64
		// Requests is the number of requests sent, Served the number of those
		// that were served.
		Requests, Served int
		// Recovered is the fraction that was served of the requests sent later
		// than the recovery time of 5 s after the last fault, without version
		// probes.
		Recovered float64
		// Crashes is the number of servers that a request crashed.
		Crashes int
		// LinkCuts is the number of times that entries lost their links to all servers
		// for long enough for the check.
		LinkCuts int
		// Limited is the number of servers that named a limit long enough for the
		// check.
		Limited int
		// Leaving is the number of passages of an answer that says that its server is
		// leaving, by start of entry and server.
		Leaving int
		// Rejected is the number of requests that were answered with 401.
		Rejected int
		// Cold is the number of checked times in which a server was cold, ColdBusy of those
		// before which it got more requests than a cold server takes, ColdBusyUnregistered of
		// the latter that no registration told of.
		Cold, ColdBusy, ColdBusyUnregistered int
		// Faults lists the injected faults, in order.
		Faults []string
		// Violations lists the violations of guarantees.
		Violations []string
		// Folder contains the entries' settings and logs.
		Folder string
	}

	// soak is the state of one run.
	soak struct {
		options Options
		ip      string // of the entries and servers
		rng     *rand.Rand
		start   time.Time
		store   *standin.Store
		ledger  standin.Ledger
		servers []*backend
		entries []*process
		callers callers

		mu     sync.Mutex
		faults []string
		// storeDisturbance records the faults of the store.
		storeDisturbance disturbance
		drainingSince    map[id.Server]time.Time
		version          int
		// versions holds the time of publication of each configuration.
		versions    map[int]time.Time
		serverNames int // number of names used
		// named holds the server of each name.
		named    map[id.Server]*backend
		faultRNG *rand.Rand
		// crashing is the request that crashes servers; nil if the run has none.
		crashing *crashingRequest
		// limits are the servers' limits; nil if the run has none.
		limits *serverLimits
		// links are the links between entries and servers; nil if the run cuts none.
		links *links
		// organisations assigns keys to requests; nil if the run has no organisations.
		organisations *organisations
		// cold makes servers cold; nil if the run has none.
		cold     *coldServers
		restarts sync.WaitGroup
	}

	// backend is a backend server behind a proxy.
	backend struct {
		*standin.Server
		proxy *proxy
		zone  id.Zone
		// disturbance records the faults of the path to the server.
		disturbance disturbance
		// stalls records the faults that hold up requests on this path.
		stalls disturbance
		down   atomic.Bool
	}
)

// Run runs one seed. It returns an error if the run itself failed; violations are in
// the report.
func Run(ctx context.Context, o Options) (*Report, error) {
	o = o.withDefaults()
	if o.Folder == "" {
		folder, err := os.MkdirTemp("", "soak")
		if err != nil {
			return nil, eris.Wrap(err, "create temporary folder")
		}
		o.Folder = folder
	}
	s := &soak{
		options: o, ip: runIP(o.Seed), rng: rand.New(rand.NewPCG(o.Seed, faultStream)), start: time.Now(), store: standin.NewStore(),
		drainingSince: make(map[id.Server]time.Time), versions: make(map[int]time.Time), named: make(map[id.Server]*backend), faultRNG: rand.New(rand.NewPCG(o.Seed, serverFaultStream)),
	}
	ctx, cancel := context.WithCancel(ctx)
	defer s.tearDown()
	defer cancel()
	s.crashing = s.newCrashingRequest()
	s.limits = s.newServerLimits()
	s.links = s.newLinks()
	s.organisations = s.newOrganisations()
	s.cold = s.newColdServers()
	if err := s.setUp(ctx); err != nil {
		return nil, err
	}
	var wg sync.WaitGroup
	for i := range s.callerCount() {
		wg.Go(func() { s.callers.run(ctx, s, i) })
	}
	if s.crashing != nil {
		wg.Go(func() { s.crashing.run(ctx, s) })
	}
	limited, endLimits := context.WithCancel(ctx)
	defer endLimits()
	wg.Go(func() { s.announceLeaving(limited) })
	if s.limits != nil {
		wg.Go(func() { s.limits.run(limited, s) })
	}
	if s.links != nil {
		wg.Go(func() { s.links.run(limited, s) })
	}
	if s.cold != nil {
		wg.Go(func() { s.cold.run(limited, s) })
	}
	s.inject(ctx)
	endLimits()
	recoveryEnd := time.Now().Add(recoveryTime)
	sleep(ctx, recoveryTime+2*time.Second)
	cancel()
	wg.Wait()
	return s.report(recoveryEnd), nil
}

// runIP returns the loopback address of a run. Runs side by side have different ones,
// as a port that one run releases for some time could otherwise be taken by another one.
func runIP(seed uint64) string { return fmt.Sprintf("127.%d.%d.1", 1+seed/250%250, 1+seed%250) }

func (o Options) withDefaults() Options {
	if o.Length == 0 {
		o.Length = 15 * time.Second
	}
	if o.Entries == 0 {
		o.Entries = 4
	}
	if o.Servers == 0 {
		o.Servers = 8
	}
	if o.Callers == 0 {
		o.Callers = 16
	}
	return o
}

// setUp starts the stand-ins and the entries and waits until the entries are ready.
func (s *soak) setUp(ctx context.Context) error {
	s.publishConfig()
	if s.organisations != nil {
		s.ledger.KeyPrefix = keyPrefix
	}
	for i := range s.options.Servers {
		b := &backend{zone: zone(i)}
		b.Server = &standin.Server{
			Store: s.store, Ledger: &s.ledger, IP: s.ip, Service: serviceName, Zone: b.zone, Slots: slots, ProcessingTime: processingTime,
		}
		if s.limits != nil {
			b.OnArrival = s.limits.recordArrival
		}
		if s.cold != nil {
			b.OnAddressed = s.cold.recordArrival
		}
		if s.crashing != nil {
			s.crashing.prepare(ctx, s, b, i)
		}
		if err := s.startBehindProxy(b); err != nil {
			return err
		}
		s.servers = append(s.servers, b)
	}
	for i := range s.options.Entries {
		e, err := newProcess(s, i)
		if err != nil {
			return err
		}
		s.entries = append(s.entries, e)
		if err := s.links.connect(s, e); err != nil {
			return eris.Wrap(err, "start link proxies")
		}
		if err := e.launch(); err != nil {
			return err
		}
	}
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if s.readyCount() == len(s.entries) {
			return nil
		}
		if err := s.relaunchExited(); err != nil {
			return err
		}
	}
	return eris.Errorf("only %d of %d entries are ready after %v", s.readyCount(), len(s.entries), startTimeout)
}

// relaunchExited starts entries that exited before any fault was injected, with other
// ports, assuming that another process has taken one of their ports.
func (s *soak) relaunchExited() error {
	for _, e := range s.entries {
		if !e.hasExited() {
			continue
		}
		s.logFault("%s exited during start", e.name)
		if err := e.prepare(); err != nil {
			return err
		}
		if err := e.launch(); err != nil {
			return err
		}
	}
	return nil
}

// startBehindProxy starts a server under a new name and, the first time, its proxy.
func (s *soak) startBehindProxy(b *backend) error {
	if b.proxy != nil {
		if err := errors.Join(b.proxy.listen(), s.links.restore(b)); err != nil {
			return eris.Wrap(err, "listen for the backend server")
		}
	}
	if err := b.Start(s.newServerName(b)); err != nil {
		return eris.Wrap(err, "start backend server")
	}
	if b.proxy == nil {
		p, err := newProxy(s.ip, b.Address())
		if err != nil {
			return eris.Wrap(err, "start server proxy")
		}
		b.proxy = p
		b.AdvertisedAddress = p.address
		b.Register("ready")
	}
	return nil
}

func (s *soak) tearDown() {
	for _, e := range s.entries {
		e.kill()
		e.storeProxy.close()
	}
	s.restarts.Wait()
	s.links.close()
	for _, b := range s.servers {
		b.Stop()
		b.proxy.close()
	}
	s.store.CloseClientConnections()
	s.store.Close()
}

func (s *soak) readyCount() int {
	n := 0
	for _, e := range s.entries {
		if e.isReady() {
			n++
		}
	}
	return n
}

// newServerName returns an unused name for a backend server.
func (s *soak) newServerName(b *backend) id.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serverNames++
	name := id.Server(fmt.Sprintf("s-%d", s.serverNames))
	s.named[name] = b
	return name
}

// publishConfig publishes the next configuration version. Each version has a route of
// its own, by which version probes detect the active version.
func (s *soak) publishConfig() {
	s.mu.Lock()
	s.version++
	v := s.version
	s.mu.Unlock()
	s.store.Put(platform.KindConfig, "main", standin.ConfigOf(v, s.routes(v), s.organisations.tenants(v)))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versions[v] = time.Now()
}

// logFault adds a line with the time since the start to the list of faults.
func (s *soak) logFault(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, fmt.Sprintf("%6.2f s  ", time.Since(s.start).Seconds())+fmt.Sprintf(format, args...))
}

func zone(i int) id.Zone { return id.Zone(fmt.Sprintf("z-%d", i%2)) }

func region(i int) id.Region { return id.Region(fmt.Sprintf("r-%d", i%2)) }

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
