// Package node implements one entry instance: it holds the entry's state, listens
// for callers and for other entries, and shuts down gracefully.
//
// Backend servers, configuration and evacuated zones are supplied from outside, by
// the code that watches the platform's store, or by a snapshot from another entry.
// A [Node] is ready once it has a configuration and a list of servers, until its
// shutdown begins.
//
// # Usage
//
//	n := node.New(node.Options{Self: self, Headers: headers, Log: log, Metrics: set})
//	n.SetBounds(bounds)
//	n.Configure(config)
//	n.Roster.Replace(now, servers)
//	n.MarkServersListed()
//	err := n.Run(ctx) // until ctx ends and the graceful shutdown is over
package node

import (
	"context"
	"errors"
	"fmt"
	"log"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"

	"github.com/shallotpier/shallotpier/internal/admitorder"
	"github.com/shallotpier/shallotpier/internal/boottime"
	"github.com/shallotpier/shallotpier/internal/crashcheck"
	"github.com/shallotpier/shallotpier/internal/crashreports"
	"github.com/shallotpier/shallotpier/internal/datagram"
	"github.com/shallotpier/shallotpier/internal/directory"
	"github.com/shallotpier/shallotpier/internal/dispatch"
	"github.com/shallotpier/shallotpier/internal/follow"
	"github.com/shallotpier/shallotpier/internal/forward"
	"github.com/shallotpier/shallotpier/internal/freshness"
	"github.com/shallotpier/shallotpier/internal/heartbeat"
	"github.com/shallotpier/shallotpier/internal/peer"
	"github.com/shallotpier/shallotpier/internal/peer/rpc"
	"github.com/shallotpier/shallotpier/internal/pipeline"
	"github.com/shallotpier/shallotpier/internal/quarantine"
	"github.com/shallotpier/shallotpier/internal/quota"
	"github.com/shallotpier/shallotpier/internal/relay"
	"github.com/shallotpier/shallotpier/internal/relayfeed"
	"github.com/shallotpier/shallotpier/internal/retry"
	"github.com/shallotpier/shallotpier/internal/roster"
	"github.com/shallotpier/shallotpier/internal/serverlimit"
	"github.com/shallotpier/shallotpier/internal/storecontact"
	"github.com/shallotpier/shallotpier/internal/upstream"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/unit"
)

const (
	// tickInterval is the interval of time-driven updates, such as timeouts and
	// active connection checks.
	tickInterval = 100 * time.Millisecond
	// connectTimeout bounds the time to connect to a backend server: several round
	// trips between regions.
	connectTimeout = 400 * time.Millisecond
	// idleTimeout is how long an idle connection to a server is kept, shorter than
	// the usual idle timeout of servers.
	idleTimeout = 8 * time.Second
	// nonIdempotentIdleTimeout is how long an idle connection may be reused for
	// requests that must not run twice.
	nonIdempotentIdleTimeout = 2 * time.Second
	// headerTimeout bounds the time to read a request's header.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes bounds the size of a request's header.
	maxHeaderBytes = 64 << 10
	// defaultIdleTimeout is the idle timeout of callers' connections if the
	// configuration has none.
	defaultIdleTimeout = time.Minute
	// serveShare is the fraction of the grace period during which new requests are
	// still served, while callers are notified of the shutdown by the directory and
	// by the Connection header of answers.
	serveShare = 0.45
	// longRequestTimeout is how long after the start of a shutdown requests are served
	// that may last longer than the grace period. Callers who have not noticed the shutdown
	// by then are told to use another entry.
	longRequestTimeout = 2700 * time.Millisecond
	// exitReserve is the end of the grace period that is reserved for the process to
	// exit.
	exitReserve = 300 * time.Millisecond
	// shortPollEntries is how many entries watch the store with a short timeout, to
	// detect an outage or a stalled watch on behalf of all entries. There are several,
	// so that the loss of a zone or region seldom affects all of them.
	shortPollEntries = 3
	// toleratedCrashes is how many servers a request may crash before it is
	// quarantined: a server may have crashed for another reason, for which the caller
	// should not be refused.
	toleratedCrashes = 2
	// retryBudgetShare is the fraction of the retry limits that is used: the entries'
	// counting windows are not aligned, so that the full limits could be exceeded in
	// sum.
	retryBudgetShare = 0.8
)

type (
	// Config is a configuration of the entry.
	Config struct {
		forward.Config
		// Services holds the server settings of each service.
		Services map[id.Service]roster.ServiceConfig `json:"services"`
		// IdleTimeout is the idle timeout of callers' connections.
		IdleTimeout time.Duration `json:"idle"`
	}

	// Bounds are limits that may change while an entry runs.
	Bounds struct {
		// Grace is the grace period of a shutdown: the time from the stop signal until
		// the process is killed.
		Grace time.Duration
		// RetryLimits limits the retries of all entries together.
		RetryLimits forward.RetryLimits
		// Cold limits what all entries together send to a cold server.
		Cold roster.ColdBound
		// Revoke is the time after which a removed key must not be accepted any more, 0 for
		// no bound.
		Revoke time.Duration
		// Quota limits the requests of an organisation in any window.
		Quota quota.Bounds
	}

	// Options configure an entry.
	Options struct {
		// Self describes this entry to the other entries.
		Self heartbeat.Node
		// MissingServerGrace is how long a server that is missing from the store is
		// kept after the store is available again.
		MissingServerGrace time.Duration
		// HeartbeatInterval is the interval between heartbeats to one entry.
		HeartbeatInterval time.Duration
		// HeartbeatTimeout is how long after its last heartbeat an entry still counts as
		// alive.
		HeartbeatTimeout time.Duration
		// Store holds the followers of the store's objects. More may be added until
		// Run is called.
		Store follow.Group
		// FirstStart is set only when the whole system starts for the first time.
		FirstStart bool
		// OnShutdown is called during shutdown when the entry stops listening for
		// callers, unless it is nil. The shutdown waits for its return, within the
		// grace period.
		OnShutdown func()
		// Headers holds the names of the headers of requests and answers.
		Headers forward.Headers
		// Load extracts the server's load report from the header of an answer; it
		// returns nil if there is none.
		Load func(http.Header) *roster.Load
		// Limit extracts the limit that the server names in the header of an answer, 0
		// if it names none; nil if servers name no limits.
		Limit func(http.Header) (unit.Rate, error)
		// ServerLeaving reports whether the header of an answer says that its server is
		// leaving; nil if servers don't say so.
		ServerLeaving func(http.Header) (bool, error)
		// StayAway extracts the time for which a server that turns a request away wants
		// no others, 0 if it names none; nil if servers name none.
		StayAway func(http.Header) (time.Duration, error)
		// Health extracts the name of the server and the rest of its slow start from the header
		// of the answer to a health check; nil if servers have none.
		Health func(http.Header) (id.Server, time.Duration, error)
		// StoreSilence is the time without an answer of the store to any entry after which
		// servers may have become cold unnoticed; 0 if that is not to be considered.
		StoreSilence time.Duration
		// Clock is the clock of the configuration's proofs; nil for that of the machine.
		Clock boottime.Clock
		// Log receives a line per event.
		Log *slog.Logger
		// Metrics receives counters, gauges and histograms.
		Metrics *metrics.Set
	}

	// Node is one entry instance.
	Node struct {
		// Roster holds the backend servers.
		Roster *roster.Roster
		// Quarantine holds the requests that crash servers.
		Quarantine *quarantine.List
		// Heartbeats exchanges heartbeats with the other entries.
		Heartbeats *heartbeat.Detector
		// ReadConfiguration reads the configuration from the store, applies it if it is
		// newer, and calls ConfirmConfiguration. It is nil if the store can't be read, and
		// is set before Run.
		ReadConfiguration func(context.Context) error

		options       Options
		bounds        atomic.Pointer[Bounds]
		config        atomic.Pointer[Config]
		serversListed atomic.Bool
		// entriesListed is set once Heartbeats has a complete list of the entries.
		entriesListed atomic.Bool
		started       time.Time
		// shutdown is set once the shutdown has begun.
		shutdown atomic.Pointer[shutdown]
		// closing is set once callers' connections are closed as soon as they are idle.
		closing  atomic.Bool
		upstream *upstream.Client
		// relays sends requests to other entries.
		relays *upstream.Client
		// dispatcher is also used by handler.
		dispatcher    *dispatch.Dispatcher
		handler       *forward.Handler
		idleConns     idleConnections
		heartbeatConn net.PacketConn
		peers         rpc.Node
		// feedServer and feedClients exchange the store's changes with other entries.
		feedServer relayfeed.Server
		// configPacker packs the configuration for snapshots.
		configPacker configPacker
		feedClients  []*rpc.Node
		// questions exchanges short questions with the other entries.
		questions datagram.Exchange
		// confirmation holds the proof that config is the newest, which freshness renews.
		confirmation freshness.Tracker
		configuredAt atomic.Pointer[time.Time]
		freshness    *freshness.Loop
		clock        boottime.Clock
		// storeContact keeps the age of the store's latest answer to any entry.
		storeContact storecontact.Tracker
		cold         coldChecks
		crashReports crashreports.Exchange
		limits       *serverlimit.Table
		quotas       *quotas
		order        admitorder.Order
		// unreached is the share of the servers of each service that the entry can't reach.
		unreached atomic.Pointer[map[id.Service]float64]
		// loggedUnreached holds the shares in the latest log lines; used by tick only.
		loggedUnreached map[id.Service]float64
		loggedReadiness readinessLog
		wg              sync.WaitGroup
	}

	// shutdown is a graceful shutdown.
	shutdown struct {
		began time.Time
		exit  time.Time // of the process, at the latest
	}
)

// New returns a Node without configuration and servers.
func New(o Options) *Node {
	n := &Node{options: o, started: time.Now(), Roster: &roster.Roster{Grace: o.MissingServerGrace, Log: o.Log}}
	n.limits = n.Roster.Limits()
	n.limits.Started = n.started
	n.upstream = &upstream.Client{ConnectTimeout: connectTimeout, IdleTimeout: idleTimeout, NonIdempotentIdleTimeout: nonIdempotentIdleTimeout, RequestIDHeader: o.Headers.RequestID}
	n.relays = &upstream.Client{ConnectTimeout: connectTimeout, IdleTimeout: idleTimeout, NonIdempotentIdleTimeout: nonIdempotentIdleTimeout, RequestIDHeader: o.Headers.RequestID}
	n.Quarantine = &quarantine.List{Instance: o.Self.Instance, Tolerated: toleratedCrashes}
	n.Heartbeats = &heartbeat.Detector{Self: n.Self, Interval: o.HeartbeatInterval, Timeout: o.HeartbeatTimeout, OnUpdate: n.onUpdate, Limits: n.limits.Reports, Log: o.Log}
	n.dispatcher = &dispatch.Dispatcher{Roster: n.Roster, Region: o.Self.Region}
	n.Heartbeats.EvenLoad = n.evenLoadNotices
	n.handler = &forward.Handler{
		Config: n.forwardConfig, Dispatcher: n.dispatcher, Upstream: n.upstream,
		Quarantine: n.Quarantine, CrashChecks: &crashcheck.Checker{Connect: n.upstream.CanConnect, Timeout: connectTimeout}, RetryLimits: n.retryLimits, Leaving: n.leaving, EndBy: n.endBy, Headers: o.Headers, Load: o.Load, Limit: o.Limit,
		ServerLeaving: o.ServerLeaving, StayAway: o.StayAway, StoreAge: n.storeAge, Log: o.Log, Metrics: o.Metrics, RelayClient: n.relays, Location: forward.Location{Zone: o.Self.Zone, Region: o.Self.Region},
		Relays: &relay.Selector{Region: o.Self.Region, Unreached: n.unreachedServers, Others: n.recentlyHeard},
	}
	n.peers.Self = peer.Sender{Instance: o.Self.Instance, Incarnation: o.Self.Incarnation}
	n.peers.Dial = n.dialPeer
	n.peers.Register(snapshotMethod, n.answerSnapshot)
	n.serveFeeds()
	n.crashReports.List, n.crashReports.Peers, n.crashReports.OnReport = n.Quarantine, singleCalls{&n.peers}, n.recordCrashReport
	n.crashReports.Register(&n.peers)
	n.questions.Log = o.Log
	n.prepareFreshness()
	n.prepareColdChecks()
	n.quotas = n.newQuotas()
	n.handler.Order = &n.order
	n.gauges(o.Metrics)
	return n
}

// Configure activates a configuration, unless one of the same or a later version is
// active.
func (n *Node) Configure(c *Config) {
	for {
		old := n.config.Load()
		if old != nil && c.Version <= old.Version && !completes(old, c) {
			if c.Version < old.Version {
				n.options.Log.Warn("older configuration left out", "version", c.Version, "inForce", old.Version)
			}
			return
		}
		if n.config.CompareAndSwap(old, c) {
			break
		}
	}
	now := time.Now()
	n.configuredAt.Store(&now)
	n.Roster.Configure(c.Services)
	n.quotas.SetOrganisations(limitsOf(c.Organisations))
	n.serviceGauges(c.Services)
	n.options.Log.Info("configuration in force", "version", c.Version, "services", len(c.Services))
	n.logOrganisations(c)
}

// SetBounds sets the bounds. It is called before Run, and when they change.
func (n *Node) SetBounds(b Bounds) {
	n.bounds.Store(&b)
	n.Roster.SetColdBound(b.Cold)
	n.confirmation.SetBound(b.Revoke)
	n.quotas.SetBounds(b.Quota)
}

// Store returns the followers of the store's objects.
func (n *Node) Store() follow.Group { return n.options.Store }

// MarkEntriesListed records that Heartbeats has a complete list of the entries.
func (n *Node) MarkEntriesListed() { n.entriesListed.Store(true) }

// MarkServersListed records that Roster holds a complete list of the servers.
func (n *Node) MarkServersListed() { n.serversListed.Store(true) }

// Ready reports whether the entry serves callers and is not shutting down. An entry that may
// accept no keys is not ready if its configuration has any.
func (n *Node) Ready() bool { return len(n.NotReady()) == 0 }

// serving reports whether the entry serves at least requests that need no key.
func (n *Node) serving() bool {
	return n.serversListed.Load() && n.config.Load() != nil && !n.leaving()
}

// leaving reports whether the entry is shutting down.
func (n *Node) leaving() bool { return n.shutdown.Load() != nil }

// endBy returns the time by which a request that is received now has to end, zero if any
// request is served.
func (n *Node) endBy() time.Time {
	s := n.shutdown.Load()
	if s == nil || time.Since(s.began) < longRequestTimeout {
		return time.Time{}
	}
	return s.exit
}

// Self returns the description of this entry that its heartbeats carry.
func (n *Node) Self() heartbeat.Node {
	self := n.options.Self
	self.Ready = n.Ready()
	self.Unreached = n.unreachedServers()
	self.Changes = n.options.Store.Changes()
	self.StoreAvailableFor = n.options.Store.AvailableFor(follow.Servers, time.Now())
	self.StoreContact = n.storeContact.Report(n.storeFails(time.Now()), n.checksServers())
	self.CrashDigest = n.Quarantine.Digest(time.Now())
	if n.Quarantine.Active() {
		self.Crashes = n.Quarantine.Reports(time.Now(), heartbeat.MaxCrashReports)
	}
	return self
}

// onUpdate applies an update from a heartbeat of another entry.
func (n *Node) onUpdate(now time.Time, update heartbeat.Update) {
	n.options.Store.Invalidate(update.Changes)
	for i := range update.Crashes {
		if n.Quarantine.Apply(now, update.Crashes[i]) {
			n.recordCrashReport(now, &update.Crashes[i])
		}
	}
	n.applyLimits(now, &update)
	n.storeContact.Receive(peer.Sender{Instance: update.From, Incarnation: update.Incarnation}, update.StoreContact)
	n.dispatcher.LearnObjects(now, update.Objects)
	n.Roster.LearnPaces(now, update.Paces)
	n.crashReports.Compare(update.From, update.CrashDigest)
}

// applyLimits applies the reports of servers' limits in a heartbeat.
func (n *Node) applyLimits(now time.Time, update *heartbeat.Update) {
	dropped, last := 0, error(nil)
	for i := range update.Limits {
		if err := n.limits.Apply(now, &update.Limits[i], update.From); err != nil {
			dropped, last = dropped+1, err
		}
	}
	if dropped > 0 {
		n.options.Log.Warn("reports of server limits dropped", "instance", update.From, "dropped", dropped, "of", len(update.Limits), "err", last)
	}
}

// recordCrashReport logs and counts a crash report of another entry.
func (n *Node) recordCrashReport(now time.Time, r *quarantine.CrashReport) {
	n.options.Metrics.GetOrCreateCounter(`shallotpier_crash_reports_total{from="entry"}`).Inc()
	n.options.Log.Info("crash report received", "instance", r.Instance, "fingerprint", r.Fingerprint, "send", r.Send, "age", now.Sub(r.At),
		"lifted", r.Lifted, "crashes", n.Quarantine.Crashes(now, r.Fingerprint), "quarantined", n.Quarantine.Quarantined(now, r.Fingerprint))
}

// LongestPeerStoreUptime returns the longest time for which the store has been
// available without interruption to any other entry in the present era.
func (n *Node) LongestPeerStoreUptime(now time.Time) time.Duration {
	longest, era := time.Duration(0), n.options.Store.Era(follow.Servers)
	for _, other := range n.Heartbeats.Alive(now) {
		if other.Changes[follow.Servers].Era == era {
			longest = max(longest, other.StoreAvailableFor)
		}
	}
	return longest
}

// ShortPolls reports whether this is a short-poll entry, one of the first
// shortPollEntries live entries by name.
func (n *Node) ShortPolls() bool {
	return n.Heartbeats.LiveBefore(time.Now(), n.options.Self.Instance) < shortPollEntries
}

// Entries returns the addresses of the entries that a caller in a zone and region
// should use. If no live entry is ready, but this one lacks only a recent proof of its
// configuration, that is this one: it serves requests that need no key, and tells the callers
// of the others when to come back.
func (n *Node) Entries(zone id.Zone, region id.Region) []netip.AddrPort {
	chosen := directory.Choose(append(n.Heartbeats.Alive(time.Now()), n.Self()), zone, region)
	if len(chosen) == 0 && n.serving() {
		chosen = append(chosen, n.options.Self.Callers)
	}
	return chosen
}

// gauges registers the gauges of the entry's state.
func (n *Node) gauges(set *metrics.Set) {
	set.GetOrCreateGauge(`shallotpier_entries`, func() float64 {
		return float64(len(n.Heartbeats.Alive(time.Now())) + 1)
	})
	set.GetOrCreateGauge(`shallotpier_config_version`, func() float64 {
		if c := n.config.Load(); c != nil {
			return float64(c.Version)
		}
		return 0
	})
	set.GetOrCreateGauge(`shallotpier_store_silent_seconds`, func() float64 { return n.storeSilentFor(time.Now()).Seconds() })
	// Entries with equal lists of crash reports have equal sizes.
	set.GetOrCreateGauge(`shallotpier_crash_reports`, func() float64 { return float64(n.Quarantine.Size()) })
	set.GetOrCreateGauge(`shallotpier_requests_running`, func() float64 { return float64(n.handler.Running()) })
}

// serviceGauges registers the gauges of the configuration's services. Services are
// few enough to be labels, unlike routes.
func (n *Node) serviceGauges(services map[id.Service]roster.ServiceConfig) {
	for name := range services {
		n.reachGauge(name)
		n.loadGauges(name)
		n.serverGauge(name, "usable", func(time.Time, *roster.Member) bool { return true })
		n.serverGauge(name, "outlier", func(_ time.Time, m *roster.Member) bool { return m.Outlier() })
		n.serverGauge(name, "cold", func(now time.Time, m *roster.Member) bool { return m.Cold(now) })
		n.serverGauge(name, "limited", func(now time.Time, m *roster.Member) bool { return m.Limit(now) > 0 })
		n.serverGauge(name, "away", func(now time.Time, m *roster.Member) bool { return m.Away(now) > 0 })
	}
}

// serverGauge registers the gauge of a service's eligible servers in a state.
func (n *Node) serverGauge(svc id.Service, state string, in func(time.Time, *roster.Member) bool) {
	n.options.Metrics.GetOrCreateGauge(fmt.Sprintf(`shallotpier_servers{service=%q,state=%q}`, svc, state), func() float64 {
		count, now := 0, time.Now()
		for _, m := range n.Roster.View().Members(svc) {
			if in(now, m) {
				count++
			}
		}
		return float64(count)
	})
}

// Run serves until ctx ends, then shuts down gracefully within the grace period.
func (n *Node) Run(ctx context.Context) error {
	o := &n.options
	listener, err := net.Listen("tcp", o.Self.Callers.String())
	if err != nil {
		return eris.Wrap(err, "listen for callers")
	}
	n.heartbeatConn, err = net.ListenPacket("udp", o.Self.Peers.String())
	if err != nil {
		return eris.Wrap(err, "listen for entries")
	}
	defer func() { _ = n.heartbeatConn.Close() }()
	peers, err := net.Listen("tcp", o.Self.Peers.String())
	if err != nil {
		return eris.Wrap(err, "listen for entries")
	}
	defer n.peers.Close()
	defer n.closeFeeds()
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	n.wg.Go(func() { n.tick(background) })
	n.wg.Go(func() { n.bootstrap(background) })
	n.wg.Go(func() { n.freshness.Run(background) })
	n.wg.Go(func() {
		if err := n.peers.Serve(background, peers); err != nil {
			o.Log.Error("RPC server for other entries failed", "err", err)
		}
	})
	n.wg.Go(func() {
		if err := n.Heartbeats.Run(background, n.heartbeatConn); err != nil {
			o.Log.Error("heartbeats failed", "err", err)
		}
	})
	callers := &pipeline.Listener{Listener: listener, Concurrent: n.handler.Concurrent, State: n.idleConns.onStateChange, Metrics: o.Metrics, Log: o.Log}
	server := n.callerServer(callers)
	relays := n.relayServer()
	ended := make(chan error, 2)
	go func() { ended <- server.Serve(callers) }()
	if o.Self.Relay.IsValid() {
		if err := n.serveEntries(background, relays, ended); err != nil {
			return err
		}
	}
	o.Log.Info("started", "instance", o.Self.Instance, "incarnation", o.Self.Incarnation, "callers", o.Self.Callers)
	select {
	case err := <-ended:
		return eris.Wrap(err, "serve callers")
	case <-ctx.Done():
	}
	err = n.stop(callers, server, relays)
	cancel()
	n.wg.Wait()
	return err
}

// serveEntries starts to serve the requests that other entries pass on, and to exchange
// questions with them.
func (n *Node) serveEntries(ctx context.Context, relays *http.Server, ended chan<- error) error {
	relayed, err := net.Listen("tcp", n.options.Self.Relay.String())
	if err != nil {
		return eris.Wrap(err, "listen for requests that entries pass on")
	}
	conn, err := net.ListenPacket("udp", n.options.Self.Relay.String())
	if err != nil {
		return eris.Wrap(err, "listen for questions of entries")
	}
	go func() { ended <- relays.Serve(relayed) }()
	n.wg.Go(func() {
		defer func() { _ = conn.Close() }()
		if err := n.questions.Run(ctx, conn); err != nil {
			n.options.Log.Error("questions of entries not answered", "err", err)
		}
	})
	return nil
}

// callerServer returns the server of callers' requests.
func (n *Node) callerServer(l *pipeline.Listener) *http.Server {
	return &http.Server{
		Handler: n.handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: l.OnStateChange, ConnContext: l.ConnContext,
		ErrorLog: n.serverLog(),
	}
}

// relayServer returns the server of requests that other entries pass on.
func (n *Node) relayServer() *http.Server {
	return &http.Server{
		Handler: n.handler.Relayed(), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes, IdleTimeout: defaultIdleTimeout,
		ErrorLog: n.serverLog(),
	}
}

// serverLog returns the log of net/http's servers.
func (n *Node) serverLog() *log.Logger {
	return slog.NewLogLogger(n.options.Log.With("library", "net/http").Handler(), slog.LevelWarn)
}

// stop shuts down gracefully: it announces the shutdown, serves new requests for a
// while, then stops listening, closes idle connections and waits for the running requests
// and for OnShutdown.
func (n *Node) stop(callers *pipeline.Listener, server, relays *http.Server) error {
	o := &n.options
	o.Log.Info("leaving", "running", n.handler.Running())
	grace, began := n.bounds.Load().Grace, time.Now()
	n.shutdown.Store(&shutdown{began: began, exit: began.Add(grace - exitReserve)})
	n.Heartbeats.Announce(n.heartbeatConn)
	serve := time.Duration(float64(grace) * serveShare)
	time.Sleep(serve)
	ctx, cancel := context.WithTimeout(context.Background(), grace-serve-exitReserve)
	defer cancel()
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		n.quotas.leave()
		if o.OnShutdown != nil {
			o.OnShutdown()
		}
	}()
	relaysClosed := make(chan error, 1)
	go func() { relaysClosed <- relays.Shutdown(ctx) }()
	// Settle may take all of the time that is left, for the requests of one caller.
	n.closing.Store(true)
	n.idleConns.close(time.Now(), 0)
	callers.Settle(ctx)
	err := errors.Join(server.Shutdown(ctx), <-relaysClosed)
	n.upstream.Wait(ctx)
	n.relays.Wait(ctx)
	select {
	case <-closed:
	case <-ctx.Done():
		o.Log.Warn("stopped before the shutdown hook returned", "limit", grace-serve-exitReserve)
	}
	if errors.Is(err, context.DeadlineExceeded) {
		o.Log.Warn("stopped with requests running", "running", n.handler.Running())
		return nil
	}
	o.Log.Info("stopped")
	return eris.Wrap(err, "close the callers' connections")
}

func (n *Node) tick(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			n.Roster.Step(now)
			n.updateReach(now)
			n.logReadiness(now)
			if n.mayUseColdRates(now) {
				n.Roster.SetEntries(n.options.Self.Peers, n.Heartbeats.KnownPeers())
			}
			n.stepQuotas(now)
			n.stepOrder(now)
			n.checkConnections(ctx, now)
			n.checkCold(ctx, now)
			n.upstream.CloseIdle(now)
			n.relays.CloseIdle(now)
			n.idleConns.close(now, n.callerIdleTimeout())
		}
	}
}

// mayUseColdRates reports whether the entry may use its share of cold servers'
// rates. It must know the other entries, which determine the share, and a previous
// process of this entry may have used the share of the last roster.ColdSpan.
func (n *Node) mayUseColdRates(now time.Time) bool {
	return n.entriesListed.Load() && now.Sub(n.started) >= roster.ColdSpan
}

// checkConnections starts the active connection checks that are due.
func (n *Node) checkConnections(ctx context.Context, now time.Time) {
	for _, m := range n.Roster.DueChecks(now) {
		go func() { n.Roster.RecordCheck(time.Now(), m, n.upstream.CanConnect(ctx, m.Address)) }()
	}
}

// callerIdleTimeout returns the idle timeout of callers' connections.
func (n *Node) callerIdleTimeout() time.Duration {
	if n.closing.Load() {
		return 0
	}
	if c := n.config.Load(); c != nil && c.IdleTimeout > 0 {
		return c.IdleTimeout
	}
	return defaultIdleTimeout
}

func (n *Node) forwardConfig() *forward.Config {
	c := n.config.Load()
	if c == nil || !n.serversListed.Load() {
		return nil
	}
	return &c.Config
}

func (n *Node) storeAge() time.Duration { return n.options.Store.Age(follow.Servers, time.Now()) }

// retryLimits returns this entry's share of the retry limits. There is no allowance until
// the entry knows the others, among which it is divided, and in the first retry.Window,
// for which a previous process of this entry may have used it.
func (n *Node) retryLimits() forward.RetryLimits {
	r := n.bounds.Load().RetryLimits
	limits := forward.RetryLimits{Share: r.Share * retryBudgetShare}
	if n.entriesListed.Load() && time.Since(n.started) >= retry.Window {
		limits.Allowance = r.Allowance * retryBudgetShare / float64(len(n.Heartbeats.KnownPeers())+1)
	}
	return limits
}
