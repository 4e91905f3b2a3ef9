package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// encodedPath is one segment, the name of a bundle that contains a slash. It begins with no
	// other prefix than "/".
	encodedPath     = "/lohu930%2F2f"
	encodedRequests = 30
	// configApply is the time within which a version has to be in force.
	configApply = 2 * time.Second
)

// playEncoded stores bundles under names that contain a slash. With trouble, a version of the
// configuration adds a route whose prefix looks like the start of such a name.
func playEncoded(p *play) (bool, error) {
	ran := &services{of: map[string]string{}}
	routes := map[string]route{
		"r-store": {Host: host, Prefix: "/", Kind: "non_idempotent", Service: "evidence-vault", Timeout: 1500, Target: 250, Attempts: 2, Priority: 1},
	}
	p.store.put("config", "main", config(7, routes, "registry", "evidence-vault"))
	zones, err := p.startServices(ran)
	if err != nil {
		return false, err
	}
	if err := p.startEntries("", zones...); err != nil {
		return false, err
	}
	if elsewhere := p.storeBundles("before", ran); elsewhere != 0 {
		return false, fmt.Errorf("%d requests were not run by the service of the only route", elsewhere)
	}
	if p.trouble {
		routes["r-look"] = route{Host: host, Prefix: "/lohu930/", Kind: "idempotent", Service: "registry", Timeout: 1200, Target: 200, Attempts: 2, Affinity: true}
		p.store.put("config", "main", config(9, routes, "registry", "evidence-vault"))
		p.record.add("r9 acknowledged: a route with the prefix /lohu930/ goes to registry")
	}
	time.Sleep(configApply + stableWindow)
	elsewhere := p.storeBundles("after", ran)
	p.record.add("%d of %d requests for %s were run by a service to which no configuration allows them to go", elsewhere, encodedRequests, encodedPath)
	return elsewhere > 0, nil
}

// storeBundles sends requests, and returns how many another service than evidence-vault ran.
func (p *play) storeBundles(name string, ran *services) int {
	elsewhere := 0
	for i := range encodedRequests {
		k := call{
			entry: p.entries[i%len(p.entries)], method: http.MethodPost, path: encodedPath, id: fmt.Sprintf("bundle-%s-%d", name, i+1), deadline: 1500 * time.Millisecond, body: "a bundle",
		}
		a := k.do()
		by := ran.get(k.id)
		p.record.add("%s sent to %s, answered: %s, run by %s", k.id, k.entry.name, a.String(), by)
		if by != "" && by != "evidence-vault" {
			elsewhere++
		}
	}
	return elsewhere
}
