// Package beliefs is what an entry on the platform believes, for operators: the
// configuration in force, how old its word of the store is, the other entries, and
// the backend servers.
//
// An entry serves its [Beliefs] as JSON beside its metrics. [Differences] names
// what several entries believe otherwise, which is where to look when a request
// fares differently at two of them.
//
// # Usage
//
//	b, err := beliefs.Fetch(ctx, http.DefaultClient, "10.1.0.10:9640")
//	for _, line := range beliefs.Differences(all) {
//		fmt.Println(line)
//	}
package beliefs

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/shallotpier/shallotpier/pkg/id"
)

// Paths at the address of an entry's metrics.
const (
	// Path serves Beliefs.
	Path = "/beliefs"
	// ExplainPath serves an Explanation of the request that its query describes:
	// host, path and object.
	ExplainPath = "/explain"
)

type (
	// Beliefs are what one entry believes at a moment.
	Beliefs struct {
		// Instance is the entry's name.
		Instance id.Instance `json:"instance"`
		// Incarnation is that of its process.
		Incarnation id.Incarnation `json:"incarnation"`
		// Zone is its availability zone.
		Zone id.Zone `json:"zone"`
		// Ready tells that it serves callers and is not about to stop.
		Ready bool `json:"ready"`
		// Version is the configuration in force, 0 if there is none.
		Version id.Version `json:"version"`
		// Running is how many requests are under way.
		Running int `json:"running"`
		// Store is what it knows of each kind of the store's objects, by name.
		Store []Kind `json:"store"`
		// Entries are the other entries that it holds to be alive, by name.
		Entries []id.Instance `json:"entries"`
		// Known is how many other entries there may be, alive or not.
		Known int `json:"known"`
		// EvacuatedZones are the zones whose servers get nothing.
		EvacuatedZones []id.Zone `json:"evacuatedZones"`
		// Quarantined is how many requests are kept away.
		Quarantined int `json:"quarantined"`
		// Servers are the backend servers, by service and name.
		Servers []Server `json:"servers"`
	}

	// Kind is what is known of one kind of the store's objects.
	Kind struct {
		// Name is the kind's name.
		Name string `json:"name"`
		// Change is the version of the newest change that is known.
		Change uint64 `json:"change"`
		// Age is how long ago the store answered, in nanoseconds.
		Age time.Duration `json:"age"`
	}

	// Server is a backend server.
	Server struct {
		// Name is its name.
		Name id.Server `json:"name"`
		// Service is its service.
		Service id.Service `json:"service"`
		// Zone is its availability zone.
		Zone id.Zone `json:"zone"`
		// State says whether it gets requests: usable, cold, outlier, out,
		// unreachable, leaving or evacuated.
		State State `json:"state"`
		// Slots is how many requests it runs at the same time.
		Slots int `json:"slots"`
		// Busy is how many it has, of all entries, as far as known.
		Busy float64 `json:"busy"`
		// Own is how many of them are this entry's.
		Own int `json:"own"`
	}

	// State says whether a backend server gets requests.
	State string

	// Explanation says where a request would go.
	Explanation struct {
		// Route is the route's name, empty if none matches.
		Route string `json:"route"`
		// Service is the service that was drawn.
		Service id.Service `json:"service,omitempty"`
		// Reason says why the first server would get it, or none.
		Reason string `json:"reason"`
		// Server is the server that would get it, empty if none.
		Server id.Server `json:"server,omitempty"`
		// Ranking holds the servers in the object's order.
		Ranking []Server `json:"ranking"`
	}
)

// States of a server.
const (
	// Usable servers get requests.
	Usable State = "usable"
	// Cold servers get a few.
	Cold State = "cold"
	// Outlier servers fail or lag in comparison, and come last.
	Outlier State = "outlier"
	// Out servers failed lately, and wait for a trial.
	Out State = "out"
	// Unreachable servers take no connections, or stand in a zone whose servers
	// don't.
	Unreachable State = "unreachable"
	// Leaving servers get nothing new.
	Leaving State = "leaving"
	// Evacuated servers stand in a zone that gets nothing.
	Evacuated State = "evacuated"
)

// ageMargin is how much older than another's an entry's word of the store may be
// without being a difference: a watch of an entry that does not scout waits for
// 12 s.
const ageMargin = 13 * time.Second

// Fetch asks an entry, at the address of its metrics.
func Fetch(ctx context.Context, client *http.Client, address string) (*Beliefs, error) {
	var b Beliefs
	return &b, get(ctx, client, "http://"+address+Path, &b)
}

// Explain asks an entry where a request would go.
func Explain(ctx context.Context, client *http.Client, address, host, path, object string) (*Explanation, error) {
	q := url.Values{"host": {host}, "path": {path}, "object": {object}}
	var e Explanation
	return &e, get(ctx, client, "http://"+address+ExplainPath+"?"+q.Encode(), &e)
}

func get(ctx context.Context, client *http.Client, target string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return eris.Wrap(err, "make a request")
	}
	resp, err := client.Do(req)
	if err != nil {
		return eris.Wrap(err, "ask an entry")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("%s answered with status %d", target, resp.StatusCode)
	}
	return eris.Wrapf(json.NewDecoder(resp.Body).Decode(into), "decode the answer of %s", target)
}

// Differences names what the entries believe otherwise than the first of them, one
// line each.
func Differences(all []*Beliefs) []string {
	var out []string
	for _, b := range all {
		first := all[0]
		say := func(format string, args ...any) {
			out = append(out, fmt.Sprintf("%s and %s: ", first.Instance, b.Instance)+fmt.Sprintf(format, args...))
		}
		if b.Version != first.Version {
			say("configuration %d and %d", first.Version, b.Version)
		}
		if !slices.Equal(b.EvacuatedZones, first.EvacuatedZones) {
			say("evacuated zones %v and %v", first.EvacuatedZones, b.EvacuatedZones)
		}
		if b.Known != first.Known {
			say("%d and %d other entries known", first.Known, b.Known)
		}
		for _, k := range b.Store {
			if i := slices.IndexFunc(first.Store, func(f Kind) bool { return f.Name == k.Name }); i >= 0 {
				if f := first.Store[i]; f.Change != k.Change {
					say("%s up to change %d and %d", k.Name, f.Change, k.Change)
				} else if (f.Age - k.Age).Abs() > ageMargin {
					say("%s confirmed %v and %v ago", k.Name, f.Age.Round(time.Millisecond), k.Age.Round(time.Millisecond))
				}
			}
		}
		for _, s := range b.Servers {
			i := slices.IndexFunc(first.Servers, func(f Server) bool { return f.Name == s.Name })
			switch {
			case i < 0:
				say("server %s is not known and %s", s.Name, s.State)
			case first.Servers[i].State != s.State:
				say("server %s is %s and %s", s.Name, first.Servers[i].State, s.State)
			}
		}
		for _, f := range first.Servers {
			if !slices.ContainsFunc(b.Servers, func(s Server) bool { return s.Name == f.Name }) {
				say("server %s is %s and not known", f.Name, f.State)
			}
		}
	}
	return out
}
