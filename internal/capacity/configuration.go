package capacity

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/netip"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/shallotpier/shallotpier/internal/config"
	"github.com/shallotpier/shallotpier/internal/peer"
	"github.com/shallotpier/shallotpier/internal/publish"
	"github.com/shallotpier/shallotpier/internal/standin/peers"
	"github.com/shallotpier/shallotpier/internal/standin/platform"
	"github.com/shallotpier/shallotpier/internal/store"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/service"
	"github.com/shallotpier/shallotpier/pkg/unit"
)

const (
	fileServers     = 20
	measuredDecodes = 30
	versionTimeout  = 20 * time.Second
	treeFanout      = 8
)

// configurationMeasures returns the measures of distributing configuration: relays
// read complete publications from the store, and the other entries fetch them from
// the relays.
func configurationMeasures() []Measure {
	services := []int{2, 4, 8, 16, 32}
	servers := []int{10, 20, 40, 80, 160}
	return []Measure{
		{
			Role: "configuration", Quantity: quantityPublication, Size: sizeServices, Sizes: services, Target: targetSites / fileServers,
			Run: func(n int) (float64, error) { return publicationBytes(n, fileServers) },
		},
		{
			Role: "configuration", Quantity: quantityDecode, Size: sizeServices, Sizes: services, Target: targetSites / fileServers,
			Run: func(n int) (float64, error) { return decodeCost(n, fileServers) },
		},
		{
			Role: "configuration", Quantity: quantityPublication, Size: "servers of one service", Sizes: servers, Target: targetSites,
			Run: func(n int) (float64, error) { return publicationBytes(1, n) },
		},
		{
			Role: "configuration", Quantity: quantityDecode, Size: "servers of one service", Sizes: servers, Target: targetSites,
			Run: func(n int) (float64, error) { return decodeCost(1, n) },
		},
		{
			Role: "configuration", Quantity: "publication in force, heap B", Size: sizeServices, Sizes: services, Target: targetSites / fileServers,
			Run: publicationHeap,
		},
		{
			Role: "relay", Quantity: "store calls at a change, over all", Size: "children", Sizes: []int{1, 2, 4, 8, 16}, Target: treeFanout,
			Run: func(n int) (float64, error) { r, err := relayCost(n); return float64(r.storeCalls), err },
		},
		{
			Role: "relay", Quantity: "calls between entries at a change", Size: "children", Sizes: []int{1, 2, 4, 8, 16}, Target: treeFanout,
			Run: func(n int) (float64, error) { r, err := relayCost(n); return float64(r.calls), err },
		},
		{
			Role: "relay", Quantity: "B between entries at a change, 4 services of 20 servers", Size: "children", Sizes: []int{1, 2, 4, 8, 16}, Target: treeFanout,
			Run: func(n int) (float64, error) { r, err := relayCost(n); return float64(r.bytes), err },
		},
	}
}

func publicationBytes(services, servers int) (float64, error) {
	data, err := json.Marshal(publication(1, services, servers))
	return float64(len(data)), err
}

func decodeCost(services, servers int) (float64, error) {
	data, err := json.Marshal(publication(1, services, servers))
	if err != nil {
		return 0, err
	}
	var failed error
	cost, err := processorMicros(measuredDecodes, func(int) {
		if _, err := publish.Decode(store.Object{Value: data}); err != nil {
			failed = err
		}
	})
	if failed != nil {
		return 0, failed
	}
	return cost, err
}

// publicationHeap returns the size of a decoded publication and of its encoded
// form. An entry keeps both.
func publicationHeap(services int) (float64, error) {
	data, err := json.Marshal(publication(1, services, fileServers))
	if err != nil {
		return 0, err
	}
	defer runtime.KeepAlive(data)
	var failed error
	size := heapBytes(func() any {
		p, err := publish.Decode(store.Object{Value: data})
		failed = err
		return p
	})
	return size + float64(len(data)), failed
}

type relayCounts struct {
	storeCalls, calls, bytes int
}

// relayCost counts the calls and bytes of one configuration change that one entry
// reads from the store and n others fetch from it after its heartbeat. Store calls
// are those of the entries: the relay's watch after the one that returned the
// change.
func relayCost(n int) (relayCounts, error) {
	s := new(platform.Store)
	var entryCalls atomic.Int64
	s.SetHook(func(c platform.Call) platform.Fault {
		if c.From != "" {
			entryCalls.Add(1)
		}
		return platform.Fault{}
	})
	network := new(peers.Network)
	if err := putPublication(s, 1); err != nil {
		return relayCounts{}, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	keepers := make([]*config.Keeper, n+1)
	for i := range keepers {
		keepers[i] = newKeeper(&platform.Client{Store: s, Name: string(entryName(i))}, network, i)
		running.Go(func() { _ = keepers[i].Run(ctx) })
	}
	if err := waitForVersion(ctx, keepers, 1); err != nil {
		return relayCounts{}, err
	}
	if err := waitReady(ctx, keepers); err != nil {
		return relayCounts{}, err
	}
	if err := waitForWatches(ctx, s, 1); err != nil {
		return relayCounts{}, err
	}
	storeBefore := entryCalls.Load()
	callsBefore, bytesBefore := network.Sent()
	if err := putPublication(s, 2); err != nil {
		return relayCounts{}, err
	}
	if err := waitForVersion(ctx, keepers[:1], 2); err != nil {
		return relayCounts{}, err
	}
	for _, k := range keepers[1:] {
		k.Observe(entryName(0), keepers[0].Current().Ref())
	}
	if err := waitForVersion(ctx, keepers, 2); err != nil {
		return relayCounts{}, err
	}
	if err := waitForWatches(ctx, s, 2); err != nil {
		return relayCounts{}, err
	}
	calls, bytes := network.Sent()
	return relayCounts{storeCalls: int(entryCalls.Load() - storeBefore), calls: calls - callsBefore, bytes: bytes - bytesBefore}, nil
}

func newKeeper(s store.Store, network *peers.Network, i int) *config.Keeper {
	node := network.Node(peer.Sender{Instance: entryName(i), Incarnation: 1})
	k := &config.Keeper{Store: s, Caller: node, Relay: func() bool { return i == 0 }, Log: slog.New(slog.DiscardHandler)}
	node.Register(config.FetchMethod, k.HandleFetch)
	return k
}

func waitForVersion(ctx context.Context, keepers []*config.Keeper, v id.Version) error {
	ctx, cancel := context.WithTimeout(ctx, versionTimeout)
	defer cancel()
	for _, k := range keepers {
		if !k.WaitFor(ctx, v) {
			return eris.Errorf("version %d not active within %s", v, versionTimeout)
		}
	}
	return nil
}

// waitReady waits until all keepers have finished the reads of their startup. A
// keeper that gets a version from a peer holds it before its own read has ended.
func waitReady(ctx context.Context, keepers []*config.Keeper) error {
	ctx, cancel := context.WithTimeout(ctx, versionTimeout)
	defer cancel()
	for _, k := range keepers {
		for !k.Ready() {
			select {
			case <-time.After(time.Millisecond):
			case <-ctx.Done():
				return eris.Errorf("a keeper was not ready within %s", versionTimeout)
			}
		}
	}
	return nil
}

// waitForWatches waits until n watches of the store have begun.
func waitForWatches(ctx context.Context, s *platform.Store, n int) error {
	ctx, cancel := context.WithTimeout(ctx, versionTimeout)
	defer cancel()
	for s.Counts()[platform.Watch] < n {
		select {
		case <-time.After(time.Millisecond):
		case <-ctx.Done():
			return eris.Errorf("fewer than %d watches within %s", n, versionTimeout)
		}
	}
	return nil
}

func putPublication(s store.Store, v id.Version) error {
	data, err := json.Marshal(publication(v, 4, fileServers))
	if err != nil {
		return err
	}
	ctx := context.Background()
	cond := store.IfAbsent()
	if old, err := s.Get(ctx, publish.CurrentKey); err == nil {
		cond = store.IfVersion(old.Version)
	}
	_, err = s.Put(ctx, publish.CurrentKey, data, cond)
	return err
}

func entryName(i int) id.Instance { return id.Instance("entry-" + strconv.Itoa(i)) }

func publication(v id.Version, services, servers int) *publish.Publication {
	p := &publish.Publication{ID: publish.ID("id-" + strconv.Itoa(int(v))), Version: v, Author: "nino", At: time.Unix(1_796_000_000, 0).UTC()}
	for i := range services {
		p.Files = append(p.Files, *serviceFile(i, servers))
	}
	return p
}

func serviceFile(number, servers int) *service.File {
	f := &service.File{
		Service: id.Service("service-" + strconv.Itoa(number)), DrainTime: unit.Duration(time.Minute),
		ShiftCap: service.ShiftCap{Rise: 20, Window: unit.Duration(10 * time.Second)},
		Retry:    service.Retry{Attempts: 3, Budget: 0.2},
		Classes: []service.Class{
			{Name: "issue", Kind: service.Once, Methods: []string{"POST"}, PathPrefix: "/certificates", Deadline: unit.Duration(5 * time.Second), BodyLimit: unit.MiB},
			{Name: "vault", Kind: service.Upload, Methods: []string{"PUT"}, PathPrefix: "/", Deadline: unit.Duration(time.Hour), BodyLimit: 2 * unit.GiB},
			{Name: "read", Kind: service.Read, Methods: []string{"GET", "HEAD"}, PathPrefix: "/", Deadline: unit.Duration(3 * time.Second)},
		},
	}
	for r := range 3 {
		f.Regions = append(f.Regions, service.Region{Name: id.Region("region-" + strconv.Itoa(r)), Weight: 1, HeadroomFloor: 0.1})
	}
	for i := range servers {
		f.Servers = append(f.Servers, service.Server{
			Name:    id.Server("server-" + strconv.Itoa(i)),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(number), byte(i >> 8), byte(i)}), 8080),
			Zone:    id.Zone("region-" + strconv.Itoa(i%3) + "-1"), Slots: 6, Connections: 400,
		})
	}
	return f
}
