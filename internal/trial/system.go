package trial

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"github.com/shallotpier/shallotpier/internal/daemon"
	"github.com/shallotpier/shallotpier/internal/operator"
	"github.com/shallotpier/shallotpier/internal/settings"
	"github.com/shallotpier/shallotpier/internal/standin/fleet"
	"github.com/shallotpier/shallotpier/internal/standin/ports"
	"github.com/shallotpier/shallotpier/internal/standin/wan"
	"github.com/shallotpier/shallotpier/internal/store/httpstore"
	"github.com/shallotpier/shallotpier/pkg/deployment"
	"github.com/shallotpier/shallotpier/pkg/id"
)

const (
	token         = "trial"
	startTimeout  = 10 * time.Second
	idleConns     = 256
	portsPerEntry = 3
	loopbackAny   = "127.0.0.1:0"
)

type (
	// system consists of the entries of a deployment and the stand-ins.
	system struct {
		fleet   *fleet.Fleet
		ports   *ports.Block
		network *wan.Network
		log     *slog.Logger
		entries []*runningEntry
		client  *http.Client
	}

	// runningEntry is an entry that runs in this process.
	runningEntry struct {
		entry    *deployment.Entry
		operator netip.AddrPort
		daemon   *daemon.Daemon
		ended    chan error // result of Run; buffered, read and put back by each reader
	}
)

// startSystem starts the stand-ins and the entries of the deployment in a folder.
// If it fails, it closes those it has started.
func startSystem(folder string, log *slog.Logger) (*system, error) {
	f, err := fleet.Load(folder)
	if err != nil {
		return nil, err
	}
	f.Ephemeral, f.Platform = true, netip.MustParseAddrPort(loopbackAny)
	s := &system{fleet: f, network: &wan.Network{Deployment: f.Deployment}, log: log}
	if err := s.start(); err != nil {
		return nil, errors.Join(err, s.close())
	}
	return s, nil
}

func (s *system) start() error {
	if err := s.assignAddresses(); err != nil {
		return err
	}
	if err := s.fleet.Start(); err != nil {
		return err
	}
	s.placeAddresses()
	s.client = &http.Client{Transport: s.transport(s.network.DialClient)}
	for _, m := range s.entries {
		if err := s.startEntry(m); err != nil {
			return eris.Wrapf(err, "start %s", m.entry.Name)
		}
	}
	return nil
}

// assignAddresses assigns free loopback ports to all entries.
func (s *system) assignAddresses() error {
	dep := s.fleet.Deployment
	block, err := ports.Reserve(portsPerEntry * len(dep.Entries))
	if err != nil {
		return err
	}
	s.ports = block
	for i := range dep.Entries {
		e := &dep.Entries[i]
		first := portsPerEntry * i
		e.Caller, e.Peer = block.Address(first), block.Address(first+1)
		s.entries = append(s.entries, &runningEntry{entry: e, operator: block.Address(first + 2)})
	}
	return nil
}

// placeAddresses registers the addresses of the store, the entries and the backend
// servers with their zones in the simulated network.
func (s *system) placeAddresses() {
	dep := s.fleet.Deployment
	for _, r := range dep.Regions {
		if r.Name == dep.StoreRegion {
			s.network.SetZone(s.fleet.Platform, r.Zones[0])
		}
	}
	for _, e := range dep.Entries {
		s.network.SetZone(e.Caller, e.Zone)
		s.network.SetZone(e.Peer, e.Zone)
	}
	for _, f := range s.fleet.Files {
		for i := range f.Servers {
			s.network.SetZone(f.Servers[i].Address, f.Servers[i].Zone)
		}
	}
}

func (s *system) startEntry(m *runningEntry) error {
	e := m.entry
	region, _ := s.fleet.Deployment.Region(e.Zone)
	from := func(ctx context.Context, to netip.AddrPort) (net.Conn, error) { return s.network.Dial(ctx, e.Zone, to) }
	started := make(chan struct{})
	m.daemon = &daemon.Daemon{
		Settings: &settings.Settings{
			Instance: e.Name, Zone: e.Zone, Region: region, Deployment: s.fleet.Deployment,
			Listeners: settings.Listeners{Caller: e.Caller, Peer: e.Peer, Operator: m.operator},
			Platform:  settings.Platform{Store: s.fleet.Platform},
			Operators: []settings.Operator{{Name: "trial", Role: settings.Writer, Hash: settings.HashToken(token)}},
		},
		Log:         s.log.With("entry", e.Name),
		Store:       &httpstore.Client{Base: "http://" + s.fleet.Platform.String(), HTTP: &http.Client{Transport: s.transport(from)}},
		DialPeer:    s.dialPeer(from),
		DialBackend: from,
		Started:     func() { close(started) },
	}
	m.ended = make(chan error, 1)
	go func() { m.ended <- m.daemon.Run(context.Background()) }()
	select {
	case <-started:
		return nil
	case err := <-m.ended:
		m.ended <- err
		return eris.Wrap(err, "entry terminated during start")
	case <-time.After(startTimeout):
		return eris.New("entry start timed out")
	}
}

func (s *system) dialPeer(from func(context.Context, netip.AddrPort) (net.Conn, error)) func(context.Context, id.Instance) (net.Conn, error) {
	return func(ctx context.Context, to id.Instance) (net.Conn, error) {
		for _, e := range s.fleet.Deployment.Entries {
			if e.Name == to {
				return from(ctx, e.Peer)
			}
		}
		return nil, eris.Errorf("unknown instance %s", to)
	}
}

// transport returns an HTTP transport that connects by the given dialer.
func (s *system) transport(dial func(context.Context, netip.AddrPort) (net.Conn, error)) *http.Transport {
	return &http.Transport{
		DisableCompression:  true,
		MaxIdleConnsPerHost: idleConns,
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			to, err := netip.ParseAddrPort(address)
			if err != nil {
				return nil, err
			}
			return dial(ctx, to)
		},
	}
}

// operatorClient returns a client for the entry's operator listener.
func (m *runningEntry) operatorClient() *operator.Client {
	return operator.NewClient(m.operator, token)
}

// close terminates the entries and closes the stand-ins.
func (s *system) close() error {
	for _, m := range s.entries {
		if m.daemon != nil {
			m.daemon.Kill()
		}
	}
	for _, m := range s.entries {
		if m.ended == nil {
			continue
		}
		// For an entry that terminated earlier, its reader put the result back.
		if err := <-m.ended; err != nil {
			s.log.Debug("entry ended", "entry", m.entry.Name, "error", err)
		}
	}
	closing := []error{s.network.Close(), s.fleet.Close()}
	if s.ports != nil {
		closing = append(closing, s.ports.Close())
	}
	return errors.Join(closing...)
}
