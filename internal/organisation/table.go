package organisation

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/unit"
)

type (
	// Table finds the organisation of a request by its key. It is immutable and safe for
	// concurrent use. A nil Table is that of a configuration without organisations.
	Table struct {
		keys     map[KeyHash]*Organisation
		all      []*Organisation // sorted by name
		problems []Problem
	}

	// tableFormat is the encoding of a Table.
	tableFormat struct {
		Organisations []organisationFormat `json:"organisations"`
		Problems      []Problem            `json:"problems,omitempty"`
	}

	// organisationFormat is the encoding of an Organisation. Names are plain text, since
	// the platform's names include some that the types of package id reject when they are
	// decoded.
	organisationFormat struct {
		Name     string    `json:"name"`
		Keys     []KeyHash `json:"keys"`
		Priority *int      `json:"priority,omitempty"`
		Rate     unit.Rate `json:"rate,omitempty"`
		Burst    float64   `json:"burst,omitempty"`
		Regions  []string  `json:"regions,omitempty"`
	}
)

// NewTable returns a table of the organisations. It leaves out malformed ones, and keys
// that several organisations hold, and lists both after the problems that are already known.
// It takes over the organisations and problems.
func NewTable(all []*Organisation, known []Problem) *Table {
	keys := 0
	for _, o := range all {
		keys += len(o.Keys)
	}
	t := &Table{keys: make(map[KeyHash]*Organisation, keys), problems: known}
	for _, o := range all {
		if p := o.check(); p != nil {
			t.problems = append(t.problems, *p)
			continue
		}
		t.all = append(t.all, o)
	}
	slices.SortFunc(t.all, func(a, b *Organisation) int { return strings.Compare(string(a.Name), string(b.Name)) })
	for _, o := range t.all {
		for _, hash := range o.Keys {
			t.add(o, hash)
		}
	}
	for hash, o := range t.keys {
		if o == nil {
			delete(t.keys, hash)
		}
	}
	return t
}

// add adds a key. The value of a key that several organisations hold is nil.
func (t *Table) add(o *Organisation, hash KeyHash) {
	other, found := t.keys[hash]
	switch {
	case !found:
		t.keys[hash] = o
	case other == nil:
		t.problems = append(t.problems, sharedKey(o, hash, "others"))
	case other != o:
		t.keys[hash] = nil
		t.problems = append(t.problems, sharedKey(other, hash, string(o.Name)), sharedKey(o, hash, string(other.Name)))
	}
}

func sharedKey(o *Organisation, hash KeyHash, other string) Problem {
	return Problem{Organisation: string(o.Name), Field: FieldKeys, Reason: fmt.Sprintf("have key %s, which %s also holds", hash.Fingerprint(), other)}
}

// Lookup returns the organisation that holds a key.
func (t *Table) Lookup(key string) (*Organisation, bool) {
	if t == nil || key == "" || len(key) > maxKeyLength {
		return nil, false
	}
	var short [256]byte // keeps keys of the usual length off the heap
	o, ok := t.keys[sha256.Sum256(append(short[:0], key...))]
	return o, ok
}

// Named returns the organisation of a name.
func (t *Table) Named(name id.Organisation) (*Organisation, bool) {
	if t == nil {
		return nil, false
	}
	i, ok := slices.BinarySearchFunc(t.all, name, func(o *Organisation, name id.Organisation) int {
		return strings.Compare(string(o.Name), string(name))
	})
	if !ok {
		return nil, false
	}
	return t.all[i], true
}

// ByFingerprint returns the organisation that holds a key with a fingerprint. It searches
// all keys.
func (t *Table) ByFingerprint(f Fingerprint) (*Organisation, bool) {
	if t == nil {
		return nil, false
	}
	for hash, o := range t.keys {
		if hash.Fingerprint() == f {
			return o, true
		}
	}
	return nil, false
}

// All returns the organisations sorted by name. The result must not be modified.
func (t *Table) All() []*Organisation {
	if t == nil {
		return nil
	}
	return t.all
}

// Problems returns why organisations and keys were left out. The result must not be
// modified.
func (t *Table) Problems() []Problem {
	if t == nil {
		return nil
	}
	return t.problems
}

// HidesKeys reports whether the values of a request's Authorization headers must not be
// sent to a server: if they contain a bearer key, or a key of the table in another form.
// Credentials of other schemes are meant for the server.
func (t *Table) HidesKeys(values []string) bool {
	return slices.ContainsFunc(values, func(value string) bool {
		return len(value) > maxKeyLength || slices.ContainsFunc(strings.FieldsFunc(value, separates), t.hides)
	})
}

// separates reports whether a character ends a part of an Authorization header.
func separates(r rune) bool { return strings.ContainsRune(" \t,;\"", r) }

// hides reports whether a part of an Authorization header is a key, alone or as the value of
// a parameter, or says that one follows.
func (t *Table) hides(part string) bool {
	_, value, _ := strings.Cut(part, "=")
	_, alone := t.Lookup(part)
	_, named := t.Lookup(value)
	return alone || named || strings.EqualFold(part, bearerScheme)
}

// MarshalJSON encodes the table. It contains hashes of the keys.
func (t *Table) MarshalJSON() ([]byte, error) {
	f := tableFormat{Organisations: make([]organisationFormat, len(t.all)), Problems: t.problems}
	for i, o := range t.all {
		f.Organisations[i] = organisationFormat{Name: string(o.Name), Keys: o.Keys, Priority: o.Priority, Rate: o.Rate, Burst: o.Burst, Regions: renamed[string](o.Regions)}
	}
	return json.Marshal(f)
}

// UnmarshalJSON decodes a table. Problems that were found when the table was made are
// found again.
func (t *Table) UnmarshalJSON(data []byte) error {
	var f tableFormat
	if err := json.Unmarshal(data, &f); err != nil {
		return err
	}
	all := make([]*Organisation, len(f.Organisations))
	for i, o := range f.Organisations {
		all[i] = &Organisation{Name: id.Organisation(o.Name), Keys: o.Keys, Priority: o.Priority, Rate: o.Rate, Burst: o.Burst, Regions: renamed[id.Region](o.Regions)}
	}
	*t = *NewTable(all, nil)
	for _, p := range f.Problems {
		if !slices.Contains(t.problems, p) {
			t.problems = append(t.problems, p)
		}
	}
	return nil
}

func renamed[To, From ~string](names []From) []To {
	if names == nil {
		return nil
	}
	out := make([]To, len(names))
	for i, name := range names {
		out[i] = To(name)
	}
	return out
}
