package soak

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sync"

	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/platform/standin"
)

const (
	// organisationProbability is the probability with which the configurations of a run
	// hold organisations.
	organisationProbability = 0.4
	// keyPrefix begins all keys, so that one can be found where none may be.
	keyPrefix = "soak-key-"
	// nearRegion is the only region of the organisation near.
	nearRegion = id.Region("r-0")
	publicPath = "/public/"
)

// Kinds of access of a request.
const (
	_ access = iota // in runs without organisations
	// accessKey requests carry a key that all configurations hold.
	accessKey
	// accessNear requests carry such a key, of an organisation that is bound to nearRegion.
	accessNear
	// accessTurn requests carry a key that one configuration alone holds.
	accessTurn
	// accessNone requests carry no key that any configuration accepts.
	accessNone
	// accessPublic requests are on a public route, with a key or without.
	accessPublic
)

type (
	access int

	// identity is what a request says of its caller, and what has to come of it.
	identity struct {
		access  access
		headers [][2]string
		// tenant is the organisation that servers have to get, empty for none.
		tenant string
		// turn is the version of the only configuration that holds the key.
		turn int
	}

	// organisations assigns keys to the requests of a run.
	organisations struct {
		mu  sync.Mutex
		rng *rand.Rand
	}
)

// newOrganisations returns the organisations of the run, nil if it has none.
func (s *soak) newOrganisations() *organisations {
	rng := rand.New(rand.NewPCG(s.options.Seed, organisationStream))
	if rng.Float64() >= organisationProbability {
		return nil
	}
	return &organisations{rng: rng}
}

// tenants returns the tenants of a configuration.
func (o *organisations) tenants(version int) map[string]standin.Tenant {
	if o == nil {
		return nil
	}
	return map[string]standin.Tenant{
		"a":    {Keys: []string{keyPrefix + "a", keyPrefix + "a2", keyPrefix + "shared"}},
		"b":    {Keys: []string{keyPrefix + "b", keyPrefix + "shared"}, Priority: 2},
		"near": {Keys: []string{keyPrefix + "near"}, Regions: []id.Region{nearRegion}},
		"turn": {Keys: []string{turnKey(version)}},
		"odd":  {Keys: []string{keyPrefix + "odd"}, Rate: -1},
	}
}

func turnKey(version int) string { return fmt.Sprintf("%sturn-%d", keyPrefix, version) }

// assign gives a request an identity, and may send a read to the public route.
func (o *organisations) assign(a *attempt, version int) {
	if o == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	switch draw := o.rng.IntN(100); {
	case draw < 60 || a.crashing || a.version > 0:
		key := []string{"a", "a2", "b"}[o.rng.IntN(3)]
		a.identity = identity{access: accessKey, tenant: key[:1], headers: [][2]string{bearer(keyPrefix + key)}}
	case draw < 70:
		a.identity = identity{access: accessNear, tenant: "near", headers: [][2]string{bearer(keyPrefix + "near")}}
	case draw < 80:
		turn := max(version-o.rng.IntN(2), 1)
		a.identity = identity{access: accessTurn, tenant: "turn", turn: turn, headers: [][2]string{bearer(turnKey(turn))}}
	case draw < 90 || a.method != http.MethodGet:
		a.identity = identity{access: accessNone, headers: o.rejected()}
	default:
		a.path = publicPath + a.id
		a.identity = identity{access: accessPublic, headers: o.rejected()}
		if o.rng.IntN(2) == 0 {
			a.tenant, a.headers = "b", [][2]string{{"authorization", "bearer  " + keyPrefix + "b"}}
		}
	}
	if o.rng.IntN(3) == 0 {
		a.headers = append(a.headers, [2]string{"x-TENANT", "b"}, [2]string{"X_Tenant", "b"}, [2]string{"Connection", "X-Tenant, Authorization"})
	}
}

func bearer(key string) [2]string { return [2]string{"Authorization", "Bearer " + key} }

// rejected returns the headers of a request whose key is missing or unknown.
func (o *organisations) rejected() [][2]string {
	all := [][][2]string{
		nil, {bearer(keyPrefix + "odd")}, {bearer(keyPrefix + "shared")}, {bearer(keyPrefix + "unknown")},
		{{"Authorization", "Basic " + keyPrefix + "a"}}, {bearer(keyPrefix + "a"), bearer(keyPrefix + "b")}, {{"Authorization", keyPrefix + "a"}},
	}
	return all[o.rng.IntN(len(all))]
}

// mayBeRefused reports whether an attempt may fail although entries and servers work.
func (a *attempt) mayBeRefused() bool {
	return a.access == accessNear || a.access == accessTurn || a.access == accessNone
}

// checkOrganisations looks for requests that got in without a key or were kept out with one,
// for wrong names and regions, and for keys where none may be. It returns the number of
// requests that were answered with 401.
func (c *checker) checkOrganisations() int {
	rejected := 0
	for _, a := range c.attempts {
		c.checkIdentity(a)
		if a.status == http.StatusUnauthorized {
			rejected++
		}
	}
	for _, leak := range c.soak.ledger.Leaks() {
		c.addViolation("key: %s", leak)
	}
	for _, e := range c.soak.entries {
		data, err := os.ReadFile(filepath.Join(c.soak.options.Folder, e.name+".log"))
		if err == nil && bytes.Contains(data, []byte(keyPrefix)) {
			c.addViolation("key: the log of %s contains one", e.name)
		}
	}
	return rejected
}

func (c *checker) checkIdentity(a *attempt) {
	runs := c.runs[a.id]
	refused := a.status == http.StatusUnauthorized || a.status == http.StatusForbidden
	switch {
	case refused && len(runs) > 0:
		c.addViolation("key: %s was answered with %d but ran", a.id, a.status)
	case refused && a.access != accessTurn && a.access != accessNone:
		c.addViolation("key: %s was answered with %d by %s at %.2f s", a.id, a.status, a.entry.name, c.seconds(a.done))
	case a.access == accessNone && (len(runs) > 0 || a.status == http.StatusOK):
		c.addViolation("key: %s with %v got in at %s", a.id, a.headers, a.entry.name)
	case a.access == accessTurn:
		c.checkTurn(a)
	}
	for _, r := range runs {
		if r.Tenant != a.tenant {
			c.addViolation("organisation: %s of %q ran as %q on %s", a.id, a.tenant, r.Tenant, r.Server)
		}
		if a.access == accessNear && zoneRegion(r.Zone) != nearRegion {
			c.addViolation("region: %s ran on %s in %s", a.id, r.Server, r.Zone)
		}
	}
}

// checkTurn checks a request with a key that one configuration alone holds: entries that no
// fault disturbed have to accept it from maxConfigDelay after the publication until the next
// one, and to reject it from maxConfigDelay after that.
func (c *checker) checkTurn(a *attempt) {
	from, until := c.soak.versions[a.turn], c.soak.versions[a.turn+1]
	if !c.quiet(a.entry, a.done) || !c.quiet(c.sender(a), a.done) {
		return
	}
	switch refused := a.status == http.StatusUnauthorized; {
	case refused && a.sent.Sub(from) > maxConfigDelay && (until.IsZero() || a.done.Before(until)):
		c.addViolation("key: %s was rejected by %s at %.2f s, %v after its key was published", a.id, a.entry.name, c.seconds(a.sent), a.sent.Sub(from))
	case a.status == http.StatusOK && !until.IsZero() && a.sent.Sub(until) > maxConfigDelay:
		c.addViolation("key: %s got in at %s at %.2f s, %v after its key was removed", a.id, a.entry.name, c.seconds(a.sent), a.sent.Sub(until))
	}
}

// zoneRegion returns the region of an availability zone.
func zoneRegion(z id.Zone) id.Region {
	for i := range 2 {
		if zone(i) == z {
			return region(i)
		}
	}
	return ""
}

// routes returns the routes of a configuration.
func (s *soak) routes(version int) map[string]standin.Route {
	out := map[string]standin.Route{
		"read":    {Host: host, Prefix: "/read/", Kind: "idempotent", Service: serviceName},
		"write":   {Host: host, Prefix: "/write/", Kind: "non_idempotent", Service: serviceName},
		"version": {Host: host, Prefix: fmt.Sprintf("/version/%d/", version), Kind: "idempotent", Service: serviceName},
	}
	if s.organisations != nil {
		out["public"] = standin.Route{Host: host, Prefix: publicPath, Kind: "idempotent", Service: serviceName, Public: true}
	}
	return out
}

// addHeaders adds the headers of a request's identity.
func (a *attempt) addHeaders(h http.Header) {
	for _, field := range a.headers {
		h[field[0]] = append(h[field[0]], field[1])
	}
}
