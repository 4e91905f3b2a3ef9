package daemon

import (
	"context"
	"crypto/rand"
	"log/slog"
	mrand "math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"

	"github.com/shallotpier/shallotpier/internal/admission"
	"github.com/shallotpier/shallotpier/internal/admission/shared"
	"github.com/shallotpier/shallotpier/internal/backend"
	"github.com/shallotpier/shallotpier/internal/config"
	"github.com/shallotpier/shallotpier/internal/crashreports"
	"github.com/shallotpier/shallotpier/internal/entry"
	"github.com/shallotpier/shallotpier/internal/httpserver"
	"github.com/shallotpier/shallotpier/internal/instances"
	"github.com/shallotpier/shallotpier/internal/lease"
	"github.com/shallotpier/shallotpier/internal/loads"
	"github.com/shallotpier/shallotpier/internal/lookup"
	"github.com/shallotpier/shallotpier/internal/membership"
	"github.com/shallotpier/shallotpier/internal/notices"
	"github.com/shallotpier/shallotpier/internal/once"
	"github.com/shallotpier/shallotpier/internal/operator"
	"github.com/shallotpier/shallotpier/internal/peer"
	"github.com/shallotpier/shallotpier/internal/peer/rpc"
	"github.com/shallotpier/shallotpier/internal/quarantine"
	"github.com/shallotpier/shallotpier/internal/routing"
	"github.com/shallotpier/shallotpier/internal/settings"
	"github.com/shallotpier/shallotpier/internal/shutdown"
	"github.com/shallotpier/shallotpier/internal/store"
	"github.com/shallotpier/shallotpier/internal/store/httpstore"
	"github.com/shallotpier/shallotpier/internal/store/observed"
	"github.com/shallotpier/shallotpier/pkg/id"
)

const (
	ticketKeySize        = 32
	shutdownPollInterval = 50 * time.Millisecond
	maxWaiting           = 4096
	closeServer          = 2 * time.Second
)

// Daemon is one entry instance. Its exported fields are set before Run.
type Daemon struct {
	// Settings are the entry's checked settings.
	Settings *settings.Settings
	// Log receives a message for each event.
	Log *slog.Logger
	// Store is the platform's store; nil means the store named in the
	// settings.
	Store store.Store
	// Instances is the platform's list of instances; nil means the list of
	// the platform named in the settings.
	Instances instances.Lister
	// DialPeer connects to another entry; nil means TCP.
	DialPeer func(ctx context.Context, to id.Instance) (net.Conn, error)
	// DialBackend connects to a backend server; nil means TCP.
	DialBackend func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
	// Started, if not nil, is called once all listeners are open.
	Started func()

	incarnation  id.Incarnation
	started      time.Time
	store        *observed.Store
	node         *rpc.Node
	view         atomic.Pointer[view]
	startupDone  atomic.Bool
	lookups      lookups
	slots        shared.Admitter
	leases       *lease.Keeper
	notices      notices.Table
	exchange     *notices.Exchange
	quarantine   quarantine.List
	config       *config.Keeper
	crashReports *crashreports.Exchange
	members      membership.Table
	heartbeat    *membership.Heartbeat
	loads        loads.Table
	router       *routing.Router
	limits       limits
	budgets      entry.Budgets
	admitter     admission.Admitter
	handler      *entry.Handler
	callers      *httpserver.Server
	operators    *httpserver.Server
	metrics      *metrics.Set

	mu       sync.Mutex
	shutdown shutdown.Sequence
	kill     context.CancelCauseFunc
}

var errKilled = eris.New("killed")

// Run serves until graceful shutdown is complete and then returns nil. The end
// of ctx begins graceful shutdown. Run returns an error if the entry can't
// start or was killed.
func (d *Daemon) Run(ctx context.Context) error {
	if err := d.prepare(); err != nil {
		return err
	}
	defer context.AfterFunc(ctx, d.BeginShutdown)()
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	defer cancel(nil)
	d.mu.Lock()
	d.kill = cancel
	d.mu.Unlock()
	peers, err := net.Listen("tcp", d.Settings.Listeners.Peer.String())
	if err != nil {
		return eris.Wrap(err, "listen for peers")
	}
	defer d.node.Close()
	defer peers.Close()
	go func() { _ = d.node.Serve(ctx, peers) }()
	for _, run := range []func(context.Context) error{d.exchange.Run, d.crashReports.Run, d.heartbeat.Run, d.config.Run} {
		go func() { _ = run(ctx) }()
	}
	go d.runRouter(ctx)
	go d.keepLeases(ctx)
	go d.slots.Run(ctx)
	go func() { _ = d.prober().Run(ctx) }()
	if err := d.operators.Start(); err != nil {
		return err
	}
	defer func() { _ = d.operators.Close() }()
	if err := d.callers.Start(); err != nil {
		return err
	}
	defer func() { _ = d.callers.Close() }()
	d.Log.Info("started", "zone", d.Settings.Zone, "incarnation", d.incarnation,
		"caller", d.callers.Address, "peer", peers.Addr(), "operator", d.operators.Address)
	if d.Started != nil {
		d.Started()
	}
	return d.awaitShutdown(ctx)
}

// BeginShutdown begins graceful shutdown; later calls do nothing.
func (d *Daemon) BeginShutdown() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.shutdown.Phase(time.Now(), 1) == shutdown.Serving {
		d.Log.Info("leaving")
	}
	d.shutdown.Begin(time.Now())
	go d.rebuildLookups()
	go d.slots.Leave()
}

// OperatorAddress returns the address of the operators' listener. It is valid
// once Started was called.
func (d *Daemon) OperatorAddress() netip.AddrPort { return d.operators.Address }

// Kill ends Run at once and aborts running requests.
func (d *Daemon) Kill() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.kill != nil {
		d.kill(errKilled)
	}
}

// phase returns the phase of graceful shutdown.
func (d *Daemon) phase(running int) shutdown.Phase {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.shutdown.Phase(time.Now(), running)
}

// closed reports whether new requests are rejected.
func (d *Daemon) closed() bool { return d.phase(1) >= shutdown.Closed }

// awaitShutdown waits until the entry is closed to new requests and then
// drains it.
func (d *Daemon) awaitShutdown(ctx context.Context) error {
	tick := time.NewTicker(shutdownPollInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-tick.C:
			if d.closed() {
				return d.drain(ctx)
			}
		}
	}
}

// drain closes the callers' listener and waits for running requests.
func (d *Daemon) drain(ctx context.Context) error {
	if err := d.callers.Shutdown(ctx); err != nil {
		return err
	}
	if err := d.handler.Wait(ctx); err != nil {
		return eris.Wrap(err, "wait for running requests")
	}
	d.Log.Info("stopped")
	return nil
}

// prepare builds the components without starting any of them.
func (d *Daemon) prepare() error {
	d.started = time.Now()
	d.incarnation = id.Incarnation(d.started.UnixNano())
	d.metrics = metrics.NewSet()
	d.shutdown = shutdown.Sequence{Validity: lookup.DefaultValidity, Propagation: propagationTime}
	base := d.Store
	if base == nil {
		base = &httpstore.Client{Base: "http://" + d.Settings.Platform.Store.String()}
	}
	d.store = &observed.Store{Store: base}
	d.node = &rpc.Node{Self: peer.Sender{Instance: d.Settings.Instance, Incarnation: d.incarnation}, Dial: d.dialPeer}
	d.exchange = &notices.Exchange{
		Self: d.Settings.Instance, Table: &d.notices, Peers: d.node, Others: d.others, Store: d.store,
		Rand: mathrand(d.incarnation), OnChange: d.noticesChanged, Log: d.Log,
	}
	d.exchange.Register(d.node)
	d.quarantine.Instance = d.Settings.Instance
	d.crashReports = &crashreports.Exchange{List: &d.quarantine, Peers: d.node, Others: d.others, Rand: mathrand(d.incarnation + 1)}
	d.crashReports.Register(d.node)
	d.config = &config.Keeper{Store: d.store, Caller: d.node, Peers: d.others, Log: d.Log}
	d.config.OnChange(d.apply)
	d.node.Register(config.FetchMethod, d.config.HandleFetch)
	d.prepareMembers()
	d.prepareSlots()
	d.rebuildLookups()
	return d.prepareListeners()
}

// prepareMembers builds the heartbeat exchange.
func (d *Daemon) prepareMembers() {
	d.members.Self = d.Settings.Instance
	list := d.Instances
	if list == nil {
		list = &instances.Client{Base: "http://" + d.Settings.Platform.Store.String()}
	}
	d.heartbeat = &membership.Heartbeat{
		Table: &d.members, Incarnation: d.incarnation, Peers: d.node, Entries: d.others(), Own: d.ownReport,
		Instances: list, Applied: d.observeHeartbeat, Changed: d.rebuildLookups, Rand: mathrand(d.incarnation + 2), Log: d.Log,
	}
	d.heartbeat.Register(d.node)
}

func (d *Daemon) prepareListeners() error {
	key := make([]byte, ticketKeySize)
	if _, err := rand.Read(key); err != nil {
		return eris.Wrap(err, "generate ticket key")
	}
	d.handler = &entry.Handler{
		Instance: d.Settings.Instance, Incarnation: d.incarnation, Started: d.started,
		Table: d.table, Leaving: d.closed, Admitter: d.admitter, Budget: &d.budgets,
		Backend:      &backend.Client{Dial: d.DialBackend, Entries: len(d.Settings.Deployment.Entries)},
		Lookup:       &d.lookups,
		Once:         &once.Registry{Instance: d.Settings.Instance, Incarnation: d.incarnation, Key: key},
		EntryAddress: d.callerAddress, Quarantine: &d.quarantine, CrashReporter: d.crashReports,
		Log: d.Log, Metrics: d.metrics,
	}
	limits := &d.Settings.Limits
	d.callers = &httpserver.Server{
		Address: d.Settings.Listeners.Caller, Handler: d.handler, HeaderTimeout: limits.HeaderTime.Std(),
		IdleTimeout: limits.IdleTime.Std(), MaxConnections: limits.Connections,
	}
	d.operators = &httpserver.Server{
		Address: d.Settings.Listeners.Operator,
		Handler: &operator.Handler{Source: &source{d}, Operators: d.Settings.Operators, Log: d.Log},
	}
	return nil
}

// dialPeer connects to another entry at its address in the deployment.
func (d *Daemon) dialPeer(ctx context.Context, to id.Instance) (net.Conn, error) {
	if d.DialPeer != nil {
		return d.DialPeer(ctx, to)
	}
	for _, e := range d.Settings.Deployment.Entries {
		if e.Name == to {
			var dialer net.Dialer
			return dialer.DialContext(ctx, "tcp", e.Peer.String())
		}
	}
	return nil, eris.Errorf("instance %s is not in the deployment", to)
}

// callerAddress returns another entry's address for callers.
func (d *Daemon) callerAddress(name id.Instance) (netip.AddrPort, bool) {
	for _, e := range d.Settings.Deployment.Entries {
		if e.Name == name {
			return e.Caller, true
		}
	}
	return netip.AddrPort{}, false
}

// others returns the other entries of the deployment.
func (d *Daemon) others() []id.Instance {
	var out []id.Instance
	for _, e := range d.Settings.Deployment.Entries {
		if e.Name != d.Settings.Instance {
			out = append(out, e.Name)
		}
	}
	return out
}

func mathrand(seed id.Incarnation) *mrand.Rand {
	return mrand.New(mrand.NewPCG(uint64(seed), 0))
}
