package publish

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/service"
)

type (
	// Change is one value that differs between two sets of service files.
	Change struct {
		// Service is the service whose file differs.
		Service id.Service `json:"service"`
		// Key is the dotted key; items of a list are given by name, as in
		// "servers[api-1].slots". It is empty for a whole file.
		Key string `json:"key"`
		// Old is the value before, in JSON; empty if there was none.
		Old string `json:"old"`
		// New is the value after, in JSON; empty if there is none.
		New string `json:"new"`
	}

	// Difference is the ordered list of changes from one set to another.
	Difference []Change
)

// String formats the difference with one change a line.
func (d Difference) String() string {
	var b strings.Builder
	for _, c := range d {
		fmt.Fprintf(&b, "%s %s: %s -> %s\n", c.Service, c.Key, absent(c.Old), absent(c.New))
	}
	return b.String()
}

// Compare returns what differs from old to new.
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

// flatten returns the JSON value of every leaf by service and key.
func flatten(files []service.File) map[Change]string {
	leaves := map[Change]string{}
	for i := range files {
		data, err := json.Marshal(&files[i])
		if err != nil {
			continue // the types of a service file always encode
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

func absent(value string) string {
	if value == "" {
		return "(none)"
	}
	return value
}
