// Package route holds the routes of a configuration and matches requests to them.
//
// A request belongs to the route of its host with the longest prefix of its path. A
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
	"encoding/hex"
	"encoding/json"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/service"
)

type (
	// Route determines where requests are sent and how they may be treated. It must
	// not be changed once it is in a Table.
	Route struct {
		// Name is the route's name, for logs and metrics.
		Name string `json:"name"`
		// Host is the host of the requests, without a port.
		Host string `json:"host"`
		// Prefix is the prefix of the requests' paths. It begins and ends with a slash, and
		// may be percent-encoded.
		Prefix string `json:"prefix"`
		// Kind determines which requests may be retried: Read, Write or Upload.
		Kind service.Kind `json:"kind"`
		// Parts are the services that the requests are split among.
		Parts []Part `json:"parts"`
		// Regions are the regions where requests may run; empty allows all.
		Regions []id.Region `json:"regions,omitempty"`
		// Attempts is the maximum number of servers that one request is sent to.
		Attempts int `json:"attempts"`
		// Timeout is the maximum time to the final answer; 0 means no limit.
		Timeout time.Duration `json:"timeout"`
		// Objective is the latency objective: answers within it are worth most.
		Objective time.Duration `json:"objective"`
		// Priority is the priority class of the requests, 0 for the most urgent.
		Priority int `json:"priority"`
		// Affinity is set if a server answers faster for objects that it handled
		// recently.
		Affinity bool `json:"affinity"`
		// Public is set if requests need no key of an organisation.
		Public bool `json:"public,omitempty"`
	}

	// Part is one service of a route.
	Part struct {
		// Service is the service's name.
		Service id.Service `json:"service"`
		// Weight is the service's share, relative to the weights of the other parts.
		Weight int `json:"weight"`
	}

	// Table matches requests to routes.
	Table struct {
		hosts map[string]*hostRoutes
	}

	// hostRoutes are the routes of a host. Prefixes are in the form in which paths are
	// compared.
	hostRoutes struct {
		all []*Route
		// prefixes holds the routes whose prefix ends with a slash, as all should, and longest
		// is the length of the longest of these prefixes.
		prefixes map[string]*Route
		longest  int
		// others holds the other routes, those with the longest prefix first.
		others []match
	}

	// match is a route with its prefix.
	match struct {
		prefix string
		route  *Route
	}
)

// NewTable returns a table of the routes.
func NewTable(routes []*Route) *Table {
	t := &Table{hosts: make(map[string]*hostRoutes)}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		h := t.hosts[host]
		if h == nil {
			h = &hostRoutes{prefixes: make(map[string]*Route)}
			t.hosts[host] = h
		}
		h.add(r)
	}
	for _, h := range t.hosts {
		slices.SortFunc(h.others, func(a, b match) int { return len(b.prefix) - len(a.prefix) })
	}
	return t
}

func (h *hostRoutes) add(r *Route) {
	h.all = append(h.all, r)
	prefix := comparablePath(r.Prefix)
	if !strings.HasSuffix(prefix, "/") {
		h.others = append(h.others, match{prefix, r})
		return
	}
	h.prefixes[prefix] = r
	h.longest = max(h.longest, len(prefix))
}

// match returns the route with the longest prefix of a path, nil if there is none. The time it
// takes depends on the length of the prefixes, not on their number.
func (h *hostRoutes) match(path string) *Route {
	end, found := 0, (*Route)(nil)
	for end = min(len(path), h.longest); end > 0 && found == nil; {
		end = strings.LastIndexByte(path[:end], '/')
		found = h.prefixes[path[:end+1]]
	}
	for _, m := range h.others {
		if (found == nil || len(m.prefix) > end+1) && strings.HasPrefix(path, m.prefix) {
			return m.route
		}
	}
	return found
}

// MarshalJSON encodes the table as a list of its routes.
func (t *Table) MarshalJSON() ([]byte, error) {
	all := []*Route{}
	for _, h := range t.hosts {
		all = append(all, h.all...)
	}
	slices.SortFunc(all, func(a, b *Route) int { return strings.Compare(a.Name, b.Name) })
	return json.Marshal(all)
}

// UnmarshalJSON decodes and validates a list of routes.
func (t *Table) UnmarshalJSON(data []byte) error {
	var all []*Route
	if err := json.Unmarshal(data, &all); err != nil {
		return err
	}
	for _, r := range all {
		if err := r.check(); err != nil {
			return err
		}
	}
	*t = *NewTable(all)
	return nil
}

func (r *Route) check() error {
	switch {
	case r == nil:
		return eris.New("route is null")
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return eris.Errorf("route %q: prefix %q must begin and end with a slash", r.Name, r.Prefix)
	case r.Kind != service.Read && r.Kind != service.Write && r.Kind != service.Upload:
		return eris.Errorf("route %q: unknown kind %q", r.Name, r.Kind)
	case len(r.Parts) == 0:
		return eris.Errorf("route %q: no service", r.Name)
	case r.Timeout < 0 || r.Objective < 0:
		return eris.Errorf("route %q: timeout %v and objective %v must not be negative", r.Name, r.Timeout, r.Objective)
	}
	return nil
}

// Match returns the route of a request, nil if there is none. The host may include a
// port. The path is that of the request target, as it was sent ([net/url.URL.EscapedPath]): an
// encoded slash is a part of a segment and doesn't end it.
func (t *Table) Match(host, path string) *Route {
	h, ok := t.hosts[host]
	if !ok {
		if name, _, err := net.SplitHostPort(host); err == nil {
			host = name
		}
		if h, ok = t.hosts[strings.ToLower(host)]; !ok {
			return nil
		}
	}
	return h.match(comparablePath(path))
}

// comparablePath returns a path with its percent-encoded bytes decoded, except for slashes and
// percent signs, without which two different paths would be equal.
func comparablePath(path string) string {
	if !strings.Contains(path, "%") {
		return path
	}
	var b strings.Builder
	for i := 0; i < len(path); i++ {
		decoded, err := []byte(nil), error(nil)
		if path[i] == '%' && i+2 < len(path) {
			decoded, err = hex.DecodeString(path[i+1 : i+3])
		}
		switch {
		case len(decoded) == 0 || err != nil:
			b.WriteByte(path[i])
			continue
		case decoded[0] == '/':
			b.WriteString("%2F")
		case decoded[0] == '%':
			b.WriteString("%25")
		default:
			b.WriteByte(decoded[0])
		}
		i += 2
	}
	return b.String()
}

// Pick returns the service for a request. The draw must be uniformly distributed.
// Parts of weight 0 get no requests.
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

// Allows reports whether requests may run in a region.
func (r *Route) Allows(region id.Region) bool {
	return len(r.Regions) == 0 || slices.Contains(r.Regions, region)
}
