package notices_test

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/notices"
	"github.com/shallotpier/shallotpier/internal/peer"
	"github.com/shallotpier/shallotpier/internal/simclock"
	"github.com/shallotpier/shallotpier/internal/standin/peers"
	"github.com/shallotpier/shallotpier/internal/standin/platform"
	"github.com/shallotpier/shallotpier/pkg/id"
)

var server = notices.Key{Service: "registry", Server: "registry-07"}

type cluster struct {
	network   peers.Network
	store     platform.Store
	period    time.Duration
	exchanges []*notices.Exchange
}

func start(ctx context.Context, n int, period time.Duration) *cluster {
	c := &cluster{period: period}
	for i := range n {
		c.add(ctx, i, n)
	}
	return c
}

func (c *cluster) add(ctx context.Context, i, n int) *notices.Exchange {
	self := name(i)
	node := c.network.Node(peer.Sender{Instance: self, Incarnation: 1})
	x := &notices.Exchange{
		Self: self, Table: new(notices.Table), Peers: node, Store: &c.store,
		Period: c.period, Rand: rand.New(rand.NewPCG(1, uint64(i))), Log: slog.New(slog.DiscardHandler),
		Others: func() []id.Instance {
			var others []id.Instance
			for j := range n {
				if j != i {
					others = append(others, name(j))
				}
			}
			return others
		},
	}
	x.Register(node)
	c.exchanges = append(c.exchanges, x)
	go func() { _ = x.Run(ctx) }()
	return x
}

func (c *cluster) agree(leaving bool) bool {
	for _, x := range c.exchanges {
		if x.Table.Leaving(server.Service, server.Server) != leaving {
			return false
		}
	}
	return true
}

func name(i int) id.Instance { return id.Instance(fmt.Sprintf("entry-%d", i)) }

// TestNoticeReachesEveryEntryWithin3Seconds checks that 3 s after the notice,
// every entry has stopped sending new requests to the server, while the store
// is down.
func TestNoticeReachesEveryEntryWithin3Seconds(t *testing.T) {
	tests := map[string]func(peers.Message) peers.Delivery{
		"no fault": nil,
		"slow network": func(peers.Message) peers.Delivery {
			return peers.Delivery{Delay: 400 * time.Millisecond}
		},
		"responses to the author are lost": func(m peers.Message) peers.Delivery {
			return peers.Delivery{AnswerLost: m.From == "entry-0"}
		},
		"author can't reach one entry": func(m peers.Message) peers.Delivery {
			return peers.Delivery{Lost: m.From == "entry-0" && m.To == "entry-3"}
		},
	}
	for name, hook := range tests {
		t.Run(name, func(t *testing.T) {
			simclock.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				c := start(ctx, 7, time.Hour) // rules out that a comparison delivers the notice
				c.store.SetFault(platform.Fault{Down: true})
				c.network.SetHook(hook)
				time.Sleep(10 * time.Second)
				started := time.Now()
				go c.exchanges[0].Post(ctx, server, true)
				time.Sleep(time.Until(started.Add(3 * time.Second)))
				synctest.Wait()
				is.True(c.agree(true))
			})
		})
	}
}

// TestNoticeSurvivesLossOfAllEntries replaces all entries after an outage of
// the store, during which the notice was made.
func TestNoticeSurvivesLossOfAllEntries(t *testing.T) {
	simclock.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		c := start(ctx, 3, 0)
		c.store.SetFault(platform.Fault{Down: true})
		c.exchanges[0].Post(ctx, server, true)
		time.Sleep(time.Hour)
		c.store.SetFault(platform.Fault{}) // the author writes the notice now
		time.Sleep(10 * time.Second)
		for i := range 3 {
			c.network.Remove(name(i))
		}
		c.exchanges = nil
		c.add(ctx, 8, 1)
		time.Sleep(10 * time.Second)
		is.True(c.agree(true))
	})
}

// TestLatestNoticeWinsAfterPartition makes contradicting notices on both sides
// of a network partition.
func TestLatestNoticeWinsAfterPartition(t *testing.T) {
	simclock.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		c := start(ctx, 4, 0)
		side := func(i id.Instance) bool { return i < "entry-2" }
		c.network.SetHook(func(m peers.Message) peers.Delivery { return peers.Delivery{Lost: side(m.From) != side(m.To)} })
		c.exchanges[0].Post(ctx, server, true)
		time.Sleep(time.Minute)
		c.exchanges[1].Post(ctx, server, false)
		c.exchanges[3].Post(ctx, server, true)
		time.Sleep(time.Hour)
		is.True(c.exchanges[0].Table.Leaving(server.Service, server.Server) == false)
		is.True(c.exchanges[2].Table.Leaving(server.Service, server.Server))
		c.network.SetHook(nil)
		time.Sleep(time.Minute)
		is.True(c.agree(false)) // the author of the second notice had received the first one
	})
}

func TestTableMerge(t *testing.T) {
	give := func(sequence uint64, by id.Instance, leaving bool) notices.Notice {
		return notices.Notice{Service: "registry", Server: "registry-07", Sequence: sequence, By: by, Leaving: leaving}
	}
	tests := map[string]struct {
		give  []notices.Notice
		want  bool
		added int
	}{
		"first":                   {give: []notices.Notice{give(1, "a", true)}, want: true, added: 1},
		"older after newer":       {give: []notices.Notice{give(2, "a", true), give(1, "a", false)}, want: true, added: 1},
		"equal: author decides":   {give: []notices.Notice{give(1, "b", true), give(1, "a", false)}, want: true, added: 1},
		"repeated":                {give: []notices.Notice{give(1, "a", true), give(1, "a", true)}, want: true, added: 1},
		"no author":               {give: []notices.Notice{give(1, "", true)}},
		"sequence 0 is malformed": {give: []notices.Notice{give(0, "a", true)}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var table notices.Table
			added := 0
			for _, n := range tt.give {
				added += len(table.Merge([]notices.Notice{n}))
			}
			is.Equal(table.Leaving("registry", "registry-07"), tt.want)
			is.Equal(added, tt.added)
			var other notices.Table
			other.Merge(tt.give) // all at once
			is.Equal(other.Leaving("registry", "registry-07"), tt.want)
		})
	}
}

func TestDigestCoversServerAuthorSequenceAndState(t *testing.T) {
	is := is.New(t)
	first := notices.Notice{Service: "registry", Server: "registry-07", Leaving: true, Sequence: 3, By: "entry-1"}
	other := notices.Notice{Service: "registry", Server: "registry-08", Leaving: true, Sequence: 4, By: "entry-2"}
	var a, b notices.Table
	is.Equal(a.Digest(), uint64(0))
	a.Merge([]notices.Notice{first, other})
	b.Merge([]notices.Notice{other})
	is.True(a.Digest() != b.Digest())
	b.Merge([]notices.Notice{first})
	is.Equal(a.Digest(), b.Digest())
	for name, change := range map[string]func(*notices.Notice){
		"later":       func(n *notices.Notice) { n.Sequence = 9 },
		"author":      func(n *notices.Notice) { n.By = "entry-9" },
		"not leaving": func(n *notices.Notice) { n.Sequence, n.Leaving = 9, false },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var c notices.Table
			n := first
			change(&n)
			c.Merge([]notices.Notice{n, other})
			is.True(c.Digest() != a.Digest())
		})
	}
}

// TestComparisonOfEqualNoticesIsSmall checks that a comparison transfers only
// the digests, and not all notices, if both entries have the same ones.
func TestComparisonOfEqualNoticesIsSmall(t *testing.T) {
	simclock.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		c := start(ctx, 2, time.Second)
		for i := range 500 {
			c.exchanges[0].Table.Set(notices.Key{Service: "registry", Server: id.Server(fmt.Sprintf("registry-%d", i))}, true, time.Now(), "entry-0")
		}
		time.Sleep(5 * time.Second)
		is.Equal(c.exchanges[0].Table.Digest(), c.exchanges[1].Table.Digest())
		is.Equal(len(c.exchanges[1].Table.All()), 500)
		calls, bytes := c.network.Sent()
		time.Sleep(time.Minute)
		moreCalls, moreBytes := c.network.Sent()
		is.True(moreCalls > calls)
		is.True(moreBytes-bytes <= 100*(moreCalls-calls))
		cancel()
		synctest.Wait()
	})
}

// TestComparisonAlsoSendsOwnNotices checks that a comparison also transfers the
// notices of the entry that started it.
func TestComparisonAlsoSendsOwnNotices(t *testing.T) {
	simclock.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		c := start(ctx, 2, time.Second)
		c.network.SetHook(func(m peers.Message) peers.Delivery { return peers.Delivery{Lost: m.From == "entry-1"} })
		c.exchanges[0].Table.Set(server, true, time.Now(), "entry-0")
		time.Sleep(5 * time.Second)
		is.True(c.agree(true))
		cancel()
		synctest.Wait()
	})
}
