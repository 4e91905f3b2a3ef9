package config

import (
	"encoding/json"

	"github.com/shallotpier/shallotpier/internal/publish"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/service"
)

const (
	// Newer means that the offered version is to be activated.
	Newer Relation = iota
	// Same means that the offered publication is the one held.
	Same
	// Older means that the offered version is below the one held.
	Older
	// Contradicting means that the offered version is the one held, but of
	// another publication.
	Contradicting
)

type (
	// Relation is the result of comparing an offered publication with the one
	// held.
	Relation uint8

	// Ref identifies a publication in messages.
	Ref struct {
		// Version is its version; 0 means none.
		Version id.Version `json:"version"`
		// ID is its unique id.
		ID publish.ID `json:"id,omitempty"`
	}

	// Table is an active publication with an index by service. It is immutable.
	Table struct {
		// Publication is the publication itself.
		Publication *publish.Publication

		services map[id.Service]*service.File
		raw      json.RawMessage
	}
)

// Compare compares an offered publication with the one held. Only Newer changes the
// active configuration.
func Compare(held, offered Ref) Relation {
	switch {
	case offered.Version > held.Version:
		return Newer
	case offered.Version < held.Version:
		return Older
	case offered.ID == held.ID:
		return Same
	default:
		return Contradicting
	}
}

// Ref returns the table's version and id, zero for a nil table.
func (t *Table) Ref() Ref {
	if t == nil {
		return Ref{}
	}
	return Ref{Version: t.Publication.Version, ID: t.Publication.ID}
}

// Version returns the table's version, 0 for a nil table.
func (t *Table) Version() id.Version { return t.Ref().Version }

// Service returns the file of a service, nil if there is none. The file must
// not be changed.
func (t *Table) Service(name id.Service) *service.File {
	if t == nil {
		return nil
	}
	return t.services[name]
}

// Services returns all files by service name. They must not be changed.
func (t *Table) Services() []service.File {
	if t == nil {
		return nil
	}
	return t.Publication.Files
}

// decode decodes a publication and indexes it by service.
func decode(raw json.RawMessage) (*Table, error) {
	p := new(publish.Publication)
	if err := json.Unmarshal(raw, p); err != nil {
		return nil, err
	}
	t := &Table{Publication: p, raw: raw, services: make(map[id.Service]*service.File, len(p.Files))}
	for i := range p.Files {
		t.services[p.Files[i].Service] = &p.Files[i]
	}
	return t, nil
}
