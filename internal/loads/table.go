package loads

import (
	"sync"
	"time"

	"github.com/shallotpier/shallotpier/internal/measured"
	"github.com/shallotpier/shallotpier/pkg/id"
)

// maxUses is the maximum number of uses in a report; further ones are ignored.
const maxUses = 10_000

type (
	// Use is the number of slots of a service that an entry uses in a region.
	Use struct {
		// Service is the name of the service.
		Service id.Service
		// Region is the region of the backend servers.
		Region id.Region
		// Slots is the number of slots in use.
		Slots int
	}

	// Table stores the latest report of each entry. The zero Table is empty.
	// A Table is safe for concurrent use.
	Table struct {
		mu      sync.Mutex
		entries map[id.Instance]report
	}

	report struct {
		at   time.Time
		uses map[key]int
	}

	key struct {
		service id.Service
		region  id.Region
	}
)

// Update stores the uses that an entry reported at now. Negative numbers, and uses
// beyond the first 10,000, are ignored.
func (t *Table) Update(from id.Instance, now time.Time, uses []Use) {
	r := report{at: now, uses: map[key]int{}}
	for _, u := range uses[:min(len(uses), maxUses)] {
		if u.Slots > 0 {
			r.uses[key{u.Service, u.Region}] += u.Slots
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.entries == nil {
		t.entries = map[id.Instance]report{}
	}
	t.entries[from] = r
}

// Region returns the load of a region: the slots that the given entries use, as a
// share of its slots. The value is missing if one of the entries has not
// reported yet, or if there are no entries or no slots.
func (t *Table) Region(service id.Service, region id.Region, slots int, entries []id.Instance) measured.Value[float64] {
	t.mu.Lock()
	defer t.mu.Unlock()
	var (
		sum    int
		oldest time.Time
	)
	for _, name := range entries {
		r, ok := t.entries[name]
		if !ok {
			return measured.Value[float64]{}
		}
		sum += r.uses[key{service, region}]
		if oldest.IsZero() || r.at.Before(oldest) {
			oldest = r.at
		}
	}
	if oldest.IsZero() || slots <= 0 {
		return measured.Value[float64]{}
	}
	return measured.At(float64(sum)/float64(slots), oldest)
}
