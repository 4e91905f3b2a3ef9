package configcheck

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/shallotpier/shallotpier/internal/organisation"
	"github.com/shallotpier/shallotpier/internal/roster"
	"github.com/shallotpier/shallotpier/internal/route"
)

// Ways in which a part of a configuration differs.
const (
	// Added means that only the new configuration has it.
	Added Event = "added"
	// Removed means that only the old configuration has it.
	Removed Event = "removed"
	// Changed means that a field of it has another value.
	Changed Event = "changed"
)

type (
	// Event is a way in which a part differs.
	Event string

	// Change is a difference between two configurations.
	Change struct {
		// Subject is what differs, a whole part or one of its fields.
		Subject Subject `json:"-"`
		// Key is the key in the file.
		Key string `json:"key"`
		// Event is the way in which it differs.
		Event Event `json:"event"`
		// Old and New are the values of a changed field.
		Old string `json:"old,omitempty"`
		New string `json:"new,omitempty"`
	}

	// values are the fields of a part as text.
	values map[Field]string

	// part identifies a part.
	part struct {
		of   Part
		name string
	}
)

// String formats the change as "key: added" or "key: old -> new".
func (c *Change) String() string {
	if c.Event != Changed {
		return fmt.Sprintf("%s: %s", c.Key, c.Event)
	}
	return fmt.Sprintf("%s: %s -> %s", c.Key, c.Old, c.New)
}

// Compare returns what differs between two configurations, without keys, sorted by part and
// name.
func Compare(before, after *Config) []Change {
	from, to := before.parts(), after.parts()
	all := maps.Clone(from)
	maps.Copy(all, to)
	var changes []Change
	for _, p := range slices.SortedFunc(maps.Keys(all), comparePart) {
		old, existed := from[p]
		now, exists := to[p]
		switch {
		case !existed:
			changes = append(changes, Change{Subject: Subject{Part: p.of, Name: p.name}, Event: Added})
		case !exists:
			changes = append(changes, Change{Subject: Subject{Part: p.of, Name: p.name}, Event: Removed})
		default:
			changes = append(changes, compareValues(p, old, now)...)
		}
	}
	return changes
}

func comparePart(a, b part) int {
	if a.of != b.of {
		return strings.Compare(string(a.of), string(b.of))
	}
	return strings.Compare(a.name, b.name)
}

func compareValues(p part, old, now values) []Change {
	var changes []Change
	for _, f := range slices.Sorted(maps.Keys(now)) {
		if old[f] != now[f] {
			changes = append(changes, Change{Subject: Subject{p.of, p.name, f}, Event: Changed, Old: old[f], New: now[f]})
		}
	}
	return changes
}

func (c *Config) parts() map[part]values {
	all := make(map[part]values, 1+len(c.Routes)+len(c.Services))
	all[part{}] = values{
		Version: strconv.FormatUint(uint64(c.Version), 10), MaxBody: strconv.FormatInt(c.MaxBody, 10), IdleTimeout: c.IdleTimeout.String(),
	}
	for _, r := range c.Routes {
		all[part{Route, r.Name}] = routeValues(r)
	}
	for name, s := range c.Services {
		all[part{Service, string(name)}] = serviceValues(s)
	}
	for _, o := range c.Organisations.All() {
		all[part{Organisation, string(o.Name)}] = organisationValues(o)
	}
	return all
}

func routeValues(r *route.Route) values {
	parts := make([]string, len(r.Parts))
	for i, p := range r.Parts {
		parts[i] = fmt.Sprintf("%s:%d", p.Service, p.Weight)
	}
	return values{
		Host: strconv.Quote(r.Host), Prefix: strconv.Quote(r.Prefix), Kind: string(r.Kind), Parts: strings.Join(parts, " "),
		Regions: fmt.Sprintf("%q", r.Regions), Attempts: strconv.Itoa(r.Attempts), Timeout: r.Timeout.String(),
		Objective: r.Objective.String(), Priority: strconv.Itoa(r.Priority), Affinity: strconv.FormatBool(r.Affinity), Public: strconv.FormatBool(r.Public),
	}
}

func serviceValues(s roster.ServiceConfig) values {
	return values{ColdTime: s.ColdTime.String(), ColdRate: fmt.Sprint(s.ColdRate)}
}

func organisationValues(o *organisation.Organisation) values {
	priority := "that of the route"
	if o.Priority != nil {
		priority = strconv.Itoa(*o.Priority)
	}
	keys := make([]string, len(o.Keys))
	for i, k := range o.Keys {
		keys[i] = string(k.Fingerprint())
	}
	slices.Sort(keys) // their order has no meaning
	return values{
		Field(organisation.FieldKeys): fmt.Sprint(keys), Field(organisation.FieldPriority): priority, Field(organisation.FieldRate): fmt.Sprint(o.Rate),
		Field(organisation.FieldBurst): fmt.Sprint(o.Burst), Field(organisation.FieldRegions): fmt.Sprintf("%q", o.Regions),
	}
}
