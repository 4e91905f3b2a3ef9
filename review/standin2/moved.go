package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	configApply   = 2 * time.Second
	movedRequests = 30
)

// playMoved changes the configuration after the settings files have changed. With trouble, they
// name another address of the platform's store, at which it is served from then on.
func playMoved(p *play) (bool, error) {
	ran := &services{of: map[string]string{}}
	routes := func(service string) map[string]route {
		return map[string]route{
			"r-issue": {Host: host, Prefix: "/pufi791/", Kind: "non_idempotent", Service: service, Timeout: 1500, Target: 250, Attempts: 2, Priority: 1},
		}
	}
	p.store.put("config", "main", config(7, routes("registry"), "registry", "evidence-vault"))
	zones, err := p.startServices(ran)
	if err != nil {
		return false, err
	}
	if err := p.startEntries("", zones...); err != nil {
		return false, err
	}
	if p.trouble {
		if err := p.store.move(); err != nil {
			return false, err
		}
		p.record.add("the store is served at another address")
	}
	for _, e := range p.entries {
		e.store, e.first = p.store.address, false
		if _, err := e.place(); err != nil {
			return false, err
		}
		e.signal(syscall.SIGHUP)
		p.record.add("settings of %s changed, SIGHUP sent", e.name)
	}
	time.Sleep(2 * stableWindow)
	p.store.put("config", "main", config(9, routes("evidence-vault"), "registry", "evidence-vault"))
	p.record.add("r9 acknowledged: the route moves from registry to evidence-vault")
	time.Sleep(configApply + stableWindow)
	old := 0
	for i := range movedRequests {
		k := call{
			entry: p.entries[i%len(p.entries)], method: http.MethodPost, path: "/pufi791/2f", id: fmt.Sprintf("issue-%d", i+1), deadline: 1500 * time.Millisecond, body: "a certificate",
		}
		a := k.do()
		by := ran.get(k.id)
		p.record.add("%s sent to %s, answered: %s, run by %s", k.id, k.entry.name, a.String(), by)
		if by == "registry" {
			old++
		}
	}
	p.record.add("%d of %d requests, sent later than %v after r9 was acknowledged, were run by the old service", old, movedRequests, configApply)
	return old > 0, nil
}
