// Package node is one entry instance: it holds what the entry knows, listens for
// callers and for other entries, and stops as planned.
//
// What it knows of backend servers, configuration and evacuated zones is put in
// from outside, by whatever follows the platform's store. A [Node] is ready once
// it has a configuration and a list of servers, until it is asked to leave.
//
// # Usage
//
//	n := node.New(node.Options{Instance: "entry-1", Callers: addr, Log: log})
//	n.SetBounds(bounds)
//	n.Configure(config)
//	n.Roster.Replace(now, servers)
//	n.Listed()
//	err := n.Run(ctx) // until ctx ends and the planned stop is over
package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"

	"github.com/shallotpier/shallotpier/internal/beacon"
	"github.com/shallotpier/shallotpier/internal/coldrate"
	"github.com/shallotpier/shallotpier/internal/directory"
	"github.com/shallotpier/shallotpier/internal/dispatch"
	"github.com/shallotpier/shallotpier/internal/follow"
	"github.com/shallotpier/shallotpier/internal/forward"
	"github.com/shallotpier/shallotpier/internal/peer"
	"github.com/shallotpier/shallotpier/internal/peer/rpc"
	"github.com/shallotpier/shallotpier/internal/quarantine"
	"github.com/shallotpier/shallotpier/internal/roster"
	"github.com/shallotpier/shallotpier/internal/upstream"
	"github.com/shallotpier/shallotpier/pkg/id"
)

const (
	// tickTime is how often the state moves on by time alone.
	tickTime = 100 * time.Millisecond
	// connectTime is the longest time to connect to a backend server: several
	// round trips between regions.
	connectTime = 400 * time.Millisecond
	// idleTime is how long an unused connection to a server is kept, less than
	// servers usually keep one.
	idleTime = 8 * time.Second
	// idleOnceTime is the same for requests that must not run twice.
	idleOnceTime = 2 * time.Second
	// headerTime is how long a caller may take for a request's header.
	headerTime = 10 * time.Second
	// maxHeader bounds a request's header in bytes.
	maxHeader = 64 << 10
	// defaultIdle is how long a caller's connection may stay unused while no
	// configuration says.
	defaultIdle = time.Minute
	// serveShare is the part of a planned stop's time in which new requests are
	// still served: callers hear of the stop from the directory and in answers.
	serveShare = 0.45
	// exitTime is left of a planned stop's time for the process to end.
	exitTime = 300 * time.Millisecond
	// scouts is how many entries look after an outage of the store for all, so
	// that the loss of a zone or a region seldom takes all of them.
	scouts = 3
	// toleratedCrashes is how many servers a request may crash before it is kept
	// away: a server may also have crashed for another reason, and its callers
	// should not pay for it.
	toleratedCrashes = 2
	// budgetShare is the part of the bound on resends that is used, since
	// entries count over windows that don't begin together.
	budgetShare = 0.8
)

type (
	// Config is a configuration in force.
	Config struct {
		forward.Config
		// Services holds what it says of the services' servers.
		Services map[id.Service]roster.Service `json:"services"`
		// Idle is how long a caller's connection may stay unused.
		Idle time.Duration `json:"idle"`
	}

	// Bounds are what may change while an entry runs.
	Bounds struct {
		// Grace is the time between a planned stop and the kill.
		Grace time.Duration
		// Resends bounds what all entries together send again.
		Resends forward.Resends
		// Cold bounds what all entries together send to a cold server.
		Cold roster.ColdBound
	}

	// Options say what an entry is and how it serves.
	Options struct {
		// Self is what the entry says of itself to the others.
		Self beacon.Node
		// Lapse is how long after the store's return a missing server is kept.
		Lapse time.Duration
		// BeaconInterval is the time between two beacons to one entry.
		BeaconInterval time.Duration
		// BeaconTimeout is how long an entry may be silent while it counts as
		// alive.
		BeaconTimeout time.Duration
		// Store holds the followers of the store's objects. They may be added
		// until Run.
		Store follow.Group
		// Closing is called during a planned stop when callers are not listened to
		// any more; the stop waits for its return as long as it may. nil is not
		// called.
		Closing func()
		// Headers names the headers of requests and answers.
		Headers forward.Headers
		// Load returns what a server's answer says of its load, nil if nothing.
		Load func(http.Header) *roster.Load
		// Log gets a line for each event.
		Log *slog.Logger
		// Metrics gets counters and histograms.
		Metrics *metrics.Set
	}

	// Node is one entry instance.
	Node struct {
		// Roster holds the backend servers.
		Roster *roster.Roster
		// Quarantine holds the requests that crash servers.
		Quarantine *quarantine.List
		// Beacon knows the other entries.
		Beacon *beacon.Beacon

		options Options
		bounds  atomic.Pointer[Bounds]
		config  atomic.Pointer[Config]
		listed  atomic.Bool
		// entriesListed tells that Beacon has met all entries that there are.
		entriesListed atomic.Bool
		began         time.Time
		leaving       atomic.Bool
		upstream      *upstream.Client
		// dispatcher is the one that handler uses.
		dispatcher *dispatch.Dispatcher
		handler    *forward.Handler
		idle       idleConnections
		beacons    net.PacketConn
		peers      rpc.Node
		wg         sync.WaitGroup
	}
)

// New returns a Node that knows nothing yet.
func New(o Options) *Node {
	n := &Node{options: o, began: time.Now(), Roster: &roster.Roster{Grace: o.Lapse, Log: o.Log}}
	n.upstream = &upstream.Client{ConnectTimeout: connectTime, IdleTimeout: idleTime, NonIdempotentIdleTimeout: idleOnceTime, RequestID: o.Headers.RequestID}
	n.Quarantine = &quarantine.List{Instance: o.Self.Instance, Tolerated: toleratedCrashes}
	n.Beacon = &beacon.Beacon{Self: n.Self, Interval: o.BeaconInterval, Timeout: o.BeaconTimeout, Heard: n.heard, Log: o.Log}
	n.dispatcher = &dispatch.Dispatcher{Roster: n.Roster, Region: o.Self.Region}
	n.handler = &forward.Handler{
		Config: n.forwardConfig, Dispatcher: n.dispatcher, Upstream: n.upstream,
		Quarantine: n.Quarantine, RetryLimits: n.resends, Leaving: n.leaving.Load, Headers: o.Headers, Load: o.Load,
		StoreAge: n.storeAge, Log: o.Log, Metrics: o.Metrics,
	}
	n.peers.Self = peer.Sender{Instance: o.Self.Instance, Incarnation: o.Self.Incarnation}
	n.peers.Dial = n.dialPeer
	n.peers.Register(snapshotMethod, n.answerSnapshot)
	n.gauges(o.Metrics)
	return n
}

// Configure puts a configuration in force, unless one of the same or a later
// version is.
func (n *Node) Configure(c *Config) {
	for {
		old := n.config.Load()
		if old != nil && c.Version <= old.Version {
			if c.Version < old.Version {
				n.options.Log.Warn("older configuration left out", "version", c.Version, "inForce", old.Version)
			}
			return
		}
		if n.config.CompareAndSwap(old, c) {
			break
		}
	}
	n.Roster.Configure(c.Services)
	n.serviceGauges(c.Services)
	n.options.Log.Info("configuration in force", "version", c.Version, "services", len(c.Services))
}

// SetBounds sets the bounds. It is called before Run, and when they change.
func (n *Node) SetBounds(b Bounds) {
	n.bounds.Store(&b)
	n.Roster.SetColdBound(b.Cold)
}

// Store returns the followers of the store's objects.
func (n *Node) Store() follow.Group { return n.options.Store }

// EntriesListed notes that Beacon has met all entries of a list.
func (n *Node) EntriesListed() { n.entriesListed.Store(true) }

// Listed notes that the roster holds a whole list of the servers.
func (n *Node) Listed() { n.listed.Store(true) }

// Ready tells whether the entry serves callers and is not about to stop.
func (n *Node) Ready() bool {
	return n.listed.Load() && n.config.Load() != nil && !n.leaving.Load()
}

// Self returns what the entry says of itself.
func (n *Node) Self() beacon.Node {
	self := n.options.Self
	self.Ready = n.Ready()
	self.Changes = n.options.Store.Changes()
	self.Steady = n.options.Store.Steady(follow.Servers, time.Now())
	if n.Quarantine.Watching() {
		self.Crashes = n.Quarantine.News(time.Now(), beacon.MaxCrashes)
	}
	return self
}

// heard takes in the news of other entries.
func (n *Node) heard(now time.Time, news beacon.News) {
	n.options.Store.Hint(news.Changes)
	for _, crash := range news.Crashes {
		n.Quarantine.Learn(now, crash)
	}
}

// OthersSteady returns the longest time for which the store has answered another
// entry all along.
func (n *Node) OthersSteady(now time.Time) time.Duration {
	longest := time.Duration(0)
	for _, other := range n.Beacon.Alive(now) {
		longest = max(longest, other.Steady)
	}
	return longest
}

// Scout tells whether the entry is one of those that look after an outage of the
// store for all: a few of those that are alive, by name.
func (n *Node) Scout() bool {
	before := 0
	for _, other := range n.Beacon.Alive(time.Now()) {
		if other.Instance < n.options.Self.Instance {
			before++
		}
	}
	return before < scouts
}

// Entries returns the addresses of the entries for a caller.
func (n *Node) Entries(zone id.Zone, region id.Region) []netip.AddrPort {
	return directory.Choose(append(n.Beacon.Alive(time.Now()), n.Self()), zone, region)
}

// gauges writes what the entry believes. Services are few, unlike routes.
func (n *Node) gauges(set *metrics.Set) {
	set.GetOrCreateGauge(`shallotpier_entries`, func() float64 {
		return float64(len(n.Beacon.Alive(time.Now())) + 1)
	})
	set.GetOrCreateGauge(`shallotpier_config_version`, func() float64 {
		if c := n.config.Load(); c != nil {
			return float64(c.Version)
		}
		return 0
	})
	set.GetOrCreateGauge(`shallotpier_requests_running`, func() float64 { return float64(n.handler.Running()) })
}

// serviceGauges adds those of the configuration's services.
func (n *Node) serviceGauges(services map[id.Service]roster.Service) {
	for name := range services {
		n.options.Metrics.GetOrCreateGauge(fmt.Sprintf(`shallotpier_servers{service=%q,state="usable"}`, name), func() float64 {
			return float64(len(n.Roster.View().Members(name)))
		})
		n.options.Metrics.GetOrCreateGauge(fmt.Sprintf(`shallotpier_servers{service=%q,state="outlier"}`, name), func() float64 {
			outliers := 0
			for _, m := range n.Roster.View().Members(name) {
				if m.Outlier() {
					outliers++
				}
			}
			return float64(outliers)
		})
	}
}

// Run serves until ctx has ended and the planned stop that this begins is over.
func (n *Node) Run(ctx context.Context) error {
	o := &n.options
	listener, err := net.Listen("tcp", o.Self.Callers.String())
	if err != nil {
		return eris.Wrap(err, "listen for callers")
	}
	n.beacons, err = net.ListenPacket("udp", o.Self.Peers.String())
	if err != nil {
		return eris.Wrap(err, "listen for entries")
	}
	defer func() { _ = n.beacons.Close() }()
	peers, err := net.Listen("tcp", o.Self.Peers.String())
	if err != nil {
		return eris.Wrap(err, "listen for entries")
	}
	defer n.peers.Close()
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	n.wg.Go(func() { n.tick(background) })
	n.wg.Go(func() { n.relay(background) })
	n.wg.Go(func() {
		if err := n.peers.Serve(background, peers); err != nil {
			o.Log.Error("other entries are not answered any more", "err", err)
		}
	})
	n.wg.Go(func() {
		if err := n.Beacon.Run(background, n.beacons); err != nil {
			o.Log.Error("beacons ended", "err", err)
		}
	})
	server := &http.Server{
		Handler: n.handler, ReadHeaderTimeout: headerTime, MaxHeaderBytes: maxHeader, ConnState: n.idle.changed,
		ErrorLog: slog.NewLogLogger(o.Log.With("library", "net/http").Handler(), slog.LevelWarn),
	}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	o.Log.Info("started", "instance", o.Self.Instance, "incarnation", o.Self.Incarnation, "callers", o.Self.Callers)
	select {
	case err := <-ended:
		return eris.Wrap(err, "serve callers")
	case <-ctx.Done():
	}
	err = n.stop(server)
	cancel()
	n.wg.Wait()
	return err
}

// stop ends the entry as planned.
func (n *Node) stop(server *http.Server) error {
	o := &n.options
	o.Log.Info("leaving", "running", n.handler.Running())
	n.leaving.Store(true)
	n.Beacon.Announce(n.beacons)
	grace := n.bounds.Load().Grace
	serve := time.Duration(float64(grace) * serveShare)
	time.Sleep(serve)
	ctx, cancel := context.WithTimeout(context.Background(), grace-serve-exitTime)
	defer cancel()
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		if o.Closing != nil {
			o.Closing()
		}
	}()
	err := server.Shutdown(ctx)
	select {
	case <-closed:
	case <-ctx.Done():
		o.Log.Warn("stopped before the work of closing was done", "limit", grace-serve-exitTime)
	}
	if errors.Is(err, context.DeadlineExceeded) {
		o.Log.Warn("stopped with requests running", "running", n.handler.Running())
		return nil
	}
	o.Log.Info("stopped")
	return eris.Wrap(err, "close the callers' connections")
}

func (n *Node) tick(ctx context.Context) {
	t := time.NewTicker(tickTime)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			n.Roster.Step(now)
			if n.sharesCold(now) {
				n.Roster.SetEntries(n.options.Self.Peers, n.Beacon.Known())
			}
			n.check(ctx, now)
			n.upstream.CloseIdle(now)
			n.idle.close(now, n.idleLimit())
		}
	}
}

// sharesCold tells whether the entry may use its part of cold servers' rates: it
// must know who else does, and a process before it may have sent its part until it
// ended.
func (n *Node) sharesCold(now time.Time) bool {
	return n.entriesListed.Load() && now.Sub(n.began) >= coldrate.Span
}

// check connects to the servers of which it is not known whether they are in reach.
func (n *Node) check(ctx context.Context, now time.Time) {
	for _, m := range n.Roster.Checks(now) {
		go func() { n.Roster.Checked(time.Now(), m, n.upstream.CanConnect(ctx, m.Address)) }()
	}
}

func (n *Node) idleLimit() time.Duration {
	if c := n.config.Load(); c != nil && c.Idle > 0 {
		return c.Idle
	}
	return defaultIdle
}

func (n *Node) forwardConfig() *forward.Config {
	c := n.config.Load()
	if c == nil || !n.listed.Load() {
		return nil
	}
	return &c.Config
}

func (n *Node) storeAge() time.Duration { return n.options.Store.Age(follow.Servers, time.Now()) }

// resends returns this entry's part of what all may send again.
func (n *Node) resends() forward.Resends {
	r := n.bounds.Load().Resends
	entries := float64(len(n.Beacon.Known()) + 1)
	return forward.Resends{Share: r.Share * budgetShare, Allowance: r.Allowance * budgetShare / entries}
}
