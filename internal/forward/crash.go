package forward

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"math/rand/v2"
	"net"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shallotpier/shallotpier/internal/crashcheck"
	"github.com/shallotpier/shallotpier/internal/quarantine"
	"github.com/shallotpier/shallotpier/internal/roster"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/unit"
)

const (
	// crashCheckDelay is the time between a truncated answer and the connection check
	// of its server: a server that has crashed refuses the connection.
	crashCheckDelay = 30 * time.Millisecond
	// maxCompared is the maximum number of other servers that are checked if the
	// connection fails. One may have ended unnoticed.
	maxCompared = 3
)

// suspect is a request that may be the cause of a server's end.
type suspect struct {
	request     string
	own, shared quarantine.Fingerprint
	origin      quarantine.Origin
	until       time.Time // when the server stops work on it at the latest
}

// quarantined reports whether the request must not be sent because equal ones have
// crashed servers.
func (c *call) quarantined() bool {
	list := c.h.Quarantine
	if !list.Active() {
		return false
	}
	now, own, shared := time.Now(), c.fingerprint(), c.sharedFingerprint()
	c.suspected, c.crashes, c.sharedCrashes = true, list.Crashes(now, own), list.Crashes(now, shared)
	v := list.Check(now, own)
	if !v.Refused {
		v = list.Check(now, shared)
	}
	c.retryDelay = v.RetryAfter
	return v.Refused
}

// quarantinedMeanwhile reports whether the request must not be sent again. It waits for
// the check of the server that broke off, if its crash may be the one that is too many.
func (c *call) quarantinedMeanwhile() bool {
	if c.crashChecked != nil && c.crashedBefore() {
		select {
		case <-c.crashChecked:
		case <-c.ctx.Done():
		}
	}
	return c.quarantined()
}

// crashedBefore reports whether there is a crash report of an equal request.
func (c *call) crashedBefore() bool {
	list, now := c.h.Quarantine, time.Now()
	return list.Active() && (list.Crashes(now, c.fingerprint()) > 0 || list.Crashes(now, c.sharedFingerprint()) > 0)
}

// detectCrash checks in the background whether a server that truncated an answer
// has crashed, and if so records the request as a possible cause.
func (c *call) detectCrash(m *roster.Member) {
	s := c.suspect(m)
	s.origin.Ended = time.Now()
	checked := make(chan struct{})
	c.crashChecked = checked
	go func() {
		defer close(checked)
		time.Sleep(crashCheckDelay)
		verdict := c.h.CrashChecks.Check(context.Background(), checkTarget(m), c.h.comparedWith(m))
		if !ended(verdict) {
			c.h.Log.Info("backend server broke off, no crash recorded", "request", s.request, "server", m.Name, "fingerprint", s.own, "verdict", verdict, "after", time.Since(s.origin.Ended))
			return
		}
		c.h.Dispatcher.Roster.RecordEnd(time.Now(), m)
		c.h.recordCrash(s, verdict)
	}()
}

// ended reports whether a verdict says that a server has ended.
func ended(v crashcheck.Verdict) bool { return v == crashcheck.Ended || v == crashcheck.Silent }

// watchFailed checks whether a server ends right behind an error with which it has answered the
// request: it may have failed because it was about to crash.
func (c *call) watchFailed(m *roster.Member) {
	s := c.suspect(m)
	s.until = time.Now()
	c.h.watch(m, s)
}

// suspect returns the request as a possible cause of the server's end.
func (c *call) suspect(m *roster.Member) *suspect {
	return &suspect{
		request: c.id, own: c.fingerprint(), shared: c.sharedFingerprint(), until: c.deadline,
		origin: quarantine.Origin{Service: c.service, Send: c.id + " " + string(m.Name), Server: m.Name, Incarnation: id.Incarnation(m.StartedAt), Began: c.sentAt},
	}
}

// recordCrash records that a request's server has ended, with the verdict on it. Servers that
// fall silent while they run the request may do so together, which the times of the sends tell.
func (h *Handler) recordCrash(s *suspect, verdict crashcheck.Verdict) {
	if verdict != crashcheck.Silent {
		s.origin.Began = time.Time{}
	}
	list, now, shared := h.Quarantine, time.Now(), s.origin
	shared.Of = s.own
	list.RecordCrash(now, s.own, s.origin)
	list.RecordCrash(now, s.shared, shared)
	h.Metrics.GetOrCreateCounter(`shallotpier_crash_reports_total{from="own"}`).Inc()
	h.Log.Warn("backend server crashed during a request", "request", s.request, "server", s.origin.Server, "verdict", verdict, "fingerprint", s.own,
		"crashes", list.Crashes(now, s.own), "quarantined", list.Quarantined(now, s.own),
		"shared", s.shared, "sharedCrashes", list.Crashes(now, s.shared), "sharedQuarantined", list.Quarantined(now, s.shared))
}

// comparedWith returns other servers that tell whether the path to a server works: some of
// its availability zone, of any service, or of others if that has none. Those that are thought
// to be reachable are preferred. If none is, the path may be cut. Those that have ended tell
// nothing.
func (h *Handler) comparedWith(m *roster.Member) []crashcheck.Target {
	var near, far []*roster.Member
	view := h.Dispatcher.Roster.View()
	for _, svc := range view.Services() {
		for _, other := range view.Members(svc) {
			switch {
			case other.Name == m.Name:
			case other.Zone == m.Zone:
				near = append(near, other)
			default:
				far = append(far, other)
			}
		}
	}
	if len(near) == 0 {
		near = far
	}
	var reachable, missed []crashcheck.Target
	for _, i := range rand.Perm(len(near)) {
		if len(reachable) == maxCompared {
			break
		}
		switch other := near[i]; {
		case other.Ended():
		case other.Reachable():
			reachable = append(reachable, checkTarget(other))
		default:
			missed = append(missed, checkTarget(other))
		}
	}
	if len(reachable) > 0 {
		return reachable
	}
	return missed[:min(len(missed), maxCompared)]
}

func checkTarget(m *roster.Member) crashcheck.Target {
	return crashcheck.Target{Name: m.Name, Address: m.Address}
}

// clearCrashes clears the crash reports of a request that a server has completed.
func (c *call) clearCrashes() {
	if !c.h.Quarantine.Active() {
		return
	}
	for _, fingerprint := range []quarantine.Fingerprint{c.fingerprint(), c.sharedFingerprint()} {
		now := time.Now()
		crashes := c.h.Quarantine.Crashes(now, fingerprint)
		if _, cleared := c.h.Quarantine.Clear(now, fingerprint); cleared {
			c.h.Log.Info("crash reports cleared by an answer", "request", c.id, "server", c.server, "status", c.status, "fingerprint", fingerprint, "crashes", crashes)
		}
	}
}

// callerAddress returns the caller's IP address.
func (c *call) callerAddress() string {
	if c.origin != nil {
		return c.origin.caller
	}
	caller, _, err := net.SplitHostPort(c.r.RemoteAddr)
	if err != nil {
		return c.r.RemoteAddr
	}
	return caller
}

// targetKey returns a hash of the host and the request target, which log lines have in
// place of the target, as that may name persons.
func (c *call) targetKey() uint64 { return xxhash.Sum64String(c.r.Host + c.r.RequestURI) }

// fingerprint identifies requests that are equal in method, host, path, caller and body.
// What may differ between repeats is left out: the route's service, the object's cookie
// and the framing of the body. Only the start of a body that isn't buffered whole counts.
func (c *call) fingerprint() quarantine.Fingerprint {
	c.identify()
	return c.fingerprints.own
}

// sharedFingerprint is like fingerprint, but is the same for all callers. The address that
// stands for a caller is that of one connection: a caller may have several.
func (c *call) sharedFingerprint() quarantine.Fingerprint {
	c.identify()
	return c.fingerprints.shared
}

// identify computes the fingerprints once.
func (c *call) identify() {
	if c.fingerprints != nil {
		return
	}
	sum := sha256.Sum256(c.body)
	t := quarantine.Traits{
		Method: c.r.Method, Path: c.r.Host + c.r.RequestURI, Length: unit.Bytes(len(c.body)), Digest: hex.EncodeToString(sum[:]),
	}
	shared := t.Fingerprint()
	t.Key = c.callerAddress()
	c.fingerprints = &fingerprints{own: t.Fingerprint(), shared: shared}
}
