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
	"github.com/shallotpier/shallotpier/internal/standin/peers"
	"github.com/shallotpier/shallotpier/internal/standin/platform"
	"github.com/shallotpier/shallotpier/pkg/id"
)

var server = notices.Key{Service: "registry", Server: "registry-07"}

type fleet struct {
	network   peers.Network
	store     platform.Store
	period    time.Duration
	exchanges []*notices.Exchange
}

func start(ctx context.Context, n int, period time.Duration) *fleet {
	f := &fleet{period: period}
	for i := range n {
		f.add(ctx, i, n)
	}
	return f
}

func (f *fleet) add(ctx context.Context, i, n int) *notices.Exchange {
	self := name(i)
	node := f.network.Node(peer.Sender{Instance: self, Incarnation: 1})
	x := &notices.Exchange{
		Self: self, Board: new(notices.Board), Peers: node, Store: &f.store,
		Period: f.period, Rand: rand.New(rand.NewPCG(1, uint64(i))), Log: slog.New(slog.DiscardHandler),
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
	f.exchanges = append(f.exchanges, x)
	go func() { _ = x.Run(ctx) }()
	return x
}

func (f *fleet) agree(leaving bool) bool {
	for _, x := range f.exchanges {
		if x.Board.Leaving(server.Service, server.Server) != leaving {
			return false
		}
	}
	return true
}

func name(i int) id.Instance { return id.Instance(fmt.Sprintf("entry-%d", i)) }

// A backend server gets nothing new within 3 s of the notice, at every entry,
// with the store down all the time.
func TestNoticeReachesEveryEntryWithin3Seconds(t *testing.T) {
	tests := map[string]func(peers.Message) peers.Fate{
		"all is well": nil,
		"slow network": func(peers.Message) peers.Fate {
			return peers.Fate{Delay: 400 * time.Millisecond}
		},
		"the author's answers are lost": func(m peers.Message) peers.Fate {
			return peers.Fate{AnswerLost: m.From == "entry-0"}
		},
		"one entry hears the author no more": func(m peers.Message) peers.Fate {
			return peers.Fate{Lost: m.From == "entry-0" && m.To == "entry-3"}
		},
	}
	for name, hook := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				f := start(ctx, 7, time.Hour) // too rare to find anything by comparison
				f.store.SetFault(platform.Fault{Down: true})
				f.network.SetHook(hook)
				time.Sleep(10 * time.Second)
				begun := time.Now()
				go f.exchanges[0].Post(ctx, server, true)
				time.Sleep(time.Until(begun.Add(3 * time.Second)))
				synctest.Wait()
				is.True(f.agree(true))
			})
		})
	}
}

func TestNoticeOutlastsTheLossOfAllEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		f := start(ctx, 3, 0)
		f.store.SetFault(platform.Fault{Down: true})
		f.exchanges[0].Post(ctx, server, true)
		time.Sleep(time.Hour)
		f.store.SetFault(platform.Fault{}) // the author writes it now
		time.Sleep(10 * time.Second)
		for i := range 3 {
			f.network.Remove(name(i))
		}
		f.exchanges = nil
		f.add(ctx, 8, 1)
		time.Sleep(10 * time.Second)
		is.True(f.agree(true))
	})
}

func TestLatestNoticeCountsAfterACut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		f := start(ctx, 4, 0)
		side := func(i id.Instance) bool { return i < "entry-2" }
		f.network.SetHook(func(m peers.Message) peers.Fate { return peers.Fate{Lost: side(m.From) != side(m.To)} })
		f.exchanges[0].Post(ctx, server, true)
		time.Sleep(time.Minute)
		f.exchanges[1].Post(ctx, server, false)
		f.exchanges[3].Post(ctx, server, true)
		time.Sleep(time.Hour)
		is.True(f.exchanges[0].Board.Leaving(server.Service, server.Server) == false)
		is.True(f.exchanges[2].Board.Leaving(server.Service, server.Server))
		f.network.SetHook(nil)
		time.Sleep(time.Minute)
		is.True(f.agree(false)) // the author of the second notice had seen the first
	})
}

func TestBoardMerge(t *testing.T) {
	give := func(sequence uint64, by id.Instance, leaving bool) notices.Notice {
		return notices.Notice{Service: "registry", Server: "registry-07", Sequence: sequence, By: by, Leaving: leaving}
	}
	tests := map[string]struct {
		give []notices.Notice
		want bool
		news int
	}{
		"first":                   {give: []notices.Notice{give(1, "a", true)}, want: true, news: 1},
		"older after newer":       {give: []notices.Notice{give(2, "a", true), give(1, "a", false)}, want: true, news: 1},
		"equal: author decides":   {give: []notices.Notice{give(1, "b", true), give(1, "a", false)}, want: true, news: 1},
		"repeated":                {give: []notices.Notice{give(1, "a", true), give(1, "a", true)}, want: true, news: 1},
		"no author":               {give: []notices.Notice{give(1, "", true)}},
		"sequence 0 is malformed": {give: []notices.Notice{give(0, "a", true)}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var b notices.Board
			news := 0
			for _, n := range tt.give {
				news += len(b.Merge([]notices.Notice{n}))
			}
			is.Equal(b.Leaving("registry", "registry-07"), tt.want)
			is.Equal(news, tt.news)
			var other notices.Board
			other.Merge(tt.give) // all at once
			is.Equal(other.Leaving("registry", "registry-07"), tt.want)
		})
	}
}

func TestDigestDependsOnWhatCounts(t *testing.T) {
	is := is.New(t)
	first := notices.Notice{Service: "registry", Server: "registry-07", Leaving: true, Sequence: 3, By: "entry-1"}
	other := notices.Notice{Service: "registry", Server: "registry-08", Leaving: true, Sequence: 4, By: "entry-2"}
	var a, b notices.Board
	is.Equal(a.Digest(), uint64(0))
	a.Merge([]notices.Notice{first, other})
	b.Merge([]notices.Notice{other})
	is.True(a.Digest() != b.Digest())
	b.Merge([]notices.Notice{first})
	is.Equal(a.Digest(), b.Digest())
	for name, change := range map[string]func(*notices.Notice){
		"later":     func(n *notices.Notice) { n.Sequence = 9 },
		"author":    func(n *notices.Notice) { n.By = "entry-9" },
		"not going": func(n *notices.Notice) { n.Sequence, n.Leaving = 9, false },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var c notices.Board
			n := first
			change(&n)
			c.Merge([]notices.Notice{n, other})
			is.True(c.Digest() != a.Digest())
		})
	}
}

// Equal boards cost a digest each way; the whole boards go only where they
// differ.
func TestComparisonOfEqualBoardsIsSmall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		f := start(ctx, 2, time.Second)
		for i := range 500 {
			f.exchanges[0].Board.Set(notices.Key{Service: "registry", Server: id.Server(fmt.Sprintf("registry-%d", i))}, true, time.Now(), "entry-0")
		}
		time.Sleep(5 * time.Second)
		is.Equal(f.exchanges[0].Board.Digest(), f.exchanges[1].Board.Digest())
		is.Equal(len(f.exchanges[1].Board.All()), 500)
		calls, bytes := f.network.Sent()
		time.Sleep(time.Minute)
		moreCalls, moreBytes := f.network.Sent()
		is.True(moreCalls > calls)
		is.True(moreBytes-bytes <= 100*(moreCalls-calls))
		cancel()
		synctest.Wait()
	})
}

func TestComparisonBringsTheAskersNotices(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		f := start(ctx, 2, time.Second)
		f.network.SetHook(func(m peers.Message) peers.Fate { return peers.Fate{Lost: m.From == "entry-1"} })
		f.exchanges[0].Board.Set(server, true, time.Now(), "entry-0")
		time.Sleep(5 * time.Second)
		is.True(f.agree(true))
		cancel()
		synctest.Wait()
	})
}
