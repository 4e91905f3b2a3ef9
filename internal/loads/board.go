package loads

import (
	"sync"
	"time"

	"github.com/shallotpier/shallotpier/internal/measured"
	"github.com/shallotpier/shallotpier/pkg/id"
)

const maxUses = 10_000

type (
	// Use is what one entry uses of one service in one region.
	Use struct {
		// Service names the service.
		Service id.Service
		// Region is the region of the backend servers.
		Region id.Region
		// Slots is the number of slots in use.
		Slots int
	}

	// Board keeps the latest word of each entry. The zero Board is empty. It
	// is safe for concurrent use.
	Board struct {
		mu      sync.Mutex
		entries map[id.Instance]word
	}

	word struct {
		at   time.Time
		uses map[key]int
	}

	key struct {
		service id.Service
		region  id.Region
	}
)

// Take takes in what an entry says at now. Negative and surplus numbers are
// left out.
func (b *Board) Take(from id.Instance, now time.Time, uses []Use) {
	w := word{at: now, uses: map[key]int{}}
	for _, u := range uses[:min(len(uses), maxUses)] {
		if u.Slots > 0 {
			w.uses[key{u.Service, u.Region}] += u.Slots
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.entries == nil {
		b.entries = map[id.Instance]word{}
	}
	b.entries[from] = w
}

// Region returns the load of a region: the slots that the given entries use as
// a share of its slots. It is missing if one of them has said nothing yet or
// if there are no slots.
func (b *Board) Region(service id.Service, region id.Region, slots int, entries []id.Instance) measured.Value[float64] {
	b.mu.Lock()
	defer b.mu.Unlock()
	var (
		sum    int
		oldest time.Time
	)
	for _, name := range entries {
		w, ok := b.entries[name]
		if !ok {
			return measured.Value[float64]{}
		}
		sum += w.uses[key{service, region}]
		if oldest.IsZero() || w.at.Before(oldest) {
			oldest = w.at
		}
	}
	if oldest.IsZero() || slots <= 0 {
		return measured.Value[float64]{}
	}
	return measured.At(float64(sum)/float64(slots), oldest)
}
