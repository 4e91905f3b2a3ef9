package node_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
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

const (
	silence        = 3 * time.Second
	checkedServers = 6
	// storeWait is the wait of a watch, and storeTimeout limits a call to the store in addition.
	storeWait    = 500 * time.Millisecond
	storeTimeout = 700 * time.Millisecond
)

type (
	// checkedEntries are entries in virtual time. They and the servers s-0 to s-5 are in the
	// regions a, b and c in turn.
	checkedEntries struct {
		delay time.Duration // of datagrams
		nodes []*node.Node
		feeds []*feed.Client

		mu     sync.Mutex
		inbox  map[string]chan virtualDatagram
		cold   string           // the server that says that it is cold
		hang   bool             // the bodies of health checks don't arrive
		checks map[string][]int // of a server by entries, in order
	}

	virtualDatagram struct {
		from net.Addr
		data []byte
	}

	virtualConn struct {
		net.PacketConn
		d     *checkedEntries
		addr  net.Addr
		inbox chan virtualDatagram
		ended <-chan struct{}
	}

	healthTransport func(*http.Request) (*http.Response, error)

	// hangingBody is the body of an answer that doesn't arrive.
	hangingBody struct{ ctx context.Context }
)

func (b hangingBody) Read([]byte) (int, error) {
	<-b.ctx.Done()
	return 0, b.ctx.Err()
}

func (hangingBody) Close() error { return nil }

func (f healthTransport) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

func (c *virtualConn) WriteTo(p []byte, to net.Addr) (int, error) {
	c.d.mu.Lock()
	defer c.d.mu.Unlock()
	if inbox, data := c.d.inbox[to.String()], slices.Clone(p); inbox != nil {
		time.AfterFunc(c.d.delay, func() { inbox <- virtualDatagram{c.addr, data} })
	}
	return len(p), nil
}

func (c *virtualConn) ReadFrom(p []byte) (int, net.Addr, error) {
	select {
	case in := <-c.inbox:
		return copy(p, in.data), in.from, nil
	case <-c.ended:
		return 0, nil, net.ErrClosed
	}
}

func (*virtualConn) SetReadDeadline(time.Time) error { return nil }

func region(i int) id.Region { return id.Region("abc"[i%3 : i%3+1]) }

// start starts an entry that knows the others, and whose calls to the store fail or don't.
func (d *checkedEntries) start(ctx context.Context, t *testing.T, fail bool) {
	i, g, client := len(d.nodes), make(follow.Group), &feed.Client{Store: feed.New(store.Version{Revision: 1}), Timeout: storeTimeout}
	client.SetFault(feed.Fault{Unavailable: fail})
	for _, kind := range []follow.Kind{follow.Servers, follow.EvacuatedZones} {
		g[kind] = &follow.Follower{Feed: client, Kind: kind, Sink: noSink{}, ShortPoll: func() bool { return true }, ShortWait: storeWait, Log: slog.New(slog.DiscardHandler)}
	}
	address := func(port uint16) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), port)
	}
	conn := func(port uint16) net.PacketConn {
		c := &virtualConn{d: d, addr: net.UDPAddrFromAddrPort(address(port)), inbox: make(chan virtualDatagram, 1000), ended: ctx.Done()}
		d.mu.Lock()
		defer d.mu.Unlock()
		d.inbox[address(port).String()] = c.inbox
		return c
	}
	n := newNode(t, func(o *node.Options) {
		o.Self.Instance, o.Self.Region, o.Self.Zone = id.Instance(fmt.Sprint("entry-", i)), region(i), id.Zone(region(i))
		o.Self.Callers, o.Self.Peers, o.Self.Relay = address(1), address(2), address(3)
		o.Store, o.StoreSilence, o.HeartbeatInterval = g, silence, 500*time.Millisecond
		o.Health = func(h http.Header) (id.Server, time.Duration, error) {
			left, err := time.ParseDuration(h.Get("Left"))
			return id.Server(h.Get("Name")), left, err
		}
	})
	c := configOf(1, "/")
	c.Services = map[id.Service]roster.ServiceConfig{svc: {HealthPath: "/health"}}
	n.Configure(c)
	n.MarkServersListed()
	for s := range checkedServers {
		n.Roster.Put(time.Now(), roster.Server{Name: id.Server(fmt.Sprint("s-", s)), Service: svc, Region: region(s), Address: fmt.Sprint("s-", s), Slots: 6, StartedAt: 7})
	}
	for _, other := range d.nodes {
		n.Heartbeats.AddPeer(other.Self().Zone, other.Self().Peers)
	}
	d.nodes, d.feeds = append(d.nodes, n), append(d.feeds, client)
	g.Run(ctx)
	go n.RunColdChecks(ctx, conn(2), conn(3), healthTransport(func(r *http.Request) (*http.Response, error) {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.checks[r.URL.Host] = append(d.checks[r.URL.Host], i)
		h := http.Header{"Name": {r.URL.Host}, "Left": {"0s"}}
		if r.URL.Host == d.cold {
			h.Set("Left", "5s")
		}
		if d.hang {
			return &http.Response{Body: hangingBody{r.Context()}, ContentLength: 1, Header: h}, nil
		}
		return &http.Response{Body: http.NoBody, Header: h}, nil
	}))
}

// checksIn returns the checks of servers in a time.
func (d *checkedEntries) checksIn(span time.Duration) map[string][]int {
	var out map[string][]int
	for _, wait := range []time.Duration{0, span} {
		time.Sleep(wait)
		synctest.Wait()
		d.mu.Lock()
		out, d.checks = d.checks, make(map[string][]int)
		d.mu.Unlock()
	}
	return out
}

// runChecked runs entries, of which the first ones reach the store.
func runChecked(t *testing.T, entries, available int, delay time.Duration, test func(context.Context, *testing.T, *checkedEntries)) {
	simclock.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			time.Sleep(silence) // until all has ended
		}()
		d := &checkedEntries{delay: delay, inbox: make(map[string]chan virtualDatagram), checks: make(map[string][]int)}
		for i := range entries {
			d.start(ctx, t, i >= available)
			time.Sleep(500 * time.Millisecond / time.Duration(entries)) // heartbeats are not in step
		}
		time.Sleep(2 * silence)
		test(ctx, t, d)
	})
}

// Guards against checks by entries that hear of the store's answers through others, none once no
// entry has any, and checks by more than two entries, or distant ones without need.
func TestColdChecksBegin(t *testing.T) {
	tests := map[string]struct {
		entries, available, checkers, near int
		early                              bool // calls begin to fail with the outage
	}{
		"all reach the store": {6, 6, 2, 2, true},
		"one reaches it":      {6, 1, 2, 2, false},
		"few near entries":    {3, 1, 2, 1, false},
		"one entry":           {1, 1, 1, 0, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			runChecked(t, tt.entries, tt.available, time.Millisecond, func(_ context.Context, t *testing.T, d *checkedEntries) {
				is := is.New(t)
				is.Equal(len(d.checksIn(4*silence)), 0)
				for _, f := range d.feeds {
					f.SetFault(feed.Fault{Unavailable: true})
				}
				is.Equal(len(d.checksIn(silence-time.Second)) > 0, tt.early)
				time.Sleep(silence)
				got := d.checksIn(2 * time.Second)
				for s := range checkedServers {
					by := got["s-"+strconv.Itoa(s)]
					is.True(len(by) >= 9*tt.checkers && len(by) <= 11*tt.checkers) // five times a second each
					slices.Sort(by)
					by = slices.Compact(by)
					is.Equal(len(by), tt.checkers)
					is.True(len(slices.DeleteFunc(by, func(i int) bool { return region(i) != region(s) })) >= tt.near)
				}
				d.feeds[0].SetFault(feed.Fault{})
				time.Sleep(silence)
				is.Equal(len(d.checksIn(silence)), 0) // the store is back
			})
		})
	}
}

// Guards against checks that begin only when calls without an answer have been given up, against
// checks in ordinary operation since an answer takes longer than usual, against checks that go on
// after a late answer, and against checks without end while all answers are late.
func TestColdChecksBeginWithAnOverdueAnswer(t *testing.T) {
	tests := map[string]struct {
		fault feed.Fault
		early bool
	}{
		"no answers":   {feed.Fault{Stalled: true}, true},
		"late answers": {feed.Fault{Delay: 600 * time.Millisecond}, true},
		"slow answers": {feed.Fault{Delay: 250 * time.Millisecond}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			runChecked(t, 3, 3, time.Millisecond, func(_ context.Context, t *testing.T, d *checkedEntries) {
				is := is.New(t)
				for _, f := range d.feeds {
					f.SetFault(tt.fault)
				}
				// The time from which the answer is overdue, and the interval of the checks.
				is.Equal(len(d.checksIn(storeWait+600*time.Millisecond)) == checkedServers, tt.early)
				if !tt.fault.Stalled {
					time.Sleep(2 * silence)
					is.Equal(len(d.checksIn(4*silence)), 0) // the store is slow, but available
				}
				for _, f := range d.feeds {
					f.SetFault(feed.Fault{})
				}
				time.Sleep(2 * silence)
				is.Equal(len(d.checksIn(silence)), 0)
			})
		})
	}
}

// Guards against an entry that starts while the store is unavailable and ends the others' checks,
// against a finding that doesn't reach all entries at once, or waits for a body that hangs, and
// against a server that becomes cold again before its slow start ends and counts as warm then.
func TestColdServerIsKnownToAllEntries(t *testing.T) {
	for name, hang := range map[string]bool{"answers": false, "answers whose bodies hang": true} {
		t.Run(name, func(t *testing.T) {
			runChecked(t, 5, 0, 10*time.Millisecond, func(ctx context.Context, t *testing.T, d *checkedEntries) {
				is := is.New(t)
				d.start(ctx, t, true)
				for range 10 {
					is.Equal(len(d.checksIn(time.Second)), checkedServers) // go on
				}
				d.mu.Lock()
				d.cold, d.hang = "s-1", hang
				d.mu.Unlock()
				time.Sleep(300 * time.Millisecond) // the interval, and the way to the others
				for _, n := range d.nodes {
					is.True(n.StoreSilentFor() > silence && n.StoreSilentFor() < time.Hour) // since its start, as no answer is known
					for _, m := range n.Roster.View().Members(svc) {
						is.Equal(m.Cold(time.Now()), m.Name == "s-1")
						is.Equal(m.Ready(time.Now()), m.Name != "s-1")
					}
				}
				time.Sleep(500 * time.Millisecond)                   // targets are kept for so long
				is.Equal(len(d.checksIn(2 * time.Second)["s-1"]), 0) // known to be cold
				for range 30 {
					time.Sleep(500 * time.Millisecond)
					for _, n := range d.nodes {
						for _, m := range n.Roster.View().Members(svc) {
							is.Equal(m.Cold(time.Now()), m.Name == "s-1")
						}
					}
				}
			})
		})
	}
}
