// Package entryview describes the local state of an entry on the platform for
// operators: the active configuration, the staleness of its store data, the other
// entries, and the backend servers.
//
// An entry serves its [View] as JSON at the address of its metrics.
// [Differences] lists where the states of several entries differ, which helps to
// find out why they treat the same request differently.
//
// # Usage
//
//	v, err := entryview.Fetch(ctx, http.DefaultClient, "10.1.0.10:9640")
//	for _, line := range entryview.Differences(all) {
//		fmt.Println(line)
//	}
package entryview

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/shallotpier/shallotpier/internal/organisation"
	"github.com/shallotpier/shallotpier/internal/store"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/service"
	"github.com/shallotpier/shallotpier/pkg/unit"
)

// URL paths at the address of an entry's metrics.
const (
	// Path serves a View.
	Path = "/beliefs"
	// ExplainPath serves an Explanation of the request described by the query
	// parameters of a Query.
	ExplainPath = "/explain"
)

type (
	// View is a snapshot of an entry's local state.
	View struct {
		// Instance is the entry's name.
		Instance id.Instance `json:"instance"`
		// Incarnation identifies its process.
		Incarnation id.Incarnation `json:"incarnation"`
		// Zone is its availability zone.
		Zone id.Zone `json:"zone"`
		// Ready reports that it serves callers and is not shutting down.
		Ready bool `json:"ready"`
		// Version is that of the active configuration, 0 if there is none.
		Version id.Version `json:"version"`
		// InForce is for how long that has been the active one, in nanoseconds in JSON.
		InForce time.Duration `json:"inForce,omitempty"`
		// Proof is the latest proof that it is the newest one, nil if there is none or if
		// the entry needs none.
		Proof *Proof `json:"proof,omitempty"`
		// Running is the number of requests in progress.
		Running int `json:"running"`
		// Store is the state of each kind of store objects, sorted by name.
		Store []StoreState `json:"store"`
		// Entries are the other entries that it regards as alive, sorted by name.
		Entries []id.Instance `json:"entries"`
		// Known is the number of other known entries, alive or not.
		Known int `json:"known"`
		// EvacuatedZones are the zones whose servers receive no requests.
		EvacuatedZones []id.Zone `json:"evacuatedZones"`
		// Quarantined is the number of requests in quarantine, which are not sent
		// to servers.
		Quarantined int `json:"quarantined"`
		// Organisations is the number of organisations in the active configuration.
		Organisations int `json:"organisations,omitempty"`
		// LeftOut tells which organisations and keys of it are left out, the first ones if
		// there are many.
		LeftOut []organisation.Problem `json:"leftOut,omitempty"`
		// Granting reports whether the entry grants tokens of the limits that it is
		// accountable for.
		Granting bool `json:"granting,omitempty"`
		// Quotas are the organisations whose limit has been reached at this entry, followed
		// by those that it is accountable for, up to a maximum.
		Quotas []Quota `json:"quotas,omitempty"`
		// Capacity is who gets the capacity of each service at the entry, if the active
		// configuration holds organisations.
		Capacity []Capacity `json:"capacity,omitempty"`
		// Servers are the backend servers, sorted by service and name.
		Servers []Server `json:"servers"`
	}

	// Capacity is who gets the capacity of a service at an entry, by the demand of about
	// the last second.
	Capacity struct {
		// Service is the service's name.
		Service id.Service `json:"service"`
		// Refused is the fraction of the requests that were refused because servers were
		// full.
		Refused float64 `json:"refused"`
		// Groups are the groups of requests, the first ones to be refused at the end.
		Groups []CapacityGroup `json:"groups"`
		// Above are organisations with requests above their share, the ones with most
		// first.
		Above []AboveShare `json:"above,omitempty"`
	}

	// CapacityGroup is the requests of equal urgency, within or above their
	// organisations' shares.
	CapacityGroup struct {
		// Priority is the effective priority, RoutePriority that of the route.
		Priority      int          `json:"priority"`
		RoutePriority int          `json:"routePriority"`
		Kind          service.Kind `json:"kind"`
		// Share is within or above.
		Share string `json:"share"`
		// Demand is the rate of the requests, and Served the fraction that is served by
		// their place.
		Demand float64 `json:"demand"`
		Served float64 `json:"served"`
	}

	// AboveShare is an organisation with requests above its share.
	AboveShare struct {
		// Organisation is its name, empty for callers of none.
		Organisation id.Organisation `json:"organisation"`
		// Kind and Priority are those of its requests.
		Kind     service.Kind `json:"kind"`
		Priority int          `json:"priority"`
		// Demand and Usual are the rates of its requests now and usually, Above the
		// fraction that is above its share.
		Demand float64 `json:"demand"`
		Usual  float64 `json:"usual"`
		Above  float64 `json:"above"`
	}

	// Quota is the state of an organisation's limit at an entry.
	Quota struct {
		// Organisation is its name.
		Organisation id.Organisation `json:"organisation"`
		// Rate and Burst are its limit over all entries together.
		Rate  unit.Rate `json:"rate"`
		Burst float64   `json:"burst"`
		// LimitedFor is for how long its requests have been refused over the limit, in
		// nanoseconds in JSON; 0 if they aren't.
		LimitedFor time.Duration `json:"limitedFor,omitempty"`
		// Parts is the number of thirds of the limit that this entry is accountable for.
		Parts int `json:"parts,omitempty"`
		// Demand is the estimated rate of its requests at this entry.
		Demand float64 `json:"demand"`
		// Granted, Exceeded and Unavailable count its requests at this entry by decision,
		// Lent the tokens that this entry has granted to others.
		Granted     uint64 `json:"granted"`
		Exceeded    uint64 `json:"exceeded"`
		Unavailable uint64 `json:"unavailable"`
		Lent        uint64 `json:"lent"`
	}

	// Proof shows that a configuration was the newest one.
	Proof struct {
		// Version is the version in force when the proof was recorded.
		Version id.Version `json:"version"`
		// Era is the store's era in it.
		Era store.Era `json:"era,omitempty"`
		// Age is the time since the moment that is proved, in nanoseconds in JSON.
		Age time.Duration `json:"age"`
		// Bound is the greatest age at which keys are accepted.
		Bound time.Duration `json:"bound"`
		// Fresh reports whether keys are accepted.
		Fresh bool `json:"fresh"`
		// Source is store, read or entry.
		Source string `json:"source"`
		// From is the entry that has given it, and Origin the one that has asked the
		// store; empty if it is from the store.
		From   id.Instance `json:"from,omitempty"`
		Origin id.Instance `json:"origin,omitempty"`
	}

	// StoreState is the state of one kind of store objects.
	StoreState struct {
		// Name is the kind's name.
		Name string `json:"name"`
		// Change is the version of the newest applied change; its era is that in
		// which the store had it.
		Change store.Version `json:"change"`
		// Era is the latest era in any answer of the store.
		Era store.Era `json:"era"`
		// Age is the time since the store's last answer, in nanoseconds in JSON.
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
		// State is usable, cold, limited, outlier, out, unreachable, leaving or evacuated.
		State State `json:"state"`
		// Slots is its concurrency limit in requests.
		Slots int `json:"slots"`
		// Busy is the estimated number of its requests in progress, from all
		// entries.
		Busy float64 `json:"busy"`
		// Own is the number of them that this entry sent.
		Own int `json:"own"`
		// Limit is the rate that the server takes from all entries together, 0 if it
		// has named none.
		Limit unit.Rate `json:"limit,omitempty"`
		// LimitShare is the part of it that this entry may use.
		LimitShare unit.Rate `json:"limitShare,omitempty"`
	}

	// State is the state of a backend server, which determines whether it
	// receives requests.
	State string

	// Query describes a request whose routing is to be explained.
	Query struct {
		// Host, Path and Object are those of the request.
		Host, Path, Object string
		// Organisation is the organisation of the caller, empty if it isn't known.
		Organisation id.Organisation
		// Key is the fingerprint of the caller's key, empty if it isn't known.
		Key organisation.Fingerprint
	}

	// Explanation describes how a request would be routed.
	Explanation struct {
		// Route is the route's name, empty if none matches.
		Route string `json:"route"`
		// Service is the selected service; for a route that splits its traffic, the
		// one selected by the smallest random draw.
		Service id.Service `json:"service,omitempty"`
		// Public reports that requests on the route need no key.
		Public bool `json:"public,omitempty"`
		// Organisation is the name of the caller's organisation. It and Regions are plain
		// text, since the platform's names include some that the types of package id reject.
		Organisation string `json:"organisation,omitempty"`
		// Priority is the priority class of the request, 0 for the most urgent.
		Priority int `json:"priority"`
		// Regions are the regions where the request may run, nil for all.
		Regions []string `json:"regions,omitempty"`
		// Refused tells why the request would be refused for its key or regions, with
		// status and result code; empty if it would not be.
		Refused string `json:"refused,omitempty"`
		// LeftOut tells what is wrong with the organisation or its keys.
		LeftOut []organisation.Problem `json:"leftOut,omitempty"`
		// Reason explains why the server was selected, or why there is none.
		Reason string `json:"reason"`
		// Server is the selected server, empty if there is none.
		Server id.Server `json:"server,omitempty"`
		// Servers is the state of the list of servers that the choice is based on.
		Servers StoreState `json:"servers"`
		// Ranking holds the servers in order of preference for the object.
		Ranking []Server `json:"ranking"`
	}
)

// States of a server.
const (
	// Usable servers receive requests.
	Usable State = "usable"
	// Cold servers are in slow start and receive requests at a limited rate.
	Cold State = "cold"
	// Away servers have turned a request away and want none for some time.
	Away State = "away"
	// Limited servers have named a limit and receive requests up to this entry's share.
	Limited State = "limited"
	// Outlier servers fail more often or answer more slowly than others, and are
	// used last.
	Outlier State = "outlier"
	// Out servers failed recently and wait for a trial request.
	Out State = "out"
	// Unreachable servers accept no connections, or are located in a zone whose
	// servers don't.
	Unreachable State = "unreachable"
	// Leaving servers receive no new requests.
	Leaving State = "leaving"
	// Evacuated servers are located in an evacuated zone.
	Evacuated State = "evacuated"
)

// ageMargin is the largest difference between the ages of two entries' store data
// that is not reported: a watch of an entry that is no short-poll entry waits for up
// to 12 s.
const ageMargin = 13 * time.Second

// Fetch requests the state of the entry with the given metrics address.
func Fetch(ctx context.Context, client *http.Client, address string) (*View, error) {
	var v View
	return &v, get(ctx, client, "http://"+address+Path, &v)
}

// Explain asks the entry with the given metrics address how it would route a request.
func Explain(ctx context.Context, client *http.Client, address string, q *Query) (*Explanation, error) {
	var e Explanation
	return &e, get(ctx, client, "http://"+address+ExplainPath+"?"+q.values().Encode(), &e)
}

// ParseQuery returns the query with the given parameters.
func ParseQuery(v url.Values) *Query {
	return &Query{
		Host: v.Get("host"), Path: v.Get("path"), Object: v.Get("object"),
		Organisation: id.Organisation(v.Get("organisation")), Key: organisation.Fingerprint(v.Get("key")),
	}
}

func (q *Query) values() url.Values {
	v := url.Values{"host": {q.Host}, "path": {q.Path}, "object": {q.Object}}
	if q.Organisation != "" {
		v.Set("organisation", string(q.Organisation))
	}
	if q.Key != "" {
		v.Set("key", string(q.Key))
	}
	return v
}

func get(ctx context.Context, client *http.Client, target string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return eris.Wrap(err, "create request")
	}
	resp, err := client.Do(req)
	if err != nil {
		return eris.Wrap(err, "request entry")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("%s returned status %d", target, resp.StatusCode)
	}
	return eris.Wrapf(json.NewDecoder(resp.Body).Decode(into), "decode response of %s", target)
}

// Differences compares each state with the first one and returns a line for each
// difference.
func Differences(all []*View) []string {
	var out []string
	for _, v := range all {
		first := all[0]
		report := func(format string, args ...any) {
			out = append(out, fmt.Sprintf("%s and %s: ", first.Instance, v.Instance)+fmt.Sprintf(format, args...))
		}
		if v.Version != first.Version {
			report("configuration %d and %d", first.Version, v.Version)
		}
		if v.Organisations != first.Organisations || len(v.LeftOut) != len(first.LeftOut) {
			report("%d organisations, %d left out, and %d, %d left out", first.Organisations, len(first.LeftOut), v.Organisations, len(v.LeftOut))
		}
		if v.Proof != nil && first.Proof != nil && v.Proof.Fresh != first.Proof.Fresh {
			report("configuration confirmed %v and %v ago, needed within %v", first.Proof.Age.Round(time.Millisecond),
				v.Proof.Age.Round(time.Millisecond), v.Proof.Bound)
		}
		if !slices.Equal(v.EvacuatedZones, first.EvacuatedZones) {
			report("evacuated zones %v and %v", first.EvacuatedZones, v.EvacuatedZones)
		}
		if v.Known != first.Known {
			report("%d and %d other entries known", first.Known, v.Known)
		}
		for _, k := range v.Store {
			if i := slices.IndexFunc(first.Store, func(f StoreState) bool { return f.Name == k.Name }); i >= 0 {
				if f := first.Store[i]; f.Era != k.Era {
					report("%s of era %d and %d of the store", k.Name, f.Era, k.Era)
				} else if f.Change != k.Change {
					report("%s up to change %s and %s", k.Name, f.Change, k.Change)
				} else if (f.Age - k.Age).Abs() > ageMargin {
					report("%s confirmed %v and %v ago", k.Name, f.Age.Round(time.Millisecond), k.Age.Round(time.Millisecond))
				}
			}
		}
		for _, s := range v.Servers {
			i := slices.IndexFunc(first.Servers, func(f Server) bool { return f.Name == s.Name })
			switch {
			case i < 0:
				report("server %s is not known and %s", s.Name, s.State)
			case first.Servers[i].State != s.State:
				report("server %s is %s and %s", s.Name, first.Servers[i].State, s.State)
			}
		}
		for _, f := range first.Servers {
			if !slices.ContainsFunc(v.Servers, func(s Server) bool { return s.Name == f.Name }) {
				report("server %s is %s and not known", f.Name, f.State)
			}
		}
	}
	return out
}
