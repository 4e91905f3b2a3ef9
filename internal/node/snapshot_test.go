package node_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/follow"
	"github.com/shallotpier/shallotpier/internal/heartbeat"
	"github.com/shallotpier/shallotpier/internal/node"
	"github.com/shallotpier/shallotpier/internal/roster"
	"github.com/shallotpier/shallotpier/internal/route"
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

// Guards against an entry that sends its whole configuration uncompressed to all entries that
// start while the store is unavailable, and against builds that don't understand each other.
func TestSnapshotsOfLargeConfigurationsArePacked(t *testing.T) {
	const routes = 4200
	large := configOf(7, "/x/")
	var all []*route.Route
	for i := range routes {
		r := *large.Routes.Match("a.example", "/x/")
		r.Name, r.Prefix = fmt.Sprintf("r-%x", rand.Uint32()), fmt.Sprintf("/%d/%x/", i, rand.Uint32())
		all = append(all, &r)
	}
	large.Routes = route.NewTable(all)
	for name, tt := range map[string]struct {
		config  *node.Config
		request string
		packed  bool
		held    bool // the configuration is in the answer
	}{
		"large":                     {large, `{"known":{"configuration":0},"packed":true}`, true, true},
		"large, of an older build":  {large, `{"known":{"configuration":0}}`, false, true},
		"small":                     {configOf(7, "/x/"), `{"known":{"configuration":0},"packed":true}`, false, true},
		"small, of an older build":  {configOf(7, "/x/"), `{"known":{"configuration":0}}`, false, true},
		"not asked for":             {large, `{"known":{},"packed":true}`, false, false},
		"large, known to the other": {large, `{"known":{"configuration":4},"packed":true}`, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			from := newNode(t, func(o *node.Options) { o.Store = unavailableGroup() })
			from.Store()[follow.Configuration].Bootstrap(store.Version{Revision: 4}, func() { from.Configure(tt.config) })
			answer, err := from.AnswerSnapshot([]byte(tt.request))
			is.NoErr(err)
			is.Equal(bytes.Contains(answer, []byte(`"packed"`)), tt.packed)
			raw, err := json.Marshal(tt.config)
			is.NoErr(err)
			t.Logf("%d bytes for %d", len(answer), len(raw))
			is.True(!tt.packed || len(answer) < len(raw)/4)
			held := tt.packed || bytes.Contains(answer, []byte(`"configuration"`))
			is.Equal(held, tt.held)
			if !held {
				return
			}
			to := newNode(t, func(o *node.Options) { o.Store = unavailableGroup() })
			is.NoErr(to.TakeSnapshot(answer))
			got, err := from.AnswerSnapshot([]byte(`{"known":{"configuration":0}}`))
			is.NoErr(err)
			want, err := to.AnswerSnapshot([]byte(`{"known":{"configuration":0}}`))
			is.NoErr(err)
			is.Equal(configurationIn(t, got), configurationIn(t, want))
		})
	}
}

func configurationIn(t *testing.T, answer []byte) string {
	t.Helper()
	var s struct{ Configuration json.RawMessage }
	if err := json.Unmarshal(answer, &s); err != nil || len(s.Configuration) == 0 {
		t.Fatalf("no configuration in the answer: %v", err)
	}
	return string(s.Configuration)
}

// Guards against one entry, perhaps with a slow link, that all others ask for a snapshot at the
// same time.
func TestSnapshotsAreSpread(t *testing.T) {
	entry := func(name id.Instance, region id.Region, link float64, ready bool, revision store.Revision) heartbeat.Node {
		return heartbeat.Node{
			Instance: name, Region: region, LinkMbps: link, Ready: ready,
			Changes: map[follow.Kind]store.Version{follow.Configuration: {Revision: revision}},
		}
	}
	for name, tt := range map[string]struct {
		others []heartbeat.Node
		want   []id.Instance
	}{
		"nobody has it":   {[]heartbeat.Node{entry("e-1", "a", 10, true, 4)}, []id.Instance{""}},
		"equal":           {[]heartbeat.Node{entry("e-1", "a", 10, true, 5), entry("e-2", "a", 10, true, 6)}, []id.Instance{"e-1", "e-2"}},
		"slow links":      {[]heartbeat.Node{entry("e-1", "a", 10, true, 5), entry("e-2", "a", 200, true, 5), entry("e-3", "a", 150, true, 5)}, []id.Instance{"e-2", "e-3"}},
		"link unknown":    {[]heartbeat.Node{entry("e-1", "a", 0, true, 5), entry("e-2", "a", 200, true, 5)}, []id.Instance{"e-1", "e-2"}},
		"slow and near":   {[]heartbeat.Node{entry("e-1", "a", 10, true, 5), entry("e-2", "b", 200, true, 5)}, []id.Instance{"e-2"}},
		"near":            {[]heartbeat.Node{entry("e-1", "b", 200, true, 5), entry("e-2", "a", 200, true, 5)}, []id.Instance{"e-2"}},
		"ready":           {[]heartbeat.Node{entry("e-1", "a", 200, false, 5), entry("e-2", "a", 10, true, 5)}, []id.Instance{"e-2"}},
		"only a slow one": {[]heartbeat.Node{entry("e-1", "b", 10, false, 5), entry("e-2", "a", 200, true, 4)}, []id.Instance{"e-1"}},
		"nobody is alive": {nil, []id.Instance{""}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			n := newNode(t)
			missing := map[follow.Kind]store.Version{follow.Configuration: {Revision: 4}}
			asked := map[id.Instance]bool{}
			for range 200 {
				asked[n.BestSource(slices.Clone(tt.others), missing)] = true
			}
			is.Equal(slices.Sorted(maps.Keys(asked)), tt.want)
		})
	}
}
