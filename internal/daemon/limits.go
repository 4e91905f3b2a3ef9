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
	// limits holds this entry's share of the limits that apply to all entries
	// together: an equal share of each shift cap and of each link's bandwidth.
	// It is safe for concurrent use.
	limits struct {
		deployment *deployment.Deployment
		region     id.Region
		started    time.Time

		mu     sync.Mutex
		window time.Duration // longest window of all caps
		caps   sync.Map      // capKey to *shift.Gate
		links  map[id.Region]*link.Budget
	}

	capKey struct {
		service id.Service
		region  id.Region
	}
)

// configure creates gates for services and regions that are new in the files
// and updates the floor of the others. The share of a cap that an earlier
// process of the instance may have used becomes available one window after the
// start of this process.
func (l *limits) configure(files []*service.File, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, f := range files {
		share := f.ShiftCap.Rise * l.share()
		l.window = max(l.window, f.ShiftCap.Window.Std())
		for _, r := range f.Regions {
			key := capKey{f.Service, r.Name}
			if known, ok := l.caps.Load(key); ok {
				if g, ok := known.(*shift.Gate); ok {
					g.SetFloor(now, share)
				}
				continue
			}
			l.caps.Store(key, shift.NewGate(f.ShiftCap.Window.Std(), share, now, l.started))
		}
	}
}

// readyAt returns when this entry's share of every cap is available in full.
func (l *limits) readyAt() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.started.Add(l.window)
}

// prepare creates the budgets of the links to the other regions.
func (l *limits) prepare(now time.Time) {
	l.links = map[id.Region]*link.Budget{}
	for _, r := range l.deployment.Regions {
		between := l.deployment.Link(l.region, r.Name)
		if between == nil {
			continue
		}
		b := new(link.Budget)
		b.SetRate(link.Limit(between, measured.Value[unit.BitRate]{}, now).BytesPerSecond(), float64(l.share()))
		l.links[r.Name] = b
	}
}

// share returns this entry's share of a limit as a fraction.
func (l *limits) share() unit.Rate { return 1 / unit.Rate(len(l.deployment.Entries)) }

// Cap returns the cap on traffic shifts of a service to a region, nil if there
// is none.
func (l *limits) Cap(of id.Service, region id.Region) steered.Cap {
	if v, ok := l.caps.Load(capKey{of, region}); ok {
		if g, ok := v.(*shift.Gate); ok {
			return g
		}
	}
	return nil
}

// Link returns the bandwidth budget of the link to another region, nil if there
// is none.
func (l *limits) Link(region id.Region) *link.Budget { return l.links[region] }
