package forward_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/forward"
	"github.com/shallotpier/shallotpier/internal/heartbeat"
	"github.com/shallotpier/shallotpier/internal/roster"
	"github.com/shallotpier/shallotpier/internal/route"
	"github.com/shallotpier/shallotpier/internal/upstream"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/result"
	"github.com/shallotpier/shallotpier/pkg/service"
)

// relays is a fixed list of entries to pass requests on to.
type relays struct {
	lost, missesMost bool
	entries          []heartbeat.Node
	onEntries        func()    // called by Entries, unless it is nil
	region           id.Region // of the entries
}

func (r *relays) LinksLost(id.Service) bool { return r.lost }

func (r *relays) MissesMost(id.Service) bool { return r.lost || r.missesMost }

func (r *relays) Entries(_ time.Time, _ id.Service, allows func(id.Region) bool) []heartbeat.Node {
	if r.onEntries != nil {
		r.onEntries()
	}
	if !allows(r.region) {
		return nil
	}
	return slices.Clone(r.entries)
}

func (r *relays) Failed(_ time.Time, entry id.Instance) {
	r.entries = slices.DeleteFunc(r.entries, func(n heartbeat.Node) bool { return n.Instance == entry })
}

// passOnTo lets the entry pass requests on to others in order.
func (f *fixture) passOnTo(lost bool, addresses ...string) {
	r := &relays{lost: lost}
	for i, address := range addresses {
		r.entries = append(r.entries, heartbeat.Node{Instance: id.Instance(fmt.Sprintf("e-%d", i+2)), Relay: netip.MustParseAddrPort(address)})
	}
	f.handler.Relays = r
	f.handler.RelayClient = &upstream.Client{ConnectTimeout: time.Second, IdleTimeout: time.Second, NonIdempotentIdleTimeout: time.Second, RequestIDHeader: "X-Id"}
}

// takeRelayed starts the listener for requests that other entries pass on.
func (f *fixture) takeRelayed(t *testing.T) string {
	t.Helper()
	s := httptest.NewServer(f.handler.Relayed())
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// loseLinks replaces the addresses of the servers by one that refuses connections.
func (f *fixture) loseLinks() {
	f.roster.Replace(time.Now(), []roster.Server{{Name: "i-0", Service: svc, Address: "127.0.0.1:1", Slots: 6}})
}

// cutPair returns an entry without links to servers, and one with links that takes its
// requests.
func cutPair(t *testing.T, kind service.Kind, lost bool, script ...string) (cut, helper *fixture) {
	t.Helper()
	cut, helper = start(t, kind, "ok"), start(t, kind, script...)
	cut.route.Timeout, helper.route.Timeout = 5*time.Second, 5*time.Second // enough beside other work
	cut.loseLinks()
	cut.passOnTo(lost, helper.takeRelayed(t))
	return cut, helper
}

// Requests at an entry without links to servers must get the answer that they would get at
// another one, and run no more often.
func TestRequestsArePassedOn(t *testing.T) {
	tests := map[string]struct {
		kind   service.Kind
		script string
		status int
		code   string
		sends  int64 // to servers
	}{
		"read":                              {service.Read, "ok", 200, "", 1},
		"write":                             {service.Write, "ok", 200, "", 1},
		"upload":                            {service.Upload, "ok", 200, "", 1},
		"long answer":                       {service.Read, "long", 200, "", 1},
		"answer without a length":           {service.Write, "until closed", 200, "", 1},
		"read that a server cuts":           {service.Read, "cut", 502, "3000", 2},
		"write that a server cuts":          {service.Write, "cut", 502, "3000", 1},
		"write that servers shed":           {service.Write, "shed", 503, "2015", 2},
		"error of a server":                 {service.Write, "error", 500, "", 1},
		"unanswered write":                  {service.Write, "silent", 504, "", 1},
		"truncated long answer":             {service.Read, "long, cut", 0, "", 1},
		"write that a server may have run":  {service.Write, "busy", 502, "3000", 1},
		"read after an error of one server": {service.Read, "error", 500, "", 2},
	}
	for name, tt := range tests {
		for _, lost := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, loss known %v", name, lost), func(t *testing.T) {
				is := is.New(t)
				cut, helper := cutPair(t, tt.kind, lost, tt.script)
				if tt.script == "silent" {
					cut.route.Timeout = 400 * time.Millisecond
				}
				body := ""
				if tt.kind != service.Read {
					body = "body"
				}
				status, header, _ := cut.ask(t.Context(), "/x/a%2Fb//c?q=%20&", body)
				is.Equal(status, tt.status)
				is.Equal(helper.backend.requests.Load(), tt.sends)
				if tt.code != "" {
					is.Equal(header.Get(result.HeaderCode), tt.code)
				}
				got := helper.backend.last.Load()
				is.Equal(got.RequestURI, "/x/a%2Fb//c?q=%20&")
				is.Equal(got.Host, "a.example")
				is.Equal(got.Header.Get("X-Id"), "abc")
				is.Equal(*helper.backend.body.Load(), body)
				for name := range got.Header {
					is.True(!strings.HasPrefix(name, "Shallotpier-")) // only for entries
				}
			})
		}
	}
}

// A body that is too long to be buffered must arrive whole.
func TestLongBodiesArePassedOn(t *testing.T) {
	for _, lost := range []bool{true, false} {
		t.Run(fmt.Sprintf("loss known %v", lost), func(t *testing.T) {
			is := is.New(t)
			cut, helper := cutPair(t, service.Upload, lost, "ok")
			body := strings.Repeat("0123456789", 150_000)
			status, _, _ := cut.ask(t.Context(), "/x/8", body)
			is.Equal(status, http.StatusOK)
			is.Equal(*helper.backend.body.Load(), body)
		})
	}
}

// Two entries that each take the other for one with links must not pass a request to and fro.
func TestRequestsArePassedOnOnce(t *testing.T) {
	is := is.New(t)
	a, b := start(t, service.Read, "ok"), start(t, service.Read, "ok")
	a.loseLinks()
	b.loseLinks()
	a.passOnTo(true, b.takeRelayed(t))
	b.passOnTo(true, a.takeRelayed(t))
	status, header, _ := a.ask(t.Context(), "/x/8", "")
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(header.Get("Retry-After") != "")
}

// An entry that takes no connection must be followed by another one; one that took the
// request and gave no answer must not, as the request may have run.
func TestFailedEntries(t *testing.T) {
	tests := map[string]struct {
		takes  bool
		status int
		sends  int64
	}{
		"takes no connection": {false, http.StatusOK, 1},
		"gives no answer":     {true, http.StatusBadGateway, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			cut, helper := cutPair(t, service.Write, true, "ok")
			failed := "127.0.0.1:1"
			if tt.takes {
				l, err := net.Listen("tcp", "127.0.0.1:0")
				is.NoErr(err)
				defer l.Close()
				go func() {
					if c, err := l.Accept(); err == nil {
						_, _ = http.ReadRequest(bufio.NewReader(c))
						c.Close()
					}
				}()
				failed = l.Addr().String()
			}
			cut.passOnTo(true, failed, helper.takeRelayed(t))
			status, _, _ := cut.ask(t.Context(), "/x/8", "body")
			is.Equal(status, tt.status)
			is.Equal(helper.backend.requests.Load(), tt.sends)
		})
	}
}

// An entry that is cut off from other entries too must refuse requests at once, but for one
// that finds the link to each of them hanging, and serve those for which it reaches a server.
func TestEntriesOutOfReachDelayOneRequestEach(t *testing.T) {
	tests := map[string]struct {
		reaches bool
		status  int
	}{
		"no server reached":   {false, http.StatusServiceUnavailable},
		"some server reached": {true, http.StatusOK},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			cut, _ := cutPair(t, service.Read, true, "ok")
			cut.route.Timeout = 2 * time.Second
			if tt.reaches {
				cut.freshServers(t)
			}
			cut.passOnTo(true, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")
			cut.handler.RelayClient.ConnectTimeout = 300 * time.Millisecond
			var dials atomic.Int64
			cut.handler.RelayClient.Dial = func(ctx context.Context, _ string) (net.Conn, error) {
				dials.Add(1)
				<-ctx.Done()
				return nil, ctx.Err()
			}
			for _, want := range []int64{1, 1, 1, 0, 0} {
				before := dials.Load()
				status, _, _ := cut.ask(t.Context(), "/x/8", "")
				is.Equal(status, tt.status)
				is.Equal(dials.Load()-before, want) // each takes up to the connect timeout
			}
		})
	}
}

// While links hang and the entry doesn't know it yet, requests must still be served within
// their time.
func TestHangingLinksLeaveTimeForAnotherEntry(t *testing.T) {
	for name, kind := range map[string]service.Kind{"read": service.Read, "write": service.Write} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			cut, helper := cutPair(t, kind, false, "ok")
			cut.freshServers(t)
			cut.route.Timeout = 2 * time.Second
			cut.handler.Upstream = &upstream.Client{
				ConnectTimeout: time.Second, RequestIDHeader: "X-Id",
				Dial: func(ctx context.Context, _ string) (net.Conn, error) {
					<-ctx.Done()
					return nil, ctx.Err()
				},
			}
			status, _, _ := cut.ask(t.Context(), "/x/8", "body")
			is.Equal(status, http.StatusOK)
			is.Equal(helper.backend.requests.Load(), int64(1))
		})
	}
}

// An entry that has lost most links must pass requests on also if a server that it takes for
// reachable may get none now: a limit, or a long queue, says nothing of the others.
func TestRequestsThatLinksLeftDontTakeArePassedOn(t *testing.T) {
	tests := map[string]struct {
		missesMost bool
		queued     int // requests at the server that is left
		limited    bool
		status     int
	}{
		"limit used up, most links lost": {true, 0, true, http.StatusOK},
		"limit used up, links sound":     {false, 0, true, http.StatusServiceUnavailable},
		"server full, most links lost":   {true, 30, false, http.StatusOK},
		"server full, links sound":       {false, 30, false, http.StatusServiceUnavailable},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			cut, helper := cutPair(t, service.Write, false, "ok")
			cut.loseLinks()
			if r, ok := cut.handler.Relays.(*relays); ok {
				r.missesMost = tt.missesMost
			}
			m := cut.roster.View().Members(svc)[0]
			if tt.limited {
				m.ObserveLimit(time.Now(), 0.01, "r")
				is.True(m.Begin(time.Now()))
			}
			for range tt.queued {
				is.True(m.Begin(time.Now()))
			}
			status, _, _ := cut.ask(t.Context(), "/x/8", "body")
			is.Equal(status, tt.status)
			is.Equal(helper.backend.requests.Load() == 1, tt.status == http.StatusOK)
		})
	}
}

// An entry that finds no server itself, since it has not noticed yet that its links are cut,
// must be followed by another one.
func TestEntriesThatFindNoServerAreFollowedByOthers(t *testing.T) {
	tests := map[string]struct {
		kind   service.Kind
		length int
		first  int // status of the first request
	}{
		"read":                {service.Read, 4, http.StatusOK},
		"write":               {service.Write, 4, http.StatusOK},
		"body of 1.5 million": {service.Upload, 1_500_000, http.StatusServiceUnavailable}, // sent in part
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			cut, helper := cutPair(t, tt.kind, true, "ok")
			unaware := start(t, tt.kind, "ok")
			unaware.loseLinks()
			cut.passOnTo(true, unaware.takeRelayed(t), helper.takeRelayed(t))
			body := strings.Repeat("x", tt.length)
			status, _, _ := cut.ask(t.Context(), "/x/8", body)
			is.Equal(status, tt.first)
			if tt.first != http.StatusOK {
				is.Equal(helper.backend.requests.Load(), int64(0))
				return
			}
			is.Equal(*helper.backend.body.Load(), body)
		})
	}
}

// An entry whose shares of the servers' limits are used up must be followed by another one,
// which has shares of its own and may know more servers.
func TestEntryWithUsedUpLimitsIsFollowedByAnother(t *testing.T) {
	is := is.New(t)
	cut, limited := cutPair(t, service.Write, true, "limited")
	helper := start(t, service.Write, "ok")
	helper.route.Timeout = cut.route.Timeout
	cut.passOnTo(true, limited.takeRelayed(t), helper.takeRelayed(t))
	for limited.count(func(m *roster.Member) bool { return m.Limit(time.Now()) > 0 }) < 3 || helper.backend.requests.Load() == 0 {
		status, _, _ := cut.ask(t.Context(), "/x/1", "body")
		is.Equal(status, http.StatusOK)
		is.True(limited.backend.requests.Load() < 100)
	}
}

// An entry that finds no server for a moment, as while zones are evacuated in turn, must get
// requests as soon as it finds one again.
func TestEntryThatFoundNoServerIsTriedAgain(t *testing.T) {
	is := is.New(t)
	cut, helper := cutPair(t, service.Write, true, "ok")
	servers := helper.roster.Servers(time.Now())
	helper.roster.Replace(time.Now(), nil)
	status, _, _ := cut.ask(t.Context(), "/x/8", "body")
	is.Equal(status, http.StatusServiceUnavailable)
	helper.roster.Replace(time.Now(), servers)
	status, _, _ = cut.ask(t.Context(), "/x/8", "body")
	is.Equal(status, http.StatusOK)
}

// A read that may have run at a server before the links were lost gets at most the sends of
// its route in all, and no refusal that says that it has not run.
func TestSendsBeforeTheLossCount(t *testing.T) {
	tests := map[string]struct {
		script string
		status int
		sends  int64
	}{
		"second send served": {"ok", 200, 1},
		"second send cut":    {"cut", 502, 1},
		"second send shed":   {"shed", 502, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			cut, helper := start(t, service.Read, "links cut"), start(t, service.Read, tt.script)
			cut.passOnTo(false, helper.takeRelayed(t))
			status, _, _ := cut.ask(t.Context(), "/x/8", "")
			is.Equal(status, tt.status)
			is.Equal(cut.backend.requests.Load(), int64(1))
			is.Equal(helper.backend.requests.Load(), tt.sends)
		})
	}
}

// When a caller leaves, the server at the end of the chain must notice.
func TestLeavingCallerIsNoticedBehindAnotherEntry(t *testing.T) {
	is := is.New(t)
	cut, helper := cutPair(t, service.Read, true, "silent")
	helper.route.Timeout, cut.route.Timeout = 5*time.Second, 5*time.Second
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		for helper.backend.requests.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	began := time.Now()
	cut.ask(ctx, "/x/8", "")
	<-helper.backend.closed
	is.True(time.Since(began) < time.Second)
}

// A request that crashes servers must be counted for its caller, not for the entry that
// passes it on, and a route's split must stay as the first entry drew it.
func TestCallerAndServiceArePassedOn(t *testing.T) {
	is := is.New(t)
	cut, helper := cutPair(t, service.Write, true, "crash", "crash", "crash", "ok")
	for n := range 3 {
		cut.askFrom(t, 0, "/x/8", "body")
		helper.waitForCrashes(n + 1)
		helper.freshServers(t)
	}
	_, code := cut.askFrom(t, 0, "/x/8", "body")
	is.Equal(code, result.Quarantined.String())
	status, _ := cut.askFrom(t, 1, "/x/8", "body")
	is.Equal(status, http.StatusOK)

	const other = id.Service("other")
	second := start(t, service.Write, "ok")
	helper.roster.Put(time.Now(), roster.Server{Name: "o-1", Service: other, Address: second.backend.listeners[0].Addr().String(), Slots: 6})
	cut.route.Parts = []route.Part{{Service: other, Weight: 1}}
	helper.route.Parts = []route.Part{{Service: svc, Weight: 1000}, {Service: other, Weight: 1}}
	before := second.backend.requests.Load()
	for range 5 {
		status, _ := cut.askFrom(t, 2, "/x/9", "body")
		is.Equal(status, http.StatusOK)
	}
	is.Equal(second.backend.requests.Load()-before, int64(5))
}

// A request must not be handled by a configuration older than that of the entry to which the
// caller has sent it.
func TestOlderConfigurationTakesNoRequests(t *testing.T) {
	tests := map[string]struct {
		version id.Version
		status  int
	}{
		"older": {1, http.StatusServiceUnavailable},
		"same":  {7, http.StatusOK},
		"newer": {8, http.StatusOK},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			cut, helper := cutPair(t, service.Write, true, "ok")
			cut.setVersion(7)
			helper.setVersion(tt.version)
			status, _, _ := cut.ask(t.Context(), "/x/8", "body")
			is.Equal(status, tt.status)
		})
	}
}

// An entry whose configuration is older must be followed by another one.
func TestEntriesThatAreBehindAreFollowedByOthers(t *testing.T) {
	is := is.New(t)
	cut, helper := cutPair(t, service.Write, true, "ok")
	behind := start(t, service.Write, "ok")
	cut.setVersion(7)
	helper.setVersion(7)
	cut.passOnTo(true, behind.takeRelayed(t), helper.takeRelayed(t))
	status, _, _ := cut.ask(t.Context(), "/x/8", "body")
	is.Equal(status, http.StatusOK)
	is.Equal(behind.backend.requests.Load(), int64(0))
}

// setVersion sets the version of the configuration.
func (f *fixture) setVersion(v id.Version) {
	config := *f.handler.Config()
	config.Version = v
	f.handler.Config = func() *forward.Config { return &config }
}

// Headers that only entries send must have no effect at the callers' listener.
func TestCallersCantPassOn(t *testing.T) {
	is := is.New(t)
	f := start(t, service.Read, "error", "ok")
	r, err := f.request(t.Context(), "/x/8", "")
	is.NoErr(err)
	r.Header.Set("Shallotpier-Relay-Sends", "7")
	r.Header.Set("Shallotpier-Relay-Caller", "10.0.0.9")
	resp, err := http.DefaultClient.Do(r)
	is.NoErr(err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(string(data), "one") // retried, as no send was made before
}

// An entry that is shutting down must be followed by another one.
func TestEntryThatIsLeavingIsFollowedByAnother(t *testing.T) {
	for name, kind := range map[string]service.Kind{"read": service.Read, "write": service.Write} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			cut, leaving := cutPair(t, kind, true, "ok")
			leaving.handler.EndBy = time.Now
			helper := start(t, kind, "ok")
			helper.route.Timeout = cut.route.Timeout
			cut.passOnTo(true, leaving.takeRelayed(t), helper.takeRelayed(t))
			status, _, _ := cut.ask(t.Context(), "/x/8", "")
			is.Equal(status, http.StatusOK)
			is.Equal(leaving.backend.requests.Load(), int64(0))
			is.Equal(helper.backend.requests.Load(), int64(1))
		})
	}
}

// Guards against a proper request being turned away as malformed because it was passed on
// between entries of different builds: it is passed on to another entry.
func TestRelayOfAnotherBuildIsNoBadRequest(t *testing.T) {
	tests := map[string]func(http.Header){
		"without the number of sends": func(h http.Header) { h.Del("Shallotpier-Relay-Sends") },
		"without a version":           func(h http.Header) { h.Del("Shallotpier-Relay-Version") },
		"odd regions":                 func(h http.Header) { h.Set("Shallotpier-Relay-Regions", "%zz") },
	}
	for name, change := range tests {
		for _, kind := range []service.Kind{service.Read, service.Write} {
			t.Run(name+", "+string(kind), func(t *testing.T) {
				is := is.New(t)
				cut, helper := cutPair(t, kind, true, "ok")
				other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					change(r.Header)
					helper.handler.Relayed().ServeHTTP(w, r)
				}))
				t.Cleanup(other.Close)
				cut.passOnTo(true, other.Listener.Addr().String(), helper.takeRelayed(t))
				status, _, body := cut.ask(t.Context(), "/x/1", map[service.Kind]string{service.Write: "body"}[kind])
				is.Equal(status, http.StatusOK)
				is.Equal(body, "one")
				is.Equal(helper.backend.requests.Load(), int64(1))
				cut.passOnTo(true, other.Listener.Addr().String())
				status, header, _ := cut.ask(t.Context(), "/x/1", map[service.Kind]string{service.Write: "body"}[kind])
				is.Equal(status, http.StatusServiceUnavailable) // nobody else
				is.True(header.Get("Retry-After") != "")
			})
		}
	}
}
