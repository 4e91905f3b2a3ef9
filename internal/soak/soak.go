// Package soak runs real entries as separate processes against stand-ins of the
// platform, injects faults from outside them, and checks what callers and backend
// servers see.
//
// Faults come in series, overlap and are drawn from a seed: entries are stopped,
// killed, paused and restarted by signals; connections to the store and to servers
// are delayed, reset, cut one way or silenced by proxies; the store fails, goes deaf
// or forgets its history; servers crash, slow down, refuse, lose answers, leave, and
// come back under other names; configurations change and zones are evacuated.
//
// A run ends only processes that it started.
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
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/platform"
	"github.com/shallotpier/shallotpier/platform/standin"
)

const (
	serviceName = id.Service("registry")
	host        = "soak.example"
	slots       = 6
	workTime    = 20 * time.Millisecond
	// startTime is how long entries may take to become ready.
	startTime = 10 * time.Second
	// settleTime is how long after the last fault requests must be served
	// again.
	settleTime = 5 * time.Second
	// leaveTime is how long after it said that it leaves a server may get
	// requests of an entry that nothing disturbed.
	leaveTime = 3 * time.Second
	// touchTime is how long an entry must have been undisturbed for the checks
	// with a bound.
	touchTime = 5 * time.Second
	// recovered is the part of requests that must be served after settleTime.
	recovered = 0.95
)

type (
	// Options say what a run does.
	Options struct {
		// Binary is the entry's program.
		Binary string
		// Seed decides all that is random.
		Seed uint64
		// Length is how long faults are injected; 0 is 15 s.
		Length time.Duration
		// Entries is how many entries run; 0 is 4.
		Entries int
		// Servers is how many backend servers there are; 0 is 8.
		Servers int
		// Callers is how many callers send at the same time; 0 is 16.
		Callers int
		// Folder gets the entries' settings and logs; empty is a temporary one.
		Folder string
	}

	// Report tells what was seen.
	Report struct {
		// Seed is the run's.
		Seed uint64
		// Requests is how many were sent, Served how many of them were served.
		Requests, Served int
		// Settled is the part that was served after the last fault.
		Settled float64
		// Faults lists what was injected, in order.
		Faults []string
		// Violations lists the promises that were broken.
		Violations []string
		// Folder holds the entries' logs.
		Folder string
	}

	// soak is one run.
	soak struct {
		options Options
		rng     *rand.Rand
		start   time.Time
		store   *standin.Store
		ledger  standin.Ledger
		servers []*backend
		entries []*process
		callers callers

		mu     sync.Mutex
		faults []string
		// storeDisturbed holds when faults struck the store.
		storeDisturbed disturbance
		left           map[id.Server]time.Time
		version        int
		// versions holds when each configuration was put in force.
		versions map[int]time.Time
		names    int
		chance   *rand.Rand
	}

	// backend is a server behind its proxy.
	backend struct {
		*standin.Server
		proxy *proxy
		zone  id.Zone
	}
)

// Run runs one seed. The error tells that the run itself failed.
func Run(ctx context.Context, o Options) (*Report, error) {
	o = o.withDefaults()
	if o.Folder == "" {
		folder, err := os.MkdirTemp("", "soak")
		if err != nil {
			return nil, eris.Wrap(err, "make a folder")
		}
		o.Folder = folder
	}
	s := &soak{
		options: o, rng: rand.New(rand.NewPCG(o.Seed, 0)), start: time.Now(), store: standin.NewStore(),
		left: make(map[id.Server]time.Time), versions: make(map[int]time.Time), chance: rand.New(rand.NewPCG(o.Seed, 1)),
	}
	defer s.end()
	if err := s.begin(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	for i := range o.Callers {
		wg.Go(func() { s.callers.run(ctx, s, i) })
	}
	s.inject(ctx)
	settled := time.Now().Add(settleTime)
	sleep(ctx, settleTime+2*time.Second)
	cancel()
	wg.Wait()
	return s.report(settled), nil
}

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

// begin starts the stand-ins and the entries.
func (s *soak) begin() error {
	s.configure()
	for i := range s.options.Servers {
		b := &backend{zone: zone(i)}
		b.Server = &standin.Server{
			Store: s.store, Ledger: &s.ledger, Service: serviceName, Zone: b.zone, Slots: slots, Work: workTime,
		}
		if err := b.listen(s.name()); err != nil {
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
		if err := e.begin(); err != nil {
			return err
		}
	}
	for end := time.Now().Add(startTime); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if s.ready() == len(s.entries) {
			return nil
		}
		if err := s.startAgain(); err != nil {
			return err
		}
	}
	return eris.Errorf("%d of %d entries are ready after %v", s.ready(), len(s.entries), startTime)
}

// startAgain starts the entries that ended before any fault, at other ports:
// another process took one of theirs.
func (s *soak) startAgain() error {
	for _, e := range s.entries {
		if !e.hasExited() {
			continue
		}
		s.note("%s ended at its start", e.name)
		if err := e.settle(); err != nil {
			return err
		}
		if err := e.begin(); err != nil {
			return err
		}
	}
	return nil
}

// listen starts the server behind a proxy.
func (b *backend) listen(name id.Server) error {
	if err := b.Start(name); err != nil {
		return eris.Wrap(err, "start a server")
	}
	if b.proxy == nil {
		p, err := newProxy(b.Address())
		if err != nil {
			return eris.Wrap(err, "start a proxy")
		}
		b.proxy = p
		b.Public = p.address()
		b.Register("ready")
	}
	return nil
}

func (s *soak) end() {
	for _, e := range s.entries {
		e.kill()
		e.store.close()
	}
	for _, b := range s.servers {
		b.Stop()
		b.proxy.close()
	}
	s.store.CloseClientConnections()
	s.store.Close()
}

func (s *soak) ready() int {
	n := 0
	for _, e := range s.entries {
		if e.isReady() {
			n++
		}
	}
	return n
}

// name returns a new name for a server.
func (s *soak) name() id.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.names++
	return id.Server(fmt.Sprintf("s-%d", s.names))
}

// configure puts the next version in force. Each has a route of its own.
func (s *soak) configure() {
	s.mu.Lock()
	s.version++
	v := s.version
	s.mu.Unlock()
	s.store.Put(platform.KindConfig, "main", standin.Config(v, map[string]standin.Route{
		"read":    {Host: host, Prefix: "/read/", Kind: "idempotent", Service: serviceName},
		"write":   {Host: host, Prefix: "/write/", Kind: "non_idempotent", Service: serviceName},
		"version": {Host: host, Prefix: fmt.Sprintf("/version/%d/", v), Kind: "idempotent", Service: serviceName},
	}))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versions[v] = time.Now()
}

func (s *soak) note(format string, args ...any) {
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
