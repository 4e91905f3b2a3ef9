// Package route holds the routes of a configuration and finds the one that a
// request belongs to.
//
// A route is found by host and by the longest prefix that begins the path. A
// [Table] is immutable and safe for concurrent use.
//
// # Usage
//
//	table := route.NewTable(routes)
//	r := table.Match("registry.example", "/findings/8")
//	if r == nil {
//		return errNoRoute
//	}
//	svc := r.Pick(rand.Uint64())
package route

import (
	"net"
	"slices"
	"strings"
	"time"

	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/service"
)

type (
	// Route says where requests go and how they may be treated. It must not be
	// changed once it is in a Table.
	Route struct {
		// Name is the route's name, for logs and metrics.
		Name string
		// Host is the host that requests name, without a port.
		Host string
		// Prefix begins the path of its requests, and begins and ends with a
		// slash.
		Prefix string
		// Kind is what may be sent again: Read, Write or Upload.
		Kind service.Kind
		// Parts are the services that share the requests.
		Parts []Part
		// Regions are the only regions where requests may run; empty is any.
		Regions []id.Region
		// Attempts is the greatest number of servers that one request is sent
		// to.
		Attempts int
		// Timeout is the longest time to the final answer; 0 is no bound.
		Timeout time.Duration
		// Objective is the latency within which an answer is worth most.
		Objective time.Duration
		// Priority is the rank of the requests, 0 for the most urgent.
		Priority int
		// Affinity tells that a server answers faster for an object that it
		// handled recently.
		Affinity bool
	}

	// Part is one service of a route.
	Part struct {
		// Service is the service's name.
		Service id.Service
		// Weight is the service's share, relative to the other parts.
		Weight int
	}

	// Table finds routes.
	Table struct {
		hosts map[string][]*Route
	}
)

// NewTable returns a table of the routes.
func NewTable(routes []*Route) *Table {
	t := &Table{hosts: make(map[string][]*Route)}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, list := range t.hosts {
		slices.SortFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t
}

// Match returns the route of a request, nil if there is none. The host may
// carry a port.
func (t *Table) Match(host, path string) *Route {
	list, ok := t.hosts[host]
	if !ok {
		if h, _, err := net.SplitHostPort(host); err == nil {
			host = h
		}
		list = t.hosts[strings.ToLower(host)]
	}
	for _, r := range list {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Pick returns the service that gets a request, by an evenly distributed draw.
// Parts of weight 0 get none.
func (r *Route) Pick(draw uint64) id.Service {
	var sum uint64
	for _, p := range r.Parts {
		sum += uint64(max(p.Weight, 0))
	}
	if sum == 0 {
		return ""
	}
	draw %= sum
	for _, p := range r.Parts {
		w := uint64(max(p.Weight, 0))
		if draw < w {
			return p.Service
		}
		draw -= w
	}
	return ""
}

// Allows tells whether requests may run in a region.
func (r *Route) Allows(region id.Region) bool {
	return len(r.Regions) == 0 || slices.Contains(r.Regions, region)
}
