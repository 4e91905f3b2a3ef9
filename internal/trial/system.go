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
	token       = "trial"
	startTime   = 10 * time.Second
	idleConns   = 256
	entryPorts  = 3
	loopbackAny = "127.0.0.1:0"
)

type (
	// system is the entries of a deployment with their stand-ins.
	system struct {
		fleet   *fleet.Fleet
		ports   *ports.Block
		network *wan.Network
		log     *slog.Logger
		entries []*member
		client  *http.Client
	}

	// member is a running entry.
	member struct {
		entry    *deployment.Entry
		operator netip.AddrPort
		daemon   *daemon.Daemon
		ended    chan error
	}
)

// startSystem starts stand-ins and entries. It ends what it started if it
// fails.
func startSystem(folder string, log *slog.Logger) (*system, error) {
	f, err := fleet.Load(folder)
	if err != nil {
		return nil, err
	}
	f.Ephemeral, f.Platform = true, netip.MustParseAddrPort(loopbackAny)
	s := &system{fleet: f, network: &wan.Network{World: f.World}, log: log}
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
	s.place()
	s.client = &http.Client{Transport: s.transport(s.network.DialClient)}
	for _, m := range s.entries {
		if err := s.startEntry(m); err != nil {
			return eris.Wrapf(err, "start %s", m.entry.Name)
		}
	}
	return nil
}

// assignAddresses gives every entry free ports.
func (s *system) assignAddresses() error {
	world := s.fleet.World
	block, err := ports.Reserve(entryPorts * len(world.Entries))
	if err != nil {
		return err
	}
	s.ports = block
	for i := range world.Entries {
		e := &world.Entries[i]
		first := entryPorts * i
		e.Caller, e.Peer = block.Address(first), block.Address(first+1)
		s.entries = append(s.entries, &member{entry: e, operator: block.Address(first + 2)})
	}
	return nil
}

// place tells the network where everything is.
func (s *system) place() {
	world := s.fleet.World
	for _, r := range world.Regions {
		if r.Name == world.StoreRegion {
			s.network.Place(s.fleet.Platform, r.Zones[0])
		}
	}
	for _, e := range world.Entries {
		s.network.Place(e.Caller, e.Zone)
		s.network.Place(e.Peer, e.Zone)
	}
	for _, f := range s.fleet.Files {
		for i := range f.Servers {
			s.network.Place(f.Servers[i].Address, f.Servers[i].Zone)
		}
	}
}

func (s *system) startEntry(m *member) error {
	e := m.entry
	region, _ := s.fleet.World.Region(e.Zone)
	from := func(ctx context.Context, to netip.AddrPort) (net.Conn, error) { return s.network.Dial(ctx, e.Zone, to) }
	started := make(chan struct{})
	m.daemon = &daemon.Daemon{
		Settings: &settings.Settings{
			Instance: e.Name, Zone: e.Zone, Region: region, World: s.fleet.World,
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
		return eris.Wrap(err, "ended at once")
	case <-time.After(startTime):
		return eris.New("did not start in time")
	}
}

func (s *system) dialPeer(from func(context.Context, netip.AddrPort) (net.Conn, error)) func(context.Context, id.Instance) (net.Conn, error) {
	return func(ctx context.Context, to id.Instance) (net.Conn, error) {
		for _, e := range s.fleet.World.Entries {
			if e.Name == to {
				return from(ctx, e.Peer)
			}
		}
		return nil, eris.Errorf("there is no instance %s", to)
	}
}

// transport returns an HTTP transport over a dialer.
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

// operate returns the operators' client of an entry.
func (m *member) operate() *operator.Client { return operator.NewClient(m.operator, token) }

// close ends the entries and the stand-ins.
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
		// An entry that ended before has its result put back.
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
