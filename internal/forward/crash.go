package forward

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net"
	"time"

	"github.com/shallotpier/shallotpier/internal/quarantine"
	"github.com/shallotpier/shallotpier/internal/roster"
	"github.com/shallotpier/shallotpier/pkg/unit"
)

// crashCheckDelay is the time between a truncated answer and the connection check
// of its server: a server that has crashed refuses the connection.
const crashCheckDelay = 30 * time.Millisecond

// detectCrash checks in the background whether a server that truncated an answer
// has crashed, and if so records the request as a possible cause.
func (c *call) detectCrash(m *roster.Member) {
	start := time.Now()
	origin := quarantine.Origin{Service: c.service, Send: c.id + " " + string(m.Name), Began: start}
	fingerprint := c.fingerprint()
	go func() {
		time.Sleep(crashCheckDelay)
		if c.h.Upstream.CanConnect(context.Background(), m.Address) {
			return
		}
		c.h.Quarantine.RecordCrash(time.Now(), fingerprint, origin)
		c.h.Log.Warn("backend server crashed during a request", "request", c.id, "server", m.Name, "fingerprint", fingerprint)
	}()
}

// fingerprint identifies requests that are equal in service, method, host, path,
// caller, object and body.
func (c *call) fingerprint() quarantine.Fingerprint {
	caller, _, err := net.SplitHostPort(c.r.RemoteAddr)
	if err != nil {
		caller = c.r.RemoteAddr
	}
	object := ""
	if cookie, err := c.r.Cookie(c.h.Headers.Object); err == nil {
		object = cookie.Value
	}
	sum := sha256.Sum256(c.body)
	t := quarantine.Traits{
		Service: c.service, Method: c.r.Method, Path: c.r.Host + c.r.RequestURI, Key: caller + " " + object,
		Length: unit.Bytes(c.r.ContentLength), Digest: hex.EncodeToString(sum[:]),
	}
	return t.Fingerprint()
}
