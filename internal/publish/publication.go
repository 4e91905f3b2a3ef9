package publish

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/shallotpier/shallotpier/internal/store"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/service"
)

// Keys in the platform's store.
const (
	// CurrentKey is the key of the active publication.
	CurrentKey = "config/current"
	// HistoryPrefix is the key prefix of replaced publications; the version
	// follows it.
	HistoryPrefix = "config/history/"
)

// KeptVersions is the number of replaced versions that are kept in the history.
const KeptVersions = 1000

type (
	// ID identifies one publication and is never reused.
	ID string

	// Publication is the whole set of service files under one version. It is
	// immutable.
	Publication struct {
		// ID is the publication's id.
		ID ID `json:"id"`
		// Version is its version, 1 or above.
		Version id.Version `json:"version"`
		// Author names the operator who published it.
		Author string `json:"author"`
		// At is the time of preparation by the author's clock.
		At time.Time `json:"at"`
		// Files holds the service files, sorted by service name.
		Files []service.File `json:"files"`
	}

	// Ticket identifies a submission and the version that it competes for.
	Ticket struct {
		// ID is the publication's id.
		ID ID `json:"id"`
		// Version is the version of the publication if it is accepted.
		Version id.Version `json:"version"`
	}

	// plain is a Publication without its UnmarshalJSON method.
	plain Publication
)

// UnmarshalJSON decodes and validates a publication. Unknown keys are ignored,
// so that an entry of an older release can read publications of a newer one.
func (p *Publication) UnmarshalJSON(data []byte) error {
	if err := json.Unmarshal(data, (*plain)(p)); err != nil {
		return err
	}
	if p.ID == "" || p.Version == 0 {
		return eris.New("publication without id or version")
	}
	seen := map[id.Service]bool{}
	for i := range p.Files {
		f := &p.Files[i]
		if problem := f.Check(); problem != nil {
			return eris.Wrapf(problem, "service %s", f.Service)
		}
		if seen[f.Service] {
			return eris.Errorf("service %s appears twice", f.Service)
		}
		seen[f.Service] = true
	}
	return nil
}

// Ticket returns the publication's ticket.
func (p *Publication) Ticket() Ticket { return Ticket{ID: p.ID, Version: p.Version} }

// String formats the ticket as "version/id".
func (t Ticket) String() string { return fmt.Sprintf("%d/%s", t.Version, t.ID) }

// UnmarshalText decodes "version/id".
func (t *Ticket) UnmarshalText(text []byte) error {
	version, ownID, ok := strings.Cut(string(text), "/")
	if _, err := fmt.Sscanf(version, "%d", &t.Version); !ok || err != nil || ownID == "" || t.Version == 0 {
		return eris.Errorf("ticket %q: must be VERSION/ID, such as 7/0123abcd", text)
	}
	t.ID = ID(ownID)
	return nil
}

// HistoryKey returns the key under which a replaced version is kept.
func HistoryKey(v id.Version) string { return fmt.Sprintf("%s%010d", HistoryPrefix, v) }

// Decode decodes an object of the store as a publication.
func Decode(o store.Object) (*Publication, error) {
	p := new(Publication)
	if err := json.Unmarshal(o.Value, p); err != nil {
		return nil, eris.Wrapf(err, "decode %s", o.Key)
	}
	return p, nil
}

// merge applies a submission to the base's files: it replaces or adds the
// submitted files, drops the removed services and sorts by service name.
func merge(base []service.File, s Submission) []service.File {
	files := slices.DeleteFunc(slices.Clone(base), func(f service.File) bool {
		replaced := slices.ContainsFunc(s.Files, func(g service.File) bool { return g.Service == f.Service })
		return replaced || slices.Contains(s.Remove, f.Service)
	})
	files = append(files, s.Files...)
	slices.SortStableFunc(files, func(a, b service.File) int {
		return strings.Compare(string(a.Service), string(b.Service))
	})
	return files
}
