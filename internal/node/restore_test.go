package node_test

import (
	"context"
	"log/slog"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/follow"
	"github.com/shallotpier/shallotpier/internal/node"
	"github.com/shallotpier/shallotpier/internal/roster"
	"github.com/shallotpier/shallotpier/internal/simclock"
	"github.com/shallotpier/shallotpier/internal/standin/feed"
	"github.com/shallotpier/shallotpier/internal/store"
	"github.com/shallotpier/shallotpier/pkg/id"
)

// configSink configures an entry with objects whose values are versions.
type configSink struct {
	noSink
	node *node.Node
}

func (s configSink) Replace(now time.Time, all []store.Object) {
	for _, o := range all {
		s.Change(now, o)
	}
}

func (s configSink) Change(_ time.Time, o store.Object) {
	version, err := strconv.Atoi(string(o.Value))
	if err != nil {
		panic(err)
	}
	s.node.Configure(configOf(id.Version(version), "/x/"))
}

// The active configuration must not go back when the store is restored from an older
// copy, and the next one must be applied although its revision was given out before.
func TestConfigurationAfterARestore(t *testing.T) {
	s := feed.New(store.Version{Revision: 500})
	group := make(follow.Group)
	n := newNode(t, func(o *node.Options) { o.Store = group })
	simclock.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		group[follow.Configuration] = &follow.Follower{
			Feed: &feed.Client{Store: s, Timeout: time.Second}, Kind: follow.Configuration, Sink: configSink{node: n}, Timeout: time.Second,
			ShortWait: time.Second, LongWait: time.Minute, ShortPoll: func() bool { return false }, Log: slog.New(slog.DiscardHandler),
		}
		inForce := func(want id.Version) {
			t.Helper()
			time.Sleep(2 * time.Second)
			is.Helper()
			is.Equal(n.State(time.Now()).Version, want)
		}
		s.Put("main", "7")
		group.Run(ctx)
		inForce(7)
		older := s.Copy()
		s.Put("main", "9")
		s.Put("main", "10")
		inForce(10)
		s.Restore(older)
		inForce(10)
		s.Put("main", "9") // written again
		inForce(10)
		s.Put("main", "10")
		inForce(10)
		s.Put("main", "12")
		inForce(12)
		version := store.Version{}
		group[follow.Configuration].Capture(func(v store.Version) { version = v })
		is.Equal(version, store.Version{Era: 1, Revision: 504})
		cancel()
		time.Sleep(2 * time.Minute)
	})
}

// A peer's state of a later era must be taken over, and one of an earlier era refused,
// whatever their revisions.
func TestPeersOfAnEarlierEra(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	ended := make(chan error, 2)
	start := func(name id.Instance) *node.Node {
		n := newNode(t, func(o *node.Options) { o.Self.Instance, o.Store = name, unavailableGroup() })
		n.Store().Run(ctx)
		return n
	}
	first, second := start("entry-1"), start("entry-2")
	servers := func(n *node.Node, v store.Version, name id.Server) bool {
		return n.Store()[follow.Servers].Bootstrap(v, func() {
			n.Roster.Bootstrap(time.Now(), []roster.Server{{Name: name, Service: svc, Address: "127.0.0.1:1", Zone: "a-1", Region: "a", Slots: 6}})
		})
	}
	has := func(n *node.Node, name id.Server) bool {
		for _, s := range n.Roster.Servers(time.Now()) {
			if s.Name == name {
				return true
			}
		}
		return false
	}
	is.True(servers(first, store.Version{Era: 1, Revision: 900}, "i-1"))
	is.True(servers(second, store.Version{Era: 2, Revision: 850}, "i-2"))
	is.True(!servers(second, store.Version{Era: 1, Revision: 950}, "i-1"))
	first.Heartbeats.AddPeer(second.Self().Zone, second.Self().Peers)
	for _, n := range []*node.Node{first, second} {
		go func() { ended <- n.Run(ctx) }()
	}
	for end := time.Now().Add(3 * time.Second); !has(first, "i-2") && time.Now().Before(end); {
		time.Sleep(20 * time.Millisecond)
	}
	is.True(has(first, "i-2"))
	is.True(!has(second, "i-1"))
	is.Equal(first.Self().Changes[follow.Servers], store.Version{Era: 2, Revision: 850})
	is.Equal(first.Store().Era(follow.Servers), store.Era(2))
	cancel()
	is.NoErr(<-ended)
	is.NoErr(<-ended)
}

// The grace period after a restore must not be shortened by a peer that doesn't know of
// the restore yet.
func TestStoreUptimeOfPeersCountsInTheSameEra(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	ended := make(chan error, 2)
	start := func(name id.Instance, s *feed.Store) *node.Node {
		n := newNode(t, func(o *node.Options) {
			o.Self.Instance = name
			o.Store = follow.Group{follow.Servers: {
				Feed: &feed.Client{Store: s, Timeout: time.Second}, Kind: follow.Servers, Sink: noSink{}, Timeout: time.Second,
				ShortWait: 100 * time.Millisecond, LongWait: 100 * time.Millisecond, ShortPoll: func() bool { return true }, Log: slog.New(slog.DiscardHandler),
			}}
		})
		n.Store().Run(ctx)
		go func() { ended <- n.Run(ctx) }()
		return n
	}
	old, restored := feed.New(store.Version{Era: 1, Revision: 900}), feed.New(store.Version{Era: 2, Revision: 850})
	old.Put("i-1", "")
	restored.Put("i-1", "")
	first, second := start("entry-1", old), start("entry-2", restored)
	first.Heartbeats.AddPeer(second.Self().Zone, second.Self().Peers)
	available := func(n *node.Node) bool {
		alive := n.Heartbeats.Alive(time.Now())
		return len(alive) > 0 && alive[0].StoreAvailableFor > 0
	}
	within := func(holds func() bool) bool {
		for end := time.Now().Add(3 * time.Second); !holds() && time.Now().Before(end); {
			time.Sleep(20 * time.Millisecond)
		}
		return holds()
	}
	is.True(within(func() bool { return available(second) }))
	is.Equal(second.LongestPeerStoreUptime(time.Now()), time.Duration(0))
	old.Restore(old.Copy())
	is.True(within(func() bool { return second.LongestPeerStoreUptime(time.Now()) > 0 }))
	cancel()
	is.NoErr(<-ended)
	is.NoErr(<-ended)
}
