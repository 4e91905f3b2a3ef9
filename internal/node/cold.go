package node

import (
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/shallotpier/shallotpier/internal/boottime"
	"github.com/shallotpier/shallotpier/internal/coldcheck"
	"github.com/shallotpier/shallotpier/internal/datagram"
	"github.com/shallotpier/shallotpier/internal/follow"
	"github.com/shallotpier/shallotpier/internal/heartbeat"
	"github.com/shallotpier/shallotpier/internal/owner"
	"github.com/shallotpier/shallotpier/internal/peer"
	"github.com/shallotpier/shallotpier/internal/roster"
	"github.com/shallotpier/shallotpier/internal/sockopt"
	"github.com/shallotpier/shallotpier/pkg/id"
)

const (
	// coldCheckInterval is the time between two checks of a server by one entry. With the
	// requests that a busy server gets in that time and the ones until the finding is known,
	// a second holds fewer than a cold server takes.
	coldCheckInterval = 200 * time.Millisecond
	// coldCheckers is the number of entries that check a server. If one is lost, the other goes
	// on until the loss is noticed.
	coldCheckers = 2
	// coldCheckTimeout bounds a check. A check that is given up waits at the end of the server's
	// queue again.
	coldCheckTimeout = 3 * time.Second
	// maxUnreached is the share of a service's servers out of reach from which an entry makes no
	// checks.
	maxUnreached = 0.5
	// maxHealthHead bounds the head of the answer to a health check in bytes.
	maxHealthHead = 64 << 10
	// maxHealthBody is the longest body of that answer that is read, in bytes.
	maxHealthBody = 4 << 10
	// healthBodyTimeout bounds the wait for that body after the head, which has all that counts.
	healthBodyTimeout = 50 * time.Millisecond
	// healthIdleTimeout is how long the connection of a check is kept for the next one. A server
	// with a long queue accepts no new connections.
	healthIdleTimeout = 2 * time.Second
	// coldRecheck is how long before the end of its slow start a server is checked again, since
	// it may have become cold anew meanwhile.
	coldRecheck = time.Second
	// failureMargin is how much longer than [Options.StoreSilence] it takes until the age of the
	// store's latest answer tells whether calls fail for all entries.
	failureMargin = time.Second
	// overdueAnswer is for how long an answer of the store may be due until calls count as
	// failing. It is longer than the retransmission of a lost segment takes.
	overdueAnswer = 300 * time.Millisecond
	// stallTime is the time without a step from which the process counts as having been paused,
	// and the time after a pause for which what it reads may be old.
	stallTime = 500 * time.Millisecond
	// coldTargetsTTL is for how long the targets of the checks are kept.
	coldTargetsTTL = 500 * time.Millisecond
)

// coldChecks finds servers that become cold while the store is unavailable to all entries.
type coldChecks struct {
	coldcheck.Checker
	client http.Client

	// The fields below are used by tick only.

	// answered is the time of the store's latest answer to this entry.
	answered time.Time
	// stepped is the time of the latest step.
	stepped boottime.Instant
	// until is the end of the checks after the store is available again.
	until   time.Time
	running bool
	// failing is the time since which calls of any entry to the store fail now and then, zero if
	// none has for [Options.StoreSilence], and failed that of the latest step at which they did.
	// ownFailing is set while this entry's do.
	failing, failed time.Time
	ownFailing      bool
	// targets are the servers that this entry checks, as of a time.
	targets     []coldcheck.Target
	targetsFrom time.Time

	// stalledAt is the time since boot, in nanoseconds, of the latest step that came late, since
	// the process was paused; 0 if none did.
	stalledAt atomic.Int64
}

// prepareColdChecks sets up the checks of servers that may have become cold.
func (n *Node) prepareColdChecks() {
	n.storeContact.Self = peer.Sender{Instance: n.options.Self.Instance, Incarnation: n.options.Self.Incarnation}
	n.storeContact.Clock = n.clock
	n.cold.client = http.Client{
		Timeout:       coldCheckTimeout,
		Transport:     &http.Transport{DialContext: dialForCheck, MaxIdleConnsPerHost: 1, IdleConnTimeout: healthIdleTimeout, MaxResponseHeaderBytes: maxHealthHead},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	n.cold.Checker = coldcheck.Checker{
		Interval: coldCheckInterval, Check: n.checkHealth, Apply: n.applyCold, Notify: n.notifyCold, MaxMessage: datagram.MaxPayload, Log: n.options.Log, Metrics: n.options.Metrics,
	}
	n.questions.Handle(datagram.Cold, func(_ netip.AddrPort, message []byte) []byte {
		n.cold.Receive(message)
		return nil
	})
}

// dialForCheck connects to a server. The connection ends soon if the path to the server is cut, so
// that the next check uses another one.
func dialForCheck(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: connectTimeout, Control: sockopt.LimitUnacked(connectTimeout)}
	return d.DialContext(ctx, network, address)
}

// checkCold checks servers while the store has been silent to all entries for longer than
// [Options.StoreSilence], and after that until their registrations are up to date again. It does so
// too from when calls of this entry or another to the store begin to fail until it is known whether
// they fail for all.
func (n *Node) checkCold(ctx context.Context, now time.Time) {
	c := &n.cold
	n.observeStore(now)
	if n.options.StoreSilence <= 0 || n.options.Health == nil {
		return
	}
	silent := n.storeSilentFor(now)
	if silent > n.options.StoreSilence {
		c.until = now.Add(n.options.MissingServerGrace)
	}
	n.observeFailures(now)
	mayFail := c.failed.Equal(now) && now.Sub(c.failing) < n.options.StoreSilence+failureMargin
	if running := mayFail || now.Before(c.until); running != c.running {
		c.running = running
		n.options.Log.Info("checks of servers that may have become cold", "running", running, "storeSilent", silent)
	}
	if !c.running || !n.checksServers() {
		c.Step(ctx, nil)
		return
	}
	if now.Sub(c.targetsFrom) >= coldTargetsTTL {
		c.targets, c.targetsFrom = n.coldTargets(now), now
	}
	c.Step(ctx, c.targets)
}

// checksServers reports whether this entry makes checks: it is not shutting down, and reaches most
// servers.
func (n *Node) checksServers() bool {
	for _, unreached := range n.unreachedServers() {
		if unreached > maxUnreached {
			return false
		}
	}
	return n.serving()
}

// storeFails reports whether the latest call to the store that tells of cold servers has failed, or
// its answer is overdue: registrations and evacuations both do. After a pause of the process an
// answer may wait to be read.
func (n *Node) storeFails(now time.Time) bool {
	servers, zones := n.options.Store[follow.Servers], n.options.Store[follow.EvacuatedZones]
	if servers == nil || zones == nil {
		return false
	}
	overdue := max(servers.Overdue(now), zones.Overdue(now)) > overdueAnswer && !n.stalled()
	return overdue || servers.Unavailable() || zones.Unavailable()
}

// stalled reports whether the process was paused recently.
func (n *Node) stalled() bool {
	at := boottime.Instant(n.cold.stalledAt.Load())
	return at > 0 && n.clock().Sub(at) < stallTime
}

// observeFailures records since when calls of any entry to the store fail, and tells the others of
// those of this one.
func (n *Node) observeFailures(now time.Time) {
	c, own := &n.cold, n.storeFails(now)
	if own && !c.ownFailing {
		n.Heartbeats.AnnounceSoon()
	}
	c.ownFailing = own
	switch {
	case own || n.storeContact.OthersFail():
		if c.failed = now; c.failing.IsZero() {
			c.failing = now
		}
	case now.Sub(c.failed) > n.options.StoreSilence:
		c.failing = time.Time{}
	}
}

// observeStore records the store's latest answer to this entry. After a pause of the process an
// answer may have been read that arrived before it; such answers are left out.
func (n *Node) observeStore(now time.Time) {
	c, s, clock := &n.cold, n.options.Store, n.clock()
	if c.stepped > 0 && clock.Sub(c.stepped) > stallTime {
		c.stalledAt.Store(int64(clock))
	}
	c.stepped = clock
	if s[follow.Servers] == nil || s[follow.EvacuatedZones] == nil || n.stalled() {
		return
	}
	age := max(s.Age(follow.Servers, now), s.Age(follow.EvacuatedZones, now))
	answered := now.Add(-age)
	if stalled := boottime.Instant(c.stalledAt.Load()); stalled > 0 && clock.Add(-age) < stalled.Add(stallTime) || !answered.After(n.started) || !answered.After(c.answered) {
		return
	}
	c.answered = answered
	n.storeContact.Observe(age)
}

// storeSilentFor returns the time since the store's latest answer to any entry, or since the
// start if there was none.
func (n *Node) storeSilentFor(now time.Time) time.Duration {
	if age, known := n.storeContact.Age(); known {
		return age
	}
	return now.Sub(n.started)
}

// coldTargets returns the servers that this entry checks. Each server is checked by a few of the
// live entries, if possible of its own region.
func (n *Node) coldTargets(now time.Time) []coldcheck.Target {
	entries := slices.DeleteFunc(n.Heartbeats.Alive(now), func(other heartbeat.Node) bool {
		return n.storeContact.Declines(peer.Sender{Instance: other.Instance, Incarnation: other.Incarnation})
	})
	seeds := make([]uint64, len(entries))
	for i := range entries {
		seeds[i] = owner.Seed(id.Server(entries[i].Instance))
	}
	self := owner.Seed(id.Server(n.options.Self.Instance))
	c, view := n.config.Load(), n.Roster.View()
	if c == nil {
		return nil
	}
	var out []coldcheck.Target
	for _, svc := range view.Services() {
		path := c.Services[svc].HealthPath
		if !strings.HasPrefix(path, "/") {
			continue
		}
		for _, m := range view.Members(svc) {
			if m.ColdLeft(now) > coldRecheck {
				continue
			}
			before := 0
			for i := range entries {
				if prefersCheck(m, entries[i].Region, seeds[i], n.options.Self.Region, self) {
					before++
				}
			}
			if before < coldCheckers {
				out = append(out, coldcheck.Target{Server: m.Name, StartedAt: m.StartedAt, Address: m.Address, Path: path})
			}
		}
	}
	return out
}

// prefersCheck reports whether an entry is preferred to this one for checks of a server.
func prefersCheck(m *roster.Member, region id.Region, seed uint64, ownRegion id.Region, own uint64) bool {
	near := func(r id.Region) int {
		if r == m.Region {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(near(region), near(ownRegion)), cmp.Compare(owner.Score(seed, m.Seed), owner.Score(own, m.Seed))) > 0
}

// checkHealth makes one health check.
func (n *Node) checkHealth(ctx context.Context, t coldcheck.Target) (time.Duration, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.Address+t.Path, nil)
	if err != nil {
		return 0, eris.Wrap(err, "create health check")
	}
	resp, err := n.cold.client.Do(r)
	if err != nil {
		return 0, eris.Wrap(err, "health check")
	}
	defer func() { _ = resp.Body.Close() }()
	if 0 <= resp.ContentLength && resp.ContentLength <= maxHealthBody {
		defer time.AfterFunc(healthBodyTimeout, cancel).Stop()
		_, _ = io.Copy(io.Discard, resp.Body) // so that the connection can be used again
	}
	name, left, err := n.options.Health(resp.Header)
	switch {
	case err != nil:
		return 0, eris.Wrap(err, "health check")
	case name != t.Server:
		return 0, eris.Errorf("health check of %s answered by %.40q", t.Server, name)
	}
	return left, nil
}

// applyCold applies what a health check has found.
func (n *Node) applyCold(now time.Time, f coldcheck.Finding) bool {
	return n.Roster.ObserveCold(now, f.Server, f.StartedAt, f.Left)
}

// notifyCold sends findings to all other entries.
func (n *Node) notifyCold(message []byte) {
	for _, other := range n.Heartbeats.Alive(time.Now()) {
		if other.Relay.IsValid() {
			// A datagram that is lost is sent again.
			_ = n.questions.Send(other.Relay, datagram.Cold, message)
		}
	}
}
