package daemon

import (
	"sync"
	"time"

	"github.com/shallotpier/shallotpier/internal/admission/steered"
	"github.com/shallotpier/shallotpier/internal/link"
	"github.com/shallotpier/shallotpier/internal/measured"
	"github.com/shallotpier/shallotpier/internal/shift"
	"github.com/shallotpier/shallotpier/pkg/deployment"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/service"
	"github.com/shallotpier/shallotpier/pkg/unit"
)

type (
	// limits holds this entry's part of what all entries use together: an even
	// part of each cap on a shift and of each link. It is safe for concurrent
	// use.
	limits struct {
		world   *deployment.Deployment
		region  id.Region
		started time.Time

		mu     sync.Mutex
		window time.Duration // the longest of all caps
		caps   sync.Map      // capKey to *shift.Gate
		links  map[id.Region]*link.Budget
	}

	capKey struct {
		service id.Service
		region  id.Region
	}
)

// configure makes gates for what the files name for the first time. The part
// of a cap that belonged to an earlier process of the instance may be used
// from the length of one window after this one started.
func (l *limits) configure(files []*service.File, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, f := range files {
		part := f.ShiftCap.Rise * l.part()
		l.window = max(l.window, f.ShiftCap.Window.Std())
		for _, r := range f.Regions {
			key := capKey{f.Service, r.Name}
			if known, ok := l.caps.Load(key); ok {
				if g, ok := known.(*shift.Gate); ok {
					g.SetFloor(now, part)
				}
				continue
			}
			l.caps.Store(key, shift.NewGate(f.ShiftCap.Window.Std(), part, now, l.started))
		}
	}
}

// readyAt returns when all parts of the caps may be used.
func (l *limits) readyAt() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.started.Add(l.window)
}

// prepare makes the links' budgets.
func (l *limits) prepare(now time.Time) {
	l.links = map[id.Region]*link.Budget{}
	for _, r := range l.world.Regions {
		between := l.world.Link(l.region, r.Name)
		if between == nil {
			continue
		}
		b := new(link.Budget)
		b.SetRate(link.Limit(between, measured.Value[unit.BitRate]{}, now).BytesPerSecond(), float64(l.part()))
		l.links[r.Name] = b
	}
}

// part returns this entry's part of what all entries use together.
func (l *limits) part() unit.Rate { return 1 / unit.Rate(len(l.world.Entries)) }

// Cap returns the cap of a service toward a region.
func (l *limits) Cap(of id.Service, region id.Region) steered.Cap {
	if v, ok := l.caps.Load(capKey{of, region}); ok {
		if g, ok := v.(*shift.Gate); ok {
			return g
		}
	}
	return nil
}

// Link returns the budget toward another region.
func (l *limits) Link(region id.Region) *link.Budget { return l.links[region] }
