package publish

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/service"
)

// maxListedKeys is the largest number of added or removed keys of a service
// that a summary lists one by one: half a screen.
const maxListedKeys = 12

type (
	// Change is one value that differs between two sets of service files.
	Change struct {
		// Service is the service whose file differs.
		Service id.Service `json:"service"`
		// Key is the dotted key; list items are identified by name, as in
		// "servers[api-1].slots", or by index. It is empty for a whole file.
		Key string `json:"key"`
		// Old is the previous value in JSON; empty if there was none.
		Old string `json:"old"`
		// New is the new value in JSON; empty if there is none.
		New string `json:"new"`
	}

	// Difference is the ordered list of changes from one set to another.
	Difference []Change
)

// String formats the difference with one change per line.
func (d Difference) String() string {
	var b strings.Builder
	for _, c := range d {
		fmt.Fprintf(&b, "%s %s: %s -> %s\n", c.Service, c.Key, orNone(c.Old), orNone(c.New))
	}
	return b.String()
}

// Summary formats the difference with one change per line. A service that was
// added or removed with many keys gets one line with the number of keys.
func (d Difference) Summary() string {
	var b strings.Builder
	for _, name := range d.services() {
		changes := d.forService(name)
		added, removed := 0, 0
		for _, c := range changes {
			switch {
			case c.Old == "":
				added++
			case c.New == "":
				removed++
			}
		}
		switch {
		case added == len(changes) && added > maxListedKeys:
			fmt.Fprintf(&b, "%s: new, %d keys\n", name, added)
		case removed == len(changes) && removed > maxListedKeys:
			fmt.Fprintf(&b, "%s: removed, %d keys\n", name, removed)
		default:
			b.WriteString(changes.String())
		}
	}
	return b.String()
}

// services returns the names of the services that differ, in the order of the
// difference.
func (d Difference) services() []id.Service {
	var names []id.Service
	for _, c := range d {
		if !slices.Contains(names, c.Service) {
			names = append(names, c.Service)
		}
	}
	return names
}

func (d Difference) forService(name id.Service) Difference {
	var out Difference
	for _, c := range d {
		if c.Service == name {
			out = append(out, c)
		}
	}
	return out
}

// Compare returns the changes that turn the first set of files into the second.
func Compare(from, to []service.File) Difference {
	before, after := flatten(from), flatten(to)
	keys := make([]Change, 0, len(before))
	for c := range before {
		keys = append(keys, c)
	}
	for c := range after {
		if _, ok := before[c]; !ok {
			keys = append(keys, c)
		}
	}
	slices.SortFunc(keys, func(a, b Change) int {
		if c := strings.Compare(string(a.Service), string(b.Service)); c != 0 {
			return c
		}
		return strings.Compare(a.Key, b.Key)
	})
	var diff Difference
	for _, c := range keys {
		if c.Old, c.New = before[Change{Service: c.Service, Key: c.Key}], after[Change{Service: c.Service, Key: c.Key}]; c.Old != c.New {
			diff = append(diff, c)
		}
	}
	return diff
}

// flatten returns the JSON value of every leaf, keyed by a Change with service
// and key only.
func flatten(files []service.File) map[Change]string {
	leaves := map[Change]string{}
	for i := range files {
		data, err := json.Marshal(&files[i])
		if err != nil {
			continue // unreachable: a service file always encodes
		}
		var tree any
		if err := json.Unmarshal(data, &tree); err != nil {
			continue
		}
		walk(leaves, files[i].Service, "", tree)
	}
	return leaves
}

func walk(leaves map[Change]string, name id.Service, key string, node any) {
	switch v := node.(type) {
	case map[string]any:
		for k, child := range v {
			walk(leaves, name, strings.TrimPrefix(key+"."+k, "."), child)
		}
	case []any:
		for i, child := range v {
			walk(leaves, name, fmt.Sprintf("%s[%s]", key, itemName(child, i)), child)
		}
	default:
		data, _ := json.Marshal(v)
		leaves[Change{Service: name, Key: key}] = string(data)
	}
}

func itemName(item any, index int) string {
	if m, ok := item.(map[string]any); ok {
		if name, ok := m["name"].(string); ok {
			return name
		}
	}
	return fmt.Sprint(index)
}

func orNone(value string) string {
	if value == "" {
		return "(none)"
	}
	return value
}
