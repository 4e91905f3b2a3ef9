package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	tenant     = "yefi830"
	heldKey    = "6aw63is47qdqiqrh4jcd"
	unknownKey = "q2zr81m05xkd7vto94be"
	revokeTime = 5 * time.Second
	// strictBounds are the bounds of a deployment with tenants.
	strictBounds = "strictRevoke = true\nrevokeMs = 5000\nquotaWindowSeconds = 5\nquotaOvershoot = 0.1\nquotaAllowance = 20\n"
	keyRequests  = 10
)

// arrivals are the requests that an upstream began to run, with what they carried.
type arrivals struct {
	mu  sync.Mutex
	all map[string]http.Header
}

func (a *arrivals) get(id string) (http.Header, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	h, ok := a.all[id]
	return h, ok
}

// withTenants adds tenants to a configuration.
func withTenants(config map[string]any, tenants map[string]any) map[string]any {
	config["tenants"] = tenants
	return config
}

// playKeys takes the only key of the only tenant away, and sends requests with it later than
// the time within which it may still be accepted. With trouble, the tenant goes too.
func playKeys(p *play) (bool, error) {
	seen := &arrivals{all: map[string]http.Header{}}
	routes := map[string]route{
		"r-look": {Host: host, Prefix: "/lohu930/", Kind: "idempotent", Service: "registry", Timeout: 1200, Target: 200, Attempts: 2, Affinity: true},
		"r-pay":  {Host: host, Prefix: "/pufi791/", Kind: "non_idempotent", Service: "registry", Timeout: 1500, Target: 250, Attempts: 2, Priority: 1},
	}
	of := func(keys ...string) map[string]any {
		return map[string]any{"api_keys": append([]string{}, keys...), "priority": 0, "rate_per_s": 100, "burst": 100, "allowed_regions": []string{}}
	}
	p.store.put("config", "main", withTenants(config(7, routes, "registry"), map[string]any{tenant: of(heldKey)}))
	zones := []string{"telavi-a", "kutaisi-a", "tbilisi-a"}
	for i := range 6 {
		u := &upstream{id: fmt.Sprintf("i-%08x", 0x7f3a91c0+i), service: "registry", zone: zones[i%3], store: p.store, record: p.record}
		u.answer = func(u *upstream, c net.Conn, read *bufio.Reader, r *http.Request) bool {
			id := r.Header.Get("X-Request-Id")
			seen.mu.Lock()
			seen.all[id] = r.Header.Clone()
			seen.mu.Unlock()
			p.record.add("%s reaches %s with X-Tenant %q and Authorization %q", id, u.id, r.Header.Get("X-Tenant"), r.Header.Get("Authorization"))
			_, _ = io.Copy(io.Discard, r.Body)
			return plainAnswer(u, c, read, r)
		}
		if err := u.start(); err != nil {
			return false, err
		}
	}
	if err := p.startEntries(strictBounds, zones...); err != nil {
		return false, err
	}
	p.record.add("r7 is in force: tenant %s holds the key %s", tenant, heldKey)
	if ran, _ := p.sendWithKey(seen, "before", heldKey); ran != keyRequests {
		return false, fmt.Errorf("%d of %d requests with the key ran before it was taken away", ran, keyRequests)
	}
	if ran, _ := p.sendWithKey(seen, "before-unknown", unknownKey); ran != 0 {
		return false, fmt.Errorf("%d requests with an unknown key ran before", ran)
	}
	left := map[string]any{}
	if !p.trouble {
		left[tenant] = of()
	}
	p.store.put("config", "main", withTenants(config(9, routes, "registry"), left))
	p.record.add("r9 acknowledged: the key is taken away; tenants: %d", len(left))
	time.Sleep(revokeTime + 2*time.Second)
	ran, passedOn := p.sendWithKey(seen, "after", heldKey)
	unknown, _ := p.sendWithKey(seen, "after-unknown", unknownKey)
	p.record.add("of %d requests with the key, sent later than %v after it was taken away, %d ran, and %d passed the key on to an upstream", keyRequests, revokeTime, ran, passedOn)
	p.record.add("of %d requests with a key that no configuration ever held, %d ran", keyRequests, unknown)
	return ran > 0, nil
}

// sendWithKey sends requests with a key to all entries. It returns how many of them an upstream
// ran, and how many of these carried the key there.
func (p *play) sendWithKey(seen *arrivals, name, key string) (ran, passedOn int) {
	for i := range keyRequests {
		k := call{
			entry: p.entries[i%len(p.entries)], method: http.MethodGet, path: "/lohu930/2f", id: fmt.Sprintf("%s-%d", name, i+1), key: key, deadline: 1200 * time.Millisecond,
		}
		if i%2 == 1 {
			k.method, k.path, k.body = http.MethodPost, "/pufi791/2f", "a payment"
		}
		a := k.do()
		p.record.add("%s with the key %s sent to %s, answered: %s", k.id, key, k.entry.name, a.String())
		if h, ok := seen.get(k.id); ok {
			ran++
			if strings.Contains(h.Get("Authorization"), key) {
				passedOn++
			}
		}
	}
	return ran, passedOn
}
