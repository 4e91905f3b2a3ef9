package node_test

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/follow"
	"github.com/shallotpier/shallotpier/internal/node"
	"github.com/shallotpier/shallotpier/internal/roster"
	"github.com/shallotpier/shallotpier/internal/store"
	"github.com/shallotpier/shallotpier/pkg/id"
)

type (
	// unavailableFeed is the feed of a store that is unavailable.
	unavailableFeed struct{}

	noSink struct{}
)

func (unavailableFeed) All(context.Context) ([]store.Object, store.Version, error) {
	return nil, store.Version{}, store.ErrUnavailable
}

func (unavailableFeed) Changes(context.Context, store.Version, time.Duration) ([]store.Change, store.Version, error) {
	return nil, store.Version{}, store.ErrUnavailable
}

func (noSink) Replace(time.Time, []store.Object) {}

func (noSink) Change(time.Time, store.Object) {}

func (noSink) Remove(time.Time, string) {}

func (noSink) StoreRecovered(time.Time, time.Duration) {}

func (noSink) StoreRestored(time.Time, store.Version, store.Version) {}

// unavailableGroup follows all kinds at a store that is unavailable.
func unavailableGroup() follow.Group {
	g := make(follow.Group)
	for _, kind := range []follow.Kind{follow.Servers, follow.Configuration, follow.EvacuatedZones} {
		g[kind] = &follow.Follower{
			Feed: unavailableFeed{}, Kind: kind, Sink: noSink{}, ShortPoll: func() bool { return false }, Log: slog.New(slog.DiscardHandler),
		}
	}
	return g
}

// An entry that starts while the store is unavailable bootstraps from a peer and
// becomes ready.
func TestBootstrapFromPeerWhileStoreIsUnavailable(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 2)
	start := func(name id.Instance) *node.Node {
		g := unavailableGroup()
		n := newNode(t, func(o *node.Options) { o.Self.Instance, o.Store = name, g })
		g.Run(ctx)
		return n
	}
	first, second := start("entry-1"), start("entry-2")
	now := time.Now()
	group := first.Store()
	group[follow.Configuration].Bootstrap(store.Version{Revision: 4}, func() { first.Configure(configOf(7, "/x/")) })
	group[follow.EvacuatedZones].Bootstrap(store.Version{Revision: 5}, func() { first.Roster.SetEvacuated(now, map[id.Zone]bool{"b-1": true}) })
	servers := []roster.Server{
		{Name: "i-1", Service: svc, Address: "127.0.0.1:1", Zone: "a-1", Region: "a", Slots: 6, StartedAt: 12},
		{Name: "i-2", Service: svc, Address: "127.0.0.1:2", Zone: "b-1", Region: "b", Slots: 6},
		{Name: "i-3", Service: svc, Address: "127.0.0.1:3", Zone: "a-1", Region: "a", Slots: 6, Leaving: true},
	}
	group[follow.Servers].Bootstrap(store.Version{Revision: 6}, func() {
		first.Roster.Replace(now, servers)
		first.MarkServersListed()
	})
	first.Heartbeats.AddPeer(second.Self().Zone, second.Self().Peers)
	for _, n := range []*node.Node{first, second} {
		go func() { ended <- n.Run(ctx) }()
	}
	for end := time.Now().Add(3 * time.Second); !second.Ready() && time.Now().Before(end); {
		time.Sleep(20 * time.Millisecond)
	}
	is.True(second.Ready())
	is.Equal(second.Roster.Servers(now), servers)
	is.Equal(second.Roster.Evacuated(), []id.Zone{"b-1"})
	is.Equal(len(second.Roster.View().Members(svc)), 1) // neither evacuated nor leaving
	is.Equal(second.Self().Changes[follow.Servers], store.Version{Revision: 6})
	// A change that only the first entry receives is relayed to the second.
	group[follow.Servers].Bootstrap(store.Version{Revision: 9}, func() { first.Roster.Remove(time.Now(), "i-1") })
	for end := time.Now().Add(3 * time.Second); len(second.Roster.Servers(now)) > 2 && time.Now().Before(end); {
		time.Sleep(20 * time.Millisecond)
	}
	is.Equal(len(second.Roster.Servers(now)), 2)
	cancel()
	is.NoErr(<-ended)
	is.NoErr(<-ended)
}
