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

// crashWait is how soon after a broken answer a server is asked for a new
// connection: one that crashed refuses it.
const crashWait = 30 * time.Millisecond

// suspect finds out whether a server that broke off an answer has crashed, and
// notes that the request may be the cause.
func (c *call) suspect(m *roster.Member) {
	began := time.Now()
	origin := quarantine.Origin{Service: c.service, Send: c.id + " " + string(m.Name), Began: began}
	fingerprint := c.fingerprint()
	go func() {
		time.Sleep(crashWait)
		if c.h.Upstream.Alive(context.Background(), m.Address) {
			return
		}
		c.h.Quarantine.Sight(time.Now(), fingerprint, origin)
		c.h.Log.Warn("backend server crashed during a request", "request", c.id, "server", m.Name, "fingerprint", fingerprint)
	}()
}

// fingerprint tells the request from others: the same caller sends the same body
// to the same path.
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
